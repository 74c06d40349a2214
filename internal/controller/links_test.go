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

// linkMonitoringConfig returns the standard configuration with the given number of controllers and with
// link monitoring enabled.
func linkMonitoringConfig(nodeCount int) simConfig {
	cfg := standardConfig()
	cfg.nodeCount, cfg.monitorLinks = nodeCount, true
	return cfg
}

// lossExtents returns the extents of the loss of the state service and of the loss of the workers, as this
// controller determines them.
func (n *simNode) lossExtents() (state, workers reachability.LossExtent) {
	now := n.core.now.Steady
	return n.core.linkMonitor.views.Loss(reachability.StateDependency, now), n.core.linkMonitor.views.Loss(reachability.WorkersDependency, now)
}

// TestLinkMonitorClassifiesLoss cuts the owner off from the state service or from the workers, and
// all controllers from the state service. Within a time limit the owner must detect which dependency
// is lost and whether other controllers have lost it too, and it must detect the recovery.
func TestLinkMonitorClassifiesLoss(t *testing.T) {
	cases := []struct {
		name           string
		setCut         func(sim *simulation, owner *simNode, cut bool)
		state, workers reachability.LossExtent
		within         time.Duration
	}{
		{name: "state service from the owner", setCut: func(sim *simulation, owner *simNode, cut bool) { sim.setLinkCut(owner.label, "state", cut) }, state: reachability.Alone, workers: reachability.Intact, within: 6 * second},
		{name: "answers of the state service", setCut: func(sim *simulation, owner *simNode, cut bool) { sim.setOneWayCut("state", owner.label, cut) }, state: reachability.Alone, workers: reachability.Intact, within: 6 * second},
		{name: "the owner refused alone", setCut: func(sim *simulation, owner *simNode, cut bool) { sim.store.refusedNodes[owner.index] = cut }, state: reachability.Alone, workers: reachability.Intact, within: 4 * second},
		{name: "outage", setCut: func(sim *simulation, _ *simNode, cut bool) { sim.store.setOutage(cut) }, state: reachability.Shared, workers: reachability.Intact, within: 8 * second},
		{name: "workers", setCut: setWorkersCut, state: reachability.Intact, workers: reachability.Unclear, within: 8 * second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				sim := newSimulation(seed, linkMonitoringConfig(3))
				submitLongJobs(sim, 8)
				sim.run(60 * second)
				owner := sim.owner()
				test.setCut(sim, owner, true)
				if sim.runUntil(250*time.Millisecond, test.within, func() bool {
					state, workers := owner.lossExtents()
					return state == test.state && workers == test.workers
				}) == 0 {
					state, workers := owner.lossExtents()
					t.Errorf("seed %d: state service %s, workers %s; want %s, %s: %+v", seed, state, workers, test.state, test.workers, owner.core.linkMonitor.monitor.View("", 0).Links)
				}
				test.setCut(sim, owner, false)
				sim.store.notifyWatches()
				sim.run(sim.now + 90*second)
				if state, workers := owner.lossExtents(); state != reachability.Intact || workers != reachability.Intact {
					t.Errorf("seed %d: 90 s after the cut: state service %s, workers %s", seed, state, workers)
				}
				sim.mustKeepRules(t)
			}
		})
	}
}

// setWorkersCut cuts or restores the links between all machines and one controller, in both directions.
func setWorkersCut(sim *simulation, node *simNode, cut bool) {
	for _, id := range sortedKeys(sim.machines) {
		sim.setLinkCut(id, node.label, cut)
	}
}

// TestRulesHoldWithLinkMonitoring checks the rules in simulations with random jobs and faults and with
// link monitoring enabled.
func TestRulesHoldWithLinkMonitoring(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		sim := newSimulation(seed, linkMonitoringConfig([]int{3, 5}[seed%2]))
		sim.delayedMessageRate, sim.lossRate, sim.repeatedOrderRate, sim.lateCopyRate, sim.queryAllNodes = 0.002, 0.002, 0.03, 0.02, seed%4 == 0
		submitRandomJobs(sim, 60, 200*second)
		injectRandomFaults(sim, []float64{20, 8, 4}[seed%3], 200*second)
		sim.run(250 * second)
		sim.delayedMessageRate, sim.lossRate, sim.repeatedOrderRate, sim.lateCopyRate, sim.replayRate, sim.replays, sim.queryAllNodes = 0, 0, 0, 0, 0, nil, false
		sim.store.delayedTxnRate, sim.store.lostReplyRate = 0, 0
		sim.faultsEndedAt = sim.now
		sim.run(500 * second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	}
}

// TestLinksOfRealProcesses requests the links of three real controller processes, one of which has
// link monitoring disabled. The other two must still exchange their views, and both must detect that
// one of them has lost the state service.
func TestLinksOfRealProcesses(t *testing.T) {
	t.Parallel()
	binary := buildCurrentVersion(t)
	cluster := startProcessCluster(t, smallProcessConfig(), binary, 3)
	operator := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operator, []byte(`{"reachability": {"enabled": true}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	monitoredProcess, otherMonitoredProcess, unmonitoredProcess := cluster.processes[0], cluster.processes[1], cluster.processes[2]
	for _, p := range []*controllerProcess{monitoredProcess, otherMonitoredProcess} {
		p.operatorFile = operator
		cluster.replace(p, binary)
	}
	cluster.submitJobs(0, 4)
	cluster.waitForAllJobs("jobs while one controller has no link monitoring")
	cluster.waitForLinks(monitoredProcess, "views of both controllers", func(r LinksReply) bool {
		return len(r.Views) == 2 && r.StateLoss == reachability.Intact && slices.ContainsFunc(r.Views[1].Links, func(s reachability.Status) bool {
			return s.Link == reachability.Link{Kind: reachability.StateRequests} && s.State == reachability.Up
		})
	})
	if _, err := FetchLinks(unmonitoredProcess.peerAddr, waitLimit); err == nil || err.Error() != ErrLinksDisabled.Error() {
		t.Errorf("a controller without link monitoring returned %v", err)
	}
	cluster.live.do(func() { cluster.live.sim.setLinkCut(monitoredProcess.label, "state", true) })
	cluster.waitForLinks(monitoredProcess, "the loss is detected", func(r LinksReply) bool { return r.StateLoss == reachability.Alone })
	cluster.waitForLinks(otherMonitoredProcess, "the peer's loss is detected", func(r LinksReply) bool {
		return r.StateLoss == reachability.Intact && slices.ContainsFunc(r.Views, func(v reachability.View) bool {
			reachable, known := v.Reaches(reachability.StateDependency)
			return v.Node == monitoredProcess.label && known && !reachable
		})
	})
	cluster.live.do(func() { cluster.live.sim.setLinkCut(monitoredProcess.label, "state", false) })
	cluster.waitForLinks(monitoredProcess, "the recovery is detected", func(r LinksReply) bool { return r.StateLoss == reachability.Intact })
	cluster.checkAllRunning()
}

// waitForLinks requests the links of a controller until they satisfy a condition. It fails the test
// after waitLimit.
func (c *processCluster) waitForLinks(process *controllerProcess, what string, condition func(LinksReply) bool) {
	c.t.Helper()
	var last LinksReply
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last, err = FetchLinks(process.peerAddr, limits.PeerTimeout); err == nil && condition(last) {
			return
		}
	}
	c.t.Fatalf("%s: not reached within %v: %+v, %v", what, waitLimit, last, err)
}
