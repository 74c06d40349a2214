package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// preemption is a set of tasks that are being stopped on one machine, and the job for which the
// machine is reserved meanwhile.
type preemption struct {
	job       string // ID of the job that waits for the machine's resources
	expiresAt time.Duration
	tasks     map[string]uint64 // the attempts to be stopped, by task ID
}

// reservePreemptedMachines reserves the machines with preempted tasks for the jobs that wait for them.
// It removes a preemption when it has expired, when its machine is no longer available, when its job no
// longer waits, or when enough of the preempted tasks have ended. It returns pendingPreemptions, the
// number of machines that are still being freed, by job.
func (c *Core) reservePreemptedMachines(machines []*allocation.Machine, reservedMachines map[string]bool) (pendingPreemptions map[string]int) {
	pendingPreemptions = map[string]int{}
	if len(c.preemptions) == 0 {
		return pendingPreemptions
	}
	machineByID := make(map[string]*allocation.Machine, len(machines))
	for _, machine := range machines {
		machineByID[machine.ID] = machine
	}
	tasksLeft := map[string]int{} // number of tasks still to be stopped, by waiting job
	for machineID, entry := range c.preemptions {
		waitingJob := c.jobs.OpenJobs[entry.job]
		if machineByID[machineID] == nil || waitingJob == nil || waitingJob.Cancelled || waitingJob.WaitingCount() <= 0 || c.now.Steady > entry.expiresAt {
			delete(c.preemptions, machineID)
			continue
		}
		machineByID[machineID].Reserve(entry.job)
		reservedMachines[machineID] = true
		for task, attempt := range entry.tasks {
			placed, ok := c.loads[machineID].tasks[task]
			if !ok || placed.job.Assigned[placed.task].Attempt != attempt {
				delete(entry.tasks, task)
			}
		}
		tasksLeft[entry.job] += len(entry.tasks)
	}
	for machineID, entry := range c.preemptions {
		// A gang needs all of its machines at once; other jobs can use each machine as it is
		// freed.
		if tasksLeft[entry.job] == 0 || len(entry.tasks) == 0 && !c.jobs.OpenJobs[entry.job].Gang {
			delete(c.preemptions, machineID) // the allocation run that follows places the job here
			continue
		}
		pendingPreemptions[entry.job]++
	}
	return pendingPreemptions
}

// preemptBorrowedResources chooses, after an allocation run, the tasks to preempt for units that are
// entitled to the resources that other teams have borrowed. The replies to heartbeats order the tasks to
// stop (see mustPreempt).
func (c *Core) preemptBorrowedResources(round *schedulingRound, machines []*allocation.Machine, pendingPreemptions map[string]int) {
	steadyNow := c.now.Steady
	if steadyNow < c.nextPreemption {
		return
	}
	c.nextPreemption = steadyNow + limits.PreemptInterval
	if !c.anyMayPreempt(round, pendingPreemptions) {
		return
	}
	candidates, tasks := c.preemptibleTasks(machines)
	maxPreemptions := 1 + int(limits.MaxPreemptShare*float64(len(machines)))
	for _, plannedPreemption := range allocation.Preempt(round.teams, machines, candidates, pendingPreemptions, maxPreemptions) {
		attempts := map[string]uint64{}
		saveS := 0.0
		for _, victim := range plannedPreemption.Victims {
			ref := tasks[victim.ID]
			attempts[jobs.TaskID(ref.job.ID, ref.task)] = ref.job.Assigned[ref.task].Attempt
			saveS = max(saveS, ref.job.SaveDurationS)
		}
		c.preemptions[plannedPreemption.Machine.ID] = &preemption{job: plannedPreemption.Unit.Job, tasks: attempts,
			expiresAt: steadyNow + 2*c.pool.HeartbeatInterval + limits.Seconds(saveS) + limits.PreemptSlack}
		c.log(slog.LevelDebug, "room claimed", "job", plannedPreemption.Unit.Job, "machine", plannedPreemption.Machine.ID, "tasks", len(attempts))
	}
}

// anyMayPreempt reports whether any waiting unit may be entitled to resources that other teams'
// tasks use. Faulty jobs never preempt: all their waiting tasks are counted in pendingPreemptions.
func (c *Core) anyMayPreempt(round *schedulingRound, pendingPreemptions map[string]int) bool {
	found := false
	for _, team := range round.teams {
		for _, unit := range team.Units {
			if job := c.jobs.OpenJobs[unit.Job]; job == nil || job.Faulty() {
				pendingPreemptions[unit.Job] = unit.Count
				continue
			}
			found = found || unit.Urgent || team.Guarantee != (allocation.Resources{})
		}
	}
	return found
}

// preemptibleTasks returns the candidates for preemption: running tasks that save checkpoints.
// When such a task is stopped, only the time to save and restart is lost. The ID of a candidate
// is its index in tasks.
func (c *Core) preemptibleTasks(machines []*allocation.Machine) (candidates []allocation.Preemptible, tasks []taskRef) {
	machineByID := make(map[string]*allocation.Machine, len(machines))
	for _, machine := range machines {
		machineByID[machine.ID] = machine
	}
	for _, job := range c.sortedJobs() {
		if job.CheckpointS <= 0 || job.Gang || job.Cancelled || c.jobs.OpenJobs[job.ID] != job {
			continue
		}
		for _, task := range job.AssignedTasks() {
			assignment := job.Assigned[task]
			machine := machineByID[assignment.Machine]
			startedRecently := c.now.Steady-assignment.RunningSince < limits.PreemptMinRun
			if assignment.State != jobs.Running || startedRecently || machine == nil || c.preemptions[assignment.Machine] != nil {
				continue
			}
			candidates = append(candidates, allocation.Preemptible{ID: len(tasks), Team: job.Team, Machine: machine, Need: taskResources(job), LowPriority: job.Urgency == wire.UrgencyLow})
			tasks = append(tasks, taskRef{job, task})
		}
	}
	return candidates, tasks
}

// mustPreempt reports whether a task's attempt must be stopped to free its resources for a job
// that is entitled to them.
func (c *Core) mustPreempt(machine, task string, attempt uint64) bool {
	entry := c.preemptions[machine]
	return entry != nil && entry.tasks[task] == attempt
}
