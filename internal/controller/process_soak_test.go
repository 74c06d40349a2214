package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/wire"
)

// Flags of the randomized fault test on real processes. A day is one run with one seed. To repeat a day:
//
//	go test ./internal/controller -run TestProcessesUnderRandomFaults -soak.first=SEED -soak.days=1 -v
//
// The seed determines the faults and their times. The timing of processes and sockets varies, so a rare
// failure may need several runs to reproduce.
var (
	soakFirstSeed      = flag.Uint64("soak.first", 1, "seed of the first day of the fault test on real processes")
	soakDayCount       = flag.Uint64("soak.days", 2, "number of days, each with its own seed, of the fault test on real processes")
	soakOperatorConfig = flag.String("soak.operator", "", "operator settings file of the controllers in the fault test; empty: none")
	soakBinary         = flag.String("soak.binary", "", "binary that the fault test runs; empty: built from the sources")
)

const (
	soakNodeCount      = 3
	soakFaultPeriod    = 60 * time.Second       // how long faults are injected
	soakFaultInterval  = 500 * time.Millisecond // mean time between faults
	soakJobCount       = 100
	soakLongJobCount   = 60
	soakLongRunSeconds = 150.0 // run time of each task of a long job
	// Days whose seed is a multiple of soakLargeFleetEvery have soakLargeFleetSize machines, the others have
	// soakSmallFleetSize.
	soakLargeFleetEvery = 4
	soakLargeFleetSize  = 300
	soakSmallFleetSize  = 24
)

// soakConfig returns a deployment with a long heartbeat interval. As in production, a worker's lease is
// longer than the time for which an owner may answer workers without new information about cancellations.
// Such a lease lasts beyond the time limit for stopping cancelled tasks if the owner renews it too late.
func soakConfig(seed uint64) simConfig {
	cfg := smallProcessConfig()
	cfg.heartbeatS, cfg.leaseS, cfg.cancelS = 3, 20, 34.1
	cfg.teams[0].CPUsMax = 400
	machines := soakSmallFleetSize
	if seed%soakLargeFleetEvery == 0 {
		machines = soakLargeFleetSize
	}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: machines}
	return cfg
}

// TestProcessesUnderRandomFaults runs real controllers on loopback while two or three random faults are
// active at a time. Processes are killed or paused, and owners are killed one after the other. Links are
// cut in one or both directions. The state service is slow, refuses nodes, loses answers and executes
// transactions late. Machines hang, die, or lose their outbound or inbound messages. Heartbeats and
// orders arrive late and repeatedly.
//
// Users submit at several nodes, cancel jobs at once and while they run, and query all nodes. The rules are
// checked from outside, on the answers that users received and the tasks that workers ran.
func TestProcessesUnderRandomFaults(t *testing.T) {
	binary := *soakBinary
	if binary == "" {
		binary = buildCurrentVersion(t)
	}
	for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakDayCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoakDay(t, binary, seed)
			if t.Failed() {
				t.Logf("to repeat: go test ./internal/controller -run TestProcessesUnderRandomFaults -soak.first=%d -soak.days=1 -v", seed)
			}
		})
	}
}

// runSoakDay runs one day of TestProcessesUnderRandomFaults.
func runSoakDay(t *testing.T, binary string, seed uint64) {
	cfg := soakConfig(seed)
	cfg.operatorFile = *soakOperatorConfig
	cluster := startProcessCluster(t, cfg, binary, soakNodeCount)
	cluster.waitFor("the first owner", func(sim *simulation) bool { return sim.store.records[ownerKey] != nil })
	faults := &processFaults{cluster: cluster, rng: rand.New(rand.NewPCG(seed, 11)), logf: t.Logf}
	cluster.live.do(func() {
		sim := cluster.live.sim
		sim.queryAllNodes, sim.lateCopyRate, sim.repeatedOrderRate, sim.lateOrderRate = true, 0.03, 0.03, 0.01
		for i := range soakJobCount {
			sim.schedule(time.Duration(faults.rng.Int64N(int64(soakFaultPeriod))), func() { sim.submitSoakJob(fmt.Sprintf("job-%06d", i)) })
		}
		sim.scheduleLongSoakJobs(seed%soakLargeFleetEvery == 0)
	})
	for deadline := time.Now().Add(soakFaultPeriod); time.Now().Before(deadline); {
		time.Sleep(time.Duration(faults.rng.Int64N(int64(2 * soakFaultInterval))))
		faults.inject()
	}
	faults.endAll()
	cluster.waitForAllJobs("all jobs after the faults")
	cluster.checkAllRunning()
	cluster.checkHistory()
}

// submitSoakJob submits a job of one or two tasks at two nodes. Half of these jobs are cancelled as soon
// as they are accepted.
func (sim *simulation) submitSoakJob(id string) {
	job := sim.submitJob(id, batchSpec([]string{"red", "blue"}[sim.rng.IntN(2)], 1+sim.rng.IntN(2), 1, 1.5), 1.5)
	sim.sendSubmission(job)
	if sim.chance(0.5) {
		sim.cancelOnceAccepted(job)
	}
}

// scheduleLongSoakJobs schedules long jobs. Users cancel some of the jobs one after the other while
// they run, and the remaining jobs when the faults are over. Without a cancellation, their tasks
// would run longer than the time limit for stopping cancelled tasks.
func (sim *simulation) scheduleLongSoakJobs(largeFleet bool) {
	tasks := 2
	if largeFleet {
		tasks = 30
	}
	for i := range soakLongJobCount {
		sim.schedule(sim.randomDuration(0, soakFaultPeriod.Seconds()/2), func() {
			sim.submitJob(fmt.Sprintf("job-2%05d", i), batchSpec("blue", tasks, 2, soakLongRunSeconds), soakLongRunSeconds)
		})
	}
	end := sim.now + soakFaultPeriod
	var cancelNext func()
	cancelNext = func() {
		if sim.now < end {
			for _, job := range sim.longRunningJobs(1) {
				sim.cancel(job)
			}
			sim.schedule(sim.randomDuration(0.5, 2), cancelNext)
			return
		}
		for _, id := range sortedKeys(sim.jobs) {
			if job := sim.jobs[id]; job.runSeconds == soakLongRunSeconds && !job.cancelRequested {
				sim.cancel(job)
			}
		}
	}
	sim.schedule(sim.randomDuration(3, 5), cancelNext)
}

// checkHistory checks the answers that users received, and that the tasks of cancelled jobs ended in time.
func (c *processCluster) checkHistory() {
	c.t.Helper()
	c.live.do(func() {
		sim := c.live.sim
		recording := history.Recording{CompletedAt: map[string]time.Duration{}, CancelWithin: time.Duration(sim.cfg.cancelS * float64(time.Second))}
		for _, machine := range sim.machines {
			machine.checkLease()
			for _, task := range machine.tasks {
				if machine.hung {
					machine.endRun(task)
				}
			}
		}
		for _, run := range sim.taskRuns {
			ended := *run
			if ended.Ended == 0 {
				ended.Ended = sim.now
			}
			recording.Runs = append(recording.Runs, ended)
		}
		for _, exchange := range c.live.exchanges {
			recording.Exchanges = append(recording.Exchanges, *exchange)
		}
		for id, job := range c.live.sim.jobs {
			if job.doneCount == job.taskCount {
				recording.CompletedAt[id] = job.completedAt
			}
		}
		for _, violation := range history.Check(recording) {
			c.t.Errorf("rule broken: %v", violation)
		}
		cancelledCount, changes := 0, 0
		for _, job := range sim.jobs {
			if job.reportedState == wire.StatusCancelled {
				cancelledCount++
			}
		}
		for _, event := range sim.store.history {
			if event.key == ownerKey && event.event.Put != "" {
				changes++
			}
		}
		c.t.Logf("%d requests of users, %d starts, %d jobs cancelled, %d changes of owner, %d machines", len(recording.Exchanges), sim.taskStarts, cancelledCount, changes, len(sim.machines))
	})
}

// recordRequest records a user's request just before it is sent. It returns nil for inputs that are
// not users' requests. If requests were recorded only when answered, a cancellation in flight at
// the end of a day would be missing, although another node may already report its job as cancelled.
func (live *liveSimulation) recordRequest(node string, in Input) *history.Exchange {
	exchange := &history.Exchange{Node: node, SentAt: time.Since(live.start)}
	switch x := in.(type) {
	case Submit:
		submission, err := wire.ParseSubmission(x.Body)
		if err != nil {
			return nil
		}
		exchange.Kind, exchange.Job = history.Submission, submission.ID
	case Query:
		exchange.Kind, exchange.Job = history.Query, x.ID
	case Cancel:
		exchange.Kind, exchange.Job = history.Cancellation, x.ID
	default:
		return nil
	}
	live.do(func() { live.exchanges = append(live.exchanges, exchange) })
	return exchange
}

// recordAnswer records the answer to a user's request.
func (live *liveSimulation) recordAnswer(exchange *history.Exchange, status int, body []byte) {
	if exchange == nil {
		return
	}
	answeredAt := time.Since(live.start)
	var state wire.JobStatus
	var err error
	if status == 200 || status == 201 {
		err = wire.Decode(body, &state)
	}
	live.do(func() {
		if err != nil {
			live.sim.reportViolation("answer", "%s: %v", exchange.Job, err)
			return
		}
		exchange.AnsweredAt, exchange.Status, exchange.State = answeredAt, status, state.Status
	})
}

// processFaults injects random faults and ends them after random times.
type processFaults struct {
	cluster *processCluster
	rng     *rand.Rand
	logf    func(string, ...any)
	active  []*activeFault
}

// activeFault is a fault that is to be ended at a given time.
type activeFault struct {
	endsAt time.Time
	end    func()
}

// scheduleEnd schedules the end of a fault after a random time between shortest and longest.
func (f *processFaults) scheduleEnd(name string, shortest, longest time.Duration, end func()) {
	duration := shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
	f.logf("%s for %.1f s", name, duration.Seconds())
	f.active = append(f.active, &activeFault{endsAt: time.Now().Add(duration), end: end})
}

// endExpired ends the faults whose time is over, or all faults.
func (f *processFaults) endExpired(all bool) {
	remainingFaults := f.active[:0]
	for _, fault := range f.active {
		if all || !time.Now().Before(fault.endsAt) {
			fault.end()
		} else {
			remainingFaults = append(remainingFaults, fault)
		}
	}
	f.active = remainingFaults
}

// endAll ends all faults. Afterwards processes, links and machines work without faults.
func (f *processFaults) endAll() {
	f.endExpired(true)
	f.cluster.live.do(func() {
		sim := f.cluster.live.sim
		sim.queryAllNodes, sim.lateCopyRate, sim.repeatedOrderRate, sim.lateOrderRate, sim.maxDelayS = false, 0, 0, 0, 0
		sim.faultsEndedAt = sim.now
	})
}

// inject ends the faults whose time is over and starts one random fault.
func (f *processFaults) inject() {
	f.endExpired(false)
	process := f.cluster.processes[f.rng.IntN(len(f.cluster.processes))]
	switch f.rng.IntN(28) {
	case 0:
		f.killAndRestart(process, 4*time.Second)
	case 1:
		f.killAll()
	case 2, 3:
		f.pause(process)
	case 4:
		f.cutState(process)
	case 5:
		f.cutPeer(process)
	case 6:
		f.cutWorkers(process)
	case 7:
		f.refuseNode(process)
	case 8:
		f.failStateService()
	case 9, 10:
		f.degradeStateService()
	case 11, 12:
		f.disturbOneMachine()
	case 13, 14, 15, 16, 17, 18:
		f.killOwner()
	default:
		f.disturbThirdOfMachines()
	}
}

// ownerKey is the key of the state service that records the owner of the machine class.
const ownerKey = "u/own/small"

// killOwner kills the current owner of the machine class and restarts it within a second, so that ownership
// changes often.
func (f *processFaults) killOwner() {
	var owner processIdentity
	f.cluster.live.do(func() { owner, _ = readProcessIdentity(f.cluster.live.sim, ownerKey) })
	for _, p := range f.cluster.processes {
		if p.label == owner.Node {
			f.killAndRestart(p, time.Second)
		}
	}
}

// disturbThirdOfMachines makes about a third of the machines hang, lose their outbound messages, or lose
// their inbound messages, all for the same time, which is shorter than the lease.
func (f *processFaults) disturbThirdOfMachines() {
	sim, kind, seconds := f.cluster.live.sim, f.rng.IntN(3), 3+14*f.rng.Float64()
	f.logf("a third of the machines for %.1f s: %s", seconds, []string{"hang", "outbound messages lost", "inbound messages lost"}[kind])
	duration := time.Duration(seconds * float64(time.Second))
	f.cluster.live.do(func() {
		for _, machine := range sim.createdMachines {
			if !machine.up || machine.gone || !sim.chance(1.0/3) {
				continue
			}
			switch kind {
			case 0:
				machine.hang(duration)
			case 1:
				sim.dropHeartbeatsFor(duration)(machine)
			case 2:
				f.blockInboundFor(machine, duration)
			}
		}
	})
}

// blockInboundFor blocks the answers to a machine's heartbeats, and direct orders to it, for a time.
func (f *processFaults) blockInboundFor(machine *simMachine, duration time.Duration) {
	sim := f.cluster.live.sim
	setBlocked := func(blocked bool) {
		sim.setInboundCut(machine.id, blocked)
		sim.setOneWayCut("orders", machine.id, blocked)
	}
	setBlocked(true)
	sim.schedule(duration, func() { setBlocked(false) })
}

// killAndRestart kills a process and schedules its restart after a random time of at most longest.
func (f *processFaults) killAndRestart(process *controllerProcess, longest time.Duration) {
	if process.command == nil {
		return
	}
	binary := process.binary
	f.cluster.kill(process)
	f.scheduleEnd(process.label+" is down", 100*time.Millisecond, longest, func() { f.cluster.start(process, binary) })
}

// killAll kills all processes. Each restarts after a random time of its own.
func (f *processFaults) killAll() {
	for _, p := range f.cluster.processes {
		f.killAndRestart(p, 4*time.Second)
	}
}

// pause suspends a process for a random time, during which its clocks advance.
func (f *processFaults) pause(process *controllerProcess) {
	if process.command == nil {
		return
	}
	stopped := process.command.Process
	if err := stopped.Signal(syscall.SIGSTOP); err != nil {
		f.cluster.t.Errorf("pause %s: %v", process.label, err)
		return
	}
	// The error is ignored, since the process may have been killed meanwhile.
	f.scheduleEnd(process.label+" is paused", 200*time.Millisecond, 8*time.Second, func() { _ = stopped.Signal(syscall.SIGCONT) })
}

// cutLink cuts a link at random in one direction or both. Messages in a cut direction are held back.
func (f *processFaults) cutLink(name, from, to string, shortest, longest time.Duration) {
	sim := f.cluster.live.sim
	forward, backward := true, true
	switch f.rng.IntN(3) {
	case 0:
		forward = false
	case 1:
		backward = false
	}
	setCut := func(cut bool) {
		f.cluster.live.do(func() {
			if forward {
				sim.setOneWayCut(from, to, cut)
			}
			if backward {
				sim.setOneWayCut(to, from, cut)
			}
		})
	}
	setCut(true)
	f.scheduleEnd(fmt.Sprintf("link between %s is cut (forward %t, backward %t)", name, forward, backward), shortest, longest, func() { setCut(false) })
}

func (f *processFaults) cutState(p *controllerProcess) {
	f.cutLink(p.label+" and the state service", p.label, "state", 300*time.Millisecond, 8*time.Second)
}

func (f *processFaults) cutPeer(p *controllerProcess) {
	other := f.cluster.processes[f.rng.IntN(len(f.cluster.processes))]
	if other != p {
		f.cutLink(p.label+" and "+other.label, p.label, other.label, 300*time.Millisecond, 8*time.Second)
	}
}

// cutWorkers cuts the links between a controller and all machines that exist now.
func (f *processFaults) cutWorkers(process *controllerProcess) {
	sim := f.cluster.live.sim
	var ids []string
	setCut := func(cut bool) {
		for _, id := range ids {
			sim.setLinkCut(id, process.label, cut)
		}
	}
	f.cluster.live.do(func() {
		ids = sortedKeys(sim.machines)
		setCut(true)
	})
	f.scheduleEnd(process.label+" is cut off from its workers", 300*time.Millisecond, 9*time.Second, func() { f.cluster.live.do(func() { setCut(false) }) })
}

// refuseNode makes the state service refuse the requests of one controller.
func (f *processFaults) refuseNode(process *controllerProcess) {
	sim, node := f.cluster.live.sim, slices.Index(f.cluster.processes, process)
	f.cluster.live.do(func() { sim.store.refusedNodes[node] = true })
	f.scheduleEnd("the state service refuses "+process.label, 300*time.Millisecond, 8*time.Second, func() {
		f.cluster.live.do(func() {
			sim.store.refusedNodes[node] = false
			sim.store.notifyWatches()
		})
	})
}

// failStateService makes the state service unavailable to all controllers.
func (f *processFaults) failStateService() {
	sim := f.cluster.live.sim
	f.cluster.live.do(func() { sim.store.setOutage(true) })
	f.scheduleEnd("the state service is unavailable", 300*time.Millisecond, 9*time.Second, func() { f.cluster.live.do(func() { sim.store.setOutage(false) }) })
}

// degradeStateService makes the state service answer late or not at all and execute transactions late. It
// also delays messages on all links.
func (f *processFaults) degradeStateService() {
	sim := f.cluster.live.sim
	delayedReplyRate, delayedTxnRate, lostReplyRate, maxDelayS := 0.5*f.rng.Float64(), 0.2*f.rng.Float64(), 0.2*f.rng.Float64(), 0.2*f.rng.Float64()
	f.cluster.live.do(func() {
		sim.store.delayedReplyRate, sim.store.delayedTxnRate, sim.store.lostReplyRate, sim.maxDelayS = delayedReplyRate, delayedTxnRate, lostReplyRate, maxDelayS
	})
	f.scheduleEnd("the state service answers late or not at all", 2*time.Second, 8*time.Second, func() {
		f.cluster.live.do(func() {
			sim.store.delayedReplyRate, sim.store.delayedTxnRate, sim.store.lostReplyRate, sim.maxDelayS = 0, 0, 0, 0
		})
	})
}

// disturbOneMachine makes one random machine die, hang, lose its inbound messages, or restart.
func (f *processFaults) disturbOneMachine() {
	sim, kind := f.cluster.live.sim, f.rng.IntN(4)
	seconds := 1 + 8*f.rng.Float64()
	f.cluster.live.do(func() {
		machine := sim.randomLiveMachine()
		if machine == nil {
			return
		}
		duration := time.Duration(seconds * float64(time.Second))
		switch kind {
		case 0:
			machine.terminate()
		case 1:
			machine.hang(duration)
		case 2:
			f.blockInboundFor(machine, duration)
		case 3:
			machine.restart()
		}
	})
}
