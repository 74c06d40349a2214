package controller

import (
	"log/slog"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
)

// logUsage periodically logs what the CPUs of the rented machines are used for.
func (c *Core) logUsage() {
	if c.now.Steady < c.nextUsageLog {
		return
	}
	c.nextUsageLog = c.now.Steady + limits.UsageLogInterval
	cpusByState := map[jobs.TaskState]float64{}
	idle, free, waiting := 0.0, 0.0, 0.0
	for _, m := range c.pool.Machines {
		machineType := c.fleet.Types[m.Class]
		if machineType == nil || !m.Adopted {
			continue
		}
		unused := machineType.CPUs
		for _, placed := range c.loadOf(m.ID).tasks {
			cpusByState[placed.job.Assigned[placed.task].State] += placed.job.CPUs
			unused -= placed.job.CPUs
		}
		if c.tasksOn(m.ID) == 0 {
			idle += unused
		} else {
			free += unused
		}
	}
	for _, j := range c.jobs.Open {
		if j.Active && !j.Cancelled {
			waiting += float64(j.Waiting()) * j.CPUs
		}
	}
	booting := 0
	for _, count := range c.fleet.Booting() {
		booting += count
	}
	c.log(slog.LevelDebug, "use of CPUs", "running", cpusByState[jobs.Running], "fetching", cpusByState[jobs.Fetching], "toldOrPlanned", cpusByState[jobs.Planned]+cpusByState[jobs.Sent],
		"saving", cpusByState[jobs.Saving], "freeOnBusy", free, "idle", idle, "waiting", waiting, "bootingMachines", booting)
}
