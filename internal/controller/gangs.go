package controller

import (
	"log/slog"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// All tasks of a gang share one attempt number. Until the first task runs, a lost task is
// replaced under the same number. After that, or when a task ends in any other way, the whole
// attempt ends. The next attempt starts once every task of the attempt has provably left its
// machine.

// gangEndReason is the reason why an attempt of a gang ends: one of the constants below, or the
// cause that a worker reports for a task.
type gangEndReason wire.Cause

// Reasons determined by the owner, as opposed to causes reported by workers.
const (
	gangMixedAttempts gangEndReason = "mixed attempts"
	gangTaskLost      gangEndReason = "task lost"
	gangMachineLeaves gangEndReason = "machine leaves"
	gangStopTimeout   gangEndReason = "not stopped in time"
	gangIncomplete    gangEndReason = "not whole at a takeover"
)

// limitGangUnit sets a unit's task count and the machines to avoid for a gang. It reports
// whether the gang may be placed now.
func (c *Core) limitGangUnit(unit *allocation.Unit, job *jobs.Job, endedTaskMachines map[string][]string) bool {
	unit.Gang, unit.Count = true, job.WaitingCount()
	if job.GangRun.Ending || job.GangRun.StoppedAt > 0 || (job.GangRun.Started && unit.Count > 0) {
		return false
	}
	unit.ExcludedMachines = map[string]bool{}
	if !job.Faulty() { // a job that fails on every machine would have none left to retry on
		for machineID := range job.FailedOn {
			unit.ExcludedMachines[machineID] = true
		}
	}
	for machineID := range job.GangRun.LeftMachines { // an attempt that was cleared on a machine must not be launched there again
		unit.ExcludedMachines[machineID] = true
	}
	for _, machineID := range endedTaskMachines[job.ID] {
		unit.ExcludedMachines[machineID] = true
	}
	// Without the check for faulty jobs, a gang that fails on every machine would have machines
	// reserved for each retry.
	unit.Overdue = !job.Faulty() && c.age(job.SubmitUnix) > limits.GangReservationAge
	return unit.Count > 0
}

// machinesWithEndedTasks returns, by gang, the machines that still list an ended task of the
// gang. The task can't be placed on such a machine until its ended attempt is cleared.
func (c *Core) machinesWithEndedTasks() map[string][]string {
	byGang := map[string][]string{}
	for machineID, machine := range c.pool.Machines {
		for task := range machine.EndedTasks {
			jobID, _ := jobs.SplitTaskID(task)
			if job := c.jobs.OpenJobs[jobID]; job != nil && job.Gang {
				byGang[jobID] = append(byGang[jobID], machineID)
			}
		}
	}
	return byGang
}

// placeGang applies the placements of a gang's waiting tasks, all or none.
func (c *Core) placeGang(job *jobs.Job, team string, machines []*allocation.Machine) {
	var tasks []int
	for task := 0; task < job.Tasks; task++ {
		if _, ok := job.Assigned[task]; !ok {
			tasks = append(tasks, task)
		}
	}
	if len(tasks) != len(machines) || job.DoneCount > 0 || job.GangRun.Ending || job.GangRun.Started && len(tasks) > 0 {
		return // the job changed after the placement was computed
	}
	for _, candidate := range machines {
		machine := c.pool.Machines[candidate.ID]
		if machine == nil || job.GangRun.LeftMachines[candidate.ID] {
			return
		}
		for _, task := range tasks {
			if machine.EndedTasks[jobs.TaskID(job.ID, task)] {
				return
			}
		}
	}
	if job.GangRun.Attempt == 0 {
		job.GangRun = jobs.GangRun{Attempt: c.nextAttempt(machines[0].Class), LeftMachines: map[string]bool{}}
	}
	for i, candidate := range machines {
		c.assign(job, tasks[i], jobs.Assignment{Machine: candidate.ID, Attempt: job.GangRun.Attempt, State: jobs.Planned})
		markImageFetching(c.pool.Machines[candidate.ID], job)
		c.plannedMachines = append(c.plannedMachines, candidate.ID)
	}
	c.log(slog.LevelDebug, "gang placed", "job", job.ID, "tasks", len(tasks), "of", job.Tasks, "attempt", job.GangRun.Attempt, "team", team)
}

// recordGangTaskStatus processes the status of a gang's task from a machine's heartbeat.
func (c *Core) recordGangTaskStatus(job *jobs.Job, status wire.TaskStatus) {
	if job.GangRun.Attempt == 0 {
		return // adoptGangAttempt adopts the attempt once the tasks of all machines are known
	}
	if status.Attempt != job.GangRun.Attempt {
		c.endGangAttempt(job, gangMixedAttempts)
	} else if status.State == wire.TaskRunning || status.State == wire.TaskSaving {
		job.GangRun.Started = true
	}
}

// recordGangTaskLost records that a launched task of a gang has left its machine. If the gang has
// started and was not ordered to stop, its attempt ends.
func (c *Core) recordGangTaskLost(job *jobs.Job, assignment jobs.Assignment) {
	if assignment.Attempt != job.GangRun.Attempt || assignment.State == jobs.Planned || job.DoneCount == job.Tasks {
		return
	}
	if job.GangRun.LeftMachines == nil {
		job.GangRun.LeftMachines = map[string]bool{}
	}
	job.GangRun.LeftMachines[assignment.Machine] = true
	if job.GangRun.Started && job.GangRun.StoppedAt == 0 {
		c.endGangAttempt(job, gangTaskLost)
	}
}

// recordGangTaskEnd processes the reported end of a gang's task.
func (c *Core) recordGangTaskEnd(job *jobs.Job, status wire.TaskStatus) {
	switch {
	case status.Cause == wire.CauseDone:
		// A gang is complete when any of its tasks is: the other tasks exit with it.
		job.Succeeded, job.Backoff = true, 0
		for task := 0; task < job.Tasks; task++ {
			job.MarkDone(task)
		}
		for _, task := range job.AssignedTasks() {
			c.unassign(job, task)
		}
	case status.Attempt != job.GangRun.Attempt:
	case status.Cause == wire.CauseHalted && job.GangRun.StoppedAt > 0:
		// The task saved and stopped as ordered; the other tasks are still saving.
	default:
		c.endGangAttempt(job, gangEndReason(status.Cause))
	}
}

// endGangAttempt ends a gang's attempt: it drops planned tasks and stops the launched ones.
func (c *Core) endGangAttempt(job *jobs.Job, reason gangEndReason) {
	if job.GangRun.Ending || job.GangRun.Attempt == 0 {
		return
	}
	job.GangRun.Ending = true
	c.log(slog.LevelInfo, "gang attempt ends", "job", job.ID, "why", reason, "attempt", job.GangRun.Attempt, "left", len(job.Assigned))
	c.schedulingDue = true
	for _, task := range job.AssignedTasks() {
		if job.Assigned[task].State == jobs.Planned {
			c.unassign(job, task)
		}
	}
	c.sendGangStops(job, "")
}

// stopGang orders all tasks of a running gang to save and stop, because the gang has to leave
// the given machine. If the gang is not running yet, it has nothing to save and its attempt ends
// immediately.
func (c *Core) stopGang(job *jobs.Job, machine *workers.Machine) {
	if job.GangRun.Ending || job.GangRun.StoppedAt > 0 || job.GangRun.Attempt == 0 {
		return
	}
	if !job.GangRun.Started {
		c.endGangAttempt(job, gangMachineLeaves)
		return
	}
	job.GangRun.StoppedAt = c.now.Steady
	c.log(slog.LevelInfo, "gang stops to save", "job", job.ID, "machine", machine.ID, "attempt", job.GangRun.Attempt)
	// The stop commands are sent as direct orders, because in heartbeat replies they could reach
	// the last tasks too late.
	c.sendGangStops(job, machine.ID)
}

// shouldStopGangTask reports whether a gang's task must be stopped, and with what grace period in
// seconds.
func (c *Core) shouldStopGangTask(job *jobs.Job, status wire.TaskStatus) (stop bool, graceS float64) {
	switch {
	case job.GangRun.Ending || job.GangRun.Attempt != 0 && status.Attempt != job.GangRun.Attempt:
		return true, 0
	case job.GangRun.StoppedAt > 0 && status.State != wire.TaskSaving:
		return true, job.SaveDurationS + c.settings.Cluster.Workers.GangPeerS
	}
	return false, 0
}

// sendGangStops sends stop commands as direct orders to the machines of a gang's tasks, except for
// exceptMachine, whose heartbeat is being answered. Commands that don't arrive are repeated in
// heartbeat replies.
func (c *Core) sendGangStops(job *jobs.Job, exceptMachine string) {
	commands := map[string][]wire.Command{}
	var machineIDs []string
	for _, task := range job.AssignedTasks() {
		assignment := job.Assigned[task]
		stop, graceS := c.shouldStopGangTask(job, wire.TaskStatus{Attempt: assignment.Attempt})
		if assignment.State == jobs.Planned || assignment.State == jobs.Saving || !stop || assignment.Machine == exceptMachine {
			continue
		}
		if commands[assignment.Machine] == nil {
			machineIDs = append(machineIDs, assignment.Machine)
		}
		commands[assignment.Machine] = append(commands[assignment.Machine], wire.Command{Verb: wire.VerbStop, Task: jobs.TaskID(job.ID, task), Attempt: assignment.Attempt, GraceS: graceS})
	}
	for _, machineID := range machineIDs {
		if machine := c.pool.Machines[machineID]; machine != nil && c.mayStopDirectly(machine) {
			c.sendUntrackedOrder(machine, machine.Incarnation, commands[machineID])
		}
	}
}

// mayStopDirectly reports whether stop commands may be sent to a machine as direct orders. When this
// node stops acting for a class, its gangs' tasks are unassigned. Without the check that the class is
// owned, the resulting stop commands would be sent with a term of 0.
func (c *Core) mayStopDirectly(machine *workers.Machine) bool {
	_, owned := c.activeTerms[machine.Class]
	reachable := machine.Adopted && !machine.LeaseExpired && !machine.Deleting && machine.Address != ""
	return owned && reachable && !machine.DirectOrderInFlight && c.probesInFlight < limits.MaxProbesInFlight
}

// updateGangs adopts attempts that earlier owners started, ends attempts that take too long to
// stop, and removes attempts that have no tasks left so that the next attempt can start.
func (c *Core) updateGangs() {
	steadyNow := c.now.Steady
	var jobIDs []string
	for jobID, job := range c.jobs.OpenJobs {
		if job.Gang && job.Active && !job.Frozen && (job.GangRun.Attempt != 0 || len(job.Assigned) > 0) {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	for _, jobID := range jobIDs {
		job := c.jobs.OpenJobs[jobID]
		if job.GangRun.Attempt == 0 && len(job.Assigned) > 0 {
			c.adoptGangAttempt(job)
		}
		if job.GangRun.StoppedAt > 0 && steadyNow > job.GangRun.StoppedAt+limits.Seconds(c.settings.Cluster.Workers.GangPeerS+job.SaveDurationS)+c.pool.HeartbeatInterval*5/4+limits.GangStopSlack {
			c.endGangAttempt(job, gangStopTimeout)
		}
		if job.GangRun.Attempt != 0 && len(job.Assigned) == 0 {
			job.GangRun = jobs.GangRun{}
			c.schedulingDue = true
		}
	}
}

// adoptGangAttempt adopts an attempt of an earlier owner. If the attempt was being stopped, the stop
// commands are sent again. If tasks are missing and none has run yet, the missing tasks are launched
// under the same attempt number. An attempt whose missing tasks can't be launched any more is ended.
func (c *Core) adoptGangAttempt(job *jobs.Job) {
	hasMixedAttempts, hasSavingTask := false, false
	for _, task := range job.AssignedTasks() {
		assignment := job.Assigned[task]
		if job.GangRun.Attempt == 0 {
			job.GangRun = jobs.GangRun{Attempt: assignment.Attempt, LeftMachines: map[string]bool{}}
		}
		hasMixedAttempts = hasMixedAttempts || assignment.Attempt != job.GangRun.Attempt
		hasSavingTask = hasSavingTask || assignment.State == jobs.Saving
		job.GangRun.Started = job.GangRun.Started || assignment.State >= jobs.Running
	}
	switch allAssigned := len(job.Assigned) == job.Tasks; {
	case hasMixedAttempts:
		c.endGangAttempt(job, gangMixedAttempts)
	case hasSavingTask:
		// The earlier owner may have ordered only some of the tasks to save and stop. Without this case,
		// the progress would be lost although these tasks saved it.
		job.GangRun.StoppedAt = c.now.Steady
		c.sendGangStops(job, "")
	case allAssigned:
	case job.GangRun.Started || !c.canCompleteGangAttempt(job):
		c.endGangAttempt(job, gangIncomplete)
	default:
		c.schedulingDue = true
		c.log(slog.LevelInfo, "gang attempt is completed", "job", job.ID, "attempt", job.GangRun.Attempt, "missing", job.WaitingCount())
	}
}

// canCompleteGangAttempt reports whether the missing tasks of an attempt that an earlier owner started
// may still be launched under its number. The locations of the other tasks are known: every machine was
// resolved under this owner's term, so no order of the earlier owner can start a task any more. No task
// has waited for its peers longer than the job's age, so none is about to time out while the job is
// young.
func (c *Core) canCompleteGangAttempt(job *jobs.Job) bool {
	for _, machine := range c.pool.Machines {
		for _, status := range machine.Tasks {
			if jobID, _ := jobs.SplitTaskID(status.Task); jobID == job.ID && status.Attempt == job.GangRun.Attempt && status.State == wire.TaskEnded {
				return false // the other tasks of the attempt will be stopped or time out
			}
		}
	}
	fetchS := 0.0
	for _, class := range job.Types {
		if machineType := c.fleet.Types[class]; machineType != nil && machineType.FetchGBps > 0 {
			fetchS = max(fetchS, job.ImageGB/machineType.FetchGBps)
		}
	}
	gangWait := limits.Seconds(c.settings.Cluster.Workers.GangWaitS)
	return c.age(job.SubmitUnix)+limits.Seconds(fetchS)+limits.GangCompletionTime < gangWait
}

// mustStopGang reports whether a machine's recall is so near that a gang with a task on the
// machine must save and stop.
func (c *Core) mustStopGang(machine *workers.Machine, job *jobs.Job) bool {
	if machine.RecallAt == 0 {
		return false
	}
	untilRecall := machine.RecallAt - c.now.Steady
	return untilRecall <= limits.Seconds(job.SaveDurationS+c.settings.Cluster.Workers.GangPeerS)+limits.DrainMargin+c.pool.HeartbeatInterval*5/4
}
