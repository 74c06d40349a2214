// Package ownership decides which controller acts for which machine class:
// this node's state lease, the leader's mapping of RDUCs to owners, claims and
// their terms, and the promises that carry an owner over a state outage.
//
// Everything is derived from the mirror: a class is ours once the mirror shows
// our claim, whose version is the term. So a claim whose answer was lost, or
// that was executed late, needs no case of its own.
package ownership

import (
	"log/slog"
	"maps"
	"net/url"
	"slices"
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
	log    func(level slog.Level, msg string, args ...any)
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
	latestTerms  map[string]uint64 // class -> term up to which none holds any more but the holder's
	endingLeases map[uint64]bool   // leases of our earlier incarnations being ended

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
	notFollowedUntil     map[string]time.Duration // up to when peers, as they promised, can't have followed us
	nextExtensionRequest time.Duration

	// What is known of cancellations that users were told: peerCancellationsAt is up to when
	// each peer has told all of its own, peerKnownThrough up to when any peer has told
	// everybody's, and MaxStaleness for how long this node may act without knowing more.
	peerCancellationsAt map[string]time.Duration
	peerKnownThrough    time.Duration
	MaxStaleness        time.Duration
}

// New makes the state of a process. inc is a random number that names the process's life,
// staleness what MaxStaleness returns for the workers' settings.
func New(name string, others []string, inc uint64, start, staleness time.Duration, store *statestore.Store, log func(slog.Level, string, ...any)) *Node {
	return &Node{Name: name, Inc: inc, SupportedFormat: limits.RecordFormat, store: store, others: others, log: log, now: start, start: start,
		nodes: map[string]record{}, mapping: map[string]record{}, holders: map[string]record{}, lastOwners: map[string]string{}, latestTerms: map[string]uint64{},
		endingLeases: map[uint64]bool{}, claims: map[string]*Claim{}, handingOver: map[string]uint64{}, retryAt: map[string]time.Duration{}, extensions: map[string]time.Duration{}, notFollowedUntil: map[string]time.Duration{},
		peerCancellationsAt: map[string]time.Duration{}, MaxStaleness: staleness,
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
			n.log(slog.LevelInfo, "leader changed", "leader", r.Node, "before", n.leader.Node, "term", r.version)
		}
		n.leader = r
	case strings.HasPrefix(c.Key, keyNode):
		put(n.nodes, keyNode)
	case strings.HasPrefix(c.Key, keyMap):
		put(n.mapping, keyMap)
	case strings.HasPrefix(c.Key, keyOwn):
		put(n.holders, keyOwn)
		class := classOf(c.Key, keyOwn)
		n.latestTerms[class] = max(n.latestTerms[class], r.version)
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

// IsLeader tells whether this process is the leader.
func (n *Node) IsLeader() bool {
	return n.leader.Node == n.Name && n.leader.Inc == n.Inc && n.LeaseValid()
}

// Leader names the node that leads, as far as this node knows; empty: none.
func (n *Node) Leader() string { return n.leader.Node }

// Claims lists what this process owns, whether or not it may act right now.
func (n *Node) Claims() map[string]*Claim { return n.claims }

// MayLaunch tells whether an owner may start work and act on its claims. Under
// promises it may as well: what it launches then, on machines and for jobs that
// were recorded before, a successor waits for like any other launch.
func (n *Node) MayLaunch() bool { return n.MayAnswer() }

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

// Terms lists the terms of our claims by class.
func (n *Node) Terms() map[string]uint64 {
	m := map[string]uint64{}
	for c, cl := range n.claims {
		m[c] = cl.Term
	}
	return m
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

func (n *Node) dropClaims() {
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[class]
		n.log(slog.LevelInfo, "class given up", "class", class, "term", c.Term)
		delete(n.claims, class)
	}
}

// followClaims makes the claims match the mirror.
func (n *Node) followClaims() {
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[class]
		r, ok := n.holders[class]
		if !ok || !n.isOurs(r) || r.version != c.Term || n.mapping[class].Node != n.Name {
			n.log(slog.LevelInfo, "class given up", "class", class, "term", c.Term)
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
		// What a successor concludes from a term rests on this: an owner knows of all that was
		// recorded before its term. Guards against a claim that is read, after a 410, in a later
		// page than a cancellation that was written between the two.
		if n.store.Mirror.Revision < r.version {
			continue
		}
		// A peer that holds our promise, or may hold one of an earlier life
		// of ours, can still be answering the workers.
		if n.now < n.grantedUntil || !n.pastEarlierGrants(class) {
			continue
		}
		n.claims[class] = &Claim{Class: class, Term: r.version, Since: n.now}
		n.log(slog.LevelInfo, "class taken over", "class", class, "term", r.version)
	}
	n.release(handed)
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
