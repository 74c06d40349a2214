package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

type simJob struct {
	id        string
	spec      map[string]any
	team      string
	cores     float64
	tasks     int
	run       float64
	bad       bool
	done      map[int]bool
	doneCount int
	completed time.Duration // when its last task was done
	accepted  bool
	told      wire.JobState // final state that was told
	gang      bool
	saved     int // times that all its tasks saved
	cancelAsk bool
	cancelled time.Duration // when told cancelled
	lastPoll  time.Duration
	body      []byte
	asked     time.Duration // when its acceptance was told
	began     time.Duration // when its first task began
	fits      time.Duration // when it last could not have begun, or had something running
}

func (w *simulation) user(id string, spec map[string]any, run float64) *simJob {
	spec["id"] = id
	fill(spec)
	j := &simJob{id: id, spec: spec, team: spec["crew"].(string), cores: spec["cores"].(float64), tasks: int(spec["sheets"].(int)), run: run, done: map[int]bool{}, gang: spec["form"] == "gang"}
	w.jobs[id] = j
	body := pack(spec)
	j.body = body
	w.submitAgain(j)
	if w.chance(0.1) { // the same job at two nodes at once
		w.submitAgain(j)
	}
	return j
}

// submitAgain sends a job's submission to a node and repeats it until it is answered.
func (w *simulation) submitAgain(j *simJob) {
	id, body, began := j.id, j.body, w.now
	var submit func()
	submit = func() {
		told := j.told
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.call("users", n.label, 5*time.Second, func(answer func(int, []byte)) {
			n.ask(func(ref uint64) Input { return Submit{ref, body} }, answer)
		}, func(status int, b []byte) {
			switch status {
			case 200, 201:
				if !j.accepted {
					j.accepted, j.asked = true, w.now
					w.look(j)
				}
				if told == j.told {
					w.judge(j, status, b)
				}
				w.schedule(w.between(4, 6), func() { w.poll(j) })
			case 400, 422, 404:
				w.reportBroken("forgotten", "submission of %s got %d", id, status)
			default:
				if w.now-began < 150*time.Second {
					w.schedule(w.between(1, 2), submit)
				}
			}
		})
	}
	submit()
}

// fill adds the fields that a submission must have and a test doesn't care about.
func fill(spec map[string]any) {
	for k, v := range map[string]any{"accelerators": 0.0, "plate": "img", "imageGb": 0.5, "oneZone": false, "scatter": false,
		"loaners": true, "markS": 0.0, "stowS": 0.0} {
		if _, ok := spec[k]; !ok {
			spec[k] = v
		}
	}
}

func (w *simulation) poll(j *simJob) {
	told := j.told
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.call("users", n.label, 2*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) Input { return Query{ref, j.id} }, answer)
	}, func(status int, b []byte) {
		// An answer that was on its way while another told the end may be older.
		if (status == 200 || status == 404) && told == j.told {
			w.judge(j, status, b)
		}
		// The users' addition to the rules: once all is over, every job's
		// questions are answered again.
		if since := w.now - max(w.calm, j.lastPoll); w.calm > 0 && j.accepted && since > 75*time.Second {
			w.reportBroken("forgotten", "no question about %s was answered for %v", j.id, since)
		}
		w.schedule(w.between(4, 6), func() { w.poll(j) })
	})
}

func (w *simulation) cancel(j *simJob) {
	w.cancelAt(j, w.nodes[w.rng.IntN(len(w.nodes))], func() { w.cancel(j) })
}

// cancelAt cancels a job at a node; without an answer, again does so once more.
func (w *simulation) cancelAt(j *simJob, n *simNode, again func()) {
	j.cancelAsk = true
	accepted := j.accepted
	w.call("users", n.label, 5*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) Input { return Cancel{ref, j.id} }, answer)
	}, func(status int, b []byte) {
		if status == 200 {
			w.judge(j, status, b)
			return
		}
		if status == 404 && accepted {
			w.reportBroken("forgotten", "cancellation of %s got 404", j.id)
		}
		w.schedule(w.between(1, 2), again)
	})
}

// stranger asks about a job that nobody submitted.
func (w *simulation) stranger() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	id := fmt.Sprintf("job-9%05d", w.rng.IntN(100000))
	w.call("users", n.label, 2*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) Input { return Query{ref, id} }, answer)
	}, func(status int, _ []byte) {
		if status == 200 {
			w.reportBroken("invented", "%s", id)
		}
	})
}

func (w *simulation) judge(j *simJob, status int, b []byte) {
	if status == 404 {
		w.reportBroken("forgotten", "%s got 404", j.id)
		return
	}
	var s wire.JobStatus
	if err := wire.Decode(b, &s); err != nil || s.ID != j.id {
		w.reportBroken("answer", "%s: %v %+v", j.id, err, s)
		return
	}
	j.lastPoll = w.now
	was := j.told
	if j.told != "" && s.Status != j.told {
		w.reportBroken("went_back", "%s was %s, is %s", j.id, j.told, s.Status)
	}
	switch s.Status {
	case wire.StatusDone:
		if j.doneCount < j.tasks {
			w.reportBroken("not_done", "%s: %d of %d", j.id, j.doneCount, j.tasks)
		}
		j.told = s.Status
	case wire.StatusCancelled:
		if !j.cancelAsk {
			w.reportBroken("went_back", "%s cancelled by nobody", j.id)
		}
		if j.told == "" {
			j.cancelled = w.now
			w.schedule(time.Duration(w.cfg.cancel*float64(time.Second))+time.Millisecond, func() { w.checkCancelled(j) })
		}
		j.told = s.Status
	}
	if was != j.told {
		w.look(j)
	}
}

// look lets users ask at all nodes within milliseconds after they were told something
// of a job, and repeat the submission and the cancellation.
func (w *simulation) look(j *simJob) {
	if !w.looks {
		return
	}
	for _, n := range w.nodes {
		for _, repeat := range []bool{false, true, false} {
			w.schedule(w.between(0, 0.01), func() {
				told := j.told
				w.call("users", n.label, 2*time.Second, func(answer func(int, []byte)) {
					n.ask(func(ref uint64) Input {
						if repeat {
							return Submit{ref, j.body}
						}
						return Query{ref, j.id}
					}, answer)
				}, func(status int, b []byte) {
					switch {
					case status == 400 || status == 422 || status == 201:
						w.reportBroken("forgotten", "repeated submission of %s got %d", j.id, status)
					case (status == 200 || status == 404) && told == j.told:
						w.judge(j, status, b)
					}
				})
			})
		}
	}
	if j.told != "" && w.chance(0.3) {
		w.cancel(j)
	}
}

// odd sends what users should not: jobs that fit no machine or lack a field, and
// cancellations of what is over or unknown.
func (w *simulation) odd() {
	id := fmt.Sprintf("job-8%05d", w.rng.IntN(100000))
	spec := map[string]any{"id": id, "docket": "x", "crew": "blue", "form": "batch", "urgency": "standard", "sheets": 2,
		"cores": 1.0, "accelerators": 0.0, "ramGb": 1.0, "loaners": true, "reckonS": 5.0}
	fill(spec)
	want := 400
	switch w.rng.IntN(6) {
	case 0:
		spec["cores"], want = 1000.0, 422
	case 1:
		spec["crew"], want = "nobody", 422
	case 2:
		delete(spec, "sheets")
	case 3:
		spec["form"] = "choir"
	case 4:
		spec["sheets"] = -1
	case 5:
		delete(spec, []string{"plate", "imageGb", "oneZone", "scatter", "loaners", "markS", "stowS", "accelerators"}[w.rng.IntN(8)])
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	body := pack(spec)
	w.call("users", n.label, 5*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) Input { return Submit{ref, body} }, answer)
	}, func(status int, _ []byte) {
		if status != want && status != 503 && status != 429 && status != 0 {
			w.reportBroken("odd", "%v got %d", spec, status)
		}
	})
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.told == wire.StatusDone && w.chance(0.2) {
			w.cancelAt(j, n, func() {})
			break
		}
	}
}

// audit looks once a second at what no single event shows.
func (w *simulation) audit() {
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if j.told == wire.StatusCancelled && w.now > j.cancelled+time.Duration(w.cfg.cancel*float64(time.Second)) {
			w.checkCancelled(j)
		}
		if w.calm == 0 || !j.accepted || j.told != "" || j.cancelAsk || j.bad || j.doneCount == j.tasks || !w.couldBegin(j) {
			j.fits = w.now
			continue
		}
		if since := max(w.calm, j.fits); w.now-since > 90*time.Second {
			w.reportBroken("left_waiting", "%s, of whose %d tasks %d are done", j.id, j.tasks, j.doneCount)
		}
	}
	w.schedule(time.Second, w.audit)
}

// couldBegin tells whether a job has nothing on any machine although one that it
// allows has room for a task and its team is under its limit.
func (w *simulation) couldBegin(j *simJob) bool {
	need := 1
	if j.gang {
		need = j.tasks
	}
	rooms, used := map[string]int{}, 0.0
	for _, m := range w.created {
		if m.gone || !m.up {
			continue
		}
		for _, t := range m.tasks {
			if t.job == j && t.state != wire.TaskEnded {
				return false
			}
			if t.job.team == j.team && t.state != wire.TaskEnded {
				used += t.job.cores
			}
		}
		types, some := j.spec["builds"].([]string)
		zone, bound := j.spec["valley"].(string)
		if some && !contains(types, m.kind.Class) || bound && zone != m.kind.Zone || m.kind.Spot && j.spec["loaners"] != true {
			continue
		}
		cpu, mem := m.free()
		if !m.hung && !m.sick && m.recall == 0 {
			in := "" // a gang's tasks count together, in each zone if it must be one
			if j.spec["oneZone"] == true {
				in = m.kind.Zone
			}
			rooms[in] += int(min(cpu/j.cores, mem/j.spec["ramGb"].(float64)))
		}
	}
	for _, t := range w.cfg.teams {
		if t.Name == j.team && t.CPUsMax > 0 && used+float64(need)*j.cores > t.CPUsMax {
			return false
		}
	}
	for _, n := range rooms {
		if n >= need {
			return true
		}
	}
	return false
}

// mustServe checks that everybody's jobs began within four minutes of their acceptance.
func (w *simulation) mustServe(t *testing.T) {
	t.Helper()
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.accepted && !j.cancelAsk && (j.began == 0 || j.began-j.asked > 4*time.Minute) {
			t.Errorf("%s, accepted at %v, began at %v", id, j.asked, j.began)
		}
	}
}

// deliverKept brings copies of old reports to every node as a new owner begins.
func (w *simulation) deliverKept() {
	for _, f := range w.kept {
		for _, n := range w.nodes {
			w.schedule(w.between(0, 0.2), func() { f(n) })
		}
	}
	w.kept = nil
}

func onMachine(t *simTask) bool {
	return t.state == wire.TaskRunning || t.state == wire.TaskSaving || t.state == wire.TaskGathering
}

func (w *simulation) checkCancelled(j *simJob) {
	for _, id := range sortedKeys(w.machines) {
		m := w.machines[id]
		if m.gone || (m.hung && w.now-m.renewed > m.lease()) {
			continue
		}
		for tid, t := range m.tasks {
			if strings.HasPrefix(tid, j.id+"/") && onMachine(t) {
				w.reportBroken("ran_cancelled", "%s on %s", tid, m.id)
			}
		}
	}
}

func (w *simulation) checkStart(m *simMachine, t *simTask, j *simJob) {
	if j.told == wire.StatusCancelled && w.now > j.cancelled+time.Duration(w.cfg.cancel*float64(time.Second)) {
		w.reportBroken("ran_cancelled", "%s starts on %s", t.id, m.id)
	}
	if types, ok := j.spec["builds"].([]string); ok && !contains(types, m.kind.Class) {
		w.reportBroken("wrong_place", "%s on type %s", t.id, m.kind.Class)
	}
	if z, ok := j.spec["valley"].(string); ok && z != m.kind.Zone {
		w.reportBroken("wrong_place", "%s in zone %s", t.id, m.kind.Zone)
	}
	if m.kind.Spot && j.spec["loaners"] != true {
		w.reportBroken("wrong_place", "%s on spot", t.id)
	}
	cpus := 0.0
	zones := map[string]int{}
	for _, x := range w.created {
		if x.gone || (x.hung && w.now-x.renewed > x.lease()) {
			continue
		}
		for tid, xt := range x.tasks {
			if !onMachine(xt) {
				continue
			}
			if tid == t.id && x != m {
				w.reportBroken("ran_twice", "%s on %s and %s", tid, x.id, m.id)
			}
			if xt.job.team == j.team {
				cpus += xt.job.cores
			}
			if xt.job == j {
				zones[x.kind.Zone]++
			}
		}
	}
	for _, ct := range w.cfg.teams {
		if ct.Name == j.team && ct.CPUsMax > 0 && cpus > ct.CPUsMax+1e-6 {
			w.reportBroken("quota", "%s uses %.1f of %.1f", j.team, cpus, ct.CPUsMax)
		}
	}
	if j.spec["oneZone"] == true && len(zones) > 1 {
		w.reportBroken("wrong_place", "%s in zones %v", j.id, zones)
	}
	if j.spec["scatter"] == true && zones[m.kind.Zone] > (j.tasks+1)/2 {
		w.reportBroken("wrong_place", "%s in zones %v of %d", j.id, zones, j.tasks)
	}
}
