package allocation

import (
	"math"
	"sort"
)

// ReserveForOverdue reserves, for each overdue unit that fits on no machine, the machine that
// comes closest to fitting it; for a gang, several machines. Without the reservation, small units
// would use each piece of the machine as soon as it becomes free. Once maxMachines machines are
// reserved, no further unit gets a reservation. ReserveForOverdue returns the IDs of the reserved
// machines.
func ReserveForOverdue(teams []*Team, machines []*Machine, maxMachines int) map[string]bool {
	reserved, gangReserved := map[string]bool{}, false
	for _, team := range teams {
		total := team.total()
		for _, unit := range team.Units {
			switch {
			case !unit.Overdue || len(reserved) >= maxMachines || !team.underLimit(total, unit.startNeed()):
			case !unit.Gang:
				reserveForTask(unit, machines, reserved)
			case !gangReserved:
				gangReserved = reserveForGang(unit, machines, reserved)
			}
		}
	}
	return reserved
}

// reserveForTask reserves the machine that comes closest to fitting a task of the unit. It
// reserves nothing if a task fits on a machine now.
func reserveForTask(u *Unit, machines []*Machine, reserved map[string]bool) {
	var best *Machine
	bestFraction := 0.0
	for _, machine := range machines {
		if reserved[machine.ID] || !u.Need.Fits(machine.Capacity) || !u.allows(machine) {
			continue
		}
		if u.Need.Fits(machine.Free) {
			return
		}
		if fraction := u.Need.fractionIn(machine.Free); best == nil || fraction > bestFraction {
			best, bestFraction = machine, fraction
		}
	}
	if best != nil {
		best.reservedFor, reserved[best.ID] = u.Job, true
	}
}

// reserveForGang reserves the machines that can hold the whole gang once their current tasks
// have ended, and chooses those with the smallest part in use. It reserves nothing if the
// gang fits now. It reports whether it reserved machines. Only one gang at a time has
// reservations: two gangs could each reserve half of what one of them needs.
func reserveForGang(u *Unit, machines []*Machine, reserved map[string]bool) bool {
	var best []*Machine
	leastUsed := math.Inf(1)
	u.tryZones(machines, func() bool {
		var usable []*Machine
		fitsNow := 0
		for _, machine := range machines {
			if !reserved[machine.ID] && u.Need.Fits(machine.Capacity) && u.allows(machine) {
				usable = append(usable, machine)
				fitsNow += u.Need.CountIn(machine.Free)
			}
		}
		if fitsNow >= u.Count {
			best = nil
			return true
		}
		// The machines with the largest free fraction come first, because the tasks that use the
		// rest have to end before the gang can start.
		sort.SliceStable(usable, func(a, b int) bool {
			return usable[a].Capacity.fractionIn(usable[a].Free) > usable[b].Capacity.fractionIn(usable[b].Free)
		})
		capacity, used := 0, 0.0
		for i, machine := range usable {
			capacity += u.Need.CountIn(machine.Capacity)
			used += 1 - machine.Capacity.fractionIn(machine.Free)
			if capacity >= u.Count {
				if used < leastUsed {
					best, leastUsed = usable[:i+1], used
				}
				break
			}
		}
		return false
	})
	for _, machine := range best {
		machine.reservedFor, reserved[machine.ID] = u.Job, true
	}
	return len(best) > 0
}
