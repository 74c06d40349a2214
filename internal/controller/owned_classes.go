package controller

import (
	"log/slog"
	"maps"
	"slices"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
)

// divideBudget sets this node's share of the state service's budget. An owner gets more than a node
// that only accepts user requests, because it writes more.
func (c *Core) divideBudget() {
	owners := c.ownership.Owners()
	nodes := float64(len(c.settings.Others) + 1)
	if len(owners) == 0 {
		c.store.SetShare(1/nodes, 1/nodes)
		return
	}
	share := func(weight float64) float64 {
		weightOf := func(name string) float64 {
			if owners[name] {
				return weight
			}
			return 1
		}
		totalWeight := weightOf(c.settings.Label)
		for _, peer := range c.settings.Others {
			totalWeight += weightOf(peer.Label)
		}
		return weightOf(c.settings.Label) / totalWeight
	}
	c.store.SetShare(share(limits.OwnerRequestWeight), share(limits.OwnerWriteWeight))
}

// demand returns the classes that each team's unfinished jobs may use. A cancelled job counts until
// none of its tasks is left, because those tasks still use up the team's limit.
func (c *Core) demand() ownership.Demand {
	demand := ownership.Demand{}
	for _, job := range c.jobs.OpenJobs {
		classes := demand[job.Team]
		if classes == nil {
			classes = map[string]bool{}
			demand[job.Team] = classes
		}
		for _, class := range job.Types {
			classes[class] = true
		}
	}
	return demand
}

// applyClaims starts acting for newly claimed classes and stops acting for classes whose claim is
// gone.
func (c *Core) applyClaims() {
	claims := c.ownership.Claims()
	for _, class := range slices.Sorted(maps.Keys(c.activeTerms)) {
		if claim := claims[class]; claim == nil || claim.Term != c.activeTerms[class] {
			delete(c.activeTerms, class)
			c.releaseClass(class)
			c.machineTable.DropPending(class)
			c.jobs.DropPendingWrites(class)
			clear(c.recordRequested)
			c.fleetChanged = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(claims)) {
		claim := claims[class]
		if _, ok := c.activeTerms[class]; ok {
			continue
		}
		c.activeTerms[class] = claim.Term
		c.unresolvedClasses[class] = true
		c.schedulingDue, c.jobsChanged, c.fleetChanged = true, true, true
		c.sentCounts = nil
		for machineID, record := range c.machineRecords {
			if record.Class == class {
				if record.Up {
					c.pool.GetOrAdd(machineID, record.Class, record.Zone, record.Spot, claim.Since).Address = record.Address
				}
				if rental := c.fleet.Track(machineID, fleet.Kind{Class: record.Class, Zone: record.Zone, Spot: record.Spot}, c.now.Steady-c.age(float64(record.RentedUnix))); rental != nil {
					rental.WasUp = record.Up
				}
			}
		}
	}
}

func (c *Core) releaseClass(class string) {
	for _, machine := range c.pool.Sorted() {
		if machine.Class == class {
			c.refuseHeldHeartbeat(machine.ID)
			c.unassignMachine(machine.ID)
			c.pool.Remove(machine.ID)
		}
	}
	for machineID, rental := range c.fleet.Rentals {
		if rental.Kind.Class == class {
			delete(c.fleet.Rentals, machineID)
		}
	}
	c.schedulingDue, c.jobsChanged = true, true
}

// unassignMachine removes all assignments to a machine.
func (c *Core) unassignMachine(machineID string) {
	if load := c.loads[machineID]; load != nil {
		for _, taskID := range load.taskIDs() {
			c.unassign(load.tasks[taskID].job, load.tasks[taskID].task)
		}
		delete(c.loads, machineID)
	}
	c.schedulingDue, c.jobsChanged = true, true
}

// updateActiveJobs marks the jobs whose classes are all owned by this node as active. A job that an
// earlier owner may have launched is frozen until every recorded machine that could run it is
// resolved, which means that the machine's tasks are known for certain.
func (c *Core) updateActiveJobs() {
	if !c.jobsChanged {
		return
	}
	c.jobsChanged = false
	hasUnresolvedMachines := map[string]bool{}
	for machineID, machine := range c.pool.Machines {
		if c.machineRecords[machineID].Up && !machine.Resolved() {
			hasUnresolvedMachines[machine.Class] = true
		}
	}
	for _, job := range c.jobs.OpenJobs {
		if !c.updateActive(job, hasUnresolvedMachines) {
			continue
		}
		c.jobOrderStale = true
		if job.MayHaveLaunched() {
			c.lastRound = nil // the set of tasks that may be running without having been reported has changed
		}
	}
	for _, class := range slices.Sorted(maps.Keys(c.unresolvedClasses)) {
		if !hasUnresolvedMachines[class] {
			delete(c.unresolvedClasses, class)
			c.log(slog.LevelInfo, "every machine of the class accounted for", "class", class, "term", c.activeTerms[class])
		}
	}
}

// updateActive updates a job's Active and Frozen, and reports whether either has changed.
func (c *Core) updateActive(job *jobs.Job, hasUnresolvedMachines map[string]bool) bool {
	wasActive, wasFrozen := job.Active, job.Frozen
	job.Active = len(job.Types) > 0
	for _, class := range job.Types {
		if _, owned := c.activeTerms[class]; !owned {
			job.Active = false
		}
	}
	if job.Active && !wasActive {
		job.Frozen = job.MayHaveLaunched()
		job.Prepared = false
		job.GangRun = jobs.GangRun{}
	}
	if job.Active && job.Frozen {
		job.Frozen = slices.ContainsFunc(job.Types, func(class string) bool { return hasUnresolvedMachines[class] })
	}
	return job.Active != wasActive || job.Frozen != wasFrozen
}

// handleMachineDeleted removes a machine after its deletion was answered with 200.
func (c *Core) handleMachineDeleted(machineID string) {
	c.unassignMachine(machineID)
	c.pool.Remove(machineID)
	c.schedulingDue, c.jobsChanged, c.fleetChanged = true, true, true
}
