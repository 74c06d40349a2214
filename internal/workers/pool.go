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
	Adopted  bool
	Term     uint64
	Session  uint64
	Seq      uint64
	Heard    time.Duration // last report that counted
	Answered time.Duration // last report answered with 200: starts the lease anew
	Lost     bool          // its lease is over: nothing is left on it
	Deleting bool          // the cloud was asked to delete it
	Draining bool          // gets no new tasks
	Faulty   bool          // fails the tasks that it starts
	Recall   time.Duration // when the cloud takes it away; 0: not announced

	// Orders sent straight to the worker: one is under way; which attempts were
	// launched so, and when; which of these may still be carried out.
	Ordered bool
	Direct  map[uint64]time.Duration
	Unsure  map[uint64]bool
	Held    map[string]bool // tasks with an ended attempt that is not cleared yet

	// Asked directly in its silence: when next, with which session, and whether the
	// last question got no answer.
	AskAt      time.Duration
	AskSession uint64
	Mute       bool
	Asked      bool // its present session was found by asking, and has sent no report

	reportSeq uint64 // of the last report; Seq may be that of an order's answer

	Tasks  []wire.TaskReport // as last reported
	Images map[string]bool   // images of tasks placed here; true once one of them ran

	Struck map[string]int // failed tasks since the last success, by job
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
		m = &Machine{ID: id, Class: class, Zone: zone, Spot: spot, Answered: since, Heard: since,
			Images: map[string]bool{}, Struck: map[string]int{},
			Direct: map[uint64]time.Duration{}, Unsure: map[uint64]bool{}, Held: map[string]bool{}}
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
	Stale   Verdict = iota // older than one that was seen: not to be answered with 200
	Deposed                // it has seen a higher token than ours
	Strange                // ours to answer, but its list proves nothing yet
	Current                // its list is the truth about the machine
)

// Hear judges a report for a class that we own with the given term. Only
// Current reports change Tasks.
func (p *Pool) Hear(now time.Duration, r *wire.Report, term uint64, since time.Duration) (*Machine, Verdict) {
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
		m.Heard, m.Answered, m.Lost = now, now, false
		return m, Strange
	}
	if r.Session != m.Session {
		// Orders of an earlier session are refused from now on.
		clear(m.Direct)
		clear(m.Unsure)
	}
	m.reportSeq = r.Seq
	m.Address, m.Class, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.Session, m.Seq = r.Session, r.Seq
	m.Heard, m.Answered, m.Lost, m.Mute, m.Asked = now, now, false, false, false
	m.recall(now, r)
	if r.Token != term {
		m.Adopted = false
		return m, Strange
	}
	m.Adopted = true
	m.Tasks = r.Tasks
	return m, Current
}

// HearDirect takes in the report that answers an order; it tells whether it is
// the newest and its list the truth. It does not renew the worker's lease.
func (p *Pool) HearDirect(now time.Duration, m *Machine, r *wire.Report) bool {
	if !m.Adopted || m.Lost || r.Token != m.Term || r.Session != m.Session || r.Seq <= m.Seq {
		return false
	}
	m.Seq, m.Heard, m.Tasks = r.Seq, now, r.Tasks
	m.recall(now, r)
	return true
}

// HearAsked takes in the report that answers a question under a term of ours. With
// our term as its highest token and the session that was asked, its list is all
// there is, as in Hear; it renews no lease. Otherwise it tells the session to ask
// with. It tells whether the list counts.
func (p *Pool) HearAsked(now time.Duration, m *Machine, r *wire.Report, term, session uint64) bool {
	if r.Token > term || m.Lost {
		return false
	}
	m.Mute = false
	if r.Token != term || r.Session != session {
		m.AskSession, m.AskAt = r.Session, now
		return false
	}
	if m.Term != term {
		m.Term, m.Adopted, m.Session, m.Seq, m.reportSeq = term, false, 0, 0, 0
	}
	if r.Session < m.Session || (r.Session == m.Session && r.Seq <= m.Seq) {
		return false
	}
	if r.Session != m.Session {
		clear(m.Direct)
		clear(m.Unsure)
		m.reportSeq = 0
		// A session that nobody answered yet may have begun at any time until now, and
		// lasts for a lease. Guards against tasks that ran twice: a worker that reached
		// no controller got them directly in its new session, and the old one's lease
		// was taken for the end of it.
		m.Answered, m.Asked = now, true
	}
	m.Adopted, m.Session, m.Seq, m.Heard, m.Tasks = true, r.Session, r.Seq, now, r.Tasks
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

// Bound is when a machine that was last answered at t holds nothing any more.
func (p *Pool) Bound(t time.Duration) time.Duration {
	return t + time.Duration(float64(p.Lease)*(1+limits.ClockDrift)) + limits.LeaseMargin
}

// Expired tells whether the machine's lease is certainly over.
func (p *Pool) Expired(m *Machine, now time.Duration) bool { return now > p.Bound(m.Answered) }

// SilentFor is how long a machine may be silent before it is given up.
func (p *Pool) SilentFor() time.Duration {
	return max(limits.SilentFloor, min(limits.SilentReports*p.Report*5/4, p.Report*5/4+limits.SilentRetry))
}

// Resolved tells whether it is known for certain what the machine holds.
func (m *Machine) Resolved() bool { return m.Adopted || m.Lost }

// Usable tells whether new tasks may be placed on the machine. One that is heard only
// when it is asked loses them with its lease.
func (m *Machine) Usable(now time.Duration, report time.Duration) bool {
	return m.Adopted && !m.Lost && !m.Deleting && !m.Draining && now-m.Heard < 3*report && now-m.Answered < 3*report
}
