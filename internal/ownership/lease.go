package ownership

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// LeaseValid reports whether this node's lease at the state service is certainly still valid.
func (n *Node) LeaseValid() bool { return n.lease != 0 && n.now < n.leaseEnd }

// keepLease obtains a lease if this node has none, and renews it when a renewal is due.
func (n *Node) keepLease() {
	if n.leaseRequested || n.now < n.nextRenewal {
		return
	}
	n.leaseRequested = true
	n.nextRenewal = n.now + limits.RenewInterval
	if n.lease == 0 {
		n.store.NewLease(limits.NodeLease, func(reply statestore.Reply) {
			n.leaseRequested = false
			var body wire.LeaseReply
			if reply.Status == statestore.OK && wire.Decode(reply.Body, &body) == nil && body.Lease != 0 {
				n.lease = body.Lease
				n.extendLease(reply.SentAt)
			}
		})
		return
	}
	// If the lease may have expired after an unanswered renewal, the node first checks with a read
	// that replies arrive. Without this check, a node whose requests reach the state service but
	// which gets no replies would keep alive a lease under which it may not act, and no other node
	// could take over.
	if n.renewalUnanswered && !n.LeaseValid() {
		n.store.Get(statestore.PriorityLease, limits.StoreTimeout, keyLeader, func(reply statestore.Reply) {
			n.leaseRequested = false
			if reply.Status == statestore.OK || reply.Status == statestore.NotFound {
				n.renewalUnanswered, n.nextRenewal = false, 0
			}
		})
		return
	}
	lease := n.lease
	n.store.Renew(lease, func(reply statestore.Reply) {
		n.leaseRequested = false
		n.renewalUnanswered = reply.Status == statestore.NoAnswer
		if lease != n.lease {
			return
		}
		switch reply.Status {
		case statestore.OK:
			n.extendLease(reply.SentAt)
		case statestore.NotFound:
			n.log(slog.LevelInfo, "state lease lost", "lease", lease)
			n.lease, n.leaseEnd, n.nextRenewal = 0, 0, 0
			n.dropClaims()
		}
	})
}

// extendLease sets the end of the lease. The lease is counted from the time at which the request was
// sent, less the allowed clock drift and a margin.
func (n *Node) extendLease(sentAt time.Duration) {
	end := sentAt + time.Duration(float64(limits.NodeLease)*(1-limits.ClockDrift)) - limits.LeaseMargin
	if end > n.leaseEnd {
		n.leaseEnd = end
	}
}

// endLease ends a lease of an earlier incarnation of this node. If that fails, it retries as long as
// the mirror shows a record under the lease.
func (n *Node) endLease(lease uint64) {
	n.store.RevokeLease(lease, func(reply statestore.Reply) {
		if reply.Status != statestore.OK && reply.Status != statestore.NotFound && reply.Status != 204 {
			delete(n.endingLeases, lease)
			for _, records := range []map[string]versionedRecord{n.nodes, n.owners, {"": n.leader}} {
				for _, rec := range records {
					if rec.Lease == lease && !n.endingLeases[lease] {
						n.endingLeases[lease] = true
						n.endLease(lease)
					}
				}
			}
		}
	})
}

// isOwnRecord reports whether a record is attached to this process's present lease.
func (n *Node) isOwnRecord(rec versionedRecord) bool {
	return rec.Node == n.Name && rec.Incarnation == n.Incarnation && rec.Lease == n.lease && n.lease != 0
}
