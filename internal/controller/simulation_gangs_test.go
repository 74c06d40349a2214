package controller

import (
	"time"

	"umberpaddle/internal/wire"
)

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job     *simJob
	attempt uint64
}

// simGang is one attempt of a gang, with the tasks of the gang that have started on workers.
type simGang struct {
	sim             *simulation
	key             gangKey
	members         map[string]*simMember // by task ID
	started         bool                  // all tasks have gathered, and the gang runs
	ended           bool
	lossDetectedAt  time.Duration   // when the other tasks detect the loss of a task; 0: no task is lost
	saveRequestedAt time.Duration   // when the first task was stopped and began to save; 0: no task was
	saved           map[string]bool // IDs of the tasks that have saved
}

// simMember is a task of a gang and its machine.
type simMember struct {
	machine *simMachine
	task    *simTask
}

// joinGang adds a task to its gang. The task exits if the gang doesn't start within the gang wait time.
func (sim *simulation) joinGang(machine *simMachine, task *simTask, job *simJob) {
	key := gangKey{job, task.attempt}
	gang := sim.gangs[key]
	if gang == nil {
		gang = &simGang{sim: sim, key: key, members: map[string]*simMember{}, saved: map[string]bool{}}
		sim.gangs[key] = gang
		gang.enforcePeerTime()
	}
	gang.members[task.id] = &simMember{machine, task}
	sim.schedule(time.Duration(sim.cfg.gangWaitS*float64(time.Second)), func() {
		machine.whenRunning(func() {
			if task.state == wire.TaskGathering && machine.tasks[task.id] == task {
				task.state, task.cause = wire.TaskEnded, wire.CauseGangIncomplete
				machine.scheduleEarlyHeartbeat()
			}
		})
	})
	gang.startIfComplete()
}

// isActive reports whether the task has not ended and its machine is neither gone nor hanging.
func (member *simMember) isActive() bool {
	return !member.machine.gone && !member.machine.hung && member.machine.tasks[member.task.id] == member.task && member.task.state != wire.TaskEnded
}

// startIfComplete starts the gang once all its tasks have gathered. It checks that no task of another
// attempt still runs.
func (g *simGang) startIfComplete() {
	job := g.key.job
	if g.started || len(g.members) < job.taskCount {
		return
	}
	for _, member := range g.members {
		if !member.isActive() || member.task.state != wire.TaskGathering {
			return
		}
	}
	g.started = true
	for _, id := range sortedKeys(g.members) {
		member := g.members[id]
		member.task.state = wire.TaskRunning
		member.machine.scheduleEarlyHeartbeat()
	}
	for key, other := range g.sim.gangs {
		if key.job == job && other != g && other.started && !other.ended {
			for _, member := range other.members {
				if member.isActive() {
					g.sim.reportViolation("mixed", "%s runs as attempts %d and %d at the same time", job.id, key.attempt, g.key.attempt)
				}
			}
		}
	}
	duration := g.sim.randomDuration(0.5*job.runSeconds, 1.5*job.runSeconds)
	g.sim.schedule(duration, g.finish)
}

// finish ends the gang as done, unless a loss was detected or a stop began. While a task is missing or
// hangs, finish is repeated each second.
func (g *simGang) finish() {
	job := g.key.job
	if g.ended || g.lossDetectedAt > 0 || g.saveRequestedAt > 0 {
		return
	}
	for _, member := range g.members {
		if !member.isActive() { // either the other tasks detect the loss, or a hanging machine resumes
			g.sim.schedule(time.Second, g.finish)
			return
		}
	}
	g.ended = true
	job.doneCount = job.taskCount
	for taskIndex := 0; taskIndex < job.taskCount; taskIndex++ {
		job.done[taskIndex] = true
	}
	for _, id := range sortedKeys(g.members) {
		member := g.members[id]
		member.task.state, member.task.cause = wire.TaskEnded, wire.CauseDone
		member.machine.scheduleEarlyHeartbeat()
	}
}

// enforcePeerTime ends the remaining tasks of a started gang within the gang peer time after the loss of a
// task. It also ends them if not all tasks have saved within the gang peer time after the first
// stop.
func (g *simGang) enforcePeerTime() {
	if g.ended {
		return
	}
	if g.started {
		aliveCount, memberLost := 0, false
		for _, member := range g.members {
			if !member.machine.gone && member.machine.tasks[member.task.id] == member.task && member.task.state != wire.TaskEnded {
				aliveCount++ // a hanging machine may resume
			}
			if !member.isActive() && (member.task.state != wire.TaskEnded || member.task.cause != wire.CauseHalted || g.saveRequestedAt == 0) {
				memberLost = true
			}
		}
		if memberLost && g.lossDetectedAt == 0 {
			g.lossDetectedAt = g.sim.now + g.sim.randomDuration(0.1, g.sim.cfg.gangPeerS)
		}
		saveTimedOut := g.saveRequestedAt > 0 && g.sim.now > g.saveRequestedAt+time.Duration(g.sim.cfg.gangPeerS*float64(time.Second)) && len(g.saved) < len(g.members)
		if (g.lossDetectedAt > 0 && g.sim.now >= g.lossDetectedAt) || saveTimedOut {
			g.ended = true
			for _, id := range sortedKeys(g.members) {
				member := g.members[id]
				member.machine.whenRunning(func() {
					if member.machine.tasks[member.task.id] == member.task && member.task.state != wire.TaskEnded {
						member.task.state, member.task.cause = wire.TaskEnded, wire.CausePeerLost
						member.machine.scheduleEarlyHeartbeat()
					}
				})
			}
		}
		if aliveCount == 0 {
			g.ended = true
		}
	}
	g.sim.schedule(250*time.Millisecond, g.enforcePeerTime)
}

// stopTask stops one task of the gang. If the task runs, its job can save and the grace period is
// long enough, the task saves first and ends once all tasks of the gang have saved. Any other task
// ends at once, unless it is saving already and the grace period is long enough.
func (g *simGang) stopTask(machine *simMachine, task *simTask, graceSeconds float64) {
	saveSeconds, _ := g.key.job.spec["stowS"].(float64)
	canSave := g.key.job.spec["markS"].(float64) > 0
	if task.state != wire.TaskRunning || !canSave || graceSeconds < saveSeconds {
		if task.state == wire.TaskSaving && graceSeconds >= saveSeconds {
			return
		}
		task.state, task.cause = wire.TaskEnded, wire.CauseHalted
		if g.started && g.saveRequestedAt == 0 && g.lossDetectedAt == 0 {
			g.lossDetectedAt = g.sim.now + g.sim.randomDuration(0.1, g.sim.cfg.gangPeerS)
		}
		return
	}
	if g.saveRequestedAt == 0 {
		g.saveRequestedAt = g.sim.now
	}
	task.state = wire.TaskSaving
	g.sim.schedule(time.Duration(saveSeconds*float64(time.Second)), func() {
		machine.whenRunning(func() {
			if machine.tasks[task.id] != task || task.state != wire.TaskSaving {
				return
			}
			g.saved[task.id] = true
			if len(g.saved) < len(g.members) {
				return // the task waits until the others have saved
			}
			g.key.job.savedCount++
			g.ended = true
			for _, id := range sortedKeys(g.members) {
				member := g.members[id]
				member.machine.whenRunning(func() {
					if member.machine.tasks[member.task.id] == member.task && member.task.state == wire.TaskSaving {
						member.task.state, member.task.cause = wire.TaskEnded, wire.CauseHalted
						member.machine.scheduleEarlyHeartbeat()
					}
				})
			}
		})
	})
}
