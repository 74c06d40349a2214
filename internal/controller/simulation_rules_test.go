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

// standardConfig returns the deployment that most tests simulate.
func standardConfig() simConfig {
	return simConfig{
		nodeCount: 3,
		teams:     []config.Team{{Name: "red", CPUs: 16, CPUsMax: 40}, {Name: "blue"}},
		machineTypes: []wire.MachineType{
			{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 5, Zones: []string{"a", "b"}},
			{Name: "large", CPUs: 16, MemoryGB: 64, Price: 0.9, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
		},
		capacity: map[fleet.Kind]int{
			{Class: "small", Zone: "a"}: 3, {Class: "small", Zone: "b"}: 3, {Class: "small", Zone: "a", Spot: true}: 4, {Class: "small", Zone: "b", Spot: true}: 4,
			{Class: "large", Zone: "a"}: 2, {Class: "large", Zone: "b"}: 2, {Class: "large", Zone: "a", Spot: true}: 2, {Class: "large", Zone: "b", Spot: true}: 2,
		},
		leaseS: 14, heartbeatS: 1.5, cancelS: 34, txnOps: 8, valueKB: 4, writeRPS: 30,
	}
}

// submitRandomJobs lets users submit count random jobs, cancel some of them, and query as many
// unknown jobs, at random times within a period.
func submitRandomJobs(sim *simulation, count int, period time.Duration) {
	for i := 0; i < count; i++ {
		id := fmt.Sprintf("job-%06d", i)
		sim.schedule(time.Duration(sim.rng.Float64()*float64(period)), func() {
			spec := map[string]any{"docket": "x", "crew": []string{"red", "blue"}[sim.rng.IntN(2)], "form": "batch",
				"urgency": []string{"urgent", "standard", "low"}[sim.rng.IntN(3)], "sheets": 1 + sim.rng.IntN(12),
				"cores": []float64{1, 2, 4, 8}[sim.rng.IntN(4)], "accelerators": 0.0, "ramGb": 4.0, "plate": fmt.Sprintf("img-%d", sim.rng.IntN(3)), "imageGb": 1.0,
				"builds": nil, "valley": nil, "oneZone": sim.chance(0.2), "scatter": false, "loaners": sim.chance(0.7),
				"reckonS": 8.0, "markS": 0.0, "stowS": 0.0, "dueS": nil}
			switch sim.rng.IntN(6) {
			case 0:
				spec["builds"] = []string{"small"}
			case 1:
				spec["builds"] = []string{"large"}
			case 2:
				spec["valley"] = "b"
			}
			if spec["oneZone"] == false && sim.chance(0.2) {
				spec["scatter"] = true
			}
			job := sim.submitJob(id, spec, 2+10*sim.rng.Float64())
			if sim.chance(0.15) {
				sim.schedule(sim.randomDuration(0.5, 25), func() { sim.cancel(job) })
			} else if sim.chance(0.03) {
				job.faulty = true
				sim.schedule(sim.randomDuration(40, 60), func() { sim.cancel(job) })
			}
		})
	}
	for i := 0; i < count; i++ {
		sim.schedule(time.Duration(sim.rng.Float64()*float64(period)), sim.queryUnknownJob)
	}
}

// randomLiveMachine returns a random machine that is up, or nil if no machine is up.
func (sim *simulation) randomLiveMachine() *simMachine {
	var live []*simMachine
	for _, id := range sortedKeys(sim.machines) {
		if m := sim.machines[id]; m.up && !m.gone {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[sim.rng.IntN(len(live))]
}

// injectRandomFaults injects random faults, single and overlapping, until a time. interval is the
// average time between them in seconds.
func injectRandomFaults(sim *simulation, interval float64, until time.Duration) {
	var injectNext func()
	injectNext = func() {
		if sim.now > until {
			return
		}
		node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		machine := sim.randomLiveMachine()
		switch sim.rng.IntN(26) {
		case 0, 1:
			node.crash(sim.randomDuration(0.1, 8))
		case 2:
			for _, n := range sim.nodes {
				n.crash(sim.randomDuration(0.1, 8))
			}
		case 3:
			sim.trace("outage of the state service")
			sim.store.setOutage(true)
			sim.schedule(sim.randomDuration(1, 30), func() { sim.trace("outage ended"); sim.store.setOutage(false) })
		case 4:
			sim.trace("503 for %s", node.label)
			sim.store.refusedNodes[node.index] = true
			sim.schedule(sim.randomDuration(1, 30), func() { sim.trace("503 ended"); sim.store.refusedNodes[node.index] = false; sim.store.notifyWatches() })
		case 5, 6:
			if machine != nil {
				machine.terminate()
			}
		case 7, 8:
			if machine != nil {
				machine.hang(sim.randomDuration(1, 40))
			}
		case 9:
			if machine != nil && machine.kind.Spot {
				machine.recallAt = sim.now + sim.randomDuration(5, 15)
				sim.schedule(machine.recallAt-sim.now, machine.terminate)
			}
		case 10:
			if machine != nil {
				machine.faulty = true
			}
		case 11:
			sim.cloud.outage = true
			sim.schedule(sim.randomDuration(5, 20), func() { sim.cloud.outage = false })
		case 12:
			otherEnd := sim.nodes[(node.index+1)%len(sim.nodes)].label
			if machine != nil && sim.chance(0.5) {
				otherEnd = machine.id
			}
			sim.trace("cut %s %s", node.label, otherEnd)
			sim.setLinkCut(node.label, otherEnd, true)
			sim.schedule(sim.randomDuration(1, 30), func() { sim.trace("cut ended"); sim.setLinkCut(node.label, otherEnd, false) })
		case 13, 14:
			if machine != nil {
				sim.trace("inbound messages of %s are held back", machine.id)
				sim.setInboundCut(machine.id, true)
				sim.schedule(sim.randomDuration(1, 40), func() { sim.setInboundCut(machine.id, false) })
			}
		case 15:
			sim.trace("%s is cut off from the state service and its peers", node.label)
			sim.setIsolated(node, true)
			sim.schedule(sim.randomDuration(1, 30), func() { sim.trace("isolation of %s ended", node.label); sim.setIsolated(node, false) })
		case 16:
			// The node restarts at once, and a random node crashes during the election that follows.
			node.crash(sim.randomDuration(0.05, 0.5))
			sim.schedule(sim.randomDuration(0.1, 4), func() { sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(sim.randomDuration(0.05, 0.5)) })
		case 17:
			node.pause(sim.randomDuration(0.5, 20))
		case 18:
			if owner := sim.owner(); owner != nil {
				owner.pause(sim.randomDuration(0.5, 8))
			}
		case 19:
			sim.trace("%s is cut off from its workers", node.label)
			sim.cutWorkers(node, sim.now+sim.randomDuration(2, 30))
		case 20:
			sim.trace("heartbeats of some machines are lost")
			sim.everyNthBusyMachine(2, sim.dropHeartbeatsFor(sim.randomDuration(5, 35)))
		case 21:
			sim.trace("transactions are delayed")
			sim.store.delayedTxnRate = 0.3
			sim.schedule(sim.randomDuration(3, 20), func() { sim.store.delayedTxnRate = 0 })
		case 22:
			sim.trace("answers of the state service are lost")
			sim.store.lostReplyRate = 0.3
			sim.schedule(sim.randomDuration(3, 20), func() { sim.store.lostReplyRate = 0 })
		case 23:
			sim.trace("jobs are cancelled")
			sim.cancelJobs(node, sim.longRunningJobs(4))
		case 24:
			sim.trace("heartbeats are recorded for replay to the next owner")
			sim.replayRate = 0.2
			sim.schedule(sim.randomDuration(5, 20), func() { sim.replayRate = 0 })
		case 25:
			sim.trace("only the owner gets 503, then the state service has an outage")
			if owner := sim.owner(); owner != nil {
				sim.refuseRequestsOf(owner, 10*time.Second)
				sim.schedule(sim.randomDuration(0.2, 2), func() { sim.cancelJobs(sim.peerOf(owner), sim.longRunningJobs(3)) })
				sim.schedule(sim.randomDuration(1, 3), func() {
					sim.store.setOutage(true)
					sim.schedule(sim.randomDuration(20, 45), func() { sim.store.setOutage(false) })
				})
			}
		}
		sim.schedule(sim.randomDuration(0.5*interval, 1.5*interval), injectNext)
	}
	sim.schedule(sim.randomDuration(5, 15), injectNext)
}

// mustKeepRules fails the test for each violation of a rule.
func (sim *simulation) mustKeepRules(t *testing.T) {
	t.Helper()
	for _, violation := range sim.violations {
		t.Errorf("rule broken: %s", violation)
	}
}

// mustFinish checks that a final state of every accepted job was reported to its user.
func (sim *simulation) mustFinish(t *testing.T) {
	t.Helper()
	if sim.taskStarts == 0 {
		t.Error("no task started")
	}
	for _, id := range sortedKeys(sim.jobs) {
		if j := sim.jobs[id]; j.accepted && j.reportedState == "" {
			t.Errorf("%s has not ended: %d of %d tasks done", id, j.doneCount, j.taskCount)
		}
	}
}

// firstSeed and seedCount select the seeds of TestRulesHoldUnderRandomFaults. A larger seedCount
// finds rarer violations.
const firstSeed, seedCount = uint64(1), uint64(40)

// TestNoFaults checks the rules without injected faults.
func TestNoFaults(t *testing.T) {
	sim := newSimulation(1, standardConfig())
	submitRandomJobs(sim, 60, 150*time.Second)
	sim.run(300 * time.Second)
	sim.mustKeepRules(t)
	sim.mustFinish(t)
}

// TestRulesHoldUnderRandomFaults is the main test of the protocol. It checks every rule at every
// event under random faults, and that all accepted jobs reach a final state after the faults.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	for seed := firstSeed; seed < firstSeed+seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := standardConfig()
			cfg.nodeCount = []int{3, 5}[seed/2%2]
			sim := newSimulation(seed, cfg)
			sim.delayedMessageRate, sim.lossRate, sim.repeatedOrderRate, sim.lateCopyRate = 0.002, 0.002, 0.03, 0.02
			if seed%2 == 0 {
				sim.maxDelayS = 0.25 // long enough for messages to be reordered
			}
			sim.queryAllNodes = seed%5 == 0
			if testing.Verbose() {
				sim.trace = func(f string, a ...any) { t.Logf("%7.2f %s", sim.now.Seconds(), fmt.Sprintf(f, a...)) }
			}
			submitRandomJobs(sim, 60, 200*time.Second)
			if seed%4 < 2 {
				gangWorkload(20, 200*time.Second, 15)(sim)
			}
			injectRandomFaults(sim, []float64{20, 8, 4}[seed%3], 200*time.Second)
			sim.run(250 * time.Second)
			sim.delayedMessageRate, sim.lossRate, sim.repeatedOrderRate, sim.lateCopyRate, sim.replayRate, sim.replays, sim.queryAllNodes = 0, 0, 0, 0, 0, nil, false
			sim.store.delayedTxnRate, sim.store.lostReplyRate = 0, 0
			sim.faultsEndedAt = sim.now
			sim.run(500 * time.Second)
			sim.mustKeepRules(t)
			sim.mustFinish(t)
		})
	}
}

// TestTakeoverKeepsMachines checks that a new owner does not return a machine that is older than its
// boot time to the cloud before the machine's first heartbeat can reach the new owner. Without this
// rule, half of the running machines are returned to the cloud each time a controller ends.
func TestTakeoverKeepsMachines(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := busySimulation(seed)
		busyMachines := map[string]bool{}
		for id, m := range sim.machines {
			if m.up && !m.gone && len(m.tasks) > 0 {
				busyMachines[id] = true
			}
		}
		if len(busyMachines) < 5 {
			t.Fatalf("only %d machines are busy", len(busyMachines))
		}
		for _, n := range sim.nodes {
			if n.core != nil && len(n.core.activeTerms) > 0 {
				n.crash(3 * time.Second)
			}
		}
		sim.run(75 * time.Second)
		sim.mustKeepRules(t)
		for id := range busyMachines {
			if sim.machines[id].gone {
				t.Errorf("seed %d: %s was returned to the cloud", seed, id)
			}
		}
	}
}

// TestInjectedFaultsAreDetected checks that the rule checks can fail: a core with an injected fault or a
// disabled guard must violate the rule that the affected part enforces.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name, rules string // prefixes; a violation of any of them is enough
		injectFault func(*Core)
	}{
		{"takeover without waiting", "ran_twice", func(c *Core) {
			for _, j := range c.jobs.OpenJobs {
				j.Frozen = false
			}
		}},
		{"a team's limit ignored", "quota", func(c *Core) {
			for i := range c.settings.Cluster.Teams {
				c.settings.Cluster.Teams[i].CPUsMax = 0
			}
		}},
		{"cancellations ignored", "ran_cancelled", func(c *Core) {
			for _, j := range c.jobs.OpenJobs {
				j.Cancelled = false
			}
		}},
		{"cancellations ignored by the scheduler", "start_after_cancel", func(c *Core) {
			for _, j := range c.jobs.OpenJobs {
				j.Cancelled, j.LaunchesHeld = false, false
			}
		}},
		{"a lease taken for over too early", "ran_twice", func(c *Core) { c.pool.LeaseDuration = time.Second }},
		{"orders that may come late forgotten", "ran_ in_use", func(c *Core) {
			for _, m := range c.pool.Machines {
				clear(m.Orders)
			}
		}},
		{"completions invented", "not_done", func(core *Core) {
			for _, job := range core.jobs.OpenJobs {
				for task, p := range job.Assigned {
					if p.State >= 3 {
						job.MarkDone(task)
					}
				}
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				sim := newSimulation(seed, standardConfig())
				sim.injectFault, sim.allowLateLaunches = tc.injectFault, tc.rules != "start_after_cancel"
				sim.repeatedOrderRate = 1
				submitRandomJobs(sim, 60, 200*time.Second)
				injectRandomFaults(sim, 6, 200*time.Second)
				sim.run(300 * time.Second)
				for _, violation := range sim.violations {
					for _, rule := range strings.Fields(tc.rules) {
						if strings.HasPrefix(violation, rule) {
							return
						}
					}
				}
			}
			t.Errorf("no seed broke %s", tc.rules)
		})
	}
}

// busySimulation returns a simulation that has run for one minute and has long tasks on its machines.
func busySimulation(seed uint64) *simulation {
	sim := newSimulation(seed, standardConfig())
	for i := 0; i < 12; i++ {
		sim.submitJob(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 8, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": 90.0}, 90)
	}
	sim.run(60 * time.Second)
	return sim
}

// countLostIncarnations returns the number of worker incarnations that ended on machines that still exist.
// The tasks of an incarnation are lost when it ends.
func (sim *simulation) countLostIncarnations() (ended int) {
	for _, m := range sim.machines {
		if !m.gone {
			ended += int(m.incarnation) - 1
		}
	}
	return ended
}

// TestTasksSurviveLongOutage checks that no running task is lost in an outage of the state service
// that lasts longer than the leases of controllers and workers together. During the outage, peers
// grant the owner extensions, so that it may still answer workers, and do not take over.
func TestTasksSurviveLongOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := busySimulation(seed)
		sim.store.setOutage(true)
		sim.run(100 * time.Second)
		sim.store.setOutage(false)
		sim.run(110 * time.Second)
		sim.mustKeepRules(t)
		if n := sim.countLostIncarnations(); n > 0 {
			t.Errorf("seed %d: %d worker incarnations lost their tasks", seed, n)
		}
	}
}

// TestOwnerRefusedAloneIsReplaced checks a fault in which only the owner gets 503 from the state
// service: its peers grant no extension, the owner stops answering workers, and another controller
// takes over before workers lose tasks.
func TestOwnerRefusedAloneIsReplaced(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := busySimulation(seed)
		owner := -1
		for i, n := range sim.nodes {
			if len(n.core.activeTerms) > 0 {
				owner = i
			}
		}
		sim.store.refusedNodes[owner] = true
		sim.run(75 * time.Second)
		sim.mustKeepRules(t)
		if sim.nodes[owner].core.ownership.MayAnswer() {
			t.Errorf("seed %d: the refused owner may still answer", seed)
		}
		replaced := false
		for i, n := range sim.nodes {
			replaced = replaced || (i != owner && len(n.core.activeTerms) > 0)
		}
		if !replaced || sim.countLostIncarnations() > 0 {
			t.Errorf("seed %d: replaced %v, %d worker incarnations lost their tasks", seed, replaced, sim.countLostIncarnations())
		}
	}
}

// TestManyHangingMachinesAreKept checks that no machine is returned to the cloud and no task is
// lost if four of at most ten on-demand machines hang for 11 s of their 14 s lease and then resume,
// while the cloud has no capacity left.
func TestManyHangingMachinesAreKept(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := busySimulation(seed)
		clear(sim.cloud.available)
		sim.submitJob("job-000900", map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "urgent", "sheets": 40,
			"cores": 8.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": false, "reckonS": 20.0, "dueS": 50.0}, 20)
		sim.run(65 * time.Second)
		var hung []*simMachine
		for _, id := range sortedKeys(sim.machines) {
			if m := sim.machines[id]; m.up && !m.gone && !m.kind.Spot && len(hung) < 4 {
				m.hang(11 * time.Second)
				hung = append(hung, m)
			}
		}
		if len(hung) < 4 {
			t.Fatalf("seed %d: only %d on-demand machines", seed, len(hung))
		}
		sim.run(80 * time.Second)
		sim.mustKeepRules(t)
		for _, m := range hung {
			if m.gone || m.incarnation > 1 {
				t.Errorf("seed %d: %s gone %v, incarnation %d", seed, m.id, m.gone, m.incarnation)
			}
		}
	}
}
