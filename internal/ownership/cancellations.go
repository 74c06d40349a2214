package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// MaxStaleness returns how long an owner may answer workers without new information about confirmed
// cancellations. cancel is the time within which a cancelled task must stop. A worker that is answered
// at the end of the returned time keeps its tasks for one more lease, measured by its own clock.
func MaxStaleness(cancel, lease time.Duration) time.Duration {
	remaining := cancel - time.Duration(float64(lease)*(1+limits.ClockDrift)) - limits.CancelMargin
	return max(time.Duration(float64(remaining)*(1-limits.ClockDrift)), limits.MinStaleness)
}

// CancellationsKnownThrough returns the time up to which this node knows every cancellation that was
// confirmed to a user. It is the latest of three times: that of its own mirror, that of a peer's mirror
// whose cancellations the peer passed on, and the time up to which all peers have reported their own
// confirmed cancellations. A peer that restarted and has not loaded the records since cannot make such
// a report.
func (n *Node) CancellationsKnownThrough() time.Duration {
	allPeers := n.now
	for _, peer := range n.peers {
		allPeers = min(allPeers, n.peerReportedThrough[peer])
	}
	return max(n.store.Mirror.KnownThrough, n.peerKnownThrough, allPeers)
}

// RecordPeerCancellations records a peer's reply to a request sent at sent. complete reports that the
// reply includes all cancellations that the peer itself confirmed. lag is how long before the reply the
// peer's mirror was up to date: the reply includes every node's cancellations up to that time.
func (n *Node) RecordPeerCancellations(peer string, sent time.Duration, complete bool, lag time.Duration) {
	if !complete {
		return
	}
	n.peerReportedThrough[peer] = max(n.peerReportedThrough[peer], sent)
	n.peerKnownThrough = max(n.peerKnownThrough, sent-time.Duration(float64(lag)*(1+limits.ClockDrift)))
}
