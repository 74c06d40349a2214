package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/limits"
)

// gangStartDemand is the current demand of unfinished gangs that should start within seconds.
type gangStartDemand struct {
	cpus    float64
	images  map[string]bool
	classes map[string]bool
}

// sumGangStartDemand returns the demand of all unfinished gangs that should start within seconds.
func (c *Core) sumGangStartDemand() gangStartDemand {
	demand := gangStartDemand{images: map[string]bool{}, classes: map[string]bool{}}
	for _, job := range c.jobs.OpenJobs {
		if !job.Gang || !job.Active || job.Cancelled || job.Faulty() || c.startWithin(job) <= 0 {
			continue
		}
		demand.cpus += float64(job.Tasks) * job.CPUs
		demand.images[job.Image] = true
		for _, class := range job.Types {
			demand.classes[class] = true
		}
	}
	return demand
}

// reserveForGangs reserves some on-demand machines for gangs that should start within seconds.
// Such gangs have few, small tasks. Most of the time until they start is spent on fetching the
// image, on all their machines at once. If array jobs fill all free machines, each gang is placed
// on machines without its image. On reserved machines, the image is present from the second gang
// on.
func (c *Core) reserveForGangs(machines []*allocation.Machine) {
	if c.now.Steady < c.nextGangReserve {
		return // sorting the machines in every round would take a tenth of a small controller's CPU time
	}
	c.nextGangReserve = c.now.Steady + limits.GangReserveInterval
	demand := c.sumGangStartDemand()
	if demand.cpus == 0 && c.gangDemand == 0 {
		return
	}
	elapsed := float64(c.now.Steady-c.gangDemandAt) / float64(limits.GangDemandHalfLife)
	c.gangDemand = max(demand.cpus, c.gangDemand*math.Exp2(-elapsed))
	c.gangDemandAt = c.now.Steady
	if c.gangDemand < 1 {
		c.gangDemand = 0
		clear(c.gangOnlyMachines)
		return
	}
	totalCPUs, reservedCPUs := 0.0, 0.0
	listedMachines := map[string]bool{}
	for _, machine := range machines {
		totalCPUs += machine.Capacity.CPUs
		listedMachines[machine.ID] = true
		if c.gangOnlyMachines[machine.ID] {
			reservedCPUs += machine.Capacity.CPUs
		}
	}
	maps.DeleteFunc(c.gangOnlyMachines, func(id string, _ bool) bool { return !listedMachines[id] })
	maxCPUs := limits.MaxGangReserveShare * totalCPUs
	wantedCPUs := min(limits.GangReserveFactor*c.gangDemand, maxCPUs)
	if reservedCPUs >= wantedCPUs {
		c.shrinkGangReserve(machines, reservedCPUs, wantedCPUs)
	} else {
		c.growGangReserve(machines, demand, reservedCPUs, wantedCPUs, maxCPUs)
	}
}

// shrinkGangReserve releases idle reserved machines that are not needed.
func (c *Core) shrinkGangReserve(machines []*allocation.Machine, reservedCPUs, wantedCPUs float64) {
	for _, machine := range machines {
		if c.gangOnlyMachines[machine.ID] && !machine.Busy && reservedCPUs-machine.Capacity.CPUs >= wantedCPUs {
			delete(c.gangOnlyMachines, machine.ID)
			machine.GangsOnly = false
			reservedCPUs -= machine.Capacity.CPUs
		}
	}
}

// growGangReserve reserves more machines, preferring machines that have the demanded images,
// then machines with the largest free share of CPUs.
func (c *Core) growGangReserve(machines []*allocation.Machine, demand gangStartDemand, reservedCPUs, wantedCPUs, maxCPUs float64) {
	score := func(machine *allocation.Machine) float64 {
		score := machine.Free.CPUs / machine.Capacity.CPUs
		for image := range demand.images {
			if machine.Images[image] {
				score++
			}
		}
		return score
	}
	var candidates []*allocation.Machine
	for _, machine := range machines {
		if !machine.Spot && !c.gangOnlyMachines[machine.ID] && (demand.classes[machine.Class] || len(demand.classes) == 0) {
			candidates = append(candidates, machine)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *allocation.Machine) int { return cmp.Compare(score(b), score(a)) })
	for _, machine := range candidates {
		if reservedCPUs+machine.Capacity.CPUs > maxCPUs || reservedCPUs >= wantedCPUs {
			return
		}
		c.gangOnlyMachines[machine.ID], machine.GangsOnly = true, true
		reservedCPUs += machine.Capacity.CPUs
	}
}
