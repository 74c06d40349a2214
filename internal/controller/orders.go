package controller

import (
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// OrderCall is a message straight to a worker, OrderReply what came of it. Unsent
// tells that no connection was made: the worker certainly got nothing.
type (
	// OrderCall is launches for a worker that need not wait for its next report. It
	// must not leave after Until.
	OrderCall struct {
		ID      uint64
		Address string
		Body    wire.Orders
		Until   time.Duration
	}
	// OrderReply is the answer to an OrderCall; status 0 is none.
	OrderReply struct {
		ID     uint64
		Status int
		Body   []byte
		Unsent bool
	}
)

// order is an OrderCall under way.
type order struct {
	machine string
	session uint64
	term    uint64
	tasks   []placed
	numbers []uint64 // their attempts
	ask     bool     // without commands: what does the machine run?
}

// sendOrders tells machines at once what was planned for them. Unlike an answer
// to a report, an order may be executed at any later time while token and session
// match. So until it is answered, a report without its attempts proves nothing,
// and one that is never answered counts as possible for the whole session.
func (c *Core) sendOrders() {
	t := c.now.Steady
	for _, id := range c.touched {
		m, h := c.pool.Machines[id], c.on[id]
		if m == nil || h == nil || h.planned == 0 || m.Ordered || m.Address == "" || len(c.orders)-c.asks >= limits.OrdersInFlight ||
			!m.Usable(t, c.pool.Report) || !c.roster[id].Up || t-m.Heard > c.pool.Report+limits.OrderSlack {
			continue
		}
		o := &order{machine: id, session: m.Session, term: m.Term}
		var cmds []wire.Command
		for _, task := range h.plannedOn() {
			p := h.tasks[task]
			if len(cmds) >= limits.MaxCommands || p.job.Cancelled {
				continue // goes, or is taken back, with the next report
			}
			pl := p.job.Placed[p.task]
			pl.State, pl.Told, pl.Session = jobs.Sent, jobs.Ordered, m.Session
			c.put(p.job, p.task, pl)
			o.tasks = append(o.tasks, p)
			o.numbers = append(o.numbers, pl.Attempt)
			m.Direct[pl.Attempt] = t
			cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: task, Attempt: pl.Attempt})
		}
		if len(cmds) == 0 {
			continue
		}
		m.Ordered = true
		c.lastOrder++
		c.orders[c.lastOrder] = o
		c.out = append(c.out, OrderCall{ID: c.lastOrder, Address: m.Address, Body: wire.Orders{Token: m.Term, Session: m.Session, Commands: cmds}, Until: c.own.ActUntil()})
	}
	c.touched = c.touched[:0]
}

// ordered takes in what came of an order.
func (c *Core) ordered(x OrderReply) {
	o := c.orders[x.ID]
	if o == nil {
		return
	}
	delete(c.orders, x.ID)
	if o.ask {
		c.asks--
	}
	m := c.pool.Machines[o.machine]
	if m == nil {
		return
	}
	m.Ordered = false
	if o.ask {
		c.askedAbout(m, o, x)
		return
	}
	if m.Term != o.term || m.Session != o.session {
		return // the order is void by now, and sync has judged its places
	}
	answered := x.Status == 200 || x.Status == 409 || x.Status == 400
	for i, p := range o.tasks {
		pl, ok := p.job.Placed[p.task]
		if !answered && !x.Unsent {
			// It may still be carried out, even after a clear.
			m.Unsure[o.numbers[i]] = true
		}
		if !ok || pl.Attempt != o.numbers[i] || pl.Told != jobs.Ordered {
			continue
		}
		switch {
		case x.Unsent:
			pl.State, pl.Told = jobs.Planned, jobs.Replied
			delete(m.Direct, pl.Attempt)
		case answered:
			pl.Told = jobs.Answered
		default:
			pl.Told = jobs.Lost
		}
		c.put(p.job, p.task, pl)
	}
	if x.Status != 200 && x.Status != 409 {
		return
	}
	r := &wire.Report{}
	if wire.Decode(x.Body, r) != nil || r.Machine != m.ID || !c.pool.HearDirect(c.now.Steady, m, r) {
		return
	}
	c.dirty = true
	// The commands that follow are sent with the answer to the next report.
	c.sync(m, nil, true)
}

// askSilent asks machines that were not heard in time what they run, by an order
// without commands: their workers may hang on another node, which answers nothing,
// or look for this one. Guards against the return of healthy machines, and against
// jobs that waited for them, when a controller stood still.
func (c *Core) askSilent() {
	t := c.now.Steady
	if !c.own.MayLaunch() {
		return
	}
	for _, m := range c.pool.Sorted() {
		if c.asks >= limits.AsksInFlight {
			return
		}
		if m.Ordered || m.Deleting || m.Lost || m.Address == "" || t < m.AskAt || t-m.Heard <= c.pool.Report*5/4+limits.AskAfter {
			continue
		}
		m.AskAt = t + limits.AskEvery
		c.askWith(m, max(m.Session, m.AskSession), []wire.Command{})
	}
}

// askWith sends a machine commands that need no account of their own, or none: stops may
// be carried out late, and again. The answer tells what it runs.
func (c *Core) askWith(m *workers.Machine, session uint64, cmds []wire.Command) {
	term := c.active[m.Class]
	m.Ordered = true
	c.asks++
	c.lastOrder++
	c.orders[c.lastOrder] = &order{machine: m.ID, session: session, term: term, ask: true}
	c.out = append(c.out, OrderCall{ID: c.lastOrder, Address: m.Address, Body: wire.Orders{Token: term, Session: session, Commands: cmds}, Until: c.own.ActUntil()})
}

// askedAbout takes in what a silent machine answered.
func (c *Core) askedAbout(m *workers.Machine, o *order, x OrderReply) {
	if c.active[m.Class] != o.term {
		return
	}
	r := &wire.Report{}
	if (x.Status != 200 && x.Status != 409) || wire.Decode(x.Body, r) != nil || r.Machine != m.ID {
		m.Mute = true
		return
	}
	resolved, found := m.Resolved(), m.Term == o.term
	if !c.pool.HearAsked(c.now.Steady, m, r, o.term, o.session) {
		return
	}
	// Guards against machines that a new owner returned as never come up, with their
	// tasks, although they had answered it.
	if rent := c.fleet.Know(m.ID, fleet.Kind{Class: m.Class, Zone: m.Zone, Spot: m.Spot}, c.now.Steady); rent != nil {
		rent.Up = true
	}
	c.heard(m, found)
	c.log("debug", "silent machine answered", "machine", m.ID, "session", r.Session, "tasks", len(r.Tasks))
	c.dirty = true
	c.regroup = c.regroup || !resolved
	c.sync(m, nil, true)
}

// again lists the launches whose order was never answered and which no report
// shows: the answer to a report repeats them, and the worker ignores what it has.
func (c *Core) again(m *workers.Machine, cmds []wire.Command) []wire.Command {
	if len(m.Unsure) == 0 {
		return cmds
	}
	for _, id := range c.on[m.ID].named() {
		p := c.on[m.ID].tasks[id]
		if pl := p.job.Placed[p.task]; pl.Told == jobs.Lost && !p.job.Cancelled && len(cmds) < limits.MaxCommands {
			cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: pl.Attempt})
			if p.job.Gang && p.job.Start.Ending {
				// Only to be sure that it is gone: the next attempt waits for that.
				cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: pl.Attempt})
			}
		}
	}
	return cmds
}

// mayClear tells whether the worker may forget an ended attempt. Guards against
// an order that is carried out late, or twice, after the clear: it would start
// the attempt again, perhaps while the task runs elsewhere. A completed task that
// is started again exits at once, so it need not be held unless it is cancelled.
func (c *Core) mayClear(m *workers.Machine, j *jobs.Job, t wire.TaskReport) bool {
	if m.Unsure[t.Attempt] {
		return false
	}
	at, direct := m.Direct[t.Attempt]
	if !direct || (t.Cause == wire.CauseDone && (j == nil || !j.Cancelled)) {
		return true
	}
	return c.now.Steady-at > time.Duration(limits.ClearLeases*float64(c.pool.Lease))
}
