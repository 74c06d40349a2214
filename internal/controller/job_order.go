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

func need(j *jobs.Job) allocation.Resources {
	return allocation.Resources{CPUs: j.CPUs, GPUs: j.GPUs, Memory: j.MemoryGB}
}

func size(t *wire.MachineType) allocation.Resources {
	return allocation.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
}

// targets lists the times after its submission at which a job should be
// complete, soonest first: its deadline, in the multiples that the objectives
// name, or what they say of its class.
func (c *Core) targets(j *jobs.Job) []float64 {
	var list []float64
	for _, o := range c.settings.Cluster.Objectives {
		switch {
		case o.Class != j.Class:
		case o.Kind == "finished" && o.WithinS > 0:
			list = append(list, o.WithinS)
		case o.Kind == "deadline" && o.Times > 0 && j.DeadlineS > 0:
			list = append(list, o.Times*j.DeadlineS)
		}
	}
	if len(list) == 0 && j.DeadlineS > 0 {
		list = append(list, j.DeadlineS)
	}
	sort.Float64s(list)
	return list
}

// startWithin is how soon the tasks of a job's class should have started, in
// seconds; 0 if nothing is said of it.
func (c *Core) startWithin(j *jobs.Job) float64 {
	for _, o := range c.settings.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == j.Class {
			return o.WithinS
		}
	}
	return 0
}

// timeLeft returns the seconds until the job's soonest target that it can still
// meet, and whether there is one; a job without targets always has one.
func (c *Core) timeLeft(j *jobs.Job) (float64, bool) {
	targets := c.targets(j)
	if len(targets) == 0 {
		return math.Inf(1), true
	}
	age := c.age(j.SubmitUnix).Seconds()
	for _, t := range targets {
		if age+limits.HopefulShare*j.EstimateS <= t {
			return t - age, true
		}
	}
	return 0, false
}

// remainingWork is what a job has left, in CPU seconds by its owner's estimate.
func remainingWork(j *jobs.Job) float64 {
	return float64(j.Tasks-j.DoneCount) * max(j.EstimateS, 1) * max(j.CPUs, 1)
}

// overdue tells whether a job has waited so long for its first task that it goes
// before all others of its team. Guards against starvation: the orders below
// leave a large job for last as long as others come.
func (c *Core) overdue(j *jobs.Job) bool {
	return !j.Started && !j.Cancelled && !j.Faulty() && c.age(j.SubmitUnix) > limits.BeginWithin
}

// rankedJob is a job with what decides its place in the order of jobs.
type rankedJob struct {
	*jobs.Job
	overdue bool
	hopeful bool    // it can still meet a target
	key     float64 // slack, or the work left
}

// sortedJobs lists the active jobs: what is overdue to begin; then by urgency; then those
// that can still meet a target, least slack first; then the others, least work left first, so
// that of what is late anyway the most jobs are over soon. The order is kept for a moment.
func (c *Core) sortedJobs() []*jobs.Job {
	if !c.sortStale && c.now.Steady < c.sortedAt+limits.SortInterval {
		return c.sorted
	}
	c.sortStale, c.sortedAt = false, c.now.Steady
	list := c.rankJobs()
	slices.SortFunc(list, compareRanked)
	c.sorted = make([]*jobs.Job, len(list))
	for i := range list {
		c.sorted[i] = list[i].Job
	}
	return c.sorted
}

// rankJobs finds what decides on the order of the active jobs. When there is far more work
// than room, least slack first would only make one job after the other late: then the least
// work goes first among the hopeful as well.
func (c *Core) rankJobs() []rankedJob {
	var list []rankedJob
	demand := 0.0
	for _, j := range c.jobs.Open {
		if !j.Active {
			continue
		}
		left, hopeful := c.timeLeft(j)
		list = append(list, rankedJob{j, c.overdue(j), hopeful, left - j.EstimateS})
		if hopeful {
			demand += remainingWork(j)
		}
	}
	room := 0.0
	for _, m := range c.pool.Machines {
		if t := c.fleet.Types[m.Class]; t != nil && m.Adopted {
			room += t.CPUs
		}
	}
	crowded := demand > room*limits.CrowdedFor.Seconds()
	for i := range list {
		if !list[i].hopeful || crowded {
			list[i].key = remainingWork(list[i].Job)
		}
	}
	return list
}

// compareRanked orders two jobs; what should start first comes first.
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
	if order := trueFirst(a.overdue, b.overdue); order != 0 {
		return order
	}
	if a.overdue && a.SubmitUnix != b.SubmitUnix {
		return cmp.Compare(a.SubmitUnix, b.SubmitUnix)
	}
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		trueFirst(a.hopeful, b.hopeful),
		cmp.Compare(a.key, b.key),
		cmp.Compare(a.ID, b.ID),
	)
}
