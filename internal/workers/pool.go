// Package workers tracks the workers' machines: their heartbeats, whether their tasks are known for
// certain, when their leases end, and the direct orders sent to them.
package workers

import (
	"slices"
	"strings"
	"time"

	"umberpaddle/internal/limits"
)

// Pool is the set of machines that a controller tracks.
type Pool struct {
	LeaseDuration     time.Duration
	HeartbeatInterval time.Duration
	Machines          map[string]*Machine // by ID
	sorted            []*Machine          // cached result of Sorted; nil: out of date
}

// New returns an empty pool for the given lease and heartbeat interval, in seconds.
func New(leaseS, heartbeatIntervalS float64) *Pool {
	return &Pool{
		LeaseDuration:     limits.Seconds(leaseS),
		HeartbeatInterval: limits.Seconds(heartbeatIntervalS),
		Machines:          map[string]*Machine{},
	}
}

// Sorted returns the machines in the order of their IDs, which is the order of their creation.
// First-fit placement therefore gives the same result in every run. The returned slice does not
// change when machines are added or removed, so callers may do that while they iterate over it.
func (p *Pool) Sorted() []*Machine {
	if p.sorted == nil {
		p.sorted = make([]*Machine, 0, len(p.Machines))
		for _, machine := range p.Machines {
			p.sorted = append(p.sorted, machine)
		}
		slices.SortFunc(p.sorted, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
	}
	return p.sorted
}

// GetOrAdd returns the machine with the given ID, and adds it if the pool does not have it. The
// tasks of an added machine are unknown. The time since is the latest at which any controller may
// have answered a heartbeat of the machine.
func (p *Pool) GetOrAdd(id, class, zone string, spot bool, since time.Duration) *Machine {
	machine := p.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Class: class, Zone: zone, Spot: spot, LastAnswer: since, LastHeartbeat: since,
			Images: map[string]bool{}, Failures: map[string]int{},
			Orders: map[uint64]*Order{}, EndedTasks: map[string]bool{}}
		p.Machines[id] = machine
		p.sorted = nil
	}
	return machine
}

// Remove removes a machine from the pool.
func (p *Pool) Remove(id string) {
	delete(p.Machines, id)
	p.sorted = nil
}

// LeaseEnd returns the time after which a machine whose last heartbeat was answered at the given time
// has no tasks any more. It allows for clock drift and adds limits.LeaseMargin.
func (p *Pool) LeaseEnd(answered time.Duration) time.Duration {
	return answered + time.Duration(float64(p.LeaseDuration)*(1+limits.ClockDrift)) + limits.LeaseMargin
}

// Expired reports whether the machine's lease has ended for certain.
func (p *Pool) Expired(machine *Machine, now time.Duration) bool {
	return now > p.LeaseEnd(machine.LastAnswer)
}

// MaxSilence returns how long a machine may be silent before it is presumed dead.
func (p *Pool) MaxSilence() time.Duration {
	return max(limits.MinSilenceLimit, min(limits.MaxMissedHeartbeats*p.HeartbeatInterval*5/4, p.HeartbeatInterval*5/4+limits.HeartbeatRetryTime))
}
