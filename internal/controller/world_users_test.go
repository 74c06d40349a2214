package controller

import (
	"fmt"
	"strings"
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
	accepted  bool
	told      string // final state that was told
	cancelAsk bool
	cancelled time.Duration // when told cancelled
	lastPoll  time.Duration
}

func (w *world) user(id string, spec map[string]any, run float64) *simJob {
	spec["id"] = id
	j := &simJob{id: id, spec: spec, team: spec["crew"].(string), cores: spec["cores"].(float64), tasks: int(spec["sheets"].(int)), run: run, done: map[int]bool{}}
	w.jobs[id] = j
	body := pack(spec)
	var submit func()
	began := w.now
	submit = func() {
		told := j.told
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.call("users", n.label, 5*time.Second, func(answer func(int, []byte)) {
			n.ask(func(ref uint64) any { return Submit{ref, body} }, answer)
		}, func(status int, b []byte) {
			switch status {
			case 200, 201:
				j.accepted = true
				if told == j.told {
					w.judge(j, status, b)
				}
				w.after(w.between(4, 6), func() { w.poll(j) })
			case 400, 422, 404:
				w.break_("forgotten", "submission of %s got %d", id, status)
			default:
				if w.now-began < 150*time.Second {
					w.after(w.between(1, 2), submit)
				}
			}
		})
	}
	submit()
	if w.chance(0.1) { // the same job at two nodes at once
		submit()
	}
	return j
}

func (w *world) poll(j *simJob) {
	told := j.told
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.call("users", n.label, 2*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) any { return Query{ref, j.id} }, answer)
	}, func(status int, b []byte) {
		// An answer that was on its way while another told the end may be older.
		if (status == 200 || status == 404) && told == j.told {
			w.judge(j, status, b)
		}
		// The users' addition to the rules: once all is over, every job's
		// questions are answered again.
		if since := w.now - max(w.calm, j.lastPoll); w.calm > 0 && j.accepted && since > 75*time.Second {
			w.break_("forgotten", "no question about %s was answered for %v", j.id, since)
		}
		w.after(w.between(4, 6), func() { w.poll(j) })
	})
}

func (w *world) cancel(j *simJob) {
	j.cancelAsk = true
	accepted := j.accepted
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.call("users", n.label, 5*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) any { return Cancel{ref, j.id} }, answer)
	}, func(status int, b []byte) {
		if status == 200 {
			w.judge(j, status, b)
			return
		}
		if status == 404 && accepted {
			w.break_("forgotten", "cancellation of %s got 404", j.id)
		}
		w.after(w.between(1, 2), func() { w.cancel(j) })
	})
}

// stranger asks about a job that nobody submitted.
func (w *world) stranger() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	id := fmt.Sprintf("job-9%05d", w.rng.IntN(100000))
	w.call("users", n.label, 2*time.Second, func(answer func(int, []byte)) {
		n.ask(func(ref uint64) any { return Query{ref, id} }, answer)
	}, func(status int, b []byte) {
		if status == 200 {
			w.break_("invented", "%s", id)
		}
	})
}

func (w *world) judge(j *simJob, status int, b []byte) {
	if status == 404 {
		w.break_("forgotten", "%s got 404", j.id)
		return
	}
	var s wire.JobStatus
	if err := wire.Decode(b, &s); err != nil || s.ID != j.id {
		w.break_("answer", "%s: %v %+v", j.id, err, s)
		return
	}
	j.lastPoll = w.now
	if j.told != "" && s.Status != j.told {
		w.break_("went_back", "%s was %s, is %s", j.id, j.told, s.Status)
	}
	switch s.Status {
	case wire.StatusDone:
		if j.doneCount < j.tasks {
			w.break_("not_done", "%s: %d of %d", j.id, j.doneCount, j.tasks)
		}
		j.told = s.Status
	case wire.StatusCancelled:
		if !j.cancelAsk {
			w.break_("went_back", "%s cancelled by nobody", j.id)
		}
		if j.told == "" {
			j.cancelled = w.now
			w.after(time.Duration(w.cfg.cancel*float64(time.Second))+time.Millisecond, func() { w.checkCancelled(j) })
		}
		j.told = s.Status
	}
}

func onMachine(t *simTask) bool { return t.state == wire.TaskRunning || t.state == wire.TaskSaving }

func (w *world) checkCancelled(j *simJob) {
	for _, id := range sortedKeys(w.machines) {
		m := w.machines[id]
		if m.gone || (m.hung && w.now-m.renewed > m.lease()) {
			continue
		}
		for tid, t := range m.tasks {
			if strings.HasPrefix(tid, j.id+"/") && onMachine(t) {
				w.break_("ran_cancelled", "%s on %s", tid, m.id)
			}
		}
	}
}

func (w *world) checkStart(m *simMachine, t *simTask, j *simJob) {
	if j.told == wire.StatusCancelled && w.now > j.cancelled+time.Duration(w.cfg.cancel*float64(time.Second)) {
		w.break_("ran_cancelled", "%s starts on %s", t.id, m.id)
	}
	if types, ok := j.spec["builds"].([]string); ok && !contains(types, m.kind.Class) {
		w.break_("wrong_place", "%s on type %s", t.id, m.kind.Class)
	}
	if z, ok := j.spec["valley"].(string); ok && z != m.kind.Zone {
		w.break_("wrong_place", "%s in zone %s", t.id, m.kind.Zone)
	}
	if m.kind.Spot && j.spec["loaners"] != true {
		w.break_("wrong_place", "%s on spot", t.id)
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
				w.break_("ran_twice", "%s on %s and %s", tid, x.id, m.id)
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
			w.break_("quota", "%s uses %.1f of %.1f", j.team, cpus, ct.CPUsMax)
		}
	}
	if j.spec["oneZone"] == true && len(zones) > 1 {
		w.break_("wrong_place", "%s in zones %v", j.id, zones)
	}
	if j.spec["scatter"] == true && zones[m.kind.Zone] > (j.tasks+1)/2 {
		w.break_("wrong_place", "%s in zones %v of %d", j.id, zones, j.tasks)
	}
}
