package controller

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/workers"
)

// recordReport takes note of a report that counted, for what silence means.
func (c *Core) recordReport(m *workers.Machine, found bool) {
	t := c.now.Steady
	if t-c.lastReport > c.maxReportGap() {
		c.reportsResumedAt = t
	}
	c.lastReport = t
	if !found && c.machineRecords[m.ID].Up {
		c.lastNewMachine = t
	}
}

// maxReportGap is for how long there may be no report at all from many machines.
func (c *Core) maxReportGap() time.Duration {
	return max(limits.UnreachableFloor, time.Duration(limits.UnreachableReports*float64(c.pool.Report)))
}

// silentFor is for how long a machine has been silent while others were heard.
// Guards against an owner that was cut off from all workers: as soon as one was
// heard again, it returned all the others, with their tasks.
func (c *Core) silentFor(m *workers.Machine) time.Duration {
	return c.now.Steady - max(m.LastReport, c.reportsResumedAt)
}

// reachableSuccessor names a peer to which workers of our classes come in vain, if there is one.
func (c *Core) reachableSuccessor() string {
	best := ""
	for _, p := range c.settings.Others {
		if at, ok := c.foreignArrivals[p.Label]; ok && c.now.Steady-at < limits.ForeignArrivalFor && (best == "" || at > c.foreignArrivals[best]) {
			best = p.Label
		}
	}
	return best
}

// workersUnreachable tells whether no worker reaches this owner any more, though many did:
// it is cut off from them, and keeps its classes all the same as long as it
// reaches the state service. Guards against a day on which all machines lost their
// tasks that way. Whoever was never heard as owner waits longer, for workers whose
// reports hang on the node before, unless workers come to another node in vain.
func (c *Core) workersUnreachable() bool {
	if len(c.active) == 0 || !c.ownership.LeaseValid() {
		return false
	}
	// What is turned away, in an outage without promises, has arrived all the same.
	last, wait := c.lastArrival, c.maxReportGap()
	for class := range c.active {
		if cl := c.ownership.Claims()[class]; cl != nil && cl.Since > last {
			last = cl.Since
			if c.reachableSuccessor() == "" {
				wait = c.maxReportGap() + limits.SilentRetry
			}
		}
	}
	if c.now.Steady-last <= wait {
		return false
	}
	up := 0
	for id, m := range c.pool.Machines {
		if c.machineRecords[id].Up && !m.Deleting {
			up++
		}
	}
	return up >= limits.MassSilenceLeast
}

// massSilence tells whether many ordinary machines are silent at once. Nobody takes
// those back, so they hang or are cut off and may go on, some within their
// lease; deleted, they may not be had again. Guards against an incident in which
// half the fleet was returned 11 s into such a silence.
func (c *Core) massSilence() bool {
	all, silent := 0, 0
	for _, m := range c.pool.Machines {
		if m.Spot || m.Deleting {
			continue
		}
		all++
		if c.silentFor(m) > c.pool.Report*5/4+limits.TakeoverSlack {
			silent++
		}
	}
	return silent >= limits.MassSilenceLeast && float64(silent) > limits.MassSilenceShare*float64(all)
}

// mostMachinesFound tells whether most machines that an earlier owner had found this one.
func (c *Core) mostMachinesFound() bool {
	all, found := 0, 0
	for id, m := range c.pool.Machines {
		if c.machineRecords[id].Up {
			all++
			if m.Term != 0 {
				found++
			}
		}
	}
	return float64(found) >= limits.TakeoverHeard*float64(all)
}

// isSilent tells whether a machine is given up for its silence: a deletion proves
// it empty sooner than its lease would. Not when all are silent, for then the
// fault is ours. After a takeover the jobs of an earlier owner wait for every
// machine, so those that did not find the new owner with most others go sooner.
func (c *Core) isSilent(m *workers.Machine, heard time.Duration, most bool) bool {
	t := c.now.Steady
	if t-heard >= 2*c.pool.Report {
		return false
	}
	// Answered once and silent since counts as well: guards against a takeover
	// that waited three reports for machines that were lost in its midst.
	if c.awaitedByTakeover(m) && c.silentFor(m) > c.pool.Report*5/4+limits.TakeoverSlack {
		// As long as others still arrive it may only be slow to find us.
		if t-c.lastNewMachine < limits.TakeoverPause {
			return false
		}
		return most && (m.ProbeFailed || m.Address == "" || c.silentFor(m) > c.pool.Report*5/4+limits.SilentRetry)
	}
	return c.silentFor(m) > c.pool.SilentFor()
}

// awaitedByTakeover tells whether a takeover still waits for a machine.
func (c *Core) awaitedByTakeover(m *workers.Machine) bool {
	return !m.Resolved() && c.machineRecords[m.ID].Up
}
