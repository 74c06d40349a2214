package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// sheet is one attempt of a task on a machine.
type sheet struct {
	task    string
	job     *job
	attempt uint64
	gang    bool
	status  string // fetching, gathering, running, ended
	cause   string
	timer   *time.Timer
}

// machine is a rented machine and the worker on it: PROTOCOL, "Workers -> controller nodes".
type machine struct {
	w        *world
	id       string
	build    *machineType
	valley   string
	addr     string
	rentedAt time.Duration
	upAt     time.Duration
	goneAt   time.Duration

	shift, tally, baton uint64
	leaseFrom           time.Duration
	sheets              map[string]*sheet // by task and attempt
	images              map[string]bool
	node                int
	changed             chan struct{}
	stopServer          func()
	answeredSent        time.Duration // when the last report that was answered with 200 was sent
	answeredBy          string
	reportSent          time.Duration // when the last report was sent
}

type order struct {
	Verb    string  `msgpack:"verb"`
	Sheet   string  `msgpack:"sheet"`
	Try     uint64  `msgpack:"try"`
	LeewayS float64 `msgpack:"leewayS"`
}

func newMachine(w *world, id string, build *machineType, valley string) *machine {
	return &machine{w: w, id: id, build: build, valley: valley, rentedAt: w.now(), shift: 1, sheets: map[string]*sheet{}, images: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// boot starts the worker.
func (m *machine) boot() {
	addr, stop, err := serve(m.serve)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if err != nil || m.goneAt != 0 {
		if err == nil {
			stop()
		}
		return
	}
	m.addr, m.stopServer, m.upAt, m.leaseFrom = addr, stop, m.w.now(), m.w.now()
	m.node = rand.IntN(len(m.w.nodes))
	m.w.log("worker: %s (%s) is up", m.id, m.build.Label)
	go m.report()
	go m.watchLease()
}

// end ends a machine with all that is on it.
func (m *machine) end(why string) {
	m.killAll(why)
	m.goneAt = m.w.now()
	if m.stopServer != nil {
		go m.stopServer()
	}
}

func (m *machine) killAll(why string) {
	for _, key := range m.keys() {
		s := m.sheets[key]
		if s.timer != nil {
			s.timer.Stop()
		}
		was := s.status
		s.status = "gone"
		delete(m.sheets, key)
		if was == "running" {
			m.w.log("worker: %s attempt %d leaves %s while it runs: %s", s.task, s.attempt, m.id, why)
			m.w.usageChanged(s.task + " left")
			if s.gang {
				m.w.endGang(s, "gone")
			}
		}
	}
}

func (w *world) usageChanged(what string) {
	if w.usage != nil {
		w.usage(w, what)
	}
}

func (m *machine) keys() []string {
	var keys []string
	for key := range m.sheets {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (m *machine) taskList() string {
	var list []string
	for _, key := range m.keys() {
		list = append(list, m.sheets[key].task+":"+m.sheets[key].status)
	}
	return "[" + strings.Join(list, " ") + "]"
}

// watchLease ends the session when its lease is over.
func (m *machine) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		m.w.mu.Lock()
		if m.goneAt != 0 {
			m.w.mu.Unlock()
			return
		}
		if m.w.now()-m.leaseFrom > seconds(m.w.cfg.leaseS) {
			m.w.log("worker: the lease of %s is over, tasks %s", m.id, m.taskList())
			m.killAll("its lease is over")
			m.shift++
			m.leaseFrom = m.w.now()
			m.noteChange()
		}
		m.w.mu.Unlock()
	}
}

func (m *machine) noteChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// status returns the worker's report.
func (m *machine) status() map[string]any {
	m.tally++
	sheets := []any{}
	for _, key := range m.keys() {
		s := m.sheets[key]
		row := map[string]any{"sheet": s.task, "try": s.attempt, "status": s.status}
		if s.status == "ended" {
			row["cause"] = s.cause
		}
		sheets = append(sheets, row)
	}
	return map[string]any{"hut": m.id, "address": m.addr, "build": m.build.Label, "valley": m.valley, "loaners": false,
		"shift": m.shift, "tally": m.tally, "baton": m.baton, "recallS": nil, "sheets": sheets}
}

// report reports to one node at a time.
func (m *machine) report() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	wait := time.Duration(0)
	lastSent := time.Duration(-time.Hour)
	for {
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-m.changed:
				if pause := 500*time.Millisecond - (m.w.now() - lastSent); pause > 0 {
					time.Sleep(pause)
				}
			}
		}
		m.w.mu.Lock()
		if m.goneAt != 0 {
			m.w.mu.Unlock()
			return
		}
		target, session, sent := m.w.nodes[m.node], m.shift, m.w.now()
		m.reportSent = sent
		body := encode(m.status())
		m.w.mu.Unlock()
		lastSent = sent
		status, answer := 0, []byte(nil)
		if resp, err := client.Post("http://"+target.apiAddr+"/checkin", "application/msgpack", bytes.NewReader(body)); err == nil {
			if b, err := io.ReadAll(resp.Body); err == nil {
				status, answer = resp.StatusCode, b
			}
			resp.Body.Close()
		}
		m.w.mu.Lock()
		if m.goneAt != 0 {
			m.w.mu.Unlock()
			return
		}
		wait = m.handleAnswer(target, session, sent, status, answer, client)
		m.w.mu.Unlock()
		if status != 200 { // a pause before another node is not cut short by changes
			time.Sleep(wait)
			wait = 0
		}
	}
}

// handleAnswer processes the answer to a report and returns the pause before the next one.
func (m *machine) handleAnswer(target *node, session uint64, sent time.Duration, status int, answer []byte, client *http.Client) time.Duration {
	switch status {
	case 200:
		var in struct {
			Baton  uint64  `msgpack:"baton"`
			Orders []order `msgpack:"orders"`
		}
		if decode(answer, &in) && in.Baton >= m.baton && in.Baton > 0 && session == m.shift {
			if in.Baton > m.baton {
				m.baton = in.Baton
				m.noteChange()
			}
			m.leaseFrom = max(m.leaseFrom, sent)
			m.answeredSent, m.answeredBy = sent, target.label
			m.execute(in.Orders, target.label+" (answer)")
		}
		return seconds(m.w.cfg.reportS * (0.75 + 0.5*rand.Float64()))
	case 421:
		var in struct {
			Steward string `msgpack:"steward"`
		}
		decode(answer, &in)
		client.CloseIdleConnections()
		for i, n := range m.w.nodes {
			if n.label == in.Steward && n != target {
				m.node = i
				return time.Duration(rand.IntN(500)) * time.Millisecond
			}
		}
	}
	m.node = (m.node + 1) % len(m.w.nodes)
	return time.Second
}

// serve answers direct commands.
func (m *machine) serve(rw http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	switch {
	case m.goneAt != 0:
		panic(http.ErrAbortHandler)
	case r.Method == "GET" && r.URL.Path == "/status":
		reply(rw, 200, m.status())
	case r.Method == "POST" && r.URL.Path == "/orders":
		var in struct {
			Baton  *uint64 `msgpack:"baton"`
			Shift  *uint64 `msgpack:"shift"`
			Orders []order `msgpack:"orders"`
		}
		switch {
		case !decode(body, &in) || in.Baton == nil || in.Shift == nil:
			reply(rw, 400, nil)
		case *in.Baton < m.baton || *in.Shift != m.shift:
			reply(rw, 409, m.status())
		default:
			if *in.Baton > m.baton {
				m.baton = *in.Baton
				m.noteChange()
			}
			m.execute(in.Orders, "direct")
			reply(rw, 200, m.status())
		}
	default:
		reply(rw, 404, nil)
	}
}

// execute carries out commands in order.
func (m *machine) execute(orders []order, from string) {
	for _, o := range orders {
		key := o.Sheet + "#" + strconv.FormatUint(o.Try, 10)
		s := m.sheets[key]
		switch o.Verb {
		case "launch":
			if s == nil {
				m.launch(o, key, from)
			}
		case "stop":
			if s != nil && s.status != "ended" {
				m.finish(s, "halted")
			}
		case "clear":
			if s != nil && s.status == "ended" {
				delete(m.sheets, key)
				m.noteChange()
			}
		}
	}
}

func (m *machine) launch(o order, key, from string) {
	jobID, number, _ := strings.Cut(o.Sheet, "/")
	index, err := strconv.Atoi(number)
	j := m.w.jobs[jobID]
	s := &sheet{task: o.Sheet, job: j, attempt: o.Try, status: "fetching"}
	if m.w.onLaunch != nil {
		m.w.onLaunch(m, s, from)
	}
	m.sheets[key] = s
	m.noteChange()
	cause := ""
	if j == nil || err != nil || index < 0 || index >= j.Sheets {
		cause = "no_such"
	} else {
		cores, accelerators, ram := m.build.Cores-j.Cores, m.build.Accelerators-j.Accelerators, m.build.RAMGB-j.RAMGB
		for _, other := range m.sheets {
			if other == s || other.status == "ended" {
				continue
			}
			if other.task == s.task {
				cause = "in_use"
			}
			cores, accelerators, ram = cores-other.job.Cores, accelerators-other.job.Accelerators, ram-other.job.RAMGB
		}
		if cause == "" && (cores < -1e-6 || accelerators < -1e-6 || ram < -1e-6) {
			cause = "no_room"
		}
	}
	if cause != "" {
		s.status, s.cause = "ended", cause
		m.w.log("worker: %s refuses %s attempt %d of %s: %s", m.id, o.Sheet, o.Try, from, cause)
		return
	}
	s.gang = j.Form == "gang"
	fetch := time.Duration(0)
	if !m.images[j.Plate] {
		fetch = seconds(j.ImageGB / m.build.FetchGBPerS)
	}
	s.timer = time.AfterFunc(fetch, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if s.status == "fetching" {
			m.images[j.Plate] = true
			if s.gang {
				m.gather(s, from)
			} else {
				m.begin(s, from)
			}
		}
	})
}

// gather makes a task of a gang wait for the others of its attempt. The last one starts them all.
func (m *machine) gather(s *sheet, from string) {
	s.status = "gathering"
	m.noteChange()
	s.timer = time.AfterFunc(seconds(m.w.cfg.gangWaitS), func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if s.status == "gathering" {
			m.finish(s, "alone")
		}
	})
	peers := m.w.peers(s, "gathering")
	if len(peers) == s.job.Sheets {
		for peer, on := range peers {
			peer.timer.Stop()
			on.begin(peer, from)
		}
	}
}

// peers returns the tasks of a gang's attempt that are in a state, with their machines.
func (w *world) peers(s *sheet, status string) map[*sheet]*machine {
	found := map[*sheet]*machine{}
	for _, m := range w.cloud.machines {
		for _, t := range m.sheets {
			if t.job == s.job && t.attempt == s.attempt && t.status == status {
				found[t] = m
			}
		}
	}
	return found
}

// begin runs a task that has its image.
func (m *machine) begin(s *sheet, from string) {
	s.status = "running"
	m.noteChange()
	m.w.log("worker: %s attempt %d of %s runs on %s (launched by %s)", s.task, s.attempt, s.job.Crew, m.id, from)
	for _, other := range m.w.cloud.machines {
		for _, t := range other.sheets {
			if t != s && t.task == s.task && t.status == "running" {
				m.w.log("RULE ran_twice: %s runs on %s and on %s", s.task, m.id, other.id)
			}
		}
	}
	m.w.usageChanged(s.task + " began")
	if m.w.finished[s.task] {
		m.finish(s, "done")
		return
	}
	s.timer = time.AfterFunc(seconds(s.job.runS), func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if s.status == "running" {
			m.w.finished[s.task] = true
			m.finish(s, "done")
		}
	})
}

func (m *machine) finish(s *sheet, cause string) {
	if s.timer != nil {
		s.timer.Stop()
	}
	was := s.status
	s.status, s.cause = "ended", cause
	m.noteChange()
	m.w.log("worker: %s attempt %d ends on %s: %s", s.task, s.attempt, m.id, cause)
	if was == "running" {
		m.w.usageChanged(s.task + " ended")
	}
	if s.gang && was == "running" {
		m.w.endGang(s, cause)
	}
}

// endGang ends the other tasks of a running gang when one has ended: with it if it is done, else within
// gang_peer_s.
func (w *world) endGang(s *sheet, cause string) {
	if cause == "done" {
		for peer, on := range w.peers(s, "running") {
			w.finished[peer.task] = true
			on.finish(peer, "done")
		}
		return
	}
	time.AfterFunc(seconds(w.cfg.gangPeerS/2), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for peer, on := range w.peers(s, "running") {
			on.finish(peer, "peers")
		}
	})
}

func taskID(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }
