package allocation

import (
	"math"
	"slices"
	"sort"
)

// Loan is a running task whose room its team may be asked to return: it loses
// nothing when it is stopped. ID is the caller's.
type Loan struct {
	ID      int
	Team    string
	Machine *Machine
	Need    Res
	Low     bool // gives way to urgent units of other teams
}

// Claim is room that a unit waits for: the loans on a machine that are to end,
// so that one task of the unit fits.
type Claim struct {
	Unit    *Unit
	Machine *Machine
	Loans   []Loan
}

// Return finds what teams must return. A unit within its team's guarantee that
// fits nowhere gets room from teams that run beyond theirs (deployment page:
// what is borrowed must be returned), and an urgent unit from low loans. pending
// counts the tasks of each job that room is on its way for, and at most most
// claims are made, or those of one gang. A gang gets room for all its tasks, on several machines, or none;
// some of these may have no loans and are only to be kept for it. It belongs after Run,
// which has placed what fits.
func Return(teams []*Team, machines []*Machine, loans []Loan, pending map[string]int, most int) []Claim {
	byMachine := map[*Machine][]Loan{}
	for _, l := range loans {
		byMachine[l.Machine] = append(byMachine[l.Machine], l)
	}
	for _, list := range byMachine {
		sort.SliceStable(list, func(a, b int) bool { return list[a].Need.CPUs > list[b].Need.CPUs })
	}
	totals, guarantees := map[string]Res{}, map[string]Res{}
	for _, t := range teams {
		totals[t.Name], guarantees[t.Name] = t.total(), t.Guarantee
	}
	// beyond tells whether a team still runs beyond its guarantee without some of
	// its tasks.
	beyond := func(team string, without Res) bool {
		g, b := guarantees[team], totals[team].Add(without, -1)
		return b.CPUs > g.CPUs+eps || b.GPUs > g.GPUs+eps
	}
	var out []Claim
	for _, t := range teams {
		total := t.total()
		for _, u := range t.Units {
			if u.Gang {
				in := t.guaranteed(total, u.ask())
				if !(in || u.Urgent) || u.Count <= 0 || !t.underLimit(total, u.ask()) {
					continue
				}
				total = total.Add(u.ask(), 1)
				if pending[u.Job] > 0 {
					continue
				}
				claims := claimGang(u, machines, byMachine, func(l Loan, taken Res) bool {
					return l.Team != t.Name && beyond(l.Team, taken) && (in || l.Low)
				})
				if len(out) > 0 && len(out)+len(claims) > most {
					continue // one gang at least, however many machines it needs
				}
				for _, c := range claims {
					c.Machine.Keep(u.Job) // nobody else's claim counts on its room
					delete(byMachine, c.Machine)
					for _, l := range c.Loans {
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
				c, ok := claim(u, machines, byMachine, func(l Loan, taken Res) bool {
					return l.Team != t.Name && beyond(l.Team, taken) && (in || l.Low)
				})
				if !ok {
					break
				}
				for _, l := range c.Loans {
					totals[l.Team] = totals[l.Team].Add(l.Need, -1)
				}
				delete(byMachine, c.Machine) // one claim a machine at a time
				out = append(out, c)
			}
		}
	}
	return out
}

// claim chooses the machine on which the fewest loans have to end for a unit. may
// tells whether a loan may be taken after others of its team.
func claim(u *Unit, machines []*Machine, loans map[*Machine][]Loan, may func(l Loan, taken Res) bool) (Claim, bool) {
	best, least := Claim{}, math.Inf(1)
	for _, m := range machines {
		if len(loans[m]) == 0 || !u.Need.Fits(m.Size) || !u.allows(m) {
			continue
		}
		free, cost := m.Free, 0.0
		var take []Loan
		taken := map[string]Res{}
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
		if len(take) > 0 && u.Need.Fits(free) && cost < least-eps {
			best, least = Claim{u, m, take}, cost
		}
	}
	return best, best.Machine != nil
}

// gangRoom is what one machine offers a gang: the loans taken so far, and the tasks that
// fit once these have ended.
type gangRoom struct {
	machine *Machine
	free    Res
	loans   []Loan // not taken yet
	taken   []Loan
	fits    int
}

// next finds the least that has to be taken in addition for one task more to fit. taken is
// what is taken already, by team.
func (r *gangRoom) next(need Res, taken map[string]Res, may func(l Loan, taken Res) bool) (loans []Loan, cost float64, ok bool) {
	free, here := r.free, map[string]Res{}
	for _, l := range r.loans {
		if !may(l, taken[l.Team].Add(here[l.Team], 1)) {
			continue
		}
		here[l.Team] = here[l.Team].Add(l.Need, 1)
		loans = append(loans, l)
		cost += l.Need.CPUs
		if free = free.Add(l.Need, 1); need.Times(free) > r.fits {
			return loans, cost, true
		}
	}
	return nil, 0, false
}

// take ends loans in favour of the gang.
func (r *gangRoom) take(need Res, loans []Loan) {
	for _, l := range loans {
		r.free = r.free.Add(l.Need, 1)
		r.taken = append(r.taken, l)
		r.loans = slices.DeleteFunc(slices.Clone(r.loans), func(x Loan) bool { return x.ID == l.ID })
	}
	r.fits = need.Times(r.free)
}

// claimGang chooses the machines on which the least has to end for a whole gang, in one
// zone if it must be in one. may tells whether a loan may be taken after others of its team.
func claimGang(u *Unit, machines []*Machine, loans map[*Machine][]Loan, may func(l Loan, taken Res) bool) []Claim {
	var best []Claim
	least := math.Inf(1)
	u.inZones(machines, func() bool {
		if claims, cost := claimGangHere(u, machines, loans, may); claims != nil && cost < least-eps {
			best, least = claims, cost
		}
		return false
	})
	return best
}

// claimGangHere is claimGang for the zones that the unit allows at the moment.
func claimGangHere(u *Unit, machines []*Machine, loans map[*Machine][]Loan, may func(l Loan, taken Res) bool) ([]Claim, float64) {
	var rooms []*gangRoom
	for _, m := range machines {
		if u.Need.Fits(m.Size) && u.allows(m) {
			rooms = append(rooms, &gangRoom{machine: m, free: m.Free, loans: loans[m], fits: u.Need.Times(m.Free)})
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
	taken, total := map[string]Res{}, 0.0
	for fits() < u.Count {
		var chosen *gangRoom
		var take []Loan
		cost := math.Inf(1)
		for _, r := range rooms {
			list, c, ok := r.next(u.Need, taken, may)
			if ok && c < cost-eps {
				chosen, take, cost = r, list, c
			}
		}
		if chosen == nil {
			return nil, 0
		}
		chosen.take(u.Need, take)
		total += cost
		for _, l := range take {
			taken[l.Team] = taken[l.Team].Add(l.Need, 1)
		}
	}
	// Machines whose tasks end first, then those with most room: fewest are kept.
	sort.SliceStable(rooms, func(a, b int) bool {
		x, y := rooms[a], rooms[b]
		if (len(x.taken) > 0) != (len(y.taken) > 0) {
			return len(x.taken) > 0
		}
		return x.fits > y.fits
	})
	var claims []Claim
	for n := 0; n < u.Count; {
		r := rooms[len(claims)]
		claims = append(claims, Claim{u, r.machine, r.taken})
		n += r.fits
	}
	return claims, total
}
