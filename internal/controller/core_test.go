package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

func testCore(t *testing.T) *Core {
	t.Helper()
	set := &config.Settings{Label: "node-0", Others: []config.Peer{{Label: "node-1"}, {Label: "node-2"}}}
	cl := &set.Cluster
	cl.Teams = []config.Team{{Name: "red", CPUsMax: 40}}
	cl.Workers.ReportS, cl.Workers.LeaseS, cl.Workers.CancelS = 1.5, 14, 34
	cl.State.RPS, cl.State.WriteRPS, cl.State.TxnOps, cl.State.ValueKB = 150, 20, 8, 4
	cl.Cloud.RPS, cl.Cloud.ListLagS = 3, 4
	return NewCore(set, &config.OperatorSettings{}, Now{}, 7)
}

// checkSums compares what is kept of places, room and booked amounts with what
// the jobs' places say.
func (c *Core) checkSums() error {
	used, on := map[string]allocation.Resources{}, map[string]int{}
	booked := map[string]map[string]allocation.Resources{}
	for _, j := range c.jobs.Open {
		for task, p := range j.Assigned {
			h := c.loads[p.Machine]
			if h == nil || h.tasks[jobs.TaskID(j.ID, task)].job != j {
				return fmt.Errorf("%s/%d is placed on %s, which doesn't know it", j.ID, task, p.Machine)
			}
			used[p.Machine] = used[p.Machine].Add(taskResources(j), 1)
			on[p.Machine]++
			if booked[j.Team] == nil {
				booked[j.Team] = map[string]allocation.Resources{}
			}
			booked[j.Team][h.class] = booked[j.Team][h.class].Add(taskResources(j), 1)
		}
	}
	same := func(a, b allocation.Resources) bool { return a.Fits(b) && b.Fits(a) }
	for id, h := range c.loads {
		planned := 0
		for _, p := range h.tasks {
			pl := p.job.Assigned[p.task]
			if pl.State == jobs.Planned {
				planned++
			}
			if c.jobs.Open[p.job.ID] != p.job { // over, until a report shows it gone
				used[id] = used[id].Add(taskResources(p.job), 1)
				on[id]++
				if booked[p.job.Team] == nil {
					booked[p.job.Team] = map[string]allocation.Resources{}
				}
				booked[p.job.Team][h.class] = booked[p.job.Team][h.class].Add(taskResources(p.job), 1)
			}
		}
		if len(h.tasks) != on[id] || planned != h.planned || !same(h.used, used[id]) {
			return fmt.Errorf("%s: %d tasks, %d planned, %v used; want %d, %d, %v", id, len(h.tasks), h.planned, h.used, on[id], planned, used[id])
		}
	}
	for team, by := range c.booked {
		for class, b := range by {
			if !same(b.sum, booked[team][class]) {
				return fmt.Errorf("%s on %s: %v booked, want %v", team, class, b.sum, booked[team][class])
			}
		}
	}
	for team, by := range booked {
		for class := range by {
			if _, ok := c.booked[team][class]; !ok {
				return fmt.Errorf("%s on %s: nothing booked", team, class)
			}
		}
	}
	return nil
}

// TestEndedAttemptDoesNotHideALostLaunch guards against a task that is never
// launched again: its earlier attempt, ended and not yet cleared, was taken for
// the later one whose launch was lost.
func TestEndedAttemptDoesNotHideALostLaunch(t *testing.T) {
	c := testCore(t)
	spec := &wire.Job{ID: "job-1", Team: "red", Tasks: 1, CPUs: 1, Types: []string{"small"}}
	raw, err := wire.Encode(spec)
	if err != nil {
		t.Fatal(err)
	}
	c.jobs.Apply(statestore.Change{Key: statestore.Root + "o/job-1", Entry: statestore.Entry{Value: raw, Version: 1}})
	j := c.jobs.Open["job-1"]
	m := c.pool.GetOrAdd("i-1", "small", "a", false, 0)
	m.Adopted = true
	m.Tasks = []wire.TaskReport{{Task: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}}
	c.assign(j, 0, jobs.Assignment{Machine: "i-1", Attempt: 2, State: jobs.Sent})
	c.reconcile(m, nil, false)
	if p, ok := j.Assigned[0]; ok {
		t.Errorf("the task is still thought to be at %+v", p)
	}
}

func answerOf(t *testing.T, out []Output) Answer {
	t.Helper()
	for _, o := range out {
		if a, ok := o.(Answer); ok {
			return a
		}
	}
	t.Fatal("no answer")
	return Answer{}
}

// TestReadiness: a node that alone lost the state service sends users to the
// others; in an outage for all it stays, since nobody would be better.
func TestReadiness(t *testing.T) {
	c := testCore(t)
	now := Now{Steady: time.Second}
	if a := answerOf(t, c.Step(now, Ready{Ref: 1})); a.Status != 503 {
		t.Errorf("before the state is read: %d", a.Status)
	}
	c.store.Mirror.Loaded = true
	c.fleet.Types["small"] = &wire.MachineType{Name: "small"}
	if a := answerOf(t, c.Step(now, Ready{Ref: 2})); a.Status != 200 {
		t.Errorf("with the state read: %d", a.Status)
	}
	c.store.LastFail = 20 * time.Second
	now.Steady = 20 * time.Second
	asked := 0
	for _, o := range c.Step(now, Tick{}) {
		if p, ok := o.(PeerCall); ok && p.Msg.Probe {
			asked++
		}
	}
	if asked != 2 {
		t.Errorf("%d peers asked", asked)
	}
	c.Step(now, PeerReply{Call: PeerCall{Peer: "node-1", Msg: PeerMessage{Probe: true}}})
	if a := answerOf(t, c.Step(now, Ready{Ref: 3})); a.Status != 200 {
		t.Errorf("out of reach for all: %d", a.Status)
	}
	c.Step(now, PeerReply{Call: PeerCall{Peer: "node-2", Msg: PeerMessage{Probe: true}}, Answer: PeerAnswer{Yes: true}})
	if a := answerOf(t, c.Step(now, Ready{Ref: 4})); a.Status != 503 {
		t.Errorf("out of reach for this node alone: %d", a.Status)
	}
	now.Steady += time.Minute
	if a := answerOf(t, c.Step(now, Ready{Ref: 5})); a.Status != 200 {
		t.Errorf("on old news: %d", a.Status)
	}
}

// TestFaultyMachineGoesAtOnce guards against a machine that fails every task
// but is kept while it holds some: a takeover then had to judge it again.
func TestFaultyMachineGoesAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := newSimulation(seed, standardConfig())
		for i := 0; i < 8; i++ {
			w.user(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
				"sheets": 40, "cores": 2.0, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 20.0}, 20)
		}
		w.run(40 * time.Second)
		m := w.liveMachine()
		m.sick = true
		judged := time.Duration(0)
		w.trace = func(f string, a ...any) {
			if line := fmt.Sprintf(f, a...); strings.Contains(line, "machine fails its tasks") && strings.Contains(line, m.id) {
				judged = w.now
			}
		}
		for end := w.now + 60*time.Second; !m.gone && w.now < end; {
			w.run(w.now + 500*time.Millisecond)
		}
		if judged == 0 || !m.gone || w.now-judged > 4*time.Second {
			t.Errorf("seed %d: %s judged at %v, gone %v at %v", seed, m.id, judged, m.gone, w.now)
		}
		w.run(w.now + 100*time.Second)
		w.mustKeepRules(t)
	}
}

// TestFaultyJobIsNotBlamedOnMachines: a job that fails everywhere is retried with
// few slots, and no machine goes for it.
func TestFaultyJobIsNotBlamedOnMachines(t *testing.T) {
	w := newSimulation(1, standardConfig())
	spec := func() map[string]any {
		return map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "urgent",
			"sheets": 30, "cores": 2.0, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 5.0}
	}
	bad := w.user("job-000001", spec(), 5)
	bad.bad = true
	for i := 2; i < 8; i++ {
		w.user(fmt.Sprintf("job-%06d", i), spec(), 5)
	}
	w.run(100 * time.Second)
	started := w.starts
	w.run(160 * time.Second)
	if n := w.starts - started; n == 0 || n > 20 {
		t.Errorf("%d attempts of a faulty job in a minute", n)
	}
	for _, n := range w.nodes {
		for _, m := range n.core.pool.Machines {
			if m.Faulty {
				t.Errorf("%s was blamed", m.ID)
			}
		}
	}
	w.cancel(bad)
	w.run(200 * time.Second)
	w.mustKeepRules(t)
	w.mustFinish(t)
}

// TestScarceClassesAreRelieved: large tasks lack machines of which the cloud has
// no more, while small ones run there that a smaller class could take. Machines of
// that class are rented, and stay though idle as long as the large ones lack.
func TestScarceClassesAreRelieved(t *testing.T) {
	c := testCore(t)
	for name, cpus := range map[string]float64{"small": 8, "large": 16} {
		c.fleet.Types[name] = &wire.MachineType{Name: name, CPUs: cpus, MemoryGB: 64, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a"}}
		c.activeTerms[name] = 5
	}
	open := func(id string, cpus float64, types ...string) *jobs.Job {
		raw, err := wire.Encode(&wire.Job{ID: id, Team: "red", Tasks: 12, CPUs: cpus, Types: types, Spot: true, EstimateS: 30})
		if err != nil {
			t.Fatal(err)
		}
		c.jobs.Apply(statestore.Change{Key: statestore.Root + "o/" + id, Entry: statestore.Entry{Value: raw, Version: 1}})
		c.jobs.Open[id].Active = true
		return c.jobs.Open[id]
	}
	c.pool.GetOrAdd("i-1", "large", "a", true, 0)
	small := open("job-1", 2, "large", "small")
	for i := 0; i < 8; i++ {
		c.assign(small, i, jobs.Assignment{Machine: "i-1", Attempt: uint64(i), State: jobs.Running})
	}
	open("job-2", 16, "large")
	large := &allocation.Unit{Job: "job-2", Need: allocation.Resources{CPUs: 16}, Count: 5, Classes: map[string]bool{"large": true}}
	w := &rentalPlan{counts: map[fleet.Kind]int{}, refusedUnits: []*allocation.Unit{large}}
	c.rentForSmallTasks(w, nil)
	if n := w.counts[fleet.Kind{Class: "small", Zone: "a", Spot: true}]; n != 2 {
		t.Errorf("%d small machines wished for the 16 CPUs that small tasks take", n)
	}
	idle := c.pool.GetOrAdd("i-2", "small", "a", true, 0)
	idle.Adopted = true
	c.fleet.Track("i-2", fleet.Kind{Class: "small", Zone: "a", Spot: true}, 0)
	returned := func() bool {
		for _, at := range []time.Duration{100, 200} {
			c.now.Steady = at * time.Second
			c.returnIdleMachines(nil)
		}
		return idle.Deleting
	}
	if returned() {
		t.Error("an idle machine was returned that keeps small tasks off scarce ones")
	}
	c.rentForSmallTasks(&rentalPlan{counts: map[fleet.Kind]int{}}, nil)
	if !returned() {
		t.Error("an idle machine is kept though nothing lacks")
	}
}

// TestKnownJobIsNotJudgedAgain: a job that an earlier version accepted without a field
// that this one demands is not refused when its user repeats the submission, whether this node
// knows the job or only the state service does. A job that nobody knows is refused, once the
// state service has said so.
func TestKnownJobIsNotJudgedAgain(t *testing.T) {
	body := map[string]any{"id": "job-000001", "crew": "blue", "form": "batch"}
	submit := func(t *testing.T, c *Core, ref uint64) (call StoreCall) {
		t.Helper()
		for _, o := range c.Step(Now{Steady: time.Second}, Submit{Ref: ref, Body: pack(body)}) {
			switch x := o.(type) {
			case Answer:
				t.Errorf("answered %d before the state service was asked", x.Status)
			case StoreCall:
				if x.Path == "/multi" {
					call = x
				}
			}
		}
		if call.ID == 0 {
			t.Fatal("the state service is not asked")
		}
		return call
	}
	for _, x := range []struct {
		name   string
		here   bool   // this node knows the job
		status int    // of the state service's reply
		failed string // the key that it finds
		want   int
	}{
		{"known here", true, 200, "", 200},
		{"known to the state service", false, 409, statestore.Root + "o/job-000001", 200},
		{"known to nobody", false, 200, "", 400},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := testCore(t)
			c.store.Mirror.Loaded = true
			if x.here {
				c.jobs.Open["job-000001"] = &jobs.Job{Job: &wire.Job{ID: "job-000001", Tasks: 1}}
			}
			reply := wire.TxnReply{Revision: 9}
			if x.failed != "" {
				reply.Failed = []string{x.failed}
			}
			call := submit(t, c, 1)
			out := c.Step(Now{Steady: 2 * time.Second}, StoreReply{ID: call.ID, Status: x.status, Body: pack(reply)})
			if a := answerOf(t, out); a.Status != x.want {
				t.Errorf("%d, want %d", a.Status, x.want)
			}
		})
	}
}
