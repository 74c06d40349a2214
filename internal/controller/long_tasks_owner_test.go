package controller

import (
	"testing"
	"time"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

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

// cancelLongAgo cancels a job of which an owner before sent the machine an order.
func (o *ownerOfLongTasks) cancelLongAgo() {
	o.t.Helper()
	o.order(true)
	o.core.jobs.Open["job-000002"].Prepared = true
	o.passWithNews(o.core.ownership.MaxStaleness+2*time.Second, "job-000002")
	o.markLaunched("job-000002")
	clear(o.machine.Orders) // the owner before sent it
	o.machine.DirectInFlight = false
}

// markLaunched lets a job's record of a launch be read, and what follows from it be worked out.
func (o *ownerOfLongTasks) markLaunched(id string) {
	o.core.jobs.Apply(statestore.Change{Key: statestore.Root + "q/" + id + "/0", Entry: statestore.Entry{Value: pack(map[string]any{"d": ""}), Version: 1 << 41}})
	o.core.jobsChanged = true
	o.step(Tick{})
	if !o.core.jobs.Open[id].MayHaveLaunched() {
		o.t.Fatal("the job does not pass for launched")
	}
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
	for _, out := range o.core.takeOutputs() {
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

// reportUnfenced steps the owner with a report whose worker has seen an earlier token, and returns all
// that the owner does about it.
func (o *ownerOfLongTasks) reportUnfenced(token uint64) []Output {
	o.t.Helper()
	m := o.machine
	return o.step(Checkin{Ref: 1 << 40, Report: &wire.Report{Machine: m.ID, Address: m.Address, Type: m.Class, Zone: m.Zone, Spot: m.Spot,
		Session: m.Session, Seq: m.Seq + 1, Token: token, Tasks: m.Tasks}})
}

// fenceOf finds the order without commands that was sent to the owner's machine.
func (o *ownerOfLongTasks) fenceOf(out []Output) *DirectCall {
	o.t.Helper()
	for _, x := range out {
		if call, ok := x.(DirectCall); ok && call.Address == o.machine.Address {
			if call.Body.Token != o.machine.Term || call.Body.Session != o.machine.Session || len(call.Body.Commands) > 0 {
				o.t.Errorf("not an order that only shows the token: %+v", call.Body)
			}
			return &call
		}
	}
	return nil
}

// answersOf lists the answers to reports.
func answersOf(out []Output) (list []Answer) {
	for _, x := range out {
		if a, ok := x.(Answer); ok {
			list = append(list, a)
		}
	}
	return list
}
