package controller

import (
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/fleet"
)

// TestProcessesHeldOrderStartsNoCancelledTask runs the case of earlier_orders_test.go with real processes.
// An owner's direct order to launch a task is delayed in the network and the owner is killed. The job is
// then cancelled, and the cancellation is confirmed to its user. The order arrives just after the machine
// has sent a heartbeat to the next owner. After the answer to this heartbeat, whether or not it renews the
// lease, the machine receives no more messages. The task must have ended cancel_s after the confirmation.
//
// If an owner without a record of the order renews the machine's lease, the test logs "renewed: true,
// tasks: 2" and fails with "ran_cancelled at 44.1 s: job-000002/0 on i-000001".
func TestProcessesHeldOrderStartsNoCancelledTask(t *testing.T) {
	t.Parallel()
	binary := *soakBinary
	if binary == "" {
		binary = buildCurrentVersion(t)
	}
	for repetition := range 2 {
		t.Run(fmt.Sprint(repetition), func(t *testing.T) {
			t.Parallel()
			runProcessesHeldOrder(t, binary)
		})
	}
}

// runProcessesHeldOrder runs TestProcessesHeldOrderStartsNoCancelledTask once.
func runProcessesHeldOrder(t *testing.T, binary string) {
	cfg := soakConfig(1)
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 1}
	c := startProcessCluster(t, cfg, binary, soakNodes)
	c.live.do(func() {
		c.live.sim.imagesCached, c.live.sim.cloud.bootFailures = true, 1e-9
		c.live.sim.submitJob("job-000001", batchSpec("red", 1, 1, 500), 500)
	})
	var machine *simMachine
	c.waitFor("the first task", func(sim *simulation) bool {
		machine = sim.randomLiveMachine()
		return machine != nil && sim.taskStarts > 0
	})
	c.waitFor("a heartbeat in the last 200 ms", func(sim *simulation) bool {
		return !machine.inFlight && sim.now-machine.lastHeartbeatAt < 200*time.Millisecond
	})
	var job *simJob
	c.live.do(func() {
		machine.heartbeatsLost = true
		c.live.sim.setOneWayCut("orders", machine.id, true)
		job = c.live.sim.submitJob("job-000002", batchSpec("blue", 1, 1, 500), 500)
	})
	c.waitFor("a delayed order", func(sim *simulation) bool { return len(sim.heldMessages[[2]string{"orders", machine.id}]) > 0 })
	firstOwner := c.owner()
	c.kill(firstOwner)
	c.live.do(func() {
		for _, node := range c.live.sim.nodes {
			if node.label != firstOwner.label && !job.cancelRequested {
				c.live.sim.cancelJobs(node, []*simJob{job})
			}
		}
	})
	c.waitFor("the cancellation", func(*simulation) bool { return job.reportedState != "" })
	var confirmedAt time.Duration
	c.live.do(func() { confirmedAt = c.live.sim.now })
	// A lease that is renewed later than this after the confirmation outlasts the time limit for stopping
	// cancelled tasks. When this time is over, the machine's current lease is still valid for some seconds.
	safeRenewalWindow := time.Duration((cfg.cancelS - cfg.leaseS) * float64(time.Second))
	c.waitFor("a later owner, after the window for safe renewals", func(sim *simulation) bool {
		return sim.now > confirmedAt+safeRenewalWindow+300*time.Millisecond && c.ownerIn(sim) != nil && c.ownerIn(sim) != firstOwner
	})
	var sentAt time.Duration
	c.waitFor("a heartbeat to the later owner", func(sim *simulation) bool {
		if machine.inFlight || c.ownerIn(sim) == nil {
			return false
		}
		machine.checkLease()
		for i, process := range c.processes {
			if process == c.ownerIn(sim) {
				machine.nodeIndex = i
			}
		}
		machine.heartbeatsLost, sentAt = false, sim.now
		machine.sendHeartbeat()
		sim.setOneWayCut("orders", machine.id, false) // the delayed order arrives
		return true
	})
	c.live.do(func() {
		if task := machine.tasks["job-000002/0"]; task == nil || machine.incarnation > 1 {
			t.Errorf("the delayed order started no task (incarnation %d, heartbeat sent at %v), so the test checks nothing", machine.incarnation, sentAt)
		}
	})
	c.waitFor("the answer", func(*simulation) bool { return !machine.inFlight })
	c.live.do(func() {
		t.Logf("renewed: %t, tasks: %d", machine.renewedAt == sentAt, len(machine.tasks))
		c.live.sim.setInboundCut(machine.id, true)
		c.live.sim.setOneWayCut("orders", machine.id, true)
	})
	c.waitFor("the time limit for stopping cancelled tasks", func(sim *simulation) bool {
		return sim.now > confirmedAt+time.Duration((cfg.cancelS+1)*float64(time.Second))
	})
	c.checkHistory()
}

// owner returns the process that owns the machine class, or nil if none does.
func (c *processCluster) owner() (owner *controllerProcess) {
	c.live.do(func() { owner = c.ownerIn(c.live.sim) })
	return owner
}

// ownerIn returns the process that is recorded as the owner in a simulation's state service, or nil if none
// is.
func (c *processCluster) ownerIn(sim *simulation) *controllerProcess {
	owner, _ := readProcessIdentity(sim, ownerKey)
	for _, p := range c.processes {
		if p.label == owner.Node {
			return p
		}
	}
	return nil
}
