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

// A gang's tasks have one attempt number. As long as none has begun, a task that is lost
// is replaced under it; after that, and whenever a task ends in another way, the whole
// attempt ends, and the next begins once every task of it is proven off its machine.

// gangEndReason tells why an attempt of a gang ends. The cause that a worker reports for a task
// is one as well.
type gangEndReason wire.Cause

// Reasons of the owner's own.
const (
	gangMixed         gangEndReason = "mixed attempts"
	gangTaskLost      gangEndReason = "task lost"
	gangMachineLeaves gangEndReason = "machine leaves"
	gangStopTooSlow   gangEndReason = "not stopped in time"
	gangNotWhole      gangEndReason = "not whole at a takeover"
)

// gangUnit fits a unit to what a gang needs now; false: nothing.
func (c *Core) gangUnit(u *allocation.Unit, j *jobs.Job, held map[string][]string) bool {
	u.Gang, u.Count = true, j.Waiting()
	if j.GangRun.Ending || j.GangRun.StoppedAt > 0 || (j.GangRun.Started && u.Count > 0) {
		return false
	}
	u.Avoid = map[string]bool{}
	if !j.Faulty() { // one that fails everywhere would have nowhere left to try
		for id := range j.FailedOn {
			u.Avoid[id] = true
		}
	}
	for id := range j.GangRun.LeftMachines { // an attempt that was cleared must not come back there
		u.Avoid[id] = true
	}
	for _, id := range held[j.ID] {
		u.Avoid[id] = true
	}
	// Guards against gangs that fail everywhere and have room held for each try in turn.
	u.Overdue = !j.Faulty() && c.age(j.SubmitUnix) > limits.GangHold
	return u.Count > 0
}

// machinesWithEndedTasks lists, by gang, the machines with an end of a task that is not cleared yet:
// it keeps the task away from there.
func (c *Core) machinesWithEndedTasks() map[string][]string {
	out := map[string][]string{}
	for id, m := range c.pool.Machines {
		for task := range m.EndedTasks {
			job, _ := jobs.SplitTask(task)
			if j := c.jobs.Open[job]; j != nil && j.Gang {
				out[job] = append(out[job], id)
			}
		}
	}
	return out
}

// placeGang takes the placements of a gang over, all or none.
func (c *Core) placeGang(j *jobs.Job, team string, machines []*allocation.Machine) {
	var tasks []int
	for task := 0; task < j.Tasks; task++ {
		if _, ok := j.Assigned[task]; !ok {
			tasks = append(tasks, task)
		}
	}
	if len(tasks) != len(machines) || j.DoneCount > 0 || j.GangRun.Ending || j.GangRun.Started && len(tasks) > 0 {
		return // the offer was older than a change of the job
	}
	for _, am := range machines {
		m := c.pool.Machines[am.ID]
		if m == nil || j.GangRun.LeftMachines[am.ID] {
			return
		}
		for _, task := range tasks {
			if m.EndedTasks[jobs.TaskID(j.ID, task)] {
				return
			}
		}
	}
	if j.GangRun.Attempt == 0 {
		j.GangRun = jobs.GangRun{Attempt: c.attempt(machines[0].Class), LeftMachines: map[string]bool{}}
	}
	for i, am := range machines {
		c.assign(j, tasks[i], jobs.Assignment{Machine: am.ID, Attempt: j.GangRun.Attempt, State: jobs.Planned})
		noteFetch(c.pool.Machines[am.ID], j)
		c.plannedMachines = append(c.plannedMachines, am.ID)
	}
	c.log(slog.LevelDebug, "gang placed", "job", j.ID, "tasks", len(tasks), "of", j.Tasks, "attempt", j.GangRun.Attempt, "team", team)
}

// gangReported takes in a task of a gang that a machine lists.
func (c *Core) gangReported(j *jobs.Job, t wire.TaskReport) {
	if j.GangRun.Attempt == 0 {
		return // adopted once all machines are known
	}
	if t.Attempt != j.GangRun.Attempt {
		c.endGang(j, gangMixed)
	} else if t.State == wire.TaskRunning || t.State == wire.TaskSaving {
		j.GangRun.Started = true
	}
}

// gangLost takes note that a task of a gang is on its machine no more, without an end
// that was reported.
func (c *Core) gangLost(j *jobs.Job, p jobs.Assignment) {
	if p.Attempt != j.GangRun.Attempt || p.State == jobs.Planned || j.DoneCount == j.Tasks {
		return
	}
	if j.GangRun.LeftMachines == nil {
		j.GangRun.LeftMachines = map[string]bool{}
	}
	j.GangRun.LeftMachines[p.Machine] = true
	if j.GangRun.Started && j.GangRun.StoppedAt == 0 {
		c.endGang(j, gangTaskLost)
	}
}

// gangEnded takes in the reported end of a gang's task.
func (c *Core) gangEnded(j *jobs.Job, t wire.TaskReport) {
	switch {
	case t.Cause == wire.CauseDone:
		// One is done: all are, and exit with it.
		j.Succeeded, j.Backoff = true, 0
		for task := 0; task < j.Tasks; task++ {
			j.MarkDone(task)
		}
		for _, task := range j.AssignedTasks() {
			c.unassign(j, task)
		}
	case t.Attempt != j.GangRun.Attempt:
	case t.Cause == wire.CauseHalted && j.GangRun.StoppedAt > 0:
		// What was told to save: the others are still about it.
	default:
		c.endGang(j, gangEndReason(t.Cause))
	}
}

// endGang ends what is left of a gang's attempt.
func (c *Core) endGang(j *jobs.Job, why gangEndReason) {
	if j.GangRun.Ending || j.GangRun.Attempt == 0 {
		return
	}
	j.GangRun.Ending = true
	c.log(slog.LevelInfo, "gang attempt ends", "job", j.ID, "why", why, "attempt", j.GangRun.Attempt, "left", len(j.Assigned))
	c.dirty = true
	for _, task := range j.AssignedTasks() {
		if j.Assigned[task].State == jobs.Planned {
			c.unassign(j, task)
		}
	}
	c.sendGangStops(j, "")
}

// stopGang tells all tasks of a running gang to save and stop, since the machine of one
// has to be left. A gang that only waits has nothing to save.
func (c *Core) stopGang(j *jobs.Job, m *workers.Machine) {
	if j.GangRun.Ending || j.GangRun.StoppedAt > 0 || j.GangRun.Attempt == 0 {
		return
	}
	if !j.GangRun.Started {
		c.endGang(j, gangMachineLeaves)
		return
	}
	j.GangRun.StoppedAt = c.now.Steady
	c.log(slog.LevelInfo, "gang stops to save", "job", j.ID, "machine", m.ID, "attempt", j.GangRun.Attempt)
	// With the answers to reports alone the last ones might be told too late.
	c.sendGangStops(j, m.ID)
}

// gangStop tells whether a task of a gang has to be told to stop, and with what leeway.
func (c *Core) gangStop(j *jobs.Job, t wire.TaskReport) (stop bool, leeway float64) {
	switch {
	case j.GangRun.Ending || j.GangRun.Attempt != 0 && t.Attempt != j.GangRun.Attempt:
		return true, 0
	case j.GangRun.StoppedAt > 0 && t.State != wire.TaskSaving:
		return true, j.SaveS + c.settings.Cluster.Workers.GangPeerS
	}
	return false, 0
}

// sendGangStops sends the stops of a gang straight to the machines of its tasks, but for one
// that is being answered. What does not arrive goes with the answers to reports.
func (c *Core) sendGangStops(j *jobs.Job, but string) {
	byMachine := map[string][]wire.Command{}
	var order []string
	for _, task := range j.AssignedTasks() {
		p := j.Assigned[task]
		stop, leeway := c.gangStop(j, wire.TaskReport{Attempt: p.Attempt})
		if p.State == jobs.Planned || p.State == jobs.Saving || !stop || p.Machine == but {
			continue
		}
		if byMachine[p.Machine] == nil {
			order = append(order, p.Machine)
		}
		byMachine[p.Machine] = append(byMachine[p.Machine], wire.Command{Verb: wire.VerbStop, Task: jobs.TaskID(j.ID, task), Attempt: p.Attempt, GraceS: leeway})
	}
	for _, id := range order {
		if m := c.pool.Machines[id]; m != nil && c.mayStopDirectly(m) {
			c.sendUntracked(m, m.Session, byMachine[id])
		}
	}
}

// mayStopDirectly tells whether stops may be sent straight to a machine. Guards against orders under no
// term when a class is given up, which takes its gangs' tasks away.
func (c *Core) mayStopDirectly(m *workers.Machine) bool {
	_, ours := c.active[m.Class]
	reachable := m.Adopted && !m.Lost && !m.Deleting && m.Address != ""
	return ours && reachable && !m.DirectInFlight && c.probesInFlight < limits.ProbesInFlight
}

// updateGangs adopts what earlier owners started, gives up what stops for too long, and
// makes way for the next attempt of what is gone.
func (c *Core) updateGangs() {
	t := c.now.Steady
	var ids []string
	for id, j := range c.jobs.Open {
		if j.Gang && j.Active && !j.Frozen && (j.GangRun.Attempt != 0 || len(j.Assigned) > 0) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := c.jobs.Open[id]
		if j.GangRun.Attempt == 0 && len(j.Assigned) > 0 {
			c.adoptGang(j)
		}
		if j.GangRun.StoppedAt > 0 && t > j.GangRun.StoppedAt+limits.Seconds(c.settings.Cluster.Workers.GangPeerS+j.SaveS)+c.pool.Report*5/4+limits.GangStopSlack {
			c.endGang(j, gangStopTooSlow)
		}
		if j.GangRun.Attempt != 0 && len(j.Assigned) == 0 {
			j.GangRun = jobs.GangRun{}
			c.dirty = true
		}
	}
}

// adoptGang goes on with an attempt of an earlier owner. An attempt that was being stopped
// is told to stop once more, one that lacks tasks and has not begun is completed under its
// number, and what can't go on is ended.
func (c *Core) adoptGang(j *jobs.Job) {
	mixed, saving := false, false
	for _, task := range j.AssignedTasks() {
		p := j.Assigned[task]
		if j.GangRun.Attempt == 0 {
			j.GangRun = jobs.GangRun{Attempt: p.Attempt, LeftMachines: map[string]bool{}}
		}
		mixed = mixed || p.Attempt != j.GangRun.Attempt
		saving = saving || p.State == jobs.Saving
		j.GangRun.Started = j.GangRun.Started || p.State >= jobs.Running
	}
	switch whole := len(j.Assigned) == j.Tasks; {
	case mixed:
		c.endGang(j, gangMixed)
	case saving:
		// Guards against progress that was lost although a part of the gang saved: the
		// owner before had told only some of the tasks.
		j.GangRun.StoppedAt = c.now.Steady
		c.sendGangStops(j, "")
	case whole:
	case j.GangRun.Started || !c.canComplete(j):
		c.endGang(j, gangNotWhole)
	default:
		c.dirty = true
		c.log(slog.LevelInfo, "gang attempt is completed", "job", j.ID, "attempt", j.GangRun.Attempt, "missing", j.Waiting())
	}
}

// canComplete tells whether the missing tasks of an attempt that an earlier owner started
// may still be launched under its number. Where the others are is known: every machine was
// resolved under our term, so no order of the earlier owner can start a task any more. No
// task of the attempt has waited for longer than the job's age, so it is not about to give
// up as long as the job is young.
func (c *Core) canComplete(j *jobs.Job) bool {
	for _, m := range c.pool.Machines {
		for _, t := range m.Tasks {
			if id, _ := jobs.SplitTask(t.Task); id == j.ID && t.Attempt == j.GangRun.Attempt && t.State == wire.TaskEnded {
				return false // the others learn of it, or give up
			}
		}
	}
	fetch := 0.0
	for _, class := range j.Types {
		if t := c.fleet.Types[class]; t != nil && t.FetchGBps > 0 {
			fetch = max(fetch, j.ImageGB/t.FetchGBps)
		}
	}
	wait := limits.Seconds(c.settings.Cluster.Workers.GangWaitS)
	return c.age(j.SubmitUnix)+limits.Seconds(fetch)+limits.GangCompletion < wait
}

// mustStopGang tells whether a machine's end is so near that a gang with a task on it has
// to go.
func (c *Core) mustStopGang(m *workers.Machine, j *jobs.Job) bool {
	if m.Recall == 0 {
		return false
	}
	left := m.Recall - c.now.Steady
	return left <= limits.Seconds(j.SaveS+c.settings.Cluster.Workers.GangPeerS)+limits.DrainSpare+c.pool.Report*5/4
}
