// Package ownership decides which controller acts for which machine class:
// this node's state lease, the leader's mapping of RDUCs to owners, claims and
// their terms, and the promises that carry an owner over a state outage.
//
// Everything is derived from the mirror: a class is ours once the mirror shows
// our claim, whose version is the term. So a claim whose answer was lost, or
// that was executed late, needs no case of its own.
package ownership

import (
	"maps"
	"net/url"
	"slices"
	"sort"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// Keys under the mirror's root.
const (
	keyLeader = statestore.Root + "leader"
	keyNode   = statestore.Root + "n/"
	keyMap    = statestore.Root + "map/"
	keyOwn    = statestore.Root + "own/"
	keyLast   = statestore.Root + "last/"
	keyFormat = statestore.Root + "format"
)

// holderRecord is the value of keys that name a process.
type holderRecord struct {
	Node  string `msgpack:"n"`
	Inc   uint64 `msgpack:"i"`
	Lease uint64 `msgpack:"l,omitempty"`
	// HandedOver marks a mapping that the last owner wrote itself, by Handover.
	HandedOver bool `msgpack:"h,omitempty"`
	// Format is the newest form of records that a node's version reads, in keyNode, and
	// in keyFormat what every node of the service read at one time.
	Format int `msgpack:"f,omitempty"`
}

type record struct {
	holderRecord
	version uint64
}

// Claim is a class that this process owns.
type Claim struct {
	Class string
	Term  uint64
	Since time.Duration // when this process began to act on the claim
}

// Node is the slice's state.
type Node struct {
	Name string
	Inc  uint64
	// SupportedFormat is the newest format that this process says it reads.
	SupportedFormat int

	store  *statestore.Store
	others []string
	log    func(level, msg string, args ...any)
	now    time.Duration
	start  time.Duration

	lease          uint64
	leaseEnd       time.Duration
	leaseRequested bool
	nextRenew      time.Duration

	format       int // of the records that may be written
	leader       record
	nodes        map[string]record
	mapping      map[string]record
	holders      map[string]record
	lastOwners   map[string]string
	endingLeases map[uint64]bool // leases of our earlier incarnations being ended

	claims      map[string]*Claim
	handingOver map[string]uint64 // class -> term that is being handed over
	// renewalUnanswered: the last renewal got no answer, and may have been executed.
	renewalUnanswered  bool
	preferredSuccessor string                   // who should follow in a handover
	retryAt            map[string]time.Duration // key -> no new attempt before
	nextRemap          time.Duration
	jitter             time.Duration

	grantedUntil         time.Duration            // we claim nothing before this
	extensions           map[string]time.Duration // peers' promises to us, until
	nextExtensionRequest time.Duration

	// What is known of cancellations that users were told: vouched is up to when each
	// peer vouches for its own, heardOf up to when any peer knows everybody's, and
	// Blind for how long this node may go on without knowing.
	peerCancellationsAt map[string]time.Duration
	peerKnownThrough    time.Duration
	MaxStaleness        time.Duration
}

// MaxStaleness is for how long an owner may answer workers without knowing of the
// cancellations that users were told. A worker that it answers at the end of that
// time keeps its tasks for one lease more, by its own clock.
func MaxStaleness(cancel, lease time.Duration) time.Duration {
	left := cancel - time.Duration(float64(lease)*(1+limits.ClockDrift)) - limits.CancelMargin
	return max(time.Duration(float64(left)*(1-limits.ClockDrift)), limits.MinStaleness)
}

// New makes the slice. inc is a random number that names this process's life, blind
// what Blind says of the workers.
func New(name string, others []string, inc uint64, start, blind time.Duration, store *statestore.Store, log func(string, string, ...any)) *Node {
	return &Node{Name: name, Inc: inc, SupportedFormat: limits.RecordFormat, store: store, others: others, log: log, now: start, start: start,
		nodes: map[string]record{}, mapping: map[string]record{}, holders: map[string]record{}, lastOwners: map[string]string{},
		endingLeases: map[uint64]bool{}, claims: map[string]*Claim{}, handingOver: map[string]uint64{}, retryAt: map[string]time.Duration{}, extensions: map[string]time.Duration{},
		peerCancellationsAt: map[string]time.Duration{}, MaxStaleness: blind,
		jitter: time.Duration(inc % uint64(limits.ElectionJitter))}
}

func classKey(class string) string { return url.PathEscape(class) }

func classOf(key, prefix string) string {
	s, err := url.PathUnescape(strings.TrimPrefix(key, prefix))
	if err != nil {
		return ""
	}
	return s
}

// Apply follows a change of the mirror.
func (n *Node) Apply(c statestore.Change) {
	var r record
	if !c.Removed {
		if err := wire.Decode(c.Entry.Value, &r.holderRecord); err != nil {
			return
		}
		r.version = c.Entry.Version
	}
	put := func(m map[string]record, prefix string) {
		class := classOf(c.Key, prefix)
		if c.Removed {
			delete(m, class)
		} else {
			m[class] = r
		}
	}
	switch {
	case c.Key == keyFormat:
		n.format = max(n.format, r.Format)
	case c.Key == keyLeader:
		if r.Node != n.leader.Node || r.Inc != n.leader.Inc {
			n.log("info", "leader changed", "leader", r.Node, "before", n.leader.Node, "term", r.version)
		}
		n.leader = r
	case strings.HasPrefix(c.Key, keyNode):
		put(n.nodes, keyNode)
	case strings.HasPrefix(c.Key, keyMap):
		put(n.mapping, keyMap)
	case strings.HasPrefix(c.Key, keyOwn):
		put(n.holders, keyOwn)
	case strings.HasPrefix(c.Key, keyLast):
		if !c.Removed {
			n.lastOwners[classOf(c.Key, keyLast)] = r.Node
		}
	default:
		return
	}
	// A key of our own earlier life: that process is dead for sure, so its
	// lease need not be waited out.
	if r.Node == n.Name && r.Inc != n.Inc && r.Lease != 0 && !n.endingLeases[r.Lease] {
		n.endingLeases[r.Lease] = true
		n.endLease(r.Lease)
	}
}

func (n *Node) endLease(lease uint64) {
	n.store.EndLease(lease, func(r statestore.Reply) {
		if r.Status != statestore.OK && r.Status != statestore.NotFound && r.Status != 204 {
			delete(n.endingLeases, lease)
			for _, m := range []map[string]record{n.nodes, n.holders, {"": n.leader}} {
				for _, rec := range m {
					if rec.Lease == lease && !n.endingLeases[lease] {
						n.endingLeases[lease] = true
						n.endLease(lease)
					}
				}
			}
		}
	})
}

// LeaseValid tells whether our state lease is certainly alive.
func (n *Node) LeaseValid() bool { return n.lease != 0 && n.now < n.leaseEnd }

// IsLeader tells whether this process is the leader.
func (n *Node) IsLeader() bool {
	return n.leader.Node == n.Name && n.leader.Inc == n.Inc && n.LeaseValid()
}

// Claims lists what this process owns, whether or not it may act right now.
func (n *Node) Claims() map[string]*Claim { return n.claims }

// MayLaunch tells whether an owner may start work and act on its claims. Under
// promises it may as well: what it launches then, on machines and for jobs that
// were recorded before, a successor waits for like any other launch.
func (n *Node) MayLaunch() bool { return n.MayAnswer() }

// CancellationsKnownThrough is up to when this node knows of every cancellation that any user was
// told: its mirror goes that far, or that of a peer which passed on what it knows, or
// every peer has vouched for what it told itself. A peer that forgot what its earlier
// life told, and has not read the records since, vouches for nothing.
func (n *Node) CancellationsKnownThrough() time.Duration {
	all := n.now
	for _, o := range n.others {
		all = min(all, n.peerCancellationsAt[o])
	}
	return max(n.store.Mirror.KnownThrough, n.peerKnownThrough, all)
}

// RecordPeerCancellations records that a peer, asked at sent, has told us of all cancellations that it
// told users (all), and of all that anybody told up to behind before its answer.
func (n *Node) RecordPeerCancellations(peer string, sent time.Duration, all bool, behind time.Duration) {
	if !all {
		return
	}
	n.peerCancellationsAt[peer] = max(n.peerCancellationsAt[peer], sent)
	n.peerKnownThrough = max(n.peerKnownThrough, sent-time.Duration(float64(behind)*(1+limits.ClockDrift)))
}

// MayAnswer tells whether an owner may answer its workers: its lease is valid,
// or every peer has promised not to take over, and it knows which jobs are cancelled.
func (n *Node) MayAnswer() bool {
	// Guards against an owner that the state service refused alone, while a peer
	// confirmed cancellations, and that went on under its peers' promises when the
	// service was then down for all: it kept the cancelled tasks alive.
	if n.now >= n.CancellationsKnownThrough()+n.MaxStaleness {
		return false
	}
	if n.LeaseValid() {
		return true
	}
	if n.lease == 0 {
		return false
	}
	for _, o := range n.others {
		if n.now+limits.LeaseMargin >= n.extensions[o] {
			return false
		}
	}
	return true
}

// ActUntil is until when an owner that may answer now may do so, as far as is known.
func (n *Node) ActUntil() time.Duration {
	knows := n.CancellationsKnownThrough() + n.MaxStaleness
	if n.LeaseValid() {
		return min(n.leaseEnd, knows)
	}
	until := min(n.now+limits.ExtensionLife, knows)
	for _, o := range n.others {
		until = min(until, n.extensions[o]-limits.LeaseMargin)
	}
	return until
}

// Owner names the node that workers of a class should report to.
func (n *Node) Owner(class string) string {
	if r, ok := n.holders[class]; ok {
		return r.Node
	}
	if r, ok := n.mapping[class]; ok {
		if _, alive := n.nodes[r.Node]; alive {
			return r.Node
		}
	}
	return ""
}

// Owners counts the nodes that own classes.
func (n *Node) Owners() map[string]bool {
	m := map[string]bool{}
	for _, r := range n.holders {
		m[r.Node] = true
	}
	return m
}

// Guard is the condition that a write by the owner of class carries.
func (n *Node) Guard(class string) wire.Guard {
	var term uint64
	if c := n.claims[class]; c != nil {
		term = c.Term
	}
	return wire.Guard{Key: keyOwn + classKey(class), Version: term}
}

// GrantExtension answers a peer that wishes to go on answering its workers for the
// given classes and terms: yes if the state service is out of our reach as
// well and nobody is known to have followed that peer. The promise holds from now.
func (n *Node) GrantExtension(now time.Duration, terms map[string]uint64) bool {
	if now > n.now {
		n.now = now
	}
	if !n.store.Mirror.Loaded {
		// We know nothing yet, so we take over nothing; but we don't know
		// either whether the state service fails everybody.
		if n.store.LastFail == 0 {
			return false
		}
	}
	if !n.store.Down() {
		return false
	}
	// Guards against a deposed owner that asks in an outage which began after
	// its successor took over: the successor knows its own claim.
	for class, term := range terms {
		if r, ok := n.holders[class]; ok && r.version > term {
			return false
		}
	}
	until := n.now + limits.ExtensionLife + limits.LeaseMargin
	if until > n.grantedUntil {
		n.grantedUntil = until
	}
	return true
}

// RecordExtension records a peer's answer to a request that left at sent.
func (n *Node) RecordExtension(peer string, sent time.Duration, yes bool) {
	if !yes {
		n.extensions[peer] = 0
		return
	}
	n.extensions[peer] = sent + time.Duration(float64(limits.ExtensionLife)*(1-limits.ClockDrift))
}

// Terms lists the terms of our claims by class.
func (n *Node) Terms() map[string]uint64 {
	m := map[string]uint64{}
	for c, cl := range n.claims {
		m[c] = cl.Term
	}
	return m
}

// NeedsExtension tells whether peers should be asked for promises now.
func (n *Node) NeedsExtension() bool {
	blind := n.now-n.CancellationsKnownThrough() > n.MaxStaleness/2
	if len(n.claims) == 0 || !n.store.Down() && !blind || n.now < n.nextExtensionRequest {
		return false
	}
	n.nextExtensionRequest = n.now + limits.ExtensionInterval
	return true
}

// Advance lets time pass without doing anything about it.
func (n *Node) Advance(now time.Duration) { n.now = max(n.now, now) }

// Tick advances time. classes are the machine types known, demand what the
// unfinished jobs may use.
func (n *Node) Tick(now time.Duration, classes []string, demand func() Demand) {
	if now > n.now {
		n.now = now
	}
	if !n.store.Mirror.Loaded {
		return
	}
	n.keepLease()
	n.followClaims()
	if !n.LeaseValid() {
		return
	}
	n.announce()
	n.elect()
	if n.IsLeader() && n.now >= n.nextRemap && len(classes) > 0 {
		n.nextRemap = n.now + limits.RemapInterval
		n.remap(classes, demand())
		n.raiseFormat()
	}
	n.claim()
}

func (n *Node) keepLease() {
	if n.leaseRequested || n.now < n.nextRenew {
		return
	}
	n.leaseRequested = true
	n.nextRenew = n.now + limits.RenewInterval
	if n.lease == 0 {
		n.store.NewLease(limits.NodeLease, func(r statestore.Reply) {
			n.leaseRequested = false
			var l wire.LeaseReply
			if r.Status == statestore.OK && wire.Decode(r.Body, &l) == nil && l.Lease != 0 {
				n.lease = l.Lease
				n.extendLease(r.SentAt)
			}
		})
		return
	}
	// Guards against a node that the state service hears but that gets no answers:
	// its renewals kept alive a lease under which it dared not act, so nobody did.
	// Once the lease may be over it asks before it renews.
	if n.renewalUnanswered && !n.LeaseValid() {
		n.store.Get(statestore.Lease, limits.StoreTimeout, keyLeader, func(r statestore.Reply) {
			n.leaseRequested = false
			if r.Status == statestore.OK || r.Status == statestore.NotFound {
				n.renewalUnanswered, n.nextRenew = false, 0
			}
		})
		return
	}
	lease := n.lease
	n.store.Renew(lease, func(r statestore.Reply) {
		n.leaseRequested = false
		n.renewalUnanswered = r.Status == statestore.NoAnswer
		if lease != n.lease {
			return
		}
		switch r.Status {
		case statestore.OK:
			n.extendLease(r.SentAt)
		case statestore.NotFound:
			n.log("info", "state lease lost", "lease", lease)
			n.lease, n.leaseEnd, n.nextRenew = 0, 0, 0
			n.dropClaims()
		}
	})
}

func (n *Node) extendLease(sent time.Duration) {
	end := sent + time.Duration(float64(limits.NodeLease)*(1-limits.ClockDrift)) - limits.LeaseMargin
	if end > n.leaseEnd {
		n.leaseEnd = end
	}
}

func (n *Node) dropClaims() {
	for class, c := range n.claims {
		n.log("info", "class given up", "class", class, "term", c.Term)
		delete(n.claims, class)
	}
}

// isOurs tells whether a record is attached to our present lease.
func (n *Node) isOurs(r record) bool {
	return r.Node == n.Name && r.Inc == n.Inc && r.Lease == n.lease && n.lease != 0
}

// followClaims makes the claims match the mirror.
func (n *Node) followClaims() {
	for class, c := range n.claims {
		r, ok := n.holders[class]
		if !ok || !n.isOurs(r) || r.version != c.Term || n.mapping[class].Node != n.Name {
			n.log("info", "class given up", "class", class, "term", c.Term)
			delete(n.claims, class)
		}
	}
	if !n.LeaseValid() {
		return
	}
	var handed []string
	for _, class := range slices.Sorted(maps.Keys(n.holders)) {
		r := n.holders[class]
		if !n.isOurs(r) || n.claims[class] != nil {
			continue
		}
		if n.mapping[class].Node != n.Name {
			n.submit(keyOwn+class, wire.Txn{
				Guards: []wire.Guard{{Key: keyOwn + classKey(class), Version: r.version}},
				Then:   []wire.Op{{Remove: keyOwn + classKey(class)}}})
			continue
		}
		// A term that was handed over is never acted on again, whatever came of
		// the transaction: orders of ours may still be carried out under it.
		if n.handingOver[class] == r.version {
			handed = append(handed, class)
			continue
		}
		// A peer that holds our promise, or may hold one of an earlier life
		// of ours, can still be answering the workers.
		if n.now < n.grantedUntil || !n.pastEarlierGrants(class) {
			continue
		}
		n.claims[class] = &Claim{Class: class, Term: r.version, Since: n.now}
		n.log("info", "class taken over", "class", class, "term", r.version)
	}
	n.release(handed)
}

// release writes the successor of classes that were handed over and ends our hold
// of them, in one transaction if it holds them all, so that they stay together.
func (n *Node) release(classes []string) {
	next := n.successor()
	if len(classes) == 0 || next == "" {
		return
	}
	sort.Strings(classes)
	var t wire.Txn
	for _, class := range classes[:min(len(classes), max(1, n.store.MaxWrites()/2))] {
		own, key := keyOwn+classKey(class), keyMap+classKey(class)
		t.Guards = append(t.Guards, wire.Guard{Key: own, Version: n.holders[class].version}, wire.Guard{Key: key, Version: n.mapping[class].version})
		t.Then = append(t.Then, wire.Op{Remove: own}, wire.Op{Key: key, Value: holderRecord{Node: next, HandedOver: true}})
	}
	n.submit("release", t)
}

// Handover gives all classes to another node, for an owner that its workers
// can't reach: it stops acting in this step, and names its successor itself, since
// the leader sees nothing wrong with it. wish is the node that workers reach, or
// empty if none is known.
func (n *Node) Handover(wish string) {
	n.preferredSuccessor = wish
	next := n.successor()
	if next == "" || !n.LeaseValid() {
		return
	}
	for class, c := range n.claims {
		n.log("info", "class handed over", "class", class, "term", c.Term, "to", next)
		n.handingOver[class] = c.Term
	}
	n.dropClaims()
}

// successor is the live node that workers reach, if one is known, else the one that
// follows this one in the order of names.
func (n *Node) successor() string {
	if _, alive := n.nodes[n.preferredSuccessor]; alive && n.preferredSuccessor != n.Name {
		return n.preferredSuccessor
	}
	first, next := "", ""
	for name := range n.nodes {
		if name == n.Name {
			continue
		}
		if first == "" || name < first {
			first = name
		}
		if name > n.Name && (next == "" || name < next) {
			next = name
		}
	}
	if next == "" {
		return first
	}
	return next
}

// pastEarlierGrants tells whether promises given before a restart are over, or
// can't concern the class since its last owner was this node itself.
func (n *Node) pastEarlierGrants(class string) bool {
	return n.now >= n.start+limits.ExtensionLife+2*limits.LeaseMargin || n.lastOwners[class] == n.Name
}

func (n *Node) ownRecord() holderRecord {
	return holderRecord{Node: n.Name, Inc: n.Inc, Lease: n.lease}
}

// submit sends a transaction about a key, unless one was sent just before.
func (n *Node) submit(key string, t wire.Txn) {
	if n.now < n.retryAt[key] {
		return
	}
	n.retryAt[key] = n.now + limits.RetryClaim
	n.store.Txn(statestore.Lease, limits.StoreTimeout, t, func(r statestore.Reply) {
		// The mirror tells the outcome; a refusal may be tried again at once.
		if r.Refused() {
			n.retryAt[key] = n.now + limits.StoreBackoff
		}
	})
}

func (n *Node) announce() {
	if r, ok := n.nodes[n.Name]; !ok || !n.isOurs(r) {
		key := keyNode + classKey(n.Name)
		var v uint64
		if ok {
			v = r.version
		}
		me := n.ownRecord()
		me.Format = n.SupportedFormat
		n.submit(key, wire.Txn{Guards: []wire.Guard{{Key: key, Version: v}}, Then: []wire.Op{{Key: key, Value: me, Lease: n.lease}}})
	}
}

func (n *Node) elect() {
	if n.leader.Node != "" {
		n.retryAt["elect"] = n.now + n.jitter
		return
	}
	if n.now < n.retryAt["elect"] {
		return
	}
	n.submit(keyLeader, wire.Txn{Guards: []wire.Guard{{Key: keyLeader}}, Then: []wire.Op{{Key: keyLeader, Value: n.ownRecord(), Lease: n.lease}}})
}

// remap writes the mapping where it differs from what it should be.
func (n *Node) remap(classes []string, d Demand) {
	alive := map[string]bool{n.Name: true}
	for name := range n.nodes {
		alive[name] = true
	}
	owner := map[string]string{}
	all := append([]string(nil), classes...)
	for c, r := range n.mapping {
		owner[c] = r.Node
		all = append(all, c)
		// After all nodes have ended, the last owner need not wait for promises of
		// earlier lives, and everybody else must: as long as nobody has claimed the
		// class, it is the last owner's again once that is back. Not if that has
		// just handed it over.
		if last := n.lastOwners[c]; alive[last] && !r.HandedOver {
			owner[c] = last
		}
	}
	for c, r := range n.holders {
		owner[c] = r.Node
	}
	want := Assign(RDUCs(d), all, owner, alive, n.Name)
	names := make([]string, 0, len(want))
	for c := range want {
		names = append(names, c)
	}
	sort.Strings(names)
	t := wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}}}
	for _, c := range names {
		if n.mapping[c].Node != want[c] && len(t.Then) < n.store.MaxWrites() {
			key := keyMap + classKey(c)
			t.Guards = append(t.Guards, wire.Guard{Key: key, Version: n.mapping[c].version})
			t.Then = append(t.Then, wire.Op{Key: key, Value: holderRecord{Node: want[c]}})
			n.log("info", "class mapped", "class", c, "owner", want[c], "before", n.mapping[c].Node)
		}
	}
	if len(t.Then) > 0 {
		n.submit("remap", t)
	}
}

// Format is the form of records that every node reads. Before an upgrade is over it is
// that of the version before, so that nobody misreads, or loses in rewriting, what
// another wrote.
func (n *Node) Format() int { return n.format }

// raiseFormat lets the leader write down that every node reads the present format: it
// sees them all, and one that was seen so does not come back older.
func (n *Node) raiseFormat() {
	if n.format >= limits.RecordFormat || n.nodes[n.Name].Format < limits.RecordFormat {
		return
	}
	for _, o := range n.others {
		if n.nodes[o].Format < limits.RecordFormat {
			return
		}
	}
	e, _ := n.store.Mirror.Get(keyFormat)
	n.submit(keyFormat, wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}, {Key: keyFormat, Version: e.Version}},
		Then: []wire.Op{{Key: keyFormat, Value: holderRecord{Format: limits.RecordFormat}}}})
}

// claim asks for the classes that are mapped to us and held by nobody. The last
// owner is written along, for pastOldPromises.
func (n *Node) claim() {
	names := make([]string, 0, len(n.mapping))
	for c := range n.mapping {
		names = append(names, c)
	}
	sort.Strings(names)
	var t wire.Txn
	for _, c := range names {
		m := n.mapping[c]
		if _, held := n.holders[c]; held || m.Node != n.Name || !n.pastEarlierGrants(c) || n.now < n.grantedUntil {
			continue
		}
		if len(t.Then)+2 > n.store.TxnOps {
			break
		}
		key := keyOwn + classKey(c)
		t.Guards = append(t.Guards, wire.Guard{Key: key}, wire.Guard{Key: keyMap + classKey(c), Version: m.version})
		t.Then = append(t.Then, wire.Op{Key: key, Value: n.ownRecord(), Lease: n.lease})
		if n.lastOwners[c] != n.Name {
			t.Then = append(t.Then, wire.Op{Key: keyLast + classKey(c), Value: holderRecord{Node: n.Name}})
		}
	}
	if len(t.Then) > 0 {
		n.submit("claim", t)
	}
}
