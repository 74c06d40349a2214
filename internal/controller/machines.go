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

// manageMachines gives up what is silent, expired, broken or recalled.
func (c *Core) manageMachines() {
	t := c.now.Steady
	if len(c.active) == 0 || t < c.nextMachineCheck {
		return
	}
	c.nextMachineCheck = t + limits.MachineCheckInterval
	heard := time.Duration(0)
	for _, m := range c.pool.Machines {
		heard = max(heard, m.LastReport)
	}
	many, most := c.massSilence(), c.mostMachinesFound()
	c.probeSilent()
	for _, m := range c.pool.Sorted() {
		if !m.Lost && c.pool.Expired(m, t) {
			m.Lost = true
			m.Adopted = false
			if m.NotFenced {
				c.renewals.FenceLeases++
			}
			c.log(slog.LevelInfo, "machine's lease is over", "machine", m.ID, "tasks", c.tasksOn(m.ID), "notFenced", m.NotFenced)
			c.clearMachine(m.ID)
		}
		if c.ownership.MayLaunch() && !m.Deleting {
			c.returnIfBroken(m, many && c.waitsForSilent(m), c.isSilent(m, heard, most))
		}
		// Plans for a machine that went quiet are taken back: nothing was sent.
		if h := c.loads[m.ID]; h != nil && h.planned > 0 && !m.Usable(t, c.pool.Report) {
			for _, id := range h.plannedTaskIDs() {
				c.unassign(h.tasks[id].job, h.tasks[id].task)
			}
		}
	}
}

// returnIfBroken returns a machine that is silent, recalled, faulty or drained.
func (c *Core) returnIfBroken(m *workers.Machine, patient, silent bool) {
	t := c.now.Steady
	switch {
	case !patient && silent && c.wasUp(m):
		if m.Spot && m.Recall == 0 {
			c.fleet.SpotLost()
		}
		c.returnMachine(m, fleet.ReturnSilent)
	case m.Recall != 0 && t > m.Recall+limits.RecallSlack && m.LastReport < m.Recall:
		c.returnMachine(m, fleet.ReturnRecalled)
	case m.Draining && m.Adopted && (m.Faulty || c.tasksOn(m.ID) == 0) && !c.holdsResults(m):
		// A faulty machine goes with what it runs, which would fail as well.
		c.returnMachine(m, fleet.ReturnDrained)
	}
}

// waitsForSilent tells whether a silent machine may be waited for when many are silent: not
// after a takeover, when all that was launched before waits for it, nor when others of its
// kind are to be had, where its tasks go on sooner.
func (c *Core) waitsForSilent(m *workers.Machine) bool {
	return !m.Spot && !c.awaitedByTakeover(m) && c.fleet.Refused(fleet.Kind{Class: m.Class, Zone: m.Zone}) &&
		c.now.Steady-m.LastReport < limits.MassSilenceLeases*c.pool.Lease
}

// wasUp tells whether a silent machine has been up, or has had the time to boot.
func (c *Core) wasUp(m *workers.Machine) bool {
	r := c.fleet.Track(m.ID, kindOf(m), m.LastReport)
	return r != nil && (r.Up || m.Lost || r.Listed == wire.MachineRunning || c.now.Steady-r.Since > c.bootLimit(m.Class))
}

// kindOf is the kind that a machine was rented as.
func kindOf(m *workers.Machine) fleet.Kind {
	return fleet.Kind{Class: m.Class, Zone: m.Zone, Spot: m.Spot}
}

// holdsResults tells whether the machine reports completions that are not
// durable yet: they would have to be run again.
func (c *Core) holdsResults(m *workers.Machine) bool {
	for _, t := range m.Tasks {
		if t.State == wire.TaskEnded && t.Cause == wire.CauseDone {
			job, task := jobs.SplitTask(t.Task)
			if j := c.jobs.Open[job]; j != nil && task >= 0 && task < j.Tasks && !j.IsDurable(task) {
				return true
			}
		}
	}
	return false
}

func (c *Core) bootLimit(class string) time.Duration {
	if t := c.fleet.Types[class]; t != nil {
		return limits.Seconds(t.BootS*limits.BootFactor) + limits.BootSlack
	}
	return limits.BootSlack
}

func (c *Core) returnMachine(m *workers.Machine, why fleet.ReturnReason) {
	if m.Deleting {
		return
	}
	m.Deleting = true
	c.fleet.Track(m.ID, kindOf(m), m.LastReport)
	c.fleet.Delete(m.ID, why)
}
