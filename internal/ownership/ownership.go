// Package ownership decides which node, that is, which controller, acts for which machine class. A class
// is a machine type of the cloud. The package keeps this node's lease at the state service, elects a
// leader, which maps groups of machine classes (RDUCs, see the function of that name) to owners, claims
// classes and tracks the terms of the claims. During an outage of the state service, an owner continues
// under extensions: each peer permits it to continue and takes over no class meanwhile.
//
// All ownership is derived from the mirror of the state service: this node owns a class once the
// mirror shows its claim, and the version of the claim is the term. A claim that got no reply or was
// executed late therefore needs no special handling.
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

// Keys under the mirror's root. The leader and the record format have one key each. Node keys and read
// keys end in a node's name, the other keys in a class.
const (
	keyLeader    = statestore.Root + "leader"
	keyNode      = statestore.Root + "n/"
	keyMapping   = statestore.Root + "map/"
	keyOwner     = statestore.Root + "own/"
	keyLastOwner = statestore.Root + "last/"
	keyFormat    = statestore.Root + "format"
	keyRead      = statestore.Root + "k/"
)

// nodeRecord is the value of all ownership keys. Each key uses only some of the fields.
type nodeRecord struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	Lease       uint64 `msgpack:"l,omitempty"`
	// HandedOver marks a mapping that the previous owner wrote itself, in a handover.
	HandedOver bool `msgpack:"h,omitempty"`
	// Format is, under a node key, the newest record format that the node's version reads. Under
	// keyFormat it is a format that all nodes could read when it was recorded.
	Format int `msgpack:"f,omitempty"`
	// ReadThrough is, under a read key, the revision up to which the node's mirror contains all changes.
	ReadThrough uint64 `msgpack:"r,omitempty"`
}

// versionedRecord is a nodeRecord with the version of its key at the state service.
type versionedRecord struct {
	nodeRecord
	version uint64
}

// Claim is a class that this process owns.
type Claim struct {
	Class string
	Term  uint64
	Since time.Duration // when this process began to act on the claim
}

// Node holds the ownership state of this process and the ownership records that it has read.
type Node struct {
	Name        string
	Incarnation uint64
	// SupportedFormat is the newest record format that this process reads, as its node record states.
	SupportedFormat int

	store *statestore.Store
	peers []string
	log   func(level slog.Level, msg string, args ...any)
	now   time.Duration
	start time.Duration

	lease          uint64
	leaseEnd       time.Duration
	leaseRequested bool
	nextRenewal    time.Duration

	recordFormat int // newest record format that may be written
	leader       versionedRecord
	nodes        map[string]versionedRecord // by node
	mapping      map[string]versionedRecord // class -> node that should own it
	owners       map[string]versionedRecord // class -> node whose claim is recorded
	lastOwners   map[string]string          // class -> node
	// publishedReads holds the records of the nodes that published how far they have read, by node.
	publishedReads map[string]versionedRecord
	latestTerms    map[string]uint64 // class -> revision up to which every term is over, except the current owner's
	endingLeases   map[uint64]bool   // leases of earlier incarnations of this node that are being ended

	claims      map[string]*Claim
	handingOver map[string]uint64 // class -> term that is being handed over
	// renewalUnanswered is set if the last lease renewal got no reply and may have been executed.
	renewalUnanswered  bool
	preferredSuccessor string                   // node that should take over after a handover
	retryAt            map[string]time.Duration // key -> earliest time of the next attempt
	nextRemap          time.Duration
	electionJitter     time.Duration

	grants               map[string]time.Duration // peer -> end of the extension that this node granted to it; until then this node claims nothing
	extensions           map[string]time.Duration // peer -> end of the extension that it granted
	noTakeoverUntil      map[string]time.Duration // peer -> time until which the peer, by its extensions, cannot have taken over
	nextExtensionRequest time.Duration

	// peerReportedThrough is, for each peer, the time up to which it has reported all cancellations
	// that it confirmed itself.
	peerReportedThrough map[string]time.Duration
	// peerKnownThrough is the latest time up to which some peer has reported the cancellations
	// confirmed by all nodes.
	peerKnownThrough time.Duration
	// MaxStaleness is how far CancellationsKnownThrough may lag before this node must stop answering
	// workers.
	MaxStaleness time.Duration
}

// New returns the state of a process. incarnation is a random number that identifies this incarnation of
// the node; staleness is the result of MaxStaleness for the workers' settings.
func New(name string, peers []string, incarnation uint64, start, staleness time.Duration, store *statestore.Store, log func(slog.Level, string, ...any)) *Node {
	return &Node{
		Name:                name,
		Incarnation:         incarnation,
		SupportedFormat:     limits.RecordFormat,
		store:               store,
		peers:               peers,
		log:                 log,
		now:                 start,
		start:               start,
		nodes:               map[string]versionedRecord{},
		mapping:             map[string]versionedRecord{},
		owners:              map[string]versionedRecord{},
		lastOwners:          map[string]string{},
		publishedReads:      map[string]versionedRecord{},
		latestTerms:         map[string]uint64{},
		endingLeases:        map[uint64]bool{},
		claims:              map[string]*Claim{},
		handingOver:         map[string]uint64{},
		retryAt:             map[string]time.Duration{},
		extensions:          map[string]time.Duration{},
		grants:              map[string]time.Duration{},
		noTakeoverUntil:     map[string]time.Duration{},
		peerReportedThrough: map[string]time.Duration{},
		MaxStaleness:        staleness,
		electionJitter:      time.Duration(incarnation % uint64(limits.ElectionJitter)),
	}
}

func keySegment(name string) string { return url.PathEscape(name) }

func nameFromKey(key, prefix string) string {
	name, err := url.PathUnescape(strings.TrimPrefix(key, prefix))
	if err != nil {
		return ""
	}
	return name
}

// Apply updates the node from a change of the mirror.
func (n *Node) Apply(change statestore.Change) {
	var rec versionedRecord
	if !change.Removed {
		if err := wire.Decode(change.Entry.Value, &rec.nodeRecord); err != nil {
			return
		}
		rec.version = change.Entry.Version
	}
	update := func(records map[string]versionedRecord, prefix string) {
		name := nameFromKey(change.Key, prefix)
		if change.Removed {
			delete(records, name)
		} else {
			records[name] = rec
		}
	}
	switch {
	case change.Key == keyFormat:
		n.recordFormat = max(n.recordFormat, rec.Format)
	case change.Key == keyLeader:
		if rec.Node != n.leader.Node || rec.Incarnation != n.leader.Incarnation {
			n.log(slog.LevelInfo, "leader changed", "leader", rec.Node, "before", n.leader.Node, "term", rec.version)
		}
		n.leader = rec
	case strings.HasPrefix(change.Key, keyNode):
		update(n.nodes, keyNode)
	case strings.HasPrefix(change.Key, keyMapping):
		update(n.mapping, keyMapping)
	case strings.HasPrefix(change.Key, keyOwner):
		update(n.owners, keyOwner)
		class := nameFromKey(change.Key, keyOwner)
		n.latestTerms[class] = max(n.latestTerms[class], rec.version)
	case strings.HasPrefix(change.Key, keyRead):
		update(n.publishedReads, keyRead)
	case strings.HasPrefix(change.Key, keyLastOwner):
		if !change.Removed {
			n.lastOwners[nameFromKey(change.Key, keyLastOwner)] = rec.Node
		}
	default:
		return
	}
	// The record is of an earlier incarnation of this node. That process has certainly ended, so
	// its lease can be ended at once instead of waiting for its expiry.
	if rec.Node == n.Name && rec.Incarnation != n.Incarnation && rec.Lease != 0 && !n.endingLeases[rec.Lease] {
		n.endingLeases[rec.Lease] = true
		n.endLease(rec.Lease)
	}
}

// IsLeader reports whether this process is the leader.
func (n *Node) IsLeader() bool {
	return n.leader.Node == n.Name && n.leader.Incarnation == n.Incarnation && n.LeaseValid()
}

// Leader returns the name of the leader that the mirror shows, or "" if there is none.
func (n *Node) Leader() string { return n.leader.Node }

// Claims returns the classes that this process owns, whether or not it may act on them right now.
func (n *Node) Claims() map[string]*Claim { return n.claims }

// MayLaunch reports whether an owner may start work and act on its claims. Extensions are
// enough: the machines and jobs were recorded before the outage, so a successor also waits for the tasks
// that are launched during the outage.
func (n *Node) MayLaunch() bool { return n.MayAnswer() }

// MayAnswer reports whether an owner may answer its workers. Its information about cancelled jobs
// must be recent enough, and either its lease is valid or every peer has granted it an extension.
func (n *Node) MayAnswer() bool {
	// Without this check, an owner could keep cancelled tasks running as follows: the state service
	// refuses the requests of only this owner, while a peer confirms cancellations. When the service
	// then fails for all nodes, the owner gets extensions and continues without these cancellations.
	if n.now >= n.CancellationsKnownThrough()+n.MaxStaleness {
		return false
	}
	if n.LeaseValid() {
		return true
	}
	if n.lease == 0 {
		return false
	}
	for _, peer := range n.peers {
		if n.now+limits.LeaseMargin >= n.extensions[peer] {
			return false
		}
	}
	return true
}

// AnswerDeadline returns the time until which an owner that may answer its workers now may go on
// answering them. A renewal of the lease or of the extensions makes this time later.
func (n *Node) AnswerDeadline() time.Duration {
	staleAt := n.CancellationsKnownThrough() + n.MaxStaleness
	if n.LeaseValid() {
		return min(n.leaseEnd, staleAt)
	}
	deadline := min(n.now+limits.ExtensionTTL, staleAt)
	for _, peer := range n.peers {
		deadline = min(deadline, n.extensions[peer]-limits.LeaseMargin)
	}
	return deadline
}

// Owner returns the node to which workers of a class should send heartbeats, or "" if there is none. It is
// the node whose claim to the class is recorded, else the live node to which the class is mapped.
func (n *Node) Owner(class string) string {
	if rec, ok := n.owners[class]; ok {
		return rec.Node
	}
	if mappedRecord, ok := n.mapping[class]; ok {
		if _, alive := n.nodes[mappedRecord.Node]; alive {
			return mappedRecord.Node
		}
	}
	return ""
}

// Owners returns the set of nodes that own classes.
func (n *Node) Owners() map[string]bool {
	owners := map[string]bool{}
	for _, rec := range n.owners {
		owners[rec.Node] = true
	}
	return owners
}

// OwnsClasses reports whether a node owns any class.
func (n *Node) OwnsClasses(node string) bool {
	for _, rec := range n.owners {
		if rec.Node == node {
			return true
		}
	}
	return false
}

// OwnerGuard returns the condition that every write by the owner of class carries. Its version is 0 if
// this process does not own the class.
func (n *Node) OwnerGuard(class string) wire.Guard {
	var term uint64
	if claim := n.claims[class]; claim != nil {
		term = claim.Term
	}
	return wire.Guard{Key: keyOwner + keySegment(class), Version: term}
}

// Terms returns the terms of this process's claims by class.
func (n *Node) Terms() map[string]uint64 {
	terms := map[string]uint64{}
	for class, claim := range n.claims {
		terms[class] = claim.Term
	}
	return terms
}

// Advance sets the current time without triggering any work.
func (n *Node) Advance(now time.Duration) { n.now = max(n.now, now) }

// Tick sets the current time and does the work that is due. classes are the known machine classes;
// demand returns the classes that unfinished jobs may use, by team.
func (n *Node) Tick(now time.Duration, classes []string, demand func() Demand) {
	if now > n.now {
		n.now = now
	}
	if !n.store.Mirror.Loaded {
		return
	}
	n.keepLease()
	n.reconcileClaims()
	if !n.LeaseValid() {
		return
	}
	n.registerNode()
	n.claimLeadership()
	if n.IsLeader() && n.now >= n.nextRemap && len(classes) > 0 {
		n.nextRemap = n.now + limits.RemapInterval
		n.remapClasses(classes, demand())
		n.raiseFormat()
	}
	n.claimClasses()
}

func (n *Node) dropClaims() {
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		claim := n.claims[class]
		n.log(slog.LevelInfo, "class given up", "class", class, "term", claim.Term)
		delete(n.claims, class)
	}
}

// reconcileClaims updates the claims to match the mirror. It also releases classes that this node
// owns but that are mapped to another node or being handed over.
func (n *Node) reconcileClaims() {
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		claim := n.claims[class]
		rec, ok := n.owners[class]
		if !ok || !n.isOwnRecord(rec) || rec.version != claim.Term || n.mapping[class].Node != n.Name {
			n.log(slog.LevelInfo, "class given up", "class", class, "term", claim.Term)
			delete(n.claims, class)
		}
	}
	if !n.LeaseValid() {
		return
	}
	var handedOverClasses []string
	for _, class := range slices.Sorted(maps.Keys(n.owners)) {
		rec := n.owners[class]
		if !n.isOwnRecord(rec) || n.claims[class] != nil {
			continue
		}
		if n.mapping[class].Node != n.Name {
			n.submit(keyOwner+class, wire.Txn{
				Guards: []wire.Guard{{Key: keyOwner + keySegment(class), Version: rec.version}},
				Then:   []wire.Op{{Remove: keyOwner + keySegment(class)}}})
			continue
		}
		// Once this node has begun to hand a class over, it never acts again under the term of that
		// claim, even if the handover's transaction fails: orders that it sent under the term may still
		// be carried out.
		if n.handingOver[class] == rec.version {
			handedOverClasses = append(handedOverClasses, class)
			continue
		}
		// Successors rely on an owner having read everything that was recorded before its term.
		// After a watch is answered with 410, the keys are read again in pages. Without this check,
		// the pages could include the claim but miss a cancellation that was written before the
		// claim and after the page for the cancellation's key was read.
		if n.store.Mirror.Revision < rec.version {
			continue
		}
		// A peer to which this node, or an earlier incarnation of it, granted an extension may
		// still be answering the workers.
		if !n.EarlierOwnersStopped(class, "") {
			continue
		}
		n.claims[class] = &Claim{Class: class, Term: rec.version, Since: n.now}
		n.log(slog.LevelInfo, "class taken over", "class", class, "term", rec.version)
	}
	n.releaseClasses(handedOverClasses)
}

func (n *Node) ownRecord() nodeRecord {
	return nodeRecord{Node: n.Name, Incarnation: n.Incarnation, Lease: n.lease}
}

// submit queues a transaction unless the retry delay for key is still running.
func (n *Node) submit(key string, txn wire.Txn) {
	if n.now < n.retryAt[key] {
		return
	}
	n.retryAt[key] = n.now + limits.ClaimRetryInterval
	n.store.Txn(statestore.PriorityLease, limits.StoreTimeout, txn, func(reply statestore.Reply) {
		// The mirror shows the outcome. A refused transaction was not executed, so it may be
		// retried after the shorter backoff.
		if reply.Refused() {
			n.retryAt[key] = n.now + limits.StoreBackoff
		}
	})
}
