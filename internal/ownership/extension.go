package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// GrantExtension reports whether this node grants a peer an extension, with which the peer may continue
// to answer its workers for the given classes and terms. The node grants the extension if it cannot
// reach the state service either and has no record of a later term of these classes. After a grant, the
// node takes over no class for limits.GrantTTL. The node has no record of terms from before its process
// began, so the peer also checks the node's Uptime.
func (n *Node) GrantExtension(now time.Duration, peer string, terms map[string]uint64) bool {
	if now > n.now {
		n.now = now
	}
	if !n.store.Mirror.Loaded {
		// Before the mirror is loaded, this node takes over no class, so an extension that it grants
		// cannot conflict with a takeover of its own. But until one of its requests has failed, it has
		// no evidence that the state service is down for all nodes.
		if n.store.LastFail == 0 {
			return false
		}
	}
	if !n.store.Down() {
		return false
	}
	// Without this check, a deposed owner could get an extension in an outage that began after its
	// successor took over. latestTerms of the successor contains the later term even after the
	// successor's claim has ended.
	for class, term := range terms {
		if n.latestTerms[class] > term {
			return false
		}
	}
	n.grants[peer] = n.now + limits.GrantTTL
	return true
}

// Uptime returns how long this process has been running, and so how far back its record of terms
// reaches.
func (n *Node) Uptime() time.Duration { return n.now - n.start }

// RecordExtension records a peer's reply to an extension request. sentAt is when the request was
// sent. uptime is the peer's uptime when it replied, or 0 if the peer's version does not report it.
func (n *Node) RecordExtension(peer string, sentAt time.Duration, granted bool, uptime time.Duration) {
	if !granted || !n.uptimeCoversGap(peer, uptime) {
		n.extensions[peer] = 0
		return
	}
	n.extensions[peer] = sentAt + time.Duration(float64(limits.ExtensionTTL)*(1-limits.ClockDrift))
	n.noTakeoverUntil[peer] = max(n.noTakeoverUntil[peer], sentAt+time.Duration(float64(limits.GrantTTL)*(1-limits.ClockDrift)))
}

// uptimeCoversGap reports whether a peer with the given uptime would have a record of a takeover from
// this node. The peer cannot have taken over while this node's lease was valid, or while the peer was
// bound by an extension that it had granted, in this incarnation or an earlier one. The peer's process
// must have begun before the later of these times ended. Any successor is one of the peers, so if every
// peer meets this condition and grants an extension, there is no successor.
//
// Without this check, a successor that restarted during an outage, and so lost its record of the
// takeover, would let the previous owner continue, although the successor had already started that
// owner's tasks elsewhere.
func (n *Node) uptimeCoversGap(peer string, uptime time.Duration) bool {
	began := n.now - time.Duration(float64(uptime)*(1-limits.ClockDrift))
	return began <= max(n.leaseEnd, n.noTakeoverUntil[peer])
}

// NeedsExtension reports whether an owner should ask the peers for extensions now: the state
// service is down, or half of MaxStaleness has passed without new information about cancellations.
// When it returns true, it also delays the next request by limits.ExtensionInterval.
func (n *Node) NeedsExtension() bool {
	stale := n.now-n.CancellationsKnownThrough() > n.MaxStaleness/2
	if len(n.claims) == 0 || !n.store.Down() && !stale || n.now < n.nextExtensionRequest {
		return false
	}
	n.nextExtensionRequest = n.now + limits.ExtensionInterval
	return true
}

// earlierGrantsEnded reports whether all extensions granted by earlier incarnations of this node have
// ended, or cannot concern the class because this node was the last owner of the class.
func (n *Node) earlierGrantsEnded(class string) bool {
	return n.now >= n.start+limits.ExtensionTTL+2*limits.LeaseMargin || n.lastOwners[class] == n.Name
}
