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
	keyRoster = statestore.Root + "r/"
	keyType   = statestore.Root + "t/"
)

// rosterEntry is the durable record of a machine that may get tasks.
type rosterEntry struct {
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
	set   *config.Settings
	ops   *config.Operator
	now   Now
	out   []any
	teams map[string]*config.Team

	store *statestore.Store
	own   *ownership.Node
	book  *jobs.Book
	pool  *workers.Pool
	fleet *fleet.Manager

	active  map[string]uint64             // class -> term that we act on
	on      map[string]*host              // machine -> what is placed on it
	booked  map[string]map[string]booking // team -> class -> what is placed
	roster  map[string]rosterEntry
	records *statestore.Pack // the roster's keys
	counter uint64           // attempts given out
	// lastReport is when a worker's report last counted, backAt when one last came
	// after a time without any, and newcomer when a machine last found this owner.
	lastReport, backAt, newcomer time.Duration
	// lastKnock is when a report for our classes last arrived, answered or not,
	// lastVisit when one for classes of others did, and desertedAt when this node
	// last handed its classes over. visits is when peers last told of theirs.
	lastKnock, lastVisit, desertedAt time.Duration
	visits                           map[string]time.Duration
	nextVisits                       time.Duration

	regroup bool // what decides on Active and Frozen may have changed
	// reported is room for sync's look at one report.
	reported map[attempt]bool
	numbers  map[uint64]bool
	// offer is what the last look at all machines left waiting, for the room that
	// a single report frees; nil when it may be wrong.
	offer     *offer
	nextOffer time.Duration
	// claimed are machines on which tasks end to make room for others.
	claimed    map[string]*claimed
	nextClaims time.Duration
	// orders are those under way; touched are machines with new plans.
	orders    map[uint64]*order
	lastOrder uint64
	asks      int // of orders, those without commands
	touched   []string
	// The order of jobs, kept for a moment.
	sorted    []*jobs.Job
	sortedAt  time.Duration
	resort    bool
	dirty     bool // the allocation has something new to decide on
	nextRun   time.Duration
	nextTell  time.Duration
	nextPlan  time.Duration
	nextProbe time.Duration
	// othersReach is when a peer last reached the state service while we didn't.
	othersReach time.Duration
	nextUse     time.Duration
	told        map[string][2]int
	// notices are cancellations of which the owners of classes were not told yet.
	notices    map[string]map[string]bool
	nextNotice time.Duration
	// reserved are machines that take only gangs, and gangPeak how many CPUs those that
	// should start soon have lately asked for.
	reserved    map[string]bool
	gangPeak    float64
	gangsAt     time.Duration
	nextReserve time.Duration
	relief      map[string]bool // classes whose machines keep small tasks off scarce ones
	typesSaved  map[string]bool
	savingTypes bool
	recorded    map[string]bool // machines whose record as up was wished for
	nextRoster  time.Duration
	waiting     map[string]bool // classes taken over with machines still unresolved
}

// NewCore makes the state machine. random names this life of the process.
func NewCore(set *config.Settings, ops *config.Operator, now Now, random uint64) *Core {
	c := &Core{set: set, ops: ops, now: now, teams: map[string]*config.Team{},
		active: map[string]uint64{}, reported: map[attempt]bool{}, numbers: map[uint64]bool{}, orders: map[uint64]*order{}, claimed: map[string]*claimed{}, on: map[string]*host{}, booked: map[string]map[string]booking{}, roster: map[string]rosterEntry{},
		visits: map[string]time.Duration{}, told: map[string][2]int{}, notices: map[string]map[string]bool{}, reserved: map[string]bool{}, relief: map[string]bool{}, typesSaved: map[string]bool{}, recorded: map[string]bool{}, waiting: map[string]bool{}}
	for i := range set.Cluster.Teams {
		c.teams[set.Cluster.Teams[i].Name] = &set.Cluster.Teams[i]
	}
	cl := &set.Cluster
	// Sizes that hold before and after an announced change of the state service's limits.
	changes, valueKB := cl.StateSizes()
	c.store = statestore.New(cl.State.RPS, cl.State.WriteRPS, changes, valueKB)
	if n := cl.State.Next; n != nil {
		c.store.NextWrites(n.WriteRPS)
	}
	var others []string
	for _, p := range set.Others {
		others = append(others, p.Label)
	}
	blind := ownership.Blind(limits.Seconds(cl.Workers.CancelS), limits.Seconds(cl.Workers.LeaseS))
	c.own = ownership.New(set.Label, others, random, now.Steady, blind, c.store, c.log)
	c.book = jobs.New(c.store, c.own.Guard, c.own.Format, c.log)
	c.records = statestore.NewPack(c.store, keyRoster, c.own.Guard, c.applyRoster)
	c.pool = workers.New(cl.Workers.LeaseS, cl.Workers.ReportS)
	c.fleet = fleet.New(cl.Cloud.RPS, cl.Cloud.ListLagS, hirePrefix(set.Label, random), c.log)
	c.fleet.Gone = c.machineGone
	c.fleet.Patience = c.pool.SilentFor()
	c.fleet.Round = c.pool.Report*5/4 + limits.TakeoverSlack
	return c
}

func (c *Core) log(level, msg string, args ...any) {
	c.out = append(c.out, Log{level, msg, args})
}

// Step takes one input and returns what to do about it.
func (c *Core) Step(now Now, in any) []any {
	if now.Steady-c.now.Steady > limits.SleptAfter {
		c.slept(now.Steady)
	}
	if now.Steady > c.now.Steady {
		c.now.Steady = now.Steady
	}
	c.now.Unix = now.Unix
	t := c.now.Steady
	c.own.Advance(t)
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
	case OrderReply:
		c.ordered(x)
		return c.flush()
	case CloudReply:
		c.fleet.Reply(t, x.ID, x.Status, x.Body)
	case PeerReply:
		c.peerAnswered(x)
	case PeerRequest:
		c.peer(x)
	}
	c.advance()
	return c.flush()
}

// slept takes note that this node stood still until now: what it did not hear
// meanwhile waits to be read, so nobody's silence counts, and it decides on nothing
// before. Guards against machines that a node returned, and classes that it handed
// over, as soon as it went on.
func (c *Core) slept(t time.Duration) {
	c.log("info", "stood still", "for", t-c.now.Steady)
	c.lastKnock, c.lastReport = t, t
	c.backAt, c.newcomer = t, t
	c.nextRun, c.nextPlan = t+limits.TickEvery, t+limits.PlanEvery
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
	c.follow()
	c.share()
	c.own.Tick(t, c.fleet.Classes(), c.demand)
	if c.deserted() {
		c.own.HandOver(c.visited())
		c.desertedAt = t
	}
	c.followClaims()
	c.manageMachines()
	c.activateJobs()
	c.tendGangs()
	may := c.own.MayLaunch()
	if may && len(c.active) > 0 {
		c.writeRoster()
		c.allocate()
		if t >= c.nextPlan {
			c.nextPlan = t + limits.PlanEvery
			c.planFleet()
		}
	}
	c.book.Tick(t, c.now.Unix, may && len(c.active) > 0, func(j *jobs.Job) bool { return !j.Frozen })
	c.tellPeers()
	c.tellOwners()
	for _, call := range c.store.Tick(t) {
		c.out = append(c.out, call)
	}
	for _, call := range c.fleet.Tick(t, may && len(c.active) > 0, len(c.own.Owners())) {
		c.out = append(c.out, call)
	}
}

// follow passes the mirror's changes to the slices.
func (c *Core) follow() {
	for _, ch := range c.store.Mirror.Take() {
		c.own.Apply(ch)
		c.book.Apply(ch)
		c.records.Apply(ch)
		c.applyType(ch)
		c.dirty = true
		if !strings.HasPrefix(ch.Key, keyRoster) && !c.book.Progress(ch.Key) {
			c.regroup = true
		}
	}
}

// share divides the budget of the state service: an owner writes more than the
// others, who only take in what users ask.
func (c *Core) share() {
	owners := c.own.Owners()
	n := float64(len(c.set.Others) + 1)
	if len(owners) == 0 {
		c.store.Share(1/n, 1/n)
		return
	}
	part := func(weight float64) float64 {
		of := func(name string) float64 {
			if owners[name] {
				return weight
			}
			return 1
		}
		sum := of(c.set.Label)
		for _, p := range c.set.Others {
			sum += of(p.Label)
		}
		return of(c.set.Label) / sum
	}
	c.store.Share(part(limits.OwnerWeight), part(limits.OwnerWrites))
}

// demand tells which classes each team's unfinished jobs may use. A cancelled
// job counts until none of its tasks is left: it still takes of the limit.
func (c *Core) demand() ownership.Demand {
	d := ownership.Demand{}
	for _, j := range c.book.Open {
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
	claims := c.own.Claims()
	for class, term := range c.active {
		if cl := claims[class]; cl == nil || cl.Term != term {
			delete(c.active, class)
			c.leaveClass(class)
			c.records.Forget(class)
			c.book.Forget(class)
			clear(c.recorded)
		}
	}
	for class, cl := range claims {
		if _, ok := c.active[class]; ok {
			continue
		}
		c.active[class] = cl.Term
		c.waiting[class] = true
		c.dirty, c.regroup = true, true
		c.told = nil
		for id, e := range c.roster {
			if e.Class == class {
				if e.Up {
					c.pool.Expect(id, e.Class, e.Zone, e.Spot, cl.Since).Address = e.Address
				}
				if r := c.fleet.Know(id, fleet.Kind{Class: e.Class, Zone: e.Zone, Spot: e.Spot}, c.now.Steady-c.age(float64(e.At))); r != nil {
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
	c.dirty, c.regroup = true, true
}

// clearMachine takes all places on a machine away.
func (c *Core) clearMachine(id string) {
	if h := c.on[id]; h != nil {
		for _, p := range h.tasks {
			c.take(p.job, p.task)
		}
		delete(c.on, id)
	}
	c.dirty, c.regroup = true, true
}

// activateJobs marks the jobs whose classes we all own. A job that an earlier
// owner may have launched is frozen until every machine in the roster that
// could run it is resolved.
func (c *Core) activateJobs() {
	if !c.regroup {
		return
	}
	c.regroup = false
	unresolved := map[string]bool{}
	for id, m := range c.pool.Machines {
		if c.roster[id].Up && !m.Resolved() {
			unresolved[m.Class] = true
		}
	}
	for _, j := range c.book.Open {
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
			j.Start = jobs.GangStart{}
		}
		j.Active = all
		if all && j.Frozen {
			j.Frozen = false
			for _, class := range j.Types {
				j.Frozen = j.Frozen || unresolved[class]
			}
		}
		if j.Active != was || j.Frozen != wasFrozen {
			c.resort = true
			if j.Launched() {
				c.offer = nil // what may run unseen has changed
			}
		}
	}
	for class := range c.waiting {
		if !unresolved[class] {
			delete(c.waiting, class)
			c.log("info", "every machine of the class accounted for", "class", class, "term", c.active[class])
		}
	}
}

// applyRoster follows the roster's records.
func (c *Core) applyRoster(id, class string, value msgpack.RawMessage, gone bool) {
	var e rosterEntry
	switch {
	case gone:
		delete(c.roster, id)
	case wire.Decode(value, &e) == nil:
		e.Class = class
		c.roster[id] = e
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

// writeRoster records machines before their first launch, drops those that are
// gone, and keeps the machine types for starts while the cloud is down.
func (c *Core) writeRoster() {
	if c.now.Steady < c.nextRoster {
		return
	}
	c.nextRoster = c.now.Steady + limits.LookEvery
	entry := func(k fleet.Kind, since time.Duration, up bool, address string) rosterEntry {
		return rosterEntry{Address: address, Zone: k.Zone, Spot: k.Spot, At: int64(c.now.Unix - (c.now.Steady - since).Seconds()), Up: up}
	}
	for _, m := range c.pool.Sorted() {
		if !c.roster[m.ID].Up && !m.Deleting && m.Adopted && !c.recorded[m.ID] {
			since := c.now.Steady
			if r := c.fleet.Rentals[m.ID]; r != nil {
				since = r.Since
			}
			c.recorded[m.ID] = true
			c.records.Set(m.Class, m.ID, entry(fleet.Kind{Class: m.Class, Zone: m.Zone, Spot: m.Spot}, since, true, m.Address), 0)
		}
	}
	for id, r := range c.fleet.Rentals {
		if _, listed := c.roster[id]; listed || r.Deleted || r.Up || r.Listed != "" || c.recorded[id] {
			continue
		}
		if _, ok := c.active[r.Kind.Class]; ok {
			// Booting: a successor then knows what is on its way before the
			// lists do, and rents nothing twice.
			c.records.Set(r.Kind.Class, id, entry(r.Kind, r.Since, false, ""), limits.PackLater)
		}
	}
	for id, e := range c.roster {
		if _, ok := c.active[e.Class]; ok && c.fleet.IsGone(id) {
			delete(c.recorded, id)
			c.records.Remove(id, limits.PackLater)
		}
	}
	c.records.Write()
	c.writeTypes()
}

func (c *Core) writeTypes() {
	if c.savingTypes {
		return
	}
	var t wire.Txn
	for name, mt := range c.fleet.Types {
		if _, ok := c.active[name]; ok && !c.typesSaved[name] && len(t.Then) < c.store.MaxWrites() {
			key := keyType + name
			e, _ := c.store.Mirror.Get(key)
			t.Guards = append(t.Guards, c.own.Guard(name), wire.Guard{Key: key, Version: e.Version})
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
	c.dirty, c.regroup = true, true
}

func (c *Core) tellPeers() {
	t := c.now.Steady
	if c.own.WantPromises() {
		for _, p := range c.set.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.set.Label, Promise: true, Terms: c.own.Terms()}})
		}
	}
	if c.store.Down() && t >= c.nextProbe {
		c.nextProbe = t + limits.PromiseEvery
		for _, p := range c.set.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.set.Label, Probe: true}})
		}
	}
	// An owner that its workers don't reach looks for a node that they do reach.
	if len(c.active) > 0 && t-max(c.lastKnock, c.backAt) > c.quiet()/2 && t >= c.nextVisits {
		c.nextVisits = t + limits.PromiseEvery
		for _, p := range c.set.Others {
			c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.set.Label, Visited: true}})
		}
	}
	if t < c.nextTell || len(c.active) == 0 {
		return
	}
	c.nextTell = t + limits.ProgressEvery
	counts := map[string][2]int{}
	seen := map[string][2]int{}
	var faulty []string
	for id, j := range c.book.Open {
		if !j.Active {
			continue
		}
		if j.Faulty() && !j.Cancelled {
			faulty = append(faulty, id)
		}
		v := [2]int{j.DoneCount, j.Running()}
		seen[id] = v
		if c.told[id] != v {
			counts[id] = v
		}
	}
	first := c.told == nil // a new owner also asks which jobs are faulty
	c.told = seen
	if len(counts) == 0 && len(faulty) == 0 && !first {
		return
	}
	slices.Sort(faulty)
	for _, p := range c.set.Others {
		c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.set.Label, Counts: counts, Faulty: faulty}})
	}
}

func (c *Core) peer(x PeerRequest) {
	if x.Msg.Probe {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.store.Mirror.Loaded && !c.store.Down()}})
		return
	}
	if x.Msg.Visited {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.lastVisit > 0 && c.now.Steady-c.lastVisit < limits.VisitedFor}})
		return
	}
	if x.Msg.Promise {
		a := PeerAnswer{Yes: c.own.AskPromise(c.now.Steady, x.Msg.Terms), Vouch: c.store.Mirror.Loaded, Behind: c.now.Steady - c.store.Mirror.Known}
		if a.Vouch {
			a.Cancelled = c.book.Cancellations()
		}
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: a})
		return
	}
	c.learn(x.Msg.Cancelled)
	for id, v := range x.Msg.Counts {
		c.book.Shown(id, v[0], v[1])
	}
	// Guards against a faulty job that got its first wave of tasks again from every owner.
	c.book.Suspect(x.Msg.Faulty)
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: true, Faulty: c.book.Suspects(x.Msg.Faulty)}})
}

// peerAnswered takes in what came of a message to a peer.
func (c *Core) peerAnswered(x PeerReply) {
	peer, a := x.Call.Peer, x.Answer
	switch m := x.Call.Msg; {
	case m.Visited:
		if a.Yes {
			c.visits[peer] = c.now.Steady
		}
	case m.Probe:
		if a.Yes {
			c.othersReach = c.now.Steady
		}
	case m.Promise:
		c.learn(a.Cancelled)
		c.own.Vouched(peer, x.Call.Sent, a.Vouch, a.Behind)
		c.own.Promised(peer, x.Call.Sent, a.Yes)
	case a.Yes:
		c.book.Suspect(a.Faulty)
		for _, id := range m.Cancelled {
			delete(c.notices[peer], id)
		}
	}
}

// learn takes in cancellations that a peer knows of.
func (c *Core) learn(ids []string) {
	if c.book.Learn(c.now.Steady, ids) {
		c.dirty, c.regroup = true, true
	}
}

// tellOwners passes cancellations that became known here straight to the owners of
// classes, until they acknowledge them: an owner that the state service refuses can't
// see them, and goes on starting tasks of those jobs.
func (c *Core) tellOwners() {
	t := c.now.Steady
	if ids := c.book.News(); len(ids) > 0 {
		for owner := range c.own.Owners() {
			if owner == c.set.Label {
				continue
			}
			if c.notices[owner] == nil {
				c.notices[owner] = map[string]bool{}
			}
			for _, id := range ids {
				c.notices[owner][id] = true
			}
		}
		c.nextNotice = t
	}
	if t < c.nextNotice {
		return
	}
	c.nextNotice = t + limits.PromiseEvery
	owners := c.own.Owners()
	for _, p := range c.set.Others {
		ids := c.notices[p.Label]
		if len(ids) == 0 {
			continue
		}
		if !owners[p.Label] { // its successor has read them
			delete(c.notices, p.Label)
			continue
		}
		c.out = append(c.out, PeerCall{p.Label, t, PeerMessage{From: c.set.Label, Cancelled: slices.Sorted(maps.Keys(ids))}})
	}
}
