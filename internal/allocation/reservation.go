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
	reservedMachines, gangReserved := map[string]bool{}, false
	for _, team := range teams {
		total := team.total()
		for _, unit := range team.Units {
			switch {
			case !unit.Overdue || len(reservedMachines) >= maxMachines || !team.underLimit(total, unit.startNeed()):
			case !unit.Gang:
				reserveForTask(unit, machines, reservedMachines)
			case !gangReserved:
				gangReserved = reserveForGang(unit, machines, reservedMachines)
			}
		}
	}
	return reservedMachines
}

// reserveForTask reserves the machine that comes closest to fitting a task of the unit. It
// reserves nothing if a task fits on a machine now.
func reserveForTask(unit *Unit, machines []*Machine, reservedMachines map[string]bool) {
	var bestMachine *Machine
	bestFraction := 0.0
	for _, machine := range machines {
		if reservedMachines[machine.ID] || !unit.Need.Fits(machine.Capacity) || !unit.allows(machine) {
			continue
		}
		if unit.Need.Fits(machine.Free) {
			return
		}
		if fraction := unit.Need.fractionIn(machine.Free); bestMachine == nil || fraction > bestFraction {
			bestMachine, bestFraction = machine, fraction
		}
	}
	if bestMachine != nil {
		bestMachine.reservedFor, reservedMachines[bestMachine.ID] = unit.Job, true
	}
}

// reserveForGang reserves the machines that can hold the whole gang once their current tasks
// have ended, and chooses those with the smallest part in use. It reserves nothing if the
// gang fits now. It reports whether it reserved machines. Only one gang at a time has
// reservations: two gangs could each reserve half of the machines that either gang needs.
func reserveForGang(unit *Unit, machines []*Machine, reservedMachines map[string]bool) bool {
	var bestMachines []*Machine
	leastUsedFraction := math.Inf(1)
	unit.tryZones(machines, func() bool {
		var usableMachines []*Machine
		fitsNow := 0
		for _, machine := range machines {
			if !reservedMachines[machine.ID] && unit.Need.Fits(machine.Capacity) && unit.allows(machine) {
				usableMachines = append(usableMachines, machine)
				fitsNow += unit.Need.CountIn(machine.Free)
			}
		}
		if fitsNow >= unit.Count {
			bestMachines = nil
			return true
		}
		// The machines with the largest free fraction come first, because the tasks that use the
		// rest have to end before the gang can start.
		sort.SliceStable(usableMachines, func(a, b int) bool {
			return usableMachines[a].Capacity.fractionIn(usableMachines[a].Free) > usableMachines[b].Capacity.fractionIn(usableMachines[b].Free)
		})
		capacity, usedFraction := 0, 0.0
		for i, machine := range usableMachines {
			capacity += unit.Need.CountIn(machine.Capacity)
			usedFraction += 1 - machine.Capacity.fractionIn(machine.Free)
			if capacity >= unit.Count {
				if usedFraction < leastUsedFraction {
					bestMachines, leastUsedFraction = usableMachines[:i+1], usedFraction
				}
				break
			}
		}
		return false
	})
	for _, machine := range bestMachines {
		machine.reservedFor, reservedMachines[machine.ID] = unit.Job, true
	}
	return len(bestMachines) > 0
}
