package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/limits"
)

// gangDemandAsked is what gangs that should start within seconds ask for now.
type gangDemandAsked struct {
	cpus    float64
	images  map[string]bool
	classes map[string]bool
}

// gangsToStartSoon sums up the gangs that should start within seconds.
func (c *Core) gangsToStartSoon() gangDemandAsked {
	asked := gangDemandAsked{images: map[string]bool{}, classes: map[string]bool{}}
	for _, j := range c.jobs.Open {
		if !j.Gang || !j.Active || j.Cancelled || j.Faulty() || c.startWithin(j) <= 0 {
			continue
		}
		asked.cpus += float64(j.Tasks) * j.CPUs
		asked.images[j.Image] = true
		for _, class := range j.Types {
			asked.classes[class] = true
		}
	}
	return asked
}

// reserveForGangs leaves some ordinary machines to gangs that should start within seconds.
// Their tasks are few and small, and the time goes into fetching images, on all their machines
// at once: where arrays fill whatever is free, each gang comes to machines that lack its
// image. On machines of their own it is there from the second gang on.
func (c *Core) reserveForGangs(machines []*allocation.Machine) {
	if c.now.Steady < c.nextReserve {
		return // sorting the machines at every look would cost a tenth of a small share
	}
	c.nextReserve = c.now.Steady + limits.GangReserveInterval
	asked := c.gangsToStartSoon()
	if asked.cpus == 0 && c.gangDemand == 0 {
		return
	}
	elapsed := float64(c.now.Steady-c.gangDemandAt) / float64(limits.GangDemandHalfLife)
	c.gangDemand = max(asked.cpus, c.gangDemand*math.Exp2(-elapsed))
	c.gangDemandAt = c.now.Steady
	if c.gangDemand < 1 {
		c.gangDemand = 0
		clear(c.reserved)
		return
	}
	all, reserved := 0.0, 0.0
	present := map[string]bool{}
	for _, m := range machines {
		all += m.Size.CPUs
		present[m.ID] = true
		if c.reserved[m.ID] {
			reserved += m.Size.CPUs
		}
	}
	maps.DeleteFunc(c.reserved, func(id string, _ bool) bool { return !present[id] })
	most := limits.GangReserveMost * all
	want := min(limits.GangReserveFactor*c.gangDemand, most)
	if reserved >= want {
		c.shrinkGangReserve(machines, reserved, want)
	} else {
		c.growGangReserve(machines, asked, reserved, want, most)
	}
}

// shrinkGangReserve gives back the machines that are not needed, empty of gangs first.
func (c *Core) shrinkGangReserve(machines []*allocation.Machine, reserved, want float64) {
	for _, m := range machines {
		if c.reserved[m.ID] && !m.Busy && reserved-m.Size.CPUs >= want {
			delete(c.reserved, m.ID)
			m.GangsOnly = false
			reserved -= m.Size.CPUs
		}
	}
}

// growGangReserve adds machines that have the images first, then those with most room.
func (c *Core) growGangReserve(machines []*allocation.Machine, asked gangDemandAsked, reserved, want, most float64) {
	score := func(m *allocation.Machine) float64 {
		score := m.Free.CPUs / m.Size.CPUs
		for image := range asked.images {
			if m.Images[image] {
				score++
			}
		}
		return score
	}
	var list []*allocation.Machine
	for _, m := range machines {
		if !m.Spot && !c.reserved[m.ID] && (asked.classes[m.Class] || len(asked.classes) == 0) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *allocation.Machine) int { return cmp.Compare(score(b), score(a)) })
	for _, m := range list {
		if reserved+m.Size.CPUs > most || reserved >= want {
			return
		}
		c.reserved[m.ID], m.GangsOnly = true, true
		reserved += m.Size.CPUs
	}
}
