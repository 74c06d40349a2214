package controller

import (
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// checkin answers a worker's report.
func (c *Core) checkin(x Checkin) {
	r := x.Report
	reply := func(status int, body any) { c.out = append(c.out, Answer{Ref: x.Ref, Status: status, Body: body}) }
	term, ours := c.active[r.Type]
	if !ours {
		c.lastVisit = c.now.Steady
		if o := c.own.Owner(r.Type); o != "" && o != c.set.Label {
			reply(421, wire.Redirect{Owner: o})
		} else {
			reply(503, nil)
		}
		return
	}
	c.lastKnock = c.now.Steady
	// A deleted machine's late report must not bring it back.
	if !c.own.MayAnswer() || c.fleet.IsGone(r.Machine) || r.Machine == "" {
		reply(503, nil)
		return
	}
	var adopted, recalled, found bool
	if m := c.pool.Machines[r.Machine]; m != nil {
		adopted, recalled, found = m.Adopted, m.Recall != 0, m.Term == term
	}
	m, v := c.pool.Hear(c.now.Steady, r, term, c.own.Claims()[r.Type].Since)
	switch v {
	case workers.Stale, workers.Deposed:
		c.log("debug", "report not taken", "machine", r.Machine, "session", r.Session, "seq", r.Seq, "token", r.Token, "term", term)
		reply(503, nil)
		return
	}
	c.regroup = c.regroup || m.Adopted != adopted
	c.heard(m, found)
	if m.Recall != 0 && !recalled && m.Spot {
		c.fleet.SpotLost()
	}
	if rent := c.fleet.Know(r.Machine, fleet.Kind{Class: r.Type, Zone: r.Zone, Spot: r.Spot}, c.now.Steady); rent != nil {
		rent.Up = true
	}
	out := wire.ReportReply{Token: term, Commands: []wire.Command{}}
	if v == workers.Current {
		c.dirty = true
		if c.mayStartCancelled(m) {
			reply(503, nil)
			return
		}
		out.Commands = c.sync(m, out.Commands, false)
		if c.own.MayLaunch() {
			c.allocateOn(m)
			out.Commands = c.launches(m, out.Commands)
			out.Commands = c.again(m, out.Commands)
		}
	}
	// Judged when it leaves: guards against a node that stands still in between.
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: out, Until: c.own.ActUntil()})
}

// mayStartCancelled tells whether an order that was never answered may still start a
// task of a job that was cancelled a while ago: only the end of the worker's session,
// which then is not renewed, makes it void. Guards against an order held up for longer
// than cancel_s.
func (c *Core) mayStartCancelled(m *workers.Machine) bool {
	if len(m.Unsure) == 0 {
		return false
	}
	for _, p := range c.hostOf(m.ID).tasks {
		if p.job.Cancelled && p.job.Placed[p.task].Told == jobs.Lost && c.now.Steady > p.job.CancelledAt+c.own.Blind {
			return true
		}
	}
	return false
}

// attempt names one attempt of a task.
type attempt struct {
	id string
	n  uint64
}

// sync makes the places match a current report, or the list that answers an
// order (direct), and returns the commands that follow from it.
func (c *Core) sync(m *workers.Machine, cmds []wire.Command, direct bool) []wire.Command {
	may := c.own.MayLaunch()
	on := c.hostOf(m.ID)
	// By attempt: an ended attempt that waits for its clear must not pass for a
	// later one whose launch was lost, which would then never be launched again.
	reported := c.reported
	clear(reported)
	clear(c.numbers)
	clear(m.Held)
	for _, t := range m.Tasks {
		id := t.Task
		reported[attempt{id, t.Attempt}] = true
		c.numbers[t.Attempt] = true
		jobID, task := jobs.SplitTask(id)
		j := c.book.Open[jobID]
		if j != nil && (task < 0 || task >= j.Tasks) {
			j = nil
		}
		if t.State == wire.TaskEnded {
			cmds = c.ended(m, j, id, task, t, cmds, may)
			continue
		}
		if j == nil || j.Done.Has(task) {
			// Over, or not ours to run: it must go.
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt})
			continue
		}
		p, ok := j.Placed[task]
		if ok && p.Machine != m.ID && p.State != jobs.Planned {
			c.log("error", "task in two places", "task", id, "machine", m.ID, "other", p.Machine)
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt})
			continue
		}
		ran := p.Ran
		if ran == 0 && t.State == wire.TaskRunning {
			ran = c.now.Steady
		}
		c.put(j, task, jobs.Place{Machine: m.ID, Attempt: t.Attempt, State: taskState(t.State), Ran: ran})
		if t.State == wire.TaskRunning {
			if !ok || p.State < jobs.Running {
				c.log("debug", "task runs", "job", j.ID, "task", task, "machine", m.ID, "class", j.Class, "afterS", c.age(j.SubmitUnix).Seconds())
			}
			j.Begun = true
			if j.Image != "" {
				m.Images[j.Image] = true
			}
		}
		if j.Gang && !j.Cancelled {
			c.gangReported(j, t)
			if c.gangLeaves(m, j) {
				c.stopGang(j, m)
			}
			if stop, leeway := c.gangStop(j, t); stop {
				cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt, GraceS: leeway})
			}
			continue
		}
		switch {
		case j.Cancelled:
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt})
		case m.Recall != 0 && c.hopeless(m, j, task, t.State):
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt})
		case t.State == wire.TaskRunning && (c.mustSave(m, j) || c.mustReturn(m.ID, id, t.Attempt)):
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: t.Attempt, GraceS: j.SaveS + 1})
		}
	}
	for id, p := range on.tasks {
		pl := p.job.Placed[p.task]
		switch {
		case reported[attempt{id, pl.Attempt}] || pl.State == jobs.Planned:
			continue
		case (pl.Told == jobs.Ordered || pl.Told == jobs.Lost) && pl.Session == m.Session:
			continue
		case direct && pl.Told == jobs.Replied && pl.State == jobs.Sent:
			// Guards against a list that crossed the answer with the launch: the
			// task was taken for lost, and started a second time elsewhere.
			continue
		}
		// Sent, but the answer never arrived; or gone with a session.
		c.take(p.job, p.task)
	}
	for n := range m.Direct {
		if !c.numbers[n] && !m.Unsure[n] && !m.Ordered {
			delete(m.Direct, n)
		}
	}
	return cmds
}

func taskState(s string) jobs.TaskState {
	switch s {
	case wire.TaskRunning:
		return jobs.Running
	case wire.TaskSaving:
		return jobs.Saving
	}
	return jobs.Fetching
}

// mustSave tells whether a task that can save has to do so now, before the
// cloud takes its machine.
func (c *Core) mustSave(m *workers.Machine, j *jobs.Job) bool {
	if m.Recall == 0 || j.CheckS <= 0 {
		return false
	}
	left := m.Recall - c.now.Steady
	need := limits.Seconds(j.SaveS) + limits.DrainSpare + c.pool.Report*5/4
	return left <= need
}

// hopeless tells whether a task that saves nothing will not be done before the
// cloud takes its machine: it had better start over elsewhere at once.
func (c *Core) hopeless(m *workers.Machine, j *jobs.Job, task int, state string) bool {
	if j.CheckS > 0 || state == wire.TaskSaving {
		return false
	}
	left := j.EstimateS
	if p := j.Placed[task]; state == wire.TaskRunning {
		left = max(left-(c.now.Steady-p.Ran).Seconds(), limits.LeastLeft*j.EstimateS)
	}
	return left > (m.Recall - c.now.Steady).Seconds()
}

// ended takes in the end of an attempt. The outcome must be durable before the
// worker may forget it; only a completion has an outcome that matters.
func (c *Core) ended(m *workers.Machine, j *jobs.Job, id string, task int, t wire.TaskReport, cmds []wire.Command, may bool) []wire.Command {
	clear := wire.Command{Verb: wire.VerbClear, Task: id, Attempt: t.Attempt}
	may = may && c.mayClear(m, j, t)
	if !may {
		m.Held[id] = true
	}
	if j == nil {
		if c.store.Mirror.Loaded && may {
			return append(cmds, clear)
		}
		return cmds
	}
	p, ok := j.Placed[task]
	here := ok && p.Machine == m.ID && p.Attempt == t.Attempt
	if j.Gang && (here || t.Cause == wire.CauseDone) {
		c.gangEnded(j, t)
	}
	if p, ok := j.Placed[task]; ok && here && p.Machine == m.ID && p.Attempt == t.Attempt {
		c.take(j, task)
	}
	if t.Cause == wire.CauseDone {
		if ok && !here && p.State == jobs.Planned {
			c.take(j, task)
		}
		if !j.Done.Has(task) {
			m.Struck = map[string]int{}
			j.Succeeded = true
			j.Backoff = 0
			j.MarkDone(task)
		}
		if (j.Durable(task) || j.Cancelled) && may {
			return append(cmds, clear)
		}
		return cmds
	}
	if here {
		c.log("debug", "attempt ended", "task", id, "machine", m.ID, "cause", t.Cause, "attempt", t.Attempt)
		if t.Cause == wire.CauseError {
			c.failed(m, j)
		}
	}
	if may {
		cmds = append(cmds, clear)
	}
	return cmds
}

// failed judges who is to blame for a failed task: the machine, if tasks of
// jobs that run elsewhere fail on it; the job, if it fails on several machines.
func (c *Core) failed(m *workers.Machine, j *jobs.Job) {
	was := j.Faulty()
	j.FailedOn[m.ID] = true
	if j.Faulty() {
		if !was {
			// The machines were not to blame. Guards against two jobs with a mistake
			// of which both had run on a machine: it was drained for them.
			for _, other := range c.pool.Machines {
				delete(other.Struck, j.ID)
			}
		}
		// Tasks that were started together fail together: that is one try. Guards
		// against a pause of a minute after the first, although the machines may
		// have been at fault.
		if c.now.Steady >= j.NotBefore {
			j.Backoff = min(max(2*j.Backoff, limits.RetryBase), limits.RetryMost)
			j.NotBefore = c.now.Steady + j.Backoff
			c.log("info", "job fails everywhere", "job", j.ID, "machines", len(j.FailedOn), "retryIn", j.Backoff)
		}
		return
	}
	m.Struck[j.ID]++
	strikes := 0
	for _, n := range m.Struck {
		strikes += n
	}
	if m.Draining || strikes < limits.StrikesOut || (len(m.Struck) == 1 && !j.Succeeded) {
		return
	}
	m.Draining, m.Faulty = true, true
	c.log("info", "machine fails its tasks", "machine", m.ID, "strikes", strikes)
	// What failed there says nothing about the jobs. Guards against jobs that were
	// taken for faulty because several machines were.
	for _, other := range c.book.Open {
		delete(other.FailedOn, m.ID)
	}
}

// launches turns the plans for a machine into commands.
func (c *Core) launches(m *workers.Machine, cmds []wire.Command) []wire.Command {
	h := c.on[m.ID]
	for _, id := range h.plannedOn() {
		p := h.tasks[id]
		pl := p.job.Placed[p.task]
		if len(cmds) >= limits.MaxCommands {
			break
		}
		if p.job.Cancelled || !m.Usable(c.now.Steady, c.pool.Report) {
			c.take(p.job, p.task)
			continue
		}
		pl.State = jobs.Sent
		c.put(p.job, p.task, pl)
		cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: pl.Attempt})
	}
	return cmds
}

// manageMachines gives up what is silent, expired, broken or recalled.
func (c *Core) manageMachines() {
	t := c.now.Steady
	if len(c.active) == 0 || t < c.nextRun {
		return
	}
	c.nextRun = t + limits.TickEvery
	heard := time.Duration(0)
	for _, m := range c.pool.Machines {
		heard = max(heard, m.Heard)
	}
	many, most := c.manySilent(), c.mostFound()
	c.askSilent()
	for _, m := range c.pool.Sorted() {
		if !m.Lost && c.pool.Expired(m, t) {
			m.Lost = true
			m.Adopted = false
			c.log("info", "machine's lease is over", "machine", m.ID, "tasks", c.tasksOn(m.ID))
			c.clearMachine(m.ID)
		}
		// Not after a takeover, when all that was launched before waits for them,
		// nor when others are to be had: their tasks go on sooner there.
		patient := many && !m.Spot && !c.missing(m) && c.fleet.Refused(fleet.Kind{Class: m.Class, Zone: m.Zone}) && t-m.Heard < limits.ManyLeases*c.pool.Lease
		if !m.Deleting && !patient && c.silent(m, heard, most) && c.own.MayLaunch() {
			if r := c.fleet.Know(m.ID, fleet.Kind{Class: m.Class, Zone: m.Zone, Spot: m.Spot}, m.Heard); r != nil && (r.Up || m.Lost || r.Listed == wire.MachineRunning || t-r.Since > c.bootTime(m.Class)) {
				if m.Spot && m.Recall == 0 {
					c.fleet.SpotLost()
				}
				c.remove(m, "silent")
			}
		}
		if m.Recall != 0 && !m.Deleting && t > m.Recall+limits.RecallSlack && m.Heard < m.Recall && c.own.MayLaunch() {
			c.remove(m, "recalled")
		}
		// A faulty machine goes with what it runs, which would fail as well.
		if m.Draining && !m.Deleting && m.Adopted && (m.Faulty || c.tasksOn(m.ID) == 0) && c.own.MayLaunch() && !c.holdsResults(m) {
			c.remove(m, "drained")
		}
		// Plans for a machine that went quiet are taken back: nothing was sent.
		if h := c.on[m.ID]; h != nil && h.planned > 0 && !m.Usable(t, c.pool.Report) {
			for _, id := range h.plannedOn() {
				c.take(h.tasks[id].job, h.tasks[id].task)
			}
		}
	}
}

// heard takes note of a report that counted, for what silence means.
func (c *Core) heard(m *workers.Machine, found bool) {
	t := c.now.Steady
	if t-c.lastReport > c.quiet() {
		c.backAt = t
	}
	c.lastReport = t
	if !found && c.roster[m.ID].Up {
		c.newcomer = t
	}
}

// quiet is for how long there may be no report at all from many machines.
func (c *Core) quiet() time.Duration {
	return max(limits.DesertedFloor, time.Duration(limits.DesertedReports*float64(c.pool.Report)))
}

// silence is for how long a machine has been silent while others were heard.
// Guards against an owner that was cut off from all workers: as soon as one was
// heard again, it returned all the others, with their tasks.
func (c *Core) silence(m *workers.Machine) time.Duration {
	return c.now.Steady - max(m.Heard, c.backAt)
}

// visited names a peer to which workers of our classes come in vain, if there is one.
func (c *Core) visited() string {
	best := ""
	for _, p := range c.set.Others {
		if at, ok := c.visits[p.Label]; ok && c.now.Steady-at < limits.VisitedFor && (best == "" || at > c.visits[best]) {
			best = p.Label
		}
	}
	return best
}

// deserted tells whether no worker reaches this owner any more, though many did:
// it is cut off from them, and keeps its classes all the same as long as it
// reaches the state service. Guards against a day on which all machines lost their
// tasks that way. Whoever was never heard as owner waits longer, for workers whose
// reports hang on the node before, unless workers come to another node in vain.
func (c *Core) deserted() bool {
	if len(c.active) == 0 || !c.own.LeaseValid() {
		return false
	}
	// What is turned away, in an outage without promises, has arrived all the same.
	last, wait := c.lastKnock, c.quiet()
	for class := range c.active {
		if cl := c.own.Claims()[class]; cl != nil && cl.Since > last {
			last = cl.Since
			if c.visited() == "" {
				wait = c.quiet() + limits.SilentRetry
			}
		}
	}
	if c.now.Steady-last <= wait {
		return false
	}
	up := 0
	for id, m := range c.pool.Machines {
		if c.roster[id].Up && !m.Deleting {
			up++
		}
	}
	return up >= limits.ManyLeast
}

// manySilent tells whether many ordinary machines are silent at once. Nobody takes
// those back, so they hang or are cut off and may go on, some within their
// lease; deleted, they may not be had again. Guards against an incident in which
// half the fleet was returned 11 s into such a silence.
func (c *Core) manySilent() bool {
	all, silent := 0, 0
	for _, m := range c.pool.Machines {
		if m.Spot || m.Deleting {
			continue
		}
		all++
		if c.silence(m) > c.pool.Report*5/4+limits.TakeoverSlack {
			silent++
		}
	}
	return silent >= limits.ManyLeast && float64(silent) > limits.ManyPart*float64(all)
}

// mostFound tells whether most machines that an earlier owner had found this one.
func (c *Core) mostFound() bool {
	all, found := 0, 0
	for id, m := range c.pool.Machines {
		if c.roster[id].Up {
			all++
			if m.Term != 0 {
				found++
			}
		}
	}
	return float64(found) >= limits.TakeoverHeard*float64(all)
}

// silent tells whether a machine is given up for its silence: a deletion proves
// it empty sooner than its lease would. Not when all are silent, for then the
// fault is ours. After a takeover the jobs of an earlier owner wait for every
// machine, so those that did not find the new owner with most others go sooner.
func (c *Core) silent(m *workers.Machine, heard time.Duration, most bool) bool {
	t := c.now.Steady
	if t-heard >= 2*c.pool.Report {
		return false
	}
	// Answered once and silent since counts as well: guards against a takeover
	// that waited three reports for machines that were lost in its midst.
	if c.missing(m) && c.silence(m) > c.pool.Report*5/4+limits.TakeoverSlack {
		// As long as others still arrive it may only be slow to find us.
		if t-c.newcomer < limits.TakeoverPause {
			return false
		}
		return most && (m.Mute || m.Address == "" || c.silence(m) > c.pool.Report*5/4+limits.SilentRetry)
	}
	return c.silence(m) > c.pool.SilentFor()
}

// missing tells whether a takeover still waits for a machine.
func (c *Core) missing(m *workers.Machine) bool { return !m.Resolved() && c.roster[m.ID].Up }

// holdsResults tells whether the machine reports completions that are not
// durable yet: they would have to be run again.
func (c *Core) holdsResults(m *workers.Machine) bool {
	for _, t := range m.Tasks {
		if t.State == wire.TaskEnded && t.Cause == wire.CauseDone {
			job, task := jobs.SplitTask(t.Task)
			if j := c.book.Open[job]; j != nil && task >= 0 && task < j.Tasks && !j.Durable(task) {
				return true
			}
		}
	}
	return false
}

func (c *Core) bootTime(class string) time.Duration {
	if t := c.fleet.Types[class]; t != nil {
		return limits.Seconds(t.BootS*limits.BootFactor) + limits.BootSlack
	}
	return limits.BootSlack
}

func (c *Core) remove(m *workers.Machine, why string) {
	if m.Deleting {
		return
	}
	m.Deleting = true
	c.fleet.Know(m.ID, fleet.Kind{Class: m.Class, Zone: m.Zone, Spot: m.Spot}, m.Heard)
	c.fleet.Delete(m.ID, why)
}
