package controller

import (
	"maps"
	"math"
	"sort"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// planFleet rents for the work that fits nowhere and returns what is idle.
func (c *Core) planFleet() {
	if len(c.fleet.Types) == 0 || !c.fleet.Listed {
		return
	}
	c.fleet.RemoveDeadRentals(c.now.Steady-c.lastReport <= c.maxReportGap(), c.reportsResumedAt)
	c.logUsage()
	machines, capacity, unseen := c.availableMachines(true)
	teams := c.teamDemands(true, unseen)
	machines = append(machines, c.bootingMachines()...) // they take their part first
	used := map[string]bool{}
	for _, p := range allocation.Run(teams, machines, capacity, c.largestUnits()) {
		used[p.Machine.ID] = true
	}
	c.returnIdle(used)
	plan := &rentalPlan{counts: map[fleet.Kind]int{}}
	lacking := c.shortfalls(machines)
	for _, team := range teams {
		c.planRentals(plan, team, lacking)
	}
	c.rentForSmallTasks(plan, machines)
	for _, kind := range sortedKinds(plan.counts) {
		for n := plan.counts[kind]; n > 0 && c.fleet.MayRent(kind); n -= limits.RentMost {
			c.fleet.Rent(kind, n)
		}
	}
}

// bootingMachines lists the machines that are on their way, with all their room.
func (c *Core) bootingMachines() []*allocation.Machine {
	var machines []*allocation.Machine
	booting := c.fleet.Booting()
	for _, kind := range sortedKinds(booting) {
		t := c.fleet.Types[kind.Class]
		if _, ours := c.active[kind.Class]; !ours || t == nil {
			continue
		}
		for range booting[kind] {
			machines = append(machines, &allocation.Machine{Class: kind.Class, Zone: kind.Zone, Spot: kind.Spot, Free: size(t)})
		}
	}
	return machines
}

// sortedKinds lists the kinds of machines in a count in a fixed order.
func sortedKinds(counts map[fleet.Kind]int) []fleet.Kind {
	var kinds []fleet.Kind
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Less(kinds[b]) })
	return kinds
}

// planRentals plans machines for a team's units that fit nowhere, within the team's limit.
func (c *Core) planRentals(plan *rentalPlan, team *allocation.Team, lacking map[string]shortfall) {
	total := team.Unknown
	for _, booked := range team.Booked {
		total = total.Add(booked, 1)
	}
	for _, u := range team.Units {
		if j := c.jobs.Open[u.Job]; j == nil || j.Faulty() {
			continue
		}
		plan.firstWithRoom = 0
		if u.Gang {
			whole := (allocation.Resources{}).Add(u.Need, float64(u.Count))
			if withinLimit(team, total, whole) && c.fitGangOnRentals(u, plan) {
				total = total.Add(whole, 1)
			}
		} else {
			total = c.planTasks(plan, team, u, total, lacking[u.Job])
		}
	}
}

// planTasks plans machines for one unit's tasks and returns what the team then uses.
func (c *Core) planTasks(plan *rentalPlan, team *allocation.Team, u *allocation.Unit, total allocation.Resources, lacks shortfall) allocation.Resources {
	for ; u.Count > 0 && withinLimit(team, total, u.Need); u.Count-- {
		if !c.fitOnRentals(u, lacks, plan) {
			if plan.rentedCPUs < lacks.tight {
				plan.refused = append(plan.refused, u)
			}
			break
		}
		total = total.Add(u.Need, 1)
	}
	return total
}

// withinLimit tells whether a team that uses total may use more.
func withinLimit(team *allocation.Team, total, more allocation.Resources) bool {
	return !exceeds(total.CPUs+more.CPUs, team.MaxCPUs) && !exceeds(total.GPUs+more.GPUs, team.MaxGPUs)
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

// rentalPlan is what a look at the fleet wants to rent.
type rentalPlan struct {
	rentals       []*allocation.Machine
	counts        map[fleet.Kind]int
	rentedCPUs    float64 // of all rentals
	firstWithRoom int     // rentals before this one have no room for the unit at hand
	// refused lists units that lack machines of which the cloud has no more.
	refused []*allocation.Unit
}

// scarce lists the classes of which refused units lack machines, and the CPUs that they lack.
func (p *rentalPlan) scarce() (classes map[string]bool, lackedCPUs float64) {
	classes = map[string]bool{}
	for _, u := range p.refused {
		for class := range u.Classes {
			classes[class] = true
		}
		lackedCPUs += float64(u.Count) * u.Need.CPUs
	}
	return classes, lackedCPUs
}

// fit puts a unit on a machine that is planned already, if it has room.
func (p *rentalPlan) fit(u *allocation.Unit) bool {
	for ; p.firstWithRoom < len(p.rentals); p.firstWithRoom++ {
		m := p.rentals[p.firstWithRoom]
		if u.Need.Fits(m.Free) && u.Classes[m.Class] && (!m.Spot || u.Spot) && (u.Zone == "" || u.Zone == m.Zone) {
			m.Free = m.Free.Add(u.Need, -1)
			return true
		}
	}
	return false
}

// add plans one machine more.
func (p *rentalPlan) add(kind fleet.Kind, free allocation.Resources) {
	p.rentals = append(p.rentals, &allocation.Machine{Class: kind.Class, Zone: kind.Zone, Spot: kind.Spot, Free: free})
	p.counts[kind]++
}

// rentForSmallTasks rents machines for work that could leave the classes that the cloud
// has no more of to units that fit nowhere else: small tasks may use classes
// that large ones can't, but found room in a class that both use.
func (c *Core) rentForSmallTasks(plan *rentalPlan, machines []*allocation.Machine) {
	scarce, lacked := plan.scarce()
	clear(c.keepIdle)
	if lacked == 0 {
		return
	}
	for _, class := range c.fleet.Classes() {
		t := c.fleet.Types[class]
		if _, ours := c.active[class]; !ours || scarce[class] {
			continue
		}
		movable := c.movableCPUs(class, scarce, machines)
		for _, zone := range t.Zones {
			kind := fleet.Kind{Class: class, Zone: zone, Spot: true}
			for len(plan.rentals) < limits.RentalsPlanned && min(movable, lacked) >= t.CPUs && c.operator.Spot() && c.fleet.Available(kind) {
				plan.add(kind, allocation.Resources{})
				movable -= t.CPUs
				lacked -= t.CPUs
			}
		}
	}
}

// movableCPUs is how many CPUs of scarce classes are taken by tasks of jobs that may use
// another class as well, beyond the room that this class has. It marks the class as one whose
// idle machines stay, if any job may use it so.
func (c *Core) movableCPUs(class string, scarce map[string]bool, machines []*allocation.Machine) float64 {
	movable := 0.0
	for _, j := range c.jobs.Open {
		if !j.Active || !j.TypeSet[class] || j.Cancelled || !j.Spot {
			continue
		}
		c.keepIdle[class] = true
		for _, a := range j.Assigned {
			if m := c.pool.Machines[a.Machine]; m != nil && scarce[m.Class] {
				movable += j.CPUs
			}
		}
	}
	for _, m := range machines {
		if m.Class == class {
			movable -= m.Free.CPUs
		}
	}
	return movable
}

// fitOnRentals puts a unit on a machine still to be rented, adding the cheapest
// suitable one if the job lacks that much: cheap machines so that it is easily
// in time, dear ones only so that it is in time.
func (c *Core) fitOnRentals(u *allocation.Unit, lacks shortfall, plan *rentalPlan) bool {
	if plan.fit(u) {
		return true
	}
	if len(plan.rentals) >= limits.RentalsPlanned {
		return false
	}
	kind, ok := c.cheapestKind(u, func(spot bool) bool {
		return plan.rentedCPUs < lacks.easy && (spot || !u.Spot || plan.rentedCPUs < lacks.tight)
	})
	if !ok {
		return false
	}
	t := c.fleet.Types[kind.Class]
	plan.add(kind, size(t).Add(u.Need, -1))
	plan.rentedCPUs += t.CPUs
	return true
}

// cheapestKind finds the kind of machine that a unit may use, that the cloud has, and that
// costs least for each of its tasks. may tells whether spot, or ordinary, machines are wanted.
func (c *Core) cheapestKind(u *allocation.Unit, may func(spot bool) bool) (best fleet.Kind, ok bool) {
	cost := 0.0
	for _, class := range c.fleet.Classes() {
		if !u.Classes[class] {
			continue
		}
		t := c.fleet.Types[class]
		tasks := max(1, u.Need.CountIn(size(t)))
		for _, kind := range c.kindsFor(u, t) {
			if !may(kind.Spot) {
				continue
			}
			if price := c.fleet.Price(kind) / float64(tasks); !ok || price < cost {
				best, cost, ok = kind, price, true
			}
		}
	}
	return best, ok
}

// kindsFor lists the kinds of one machine type that a unit may use and that the cloud has not
// refused a moment ago, spot machines of a zone first.
func (c *Core) kindsFor(u *allocation.Unit, t *wire.MachineType) []fleet.Kind {
	var kinds []fleet.Kind
	for _, zone := range t.Zones {
		if u.Zone != "" && u.Zone != zone {
			continue
		}
		spot := fleet.Kind{Class: t.Name, Zone: zone, Spot: true}
		if u.Spot && c.operator.Spot() && c.fleet.Available(spot) {
			kinds = append(kinds, spot)
		}
		if ordinary := (fleet.Kind{Class: t.Name, Zone: zone}); c.fleet.Available(ordinary) {
			kinds = append(kinds, ordinary)
		}
	}
	return kinds
}

// fitGangOnRentals puts a gang on machines still to be rented, all of it or nothing: what there
// is takes a part of it at best. Whatever its deadline, since its tasks wait together.
func (c *Core) fitGangOnRentals(u *allocation.Unit, plan *rentalPlan) bool {
	before, counts, rented := len(plan.rentals), maps.Clone(plan.counts), plan.rentedCPUs
	unit := *u
	always := shortfall{easy: math.Inf(1), tight: math.Inf(1)}
	for range u.Count {
		plan.firstWithRoom = 0
		if !c.fitOnRentals(&unit, always, plan) {
			// What was added has room for others, but nobody asked for it.
			plan.rentals, plan.counts, plan.rentedCPUs = plan.rentals[:before], counts, rented
			return false
		}
		if u.OneZone && unit.Zone == "" && len(plan.rentals) > before {
			unit.Zone = plan.rentals[len(plan.rentals)-1].Zone
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
			c.returnMachine(m, fleet.ReturnIdle)
		}
	}
}
