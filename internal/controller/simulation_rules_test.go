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

func standardConfig() simConfig {
	return simConfig{
		nodes: 3,
		teams: []config.Team{{Name: "red", CPUs: 16, CPUsMax: 40}, {Name: "blue"}},
		types: []wire.MachineType{
			{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 5, Zones: []string{"a", "b"}},
			{Name: "large", CPUs: 16, MemoryGB: 64, Price: 0.9, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
		},
		capacity: map[fleet.Kind]int{
			{Class: "small", Zone: "a"}: 3, {Class: "small", Zone: "b"}: 3, {Class: "small", Zone: "a", Spot: true}: 4, {Class: "small", Zone: "b", Spot: true}: 4,
			{Class: "large", Zone: "a"}: 2, {Class: "large", Zone: "b"}: 2, {Class: "large", Zone: "a", Spot: true}: 2, {Class: "large", Zone: "b", Spot: true}: 2,
		},
		lease: 14, report: 1.5, cancel: 34, txnOps: 8, valueKB: 4, writeRPS: 30,
	}
}

// randomJobs lets users submit jobs of many shapes for a while.
func randomJobs(w *simulation, count int, over time.Duration) {
	for i := 0; i < count; i++ {
		id := fmt.Sprintf("job-%06d", i)
		w.schedule(time.Duration(w.rng.Float64()*float64(over)), func() {
			spec := map[string]any{"docket": "x", "crew": []string{"red", "blue"}[w.rng.IntN(2)], "form": "batch",
				"urgency": []string{"urgent", "standard", "low"}[w.rng.IntN(3)], "sheets": 1 + w.rng.IntN(12),
				"cores": []float64{1, 2, 4, 8}[w.rng.IntN(4)], "accelerators": 0.0, "ramGb": 4.0, "plate": fmt.Sprintf("img-%d", w.rng.IntN(3)), "imageGb": 1.0,
				"builds": nil, "valley": nil, "oneZone": w.chance(0.2), "scatter": false, "loaners": w.chance(0.7),
				"reckonS": 8.0, "markS": 0.0, "stowS": 0.0, "dueS": nil}
			switch w.rng.IntN(6) {
			case 0:
				spec["builds"] = []string{"small"}
			case 1:
				spec["builds"] = []string{"large"}
			case 2:
				spec["valley"] = "b"
			}
			if spec["oneZone"] == false && w.chance(0.2) {
				spec["scatter"] = true
			}
			j := w.user(id, spec, 2+10*w.rng.Float64())
			if w.chance(0.15) {
				w.schedule(w.between(0.5, 25), func() { w.cancel(j) })
			} else if w.chance(0.03) {
				j.bad = true
				w.schedule(w.between(40, 60), func() { w.cancel(j) })
			}
		})
	}
	for i := 0; i < count; i++ {
		w.schedule(time.Duration(w.rng.Float64()*float64(over)), w.stranger)
	}
}

func (w *simulation) liveMachine() *simMachine {
	var live []*simMachine
	for _, id := range sortedKeys(w.machines) {
		if m := w.machines[id]; m.up && !m.gone {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[w.rng.IntN(len(live))]
}

// randomFaults draws troubles, alone and together, until a time.
func randomFaults(w *simulation, every float64, until time.Duration) {
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		node := w.nodes[w.rng.IntN(len(w.nodes))]
		m := w.liveMachine()
		switch w.rng.IntN(26) {
		case 0, 1:
			node.crash(w.between(0.1, 8))
		case 2:
			for _, n := range w.nodes {
				n.crash(w.between(0.1, 8))
			}
		case 3:
			w.trace("outage")
			w.store.setOutage(true)
			w.schedule(w.between(1, 30), func() { w.trace("outage over"); w.store.setOutage(false) })
		case 4:
			w.trace("503 for %s", node.label)
			w.store.refuse[node.idx] = true
			w.schedule(w.between(1, 30), func() { w.trace("503 over"); w.store.refuse[node.idx] = false; w.store.wake() })
		case 5, 6:
			if m != nil {
				m.die()
			}
		case 7, 8:
			if m != nil {
				m.hang(w.between(1, 40))
			}
		case 9:
			if m != nil && m.kind.Spot {
				m.recall = w.now + w.between(5, 15)
				w.schedule(m.recall-w.now, m.die)
			}
		case 10:
			if m != nil {
				m.sick = true
			}
		case 11:
			w.cloud.outage = true
			w.schedule(w.between(5, 20), func() { w.cloud.outage = false })
		case 12:
			other := w.nodes[(node.idx+1)%len(w.nodes)].label
			if m != nil && w.chance(0.5) {
				other = m.id
			}
			w.trace("cut %s %s", node.label, other)
			w.setCut(node.label, other, true)
			w.schedule(w.between(1, 30), func() { w.trace("cut over"); w.setCut(node.label, other, false) })
		case 13, 14:
			if m != nil {
				w.trace("%s gets no answers", m.id)
				w.deafen(m.id, true)
				w.schedule(w.between(1, 40), func() { w.deafen(m.id, false) })
			}
		case 15:
			w.trace("%s has only its workers", node.label)
			w.isolate(node, true)
			w.schedule(w.between(1, 30), func() { w.trace("%s has all again", node.label); w.isolate(node, false) })
		case 16:
			// Back at once, and once more in the election that follows.
			node.crash(w.between(0.05, 0.5))
			w.schedule(w.between(0.1, 4), func() { w.nodes[w.rng.IntN(len(w.nodes))].crash(w.between(0.05, 0.5)) })
		case 17:
			node.freeze(w.between(0.5, 20))
		case 18:
			if o := w.owner(); o != nil {
				o.freeze(w.between(0.5, 8))
			}
		case 19:
			w.trace("%s loses its workers", node.label)
			w.cutWorkers(node, w.now+w.between(2, 30))
		case 20:
			w.trace("machines reach no controller")
			w.someMachines(2, w.muteFor(w.between(5, 35)))
		case 21:
			w.trace("transactions are late")
			w.store.late = 0.3
			w.schedule(w.between(3, 20), func() { w.store.late = 0 })
		case 22:
			w.trace("answers of the state service are lost")
			w.store.unsaid = 0.3
			w.schedule(w.between(3, 20), func() { w.store.unsaid = 0 })
		case 23:
			w.trace("jobs are called off")
			w.callOff(node, w.longest(4))
		case 24:
			w.trace("reports are kept for the next owner")
			w.keep = 0.2
			w.schedule(w.between(5, 20), func() { w.keep = 0 })
		case 25:
			w.trace("the owner refused alone, then an outage")
			if o := w.owner(); o != nil {
				w.refused(o, 10*time.Second)
				w.schedule(w.between(0.2, 2), func() { w.callOff(w.peerOf(o), w.longest(3)) })
				w.schedule(w.between(1, 3), func() {
					w.store.setOutage(true)
					w.schedule(w.between(20, 45), func() { w.store.setOutage(false) })
				})
			}
		}
		w.schedule(w.between(0.5*every, 1.5*every), next)
	}
	w.schedule(w.between(5, 15), next)
}

func (w *simulation) mustKeepRules(t *testing.T) {
	t.Helper()
	for _, b := range w.broken {
		t.Errorf("rule broken: %s", b)
	}
}

// mustFinish checks that every job that was accepted came to its end.
func (w *simulation) mustFinish(t *testing.T) {
	t.Helper()
	if w.starts == 0 {
		t.Error("nothing ran")
	}
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.accepted && j.told == "" {
			t.Errorf("%s is not over at the end: %d of %d tasks done", id, j.doneCount, j.tasks)
		}
	}
}

// The days that TestRulesHoldUnderRandomFaults plays; raise daysDrawn to hunt.
const firstSeed, daysDrawn = uint64(1), uint64(40)

func TestQuietDay(t *testing.T) {
	w := newSimulation(1, standardConfig())
	randomJobs(w, 60, 150*time.Second)
	w.run(300 * time.Second)
	w.mustKeepRules(t)
	w.mustFinish(t)
}

// TestRulesHoldUnderRandomFaults is the heart of the tests: days with drawn
// troubles, every rule checked at every event, and all work done in the end.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	for seed := firstSeed; seed < firstSeed+daysDrawn; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := standardConfig()
			cfg.nodes = []int{3, 5}[seed/2%2]
			w := newSimulation(seed, cfg)
			w.slow, w.lost, w.repeats, w.copies = 0.002, 0.002, 0.03, 0.02
			if seed%2 == 0 {
				w.lag = 0.25 // messages overtake each other
			}
			w.looks = seed%5 == 0
			if testing.Verbose() {
				w.trace = func(f string, a ...any) { t.Logf("%7.2f %s", w.now.Seconds(), fmt.Sprintf(f, a...)) }
			}
			randomJobs(w, 60, 200*time.Second)
			if seed%4 < 2 {
				someGangs(20, 200*time.Second, 15)(w)
			}
			randomFaults(w, []float64{20, 8, 4}[seed%3], 200*time.Second)
			w.run(250 * time.Second)
			w.slow, w.lost, w.repeats, w.copies, w.keep, w.kept, w.looks = 0, 0, 0, 0, 0, nil, false
			w.store.late, w.store.unsaid = 0, 0
			w.calm = w.now
			w.run(500 * time.Second)
			w.mustKeepRules(t)
			w.mustFinish(t)
		})
	}
}

// TestTakeoverKeepsMachines guards against a new owner that gives up machines
// older than their boot time before they could report to it: on the bench half
// of the running machines went that way with every controller that ended.
func TestTakeoverKeepsMachines(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := busyWorld(seed)
		before := map[string]bool{}
		for id, m := range w.machines {
			if m.up && !m.gone && len(m.tasks) > 0 {
				before[id] = true
			}
		}
		if len(before) < 5 {
			t.Fatalf("only %d machines are busy", len(before))
		}
		for _, n := range w.nodes {
			if n.core != nil && len(n.core.activeTerms) > 0 {
				n.crash(3 * time.Second)
			}
		}
		w.run(75 * time.Second)
		w.mustKeepRules(t)
		for id := range before {
			if w.machines[id].gone {
				t.Errorf("seed %d: %s was given up", seed, id)
			}
		}
	}
}

// TestBrokenCoresAreCaught shows that the checks above can fail: cores broken
// on purpose must break the rule that the broken part guards.
func TestBrokenCoresAreCaught(t *testing.T) {
	cases := []struct {
		name, rules string // any of these, by their beginnings
		sabotage    func(*Core)
	}{
		{"takeover without waiting", "ran_twice", func(c *Core) {
			for _, j := range c.jobs.Open {
				j.Frozen = false
			}
		}},
		{"a team's limit ignored", "quota", func(c *Core) {
			for i := range c.settings.Cluster.Teams {
				c.settings.Cluster.Teams[i].CPUsMax = 0
			}
		}},
		{"cancellations ignored", "ran_cancelled", func(c *Core) {
			for _, j := range c.jobs.Open {
				j.Cancelled = false
			}
		}},
		{"a lease taken for over too early", "ran_twice", func(c *Core) { c.pool.LeaseDuration = time.Second }},
		{"orders that may come late forgotten", "ran_ in_use", func(c *Core) {
			for _, m := range c.pool.Machines {
				clear(m.Orders)
			}
		}},
		{"completions invented", "not_done", func(c *Core) {
			for _, j := range c.jobs.Open {
				for task, p := range j.Assigned {
					if p.State >= 3 {
						j.MarkDone(task)
					}
				}
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				w := newSimulation(seed, standardConfig())
				w.sabotage = tc.sabotage
				w.repeats = 1
				randomJobs(w, 60, 200*time.Second)
				randomFaults(w, 6, 200*time.Second)
				w.run(300 * time.Second)
				for _, b := range w.broken {
					for _, rule := range strings.Fields(tc.rules) {
						if strings.HasPrefix(b, rule) {
							return
						}
					}
				}
			}
			t.Errorf("no day broke %s", tc.rules)
		})
	}
}

// busyWorld has long tasks running everywhere after a minute.
func busyWorld(seed uint64) *simulation {
	w := newSimulation(seed, standardConfig())
	for i := 0; i < 12; i++ {
		w.user(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 8, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": 90.0}, 90)
	}
	w.run(60 * time.Second)
	return w
}

// sessions counts the sessions that ended with tasks lost.
func (w *simulation) sessions() (ended int) {
	for _, m := range w.machines {
		if !m.gone {
			ended += int(m.session) - 1
		}
	}
	return ended
}

// TestWorkSurvivesALongOutage: an outage of the state service that is longer than
// the controllers' and the workers' leases together costs no running task, since
// the controllers promise each other not to take over.
func TestWorkSurvivesALongOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := busyWorld(seed)
		w.store.setOutage(true)
		w.run(100 * time.Second)
		w.store.setOutage(false)
		w.run(110 * time.Second)
		w.mustKeepRules(t)
		if n := w.sessions(); n > 0 {
			t.Errorf("seed %d: %d machines lost their tasks", seed, n)
		}
	}
}

// TestOwnerRefusedAloneIsReplaced: if only the owner gets 503, its peers promise
// nothing, it stops answering, and another takes over before workers lose tasks.
func TestOwnerRefusedAloneIsReplaced(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := busyWorld(seed)
		owner := -1
		for i, n := range w.nodes {
			if len(n.core.activeTerms) > 0 {
				owner = i
			}
		}
		w.store.refuse[owner] = true
		w.run(75 * time.Second)
		w.mustKeepRules(t)
		if w.nodes[owner].core.ownership.MayAnswer() {
			t.Errorf("seed %d: the refused owner may still answer", seed)
		}
		replaced := false
		for i, n := range w.nodes {
			replaced = replaced || (i != owner && len(n.core.activeTerms) > 0)
		}
		if !replaced || w.sessions() > 0 {
			t.Errorf("seed %d: replaced %v, %d machines lost their tasks", seed, replaced, w.sessions())
		}
	}
}

// TestManyHangingMachinesAreKept: half of the ordinary machines hang for most of
// their lease and go on while the cloud has no others; none is returned, and no task
// is lost.
func TestManyHangingMachinesAreKept(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := busyWorld(seed)
		clear(w.cloud.left)
		w.user("job-000900", map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "urgent", "sheets": 40,
			"cores": 8.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": false, "reckonS": 20.0, "dueS": 50.0}, 20)
		w.run(65 * time.Second)
		var hung []*simMachine
		for _, id := range sortedKeys(w.machines) {
			if m := w.machines[id]; m.up && !m.gone && !m.kind.Spot && len(hung) < 4 {
				m.hang(11 * time.Second)
				hung = append(hung, m)
			}
		}
		if len(hung) < 4 {
			t.Fatalf("seed %d: only %d ordinary machines", seed, len(hung))
		}
		w.run(80 * time.Second)
		w.mustKeepRules(t)
		for _, m := range hung {
			if m.gone || m.session > 1 {
				t.Errorf("seed %d: %s gone %v, session %d", seed, m.id, m.gone, m.session)
			}
		}
	}
}
