package controller

import (
	"maps"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
)

// taskRef identifies a task by its job and its index in the job.
type taskRef struct {
	job  *jobs.Job
	task int
}

// machineLoad holds the tasks placed on one machine and the sum of their resources. The sum is
// updated incrementally, because recomputing it for every heartbeat would use most of an owner's
// CPU time.
type machineLoad struct {
	class        string
	tasks        map[string]taskRef // by task ID
	used         allocation.Resources
	plannedCount int // number of tasks not yet sent to the worker
	view         allocation.Machine
}

// teamUsage is the number of tasks that a team has placed on a class, and their resources.
type teamUsage struct {
	tasks int
	sum   allocation.Resources
}

// loadOf returns the load of a machine and creates an empty one if there is none.
func (c *Core) loadOf(id string) *machineLoad {
	load := c.loads[id]
	if load == nil {
		load = &machineLoad{tasks: map[string]taskRef{}}
		if machine := c.pool.Machines[id]; machine != nil {
			load.class = machine.Class
		}
		c.loads[id] = load
	}
	return load
}

// tasksOn returns the number of tasks placed on a machine.
func (c *Core) tasksOn(id string) int {
	if load := c.loads[id]; load != nil {
		return len(load.tasks)
	}
	return 0
}

// assign assigns a task to a machine, or changes the state of its existing assignment. All
// assignments are made here and removed by unassign, which keeps the sums consistent.
func (c *Core) assign(job *jobs.Job, task int, assignment jobs.Assignment) {
	id := jobs.TaskID(job.ID, task)
	if old, ok := job.Assigned[task]; ok && old.Machine != assignment.Machine {
		c.unassign(job, task)
	}
	load := c.loadOf(assignment.Machine)
	if previous, ok := load.tasks[id]; ok && previous.job != job {
		c.unassign(previous.job, previous.task) // the job's record was read again, which replaced the Job
	}
	if old, ok := job.Assigned[task]; ok {
		if old.State == jobs.Planned {
			load.plannedCount--
		}
	} else {
		load.tasks[id] = taskRef{job, task}
		load.used = load.used.Add(taskResources(job), 1)
		c.accountUsage(job, load.class, 1)
	}
	if assignment.State == jobs.Planned {
		load.plannedCount++
	}
	job.Assign(task, assignment)
}

// unassign removes a task's assignment.
func (c *Core) unassign(job *jobs.Job, task int) {
	assignment, ok := job.Assigned[task]
	if !ok {
		return
	}
	job.Unassign(task)
	c.schedulingDue = true
	if job.Gang {
		c.recordGangTaskLost(job, assignment)
	}
	load := c.loads[assignment.Machine]
	if load == nil {
		return
	}
	delete(load.tasks, jobs.TaskID(job.ID, task))
	if assignment.State == jobs.Planned {
		load.plannedCount--
	}
	load.used = load.used.Add(taskResources(job), -1)
	if len(load.tasks) == 0 {
		load.used = allocation.Resources{} // removes accumulated rounding errors
	}
	c.accountUsage(job, load.class, -1)
}

// accountUsage adds n tasks of a job to the usage of the job's team on a class. A negative n removes
// tasks from the usage.
func (c *Core) accountUsage(job *jobs.Job, class string, taskCount int) {
	byClass := c.usageByTeam[job.Team]
	if byClass == nil {
		byClass = map[string]teamUsage{}
		c.usageByTeam[job.Team] = byClass
	}
	entry := byClass[class]
	entry.tasks += taskCount
	entry.sum = entry.sum.Add(taskResources(job), float64(taskCount))
	if entry.tasks <= 0 {
		delete(byClass, class)
		return
	}
	byClass[class] = entry
}

// allocatedByClass returns a copy of the resources that a team has placed, by class. The allocation
// run adds to the copy.
func (c *Core) allocatedByClass(team string) map[string]allocation.Resources {
	byClass := make(map[string]allocation.Resources, len(c.usageByTeam[team]))
	for class, entry := range c.usageByTeam[team] {
		byClass[class] = entry.sum
	}
	return byClass
}

// taskIDs returns the IDs of the tasks on a machine in sorted order.
func (l *machineLoad) taskIDs() []string {
	if l == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(l.tasks))
}

// plannedTaskIDs returns the IDs of the tasks that are planned for a machine but not yet sent to
// its worker, in sorted order.
func (l *machineLoad) plannedTaskIDs() []string {
	if l == nil || l.plannedCount == 0 {
		return nil
	}
	var ids []string
	for id, ref := range l.tasks {
		if ref.job.Assigned[ref.task].State == jobs.Planned {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
