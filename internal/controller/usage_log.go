package controller

import (
	"log/slog"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
)

// logUsage tells what the CPUs paid for are used for.
func (c *Core) logUsage() {
	if c.now.Steady < c.nextUsageLog {
		return
	}
	c.nextUsageLog = c.now.Steady + limits.UsageLogInterval
	by := map[jobs.TaskState]float64{}
	idle, free, waiting := 0.0, 0.0, 0.0
	for _, m := range c.pool.Machines {
		t := c.fleet.Types[m.Class]
		if t == nil || !m.Adopted {
			continue
		}
		left := t.CPUs
		for _, p := range c.loadOf(m.ID).tasks {
			by[p.job.Assigned[p.task].State] += p.job.CPUs
			left -= p.job.CPUs
		}
		if c.tasksOn(m.ID) == 0 {
			idle += left
		} else {
			free += left
		}
	}
	for _, j := range c.jobs.Open {
		if j.Active && !j.Cancelled {
			waiting += float64(j.Waiting()) * j.CPUs
		}
	}
	booting := 0
	for _, n := range c.fleet.Booting() {
		booting += n
	}
	c.log(slog.LevelDebug, "use of CPUs", "running", by[jobs.Running], "fetching", by[jobs.Fetching], "toldOrPlanned", by[jobs.Planned]+by[jobs.Sent],
		"saving", by[jobs.Saving], "freeOnBusy", free, "idle", idle, "waiting", waiting, "bootingMachines", booting)
}
