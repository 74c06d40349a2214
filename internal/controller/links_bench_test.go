package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"umberpaddle/internal/reachability"
)

// linkLossCase is one way to cut the owner off from a dependency, with the condition under which the owner
// has detected the loss.
type linkLossCase struct {
	name     string
	setCut   func(sim *simulation, owner *simNode, cut bool)
	detected func(owner *simNode) bool
}

// linkLossCases are the cases that BenchmarkCutToNotice measures.
var linkLossCases = []linkLossCase{
	{name: "state", setCut: func(sim *simulation, owner *simNode, cut bool) { sim.setLinkCut(owner.label, "state", cut) }, detected: stateLost},
	{name: "state-answers", setCut: func(sim *simulation, owner *simNode, cut bool) { sim.setOneWayCut("state", owner.label, cut) }, detected: stateLost},
	{name: "workers", setCut: setWorkersCut, detected: func(owner *simNode) bool {
		_, workers := owner.lossExtents()
		return workers != reachability.Intact
	}},
}

// stateLost reports whether the owner has detected the loss of the state service.
func stateLost(owner *simNode) bool {
	state, _ := owner.lossExtents()
	return state != reachability.Intact
}

// BenchmarkCutToNotice measures, in simulated seconds, how long the owner of a fleet takes to detect the
// loss of a dependency. Each iteration is a new simulated run. Run it with -benchtime 30x.
func BenchmarkCutToNotice(b *testing.B) {
	for _, lossCase := range linkLossCases {
		for _, nodes := range []int{3, 5} {
			for _, machines := range []int{800, 4000} {
				b.Run(fmt.Sprintf("%s/%d/%d", lossCase.name, nodes, machines), func(b *testing.B) {
					var delays []time.Duration
					for i := range b.N {
						if delay := timeToDetect(lossCase, nodes, machines, uint64(i+1)); delay > 0 {
							delays = append(delays, delay)
						}
					}
					b.ReportMetric(float64(b.N-len(delays)), "unnoticed")
					if len(delays) > 0 {
						slices.Sort(delays)
						b.ReportMetric(delays[len(delays)/2].Seconds(), "s-median")
						b.ReportMetric(delays[len(delays)-1].Seconds(), "s-longest")
					}
				})
			}
		}
	}
}

// timeToDetect returns the time from the cut until the owner detects the loss, or 0 if it does not within
// half a minute.
func timeToDetect(lossCase linkLossCase, nodeCount, machineCount int, seed uint64) time.Duration {
	sim := newLargeFleet(nodeCount, machineCount, true, seed)
	sim.run(45*second + sim.randomDuration(0, 5))
	owner := sim.owner()
	if owner == nil {
		return 0
	}
	lossCase.setCut(sim, owner, true)
	return sim.runUntil(50*time.Millisecond, 30*second, func() bool { return lossCase.detected(owner) })
}

// BenchmarkFalseSuspicions measures how often, per hour and link, a controller considers a link failed
// during simulated runs of five minutes without faults. In the second of two cases the state service
// delays 4% of its answers by up to 1.2 s.
func BenchmarkFalseSuspicions(b *testing.B) {
	for _, delayedRate := range []float64{0, 0.04} {
		b.Run(fmt.Sprintf("held-%.2f", delayedRate), func(b *testing.B) {
			failures, hours := 0, 0.0
			for i := range b.N {
				sim := newSimulation(uint64(i+1), linkMonitoringConfig(3))
				sim.store.delayedReplyRate = delayedRate
				submitRandomJobs(sim, 80, 250*second)
				sim.run(300 * second)
				for _, n := range sim.nodes {
					for _, status := range n.core.linkMonitor.monitor.View("", 0).Links {
						failures += status.Changes
						hours += 300.0 / 3600
					}
				}
			}
			b.ReportMetric(float64(failures)/hours, "failures/link-hour")
		})
	}
}
