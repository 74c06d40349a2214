package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// retireUnusableMachines marks the machines whose lease has expired and unassigns their tasks. It
// returns to the cloud the machines that are silent, recalled, faulty or drained.
func (c *Core) retireUnusableMachines() {
	now := c.now.Steady
	if len(c.activeTerms) == 0 || now < c.nextMachineCheck {
		return
	}
	c.nextMachineCheck = now + limits.MachineCheckInterval
	lastHeard := time.Duration(0)
	for _, machine := range c.pool.Machines {
		lastHeard = max(lastHeard, machine.LastHeartbeat)
	}
	massSilence, mostReported := c.isMassSilence(), c.mostMachinesReported()
	c.probeSilentMachines()
	for _, machine := range c.pool.Sorted() {
		if !machine.LeaseExpired && c.pool.Expired(machine, now) {
			machine.LeaseExpired = true
			machine.Adopted = false
			if machine.NotFenced {
				c.renewalCounts.FenceLeases++
			}
			c.log(slog.LevelInfo, "machine's lease is over", "machine", machine.ID, "tasks", c.tasksOn(machine.ID), "notFenced", machine.NotFenced)
			c.unassignMachine(machine.ID)
		}
		if c.ownership.MayLaunch() && !machine.Deleting {
			c.returnIfUnusable(machine, massSilence && c.mayWaitForSilent(machine), c.presumedDead(machine, lastHeard, mostReported))
		}
		// The tasks planned for a machine that is no longer usable are unassigned: their launches
		// were not sent.
		if load := c.loads[machine.ID]; load != nil && load.plannedCount > 0 && !machine.Usable(now, c.pool.HeartbeatInterval) {
			for _, taskID := range load.plannedTaskIDs() {
				c.unassign(load.tasks[taskID].job, load.tasks[taskID].task)
			}
		}
	}
}

// returnIfUnusable returns a machine to the cloud if it is silent, recalled, faulty or drained.
func (c *Core) returnIfUnusable(machine *workers.Machine, mayWait, presumedDead bool) {
	now := c.now.Steady
	switch {
	case !mayWait && presumedDead && c.bootedOrOverdue(machine):
		if machine.Spot && machine.RecallAt == 0 {
			c.fleet.RecordSpotLoss()
		}
		c.returnMachine(machine, fleet.ReturnSilent)
	case machine.RecallAt != 0 && now > machine.RecallAt+limits.RecallSlack && machine.LastHeartbeat < machine.RecallAt:
		c.returnMachine(machine, fleet.ReturnRecalled)
	case machine.Draining && machine.Adopted && (machine.Faulty || c.tasksOn(machine.ID) == 0) && !c.holdsUnstoredResults(machine):
		// A faulty machine is returned to the cloud together with its running tasks, which would
		// fail as well.
		c.returnMachine(machine, fleet.ReturnDrained)
	}
}

// mayWaitForSilent reports whether a silent machine may be kept for longer during a mass silence,
// for at most MassSilenceLeases leases. It may not be kept after a takeover, when the jobs that an
// earlier owner launched wait for the machine, nor while the cloud can supply other machines of its
// kind, on which its tasks continue sooner.
func (c *Core) mayWaitForSilent(machine *workers.Machine) bool {
	return !machine.Spot && !c.awaitedByTakeover(machine) && c.fleet.RecentlyRefused(fleet.Kind{Class: machine.Class, Zone: machine.Zone}) &&
		c.now.Steady-machine.LastHeartbeat < limits.MassSilenceLeases*c.pool.LeaseDuration
}

// bootedOrOverdue reports whether a silent machine has been up, or has had enough time to boot.
func (c *Core) bootedOrOverdue(machine *workers.Machine) bool {
	rental := c.fleet.Track(machine.ID, rentalKind(machine), machine.LastHeartbeat)
	return rental != nil && (rental.Up || machine.LeaseExpired || rental.ListedStatus == wire.MachineRunning || c.now.Steady-rental.RentedAt > c.bootLimit(machine.Class))
}

// rentalKind returns the kind under which a machine is rented.
func rentalKind(machine *workers.Machine) fleet.Kind {
	return fleet.Kind{Class: machine.Class, Zone: machine.Zone, Spot: machine.Spot}
}

// holdsUnstoredResults reports whether a machine lists completed tasks whose completion is not
// durable yet. If the machine were returned to the cloud now, those tasks would have to run again.
func (c *Core) holdsUnstoredResults(machine *workers.Machine) bool {
	for _, status := range machine.Tasks {
		if status.State == wire.TaskEnded && status.Cause == wire.CauseDone {
			jobID, task := jobs.SplitTaskID(status.Task)
			if job := c.jobs.OpenJobs[jobID]; job != nil && task >= 0 && task < job.Tasks && !job.IsDurable(task) {
				return true
			}
		}
	}
	return false
}

func (c *Core) bootLimit(class string) time.Duration {
	if machineType := c.fleet.Types[class]; machineType != nil {
		return limits.Seconds(machineType.BootS*limits.BootFactor) + limits.BootSlack
	}
	return limits.BootSlack
}

func (c *Core) returnMachine(machine *workers.Machine, reason fleet.ReturnReason) {
	if machine.Deleting {
		return
	}
	machine.Deleting = true
	c.fleet.Track(machine.ID, rentalKind(machine), machine.LastHeartbeat)
	c.fleet.MarkForDeletion(machine.ID, reason)
}
