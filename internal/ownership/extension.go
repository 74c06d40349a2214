package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// GrantExtension answers a peer that asks to go on answering its workers for the
// given classes and terms: yes if the state service is out of our reach as
// well and nobody is known to have followed that peer. The promise holds from now, and
// speaks for the time since this process began (Uptime), not for an earlier life.
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
	// its successor took over: the successor knows its own claim, also after that ended.
	for class, term := range terms {
		if n.latestTerms[class] > term {
			return false
		}
	}
	until := n.now + limits.GrantLife
	if until > n.grantedUntil {
		n.grantedUntil = until
	}
	return true
}

// Uptime is for how long this process has run, and so how far back its memory reaches.
func (n *Node) Uptime() time.Duration { return n.now - n.start }

// RecordExtension records a peer's answer to a request that left at sent; uptime is that of the
// peer as it answered, 0 if its version doesn't tell.
func (n *Node) RecordExtension(peer string, sent time.Duration, yes bool, uptime time.Duration) {
	if !yes || !n.remembersEnough(peer, uptime) {
		n.extensions[peer] = 0
		return
	}
	n.extensions[peer] = sent + time.Duration(float64(limits.ExtensionLife)*(1-limits.ClockDrift))
	n.notFollowedUntil[peer] = max(n.notFollowedUntil[peer], sent+time.Duration(float64(limits.GrantLife)*(1-limits.ClockDrift)))
}

// remembersEnough tells whether a peer that has run for uptime would know if it had followed us:
// it began before the time up to which it can't have, since our lease was valid, or since the
// peer, in this life or in one before, kept to a promise. Any successor is one of the peers, so if
// each of them speaks for itself without a gap, there is none.
//
// Guards against a successor that ended in an outage and was back without memory: it let the owner
// before it go on, whose tasks it had started elsewhere.
func (n *Node) remembersEnough(peer string, uptime time.Duration) bool {
	began := n.now - time.Duration(float64(uptime)*(1-limits.ClockDrift))
	return began <= max(n.leaseEnd, n.notFollowedUntil[peer])
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
