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

// nextAttempt returns an attempt number that no other owner and no other incarnation of this
// process uses: the term is in the upper bits, a counter in the lower bits.
func (c *Core) nextAttempt(class string) uint64 {
	c.attemptCounter++
	return c.activeTerms[class]<<limits.AttemptCounterBits | c.attemptCounter&(1<<limits.AttemptCounterBits-1)
}

// availableMachines returns the machines on which tasks may be placed, with their free
// resources, and the total capacity of each class. For fleet planning (forFleetPlan) it also
// returns machines that may not receive tasks yet. unresolvedCapacity is the total capacity of the
// machines whose running tasks are unknown.
func (c *Core) availableMachines(forFleetPlan bool) (machines []*allocation.Machine, capacity map[string]allocation.Resources, unresolvedCapacity allocation.Resources) {
	capacity = map[string]allocation.Resources{}
	sortedMachines := c.pool.Sorted()
	machines = make([]*allocation.Machine, 0, len(sortedMachines))
	onDemandMachines := make([]*allocation.Machine, 0, len(sortedMachines))
	machineCounts := map[*wire.MachineType]float64{}
	for _, machine := range sortedMachines {
		machineType := c.fleet.Types[machine.Class]
		if machineType == nil {
			continue
		}
		recordedUp := c.machineRecords[machine.ID].Up
		if recordedUp && !machine.Resolved() {
			unresolvedCapacity = unresolvedCapacity.Add(typeCapacity(machineType), 1)
		}
		if machine.Adopted && !machine.LeaseExpired {
			machineCounts[machineType]++
		}
		if !machine.Usable(c.now.Steady, c.pool.HeartbeatInterval) || (!recordedUp && !forFleetPlan) {
			continue
		}
		view := c.machineView(machine, machineType)
		if forFleetPlan { // fleet planning must not modify the views that placement uses
			viewCopy := *view
			view = &viewCopy
		}
		if machine.Spot {
			machines = append(machines, view)
		} else {
			onDemandMachines = append(onDemandMachines, view)
		}
	}
	for machineType, count := range machineCounts {
		capacity[machineType.Name] = allocation.Resources{}.Add(typeCapacity(machineType), count)
	}
	// Spot machines come first because they are cheaper: the more expensive on-demand machines
	// become idle and can be returned to the cloud.
	return append(machines, onDemandMachines...), capacity, unresolvedCapacity
}

// machineView refreshes and returns the allocation's view of a machine.
func (c *Core) machineView(machine *workers.Machine, machineType *wire.MachineType) *allocation.Machine {
	load := c.loadOf(machine.ID)
	load.view = allocation.Machine{GangsOnly: c.gangOnlyMachines[machine.ID], ID: machine.ID, Class: machine.Class, Zone: machine.Zone, Spot: machine.Spot, Capacity: typeCapacity(machineType), Free: typeCapacity(machineType).Add(load.used, -1), FetchGBps: machineType.FetchGBps, Images: machine.Images, Busy: len(load.tasks) > 0}
	return &load.view
}

// teamDemands builds the teams' part of the allocation's input: their allocated resources and
// the units that may start now. For fleet planning (forFleetPlan) it also includes units whose
// start is delayed.
func (c *Core) teamDemands(forFleetPlan bool, unresolvedCapacity allocation.Resources) []*allocation.Team {
	teams := c.teamAllocations(unresolvedCapacity)
	byName := map[string]*allocation.Team{}
	for _, team := range teams {
		byName[team.Name] = team
	}
	var endedTaskMachines map[string][]string // by gang; computed once, for the first gang
	for _, job := range c.sortedJobs() {
		team := byName[job.Team]
		if team == nil || !c.mayStart(job, forFleetPlan) {
			continue
		}
		if job.Gang && endedTaskMachines == nil {
			endedTaskMachines = c.machinesWithEndedTasks()
		}
		if unit := c.unitOf(job); c.limitUnit(unit, job, endedTaskMachines) {
			team.Units = append(team.Units, unit)
		}
	}
	return teams
}

// teamAllocations returns the teams with their limits, their allocated resources, and an upper bound
// on the resources of their tasks whose location is unknown.
func (c *Core) teamAllocations(unresolvedCapacity allocation.Resources) []*allocation.Team {
	var teams []*allocation.Team
	byName := map[string]*allocation.Team{}
	for _, teamSettings := range c.settings.Cluster.Teams {
		team := &allocation.Team{Name: teamSettings.Name, Allocated: c.allocatedByClass(teamSettings.Name), MaxCPUs: teamSettings.CPUsMax, MaxGPUs: teamSettings.GPUsMax,
			Guarantee: allocation.Resources{CPUs: teamSettings.CPUs, GPUs: teamSettings.GPUs}}
		byName[teamSettings.Name] = team
		teams = append(teams, team)
	}
	hasRemoteJobs := map[string]bool{} // teams with jobs that other controllers own
	for _, job := range c.jobs.OpenJobs {
		team := byName[job.Team]
		if team == nil {
			continue
		}
		hasRemoteJobs[job.Team] = hasRemoteJobs[job.Team] || !job.Active
		if job.MayHaveLaunched() && (job.Frozen || !job.Active) {
			team.UnknownUse = team.UnknownUse.Add(taskResources(job), float64(job.WaitingCount()))
		}
	}
	for _, team := range teams {
		// If this controller owns all of the team's jobs, their tasks of unknown location can
		// use no more than the capacity of the unresolved machines.
		if !hasRemoteJobs[team.Name] {
			team.UnknownUse.CPUs = min(team.UnknownUse.CPUs, unresolvedCapacity.CPUs)
			team.UnknownUse.GPUs = min(team.UnknownUse.GPUs, unresolvedCapacity.GPUs)
		}
	}
	return teams
}

// mayStart reports whether a job has waiting tasks that may start now. For fleet planning
// (forFleetPlan), tasks whose start is delayed count as well.
func (c *Core) mayStart(job *jobs.Job, forFleetPlan bool) bool {
	if job.WaitingCount() <= 0 || job.MustNotLaunch() || job.Frozen || c.jobs.OpenJobs[job.ID] != job {
		return false
	}
	return forFleetPlan || job.Prepared && c.now.Steady >= job.NotBefore
}

// unitOf returns the allocation unit that describes a job's waiting tasks.
func (c *Core) unitOf(job *jobs.Job) *allocation.Unit {
	unit := &allocation.Unit{Job: job.ID, Need: taskResources(job), Count: job.WaitingCount(), Image: job.Image, Classes: job.TypeSet, Shape: job.PlacementKey, Zone: job.Zone, Spot: job.Spot,
		OneZone: job.OneZone, Spread: job.Spread, Tasks: job.Tasks, StartWithin: c.startWithin(job), ImageGB: job.ImageGB,
		PreferOnDemand: c.avoidsSpot(job), Urgent: job.Urgency >= wire.UrgencyUrgent, LowPriority: job.Urgency == wire.UrgencyLow}
	if !job.OneZone && !job.Spread {
		return unit
	}
	unit.PlacedByZone = map[string]int{}
	for _, assignment := range job.Assigned {
		if machine := c.pool.Machines[assignment.Machine]; machine != nil {
			unit.PlacedByZone[machine.Zone]++
		}
	}
	return unit
}

// limitUnit sets how many of a unit's tasks may start at once and which machines they avoid.
// It reports whether any may start. endedTaskMachines lists, by gang, the machines that hold
// ended tasks of the gang.
func (c *Core) limitUnit(unit *allocation.Unit, job *jobs.Job, endedTaskMachines map[string][]string) bool {
	switch {
	case job.Gang:
		return c.limitGangUnit(unit, job, endedTaskMachines)
	case job.Faulty():
		unit.Count = min(unit.Count, limits.MaxFaultyJobTasks-len(job.Assigned))
	case c.isStartOverdue(job):
		// A job is overdue only until its first task has started; then it loses this priority.
		unit.Overdue = true
		unit.ExcludedMachines = job.FailedOn
		unit.Count = min(unit.Count, limits.MaxOverdueStartTasks-len(job.Assigned))
	default:
		unit.ExcludedMachines = job.FailedOn
	}
	return unit.Count > 0
}

// avoidsSpot reports whether a job's tasks should run on on-demand machines. This holds for
// tasks without checkpoints that would miss their target after the loss of a spot machine, or
// that run so long that they would be restarted again and again.
func (c *Core) avoidsSpot(job *jobs.Job) bool {
	if job.CheckpointS > 0 {
		return false
	}
	risk := c.fleet.SpotRisk(job.EstimateS)
	if (job.DeadlineS > 0 && risk > limits.MaxDeadlineSpotRisk) || risk > limits.MaxSpotRisk {
		return true
	}
	// Without this check, a job of a hundred long tasks misses its target when a single task is
	// lost with its spot machine and has to restart.
	secondsLeft, canMeetTarget := c.timeLeft(job)
	pessimisticRunS := limits.EstimateErrorFactor * job.EstimateS
	canRedo := secondsLeft >= 2*pessimisticRunS+limits.RedoSlack.Seconds()
	return canMeetTarget && !canRedo && 1-math.Pow(1-risk, float64(job.Tasks-job.DoneCount)) > limits.MaxLateRisk
}

// largestUnits returns, by class, the largest unit that unfinished jobs may request.
func (c *Core) largestUnits() map[string]allocation.Resources {
	largest := map[string]allocation.Resources{}
	for _, job := range c.jobs.OpenJobs {
		request := taskResources(job)
		for _, class := range job.Types {
			if current := largest[class]; request.CPUs > current.CPUs || (request.CPUs == current.CPUs && (request.GPUs > current.GPUs || request.GPUs == current.GPUs && request.Memory > current.Memory)) {
				largest[class] = request
			}
		}
	}
	return largest
}

// schedulingRound is the teams' part of the last full allocation run. It is kept to fill the
// resources that a single heartbeat frees before the next run.
type schedulingRound struct {
	teams             []*allocation.Team
	capacity, largest map[string]allocation.Resources
	reservedMachines  map[string]bool // IDs of machines reserved for overdue units or for jobs that preempt tasks
}

// allocate assigns waiting tasks to machines. The assignments are sent as direct orders or in the
// reply to each machine's next heartbeat. A run over all machines and jobs takes a millisecond in
// a large fleet, so there is at most one every SchedulingInterval. Resources that a single
// heartbeat frees in between are allocated immediately by allocateOnMachine.
func (c *Core) allocate() {
	if !c.schedulingDue || !c.ownership.MayLaunch() || c.now.Steady < c.nextRound {
		return
	}
	c.schedulingDue = false
	c.nextRound = c.now.Steady + limits.SchedulingInterval
	c.prepareJobs()
	machines, capacity, unresolvedCapacity := c.availableMachines(false)
	c.reserveForGangs(machines)
	newRound := &schedulingRound{teams: c.teamDemands(false, unresolvedCapacity), capacity: capacity, largest: c.largestUnits()}
	c.lastRound = newRound
	newRound.reservedMachines = allocation.ReserveForOverdue(newRound.teams, machines, 1+int(limits.MaxReservedShare*float64(len(machines))))
	pendingPreemptions := c.reservePreemptedMachines(machines, newRound.reservedMachines)
	c.runAllocation(newRound, machines)
	c.preemptBorrowedResources(newRound, machines, pendingPreemptions)
	c.sendDirectLaunches()
}

// prepareJobs requests the records that jobs need before their first launch. Jobs are processed
// in the order of their IDs, because the records that share a key must not depend on map
// iteration order.
func (c *Core) prepareJobs() {
	var jobIDs []string
	for id, job := range c.jobs.OpenJobs {
		if job.Active && !job.Prepared && !job.Frozen && !job.Cancelled {
			jobIDs = append(jobIDs, id)
		}
	}
	slices.Sort(jobIDs)
	for _, id := range jobIDs {
		c.jobs.Prepare(c.jobs.OpenJobs[id])
	}
}

// allocateOnMachine allocates the free resources of one machine to units that the last full
// allocation run left waiting.
func (c *Core) allocateOnMachine(machine *workers.Machine) {
	machineType := c.fleet.Types[machine.Class]
	if c.lastRound == nil || c.lastRound.reservedMachines[machine.ID] || machineType == nil || !c.machineRecords[machine.ID].Up || !machine.Usable(c.now.Steady, c.pool.HeartbeatInterval) {
		return
	}
	anyWaiting := false
	for _, team := range c.lastRound.teams {
		anyWaiting = anyWaiting || len(team.Units) > 0
	}
	if !anyWaiting {
		return
	}
	for _, team := range c.lastRound.teams {
		team.Allocated = c.allocatedByClass(team.Name)
	}
	c.runAllocation(c.lastRound, []*allocation.Machine{c.machineView(machine, machineType)})
}

// runAllocation runs the allocation on the given machines and applies its placements.
func (c *Core) runAllocation(round *schedulingRound, machines []*allocation.Machine) {
	gangs := map[string][]*allocation.Machine{}
	for _, placement := range allocation.Run(round.teams, machines, round.capacity, round.largest) {
		job := c.jobs.OpenJobs[placement.Unit.Job]
		// The job may have changed since the round was built.
		if job == nil || job.MustNotLaunch() || job.Frozen || !job.Active || !job.Prepared {
			continue
		}
		if !job.Gang {
			c.placeTask(job, placement)
			continue
		}
		gangs[job.ID] = append(gangs[job.ID], placement.Machine)
		if len(gangs[job.ID]) == job.WaitingCount() {
			c.placeGang(job, placement.Team, gangs[job.ID])
		}
	}
	for _, team := range round.teams {
		team.Units = slices.DeleteFunc(team.Units, func(unit *allocation.Unit) bool { return unit.Count <= 0 })
	}
}

// placeTask assigns the next waiting task of an array job to the machine that the allocation
// chose.
func (c *Core) placeTask(job *jobs.Job, placement allocation.Placement) {
	task := job.NextTask()
	machine := c.pool.Machines[placement.Machine.ID]
	if task < 0 || machine == nil || (len(machine.EndedTasks) > 0 && machine.EndedTasks[jobs.TaskID(job.ID, task)]) {
		return
	}
	attempt := c.nextAttempt(placement.Machine.Class)
	c.assign(job, task, jobs.Assignment{Machine: machine.ID, Attempt: attempt, State: jobs.Planned})
	c.log(slog.LevelDebug, "task placed", "job", job.ID, "task", task, "machine", machine.ID, "attempt", attempt, "team", placement.Team, "image", job.Image == "" || machine.Images[job.Image],
		"term", c.activeTerms[machine.Class], "revision", c.store.Mirror.Revision, "cancellationsKnownS", c.cancellationsAge().Seconds())
	markImageFetching(machine, job)
	if len(c.plannedMachines) == 0 || c.plannedMachines[len(c.plannedMachines)-1] != machine.ID {
		c.plannedMachines = append(c.plannedMachines, machine.ID)
	}
}

// markImageFetching records that a machine will fetch a job's image, unless the machine has
// the image or is already fetching it.
func markImageFetching(machine *workers.Machine, job *jobs.Job) {
	if _, known := machine.Images[job.Image]; !known && job.Image != "" {
		machine.Images[job.Image] = false
	}
}
