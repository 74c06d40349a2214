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
	// orders is how many fences were sent for it, and nextOrder when another one is due.
	orders    int
	nextOrder time.Duration
}

// fenceFirst holds the answer to a report, and sends its machine a fence: an order without commands
// that shows it our token. From then on the worker refuses the orders of earlier owners, and its answer lists
// what they have started. Guards against a cancelled task that such an order started between a
// report and its answer: nobody knew of it, and it ran for a whole lease.
func (c *Core) fenceFirst(x Checkin, m *workers.Machine, v authority.Verdict) {
	if earlier := c.heldReports[m.ID]; earlier != nil {
		c.refuseReport(earlier.checkin) // its worker has given it up
	}
	c.renewals.FenceHeld++
	c.log(slog.LevelDebug, "renewal waits for a fence", "machine", m.ID, "session", m.Session, "term", m.Term, "token", x.Report.Token, "job", v.CauseJob)
	c.heldReports[m.ID] = &heldReport{checkin: x, deadline: c.now.Steady + limits.FenceWait}
	c.fenceQueue = append(c.fenceQueue, m.ID)
	c.sendQueuedFences()
}

// sendQueuedFences sends the first fences that wait for their turn.
func (c *Core) sendQueuedFences() {
	for len(c.fenceQueue) > 0 && c.fencesInFlight < limits.FencesInFlight {
		machine := c.fenceQueue[0]
		c.fenceQueue = c.fenceQueue[1:]
		if held := c.heldReports[machine]; held != nil && held.orders == 0 {
			c.sendFence(machine, held)
		}
	}
}

// sendFence sends a fence for a held report. It may leave beside other orders: it launches nothing.
func (c *Core) sendFence(machine string, held *heldReport) {
	m := c.pool.Machines[machine]
	if m == nil {
		return
	}
	call := &directCall{machine: m.ID, session: held.checkin.Report.Session, term: m.Term, fence: true, repeat: held.orders > 0}
	held.nextOrder = c.now.Steady + limits.FenceRepeatAfter<<held.orders
	held.orders++
	c.renewals.FenceOrders++
	c.fencesInFlight++
	if call.repeat {
		c.fenceRepeats++
	}
	c.lastDirectCall++
	c.directCalls[c.lastDirectCall] = call
	orders := wire.Orders{Token: call.term, Session: call.session, Commands: []wire.Command{}}
	c.out = append(c.out, DirectCall{ID: c.lastDirectCall, Address: m.Address, Body: orders, Until: c.ownership.ActUntil()})
}

// fenceReplied takes in what came of a fence.
func (c *Core) fenceReplied(call *directCall, x DirectReply) {
	c.fencesInFlight--
	if call.repeat {
		c.fenceRepeats--
	}
	if m := c.pool.Machines[call.machine]; m != nil && c.active[m.Class] == call.term {
		if r := reportIn(m, x); r != nil {
			c.takeProbe(m, call, r)
		}
		c.answerHeldReport(m.ID)
	}
	c.sendQueuedFences()
	if c.ownership.MayLaunch() {
		c.sendDirectLaunches()
	}
}

// answerHeldReport answers the held report of a machine, if there is one and the machine has seen our
// token since.
func (c *Core) answerHeldReport(machine string) {
	m, held := c.pool.Machines[machine], c.heldReports[machine]
	if m == nil || held == nil || !c.isFenced(m, held) {
		return
	}
	delete(c.heldReports, machine)
	c.renewals.Fenced++
	c.renew(held.checkin, m, workers.Overtaken)
}

// isFenced tells whether a machine has seen our token in the session of a held report, so that its
// list is all there is.
func (c *Core) isFenced(m *workers.Machine, held *heldReport) bool {
	term, ours := c.active[m.Class]
	return ours && c.ownership.MayAnswer() && m.Term == term && m.Adopted && m.Session == held.checkin.Report.Session
}

// tendHeldReports repeats fences that got no answer, and refuses the reports that have waited for too
// long: their workers try again in a second or two.
func (c *Core) tendHeldReports() {
	if len(c.heldReports) == 0 {
		return
	}
	for _, machine := range slices.Sorted(maps.Keys(c.heldReports)) {
		held := c.heldReports[machine]
		switch {
		case c.now.Steady >= held.deadline:
			c.refuseHeldReport(machine)
		case held.orders > 0 && c.now.Steady >= held.nextOrder && c.fenceRepeats < limits.FenceRepeats && c.fencesInFlight < limits.FencesInFlight:
			c.sendFence(machine, held)
		}
	}
}

// refuseHeldReport answers the held report of a machine, if there is one, with 503. Guards, where a class is
// given up, against fences for it once the class is taken again: they would leave under no term.
func (c *Core) refuseHeldReport(machine string) {
	held := c.heldReports[machine]
	if held == nil {
		return
	}
	delete(c.heldReports, machine)
	c.renewals.NotFenced++
	if m := c.pool.Machines[machine]; m != nil {
		m.NotFenced = true
	}
	c.log(slog.LevelInfo, "renewal withheld", "machine", machine, "session", held.checkin.Report.Session, "reason", string(authority.NotFenced), "orders", held.orders)
	c.refuseReport(held.checkin)
}
