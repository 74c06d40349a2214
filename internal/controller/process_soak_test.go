package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/wire"
)

// Days of the randomized fault test on real processes. To play one again:
//
//	go test ./internal/controller -run TestProcessesUnderRandomFaults -soak.first=SEED -soak.days=1 -v
//
// The seed draws the faults and their times; processes and sockets take their own time, so a
// rare break may need several runs.
var (
	soakFirst    = flag.Uint64("soak.first", 1, "seed of the first day of the fault test on real processes")
	soakDays     = flag.Uint64("soak.days", 2, "days of the fault test on real processes")
	soakOperator = flag.String("soak.operator", "", "operators' settings of the controllers in the fault test; empty: none")
	soakBinary   = flag.String("soak.binary", "", "program that the fault test runs; empty: built from the sources")
)

const (
	soakNodes    = 3
	soakTroubles = 60 * time.Second // faults are drawn for so long
	soakEvery    = 500 * time.Millisecond
	soakJobs     = 100
	soakLongJobs = 60
	soakLongRun  = 150.0 // seconds
	// soakLargeEvery: every so many days have soakLargeFleet machines, the others 24.
	soakLargeEvery = 4
	soakLargeFleet = 300
	soakSmallFleet = 24
)

// soakConfig is a deployment whose workers report seldom, and whose lease is longer than an owner may
// act without news, as in production: what renews a worker late lasts beyond the time that a
// cancellation has.
func soakConfig(seed uint64) simConfig {
	cfg := smallProcessConfig()
	cfg.report, cfg.lease, cfg.cancel = 3, 20, 34.1
	cfg.teams[0].CPUsMax = 400
	machines := soakSmallFleet
	if seed%soakLargeEvery == 0 {
		machines = soakLargeFleet
	}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: machines}
	return cfg
}

// TestProcessesUnderRandomFaults runs real controllers on loopback and draws faults from a seed,
// two or three of them at a time: processes are killed and stopped, leaders one after the other,
// links are cut in one direction or both, the state service is slow, refuses nodes, loses answers
// and carries transactions out late, machines hang, die, are mute and hear nothing, reports and
// orders come late and again. Users submit at several nodes, cancel at once and in the midst of a
// run, and look at all nodes. The rules are checked from outside: what users were told, and what
// the workers really ran.
func TestProcessesUnderRandomFaults(t *testing.T) {
	binary := *soakBinary
	if binary == "" {
		binary = buildPresentVersion(t)
	}
	for seed := *soakFirst; seed < *soakFirst+*soakDays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, binary, seed)
			if t.Failed() {
				t.Logf("again: go test ./internal/controller -run TestProcessesUnderRandomFaults -soak.first=%d -soak.days=1 -v", seed)
			}
		})
	}
}

func playSoak(t *testing.T, binary string, seed uint64) {
	cfg := soakConfig(seed)
	cfg.operatorFile = *soakOperator
	c := startProcessCluster(t, cfg, binary, soakNodes)
	c.waitFor("the first owner", func(w *simulation) bool { return w.store.keys[ownerKey] != nil })
	faults := &processFaults{c: c, rng: rand.New(rand.NewPCG(seed, 11)), log: t.Logf}
	c.world.do(func() {
		w := c.world.w
		w.looks, w.copies, w.repeats, w.stray = true, 0.03, 0.03, 0.01
		for i := range soakJobs {
			w.schedule(time.Duration(faults.rng.Int64N(int64(soakTroubles))), func() { w.soakJob(fmt.Sprintf("job-%06d", i)) })
		}
		w.soakLongJobs(seed%soakLargeEvery == 0)
	})
	for end := time.Now().Add(soakTroubles); time.Now().Before(end); {
		time.Sleep(time.Duration(faults.rng.Int64N(int64(2 * soakEvery))))
		faults.draw()
	}
	faults.end()
	c.waitForAllJobs("all jobs after the faults")
	c.mustAllRun()
	c.mustKeepHistory()
}

// soakJob is a job of one or two tasks, submitted at two nodes. Half are cancelled at once.
func (w *simulation) soakJob(id string) {
	j := w.user(id, spec([]string{"red", "blue"}[w.rng.IntN(2)], 1+w.rng.IntN(2), 1, 1.5), 1.5)
	w.submitAgain(j)
	if w.chance(0.5) {
		w.cancelOnceAccepted(j)
	}
}

// soakLongJobs are jobs that users cancel while they run, one after the other, and the rest when
// the faults are over. Their tasks would run for longer than a cancellation has.
func (w *simulation) soakLongJobs(large bool) {
	tasks := 2
	if large {
		tasks = 30
	}
	for i := range soakLongJobs {
		w.schedule(w.between(0, soakTroubles.Seconds()/2), func() {
			w.user(fmt.Sprintf("job-2%05d", i), spec("blue", tasks, 2, soakLongRun), soakLongRun)
		})
	}
	end := w.now + soakTroubles
	var next func()
	next = func() {
		if w.now < end {
			for _, j := range w.longest(1) {
				w.cancel(j)
			}
			w.schedule(w.between(0.5, 2), next)
			return
		}
		for _, id := range sortedKeys(w.jobs) {
			if j := w.jobs[id]; j.run == soakLongRun && !j.cancelAsk {
				w.cancel(j)
			}
		}
	}
	w.schedule(w.between(3, 5), next)
}

// mustKeepHistory checks what users were told, and that what was cancelled ended.
func (c *processCluster) mustKeepHistory() {
	c.t.Helper()
	c.world.do(func() {
		w := c.world.w
		r := history.Recording{Completed: map[string]time.Duration{}, CancelWithin: time.Duration(w.cfg.cancel * float64(time.Second))}
		for _, m := range w.machines {
			m.checkLease()
			for _, t := range m.tasks {
				if m.hung {
					m.endRun(t)
				}
			}
		}
		for _, run := range w.runs {
			ended := *run
			if ended.Ended == 0 {
				ended.Ended = w.now
			}
			r.Runs = append(r.Runs, ended)
		}
		for _, e := range c.world.exchanges {
			r.Exchanges = append(r.Exchanges, *e)
		}
		for id, j := range c.world.w.jobs {
			if j.doneCount == j.tasks {
				r.Completed[id] = j.completed
			}
		}
		for _, v := range history.Check(r) {
			c.t.Errorf("rule broken: %v", v)
		}
		cancelled, changes := 0, 0
		for _, j := range w.jobs {
			if j.told == wire.StatusCancelled {
				cancelled++
			}
		}
		for _, e := range w.store.events {
			if e.key == ownerKey && e.ev.Put != "" {
				changes++
			}
		}
		c.t.Logf("%d requests of users, %d starts, %d jobs cancelled, %d changes of owner, %d machines", len(r.Exchanges), w.starts, cancelled, changes, len(w.machines))
	})
}

// recordSent notes a request of a user as it leaves; nil for what is no user's. Guards against a
// cancellation under way at the end of a day, whose job another node already calls cancelled.
func (r *liveSimulation) recordSent(node string, in Input) *history.Exchange {
	e := &history.Exchange{Node: node, SentAt: time.Since(r.start)}
	switch x := in.(type) {
	case Submit:
		s, err := wire.ParseSubmission(x.Body)
		if err != nil {
			return nil
		}
		e.Kind, e.Job = history.Submission, s.ID
	case Query:
		e.Kind, e.Job = history.Query, x.ID
	case Cancel:
		e.Kind, e.Job = history.Cancellation, x.ID
	default:
		return nil
	}
	r.do(func() { r.exchanges = append(r.exchanges, e) })
	return e
}

// recordAnswer notes what came of a request.
func (r *liveSimulation) recordAnswer(e *history.Exchange, status int, body []byte) {
	if e == nil {
		return
	}
	at := time.Since(r.start)
	var state wire.JobStatus
	var err error
	if status == 200 || status == 201 {
		err = wire.Decode(body, &state)
	}
	r.do(func() {
		if err != nil {
			r.w.reportBroken("answer", "%s: %v", e.Job, err)
			return
		}
		e.AnsweredAt, e.Status, e.State = at, status, state.Status
	})
}

// processFaults draws faults and ends them again.
type processFaults struct {
	c       *processCluster
	rng     *rand.Rand
	log     func(string, ...any)
	pending []*endingFault
}

// endingFault is a fault that lasts until its end.
type endingFault struct {
	at  time.Time
	end func()
}

// lasting ends a fault after a drawn time.
func (f *processFaults) lasting(name string, least, most time.Duration, end func()) {
	d := least + time.Duration(f.rng.Int64N(int64(most-least)))
	f.log("%s for %.1f s", name, d.Seconds())
	f.pending = append(f.pending, &endingFault{at: time.Now().Add(d), end: end})
}

// expire ends the faults whose time has come.
func (f *processFaults) expire(all bool) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		if all || !time.Now().Before(p.at) {
			p.end()
		} else {
			kept = append(kept, p)
		}
	}
	f.pending = kept
}

// end ends all faults: from now on everything works.
func (f *processFaults) end() {
	f.expire(true)
	f.c.world.do(func() {
		w := f.c.world.w
		w.looks, w.copies, w.repeats, w.stray, w.lag = false, 0, 0, 0, 0
		w.calm = w.now
	})
}

// draw begins one more fault.
func (f *processFaults) draw() {
	f.expire(false)
	p := f.c.processes[f.rng.IntN(len(f.c.processes))]
	switch f.rng.IntN(28) {
	case 0:
		f.killFor(p, 4*time.Second)
	case 1:
		f.killAll()
	case 2, 3:
		f.pause(p)
	case 4:
		f.cutState(p)
	case 5:
		f.cutPeer(p)
	case 6:
		f.cutWorkers(p)
	case 7:
		f.refuse(p)
	case 8:
		f.outage()
	case 9, 10:
		f.spoilAnswers()
	case 11, 12:
		f.disturbMachine()
	case 13, 14, 15, 16, 17, 18:
		f.killOwner()
	default:
		f.disturbMachines()
	}
}

// ownerKey is where the owner of the machine class is recorded.
const ownerKey = "u/own/small"

// killOwner ends the present owner, so that leaders follow each other.
func (f *processFaults) killOwner() {
	var owner processKey
	f.c.world.do(func() { owner, _ = readProcessKey(f.c.world.w, ownerKey) })
	for _, p := range f.c.processes {
		if p.label == owner.Node {
			f.killFor(p, time.Second)
		}
	}
}

// disturbMachines makes a third of the machines hang, mute or deaf, each for a while that lies
// within its lease.
func (f *processFaults) disturbMachines() {
	w, kind, seconds := f.c.world.w, f.rng.IntN(3), 3+14*f.rng.Float64()
	f.log("a third of the machines for %.1f s: %s", seconds, []string{"hang", "mute", "deaf"}[kind])
	d := time.Duration(seconds * float64(time.Second))
	f.c.world.do(func() {
		for _, m := range w.created {
			if !m.up || m.gone || !w.chance(1.0/3) {
				continue
			}
			switch kind {
			case 0:
				m.hang(d)
			case 1:
				w.muteFor(d)(m)
			case 2:
				f.deafenFor(m, d)
			}
		}
	})
}

// deafenFor keeps answers to reports and direct orders from a machine for a while.
func (f *processFaults) deafenFor(m *simMachine, d time.Duration) {
	w := f.c.world.w
	set := func(on bool) {
		w.deafen(m.id, on)
		w.setOneWay("orders", m.id, on)
	}
	set(true)
	w.schedule(d, func() { set(false) })
}

// killFor ends a process, which is back within a time.
func (f *processFaults) killFor(p *controllerProcess, most time.Duration) {
	if p.command == nil {
		return
	}
	binary := p.binary
	f.c.kill(p)
	f.lasting(p.label+" is killed", 100*time.Millisecond, most, func() { f.c.start(p, binary) })
}

func (f *processFaults) killAll() {
	for _, p := range f.c.processes {
		f.killFor(p, 4*time.Second)
	}
}

// pause lets a process stand still while its clocks run on.
func (f *processFaults) pause(p *controllerProcess) {
	if p.command == nil {
		return
	}
	stopped := p.command.Process
	if err := stopped.Signal(syscall.SIGSTOP); err != nil {
		f.c.t.Errorf("stop %s: %v", p.label, err)
		return
	}
	// It may have been killed meanwhile; then there is nothing to continue.
	f.lasting(p.label+" stands still", 200*time.Millisecond, 8*time.Second, func() { _ = stopped.Signal(syscall.SIGCONT) })
}

// cut holds back what a link carries, in one direction or both.
func (f *processFaults) cut(name, a, b string, least, most time.Duration) {
	w := f.c.world.w
	there, back := true, true
	switch f.rng.IntN(3) {
	case 0:
		there = false
	case 1:
		back = false
	}
	set := func(on bool) {
		f.c.world.do(func() {
			if there {
				w.setOneWay(a, b, on)
			}
			if back {
				w.setOneWay(b, a, on)
			}
		})
	}
	set(true)
	f.lasting(fmt.Sprintf("%s is cut (%t, %t)", name, there, back), least, most, func() { set(false) })
}

func (f *processFaults) cutState(p *controllerProcess) {
	f.cut(p.label+" and the state service", p.label, "state", 300*time.Millisecond, 8*time.Second)
}

func (f *processFaults) cutPeer(p *controllerProcess) {
	other := f.c.processes[f.rng.IntN(len(f.c.processes))]
	if other != p {
		f.cut(p.label+" and "+other.label, p.label, other.label, 300*time.Millisecond, 8*time.Second)
	}
}

// cutWorkers keeps all machines of the moment from a controller.
func (f *processFaults) cutWorkers(p *controllerProcess) {
	w := f.c.world.w
	var ids []string
	set := func(on bool) {
		for _, id := range ids {
			w.setCut(id, p.label, on)
		}
	}
	f.c.world.do(func() {
		ids = sortedKeys(w.machines)
		set(true)
	})
	f.lasting(p.label+" and its workers are cut", 300*time.Millisecond, 9*time.Second, func() { f.c.world.do(func() { set(false) }) })
}

func (f *processFaults) refuse(p *controllerProcess) {
	w, node := f.c.world.w, slices.Index(f.c.processes, p)
	f.c.world.do(func() { w.store.refuse[node] = true })
	f.lasting("the state service refuses "+p.label, 300*time.Millisecond, 8*time.Second, func() {
		f.c.world.do(func() {
			w.store.refuse[node] = false
			w.store.wake()
		})
	})
}

func (f *processFaults) outage() {
	w := f.c.world.w
	f.c.world.do(func() { w.store.setOutage(true) })
	f.lasting("the state service is out", 300*time.Millisecond, 9*time.Second, func() { f.c.world.do(func() { w.store.setOutage(false) }) })
}

// spoilAnswers makes the state service answer late, not at all, or carry out late, and messages
// slow.
func (f *processFaults) spoilAnswers() {
	w := f.c.world.w
	held, late, unsaid, lag := 0.5*f.rng.Float64(), 0.2*f.rng.Float64(), 0.2*f.rng.Float64(), 0.2*f.rng.Float64()
	f.c.world.do(func() { w.store.held, w.store.late, w.store.unsaid, w.lag = held, late, unsaid, lag })
	f.lasting("the state service answers late, or not", 2*time.Second, 8*time.Second, func() {
		f.c.world.do(func() { w.store.held, w.store.late, w.store.unsaid, w.lag = 0, 0, 0, 0 })
	})
}

func (f *processFaults) disturbMachine() {
	w, kind := f.c.world.w, f.rng.IntN(4)
	seconds := 1 + 8*f.rng.Float64()
	f.c.world.do(func() {
		m := w.liveMachine()
		if m == nil {
			return
		}
		d := time.Duration(seconds * float64(time.Second))
		switch kind {
		case 0:
			m.die()
		case 1:
			m.hang(d)
		case 2:
			f.deafenFor(m, d)
		case 3:
			m.restart()
		}
	})
}
