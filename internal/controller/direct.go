package controller

import (
	"log/slog"
	"slices"
	"time"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// DirectCall is a message straight to a worker, DirectReply what came of it. Unsent
// tells that no connection was made: the worker certainly got nothing.
type (
	// DirectCall is launches for a worker that need not wait for its next report. It
	// must not leave after Until.
	DirectCall struct {
		ID      uint64
		Address string
		Body    wire.Orders
		Until   time.Duration
	}
	// DirectReply is the answer to a DirectCall; status 0 is none.
	DirectReply struct {
		ID     uint64
		Status int
		Body   []byte
		Unsent bool
	}
)

// directCall is a DirectCall under way.
type directCall struct {
	machine  string
	session  uint64
	term     uint64
	tasks    []taskRef
	attempts []uint64 // their attempts
	probe    bool     // launches nothing: what does the machine run?
	fence    bool     // launches nothing: the machine is to see our token
	repeat   bool     // of a fence
}

// sendDirectLaunches tells machines at once what was planned for them, so many at a time as
// limits.DirectInFlight allows; the others wait for the answers of these, or for their own next
// reports. Unlike an answer to a report, an order may be executed at any later time while token
// and session match. So until it is answered, a report without its attempts proves nothing,
// and one that is never answered counts as possible for the whole session.
func (c *Core) sendDirectLaunches() {
	sent := 0
	for _, id := range c.plannedMachines {
		if len(c.directCalls)-c.probesInFlight-c.fencesInFlight >= limits.DirectInFlight {
			break
		}
		sent++
		if m, load := c.pool.Machines[id], c.loads[id]; c.mayOrderDirectly(m, load) {
			c.sendLaunches(m, load)
		}
	}
	c.plannedMachines = slices.Delete(c.plannedMachines, 0, sent)
}

// mayOrderDirectly tells whether what is planned for a machine may be sent straight to it.
func (c *Core) mayOrderDirectly(m *workers.Machine, load *machineLoad) bool {
	if m == nil || load == nil || load.planned == 0 || m.DirectInFlight || m.Address == "" {
		return false
	}
	silent := c.now.Steady - m.LastReport
	return silent <= c.pool.Report+limits.DirectSlack && m.Usable(c.now.Steady, c.pool.Report) && c.machineRecords[m.ID].Up
}

// sendLaunches sends a machine an order with the launches that are planned for it.
func (c *Core) sendLaunches(m *workers.Machine, load *machineLoad) {
	call := &directCall{machine: m.ID, session: m.Session, term: m.Term}
	var commands []wire.Command
	for _, task := range load.plannedTaskIDs() {
		ref := load.tasks[task]
		if len(commands) >= limits.MaxCommands || ref.job.Cancelled {
			continue // goes, or is taken back, with the next report
		}
		assignment := ref.job.Assigned[ref.task]
		assignment.State, assignment.Delivery, assignment.Session = jobs.Sent, jobs.DirectPending, m.Session
		c.assign(ref.job, ref.task, assignment)
		call.tasks = append(call.tasks, ref)
		call.attempts = append(call.attempts, assignment.Attempt)
		m.Orders[assignment.Attempt] = &workers.Order{Task: task, SentAt: c.now.Steady}
		commands = append(commands, wire.Command{Verb: wire.VerbLaunch, Task: task, Attempt: assignment.Attempt})
	}
	if len(commands) == 0 {
		return
	}
	m.DirectInFlight = true
	c.lastDirectCall++
	c.directCalls[c.lastDirectCall] = call
	orders := wire.Orders{Token: m.Term, Session: m.Session, Commands: commands}
	c.out = append(c.out, DirectCall{ID: c.lastDirectCall, Address: m.Address, Body: orders, Until: c.ownership.ActUntil()})
}

// directReplied takes in what came of an order.
func (c *Core) directReplied(x DirectReply) {
	call := c.directCalls[x.ID]
	if call == nil {
		return
	}
	delete(c.directCalls, x.ID)
	if call.fence {
		c.fenceReplied(call, x)
		return
	}
	if call.probe {
		c.probesInFlight--
	}
	m := c.pool.Machines[call.machine]
	if m != nil {
		m.DirectInFlight = false
	}
	switch {
	case m == nil:
	case call.probe:
		c.probeReplied(m, call, x)
	default:
		c.launchesReplied(m, call, x)
	}
	c.answerHeldReport(call.machine)
	// What was planned while the order was under way goes at once, but only to a worker that answers:
	// guards against calls without a pause to one that refuses connections.
	if load := c.loads[call.machine]; x.Status == 200 && load != nil && load.planned > 0 {
		c.plannedMachines = append(c.plannedMachines, call.machine)
	}
	if c.ownership.MayLaunch() {
		c.sendDirectLaunches()
	}
}

// launchesReplied takes in what came of an order that launches tasks.
func (c *Core) launchesReplied(m *workers.Machine, call *directCall, x DirectReply) {
	if m.Term != call.term || m.Session != call.session {
		return // the order is void by now, and reconcile has judged its tasks
	}
	answered := x.Status == 200 || x.Status == 409 || x.Status == 400
	for i, ref := range call.tasks {
		assignment, ok := ref.job.Assigned[ref.task]
		settleOrder(m, call.attempts[i], answered, x.Unsent)
		if !ok || assignment.Attempt != call.attempts[i] || assignment.Delivery != jobs.DirectPending {
			continue
		}
		switch {
		case x.Unsent:
			assignment.State, assignment.Delivery = jobs.Planned, jobs.InReply
		case answered:
			assignment.Delivery = jobs.DirectConfirmed
		default:
			assignment.Delivery = jobs.DirectUnknown
		}
		c.assign(ref.job, ref.task, assignment)
	}
	if x.Status != 200 && x.Status != 409 {
		return
	}
	r := &wire.Report{}
	if wire.Decode(x.Body, r) != nil || r.Machine != m.ID || !c.pool.ReceiveDirect(c.now.Steady, m, r) {
		return
	}
	c.dirty = true
	// The commands that follow are sent with the answer to the next report.
	c.reconcile(m, nil, true)
}

// settleOrder takes note of what came of an order for an attempt.
func settleOrder(m *workers.Machine, attempt uint64, answered, unsent bool) {
	order := m.Orders[attempt]
	switch {
	case order == nil:
	case unsent:
		delete(m.Orders, attempt)
	case answered:
		order.State = workers.OrderAnswered
	default:
		// It may still be carried out, even after a clear.
		order.State = workers.OrderUnanswered
	}
}

// probeSilent asks machines that were not heard in time what they run, by an order
// without commands: their workers may hang on another node, which answers nothing,
// or look for this one. Guards against the return of healthy machines, and against
// jobs that waited for them, when a controller stood still.
func (c *Core) probeSilent() {
	t := c.now.Steady
	if !c.ownership.MayLaunch() {
		return
	}
	for _, m := range c.pool.Sorted() {
		if c.probesInFlight >= limits.ProbesInFlight {
			return
		}
		if m.DirectInFlight || m.Deleting || m.Lost || m.Address == "" || t < m.NextProbe || t-m.LastReport <= c.pool.Report*5/4+limits.ProbeAfter {
			continue
		}
		m.NextProbe = t + limits.ProbeInterval
		c.sendUntracked(m, max(m.Session, m.ProbeSession), []wire.Command{})
	}
}

// sendUntracked sends a machine commands that need no account of their own, or none: stops may
// be carried out late, and again. The answer tells what it runs.
func (c *Core) sendUntracked(m *workers.Machine, session uint64, cmds []wire.Command) {
	term := c.active[m.Class]
	m.DirectInFlight = true
	c.probesInFlight++
	c.lastDirectCall++
	c.directCalls[c.lastDirectCall] = &directCall{machine: m.ID, session: session, term: term, probe: true}
	c.out = append(c.out, DirectCall{ID: c.lastDirectCall, Address: m.Address, Body: wire.Orders{Token: term, Session: session, Commands: cmds}, Until: c.ownership.ActUntil()})
}

// probeReplied takes in what a machine answered that was asked what it runs.
func (c *Core) probeReplied(m *workers.Machine, call *directCall, x DirectReply) {
	if c.active[m.Class] != call.term {
		return
	}
	r := reportIn(m, x)
	if r == nil {
		m.ProbeFailed = true
		return
	}
	c.takeProbe(m, call, r)
}

// reportIn reads the report that a worker answers an order with; nil: there is none.
func reportIn(m *workers.Machine, x DirectReply) *wire.Report {
	r := &wire.Report{}
	if (x.Status != 200 && x.Status != 409) || wire.Decode(x.Body, r) != nil || r.Machine != m.ID {
		return nil
	}
	return r
}

// takeProbe takes in the report of a machine that was asked what it runs.
func (c *Core) takeProbe(m *workers.Machine, call *directCall, r *wire.Report) {
	resolved, found := m.Resolved(), m.Term == call.term
	if !c.pool.ReceiveProbe(c.now.Steady, m, r, call.term, call.session) {
		return
	}
	// Guards against machines that a new owner returned as never come up, with their
	// tasks, although they had answered it.
	if rent := c.fleet.Track(m.ID, kindOf(m), c.now.Steady); rent != nil {
		rent.Up = true
	}
	c.recordReport(m, found)
	c.log(slog.LevelDebug, "silent machine answered", "machine", m.ID, "session", r.Session, "tasks", len(r.Tasks))
	c.dirty, c.fleetChanged = true, true
	c.jobsChanged = c.jobsChanged || !resolved
	c.reconcile(m, nil, true)
}

// repeatLaunches lists the launches whose order was never answered and which no report
// shows: the answer to a report repeats them, and the worker ignores what it has.
func (c *Core) repeatLaunches(m *workers.Machine, cmds []wire.Command) []wire.Command {
	if !m.HasUnansweredOrders() {
		return cmds
	}
	load := c.loads[m.ID]
	for _, id := range load.taskIDs() {
		ref := load.tasks[id]
		assignment := ref.job.Assigned[ref.task]
		if assignment.Delivery != jobs.DirectUnknown || ref.job.Cancelled || len(cmds) >= limits.MaxCommands {
			continue
		}
		cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: assignment.Attempt})
		if ref.job.Gang && ref.job.GangRun.Ending {
			// Only to be sure that it is gone: the next attempt waits for that.
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: assignment.Attempt})
		}
	}
	return cmds
}

// mayClear tells whether the worker may forget an ended attempt. Guards against
// an order that is carried out late, or twice, after the clear: it would start
// the attempt again, perhaps while the task runs elsewhere. A completed task that
// is started again exits at once, so it need not be held unless it is cancelled.
func (c *Core) mayClear(m *workers.Machine, j *jobs.Job, t wire.TaskReport) bool {
	order := m.Orders[t.Attempt]
	if order == nil {
		return true
	}
	if order.State == workers.OrderUnanswered {
		return false
	}
	if t.Cause == wire.CauseDone && (j == nil || !j.Cancelled) {
		return true
	}
	return c.now.Steady-order.SentAt > time.Duration(limits.ClearLeases*float64(c.pool.Lease))
}
