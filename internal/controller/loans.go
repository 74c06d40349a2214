package controller

import (
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// claimed is a machine on which tasks were asked to end, and the job that its
// room is kept for until then.
type claimed struct {
	job   string
	until time.Duration
	tasks map[string]uint64 // by task, the attempt that is to end
}

// keepClaims leaves claimed machines to the jobs that wait for them, for as long as
// that makes sense, and counts the tasks that room is on its way for.
func (c *Core) keepClaims(machines []*allocation.Machine, held map[string]bool) (pending map[string]int) {
	pending = map[string]int{}
	if len(c.claimed) == 0 {
		return pending
	}
	at := make(map[string]*allocation.Machine, len(machines))
	for _, m := range machines {
		at[m.ID] = m
	}
	left := map[string]int{} // tasks that are still to end, by the job that waits
	for id, k := range c.claimed {
		j := c.book.Open[k.job]
		if at[id] == nil || j == nil || j.Cancelled || j.Waiting() <= 0 || c.now.Steady > k.until {
			delete(c.claimed, id)
			continue
		}
		at[id].Keep(k.job)
		held[id] = true
		for task, attempt := range k.tasks {
			p, ok := c.on[id].tasks[task]
			if !ok || p.job.Placed[p.task].Attempt != attempt {
				delete(k.tasks, task)
			}
		}
		left[k.job] += len(k.tasks)
	}
	for id, k := range c.claimed {
		// A gang needs all of its room at once, other jobs what there is.
		if left[k.job] == 0 || len(k.tasks) == 0 && !c.book.Open[k.job].Gang {
			delete(c.claimed, id) // the run that follows gives the room to the job
			continue
		}
		pending[k.job]++
	}
	return pending
}

// claimLoans asks for the room that teams have to return, after a run.
func (c *Core) claimLoans(o *offer, machines []*allocation.Machine, pending map[string]int) {
	t := c.now.Steady
	if t < c.nextClaims {
		return
	}
	c.nextClaims = t + limits.ClaimEvery
	waits := false
	for _, at := range o.teams {
		for _, u := range at.Units {
			if j := c.book.Open[u.Job]; j == nil || j.Faulty() {
				pending[u.Job] = u.Count // gets nothing that others must leave
				continue
			}
			waits = waits || u.Urgent || at.Guarantee != (allocation.Res{})
		}
	}
	if !waits {
		return
	}
	at := make(map[string]*allocation.Machine, len(machines))
	for _, m := range machines {
		at[m.ID] = m
	}
	var loans []allocation.Loan
	var lent []placed
	for _, j := range c.sortedJobs() {
		// Only what saves its progress: nothing is lost but the way back.
		if j.CheckS <= 0 || j.Gang || j.Cancelled || c.book.Open[j.ID] != j {
			continue
		}
		for _, task := range j.PlacedTasks() {
			p := j.Placed[task]
			m := at[p.Machine]
			if p.State != jobs.Running || t-p.Ran < limits.LoanLeast || m == nil || c.claimed[p.Machine] != nil {
				continue
			}
			loans = append(loans, allocation.Loan{ID: len(lent), Team: j.Team, Machine: m, Need: need(j), Low: j.Urgency == wire.UrgencyLow})
			lent = append(lent, placed{j, task})
		}
	}
	for _, k := range allocation.Return(o.teams, machines, loans, pending, 1+int(limits.ClaimPart*float64(len(machines)))) {
		tasks := map[string]uint64{}
		save := 0.0
		for _, l := range k.Loans {
			p := lent[l.ID]
			tasks[jobs.TaskID(p.job.ID, p.task)] = p.job.Placed[p.task].Attempt
			save = max(save, p.job.SaveS)
		}
		c.claimed[k.Machine.ID] = &claimed{job: k.Unit.Job, tasks: tasks,
			until: t + 2*c.pool.Report + limits.Seconds(save) + limits.ClaimSlack}
		c.log("debug", "room claimed", "job", k.Unit.Job, "machine", k.Machine.ID, "tasks", len(tasks))
	}
}

// mustReturn tells whether a task is to end so that a job which has a right to
// its room can start.
func (c *Core) mustReturn(machine, task string, attempt uint64) bool {
	k := c.claimed[machine]
	return k != nil && k.tasks[task] == attempt
}
