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

// runProcessesHeldOrder checks the case described at TestProcessesHeldOrderStartsNoCancelledTask on a new
// cluster of processes.
func runProcessesHeldOrder(t *testing.T, binary string) {
	cfg := soakConfig(1)
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 1}
	cluster := startProcessCluster(t, cfg, binary, soakNodeCount)
	cluster.live.do(func() {
		cluster.live.sim.imagesCached, cluster.live.sim.cloud.bootFailureRate = true, 1e-9
		cluster.live.sim.submitJob("job-000001", batchSpec("red", 1, 1, 500), 500)
	})
	var machine *simMachine
	cluster.waitFor("the first task", func(sim *simulation) bool {
		machine = sim.randomLiveMachine()
		return machine != nil && sim.taskStarts > 0
	})
	cluster.waitFor("a heartbeat in the last 200 ms", func(sim *simulation) bool {
		return !machine.inFlight && sim.now-machine.lastHeartbeatAt < 200*time.Millisecond
	})
	var job *simJob
	cluster.live.do(func() {
		machine.heartbeatsLost = true
		cluster.live.sim.setOneWayCut("orders", machine.id, true)
		job = cluster.live.sim.submitJob("job-000002", batchSpec("blue", 1, 1, 500), 500)
	})
	cluster.waitFor("a delayed order", func(sim *simulation) bool { return len(sim.heldMessages[[2]string{"orders", machine.id}]) > 0 })
	firstOwner := cluster.owner()
	cluster.kill(firstOwner)
	cluster.live.do(func() {
		for _, node := range cluster.live.sim.nodes {
			if node.label != firstOwner.label && !job.cancelRequested {
				cluster.live.sim.cancelJobs(node, []*simJob{job})
			}
		}
	})
	cluster.waitFor("the cancellation", func(*simulation) bool { return job.reportedState != "" })
	var confirmedAt time.Duration
	cluster.live.do(func() { confirmedAt = cluster.live.sim.now })
	// safeRenewalWindow is the time after the confirmation in which the lease may be renewed so that it
	// still ends before the time limit for stopping cancelled tasks. When the window is over, the
	// machine's current lease is still valid for some seconds.
	safeRenewalWindow := time.Duration((cfg.cancelS - cfg.leaseS) * float64(time.Second))
	cluster.waitFor("a later owner, after the window for safe renewals", func(sim *simulation) bool {
		return sim.now > confirmedAt+safeRenewalWindow+300*time.Millisecond && cluster.ownerIn(sim) != nil && cluster.ownerIn(sim) != firstOwner
	})
	var sentAt time.Duration
	cluster.waitFor("a heartbeat to the later owner", func(sim *simulation) bool {
		if machine.inFlight || cluster.ownerIn(sim) == nil {
			return false
		}
		machine.checkLease()
		for i, process := range cluster.processes {
			if process == cluster.ownerIn(sim) {
				machine.nodeIndex = i
			}
		}
		machine.heartbeatsLost, sentAt = false, sim.now
		machine.sendHeartbeat()
		sim.setOneWayCut("orders", machine.id, false) // the delayed order arrives
		return true
	})
	cluster.live.do(func() {
		if task := machine.tasks["job-000002/0"]; task == nil || machine.incarnation > 1 {
			t.Errorf("the delayed order started no task (incarnation %d, heartbeat sent at %v), so the test checks nothing", machine.incarnation, sentAt)
		}
	})
	cluster.waitFor("the answer", func(*simulation) bool { return !machine.inFlight })
	cluster.live.do(func() {
		t.Logf("renewed: %t, tasks: %d", machine.renewedAt == sentAt, len(machine.tasks))
		cluster.live.sim.setInboundCut(machine.id, true)
		cluster.live.sim.setOneWayCut("orders", machine.id, true)
	})
	cluster.waitFor("the time limit for stopping cancelled tasks", func(sim *simulation) bool {
		return sim.now > confirmedAt+time.Duration((cfg.cancelS+1)*float64(time.Second))
	})
	cluster.checkHistory()
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
