package controller

import (
	"log/slog"
	"math"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// attempt gives out attempt numbers that no other owner and no other life of
// this process gives out: the term in the upper bits, a counter below.
func (c *Core) attempt(class string) uint64 {
	c.attemptCounter++
	return c.active[class]<<limits.AttemptBits | c.attemptCounter&(1<<limits.AttemptBits-1)
}

// availableMachines lists the machines that may get tasks, with their free room, and what
// all machines together have. all also takes machines that may not get any yet,
// for planning the fleet. unseen is the room of machines whose tasks are unknown.
func (c *Core) availableMachines(all bool) (machines []*allocation.Machine, capacity map[string]allocation.Resources, unseen allocation.Resources) {
	capacity = map[string]allocation.Resources{}
	sorted := c.pool.Sorted()
	machines = make([]*allocation.Machine, 0, len(sorted))
	ordinary := make([]*allocation.Machine, 0, len(sorted))
	counts := map[*wire.MachineType]float64{}
	for _, m := range sorted {
		t := c.fleet.Types[m.Class]
		if t == nil {
			continue
		}
		recorded := c.machineRecords[m.ID].Up
		if recorded && !m.Resolved() {
			unseen = unseen.Add(size(t), 1)
		}
		if m.Adopted && !m.Lost {
			counts[t]++
		}
		if !m.Usable(c.now.Steady, c.pool.Report) || (!recorded && !all) {
			continue
		}
		view := c.machineView(m, t)
		if all { // only a plan: the views of the real runs stay as they are
			copied := *view
			view = &copied
		}
		if m.Spot {
			machines = append(machines, view)
		} else {
			ordinary = append(ordinary, view)
		}
	}
	for t, n := range counts {
		capacity[t.Name] = allocation.Resources{}.Add(size(t), n)
	}
	// Cheap machines first, so that the dear ones run empty and can go.
	return append(machines, ordinary...), capacity, unseen
}

// machineView brings the allocation's picture of a machine up to date.
func (c *Core) machineView(m *workers.Machine, mt *wire.MachineType) *allocation.Machine {
	h := c.loadOf(m.ID)
	h.view = allocation.Machine{GangsOnly: c.reserved[m.ID], ID: m.ID, Class: m.Class, Zone: m.Zone, Spot: m.Spot, Size: size(mt), Free: size(mt).Add(h.used, -1), FetchGBps: mt.FetchGBps, Images: m.Images, Busy: len(h.tasks) > 0}
	return &h.view
}

// teamDemands builds the teams' part of the allocation's input: amounts booked, and
// the units that may start now. all also takes units that are held back for a
// moment, for planning the fleet.
func (c *Core) teamDemands(all bool, unseen allocation.Resources) []*allocation.Team {
	teams := c.bookedTeams(unseen)
	byName := map[string]*allocation.Team{}
	for _, team := range teams {
		byName[team.Name] = team
	}
	var ended map[string][]string // by gang, for which it is looked up once
	for _, j := range c.sortedJobs() {
		team := byName[j.Team]
		if team == nil || !c.mayStart(j, all) {
			continue
		}
		if j.Gang && ended == nil {
			ended = c.machinesWithEndedTasks()
		}
		if u := c.unitOf(j); c.boundUnit(u, j, ended) {
			team.Units = append(team.Units, u)
		}
	}
	return teams
}

// bookedTeams lists the teams with their bounds, what they have booked, and what may run for
// them where it can't be seen.
func (c *Core) bookedTeams(unseen allocation.Resources) []*allocation.Team {
	var teams []*allocation.Team
	byName := map[string]*allocation.Team{}
	for _, t := range c.settings.Cluster.Teams {
		team := &allocation.Team{Name: t.Name, Booked: c.bookedBy(t.Name), MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax,
			Guarantee: allocation.Resources{CPUs: t.CPUs, GPUs: t.GPUs}}
		byName[t.Name] = team
		teams = append(teams, team)
	}
	shared := map[string]bool{} // teams with jobs that others own
	for _, j := range c.jobs.Open {
		team := byName[j.Team]
		if team == nil {
			continue
		}
		shared[j.Team] = shared[j.Team] || !j.Active
		if j.Launched() && (j.Frozen || !j.Active) {
			team.Unknown = team.Unknown.Add(need(j), float64(j.Waiting()))
		}
	}
	for _, team := range teams {
		// What can't be seen fits on the machines that can't be seen, as long
		// as all of the team's jobs are ours.
		if !shared[team.Name] {
			team.Unknown.CPUs = min(team.Unknown.CPUs, unseen.CPUs)
			team.Unknown.GPUs = min(team.Unknown.GPUs, unseen.GPUs)
		}
	}
	return teams
}

// mayStart tells whether a job has tasks that may start now, or, for planning the fleet (all),
// in a moment.
func (c *Core) mayStart(j *jobs.Job, all bool) bool {
	if j.Waiting() <= 0 || j.Cancelled || j.Frozen || c.jobs.Open[j.ID] != j {
		return false
	}
	return all || j.Prepared && c.now.Steady >= j.NotBefore
}

// unitOf describes a job's waiting tasks to the allocation.
func (c *Core) unitOf(j *jobs.Job) *allocation.Unit {
	u := &allocation.Unit{Job: j.ID, Need: need(j), Count: j.Waiting(), Image: j.Image, Classes: j.TypeSet, Shape: j.Shape, Zone: j.Zone, Spot: j.Spot,
		OneZone: j.OneZone, Spread: j.Spread, Tasks: j.Tasks, StartWithin: c.startWithin(j), ImageGB: j.ImageGB,
		Safe: c.avoidsSpot(j), Urgent: j.Urgency >= wire.UrgencyUrgent, Low: j.Urgency == wire.UrgencyLow}
	if !j.OneZone && !j.Spread {
		return u
	}
	u.ByZone = map[string]int{}
	for _, a := range j.Assigned {
		if m := c.pool.Machines[a.Machine]; m != nil {
			u.ByZone[m.Zone]++
		}
	}
	return u
}

// boundUnit bounds how many of a unit's tasks may start at once, and where not. It tells
// whether any may. ended lists, by gang, the machines with ended tasks of it.
func (c *Core) boundUnit(u *allocation.Unit, j *jobs.Job, ended map[string][]string) bool {
	switch {
	case j.Gang:
		return c.gangUnit(u, j, ended)
	case j.Faulty():
		u.Count = min(u.Count, limits.BadJobSlots-len(j.Assigned))
	case c.overdue(j):
		// Once it has begun it waits for its turn like the others.
		u.Overdue = true
		u.Avoid = j.FailedOn
		u.Count = min(u.Count, limits.BeginTasks-len(j.Assigned))
	default:
		u.Avoid = j.FailedOn
	}
	return u.Count > 0
}

// avoidsSpot tells whether a job's tasks had better not be lost with a spot machine:
// they save nothing, and would be late, or as long ones be started over and over.
func (c *Core) avoidsSpot(j *jobs.Job) bool {
	if j.CheckS > 0 {
		return false
	}
	risk := c.fleet.SpotRisk(j.EstimateS)
	if (j.DeadlineS > 0 && risk > limits.SafeRisk) || risk > limits.LongRisk {
		return true
	}
	// Guards against batches of a hundred long tasks of which all but one are in
	// time: that one was lost with its machine and started over.
	left, hopeful := c.timeLeft(j)
	long := limits.EstimateError * j.EstimateS
	redo := left >= 2*long+limits.RedoSlack.Seconds()
	return hopeful && !redo && 1-math.Pow(1-risk, float64(j.Tasks-j.DoneCount)) > limits.LateRisk
}

// largestUnits finds the largest unit that unfinished jobs may ask of each class.
func (c *Core) largestUnits() map[string]allocation.Resources {
	out := map[string]allocation.Resources{}
	for _, j := range c.jobs.Open {
		n := need(j)
		for _, class := range j.Types {
			if b := out[class]; n.CPUs > b.CPUs || (n.CPUs == b.CPUs && (n.GPUs > b.GPUs || n.GPUs == b.GPUs && n.Memory > b.Memory)) {
				out[class] = n
			}
		}
	}
	return out
}

// schedulingRound is the teams' part of a run, kept for the room that single reports free.
type schedulingRound struct {
	teams             []*allocation.Team
	capacity, largest map[string]allocation.Resources
	held              map[string]bool // machines kept free for an overdue unit
}

// allocate plans tasks onto machines. The plans go out with the next answer to
// each machine's report. Looking at every machine and job costs a millisecond in
// a large fleet, so it is done at most every RoundInterval; what a single report
// frees in between is filled at once by allocateOn.
func (c *Core) allocate() {
	if !c.dirty || !c.ownership.MayLaunch() || c.now.Steady < c.nextRound {
		return
	}
	c.dirty = false
	c.nextRound = c.now.Steady + limits.RoundInterval
	c.prepareJobs()
	machines, capacity, unseen := c.availableMachines(false)
	c.reserveForGangs(machines)
	o := &schedulingRound{teams: c.teamDemands(false, unseen), capacity: capacity, largest: c.largestUnits()}
	c.round = o
	o.held = allocation.HoldRoom(o.teams, machines, 1+int(limits.HoldShare*float64(len(machines))))
	pending := c.holdPreempted(machines, o.held)
	c.runAllocation(o, machines)
	c.preemptBorrowed(o, machines, pending)
	c.sendDirectLaunches()
}

// prepareJobs asks for the records that jobs need before their first launch, in the order of
// their names: which records share a key must not depend on the order of a map.
func (c *Core) prepareJobs() {
	var waiting []string
	for id, j := range c.jobs.Open {
		if j.Active && !j.Prepared && !j.Frozen && !j.Cancelled {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		c.jobs.Prepare(c.jobs.Open[id])
	}
}

// allocateOn fills the room that a machine has, from what the last look at all
// machines left waiting.
func (c *Core) allocateOn(m *workers.Machine) {
	mt := c.fleet.Types[m.Class]
	if c.round == nil || c.round.held[m.ID] || mt == nil || !c.machineRecords[m.ID].Up || !m.Usable(c.now.Steady, c.pool.Report) {
		return
	}
	waiting := false
	for _, t := range c.round.teams {
		waiting = waiting || len(t.Units) > 0
	}
	if !waiting {
		return
	}
	for _, t := range c.round.teams {
		t.Booked = c.bookedBy(t.Name)
	}
	c.runAllocation(c.round, []*allocation.Machine{c.machineView(m, mt)})
}

// runAllocation lets the allocation fill machines and takes its placements over.
func (c *Core) runAllocation(round *schedulingRound, machines []*allocation.Machine) {
	gangs := map[string][]*allocation.Machine{}
	for _, p := range allocation.Run(round.teams, machines, round.capacity, round.largest) {
		j := c.jobs.Open[p.Unit.Job]
		// The round may be older than a change of the job.
		if j == nil || j.Cancelled || j.Frozen || !j.Active || !j.Prepared {
			continue
		}
		if !j.Gang {
			c.placeTask(j, p)
			continue
		}
		gangs[j.ID] = append(gangs[j.ID], p.Machine)
		if len(gangs[j.ID]) == j.Waiting() {
			c.placeGang(j, p.Team, gangs[j.ID])
		}
	}
	for _, team := range round.teams {
		team.Units = slices.DeleteFunc(team.Units, func(u *allocation.Unit) bool { return u.Count <= 0 })
	}
}

// placeTask plans the next waiting task of an array where the allocation put it.
func (c *Core) placeTask(j *jobs.Job, p allocation.Placement) {
	task := j.NextTask()
	m := c.pool.Machines[p.Machine.ID]
	if task < 0 || m == nil || (len(m.EndedTasks) > 0 && m.EndedTasks[jobs.TaskID(j.ID, task)]) {
		return
	}
	number := c.attempt(p.Machine.Class)
	c.assign(j, task, jobs.Assignment{Machine: m.ID, Attempt: number, State: jobs.Planned})
	c.log(slog.LevelDebug, "task placed", "job", j.ID, "task", task, "machine", m.ID, "attempt", number, "team", p.Team, "image", j.Image == "" || m.Images[j.Image],
		"term", c.active[m.Class], "revision", c.store.Mirror.Revision, "cancellationsKnownS", c.cancellationsAge().Seconds())
	noteFetch(m, j)
	if len(c.plannedMachines) == 0 || c.plannedMachines[len(c.plannedMachines)-1] != m.ID {
		c.plannedMachines = append(c.plannedMachines, m.ID)
	}
}

// noteFetch records that a machine is about to fetch a job's image, unless it has it.
func noteFetch(m *workers.Machine, j *jobs.Job) {
	if _, known := m.Images[j.Image]; !known && j.Image != "" {
		m.Images[j.Image] = false
	}
}
