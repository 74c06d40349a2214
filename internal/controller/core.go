// Package controller joins the slices: Core is the state machine that owns all
// state, and Server is the loop and the sockets around it.
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

// Core is the state machine. It has no clock, no I/O and no locks.
type Core struct {
	settings *config.Settings
	operator *config.Operator
	now      Now
	out      []Output
	teams    map[string]*config.Team

	store     *statestore.Store
	ownership *ownership.Node
	jobs      *jobs.Registry
	pool      *workers.Pool
	fleet     *fleet.Manager

	active         map[string]uint64           // class -> term that we act on
	loads          map[string]*machineLoad     // machine -> what is placed on it
	booked         map[string]map[string]usage // team -> class -> what is placed
	machineRecords map[string]machineRecord
	machineTable   *statestore.RecordTable // where machineRecords are stored
	attemptCounter uint64                  // attempts given out
	// lastReport is when a worker's report last counted, reportsResumedAt when one last came
	// after a time without any, and lastNewMachine when a machine last found this owner.
	lastReport, reportsResumedAt, lastNewMachine time.Duration
	// lastArrival is when a report for our classes last arrived, answered or not,
	// lastForeignArrival when one for classes of others did, and handedOverAt when this node
	// last handed its classes over. foreignArrivals is when each peer last said that reports
	// for classes of others arrive there.
	lastArrival, lastForeignArrival, handedOverAt time.Duration
	foreignArrivals                               map[string]time.Duration
	nextArrivalQuery                              time.Duration

	jobsChanged bool // what decides on Active and Frozen may have changed
	// reported and reportedAttempts are room for reconcile's look at one report.
	reported         map[attempt]bool
	reportedAttempts map[uint64]bool
	// round is what the last look at all machines left waiting, for the room that
	// a single report frees; nil when it may be wrong.
	round     *schedulingRound
	nextRound time.Duration
	// preemptions are machines on which tasks end to make room for others.
	preemptions    map[string]*preemption
	nextPreemption time.Duration
	// directCalls are those under way; touched are machines with new plans.
	directCalls    map[uint64]*directCall
	lastDirectCall uint64
	probesInFlight int // of orders, those that launch nothing
	// fencesInFlight are those that only show a worker our token, fenceRepeats the repeats among them.
	fencesInFlight, fenceRepeats int
	plannedMachines              []string
	// The order of jobs, kept for a moment.
	sorted            []*jobs.Job
	sortedAt          time.Duration
	sortStale         bool
	dirty             bool // the allocation has something new to decide on
	nextMachineCheck  time.Duration
	nextCountsMessage time.Duration
	nextFleetPlan     time.Duration
	nextProbe         time.Duration
	// peerReachedStoreAt is when a peer last reached the state service while we didn't.
	peerReachedStoreAt time.Duration
	nextUsageLog       time.Duration
	storeReplies       replyTimes
	judge              authority.Judge
	renewals           renewalCounts
	// heldReports are those whose answer waits until the machine has seen our token, by machine;
	// fenceQueue are machines that are to be sent a first order for it.
	heldReports      map[string]*heldReport
	fenceQueue       []string
	nextKnowledgeLog time.Duration
	loggedReadings   int          // how many readings of the records were logged
	links            *linkMonitor // nil: not switched on
	toldCounts       map[string][2]int
	// cancelNotices are cancellations of which the owners of classes were not told yet.
	cancelNotices map[string]map[string]bool
	nextNotice    time.Duration
	// reserved are machines that take only gangs, and gangPeak how many CPUs those that
	// should start soon have lately asked for.
	reserved        map[string]bool
	gangDemand      float64
	gangDemandAt    time.Duration
	nextReserve     time.Duration
	keepIdle        map[string]bool // classes whose machines keep small tasks off scarce ones
	typesSaved      map[string]bool
	savingTypes     bool
	recordRequested map[string]bool // machines whose record as up was requested
	nextRecordScan  time.Duration
	fleetChanged    bool // machines came, went, or were recorded since the last scan of the fleet
	nextFleetScan   time.Duration
	resolving       map[string]bool // classes taken over with machines still unresolved
}

// NewCore makes the state machine. random names this life of the process.
func NewCore(set *config.Settings, ops *config.Operator, now Now, random uint64) *Core {
	c := &Core{
		settings:         set,
		operator:         ops,
		now:              now,
		teams:            map[string]*config.Team{},
		active:           map[string]uint64{},
		reported:         map[attempt]bool{},
		reportedAttempts: map[uint64]bool{},
		directCalls:      map[uint64]*directCall{},
		preemptions:      map[string]*preemption{},
		loads:            map[string]*machineLoad{},
		booked:           map[string]map[string]usage{},
		machineRecords:   map[string]machineRecord{},
		foreignArrivals:  map[string]time.Duration{},
		toldCounts:       map[string][2]int{},
		cancelNotices:    map[string]map[string]bool{},
		reserved:         map[string]bool{},
		keepIdle:         map[string]bool{},
		typesSaved:       map[string]bool{},
		recordRequested:  map[string]bool{},
		resolving:        map[string]bool{},
		heldReports:      map[string]*heldReport{},
		judge:            authority.Rules{},
	}
	for i := range set.Cluster.Teams {
		c.teams[set.Cluster.Teams[i].Name] = &set.Cluster.Teams[i]
	}
	cl := &set.Cluster
	// Sizes that hold before and after an announced change of the state service's limits.
	changes, valueKB := cl.StateSizes()
	c.store = statestore.New(cl.State.RPS, cl.State.WriteRPS, changes, valueKB)
	if n := cl.State.Next; n != nil {
		c.store.AnnounceWriteRate(n.WriteRPS)
	}
	var others []string
	for _, p := range set.Others {
		others = append(others, p.Label)
	}
	staleness := ownership.MaxStaleness(limits.Seconds(cl.Workers.CancelS), limits.Seconds(cl.Workers.LeaseS))
	c.ownership = ownership.New(set.Label, others, random, now.Steady, staleness, c.store, c.log)
	c.jobs = jobs.New(c.store, c.ownership.Guard, c.ownership.Format, c.log)
	c.machineTable = statestore.NewRecordTable(c.store, keyMachines, c.ownership.Guard, c.applyMachineRecord)
	c.pool = workers.New(cl.Workers.LeaseS, cl.Workers.ReportS)
	c.fleet = fleet.New(cl.Cloud.RPS, cl.Cloud.ListLagS, rentalPrefix(set.Label, random), c.log)
	c.links = newLinkMonitor(set.Label, random, ops.Reachability, now.Steady)
	c.fleet.OnGone = c.machineGone
	c.fleet.ReportWithin = c.pool.SilentFor()
	c.fleet.TakeoverRound = c.pool.Report*5/4 + limits.TakeoverSlack
	return c
}

func (c *Core) log(level slog.Level, msg string, args ...any) {
	c.out = append(c.out, Log{level, msg, args})
}

// Step takes one input and returns what to do about it.
func (c *Core) Step(now Now, in Input) []Output {
	if now.Steady-c.now.Steady > limits.PauseThreshold {
		c.resumeAfterPause(now.Steady)
	}
	if now.Steady > c.now.Steady {
		c.now.Steady = now.Steady
	}
	c.now.Unix = now.Unix
	t := c.now.Steady
	c.jobs.NoteCancellationsKnown(c.ownership.CancellationsKnownThrough())
	c.ownership.Advance(t)
	c.store.Advance(t)
	c.links.noteInput(in, t)
	switch x := in.(type) {
	case Submit:
		c.submit(x)
	case Query:
		c.query(x)
	case Cancel:
		c.cancel(x)
	case Ready:
		c.ready(x)
	case LinksQuery:
		c.tellLinks(x)
	case Checkin:
		// Hundreds come each second, and what follows from one can wait for the
		// next tick, but for the answer.
		c.checkin(x)
		return c.flush()
	case StoreReply:
		c.noteSlowReply(x)
		c.store.Reply(t, x.ID, x.Status, x.Body)
	case DirectReply:
		c.directReplied(x)
		return c.flush()
	case CloudReply:
		c.fleet.Reply(t, x.ID, x.Status, x.Body)
		c.fleetChanged = true
	case PeerReply:
		c.peerReplied(x)
	case PeerRequest:
		c.answerPeer(x)
	}
	c.advance()
	return c.flush()
}

// resumeAfterPause takes note that this node stood still until now: what it did not hear
// meanwhile waits to be read, so nobody's silence counts, and it decides on nothing
// before. Guards against machines that a node returned, and classes that it handed
// over, as soon as it went on.
func (c *Core) resumeAfterPause(t time.Duration) {
	c.log(slog.LevelInfo, "stood still", "for", t-c.now.Steady)
	c.links.stoodStill(t - c.now.Steady)
	c.lastArrival, c.lastReport = t, t
	c.reportsResumedAt, c.lastNewMachine = t, t
	c.nextMachineCheck, c.nextFleetPlan = t+limits.MachineCheckInterval, t+limits.PlanInterval
}

func (c *Core) flush() []Output {
	out := c.out
	c.out = nil
	c.links.noteSent(out, c.now.Steady)
	return out
}

// tellLinks answers an operator's question for the links.
func (c *Core) tellLinks(x LinksQuery) {
	if reply, on := c.links.reply(c.now.Steady); on {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: reply})
		return
	}
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 404})
}

func (c *Core) answer(ref uint64, a jobs.Answer) {
	c.out = append(c.out, Answer{Ref: ref, Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter})
}

// advance lets every slice do what is due, in the order in which they depend
// on each other.
func (c *Core) advance() {
	t := c.now.Steady
	c.applyChanges()
	c.divideBudget()
	c.ownership.Tick(t, c.fleet.Classes(), c.demand)
	if c.workersUnreachable() {
		c.ownership.Handover(c.reachableSuccessor())
		c.handedOverAt = t
	}
	c.followClaims()
	c.tendHeldReports()
	c.manageMachines()
	c.updateActiveJobs()
	c.updateGangs()
	may := c.ownership.MayLaunch()
	if may && len(c.active) > 0 {
		c.writeMachineRecords()
		c.allocate()
		if t >= c.nextFleetPlan {
			c.nextFleetPlan = t + limits.PlanInterval
			c.planFleet()
		}
	}
	c.jobs.Tick(t, c.now.Unix, may && len(c.active) > 0, func(j *jobs.Job) bool { return !j.Frozen })
	c.messagePeers()
	c.notifyOwners()
	c.logKnowledge()
	for _, call := range c.store.Tick(t) {
		c.out = append(c.out, StoreCall{call})
	}
	for _, call := range c.fleet.Tick(t, may && len(c.active) > 0, len(c.ownership.Owners())) {
		c.out = append(c.out, CloudCall{call})
	}
}

// applyChanges passes the mirror's changes to the slices.
func (c *Core) applyChanges() {
	for _, ch := range c.store.Mirror.TakeChanges() {
		c.ownership.Apply(ch)
		c.jobs.Apply(ch)
		c.machineTable.Apply(ch)
		c.applyType(ch)
		c.dirty = true
		if !strings.HasPrefix(ch.Key, keyMachines) && !c.jobs.IsDoneSet(ch.Key) {
			c.jobsChanged = true
		}
	}
}

// age converts a time of day to an age; clocks differ, so it is never negative.
func (c *Core) age(unix float64) time.Duration {
	return limits.Seconds(max(0, c.now.Unix-unix))
}
