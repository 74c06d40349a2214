package allocation

import (
	"maps"
	"slices"
)

// muchLarger is how many times larger another unit of a class is when a unit had
// better keep to other classes.
const muchLarger = 3

// fetchShare of the time within which a task should start is what fetching its
// image may take; the rest is for slower fetches and the way to the machine.
const fetchShare = 0.6

// placeUnit takes room for one task of a unit, or for all tasks of a gang, and tells where;
// for a gang that fits nowhere as a whole it takes nothing.
func placeUnit(u *Unit, machines []*Machine, largest map[string]Resources) []*Machine {
	if u.Gang {
		return placeGang(u, machines, largest)
	}
	if m := u.takeRoom(machines, largest); m != nil {
		return []*Machine{m}
	}
	return nil
}

// takeRoom takes room for one task of a unit and tells where, or nil.
func (u *Unit) takeRoom(machines []*Machine, largest map[string]Resources) *Machine {
	m := u.stillBest(largest)
	if m == nil {
		m = pickMachine(u, machines, largest)
	}
	if m != nil {
		m.Free = m.Free.Add(u.Need, -1)
		if u.ByZone != nil {
			u.ByZone[m.Zone]++
		}
	}
	return m
}

// giveBack undoes takeRoom.
func (u *Unit) giveBack(m *Machine) {
	m.Free = m.Free.Add(u.Need, 1)
	if u.ByZone != nil {
		u.ByZone[m.Zone]--
	}
}

// placeGang takes room for all tasks of a gang, or none.
func placeGang(u *Unit, machines []*Machine, largest map[string]Resources) []*Machine {
	var chosen []*Machine
	u.tryZones(machines, func() bool {
		u.lastMachine = nil
		for len(chosen) < u.Count {
			m := u.takeRoom(machines, largest)
			if m == nil {
				break
			}
			chosen = append(chosen, m)
		}
		if len(chosen) == u.Count {
			return true
		}
		for _, m := range chosen {
			u.giveBack(m)
		}
		chosen = nil
		return false
	})
	u.lastMachine = nil
	return chosen
}

// tryZones tries something in one zone after the other for a unit that must be in one, and
// once for any other, until it succeeds.
func (u *Unit) tryZones(machines []*Machine, try func() bool) {
	zone := u.Zone
	defer func() { u.Zone = zone }()
	zones := map[string]bool{}
	for _, m := range machines {
		zones[m.Zone] = true
	}
	if !u.OneZone || zone != "" {
		zones = map[string]bool{zone: true}
	}
	for _, u.Zone = range slices.Sorted(maps.Keys(zones)) {
		if try() {
			return
		}
	}
}

// hasImage tells whether the image is there, or at least on its way.
func (m *Machine) hasImage(image string) bool {
	_, known := m.Images[image]
	return known || m.fetching[image]
}

// stillBest tells whether the machine that took the last task of the unit is still
// the best one: it has less room than before, and if it ranks no lower, nothing
// that pick would look at has come before it.
func (u *Unit) stillBest(largest map[string]Resources) *Machine {
	if m := u.lastMachine; m != nil && u.Need.Fits(m.Free) && u.allows(m) && u.rankMachine(m, largest) >= u.lastRank {
		return m
	}
	return nil
}

// pickMachine chooses the machine for a unit among those with room: the one of the
// highest rank, and among equals the one with the least room left, so that
// others run empty and can be returned; and then first-fit.
func pickMachine(u *Unit, machines []*Machine, largest map[string]Resources) *Machine {
	var best *Machine
	rank := -1
	for _, m := range machines {
		if !u.Need.Fits(m.Free) || !u.allows(m) {
			continue
		}
		if r := u.rankMachine(m, largest); r > rank || (r == rank && m.Free.CPUs < best.Free.CPUs-epsilon) {
			best, rank = m, r
		}
	}
	u.lastMachine, u.lastRank = best, rank
	return best
}

// rankMachine ranks a machine by what counts most: that a unit that should start soon
// need not wait for its image; that a unit that should be safe is on an ordinary
// machine; that the class is not one that much larger units need;
// that the largest unit of the class loses no room, for small units spread over
// large machines lock it out; that the image is there,
// since a fetch takes room for as long as a short task runs; that the machine is
// busy.
func (u *Unit) rankMachine(m *Machine, largest map[string]Resources) int {
	r := 0
	if u.StartWithin > 0 && (u.Image == "" || m.Images[u.Image] || u.ImageGB <= fetchShare*u.StartWithin*m.FetchGBps) {
		r += 32
	}
	big := largest[m.Class]
	if u.Safe && !m.Spot {
		r += 16
	}
	if big.CPUs < muchLarger*u.Need.CPUs {
		r += 8
	}
	if big == u.Need || big.CountIn(m.Free) == big.CountIn(m.Free.Add(u.Need, -1)) {
		r += 4
	}
	if u.Image == "" || m.hasImage(u.Image) {
		r += 2
	}
	if m.Busy {
		r++
	}
	return r
}
