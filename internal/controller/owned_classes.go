package controller

import (
	"log/slog"
	"maps"
	"slices"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
)

// divideBudget divides the budget of the state service: an owner writes more than the
// others, who only take in what users ask.
func (c *Core) divideBudget() {
	owners := c.ownership.Owners()
	n := float64(len(c.settings.Others) + 1)
	if len(owners) == 0 {
		c.store.SetShare(1/n, 1/n)
		return
	}
	part := func(weight float64) float64 {
		of := func(name string) float64 {
			if owners[name] {
				return weight
			}
			return 1
		}
		sum := of(c.settings.Label)
		for _, p := range c.settings.Others {
			sum += of(p.Label)
		}
		return of(c.settings.Label) / sum
	}
	c.store.SetShare(part(limits.OwnerWeight), part(limits.OwnerWrites))
}

// demand tells which classes each team's unfinished jobs may use. A cancelled
// job counts until none of its tasks is left: it still takes of the limit.
func (c *Core) demand() ownership.Demand {
	d := ownership.Demand{}
	for _, j := range c.jobs.Open {
		set := d[j.Team]
		if set == nil {
			set = map[string]bool{}
			d[j.Team] = set
		}
		for _, class := range j.Types {
			set[class] = true
		}
	}
	return d
}

// followClaims starts and ends acting for classes.
func (c *Core) followClaims() {
	claims := c.ownership.Claims()
	for _, class := range slices.Sorted(maps.Keys(c.active)) {
		if cl := claims[class]; cl == nil || cl.Term != c.active[class] {
			delete(c.active, class)
			c.leaveClass(class)
			c.machineTable.Forget(class)
			c.jobs.DropPending(class)
			clear(c.recordRequested)
			c.fleetChanged = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(claims)) {
		cl := claims[class]
		if _, ok := c.active[class]; ok {
			continue
		}
		c.active[class] = cl.Term
		c.resolving[class] = true
		c.dirty, c.jobsChanged, c.fleetChanged = true, true, true
		c.toldCounts = nil
		for id, e := range c.machineRecords {
			if e.Class == class {
				if e.Up {
					c.pool.Expect(id, e.Class, e.Zone, e.Spot, cl.Since).Address = e.Address
				}
				if r := c.fleet.Track(id, fleet.Kind{Class: e.Class, Zone: e.Zone, Spot: e.Spot}, c.now.Steady-c.age(float64(e.At))); r != nil {
					r.WasUp = e.Up
				}
			}
		}
	}
}

func (c *Core) leaveClass(class string) {
	for _, m := range c.pool.Sorted() {
		if m.Class == class {
			c.refuseHeldReport(m.ID)
			c.clearMachine(m.ID)
			c.pool.Drop(m.ID)
		}
	}
	for id, r := range c.fleet.Rentals {
		if r.Kind.Class == class {
			delete(c.fleet.Rentals, id)
		}
	}
	c.dirty, c.jobsChanged = true, true
}

// clearMachine takes all places on a machine away.
func (c *Core) clearMachine(id string) {
	if h := c.loads[id]; h != nil {
		for _, task := range h.taskIDs() {
			c.unassign(h.tasks[task].job, h.tasks[task].task)
		}
		delete(c.loads, id)
	}
	c.dirty, c.jobsChanged = true, true
}

// updateActiveJobs marks the jobs whose classes we all own. A job that an earlier
// owner may have launched is frozen until every recorded machine that
// could run it is resolved.
func (c *Core) updateActiveJobs() {
	if !c.jobsChanged {
		return
	}
	c.jobsChanged = false
	unresolved := map[string]bool{}
	for id, m := range c.pool.Machines {
		if c.machineRecords[id].Up && !m.Resolved() {
			unresolved[m.Class] = true
		}
	}
	for _, j := range c.jobs.Open {
		if !c.updateActive(j, unresolved) {
			continue
		}
		c.sortStale = true
		if j.Launched() {
			c.round = nil // what may run unseen has changed
		}
	}
	for _, class := range slices.Sorted(maps.Keys(c.resolving)) {
		if !unresolved[class] {
			delete(c.resolving, class)
			c.log(slog.LevelInfo, "every machine of the class accounted for", "class", class, "term", c.active[class])
		}
	}
}

// updateActive tells whether a job's Active or Frozen has changed.
func (c *Core) updateActive(j *jobs.Job, unresolved map[string]bool) bool {
	wasActive, wasFrozen := j.Active, j.Frozen
	j.Active = len(j.Types) > 0
	for _, class := range j.Types {
		if _, ours := c.active[class]; !ours {
			j.Active = false
		}
	}
	if j.Active && !wasActive {
		j.Frozen = j.Launched()
		j.Prepared = false
		j.GangRun = jobs.GangRun{}
	}
	if j.Active && j.Frozen {
		j.Frozen = slices.ContainsFunc(j.Types, func(class string) bool { return unresolved[class] })
	}
	return j.Active != wasActive || j.Frozen != wasFrozen
}

// machineGone is told when a deletion was answered with 200.
func (c *Core) machineGone(id string) {
	c.clearMachine(id)
	c.pool.Drop(id)
	c.dirty, c.jobsChanged, c.fleetChanged = true, true, true
}
