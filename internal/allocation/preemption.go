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
// what is borrowed must be returned), and an urgent unit from low loans. pending
// counts the tasks of each job that room is on its way for, and at most most
// claims are made, or those of one gang. A gang gets room for all its tasks, on several machines, or none;
// some of these may have no loans and are only to be kept for it. It belongs after Run,
// which has placed what fits.
func Preempt(teams []*Team, machines []*Machine, loans []Preemptible, pending map[string]int, most int) []Preemption {
	byMachine := map[*Machine][]Preemptible{}
	for _, l := range loans {
		byMachine[l.Machine] = append(byMachine[l.Machine], l)
	}
	for _, list := range byMachine {
		sort.SliceStable(list, func(a, b int) bool { return list[a].Need.CPUs > list[b].Need.CPUs })
	}
	totals, guarantees := map[string]Resources{}, map[string]Resources{}
	for _, t := range teams {
		totals[t.Name], guarantees[t.Name] = t.total(), t.Guarantee
	}
	// beyond tells whether a team still runs beyond its guarantee without some of
	// its tasks.
	beyond := func(team string, without Resources) bool {
		g, b := guarantees[team], totals[team].Add(without, -1)
		return b.CPUs > g.CPUs+epsilon || b.GPUs > g.GPUs+epsilon
	}
	var out []Preemption
	for _, t := range teams {
		total := t.total()
		for _, u := range t.Units {
			if u.Gang {
				in := t.guaranteed(total, u.total())
				if !(in || u.Urgent) || u.Count <= 0 || !t.underLimit(total, u.total()) {
					continue
				}
				total = total.Add(u.total(), 1)
				if pending[u.Job] > 0 {
					continue
				}
				claims := chooseGangPreemption(u, machines, byMachine, func(l Preemptible, taken Resources) bool {
					return l.Team != t.Name && beyond(l.Team, taken) && (in || l.Low)
				})
				if len(out) > 0 && len(out)+len(claims) > most {
					continue // one gang at least, however many machines it needs
				}
				for _, c := range claims {
					c.Machine.Reserve(u.Job) // nobody else's claim counts on its room
					delete(byMachine, c.Machine)
					for _, l := range c.Victims {
						totals[l.Team] = totals[l.Team].Add(l.Need, -1)
					}
				}
				out = append(out, claims...)
				continue
			}
			n := u.Count
			for i := 0; i < n && len(out) < most; i++ {
				in := t.guaranteed(total, u.Need)
				if !(in || u.Urgent) || !t.underLimit(total, u.Need) {
					break
				}
				total = total.Add(u.Need, 1)
				if pending[u.Job] > 0 {
					pending[u.Job]--
					continue
				}
				c, ok := choosePreemption(u, machines, byMachine, func(l Preemptible, taken Resources) bool {
					return l.Team != t.Name && beyond(l.Team, taken) && (in || l.Low)
				})
				if !ok {
					break
				}
				for _, l := range c.Victims {
					totals[l.Team] = totals[l.Team].Add(l.Need, -1)
				}
				delete(byMachine, c.Machine) // one claim a machine at a time
				out = append(out, c)
			}
		}
	}
	return out
}

// choosePreemption chooses the machine on which the fewest loans have to end for a unit. may
// tells whether a loan may be taken after others of its team.
func choosePreemption(u *Unit, machines []*Machine, loans map[*Machine][]Preemptible, may func(l Preemptible, taken Resources) bool) (Preemption, bool) {
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
func (r *gangCandidate) next(need Resources, taken map[string]Resources, may func(l Preemptible, taken Resources) bool) (loans []Preemptible, cost float64, ok bool) {
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
func chooseGangPreemption(u *Unit, machines []*Machine, loans map[*Machine][]Preemptible, may func(l Preemptible, taken Resources) bool) []Preemption {
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

// gangPreemptionInZone is claimGang for the zones that the unit allows at the moment.
func gangPreemptionInZone(u *Unit, machines []*Machine, loans map[*Machine][]Preemptible, may func(l Preemptible, taken Resources) bool) ([]Preemption, float64) {
	var rooms []*gangCandidate
	for _, m := range machines {
		if u.Need.Fits(m.Size) && u.allows(m) {
			rooms = append(rooms, &gangCandidate{machine: m, free: m.Free, remaining: loans[m], fits: u.Need.CountIn(m.Free)})
		}
	}
	fits := func() int {
		n := 0
		for _, r := range rooms {
			n += r.fits
		}
		return n
	}
	if u.Spread || fits() >= u.Count {
		return nil, 0 // by zones, or placed by the next run
	}
	taken, total := map[string]Resources{}, 0.0
	for fits() < u.Count {
		var chosen *gangCandidate
		var take []Preemptible
		cost := math.Inf(1)
		for _, r := range rooms {
			list, c, ok := r.next(u.Need, taken, may)
			if ok && c < cost-epsilon {
				chosen, take, cost = r, list, c
			}
		}
		if chosen == nil {
			return nil, 0
		}
		chosen.preempt(u.Need, take)
		total += cost
		for _, l := range take {
			taken[l.Team] = taken[l.Team].Add(l.Need, 1)
		}
	}
	// Machines whose tasks end first, then those with most room: fewest are kept.
	sort.SliceStable(rooms, func(a, b int) bool {
		x, y := rooms[a], rooms[b]
		if (len(x.victims) > 0) != (len(y.victims) > 0) {
			return len(x.victims) > 0
		}
		return x.fits > y.fits
	})
	var claims []Preemption
	for n := 0; n < u.Count; {
		r := rooms[len(claims)]
		claims = append(claims, Preemption{u, r.machine, r.victims})
		n += r.fits
	}
	return claims, total
}
