package controller

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/wire"
)

type simCloud struct {
	w      *simulation
	hires  map[string][]string
	left   map[fleet.Kind]int
	count  int
	outage bool
	never  float64 // part of new machines that never come up; 0: 0.03
	slow   float64 // how many times as long booting takes; 0: once
}

func (c *simCloud) serve(method, path string, body []byte) (int, []byte) {
	if c.outage {
		return 503, nil
	}
	u, err := url.Parse(path)
	if err != nil {
		return 400, nil
	}
	switch {
	case u.Path == "/machine_types":
		return 200, pack(wire.MachineTypes{Types: c.w.cfg.types})
	case u.Path == "/hosts" && method == "POST":
		var h wire.RentalRequest
		if wire.Decode(body, &h) != nil || h.Count < 1 || h.Count > 50 {
			c.w.reportBroken("limits", "malformed rental")
			return 400, nil
		}
		if ids, ok := c.hires[h.Request]; ok {
			return 200, pack(wire.MachineIDs{Machines: ids})
		}
		k := fleet.Kind{Class: h.Type, Zone: h.Zone, Spot: h.Spot}
		n := min(h.Count, c.left[k])
		if n == 0 {
			return 503, pack(wire.ErrorBody{Error: "no capacity"})
		}
		var ids []string
		for i := 0; i < n; i++ {
			ids = append(ids, c.create(k).id)
		}
		c.hires[h.Request] = ids
		return 200, pack(wire.MachineIDs{Machines: ids})
	case u.Path == "/hosts/delete":
		var m wire.MachineIDs
		if wire.Decode(body, &m) != nil || len(m.Machines) > 100 {
			c.w.reportBroken("limits", "malformed deletion")
			return 400, nil
		}
		for _, id := range m.Machines {
			if x := c.w.machines[id]; x != nil {
				x.die()
			}
		}
		return 200, nil
	case u.Path == "/hosts":
		var l wire.MachineList
		for _, id := range sortedKeys(c.w.machines) {
			m := c.w.machines[id]
			age := c.w.now - m.born
			if m.gone || age < c.w.between(1, 4) || id <= u.Query().Get("since") {
				continue
			}
			st := wire.MachineBooting
			if m.up {
				st = wire.MachineRunning
			}
			l.Machines = append(l.Machines, wire.ListedMachine{ID: id, Type: m.kind.Class, Zone: m.kind.Zone, Spot: m.kind.Spot, Status: st, AgeS: age.Seconds()})
		}
		return 200, pack(l)
	}
	return 400, nil
}

func (c *simCloud) create(k fleet.Kind) *simMachine {
	c.count++
	c.left[k]--
	id := fmt.Sprintf("i-%06d", c.count)
	m := &simMachine{w: c.w, id: id, address: id, kind: k, born: c.w.now, tasks: map[string]*simTask{}, session: 1}
	if c.w.addressOf != nil {
		m.address = c.w.addressOf(m)
	}
	c.w.machines[m.id] = m
	c.w.created = append(c.w.created, m)
	never, slow := c.never, c.slow
	if never == 0 {
		never = 0.03 // a few never come up
	}
	if slow == 0 {
		slow = 1
	}
	if !c.w.chance(never) {
		c.w.schedule(c.w.between(2*slow, 9*slow), m.start)
	}
	return m
}

type simTask struct {
	id      string
	job     *simJob
	attempt uint64
	state   wire.TaskState
	cause   wire.Cause
	began   time.Duration
	run     *history.TaskRun // its time on the machine, of arrays
}
type simMachine struct {
	w        *simulation
	id       string
	address  string // where direct orders reach it
	kind     fleet.Kind
	born     time.Duration
	up, gone bool
	hung     bool
	mute     bool // reaches no controller
	wakeups  []func()
	sick     bool
	recall   time.Duration
	tasks    map[string]*simTask
	order    []string
	session  uint64
	seq      uint64
	token    uint64
	renewed  time.Duration
	node     int
	inFlight bool
	nextAt   time.Duration
	lastSent time.Duration
	// nextTokenChange is from when a higher token counts as a change again.
	nextTokenChange time.Duration
}

// reportTimeout is for how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

func (m *simMachine) lease() time.Duration {
	return time.Duration(m.w.cfg.lease * float64(time.Second))
}

// when runs f now, or when a hanging machine goes on.
func (m *simMachine) when(f func()) {
	if m.gone {
		return
	}
	if m.hung {
		m.wakeups = append(m.wakeups, f)
		return
	}
	m.checkLease()
	f()
}

func (m *simMachine) start() {
	if m.gone {
		return
	}
	m.up = true
	m.renewed = m.w.now
	m.node = m.w.rng.IntN(len(m.w.nodes))
	m.loop()
}

func (m *simMachine) loop() {
	m.when(func() {
		if !m.inFlight && m.w.now >= m.nextAt {
			m.report()
		}
	})
	if !m.gone {
		m.w.schedule(100*time.Millisecond, m.loop)
	}
}

func (m *simMachine) checkLease() {
	if m.up && !m.gone && m.w.now-m.renewed > m.lease() {
		m.forgetTasks()
		m.session++
		m.renewed = m.w.now
	}
}

// forgetTasks ends everything on the machine, at the latest with its lease.
func (m *simMachine) forgetTasks() {
	for _, t := range m.tasks {
		m.endRun(t)
	}
	m.tasks, m.order = map[string]*simTask{}, nil
}

// beginRun records that a task of an array can execute from now on.
func (m *simMachine) beginRun(t *simTask) {
	t.run = &history.TaskRun{Job: t.job.id, Task: t.id, Machine: m.id, Began: m.w.now}
	m.w.runs = append(m.w.runs, t.run)
}

// endRun records that a task ends, at the latest with the machine's lease.
func (m *simMachine) endRun(t *simTask) {
	if t.run != nil && t.run.Ended == 0 {
		t.run.Ended = min(m.w.now, m.renewed+m.lease())
	}
}

func (m *simMachine) hang(d time.Duration) {
	if m.hung || m.gone || !m.up {
		return
	}
	m.hung = true
	m.w.schedule(d, func() {
		m.hung = false
		fs := m.wakeups
		m.wakeups = nil
		for _, f := range fs {
			m.when(f)
		}
	})
}

// restart ends everything on the machine; its worker is back at once, without memory
// of tokens and with a new session, or with none of its count of messages either.
func (m *simMachine) restart() {
	if m.gone || !m.up {
		return
	}
	m.forgetTasks()
	m.session++
	if m.w.chance(0.2) {
		m.session, m.seq = 1, 0
	}
	m.token, m.renewed, m.inFlight, m.nextAt = 0, m.w.now, false, m.w.now
}

func (m *simMachine) die() {
	if !m.gone {
		m.gone = true
		m.forgetTasks()
		m.w.cloud.left[m.kind]++
	}
}

func (m *simMachine) message() *wire.Report {
	m.seq++
	r := &wire.Report{Machine: m.id, Address: m.address, Type: m.kind.Class, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session, Seq: m.seq, Token: m.token, Tasks: []wire.TaskReport{}}
	if m.recall > 0 {
		s := (m.recall - m.w.now).Seconds()
		r.RecallS = &s
	}
	for _, id := range m.order {
		if t := m.tasks[id]; t != nil {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause})
		}
	}
	return r
}

func (m *simMachine) changed() { m.nextAt = min(m.nextAt, m.lastSent+500*time.Millisecond) }

// seeToken takes note of a token. A higher one counts as a change at most once in half a lease.
func (m *simMachine) seeToken(token uint64) {
	if token <= m.token {
		return
	}
	m.token = token
	if m.w.now >= m.nextTokenChange {
		m.nextTokenChange = m.w.now + m.lease()/2
		m.changed()
	}
}

func (m *simMachine) report() {
	w := m.w
	sent := w.now
	m.lastSent = sent
	m.inFlight = true
	m.nextAt = sent + w.between(0.75*w.cfg.report, 1.25*w.cfg.report)
	body := pack(m.message())
	session := m.session
	n := w.nodes[m.node]
	deliver := func(n *simNode, answer func(int, []byte)) {
		r := &wire.Report{}
		if err := wire.Decode(body, r); err != nil {
			panic(err)
		}
		n.ask(func(ref uint64) Input { return Checkin{ref, r} }, answer)
	}
	serve := func(answer func(int, []byte)) {
		if !m.mute {
			deliver(n, answer)
		}
	}
	if w.chance(w.keep) {
		w.kept = append(w.kept, func(n *simNode) { deliver(n, func(int, []byte) {}) })
	}
	if w.chance(w.copies) { // seconds to well over a lease late
		w.schedule(w.between(1, 2.5*w.cfg.lease), func() { serve(func(int, []byte) {}) })
	}
	w.call(m.id, n.label, reportTimeout, serve, func(status int, b []byte) {
		m.when(func() {
			m.inFlight = false
			if w.now-sent > reportTimeout { // it hung meanwhile
				status = 0
			}
			switch status {
			case 200:
				var rep wire.ReportReply
				if wire.Decode(b, &rep) != nil || m.session != session || rep.Token < m.token {
					return
				}
				m.seeToken(rep.Token)
				m.renewed = sent
				for _, c := range rep.Commands {
					m.execute(c)
				}
			case 421:
				var rd wire.Redirect
				if wire.Decode(b, &rd) == nil && rd.Owner != "" && rd.Owner != n.label {
					for i, x := range w.nodes {
						if x.label == rd.Owner {
							m.node = i
							m.nextAt = w.now
							return
						}
					}
				}
				fallthrough
			default:
				m.node = (m.node + 1) % len(w.nodes)
				m.nextAt = w.now + time.Second
			}
		})
	})
}

// orders executes commands that came straight.
func (m *simMachine) orders(body []byte, answer func(int, []byte)) {
	var o wire.Orders
	if err := wire.Decode(body, &o); err != nil {
		panic(err)
	}
	if !m.up || o.Token < m.token || o.Session != m.session {
		answer(409, pack(m.message()))
		return
	}
	m.seeToken(o.Token)
	for _, c := range o.Commands {
		m.execute(c)
	}
	answer(200, pack(m.message()))
}

func (m *simMachine) free() (cpu, mem float64) {
	for _, t := range m.w.cfg.types {
		if t.Name == m.kind.Class {
			cpu, mem = t.CPUs, t.MemoryGB
		}
	}
	for _, t := range m.tasks {
		if t.state != wire.TaskEnded {
			cpu -= t.job.cores
			mem -= t.job.spec["ramGb"].(float64)
		}
	}
	return cpu, mem
}

func (m *simMachine) execute(c wire.Command) {
	w := m.w
	t := m.tasks[c.Task]
	m.changed()
	switch c.Verb {
	case wire.VerbClear:
		if t != nil && t.attempt == c.Attempt && t.state == wire.TaskEnded {
			delete(m.tasks, c.Task)
		}
	case wire.VerbStop:
		if t != nil && t.attempt == c.Attempt && t.state != wire.TaskEnded {
			if g := w.gangs[gangKey{t.job, t.attempt}]; g != nil {
				g.stop(m, t, c.GraceS)
				return
			}
			t.state, t.cause = wire.TaskEnded, wire.CauseHalted
			m.endRun(t)
		}
	case wire.VerbLaunch:
		if t != nil && t.attempt == c.Attempt {
			return
		}
		id, num, _ := strings.Cut(c.Task, "/")
		j := w.jobs[id]
		n, err := strconv.Atoi(num)
		if t != nil && t.state != wire.TaskEnded {
			w.reportBroken("in_use", "%s launched again on %s", c.Task, m.id)
			return
		}
		nt := &simTask{id: c.Task, job: j, attempt: c.Attempt, state: wire.TaskFetching}
		if t == nil {
			m.order = append(m.order, c.Task)
		}
		if j == nil || err != nil || n >= j.tasks {
			w.reportBroken("no_such", "%s", c.Task)
			return
		}
		cpu, mem := m.free()
		m.tasks[c.Task] = nt
		if cpu < j.cores || mem < j.spec["ramGb"].(float64) {
			nt.state, nt.cause = wire.TaskEnded, wire.CauseNoRoom
			return
		}
		fetch := w.between(0.1, 2)
		if w.cached {
			fetch = time.Millisecond
		}
		w.schedule(fetch, func() { m.when(func() { m.begin(nt, j, n) }) })
	}
}

func (m *simMachine) begin(t *simTask, j *simJob, n int) {
	if m.tasks[t.id] != t || t.state != wire.TaskFetching {
		return
	}
	w := m.w
	t.began = w.now
	w.starts++
	if j.began == 0 {
		j.began = w.now
	}
	m.changed()
	if j.done[n] { // its result is kept: it exits at once
		t.state, t.cause = wire.TaskEnded, wire.CauseDone
		w.checkStart(m, t, j)
		return
	}
	if j.gang {
		t.state = wire.TaskGathering
		w.checkStart(m, t, j)
		w.gather(m, t, j)
		return
	}
	t.state = wire.TaskRunning
	m.beginRun(t)
	w.checkStart(m, t, j)
	run := w.between(0.5*j.run, 1.5*j.run)
	if (m.sick || j.bad) && !j.done[n] {
		run = 300 * time.Millisecond
	}
	w.schedule(run, func() {
		m.when(func() {
			if m.tasks[t.id] != t || t.state != wire.TaskRunning {
				return
			}
			t.state = wire.TaskEnded
			m.endRun(t)
			if (m.sick || j.bad) && !j.done[n] {
				t.cause = wire.CauseError
			} else {
				t.cause = wire.CauseDone
				if !j.done[n] {
					j.done[n] = true
					j.doneCount++
					j.completed = w.now
					if j.doneCount == j.tasks && w.chance(w.atEnd) {
						w.cancel(j)
					}
				}
			}
			m.changed()
		})
	})
}
