package controller

// No task starts after any user was told that its job is cancelled. Every simulation checks this with the rule
// start_after_cancel: no controller sends a launch of a task after any controller has sent the answer.
//
// Failure: an owner loses the state service and the other controllers. A user cancels a job at another
// controller and is told at once that it is cancelled. Until its lease ends, the owner goes on launching
// tasks of the job.
//
// Cause: a cancellation was confirmed as soon as it was recorded, whether or not the owner knew of it.

import (
	"fmt"
	"math"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// startAfterCancelScenario is a fault after which an owner may launch tasks of jobs that are cancelled at
// other controllers 0.1 s later.
type startAfterCancelScenario struct {
	name   string
	inject func(sim *simulation, owner *simNode)
	// confirmedWithin bounds the time from the first request to the confirmation. 0: the confirmation may
	// have to wait for the end of the fault.
	confirmedWithin time.Duration
}

// userTimeout is how long users wait for the answer to a cancellation.
const userTimeout = 5 * second

var startAfterCancelScenarios = []startAfterCancelScenario{
	{"no fault", func(*simulation, *simNode) {}, 100 * time.Millisecond},
	{"owner cut off from state service and peers", func(sim *simulation, owner *simNode) { sim.isolateFor(owner, 8*second) }, userTimeout},
	{"the same, then an outage", func(sim *simulation, owner *simNode) {
		sim.isolateFor(owner, 8*second)
		sim.schedule(600*time.Millisecond, func() { sim.failStoreFor(20 * second) })
	}, 0},
	{"the same, orders arrive late", func(sim *simulation, owner *simNode) {
		sim.lateOrderRate = 0.2
		sim.isolateFor(owner, 8*second)
	}, userTimeout},
	{"owner cut off from peers only", func(sim *simulation, owner *simNode) {
		for _, node := range sim.nodes {
			if node != owner {
				sim.cutPeers(owner, node, 30*second)
			}
		}
	}, second},
	{"owner of a version without holds", func(sim *simulation, _ *simNode) { removeHolds(sim) }, 100 * time.Millisecond},
	{"the same, cut off", func(sim *simulation, owner *simNode) {
		removeHolds(sim)
		sim.isolateFor(owner, 8*second)
	}, userTimeout},
	{"owner refused by the state service", func(sim *simulation, owner *simNode) { sim.refuseRequestsOf(owner, 10*second) }, 100 * time.Millisecond},
	{"owner crashes and restarts at once", func(_ *simulation, owner *simNode) { owner.crash(150 * time.Millisecond) }, userTimeout},
	{"owner is paused", func(_ *simulation, owner *simNode) { owner.pause(6 * second) }, userTimeout},
	{"owner hands over", func(sim *simulation, owner *simNode) { sim.cutWorkers(owner, sim.now+20*second) }, userTimeout},
	{"outage, a peer restarts", func(sim *simulation, owner *simNode) {
		sim.schedule(150*time.Millisecond, func() { sim.failStoreFor(20 * second) })
		sim.schedule(500*time.Millisecond, func() { sim.peerOf(owner).crash(100 * time.Millisecond) })
	}, 0},
}

// removeHolds makes peers behave like versions that hold no launches, and do not publish what they have read.
func removeHolds(sim *simulation) {
	sent := map[*PeerMessage][]string{} // the holds that the peers don't see, for the replies
	sim.filterPeerMessage = func(_ *simNode, message *PeerMessage, answer *PeerAnswer) bool {
		if answer == nil {
			sent[message], message.HoldLaunches = message.HoldLaunches, nil
			return true
		}
		message.HoldLaunches, answer.Holder = sent[message], 0
		delete(sent, message)
		return true
	}
	sim.injectFault = func(c *Core) { c.jobs.RecordPublished(math.MaxUint64) }
}

// waitingJobs returns the unfinished jobs, in the order of their IDs.
func (sim *simulation) waitingJobs() (list []*simJob) {
	for _, id := range sortedKeys(sim.jobs) {
		if job := sim.jobs[id]; job.accepted && job.doneCount < job.taskCount {
			list = append(list, job)
		}
	}
	return list
}

// runStartAfterCancel plays a scenario with arrays of short tasks and gangs, of which some run and others wait,
// and returns the longest time from the first request to cancel a job to its answer. All nodes but the
// owner are asked to cancel, and users query and submit again at all nodes.
func runStartAfterCancel(seed uint64, scenario startAfterCancelScenario, disableGuard func(*simulation)) (sim *simulation, longestWait time.Duration) {
	cfg := singleTypeConfig()
	cfg.writeRPS = 300 // no cancellation waits for the write budget
	sim = newSimulation(seed, cfg)
	sim.queryAllNodes, sim.imagesCached = true, true
	for i := range 6 {
		sim.submitJob(fmt.Sprintf("job-1%05d", i), batchSpec("blue", 3000, 1, 1), 1)
		sim.submitJob(fmt.Sprintf("job-2%05d", i), newGangSubmission("blue", 4, 8, 60), 60)
	}
	sim.run(30 * second)
	if disableGuard != nil {
		disableGuard(sim)
	}
	owner := sim.owner()
	scenario.inject(sim, owner)
	sim.run(sim.now + 100*time.Millisecond)
	requested := map[*simJob]time.Duration{}
	for _, job := range sim.waitingJobs() {
		requested[job] = sim.now
		for _, node := range sim.nodes {
			if node != owner {
				sim.cancelJobs(node, []*simJob{job})
			}
		}
	}
	for len(requested) > 0 && sim.now < 90*second {
		sim.run(sim.now + 10*time.Millisecond)
		for job, at := range requested {
			if job.reportedState != "" {
				longestWait = max(longestWait, sim.now-at)
				delete(requested, job)
			}
		}
	}
	sim.lateOrderRate = 0
	sim.faultsEndedAt = sim.now
	sim.run(sim.now + 60*second)
	if len(requested) > 0 {
		sim.reportViolation("unconfirmed", "%d cancellations", len(requested))
	}
	return sim, longestWait
}

// TestNoTaskStartsAfterConfirmedCancellation checks that no owner launches tasks of a job after a user was told
// of its cancellation, and that the user is told in time: the user must not have to ask again only because
// the owner is out of reach.
func TestNoTaskStartsAfterConfirmedCancellation(t *testing.T) {
	for _, scenario := range startAfterCancelScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 8; seed++ {
				sim, longestWait := runStartAfterCancel(seed, scenario, nil)
				sim.mustKeepRules(t)
				if scenario.confirmedWithin > 0 && longestWait > scenario.confirmedWithin {
					t.Errorf("seed %d: a cancellation was confirmed after %v", seed, longestWait)
				}
			}
		})
	}
}

// TestUnreachableOwnerMustNotCountAsInformed checks that the scenarios can fail: if peers take every message
// about a cancellation for answered, an owner that is cut off launches cancelled tasks.
func TestUnreachableOwnerMustNotCountAsInformed(t *testing.T) {
	acknowledgeEverything := func(sim *simulation) {
		sim.filterPeerMessage = func(_ *simNode, message *PeerMessage, answer *PeerAnswer) bool {
			if answer != nil && len(message.Cancelled) > 0 {
				answer.Yes = true
			}
			return true
		}
	}
	for seed := uint64(1); seed <= 8; seed++ {
		sim, _ := runStartAfterCancel(seed, startAfterCancelScenarios[1], acknowledgeEverything)
		if len(sim.violations) > 0 {
			return
		}
	}
	t.Error("no seed broke the rule start_after_cancel")
}

// TestHeldLaunchesResume checks that a job whose cancellation was announced but never recorded goes on once
// the owner knows that it was not recorded in time.
func TestHeldLaunchesResume(t *testing.T) {
	sim := newSimulation(1, singleTypeConfig())
	job := sim.submitJob("job-000001", batchSpec("blue", 2000, 1, 1), 1)
	sim.run(30 * second)
	owner := sim.owner()
	owner.request(func(ref uint64) Input {
		return PeerRequest{ref, PeerMessage{From: sim.peerOf(owner).label, HoldLaunches: []string{job.id}}}
	}, func(int, []byte) {})
	launches := 0
	sim.observe = func(_ *simNode, out []Output) {
		for _, output := range out {
			if answer, ok := output.(Answer); ok {
				if reply, ok := answer.Body.(wire.HeartbeatReply); ok && len(reply.Commands) > 0 && reply.Commands[0].Verb == wire.VerbLaunch {
					launches++
				}
			}
			if order, ok := output.(DirectCall); ok && len(order.Body.Commands) > 0 {
				launches++
			}
		}
	}
	sim.run(sim.now + limits.LaunchHold)
	if launches > 0 {
		t.Errorf("%d messages launch tasks of a job whose launches are held", launches)
	}
	sim.run(sim.now + 2*limits.WatchHold)
	if launches == 0 {
		t.Error("the launches did not resume")
	}
}
