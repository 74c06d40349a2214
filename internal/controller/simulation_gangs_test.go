package controller

import (
	"time"

	"umberpaddle/internal/wire"
)

// gangKey names one attempt of a gang; its tasks find each other by it.
type gangKey struct {
	job     *simJob
	attempt uint64
}

// simGang is an attempt as the workers' tasks see it.
type simGang struct {
	w       *simulation
	key     gangKey
	members map[string]*simMember // by task id
	began   bool
	over    bool
	lostAt  time.Duration // when the others will notice that one is gone; 0: none is
	stopAt  time.Duration // of the first stop; 0: none
	saved   map[string]bool
}

type simMember struct {
	m *simMachine
	t *simTask
}

func (w *simulation) gather(m *simMachine, t *simTask, j *simJob) {
	k := gangKey{j, t.attempt}
	g := w.gangs[k]
	if g == nil {
		g = &simGang{w: w, key: k, members: map[string]*simMember{}, saved: map[string]bool{}}
		w.gangs[k] = g
		g.watch()
	}
	g.members[t.id] = &simMember{m, t}
	w.schedule(time.Duration(w.cfg.gangWait*float64(time.Second)), func() {
		m.when(func() {
			if t.state == wire.TaskGathering && m.tasks[t.id] == t {
				t.state, t.cause = wire.TaskEnded, wire.CauseGangIncomplete
				m.changed()
			}
		})
	})
	g.begin()
}

// there tells whether a member is alive and at work, or waiting for it.
func (x *simMember) there() bool {
	return !x.m.gone && !x.m.hung && x.m.tasks[x.t.id] == x.t && x.t.state != wire.TaskEnded
}

func (g *simGang) begin() {
	j := g.key.job
	if g.began || len(g.members) < j.tasks {
		return
	}
	for _, x := range g.members {
		if !x.there() || x.t.state != wire.TaskGathering {
			return
		}
	}
	g.began = true
	for _, id := range sortedKeys(g.members) {
		x := g.members[id]
		x.t.state = wire.TaskRunning
		x.m.changed()
	}
	for k, other := range g.w.gangs {
		if k.job == j && other != g && other.began && !other.over {
			for _, x := range other.members {
				if x.there() {
					g.w.reportBroken("mixed", "%s runs as attempts %d and %d", j.id, k.attempt, g.key.attempt)
				}
			}
		}
	}
	run := g.w.between(0.5*j.run, 1.5*j.run)
	g.w.schedule(run, g.finish)
}

// finish ends the gang as done, if it still runs whole.
func (g *simGang) finish() {
	j := g.key.job
	if g.over || g.lostAt > 0 || g.stopAt > 0 {
		return
	}
	for _, x := range g.members {
		if !x.there() { // those that go on notice, or finish once it does
			g.w.schedule(time.Second, g.finish)
			return
		}
	}
	g.over = true
	j.doneCount = j.tasks
	for n := 0; n < j.tasks; n++ {
		j.done[n] = true
	}
	for _, id := range sortedKeys(g.members) {
		x := g.members[id]
		x.t.state, x.t.cause = wire.TaskEnded, wire.CauseDone
		x.m.changed()
	}
}

// watch looks after a running gang: when a task is gone the others exit in time.
func (g *simGang) watch() {
	if g.over {
		return
	}
	if g.began {
		alive, lost := 0, false
		for _, x := range g.members {
			if !x.m.gone && x.m.tasks[x.t.id] == x.t && x.t.state != wire.TaskEnded {
				alive++ // a hanging machine may go on
			}
			if !x.there() && (x.t.state != wire.TaskEnded || x.t.cause != wire.CauseHalted || g.stopAt == 0) {
				lost = true
			}
		}
		if lost && g.lostAt == 0 {
			g.lostAt = g.w.now + g.w.between(0.1, g.w.cfg.gangPeer)
		}
		late := g.stopAt > 0 && g.w.now > g.stopAt+time.Duration(g.w.cfg.gangPeer*float64(time.Second)) && len(g.saved) < len(g.members)
		if (g.lostAt > 0 && g.w.now >= g.lostAt) || late {
			g.over = true
			for _, id := range sortedKeys(g.members) {
				x := g.members[id]
				x.m.when(func() {
					if x.m.tasks[x.t.id] == x.t && x.t.state != wire.TaskEnded {
						x.t.state, x.t.cause = wire.TaskEnded, wire.CausePeerLost
						x.m.changed()
					}
				})
			}
		}
		if alive == 0 {
			g.over = true
		}
	}
	g.w.schedule(250*time.Millisecond, g.watch)
}

// stop tells one task of the gang to stop.
func (g *simGang) stop(m *simMachine, t *simTask, leeway float64) {
	need, _ := g.key.job.spec["stowS"].(float64)
	saves := g.key.job.spec["markS"].(float64) > 0
	if t.state != wire.TaskRunning || !saves || leeway < need {
		if t.state == wire.TaskSaving && leeway >= need {
			return
		}
		t.state, t.cause = wire.TaskEnded, wire.CauseHalted
		if g.began && g.stopAt == 0 && g.lostAt == 0 {
			g.lostAt = g.w.now + g.w.between(0.1, g.w.cfg.gangPeer)
		}
		return
	}
	if g.stopAt == 0 {
		g.stopAt = g.w.now
	}
	t.state = wire.TaskSaving
	g.w.schedule(time.Duration(need*float64(time.Second)), func() {
		m.when(func() {
			if m.tasks[t.id] != t || t.state != wire.TaskSaving {
				return
			}
			g.saved[t.id] = true
			if len(g.saved) < len(g.members) {
				return // waits for the others
			}
			g.key.job.saved++
			g.over = true
			for _, id := range sortedKeys(g.members) {
				x := g.members[id]
				x.m.when(func() {
					if x.m.tasks[x.t.id] == x.t && x.t.state == wire.TaskSaving {
						x.t.state, x.t.cause = wire.TaskEnded, wire.CauseHalted
						x.m.changed()
					}
				})
			}
		})
	})
}
