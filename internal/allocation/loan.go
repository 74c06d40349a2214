package allocation

import (
	"math"
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
// claims are made. It belongs after Run, which has placed what fits.
func Return(teams []*Team, loans []Loan, pending map[string]int, most int) []Claim {
	byMachine := map[*Machine][]Loan{}
	var machines []*Machine
	for _, l := range loans {
		if byMachine[l.Machine] == nil {
			machines = append(machines, l.Machine)
		}
		byMachine[l.Machine] = append(byMachine[l.Machine], l)
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
			if u.Gang { // room for one task alone is of no use to it
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
		list := loans[m]
		sort.SliceStable(list, func(a, b int) bool { return list[a].Need.CPUs > list[b].Need.CPUs })
		for _, l := range list {
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
