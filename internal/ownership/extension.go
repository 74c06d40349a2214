package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// GrantExtension answers a peer that asks to go on answering its workers for the
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

// NeedsExtension tells whether peers should be asked for promises now.
func (n *Node) NeedsExtension() bool {
	stale := n.now-n.CancellationsKnownThrough() > n.MaxStaleness/2
	if len(n.claims) == 0 || !n.store.Down() && !stale || n.now < n.nextExtensionRequest {
		return false
	}
	n.nextExtensionRequest = n.now + limits.ExtensionInterval
	return true
}

// pastEarlierGrants tells whether promises given before a restart are over, or
// can't concern the class since its last owner was this node itself.
func (n *Node) pastEarlierGrants(class string) bool {
	return n.now >= n.start+limits.ExtensionLife+2*limits.LeaseMargin || n.lastOwners[class] == n.Name
}
