package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"umberpaddle/internal/authority"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// heldReport is a report whose answer waits until its machine has seen our token.
type heldReport struct {
	checkin  Checkin
	deadline time.Duration
}

// fenceFirst holds the answer to a report, and sends its machine an order without commands that shows
// it our token. From then on the worker refuses the orders of earlier owners, and its answer lists what
// they have started. Guards against a cancelled task that such an order started between a
// report and its answer: nobody knew of it, and it ran for a whole lease.
func (c *Core) fenceFirst(x Checkin, m *workers.Machine, v authority.Verdict) {
	if earlier := c.heldReports[m.ID]; earlier != nil {
		c.refuseReport(earlier.checkin) // its worker has given it up
	}
	c.renewals.FenceHeld++
	c.log(slog.LevelDebug, "renewal waits for a fence", "machine", m.ID, "session", m.Session, "term", m.Term, "token", x.Report.Token, "job", v.CauseJob)
	c.heldReports[m.ID] = &heldReport{checkin: x, deadline: c.now.Steady + limits.FenceWait}
	c.fenceQueue = append(c.fenceQueue, m.ID)
	c.sendFences()
}

// sendFences sends the orders that are queued, as many at a time as limits.FencesInFlight allows. A
// machine with an order under way is left out: that one's answer decides.
func (c *Core) sendFences() {
	for len(c.fenceQueue) > 0 && c.fencesInFlight < limits.FencesInFlight {
		id := c.fenceQueue[0]
		c.fenceQueue = c.fenceQueue[1:]
		m, held := c.pool.Machines[id], c.heldReports[id]
		if m == nil || held == nil || m.DirectInFlight {
			continue
		}
		call := c.sendUntracked(m, held.checkin.Report.Session, []wire.Command{})
		call.fence = true
		c.fencesInFlight++
	}
}

// releaseHeldReport decides on the held report of a machine that an order, which is over now, was
// sent to.
func (c *Core) releaseHeldReport(call *directCall) {
	held := c.heldReports[call.machine]
	if held == nil {
		return
	}
	m := c.pool.Machines[call.machine]
	switch {
	case m != nil && c.isFenced(m, held):
		delete(c.heldReports, call.machine)
		c.renewals.Fenced++
		c.renew(held.checkin, m, workers.Overtaken)
	case m != nil && !call.fence:
		c.fenceQueue = append(c.fenceQueue, m.ID)
	default:
		c.renewals.FenceLost++
		c.refuseHeldReport(call.machine, "the order was not answered")
	}
}

// isFenced tells whether a machine has seen our token in the session of a held report, so that its
// list is all there is.
func (c *Core) isFenced(m *workers.Machine, held *heldReport) bool {
	term, ours := c.active[m.Class]
	return ours && c.ownership.MayAnswer() && m.Term == term && m.Adopted && m.Session == held.checkin.Report.Session
}

// refuseHeldReport answers a held report with 503: its worker tries again in a second or two.
func (c *Core) refuseHeldReport(machine, why string) {
	if m := c.pool.Machines[machine]; m != nil {
		m.NotFenced = true
	}
	c.log(slog.LevelInfo, "renewal withheld", "machine", machine, "reason", string(authority.NotFenced), "why", why)
	c.refuseReport(c.heldReports[machine].checkin)
	delete(c.heldReports, machine)
}

// expireHeldReports refuses the held reports whose machines could not be shown our token in time.
func (c *Core) expireHeldReports() {
	if len(c.heldReports) == 0 {
		return
	}
	for _, machine := range slices.Sorted(maps.Keys(c.heldReports)) {
		if c.now.Steady >= c.heldReports[machine].deadline {
			c.renewals.FenceLate++
			c.refuseHeldReport(machine, "the order was not answered in time")
		}
	}
}
