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

// withNodes runs a test with three and with five controllers, over some seeds.
func withNodes(t *testing.T, seeds uint64, f func(t *testing.T, cfg simConfig, seed uint64)) {
	for _, nodes := range []int{3, 5} {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
				t.Parallel()
				cfg := standardConfig()
				cfg.nodes = nodes
				f(t, cfg, seed)
			})
		}
	}
}

// steadyJobs submits jobs of tasks of a minute and a half.
func steadyJobs(w *simulation, n int) {
	for i := 0; i < n; i++ {
		w.user(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 8, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": 90.0}, 90)
	}
}

func (w *simulation) owner() *simNode {
	for _, n := range w.nodes {
		if n.core != nil && len(n.core.activeTerms) > 0 && n.core.ownership.MayLaunch() {
			return n
		}
	}
	return nil
}

// TestDeafMachineHoldsNothingUp: a machine goes on reporting but gets no answers
// and no orders, for good. The owner ends as well, and the cloud is out of reach:
// the new owner must not wait for that machine for ever, and its work is done. A
// core that takes its own answers for received must be caught.
func TestDeafMachineHoldsNothingUp(t *testing.T) {
	play := func(cfg simConfig, seed uint64, sabotage func(*Core)) (w *simulation, waiting int) {
		w = newSimulation(seed, cfg)
		w.sabotage = sabotage
		steadyJobs(w, 6)
		w.run(40 * time.Second)
		var deaf *simMachine
		for _, id := range sortedKeys(w.machines) {
			if m := w.machines[id]; deaf == nil && m.up && len(m.tasks) > 0 {
				deaf = m
			}
		}
		w.deafen(deaf.id, true)
		w.cloud.outage = true
		w.owner().crash(2 * time.Second)
		w.run(100 * time.Second)
		for _, n := range w.nodes {
			waiting += len(n.core.unresolvedClasses)
		}
		w.cloud.outage = false
		w.run(130 * time.Second)
		if sabotage == nil && !deaf.gone {
			t.Error("the deaf machine is kept")
		}
		return w, waiting
	}
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w, waiting := play(cfg, seed, nil)
		if waiting > 0 {
			t.Errorf("the new owner still waits for machines of %d classes", waiting)
		}
		w.run(420 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
	if _, waiting := play(standardConfig(), 1, func(c *Core) {
		for _, m := range c.pool.Machines {
			m.LastAnswer, m.LastReport = c.now.Steady, c.now.Steady
		}
	}); waiting == 0 {
		t.Error("a core for which every machine has heard its answers was not caught")
	}
}

// TestIsolatedOwnerIsReplaced: the owner loses the state service and its peers,
// but not its workers. It must step down, and no worker may lose its tasks.
func TestIsolatedOwnerIsReplaced(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w := newSimulation(seed, cfg)
		steadyJobs(w, 8)
		w.run(50 * time.Second)
		old := w.owner()
		w.isolate(old, true)
		w.run(58 * time.Second)
		if old.core.ownership.MayAnswer() {
			t.Error("the isolated owner still answers workers")
		}
		if n := w.owner(); n == nil || n == old {
			t.Error("nobody took over")
		}
		w.run(80 * time.Second)
		w.isolate(old, false)
		w.run(300 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
		if n := w.sessions(); n > 0 {
			t.Errorf("%d machines lost their tasks", n)
		}
	})
}

// TestBackAtOnce: controllers end and are back within half a second, over and over
// and in the elections that follow.
func TestBackAtOnce(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w := newSimulation(seed, cfg)
		w.copies, w.repeats = 0.05, 0.05
		randomJobs(w, 40, 60*time.Second)
		for at := 20 * time.Second; at < 80*time.Second; at += w.between(0.3, 4) {
			w.schedule(at, func() {
				n := w.nodes[w.rng.IntN(len(w.nodes))]
				if o := w.owner(); o != nil && w.chance(0.5) {
					n = o
				}
				n.crash(w.between(0.02, 0.5))
			})
		}
		w.run(90 * time.Second)
		w.calm = w.now
		if w.run(100 * time.Second); w.owner() == nil {
			t.Error("nobody owns the classes")
		}
		w.run(350 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
}

// TestLateCopiesProveNothing: copies of reports come up to two and a half leases
// late while machines and controllers fail. A core that forgets how far it has
// read a worker's reports must be caught.
func TestLateCopiesProveNothing(t *testing.T) {
	play := func(cfg simConfig, seed uint64, sabotage func(*Core)) *simulation {
		w := newSimulation(seed, cfg)
		w.copies, w.sabotage = 0.3, sabotage
		randomJobs(w, 50, 100*time.Second)
		randomFaults(w, 10, 100*time.Second)
		w.run(150 * time.Second)
		w.copies = 0
		return w
	}
	withNodes(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		w := play(cfg, seed, nil)
		w.run(400 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
	for seed := uint64(1); seed <= 20; seed++ {
		w := play(standardConfig(), seed, func(c *Core) {
			for _, m := range c.pool.Machines {
				m.Session, m.Seq = 0, 0
			}
		})
		if len(w.broken) > 0 {
			return
		}
	}
	t.Error("a core that takes old reports for new ones broke no rule")
}

// TestUnansweredJobIsNoticed shows that the world's check of the users' addition
// can fail: nobody answers once all troubles are said to be over.
func TestUnansweredJobIsNoticed(t *testing.T) {
	w := newSimulation(1, standardConfig())
	steadyJobs(w, 2)
	w.run(30 * time.Second)
	w.calm = w.now
	for _, n := range w.nodes {
		n.crash(time.Hour)
	}
	w.run(130 * time.Second)
	if len(w.broken) == 0 || !strings.HasPrefix(w.broken[0], "forgotten") {
		t.Errorf("not noticed: %v", w.broken)
	}
}

// crowd is a day with far more work than room. Small urgent jobs keep coming; one
// job of large tasks, each as large as a machine, is submitted with the first.
func crowd(cfg simConfig, seed uint64, sabotage func(*Core)) (w *simulation, began time.Duration) {
	cfg.teams = []config.Team{{Name: "blue"}}
	cfg.types = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 5, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: 4}
	w = newSimulation(seed, cfg)
	w.sabotage = sabotage
	spec := func(urgency string, sheets int, cores float64) map[string]any {
		return map[string]any{"docket": urgency, "crew": "blue", "form": "batch", "urgency": urgency,
			"sheets": sheets, "cores": cores, "accelerators": 0.0, "ramGb": 2.0, "loaners": false, "reckonS": 10.0}
	}
	w.schedule(3*time.Second, func() { w.user("job-000000", spec("low", 30, 8), 20) })
	for i := 1; i <= 140; i++ {
		w.schedule(time.Duration(2+2*i)*time.Second, func() { w.user(fmt.Sprintf("job-%06d", i), spec("urgent", 12, 1), 10) })
	}
	for w.now < 280*time.Second && began == 0 {
		w.run(w.now + time.Second)
		for _, m := range w.machines {
			for id, x := range m.tasks {
				if strings.HasPrefix(id, "job-000000/") && x.state == wire.TaskRunning {
					began = w.now
				}
			}
		}
	}
	return w, began
}

// TestLargestJobBeginsInACrowd: it begins within four minutes although the order
// of work puts everything else before it and no machine is ever empty.
func TestLargestJobBeginsInACrowd(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		w, began := crowd(cfg, seed, nil)
		if began == 0 || began > 240*time.Second {
			t.Errorf("the largest job began at %v", began)
		}
		w.mustKeepRules(t)
	})
	if _, began := crowd(standardConfig(), 1, func(c *Core) {
		for _, j := range c.jobs.Open {
			j.Started = true // nothing is ever overdue
		}
	}); began != 0 {
		t.Errorf("without the bound it began at %v: the crowd is too thin to show anything", began)
	}
}

// TestLastOwnerActsAtOnce guards against three seconds without an owner after all
// controllers have ended: the first one back was given the classes, and had to wait
// for promises that its earlier life might have made.
func TestLastOwnerActsAtOnce(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w := newSimulation(seed, cfg)
		steadyJobs(w, 6)
		w.run(50 * time.Second)
		last := w.owner()
		for _, n := range w.nodes {
			back := w.between(3.0, 3.3)
			if n == last {
				back = 3600 * time.Millisecond
			}
			n.crash(back)
		}
		w.run(55 * time.Second)
		if n := w.owner(); n != last {
			t.Errorf("1.4 s after its return the last owner does not act")
		}
		w.run(300 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
}

// cutWorkers takes all workers, those that come up later too, from a node until
// a time. What was sent meanwhile is lost.
func (w *simulation) cutWorkers(n *simNode, until time.Duration) {
	on := w.now < until
	for _, id := range sortedKeys(w.machines) {
		delete(w.held, [2]string{n.label, id})
		delete(w.held, [2]string{id, n.label})
		w.setCut(n.label, id, on)
	}
	if on {
		w.schedule(100*time.Millisecond, func() { w.cutWorkers(n, until) })
	}
}

// TestOwnerWithoutWorkersHandsOver: the owner keeps the state service and its
// peers but loses all workers for three leases. Another must act before any
// worker loses its tasks, and when the cut ends no machine may be returned for a
// silence that was the owner's. A core that takes itself for heard must be caught.
func TestOwnerWithoutWorkersHandsOver(t *testing.T) {
	play := func(cfg simConfig, seed uint64, sabotage func(*Core)) (w *simulation, lost int) {
		w = newSimulation(seed, cfg)
		steadyJobs(w, 8)
		w.run(50 * time.Second)
		old := w.owner()
		w.sabotage = sabotage
		up := 0
		for _, m := range w.machines {
			if m.up && !m.gone && len(m.tasks) > 0 {
				up++
			}
		}
		w.cutWorkers(old, w.now+time.Duration(3*cfg.lease*float64(time.Second)))
		w.run(w.now + 12*time.Second)
		if n := w.owner(); sabotage == nil && (n == nil || n == old) {
			t.Error("nobody took over from the owner without workers")
		}
		w.run(w.now + time.Duration(3*cfg.lease*float64(time.Second)))
		for _, m := range w.machines {
			if m.gone && m.session > 1 {
				lost++
			}
		}
		return w, lost + w.sessions()
	}
	withNodes(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		w, lost := play(cfg, seed, nil)
		if lost > 0 {
			t.Errorf("%d machines lost their tasks", lost)
		}
		w.run(300 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
	if _, lost := play(standardConfig(), 1, func(c *Core) {
		if len(c.activeTerms) > 0 {
			c.lastArrival = c.now.Steady
		}
	}); lost == 0 {
		t.Error("a core that takes itself for heard lost nothing")
	}
}

// TestSilenceOfTheOwnersOwnIsNotTheMachines: with no peer to hand over to, an owner
// that was cut off returns nothing when its workers come back one by one.
func TestSilenceOfTheOwnersOwnIsNotTheMachines(t *testing.T) {
	play := func(cfg simConfig, seed uint64, sabotage func(*Core)) (gone int) {
		cfg.nodes = 1
		w := newSimulation(seed, cfg)
		steadyJobs(w, 8)
		w.run(50 * time.Second)
		var up []*simMachine
		for _, id := range sortedKeys(w.machines) {
			if m := w.machines[id]; m.up && !m.gone && len(m.tasks) > 0 {
				up = append(up, m)
			}
		}
		w.sabotage = sabotage
		w.cutWorkers(w.nodes[0], w.now+12*time.Second)
		w.run(w.now + 16*time.Second)
		for _, m := range up {
			if m.gone {
				gone++
			}
		}
		w.mustKeepRules(t)
		return gone
	}
	for seed := uint64(1); seed <= 5; seed++ {
		if n := play(standardConfig(), seed, nil); n > 0 {
			t.Errorf("seed %d: %d machines were returned", seed, n)
		}
	}
	if play(standardConfig(), 1, func(c *Core) { c.reportsResumedAt = 0 }) == 0 {
		t.Error("a core that blames the machines returned none")
	}
}

// TestOutageIsNoDesertion: in an outage of the state service in which the peers
// can't be reached either the owner must not answer its workers. That they were not
// heard then is no reason to hand them over when it is over.
func TestOutageIsNoDesertion(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		w := newSimulation(seed, cfg)
		steadyJobs(w, 8)
		w.run(50 * time.Second)
		apart := func(on bool) {
			for _, a := range w.nodes {
				for _, b := range w.nodes[a.idx+1:] {
					w.setCut(a.label, b.label, on)
				}
			}
		}
		apart(true)
		w.store.setOutage(true)
		w.run(90 * time.Second)
		if w.owner() != nil {
			t.Error("an owner without lease and promises may launch")
		}
		w.store.setOutage(false)
		w.run(95 * time.Second)
		apart(false)
		w.run(110 * time.Second)
		for _, n := range w.nodes {
			if n.core.handedOverAt > 0 {
				t.Errorf("%s handed over", n.label)
			}
		}
		w.run(300 * time.Second)
		w.mustKeepRules(t)
		w.mustFinish(t)
	})
}
