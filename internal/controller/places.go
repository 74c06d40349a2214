package controller

import (
	"maps"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
)

// placed is a task as seen from its machine.
type placed struct {
	job  *jobs.Job
	task int
}

// host is what is placed on one machine, with its sum kept up to date: adding
// it up anew at every report took most of an owner's processor share.
type host struct {
	class   string
	tasks   map[string]placed // by task id
	used    allocation.Res
	planned int // places not yet told to the worker
	room    allocation.Machine
}

// booking is what a team has placed on a class.
type booking struct {
	tasks int
	sum   allocation.Res
}

// hostOf returns the places on a machine that the pool knows.
func (c *Core) hostOf(id string) *host {
	h := c.on[id]
	if h == nil {
		h = &host{tasks: map[string]placed{}}
		if m := c.pool.Machines[id]; m != nil {
			h.class = m.Class
		}
		c.on[id] = h
	}
	return h
}

// tasksOn counts the places on a machine.
func (c *Core) tasksOn(id string) int {
	if h := c.on[id]; h != nil {
		return len(h.tasks)
	}
	return 0
}

// put gives a task a place, or changes the state of the one it has. Every place
// is made here and taken away in take, so that the sums hold.
func (c *Core) put(j *jobs.Job, task int, p jobs.Place) {
	id := jobs.TaskID(j.ID, task)
	if old, ok := j.Placed[task]; ok && old.Machine != p.Machine {
		c.take(j, task)
	}
	h := c.hostOf(p.Machine)
	if was, ok := h.tasks[id]; ok && was.job != j {
		c.take(was.job, was.task) // a record that was read anew
	}
	if old, ok := j.Placed[task]; ok {
		if old.State == jobs.Planned {
			h.planned--
		}
	} else {
		h.tasks[id] = placed{j, task}
		h.used = h.used.Add(need(j), 1)
		c.account(j, h.class, 1)
	}
	if p.State == jobs.Planned {
		h.planned++
	}
	j.Place(task, p)
}

// take takes a task's place away.
func (c *Core) take(j *jobs.Job, task int) {
	p, ok := j.Placed[task]
	if !ok {
		return
	}
	j.Unplace(task)
	c.dirty = true
	if j.Gang {
		c.gangLost(j, p)
	}
	h := c.on[p.Machine]
	if h == nil {
		return
	}
	delete(h.tasks, jobs.TaskID(j.ID, task))
	if p.State == jobs.Planned {
		h.planned--
	}
	h.used = h.used.Add(need(j), -1)
	if len(h.tasks) == 0 {
		h.used = allocation.Res{} // what rounding left
	}
	c.account(j, h.class, -1)
}

func (c *Core) account(j *jobs.Job, class string, n int) {
	by := c.booked[j.Team]
	if by == nil {
		by = map[string]booking{}
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
func (c *Core) bookedBy(team string) map[string]allocation.Res {
	out := make(map[string]allocation.Res, len(c.booked[team]))
	for class, b := range c.booked[team] {
		out[class] = b.sum
	}
	return out
}

// named lists the tasks on a machine in order.
func (h *host) named() []string {
	if h == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(h.tasks))
}

// plannedOn lists the tasks planned for a machine and not yet told, in order.
func (h *host) plannedOn() []string {
	if h == nil || h.planned == 0 {
		return nil
	}
	var ids []string
	for id, p := range h.tasks {
		if p.job.Placed[p.task].State == jobs.Planned {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
