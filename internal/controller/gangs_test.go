package controller

import (
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/allocation"
	"umberpaddle/internal/config"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
)

// newGangSubmission returns the submission, without an ID, of a gang whose tasks save their state when
// stopped.
func newGangSubmission(team string, tasks int, cores, estimate float64) map[string]any {
	submission := batchSpec(team, tasks, cores, estimate)
	submission["form"], submission["markS"], submission["stowS"] = "gang", 20.0, 3.0
	return submission
}

// gangWorkload returns a setup function that submits array jobs of two teams at once, and gangs of
// several sizes over a period.
func gangWorkload(count int, period time.Duration, runTime float64) func(sim *simulation) {
	return func(sim *simulation) {
		for i := 0; i < 4; i++ {
			sim.submitJob(fmt.Sprintf("job-3%05d", i), batchSpec([]string{"red", "blue"}[i%2], 8, 2, 40), 40)
		}
		for i := 0; i < count; i++ {
			sim.schedule(time.Duration(i)*period/time.Duration(count), func() {
				submission := newGangSubmission([]string{"red", "blue"}[i%2], 2+i%5, []float64{1, 2, 4}[i%3], runTime)
				submission["oneZone"] = i%2 == 0
				if i%7 == 3 {
					submission["scatter"] = true
					submission["oneZone"] = false
				}
				sim.submitJob(fmt.Sprintf("job-2%05d", i), submission, runTime)
			})
		}
	}
}

// forEachRunningGang calls visit once for each gang with a task that runs, saves or waits for the
// other tasks, and passes the machine of one such task.
func (sim *simulation) forEachRunningGang(visit func(machine *simMachine)) {
	seen := map[string]bool{}
	for _, machine := range sim.busyMachines() {
		for _, id := range machine.taskOrder {
			if task := machine.tasks[id]; task != nil && task.job.gang && isExecuting(task) && !seen[task.job.id] {
				seen[task.job.id] = true
				visit(machine)
				break
			}
		}
	}
}

// machineOfUnstartedGang returns a machine with a gang's task that is fetching its image or waiting
// for the other tasks of the gang, or nil.
func (sim *simulation) machineOfUnstartedGang() *simMachine {
	for _, machine := range sim.createdMachines {
		for _, id := range machine.taskOrder {
			if task := machine.tasks[id]; task != nil && task.job.gang && (task.state == wire.TaskFetching || task.state == wire.TaskGathering) {
				return machine
			}
		}
	}
	return nil
}

// gangFailureScenarios are concurrent failures in deployments that run gangs. Two attempts that
// overlap, a gang of which only a part restarts, and a gang reported to its user as done too early
// each break a rule.
var gangFailureScenarios = []failureScenario{
	{name: "gangs beside arrays", noStandardJobs: true, setup: gangWorkload(30, 50*second, 20), injectFaults: func(*simulation) time.Duration { return 10 * second }},
	{name: "machines with gangs die", noStandardJobs: true, setup: gangWorkload(24, 70*second, 40), injectFaults: func(sim *simulation) time.Duration {
		for start := second; start < 25*second; start += 8 * second {
			sim.schedule(start, func() { sim.forEachRunningGang((*simMachine).terminate) })
		}
		return 40 * second
	}},
	{name: "machines with gangs hang and go on", noStandardJobs: true, setup: gangWorkload(24, 70*second, 40), injectFaults: func(sim *simulation) time.Duration {
		for start := second; start < 25*second; start += 8 * second {
			sim.schedule(start, func() { sim.forEachRunningGang(hangFor(sim.randomDuration(2, 13))) })
		}
		return 40 * second
	}, disableGuard: withCoreFault(func(core *Core) {
		for _, job := range core.jobs.OpenJobs { // lets a new attempt start before the old attempt has ended
			if job.Gang && job.GangRun.Ending {
				for _, task := range job.AssignedTasks() {
					core.unassign(job, task)
				}
			}
		}
	}), brokenRules: "ran_twice mixed in_use sums wrong_place quota"},
	{name: "gangs wait alone", noStandardJobs: true, setup: func(sim *simulation) {
		sim.cfg.gangWaitS = 6
		gangWorkload(24, 70*second, 30)(sim)
	}, injectFaults: func(sim *simulation) time.Duration {
		for start := second; start < 30*second; start += 3 * second {
			sim.schedule(start, func() { sim.everyNthBusyMachine(3, hangFor(sim.randomDuration(3, 9))) })
		}
		return 45 * second
	}},
	{name: "gangs are told to stop", noStandardJobs: true, setup: func(sim *simulation) {
		for kind, capacity := range sim.cfg.capacity {
			if !kind.Spot {
				sim.cloud.available[kind] = 0
			} else {
				sim.cloud.available[kind] = 3 * capacity
			}
		}
		gangWorkload(16, 60*second, 60)(sim)
	}, injectFaults: func(sim *simulation) time.Duration {
		for start := second; start < 20*second; start += 9 * second {
			sim.schedule(start, func() {
				sim.forEachRunningGang(func(machine *simMachine) {
					if machine.kind.Spot && machine.recallAt == 0 {
						machine.recallAt = sim.now + 22*second
						sim.schedule(22*second, machine.terminate)
					}
				})
			})
		}
		return 60 * second
	}},
	{name: "the leader ends while gangs start and stop", noStandardJobs: true, setup: gangWorkload(40, 100*second, 25), injectFaults: func(sim *simulation) time.Duration {
		for start := time.Duration(0); start < 50*second; start += 7 * second {
			sim.schedule(start+sim.randomDuration(0, 2), func() { sim.crashOwner(sim.randomDuration(0.1, 3)) })
		}
		return 60 * second
	}, disableGuard: skipTakeoverWait, brokenRules: "ran_twice mixed in_use quota sums"},
	{name: "the leader ends while gangs gather, machines hang and die", noStandardJobs: true, setup: gangWorkload(40, 110*second, 20), injectFaults: func(sim *simulation) time.Duration {
		for start := time.Duration(0); start < 50*second; start += 8 * second {
			sim.schedule(start, func() {
				if machine := sim.machineOfUnstartedGang(); machine != nil {
					machine.hang(20)
					sim.schedule(sim.randomDuration(1, 6), machine.terminate)
				}
				sim.schedule(sim.randomDuration(0.1, 2), func() { sim.crashOwner(sim.randomDuration(0.1, 3)) })
			})
		}
		return 60 * second
	}, disableGuard: skipTakeoverWait, brokenRules: "ran_twice mixed in_use quota sums"},
	{name: "gangs called off as they start and end", noStandardJobs: true, setup: func(sim *simulation) {
		sim.cancelAtEndRate, sim.queryAllNodes = 0.4, true
		gangWorkload(40, 100*second, 12)(sim)
	}, injectFaults: func(sim *simulation) time.Duration {
		for start := time.Duration(0); start < 40*second; start += 4 * second {
			sim.schedule(start, func() {
				for _, id := range sortedKeys(sim.jobs) {
					if job := sim.jobs[id]; job.gang && job.reportedState == "" && sim.chance(0.15) {
						sim.cancel(job)
					}
				}
			})
		}
		sim.schedule(15*second, func() { sim.crashOwner(2 * second) })
		return 60 * second
	}},
	{name: "gangs, mute and deaf machines, the leader ends", noStandardJobs: true, setup: gangWorkload(30, 90*second, 30), injectFaults: func(sim *simulation) time.Duration {
		sim.everyNthBusyMachine(3, sim.dropHeartbeatsFor(20*second))
		sim.everyNthBusyMachine(4, sim.cutInboundFor(20*second))
		sim.scheduleAll(timedFault{5 * second, func() { sim.crashOwner(2 * second) }}, timedFault{12 * second, func() { sim.forEachRunningGang((*simMachine).terminate) }})
		return 50 * second
	}},
	{name: "gangs, orders held up or repeated", noStandardJobs: true, setup: func(sim *simulation) {
		sim.repeatedOrderRate = 0.3
		gangWorkload(30, 90*second, 25)(sim)
	}, injectFaults: func(sim *simulation) time.Duration {
		sim.lateOrderRate = 0.2
		sim.scheduleAll(timedFault{20 * second, func() { sim.lateOrderRate = 0 }}, timedFault{10 * second, func() { sim.forEachRunningGang(hangFor(6 * second)) }})
		return 60 * second
	}},
	{name: "gangs and the gap", noStandardJobs: true, setup: gangWorkload(16, 60*second, 60), injectFaults: refusalThenOutage(nil)},
	{name: "gangs in a full cluster", noStandardJobs: true, setup: func(sim *simulation) {
		for i := 0; i < 14; i++ {
			sim.submitJob(fmt.Sprintf("job-3%05d", i), batchSpec([]string{"red", "blue"}[i%2], 12, 2, 25), 25)
		}
		for i := 0; i < 3; i++ {
			sim.submitJob(fmt.Sprintf("job-2%05d", i), newGangSubmission("blue", 12, 8, 15), 15)
		}
	}, injectFaults: func(sim *simulation) time.Duration {
		sim.schedule(5*second, func() { sim.crashOwner(second) })
		return 40 * second
	}},
}

// TestConcurrentFailuresWithGangs runs the scenarios with gangs in the same way as
// TestConcurrentFailures runs its scenarios.
func TestConcurrentFailuresWithGangs(t *testing.T) { runScenarios(t, gangFailureScenarios) }

// TestStoppedGangsSave checks that at least 80% of the gangs that are stopped because the cloud
// recalls spot machines save their state.
func TestStoppedGangsSave(t *testing.T) {
	savedCount, endedCount := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		for _, scenario := range gangFailureScenarios {
			if scenario.name != "gangs are told to stop" {
				continue
			}
			sim := runScenario(scenario, 3, seed, false, nil)
			for _, job := range sim.jobs {
				savedCount += job.savedCount
			}
			for _, gang := range sim.gangs {
				if gang.started && gang.saveRequestedAt > 0 {
					endedCount++
				}
			}
		}
	}
	if endedCount < 5 || savedCount*10 < endedCount*8 {
		t.Errorf("%d of %d stopped gangs saved their state", savedCount, endedCount)
	}
}

// simulateTakeoverOfGatheringGang starts a gang in which one task can't fetch its image because its
// machine hangs. Then the owner crashes, and the hanging machine is terminated.
func simulateTakeoverOfGatheringGang(cfg simConfig, seed uint64, injectFault func(*Core)) (sim *simulation, gang *simJob) {
	cfg.gangWaitS = 60
	sim = newSimulation(seed, cfg)
	sim.submitJob("job-000001", batchSpec("blue", 8, 4, 60), 60) // makes the owner rent machines
	sim.run(40 * time.Second)
	gang = sim.submitJob("job-000002", newGangSubmission("blue", 4, 4, 15), 15)
	var awaitFetching func()
	awaitFetching = func() {
		for _, machine := range sim.createdMachines {
			for _, task := range machine.tasks {
				if task.job == gang && task.state == wire.TaskFetching {
					sim.injectFault = injectFault
					machine.hang(time.Minute)
					sim.schedule(4*time.Second, func() { sim.crashOwner(2 * time.Second) })
					sim.schedule(4500*time.Millisecond, machine.terminate)
					return
				}
			}
		}
		sim.schedule(10*time.Millisecond, awaitFetching)
	}
	awaitFetching()
	sim.run(sim.now + 150*time.Second)
	return sim, gang
}

// TestTakeoverCompletesGang checks that a gang that waits for one task when its owner crashes is
// completed by the next owner under the same attempt number. An owner that ends incomplete
// attempts instead must start a second attempt, which shows that the check works.
func TestTakeoverCompletesGang(t *testing.T) {
	countAttempts := func(sim *simulation, gang *simJob) (count int) {
		for key := range sim.gangs {
			if key.job == gang {
				count++
			}
		}
		return count
	}
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim, gang := simulateTakeoverOfGatheringGang(cfg, seed, nil)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
		if count := countAttempts(sim, gang); count != 1 {
			t.Errorf("%d attempts, want 1", count)
		}
	})
	sim, gang := simulateTakeoverOfGatheringGang(standardConfig(), 1, func(core *Core) { core.settings.Cluster.Workers.GangWaitS = 0 })
	if count := countAttempts(sim, gang); count < 2 {
		t.Errorf("%d attempts although incomplete attempts end at a takeover, so this test checks nothing", count)
	}
}

// TestOldGangIsNotCompleted checks that an incomplete attempt ends at a takeover if one of its
// tasks may have waited for most of gang_wait_s for the other tasks, or if one of its tasks has
// ended.
func TestOldGangIsNotCompleted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   float64
		ended bool
		want  bool
	}{
		{"young", 5, false, true},
		{"too old", 35, false, false},
		{"a task has ended", 5, true, false},
	} {
		core := newTestCore(t)
		core.settings.Cluster.Workers.GangWaitS = 40
		core.now.Unix = 1e9
		machine := core.pool.GetOrAdd("i-1", "small", "a", false, 0)
		machine.Adopted = true
		if tc.ended {
			machine.Tasks = []wire.TaskStatus{{Task: "job-1/1", Attempt: 7, State: wire.TaskEnded, Cause: wire.CauseGangIncomplete}}
		}
		job := &jobs.Job{Job: &wire.Job{ID: "job-1", Team: "red", Gang: true, Tasks: 2, CPUs: 1, SubmitUnix: 1e9 - tc.age}, Active: true,
			Assigned: map[int]jobs.Assignment{}, FailedOn: map[string]bool{}}
		core.jobs.OpenJobs["job-1"] = job
		core.assign(job, 0, jobs.Assignment{Machine: "i-1", Attempt: 7, State: jobs.Fetching})
		core.updateGangs()
		if completed := !job.GangRun.Ending && job.GangRun.Attempt == 7; completed != tc.want {
			t.Errorf("%s: attempt kept for completion: %v", tc.name, completed)
		}
	}
}

// TestFaultyGangReservesNoCapacity checks that no capacity is reserved for the retries of a gang that
// fails on every machine, and that the retries may use machines on which the gang has failed. If
// these machines were excluded, the gang would run out of machines.
func TestFaultyGangReservesNoCapacity(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		core := newTestCore(t)
		core.now.Unix = 1e9
		job := &jobs.Job{Job: &wire.Job{ID: "job-1", Gang: true, Tasks: 2, SubmitUnix: 1e9 - 300},
			Assigned: map[int]jobs.Assignment{}, FailedOn: map[string]bool{"i-1": true}, MarkedFaulty: faulty}
		unit := &allocation.Unit{}
		if !core.limitGangUnit(unit, job, nil) || unit.Overdue == faulty || unit.ExcludedMachines["i-1"] == faulty {
			t.Errorf("faulty %v: overdue %v, excluded machines %v", faulty, unit.Overdue, unit.ExcludedMachines)
		}
	}
}

// TestGangAboveTeamLimitIsRefused checks that a gang that exceeds its team's CPU limit is refused
// with 422, and that a gang that just fits is accepted.
func TestGangAboveTeamLimitIsRefused(t *testing.T) {
	core := newTestCore(t)
	core.fleet.Types["small"] = &wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}
	for tasks, refused := range map[int]bool{10: false, 11: true} {
		submission := newGangSubmission("red", tasks, 4, 10)
		submission["id"] = "job-000001"
		addSubmissionDefaults(submission)
		parsed, err := wire.ParseSubmission(mustEncode(submission))
		if err != nil {
			t.Fatal(err)
		}
		if reason := core.checkSubmission(parsed); (reason != "") != refused {
			t.Errorf("%d tasks of 4 CPUs with a limit of 40 CPUs: reason for refusal %q", tasks, reason)
		}
	}
}

// TestGangIsRefusedDuringUpgrade checks that a gang is refused with 503 and a retry delay while a
// controller may still run the previous version, which would run the gang as an array job.
func TestGangIsRefusedDuringUpgrade(t *testing.T) {
	core := newTestCore(t)
	core.store.Mirror.Loaded = true
	core.fleet.Types["small"] = &wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}
	submission := newGangSubmission("red", 4, 4, 10)
	submission["id"] = "job-000001"
	addSubmissionDefaults(submission)
	if answer := firstAnswer(t, core.Step(Now{Steady: time.Second}, Submit{Ref: 1, Body: mustEncode(submission)})); answer.Status != 503 || answer.RetryAfter == 0 {
		t.Errorf("answer %+v, want status 503 with a retry delay", answer)
	}
}

// TestStateLimitsShrinkDuringBacklog checks that all jobs finish, and that no transaction is too
// large, if the state service changes to the lower limits in the settings without notice while stored
// values are full and many writes are pending.
func TestStateLimitsShrinkDuringBacklog(t *testing.T) {
	forEachClusterSize(t, 2, func(t *testing.T, cfg simConfig, seed uint64) {
		cfg.nextStateLimits = &config.StateLimits{WriteRPS: 15, ValueKB: 2, TxnOps: 4}
		cfg.writeRPS = 20
		sim := newSimulation(seed, cfg)
		submitRandomJobs(sim, 60, 100*second)
		sim.submitJob("job-400000", batchSpec("blue", 20000, 1, 1), 0.2) // the done set of so many tasks is stored in chunks
		sim.run(60 * second)
		sim.store.setLimits(cfg.nextStateLimits)
		sim.schedule(10*second, func() { sim.crashOwner(2 * second) })
		sim.run(120 * second)
		sim.faultsEndedAt = sim.now
		for _, id := range sortedKeys(sim.jobs) {
			if job := sim.jobs[id]; job.taskCount > 1000 {
				sim.cancel(job)
			}
		}
		sim.run(500 * second)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
		if sim.store.oversizedTxns > 0 {
			t.Errorf("%d transactions were too large", sim.store.oversizedTxns)
		}
	})
}

// TestMachinesAreReservedForGangs checks that a few on-demand machines, first those with the gang's
// image, accept only gangs, and that they accept array jobs again once no gang has been submitted
// for a while. Without the reservation, array jobs fill the machines with the image, and gangs that
// should start within seconds are placed on machines without it.
func TestMachinesAreReservedForGangs(t *testing.T) {
	core := newTestCore(t)
	core.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "x", WithinS: 5}}
	var machines []*allocation.Machine
	for i := 0; i < 40; i++ {
		machine := &allocation.Machine{ID: fmt.Sprintf("i-%02d", i), Class: "small", Zone: "a", Spot: i%2 == 0,
			Capacity: allocation.Resources{CPUs: 8, Memory: 32}, Free: allocation.Resources{CPUs: 8, Memory: 32}, Images: map[string]bool{}}
		if i == 31 {
			machine.Images["img"], machine.Free.CPUs = true, 1
		}
		machines = append(machines, machine)
	}
	core.reserveForGangs(machines)
	if len(core.gangOnlyMachines) != 0 {
		t.Errorf("machines reserved without any gang: %v", core.gangOnlyMachines)
	}
	core.now.Steady += time.Minute
	gang := &jobs.Job{Job: &wire.Job{ID: "job-1", Class: "x", Gang: true, Tasks: 8, CPUs: 2, Image: "img", Types: []string{"small"}}, Active: true}
	core.jobs.OpenJobs["job-1"] = gang
	core.reserveForGangs(machines)
	if count := len(core.gangOnlyMachines); count != 3 || !core.gangOnlyMachines["i-31"] {
		t.Errorf("machines reserved for 16 CPUs: %v, want 3 with i-31", core.gangOnlyMachines)
	}
	array := &allocation.Unit{Job: "a", Need: allocation.Resources{CPUs: 1}, Count: 1000, Classes: map[string]bool{"small": true}, Spot: true}
	for _, placement := range allocation.Run([]*allocation.Team{{Name: "red", Allocated: map[string]allocation.Resources{}, Units: []*allocation.Unit{array}}}, machines, nil, nil) {
		if core.gangOnlyMachines[placement.Machine.ID] {
			t.Fatalf("an array's task is on %s", placement.Machine.ID)
		}
	}
	core.now.Steady += time.Second
	gang.Tasks = 80 // demand above the share of machines that may be reserved
	core.reserveForGangs(machines)
	if count := len(core.gangOnlyMachines); count != 6 {
		t.Errorf("%d of 40 machines are reserved, want 6", count)
	}
	delete(core.jobs.OpenJobs, "job-1")
	core.now.Steady += 20 * time.Minute
	core.reserveForGangs(machines)
	if len(core.gangOnlyMachines) != 0 {
		t.Errorf("machines reserved long after the last gang: %v", core.gangOnlyMachines)
	}
}
