package workers

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Machine is one worker's machine as its owner knows it.
type Machine struct {
	ID      string
	Address string
	Class   string
	Zone    string
	Spot    bool

	// Adopted: a report of the current session showed our term as the highest
	// token, so its task list is all there is, and no older owner's command can
	// be executed any more.
	Adopted    bool
	Term       uint64
	Session    uint64
	Seq        uint64
	LastReport time.Duration // last report that counted
	LastAnswer time.Duration // last report answered with 200: starts the lease anew
	Lost       bool          // its lease is over: nothing is left on it
	Deleting   bool          // the cloud was asked to delete it
	Draining   bool          // gets no new tasks
	Faulty     bool          // fails the tasks that it starts
	Recall     time.Duration // when the cloud takes it away; 0: not announced

	// DirectInFlight: an order sent straight to the worker is under way. Orders are those that
	// launch tasks, by attempt, until it is certain that they do nothing more.
	DirectInFlight bool
	Orders         map[uint64]*Order
	EndedTasks     map[string]bool // tasks with an ended attempt that is not cleared yet

	// Asked directly in its silence: when next, with which session, and whether the
	// last question got no answer.
	NextProbe    time.Duration
	ProbeSession uint64
	ProbeFailed  bool
	FoundByProbe bool // its present session was found by asking, and has sent no report

	// NotFenced: its last report was refused, since it could not be shown our token.
	NotFenced bool

	reportSeq uint64 // of the last report; Seq may be that of an order's answer

	Tasks  []wire.TaskReport // as last reported
	Images map[string]bool   // images of tasks placed here; true once one of them ran

	Failures map[string]int // failed tasks since the last success, by job
}

// recall follows the cloud's notices.
func (m *Machine) recall(now time.Duration, r *wire.Report) {
	if r.RecallS != nil {
		at := now + limits.Seconds(*r.RecallS)
		if m.Recall == 0 || at < m.Recall {
			m.Recall = at
		}
		m.Draining = true
	} else {
		m.Recall = 0
	}
}

// Resolved tells whether it is known for certain what the machine holds.
func (m *Machine) Resolved() bool { return m.Adopted || m.Lost }

// Usable tells whether new tasks may be placed on the machine. One that is heard only
// when it is asked loses them with its lease.
func (m *Machine) Usable(now time.Duration, report time.Duration) bool {
	return m.Adopted && !m.Lost && !m.Deleting && !m.Draining && now-m.LastReport < 3*report && now-m.LastAnswer < 3*report
}
