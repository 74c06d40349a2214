package controller

import (
	"log/slog"
	"slices"
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
		c.lastForeignArrival = c.now.Steady
		if o := c.ownership.Owner(r.Type); o != "" && o != c.settings.Label {
			reply(421, wire.Redirect{Owner: o})
		} else {
			reply(503, nil)
		}
		return
	}
	c.lastArrival = c.now.Steady
	// A deleted machine's late report must not bring it back.
	if !c.ownership.MayAnswer() || c.fleet.IsGone(r.Machine) || r.Machine == "" {
		reply(503, nil)
		return
	}
	var adopted, recalled, found bool
	if m := c.pool.Machines[r.Machine]; m != nil {
		adopted, recalled, found = m.Adopted, m.Recall != 0, m.Term == term
	}
	m, v := c.pool.Receive(c.now.Steady, r, term, c.ownership.Claims()[r.Type].Since)
	switch v {
	case workers.Stale, workers.Deposed:
		c.log(slog.LevelDebug, "report not taken", "machine", r.Machine, "session", r.Session, "seq", r.Seq, "token", r.Token, "term", term)
		reply(503, nil)
		return
	}
	c.jobsChanged = c.jobsChanged || m.Adopted != adopted
	c.recordReport(m, found)
	if m.Recall != 0 && !recalled && m.Spot {
		c.fleet.SpotLost()
	}
	if rent := c.fleet.Track(r.Machine, fleet.Kind{Class: r.Type, Zone: r.Zone, Spot: r.Spot}, c.now.Steady); rent != nil {
		rent.Up = true
	}
	out := wire.ReportReply{Token: term, Commands: []wire.Command{}}
	if v == workers.Current {
		c.dirty = true
		if c.mayStartCancelled(m) {
			reply(503, nil)
			return
		}
		out.Commands = c.reconcile(m, out.Commands, false)
		if c.ownership.MayLaunch() {
			c.allocateOn(m)
			out.Commands = c.launchCommands(m, out.Commands)
			out.Commands = c.repeatLaunches(m, out.Commands)
		}
	}
	// Judged when it leaves: guards against a node that stands still in between.
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: out, Until: c.ownership.ActUntil()})
}

// mayStartCancelled tells whether an order that was never answered may still start a
// task of a job that was cancelled a while ago: only the end of the worker's session,
// which then is not renewed, makes it void. Guards against an order held up for longer
// than cancel_s.
func (c *Core) mayStartCancelled(m *workers.Machine) bool {
	if len(m.Unconfirmed) == 0 {
		return false
	}
	for _, p := range c.loadOf(m.ID).tasks {
		if p.job.Cancelled && p.job.Assigned[p.task].Delivery == jobs.DirectUnknown && c.now.Steady > p.job.CancelledAt+c.ownership.MaxStaleness {
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

// reconcile makes the places match a current report, or the list that answers an
// order (direct), and returns the commands that follow from it.
func (c *Core) reconcile(m *workers.Machine, cmds []wire.Command, direct bool) []wire.Command {
	may := c.ownership.MayLaunch()
	// By attempt: an ended attempt that waits for its clear must not pass for a
	// later one whose launch was lost, which would then never be launched again.
	reported := c.reported
	clear(reported)
	clear(c.reportedAttempts)
	clear(m.EndedTasks)
	for _, t := range m.Tasks {
		reported[attempt{t.Task, t.Attempt}] = true
		c.reportedAttempts[t.Attempt] = true
		jobID, task := jobs.SplitTask(t.Task)
		j := c.jobs.Open[jobID]
		if j != nil && (task < 0 || task >= j.Tasks) {
			j = nil
		}
		if t.State == wire.TaskEnded {
			cmds = c.taskEnded(m, j, t.Task, task, t, cmds, may)
			continue
		}
		if stop, grace := c.taskPresent(m, j, task, t); stop {
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: grace})
		}
	}
	c.unassignMissing(m, direct)
	for n := range m.DirectSince {
		if !c.reportedAttempts[n] && !m.Unconfirmed[n] && !m.DirectInFlight {
			delete(m.DirectSince, n)
		}
	}
	return cmds
}

// unassignMissing takes away the assignments to a machine that its newest list, which
// reconcile has just gone through, proves to be gone: the launch was lost on its way, or the
// task went with a session.
func (c *Core) unassignMissing(m *workers.Machine, direct bool) {
	load := c.loadOf(m.ID)
	var gone []string
	for id, ref := range load.tasks {
		a := ref.job.Assigned[ref.task]
		switch {
		case c.reported[attempt{id, a.Attempt}] || a.State == jobs.Planned:
		case (a.Delivery == jobs.DirectPending || a.Delivery == jobs.DirectUnknown) && a.Session == m.Session:
		case direct && a.Delivery == jobs.InReply && a.State == jobs.Sent:
			// Guards against a list that crossed the answer with the launch: the
			// task was taken for lost, and started a second time elsewhere.
		default:
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		ref := load.tasks[id]
		c.unassign(ref.job, ref.task)
	}
}

// taskPresent takes in a task that a machine lists and that has not ended; j is nil if it is
// of no job of ours. It tells whether the task has to stop, and with how many seconds to save.
func (c *Core) taskPresent(m *workers.Machine, j *jobs.Job, task int, t wire.TaskReport) (stop bool, graceS float64) {
	if j == nil || j.Done.Has(task) {
		return true, 0 // over, or not ours to run
	}
	before, known := j.Assigned[task]
	if known && before.Machine != m.ID && before.State != jobs.Planned {
		c.log(slog.LevelError, "task in two places", "task", t.Task, "machine", m.ID, "other", before.Machine)
		return true, 0
	}
	since := before.RunningSince
	if since == 0 && t.State == wire.TaskRunning {
		since = c.now.Steady
	}
	c.assign(j, task, jobs.Assignment{Machine: m.ID, Attempt: t.Attempt, State: taskState(t.State), RunningSince: since})
	if t.State == wire.TaskRunning {
		if !known || before.State < jobs.Running {
			c.log(slog.LevelDebug, "task runs", "job", j.ID, "task", task, "machine", m.ID, "class", j.Class, "afterS", c.age(j.SubmitUnix).Seconds())
		}
		j.Started = true
		if j.Image != "" {
			m.Images[j.Image] = true
		}
	}
	return c.mustStop(m, j, task, t)
}

// mustStop tells whether a task that is on a machine has to stop, and with how many seconds
// to save.
func (c *Core) mustStop(m *workers.Machine, j *jobs.Job, task int, t wire.TaskReport) (stop bool, graceS float64) {
	switch {
	case j.Cancelled:
		return true, 0
	case j.Gang:
		c.gangReported(j, t)
		if c.mustStopGang(m, j) {
			c.stopGang(j, m)
		}
		return c.gangStop(j, t)
	case m.Recall != 0 && c.cannotFinish(m, j, task, t.State):
		return true, 0
	case t.State == wire.TaskRunning && (c.mustSave(m, j) || c.mustPreempt(m.ID, t.Task, t.Attempt)):
		return true, j.SaveS + 1
	}
	return false, 0
}

func taskState(s wire.TaskState) jobs.TaskState {
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

// cannotFinish tells whether a task that saves nothing will not be done before the
// cloud takes its machine: it had better start over elsewhere at once.
func (c *Core) cannotFinish(m *workers.Machine, j *jobs.Job, task int, state wire.TaskState) bool {
	if j.CheckS > 0 || state == wire.TaskSaving {
		return false
	}
	left := j.EstimateS
	if p := j.Assigned[task]; state == wire.TaskRunning {
		left = max(left-(c.now.Steady-p.RunningSince).Seconds(), limits.LeastLeft*j.EstimateS)
	}
	return left > (m.Recall - c.now.Steady).Seconds()
}

// taskEnded takes in the end of an attempt. The outcome must be durable before the
// worker may forget it; only a completion has an outcome that matters.
func (c *Core) taskEnded(m *workers.Machine, j *jobs.Job, id string, task int, t wire.TaskReport, cmds []wire.Command, may bool) []wire.Command {
	may = may && c.mayClear(m, j, t)
	if !may {
		m.EndedTasks[id] = true
	}
	forget := false
	switch {
	case j == nil:
		forget = c.store.Mirror.Loaded
	case t.Cause == wire.CauseDone:
		c.taskDone(m, j, task, t)
		forget = j.IsDurable(task) || j.Cancelled
	default:
		c.taskNotDone(m, j, task, t)
		forget = true
	}
	if forget && may {
		cmds = append(cmds, wire.Command{Verb: wire.VerbClear, Task: id, Attempt: t.Attempt})
	}
	return cmds
}

// assignedHere tells whether a reported attempt is the one that a task has.
func assignedHere(m *workers.Machine, j *jobs.Job, task int, t wire.TaskReport) bool {
	a, ok := j.Assigned[task]
	return ok && a.Machine == m.ID && a.Attempt == t.Attempt
}

// taskDone takes in a completed task, whatever attempt of it that was.
func (c *Core) taskDone(m *workers.Machine, j *jobs.Job, task int, t wire.TaskReport) {
	if j.Gang {
		c.gangEnded(j, t)
	}
	if a, ok := j.Assigned[task]; ok && (assignedHere(m, j, task, t) || a.State == jobs.Planned) {
		c.unassign(j, task)
	}
	if !j.Done.Has(task) {
		m.Failures = map[string]int{}
		j.Succeeded = true
		j.Backoff = 0
		j.MarkDone(task)
	}
}

// taskNotDone takes in an attempt that ended otherwise.
func (c *Core) taskNotDone(m *workers.Machine, j *jobs.Job, task int, t wire.TaskReport) {
	if !assignedHere(m, j, task, t) {
		return
	}
	if j.Gang {
		c.gangEnded(j, t)
	}
	if assignedHere(m, j, task, t) {
		c.unassign(j, task)
	}
	c.log(slog.LevelDebug, "attempt ended", "task", t.Task, "machine", m.ID, "cause", t.Cause, "attempt", t.Attempt)
	if t.Cause == wire.CauseError {
		c.taskFailed(m, j)
	}
}

// taskFailed judges who is to blame for a failed task: the machine, if tasks of
// jobs that run elsewhere fail on it; the job, if it fails on several machines.
func (c *Core) taskFailed(m *workers.Machine, j *jobs.Job) {
	was := j.Faulty()
	j.FailedOn[m.ID] = true
	if j.Faulty() {
		if !was {
			// The machines were not to blame. Guards against two jobs with a mistake
			// of which both had run on a machine: it was drained for them.
			for _, other := range c.pool.Machines {
				delete(other.Failures, j.ID)
			}
		}
		// Tasks that were started together fail together: that is one try. Guards
		// against a pause of a minute after the first, although the machines may
		// have been at fault.
		if c.now.Steady >= j.NotBefore {
			j.Backoff = min(max(2*j.Backoff, limits.RetryBase), limits.RetryMost)
			j.NotBefore = c.now.Steady + j.Backoff
			c.log(slog.LevelInfo, "job fails everywhere", "job", j.ID, "machines", len(j.FailedOn), "retryIn", j.Backoff)
		}
		return
	}
	m.Failures[j.ID]++
	strikes := 0
	for _, n := range m.Failures {
		strikes += n
	}
	if m.Draining || strikes < limits.StrikesOut || (len(m.Failures) == 1 && !j.Succeeded) {
		return
	}
	m.Draining, m.Faulty = true, true
	c.log(slog.LevelInfo, "machine fails its tasks", "machine", m.ID, "strikes", strikes)
	// What failed there says nothing about the jobs. Guards against jobs that were
	// taken for faulty because several machines were.
	for _, other := range c.jobs.Open {
		delete(other.FailedOn, m.ID)
	}
}

// launchCommands turns the plans for a machine into commands.
func (c *Core) launchCommands(m *workers.Machine, cmds []wire.Command) []wire.Command {
	h := c.loads[m.ID]
	for _, id := range h.plannedTaskIDs() {
		p := h.tasks[id]
		pl := p.job.Assigned[p.task]
		if len(cmds) >= limits.MaxCommands {
			break
		}
		if p.job.Cancelled || !m.Usable(c.now.Steady, c.pool.Report) {
			c.unassign(p.job, p.task)
			continue
		}
		pl.State = jobs.Sent
		c.assign(p.job, p.task, pl)
		cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: pl.Attempt})
	}
	return cmds
}

// manageMachines gives up what is silent, expired, broken or recalled.
func (c *Core) manageMachines() {
	t := c.now.Steady
	if len(c.active) == 0 || t < c.nextMachineCheck {
		return
	}
	c.nextMachineCheck = t + limits.TickInterval
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
			c.log(slog.LevelInfo, "machine's lease is over", "machine", m.ID, "tasks", c.tasksOn(m.ID))
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
