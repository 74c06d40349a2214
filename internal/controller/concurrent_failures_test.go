package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
)

// failureScenario is two or more troubles that meet, as docs/MEETINGS.md lists them. A quiet
// minute passes before play, which begins the troubles and says when they are over.
type failureScenario struct {
	name  string
	setup func(w *simulation)
	play  func(w *simulation) (over time.Duration)
	// quiet leaves the standard work out: setup brings its own.
	quiet bool
	// without takes the guard out, and breaks are the beginnings of what must break
	// then on one of a few days at least.
	without func(w *simulation)
	breaks  string
}

// troubles is a list of things that happen at times after the quiet minute.
type timedFault struct {
	at time.Duration
	do func()
}

func (w *simulation) scheduleAll(list ...timedFault) {
	for _, x := range list {
		w.schedule(x.at, x.do)
	}
}

const (
	s     = time.Second
	quiet = 60 * s
)

// outage takes the state service from all for a while.
func (w *simulation) outage(d time.Duration) {
	w.store.setOutage(true)
	w.schedule(d, func() { w.store.setOutage(false) })
}

// refused lets the state service refuse a node alone for a while.
func (w *simulation) refused(n *simNode, d time.Duration) {
	if n == nil {
		return
	}
	w.store.refuse[n.idx] = true
	w.schedule(d, func() { w.store.refuse[n.idx] = false; w.store.wake() })
}

// apart takes state service and peers from a node for a while.
func (w *simulation) apart(n *simNode, d time.Duration) {
	if n != nil {
		w.isolate(n, true)
		w.schedule(d, func() { w.isolate(n, false) })
	}
}

// callOffSoon lets users submit small jobs over a time, each at two nodes at once, and cancel
// them within a fraction of a second after they are known to be accepted.
func (w *simulation) callOffSoon(count int, over time.Duration) {
	for i := range count {
		id := fmt.Sprintf("job-4%05d", i)
		w.schedule(time.Duration(w.rng.Float64()*float64(over)), func() {
			j := w.user(id, spec("blue", 1+w.rng.IntN(2), 1, 5), 5)
			w.submitAgain(j)
			w.cancelOnceAccepted(j)
		})
	}
}

// cancelOnceAccepted cancels a job soon after its acceptance was told.
func (w *simulation) cancelOnceAccepted(j *simJob) {
	w.schedule(w.between(0.02, 0.2), func() {
		if j.accepted {
			w.cancel(j)
		} else if w.now < quiet+90*s {
			w.cancelOnceAccepted(j)
		}
	})
}

// endOwner ends the owner, which is back after some time.
func (w *simulation) endOwner(back time.Duration) {
	if o := w.owner(); o != nil {
		o.crash(back)
	}
}

// peerOf is a living node other than the given one.
func (w *simulation) peerOf(n *simNode) *simNode {
	for _, p := range w.nodes {
		if p != n && p.core != nil {
			return p
		}
	}
	return w.nodes[0]
}

// longest lists jobs that run and have much left, those with most tasks on machines
// first.
func (w *simulation) longest(n int) (list []*simJob) {
	on := map[*simJob]int{}
	for _, m := range w.created {
		for _, t := range m.tasks {
			if t.state == wire.TaskRunning && !t.job.cancelAsk {
				on[t.job]++
			}
		}
	}
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; on[j] > 0 && j.run > 20 && len(list) < n {
			list = append(list, j)
		}
	}
	return list
}

// callOff cancels jobs at a node, which is asked again until it answers or 30 s are over.
func (w *simulation) callOff(n *simNode, list []*simJob) {
	end := w.now + 30*s
	for _, j := range list {
		var again func()
		again = func() {
			if w.now < end {
				w.cancelAt(j, n, again)
			} else {
				w.cancel(j)
			}
		}
		again()
	}
}

// gap is the meeting that broke most: the state service refuses the owner alone, peers
// confirm cancellations, and then it is out for all for longer than cancel_s.
func gap(and func(w *simulation, owner, peer *simNode)) func(w *simulation) time.Duration {
	return func(w *simulation) time.Duration {
		o := w.owner()
		p := w.peerOf(o)
		w.refused(o, 14*s)
		w.scheduleAll(timedFault{300 * time.Millisecond, func() { w.callOff(p, w.longest(4)) }},
			timedFault{330 * time.Millisecond, func() {
				if and != nil {
					and(w, o, p)
				}
			}},
			timedFault{1800 * time.Millisecond, func() { w.outage(60 * s) }})
		return 65 * s
	}
}

// onlyPeer lets the state service refuse everybody but the one that confirms.
func onlyPeer(play func(w *simulation) time.Duration) func(w *simulation) time.Duration {
	return func(w *simulation) time.Duration {
		o := w.owner()
		for _, n := range w.nodes {
			if n != o && n != w.peerOf(o) {
				w.refused(n, 20*s)
			}
		}
		return play(w)
	}
}

// unheard lets an owner believe that its peers have told it all, although they say
// nothing of cancellations.
func unheard(w *simulation) {
	w.gossip = func(_ *simNode, m *PeerMessage, a *PeerAnswer) bool {
		if a != nil {
			a.Vouch, a.Behind, a.Cancelled = true, 0, nil
		}
		return len(m.Cancelled) == 0
	}
}

// trusting lets peers vouch for what an earlier life of theirs told.
func trusting(w *simulation) {
	w.gossip = func(_ *simNode, m *PeerMessage, a *PeerAnswer) bool {
		if a != nil {
			a.Vouch = true
		}
		return len(m.Cancelled) == 0
	}
}

func sabotaged(f func(c *Core)) func(w *simulation) { return func(w *simulation) { w.sabotage = f } }

var (
	noWaiting = sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open {
			j.Frozen = false
		}
	})
	noOrder = sabotaged(func(c *Core) {
		for _, m := range c.pool.Machines {
			m.Session, m.Seq = 0, 0
		}
	})
	shortLease = sabotaged(func(c *Core) { c.pool.LeaseDuration = s })
	noCancels  = sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open {
			j.Cancelled = false
		}
	})
	lateOrders = sabotaged(func(c *Core) {
		for _, m := range c.pool.Machines {
			clear(m.Orders)
		}
	})
	unknownsFree = sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open {
			if j.Frozen {
				j.Frozen = false
			}
		}
	})
	cancelledFree = sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open {
			if j.Cancelled {
				for _, task := range j.AssignedTasks() {
					c.unassign(j, task)
				}
			}
		}
	})
)

// spec is a job of a shape.
func spec(team string, tasks int, cores, estimate float64) map[string]any {
	return map[string]any{"docket": "x", "crew": team, "form": "batch", "urgency": "standard", "sheets": tasks,
		"cores": cores, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": estimate}
}

// atLimit has the limited team ask for more than it may have.
func atLimit(w *simulation) {
	for i := 0; i < 5; i++ {
		w.user(fmt.Sprintf("job-7%05d", i), spec("red", 6, 4, 40), 40)
	}
}

// someMachines calls f for every so many of the machines that run something.
func (w *simulation) someMachines(every int, f func(m *simMachine)) {
	for i, m := range w.busyMachines() {
		if i%every == 0 {
			f(m)
		}
	}
}

func (w *simulation) muteFor(d time.Duration) func(m *simMachine) {
	return func(m *simMachine) {
		m.mute = true
		w.schedule(d, func() { m.mute = false })
	}
}

// ifNew calls f for machines that were rented after the quiet minute.
func (w *simulation) ifNew(f func(m *simMachine)) func(m *simMachine) {
	return func(m *simMachine) {
		if m.born >= quiet {
			f(m)
		}
	}
}

func (w *simulation) deafFor(d time.Duration) func(m *simMachine) {
	return func(m *simMachine) {
		w.deafen(m.id, true)
		w.schedule(d, func() { w.deafen(m.id, false) })
	}
}

func hangFor(d time.Duration) func(m *simMachine) { return func(m *simMachine) { m.hang(d) } }

// cutZone takes a zone's machines and a node from everything outside for a while.
func (w *simulation) cutZone(zone string, n *simNode, d time.Duration) {
	set := func(on bool) {
		for _, m := range w.created {
			for _, p := range w.nodes {
				if m.kind.Zone == zone && p != n || m.kind.Zone != zone && p == n {
					w.setCut(m.id, p.label, on)
				}
			}
		}
		w.isolate(n, on)
	}
	set(true)
	w.schedule(d, func() { set(false) })
}

var failureScenarios = []failureScenario{
	{name: "the gap", play: gap(nil), without: unheard, breaks: "ran_cancelled"},
	{name: "the gap, peer ends after its answer", play: onlyPeer(gap(func(_ *simulation, _, p *simNode) { p.crash(5 * s) })), without: trusting, breaks: "ran_cancelled"},
	{name: "the gap, peer back at once", play: onlyPeer(gap(func(w *simulation, _, p *simNode) { p.crash(300 * time.Millisecond); w.refused(p, 20*s) })), without: trusting, breaks: "ran_cancelled"},
	{name: "the gap, only one peer is served", play: onlyPeer(gap(nil)), without: unheard, breaks: "ran_cancelled"},
	{name: "the gap, several confirm", play: gap(func(w *simulation, o, _ *simNode) {
		for i, j := range w.longest(6) {
			w.callOff(w.nodes[(o.idx+1+i%(len(w.nodes)-1))%len(w.nodes)], []*simJob{j})
		}
	}), without: unheard, breaks: "ran_cancelled"},
	{name: "the gap, messages between peers lost", setup: func(w *simulation) {
		w.gossip = func(*simNode, *PeerMessage, *PeerAnswer) bool { return w.rng.IntN(3) > 0 }
	}, play: gap(nil)},
	{name: "the gap, machines mute", play: gap(func(w *simulation, _, _ *simNode) { w.someMachines(3, w.muteFor(40*s)) })},
	{name: "the gap, machines deaf", play: gap(func(w *simulation, _, _ *simNode) { w.someMachines(3, w.deafFor(40*s)) })},
	{name: "the gap, machines hang", play: gap(func(w *simulation, _, _ *simNode) { w.someMachines(3, hangFor(12*s)) })},
	{name: "looks at all nodes", setup: func(w *simulation) { w.looks = true }, play: func(w *simulation) time.Duration {
		w.schedule(10*s, func() { w.endOwner(2 * s) })
		return 60 * s
	}, without: func(w *simulation) { w.memory = true }, breaks: "forgotten went_back"},
	{name: "late answers of the state service, jobs called off at once", setup: func(w *simulation) { w.looks = true }, play: func(w *simulation) time.Duration {
		w.store.held = 0.3
		w.callOffSoon(120, 50*s)
		w.schedule(25*s, func() { w.endOwner(2 * s) })
		return 60 * s
	}, without: func(w *simulation) { w.sharing = true }, breaks: "went_back"},
	{name: "a zone cut off with a controller", play: func(w *simulation) time.Duration {
		w.cutZone("a", w.owner(), 40*s)
		return 45 * s
	}, without: noWaiting, breaks: "ran_twice quota sums"},
	{name: "called off at the end", setup: func(w *simulation) { w.atEnd, w.looks = 0.5, true }, play: func(*simulation) time.Duration { return 60 * s },
		without: sabotaged(func(c *Core) {
			for _, j := range c.jobs.Open {
				for task, p := range j.Assigned {
					if p.State >= jobs.Running {
						j.MarkDone(task)
					}
				}
			}
		}), breaks: "not_done"},
	{name: "old reports as a leader begins", setup: func(w *simulation) { w.keep = 0.3 }, play: func(w *simulation) time.Duration {
		for at := 2 * s; at < 50*s; at += 12 * s {
			w.schedule(at, func() { w.endOwner(w.between(0.2, 4)) })
		}
		return 60 * s
	}, without: noOrder, breaks: "ran_ in_use sums left_waiting"},
	{name: "more work than room, slow links", setup: func(w *simulation) {
		w.lag = 0.4
		for i := 0; i < 25; i++ {
			x := spec("blue", 20, 4, 10)
			x["urgency"] = []string{"urgent", "low"}[i%2]
			w.user(fmt.Sprintf("job-6%05d", i), x, 10)
		}
	}, play: func(w *simulation) time.Duration {
		w.scheduleAll(timedFault{5 * s, func() { w.endOwner(3 * s) }}, timedFault{20 * s, func() { w.callOff(w.nodes[0], w.longest(3)) }})
		return 40 * s
	}},
	{name: "old reports after newer ones", setup: func(w *simulation) { w.copies, w.repeats = 0.3, 0.2 }, play: func(w *simulation) time.Duration {
		w.scheduleAll(timedFault{5 * s, func() { w.someMachines(4, func(m *simMachine) { m.restart() }) }},
			timedFault{20 * s, func() { w.endOwner(s) }}, timedFault{30 * s, func() { w.someMachines(4, hangFor(20*s)) }})
		return 60 * s
	}, without: noOrder, breaks: "ran_ in_use sums left_waiting"},
	{name: "zone-bound jobs lose machines", setup: func(w *simulation) {
		for i := 0; i < 8; i++ {
			x := spec("blue", 6, 2, 30)
			x["valley"] = []string{"a", "b"}[i%2]
			x["oneZone"] = i%3 == 0
			w.user(fmt.Sprintf("job-6%05d", i), x, 30)
		}
	}, play: func(w *simulation) time.Duration {
		w.scheduleAll(timedFault{2 * s, func() { w.someMachines(3, func(m *simMachine) { m.die() }) }},
			timedFault{4 * s, func() { w.endOwner(2 * s) }}, timedFault{20 * s, func() { w.someMachines(3, func(m *simMachine) { m.die() }) }})
		return 40 * s
	}, without: sabotaged(func(c *Core) {
		for _, j := range c.jobs.Open {
			j.Zone = ""
		}
	}), breaks: "wrong_place"},
	{name: "all controllers away for over a lease", play: func(w *simulation) time.Duration {
		for _, n := range w.nodes {
			n.crash(w.between(18, 22))
		}
		return 30 * s
	}, without: shortLease, breaks: "ran_twice quota sums in_use"},
	{name: "mute machines, jobs called off, the leader ends", play: func(w *simulation) time.Duration {
		w.someMachines(3, w.muteFor(25*s))
		w.scheduleAll(timedFault{2 * s, func() { w.callOff(w.nodes[0], w.longest(4)) }}, timedFault{5 * s, func() { w.endOwner(2 * s) }})
		return 40 * s
	}, without: noCancels, breaks: "ran_cancelled"},
	{name: "mute for over a lease, asked by a new leader", quiet: true, setup: func(w *simulation) {
		for i := 0; i < 30; i++ {
			w.user(fmt.Sprintf("job-6%05d", i), spec("blue", 5, 4, 60), 60)
		}
	}, play: func(w *simulation) time.Duration {
		w.someMachines(2, w.muteFor(33*s))
		w.schedule(4*s, func() { w.endOwner(2 * s) })
		return 40 * s
	}, without: sabotaged(func(c *Core) {
		for _, m := range c.pool.Machines {
			if m.FoundByProbe && c.tasksOn(m.ID) > 0 {
				m.LastAnswer = min(m.LastAnswer, c.ownership.Claims()[m.Class].Since)
			}
		}
	}), breaks: "ran_twice"},
	{name: "ten leaders in two minutes, some in an outage", play: func(w *simulation) time.Duration {
		for i := time.Duration(0); i < 10; i++ {
			w.schedule(12*s*i, func() { w.endOwner(w.between(0.1, 6)) })
		}
		w.schedule(50*s, func() { w.outage(20 * s) })
		w.schedule(45*s, func() { w.callOff(w.nodes[1], w.longest(3)) })
		return 125 * s
	}, without: noWaiting, breaks: "ran_twice quota sums"},
	{name: "gap of promises: a peer ends in an outage", play: func(w *simulation) time.Duration {
		w.outage(50 * s)
		w.scheduleAll(timedFault{10 * s, func() { w.peerOf(w.owner()).crash(8 * s) }}, timedFault{25 * s, func() { w.peerOf(nil).crash(300 * time.Millisecond) }})
		return 55 * s
	}},
	{name: "all end, one is back at once", play: func(w *simulation) time.Duration {
		for i, n := range w.nodes {
			n.crash([]time.Duration{700 * time.Millisecond, 9 * s, 12 * s, 14 * s, 16 * s}[i])
		}
		w.schedule(6*s, func() { w.nodes[0].crash(400 * time.Millisecond) })
		return 30 * s
	}, without: noWaiting, breaks: "ran_twice quota sums"},
	{name: "few tasks end far apart across a change", setup: func(w *simulation) {
		for i := 0; i < 20; i++ {
			w.user(fmt.Sprintf("job-6%05d", i), spec("blue", 2+i%2, 1, 40), 5+4*float64(i))
		}
	}, play: func(w *simulation) time.Duration {
		w.scheduleAll(timedFault{s, func() { w.endOwner(3 * s) }}, timedFault{15 * s, func() { w.endOwner(3 * s) }}, timedFault{30 * s, func() { w.callOff(w.nodes[2], w.longest(5)) }})
		return 50 * s
	}},
	{name: "one-task jobs, four a second", quiet: true, setup: func(w *simulation) {
		w.cfg.writeRPS = 60
		for i := 0; i < 480; i++ {
			w.schedule(time.Duration(i)*250*time.Millisecond, func() {
				j := w.user(fmt.Sprintf("job-5%05d", i), spec("blue", 1, 1, 5), 5)
				if i%4 == 0 {
					w.schedule(w.between(0.2, 6), func() { w.cancel(j) })
				}
			})
		}
	}, play: func(w *simulation) time.Duration {
		w.schedule(20*s, func() { w.endOwner(3 * s) })
		return 100 * s
	}},
	{name: "new machines at once, writes lag, the leader ends", quiet: true, setup: func(w *simulation) {
		w.cloud.slow = 0.15
		w.user("job-600100", spec("blue", 4, 4, 60), 60)
	}, play: func(w *simulation) time.Duration {
		w.store.late = 0.3
		for i := 0; i < 10; i++ {
			w.user(fmt.Sprintf("job-6%05d", i), spec("blue", 6, 4, 30), 30)
		}
		w.scheduleAll(timedFault{4 * s, func() { w.endOwner(2 * s); w.someMachines(1, w.ifNew(w.muteFor(11*s))) }}, timedFault{30 * s, func() { w.store.late = 0 }})
		return 45 * s
	}, without: sabotaged(func(c *Core) {
		for id := range c.pool.Machines { // launches before the record of the machine
			e := c.machineRecords[id]
			e.Up = true
			c.machineRecords[id] = e
			c.recordRequested[id] = true
		}
	}), breaks: "ran_twice quota"},
	{name: "the leader ends, machines are out of reach", play: func(w *simulation) time.Duration {
		w.someMachines(4, w.muteFor(30*s))
		w.someMachines(3, w.deafFor(30*s))
		w.endOwner(4 * s)
		return 40 * s
	}, without: noWaiting, breaks: "ran_twice quota sums"},
	{name: "slow state service, refused alone, then out", play: func(w *simulation) time.Duration {
		w.store.slow = 0.4
		w.looks = true
		w.scheduleAll(timedFault{5 * s, func() { gap(nil)(w) }}, timedFault{80 * s, func() { w.store.slow = 0; w.looks = false }})
		return 85 * s
	}, without: unheard, breaks: "ran_cancelled"},
	{name: "transactions carried out late", setup: func(w *simulation) { w.looks = true }, play: func(w *simulation) time.Duration {
		w.store.late = 0.25
		w.scheduleAll(timedFault{10 * s, func() { w.callOff(w.nodes[0], w.longest(4)) }}, timedFault{20 * s, func() { w.endOwner(2 * s) }}, timedFault{45 * s, func() { w.store.late = 0 }})
		return 60 * s
	}},
	{name: "the leader alone with workers and users", play: func(w *simulation) time.Duration {
		o := w.owner()
		w.apart(o, 30*s)
		w.scheduleAll(timedFault{2 * s, func() { w.callOff(w.peerOf(o), w.longest(4)) }}, timedFault{8 * s, func() { w.callOff(w.peerOf(o), w.longest(4)) }})
		return 40 * s
	}, without: noCancels, breaks: "ran_cancelled"},
	{name: "commands and answers held up", setup: func(w *simulation) { w.slow, w.repeats, w.cached = 0.05, 1, true }, play: func(w *simulation) time.Duration {
		for at := 2 * s; at < 110*s; at += 8 * s {
			w.schedule(at, func() { w.someMachines(5, hangFor(w.between(2, 12))) })
		}
		for at := 10 * s; at < 110*s; at += 30 * s {
			w.schedule(at, func() { w.callOff(w.nodes[0], w.longest(4)) })
		}
		w.schedule(110*s, func() { w.slow, w.repeats = 0, 0 })
		return 125 * s
	}, without: lateOrders, breaks: "ran_ in_use quota"},
	{name: "orders held up for leases, jobs called off", quiet: true, setup: func(w *simulation) {
		for i := 0; i < 4; i++ {
			w.user(fmt.Sprintf("job-3%05d", i), spec("blue", 8, 2, 90), 90)
		}
	}, play: func(w *simulation) time.Duration {
		w.stray, w.cached = 0.5, true
		for i := 0; i < 30; i++ {
			w.schedule(w.between(0, 10), func() {
				j := w.user(fmt.Sprintf("job-6%05d", i), spec("blue", 2, 1, 40), 40)
				w.schedule(w.between(0.5, 3), func() { w.cancel(j) })
			})
		}
		w.scheduleAll(timedFault{14 * s, func() { w.stray = 0 }})
		return 70 * s
	}, without: sabotaged(func(c *Core) { c.ownership.MaxStaleness = time.Hour }), breaks: "ran_cancelled"},
	{name: "at the limit, cancelled jobs' machines cut off or hang, the leader changes", setup: atLimit, play: func(w *simulation) time.Duration {
		w.someMachines(3, hangFor(11*s))
		w.someMachines(4, w.deafFor(20*s))
		w.scheduleAll(timedFault{s, func() { w.callOff(w.nodes[1], w.longest(8)) }}, timedFault{4 * s, func() { w.endOwner(2 * s) }})
		return 40 * s
	}, without: cancelledFree, breaks: "quota ran_"},
	{name: "at the limit, machines can't be asked, a cancellation falls in", setup: atLimit, play: func(w *simulation) time.Duration {
		w.someMachines(2, w.muteFor(12*s))
		w.someMachines(3, hangFor(10*s))
		w.endOwner(2 * s)
		w.scheduleAll(timedFault{4 * s, func() { w.callOff(w.nodes[1], w.longest(6)) }})
		return 30 * s
	}, without: unknownsFree, breaks: "quota ran_twice"},
	{name: "only the answers of transactions are lost", setup: func(w *simulation) { w.looks = true }, play: func(w *simulation) time.Duration {
		w.store.unsaid = 0.25
		w.scheduleAll(timedFault{10 * s, func() { w.callOff(w.nodes[0], w.longest(4)) }}, timedFault{20 * s, func() { w.endOwner(2 * s) }}, timedFault{45 * s, func() { w.store.unsaid = 0 }})
		return 60 * s
	}},
	{name: "called off while work changes hands", play: func(w *simulation) time.Duration {
		w.endOwner(3 * s)
		for at := time.Duration(0); at < 6*s; at += s / 2 {
			w.schedule(at, func() { w.callOff(w.nodes[w.rng.IntN(len(w.nodes))], w.longest(1)) })
		}
		return 20 * s
	}, without: noCancels, breaks: "ran_cancelled"},
	{name: "odd requests in a takeover", setup: func(w *simulation) { w.looks = true }, play: func(w *simulation) time.Duration {
		w.schedule(10*s, func() { w.endOwner(2 * s) })
		for at := time.Duration(0); at < 40*s; at += s / 4 {
			w.schedule(at, w.odd)
		}
		return 45 * s
	}, without: sabotaged(func(c *Core) {
		c.teams["nobody"] = c.teams["blue"]
	}), breaks: "odd"},
}

// playScenario plays a meeting with everything else that a day brings.
func playScenario(m failureScenario, nodes int, seed uint64, without bool, log func(string, ...any)) *simulation {
	cfg := standardConfig()
	cfg.nodes, cfg.cancel = nodes, 34
	w := newSimulation(seed, cfg)
	if log != nil {
		w.trace = func(f string, a ...any) { log("%7.2f %s", w.now.Seconds(), fmt.Sprintf(f, a...)) }
	}
	if m.setup != nil {
		m.setup(w)
	}
	if !m.quiet {
		for i := 0; i < 8; i++ {
			w.user(fmt.Sprintf("job-3%05d", i), spec("blue", 8, 4, 90), 90)
		}
		randomJobs(w, 20, 100*s)
	}
	w.run(quiet)
	if without {
		m.without(w)
	}
	over := m.play(w)
	w.run(quiet + over)
	w.lag, w.copies, w.keep, w.slow, w.repeats, w.atEnd, w.looks, w.kept = 0, 0, 0, 0, 0, 0, false, nil
	w.store.late, w.store.unsaid, w.store.slow, w.store.held = 0, 0, 0, 0
	w.calm = w.now
	w.run(w.now + 220*s)
	return w
}

// scenarioSeeds is how many days of each meeting are played; raise it to hunt.
const scenarioSeeds = uint64(2)

// guardOutSeeds is on how many days at most a meeting without its guard must break a rule:
// some faults need a late message at one moment.
const guardOutSeeds = uint64(48)

// TestConcurrentFailures plays every meeting with three and five controllers, checks
// the rules at every event, and that all work is done in the end. Then it takes the
// meeting's guard out, and the rules must break.
func TestConcurrentFailures(t *testing.T) { playScenarios(t, failureScenarios) }

func playScenarios(t *testing.T, list []failureScenario) {
	for _, m := range list {
		for _, nodes := range []int{3, 5} {
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				t.Run(fmt.Sprintf("%s/%d/%d", m.name, nodes, seed), func(t *testing.T) {
					t.Parallel()
					var log func(string, ...any)
					if testing.Verbose() {
						log = t.Logf
					}
					w := playScenario(m, nodes, seed, false, log)
					w.mustKeepRules(t)
					w.mustFinish(t)
					w.mustServe(t)
				})
			}
		}
		if m.without == nil {
			continue
		}
		t.Run(m.name+"/guard out", func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			for seed := uint64(1); seed <= guardOutSeeds; seed++ {
				for _, b := range playScenario(m, 3, seed, true, nil).broken {
					for _, rule := range strings.Fields(m.breaks) {
						if strings.HasPrefix(b, rule) {
							return
						}
					}
					seen[b] = true
				}
			}
			t.Errorf("no day broke %s: %v", m.breaks, seen)
		})
	}
}
