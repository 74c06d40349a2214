package controller

import (
	"log/slog"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// handleEndedTask processes the end of an attempt, and returns commands, with a clear appended if the
// worker may remove the attempt from its task list. A completion must be durable before the clear,
// unless the job is cancelled; other ends have no outcome to store.
func (c *Core) handleEndedTask(machine *workers.Machine, job *jobs.Job, taskID string, task int, status wire.TaskStatus, commands []wire.Command, mayClear bool) []wire.Command {
	mayClear = mayClear && c.mayClear(machine, job, status)
	if !mayClear {
		machine.EndedTasks[taskID] = true
	}
	outcomeStored := false
	switch {
	case job == nil:
		outcomeStored = c.store.Mirror.Loaded
	case status.Cause == wire.CauseDone:
		c.handleCompletion(machine, job, task, status)
		outcomeStored = job.IsDurable(task) || job.Cancelled
	default:
		c.handleUnfinishedEnd(machine, job, task, status)
		outcomeStored = true
	}
	if outcomeStored && mayClear {
		commands = append(commands, wire.Command{Verb: wire.VerbClear, Task: taskID, Attempt: status.Attempt})
	}
	return commands
}

// assignedHere reports whether a listed attempt is the one that is assigned for the task.
func assignedHere(machine *workers.Machine, job *jobs.Job, task int, status wire.TaskStatus) bool {
	assignment, ok := job.Assigned[task]
	return ok && assignment.Machine == machine.ID && assignment.Attempt == status.Attempt
}

// handleCompletion processes a completed task, whichever attempt completed it.
func (c *Core) handleCompletion(machine *workers.Machine, job *jobs.Job, task int, status wire.TaskStatus) {
	if job.Gang {
		c.recordGangTaskEnd(job, status)
	}
	if assignment, ok := job.Assigned[task]; ok && (assignedHere(machine, job, task, status) || assignment.State == jobs.Planned) {
		c.unassign(job, task)
	}
	if !job.Done.Has(task) {
		machine.Failures = map[string]int{}
		job.Succeeded = true
		job.Backoff = 0
		job.MarkDone(task)
	}
}

// handleUnfinishedEnd processes an attempt that ended without completing its task.
func (c *Core) handleUnfinishedEnd(machine *workers.Machine, job *jobs.Job, task int, status wire.TaskStatus) {
	if !assignedHere(machine, job, task, status) {
		return
	}
	if job.Gang {
		c.recordGangTaskEnd(job, status)
	}
	if assignedHere(machine, job, task, status) {
		c.unassign(job, task)
	}
	c.log(slog.LevelDebug, "attempt ended", "task", status.Task, "machine", machine.ID, "cause", status.Cause, "attempt", status.Attempt)
	if status.Cause == wire.CauseError {
		c.attributeFailure(machine, job)
	}
}

// attributeFailure attributes a failed task to the job if the job is faulty: its tasks failed on
// several machines and none succeeded. Otherwise the failure counts against the machine. A machine
// is faulty after FaultyMachineFailures counted failures, if they are of several jobs or of a job
// that has completed a task.
func (c *Core) attributeFailure(machine *workers.Machine, job *jobs.Job) {
	wasFaulty := job.Faulty()
	job.FailedOn[machine.ID] = true
	if job.Faulty() {
		if !wasFaulty {
			// The job is faulty, so its failures no longer count against the machines. Otherwise a
			// machine that ran tasks of two faulty jobs would be drained.
			for _, otherMachine := range c.pool.Machines {
				delete(otherMachine.Failures, job.ID)
			}
		}
		// Tasks that were started together fail together, which counts as one try. Otherwise the
		// job would back off for a minute after its first try, although the machines may be the
		// cause.
		if c.now.Steady >= job.NotBefore {
			job.Backoff = min(max(2*job.Backoff, limits.FaultyJobBackoffBase), limits.FaultyJobBackoffMax)
			job.NotBefore = c.now.Steady + job.Backoff
			c.log(slog.LevelInfo, "job fails everywhere", "job", job.ID, "machines", len(job.FailedOn), "retryIn", job.Backoff)
		}
		return
	}
	machine.Failures[job.ID]++
	failures := 0
	for _, count := range machine.Failures {
		failures += count
	}
	if machine.Draining || failures < limits.FaultyMachineFailures || (len(machine.Failures) == 1 && !job.Succeeded) {
		return
	}
	machine.Draining, machine.Faulty = true, true
	c.log(slog.LevelInfo, "machine fails its tasks", "machine", machine.ID, "strikes", failures)
	// Failures on a faulty machine don't count against jobs. Otherwise several faulty machines
	// would make healthy jobs look faulty.
	for _, other := range c.jobs.OpenJobs {
		delete(other.FailedOn, machine.ID)
	}
}
