package controller

import (
	"fmt"
	"testing"
	"time"
)

// TestRestartedSuccessorDoesNotExtendDeposedOwner checks that a deposed owner does not act again
// because peers that have not read the current records grant it extensions. An owner loses the
// state service and its peers, and a successor takes over while the process of the third controller
// is paused. Then the state service fails for all controllers, the successor crashes and restarts
// at once, and the deposed owner reaches its peers again. The class now belongs to the successor
// under a later term, and tasks that the successor launched may be running.
func TestRestartedSuccessorDoesNotExtendDeposedOwner(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := newSimulation(seed, singleTypeConfig())
		sim.submitJob("job-000001", batchSpec("red", 4, 2, 300), 300)
		sim.run(warmup)
		deposedOwner := sim.owner()
		term := deposedOwner.core.ownership.Terms()["small"]
		sim.isolateFor(deposedOwner, 14*second)
		sim.peerOf(deposedOwner).pause(16 * second)
		sim.run(warmup + 10*second)
		successor := sim.owner()
		if successor == nil || successor == deposedOwner {
			t.Fatalf("seed %d: no controller took over", seed)
		}
		sim.failStoreFor(60 * second)
		successor.crash(400 * time.Millisecond)
		for end := sim.now + 20*second; sim.now < end; {
			sim.run(sim.now + 100*time.Millisecond)
			held := deposedOwner.core.ownership.Terms()["small"] == term
			if held && deposedOwner.core.ownership.MayAnswer() {
				t.Errorf("seed %d: at %.1f s the deposed owner acts under term %d although the class is held under term %d",
					seed, sim.now.Seconds(), term, sim.store.records[ownerKey].version)
				break
			}
		}
	}
}

// TestOwnerResumesWhenPeerReturnsInOutage verifies that the owner acts again soon after a peer returns
// during an outage of the state service. The peer crashes and restarts within two seconds, or it is
// paused or cannot be reached by the owner for 6 s. In no case can the peer have taken over from the
// owner meanwhile.
func TestOwnerResumesWhenPeerReturnsInOutage(t *testing.T) {
	for name, absence := range map[string]struct {
		duration time.Duration
		inject   func(sim *simulation, owner, peer *simNode, d time.Duration)
	}{
		"ends, back at once":       {100 * time.Millisecond, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.crash(d) }},
		"ends, back within 1.5 s":  {1500 * time.Millisecond, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.crash(d) }},
		"stands still":             {6 * second, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.pause(d) }},
		"out of the owner's reach": {6 * second, func(sim *simulation, owner, peer *simNode, d time.Duration) { sim.cutPeers(owner, peer, d) }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				sim := newSimulation(seed, singleTypeConfig())
				sim.submitJob("job-000001", batchSpec("red", 4, 2, 300), 300)
				sim.run(warmup)
				owner := sim.owner()
				sim.failStoreFor(60 * second)
				sim.run(sim.now + sim.randomDuration(3, 5))
				absence.inject(sim, owner, sim.peerOf(owner), absence.duration)
				sim.run(sim.now + absence.duration + 1500*time.Millisecond)
				for end := warmup + 16*second; sim.now < end; sim.run(sim.now + 100*time.Millisecond) {
					if !owner.core.ownership.MayAnswer() {
						t.Errorf("seed %d: the owner does not act %.1f s after the outage began", seed, (sim.now - warmup).Seconds())
						break
					}
				}
			}
		})
	}
}

// cutPeers cuts two controllers off from each other for a duration.
func (sim *simulation) cutPeers(a, b *simNode, d time.Duration) {
	sim.setLinkCut(a.label, b.label, true)
	sim.schedule(d, func() { sim.setLinkCut(a.label, b.label, false) })
}

// TestNoControllerActsUnderEarlierTerm verifies that once a controller has acted under a term, no
// controller acts under an earlier one. At random, controllers crash, are paused, and are cut off from
// the state service and from each other, and the state service fails for all of them.
func TestNoControllerActsUnderEarlierTerm(t *testing.T) {
	for seed := uint64(235); seed <= 284; seed++ { // seeds 239, 241, 245, 281 and 283 fail if an extension counts without a check of the peer's uptime
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := simulateControllerFaults(seed)
			var newestTerm uint64
			for sim.now < 200*second && len(sim.violations) == 0 {
				sim.run(sim.now + 50*time.Millisecond)
				for _, node := range sim.nodes {
					term := node.actingTerm("small")
					if term > 0 && term < newestTerm {
						t.Fatalf("at %.2f s %s acts under term %d after %d", sim.now.Seconds(), node.label, term, newestTerm)
					}
					newestTerm = max(newestTerm, term)
				}
			}
			sim.mustKeepRules(t)
		})
	}
}

// simulateControllerFaults runs a simulation for 30 s and schedules random faults of its controllers.
// All faults begin before 180 s; some end later.
func simulateControllerFaults(seed uint64) *simulation {
	cfg := singleTypeConfig()
	cfg.nodeCount = []int{5, 3}[seed%2]
	sim := newSimulation(seed, cfg)
	sim.submitJob("job-000001", batchSpec("red", 4, 2, 300), 300)
	if seed%3 == 0 {
		sim.store.delayedTxnRate, sim.store.lostReplyRate = 0.1, 0.1
	}
	sim.run(30 * second)
	for at := sim.randomDuration(0, 4); at < 150*second; at += sim.randomDuration(0.3, 8) {
		sim.schedule(at, func() {
			node, peer := sim.nodes[sim.rng.IntN(len(sim.nodes))], sim.nodes[sim.rng.IntN(len(sim.nodes))]
			if owner := sim.owner(); owner != nil && sim.chance(0.4) {
				node = owner
			}
			sim.injectControllerFault(node, peer)
		})
	}
	return sim
}

// injectControllerFault injects a random fault into node. The fault may also be a cut between node and
// peer, or an outage of the state service for all controllers.
func (sim *simulation) injectControllerFault(node, peer *simNode) {
	switch sim.rng.IntN(8) {
	case 0, 1, 2:
		node.crash(sim.randomDuration(0.05, 6))
	case 3:
		sim.isolateFor(node, sim.randomDuration(2, 15))
	case 4:
		node.pause(sim.randomDuration(1, 12))
	case 5:
		sim.refuseRequestsOf(node, sim.randomDuration(2, 12))
	case 6:
		if !sim.store.outage {
			sim.failStoreFor(sim.randomDuration(3, 25))
		}
	case 7:
		if node != peer {
			sim.cutPeers(node, peer, sim.randomDuration(1, 10))
		}
	}
}

// actingTerm returns the term under which the controller currently acts for a class, or 0 if the
// controller does not act for the class.
func (n *simNode) actingTerm(class string) uint64 {
	if n.core == nil || n.pausedUntil > n.sim.now {
		return 0
	}
	n.core.ownership.Advance(n.clock().Steady)
	if !n.core.ownership.MayAnswer() {
		return 0
	}
	return n.core.activeTerms[class]
}
