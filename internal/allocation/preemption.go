package allocation

import (
	"math"
	"slices"
	"sort"
)

// Preemptible is a running task that may be stopped to return its resources to other teams.
// It saves its state before it stops, so its work is not lost.
type Preemptible struct {
	ID          int // assigned by the caller
	Team        string
	Machine     *Machine
	Need        Resources
	LowPriority bool // may be preempted by urgent units of other teams
}

// Preemption lists the victims on one machine: the tasks to stop so that one task of Unit fits on the
// machine or, if Unit is a gang, some of the gang's tasks.
type Preemption struct {
	Unit    *Unit
	Machine *Machine
	Victims []Preemptible
}

// Preempt chooses the tasks that teams must stop for other teams' units. It is called after Run, which
// has placed what fits. A unit within its team's guarantee may preempt the tasks of teams that exceed
// their guarantees, because borrowed resources must be returned. An urgent unit may also preempt
// low-priority tasks of such teams when it is beyond its own team's guarantee.
//
// pendingPreemptions is the number of tasks of each job for which resources are already being freed.
// Preempt chooses at most maxMachines machines, or all machines of one gang if that gang alone
// needs more. For a gang it frees resources for all tasks, usually on several machines, or for
// none. Some of these machines may have no victims: they are only to be reserved for the gang.
func Preempt(teams []*Team, machines []*Machine, candidates []Preemptible, pendingPreemptions map[string]int, maxMachines int) []Preemption {
	p := newPreemptor(teams, machines, candidates, pendingPreemptions, maxMachines)
	for _, team := range teams {
		total := team.total()
		for _, unit := range team.Units {
			if unit.Gang {
				total = p.preemptForGang(team, unit, total)
			} else {
				total = p.preemptForTasks(team, unit, total)
			}
		}
	}
	return p.results
}

// preemptor is the state of one call of Preempt.
type preemptor struct {
	machines           []*Machine
	candidateMachines  []*Machine                 // machines with candidates at the start
	candidateTeams     map[string]bool            // teams with candidates
	candidates         map[*Machine][]Preemptible // sorted by CPUs, largest first; without machines already chosen
	teamTotals         map[string]Resources       // total of each team, without the victims
	guarantees         map[string]Resources       // by team
	pendingPreemptions map[string]int             // tasks for which resources are already being freed, by job
	maxMachines        int
	results            []Preemption
}

func newPreemptor(teams []*Team, machines []*Machine, candidates []Preemptible, pendingPreemptions map[string]int, maxMachines int) *preemptor {
	p := &preemptor{machines: machines, candidates: map[*Machine][]Preemptible{}, teamTotals: map[string]Resources{},
		candidateTeams: map[string]bool{}, guarantees: map[string]Resources{}, pendingPreemptions: pendingPreemptions, maxMachines: maxMachines}
	for _, task := range candidates {
		if p.candidates[task.Machine] == nil {
			p.candidateMachines = append(p.candidateMachines, task.Machine)
		}
		p.candidates[task.Machine] = append(p.candidates[task.Machine], task)
		p.candidateTeams[task.Team] = true
	}
	for _, tasks := range p.candidates {
		sort.SliceStable(tasks, func(a, b int) bool { return tasks[a].Need.CPUs > tasks[b].Need.CPUs })
	}
	for _, team := range teams {
		p.teamTotals[team.Name], p.guarantees[team.Name] = team.total(), team.Guarantee
	}
	return p
}

// mayPreempt reports whether a task may be preempted. victimResources is the resources of the victims that
// are already chosen from the same team.
type mayPreempt func(task Preemptible, victimResources Resources) bool

// victimFilter returns the condition under which a unit of the given team may preempt a task: the
// task belongs to another team, and that team still exceeds its guarantee. A unit that is not
// within its own team's guarantee may preempt only low-priority tasks.
func (p *preemptor) victimFilter(team string, withinGuarantee bool) mayPreempt {
	return func(task Preemptible, victimResources Resources) bool {
		guarantee, remaining := p.guarantees[task.Team], p.teamTotals[task.Team].Add(victimResources, -1)
		exceeds := remaining.CPUs > guarantee.CPUs+epsilon || remaining.GPUs > guarantee.GPUs+epsilon
		return task.Team != team && exceeds && (withinGuarantee || task.LowPriority)
	}
}

// add records a preemption.
func (p *preemptor) add(preemption Preemption) {
	for _, victim := range preemption.Victims {
		p.teamTotals[victim.Team] = p.teamTotals[victim.Team].Add(victim.Need, -1)
	}
	delete(p.candidates, preemption.Machine) // only one preemption at a time per machine
	p.results = append(p.results, preemption)
}

// preemptForTasks chooses victims for the tasks of a unit that is not a gang, one task at a time. It
// returns the resources that the team uses, including those of the tasks that it has processed.
func (p *preemptor) preemptForTasks(team *Team, unit *Unit, teamTotal Resources) Resources {
	for n := unit.Count; n > 0 && len(p.results) < p.maxMachines; n-- {
		withinGuarantee := team.withinGuarantee(teamTotal, unit.Need)
		if !(withinGuarantee || unit.Urgent) || !team.underLimit(teamTotal, unit.Need) {
			break
		}
		teamTotal = teamTotal.Add(unit.Need, 1)
		if p.pendingPreemptions[unit.Job] > 0 {
			p.pendingPreemptions[unit.Job]--
			continue
		}
		preemption, ok := choosePreemption(unit, p.candidateMachines, p.candidates, p.victimFilter(team.Name, withinGuarantee))
		if !ok {
			break
		}
		p.add(preemption)
	}
	return teamTotal
}

// preemptForGang chooses victims for a whole gang, or none. It returns the resources that the team uses,
// including those of the gang if the gang may preempt.
func (p *preemptor) preemptForGang(team *Team, unit *Unit, teamTotal Resources) Resources {
	withinGuarantee := team.withinGuarantee(teamTotal, unit.startNeed())
	if !(withinGuarantee || unit.Urgent) || unit.Count <= 0 || !team.underLimit(teamTotal, unit.startNeed()) {
		return teamTotal
	}
	teamTotal = teamTotal.Add(unit.startNeed(), 1)
	otherTeams := len(p.candidateTeams)
	if p.candidateTeams[team.Name] {
		otherTeams--
	}
	if p.pendingPreemptions[unit.Job] > 0 || otherTeams == 0 {
		return teamTotal
	}
	preemptions := chooseGangPreemption(unit, p.machines, p.candidates, p.victimFilter(team.Name, withinGuarantee))
	if len(p.results) > 0 && len(p.results)+len(preemptions) > p.maxMachines {
		return teamTotal // the first gang is served however many machines it needs
	}
	for _, preemption := range preemptions {
		preemption.Machine.Reserve(unit.Job) // preemptions for other units must not use its resources
		p.add(preemption)
	}
	return teamTotal
}

// choosePreemption chooses the machine on which a task of the unit fits after preempting the
// fewest CPUs. It reports whether there is such a machine.
func choosePreemption(unit *Unit, machines []*Machine, candidates map[*Machine][]Preemptible, mayPreemptTask mayPreempt) (Preemption, bool) {
	bestPreemption, leastCost := Preemption{}, math.Inf(1)
	for _, machine := range machines {
		if len(candidates[machine]) == 0 || !unit.Need.Fits(machine.Capacity) || !unit.allows(machine) {
			continue
		}
		free, cost := machine.Free, 0.0
		var victims []Preemptible
		victimResources := map[string]Resources{}
		for _, task := range candidates[machine] {
			if unit.Need.Fits(free) {
				break
			}
			if mayPreemptTask(task, victimResources[task.Team]) {
				victimResources[task.Team] = victimResources[task.Team].Add(task.Need, 1)
				free, cost = free.Add(task.Need, 1), cost+task.Need.CPUs
				victims = append(victims, task)
			}
		}
		if len(victims) > 0 && unit.Need.Fits(free) && cost < leastCost-epsilon {
			bestPreemption, leastCost = Preemption{unit, machine, victims}, cost
		}
	}
	return bestPreemption, bestPreemption.Machine != nil
}

// gangMachine is a machine that may run tasks of a gang, with the victims chosen on it so far.
type gangMachine struct {
	machine             *Machine
	free                Resources     // free once the victims have ended
	remainingCandidates []Preemptible // candidates that are not victims
	victims             []Preemptible
	taskCapacity        int // number of the gang's tasks that fit in free
}

// nextVictims returns the tasks to preempt so that at least one more task of the gang fits, and
// their cost in CPUs. victimResources is the resources of the victims already chosen, by team.
func (g *gangMachine) nextVictims(need Resources, victimResources map[string]Resources, mayPreemptTask mayPreempt) (victims []Preemptible, cost float64, ok bool) {
	free, resourcesHere := g.free, map[string]Resources{}
	for _, task := range g.remainingCandidates {
		if !mayPreemptTask(task, victimResources[task.Team].Add(resourcesHere[task.Team], 1)) {
			continue
		}
		resourcesHere[task.Team] = resourcesHere[task.Team].Add(task.Need, 1)
		victims = append(victims, task)
		cost += task.Need.CPUs
		if free = free.Add(task.Need, 1); need.CountIn(free) > g.taskCapacity {
			return victims, cost, true
		}
	}
	return nil, 0, false
}

// addVictims adds tasks to the machine's victims.
func (g *gangMachine) addVictims(need Resources, tasks []Preemptible) {
	for _, task := range tasks {
		g.free = g.free.Add(task.Need, 1)
		g.victims = append(g.victims, task)
		g.remainingCandidates = slices.DeleteFunc(slices.Clone(g.remainingCandidates), func(other Preemptible) bool { return other.ID == task.ID })
	}
	g.taskCapacity = need.CountIn(g.free)
}

// chooseGangPreemption chooses the machines on which a whole gang fits after preempting the
// fewest CPUs. All these machines are in one zone if the gang must run in one zone. It returns
// nil if there are no such machines, or if the gang needs no preemption.
func chooseGangPreemption(unit *Unit, machines []*Machine, candidates map[*Machine][]Preemptible, mayPreemptTask mayPreempt) []Preemption {
	var bestPreemptions []Preemption
	leastCost := math.Inf(1)
	unit.tryZones(machines, func() bool {
		if preemptions, cost := chooseGangPreemptionInZone(unit, machines, candidates, mayPreemptTask); preemptions != nil && cost < leastCost-epsilon {
			bestPreemptions, leastCost = preemptions, cost
		}
		return false
	})
	return bestPreemptions
}

// chooseGangPreemptionInZone chooses the machines as chooseGangPreemption does, but only for the unit's
// current Zone. It also returns the cost in CPUs.
func chooseGangPreemptionInZone(unit *Unit, machines []*Machine, candidates map[*Machine][]Preemptible, mayPreemptTask mayPreempt) ([]Preemption, float64) {
	var usableMachines []*gangMachine
	taskCapacity := 0
	for _, machine := range machines {
		if unit.Need.Fits(machine.Capacity) && unit.allows(machine) {
			option := &gangMachine{machine: machine, free: machine.Free, remainingCandidates: candidates[machine], taskCapacity: unit.Need.CountIn(machine.Free)}
			taskCapacity += option.taskCapacity
			usableMachines = append(usableMachines, option)
		}
	}
	if unit.Spread || taskCapacity >= unit.Count {
		return nil, 0 // no preemption for gangs spread over zones; a gang that fits is placed by the next run
	}
	victimResources, totalCost := map[string]Resources{}, 0.0
	for taskCapacity < unit.Count {
		cheapestMachine, victims, cost := cheapestGangMachine(usableMachines, unit.Need, victimResources, mayPreemptTask)
		if cheapestMachine == nil {
			return nil, 0
		}
		taskCapacity -= cheapestMachine.taskCapacity
		cheapestMachine.addVictims(unit.Need, victims)
		taskCapacity += cheapestMachine.taskCapacity
		totalCost += cost
		for _, victim := range victims {
			victimResources[victim.Team] = victimResources[victim.Team].Add(victim.Need, 1)
		}
	}
	return fewestMachines(unit, usableMachines), totalCost
}

// cheapestGangMachine returns the machine on which one more task of the gang fits after
// preempting the fewest CPUs, with the victims and their cost in CPUs.
func cheapestGangMachine(machines []*gangMachine, need Resources, victimResources map[string]Resources, mayPreemptTask mayPreempt) (bestMachine *gangMachine, victims []Preemptible, cost float64) {
	cost = math.Inf(1)
	for _, option := range machines {
		optionVictims, optionCost, ok := option.nextVictims(need, victimResources, mayPreemptTask)
		if ok && optionCost < cost-epsilon {
			bestMachine, victims, cost = option, optionVictims, optionCost
		}
	}
	return bestMachine, victims, cost
}

// fewestMachines returns preemptions on as few machines as the whole gang needs. Machines with
// victims come first, then those that fit the most tasks.
func fewestMachines(unit *Unit, machines []*gangMachine) []Preemption {
	sort.SliceStable(machines, func(a, b int) bool {
		left, right := machines[a], machines[b]
		if (len(left.victims) > 0) != (len(right.victims) > 0) {
			return len(left.victims) > 0
		}
		return left.taskCapacity > right.taskCapacity
	})
	var preemptions []Preemption
	for placedTasks := 0; placedTasks < unit.Count; {
		nextMachine := machines[len(preemptions)]
		preemptions = append(preemptions, Preemption{unit, nextMachine.machine, nextMachine.victims})
		placedTasks += nextMachine.taskCapacity
	}
	return preemptions
}
