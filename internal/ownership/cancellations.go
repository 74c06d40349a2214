package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// MaxStaleness returns how long an owner may answer workers without new information about confirmed
// cancellations. cancel is the time after the confirmation within which a cancelled task must stop. A
// worker that is answered at the end of the returned time keeps its tasks for one more lease, measured
// by the worker's clock.
func MaxStaleness(cancel, lease time.Duration) time.Duration {
	remaining := cancel - time.Duration(float64(lease)*(1+limits.ClockDrift)) - limits.CancelMargin
	return max(time.Duration(float64(remaining)*(1-limits.ClockDrift)), limits.MinStaleness)
}

// CancellationsKnownThrough returns the time up to which this node knows every cancellation that was
// confirmed to a user. It is the latest of three times: the time up to which its own mirror is complete,
// the time up to which a peer's mirror was complete when the peer passed its cancellations on, and the
// time up to which every peer has reported the cancellations that it confirmed itself. A peer that
// restarted and has not loaded the records since cannot report these completely.
func (n *Node) CancellationsKnownThrough() time.Duration {
	allPeers := n.now
	for _, peer := range n.peers {
		allPeers = min(allPeers, n.peerReportedThrough[peer])
	}
	return max(n.store.Mirror.KnownThrough, n.peerKnownThrough, allPeers)
}

// RecordPeerCancellations records a peer's reply to a request. sentAt is when the request was sent.
// complete reports whether the reply includes all cancellations that the peer itself confirmed. lag is
// the age of the peer's mirror at the time of the reply: the reply also includes all cancellations that
// any node confirmed up to lag before the reply.
func (n *Node) RecordPeerCancellations(peer string, sentAt time.Duration, complete bool, lag time.Duration) {
	if !complete {
		return
	}
	n.peerReportedThrough[peer] = max(n.peerReportedThrough[peer], sentAt)
	n.peerKnownThrough = max(n.peerKnownThrough, sentAt-time.Duration(float64(lag)*(1+limits.ClockDrift)))
}
