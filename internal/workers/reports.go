package workers

import (
	"time"

	"umberpaddle/internal/wire"
)

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
