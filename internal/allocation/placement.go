package allocation

import (
	"maps"
	"slices"
)

// largeUnitFactor is how many times larger than a unit the largest unit of a class has to be
// for the unit to prefer other classes.
const largeUnitFactor = 3

// maxFetchFraction is the fraction of a start target that fetching the image may take. The rest is for
// slower fetches and for delivering the order to the machine.
const maxFetchFraction = 0.6

// placeUnit allocates resources for one task of a unit, or for all tasks of a gang, and
// returns the machines. If a gang does not fit as a whole, nothing is allocated.
func placeUnit(unit *Unit, machines []*Machine, largest map[string]Resources) []*Machine {
	if unit.Gang {
		return placeGang(unit, machines, largest)
	}
	if machine := unit.allocateTask(machines, largest); machine != nil {
		return []*Machine{machine}
	}
	return nil
}

// allocateTask allocates resources for one task of the unit and returns the machine, or nil
// if the task fits nowhere.
func (u *Unit) allocateTask(machines []*Machine, largest map[string]Resources) *Machine {
	machine := u.lastMachineIfBest(largest)
	if machine == nil {
		machine = pickMachine(u, machines, largest)
	}
	if machine != nil {
		machine.Free = machine.Free.Add(u.Need, -1)
		if u.PlacedByZone != nil {
			u.PlacedByZone[machine.Zone]++
		}
	}
	return machine
}

// releaseTask reverts allocateTask.
func (u *Unit) releaseTask(machine *Machine) {
	machine.Free = machine.Free.Add(u.Need, 1)
	if u.PlacedByZone != nil {
		u.PlacedByZone[machine.Zone]--
	}
}

// placeGang allocates resources for all tasks of a gang, or for none.
func placeGang(unit *Unit, machines []*Machine, largest map[string]Resources) []*Machine {
	var chosenMachines []*Machine
	unit.tryZones(machines, func() bool {
		unit.lastMachine = nil
		for len(chosenMachines) < unit.Count {
			machine := unit.allocateTask(machines, largest)
			if machine == nil {
				break
			}
			chosenMachines = append(chosenMachines, machine)
		}
		if len(chosenMachines) == unit.Count {
			return true
		}
		for _, machine := range chosenMachines {
			unit.releaseTask(machine)
		}
		chosenMachines = nil
		return false
	})
	unit.lastMachine = nil
	return chosenMachines
}

// tryZones calls try with the unit's Zone set to each zone in turn until try returns true. If
// the unit's zone is already fixed, or its tasks need not share a zone, it calls try once with
// Zone unchanged. Zone is restored at the end.
func (u *Unit) tryZones(machines []*Machine, try func() bool) {
	originalZone := u.Zone
	defer func() { u.Zone = originalZone }()
	zones := map[string]bool{}
	for _, machine := range machines {
		zones[machine.Zone] = true
	}
	if !u.OneZone || originalZone != "" {
		zones = map[string]bool{originalZone: true}
	}
	for _, u.Zone = range slices.Sorted(maps.Keys(zones)) {
		if try() {
			return
		}
	}
}

// hasOrFetches reports whether the machine has the image or is fetching it.
func (m *Machine) hasOrFetches(image string) bool {
	_, known := m.Images[image]
	return known || m.fetching[image]
}

// lastMachineIfBest returns the machine of the unit's previous task if it is still the best
// choice, and otherwise nil. The machine now has fewer free resources than when pickMachine
// chose it. Among machines of equal rank, pickMachine prefers fewer free resources. The machine
// therefore remains the best choice unless its rank has dropped.
func (u *Unit) lastMachineIfBest(largest map[string]Resources) *Machine {
	if machine := u.lastMachine; machine != nil && u.Need.Fits(machine.Free) && u.allows(machine) && u.rankMachine(machine, largest) >= u.lastRank {
		return machine
	}
	return nil
}

// pickMachine returns the machine of the highest rank on which a task of the unit fits, or nil.
// Among machines of equal rank it returns the machine with the fewest free CPUs, so that the other
// machines become idle and can be returned to the cloud, and among those the first in the list.
func pickMachine(unit *Unit, machines []*Machine, largest map[string]Resources) *Machine {
	var best *Machine
	bestRank := -1
	for _, machine := range machines {
		if !unit.Need.Fits(machine.Free) || !unit.allows(machine) {
			continue
		}
		if rank := unit.rankMachine(machine, largest); rank > bestRank || (rank == bestRank && machine.Free.CPUs < best.Free.CPUs-epsilon) {
			best, bestRank = machine, rank
		}
	}
	unit.lastMachine, unit.lastRank = best, bestRank
	return best
}

// rankMachine returns how well a machine suits the unit. The criteria, most important first:
//   - A unit with a start target does not wait for its image longer than maxFetchFraction of
//     the target.
//   - A unit that prefers on-demand machines gets one.
//   - The largest unit of the machine's class is not much larger than this unit.
//   - The machine can run as many of the class's largest unit as before. Otherwise, small
//     units spread over large machines leave no room for the largest unit.
//   - The image is present or being fetched. A new fetch would occupy the task's resources for
//     as long as a short task runs.
//   - The machine is busy.
func (u *Unit) rankMachine(machine *Machine, largest map[string]Resources) int {
	rank := 0
	if u.StartWithin > 0 && (u.Image == "" || machine.Images[u.Image] || u.ImageGB <= maxFetchFraction*u.StartWithin*machine.FetchGBps) {
		rank += 32
	}
	largestUnit := largest[machine.Class]
	if u.PreferOnDemand && !machine.Spot {
		rank += 16
	}
	if largestUnit.CPUs < largeUnitFactor*u.Need.CPUs {
		rank += 8
	}
	if largestUnit == u.Need || largestUnit.CountIn(machine.Free) == largestUnit.CountIn(machine.Free.Add(u.Need, -1)) {
		rank += 4
	}
	if u.Image == "" || machine.hasOrFetches(u.Image) {
		rank += 2
	}
	if machine.Busy {
		rank++
	}
	return rank
}
