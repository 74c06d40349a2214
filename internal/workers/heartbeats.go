package workers

import (
	"time"

	"umberpaddle/internal/wire"
)

// Verdict is what a heartbeat proves about its machine, and whether this owner may answer it.
type Verdict int

// Verdicts on a heartbeat. Only with the last three may it be answered with 200.
const (
	Stale     Verdict = iota // not newer than a heartbeat received before: must not be answered with 200
	Deposed                  // the worker has seen a higher fencing token than this owner's
	Overtaken                // may be answered, but its task list is older than that of the reply to a direct order
	Unproven                 // may be answered, but its task list is not reliable yet: the worker has not seen this owner's fencing token
	Current                  // its task list is complete and up to date
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	switch v {
	case Stale:
		return "stale"
	case Deposed:
		return "deposed"
	case Overtaken:
		return "overtaken"
	case Unproven:
		return "unproven"
	}
	return "current"
}

// ReceiveHeartbeat processes a heartbeat of a machine whose class this controller owns with the given
// term, and returns the machine and the verdict. Only a Current heartbeat changes Tasks. The time since
// is the latest at which an earlier owner may have answered a heartbeat of the machine.
func (p *Pool) ReceiveHeartbeat(now time.Duration, heartbeat *wire.Heartbeat, term uint64, since time.Duration) (*Machine, Verdict) {
	machine := p.GetOrAdd(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, since)
	if machine.Term != term {
		// In a new term of this owner, nothing is proved yet.
		machine.Term, machine.Adopted, machine.Incarnation, machine.Seq, machine.lastHeartbeatSeq = term, false, 0, 0, 0
	}
	if heartbeat.FencingToken > term {
		return machine, Deposed
	}
	// Heartbeats may arrive out of order. They were sent in the order of incarnation and sequence
	// number.
	if heartbeat.Incarnation < machine.Incarnation || (heartbeat.Incarnation == machine.Incarnation && heartbeat.Seq <= machine.lastHeartbeatSeq) {
		return machine, Stale
	}
	if heartbeat.Incarnation == machine.Incarnation && heartbeat.Seq <= machine.Seq {
		// The worker sent this heartbeat before its reply to a direct order, but the reply arrived
		// first. The heartbeat still has to be answered, but its task list is out of date.
		machine.lastHeartbeatSeq = heartbeat.Seq
		machine.LastHeartbeat, machine.LastAnswer, machine.LeaseExpired = now, now, false
		return machine, Overtaken
	}
	if heartbeat.Incarnation != machine.Incarnation {
		// The worker now refuses direct orders that name an earlier incarnation.
		clear(machine.Orders)
	}
	machine.lastHeartbeatSeq = heartbeat.Seq
	machine.Address, machine.Class, machine.Zone, machine.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	machine.Incarnation, machine.Seq = heartbeat.Incarnation, heartbeat.Seq
	machine.LastHeartbeat, machine.LastAnswer, machine.LeaseExpired, machine.ProbeFailed, machine.FoundByProbe = now, now, false, false, false
	machine.updateRecall(now, heartbeat)
	if heartbeat.FencingToken != term {
		machine.Adopted = false
		return machine, Unproven
	}
	machine.Adopted = true
	machine.Tasks = heartbeat.Tasks
	return machine, Current
}

// ReceiveOrderReply processes the heartbeat in a worker's reply to a direct order. It reports whether
// the heartbeat is the newest and its task list is complete; only then is the list used. Such a reply
// does not renew the worker's lease.
func (p *Pool) ReceiveOrderReply(now time.Duration, machine *Machine, heartbeat *wire.Heartbeat) bool {
	if !machine.Adopted || machine.LeaseExpired || heartbeat.FencingToken != machine.Term || heartbeat.Incarnation != machine.Incarnation || heartbeat.Seq <= machine.Seq {
		return false
	}
	machine.Seq, machine.LastHeartbeat, machine.Tasks = heartbeat.Seq, now, heartbeat.Tasks
	machine.updateRecall(now, heartbeat)
	return true
}

// ReceiveProbeReply processes the heartbeat in a worker's reply to a probe or a fence, a direct order
// that named the given term of this owner and the given incarnation. It reports whether the task
// list is complete and used, like the list in a Current heartbeat. This requires that term is the highest
// fencing token that the worker has seen, that the incarnation is the worker's, and that the
// heartbeat is the newest. If the worker has not seen the token or has another incarnation, the next
// probe is due at once and names the worker's incarnation. Such a reply does not renew the worker's
// lease.
func (p *Pool) ReceiveProbeReply(now time.Duration, machine *Machine, heartbeat *wire.Heartbeat, term, incarnation uint64) bool {
	if heartbeat.FencingToken > term || machine.LeaseExpired {
		return false
	}
	machine.ProbeFailed = false
	if heartbeat.FencingToken != term || heartbeat.Incarnation != incarnation {
		machine.ProbeIncarnation, machine.NextProbe = heartbeat.Incarnation, now
		return false
	}
	if machine.Term != term {
		machine.Term, machine.Adopted, machine.Incarnation, machine.Seq, machine.lastHeartbeatSeq = term, false, 0, 0, 0
	}
	if heartbeat.Incarnation < machine.Incarnation || (heartbeat.Incarnation == machine.Incarnation && heartbeat.Seq <= machine.Seq) {
		return false
	}
	if heartbeat.Incarnation != machine.Incarnation {
		clear(machine.Orders)
		machine.lastHeartbeatSeq = 0
		// An incarnation of which no heartbeat has been answered may have begun at any time up to now,
		// and it lasts for one lease, so the lease is counted from now. Otherwise tasks could run twice:
		// a worker that reaches no controller would get tasks by direct orders in its new incarnation,
		// and the end of the previous incarnation's lease would be taken for the end of these tasks.
		machine.LastAnswer, machine.FoundByProbe = now, true
	}
	machine.Adopted, machine.Incarnation, machine.Seq, machine.LastHeartbeat, machine.Tasks = true, heartbeat.Incarnation, heartbeat.Seq, now, heartbeat.Tasks
	machine.updateRecall(now, heartbeat)
	return true
}
