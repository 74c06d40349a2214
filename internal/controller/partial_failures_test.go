package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/wire"
)

// forEachClusterSize runs a test with three and with five controllers, for each seed from 1 to seeds.
func forEachClusterSize(t *testing.T, seeds uint64, test func(t *testing.T, cfg simConfig, seed uint64)) {
	for _, nodes := range []int{3, 5} {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
				t.Parallel()
				cfg := standardConfig()
				cfg.nodeCount = nodes
				test(t, cfg, seed)
			})
		}
	}
}

// submitLongJobs submits n jobs whose tasks run for 90 s.
func submitLongJobs(sim *simulation, n int) {
	for i := 0; i < n; i++ {
		sim.submitJob(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 8, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": 90.0}, 90)
	}
}

// owner returns a controller that owns a class and may launch tasks, or nil.
func (sim *simulation) owner() *simNode {
	for _, n := range sim.nodes {
		if n.core != nil && len(n.core.activeTerms) > 0 && n.core.ownership.MayLaunch() {
			return n
		}
	}
	return nil
}

// TestInboundMessageLossDoesNotBlockTakeover checks that a new owner does not wait forever for a
// machine whose heartbeats arrive but which receives no more answers or orders. The old owner
// crashes while the cloud is unreachable, and all jobs must still finish. The test must detect a
// core that assumes that its answers were received.
func TestInboundMessageLossDoesNotBlockTakeover(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, unresolvedClasses int) {
		sim = newSimulation(seed, cfg)
		sim.injectFault = injectFault
		submitLongJobs(sim, 6)
		sim.run(40 * time.Second)
		var unreachable *simMachine
		for _, id := range sortedKeys(sim.machines) {
			if m := sim.machines[id]; unreachable == nil && m.up && len(m.tasks) > 0 {
				unreachable = m
			}
		}
		sim.setInboundCut(unreachable.id, true)
		sim.cloud.outage = true
		sim.owner().crash(2 * time.Second)
		sim.run(100 * time.Second)
		for _, n := range sim.nodes {
			unresolvedClasses += len(n.core.unresolvedClasses)
		}
		sim.cloud.outage = false
		sim.run(130 * time.Second)
		if injectFault == nil && !unreachable.gone {
			t.Error("the machine that receives no answers was not returned")
		}
		return sim, unresolvedClasses
	}
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, unresolvedClasses := simulate(cfg, seed, nil)
		if unresolvedClasses > 0 {
			t.Errorf("the new owner still waits for machines of %d classes", unresolvedClasses)
		}
		sim.run(420 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	if _, unresolvedClasses := simulate(standardConfig(), 1, func(c *Core) {
		for _, m := range c.pool.Machines {
			m.LastAnswer, m.LastHeartbeat = c.now.Steady, c.now.Steady
		}
	}); unresolvedClasses == 0 {
		t.Error("a core that assumes that every machine received its answers was not detected")
	}
}

// TestIsolatedOwnerIsReplaced cuts the owner off from the state service and its peers, but not from
// its workers. The owner must stop answering, a peer must take over, and no worker may lose its tasks.
func TestIsolatedOwnerIsReplaced(t *testing.T) {
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		oldOwner := sim.owner()
		sim.setIsolated(oldOwner, true)
		sim.run(58 * time.Second)
		if oldOwner.core.ownership.MayAnswer() {
			t.Error("the isolated owner still answers workers")
		}
		if n := sim.owner(); n == nil || n == oldOwner {
			t.Error("no controller took over")
		}
		sim.run(80 * time.Second)
		sim.setIsolated(oldOwner, false)
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
		if n := sim.countLostIncarnations(); n > 0 {
			t.Errorf("%d machines lost their tasks", n)
		}
	})
}

// TestQuickControllerRestarts crashes controllers again and again, also during the elections that
// follow, and restarts each controller within half a second. Afterwards a controller must own the
// classes, and all jobs must finish without a broken rule.
func TestQuickControllerRestarts(t *testing.T) {
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		sim.lateCopyRate, sim.repeatedOrderRate = 0.05, 0.05
		submitRandomJobs(sim, 40, 60*time.Second)
		for at := 20 * time.Second; at < 80*time.Second; at += sim.randomDuration(0.3, 4) {
			sim.schedule(at, func() {
				n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
				if o := sim.owner(); o != nil && sim.chance(0.5) {
					n = o
				}
				n.crash(sim.randomDuration(0.02, 0.5))
			})
		}
		sim.run(90 * time.Second)
		sim.faultsEndedAt = sim.now
		if sim.run(100 * time.Second); sim.owner() == nil {
			t.Error("no controller owns the classes")
		}
		sim.run(350 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}

// TestLateHeartbeatCopiesAreIgnored delivers copies of heartbeats up to two and a half leases late
// while machines and controllers fail. The test must detect a core that loses the incarnation and
// sequence number of the last heartbeat that it processed from each worker.
func TestLateHeartbeatCopiesAreIgnored(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) *simulation {
		sim := newSimulation(seed, cfg)
		sim.lateCopyRate, sim.injectFault = 0.3, injectFault
		submitRandomJobs(sim, 50, 100*time.Second)
		injectRandomFaults(sim, 10, 100*time.Second)
		sim.run(150 * time.Second)
		sim.lateCopyRate = 0
		return sim
	}
	forEachClusterSize(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := simulate(cfg, seed, nil)
		sim.run(400 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	for seed := uint64(1); seed <= 20; seed++ {
		sim := simulate(standardConfig(), seed, func(c *Core) {
			for _, m := range c.pool.Machines {
				m.Incarnation, m.Seq = 0, 0
			}
		})
		if len(sim.violations) > 0 {
			return
		}
	}
	t.Error("a core that treats old heartbeats as new ones broke no rule")
}

// TestUnansweredJobIsDetected verifies that the simulation detects jobs whose users get no answer.
// All controllers crash and stay down from the time at which faults are declared to have ended.
func TestUnansweredJobIsDetected(t *testing.T) {
	sim := newSimulation(1, standardConfig())
	submitLongJobs(sim, 2)
	sim.run(30 * time.Second)
	sim.faultsEndedAt = sim.now
	for _, n := range sim.nodes {
		n.crash(time.Hour)
	}
	sim.run(130 * time.Second)
	if len(sim.violations) == 0 || !strings.HasPrefix(sim.violations[0], "forgotten") {
		t.Errorf("the unanswered job was not detected; broken rules: %v", sim.violations)
	}
}

// simulateOverload runs a simulation with far more work than capacity and returns the time at which
// the largest job started, or 0. Small urgent jobs arrive continuously. The largest job, whose tasks
// each need a whole machine, is submitted one second before the first urgent job.
func simulateOverload(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, startedAt time.Duration) {
	cfg.teams = []config.Team{{Name: "blue"}}
	cfg.machineTypes = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 5, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: 4}
	sim = newSimulation(seed, cfg)
	sim.injectFault = injectFault
	newSpec := func(urgency string, tasks int, cores float64) map[string]any {
		return map[string]any{"docket": urgency, "crew": "blue", "form": "batch", "urgency": urgency,
			"sheets": tasks, "cores": cores, "accelerators": 0.0, "ramGb": 2.0, "loaners": false, "reckonS": 10.0}
	}
	sim.schedule(3*time.Second, func() { sim.submitJob("job-000000", newSpec("low", 30, 8), 20) })
	for i := 1; i <= 140; i++ {
		sim.schedule(time.Duration(2+2*i)*time.Second, func() { sim.submitJob(fmt.Sprintf("job-%06d", i), newSpec("urgent", 12, 1), 10) })
	}
	for sim.now < 280*time.Second && startedAt == 0 {
		sim.run(sim.now + time.Second)
		for _, machine := range sim.machines {
			for id, task := range machine.tasks {
				if strings.HasPrefix(id, "job-000000/") && task.state == wire.TaskRunning {
					startedAt = sim.now
				}
			}
		}
	}
	return sim, startedAt
}

// TestLargestJobStartsUnderOverload verifies that the largest job starts within four minutes although
// every other job has a higher priority and no machine is ever empty.
func TestLargestJobStartsUnderOverload(t *testing.T) {
	forEachClusterSize(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, started := simulateOverload(cfg, seed, nil)
		if started == 0 || started > 240*time.Second {
			t.Errorf("the largest job started at %v", started)
		}
		sim.mustKeepRules(t)
	})
	if _, started := simulateOverload(standardConfig(), 1, func(c *Core) {
		for _, j := range c.jobs.OpenJobs {
			j.Started = true // no job ever counts as overdue
		}
	}); started != 0 {
		t.Errorf("without the limit on waiting the largest job started at %v: the load is too low to test the limit", started)
	}
}

// TestLastOwnerResumesPromptly checks that the last owner resumes without a wait after all
// controllers have crashed. If the classes were assigned to the first controller that restarts,
// there would be no owner for three seconds: that controller must wait until the extensions that
// its earlier incarnation may have granted have expired. The last owner need not wait.
func TestLastOwnerResumesPromptly(t *testing.T) {
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		submitLongJobs(sim, 6)
		sim.run(50 * time.Second)
		lastOwner := sim.owner()
		for _, node := range sim.nodes {
			restartDelay := sim.randomDuration(3.0, 3.3)
			if node == lastOwner {
				restartDelay = 3600 * time.Millisecond
			}
			node.crash(restartDelay)
		}
		sim.run(55 * time.Second)
		if n := sim.owner(); n != lastOwner {
			t.Errorf("the last owner does not act 1.4 s after its restart")
		}
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}

// cutWorkers cuts a controller off from all workers until a time, including workers that start
// meanwhile. Messages that the cut links hold back are dropped.
func (sim *simulation) cutWorkers(node *simNode, until time.Duration) {
	cut := sim.now < until
	for _, id := range sortedKeys(sim.machines) {
		delete(sim.heldMessages, [2]string{node.label, id})
		delete(sim.heldMessages, [2]string{id, node.label})
		sim.setLinkCut(node.label, id, cut)
	}
	if cut {
		sim.schedule(100*time.Millisecond, func() { sim.cutWorkers(node, until) })
	}
}

// TestOwnerWithoutWorkersHandsOver cuts the owner off from all workers for three leases while it
// still reaches the state service and its peers. A peer must take over before the lease of any worker
// ends, and no machine may be returned to the cloud because its heartbeats did not reach the old
// owner. The test must detect a core that assumes that heartbeats still reach it.
func TestOwnerWithoutWorkersHandsOver(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, lost int) {
		sim = newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		oldOwner := sim.owner()
		sim.injectFault = injectFault
		up := 0
		for _, m := range sim.machines {
			if m.up && !m.gone && len(m.tasks) > 0 {
				up++
			}
		}
		sim.cutWorkers(oldOwner, sim.now+time.Duration(3*cfg.leaseS*float64(time.Second)))
		sim.run(sim.now + 12*time.Second)
		if n := sim.owner(); injectFault == nil && (n == nil || n == oldOwner) {
			t.Error("no controller took over from the owner that its workers cannot reach")
		}
		sim.run(sim.now + time.Duration(3*cfg.leaseS*float64(time.Second)))
		for _, m := range sim.machines {
			if m.gone && m.incarnation > 1 {
				lost++
			}
		}
		return sim, lost + sim.countLostIncarnations()
	}
	forEachClusterSize(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, lost := simulate(cfg, seed, nil)
		if lost > 0 {
			t.Errorf("%d machines lost their tasks", lost)
		}
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	if _, lost := simulate(standardConfig(), 1, func(c *Core) {
		if len(c.activeTerms) > 0 {
			c.lastArrival = c.now.Steady
		}
	}); lost == 0 {
		t.Error("a core that assumes that heartbeats still reach it lost no tasks")
	}
}

// TestCutOffOwnerReturnsNoMachines verifies that an owner that was cut off from all workers, and
// has no peer to hand over to, returns no machine to the cloud when the heartbeats resume one by
// one.
func TestCutOffOwnerReturnsNoMachines(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (gone int) {
		cfg.nodeCount = 1
		sim := newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		var busyMachines []*simMachine
		for _, id := range sortedKeys(sim.machines) {
			if m := sim.machines[id]; m.up && !m.gone && len(m.tasks) > 0 {
				busyMachines = append(busyMachines, m)
			}
		}
		sim.injectFault = injectFault
		sim.cutWorkers(sim.nodes[0], sim.now+12*time.Second)
		sim.run(sim.now + 16*time.Second)
		for _, m := range busyMachines {
			if m.gone {
				gone++
			}
		}
		sim.mustKeepRules(t)
		return gone
	}
	for seed := uint64(1); seed <= 5; seed++ {
		if n := simulate(standardConfig(), seed, nil); n > 0 {
			t.Errorf("seed %d: %d machines were returned", seed, n)
		}
	}
	if simulate(standardConfig(), 1, func(c *Core) { c.heartbeatsResumedAt = 0 }) == 0 {
		t.Error("a core that ignores when heartbeats resumed returned no machine")
	}
}

// TestOutageCausesNoHandover makes the state service fail while the controllers cannot reach each
// other, so the owner must not answer its workers. The heartbeats that the owner refused during the
// outage must not make it hand over its classes afterwards.
func TestOutageCausesNoHandover(t *testing.T) {
	forEachClusterSize(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		cutAllPeers := func(cut bool) {
			for _, a := range sim.nodes {
				for _, b := range sim.nodes[a.index+1:] {
					sim.setLinkCut(a.label, b.label, cut)
				}
			}
		}
		cutAllPeers(true)
		sim.store.setOutage(true)
		sim.run(90 * time.Second)
		if sim.owner() != nil {
			t.Error("an owner without a lease and without extensions may launch tasks")
		}
		sim.store.setOutage(false)
		sim.run(95 * time.Second)
		cutAllPeers(false)
		sim.run(110 * time.Second)
		for _, n := range sim.nodes {
			if n.core.handedOverAt > 0 {
				t.Errorf("%s handed over its classes", n.label)
			}
		}
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}
