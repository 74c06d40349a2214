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
	idleCPUs, freeCPUs, waitingCPUs := 0.0, 0.0, 0.0
	for _, machine := range c.pool.Machines {
		machineType := c.fleet.Types[machine.Class]
		if machineType == nil || !machine.Adopted {
			continue
		}
		unusedCPUs := machineType.CPUs
		for _, ref := range c.loadOf(machine.ID).tasks {
			cpusByState[ref.job.Assigned[ref.task].State] += ref.job.CPUs
			unusedCPUs -= ref.job.CPUs
		}
		if c.tasksOn(machine.ID) == 0 {
			idleCPUs += unusedCPUs
		} else {
			freeCPUs += unusedCPUs
		}
	}
	for _, job := range c.jobs.OpenJobs {
		if job.Active && !job.Cancelled {
			waitingCPUs += float64(job.WaitingCount()) * job.CPUs
		}
	}
	bootingCount := 0
	for _, count := range c.fleet.CountBooting() {
		bootingCount += count
	}
	c.log(slog.LevelDebug, "use of CPUs", "running", cpusByState[jobs.Running], "fetching", cpusByState[jobs.Fetching], "toldOrPlanned", cpusByState[jobs.Planned]+cpusByState[jobs.Sent],
		"saving", cpusByState[jobs.Saving], "freeOnBusy", freeCPUs, "idle", idleCPUs, "waiting", waitingCPUs, "bootingMachines", bootingCount)
}
