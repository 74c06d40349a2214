package ownership

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// LeaseValid tells whether our state lease is certainly alive.
func (n *Node) LeaseValid() bool { return n.lease != 0 && n.now < n.leaseEnd }

func (n *Node) keepLease() {
	if n.leaseRequested || n.now < n.nextRenew {
		return
	}
	n.leaseRequested = true
	n.nextRenew = n.now + limits.RenewInterval
	if n.lease == 0 {
		n.store.NewLease(limits.NodeLease, func(r statestore.Reply) {
			n.leaseRequested = false
			var l wire.LeaseReply
			if r.Status == statestore.OK && wire.Decode(r.Body, &l) == nil && l.Lease != 0 {
				n.lease = l.Lease
				n.extendLease(r.SentAt)
			}
		})
		return
	}
	// Guards against a node that the state service hears but that gets no answers:
	// its renewals kept alive a lease under which it dared not act, so nobody did.
	// Once the lease may be over it asks before it renews.
	if n.renewalUnanswered && !n.LeaseValid() {
		n.store.Get(statestore.Lease, limits.StoreTimeout, keyLeader, func(r statestore.Reply) {
			n.leaseRequested = false
			if r.Status == statestore.OK || r.Status == statestore.NotFound {
				n.renewalUnanswered, n.nextRenew = false, 0
			}
		})
		return
	}
	lease := n.lease
	n.store.Renew(lease, func(r statestore.Reply) {
		n.leaseRequested = false
		n.renewalUnanswered = r.Status == statestore.NoAnswer
		if lease != n.lease {
			return
		}
		switch r.Status {
		case statestore.OK:
			n.extendLease(r.SentAt)
		case statestore.NotFound:
			n.log(slog.LevelInfo, "state lease lost", "lease", lease)
			n.lease, n.leaseEnd, n.nextRenew = 0, 0, 0
			n.dropClaims()
		}
	})
}

func (n *Node) extendLease(sent time.Duration) {
	end := sent + time.Duration(float64(limits.NodeLease)*(1-limits.ClockDrift)) - limits.LeaseMargin
	if end > n.leaseEnd {
		n.leaseEnd = end
	}
}

func (n *Node) endLease(lease uint64) {
	n.store.EndLease(lease, func(r statestore.Reply) {
		if r.Status != statestore.OK && r.Status != statestore.NotFound && r.Status != 204 {
			delete(n.endingLeases, lease)
			for _, m := range []map[string]record{n.nodes, n.holders, {"": n.leader}} {
				for _, rec := range m {
					if rec.Lease == lease && !n.endingLeases[lease] {
						n.endingLeases[lease] = true
						n.endLease(lease)
					}
				}
			}
		}
	})
}

// isOurs tells whether a record is attached to our present lease.
func (n *Node) isOurs(r record) bool {
	return r.Node == n.Name && r.Inc == n.Inc && r.Lease == n.lease && n.lease != 0
}
