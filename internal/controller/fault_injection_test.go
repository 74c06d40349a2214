package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// busyMachines returns the running machines that have tasks, in the order of their IDs.
func (sim *simulation) busyMachines() (list []*simMachine) {
	for _, id := range sortedKeys(sim.machines) {
		if m := sim.machines[id]; m.up && !m.gone && len(m.tasks) > 0 {
			list = append(list, m)
		}
	}
	return list
}

// machineIDPattern matches a machine ID in a log line.
var machineIDPattern = regexp.MustCompile(`i-\d+`)

// countReturnedMachines returns a counter of the booted machines that are returned to the cloud
// from now on although they are not idle.
func (sim *simulation) countReturnedMachines() *int {
	count := new(int)
	sim.trace = func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		if strings.Contains(line, "machine returned") && !strings.Contains(line, "idle") && sim.machines[machineIDPattern.FindString(line)].up {
			*count++
		}
	}
	return count
}

// TestUnreachableNewOwnerReturnsNoMachines cuts the owner and one successor off from the workers.
// No machine may be returned to the cloud, and the classes must move to a node that workers reach.
// A new owner that does not check whether workers reach it takes the whole fleet for machines that
// have failed to boot, and returns the fleet to the cloud. The test also runs a core that assumes
// that workers reach it, and for at least one seed that core must return machines to the cloud;
// otherwise the test proves nothing.
func TestUnreachableNewOwnerReturnsNoMachines(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, returnedCount int) {
		sim = newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		oldOwner := sim.owner()
		successor := sim.nodes[(oldOwner.index+1)%len(sim.nodes)]
		returned := sim.countReturnedMachines()
		sim.injectFault = injectFault
		sim.cutWorkers(oldOwner, sim.now+30*time.Second)
		sim.cutWorkers(successor, sim.now+30*time.Second)
		sim.run(sim.now + 20*time.Second)
		if owner := sim.owner(); injectFault == nil && (owner == nil || owner == oldOwner || owner == successor) {
			t.Error("no node that workers reach owns the classes")
		}
		sim.run(sim.now + 20*time.Second)
		return sim, *returned
	}
	forEachClusterSize(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, returned := simulate(cfg, seed, nil)
		if returned > 0 {
			t.Errorf("%d machines were returned", returned)
		}
		sim.run(350 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	for seed := uint64(1); seed <= 5; seed++ {
		if _, returned := simulate(standardConfig(), seed, func(c *Core) {
			if len(c.activeTerms) > 0 {
				c.lastHeartbeat, c.lastArrival = c.now.Steady, c.now.Steady // assumes that workers reach it
			}
		}); returned > 0 {
			return
		}
	}
	t.Error("a core that assumes that workers reach it returned no machine, so the test proves nothing")
}

// TestPartitionedOwner cuts the owner off for 40 s, without a break or on and off every 5 s: from all
// other parties, from the state service (in both directions, from its answers only, or by refusals),
// or from the state service and the peers. When the 40 s are over, a node that can serve the classes
// must own them. The owner may change at most five times, which is about once per cut. All jobs must
// finish within 300 s after the cuts.
func TestPartitionedOwner(t *testing.T) {
	cutEverything := func(sim *simulation, node *simNode, on bool) {
		sim.setIsolated(node, on)
		if on {
			sim.cutWorkers(node, sim.now+time.Hour)
		}
	}
	faults := []struct {
		name string
		cut  func(sim *simulation, node *simNode, on bool)
	}{
		{"everything", cutEverything},
		{"the state service", func(sim *simulation, node *simNode, on bool) { sim.setLinkCut(node.label, "state", on) }},
		{"answers of the state service", func(sim *simulation, node *simNode, on bool) { sim.setOneWayCut("state", node.label, on) }},
		{"refused by the state service", func(sim *simulation, node *simNode, on bool) {
			sim.store.refusedNodes[node.index] = on
			sim.store.notifyWatches()
		}},
		{"state service and peers", func(sim *simulation, node *simNode, on bool) { sim.setIsolated(node, on) }},
	}
	for _, fault := range faults {
		for _, flapping := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on and off %v", fault.name, flapping), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 3; seed++ {
					sim := newSimulation(seed, standardConfig())
					submitLongJobs(sim, 8)
					sim.run(50 * time.Second)
					oldOwner := sim.owner()
					takeovers, lastOwner := 0, oldOwner
					end := sim.now + 40*time.Second
					for on := true; sim.now < end; {
						if fault.name == "everything" && on {
							sim.cutWorkers(oldOwner, end)
						}
						fault.cut(sim, oldOwner, on)
						for stop := sim.now + 5*time.Second; sim.now < stop; {
							sim.run(sim.now + 100*time.Millisecond)
							if owner := sim.owner(); owner != nil && owner != lastOwner {
								takeovers, lastOwner = takeovers+1, owner
							}
						}
						if flapping {
							on = !on
						}
					}
					if owner := sim.owner(); owner == nil || (!flapping && owner == oldOwner) {
						t.Error("no node that can serve the classes owns them")
					}
					if takeovers > 5 {
						t.Errorf("the classes moved %d times", takeovers)
					}
					fault.cut(sim, oldOwner, false)
					sim.cutWorkers(oldOwner, sim.now)
					sim.faultsEndedAt = sim.now
					sim.run(sim.now + 300*time.Second)
					sim.mustKeepRules(t)
					sim.mustFinish(t)
				}
			})
		}
	}
}

// TestOwnerPausesReturnNoMachines pauses the owner's process several times, for less and for more
// than its lease. Messages prepared before a pause are sent only after the pause. These pauses must not
// make the owner or its successor return a machine to the cloud, and no class may be handed over
// because no heartbeat was read during a pause.
func TestOwnerPausesReturnNoMachines(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64) (sim *simulation, returnedCount, handovers int) {
		sim = newSimulation(seed, cfg)
		sim.repeatedOrderRate, sim.lateCopyRate = 0.05, 0.05
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		returned := sim.countReturnedMachines()
		for _, seconds := range []float64{2.4, 2.4, 9, 2.4, 14, 2.4} {
			if owner := sim.owner(); owner != nil {
				owner.pause(time.Duration(seconds * float64(time.Second)))
			}
			sim.run(sim.now + time.Duration((seconds+3)*float64(time.Second)))
			for _, node := range sim.nodes {
				if node.core != nil && node.core.handedOverAt > 0 {
					handovers++
					node.core.handedOverAt = 0
				}
			}
		}
		return sim, *returned, handovers
	}
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, returned, handovers := simulate(cfg, seed)
		if returned > 0 || handovers > 0 {
			t.Errorf("%d machines were returned, and classes were handed over %d times", returned, handovers)
		}
		sim.faultsEndedAt = sim.now
		sim.run(400 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}

// TestShortPauseKeepsOwnership pauses the owner's process for less than its lease. The owner must
// renew its lease before anything else after the pause and keep its classes under the same terms.
func TestShortPauseKeepsOwnership(t *testing.T) {
	forEachClusterSize(t, 5, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50*time.Second + time.Duration(seed)*130*time.Millisecond)
		owner := sim.owner()
		terms := owner.core.ownership.Terms()
		owner.pause(2100 * time.Millisecond)
		sim.run(sim.now + 5*time.Second)
		for class, term := range owner.core.ownership.Terms() {
			if terms[class] != term {
				t.Errorf("%s: term %d after %d", class, term, terms[class])
			}
		}
		if sim.owner() != owner {
			t.Error("another node took the classes over")
		}
	})
}

// TestOwnerReadsWaitingHeartbeatsAfterPause pauses the owner's process while a machine hangs. The
// machine resumes during the pause, so its heartbeats are waiting to be read when the owner
// resumes. The owner must read them before it decides that the machine is silent, and must not
// return the machine to the cloud. The test also runs a core that does not detect its own pause, and
// for at least one seed that core must return the machine; otherwise the test proves nothing.
func TestOwnerReadsWaitingHeartbeatsAfterPause(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, ignorePause bool) (sim *simulation, machine *simMachine) {
		sim = newSimulation(seed, cfg)
		submitLongJobs(sim, 8)
		sim.run(50 * time.Second)
		owner := sim.owner()
		if ignorePause {
			sim.injectFault = func(c *Core) {
				if c == owner.core {
					c.now.Steady = max(c.now.Steady, owner.clock().Steady)
				}
			}
		}
		machine = sim.busyMachines()[1]
		for machine.inFlight || sim.now-machine.lastHeartbeatAt > 200*time.Millisecond {
			sim.run(sim.now + 20*time.Millisecond)
		}
		machine.hang(6600 * time.Millisecond)
		sim.run(sim.now + 6200*time.Millisecond)
		owner.pause(1500 * time.Millisecond)
		sim.run(sim.now + 10*time.Second)
		return sim, machine
	}
	forEachClusterSize(t, 4, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, machine := simulate(cfg, seed, false)
		if machine.gone {
			t.Errorf("%s was returned", machine.id)
		}
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	for seed := uint64(1); seed <= 10; seed++ {
		if _, m := simulate(standardConfig(), seed, true); m.gone {
			return
		}
	}
	t.Error("an owner that does not detect its pause returned no machine, so the test proves nothing")
}

// TestAnswersExpireWithLease checks that an answer to a worker carries a deadline before the end of the
// owner's lease, so that an answer prepared before a pause of the process is not sent once the lease
// may have expired.
func TestAnswersExpireWithLease(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		sim := busySimulation(seed)
		owner := sim.owner()
		for _, machine := range owner.core.pool.Sorted() {
			if !machine.Adopted {
				continue
			}
			heartbeat := &wire.Heartbeat{Machine: machine.ID, Address: machine.Address, Type: machine.Class, Zone: machine.Zone, Spot: machine.Spot, Incarnation: machine.Incarnation, Seq: machine.Seq + 1000, FencingToken: machine.Term, Tasks: machine.Tasks}
			for _, output := range owner.core.Step(owner.clock(), HeartbeatRequest{Ref: 1 << 40, Heartbeat: heartbeat}) {
				answer, ok := output.(Answer)
				if !ok || answer.Status != 200 {
					continue
				}
				if left := answer.Until - owner.clock().Steady; left <= 0 || left >= limits.NodeLease-limits.LeaseMargin+limits.RenewInterval/1000 {
					t.Fatalf("an answer may still be sent for %v", left)
				}
			}
		}
	}
}

// TestFailedAndSlowBoots lets most new machines fail to boot and the others boot late, for 70 s.
// The owner must rent replacements, but at most 70 machines in total, must return machines that
// haven't booted after 32 s to the cloud, and must finish all work.
func TestFailedAndSlowBoots(t *testing.T) {
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		sim.cloud.bootFailureRate, sim.cloud.bootSlowdown = 0.6, 3
		submitLongJobs(sim, 8)
		sim.run(70 * time.Second)
		rented := len(sim.machines)
		for _, m := range sim.machines {
			if !m.up && !m.gone && sim.now-m.createdAt > 32*time.Second {
				t.Errorf("%s has not booted for %v and was not returned", m.id, sim.now-m.createdAt)
			}
		}
		if rented > 70 { // the cloud has at most 22 machines at a time
			t.Errorf("%d machines were rented in 70 s", rented)
		}
		sim.cloud.bootFailureRate, sim.cloud.bootSlowdown = 0, 0
		sim.run(400 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}

// fillCloudWithBorrowers returns a simulation in which the team guest, which has no guaranteed resources,
// runs long tasks on all machines of the cloud. The tasks can save their state. The team red has
// guaranteed resources and no jobs yet.
func fillCloudWithBorrowers(cfg simConfig, seed uint64, injectFault func(*Core)) *simulation {
	cfg.teams = []config.Team{{Name: "red", CPUs: 64, CPUsMax: 200}, {Name: "guest"}}
	cfg.machineTypes = cfg.machineTypes[:1]
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: 10}
	sim := newSimulation(seed, cfg)
	sim.injectFault = injectFault
	borrowing := batchSpec("guest", 30, 4, 90)
	borrowing["ramGb"], borrowing["urgency"], borrowing["markS"], borrowing["stowS"] = 4.0, "low", 10.0, 2.0
	sim.submitJob("job-000001", borrowing, 90)
	sim.run(70 * time.Second)
	return sim
}

// TestGuaranteedTasksPreemptBorrowers submits a job within its team's guarantee while long tasks on
// borrowed capacity fill the cloud. Four of the job's tasks must start within 15 s, and all preempted
// work must be done later, although the owner crashes meanwhile. The test also runs a core that doesn't
// preempt, and the tasks must then not start in time; otherwise the test proves nothing.
func TestGuaranteedTasksPreemptBorrowers(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, startDelay time.Duration) {
		sim = fillCloudWithBorrowers(cfg, seed, injectFault)
		sim.submitJob("job-000002", map[string]any{"docket": "short", "crew": "red", "form": "batch", "urgency": "standard",
			"sheets": 6, "cores": 8.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": 10.0}, 10)
		startDelay = sim.runUntil(250*time.Millisecond, 40*time.Second, func() bool {
			startedTasks := 0
			for _, machine := range sim.machines {
				for id, task := range machine.tasks {
					if strings.HasPrefix(id, "job-000002/") && (isExecuting(task) || task.job.done[0]) {
						startedTasks++
					}
				}
			}
			return startedTasks >= 4
		})
		return sim, startDelay
	}
	checkBorrowersPreempted(t, simulate, 15*time.Second, func(sim *simulation) {
		if owner := sim.owner(); owner != nil {
			owner.crash(time.Second)
		}
	})
}

// TestGuaranteedGangsPreemptBorrowers submits a gang within its team's guarantee while long tasks on
// borrowed capacity fill the cloud. The whole gang must start within 20 s, long before it would
// count as overdue and have machines reserved. The preempted tasks save before they stop. The test
// also runs a core that doesn't preempt, and the gang must then not start in time; otherwise the test
// proves nothing.
func TestGuaranteedGangsPreemptBorrowers(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, startDelay time.Duration) {
		sim = fillCloudWithBorrowers(cfg, seed, injectFault)
		gang := newGangSubmission("red", 5, 8, 10)
		gang["loaners"] = false
		sim.submitJob("job-000002", gang, 10)
		startDelay = sim.runUntil(250*time.Millisecond, 40*time.Second, func() bool {
			for key, g := range sim.gangs {
				if key.job.id == "job-000002" && g.started {
					return true
				}
			}
			return false
		})
		return sim, startDelay
	}
	checkBorrowersPreempted(t, simulate, 20*time.Second, func(*simulation) {})
}

// checkBorrowersPreempted checks that work within a guarantee starts in time although another team has
// borrowed the whole cloud, and that it does not start in time without preemption. simulate returns
// the simulation and the delay of the start, or 0 if the work did not start.
func checkBorrowersPreempted(t *testing.T, simulate func(cfg simConfig, seed uint64, injectFault func(*Core)) (*simulation, time.Duration), maxDelay time.Duration, afterStart func(sim *simulation)) {
	t.Helper()
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, startDelay := simulate(cfg, seed, nil)
		if startDelay == 0 || startDelay > maxDelay {
			t.Errorf("work within the guarantee started after %v", startDelay)
		}
		afterStart(sim)
		sim.run(1200 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	if _, startDelay := simulate(standardConfig(), 1, func(c *Core) { c.nextPreemption = c.now.Steady + time.Second }); startDelay != 0 && startDelay < maxDelay {
		t.Errorf("without preemption the work started after %v: the borrowing team leaves too much room, so the test proves nothing", startDelay)
	}
}

// TestFaultyJobMarkSurvivesTakeovers crashes four owners in turn while a job fails on every machine.
// Each next owner may start at most 12 of the job's tasks within 12 s. It would start many more for
// a job that is not marked faulty. The test also runs owners that don't receive the list of faulty
// jobs from their peers, and one of them must exceed the limit; otherwise the test proves nothing.
func TestFaultyJobMarkSurvivesTakeovers(t *testing.T) {
	simulate := func(cfg simConfig, seed uint64, shareFaulty bool) (sim *simulation, maxStarts int) {
		sim = newSimulation(seed, cfg)
		if !shareFaulty {
			sim.filterPeerMessage = func(_ *simNode, message *PeerMessage, _ *PeerAnswer) bool { message.Faulty = nil; return true }
		}
		faultyJob := sim.submitJob("job-000001", batchSpec("blue", 60, 2, 10), 10)
		faultyJob.faulty = true
		sim.run(40 * time.Second)
		for range 4 {
			if owner := sim.owner(); owner != nil {
				owner.crash(2 * time.Second)
			}
			before := sim.taskStarts
			sim.run(sim.now + 12*time.Second)
			maxStarts = max(maxStarts, sim.taskStarts-before)
		}
		sim.cancel(faultyJob)
		sim.run(sim.now + 100*time.Second)
		return sim, maxStarts
	}
	forEachClusterSize(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, maxStarts := simulate(cfg, seed, true)
		if maxStarts > 12 {
			t.Errorf("%d task starts of a faulty job within 12 s of a takeover", maxStarts)
		}
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
	if _, maxStarts := simulate(standardConfig(), 1, false); maxStarts <= 12 {
		t.Errorf("only %d task starts by owners without the list of faulty jobs, so the test proves nothing", maxStarts)
	}
}

// TestFaultyJobsAndFaultyMachinesTogether runs four jobs that fail on every machine while several
// machines fail every task, and crashes the owner meanwhile. All other jobs must be done, at most one
// machine without a fault may be marked faulty, and the faulty jobs must start at most 100 tasks in a
// minute.
func TestFaultyJobsAndFaultyMachinesTogether(t *testing.T) {
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := newSimulation(seed, cfg)
		newSpec := func() map[string]any {
			return map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
				"sheets": 20, "cores": 2.0, "accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 10.0}
		}
		for i := 0; i < 8; i++ {
			sim.submitJob(fmt.Sprintf("job-%06d", i), newSpec(), 10)
		}
		sim.run(20 * time.Second)
		var faultyJobs []*simJob
		for i := 10; i < 14; i++ {
			j := sim.submitJob(fmt.Sprintf("job-%06d", i), newSpec(), 10)
			j.faulty = true
			faultyJobs = append(faultyJobs, j)
		}
		for i, m := range sim.busyMachines() {
			m.faulty = i%4 == 0
		}
		sim.run(40 * time.Second)
		if owner := sim.owner(); owner != nil {
			owner.crash(2 * time.Second)
		}
		sim.run(80 * time.Second)
		before := sim.taskStarts
		wronglyMarked := map[string]bool{}
		for sim.now < 140*time.Second {
			sim.run(sim.now + time.Second)
			for _, node := range sim.nodes {
				for id, m := range node.core.pool.Machines {
					if m.Faulty && !sim.machines[id].faulty {
						wronglyMarked[id] = true
					}
				}
			}
		}
		if len(wronglyMarked) > 1 {
			t.Errorf("machines without a fault were marked faulty: %v", wronglyMarked)
		}
		if starts := sim.taskStarts - before; starts > 4*25 {
			t.Errorf("%d task starts of four faulty jobs in a minute", starts)
		}
		for _, j := range faultyJobs {
			sim.cancel(j)
		}
		sim.run(300 * time.Second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
	})
}

// TestStatusQueriesHaveTheirOwnQueue fills the small queue for status queries. Further queries must get
// 503, queries whose clients have disconnected must be dropped without processing, and the queue for
// other events must stay free.
func TestStatusQueriesHaveTheirOwnQueue(t *testing.T) {
	settings := &config.Settings{Label: "a", APIAddr: freeAddr(t), PeerBind: freeAddr(t)}
	settings.Cluster.Resources.MaxSockets = 1000
	server := NewServer(settings, &config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	server.ctx = context.Background()
	handler := server.handler()
	sendRequest := func(ctx context.Context, method, path string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader("")).WithContext(ctx))
		return recorder.Code
	}
	clientCtx, disconnect := context.WithCancel(context.Background())
	codes := make(chan int, 2*limits.QueryQueueSize)
	for i := 0; i < 2*limits.QueryQueueSize; i++ {
		go func() { codes <- sendRequest(clientCtx, "GET", "/work/job-000001") }()
	}
	for i := 0; i < limits.QueryQueueSize; i++ { // the queries for which the queue has no room
		if code := <-codes; code != http.StatusServiceUnavailable {
			t.Fatalf("a status query beyond the queue's capacity got %d", code)
		}
	}
	if len(server.queries) != limits.QueryQueueSize || len(server.inbox) != 0 {
		t.Fatalf("%d status queries and %d other events are queued", len(server.queries), len(server.inbox))
	}
	disconnect()
	ctx, stop := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- server.Run(ctx) }()
	for deadline := time.Now().Add(20 * time.Second); len(server.queries) > 0; {
		if time.Now().After(deadline) {
			t.Fatal("the event loop does not read status queries") // reached only if the event loop has stopped
		}
		time.Sleep(time.Millisecond)
	}
	if code := sendRequest(context.Background(), "GET", "/ready"); code != http.StatusServiceUnavailable {
		t.Errorf("/ready of a node without state got %d", code)
	}
	stop()
	if err := <-runResult; err != nil {
		t.Error(err)
	}
	if server.lastRef != 1 {
		t.Errorf("%d events were processed, want only /ready", server.lastRef)
	}
}
