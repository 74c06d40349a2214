// Package allocation implements the online algorithm of section III-C of the UDRF paper, "UDRF:
// Multi-resource Fairness for Complex Jobs with Placement Constraints" (Tahir, Yang, Koliousis, McCann):
// as long as any unit fits on a machine, it starts a unit of the team with the lowest dominant share. It
// has no state of its own: the same input always gives the same placements.
package allocation

import (
	"math"
)

// Machine is a machine that can run tasks.
type Machine struct {
	ID          string
	Class       string
	Zone        string
	Spot        bool
	Capacity    Resources
	Free        Resources
	FetchGBps   float64         // rate of image fetches, GB per second
	Images      map[string]bool // true: image present; false: being fetched. Not changed by Run
	Busy        bool            // runs tasks; an idle machine may soon be returned to the cloud
	fetching    map[string]bool // images that the placements of the current Run make it fetch
	reservedFor string          // the only job whose tasks it accepts; empty: any
	GangsOnly   bool            // accepts only gangs
}

// Unit is the set of waiting tasks of one job, which are all alike. The algorithm starts
// them one at a time, or all at once if they are a gang.
type Unit struct {
	Job              string
	Need             Resources // of one task
	Count            int       // waiting tasks
	Image            string
	Classes          map[string]bool // allowed machine classes
	Shape            string          // equal for units with equal Classes, Zone and Spot; empty: unknown
	Zone             string          // the only zone allowed; empty: any
	Spot             bool            // may run on spot machines
	OneZone          bool            // all tasks must be in one zone
	Spread           bool            // at most half of the tasks, rounded up, may be in one zone
	Tasks            int             // all tasks of the job, including those that do not wait
	PlacedByZone     map[string]int  // placed tasks by zone, for OneZone and Spread; changed by Run
	ExcludedMachines map[string]bool // IDs of machines that must not be used
	PreferOnDemand   bool            // on-demand machines are preferred to spot machines
	// StartWithin is the time in seconds within which the tasks should start; 0: no target.
	// ImageGB is the size of the image, which a machine without it has to fetch first.
	StartWithin, ImageGB float64
	Overdue              bool // has waited too long to start: ReserveForOverdue may reserve machines for it
	LowPriority          bool // of the lowest priority
	Gang                 bool // either all Count tasks are placed together or none
	Urgent               bool // may preempt low-priority tasks of other teams even beyond its own team's guarantee

	lastMachine *Machine // machine that Run chose for the unit's previous task
	lastRank    int      // rank of lastMachine when it was chosen
}

// Reserve makes the machine accept only tasks of the given job.
func (m *Machine) Reserve(job string) { m.reservedFor = job }

// allows reports whether the unit's tasks may run on the machine. It does not check
// free resources.
func (u *Unit) allows(machine *Machine) bool {
	if (machine.reservedFor != "" && machine.reservedFor != u.Job) || (machine.GangsOnly && !u.Gang) || !u.Classes[machine.Class] || (machine.Spot && !u.Spot) || (u.Zone != "" && u.Zone != machine.Zone) || u.ExcludedMachines[machine.ID] {
		return false
	}
	if u.OneZone {
		for zone, placed := range u.PlacedByZone {
			if placed > 0 && zone != machine.Zone {
				return false
			}
		}
	}
	return !u.Spread || u.PlacedByZone[machine.Zone] < (u.Tasks+1)/2
}

// Team is the demand of one team: its allocated resources, its limits, and its units in the
// order in which they should start.
type Team struct {
	Name       string
	Allocated  map[string]Resources // resources of the placed tasks, by class
	UnknownUse Resources            // may be in use by tasks whose location is unknown; counts toward the limits
	MaxCPUs    float64              // limit; 0: none
	MaxGPUs    float64              // limit; 0: none
	Guarantee  Resources            // Memory is ignored; zero: no guarantee
	Units      []*Unit
}

// total returns the allocated resources of all classes plus UnknownUse.
func (t *Team) total() Resources {
	sum := t.UnknownUse
	for _, allocated := range t.Allocated {
		sum = sum.Add(allocated, 1)
	}
	return sum
}

// underLimit reports whether the team stays within its limits if need is added to total.
func (t *Team) underLimit(total, need Resources) bool {
	return (t.MaxCPUs <= 0 || total.CPUs+need.CPUs <= t.MaxCPUs+epsilon) &&
		(t.MaxGPUs <= 0 || total.GPUs+need.GPUs <= t.MaxGPUs+epsilon)
}

// withinGuarantee reports whether the team stays within its guarantee if need is added to
// total.
func (t *Team) withinGuarantee(total, need Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return total.CPUs+need.CPUs <= t.Guarantee.CPUs+epsilon && (need.GPUs <= 0 || total.GPUs+need.GPUs <= t.Guarantee.GPUs+epsilon)
}

// startNeed returns the resources that the next start of the unit takes: those of one
// task, or of the whole gang.
func (u *Unit) startNeed() Resources {
	if u.Gang {
		return Resources{}.Add(u.Need, float64(u.Count))
	}
	return u.Need
}

// rank returns the precedence of a team's next unit; the dominant share decides only
// between equal ranks. Units within a guarantee come first, then the other units of teams
// with a guarantee, then the units of teams without a guarantee, the low-priority units last.
// Teams without a guarantee therefore use what the others leave, and so does low-priority
// work where no team has a guarantee.
func (t *Team) rank(total Resources, unit *Unit) int {
	switch {
	case t.withinGuarantee(total, unit.startNeed()):
		return 3
	case t.Guarantee != (Resources{}):
		return 2
	case !unit.LowPriority:
		return 1
	}
	return 0
}

// DominantShare returns a team's dominant share: the largest allocated fraction of any resource of any
// class (equation 12 of the UDRF paper, with allocated amounts for x*d).
func DominantShare(allocated, capacity map[string]Resources) float64 {
	share := 0.0
	include := func(amount, available float64) {
		if available > 0 {
			share = math.Max(share, amount/available)
		}
	}
	for class, amounts := range allocated {
		available := capacity[class]
		include(amounts.CPUs, available.CPUs)
		include(amounts.GPUs, available.GPUs)
		include(amounts.Memory, available.Memory)
	}
	return share
}

// Placement assigns one task of a unit's job to a machine.
type Placement struct {
	Team    string
	Unit    *Unit
	Machine *Machine
}

// teamState is the state of a team during Run.
type teamState struct {
	*Team
	nextIndex int       // index of the next unit to start
	used      Resources // the team's total, including the placements of this run
	share     float64   // dominant share
}

// nextUnit returns the team's next unit that may start, or nil. It advances past units that
// cannot start.
func (t *teamState) nextUnit(failedNeeds map[string][]Resources) *Unit {
	for ; t.nextIndex < len(t.Units); t.nextIndex++ {
		unit := t.Units[t.nextIndex]
		if unit.Count > 0 && t.underLimit(t.used, unit.startNeed()) && !unit.knownNotToFit(failedNeeds) {
			return unit
		}
	}
	return nil
}

// recordPlacements updates the unit, the machines and the team after one task was placed on each of the
// chosen machines.
func (t *teamState) recordPlacements(unit *Unit, chosenMachines []*Machine, capacity map[string]Resources) {
	unit.Count -= len(chosenMachines)
	for _, machine := range chosenMachines {
		machine.Busy = true
		if unit.Image != "" && !machine.hasOrFetches(unit.Image) {
			if machine.fetching == nil {
				machine.fetching = map[string]bool{}
			}
			machine.fetching[unit.Image] = true
		}
		t.Allocated[machine.Class] = t.Allocated[machine.Class].Add(unit.Need, 1)
		t.used = t.used.Add(unit.Need, 1)
	}
	t.share = DominantShare(t.Allocated, capacity)
}

// nextTeam returns the team that starts a unit next, and that unit. It returns nil if no
// team has a unit that may start.
func nextTeam(teams []*teamState, failedNeeds map[string][]Resources) (bestTeam *teamState, unit *Unit) {
	bestRank := 0
	for _, team := range teams {
		candidate := team.nextUnit(failedNeeds)
		if candidate == nil {
			continue
		}
		rank := team.rank(team.used, candidate)
		if bestTeam == nil || rank > bestRank || (rank == bestRank && team.share < bestTeam.share) {
			bestTeam, unit, bestRank = team, candidate, rank
		}
	}
	return bestTeam, unit
}

// Run places waiting units on machines until nothing more fits, and returns the placements.
// largest is the largest unit that unfinished jobs may request, by class: smaller units avoid the
// machines that the largest unit needs. Run changes Free, Busy, Allocated, Count
// and PlacedByZone.
//
// If a team's next unit fits on no machine, the team continues with its next unit that may still fit
// (see knownNotToFit); a team without such a unit is skipped. Teams below their guarantee come before
// all others (see rank): if the lowest share alone decided, such teams could remain below their
// guarantee when capacity is short.
func Run(teams []*Team, machines []*Machine, capacity, largest map[string]Resources) []Placement {
	var placements []Placement
	var states []*teamState
	for _, team := range teams {
		states = append(states, &teamState{Team: team, used: team.total(), share: DominantShare(team.Allocated, capacity)})
		for _, unit := range team.Units {
			unit.lastMachine = nil
		}
	}
	for _, machine := range machines {
		machine.fetching = nil
	}
	// Free resources only shrink during a run. A unit that fits on no machine will fit on
	// none later, and neither will a larger unit that may use the same machines.
	failedNeeds := map[string][]Resources{}
	for {
		team, unit := nextTeam(states, failedNeeds)
		if team == nil {
			return placements
		}
		chosenMachines := placeUnit(unit, machines, largest)
		if len(chosenMachines) == 0 {
			if unit.fitDependsOnShape() {
				failedNeeds[unit.Shape] = append(failedNeeds[unit.Shape], unit.Need)
			}
			team.nextIndex++
			continue
		}
		team.recordPlacements(unit, chosenMachines, capacity)
		for _, machine := range chosenMachines {
			placements = append(placements, Placement{team.Name, unit, machine})
		}
	}
}

// fitDependsOnShape reports whether Shape and Need alone determine on which machines the
// unit fits.
func (u *Unit) fitDependsOnShape() bool {
	return u.Shape != "" && !u.Gang && !u.Overdue && !u.OneZone && !u.Spread && len(u.ExcludedMachines) == 0
}

// knownNotToFit reports whether a unit of the same shape that needs no more than this unit has
// been found to fit on no machine. failedNeeds lists, by shape, the needs of the units that fitted on
// no machine.
func (u *Unit) knownNotToFit(failedNeeds map[string][]Resources) bool {
	if !u.fitDependsOnShape() {
		return false
	}
	for _, need := range failedNeeds[u.Shape] {
		if need.Fits(u.Need) {
			return true
		}
	}
	return false
}
