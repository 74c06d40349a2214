package workers

import (
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

func report(session, seq, token uint64, tasks ...string) *wire.Report {
	r := &wire.Report{Machine: "i-1", Type: "c", Session: session, Seq: seq, Token: token}
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t, Attempt: 1, State: wire.TaskRunning})
	}
	return r
}

func TestAdoptionAndOrderOfReports(t *testing.T) {
	p := New(14, 1.5)
	steps := []struct {
		name    string
		r       *wire.Report
		term    uint64
		want    Verdict
		adopted bool
		tasks   int
	}{
		{"an older token proves nothing yet", report(1, 5, 3, "j/0"), 7, Unproven, false, 0},
		{"our token adopts", report(1, 6, 7, "j/0", "j/1"), 7, Current, true, 2},
		{"a late report changes nothing", report(1, 5, 7), 7, Stale, true, 2},
		{"the same report again changes nothing", report(1, 6, 7), 7, Stale, true, 2},
		{"a new session counts although its number is lower", report(2, 1, 7), 7, Current, true, 0},
		{"an earlier session does not", report(1, 99, 7, "j/0"), 7, Stale, true, 0},
		{"a higher token deposes us", report(2, 2, 9), 7, Deposed, true, 0},
		{"a new term of ours proves everything anew", report(2, 3, 9, "j/2"), 11, Unproven, false, 0},
		{"until its token is shown", report(2, 4, 11, "j/2"), 11, Current, true, 1},
	}
	for _, s := range steps {
		m, v := p.Receive(time.Second, s.r, s.term, 0)
		if v != s.want || m.Adopted != s.adopted || len(m.Tasks) != s.tasks {
			t.Errorf("%s: verdict %v, adopted %v, %d tasks", s.name, v, m.Adopted, len(m.Tasks))
		}
	}
}

// TestLeaseEndsNoSoonerThanTheWorkers: the worker counts from when it sent the
// report, on a clock that may be slower by the drift.
func TestLeaseEndsNoSoonerThanTheWorkers(t *testing.T) {
	p := New(14, 1.5)
	m, _ := p.Receive(10*time.Second, report(1, 1, 7), 7, 0)
	if p.Expired(m, 10*time.Second+14*time.Second+7*time.Millisecond) {
		t.Error("over although the worker may still hold its tasks")
	}
	if !p.Expired(m, 25*time.Second) {
		t.Error("never over")
	}
	if !m.Usable(12*time.Second, p.Report) || m.Usable(15*time.Second, p.Report) {
		t.Error("usable while it reports, and not when it is silent")
	}
}

func TestRecallDrains(t *testing.T) {
	p := New(14, 1.5)
	r := report(1, 1, 7)
	s := 12.0
	r.RecallS = &s
	m, _ := p.Receive(10*time.Second, r, 7, 0)
	if m.Recall != 22*time.Second || m.Usable(10*time.Second, p.Report) {
		t.Errorf("recall %v, usable %v", m.Recall, m.Usable(10*time.Second, p.Report))
	}
}
