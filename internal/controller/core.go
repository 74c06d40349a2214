// Package controller combines the components of a controller. Core is the state machine that owns
// all state; Server runs it in a loop and handles the network.
package controller

import (
	"log/slog"
	"strings"
	"time"

	"umberpaddle/internal/authority"
	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/workers"
)

// Core is the controller's state machine. It reads no clock, does no I/O and takes no locks.
type Core struct {
	settings *config.Settings
	operator *config.OperatorSettings
	now      Now
	outputs  []Output // outputs of the current step
	teams    map[string]*config.Team

	store     *statestore.Store
	ownership *ownership.Node
	jobs      *jobs.Registry
	pool      *workers.Pool
	fleet     *fleet.Manager

	activeTerms    map[string]uint64               // owned class -> term under which this node acts
	loads          map[string]*machineLoad         // machine -> tasks assigned to it
	usageByTeam    map[string]map[string]teamUsage // team -> class -> resources of its assigned tasks
	machineRecords map[string]machineRecord
	machineTable   *statestore.RecordTable // stores machineRecords
	attemptCounter uint64                  // lower part of the last attempt number
	// lastHeartbeat is when a worker's heartbeat was last accepted. heartbeatsResumedAt is when the
	// first heartbeat after the last long gap was accepted. lastMachineJoined is when a machine
	// that is recorded as up last sent its first heartbeat under the current term. An answer to a
	// probe counts as a heartbeat in all three.
	lastHeartbeat, heartbeatsResumedAt, lastMachineJoined time.Duration
	// lastArrival is when a heartbeat for an owned class last arrived, whether or not it was
	// answered. lastForeignArrival is when a heartbeat for a class that this node doesn't own last
	// arrived. handedOverAt is when this node last handed its classes over. foreignArrivals maps
	// each peer to the time at which it last confirmed that it receives heartbeats for classes that
	// it doesn't own.
	lastArrival, lastForeignArrival, handedOverAt time.Duration
	foreignArrivals                               map[string]time.Duration
	nextArrivalQuery                              time.Duration

	jobsChanged bool // the jobs' Active and Frozen must be recomputed
	// listedAttempts and listedAttemptNumbers are scratch maps for the attempts in a task list. reconcile
	// reuses them for each list.
	listedAttempts       map[attemptKey]bool
	listedAttemptNumbers map[uint64]bool
	// lastRound holds the tasks that the last scheduling round left waiting. allocateOnMachine uses
	// it to fill the capacity that a single heartbeat frees. It is nil when it may be out of date.
	lastRound *schedulingRound
	nextRound time.Duration
	// preemptions holds the preemption in progress on each machine, by machine.
	preemptions    map[string]*preemption
	nextPreemption time.Duration
	// directCalls are the calls to workers in flight, by ID.
	directCalls      map[uint64]*directCall
	lastDirectCallID uint64
	probesInFlight   int // direct calls in flight that launch nothing, fences excluded
	// fencesInFlight counts the direct calls in flight that only show a worker this owner's fencing
	// token. fenceRepeats counts the repeats among these calls.
	fencesInFlight, fenceRepeats int
	plannedMachines              []string // machines with planned launches that are not sent yet
	// jobOrder caches the scheduling order of the jobs.
	jobOrder          []*jobs.Job
	jobOrderAt        time.Duration // when jobOrder was computed
	jobOrderStale     bool
	schedulingDue     bool // a scheduling round is due: something that it depends on has changed
	nextMachineCheck  time.Duration
	nextCountsMessage time.Duration
	nextFleetPlan     time.Duration
	nextStoreProbe    time.Duration
	// peerReachedStoreAt is when a peer last confirmed that it reaches the state service while this
	// node did not.
	peerReachedStoreAt time.Duration
	nextUsageLog       time.Duration
	storeReplyTimes    replyTimes
	renewalRules       authority.RenewalPolicy
	renewalCounts      renewalCounts
	// heldHeartbeats maps each machine to its heartbeat whose answer waits until the worker has
	// seen this owner's fencing token. fenceQueue lists the machines that wait for their first
	// fence.
	heldHeartbeats   map[string]*heldHeartbeat
	fenceQueue       []string
	nextKnowledgeLog time.Duration
	loggedFullReads  int               // full reads of the records that were logged
	linkMonitor      *linkMonitor      // nil if link monitoring is switched off
	sentCounts       map[string][2]int // job -> tasks done and running, as last sent to peers
	// cancelNotices holds what the peers must be told about cancellations, by peer.
	cancelNotices map[string]*cancelNotices
	// gangOnlyMachines are reserved for gangs. gangDemand is the recent peak of the CPUs requested
	// by gangs that should start soon, as of gangDemandAt; it decays with GangDemandHalfLife.
	gangOnlyMachines  map[string]bool
	gangDemand        float64
	gangDemandAt      time.Duration
	nextGangReserve   time.Duration
	keptIdleClasses   map[string]bool // classes whose idle machines are kept for small tasks, to spare scarce classes
	savedTypes        map[string]bool // machine types that are stored in the state service
	savingTypes       bool            // a write of machine types is in flight
	recordRequested   map[string]bool // machines whose record as up was requested
	nextRecordScan    time.Duration
	fleetChanged      bool // machines were added, removed or recorded since the last scan of the fleet
	nextFleetScan     time.Duration
	unresolvedClasses map[string]bool // classes taken over whose machines are not all resolved yet
}

// NewCore returns the state machine of one controller. incarnation is a random number that
// identifies this incarnation of the process.
func NewCore(settings *config.Settings, operator *config.OperatorSettings, now Now, incarnation uint64) *Core {
	c := &Core{
		settings:             settings,
		operator:             operator,
		now:                  now,
		teams:                map[string]*config.Team{},
		activeTerms:          map[string]uint64{},
		listedAttempts:       map[attemptKey]bool{},
		listedAttemptNumbers: map[uint64]bool{},
		directCalls:          map[uint64]*directCall{},
		preemptions:          map[string]*preemption{},
		loads:                map[string]*machineLoad{},
		usageByTeam:          map[string]map[string]teamUsage{},
		machineRecords:       map[string]machineRecord{},
		foreignArrivals:      map[string]time.Duration{},
		sentCounts:           map[string][2]int{},
		cancelNotices:        map[string]*cancelNotices{},
		gangOnlyMachines:     map[string]bool{},
		keptIdleClasses:      map[string]bool{},
		savedTypes:           map[string]bool{},
		recordRequested:      map[string]bool{},
		unresolvedClasses:    map[string]bool{},
		heldHeartbeats:       map[string]*heldHeartbeat{},
		renewalRules:         authority.Rules{},
	}
	for i := range settings.Cluster.Teams {
		c.teams[settings.Cluster.Teams[i].Name] = &settings.Cluster.Teams[i]
	}
	cluster := &settings.Cluster
	// These sizes are valid before and after an announced change of the state service's limits.
	txnOps, valueKB := cluster.StateSizeLimits()
	c.store = statestore.New(cluster.State.RPS, cluster.State.WriteRPS, txnOps, valueKB)
	if next := cluster.State.Next; next != nil {
		c.store.AnnounceWriteRate(next.WriteRPS)
	}
	var peers []string
	for _, other := range settings.Others {
		peers = append(peers, other.Label)
	}
	maxStaleness := ownership.MaxStaleness(limits.Seconds(cluster.Workers.CancelS), limits.Seconds(cluster.Workers.LeaseS))
	c.ownership = ownership.New(settings.Label, peers, incarnation, now.Steady, maxStaleness, c.store, c.log)
	c.jobs = jobs.New(c.store, c.ownership, c.log)
	c.machineTable = statestore.NewRecordTable(c.store, keyMachines, c.ownership.OwnerGuard, c.applyMachineRecord)
	c.pool = workers.New(cluster.Workers.LeaseS, cluster.Workers.HeartbeatS)
	c.fleet = fleet.New(cluster.Cloud.RPS, cluster.Cloud.ListLagS, rentalPrefix(settings.Label, incarnation), c.log)
	c.linkMonitor = newLinkMonitor(settings.Label, incarnation, operator.Reachability, now.Steady)
	c.fleet.OnDeleted = c.handleMachineDeleted
	c.fleet.HeartbeatTimeout = c.pool.MaxSilence()
	c.fleet.TakeoverTimeout = c.pool.HeartbeatInterval*5/4 + limits.TakeoverSlack
	return c
}

func (c *Core) log(level slog.Level, msg string, args ...any) {
	c.outputs = append(c.outputs, Log{level, msg, args})
}

// Step processes one input and returns the resulting outputs.
func (c *Core) Step(now Now, input Input) []Output {
	if now.Steady-c.now.Steady > limits.PauseThreshold {
		c.resumeAfterPause(now.Steady)
	}
	if now.Steady > c.now.Steady {
		c.now.Steady = now.Steady
	}
	c.now.Unix = now.Unix
	steady := c.now.Steady
	c.jobs.SetCancellationsKnownThrough(c.ownership.CancellationsKnownThrough())
	c.ownership.Advance(steady)
	c.store.Advance(steady)
	c.jobs.Advance(steady)
	c.linkMonitor.recordInput(input, steady)
	switch event := input.(type) {
	case Submit:
		c.submit(event)
	case Query:
		c.query(event)
	case Cancel:
		c.cancel(event)
	case Ready:
		c.answerReady(event)
	case LinksQuery:
		c.answerLinksQuery(event)
	case HeartbeatRequest:
		// Hundreds of heartbeats arrive each second. Only the answer is sent at once; the work that
		// follows from a heartbeat waits for the next tick.
		c.handleHeartbeat(event)
		return c.takeOutputs()
	case StoreReply:
		c.recordStoreLatency(event)
		c.store.HandleReply(steady, event.ID, event.Status, event.Body)
	case DirectReply:
		c.handleDirectReply(event)
		return c.takeOutputs()
	case CloudReply:
		c.fleet.HandleReply(steady, event.ID, event.Status, event.Body)
		c.fleetChanged = true
	case PeerReply:
		c.handlePeerReply(event)
	case PeerRequest:
		c.handlePeerRequest(event)
	}
	c.advance()
	return c.takeOutputs()
}

// resumeAfterPause restarts the timers for silence and planning when the process resumes at now after a
// pause. Messages that arrived during the pause are still unread, so the silence of workers and peers
// does not show that they failed. Without this function, a resumed node would at once return machines to
// the cloud and hand over its classes.
func (c *Core) resumeAfterPause(now time.Duration) {
	c.log(slog.LevelInfo, "stood still", "for", now-c.now.Steady)
	c.linkMonitor.recordPause(now - c.now.Steady)
	c.lastArrival, c.lastHeartbeat = now, now
	c.heartbeatsResumedAt, c.lastMachineJoined = now, now
	c.nextMachineCheck, c.nextFleetPlan = now+limits.MachineCheckInterval, now+limits.FleetPlanInterval
}

// takeOutputs returns the outputs collected since its last call.
func (c *Core) takeOutputs() []Output {
	out := c.outputs
	c.outputs = nil
	c.linkMonitor.recordOutputs(out, c.now.Steady)
	return out
}

// answerLinksQuery answers an operator's query for the state of the links.
func (c *Core) answerLinksQuery(query LinksQuery) {
	if reply, enabled := c.linkMonitor.linksReply(c.now.Steady); enabled {
		c.outputs = append(c.outputs, Answer{Ref: query.Ref, Status: 200, Body: reply})
		return
	}
	c.outputs = append(c.outputs, Answer{Ref: query.Ref, Status: 404})
}

func (c *Core) answer(ref uint64, answer jobs.Answer) {
	c.outputs = append(c.outputs, Answer{Ref: ref, Status: answer.Status, Body: answer.Body, RetryAfter: answer.RetryAfter})
}

// advance runs the due work of every component, in the order of their dependencies.
func (c *Core) advance() {
	now := c.now.Steady
	c.applyMirrorChanges()
	c.divideBudget()
	c.ownership.Tick(now, c.fleet.Classes(), c.demand)
	if c.workersUnreachable() {
		c.ownership.HandOver(c.reachableSuccessor())
		c.handedOverAt = now
	}
	c.applyClaims()
	c.updateHeldHeartbeats()
	c.retireUnusableMachines()
	c.updateActiveJobs()
	c.updateLaunchHolds()
	c.updateGangs()
	mayLaunch := c.ownership.MayLaunch()
	if mayLaunch && len(c.activeTerms) > 0 {
		c.writeMachineRecords()
		c.allocate()
		if now >= c.nextFleetPlan {
			c.nextFleetPlan = now + limits.FleetPlanInterval
			c.planFleet()
		}
	}
	c.jobs.Tick(now, c.now.Unix, mayLaunch && len(c.activeTerms) > 0, func(j *jobs.Job) bool { return !j.Frozen })
	c.messagePeers()
	c.sendCancelNotices()
	c.logKnowledge()
	for _, call := range c.store.Tick(now) {
		c.outputs = append(c.outputs, StoreCall{call})
	}
	for _, call := range c.fleet.Tick(now, mayLaunch && len(c.activeTerms) > 0, len(c.ownership.Owners())) {
		c.outputs = append(c.outputs, CloudCall{call})
	}
}

// applyMirrorChanges passes the changes that the mirror received to the components.
func (c *Core) applyMirrorChanges() {
	for _, change := range c.store.Mirror.TakeChanges() {
		c.ownership.Apply(change)
		c.jobs.Apply(change)
		c.machineTable.Apply(change)
		c.applyMachineType(change)
		c.schedulingDue = true
		if !strings.HasPrefix(change.Key, keyMachines) && !c.jobs.IsDoneSetKey(change.Key) {
			c.jobsChanged = true
		}
	}
}

// age returns the time since a Unix time. It returns 0 for a time in the future, which is possible
// because the clocks of controllers differ.
func (c *Core) age(unix float64) time.Duration {
	return limits.Seconds(max(0, c.now.Unix-unix))
}
