package controller

import (
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
func (c *Core) preemptBorrowed(o *schedulingRound, machines []*allocation.Machine, pending map[string]int) {
	t := c.now.Steady
	if t < c.nextPreemption {
		return
	}
	c.nextPreemption = t + limits.PreemptInterval
	waits := false
	for _, at := range o.teams {
		for _, u := range at.Units {
			if j := c.jobs.Open[u.Job]; j == nil || j.Faulty() {
				pending[u.Job] = u.Count // gets nothing that others must leave
				continue
			}
			waits = waits || u.Urgent || at.Guarantee != (allocation.Resources{})
		}
	}
	if !waits {
		return
	}
	at := make(map[string]*allocation.Machine, len(machines))
	for _, m := range machines {
		at[m.ID] = m
	}
	var loans []allocation.Preemptible
	var lent []taskRef
	for _, j := range c.sortedJobs() {
		// Only what saves its progress: nothing is lost but the way back.
		if j.CheckS <= 0 || j.Gang || j.Cancelled || c.jobs.Open[j.ID] != j {
			continue
		}
		for _, task := range j.AssignedTasks() {
			p := j.Assigned[task]
			m := at[p.Machine]
			if p.State != jobs.Running || t-p.RunningSince < limits.PreemptMinRun || m == nil || c.preemptions[p.Machine] != nil {
				continue
			}
			loans = append(loans, allocation.Preemptible{ID: len(lent), Team: j.Team, Machine: m, Need: need(j), Low: j.Urgency == wire.UrgencyLow})
			lent = append(lent, taskRef{j, task})
		}
	}
	for _, k := range allocation.Preempt(o.teams, machines, loans, pending, 1+int(limits.PreemptShare*float64(len(machines)))) {
		tasks := map[string]uint64{}
		save := 0.0
		for _, l := range k.Victims {
			p := lent[l.ID]
			tasks[jobs.TaskID(p.job.ID, p.task)] = p.job.Assigned[p.task].Attempt
			save = max(save, p.job.SaveS)
		}
		c.preemptions[k.Machine.ID] = &preemption{job: k.Unit.Job, tasks: tasks,
			until: t + 2*c.pool.Report + limits.Seconds(save) + limits.PreemptSlack}
		c.log("debug", "room claimed", "job", k.Unit.Job, "machine", k.Machine.ID, "tasks", len(tasks))
	}
}

// mustPreempt tells whether a task is to end so that a job which has a right to
// its room can start.
func (c *Core) mustPreempt(machine, task string, attempt uint64) bool {
	k := c.preemptions[machine]
	return k != nil && k.tasks[task] == attempt
}
