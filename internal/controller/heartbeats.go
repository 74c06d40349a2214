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

// handleHeartbeat processes a worker's heartbeat and answers it, unless renewOrRefuse holds the answer for
// a fence.
func (c *Core) handleHeartbeat(request HeartbeatRequest) {
	heartbeat := request.Heartbeat
	term, owned := c.activeTerms[heartbeat.Type]
	if !owned {
		c.redirectHeartbeat(request)
		return
	}
	c.lastArrival = c.now.Steady
	// A late heartbeat of a deleted machine must not register the machine again.
	if !c.ownership.MayAnswer() || c.fleet.IsDeleted(heartbeat.Machine) || heartbeat.Machine == "" {
		c.refuseHeartbeat(request)
		return
	}
	machine, verdict := c.receiveHeartbeat(heartbeat, term)
	if verdict == workers.Stale || verdict == workers.Deposed {
		c.log(slog.LevelDebug, "heartbeat refused", "machine", heartbeat.Machine, "session", heartbeat.Incarnation, "seq", heartbeat.Seq, "token", heartbeat.FencingToken, "term", term, "why", verdict.String())
		c.refuseHeartbeat(request)
		return
	}
	c.renewOrRefuse(request, machine, verdict)
}

// refuseHeartbeat answers a heartbeat with 503. The machine's lease is not renewed, and the worker
// tries the next controller.
func (c *Core) refuseHeartbeat(request HeartbeatRequest) {
	c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 503})
}

// redirectHeartbeat answers a heartbeat for a class that this node doesn't own: it names the owner,
// or refuses the heartbeat if no other node is recorded as the owner.
func (c *Core) redirectHeartbeat(request HeartbeatRequest) {
	c.lastForeignArrival = c.now.Steady
	if owner := c.ownership.Owner(request.Heartbeat.Type); owner != "" && owner != c.settings.Label {
		c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 421, Body: wire.Redirect{Owner: owner}})
		return
	}
	c.refuseHeartbeat(request)
}

// receiveHeartbeat processes a heartbeat for an owned class, and returns its machine and what the
// heartbeat proves.
func (c *Core) receiveHeartbeat(heartbeat *wire.Heartbeat, term uint64) (machine *workers.Machine, verdict workers.Verdict) {
	var wasAdopted, wasRecalled, alreadyReported bool
	if machine := c.pool.Machines[heartbeat.Machine]; machine != nil {
		wasAdopted, wasRecalled, alreadyReported = machine.Adopted, machine.RecallAt != 0, machine.Term == term
	}
	machine, verdict = c.pool.ReceiveHeartbeat(c.now.Steady, heartbeat, term, c.ownership.Claims()[heartbeat.Type].Since)
	if verdict == workers.Stale || verdict == workers.Deposed {
		return machine, verdict
	}
	if machine.Adopted != wasAdopted {
		c.jobsChanged, c.fleetChanged = true, true
	}
	c.recordHeartbeatTime(machine, alreadyReported)
	c.linkMonitor.recordWorkerHeartbeat(heartbeat.Type, heartbeat.Zone, c.pool.HeartbeatInterval, c.now.Steady)
	if machine.RecallAt != 0 && !wasRecalled && machine.Spot {
		c.fleet.RecordSpotLoss()
	}
	if rental := c.fleet.Track(heartbeat.Machine, fleet.Kind{Class: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}, c.now.Steady); rental != nil {
		rental.Up = true
	}
	return machine, verdict
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task   string
	number uint64
}

// reconcile updates the assignments to match the machine's task list, and returns commands with the
// resulting commands appended. The list comes from a current heartbeat or, if inOrderReply is set,
// from the answer to a direct order.
func (c *Core) reconcile(machine *workers.Machine, commands []wire.Command, inOrderReply bool) []wire.Command {
	mayLaunch := c.ownership.MayLaunch()
	// The keys of listedAttempts include the attempt number. Without the number, an ended attempt that waits to be cleared
	// would be mistaken for a later attempt whose launch was lost, and the task would never be launched
	// again.
	listedAttempts := c.listedAttempts
	clear(listedAttempts)
	clear(c.listedAttemptNumbers)
	clear(machine.EndedTasks)
	for _, status := range machine.Tasks {
		listedAttempts[attemptKey{status.Task, status.Attempt}] = true
		c.listedAttemptNumbers[status.Attempt] = true
		jobID, task := jobs.SplitTaskID(status.Task)
		job := c.jobs.OpenJobs[jobID]
		if job != nil && (task < 0 || task >= job.Tasks) {
			job = nil
		}
		if status.State == wire.TaskEnded {
			commands = c.handleEndedTask(machine, job, status.Task, task, status, commands, mayLaunch)
			continue
		}
		if stop, graceS := c.handlePresentTask(machine, job, task, status); stop {
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: status.Task, Attempt: status.Attempt, GraceS: graceS})
		}
	}
	c.unassignMissingTasks(machine, inOrderReply)
	for number, order := range machine.Orders {
		if !c.listedAttemptNumbers[number] && order.State != workers.OrderUnanswered && !machine.DirectOrderInFlight {
			delete(machine.Orders, number)
		}
	}
	return commands
}

// unassignMissingTasks removes the assignments whose attempts are missing from the machine's newest task
// list, which reconcile has just processed. The launch of such an attempt was lost, or the attempt ended
// with an incarnation of the worker.
func (c *Core) unassignMissingTasks(machine *workers.Machine, inOrderReply bool) {
	load := c.loadOf(machine.ID)
	var missingTasks []string
	for taskID, ref := range load.tasks {
		assignment := ref.job.Assigned[ref.task]
		switch {
		case c.listedAttempts[attemptKey{taskID, assignment.Attempt}] || assignment.State == jobs.Planned:
		case (assignment.Delivery == jobs.DirectPending || assignment.Delivery == jobs.DirectUnknown) && assignment.WorkerIncarnation == machine.Incarnation:
		case inOrderReply && assignment.Delivery == jobs.InReply && assignment.State == jobs.Sent:
			// The launch was sent in the answer to a heartbeat, and the worker may have sent this
			// list before it received that answer, so the task may be running although the list lacks
			// it. Without this case, the task would be considered lost and started a second time on
			// another machine.
		default:
			missingTasks = append(missingTasks, taskID)
		}
	}
	slices.Sort(missingTasks)
	for _, taskID := range missingTasks {
		ref := load.tasks[taskID]
		c.unassign(ref.job, ref.task)
	}
}

// handlePresentTask processes a listed task that has not ended. job is nil if the task belongs to
// no open job. It reports whether the task must be stopped, and with how many seconds to save its
// state.
func (c *Core) handlePresentTask(machine *workers.Machine, job *jobs.Job, task int, status wire.TaskStatus) (stop bool, graceS float64) {
	if job == nil || job.Done.Has(task) {
		return true, 0 // the task is done, or belongs to no open job
	}
	assignment, known := job.Assigned[task]
	if known && assignment.Machine != machine.ID && assignment.State != jobs.Planned {
		c.log(slog.LevelError, "task in two places", "task", status.Task, "machine", machine.ID, "other", assignment.Machine)
		return true, 0
	}
	runningSince := assignment.RunningSince
	if runningSince == 0 && status.State == wire.TaskRunning {
		runningSince = c.now.Steady
	}
	c.assign(job, task, jobs.Assignment{Machine: machine.ID, Attempt: status.Attempt, State: taskState(status.State), RunningSince: runningSince})
	if status.State == wire.TaskRunning {
		if !known || assignment.State < jobs.Running {
			c.log(slog.LevelDebug, "task running", "job", job.ID, "task", task, "machine", machine.ID, "class", job.Class, "afterS", c.age(job.SubmitUnix).Seconds())
		}
		job.Started = true
		if job.Image != "" {
			machine.Images[job.Image] = true
		}
	}
	return c.mustStop(machine, job, task, status)
}

// mustStop reports whether a task on a machine must be stopped, and with how many seconds to save
// its state.
func (c *Core) mustStop(machine *workers.Machine, job *jobs.Job, task int, status wire.TaskStatus) (stop bool, graceS float64) {
	switch {
	case job.Cancelled:
		return true, 0
	case job.Gang:
		c.recordGangTaskStatus(job, status)
		if c.mustStopGang(machine, job) {
			c.stopGang(job, machine)
		}
		return c.shouldStopGangTask(job, status)
	case machine.RecallAt != 0 && c.cannotFinish(machine, job, task, status.State):
		return true, 0
	case status.State == wire.TaskRunning && (c.mustSave(machine, job) || c.mustPreempt(machine.ID, status.Task, status.Attempt)):
		return true, job.SaveDurationS + 1
	}
	return false, 0
}

func taskState(state wire.TaskState) jobs.TaskState {
	switch state {
	case wire.TaskRunning:
		return jobs.Running
	case wire.TaskSaving:
		return jobs.Saving
	}
	return jobs.Fetching
}

// mustSave reports whether a task that can save its state must save it now, before the cloud takes
// its machine.
func (c *Core) mustSave(machine *workers.Machine, job *jobs.Job) bool {
	if machine.RecallAt == 0 || job.CheckpointS <= 0 {
		return false
	}
	remaining := machine.RecallAt - c.now.Steady
	required := limits.Seconds(job.SaveDurationS) + limits.DrainMargin + c.pool.HeartbeatInterval*5/4
	return remaining <= required
}

// cannotFinish reports whether a task that never saves its state will not finish before the cloud
// takes its machine. Such a task is stopped at once and starts over on another machine.
func (c *Core) cannotFinish(machine *workers.Machine, job *jobs.Job, task int, state wire.TaskState) bool {
	if job.CheckpointS > 0 || state == wire.TaskSaving {
		return false
	}
	remainingS := job.EstimateS
	if assignment := job.Assigned[task]; state == wire.TaskRunning {
		remainingS = max(remainingS-(c.now.Steady-assignment.RunningSince).Seconds(), limits.MinRemainingShare*job.EstimateS)
	}
	return remainingS > (machine.RecallAt - c.now.Steady).Seconds()
}

// appendLaunchCommands appends launch commands for the tasks planned for a machine, and unassigns
// planned tasks that must no longer be launched there.
func (c *Core) appendLaunchCommands(machine *workers.Machine, commands []wire.Command) []wire.Command {
	load := c.loads[machine.ID]
	for _, taskID := range load.plannedTaskIDs() {
		ref := load.tasks[taskID]
		if len(commands) >= limits.MaxCommands {
			break
		}
		if ref.job.Cancelled || !machine.Usable(c.now.Steady, c.pool.HeartbeatInterval) {
			c.unassign(ref.job, ref.task)
			continue
		}
		if ref.job.LaunchesHeld {
			continue
		}
		assignment := ref.job.Assigned[ref.task]
		assignment.State = jobs.Sent
		c.assign(ref.job, ref.task, assignment)
		commands = append(commands, wire.Command{Verb: wire.VerbLaunch, Task: taskID, Attempt: assignment.Attempt})
	}
	return commands
}
