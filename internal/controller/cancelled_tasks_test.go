package controller

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/authority"
	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// Seeds of TestCancelledTasksEndWhileLeadersChange. More seeds find rarer faults.
var (
	leaderChangeFirstSeed = flag.Uint64("series.first", 1, "first seed of the simulations with frequent leader changes")
	leaderChangeSeedCount = flag.Uint64("series.days", 6, "number of simulations with frequent leader changes")
)

// leaderChangeDuration is how long faults are injected after the warm-up.
const leaderChangeDuration = 200 * time.Second

// leaderChangeTimings are the heartbeat intervals, leases and cancellation times of deployments, in
// seconds. In the first two, heartbeats are rare: if the answers to two successive heartbeats contain
// no stop command, a significant part of the time allowed for a cancellation has passed. In the last,
// heartbeats are frequent.
var leaderChangeTimings = []struct{ heartbeatS, leaseS, cancelS float64 }{{6, 31, 51}, {4, 22, 42}, {1.5, 14, 34}}

// singleTypeConfig returns the configuration of a deployment with 24 on-demand machines of one type in one zone.
func singleTypeConfig() simConfig {
	cfg := standardConfig()
	cfg.teams = []config.Team{{Name: "red", CPUs: 64, CPUsMax: 400}, {Name: "blue"}}
	cfg.machineTypes = cfg.machineTypes[:1]
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: 24}
	cfg.heartbeatS, cfg.leaseS, cfg.cancelS = leaderChangeTimings[0].heartbeatS, leaderChangeTimings[0].leaseS, leaderChangeTimings[0].cancelS
	return cfg
}

// simulateLeaderChanges runs a simulation in which the owner crashes every 2 to 15 s. Meanwhile
// machines hang or lose their inbound or outbound messages, orders arrive late, and users cancel long
// jobs. With even seeds, controllers are also paused, isolated and refused by the state service, the
// state service loses replies and fails at times, and the controllers repeatedly reread all records,
// in many pages.
func simulateLeaderChanges(seed uint64, injectFault func(*Core)) *simulation {
	cfg := singleTypeConfig()
	timing := leaderChangeTimings[seed/2%uint64(len(leaderChangeTimings))]
	cfg.heartbeatS, cfg.leaseS, cfg.cancelS = timing.heartbeatS, timing.leaseS, timing.cancelS
	sim := newSimulation(seed, cfg)
	sim.injectFault = injectFault
	for i := range 60 {
		job := batchSpec([]string{"red", "blue"}[i%2], 2+sim.rng.IntN(6), 2, 150)
		sim.schedule(sim.randomDuration(0, 150), func() { sim.submitJob(fmt.Sprintf("job-%06d", i), job, 150) })
	}
	sim.run(warmup)
	sim.lateOrderRate, sim.lossRate, sim.maxDelayS = 0.1, 0.02, 0.3
	sim.injectRepeatedly(2, 15, func() { sim.crashOwner(sim.randomDuration(0.2, 4)) })
	sim.injectRepeatedly(3, 9, func() { sim.cancelJobs(sim.nodes[sim.rng.IntN(len(sim.nodes))], sim.longRunningJobs(1)) })
	sim.injectRepeatedly(0.5, 2, func() { sim.disturbRandomMachine(sim.randomDuration(2, cfg.leaseS-2)) })
	if seed%2 == 0 {
		sim.store.delayedTxnRate, sim.store.lostReplyRate, sim.store.maxDelayS, sim.store.maxPageRows = 0.05, 0.05, 0.2, 10
		sim.injectRepeatedly(5, 20, sim.store.dropHistory)
		sim.injectRepeatedly(10, 40, func() { sim.nodes[sim.rng.IntN(len(sim.nodes))].pause(sim.randomDuration(0.5, 25)) })
		sim.injectRepeatedly(10, 40, func() { sim.isolateFor(sim.owner(), sim.randomDuration(2, 25)) })
		sim.injectRepeatedly(20, 60, func() { sim.refuseRequestsOf(sim.owner(), sim.randomDuration(2, 15)) })
		sim.injectRepeatedly(30, 90, func() { sim.failStoreFor(sim.randomDuration(2, cfg.cancelS)) })
	}
	sim.run(warmup + leaderChangeDuration)
	sim.lateOrderRate, sim.lossRate, sim.maxDelayS = 0, 0, 0
	sim.store.delayedTxnRate, sim.store.lostReplyRate, sim.store.maxDelayS = 0, 0, 0
	sim.faultsEndedAt = sim.now + time.Duration(2*cfg.leaseS)*time.Second
	sim.run(sim.now + 300*time.Second)
	return sim
}

// injectRepeatedly injects a fault until leaderChangeDuration is over, with a random delay of minSeconds
// to maxSeconds before each injection.
func (sim *simulation) injectRepeatedly(minSeconds, maxSeconds float64, inject func()) {
	var next func()
	next = func() {
		if sim.now < warmup+leaderChangeDuration {
			inject()
			sim.schedule(sim.randomDuration(minSeconds, maxSeconds), next)
		}
	}
	sim.schedule(sim.randomDuration(minSeconds, maxSeconds), next)
}

// disturbRandomMachine makes a random machine hang, or loses its heartbeats, or delays all messages to
// it, for a duration.
func (sim *simulation) disturbRandomMachine(d time.Duration) {
	machine := sim.randomLiveMachine()
	if machine == nil {
		return
	}
	switch sim.rng.IntN(3) {
	case 0:
		machine.hang(d)
	case 1:
		sim.dropHeartbeatsFor(d)(machine)
	case 2:
		sim.cutInboundFor(d)(machine)
	}
}

// TestCancelledTasksEndWhileLeadersChange checks that no cancelled task keeps running because
// successive owners renew the lease of its machine without a stop command.
func TestCancelledTasksEndWhileLeadersChange(t *testing.T) {
	for seed := *leaderChangeFirstSeed; seed < *leaderChangeFirstSeed+*leaderChangeSeedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := simulateLeaderChanges(seed, nil)
			sim.mustKeepRules(t)
		})
	}
}

// policyWithoutStops is a faulty renewal policy that renews leases as if no task had to stop.
type policyWithoutStops struct {
	authority.Rules
	acceptEveryAnswer bool // CheckAnswer accepts every answer
}

func (p policyWithoutStops) DecideRenewal(input authority.RenewalInput) authority.Decision {
	input.MustStop = nil
	return p.Rules.DecideRenewal(input)
}

func (p policyWithoutStops) CheckAnswer(input authority.RenewalInput, commands []wire.Command) error {
	if p.acceptEveryAnswer {
		return nil
	}
	return p.Rules.CheckAnswer(input, commands)
}

// TestMissingStopsAreDetected verifies that a renewal policy without stop commands leaves a cancelled
// task running for at least one seed, which violates the rule ran_cancelled. If CheckAnswer works, it
// examines each answer before the answer is sent, and the missing stop command must be reported as a
// violation of the rule renewal.
func TestMissingStopsAreDetected(t *testing.T) {
	for _, tc := range []struct {
		name       string
		policy     authority.RenewalPolicy
		brokenRule string
	}{
		{"unchecked", policyWithoutStops{acceptEveryAnswer: true}, "ran_cancelled"},
		{"checked", policyWithoutStops{}, "renewal"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= unguardedSeedCount; seed++ {
				for _, violation := range simulateLeaderChanges(seed, func(c *Core) { c.renewalRules = tc.policy }).violations {
					if strings.HasPrefix(violation, tc.brokenRule) {
						return
					}
				}
			}
			t.Errorf("no seed broke the rule %s", tc.brokenRule)
		})
	}
}

// TestRenewalsStopCancelledTasks verifies that an answer that renews a machine's lease stops every
// cancelled task that the machine lists, whatever fencing token and sequence number the heartbeat has.
// While an order may still start a cancelled task on a machine, the machine's lease must not be
// renewed if the renewed lease could end later than cancel_s after the first time at which the
// cancellation may have been confirmed to the user.
func TestRenewalsStopCancelledTasks(t *testing.T) {
	t.Run("a report with an earlier token", func(t *testing.T) {
		o := newSteppedOwner(t)
		o.cancelThroughPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.mustStopIfRenewed(o.sendHeartbeat(o.machine.Term-1, o.machine.Seq+1, tasks), tasks)
	})
	t.Run("a report that an order's answer overtook", func(t *testing.T) {
		o := newSteppedOwner(t)
		o.cancelThroughPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.machine.Seq += 10
		o.mustStopIfRenewed(o.sendHeartbeat(o.machine.Term, o.machine.Seq-1, tasks), tasks)
	})
	t.Run("a report with the present token", func(t *testing.T) {
		o := newSteppedOwner(t)
		o.cancelThroughPeers(o.job.ID)
		tasks := o.machine.Tasks
		o.mustStopIfRenewed(o.sendHeartbeat(o.machine.Term, o.machine.Seq+1, tasks), tasks)
	})
	// The orders below start a task of job-000002, which is cancelled in all cases but the last. In the
	// cases named "learned of late", the owner receives the cancellation one second before the age of
	// its information about cancellations would forbid it to answer workers.
	ownerWithUnansweredOrder := func(t *testing.T) *steppedOwner {
		o := newSteppedOwner(t)
		o.sendLaunchOrder(true)
		return o
	}
	t.Run("an unanswered order, learned of late", func(t *testing.T) {
		o := ownerWithUnansweredOrder(t)
		o.advanceWithoutCancellations(o.core.ownership.MaxStaleness - time.Second)
		o.advanceWithCancellations(3*time.Second, "job-000002")
		o.mustNotRenew()
	})
	t.Run("an order under way, learned of late", func(t *testing.T) {
		o := newSteppedOwner(t)
		o.advanceWithoutCancellations(o.core.ownership.MaxStaleness - time.Second)
		o.sendLaunchOrder(false)
		o.advanceWithCancellations(1500*time.Millisecond, "job-000002")
		o.mustNotRenew()
	})
	t.Run("an unanswered order, the job's record is read anew", func(t *testing.T) {
		owner := ownerWithUnansweredOrder(t)
		key := statestore.Root + "o/job-000002"
		entry, _ := owner.core.store.Mirror.Get(key)
		owner.core.jobs.Apply(statestore.Change{Key: key, Entry: entry, Removed: true})
		owner.core.jobs.Apply(statestore.Change{Key: key, Entry: entry})
		owner.advanceWithCancellations(owner.core.ownership.MaxStaleness+2*time.Second, "job-000002")
		owner.mustNotRenew()
	})
	t.Run("an unanswered order of a job that goes on", func(t *testing.T) {
		o := ownerWithUnansweredOrder(t)
		o.advanceWithCancellations(o.core.ownership.MaxStaleness + 2*time.Second)
		if a := o.sendHeartbeat(o.machine.Term, o.machine.Seq+1, o.machine.Tasks); a.Status != 200 {
			t.Errorf("the lease of a machine without cancelled tasks was not renewed: status %d", a.Status)
		}
	})
}

// TestEarlierOwnersOrdersCannotStartCancelledTasks checks that a machine's lease is not renewed
// long after a cancellation was confirmed to its user, while the machine has not yet received this
// owner's fencing token. Until the machine has the token, an order of the previous owner, of which
// this owner has no record, may start a task of the cancelled job there, and the renewed lease
// would outlast the time allowed for the cancellation.
func TestEarlierOwnersOrdersCannotStartCancelledTasks(t *testing.T) {
	owner := newSteppedOwner(t)
	owner.cancelJobOfPreviousOwner()
	machine := owner.machine
	for _, out := range owner.step(HeartbeatRequest{Ref: 1 << 40, Heartbeat: &wire.Heartbeat{Machine: machine.ID, Address: machine.Address, Type: machine.Class, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: machine.Incarnation, Seq: machine.Seq + 1, FencingToken: machine.Term - 1, Tasks: machine.Tasks}}) {
		if a, ok := out.(Answer); ok && a.Status == 200 {
			t.Error("the lease of the machine was renewed although an earlier owner's order may start a cancelled task on it")
		}
	}
}
