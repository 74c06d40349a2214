package allocation

import (
	"math"
	"sort"
)

// HoldRoom keeps a machine for every overdue unit that fits on none, the one that
// lacks least for it: its room is freed in small pieces, and small units would
// take each as it comes. At most that many are held; it tells which.
func HoldRoom(teams []*Team, machines []*Machine, most int) map[string]bool {
	held, gang := map[string]bool{}, false
	for _, t := range teams {
		total := t.total()
		for _, u := range t.Units {
			switch {
			case !u.Overdue || len(held) >= most || !t.underLimit(total, u.total()):
			case !u.Gang:
				holdRoomForTask(u, machines, held)
			case !gang:
				gang = holdRoomForGang(u, machines, held)
			}
		}
	}
	return held
}

// holdRoomForTask keeps the machine that lacks least for a task of the unit, unless one fits.
func holdRoomForTask(u *Unit, machines []*Machine, held map[string]bool) {
	var best *Machine
	fraction := 0.0
	for _, m := range machines {
		if held[m.ID] || !u.Need.Fits(m.Size) || !u.allows(m) {
			continue
		}
		if u.Need.Fits(m.Free) {
			return
		}
		if f := u.Need.fractionIn(m.Free); best == nil || f > fraction {
			best, fraction = m, f
		}
	}
	if best != nil {
		best.reservedFor, held[best.ID] = u.Job, true
	}
}

// holdRoomForGang keeps the machines for a gang that need to run empty least to take it whole,
// unless it fits as it is. One gang at a time has room held: two would each keep half of
// what one needs. It tells whether it did.
func holdRoomForGang(u *Unit, machines []*Machine, held map[string]bool) bool {
	var best []*Machine
	least := math.Inf(1)
	u.tryZones(machines, func() bool {
		var list []*Machine
		fits := 0
		for _, m := range machines {
			if !held[m.ID] && u.Need.Fits(m.Size) && u.allows(m) {
				list = append(list, m)
				fits += u.Need.CountIn(m.Free)
			}
		}
		if fits >= u.Count {
			best = nil
			return true
		}
		// The part of a machine that is in use has to end first.
		sort.SliceStable(list, func(a, b int) bool {
			return list[a].Size.fractionIn(list[a].Free) > list[b].Size.fractionIn(list[b].Free)
		})
		room, used := 0, 0.0
		for i, m := range list {
			room += u.Need.CountIn(m.Size)
			used += 1 - m.Size.fractionIn(m.Free)
			if room >= u.Count {
				if used < least {
					best, least = list[:i+1], used
				}
				break
			}
		}
		return false
	})
	for _, m := range best {
		m.reservedFor, held[m.ID] = u.Job, true
	}
	return len(best) > 0
}
