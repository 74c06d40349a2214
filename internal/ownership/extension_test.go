package ownership

import (
	"log/slog"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// nodeAt makes the state of a process that began at zero and has come to a time.
func nodeAt(now time.Duration) *Node {
	store := statestore.New(150, 20, 8, 4)
	n := New("node-0", []string{"node-1", "node-2"}, 1, 0, time.Hour, store, func(slog.Level, string, ...any) {})
	n.Advance(now)
	return n
}

// TestEndedClaimIsRemembered: a peer that asks under an earlier term than one that was seen is refused
// also when the later claim has ended, for its tasks may run on.
func TestEndedClaimIsRemembered(t *testing.T) {
	n := nodeAt(time.Minute)
	n.store.LastFail = time.Minute
	value, err := wire.Encode(holderRecord{Node: "node-1", Inc: 1, Lease: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.Apply(statestore.Change{Key: keyOwn + "small", Entry: statestore.Entry{Value: value, Version: 9}})
	n.Apply(statestore.Change{Key: keyOwn + "small", Removed: true})
	for term, want := range map[uint64]bool{5: false, 9: true, 12: true} {
		if got := n.GrantExtension(n.now, map[string]uint64{"small": term}); got != want {
			t.Errorf("term %d: extended %v", term, got)
		}
	}
}

// TestClaimantExtendsNoEarlierTerm: a class was free, and a claim of ours has left without an answer. It
// may still be carried out, so nobody is extended whose claim was over before.
func TestClaimantExtendsNoEarlierTerm(t *testing.T) {
	n := nodeAt(time.Minute)
	n.store.Mirror.Revision = 11
	n.lease, n.leaseEnd = 1, 2*time.Minute
	n.mapping["small"] = record{holderRecord: holderRecord{Node: n.Name}, version: 10}
	n.claim()
	n.store.LastFail = n.now
	for term, want := range map[uint64]bool{5: false, 12: true} {
		if got := n.GrantExtension(n.now, map[string]uint64{"small": term}); got != want {
			t.Errorf("term %d: extended %v", term, got)
		}
	}
}

// TestExtensionsProveNoGap: a promise counts if the peer remembers all the time in which it could have
// followed us, by its uptime, or if its life before kept to a promise until it began.
func TestExtensionsProveNoGap(t *testing.T) {
	const leaseEnd = 60 * time.Second
	for _, c := range []struct {
		name             string
		promised         time.Duration // when an earlier promise was asked for; 0: none
		asked, uptime    time.Duration
		refused, counted bool
	}{
		{name: "at once, peer runs for long", asked: leaseEnd, uptime: time.Minute, counted: true},
		{name: "after a gap, peer runs for long", asked: leaseEnd + 10*time.Second, uptime: time.Minute, counted: true},
		{name: "after a gap, peer began before it", asked: leaseEnd + 10*time.Second, uptime: 10100 * time.Millisecond, counted: true},
		{name: "after a gap, peer began in it", asked: leaseEnd + 10*time.Second, uptime: 9900 * time.Millisecond},
		{name: "after a gap, the peer's version doesn't tell", asked: leaseEnd + 10*time.Second},
		{name: "no gap, the peer's version doesn't tell", asked: leaseEnd - time.Second, counted: true},
		{name: "peer began while its life before kept to a promise", promised: leaseEnd + 5*time.Second,
			asked: leaseEnd + 8*time.Second, uptime: time.Second, counted: true},
		{name: "peer began after the promise of its life before", promised: leaseEnd + 5*time.Second,
			asked: leaseEnd + 8*time.Second, uptime: 400 * time.Millisecond},
		{name: "peer refuses", asked: leaseEnd, uptime: time.Minute, refused: true},
	} {
		n := nodeAt(leaseEnd)
		n.leaseEnd = leaseEnd
		if c.promised > 0 {
			n.Advance(c.promised)
			n.RecordExtension("node-1", c.promised, true, time.Minute)
		}
		n.Advance(c.asked)
		n.RecordExtension("node-1", c.asked, !c.refused, c.uptime)
		if got := n.extensions["node-1"] > n.now; got != c.counted {
			t.Errorf("%s: the promise counts: %v", c.name, got)
		}
	}
	if limits.GrantLife <= limits.ExtensionLife {
		t.Error("a promise ends for the peer before it ends for the asker")
	}
}

// TestClaimIsActedOnOnceAllBeforeItIsKnown: after a 410 the records are read in pages, and a claim of ours
// may stand in a later page than a cancellation that was written between the two. Successors rest on
// an owner knowing of all that was recorded before its term.
func TestClaimIsActedOnOnceAllBeforeItIsKnown(t *testing.T) {
	const term = 20
	n := nodeAt(time.Minute)
	n.lease, n.leaseEnd = 1, 2*time.Minute
	n.mapping["small"] = record{holderRecord: holderRecord{Node: n.Name}, version: 10}
	n.holders["small"] = record{holderRecord: n.ownRecord(), version: term}
	n.lastOwners["small"] = n.Name
	for _, revision := range []uint64{term - 5, term - 1, term} {
		n.store.Mirror.Revision = revision
		n.followClaims()
		if held, want := n.claims["small"] != nil, revision >= term; held != want {
			t.Errorf("records known up to %d: claim acted on %v", revision, held)
		}
	}
}
