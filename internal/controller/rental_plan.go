package controller

import (
	"maps"
	"math"
	"sort"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// planFleet rents machines for work that fits on no existing machine and returns idle machines.
func (c *Core) planFleet() {
	if len(c.fleet.Types) == 0 || !c.fleet.HasFullList {
		return
	}
	c.fleet.MarkDeadRentalsForDeletion(c.now.Steady-c.lastHeartbeat <= c.maxHeartbeatGap(), c.heartbeatsResumedAt)
	c.logUsage()
	machines, capacity, unresolvedCapacity := c.availableMachines(true)
	teams := c.teamDemands(true, unresolvedCapacity)
	machines = append(machines, c.bootingMachines()...) // units are placed on them before new machines are rented
	machinesInUse := map[string]bool{}
	for _, placement := range allocation.Run(teams, machines, capacity, c.largestUnits()) {
		machinesInUse[placement.Machine.ID] = true
	}
	c.returnIdleMachines(machinesInUse)
	plan := &rentalPlan{countByKind: map[fleet.Kind]int{}}
	shortfallByJob := c.shortfalls(machines)
	for _, team := range teams {
		c.planRentals(plan, team, shortfallByJob)
	}
	c.rentForSmallTasks(plan, machines)
	for _, kind := range sortedKinds(plan.countByKind) {
		for count := plan.countByKind[kind]; count > 0 && c.fleet.MayRent(kind); count -= limits.MaxRentalsPerRequest {
			c.fleet.Rent(kind, count)
		}
	}
}

// bootingMachines returns the rented machines of owned classes that are still booting, with their
// full capacity.
func (c *Core) bootingMachines() []*allocation.Machine {
	var machines []*allocation.Machine
	bootingCounts := c.fleet.CountBooting()
	for _, kind := range sortedKinds(bootingCounts) {
		machineType := c.fleet.Types[kind.Class]
		if _, owned := c.activeTerms[kind.Class]; !owned || machineType == nil {
			continue
		}
		for range bootingCounts[kind] {
			machines = append(machines, &allocation.Machine{Class: kind.Class, Zone: kind.Zone, Spot: kind.Spot, Free: typeCapacity(machineType)})
		}
	}
	return machines
}

// sortedKinds returns the machine kinds that have a count, ordered by Kind.Less.
func sortedKinds(counts map[fleet.Kind]int) []fleet.Kind {
	var kinds []fleet.Kind
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Less(kinds[b]) })
	return kinds
}

// planRentals plans rentals for a team's units that fit on no existing machine, within the
// team's limit.
func (c *Core) planRentals(plan *rentalPlan, team *allocation.Team, shortfallByJob map[string]shortfall) {
	teamTotal := team.UnknownUse
	for _, allocated := range team.Allocated {
		teamTotal = teamTotal.Add(allocated, 1)
	}
	for _, unit := range team.Units {
		if job := c.jobs.OpenJobs[unit.Job]; job == nil || job.Faulty() {
			continue
		}
		plan.firstWithRoom = 0
		if unit.Gang {
			gangTotal := (allocation.Resources{}).Add(unit.Need, float64(unit.Count))
			if withinTeamLimit(team, teamTotal, gangTotal) && c.placeGangOnRentals(unit, plan) {
				teamTotal = teamTotal.Add(gangTotal, 1)
			}
		} else {
			teamTotal = c.planTaskRentals(plan, team, unit, teamTotal, shortfallByJob[unit.Job])
		}
	}
}

// planTaskRentals plans rentals for one unit's tasks. It returns teamTotal, the resources that the
// team uses, plus those of the tasks placed on rentals.
func (c *Core) planTaskRentals(plan *rentalPlan, team *allocation.Team, unit *allocation.Unit, teamTotal allocation.Resources, jobShortfall shortfall) allocation.Resources {
	for ; unit.Count > 0 && withinTeamLimit(team, teamTotal, unit.Need); unit.Count-- {
		if !c.placeOnRentals(unit, jobShortfall, plan) {
			if plan.rentedCPUs < jobShortfall.onTime {
				plan.refusedUnits = append(plan.refusedUnits, unit)
			}
			break
		}
		teamTotal = teamTotal.Add(unit.Need, 1)
	}
	return teamTotal
}

// withinTeamLimit reports whether a team's limit allows it to use more on top of total.
func withinTeamLimit(team *allocation.Team, total, more allocation.Resources) bool {
	return !exceeds(total.CPUs+more.CPUs, team.MaxCPUs) && !exceeds(total.GPUs+more.GPUs, team.MaxGPUs)
}

// shortfall is the number of additional CPUs that a job's work, together with all work before it in
// the scheduling order, needs to finish on time with a margin, and to finish just on time.
type shortfall struct{ withMargin, onTime float64 }

// shortfalls computes the shortfall of each job. It uses a fluid model of the work: C CPUs now
// and C' more after the boot time complete C*T + C'*(T-boot) CPU seconds in time T. A burst of
// short tasks therefore does not rent a machine for each task.
func (c *Core) shortfalls(machines []*allocation.Machine) map[string]shortfall {
	result := map[string]shortfall{}
	capacity := map[string][2]float64{} // CPUs by class: on on-demand and on spot machines
	for _, machine := range machines {
		classCPUs := capacity[machine.Class]
		if machine.Spot {
			classCPUs[1] += c.fleet.Types[machine.Class].CPUs
		} else {
			classCPUs[0] += c.fleet.Types[machine.Class].CPUs
		}
		capacity[machine.Class] = classCPUs
	}
	workBefore := 0.0
	for _, job := range c.sortedJobs() {
		if job.Cancelled || job.Faulty() {
			continue
		}
		workBefore += remainingWork(job)
		capacityCPUs, bootS := 0.0, math.Inf(1)
		for _, class := range job.Types {
			classCPUs := capacity[class]
			capacityCPUs += classCPUs[0]
			if job.Spot {
				capacityCPUs += classCPUs[1]
			}
			if machineType := c.fleet.Types[class]; machineType != nil {
				bootS = min(bootS, machineType.BootS)
			}
		}
		secondsLeft, canMeetTarget := c.timeLeft(job)
		if !canMeetTarget || math.IsInf(secondsLeft, 1) {
			secondsLeft = limits.RentHorizon.Seconds()
		}
		additionalCPUs := func(share float64) float64 {
			availableS := max(secondsLeft*share-job.EstimateS/2, bootS+limits.MinUsefulRental.Seconds())
			return (workBefore - capacityCPUs*availableS) / (availableS - bootS)
		}
		result[job.ID] = shortfall{withMargin: additionalCPUs(limits.FinishWithMarginShare), onTime: additionalCPUs(limits.FinishOnTimeShare)}
	}
	return result
}

// rentalPlan holds the machines that one fleet planning run wants to rent.
type rentalPlan struct {
	rentals       []*allocation.Machine
	countByKind   map[fleet.Kind]int
	rentedCPUs    float64 // total of the rentals planned for units
	firstWithRoom int     // rentals before this index can't fit the current unit
	// refusedUnits lists the units that need more machines to finish on time, but for which none
	// could be planned because the cloud has run out of their classes or the plan is full.
	refusedUnits []*allocation.Unit
}

// scarceClasses returns the classes that the units in refusedUnits may use, and the CPUs that these
// units still need. These classes are scarce: the plan could get no more machines of them.
func (p *rentalPlan) scarceClasses() (classes map[string]bool, lackedCPUs float64) {
	classes = map[string]bool{}
	for _, unit := range p.refusedUnits {
		for class := range unit.Classes {
			classes[class] = true
		}
		lackedCPUs += float64(unit.Count) * unit.Need.CPUs
	}
	return classes, lackedCPUs
}

// place puts one task of a unit on a rental that is already planned. It reports whether any such rental
// had enough free resources.
func (p *rentalPlan) place(unit *allocation.Unit) bool {
	for ; p.firstWithRoom < len(p.rentals); p.firstWithRoom++ {
		rental := p.rentals[p.firstWithRoom]
		if unit.Need.Fits(rental.Free) && unit.Classes[rental.Class] && (!rental.Spot || unit.Spot) && (unit.Zone == "" || unit.Zone == rental.Zone) {
			rental.Free = rental.Free.Add(unit.Need, -1)
			return true
		}
	}
	return false
}

// addRental adds a machine to the plan.
func (p *rentalPlan) addRental(kind fleet.Kind, free allocation.Resources) {
	p.rentals = append(p.rentals, &allocation.Machine{Class: kind.Class, Zone: kind.Zone, Spot: kind.Spot, Free: free})
	p.countByKind[kind]++
}

// rentForSmallTasks plans spot machines for small tasks that occupy scarce classes, which the
// cloud has run out of. The small tasks could also run on other classes, while large tasks may
// fit only on a scarce class.
func (c *Core) rentForSmallTasks(plan *rentalPlan, machines []*allocation.Machine) {
	scarceClasses, lackedCPUs := plan.scarceClasses()
	clear(c.keptIdleClasses)
	if lackedCPUs == 0 {
		return
	}
	for _, class := range c.fleet.Classes() {
		machineType := c.fleet.Types[class]
		if _, owned := c.activeTerms[class]; !owned || scarceClasses[class] {
			continue
		}
		movableCPUs := c.movableCPUs(class, scarceClasses, machines)
		for _, zone := range machineType.Zones {
			kind := fleet.Kind{Class: class, Zone: zone, Spot: true}
			for len(plan.rentals) < limits.MaxPlannedRentals && min(movableCPUs, lackedCPUs) >= machineType.CPUs && c.operator.SpotAllowed() && c.fleet.Available(kind) {
				plan.addRental(kind, allocation.Resources{})
				movableCPUs -= machineType.CPUs
				lackedCPUs -= machineType.CPUs
			}
		}
	}
}

// movableCPUs returns the CPUs on scarce classes that are used by tasks of jobs that may also
// use the given class, minus the free CPUs of that class. If any active job may use spot
// machines of the given class, the idle machines of that class are marked to be kept.
func (c *Core) movableCPUs(class string, scarceClasses map[string]bool, machines []*allocation.Machine) float64 {
	movable := 0.0
	for _, job := range c.jobs.OpenJobs {
		if !job.Active || !job.TypeSet[class] || job.Cancelled || !job.Spot {
			continue
		}
		c.keptIdleClasses[class] = true
		for _, assignment := range job.Assigned {
			if machine := c.pool.Machines[assignment.Machine]; machine != nil && scarceClasses[machine.Class] {
				movable += job.CPUs
			}
		}
	}
	for _, machine := range machines {
		if machine.Class == class {
			movable -= machine.Free.CPUs
		}
	}
	return movable
}

// placeOnRentals puts one task of a unit on a planned rental. If none has enough free resources,
// it plans the cheapest suitable machine, provided the job's shortfall justifies it. Spot machines
// are rented to finish with a margin. On-demand machines are rented only to finish just on time,
// or with a margin if the unit may not use spot machines.
func (c *Core) placeOnRentals(unit *allocation.Unit, jobShortfall shortfall, plan *rentalPlan) bool {
	if plan.place(unit) {
		return true
	}
	if len(plan.rentals) >= limits.MaxPlannedRentals {
		return false
	}
	kind, ok := c.cheapestKind(unit, func(spot bool) bool {
		return plan.rentedCPUs < jobShortfall.withMargin && (spot || !unit.Spot || plan.rentedCPUs < jobShortfall.onTime)
	})
	if !ok {
		return false
	}
	machineType := c.fleet.Types[kind.Class]
	plan.addRental(kind, typeCapacity(machineType).Add(unit.Need, -1))
	plan.rentedCPUs += machineType.CPUs
	return true
}

// cheapestKind returns the kind of machine with the lowest price per task among the kinds that
// the unit may use and the cloud can provide. mayRent reports whether spot or on-demand machines
// may be rented.
func (c *Core) cheapestKind(unit *allocation.Unit, mayRent func(spot bool) bool) (best fleet.Kind, ok bool) {
	lowestPrice := 0.0
	for _, class := range c.fleet.Classes() {
		if !unit.Classes[class] {
			continue
		}
		machineType := c.fleet.Types[class]
		tasks := max(1, unit.Need.CountIn(typeCapacity(machineType)))
		for _, kind := range c.kindsFor(unit, machineType) {
			if !mayRent(kind.Spot) {
				continue
			}
			if price := c.fleet.Price(kind) / float64(tasks); !ok || price < lowestPrice {
				best, lowestPrice, ok = kind, price, true
			}
		}
	}
	return best, ok
}

// kindsFor returns the kinds of one machine type that a unit may use and that the cloud has not
// recently refused, in each zone spot before on-demand.
func (c *Core) kindsFor(unit *allocation.Unit, machineType *wire.MachineType) []fleet.Kind {
	var kinds []fleet.Kind
	for _, zone := range machineType.Zones {
		if unit.Zone != "" && unit.Zone != zone {
			continue
		}
		spot := fleet.Kind{Class: machineType.Name, Zone: zone, Spot: true}
		if unit.Spot && c.operator.SpotAllowed() && c.fleet.Available(spot) {
			kinds = append(kinds, spot)
		}
		if onDemand := (fleet.Kind{Class: machineType.Name, Zone: zone}); c.fleet.Available(onDemand) {
			kinds = append(kinds, onDemand)
		}
	}
	return kinds
}

// placeGangOnRentals puts a whole gang on planned rentals, or none of it. It leaves out the
// existing machines, which can take a part of the gang at best. It ignores the gang's deadline,
// because no task of a gang can proceed before all tasks have a machine.
func (c *Core) placeGangOnRentals(gang *allocation.Unit, plan *rentalPlan) bool {
	rentalsBefore, countsBefore, rentedCPUsBefore := len(plan.rentals), maps.Clone(plan.countByKind), plan.rentedCPUs
	task := *gang
	unbounded := shortfall{withMargin: math.Inf(1), onTime: math.Inf(1)}
	for range gang.Count {
		plan.firstWithRoom = 0
		if !c.placeOnRentals(&task, unbounded, plan) {
			// The rentals added for this gang are dropped, because no other unit requested them.
			plan.rentals, plan.countByKind, plan.rentedCPUs = plan.rentals[:rentalsBefore], countsBefore, rentedCPUsBefore
			return false
		}
		if gang.OneZone && task.Zone == "" && len(plan.rentals) > rentalsBefore {
			task.Zone = plan.rentals[len(plan.rentals)-1].Zone
		}
	}
	return true
}

// idleLimit returns how long a machine of a class may be idle before it is returned to the cloud. Unless
// the operator sets a time, the limit follows from the boot time of the class: keeping an idle machine
// for the boot time of its replacement costs at most twice as much as the best decision that knows the
// future demand.
func (c *Core) idleLimit(class string) time.Duration {
	if c.operator.IdleReturnS > 0 {
		return limits.Seconds(c.operator.IdleReturnS)
	}
	if machineType := c.fleet.Types[class]; machineType != nil {
		return limits.Seconds(machineType.BootS * limits.IdleBootTimes)
	}
	return limits.MinCharge
}

// returnIdleMachines returns to the cloud the machines that have been idle for longer than their
// limit.
func (c *Core) returnIdleMachines(machinesInUse map[string]bool) {
	steadyNow := c.now.Steady
	for _, machine := range c.pool.Sorted() {
		rental := c.fleet.Rentals[machine.ID]
		if rental == nil || machine.Deleting || !machine.Adopted {
			continue
		}
		// A class in keptIdleClasses keeps its idle machines, so that small tasks run on them instead of
		// on scarce classes. Without this rule, hundreds of these machines are returned to the cloud,
		// with the images on them, and rented again a few seconds later.
		if c.tasksOn(machine.ID) > 0 || machinesInUse[machine.ID] || c.gangOnlyMachines[machine.ID] || c.keptIdleClasses[machine.Class] || c.holdsUnstoredResults(machine) {
			rental.IdleSince = 0
			continue
		}
		if rental.IdleSince == 0 {
			rental.IdleSince = steadyNow
		}
		maxIdle := c.idleLimit(machine.Class)
		if steadyNow-rental.IdleSince > maxIdle && steadyNow-rental.RentedAt > limits.MinCharge {
			c.returnMachine(machine, fleet.ReturnIdle)
		}
	}
}
