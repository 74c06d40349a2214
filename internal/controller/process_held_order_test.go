package controller

import (
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/fleet"
)

// TestProcessesHeldOrder is the story of earlier_orders_test.go with real processes: an owner's order to
// launch a task is held up on its way, the owner is killed, the job's user is told that it is cancelled, and the
// order arrives just after the machine has reported to the next owner. Whatever the answer is, the machine
// hears nothing from then on. The task must be gone cancel_s after its user was told.
//
// On the sources before the mend the machine was renewed by an owner that knew nothing of the
// order: "renewed: true, tasks: 2", then "ran_cancelled at 44.1 s: job-000002/0 on i-000001".
func TestProcessesHeldOrder(t *testing.T) {
	t.Parallel()
	binary := *soakBinary
	if binary == "" {
		binary = buildPresentVersion(t)
	}
	for day := range 2 {
		t.Run(fmt.Sprint(day), func(t *testing.T) {
			t.Parallel()
			playProcessesHeldOrder(t, binary)
		})
	}
}

func playProcessesHeldOrder(t *testing.T, binary string) {
	cfg := soakConfig(1)
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 1}
	c := startProcessCluster(t, cfg, binary, soakNodes)
	c.world.do(func() {
		c.world.w.cached, c.world.w.cloud.never = true, 1e-9
		c.world.w.user("job-000001", spec("red", 1, 1, 500), 500)
	})
	var m *simMachine
	c.waitFor("the first task", func(w *simulation) bool {
		m = w.liveMachine()
		return m != nil && w.starts > 0
	})
	c.waitFor("a report just now", func(w *simulation) bool { return !m.inFlight && w.now-m.lastSent < 200*time.Millisecond })
	var job *simJob
	c.world.do(func() {
		m.mute = true
		c.world.w.setOneWay("orders", m.id, true)
		job = c.world.w.user("job-000002", spec("blue", 1, 1, 500), 500)
	})
	c.waitFor("an order that is held up", func(w *simulation) bool { return len(w.held[[2]string{"orders", m.id}]) > 0 })
	first := c.owner()
	c.kill(first)
	c.world.do(func() {
		for _, n := range c.world.w.nodes {
			if n.label != first.label && !job.cancelAsk {
				c.world.w.callOff(n, []*simJob{job})
			}
		}
	})
	c.waitFor("the cancellation", func(*simulation) bool { return job.told != "" })
	var told time.Duration
	c.world.do(func() { told = c.world.w.now })
	// A renewal from now on lasts for longer than the cancellation has. The machine's own lease goes on for
	// some seconds.
	harmless := time.Duration((cfg.cancel - cfg.lease) * float64(time.Second))
	c.waitFor("a later owner, too late to renew", func(w *simulation) bool {
		return w.now > told+harmless+300*time.Millisecond && c.ownerNow(w) != nil && c.ownerNow(w) != first
	})
	var sent time.Duration
	c.waitFor("a report to it", func(w *simulation) bool {
		if m.inFlight || c.ownerNow(w) == nil {
			return false
		}
		m.checkLease()
		for i, p := range c.processes {
			if p == c.ownerNow(w) {
				m.node = i
			}
		}
		m.mute, sent = false, w.now
		m.report()
		w.setOneWay("orders", m.id, false) // the order arrives
		return true
	})
	c.world.do(func() {
		if task := m.tasks["job-000002/0"]; task == nil || m.session > 1 {
			t.Errorf("the order started nothing (session %d, sent %v): the day shows nothing", m.session, sent)
		}
	})
	c.waitFor("the answer", func(*simulation) bool { return !m.inFlight })
	c.world.do(func() {
		t.Logf("renewed: %t, tasks: %d", m.renewed == sent, len(m.tasks))
		c.world.w.deafen(m.id, true)
		c.world.w.setOneWay("orders", m.id, true)
	})
	c.waitFor("the time that a cancellation has", func(w *simulation) bool {
		return w.now > told+time.Duration((cfg.cancel+1)*float64(time.Second))
	})
	c.mustKeepHistory()
}

// owner is the process that owns the class of machines.
func (c *processCluster) owner() (owner *controllerProcess) {
	c.world.do(func() { owner = c.ownerNow(c.world.w) })
	return owner
}

// ownerNow is the process that the state service names as the owner; nil: none.
func (c *processCluster) ownerNow(w *simulation) *controllerProcess {
	owner, _ := readProcessKey(w, ownerKey)
	for _, p := range c.processes {
		if p.label == owner.Node {
			return p
		}
	}
	return nil
}
