package controller

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/reachability"
)

// linkedConfig is the standard deployment with the view of links switched on.
func linkedConfig(nodes int) simConfig {
	cfg := standardConfig()
	cfg.nodes, cfg.links = nodes, true
	return cfg
}

// losses tells who has lost each half as a node sees it.
func (n *simNode) losses() (state, workers reachability.LossExtent) {
	now := n.core.now.Steady
	return n.core.links.cluster.Loss(reachability.StateDependency, now), n.core.links.cluster.Loss(reachability.WorkersDependency, now)
}

// TestLinksTellWhichHalfIsLost cuts each half from the owner alone, and the state service from
// all. The owner notices which it lost and whether it alone did, and all is well again after.
func TestLinksTellWhichHalfIsLost(t *testing.T) {
	cases := []struct {
		name           string
		cut            func(w *simulation, owner *simNode, on bool)
		state, workers reachability.LossExtent
		within         time.Duration
	}{
		{name: "state service from the owner", cut: func(w *simulation, o *simNode, on bool) { w.setCut(o.label, "state", on) }, state: reachability.Alone, workers: reachability.Intact, within: 6 * s},
		{name: "answers of the state service", cut: func(w *simulation, o *simNode, on bool) { w.setOneWay("state", o.label, on) }, state: reachability.Alone, workers: reachability.Intact, within: 6 * s},
		{name: "the owner refused alone", cut: func(w *simulation, o *simNode, on bool) { w.store.refuse[o.idx] = on }, state: reachability.Alone, workers: reachability.Intact, within: 4 * s},
		{name: "outage", cut: func(w *simulation, _ *simNode, on bool) { w.store.setOutage(on) }, state: reachability.Shared, workers: reachability.Intact, within: 8 * s},
		{name: "workers", cut: cutWorkers, state: reachability.Intact, workers: reachability.Unclear, within: 8 * s},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				w := newSimulation(seed, linkedConfig(3))
				steadyJobs(w, 8)
				w.run(60 * s)
				o := w.owner()
				c.cut(w, o, true)
				if w.runUntil(250*time.Millisecond, c.within, func() bool {
					state, workers := o.losses()
					return state == c.state && workers == c.workers
				}) == 0 {
					state, workers := o.losses()
					t.Errorf("seed %d: state service %s, workers %s; want %s, %s: %+v", seed, state, workers, c.state, c.workers, o.core.links.monitor.View("", 0).Links)
				}
				c.cut(w, o, false)
				w.store.wake()
				w.run(w.now + 90*s)
				if state, workers := o.losses(); state != reachability.Intact || workers != reachability.Intact {
					t.Errorf("seed %d: 90 s after the cut: state service %s, workers %s", seed, state, workers)
				}
				w.mustKeepRules(t)
			}
		})
	}
}

// cutWorkers cuts all machines from a node.
func cutWorkers(w *simulation, n *simNode, on bool) {
	for _, id := range sortedKeys(w.machines) {
		w.setCut(id, n.label, on)
	}
}

// TestRulesHoldWithTheViewOfLinks plays drawn days with the view of links switched on.
func TestRulesHoldWithTheViewOfLinks(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		w := newSimulation(seed, linkedConfig([]int{3, 5}[seed%2]))
		w.slow, w.lost, w.repeats, w.copies, w.looks = 0.002, 0.002, 0.03, 0.02, seed%4 == 0
		randomJobs(w, 60, 200*s)
		randomFaults(w, []float64{20, 8, 4}[seed%3], 200*s)
		w.run(250 * s)
		w.slow, w.lost, w.repeats, w.copies, w.keep, w.kept, w.looks = 0, 0, 0, 0, 0, nil, false
		w.store.late, w.store.unsaid = 0, 0
		w.calm = w.now
		w.run(500 * s)
		w.mustKeepRules(t)
		w.mustFinish(t)
	}
}

// TestLinksOfRealProcesses asks real controllers for their links: two that are switched on tell
// each other's views beside one that is not, and the state service taken from one is seen by both.
func TestLinksOfRealProcesses(t *testing.T) {
	t.Parallel()
	binary := buildPresentVersion(t)
	c := startProcessCluster(t, smallProcessConfig(), binary, 3)
	operator := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operator, []byte(`{"reachability": {"enabled": true}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	on, other, off := c.processes[0], c.processes[1], c.processes[2]
	for _, p := range []*controllerProcess{on, other} {
		p.operatorFile = operator
		c.replace(p, binary)
	}
	c.submitJobs(0, 4)
	c.waitForAllJobs("jobs beside controllers without the view")
	c.waitForLinks(on, "both views", func(r LinksReply) bool {
		return len(r.Views) == 2 && r.StateLoss == reachability.Intact && slices.ContainsFunc(r.Views[1].Links, func(s reachability.Status) bool {
			return s.Link == reachability.Link{Kind: reachability.StateRequests} && s.State == reachability.Up
		})
	})
	if _, err := FetchLinks(off.peerAddr, waitLimit); err == nil || err.Error() != ErrLinksDisabled.Error() {
		t.Errorf("a controller without the view answered %v", err)
	}
	c.world.do(func() { c.world.w.setCut(on.label, "state", true) })
	c.waitForLinks(on, "the loss is seen", func(r LinksReply) bool { return r.StateLoss == reachability.Alone })
	c.waitForLinks(other, "the peer's loss is seen", func(r LinksReply) bool {
		return r.StateLoss == reachability.Intact && slices.ContainsFunc(r.Views, func(v reachability.View) bool {
			holds, known := v.Reaches(reachability.StateDependency)
			return v.Node == on.label && known && !holds
		})
	})
	c.world.do(func() { c.world.w.setCut(on.label, "state", false) })
	c.waitForLinks(on, "all is well again", func(r LinksReply) bool { return r.StateLoss == reachability.Intact })
	c.mustAllRun()
}

// waitForLinks asks a controller for its links until a condition holds.
func (c *processCluster) waitForLinks(p *controllerProcess, what string, holds func(LinksReply) bool) {
	c.t.Helper()
	var last LinksReply
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last, err = FetchLinks(p.peerAddr, limits.PeerTimeout); err == nil && holds(last) {
			return
		}
	}
	c.t.Fatalf("%s: not reached within %v: %+v, %v", what, waitLimit, last, err)
}
