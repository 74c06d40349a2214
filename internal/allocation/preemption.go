package allocation

import (
	"math"
	"slices"
	"sort"
)

// Preemptible is a running task whose room its team may be asked to return: it loses
// nothing when it is stopped. ID is the caller's.
type Preemptible struct {
	ID      int
	Team    string
	Machine *Machine
	Need    Resources
	Low     bool // gives way to urgent units of other teams
}

// Preemption is room that a unit waits for: the loans on a machine that are to end,
// so that one task of the unit fits.
type Preemption struct {
	Unit    *Unit
	Machine *Machine
	Victims []Preemptible
}

// Preempt finds what teams must return. A unit within its team's guarantee that
// fits nowhere gets room from teams that run beyond theirs (deployment page:
// what is borrowed must be returned), and an urgent unit from low tasks. pending
// counts the tasks of each job that room is on its way for, and at most most
// machines are named, or those of one gang. A gang gets room for all its tasks, on several
// machines, or none; some of these may have no victims and are only to be kept for it. It
// belongs after Run, which has placed what fits.
func Preempt(teams []*Team, machines []*Machine, candidates []Preemptible, pending map[string]int, most int) []Preemption {
	p := newPreemptor(teams, machines, candidates, pending, most)
	for _, t := range teams {
		total := t.total()
		for _, u := range t.Units {
			if u.Gang {
				total = p.preemptForGang(t, u, total)
			} else {
				total = p.preemptForTasks(t, u, total)
			}
		}
	}
	return p.out
}

// preemptor is the state of one call of Preempt.
type preemptor struct {
	machines   []*Machine
	lending    []*Machine                 // those with candidates
	lenders    map[string]bool            // teams with candidates
	candidates map[*Machine][]Preemptible // largest first; without machines that are taken
	totals     map[string]Resources       // what each team runs, without the victims
	guarantees map[string]Resources
	pending    map[string]int
	most       int
	out        []Preemption
}

func newPreemptor(teams []*Team, machines []*Machine, candidates []Preemptible, pending map[string]int, most int) *preemptor {
	p := &preemptor{machines: machines, candidates: map[*Machine][]Preemptible{}, totals: map[string]Resources{},
		lenders: map[string]bool{}, guarantees: map[string]Resources{}, pending: pending, most: most}
	for _, c := range candidates {
		if p.candidates[c.Machine] == nil {
			p.lending = append(p.lending, c.Machine)
		}
		p.candidates[c.Machine] = append(p.candidates[c.Machine], c)
		p.lenders[c.Team] = true
	}
	for _, list := range p.candidates {
		sort.SliceStable(list, func(a, b int) bool { return list[a].Need.CPUs > list[b].Need.CPUs })
	}
	for _, t := range teams {
		p.totals[t.Name], p.guarantees[t.Name] = t.total(), t.Guarantee
	}
	return p
}

// mayPreempt tells whether a task may be taken after others of its team.
type mayPreempt func(task Preemptible, taken Resources) bool

// allowed tells what a team may take: of others that run beyond their guarantee, and only low
// tasks unless it is within its own.
func (p *preemptor) allowed(team string, within bool) mayPreempt {
	return func(task Preemptible, taken Resources) bool {
		guarantee, left := p.guarantees[task.Team], p.totals[task.Team].Add(taken, -1)
		beyond := left.CPUs > guarantee.CPUs+epsilon || left.GPUs > guarantee.GPUs+epsilon
		return task.Team != team && beyond && (within || task.Low)
	}
}

// take names a machine's victims.
func (p *preemptor) take(x Preemption) {
	for _, victim := range x.Victims {
		p.totals[victim.Team] = p.totals[victim.Team].Add(victim.Need, -1)
	}
	delete(p.candidates, x.Machine) // one at a time on a machine
	p.out = append(p.out, x)
}

// preemptForTasks makes room for as many tasks of a unit as may be, each on its own, and
// returns what the team then runs.
func (p *preemptor) preemptForTasks(t *Team, u *Unit, total Resources) Resources {
	for n := u.Count; n > 0 && len(p.out) < p.most; n-- {
		within := t.guaranteed(total, u.Need)
		if !(within || u.Urgent) || !t.underLimit(total, u.Need) {
			break
		}
		total = total.Add(u.Need, 1)
		if p.pending[u.Job] > 0 {
			p.pending[u.Job]--
			continue
		}
		x, ok := choosePreemption(u, p.lending, p.candidates, p.allowed(t.Name, within))
		if !ok {
			break
		}
		p.take(x)
	}
	return total
}

// preemptForGang makes room for a whole gang, and returns what the team then runs.
func (p *preemptor) preemptForGang(t *Team, u *Unit, total Resources) Resources {
	within := t.guaranteed(total, u.total())
	if !(within || u.Urgent) || u.Count <= 0 || !t.underLimit(total, u.total()) {
		return total
	}
	total = total.Add(u.total(), 1)
	lenders := len(p.lenders)
	if p.lenders[t.Name] {
		lenders--
	}
	if p.pending[u.Job] > 0 || lenders == 0 {
		return total
	}
	list := chooseGangPreemption(u, p.machines, p.candidates, p.allowed(t.Name, within))
	if len(p.out) > 0 && len(p.out)+len(list) > p.most {
		return total // one gang at least, however many machines it needs
	}
	for _, x := range list {
		x.Machine.Reserve(u.Job) // nobody else's preemption counts on its room
		p.take(x)
	}
	return total
}

// choosePreemption chooses the machine on which the fewest loans have to end for a unit. may
// tells whether a loan may be taken after others of its team.
func choosePreemption(u *Unit, machines []*Machine, loans map[*Machine][]Preemptible, may mayPreempt) (Preemption, bool) {
	best, least := Preemption{}, math.Inf(1)
	for _, m := range machines {
		if len(loans[m]) == 0 || !u.Need.Fits(m.Size) || !u.allows(m) {
			continue
		}
		free, cost := m.Free, 0.0
		var take []Preemptible
		taken := map[string]Resources{}
		for _, l := range loans[m] {
			if u.Need.Fits(free) {
				break
			}
			if may(l, taken[l.Team]) {
				taken[l.Team] = taken[l.Team].Add(l.Need, 1)
				free, cost = free.Add(l.Need, 1), cost+l.Need.CPUs
				take = append(take, l)
			}
		}
		if len(take) > 0 && u.Need.Fits(free) && cost < least-epsilon {
			best, least = Preemption{u, m, take}, cost
		}
	}
	return best, best.Machine != nil
}

// gangCandidate is what one machine offers a gang: the loans taken so far, and the tasks that
// fit once these have ended.
type gangCandidate struct {
	machine   *Machine
	free      Resources
	remaining []Preemptible // not taken yet
	victims   []Preemptible
	fits      int
}

// next finds the least that has to be taken in addition for one task more to fit. taken is
// what is taken already, by team.
func (r *gangCandidate) next(need Resources, taken map[string]Resources, may mayPreempt) (loans []Preemptible, cost float64, ok bool) {
	free, here := r.free, map[string]Resources{}
	for _, l := range r.remaining {
		if !may(l, taken[l.Team].Add(here[l.Team], 1)) {
			continue
		}
		here[l.Team] = here[l.Team].Add(l.Need, 1)
		loans = append(loans, l)
		cost += l.Need.CPUs
		if free = free.Add(l.Need, 1); need.CountIn(free) > r.fits {
			return loans, cost, true
		}
	}
	return nil, 0, false
}

// preempt ends tasks in favour of the gang.
func (r *gangCandidate) preempt(need Resources, loans []Preemptible) {
	for _, l := range loans {
		r.free = r.free.Add(l.Need, 1)
		r.victims = append(r.victims, l)
		r.remaining = slices.DeleteFunc(slices.Clone(r.remaining), func(x Preemptible) bool { return x.ID == l.ID })
	}
	r.fits = need.CountIn(r.free)
}

// chooseGangPreemption chooses the machines on which the least has to end for a whole gang, in one
// zone if it must be in one. may tells whether a loan may be taken after others of its team.
func chooseGangPreemption(u *Unit, machines []*Machine, loans map[*Machine][]Preemptible, may mayPreempt) []Preemption {
	var best []Preemption
	least := math.Inf(1)
	u.tryZones(machines, func() bool {
		if claims, cost := gangPreemptionInZone(u, machines, loans, may); claims != nil && cost < least-epsilon {
			best, least = claims, cost
		}
		return false
	})
	return best
}

// gangPreemptionInZone is chooseGangPreemption for the zones that the unit allows at the moment.
func gangPreemptionInZone(u *Unit, machines []*Machine, candidates map[*Machine][]Preemptible, may mayPreempt) ([]Preemption, float64) {
	var rooms []*gangCandidate
	fits := 0
	for _, m := range machines {
		if u.Need.Fits(m.Size) && u.allows(m) {
			r := &gangCandidate{machine: m, free: m.Free, remaining: candidates[m], fits: u.Need.CountIn(m.Free)}
			fits += r.fits
			rooms = append(rooms, r)
		}
	}
	if u.Spread || fits >= u.Count {
		return nil, 0 // by zones, or placed by the next run
	}
	taken, total := map[string]Resources{}, 0.0
	for fits < u.Count {
		r, victims, cost := cheapestCandidate(rooms, u.Need, taken, may)
		if r == nil {
			return nil, 0
		}
		fits -= r.fits
		r.preempt(u.Need, victims)
		fits += r.fits
		total += cost
		for _, victim := range victims {
			taken[victim.Team] = taken[victim.Team].Add(victim.Need, 1)
		}
	}
	return fewestMachines(u, rooms), total
}

// cheapestCandidate finds the machine on which least has to end for one task more to fit.
func cheapestCandidate(rooms []*gangCandidate, need Resources, taken map[string]Resources, may mayPreempt) (best *gangCandidate, victims []Preemptible, cost float64) {
	cost = math.Inf(1)
	for _, r := range rooms {
		list, c, ok := r.next(need, taken, may)
		if ok && c < cost-epsilon {
			best, victims, cost = r, list, c
		}
	}
	return best, victims, cost
}

// fewestMachines keeps the machines whose tasks end, and then those with most room, until the
// whole gang fits.
func fewestMachines(u *Unit, rooms []*gangCandidate) []Preemption {
	sort.SliceStable(rooms, func(a, b int) bool {
		x, y := rooms[a], rooms[b]
		if (len(x.victims) > 0) != (len(y.victims) > 0) {
			return len(x.victims) > 0
		}
		return x.fits > y.fits
	})
	var list []Preemption
	for n := 0; n < u.Count; {
		r := rooms[len(list)]
		list = append(list, Preemption{u, r.machine, r.victims})
		n += r.fits
	}
	return list
}
