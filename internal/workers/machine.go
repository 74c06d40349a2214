package workers

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Machine is the state of one worker's machine, as the owner of its class has recorded it.
type Machine struct {
	ID      string
	Address string
	Class   string
	Zone    string
	Spot    bool

	// Adopted means that a heartbeat of the current incarnation named this owner's term as the
	// highest fencing token that the worker has seen. The task list of that heartbeat is complete,
	// and the worker carries out no more commands of earlier owners.
	Adopted       bool
	Term          uint64        // this owner's term when the machine's last heartbeat was received; 0: none has been received
	Incarnation   uint64        // the worker's incarnation
	Seq           uint64        // sequence number of the newest heartbeat in the incarnation
	LastHeartbeat time.Duration // time of the last accepted heartbeat, including those in replies to direct orders
	LastAnswer    time.Duration // latest possible start of the lease, which restarts with each heartbeat that is answered with 200
	LeaseExpired  bool          // the lease has ended: no task is left on the machine
	Deleting      bool          // the cloud was asked to delete the machine
	Draining      bool          // receives no new tasks
	Faulty        bool          // fails the tasks that it starts
	RecallAt      time.Duration // when the cloud takes the machine away; 0: not announced

	// DirectOrderInFlight means that a direct order to the worker is in flight. Fences are not counted.
	DirectOrderInFlight bool
	// Orders holds the direct orders that launch tasks, by attempt, until it is certain that they
	// have no further effect.
	Orders     map[uint64]*Order
	EndedTasks map[string]bool // tasks with an ended attempt that is not cleared yet

	// A machine whose heartbeats are missing is probed by direct orders.
	NextProbe        time.Duration // earliest time of the next probe
	ProbeIncarnation uint64        // incarnation that the next probe names, if it is higher than Incarnation
	ProbeFailed      bool          // the last probe got no valid reply, and no newer heartbeat has arrived since
	FoundByProbe     bool          // the current incarnation is known only from replies to probes and fences

	// NotFenced means that the last heartbeat was refused, because the worker did not confirm this
	// owner's fencing token in time.
	NotFenced bool

	lastHeartbeatSeq uint64 // sequence number of the last periodic heartbeat; Seq may be that of a reply to a direct order

	Tasks  []wire.TaskStatus // task list of the last Current heartbeat, or of a later reply to a direct order
	Images map[string]bool   // images of the tasks placed here; true once a task with the image ran

	Failures map[string]int // failed tasks since the last success, by job
}

// updateRecall updates RecallAt and Draining from the recall notice in a heartbeat.
func (m *Machine) updateRecall(now time.Duration, heartbeat *wire.Heartbeat) {
	if heartbeat.RecallS != nil {
		recallAt := now + limits.Seconds(*heartbeat.RecallS)
		if m.RecallAt == 0 || recallAt < m.RecallAt {
			m.RecallAt = recallAt
		}
		m.Draining = true
	} else {
		m.RecallAt = 0
	}
}

// Resolved reports whether it is known for certain which tasks the machine has.
func (m *Machine) Resolved() bool { return m.Adopted || m.LeaseExpired }

// Usable reports whether new tasks may be placed on the machine. A machine that only replies to
// probes is not usable, because its tasks end with its lease.
func (m *Machine) Usable(now time.Duration, heartbeatInterval time.Duration) bool {
	return m.Adopted && !m.LeaseExpired && !m.Deleting && !m.Draining && now-m.LastHeartbeat < 3*heartbeatInterval && now-m.LastAnswer < 3*heartbeatInterval
}
