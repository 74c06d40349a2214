// Package controller joins the slices: Core is the state machine that owns all
// state, and Server is the loop and the sockets around it.
package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// Now is the time that an input brings along.
type Now struct {
	Steady time.Duration // steady clock, from any origin
	Unix   float64       // time of day in seconds
}

// Inputs of the core.
type (
	// Tick lets time pass.
	Tick struct{}
	// Submit is a submission; Query and Cancel are about a job.
	Submit struct {
		Ref  uint64
		Body []byte
	}
	// Query asks for a job's state.
	Query struct {
		Ref uint64
		ID  string
	}
	// Cancel cancels a job.
	Cancel struct {
		Ref uint64
		ID  string
	}
	// Ready asks whether the node takes requests.
	Ready struct{ Ref uint64 }
	// Checkin is a worker's report.
	Checkin struct {
		Ref    uint64
		Report *wire.Report
	}
	// StoreReply, CloudReply and PeerReply are what came of calls.
	StoreReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// CloudReply is what came of a call to the cloud.
	CloudReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// PeerReply is a peer's answer to a PeerCall; the empty one stands for none.
	PeerReply struct {
		Call   PeerCall
		Answer PeerAnswer
	}
	// PeerRequest is a peer's PeerCall as it arrives here.
	PeerRequest struct {
		Ref uint64
		Msg PeerMessage
	}
)

// Outputs of the core.
type (
	// Answer answers the input with the same Ref. It must not leave after Until, if
	// that is set.
	Answer struct {
		Ref        uint64
		Status     int
		Body       any
		RetryAfter int
		Until      time.Duration
	}
	// Log is a line for the operator.
	Log struct {
		Level string
		Msg   string
		Args  []any
	}
	// PeerCall is a message to a peer.
	PeerCall struct {
		Peer string
		Sent time.Duration
		Msg  PeerMessage
	}
)

// PeerMessage is what controllers tell each other: counts for display, cancellations
// that users were told, the wish for a promise not to take over the given terms, or the
// question whether the peer reaches the state service, or whether workers of others
// come to it.
type PeerMessage struct {
	From      string
	Probe     bool
	Visited   bool
	Promise   bool
	Terms     map[string]uint64
	Counts    map[string][2]int
	Cancelled []string
	// Faulty are jobs that fail everywhere. Versions without the field skip it.
	Faulty []string
}

// PeerAnswer answers a PeerMessage. Where a promise was wished for, it also carries the
// cancellations that the peer knows: Vouch tells that these are all that it, or an
// earlier life of it, told users, and all that anybody was told up to Behind before.
type PeerAnswer struct {
	Yes       bool
	Vouch     bool
	Behind    time.Duration
	Cancelled []string
	// Faulty are jobs that earlier owners told this peer of and that the asker did not
	// name. Versions without the field skip it.
	Faulty []string
}

const (
	keyMachines = statestore.Root + "r/"
	keyType     = statestore.Root + "t/"
)

// machineRecord is the durable record of a machine that may get tasks.
type machineRecord struct {
	_msgpack struct{} `msgpack:",as_array"`
	Zone     string
	Spot     bool
	At       int64 // time of day of the rental, s
	// Up: it has reported and may have got tasks. Without it the machine is on
	// its way: a takeover need not wait for it.
	Up bool
	// Address is where its worker answers, for a new owner that it does not find.
	Address string
	Class   string `msgpack:"-"`
}

// Core is the state machine. It has no clock, no I/O and no locks.
type Core struct {
	settings *config.Settings
	operator *config.Operator
	now      Now
	out      []any
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
	machineTable   *statestore.RecordTable // the roster's keys
	attemptCounter uint64                  // attempts given out
	// lastReport is when a worker's report last counted, backAt when one last came
	// after a time without any, and newcomer when a machine last found this owner.
	lastReport, reportsResumedAt, lastNewMachine time.Duration
	// lastKnock is when a report for our classes last arrived, answered or not,
	// lastVisit when one for classes of others did, and desertedAt when this node
	// last handed its classes over. visits is when peers last told of theirs.
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
	directCalls     map[uint64]*directCall
	lastDirectCall  uint64
	probesInFlight  int // of orders, those without commands
	plannedMachines []string
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
	toldCounts         map[string][2]int
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
	recordRequested map[string]bool // machines whose record as up was wished for
	nextRecordScan  time.Duration
	resolving       map[string]bool // classes taken over with machines still unresolved
}

// NewCore makes the state machine. random names this life of the process.
func NewCore(set *config.Settings, ops *config.Operator, now Now, random uint64) *Core {
	c := &Core{settings: set, operator: ops, now: now, teams: map[string]*config.Team{},
		active: map[string]uint64{}, reported: map[attempt]bool{}, reportedAttempts: map[uint64]bool{}, directCalls: map[uint64]*directCall{}, preemptions: map[string]*preemption{}, loads: map[string]*machineLoad{}, booked: map[string]map[string]usage{}, machineRecords: map[string]machineRecord{},
		foreignArrivals: map[string]time.Duration{}, toldCounts: map[string][2]int{}, cancelNotices: map[string]map[string]bool{}, reserved: map[string]bool{}, keepIdle: map[string]bool{}, typesSaved: map[string]bool{}, recordRequested: map[string]bool{}, resolving: map[string]bool{}}
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
	blind := ownership.MaxStaleness(limits.Seconds(cl.Workers.CancelS), limits.Seconds(cl.Workers.LeaseS))
	c.ownership = ownership.New(set.Label, others, random, now.Steady, blind, c.store, c.log)
	c.jobs = jobs.New(c.store, c.ownership.Guard, c.ownership.Format, c.log)
	c.machineTable = statestore.NewRecordTable(c.store, keyMachines, c.ownership.Guard, c.applyMachineRecord)
	c.pool = workers.New(cl.Workers.LeaseS, cl.Workers.ReportS)
	c.fleet = fleet.New(cl.Cloud.RPS, cl.Cloud.ListLagS, rentalPrefix(set.Label, random), c.log)
	c.fleet.OnGone = c.machineGone
	c.fleet.ReportWithin = c.pool.SilentFor()
	c.fleet.TakeoverRound = c.pool.Report*5/4 + limits.TakeoverSlack
	return c
}

func (c *Core) log(level, msg string, args ...any) {
	c.out = append(c.out, Log{level, msg, args})
}

// Step takes one input and returns what to do about it.
func (c *Core) Step(now Now, in any) []any {
	if now.Steady-c.now.Steady > limits.PauseThreshold {
		c.resumeAfterPause(now.Steady)
	}
	if now.Steady > c.now.Steady {
		c.now.Steady = now.Steady
	}
	c.now.Unix = now.Unix
	t := c.now.Steady
	c.ownership.Advance(t)
	c.store.Advance(t)
	switch x := in.(type) {
	case Submit:
		c.submit(x)
	case Query:
		c.query(x)
	case Cancel:
		c.cancel(x)
	case Ready:
		c.ready(x)
	case Checkin:
		// Hundreds come each second, and what follows from one can wait for the
		// next tick, but for the answer.
		c.checkin(x)
		return c.flush()
	case StoreReply:
		c.store.Reply(t, x.ID, x.Status, x.Body)
	case DirectReply:
		c.directReplied(x)
		return c.flush()
	case CloudReply:
		c.fleet.Reply(t, x.ID, x.Status, x.Body)
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
	c.log("info", "stood still", "for", t-c.now.Steady)
	c.lastArrival, c.lastReport = t, t
	c.reportsResumedAt, c.lastNewMachine = t, t
	c.nextMachineCheck, c.nextFleetPlan = t+limits.TickInterval, t+limits.PlanInterval
}

func (c *Core) flush() []any {
	out := c.out
	c.out = nil
	return out
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
	for _, call := range c.store.Tick(t) {
		c.out = append(c.out, call)
	}
	for _, call := range c.fleet.Tick(t, may && len(c.active) > 0, len(c.ownership.Owners())) {
		c.out = append(c.out, call)
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

// divideBudget divides the budget of the state service: an owner writes more than the
// others, who only take in what users ask.
func (c *Core) divideBudget() {
	owners := c.ownership.Owners()
	n := float64(len(c.settings.Others) + 1)
	if len(owners) == 0 {
		c.store.SetShare(1/n, 1/n)
		return
	}
	part := func(weight float64) float64 {
		of := func(name string) float64 {
			if owners[name] {
				return weight
			}
			return 1
		}
		sum := of(c.settings.Label)
		for _, p := range c.settings.Others {
			sum += of(p.Label)
		}
		return of(c.settings.Label) / sum
	}
	c.store.SetShare(part(limits.OwnerWeight), part(limits.OwnerWrites))
}

// demand tells which classes each team's unfinished jobs may use. A cancelled
// job counts until none of its tasks is left: it still takes of the limit.
func (c *Core) demand() ownership.Demand {
	d := ownership.Demand{}
	for _, j := range c.jobs.Open {
		set := d[j.Team]
		if set == nil {
			set = map[string]bool{}
			d[j.Team] = set
		}
		for _, class := range j.Types {
			set[class] = true
		}
	}
	return d
}

// followClaims starts and ends acting for classes.
func (c *Core) followClaims() {
	claims := c.ownership.Claims()
	for class, term := range c.active {
		if cl := claims[class]; cl == nil || cl.Term != term {
			delete(c.active, class)
			c.leaveClass(class)
			c.machineTable.Forget(class)
			c.jobs.DropPending(class)
			clear(c.recordRequested)
		}
	}
	for _, class := range slices.Sorted(maps.Keys(claims)) {
		cl := claims[class]
		if _, ok := c.active[class]; ok {
			continue
		}
		c.active[class] = cl.Term
		c.resolving[class] = true
		c.dirty, c.jobsChanged = true, true
		c.toldCounts = nil
		for id, e := range c.machineRecords {
			if e.Class == class {
				if e.Up {
					c.pool.Expect(id, e.Class, e.Zone, e.Spot, cl.Since).Address = e.Address
				}
				if r := c.fleet.Track(id, fleet.Kind{Class: e.Class, Zone: e.Zone, Spot: e.Spot}, c.now.Steady-c.age(float64(e.At))); r != nil {
					r.WasUp = e.Up
				}
			}
		}
	}
}

// age converts a time of day to an age; clocks differ, so it is never negative.
func (c *Core) age(unix float64) time.Duration {
	return limits.Seconds(max(0, c.now.Unix-unix))
}

func (c *Core) leaveClass(class string) {
	for id, m := range c.pool.Machines {
		if m.Class == class {
			c.clearMachine(id)
			c.pool.Drop(id)
		}
	}
	for id, r := range c.fleet.Rentals {
		if r.Kind.Class == class {
			delete(c.fleet.Rentals, id)
		}
	}
	c.dirty, c.jobsChanged = true, true
}

// clearMachine takes all places on a machine away.
func (c *Core) clearMachine(id string) {
	if h := c.loads[id]; h != nil {
		for _, task := range h.taskIDs() {
			c.unassign(h.tasks[task].job, h.tasks[task].task)
		}
		delete(c.loads, id)
	}
	c.dirty, c.jobsChanged = true, true
}

// updateActiveJobs marks the jobs whose classes we all own. A job that an earlier
// owner may have launched is frozen until every machine in the roster that
// could run it is resolved.
func (c *Core) updateActiveJobs() {
	if !c.jobsChanged {
		return
	}
	c.jobsChanged = false
	unresolved := map[string]bool{}
	for id, m := range c.pool.Machines {
		if c.machineRecords[id].Up && !m.Resolved() {
			unresolved[m.Class] = true
		}
	}
	for _, j := range c.jobs.Open {
		all := len(j.Types) > 0
		for _, class := range j.Types {
			if _, ok := c.active[class]; !ok {
				all = false
			}
		}
		was, wasFrozen := j.Active, j.Frozen
		if all && !j.Active {
			j.Frozen = j.Launched()
			j.Prepared = false
			j.GangRun = jobs.GangRun{}
		}
		j.Active = all
		if all && j.Frozen {
			j.Frozen = false
			for _, class := range j.Types {
				j.Frozen = j.Frozen || unresolved[class]
			}
		}
		if j.Active != was || j.Frozen != wasFrozen {
			c.sortStale = true
			if j.Launched() {
				c.round = nil // what may run unseen has changed
			}
		}
	}
	for class := range c.resolving {
		if !unresolved[class] {
			delete(c.resolving, class)
			c.log("info", "every machine of the class accounted for", "class", class, "term", c.active[class])
		}
	}
}

// applyMachineRecord follows the roster's records.
func (c *Core) applyMachineRecord(id, class string, value msgpack.RawMessage, gone bool) {
	var e machineRecord
	switch {
	case gone:
		delete(c.machineRecords, id)
	case wire.Decode(value, &e) == nil:
		e.Class = class
		c.machineRecords[id] = e
	}
}

// applyType follows the recorded machine types.
func (c *Core) applyType(ch statestore.Change) {
	if !strings.HasPrefix(ch.Key, keyType) || ch.Removed {
		return
	}
	t := &wire.MachineType{}
	if wire.Decode(ch.Entry.Value, t) == nil && t.Name != "" {
		c.typesSaved[t.Name] = true
		if c.fleet.Types[t.Name] == nil {
			c.fleet.Types[t.Name] = t
		}
	}
}

// writeMachineRecords records machines before their first launch, drops those that are
// gone, and keeps the machine types for starts while the cloud is down.
func (c *Core) writeMachineRecords() {
	if c.now.Steady < c.nextRecordScan {
		return
	}
	c.nextRecordScan = c.now.Steady + limits.ScanInterval
	entry := func(k fleet.Kind, since time.Duration, up bool, address string) machineRecord {
		return machineRecord{Address: address, Zone: k.Zone, Spot: k.Spot, At: int64(c.now.Unix - (c.now.Steady - since).Seconds()), Up: up}
	}
	for _, m := range c.pool.Sorted() {
		if !c.machineRecords[m.ID].Up && !m.Deleting && m.Adopted && !c.recordRequested[m.ID] {
			since := c.now.Steady
			if r := c.fleet.Rentals[m.ID]; r != nil {
				since = r.Since
			}
			c.recordRequested[m.ID] = true
			c.machineTable.Set(m.Class, m.ID, entry(kindOf(m), since, true, m.Address), 0)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.fleet.Rentals)) {
		r := c.fleet.Rentals[id]
		if _, listed := c.machineRecords[id]; listed || r.Deleted || r.Up || r.Listed != "" || c.recordRequested[id] {
			continue
		}
		if _, ok := c.active[r.Kind.Class]; ok {
			// Booting: a successor then knows what is on its way before the
			// lists do, and rents nothing twice.
			c.machineTable.Set(r.Kind.Class, id, entry(r.Kind, r.Since, false, ""), limits.PageDelay)
		}
	}
	for id, e := range c.machineRecords {
		if _, ok := c.active[e.Class]; ok && c.fleet.IsGone(id) {
			delete(c.recordRequested, id)
			c.machineTable.Remove(id, limits.PageDelay)
		}
	}
	c.machineTable.Write()
	c.writeTypes()
}

func (c *Core) writeTypes() {
	if c.savingTypes {
		return
	}
	var t wire.Txn
	for _, name := range c.fleet.Classes() {
		mt := c.fleet.Types[name]
		if _, ok := c.active[name]; ok && !c.typesSaved[name] && len(t.Then) < c.store.MaxWrites() {
			key := keyType + name
			e, _ := c.store.Mirror.Get(key)
			t.Guards = append(t.Guards, c.ownership.Guard(name), wire.Guard{Key: key, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Key: key, Value: mt})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	c.savingTypes = true
	c.store.Txn(statestore.Progress, limits.StoreTimeout, t, func(r statestore.Reply) {
		c.savingTypes = false
		if r.Status == statestore.OK {
			for _, op := range t.Then {
				c.typesSaved[op.Value.(*wire.MachineType).Name] = true
			}
		}
	})
}

// machineGone is told when a deletion was answered with 200.
func (c *Core) machineGone(id string) {
	c.clearMachine(id)
	c.pool.Drop(id)
	c.dirty, c.jobsChanged = true, true
}

func (c *Core) messagePeers() {
	t := c.now.Steady
	if c.ownership.NeedsExtension() {
		for _, p := range c.settings.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.settings.Label, Promise: true, Terms: c.ownership.Terms()}})
		}
	}
	if c.store.Down() && t >= c.nextProbe {
		c.nextProbe = t + limits.ExtensionInterval
		for _, p := range c.settings.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.settings.Label, Probe: true}})
		}
	}
	// An owner that its workers don't reach looks for a node that they do reach.
	if len(c.active) > 0 && t-max(c.lastArrival, c.reportsResumedAt) > c.maxReportGap()/2 && t >= c.nextArrivalQuery {
		c.nextArrivalQuery = t + limits.ExtensionInterval
		for _, p := range c.settings.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.settings.Label, Visited: true}})
		}
	}
	if t < c.nextCountsMessage || len(c.active) == 0 {
		return
	}
	c.nextCountsMessage = t + limits.CountsInterval
	counts := map[string][2]int{}
	seen := map[string][2]int{}
	var faulty []string
	for id, j := range c.jobs.Open {
		if !j.Active {
			continue
		}
		if j.Faulty() && !j.Cancelled {
			faulty = append(faulty, id)
		}
		v := [2]int{j.DoneCount, j.Running()}
		seen[id] = v
		if c.toldCounts[id] != v {
			counts[id] = v
		}
	}
	first := c.toldCounts == nil // a new owner also asks which jobs are faulty
	c.toldCounts = seen
	if len(counts) == 0 && len(faulty) == 0 && !first {
		return
	}
	slices.Sort(faulty)
	for _, p := range c.settings.Others {
		c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.settings.Label, Counts: counts, Faulty: faulty}})
	}
}

func (c *Core) answerPeer(x PeerRequest) {
	if x.Msg.Probe {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.store.Mirror.Loaded && !c.store.Down()}})
		return
	}
	if x.Msg.Visited {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.lastForeignArrival > 0 && c.now.Steady-c.lastForeignArrival < limits.ForeignArrivalFor}})
		return
	}
	if x.Msg.Promise {
		a := PeerAnswer{Yes: c.ownership.GrantExtension(c.now.Steady, x.Msg.Terms), Vouch: c.store.Mirror.Loaded, Behind: c.now.Steady - c.store.Mirror.KnownThrough}
		if a.Vouch {
			a.Cancelled = c.jobs.Cancellations()
		}
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: a})
		return
	}
	c.mergeCancellations(x.Msg.Cancelled)
	for id, v := range x.Msg.Counts {
		c.jobs.SetDisplayCounts(id, v[0], v[1])
	}
	// Guards against a faulty job that got its first wave of tasks again from every owner.
	c.jobs.Suspect(x.Msg.Faulty)
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: true, Faulty: c.jobs.Suspects(x.Msg.Faulty)}})
}

// peerReplied takes in what came of a message to a peer.
func (c *Core) peerReplied(x PeerReply) {
	peer, a := x.Call.Peer, x.Answer
	switch m := x.Call.Msg; {
	case m.Visited:
		if a.Yes {
			c.foreignArrivals[peer] = c.now.Steady
		}
	case m.Probe:
		if a.Yes {
			c.peerReachedStoreAt = c.now.Steady
		}
	case m.Promise:
		c.mergeCancellations(a.Cancelled)
		c.ownership.RecordPeerCancellations(peer, x.Call.Sent, a.Vouch, a.Behind)
		c.ownership.RecordExtension(peer, x.Call.Sent, a.Yes)
	case a.Yes:
		c.jobs.Suspect(a.Faulty)
		for _, id := range m.Cancelled {
			delete(c.cancelNotices[peer], id)
		}
	}
}

// mergeCancellations takes in cancellations that a peer knows of.
func (c *Core) mergeCancellations(ids []string) {
	if c.jobs.MergeCancellations(c.now.Steady, ids) {
		c.dirty, c.jobsChanged = true, true
	}
}

// notifyOwners passes cancellations that became known here straight to the owners of
// classes, until they acknowledge them: an owner that the state service refuses can't
// see them, and goes on starting tasks of those jobs.
func (c *Core) notifyOwners() {
	t := c.now.Steady
	if ids := c.jobs.TakeNewCancellations(); len(ids) > 0 {
		for owner := range c.ownership.Owners() {
			if owner == c.settings.Label {
				continue
			}
			if c.cancelNotices[owner] == nil {
				c.cancelNotices[owner] = map[string]bool{}
			}
			for _, id := range ids {
				c.cancelNotices[owner][id] = true
			}
		}
		c.nextNotice = t
	}
	if t < c.nextNotice {
		return
	}
	c.nextNotice = t + limits.ExtensionInterval
	owners := c.ownership.Owners()
	for _, p := range c.settings.Others {
		ids := c.cancelNotices[p.Label]
		if len(ids) == 0 {
			continue
		}
		if !owners[p.Label] { // its successor has read them
			delete(c.cancelNotices, p.Label)
			continue
		}
		c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.settings.Label, Cancelled: slices.Sorted(maps.Keys(ids))}})
	}
}
