// Package workers follows the workers: their reports, whether what they run is
// known for certain, until when they may hold tasks, and what to tell them.
package workers

import (
	"slices"
	"strings"
	"time"

	"umberpaddle/internal/limits"
)

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
