package controller

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

func need(j *jobs.Job) allocation.Resources {
	return allocation.Resources{CPUs: j.CPUs, GPUs: j.GPUs, Memory: j.MemoryGB}
}

func size(t *wire.MachineType) allocation.Resources {
	return allocation.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}
}

// attempt gives out attempt numbers that no other owner and no other life of
// this process gives out: the term in the upper bits, a counter below.
func (c *Core) attempt(class string) uint64 {
	c.attemptCounter++
	return c.active[class]<<limits.AttemptBits | c.attemptCounter&(1<<limits.AttemptBits-1)
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

// sortedJobs lists the active jobs: what is overdue to begin; then by urgency; then those that can still meet
// a target, least slack first; then the others, least work left first, so that
// of what is late anyway the most jobs are over soon. When there is far more
// work than room, least slack first would only make one job after the other
// late: then the least work goes first among the former as well.
func (c *Core) sortedJobs() []*jobs.Job {
	if !c.sortStale && c.now.Steady < c.sortedAt+limits.SortInterval {
		return c.sorted
	}
	c.sortStale, c.sortedAt = false, c.now.Steady
	type ranked struct {
		*jobs.Job
		overdue bool
		hopeful bool
		key     float64
	}
	var list []ranked
	demand := 0.0
	for _, j := range c.jobs.Open {
		if j.Active {
			left, hopeful := c.timeLeft(j)
			list = append(list, ranked{j, c.overdue(j), hopeful, left - j.EstimateS})
			if hopeful {
				demand += remainingWork(j)
			}
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
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.overdue != y.overdue {
			return x.overdue
		}
		if x.overdue && x.SubmitUnix != y.SubmitUnix {
			return x.SubmitUnix < y.SubmitUnix
		}
		if x.Urgency != y.Urgency {
			return x.Urgency > y.Urgency
		}
		if x.hopeful != y.hopeful {
			return x.hopeful
		}
		if x.key != y.key {
			return x.key < y.key
		}
		return x.ID < y.ID
	})
	c.sorted = make([]*jobs.Job, len(list))
	for i := range list {
		c.sorted[i] = list[i].Job
	}
	return c.sorted
}

// availableMachines lists the machines that may get tasks, with their free room, and what
// all machines together have. all also takes machines that may not get any yet,
// for planning the fleet. unseen is the room of machines whose tasks are unknown.
func (c *Core) availableMachines(all bool) (machines []*allocation.Machine, capacity map[string]allocation.Resources, unseen allocation.Resources) {
	t := c.now.Steady
	capacity = map[string]allocation.Resources{}
	// Cheap machines first, so that the dear ones run empty and can go.
	for _, spot := range []bool{true, false} {
		for _, m := range c.pool.Sorted() {
			if m.Spot != spot {
				continue
			}
			mt := c.fleet.Types[m.Class]
			if mt == nil {
				continue
			}
			listed := c.machineRecords[m.ID].Up
			if listed && !m.Resolved() {
				unseen = unseen.Add(size(mt), 1)
			}
			if m.Adopted && !m.Lost {
				capacity[m.Class] = capacity[m.Class].Add(size(mt), 1)
			}
			if !m.Usable(t, c.pool.Report) || (!listed && !all) {
				continue
			}
			if all { // only a plan: the rooms of the real runs stay as they are
				r := *c.machineView(m, mt)
				machines = append(machines, &r)
			} else {
				machines = append(machines, c.machineView(m, mt))
			}
		}
	}
	return machines, capacity, unseen
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
	t := c.now.Steady
	byTeam := map[string]*allocation.Team{}
	var teams []*allocation.Team
	for i := range c.settings.Cluster.Teams {
		ct := &c.settings.Cluster.Teams[i]
		at := &allocation.Team{Name: ct.Name, Booked: c.bookedBy(ct.Name), MaxCPUs: ct.CPUsMax, MaxGPUs: ct.GPUsMax,
			Guarantee: allocation.Resources{CPUs: ct.CPUs, GPUs: ct.GPUs}}
		byTeam[ct.Name] = at
		teams = append(teams, at)
	}
	shared := map[string]bool{} // teams with jobs that others own
	for _, j := range c.jobs.Open {
		at := byTeam[j.Team]
		if at == nil {
			continue
		}
		shared[j.Team] = shared[j.Team] || !j.Active
		if j.Launched() && (j.Frozen || !j.Active) {
			at.Unknown = at.Unknown.Add(need(j), float64(j.Waiting()))
		}
	}
	for _, at := range teams {
		// What can't be seen fits on the machines that can't be seen, as long
		// as all of the team's jobs are ours.
		if !shared[at.Name] {
			at.Unknown.CPUs = min(at.Unknown.CPUs, unseen.CPUs)
			at.Unknown.GPUs = min(at.Unknown.GPUs, unseen.GPUs)
		}
	}
	var held map[string][]string // for gangs
	for _, j := range c.sortedJobs() {
		at := byTeam[j.Team]
		n := j.Waiting()
		if at == nil || n <= 0 || j.Cancelled || j.Frozen || c.jobs.Open[j.ID] != j {
			continue
		}
		if !all && (!j.Prepared || t < j.NotBefore) {
			continue
		}
		u := &allocation.Unit{Job: j.ID, Need: need(j), Count: n, Image: j.Image, Classes: j.TypeSet, Shape: j.Shape, Zone: j.Zone, Spot: j.Spot,
			OneZone: j.OneZone, Spread: j.Spread, Tasks: j.Tasks, StartWithin: c.startWithin(j), ImageGB: j.ImageGB,
			Safe: c.avoidsSpot(j), Urgent: j.Urgency >= wire.UrgencyUrgent, Low: j.Urgency == wire.UrgencyLow}
		if j.OneZone || j.Spread {
			u.ByZone = map[string]int{}
			for _, p := range j.Assigned {
				if m := c.pool.Machines[p.Machine]; m != nil {
					u.ByZone[m.Zone]++
				}
			}
		}
		switch {
		case j.Gang:
			if held == nil {
				held = c.machinesWithEndedTasks()
			}
			if !c.gangUnit(u, j, held) {
				continue
			}
		case j.Faulty():
			u.Count = min(n, limits.BadJobSlots-len(j.Assigned))
		case c.overdue(j):
			// Once it has begun it waits for its turn like the others.
			u.Overdue = true
			u.Avoid = j.FailedOn
			u.Count = min(n, limits.BeginTasks-len(j.Assigned))
		default:
			u.Avoid = j.FailedOn
		}
		if u.Count > 0 {
			at.Units = append(at.Units, u)
		}
	}
	return teams
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
func (c *Core) runAllocation(o *schedulingRound, machines []*allocation.Machine) {
	gangs := map[string][]*allocation.Machine{}
	for _, p := range allocation.Run(o.teams, machines, o.capacity, o.largest) {
		j := c.jobs.Open[p.Unit.Job]
		// The offer may be older than a change of the job.
		if j == nil || j.Cancelled || j.Frozen || !j.Active || !j.Prepared {
			continue
		}
		if j.Gang {
			if gangs[j.ID] = append(gangs[j.ID], p.Machine); len(gangs[j.ID]) == j.Waiting() {
				c.placeGang(j, p.Team, gangs[j.ID])
			}
			continue
		}
		task := j.NextTask()
		m := c.pool.Machines[p.Machine.ID]
		if task < 0 || m == nil || (len(m.EndedTasks) > 0 && m.EndedTasks[jobs.TaskID(j.ID, task)]) {
			continue
		}
		a := c.attempt(p.Machine.Class)
		c.assign(j, task, jobs.Assignment{Machine: p.Machine.ID, Attempt: a, State: jobs.Planned})
		c.log("debug", "task placed", "job", j.ID, "task", task, "machine", p.Machine.ID, "attempt", a, "team", p.Team, "image", j.Image == "" || m.Images[j.Image])
		if _, known := m.Images[j.Image]; !known && j.Image != "" {
			m.Images[j.Image] = false
		}
		if len(c.plannedMachines) == 0 || c.plannedMachines[len(c.plannedMachines)-1] != m.ID {
			c.plannedMachines = append(c.plannedMachines, m.ID)
		}
	}
	for _, t := range o.teams {
		t.Units = slices.DeleteFunc(t.Units, func(u *allocation.Unit) bool { return u.Count <= 0 })
	}
}

// planFleet rents for the work that fits nowhere and returns what is idle.
func (c *Core) planFleet() {
	if len(c.fleet.Types) == 0 || !c.fleet.Listed {
		return
	}
	c.fleet.RemoveDeadRentals(c.now.Steady-c.lastReport <= c.maxReportGap(), c.reportsResumedAt)
	c.logUsage()
	machines, capacity, unseen := c.availableMachines(true)
	teams := c.teamDemands(true, unseen)
	// Machines on their way take their part first.
	booting := c.fleet.Booting()
	var kinds []fleet.Kind
	for k := range booting {
		if _, ok := c.active[k.Class]; ok && c.fleet.Types[k.Class] != nil {
			kinds = append(kinds, k)
		}
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Less(kinds[b]) })
	for _, k := range kinds {
		for i := 0; i < booting[k]; i++ {
			machines = append(machines, &allocation.Machine{Class: k.Class, Zone: k.Zone, Spot: k.Spot, Free: size(c.fleet.Types[k.Class])})
		}
	}
	used := map[string]bool{}
	for _, p := range allocation.Run(teams, machines, capacity, c.largestUnits()) {
		used[p.Machine.ID] = true
	}
	c.returnIdle(used)
	w := &rentalPlan{counts: map[fleet.Kind]int{}}
	extra := c.shortfalls(machines)
	for _, at := range teams {
		total := at.Unknown
		for _, b := range at.Booked {
			total = total.Add(b, 1)
		}
		for _, u := range at.Units {
			if j := c.jobs.Open[u.Job]; j == nil || j.Faulty() {
				continue
			}
			w.firstWithRoom = 0
			if u.Gang {
				if ask := (allocation.Resources{}).Add(u.Need, float64(u.Count)); !exceeds(total.CPUs+ask.CPUs, at.MaxCPUs) && !exceeds(total.GPUs+ask.GPUs, at.MaxGPUs) && c.fitGangOnRentals(u, w) {
					total = total.Add(ask, 1)
				}
				continue
			}
			for ; u.Count > 0; u.Count-- {
				if (at.MaxCPUs > 0 && total.CPUs+u.Need.CPUs > at.MaxCPUs) || (at.MaxGPUs > 0 && total.GPUs+u.Need.GPUs > at.MaxGPUs) {
					break
				}
				if !c.fitOnRentals(u, extra[u.Job], w) {
					if w.rentedCPUs < extra[u.Job].tight {
						w.refused = append(w.refused, u)
					}
					break
				}
				total = total.Add(u.Need, 1)
			}
		}
	}
	c.rentForSmallTasks(w, machines)
	kinds = kinds[:0]
	for k := range w.counts {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Less(kinds[b]) })
	for _, k := range kinds {
		for n := w.counts[k]; n > 0 && c.fleet.MayRent(k); n -= limits.RentMost {
			c.fleet.Rent(k, n)
		}
	}
}

// shortfall is how many CPUs more than there are a job's work and all work before it
// call for: to be comfortably in time, and to be in time at all.
type shortfall struct{ easy, tight float64 }

// shortfalls reckons what each job lacks. It treats the work as a fluid: with C
// CPUs now and C' more after the boot time, C*T + C'*(T-boot) is done in time T.
// So a burst of short tasks does not rent a machine for each of them.
func (c *Core) shortfalls(machines []*allocation.Machine) map[string]shortfall {
	out := map[string]shortfall{}
	have := map[string][2]float64{} // CPUs of each class: on ordinary and on spot machines
	for _, m := range machines {
		h := have[m.Class]
		if m.Spot {
			h[1] += c.fleet.Types[m.Class].CPUs
		} else {
			h[0] += c.fleet.Types[m.Class].CPUs
		}
		have[m.Class] = h
	}
	before := 0.0
	for _, j := range c.sortedJobs() {
		if j.Cancelled || j.Faulty() {
			continue
		}
		before += remainingWork(j)
		room, boot := 0.0, math.Inf(1)
		for _, class := range j.Types {
			h := have[class]
			room += h[0]
			if j.Spot {
				room += h[1]
			}
			if t := c.fleet.Types[class]; t != nil {
				boot = min(boot, t.BootS)
			}
		}
		left, hopeful := c.timeLeft(j)
		if !hopeful || math.IsInf(left, 1) {
			left = limits.RentHorizon.Seconds()
		}
		more := func(part float64) float64 {
			t := max(left*part-j.EstimateS/2, boot+limits.RentLeast.Seconds())
			return (before - room*t) / (t - boot)
		}
		out[j.ID] = shortfall{easy: more(limits.EasyShare), tight: more(limits.TightShare)}
	}
	return out
}

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
	c.log("debug", "use of CPUs", "running", by[jobs.Running], "fetching", by[jobs.Fetching], "toldOrPlanned", by[jobs.Planned]+by[jobs.Sent],
		"saving", by[jobs.Saving], "freeOnBusy", free, "idle", idle, "waiting", waiting, "bootingMachines", booting)
}

// rentalPlan is what a reckoning wants to rent.
type rentalPlan struct {
	rentals       []*allocation.Machine
	counts        map[fleet.Kind]int
	rentedCPUs    float64 // CPUs of fresh
	firstWithRoom int     // fresh machines before this one have no room for the unit at hand
	// refused lists units that lack machines of which the cloud has no more.
	refused []*allocation.Unit
}

// rentForSmallTasks rents machines for work that could leave the classes that the cloud
// has no more of to units that fit nowhere else: small tasks may use classes
// that large ones can't, but found room in a class that both use.
func (c *Core) rentForSmallTasks(w *rentalPlan, machines []*allocation.Machine) {
	scarce, lacked := map[string]bool{}, 0.0
	for _, u := range w.refused {
		for class := range u.Classes {
			scarce[class] = true
		}
		lacked += float64(u.Count) * u.Need.CPUs
	}
	clear(c.keepIdle)
	if lacked == 0 {
		return
	}
	for _, class := range c.fleet.Classes() {
		mt := c.fleet.Types[class]
		if _, ok := c.active[class]; !ok || scarce[class] {
			continue
		}
		// What could move: tasks of jobs that may use this class as well.
		could := 0.0
		for _, j := range c.jobs.Open {
			if !j.Active || !j.TypeSet[class] || j.Cancelled || !j.Spot {
				continue
			}
			c.keepIdle[class] = true
			for _, p := range j.Assigned {
				if m := c.pool.Machines[p.Machine]; m != nil && scarce[m.Class] {
					could += j.CPUs
				}
			}
		}
		for _, m := range machines {
			if m.Class == class {
				could -= m.Free.CPUs
			}
		}
		for _, z := range mt.Zones {
			k := fleet.Kind{Class: class, Zone: z, Spot: true}
			for len(w.rentals) < limits.RentalsPlanned && min(could, lacked) >= mt.CPUs && c.operator.Spot() && c.fleet.Available(k) {
				w.rentals = append(w.rentals, &allocation.Machine{Class: class, Zone: z, Spot: true})
				w.counts[k]++
				could -= mt.CPUs
				lacked -= mt.CPUs
			}
		}
	}
}

// fitOnRentals puts a unit on a machine still to be rented, adding the cheapest
// suitable one if the job lacks that much: cheap machines so that it is easily
// in time, dear ones only so that it is in time.
func (c *Core) fitOnRentals(u *allocation.Unit, l shortfall, w *rentalPlan) bool {
	for ; w.firstWithRoom < len(w.rentals); w.firstWithRoom++ {
		m := w.rentals[w.firstWithRoom]
		if u.Need.Fits(m.Free) && u.Classes[m.Class] && (!m.Spot || u.Spot) && (u.Zone == "" || u.Zone == m.Zone) {
			m.Free = m.Free.Add(u.Need, -1)
			return true
		}
	}
	if len(w.rentals) >= limits.RentalsPlanned {
		return false
	}
	var best fleet.Kind
	cost := 0.0
	for _, class := range c.fleet.Classes() {
		if !u.Classes[class] {
			continue
		}
		mt := c.fleet.Types[class]
		per := max(1, u.Need.CountIn(size(mt)))
		for _, z := range mt.Zones {
			if u.Zone != "" && u.Zone != z {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := fleet.Kind{Class: class, Zone: z, Spot: spot}
				if spot && (!u.Spot || !c.operator.Spot()) || !c.fleet.Available(k) {
					continue
				}
				if w.rentedCPUs >= l.easy || (!spot && u.Spot && w.rentedCPUs >= l.tight) {
					continue
				}
				if p := c.fleet.Price(k) / float64(per); best.Class == "" || p < cost {
					best, cost = k, p
				}
			}
		}
	}
	if best.Class == "" {
		return false
	}
	m := &allocation.Machine{Class: best.Class, Zone: best.Zone, Spot: best.Spot, Free: size(c.fleet.Types[best.Class]).Add(u.Need, -1)}
	w.rentals = append(w.rentals, m)
	w.rentedCPUs += c.fleet.Types[best.Class].CPUs
	w.counts[best]++
	return true
}

// fitGangOnRentals puts a gang on machines still to be rented, all of it or nothing: what there
// is takes a part of it at best. Whatever its deadline, since its tasks wait together.
func (c *Core) fitGangOnRentals(u *allocation.Unit, w *rentalPlan) bool {
	fresh, want, rented := len(w.rentals), maps.Clone(w.counts), w.rentedCPUs
	v := *u
	always := shortfall{easy: math.Inf(1), tight: math.Inf(1)}
	for n := 0; n < u.Count; n++ {
		w.firstWithRoom = 0
		if !c.fitOnRentals(&v, always, w) {
			// What was added has room for others, but nobody asked for it.
			w.rentals, w.counts, w.rentedCPUs = w.rentals[:fresh], want, rented
			return false
		}
		if u.OneZone && v.Zone == "" && len(w.rentals) > fresh {
			v.Zone = w.rentals[len(w.rentals)-1].Zone
		}
	}
	return true
}

// idleLimit is how long a machine of a class may be idle. Keeping it as long as
// its successor would take to boot costs at most twice what the best choice
// with hindsight costs.
func (c *Core) idleLimit(class string) time.Duration {
	if c.operator.IdleReturnS > 0 {
		return limits.Seconds(c.operator.IdleReturnS)
	}
	if t := c.fleet.Types[class]; t != nil {
		return limits.Seconds(t.BootS * limits.IdleBoots)
	}
	return limits.MinCharge
}

// returnIdle gives back machines that had nothing to do for a while.
func (c *Core) returnIdle(used map[string]bool) {
	t := c.now.Steady
	for _, m := range c.pool.Sorted() {
		r := c.fleet.Rentals[m.ID]
		if r == nil || m.Deleting || !m.Adopted {
			continue
		}
		// Machines that keep small tasks off scarce ones stay: guards against an
		// incident in which they were returned by the hundred, with the images on
		// them, and rented anew a few seconds later.
		if c.tasksOn(m.ID) > 0 || used[m.ID] || c.reserved[m.ID] || c.keepIdle[m.Class] || c.holdsResults(m) {
			r.Idle = 0
			continue
		}
		if r.Idle == 0 {
			r.Idle = t
		}
		wait := c.idleLimit(m.Class)
		if t-r.Idle > wait && t-r.Since > limits.MinCharge {
			c.returnMachine(m, "idle")
		}
	}
}
