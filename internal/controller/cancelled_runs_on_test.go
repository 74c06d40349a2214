package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// Days of the series of leaders; raise them to hunt.
var (
	seriesFirst = flag.Uint64("series.first", 1, "seed of the first day with leaders in series")
	seriesDays  = flag.Uint64("series.days", 6, "days with leaders in series")
)

const seriesFaults = 200 * time.Second // faults are drawn for so long

// seriesConfig is a deployment whose workers report seldom, beside the time that a cancellation
// has: two reports that bring nothing take up a part of it that counts.
func seriesConfig() simConfig {
	cfg := standardConfig()
	cfg.teams = []config.Team{{Name: "red", CPUs: 64, CPUsMax: 400}, {Name: "blue"}}
	cfg.types = cfg.types[:1]
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: 24}
	cfg.report, cfg.lease, cfg.cancel = 6, 31, 51
	return cfg
}

// leadersInSeries plays a day on which leaders change every 2 to 15 s, machines hang, are mute or
// hear nothing, orders come late, and users cancel long jobs all the while.
func leadersInSeries(seed uint64, sabotage func(*Core)) *simulation {
	w := newSimulation(seed, seriesConfig())
	w.sabotage = sabotage
	for i := range 60 {
		job := spec([]string{"red", "blue"}[i%2], 2+w.rng.IntN(6), 2, 150)
		w.schedule(w.between(0, 150), func() { w.user(fmt.Sprintf("job-%06d", i), job, 150) })
	}
	w.run(quiet)
	w.stray, w.lost, w.lag = 0.1, 0.02, 0.3
	end := w.now + seriesFaults
	again := func(least, most float64, f func()) {
		var next func()
		next = func() {
			if w.now < end {
				f()
				w.schedule(w.between(least, most), next)
			}
		}
		w.schedule(w.between(least, most), next)
	}
	again(2, 15, func() { w.endOwner(w.between(0.2, 4)) })
	again(3, 9, func() { w.callOff(w.nodes[w.rng.IntN(len(w.nodes))], w.longest(1)) })
	again(0.5, 2, func() {
		m := w.liveMachine()
		if m == nil {
			return
		}
		d := w.between(2, 29)
		switch w.rng.IntN(3) {
		case 0:
			m.hang(d)
		case 1:
			w.muteFor(d)(m)
		case 2:
			w.deafFor(d)(m)
		}
	})
	w.run(end)
	w.stray, w.lost, w.lag = 0, 0, 0
	w.calm = w.now + 35*time.Second
	w.run(end + 300*time.Second)
	return w
}

// TestCancelledTasksEndWhileLeadersChange guards against a cancelled task that ran on because
// leaders that followed each other answered its machine without a stop.
func TestCancelledTasksEndWhileLeadersChange(t *testing.T) {
	for seed := *seriesFirst; seed < *seriesFirst+*seriesDays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := leadersInSeries(seed, nil)
			w.mustKeepRules(t)
		})
	}
}

// ownerOfLongTasks is an owner with a machine that runs tasks of one job, which nobody else's
// messages reach from now on: the test steps it.
type ownerOfLongTasks struct {
	t       *testing.T
	w       *simulation
	node    *simNode
	core    *Core
	now     time.Duration // since the node's start
	machine *workers.Machine
	job     *jobs.Job
}

func newOwnerOfLongTasks(t *testing.T) *ownerOfLongTasks {
	t.Helper()
	w := newSimulation(1, seriesConfig())
	w.user("job-000001", spec("red", 4, 2, 500), 500)
	w.run(quiet)
	o := &ownerOfLongTasks{t: t, w: w, node: w.owner()}
	o.core = o.node.core
	o.now = o.node.clock().Steady
	o.job = o.core.jobs.Open["job-000001"]
	for _, m := range o.core.pool.Sorted() {
		if m.Adopted && len(m.Tasks) > 0 {
			o.machine = m
		}
	}
	if o.job == nil || o.machine == nil {
		t.Fatal("nothing runs")
	}
	return o
}

func (o *ownerOfLongTasks) step(in Input) []Output {
	return o.core.Step(Now{Steady: o.now, Unix: 1e9 + o.now.Seconds()}, in)
}

// cancelByPeers lets both peers vouch for all they told users, and for this cancellation.
func (o *ownerOfLongTasks) cancelByPeers(ids ...string) {
	o.answerExtensions(true, ids...)
}

// answerExtensions lets both peers promise not to take over; vouching tells whether they vouch
// for the cancellations that they list.
func (o *ownerOfLongTasks) answerExtensions(vouching bool, ids ...string) {
	for _, p := range o.core.settings.Others {
		call := PeerCall{Peer: p.Label, Sent: o.now, Msg: PeerMessage{Promise: true}}
		o.step(PeerReply{Call: call, Answer: PeerAnswer{Yes: true, Vouch: vouching, Cancelled: ids}})
	}
}

// passWithoutNews lets time pass in which peers extend the owner's right to act, and nobody tells
// it of cancellations.
func (o *ownerOfLongTasks) passWithoutNews(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now = min(end, o.now+limits.ExtensionInterval)
		o.answerExtensions(false)
	}
}

// passWithNews lets time pass in which peers extend the owner's right to act and vouch for all
// cancellations.
func (o *ownerOfLongTasks) passWithNews(d time.Duration, ids ...string) {
	for end := o.now + d; o.now < end; {
		o.now = min(end, o.now+limits.ExtensionInterval)
		o.answerExtensions(true, ids...)
	}
}

// report steps the owner with a report of its machine.
func (o *ownerOfLongTasks) report(token, seq uint64, tasks []wire.TaskReport) Answer {
	o.t.Helper()
	m := o.machine
	return answerOf(o.t, o.step(Checkin{Ref: 1 << 40, Report: &wire.Report{Machine: m.ID, Address: m.Address, Type: m.Class, Zone: m.Zone, Spot: m.Spot,
		Session: m.Session, Seq: seq, Token: token, Tasks: tasks}}))
}

// mustStop checks that an answer does not renew the machine, or stops all tasks of the job.
func (o *ownerOfLongTasks) mustStop(a Answer, tasks []wire.TaskReport) {
	o.t.Helper()
	if a.Status != 200 {
		return
	}
	stopped := map[string]bool{}
	for _, c := range a.Body.(wire.ReportReply).Commands {
		stopped[c.Task] = stopped[c.Task] || c.Verb == wire.VerbStop
	}
	for _, x := range tasks {
		if !stopped[x.Task] {
			o.t.Errorf("the machine is renewed, and %s is not stopped", x.Task)
		}
	}
}

// TestRenewalsStopCancelledTasks: whatever a report proves, an answer that renews a machine stops
// the cancelled tasks that the machine lists, and no machine is renewed for longer than the time
// since a user can have been told allows while an order may still start a cancelled task on it.
func TestRenewalsStopCancelledTasks(t *testing.T) {
	t.Run("a report with an earlier token", func(t *testing.T) {
		o := newOwnerOfLongTasks(t)
		o.cancelByPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.mustStop(o.report(o.machine.Term-1, o.machine.Seq+1, tasks), tasks)
	})
	t.Run("a report that an order's answer overtook", func(t *testing.T) {
		o := newOwnerOfLongTasks(t)
		o.cancelByPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.machine.Seq += 10
		o.mustStop(o.report(o.machine.Term, o.machine.Seq-1, tasks), tasks)
	})
	t.Run("a report with the present token", func(t *testing.T) {
		o := newOwnerOfLongTasks(t)
		o.cancelByPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.mustStop(o.report(o.machine.Term, o.machine.Seq+1, tasks), tasks)
	})
	// The orders below start a task of a job that is cancelled while the owner has no news. It
	// learns of that a second before it would have to stop answering.
	unanswered := func(t *testing.T) *ownerOfLongTasks {
		o := newOwnerOfLongTasks(t)
		o.order(true)
		return o
	}
	t.Run("an unanswered order, learned of late", func(t *testing.T) {
		o := unanswered(t)
		o.passWithoutNews(o.core.ownership.MaxStaleness - time.Second)
		o.passWithNews(3*time.Second, "job-000002")
		o.mustNotRenew()
	})
	t.Run("an order under way, learned of late", func(t *testing.T) {
		o := newOwnerOfLongTasks(t)
		o.passWithoutNews(o.core.ownership.MaxStaleness - time.Second)
		o.order(false)
		o.passWithNews(1500*time.Millisecond, "job-000002")
		o.mustNotRenew()
	})
	t.Run("an unanswered order, the job's record is read anew", func(t *testing.T) {
		o := unanswered(t)
		key := statestore.Root + "o/job-000002"
		entry, _ := o.core.store.Mirror.Get(key)
		o.core.jobs.Apply(statestore.Change{Key: key, Entry: entry, Removed: true})
		o.core.jobs.Apply(statestore.Change{Key: key, Entry: entry})
		o.passWithNews(o.core.ownership.MaxStaleness+2*time.Second, "job-000002")
		o.mustNotRenew()
	})
	t.Run("an unanswered order of a job that goes on", func(t *testing.T) {
		o := unanswered(t)
		o.passWithNews(o.core.ownership.MaxStaleness + 2*time.Second)
		if a := o.report(o.machine.Term, o.machine.Seq+1, o.machine.Tasks); a.Status != 200 {
			t.Errorf("a machine with nothing cancelled is not renewed: %d", a.Status)
		}
	})
}

// order lets the owner send its machine an order that starts a task of another job, and tells it,
// if timedOut, that no answer came.
func (o *ownerOfLongTasks) order(timedOut bool) {
	o.t.Helper()
	raw, err := wire.Encode(&wire.Job{ID: "job-000002", Team: "blue", Class: "x", Tasks: 1, CPUs: 1, MemoryGB: 1, Types: []string{"small"}, EstimateS: 500})
	if err != nil {
		o.t.Fatal(err)
	}
	o.core.store.Mirror.Put(statestore.Root+"o/job-000002", raw, 1<<40)
	o.step(Tick{})
	j := o.core.jobs.Open["job-000002"]
	if j == nil {
		o.t.Fatal("the job is not known")
	}
	j.Active, j.Prepared, j.Frozen = true, true, false
	// It was heard just now, and is not being asked in its silence.
	o.machine.LastReport, o.machine.LastAnswer, o.machine.DirectInFlight = o.now, o.now, false
	o.core.assign(j, 0, jobs.Assignment{Machine: o.machine.ID, Attempt: 1 << 50, State: jobs.Planned})
	o.core.plannedMachines = append(o.core.plannedMachines, o.machine.ID)
	o.core.sendDirectLaunches()
	for _, out := range o.core.flush() {
		if call, ok := out.(DirectCall); ok && call.Address == o.machine.Address {
			if timedOut {
				o.step(DirectReply{ID: call.ID})
			}
			return
		}
	}
	o.t.Fatal("no order was sent")
}

// mustNotRenew checks that the machine, which doesn't list the task of the order, is not renewed.
func (o *ownerOfLongTasks) mustNotRenew() {
	o.t.Helper()
	if !o.core.ownership.MayAnswer() {
		o.t.Fatal("the owner may not answer at all: the test shows nothing")
	}
	if a := o.report(o.machine.Term, o.machine.Seq+1, o.machine.Tasks); a.Status == 200 {
		o.t.Error("the machine is renewed although an order may still start a cancelled task on it")
	}
}
