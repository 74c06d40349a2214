package controller

import (
	"log/slog"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

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
