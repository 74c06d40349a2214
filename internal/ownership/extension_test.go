package ownership

import (
	"log/slog"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// newTestNode returns the state of a process that started at time 0, with the clock set to now.
func newTestNode(now time.Duration) *Node {
	store := statestore.New(150, 20, 8, 4)
	n := New("node-0", []string{"node-1", "node-2"}, 1, 0, time.Hour, store, func(slog.Level, string, ...any) {})
	n.Advance(now)
	return n
}

// TestEndedClaimRefusesEarlierTerms checks that a peer gets no extension for a term that a later claim has
// replaced, even after the later claim has ended: tasks started under the later term may still be running.
func TestEndedClaimRefusesEarlierTerms(t *testing.T) {
	node := newTestNode(time.Minute)
	node.store.LastFail = time.Minute
	value, err := wire.Encode(nodeRecord{Node: "node-1", Incarnation: 1, Lease: 1})
	if err != nil {
		t.Fatal(err)
	}
	node.Apply(statestore.Change{Key: keyOwner + "small", Entry: statestore.Entry{Value: value, Version: 9}})
	node.Apply(statestore.Change{Key: keyOwner + "small", Removed: true})
	for term, want := range map[uint64]bool{5: false, 9: true, 12: true} {
		if got := node.GrantExtension(node.now, "peer", map[string]uint64{"small": term}); got != want {
			t.Errorf("term %d: GrantExtension returned %v", term, got)
		}
	}
}

// TestUnansweredClaimRefusesEarlierTerms checks a node that has claimed a free class and got no reply. The
// claim may still be executed, so the node must not grant an extension for any earlier term.
func TestUnansweredClaimRefusesEarlierTerms(t *testing.T) {
	node := newTestNode(time.Minute)
	node.store.Mirror.Revision = 11
	node.lease, node.leaseEnd = 1, 2*time.Minute
	node.mapping["small"] = versionedRecord{nodeRecord: nodeRecord{Node: node.Name}, version: 10}
	node.claimClasses()
	node.store.LastFail = node.now
	for term, want := range map[uint64]bool{5: false, 12: true} {
		if got := node.GrantExtension(node.now, "peer", map[string]uint64{"small": term}); got != want {
			t.Errorf("term %d: GrantExtension returned %v", term, got)
		}
	}
}

// TestExtensionRequiresUptimeOverGap checks that an extension counts only if the peer's process has been
// running for the whole time in which the peer could have taken over from this node. An extension that an
// earlier incarnation of the peer granted shortens this time.
func TestExtensionRequiresUptimeOverGap(t *testing.T) {
	const leaseEnd = 60 * time.Second
	for _, testCase := range []struct {
		name            string
		earlierRequest  time.Duration // time of an earlier request, which was granted; 0 if none
		request, uptime time.Duration
		refused, valid  bool
	}{
		{name: "no gap, peer has run for long", request: leaseEnd, uptime: time.Minute, valid: true},
		{name: "after a gap, peer has run for long", request: leaseEnd + 10*time.Second, uptime: time.Minute, valid: true},
		{name: "after a gap, peer started before the gap", request: leaseEnd + 10*time.Second, uptime: 10100 * time.Millisecond, valid: true},
		{name: "after a gap, peer started during the gap", request: leaseEnd + 10*time.Second, uptime: 9900 * time.Millisecond},
		{name: "after a gap, peer's version does not report its uptime", request: leaseEnd + 10*time.Second},
		{name: "no gap, peer's version does not report its uptime", request: leaseEnd - time.Second, valid: true},
		{name: "peer restarted during an extension that it had granted", earlierRequest: leaseEnd + 5*time.Second,
			request: leaseEnd + 8*time.Second, uptime: time.Second, valid: true},
		{name: "peer restarted after the end of an extension that it had granted", earlierRequest: leaseEnd + 5*time.Second,
			request: leaseEnd + 8*time.Second, uptime: 400 * time.Millisecond},
		{name: "peer refuses", request: leaseEnd, uptime: time.Minute, refused: true},
	} {
		node := newTestNode(leaseEnd)
		node.leaseEnd = leaseEnd
		if testCase.earlierRequest > 0 {
			node.Advance(testCase.earlierRequest)
			node.RecordExtension("node-1", testCase.earlierRequest, true, time.Minute)
		}
		node.Advance(testCase.request)
		node.RecordExtension("node-1", testCase.request, !testCase.refused, testCase.uptime)
		if got := node.extensions["node-1"] > node.now; got != testCase.valid {
			t.Errorf("%s: the extension is valid: %v", testCase.name, got)
		}
	}
	if limits.GrantTTL <= limits.ExtensionTTL {
		t.Error("an extension must end later for the peer that granted it than for the node that received it")
	}
}

// TestClaimWaitsForRecordsBeforeItsTerm checks that a node acts on its claim only when the mirror includes
// all records before the claim's term. Later owners rely on this. After a watch is answered with 410, the keys
// are read again in pages: the pages can include the claim but miss a cancellation that was written before
// the claim and after the page for the cancellation's key was read.
func TestClaimWaitsForRecordsBeforeItsTerm(t *testing.T) {
	const term = 20
	node := newTestNode(time.Minute)
	node.lease, node.leaseEnd = 1, 2*time.Minute
	node.mapping["small"] = versionedRecord{nodeRecord: nodeRecord{Node: node.Name}, version: 10}
	node.owners["small"] = versionedRecord{nodeRecord: node.ownRecord(), version: term}
	node.lastOwners["small"] = node.Name
	for _, revision := range []uint64{term - 5, term - 1, term} {
		node.store.Mirror.Revision = revision
		node.reconcileClaims()
		if active, want := node.claims["small"] != nil, revision >= term; active != want {
			t.Errorf("mirror at revision %d: claim is active: %v", revision, active)
		}
	}
}
