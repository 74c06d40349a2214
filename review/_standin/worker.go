package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a task on a worker.
type attempt struct {
	sheet   string
	try     uint64
	status  string // fetching, gathering, running, ended
	cause   string
	changes time.Time // when the status changes by itself
	job     *job
}

// onMachine reports whether the task counts as on its machine.
func (a *attempt) onMachine() bool { return a.status == "running" || a.status == "gathering" }

// worker is a stand-in for a worker, by PROTOCOL "Workers -> controller nodes".
type worker struct {
	mu       sync.Mutex
	world    *world
	machine  *machine
	address  string
	server   *http.Server
	shift    uint64
	tally    uint64
	baton    uint64
	leaseAt  time.Time // when the lease began: the last answered report was sent, or the session began
	attempts []*attempt
	images   map[string]time.Time // when a fetched image is there
	stopped  bool
	changed  bool
	bad      bool   // fails every task that it starts
	node     string // the controller that gave the last 200
	renewed  time.Time
}

func (w *world) startWorker(m *machine) *worker {
	k := &worker{world: w, machine: m, shift: 1, leaseAt: time.Now(), images: map[string]time.Time{}}
	k.address, k.server = serve(http.HandlerFunc(k.handle))
	w.record("worker %s (%s) is up", m.id, m.kind.Label)
	go k.reports()
	go k.run()
	return k
}

func (k *worker) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	for _, a := range k.attempts {
		if a.onMachine() {
			k.world.taskOff(k, a, "machine gone")
		}
	}
	k.attempts = nil
	go k.server.Close()
}

func (k *worker) runningTasks() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	sheets := []string{}
	for _, a := range k.attempts {
		if a.status == "running" {
			sheets = append(sheets, a.sheet)
		}
	}
	return sheets
}

// lastNode returns the controller whose 200 renewed the lease last, and when.
func (k *worker) lastNode() (string, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node, k.renewed
}

func (k *worker) setBad(bad bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bad = bad
}

// free returns what no task takes, fetching tasks included.
func (k *worker) free() (cores, ram float64) {
	cores, ram = k.machine.kind.Cores, k.machine.kind.RAMGB
	for _, a := range k.attempts {
		if a.status != "ended" {
			cores, ram = cores-a.job.cores, ram-a.job.ram
		}
	}
	return cores, ram
}

func (k *worker) freeRoom() (cores, ram float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.free()
}

func (k *worker) freeCores() float64 {
	cores, _ := k.freeRoom()
	return cores
}

// run lets tasks fetch, run and end, and ends the lease.
func (k *worker) run() {
	for range time.Tick(20 * time.Millisecond) {
		k.mu.Lock()
		if k.stopped {
			k.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(k.leaseAt).Seconds() > k.world.leaseS {
			k.world.record("worker %s: lease over, session %d ends", k.machine.id, k.shift)
			for _, a := range k.attempts {
				if a.onMachine() {
					k.world.taskOff(k, a, "lease over")
				}
			}
			k.attempts, k.leaseAt, k.changed = nil, now, true
			k.shift++
		}
		for _, a := range k.attempts {
			if a.status == "ended" || now.Before(a.changes) {
				continue
			}
			if a.job.gang && a.status != "running" {
				// A task is on its machine also while it waits for its gang. This stand-in is for gangs that
				// nothing happens to: it does not play "alone" and "peers".
				if a.status == "fetching" {
					a.status, k.changed = "gathering", true
					k.world.taskOn(k, a)
				}
				if k.world.gather(a) {
					a.status, k.changed = "running", true
					a.changes = now.Add(time.Duration(a.job.runS * float64(time.Second)))
				}
				continue
			}
			k.changed = true
			switch {
			case a.status == "fetching":
				a.status = "running"
				k.world.taskOn(k, a)
				a.changes = now.Add(time.Duration(a.job.runS * float64(time.Second)))
				if k.world.isDone(a.sheet) {
					a.changes = now
				} else if k.bad {
					a.changes = now.Add(300 * time.Millisecond)
					a.cause = "error"
				}
			case a.cause == "error":
				a.status = "ended"
				k.world.taskOff(k, a, "error")
			default:
				a.status, a.cause = "ended", "done"
				k.world.taskOff(k, a, "done")
			}
		}
		k.mu.Unlock()
	}
}

type command struct {
	Verb    string  `msgpack:"verb"`
	Sheet   string  `msgpack:"sheet"`
	Try     uint64  `msgpack:"try"`
	LeewayS float64 `msgpack:"leewayS"`
}

func (k *worker) execute(orders []command) {
	for _, c := range orders {
		i := slices.IndexFunc(k.attempts, func(a *attempt) bool { return a.sheet == c.Sheet && a.try == c.Try })
		switch c.Verb {
		case "launch":
			if i < 0 {
				k.launch(c)
			}
		case "stop":
			if i >= 0 && k.attempts[i].status != "ended" {
				a := k.attempts[i]
				if a.onMachine() {
					k.world.taskOff(k, a, "halted")
				}
				a.status, a.cause = "ended", "halted"
			}
		case "clear":
			if i >= 0 && k.attempts[i].status == "ended" {
				k.attempts = slices.Delete(k.attempts, i, i+1)
			}
		}
		k.changed = true
	}
}

func (k *worker) launch(c command) {
	a := &attempt{sheet: c.Sheet, try: c.Try, status: "ended"}
	id, _, _ := strings.Cut(c.Sheet, "/")
	a.job = k.world.jobByID(id)
	k.world.record("worker %s: launch of %s, attempt %d", k.machine.id, c.Sheet, c.Try)
	cores, ram := k.free()
	switch {
	case a.job == nil:
		a.cause = "no_such"
	case slices.ContainsFunc(k.attempts, func(b *attempt) bool { return b.sheet == c.Sheet && b.status != "ended" }):
		a.cause = "in_use"
	case a.job.cores > cores+1e-6 || a.job.ram > ram+1e-6:
		a.cause = "no_room"
	default:
		a.status = "fetching"
		if _, ok := k.images[a.job.plate]; !ok {
			k.images[a.job.plate] = time.Now().Add(time.Duration(a.job.imageGB / k.machine.kind.FetchGBPerS * float64(time.Second)))
		}
		a.changes = k.images[a.job.plate]
	}
	k.attempts = append(k.attempts, a)
}

// report returns the report of the worker as it is.
func (k *worker) report() map[string]any {
	k.tally++
	sheets := []map[string]any{}
	for _, a := range k.attempts {
		sheet := map[string]any{"sheet": a.sheet, "try": a.try, "status": a.status}
		if a.status == "ended" {
			sheet["cause"] = a.cause
		}
		sheets = append(sheets, sheet)
	}
	return map[string]any{"hut": k.machine.id, "address": k.address, "build": k.machine.kind.Label, "valley": k.machine.kind.Valleys[0], "loaners": false,
		"shift": k.shift, "tally": k.tally, "baton": k.baton, "recallS": nil, "sheets": sheets}
}

// handle serves direct commands.
func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		k.mu.Lock()
		defer k.mu.Unlock()
		reply(w, 200, k.report())
		return
	}
	var body struct {
		Baton  *uint64   `msgpack:"baton"`
		Shift  *uint64   `msgpack:"shift"`
		Orders []command `msgpack:"orders"`
	}
	if !read(r, &body) || body.Baton == nil || body.Shift == nil {
		reply(w, 400, nil)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if *body.Baton < k.baton || *body.Shift != k.shift || k.stopped {
		reply(w, 409, k.report())
		return
	}
	if *body.Baton > k.baton {
		k.baton, k.changed = *body.Baton, true
	}
	k.execute(body.Orders)
	reply(w, 200, k.report())
}

// reports sends the reports, one at a time.
func (k *worker) reports() {
	client := newClient(4 * time.Second)
	labels := k.world.labels()
	at := rand.Intn(len(labels))
	next := time.Now()
	lastSent := time.Time{}
	for range time.Tick(20 * time.Millisecond) {
		k.mu.Lock()
		if k.stopped {
			k.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(lastSent) < 500*time.Millisecond || (now.Before(next) && !k.changed) {
			k.mu.Unlock()
			continue
		}
		k.changed = false
		shift, report := k.shift, k.report()
		k.mu.Unlock()
		lastSent = now
		next = now.Add(time.Duration((0.75 + rand.Float64()/2) * k.world.reportS * float64(time.Second)))
		var answer struct {
			Baton   *uint64   `msgpack:"baton"`
			Orders  []command `msgpack:"orders"`
			Steward string    `msgpack:"steward"`
		}
		node := labels[at]
		status := call(client, "POST", "http://"+k.world.apiAddr(node)+"/checkin", report, &answer)
		switch {
		case status == 200:
			k.mu.Lock()
			if shift == k.shift && answer.Baton != nil && *answer.Baton >= k.baton && !k.stopped {
				if *answer.Baton > k.baton {
					k.baton, k.changed = *answer.Baton, true
				}
				k.leaseAt = now
				if k.node != node {
					k.world.record("worker %s (%s): %s answers 200 with token %d", k.machine.id, k.machine.kind.Label, node, *answer.Baton)
				}
				k.node, k.renewed = node, time.Now()
				k.execute(answer.Orders)
			}
			k.mu.Unlock()
			continue
		case status == 421 && answer.Steward != "" && answer.Steward != node && slices.Contains(labels, answer.Steward):
			at = slices.Index(labels, answer.Steward)
			next = time.Now()
		default:
			at = (at + 1) % len(labels)
			next = time.Now().Add(time.Second)
		}
		lastSent = time.Now().Add(-500 * time.Millisecond)
		k.mu.Lock()
		k.changed = false
		k.mu.Unlock()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func sheetName(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }
