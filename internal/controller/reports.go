package controller

import (
	"log/slog"
	"slices"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// checkin answers a worker's report.
func (c *Core) checkin(x Checkin) {
	r := x.Report
	term, ours := c.active[r.Type]
	if !ours {
		c.redirect(x)
		return
	}
	c.lastArrival = c.now.Steady
	// A deleted machine's late report must not bring it back.
	if !c.ownership.MayAnswer() || c.fleet.IsGone(r.Machine) || r.Machine == "" {
		c.refuseReport(x)
		return
	}
	m, proved := c.receive(r, term)
	if proved == workers.Stale || proved == workers.Deposed {
		c.log(slog.LevelDebug, "report not taken", "machine", r.Machine, "session", r.Session, "seq", r.Seq, "token", r.Token, "term", term, "why", proved.String())
		c.refuseReport(x)
		return
	}
	c.renew(x, m, proved)
}

// refuseReport answers a report with 503: it renews nothing, and the worker tries the next controller.
func (c *Core) refuseReport(x Checkin) { c.out = append(c.out, Answer{Ref: x.Ref, Status: 503}) }

// redirect answers a report for a class that this node doesn't own.
func (c *Core) redirect(x Checkin) {
	c.lastForeignArrival = c.now.Steady
	if owner := c.ownership.Owner(x.Report.Type); owner != "" && owner != c.settings.Label {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 421, Body: wire.Redirect{Owner: owner}})
		return
	}
	c.refuseReport(x)
}

// receive takes in a report for a class of ours, and tells what it proves.
func (c *Core) receive(r *wire.Report, term uint64) (m *workers.Machine, proved workers.Verdict) {
	var adopted, recalled, found bool
	if m := c.pool.Machines[r.Machine]; m != nil {
		adopted, recalled, found = m.Adopted, m.Recall != 0, m.Term == term
	}
	m, proved = c.pool.Receive(c.now.Steady, r, term, c.ownership.Claims()[r.Type].Since)
	if proved == workers.Stale || proved == workers.Deposed {
		return m, proved
	}
	if m.Adopted != adopted {
		c.jobsChanged, c.fleetChanged = true, true
	}
	c.recordReport(m, found)
	c.links.workerHeard(r.Type, r.Zone, c.pool.Report, c.now.Steady)
	if m.Recall != 0 && !recalled && m.Spot {
		c.fleet.SpotLost()
	}
	if rent := c.fleet.Track(r.Machine, fleet.Kind{Class: r.Type, Zone: r.Zone, Spot: r.Spot}, c.now.Steady); rent != nil {
		rent.Up = true
	}
	return m, proved
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
	for n, order := range m.Orders {
		if !c.reportedAttempts[n] && order.State != workers.OrderUnanswered && !m.DirectInFlight {
			delete(m.Orders, n)
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

// launchCommands turns the plans for a machine into commands.
func (c *Core) launchCommands(m *workers.Machine, cmds []wire.Command) []wire.Command {
	load := c.loads[m.ID]
	for _, id := range load.plannedTaskIDs() {
		ref := load.tasks[id]
		if len(cmds) >= limits.MaxCommands {
			break
		}
		if ref.job.Cancelled || !m.Usable(c.now.Steady, c.pool.Report) {
			c.unassign(ref.job, ref.task)
			continue
		}
		assignment := ref.job.Assigned[ref.task]
		assignment.State = jobs.Sent
		c.assign(ref.job, ref.task, assignment)
		cmds = append(cmds, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: assignment.Attempt})
	}
	return cmds
}
