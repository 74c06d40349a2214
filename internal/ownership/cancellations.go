package ownership

import (
	"time"

	"umberpaddle/internal/limits"
)

// MaxStaleness is for how long an owner may answer workers without knowing of the
// cancellations that users were told. A worker that it answers at the end of that
// time keeps its tasks for one lease more, by its own clock.
func MaxStaleness(cancel, lease time.Duration) time.Duration {
	left := cancel - time.Duration(float64(lease)*(1+limits.ClockDrift)) - limits.CancelMargin
	return max(time.Duration(float64(left)*(1-limits.ClockDrift)), limits.MinStaleness)
}

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
