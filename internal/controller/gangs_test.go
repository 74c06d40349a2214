package controller

import (
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/config"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
)

// gangSpec is a gang that saves.
func gangSpec(team string, tasks int, cores, estimate float64) map[string]any {
	x := spec(team, tasks, cores, estimate)
	x["form"], x["markS"], x["stowS"] = "gang", 20.0, 3.0
	return x
}

// someGangs submits gangs of several sizes over a while, next to arrays of two teams.
func someGangs(n int, over time.Duration, run float64) func(w *simulation) {
	return func(w *simulation) {
		for i := 0; i < 4; i++ {
			w.user(fmt.Sprintf("job-3%05d", i), spec([]string{"red", "blue"}[i%2], 8, 2, 40), 40)
		}
		for i := 0; i < n; i++ {
			w.schedule(time.Duration(i)*over/time.Duration(n), func() {
				x := gangSpec([]string{"red", "blue"}[i%2], 2+i%5, []float64{1, 2, 4}[i%3], run)
				x["oneZone"] = i%2 == 0
				if i%7 == 3 {
					x["scatter"] = true
					x["oneZone"] = false
				}
				w.user(fmt.Sprintf("job-2%05d", i), x, run)
			})
		}
	}
}

// gangMachines calls f for a machine of each running gang.
func (w *simulation) gangMachines(f func(m *simMachine)) {
	seen := map[string]bool{}
	for _, m := range w.busyMachines() {
		for _, id := range m.order {
			if t := m.tasks[id]; t != nil && t.job.gang && onMachine(t) && !seen[t.job.id] {
				seen[t.job.id] = true
				f(m)
				break
			}
		}
	}
}

// gatheringMachine is a machine with a task of a gang that has not begun, if there is one.
func (w *simulation) gatheringMachine() *simMachine {
	for _, m := range w.created {
		for _, id := range m.order {
			if t := m.tasks[id]; t != nil && t.job.gang && (t.state == wire.TaskFetching || t.state == wire.TaskGathering) {
				return m
			}
		}
	}
	return nil
}

// gangFailureScenarios are meetings of troubles with gangs. One attempt that outlives another, a
// part of a gang that starts anew and a gang called done too early all break rules.
var gangFailureScenarios = []failureScenario{
	{name: "gangs beside arrays", quiet: true, setup: someGangs(30, 50*s, 20), play: func(*simulation) time.Duration { return 10 * s }},
	{name: "machines with gangs die", quiet: true, setup: someGangs(24, 70*s, 40), play: func(w *simulation) time.Duration {
		for at := s; at < 25*s; at += 8 * s {
			w.schedule(at, func() { w.gangMachines((*simMachine).die) })
		}
		return 40 * s
	}},
	{name: "machines with gangs hang and go on", quiet: true, setup: someGangs(24, 70*s, 40), play: func(w *simulation) time.Duration {
		for at := s; at < 25*s; at += 8 * s {
			w.schedule(at, func() { w.gangMachines(hangFor(w.between(2, 13))) })
		}
		return 40 * s
	}, without: sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open { // parts of a new attempt before the old one is gone
			if j.Gang && j.GangRun.Ending {
				for _, task := range j.AssignedTasks() {
					c.unassign(j, task)
				}
			}
		}
	}), breaks: "ran_twice mixed in_use sums wrong_place quota"},
	{name: "gangs wait alone", quiet: true, setup: func(w *simulation) {
		w.cfg.gangWait = 6
		someGangs(24, 70*s, 30)(w)
	}, play: func(w *simulation) time.Duration {
		for at := s; at < 30*s; at += 3 * s {
			w.schedule(at, func() { w.someMachines(3, hangFor(w.between(3, 9))) })
		}
		return 45 * s
	}},
	{name: "gangs are told to stop", quiet: true, setup: func(w *simulation) {
		for k, n := range w.cfg.capacity {
			if !k.Spot {
				w.cloud.left[k] = 0
			} else {
				w.cloud.left[k] = 3 * n
			}
		}
		someGangs(16, 60*s, 60)(w)
	}, play: func(w *simulation) time.Duration {
		for at := s; at < 20*s; at += 9 * s {
			w.schedule(at, func() {
				w.gangMachines(func(m *simMachine) {
					if m.kind.Spot && m.recall == 0 {
						m.recall = w.now + 22*s
						w.schedule(22*s, m.die)
					}
				})
			})
		}
		return 60 * s
	}},
	{name: "the leader ends while gangs start and stop", quiet: true, setup: someGangs(40, 100*s, 25), play: func(w *simulation) time.Duration {
		for at := time.Duration(0); at < 50*s; at += 7 * s {
			w.schedule(at+w.between(0, 2), func() { w.endOwner(w.between(0.1, 3)) })
		}
		return 60 * s
	}, without: noWaiting, breaks: "ran_twice mixed in_use quota sums"},
	{name: "the leader ends while gangs gather, machines hang and die", quiet: true, setup: someGangs(40, 110*s, 20), play: func(w *simulation) time.Duration {
		for at := time.Duration(0); at < 50*s; at += 8 * s {
			w.schedule(at, func() {
				if m := w.gatheringMachine(); m != nil {
					m.hang(20)
					w.schedule(w.between(1, 6), m.die)
				}
				w.schedule(w.between(0.1, 2), func() { w.endOwner(w.between(0.1, 3)) })
			})
		}
		return 60 * s
	}, without: noWaiting, breaks: "ran_twice mixed in_use quota sums"},
	{name: "gangs called off as they start and end", quiet: true, setup: func(w *simulation) {
		w.atEnd, w.looks = 0.4, true
		someGangs(40, 100*s, 12)(w)
	}, play: func(w *simulation) time.Duration {
		for at := time.Duration(0); at < 40*s; at += 4 * s {
			w.schedule(at, func() {
				for _, id := range sortedKeys(w.jobs) {
					if j := w.jobs[id]; j.gang && j.told == "" && w.chance(0.15) {
						w.cancel(j)
					}
				}
			})
		}
		w.schedule(15*s, func() { w.endOwner(2 * s) })
		return 60 * s
	}},
	{name: "gangs, mute and deaf machines, the leader ends", quiet: true, setup: someGangs(30, 90*s, 30), play: func(w *simulation) time.Duration {
		w.someMachines(3, w.muteFor(20*s))
		w.someMachines(4, w.deafFor(20*s))
		w.scheduleAll(timedFault{5 * s, func() { w.endOwner(2 * s) }}, timedFault{12 * s, func() { w.gangMachines((*simMachine).die) }})
		return 50 * s
	}},
	{name: "gangs, orders held up or repeated", quiet: true, setup: func(w *simulation) {
		w.repeats = 0.3
		someGangs(30, 90*s, 25)(w)
	}, play: func(w *simulation) time.Duration {
		w.stray = 0.2
		w.scheduleAll(timedFault{20 * s, func() { w.stray = 0 }}, timedFault{10 * s, func() { w.gangMachines(hangFor(6 * s)) }})
		return 60 * s
	}},
	{name: "gangs and the gap", quiet: true, setup: someGangs(16, 60*s, 60), play: gap(nil)},
	{name: "gangs in a full cluster", quiet: true, setup: func(w *simulation) {
		for i := 0; i < 14; i++ {
			w.user(fmt.Sprintf("job-3%05d", i), spec([]string{"red", "blue"}[i%2], 12, 2, 25), 25)
		}
		for i := 0; i < 3; i++ {
			w.user(fmt.Sprintf("job-2%05d", i), gangSpec("blue", 12, 8, 15), 15)
		}
	}, play: func(w *simulation) time.Duration {
		w.schedule(5*s, func() { w.endOwner(s) })
		return 40 * s
	}},
}

// TestConcurrentFailuresWithGangs plays the meetings with gangs like the others.
func TestConcurrentFailuresWithGangs(t *testing.T) { playScenarios(t, gangFailureScenarios) }

// TestGangsSave: in the meeting with notices, most gangs that are told to stop save.
func TestGangsSave(t *testing.T) {
	saved, ended := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		for _, m := range gangFailureScenarios {
			if m.name != "gangs are told to stop" {
				continue
			}
			w := playScenario(m, 3, seed, false, nil)
			for _, j := range w.jobs {
				saved += j.saved
			}
			for _, g := range w.gangs {
				if g.began && g.stopAt > 0 {
					ended++
				}
			}
		}
	}
	if ended < 5 || saved*10 < ended*8 {
		t.Errorf("%d of %d gangs that were told to stop saved", saved, ended)
	}
}

// gatherAcrossATakeover starts a gang of which one task can't come to its image, since its
// machine hangs; then the owner ends, and that machine for good.
func gatherAcrossATakeover(cfg simConfig, seed uint64, sabotage func(*Core)) (w *simulation, gang *simJob) {
	cfg.gangWait = 60
	w = newSimulation(seed, cfg)
	w.user("job-000001", spec("blue", 8, 4, 60), 60) // machines are there
	w.run(40 * time.Second)
	gang = w.user("job-000002", gangSpec("blue", 4, 4, 15), 15)
	var waiting func()
	waiting = func() {
		for _, m := range w.created {
			for _, x := range m.tasks {
				if x.job == gang && x.state == wire.TaskFetching {
					w.sabotage = sabotage
					m.hang(time.Minute)
					w.schedule(4*time.Second, func() { w.endOwner(2 * time.Second) })
					w.schedule(4500*time.Millisecond, m.die)
					return
				}
			}
		}
		w.schedule(10*time.Millisecond, waiting)
	}
	waiting()
	w.run(w.now + 150*time.Second)
	return w, gang
}

// TestTakeoverCompletesAGang: a gang that waits for one task when its owner ends is
// completed by the next one under the same attempt number. One that ends what it finds
// incomplete starts a second attempt.
func TestTakeoverCompletesAGang(t *testing.T) {
	attempts := func(w *simulation, gang *simJob) (n int) {
		for key := range w.gangs {
			if key.job == gang {
				n++
			}
		}
		return n
	}
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w, gang := gatherAcrossATakeover(cfg, seed, nil)
		w.mustKeepRules(t)
		w.mustFinish(t)
		if n := attempts(w, gang); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
	w, gang := gatherAcrossATakeover(standardConfig(), 1, func(c *Core) { c.settings.Cluster.Workers.GangWaitS = 0 })
	if n := attempts(w, gang); n < 2 {
		t.Errorf("%d attempts although nothing is completed: the day shows nothing", n)
	}
}

// TestOldGangIsNotCompleted: as soon as a task of the attempt may have waited for most of
// gang_wait_s, or one has ended, the attempt ends at the takeover.
func TestOldGangIsNotCompleted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   float64
		ended bool
		want  bool
	}{
		{"young", 5, false, true},
		{"too old", 35, false, false},
		{"a task has ended", 5, true, false},
	} {
		c := testCore(t)
		c.settings.Cluster.Workers.GangWaitS = 40
		c.now.Unix = 1e9
		m := c.pool.GetOrAdd("i-1", "small", "a", false, 0)
		m.Adopted = true
		if tc.ended {
			m.Tasks = []wire.TaskReport{{Task: "job-1/1", Attempt: 7, State: wire.TaskEnded, Cause: wire.CauseGangIncomplete}}
		}
		j := &jobs.Job{Job: &wire.Job{ID: "job-1", Team: "red", Gang: true, Tasks: 2, CPUs: 1, SubmitUnix: 1e9 - tc.age}, Active: true,
			Assigned: map[int]jobs.Assignment{}, FailedOn: map[string]bool{}}
		c.jobs.Open["job-1"] = j
		c.assign(j, 0, jobs.Assignment{Machine: "i-1", Attempt: 7, State: jobs.Fetching})
		c.updateGangs()
		if completed := !j.GangRun.Ending && j.GangRun.Attempt == 7; completed != tc.want {
			t.Errorf("%s: completed %v", tc.name, completed)
		}
	}
}

// TestFaultyGangHoldsNoRoom: a gang that fails everywhere neither has room held for its
// tries nor runs out of machines that it may try.
func TestFaultyGangHoldsNoRoom(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		c := testCore(t)
		c.now.Unix = 1e9
		j := &jobs.Job{Job: &wire.Job{ID: "job-1", Gang: true, Tasks: 2, SubmitUnix: 1e9 - 300},
			Assigned: map[int]jobs.Assignment{}, FailedOn: map[string]bool{"i-1": true}, MarkedFaulty: faulty}
		u := &allocation.Unit{}
		if !c.limitGangUnit(u, j, nil) || u.Overdue == faulty || u.ExcludedMachines["i-1"] == faulty {
			t.Errorf("faulty %v: overdue %v, avoids %v", faulty, u.Overdue, u.ExcludedMachines)
		}
	}
}

// TestGangBeyondItsTeamsLimit is refused with 422, and one that just fits is taken.
func TestGangBeyondItsTeamsLimit(t *testing.T) {
	c := testCore(t)
	c.fleet.Types["small"] = &wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}
	for tasks, refused := range map[int]bool{10: false, 11: true} {
		x := gangSpec("red", tasks, 4, 10)
		x["id"] = "job-000001"
		fill(x)
		sub, err := wire.ParseSubmission(pack(x))
		if err != nil {
			t.Fatal(err)
		}
		if why := c.checkSubmission(sub); (why != "") != refused {
			t.Errorf("%d tasks of 4 CPUs with a limit of 40: %q", tasks, why)
		}
	}
}

// TestGangWaitsForTheUpgrade: as long as a controller may be of the version before, a
// gang is not taken, for that one would run it as an array.
func TestGangWaitsForTheUpgrade(t *testing.T) {
	c := testCore(t)
	c.store.Mirror.Loaded = true
	c.fleet.Types["small"] = &wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}
	x := gangSpec("red", 4, 4, 10)
	x["id"] = "job-000001"
	fill(x)
	if a := answerOf(t, c.Step(Now{Steady: time.Second}, Submit{Ref: 1, Body: pack(x)})); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("%+v", a)
	}
}

// TestLimitsShrinkInABacklog: the state service goes over to its smaller limits without
// notice while keys are full and much is to be written.
func TestLimitsShrinkInABacklog(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		cfg.next = &config.StateLimits{WriteRPS: 15, ValueKB: 2, TxnOps: 4}
		cfg.writeRPS = 20
		w := newSimulation(seed, cfg)
		randomJobs(w, 60, 100*s)
		w.user("job-400000", spec("blue", 20000, 1, 1), 0.2) // of parts of their own
		w.run(60 * s)
		w.store.limit(cfg.next)
		w.schedule(10*s, func() { w.endOwner(2 * s) })
		w.run(120 * s)
		w.calm = w.now
		for _, id := range sortedKeys(w.jobs) {
			if j := w.jobs[id]; j.tasks > 1000 {
				w.cancel(j)
			}
		}
		w.run(500 * s)
		w.mustKeepRules(t)
		w.mustFinish(t)
		if w.store.tooLarge > 0 {
			t.Errorf("%d transactions were too large", w.store.tooLarge)
		}
	})
}

// TestGangsHaveMachinesOfTheirOwn guards against gangs that should start within seconds
// and each came to machines that lacked their image, since arrays filled the others: a
// few ordinary machines, those with the image first, take only gangs, and are arrays'
// again once none has come for a while.
func TestGangsHaveMachinesOfTheirOwn(t *testing.T) {
	c := testCore(t)
	c.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "x", WithinS: 5}}
	var machines []*allocation.Machine
	for i := 0; i < 40; i++ {
		m := &allocation.Machine{ID: fmt.Sprintf("i-%02d", i), Class: "small", Zone: "a", Spot: i%2 == 0,
			Capacity: allocation.Resources{CPUs: 8, Memory: 32}, Free: allocation.Resources{CPUs: 8, Memory: 32}, Images: map[string]bool{}}
		if i == 31 {
			m.Images["img"], m.Free.CPUs = true, 1
		}
		machines = append(machines, m)
	}
	c.reserveForGangs(machines)
	if len(c.gangOnlyMachines) != 0 {
		t.Errorf("without gangs: %v", c.gangOnlyMachines)
	}
	c.now.Steady += time.Minute
	gang := &jobs.Job{Job: &wire.Job{ID: "job-1", Class: "x", Gang: true, Tasks: 8, CPUs: 2, Image: "img", Types: []string{"small"}}, Active: true}
	c.jobs.Open["job-1"] = gang
	c.reserveForGangs(machines)
	if n := len(c.gangOnlyMachines); n != 3 || !c.gangOnlyMachines["i-31"] {
		t.Errorf("for 16 CPUs: %v", c.gangOnlyMachines)
	}
	array := &allocation.Unit{Job: "a", Need: allocation.Resources{CPUs: 1}, Count: 1000, Classes: map[string]bool{"small": true}, Spot: true}
	for _, p := range allocation.Run([]*allocation.Team{{Name: "red", Booked: map[string]allocation.Resources{}, Units: []*allocation.Unit{array}}}, machines, nil, nil) {
		if c.gangOnlyMachines[p.Machine.ID] {
			t.Fatalf("an array's task is on %s", p.Machine.ID)
		}
	}
	c.now.Steady += time.Second
	gang.Tasks = 80 // more than the part that may be reserved
	c.reserveForGangs(machines)
	if n := len(c.gangOnlyMachines); n != 6 {
		t.Errorf("%d of 40 machines", n)
	}
	delete(c.jobs.Open, "job-1")
	c.now.Steady += 20 * time.Minute
	c.reserveForGangs(machines)
	if len(c.gangOnlyMachines) != 0 {
		t.Errorf("long after the last gang: %v", c.gangOnlyMachines)
	}
}
