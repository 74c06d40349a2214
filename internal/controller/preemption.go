package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// preemption is a machine on which tasks were asked to end, and the job that its
// room is kept for until then.
type preemption struct {
	job   string
	until time.Duration
	tasks map[string]uint64 // by task, the attempt that is to end
}

// holdPreempted leaves claimed machines to the jobs that wait for them, for as long as
// that makes sense, and counts the tasks that room is on its way for.
func (c *Core) holdPreempted(machines []*allocation.Machine, held map[string]bool) (pending map[string]int) {
	pending = map[string]int{}
	if len(c.preemptions) == 0 {
		return pending
	}
	at := make(map[string]*allocation.Machine, len(machines))
	for _, m := range machines {
		at[m.ID] = m
	}
	left := map[string]int{} // tasks that are still to end, by the job that waits
	for id, k := range c.preemptions {
		j := c.jobs.Open[k.job]
		if at[id] == nil || j == nil || j.Cancelled || j.Waiting() <= 0 || c.now.Steady > k.until {
			delete(c.preemptions, id)
			continue
		}
		at[id].Reserve(k.job)
		held[id] = true
		for task, attempt := range k.tasks {
			p, ok := c.loads[id].tasks[task]
			if !ok || p.job.Assigned[p.task].Attempt != attempt {
				delete(k.tasks, task)
			}
		}
		left[k.job] += len(k.tasks)
	}
	for id, k := range c.preemptions {
		// A gang needs all of its room at once, other jobs what there is.
		if left[k.job] == 0 || len(k.tasks) == 0 && !c.jobs.Open[k.job].Gang {
			delete(c.preemptions, id) // the run that follows gives the room to the job
			continue
		}
		pending[k.job]++
	}
	return pending
}

// preemptBorrowed asks for the room that teams have to return, after a run.
func (c *Core) preemptBorrowed(round *schedulingRound, machines []*allocation.Machine, pending map[string]int) {
	t := c.now.Steady
	if t < c.nextPreemption {
		return
	}
	c.nextPreemption = t + limits.PreemptInterval
	if !c.anyMayPreempt(round, pending) {
		return
	}
	candidates, tasks := c.preemptibleTasks(machines)
	most := 1 + int(limits.PreemptShare*float64(len(machines)))
	for _, p := range allocation.Preempt(round.teams, machines, candidates, pending, most) {
		attempts := map[string]uint64{}
		save := 0.0
		for _, victim := range p.Victims {
			ref := tasks[victim.ID]
			attempts[jobs.TaskID(ref.job.ID, ref.task)] = ref.job.Assigned[ref.task].Attempt
			save = max(save, ref.job.SaveS)
		}
		c.preemptions[p.Machine.ID] = &preemption{job: p.Unit.Job, tasks: attempts,
			until: t + 2*c.pool.Report + limits.Seconds(save) + limits.PreemptSlack}
		c.log(slog.LevelDebug, "room claimed", "job", p.Unit.Job, "machine", p.Machine.ID, "tasks", len(attempts))
	}
}

// anyMayPreempt tells whether a waiting unit may have a right to room that others use. Faulty
// jobs get nothing that others must leave: all their tasks count as pending.
func (c *Core) anyMayPreempt(round *schedulingRound, pending map[string]int) bool {
	found := false
	for _, team := range round.teams {
		for _, u := range team.Units {
			if j := c.jobs.Open[u.Job]; j == nil || j.Faulty() {
				pending[u.Job] = u.Count
				continue
			}
			found = found || u.Urgent || team.Guarantee != (allocation.Resources{})
		}
	}
	return found
}

// preemptibleTasks lists the running tasks that lose nothing when they are stopped but the
// way back, and the tasks by the candidates' numbers.
func (c *Core) preemptibleTasks(machines []*allocation.Machine) (candidates []allocation.Preemptible, tasks []taskRef) {
	at := make(map[string]*allocation.Machine, len(machines))
	for _, m := range machines {
		at[m.ID] = m
	}
	for _, j := range c.sortedJobs() {
		if j.CheckS <= 0 || j.Gang || j.Cancelled || c.jobs.Open[j.ID] != j {
			continue
		}
		for _, task := range j.AssignedTasks() {
			a := j.Assigned[task]
			m := at[a.Machine]
			short := c.now.Steady-a.RunningSince < limits.PreemptMinRun
			if a.State != jobs.Running || short || m == nil || c.preemptions[a.Machine] != nil {
				continue
			}
			candidates = append(candidates, allocation.Preemptible{ID: len(tasks), Team: j.Team, Machine: m, Need: need(j), Low: j.Urgency == wire.UrgencyLow})
			tasks = append(tasks, taskRef{j, task})
		}
	}
	return candidates, tasks
}

// mustPreempt tells whether a task is to end so that a job which has a right to
// its room can start.
func (c *Core) mustPreempt(machine, task string, attempt uint64) bool {
	k := c.preemptions[machine]
	return k != nil && k.tasks[task] == attempt
}
