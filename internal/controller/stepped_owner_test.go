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

// steppedOwner is an owner with a machine that runs tasks of one long job. The simulation does not
// advance, so the owner receives only the inputs that the test passes to it.
type steppedOwner struct {
	t       *testing.T
	sim     *simulation
	node    *simNode
	core    *Core
	now     time.Duration // since the start of the node
	machine *workers.Machine
	job     *jobs.Job
}

// newSteppedOwner runs a simulation until a machine runs tasks of a long job, and returns the owner of
// that machine.
func newSteppedOwner(t *testing.T) *steppedOwner {
	t.Helper()
	sim := newSimulation(1, singleTypeConfig())
	sim.submitJob("job-000001", batchSpec("red", 4, 2, 500), 500)
	sim.run(warmup)
	owner := &steppedOwner{t: t, sim: sim, node: sim.owner()}
	owner.core = owner.node.core
	owner.now = owner.node.clock().Steady
	owner.job = owner.core.jobs.OpenJobs["job-000001"]
	for _, m := range owner.core.pool.Sorted() {
		if m.Adopted && len(m.Tasks) > 0 {
			owner.machine = m
		}
	}
	if owner.job == nil || owner.machine == nil {
		t.Fatal("no machine runs tasks")
	}
	return owner
}

// step passes one input to the core at the time o.now and returns the outputs.
func (o *steppedOwner) step(in Input) []Output {
	return o.core.Step(Now{Steady: o.now, Unix: 1e9 + o.now.Seconds()}, in)
}

// cancelThroughPeers makes both peers grant the owner an extension and vouch that the listed jobs are
// the only ones whose cancellation they have confirmed to users.
func (o *steppedOwner) cancelThroughPeers(ids ...string) {
	o.grantExtensions(true, ids...)
}

// grantExtensions makes both peers grant the owner an extension. If vouching is set, they also vouch
// that their list of cancelled jobs, ids, is complete.
func (o *steppedOwner) grantExtensions(vouching bool, ids ...string) {
	for _, peer := range o.core.settings.Others {
		call := PeerCall{Peer: peer.Label, SentAt: o.now, Msg: PeerMessage{Promise: true}}
		o.step(PeerReply{Call: call, Answer: PeerAnswer{Yes: true, Vouch: vouching, Cancelled: ids}})
	}
}

// advanceWithoutCancellations advances the time while peers grant extensions but do not vouch for
// their lists of cancelled jobs.
func (o *steppedOwner) advanceWithoutCancellations(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now = min(end, o.now+limits.ExtensionInterval)
		o.grantExtensions(false)
	}
}

// advanceWithCancellations advances the time while peers grant extensions and vouch that the listed
// jobs are the only ones with a confirmed cancellation.
func (o *steppedOwner) advanceWithCancellations(d time.Duration, ids ...string) {
	for end := o.now + d; o.now < end; {
		o.now = min(end, o.now+limits.ExtensionInterval)
		o.grantExtensions(true, ids...)
	}
}

// sendHeartbeat passes a heartbeat of the machine to the owner and returns the answer.
func (o *steppedOwner) sendHeartbeat(token, seq uint64, tasks []wire.TaskStatus) Answer {
	o.t.Helper()
	m := o.machine
	return firstAnswer(o.t, o.step(HeartbeatRequest{Ref: 1 << 40, Heartbeat: &wire.Heartbeat{Machine: m.ID, Address: m.Address, Type: m.Class, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.Incarnation, Seq: seq, FencingToken: token, Tasks: tasks}}))
}

// mustStopIfRenewed checks that an answer that renews the machine's lease stops all the given tasks.
func (o *steppedOwner) mustStopIfRenewed(answer Answer, tasks []wire.TaskStatus) {
	o.t.Helper()
	if answer.Status != 200 {
		return
	}
	stopped := map[string]bool{}
	for _, c := range answer.Body.(wire.HeartbeatReply).Commands {
		stopped[c.Task] = stopped[c.Task] || c.Verb == wire.VerbStop
	}
	for _, task := range tasks {
		if !stopped[task.Task] {
			o.t.Errorf("the lease of the machine is renewed, and %s is not stopped", task.Task)
		}
	}
}

// cancelJobOfPreviousOwner cancels a job of which a previous owner has ordered a task on the machine,
// and advances the time by more than MaxStaleness.
func (o *steppedOwner) cancelJobOfPreviousOwner() {
	o.t.Helper()
	o.sendLaunchOrder(true)
	o.core.jobs.OpenJobs["job-000002"].Prepared = true
	o.advanceWithCancellations(o.core.ownership.MaxStaleness+2*time.Second, "job-000002")
	o.markLaunched("job-000002")
	clear(o.machine.Orders) // the order came from the previous owner
	o.machine.DirectOrderInFlight = false
}

// markLaunched makes the owner read a record which states that tasks of a job may have been launched,
// and checks that the job then counts as launched.
func (o *steppedOwner) markLaunched(id string) {
	o.core.jobs.Apply(statestore.Change{Key: statestore.Root + "q/" + id + "/0", Entry: statestore.Entry{Value: mustEncode(map[string]any{"d": ""}), Version: 1 << 41}})
	o.core.jobsChanged = true
	o.step(Tick{})
	if !o.core.jobs.OpenJobs[id].MayHaveLaunched() {
		o.t.Fatal("the job does not count as launched")
	}
}

// sendLaunchOrder makes the owner send its machine a direct order that starts a task of job-000002. If
// timedOut is set, the order then gets no answer.
func (o *steppedOwner) sendLaunchOrder(timedOut bool) {
	o.t.Helper()
	raw, err := wire.Encode(&wire.Job{ID: "job-000002", Team: "blue", Class: "x", Tasks: 1, CPUs: 1, MemoryGB: 1, Types: []string{"small"}, EstimateS: 500})
	if err != nil {
		o.t.Fatal(err)
	}
	o.core.store.Mirror.Put(statestore.Root+"o/job-000002", raw, 1<<40)
	o.step(Tick{})
	job := o.core.jobs.OpenJobs["job-000002"]
	if job == nil {
		o.t.Fatal("the owner has not read the job")
	}
	job.Active, job.Prepared, job.Frozen = true, true, false
	// The owner sends the order only if the machine has just sent a heartbeat and no probe is in flight.
	o.machine.LastHeartbeat, o.machine.LastAnswer, o.machine.DirectOrderInFlight = o.now, o.now, false
	o.core.assign(job, 0, jobs.Assignment{Machine: o.machine.ID, Attempt: 1 << 50, State: jobs.Planned})
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
	o.t.Fatal("no direct order was sent")
}

// mustNotRenew checks that a heartbeat that does not list the task of job-000002 does not renew the
// machine's lease.
func (o *steppedOwner) mustNotRenew() {
	o.t.Helper()
	if !o.core.ownership.MayAnswer() {
		o.t.Fatal("the owner may not answer workers at all, so the test checks nothing")
	}
	if answer := o.sendHeartbeat(o.machine.Term, o.machine.Seq+1, o.machine.Tasks); answer.Status == 200 {
		o.t.Error("the lease of the machine is renewed although an order may still start a cancelled task on it")
	}
}

// sendHeartbeatWithToken passes a heartbeat with the given fencing token to the owner and returns all
// outputs. A worker that has received only an earlier owner's token still executes that owner's orders.
func (o *steppedOwner) sendHeartbeatWithToken(token uint64) []Output {
	o.t.Helper()
	m := o.machine
	return o.step(HeartbeatRequest{Ref: 1 << 40, Heartbeat: &wire.Heartbeat{Machine: m.ID, Address: m.Address, Type: m.Class, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.Incarnation, Seq: m.Seq + 1, FencingToken: token, Tasks: m.Tasks}})
}

// findFence returns the direct order to the owner's machine among the outputs, or nil. It checks that
// the order is a fence: it has no commands and carries the owner's fencing token.
func (o *steppedOwner) findFence(outputs []Output) *DirectCall {
	o.t.Helper()
	for _, out := range outputs {
		if call, ok := out.(DirectCall); ok && call.Address == o.machine.Address {
			if call.Body.FencingToken != o.machine.Term || call.Body.Incarnation != o.machine.Incarnation || len(call.Body.Commands) > 0 {
				o.t.Errorf("want a direct order without commands that carries the owner's fencing token: %+v", call.Body)
			}
			return &call
		}
	}
	return nil
}

// answersOf returns the answers among the outputs.
func answersOf(outputs []Output) (list []Answer) {
	for _, out := range outputs {
		if answer, ok := out.(Answer); ok {
			list = append(list, answer)
		}
	}
	return list
}
