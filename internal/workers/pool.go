// Package workers follows the workers: their reports, whether what they run is
// known for certain, until when they may hold tasks, and what to tell them.
package workers

import (
	"slices"
	"strings"
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

	reportSeq uint64 // of the last report; Seq may be that of an order's answer

	Tasks  []wire.TaskReport // as last reported
	Images map[string]bool   // images of tasks placed here; true once one of them ran

	Failures map[string]int // failed tasks since the last success, by job
}

// Pool is the slice's state.
type Pool struct {
	Lease    time.Duration
	Report   time.Duration
	Machines map[string]*Machine
	sorted   []*Machine // nil: to be made anew
}

// New makes an empty pool.
func New(leaseS, reportS float64) *Pool {
	return &Pool{
		Lease:    limits.Seconds(leaseS),
		Report:   limits.Seconds(reportS),
		Machines: map[string]*Machine{},
	}
}

// Sorted lists the machines by name, which is creation order: first-fit is
// then the same on every run. The list stays as it is while the caller goes
// through it, even if machines are dropped meanwhile.
func (p *Pool) Sorted() []*Machine {
	if p.sorted == nil {
		p.sorted = make([]*Machine, 0, len(p.Machines))
		for _, m := range p.Machines {
			p.sorted = append(p.sorted, m)
		}
		slices.SortFunc(p.sorted, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
	}
	return p.sorted
}

// Expect enters a machine that is known by other means than its report. What it
// runs is unknown, and since is the latest time at which somebody may have
// answered it.
func (p *Pool) Expect(id, class, zone string, spot bool, since time.Duration) *Machine {
	m := p.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Class: class, Zone: zone, Spot: spot, LastAnswer: since, LastReport: since,
			Images: map[string]bool{}, Failures: map[string]int{},
			Orders: map[uint64]*Order{}, EndedTasks: map[string]bool{}}
		p.Machines[id] = m
		p.sorted = nil
	}
	return m
}

// Drop forgets a machine.
func (p *Pool) Drop(id string) {
	delete(p.Machines, id)
	p.sorted = nil
}

// Verdict tells what a report is worth.
type Verdict int

// Verdicts.
const (
	Stale     Verdict = iota // older than one that was seen: not to be answered with 200
	Deposed                  // it has seen a higher token than ours
	Overtaken                // ours to answer, but its list is older than that of an order's answer
	Unproven                 // ours to answer, but its list proves nothing yet: it has not seen our token
	Current                  // its list is the truth about the machine
)

// String names a verdict for logs.
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

// Receive judges a report for a class that we own with the given term. Only
// Current reports change Tasks.
func (p *Pool) Receive(now time.Duration, r *wire.Report, term uint64, since time.Duration) (*Machine, Verdict) {
	m := p.Expect(r.Machine, r.Type, r.Zone, r.Spot, since)
	if m.Term != term {
		// A new term of ours: everything must be proved again.
		m.Term, m.Adopted, m.Session, m.Seq, m.reportSeq = term, false, 0, 0, 0
	}
	if r.Token > term {
		return m, Deposed
	}
	// Messages may arrive late; (session, seq) orders them.
	if r.Session < m.Session || (r.Session == m.Session && r.Seq <= m.reportSeq) {
		return m, Stale
	}
	if r.Session == m.Session && r.Seq <= m.Seq {
		// Sent before the worker answered an order, and overtaken by that answer:
		// it deserves its own, but its list is old.
		m.reportSeq = r.Seq
		m.LastReport, m.LastAnswer, m.Lost = now, now, false
		return m, Overtaken
	}
	if r.Session != m.Session {
		// Orders of an earlier session are refused from now on.
		clear(m.Orders)
	}
	m.reportSeq = r.Seq
	m.Address, m.Class, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.Session, m.Seq = r.Session, r.Seq
	m.LastReport, m.LastAnswer, m.Lost, m.ProbeFailed, m.FoundByProbe = now, now, false, false, false
	m.recall(now, r)
	if r.Token != term {
		m.Adopted = false
		return m, Unproven
	}
	m.Adopted = true
	m.Tasks = r.Tasks
	return m, Current
}

// ReceiveDirect takes in the report that answers an order; it tells whether it is
// the newest and its list the truth. It does not renew the worker's lease.
func (p *Pool) ReceiveDirect(now time.Duration, m *Machine, r *wire.Report) bool {
	if !m.Adopted || m.Lost || r.Token != m.Term || r.Session != m.Session || r.Seq <= m.Seq {
		return false
	}
	m.Seq, m.LastReport, m.Tasks = r.Seq, now, r.Tasks
	m.recall(now, r)
	return true
}

// ReceiveProbe takes in the report that answers a question under a term of ours. With
// our term as its highest token and the session that was asked, its list is all
// there is, as in Receive; it renews no lease. Otherwise it tells the session to ask
// with. It tells whether the list counts.
func (p *Pool) ReceiveProbe(now time.Duration, m *Machine, r *wire.Report, term, session uint64) bool {
	if r.Token > term || m.Lost {
		return false
	}
	m.ProbeFailed = false
	if r.Token != term || r.Session != session {
		m.ProbeSession, m.NextProbe = r.Session, now
		return false
	}
	if m.Term != term {
		m.Term, m.Adopted, m.Session, m.Seq, m.reportSeq = term, false, 0, 0, 0
	}
	if r.Session < m.Session || (r.Session == m.Session && r.Seq <= m.Seq) {
		return false
	}
	if r.Session != m.Session {
		clear(m.Orders)
		m.reportSeq = 0
		// A session that nobody answered yet may have begun at any time until now, and
		// lasts for a lease. Guards against tasks that ran twice: a worker that reached
		// no controller got them directly in its new session, and the old one's lease
		// was taken for the end of it.
		m.LastAnswer, m.FoundByProbe = now, true
	}
	m.Adopted, m.Session, m.Seq, m.LastReport, m.Tasks = true, r.Session, r.Seq, now, r.Tasks
	m.recall(now, r)
	return true
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

// LeaseEnd is when a machine that was last answered at t holds nothing any more.
func (p *Pool) LeaseEnd(t time.Duration) time.Duration {
	return t + time.Duration(float64(p.Lease)*(1+limits.ClockDrift)) + limits.LeaseMargin
}

// Expired tells whether the machine's lease is certainly over.
func (p *Pool) Expired(m *Machine, now time.Duration) bool { return now > p.LeaseEnd(m.LastAnswer) }

// SilentFor is how long a machine may be silent before it is given up.
func (p *Pool) SilentFor() time.Duration {
	return max(limits.SilentFloor, min(limits.SilentReports*p.Report*5/4, p.Report*5/4+limits.SilentRetry))
}

// Resolved tells whether it is known for certain what the machine holds.
func (m *Machine) Resolved() bool { return m.Adopted || m.Lost }

// Usable tells whether new tasks may be placed on the machine. One that is heard only
// when it is asked loses them with its lease.
func (m *Machine) Usable(now time.Duration, report time.Duration) bool {
	return m.Adopted && !m.Lost && !m.Deleting && !m.Draining && now-m.LastReport < 3*report && now-m.LastAnswer < 3*report
}
