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

// newTestCore returns the core of a controller with two peers.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	settings := &config.Settings{Label: "node-0", Others: []config.Peer{{Label: "node-1"}, {Label: "node-2"}}}
	cluster := &settings.Cluster
	cluster.Teams = []config.Team{{Name: "red", CPUsMax: 40}}
	cluster.Workers.HeartbeatS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 1.5, 14, 34
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 150, 20, 8, 4
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 3, 4
	return NewCore(settings, &config.OperatorSettings{}, Now{}, 7)
}

// checkUsageTotals compares the stored totals of placed tasks, used resources and allocated
// resources with totals computed from the jobs' assignments. It returns an error if they differ.
func (c *Core) checkUsageTotals() error {
	usedResources, taskCount := map[string]allocation.Resources{}, map[string]int{}
	allocated := map[string]map[string]allocation.Resources{}
	for _, job := range c.jobs.OpenJobs {
		for task, assignment := range job.Assigned {
			load := c.loads[assignment.Machine]
			if load == nil || load.tasks[jobs.TaskID(job.ID, task)].job != job {
				return fmt.Errorf("%s/%d is assigned to %s, whose recorded load does not contain it", job.ID, task, assignment.Machine)
			}
			usedResources[assignment.Machine] = usedResources[assignment.Machine].Add(taskResources(job), 1)
			taskCount[assignment.Machine]++
			if allocated[job.Team] == nil {
				allocated[job.Team] = map[string]allocation.Resources{}
			}
			allocated[job.Team][load.class] = allocated[job.Team][load.class].Add(taskResources(job), 1)
		}
	}
	equal := func(a, b allocation.Resources) bool { return a.Fits(b) && b.Fits(a) }
	for id, load := range c.loads {
		plannedCount := 0
		for _, ref := range load.tasks {
			assignment := ref.job.Assigned[ref.task]
			if assignment.State == jobs.Planned {
				plannedCount++
			}
			if c.jobs.OpenJobs[ref.job.ID] != ref.job { // the job has ended, but no heartbeat has shown yet that its task is gone
				usedResources[id] = usedResources[id].Add(taskResources(ref.job), 1)
				taskCount[id]++
				if allocated[ref.job.Team] == nil {
					allocated[ref.job.Team] = map[string]allocation.Resources{}
				}
				allocated[ref.job.Team][load.class] = allocated[ref.job.Team][load.class].Add(taskResources(ref.job), 1)
			}
		}
		if len(load.tasks) != taskCount[id] || plannedCount != load.plannedCount || !equal(load.used, usedResources[id]) {
			return fmt.Errorf("%s: %d tasks, %d planned, %v used; want %d, %d, %v", id, len(load.tasks), load.plannedCount, load.used, taskCount[id], plannedCount, usedResources[id])
		}
	}
	for team, byClass := range c.usageByTeam {
		for class, usage := range byClass {
			if !equal(usage.sum, allocated[team][class]) {
				return fmt.Errorf("%s on %s: %v allocated, want %v", team, class, usage.sum, allocated[team][class])
			}
		}
	}
	for team, byClass := range allocated {
		for class := range byClass {
			if _, ok := c.usageByTeam[team][class]; !ok {
				return fmt.Errorf("%s on %s: no allocation", team, class)
			}
		}
	}
	return nil
}

// TestEndedAttemptDoesNotHideALostLaunch checks that an ended attempt that is not cleared yet is
// not mistaken for a later attempt whose launch was lost. With this mistake, the task would never
// be launched again.
func TestEndedAttemptDoesNotHideALostLaunch(t *testing.T) {
	core := newTestCore(t)
	spec := &wire.Job{ID: "job-1", Team: "red", Tasks: 1, CPUs: 1, Types: []string{"small"}}
	raw, err := wire.Encode(spec)
	if err != nil {
		t.Fatal(err)
	}
	core.jobs.Apply(statestore.Change{Key: statestore.Root + "o/job-1", Entry: statestore.Entry{Value: raw, Version: 1}})
	job := core.jobs.OpenJobs["job-1"]
	machine := core.pool.GetOrAdd("i-1", "small", "a", false, 0)
	machine.Adopted = true
	machine.Tasks = []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}}
	core.assign(job, 0, jobs.Assignment{Machine: "i-1", Attempt: 2, State: jobs.Sent})
	core.reconcile(machine, nil, false)
	if assignment, ok := job.Assigned[0]; ok {
		t.Errorf("the task is still assigned: %+v", assignment)
	}
}

// firstAnswer returns the first answer among the outputs of a step.
func firstAnswer(t *testing.T, outputs []Output) Answer {
	t.Helper()
	for _, output := range outputs {
		if answer, ok := output.(Answer); ok {
			return answer
		}
	}
	t.Fatal("no answer")
	return Answer{}
}

// TestReadiness checks that a node is not ready before it has read the state, and while it alone has
// lost the state service, so that users turn to other nodes. In an outage that affects all nodes, the
// node must stay ready, since no other node could serve users better.
func TestReadiness(t *testing.T) {
	core := newTestCore(t)
	now := Now{Steady: time.Second}
	if answer := firstAnswer(t, core.Step(now, Ready{Ref: 1})); answer.Status != 503 {
		t.Errorf("status %d before the state is read", answer.Status)
	}
	core.store.Mirror.Loaded = true
	core.fleet.Types["small"] = &wire.MachineType{Name: "small"}
	if answer := firstAnswer(t, core.Step(now, Ready{Ref: 2})); answer.Status != 200 {
		t.Errorf("status %d after the state is read", answer.Status)
	}
	core.store.LastFail = 20 * time.Second
	now.Steady = 20 * time.Second
	probed := 0
	for _, output := range core.Step(now, Tick{}) {
		if call, ok := output.(PeerCall); ok && call.Msg.Probe {
			probed++
		}
	}
	if probed != 2 {
		t.Errorf("%d peers probed, want 2", probed)
	}
	core.Step(now, PeerReply{Call: PeerCall{Peer: "node-1", Msg: PeerMessage{Probe: true}}})
	if answer := firstAnswer(t, core.Step(now, Ready{Ref: 3})); answer.Status != 200 {
		t.Errorf("status %d while the state service is unreachable for all nodes", answer.Status)
	}
	core.Step(now, PeerReply{Call: PeerCall{Peer: "node-2", Msg: PeerMessage{Probe: true}}, Answer: PeerAnswer{Yes: true}})
	if answer := firstAnswer(t, core.Step(now, Ready{Ref: 4})); answer.Status != 503 {
		t.Errorf("status %d while the state service is unreachable for this node alone", answer.Status)
	}
	now.Steady += time.Minute
	if answer := firstAnswer(t, core.Step(now, Ready{Ref: 5})); answer.Status != 200 {
		t.Errorf("status %d after the answers of the peers have become stale", answer.Status)
	}
}

// TestFaultyMachineIsReturnedAtOnce checks that a machine that fails every task is returned to the
// cloud within 4 s of being marked as faulty. If the machine were kept while it has tasks, a new
// owner would have to detect the fault again after a takeover.
func TestFaultyMachineIsReturnedAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newSimulation(seed, standardConfig())
		for i := 0; i < 8; i++ {
			sim.submitJob(fmt.Sprintf("job-%06d", i), map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
				"sheets": 40, "cores": 2.0, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 20.0}, 20)
		}
		sim.run(40 * time.Second)
		machine := sim.randomLiveMachine()
		machine.faulty = true
		markedAt := time.Duration(0)
		sim.trace = func(format string, args ...any) {
			if line := fmt.Sprintf(format, args...); strings.Contains(line, "machine fails its tasks") && strings.Contains(line, machine.id) {
				markedAt = sim.now
			}
		}
		for deadline := sim.now + 60*time.Second; !machine.gone && sim.now < deadline; {
			sim.run(sim.now + 500*time.Millisecond)
		}
		if markedAt == 0 || !machine.gone || sim.now-markedAt > 4*time.Second {
			t.Errorf("seed %d: %s marked as faulty at %v; returned: %v at %v", seed, machine.id, markedAt, machine.gone, sim.now)
		}
		sim.run(sim.now + 100*time.Second)
		sim.mustKeepRules(t)
	}
}

// TestFaultyJobIsNotBlamedOnMachines checks that a job that fails on every machine is retried
// with few tasks at a time, and that no machine is marked as faulty because of it.
func TestFaultyJobIsNotBlamedOnMachines(t *testing.T) {
	sim := newSimulation(1, standardConfig())
	newSubmission := func() map[string]any {
		return map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "urgent",
			"sheets": 30, "cores": 2.0, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 5.0}
	}
	faulty := sim.submitJob("job-000001", newSubmission(), 5)
	faulty.faulty = true
	for i := 2; i < 8; i++ {
		sim.submitJob(fmt.Sprintf("job-%06d", i), newSubmission(), 5)
	}
	sim.run(100 * time.Second)
	startsBefore := sim.taskStarts
	sim.run(160 * time.Second)
	if count := sim.taskStarts - startsBefore; count == 0 || count > 20 {
		t.Errorf("%d attempts of a faulty job in a minute", count)
	}
	for _, node := range sim.nodes {
		for _, machine := range node.core.pool.Machines {
			if machine.Faulty {
				t.Errorf("%s was marked as faulty", machine.ID)
			}
		}
	}
	sim.cancel(faulty)
	sim.run(200 * time.Second)
	sim.mustKeepRules(t)
	sim.mustFinish(t)
}

// TestMachinesAreRentedToFreeScarceClasses checks the case in which large tasks wait for machines
// of a class that the cloud has run out of, while small tasks that fit a smaller class occupy
// such machines. Machines of the smaller class must be rented, and kept even if idle as long as
// the large tasks wait.
func TestMachinesAreRentedToFreeScarceClasses(t *testing.T) {
	core := newTestCore(t)
	for name, cpus := range map[string]float64{"small": 8, "large": 16} {
		core.fleet.Types[name] = &wire.MachineType{Name: name, CPUs: cpus, MemoryGB: 64, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a"}}
		core.activeTerms[name] = 5
	}
	openJob := func(id string, cpus float64, types ...string) *jobs.Job {
		raw, err := wire.Encode(&wire.Job{ID: id, Team: "red", Tasks: 12, CPUs: cpus, Types: types, Spot: true, EstimateS: 30})
		if err != nil {
			t.Fatal(err)
		}
		core.jobs.Apply(statestore.Change{Key: statestore.Root + "o/" + id, Entry: statestore.Entry{Value: raw, Version: 1}})
		core.jobs.OpenJobs[id].Active = true
		return core.jobs.OpenJobs[id]
	}
	core.pool.GetOrAdd("i-1", "large", "a", true, 0)
	smallJob := openJob("job-1", 2, "large", "small")
	for i := 0; i < 8; i++ {
		core.assign(smallJob, i, jobs.Assignment{Machine: "i-1", Attempt: uint64(i), State: jobs.Running})
	}
	openJob("job-2", 16, "large")
	largeUnit := &allocation.Unit{Job: "job-2", Need: allocation.Resources{CPUs: 16}, Count: 5, Classes: map[string]bool{"large": true}}
	plan := &rentalPlan{countByKind: map[fleet.Kind]int{}, refusedUnits: []*allocation.Unit{largeUnit}}
	core.rentForSmallTasks(plan, nil)
	if count := plan.countByKind[fleet.Kind{Class: "small", Zone: "a", Spot: true}]; count != 2 {
		t.Errorf("%d small machines planned for the 16 CPUs that small tasks use, want 2", count)
	}
	idleMachine := core.pool.GetOrAdd("i-2", "small", "a", true, 0)
	idleMachine.Adopted = true
	core.fleet.Track("i-2", fleet.Kind{Class: "small", Zone: "a", Spot: true}, 0)
	idleIsReturned := func() bool {
		for _, at := range []time.Duration{100, 200} {
			core.now.Steady = at * time.Second
			core.returnIdleMachines(nil)
		}
		return idleMachine.Deleting
	}
	if idleIsReturned() {
		t.Error("an idle machine that keeps small tasks off scarce machines was returned")
	}
	core.rentForSmallTasks(&rentalPlan{countByKind: map[fleet.Kind]int{}}, nil)
	if !idleIsReturned() {
		t.Error("an idle machine is kept although no task waits for scarce machines")
	}
}

// TestKnownJobIsNotValidatedAgain checks that a repeated submission of a job that an earlier
// version accepted is not refused because it lacks a field that this version requires. It makes
// no difference whether this node or only the state service has a record of the job. A submission
// of a job without a record is refused, but only after the state service has confirmed that it has
// none.
func TestKnownJobIsNotValidatedAgain(t *testing.T) {
	body := map[string]any{"id": "job-000001", "crew": "blue", "form": "batch"}
	submit := func(t *testing.T, core *Core, ref uint64) (call StoreCall) {
		t.Helper()
		for _, output := range core.Step(Now{Steady: time.Second}, Submit{Ref: ref, Body: mustEncode(body)}) {
			switch typed := output.(type) {
			case Answer:
				t.Errorf("answered %d before the state service was called", typed.Status)
			case StoreCall:
				if typed.Path == "/multi" {
					call = typed
				}
			}
		}
		if call.ID == 0 {
			t.Fatal("the submission caused no call to the state service")
		}
		return call
	}
	for _, tc := range []struct {
		name         string
		recordedHere bool   // this node has a record of the job
		storeStatus  int    // status of the state service's reply
		failedKey    string // key of the failed condition in the reply; empty: none
		wantStatus   int
	}{
		{"known here", true, 200, "", 200},
		{"known to the state service", false, 409, statestore.Root + "o/job-000001", 200},
		{"known to nobody", false, 200, "", 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core := newTestCore(t)
			core.store.Mirror.Loaded = true
			if tc.recordedHere {
				core.jobs.OpenJobs["job-000001"] = &jobs.Job{Job: &wire.Job{ID: "job-000001", Tasks: 1}}
			}
			reply := wire.TxnReply{Revision: 9}
			if tc.failedKey != "" {
				reply.Failed = []string{tc.failedKey}
			}
			call := submit(t, core, 1)
			outputs := core.Step(Now{Steady: 2 * time.Second}, StoreReply{ID: call.ID, Status: tc.storeStatus, Body: mustEncode(reply)})
			if answer := firstAnswer(t, outputs); answer.Status != tc.wantStatus {
				t.Errorf("status %d, want %d", answer.Status, tc.wantStatus)
			}
		})
	}
}
