package controller

import (
	"maps"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
)

// taskRef is a task as seen from its machine.
type taskRef struct {
	job  *jobs.Job
	task int
}

// machineLoad is what is placed on one machine, with its sum kept up to date: adding
// it up anew at every report took most of an owner's processor share.
type machineLoad struct {
	class   string
	tasks   map[string]taskRef // by task id
	used    allocation.Resources
	planned int // places not yet told to the worker
	view    allocation.Machine
}

// usage is what a team has placed on a class.
type usage struct {
	tasks int
	sum   allocation.Resources
}

// loadOf returns the places on a machine that the pool knows.
func (c *Core) loadOf(id string) *machineLoad {
	h := c.loads[id]
	if h == nil {
		h = &machineLoad{tasks: map[string]taskRef{}}
		if m := c.pool.Machines[id]; m != nil {
			h.class = m.Class
		}
		c.loads[id] = h
	}
	return h
}

// tasksOn counts the places on a machine.
func (c *Core) tasksOn(id string) int {
	if h := c.loads[id]; h != nil {
		return len(h.tasks)
	}
	return 0
}

// assign gives a task a place, or changes the state of the one it has. Every
// assignment is made here and taken away in unassign, so that the sums hold.
func (c *Core) assign(j *jobs.Job, task int, p jobs.Assignment) {
	id := jobs.TaskID(j.ID, task)
	if old, ok := j.Assigned[task]; ok && old.Machine != p.Machine {
		c.unassign(j, task)
	}
	h := c.loadOf(p.Machine)
	if was, ok := h.tasks[id]; ok && was.job != j {
		c.unassign(was.job, was.task) // a record that was read anew
	}
	if old, ok := j.Assigned[task]; ok {
		if old.State == jobs.Planned {
			h.planned--
		}
	} else {
		h.tasks[id] = taskRef{j, task}
		h.used = h.used.Add(need(j), 1)
		c.account(j, h.class, 1)
	}
	if p.State == jobs.Planned {
		h.planned++
	}
	j.Assign(task, p)
}

// unassign takes a task's place away.
func (c *Core) unassign(j *jobs.Job, task int) {
	p, ok := j.Assigned[task]
	if !ok {
		return
	}
	j.Unassign(task)
	c.dirty = true
	if j.Gang {
		c.gangLost(j, p)
	}
	h := c.loads[p.Machine]
	if h == nil {
		return
	}
	delete(h.tasks, jobs.TaskID(j.ID, task))
	if p.State == jobs.Planned {
		h.planned--
	}
	h.used = h.used.Add(need(j), -1)
	if len(h.tasks) == 0 {
		h.used = allocation.Resources{} // what rounding left
	}
	c.account(j, h.class, -1)
}

func (c *Core) account(j *jobs.Job, class string, n int) {
	by := c.booked[j.Team]
	if by == nil {
		by = map[string]usage{}
		c.booked[j.Team] = by
	}
	b := by[class]
	b.tasks += n
	b.sum = b.sum.Add(need(j), float64(n))
	if b.tasks <= 0 {
		delete(by, class)
		return
	}
	by[class] = b
}

// bookedBy copies what a team has placed, for a run that adds to it.
func (c *Core) bookedBy(team string) map[string]allocation.Resources {
	out := make(map[string]allocation.Resources, len(c.booked[team]))
	for class, b := range c.booked[team] {
		out[class] = b.sum
	}
	return out
}

// taskIDs lists the tasks on a machine in order.
func (h *machineLoad) taskIDs() []string {
	if h == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(h.tasks))
}

// plannedTaskIDs lists the tasks planned for a machine and not yet told, in order.
func (h *machineLoad) plannedTaskIDs() []string {
	if h == nil || h.planned == 0 {
		return nil
	}
	var ids []string
	for id, p := range h.tasks {
		if p.job.Assigned[p.task].State == jobs.Planned {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
