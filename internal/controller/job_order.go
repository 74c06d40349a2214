package controller

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// taskResources returns the resources that one task of a job requests.
func taskResources(job *jobs.Job) allocation.Resources {
	return allocation.Resources{CPUs: job.CPUs, GPUs: job.GPUs, Memory: job.MemoryGB}
}

// typeCapacity returns the resources of one machine of a type.
func typeCapacity(machineType *wire.MachineType) allocation.Resources {
	return allocation.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, Memory: machineType.MemoryGB}
}

// completionTargets returns the times by which a job should be complete, in seconds after its
// submission, earliest first. They come from the objectives of the job's class, as fixed times
// or multiples of the job's deadline. If the class has no such objective, the deadline itself is
// the target.
func (c *Core) completionTargets(job *jobs.Job) []float64 {
	var targets []float64
	for _, objective := range c.settings.Cluster.Objectives {
		switch {
		case objective.Class != job.Class:
		case objective.Kind == "finished" && objective.WithinS > 0:
			targets = append(targets, objective.WithinS)
		case objective.Kind == "deadline" && objective.Times > 0 && job.DeadlineS > 0:
			targets = append(targets, objective.Times*job.DeadlineS)
		}
	}
	if len(targets) == 0 && job.DeadlineS > 0 {
		targets = append(targets, job.DeadlineS)
	}
	sort.Float64s(targets)
	return targets
}

// startWithin returns the time in seconds within which tasks of the job's class should start,
// or 0 if the class has no such objective.
func (c *Core) startWithin(job *jobs.Job) float64 {
	for _, objective := range c.settings.Cluster.Objectives {
		if objective.Kind == "wait" && objective.Class == job.Class {
			return objective.WithinS
		}
	}
	return 0
}

// timeLeft returns the seconds until the earliest target that the job can still meet, and
// whether there is such a target. For a job without targets it returns +Inf and true.
func (c *Core) timeLeft(job *jobs.Job) (float64, bool) {
	completionTargets := c.completionTargets(job)
	if len(completionTargets) == 0 {
		return math.Inf(1), true
	}
	age := c.age(job.SubmitUnix).Seconds()
	for _, target := range completionTargets {
		if age+limits.MinRunShare*job.EstimateS <= target {
			return target - age, true
		}
	}
	return 0, false
}

// remainingWork returns the unfinished work of a job in CPU seconds, from the estimate that was
// submitted with the job.
func remainingWork(job *jobs.Job) float64 {
	return float64(job.Tasks-job.DoneCount) * max(job.EstimateS, 1) * max(job.CPUs, 1)
}

// isStartOverdue reports whether a job has waited so long for its first task that it is placed
// before all other jobs of its team. Without this rule, large jobs starve: the other sort
// criteria put a large job last for as long as new jobs arrive.
func (c *Core) isStartOverdue(job *jobs.Job) bool {
	return !job.Started && !job.Cancelled && !job.Faulty() && c.age(job.SubmitUnix) > limits.StartOverdueAfter
}

// rankedJob is a job with its sort criteria.
type rankedJob struct {
	*jobs.Job
	startOverdue  bool
	canMeetTarget bool    // the job can still meet a target
	sortKey       float64 // slack in seconds, or remaining work in CPU seconds; lowest first
}

// sortedJobs returns the active jobs in scheduling order: first the jobs overdue to start,
// oldest first; then the others by urgency. Within an urgency, jobs that can still meet a target
// come first, least slack first; then the jobs that can't, least remaining work first, so that as
// many late jobs as possible finish soon. The result is cached for JobSortInterval, or until
// jobOrderStale is set.
func (c *Core) sortedJobs() []*jobs.Job {
	if !c.jobOrderStale && c.now.Steady < c.jobOrderAt+limits.JobSortInterval {
		return c.jobOrder
	}
	c.jobOrderStale, c.jobOrderAt = false, c.now.Steady
	rankedJobs := c.rankJobs()
	slices.SortFunc(rankedJobs, compareRanked)
	c.jobOrder = make([]*jobs.Job, len(rankedJobs))
	for i := range rankedJobs {
		c.jobOrder[i] = rankedJobs[i].Job
	}
	return c.jobOrder
}

// rankJobs computes the sort criteria of the active jobs. When there is far more work than
// capacity, sorting by least slack would make one job after the other late, so jobs that can still
// meet a target are then also sorted by least remaining work.
func (c *Core) rankJobs() []rankedJob {
	var rankedJobs []rankedJob
	demandCPUSeconds := 0.0
	for _, job := range c.jobs.OpenJobs {
		if !job.Active {
			continue
		}
		secondsLeft, canMeetTarget := c.timeLeft(job)
		rankedJobs = append(rankedJobs, rankedJob{job, c.isStartOverdue(job), canMeetTarget, secondsLeft - job.EstimateS})
		if canMeetTarget {
			demandCPUSeconds += remainingWork(job)
		}
	}
	capacityCPUs := 0.0
	for _, machine := range c.pool.Machines {
		if machineType := c.fleet.Types[machine.Class]; machineType != nil && machine.Adopted {
			capacityCPUs += machineType.CPUs
		}
	}
	overloaded := demandCPUSeconds > capacityCPUs*limits.OverloadHorizon.Seconds()
	for i := range rankedJobs {
		if !rankedJobs[i].canMeetTarget || overloaded {
			rankedJobs[i].sortKey = remainingWork(rankedJobs[i].Job)
		}
	}
	return rankedJobs
}

// compareRanked is the sort order of jobs: the job that should start first comes first.
func compareRanked(a, b rankedJob) int {
	trueFirst := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	}
	if order := trueFirst(a.startOverdue, b.startOverdue); order != 0 {
		return order
	}
	if a.startOverdue && a.SubmitUnix != b.SubmitUnix {
		return cmp.Compare(a.SubmitUnix, b.SubmitUnix)
	}
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		trueFirst(a.canMeetTarget, b.canMeetTarget),
		cmp.Compare(a.sortKey, b.sortKey),
		cmp.Compare(a.ID, b.ID),
	)
}
