// Package allocation is the online algorithm of UDRF (paper, III-C): as long as
// any unit fits, it starts one for the team with the lowest dominant share. It
// is pure: the same input gives the same placements.
package allocation

import (
	"math"
)

// Machine is a machine with room.
type Machine struct {
	ID          string
	Class       string
	Zone        string
	Spot        bool
	Size        Resources // all that it has
	Free        Resources
	FetchGBps   float64         // GB a second
	Images      map[string]bool // images that it has (true) or fetches; not changed by Run
	Busy        bool            // it has tasks; an idle one may soon be returned
	fetching    map[string]bool // images that this run's placements make it fetch
	reservedFor string          // the only job whose tasks it takes
	GangsOnly   bool            // takes only gangs
}

// Unit is a job's waiting tasks, which are all alike. The algorithm starts one at a
// time, or all of them where they are a gang.
type Unit struct {
	Job     string
	Need    Resources
	Count   int
	Image   string
	Classes map[string]bool
	Shape   string // equal for units with equal Classes, Zone and Spot; empty: unknown
	Zone    string // the only zone allowed, or empty
	Spot    bool   // spot machines allowed
	OneZone bool
	Spread  bool
	Tasks   int            // all tasks of the job
	ByZone  map[string]int // its placed tasks by zone, for OneZone and Spread; changed by Run
	Avoid   map[string]bool
	Safe    bool // better not on a spot machine
	// Within is how soon tasks should have started, s, and ImageGB what a machine
	// without the image has to fetch first; 0: no matter.
	StartWithin, ImageGB float64
	Overdue              bool // has waited too long to begin: HoldRoom keeps room for it
	Low                  bool // of the lowest priority
	Gang                 bool // all Count tasks are placed together or none is
	Urgent               bool // Return asks for room for it beyond its team's guarantee, too

	lastMachine *Machine // where Run put the last task of it
	lastRank    int
}

// Reserve leaves a machine to one job.
func (m *Machine) Reserve(job string) { m.reservedFor = job }

func (u *Unit) allows(m *Machine) bool {
	if (m.reservedFor != "" && m.reservedFor != u.Job) || (m.GangsOnly && !u.Gang) || !u.Classes[m.Class] || (m.Spot && !u.Spot) || (u.Zone != "" && u.Zone != m.Zone) || u.Avoid[m.ID] {
		return false
	}
	if u.OneZone {
		for z, n := range u.ByZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	return !u.Spread || u.ByZone[m.Zone] < (u.Tasks+1)/2
}

// Team is a team's claim: what it has booked, its bounds, and its units in the
// order in which it wants them.
type Team struct {
	Name      string
	Booked    map[string]Resources // by class
	Unknown   Resources            // may be running where we can't see it: counts against the limit
	MaxCPUs   float64              // 0: none
	MaxGPUs   float64
	Guarantee Resources // Memory unused; 0: none
	Units     []*Unit
}

func (t *Team) total() Resources {
	r := t.Unknown
	for _, b := range t.Booked {
		r = r.Add(b, 1)
	}
	return r
}

func (t *Team) underLimit(total, need Resources) bool {
	return (t.MaxCPUs <= 0 || total.CPUs+need.CPUs <= t.MaxCPUs+epsilon) &&
		(t.MaxGPUs <= 0 || total.GPUs+need.GPUs <= t.MaxGPUs+epsilon)
}

// guaranteed tells whether one more unit stays within the team's guarantee.
func (t *Team) guaranteed(total, need Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return total.CPUs+need.CPUs <= t.Guarantee.CPUs+epsilon && (need.GPUs <= 0 || total.GPUs+need.GPUs <= t.Guarantee.GPUs+epsilon)
}

// total is what a unit takes at once: one task, or a whole gang.
func (u *Unit) total() Resources {
	if u.Gang {
		return Resources{}.Add(u.Need, float64(u.Count))
	}
	return u.Need
}

// rank tells what comes before the share: what is within a guarantee; then teams that
// have one; then others; and low work of these last. Teams without a guarantee take
// what is left, and low work does where nobody has one.
func (t *Team) rank(total Resources, u *Unit) int {
	switch {
	case t.guaranteed(total, u.total()):
		return 3
	case t.Guarantee != (Resources{}):
		return 2
	case !u.Low:
		return 1
	}
	return 0
}

// Share is the team's dominant share: its largest booked part of any resource
// of any class (paper, equation 12, with booked amounts for x*d).
func Share(booked, capacity map[string]Resources) float64 {
	s := 0.0
	part := func(b, c float64) {
		if c > 0 {
			s = math.Max(s, b/c)
		}
	}
	for class, b := range booked {
		c := capacity[class]
		part(b.CPUs, c.CPUs)
		part(b.GPUs, c.GPUs)
		part(b.Memory, c.Memory)
	}
	return s
}

// Placement puts one task of a unit's job on a machine.
type Placement struct {
	Team    string
	Unit    *Unit
	Machine *Machine
}

// teamRun is a team in the course of a run.
type teamRun struct {
	*Team
	next  int // of its units
	sum   Resources
	share float64
}

// nextUnit passes over the units that can't start and returns the next one that may, or nil.
func (t *teamRun) nextUnit(failed map[string][]Resources) *Unit {
	for ; t.next < len(t.Units); t.next++ {
		u := t.Units[t.next]
		if u.Count > 0 && t.underLimit(t.sum, u.total()) && !u.cannotFit(failed) {
			return u
		}
	}
	return nil
}

// book adds what a unit got to the team's amounts.
func (t *teamRun) book(u *Unit, chosen []*Machine, capacity map[string]Resources) {
	u.Count -= len(chosen)
	for _, m := range chosen {
		m.Busy = true
		if u.Image != "" && !m.hasImage(u.Image) {
			if m.fetching == nil {
				m.fetching = map[string]bool{}
			}
			m.fetching[u.Image] = true
		}
		t.Booked[m.Class] = t.Booked[m.Class].Add(u.Need, 1)
		t.sum = t.sum.Add(u.Need, 1)
	}
	t.share = Share(t.Booked, capacity)
}

// neediest chooses the team whose turn it is, and its next unit; nil if none has one.
func neediest(teams []*teamRun, failed map[string][]Resources) (best *teamRun, unit *Unit) {
	rank := 0
	for _, t := range teams {
		u := t.nextUnit(failed)
		if u == nil {
			continue
		}
		r := t.rank(t.sum, u)
		if best == nil || r > rank || (r == rank && t.share < best.share) {
			best, unit, rank = t, u, r
		}
	}
	return best, unit
}

// Run fills the machines. largest is the largest unit that unfinished jobs may
// ask of each class: small units keep out of its way. It changes Free, Busy,
// Booked, Count and ByZone as it goes.
// A team whose next unit fits nowhere goes on with its next job of another
// shape; with none left it is skipped. Teams below their guarantee come first:
// the plain lowest share could leave them behind for want of capacity. See rank.
func Run(teams []*Team, machines []*Machine, capacity, largest map[string]Resources) []Placement {
	var out []Placement
	var runs []*teamRun
	for _, t := range teams {
		runs = append(runs, &teamRun{Team: t, sum: t.total(), share: Share(t.Booked, capacity)})
		for _, u := range t.Units {
			u.lastMachine = nil
		}
	}
	for _, m := range machines {
		m.fetching = nil
	}
	// Room only shrinks in a run: what found no machine finds none later, nor
	// does a larger unit that may use the same machines.
	failed := map[string][]Resources{}
	for {
		t, u := neediest(runs, failed)
		if t == nil {
			return out
		}
		chosen := placeUnit(u, machines, largest)
		if len(chosen) == 0 {
			if u.isPlain() {
				failed[u.Shape] = append(failed[u.Shape], u.Need)
			}
			t.next++
			continue
		}
		t.book(u, chosen, capacity)
		for _, m := range chosen {
			out = append(out, Placement{t.Name, u, m})
		}
	}
}

// isPlain tells whether nothing but Shape and Need decides where a unit may go.
func (u *Unit) isPlain() bool {
	return u.Shape != "" && !u.Gang && !u.Overdue && !u.OneZone && !u.Spread && len(u.Avoid) == 0
}

func (u *Unit) cannotFit(failed map[string][]Resources) bool {
	if !u.isPlain() {
		return false
	}
	for _, f := range failed[u.Shape] {
		if f.Fits(u.Need) {
			return true
		}
	}
	return false
}
