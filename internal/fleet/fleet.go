// Package fleet rents and returns machines: it follows the cloud's prices and
// lists, asks for what the waiting work needs, and gives back what is idle,
// broken or never came up. It is a pure state machine like the others.
package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Call is an HTTP request for the edge to make to the cloud.
type Call struct {
	ID      uint64
	Method  string
	Path    string
	Body    any
	Timeout time.Duration
}

// ReturnReason tells why a machine is returned.
type ReturnReason string

// Reasons for returning a machine.
const (
	ReturnIdle     ReturnReason = "idle"
	ReturnDrained  ReturnReason = "drained"
	ReturnRecalled ReturnReason = "recalled"
	ReturnSilent   ReturnReason = "silent"
	ReturnFailed   ReturnReason = "failed"
	ReturnNeverUp  ReturnReason = "never came up"
	ReturnUnlisted ReturnReason = "no longer listed"
)

// Kind is what one rental request asks for.
type Kind struct {
	Class, Zone string
	Spot        bool
}

// Rental is a machine that we know from renting or from lists.
type Rental struct {
	ID      string
	Kind    Kind
	Since   time.Duration      // when it was rented, on our steady clock
	Known   time.Duration      // when this process began to wait for its reports
	Listed  wire.MachineStatus // its status when last listed
	SeenAt  time.Duration      // when it was last listed
	Up      bool               // its worker has reported
	WasUp   bool               // it had reported to an earlier owner
	Deleted bool               // asked to delete; goes with the 200
	asking  bool
	Idle    time.Duration // since when it has nothing to do; 0: busy
}

// Manager is the slice's state.
type Manager struct {
	logf        func(level slog.Level, msg string, args ...any)
	now         time.Duration
	rate        float64
	budget      float64
	last        time.Duration
	prefix      string
	count       uint64
	calls       map[uint64]func(status int, body []byte)
	nextID      uint64
	out         []Call
	pausedUntil time.Duration
	listLag     time.Duration

	// ReportWithin is how long a machine that this process has just learned of may
	// take to report.
	ReportWithin time.Duration
	// TakeoverRound is within what time a machine that is up finds a new owner.
	TakeoverRound time.Duration
	// Losses of spot machines and the hours that they ran, both fading, tell
	// how often spot machines are taken back these days.
	losses, hours float64
	riskAt        time.Duration

	Types   map[string]*wire.MachineType
	Rentals map[string]*Rental
	// deletionsWait: there may be rentals to be deleted that the cloud was not asked for yet.
	deletionsWait bool
	backoff       map[Kind]time.Duration
	renting       map[Kind]int
	unconfirmed   map[string]*rentalRequest // by name: requests without an answer are repeated
	typesAt       time.Duration
	readingTypes  bool
	listAt        time.Duration
	listing       bool
	Listed        bool // a whole list has been read since we began
	pages         map[string]wire.ListedMachine
	listFrom      time.Duration
	OnGone        func(id string) // a machine is certainly gone
	deletedAt     map[string]time.Duration
}

type rentalRequest struct {
	kind Kind
	req  wire.Hire
}

// New makes a manager. prefix starts the names of all its rental requests and
// must never be used by any other life of any node.
func New(rps, listLagS float64, prefix string, log func(slog.Level, string, ...any)) *Manager {
	// One call is due at once: without the machine types a node takes no jobs.
	return &Manager{budget: 1, logf: log, rate: rps * limits.CloudBudget, prefix: prefix, listLag: limits.Seconds(listLagS),
		calls: map[uint64]func(int, []byte){}, Types: map[string]*wire.MachineType{}, Rentals: map[string]*Rental{},
		backoff: map[Kind]time.Duration{}, renting: map[Kind]int{}, unconfirmed: map[string]*rentalRequest{}, deletedAt: map[string]time.Duration{}}
}

// Classes lists the machine types.
func (f *Manager) Classes() []string {
	c := make([]string, 0, len(f.Types))
	for n := range f.Types {
		c = append(c, n)
	}
	sort.Strings(c)
	return c
}

// IsGone tells whether a machine was deleted for certain; late reports of it
// must not bring it back.
func (f *Manager) IsGone(id string) bool { _, ok := f.deletedAt[id]; return ok }

// Track enters a machine known by other means.
func (f *Manager) Track(id string, k Kind, since time.Duration) *Rental {
	r := f.Rentals[id]
	if r == nil && !f.IsGone(id) {
		r = &Rental{ID: id, Kind: k, Since: since, Known: f.now}
		f.Rentals[id] = r
	}
	return r
}

func (f *Manager) call(method, path string, body any, done func(int, []byte)) {
	f.budget--
	f.nextID++
	f.calls[f.nextID] = done
	f.out = append(f.out, Call{ID: f.nextID, Method: method, Path: path, Body: body, Timeout: limits.CloudTimeout})
}

// Reply hands over what came of a call; status 0 is no answer.
func (f *Manager) Reply(now time.Duration, id uint64, status int, body []byte) {
	f.now = max(f.now, now)
	done, ok := f.calls[id]
	if !ok {
		return
	}
	delete(f.calls, id)
	if status != 200 && status != 400 {
		f.pausedUntil = f.now + limits.CloudBackoff
	}
	done(status, body)
}

func (f *Manager) mayCall() bool { return f.budget >= 1 && f.now >= f.pausedUntil && len(f.calls) < 4 }

// Tick advances time. active tells whether this node owns classes; others only
// read the price list. deletions come first, then rentals, then lists.
func (f *Manager) Tick(now time.Duration, active bool, owners int) []Call {
	f.now = max(f.now, now)
	if f.now > f.last {
		rate := f.rate / float64(max(1, owners))
		if !active {
			rate = min(rate, 0.2)
		}
		f.budget = min(max(2*rate, 1), f.budget+rate*(f.now-f.last).Seconds())
		f.last = f.now
	}
	if !f.readingTypes && f.now >= f.typesAt && f.mayCall() {
		f.readTypes()
	}
	if active {
		f.deleteMarked()
		f.repeatRentals()
		f.readList()
	}
	out := f.out
	f.out = nil
	return out
}

func (f *Manager) readTypes() {
	f.readingTypes = true
	f.call("GET", "/machine_types", nil, func(status int, body []byte) {
		f.readingTypes = false
		f.typesAt = f.now + limits.CloudBackoff
		var t wire.MachineTypes
		if status != 200 || wire.Decode(body, &t) != nil {
			return
		}
		f.typesAt = f.now + limits.TypesInterval
		for i := range t.Types {
			if t.Types[i].Name != "" {
				f.Types[t.Types[i].Name] = &t.Types[i]
			}
		}
	})
}

// Delete marks a machine for deletion.
func (f *Manager) Delete(id string, why ReturnReason) {
	r := f.Rentals[id]
	if r == nil || r.Deleted {
		return
	}
	r.Deleted = true
	f.deletionsWait = true
	f.logf(slog.LevelInfo, "machine returned", "machine", id, "why", why)
}

// deleteAll marks machines for deletion, in the order of their names: what is logged must not depend on
// the order of a map.
func (f *Manager) deleteAll(ids []string, why ReturnReason) {
	sort.Strings(ids)
	for _, id := range ids {
		f.Delete(id, why)
	}
}

func (f *Manager) deleteMarked() {
	if !f.deletionsWait || !f.mayCall() {
		return
	}
	var names []string
	for id, r := range f.Rentals {
		if r.Deleted && !r.asking {
			names = append(names, id)
		}
	}
	f.deletionsWait = len(names) > limits.DeleteMost
	if len(names) == 0 {
		return
	}
	sort.Strings(names)
	names = names[:min(len(names), limits.DeleteMost)]
	for _, id := range names {
		f.Rentals[id].asking = true
	}
	f.call("POST", "/hosts/delete", wire.Machines{Machines: names}, func(status int, _ []byte) {
		for _, id := range names {
			r := f.Rentals[id]
			if r == nil {
				continue
			}
			r.asking = false
			if status == 200 {
				f.forget(id)
			} else {
				f.deletionsWait = true
			}
		}
	})
}

func (f *Manager) forget(id string) {
	delete(f.Rentals, id)
	f.deletedAt[id] = f.now
	for g, at := range f.deletedAt {
		// Longer than any list or report may lag.
		if f.now-at > 20*time.Minute {
			delete(f.deletedAt, g)
		}
	}
	f.OnGone(id)
}

// MayRent tells whether a kind may be asked for now.
func (f *Manager) MayRent(k Kind) bool {
	if f.now < f.backoff[k] || !f.mayCall() {
		return false
	}
	for _, h := range f.unconfirmed {
		if h.kind == k {
			return false
		}
	}
	return true
}

// Available tells whether a kind was not refused a moment ago.
func (f *Manager) Available(k Kind) bool { return f.now >= f.backoff[k] }

// Refused tells whether the cloud lately had too few machines of a kind.
func (f *Manager) Refused(k Kind) bool {
	until, ok := f.backoff[k]
	return ok && f.now < until-limits.RentBackoff+limits.RefusedFor
}

// Rent asks for machines.
func (f *Manager) Rent(k Kind, n int) {
	f.count++
	h := &rentalRequest{kind: k, req: wire.Hire{Request: fmt.Sprintf("%s-%d", f.prefix, f.count), Type: k.Class, Zone: k.Zone, Spot: k.Spot, Count: min(n, limits.RentMost)}}
	f.sendRental(h)
}

func (f *Manager) sendRental(h *rentalRequest) {
	k := h.kind
	delete(f.unconfirmed, h.req.Request)
	f.renting[k] += h.req.Count
	f.call("POST", "/hosts", h.req, func(status int, body []byte) {
		f.renting[k] -= h.req.Count
		var m wire.Machines
		switch {
		case status == 200 && wire.Decode(body, &m) == nil:
			for _, id := range m.Machines {
				f.Track(id, k, f.now)
			}
			f.logf(slog.LevelInfo, "machines rented", "class", k.Class, "zone", k.Zone, "spot", k.Spot, "asked", h.req.Count, "got", len(m.Machines))
			if len(m.Machines) < h.req.Count {
				f.backoff[k] = f.now + limits.RentBackoff
			}
		case status == 0:
			// Perhaps rented: the same name tells, and rents nothing twice.
			f.unconfirmed[h.req.Request] = h
		default:
			f.logf(slog.LevelInfo, "no machines", "class", k.Class, "zone", k.Zone, "spot", k.Spot, "asked", h.req.Count, "status", status)
			f.backoff[k] = f.now + limits.RentBackoff
		}
	})
}

func (f *Manager) repeatRentals() {
	for _, name := range slices.Sorted(maps.Keys(f.unconfirmed)) {
		if f.mayCall() {
			f.sendRental(f.unconfirmed[name])
		}
	}
}

// Less orders kinds.
func (k Kind) Less(o Kind) bool {
	if k.Class != o.Class {
		return k.Class < o.Class
	}
	if k.Zone != o.Zone {
		return k.Zone < o.Zone
	}
	return k.Spot && !o.Spot
}

func (f *Manager) readList() {
	if f.listing || !f.mayCall() || (f.pages == nil && f.now < f.listAt) {
		return
	}
	if f.pages == nil {
		f.pages = map[string]wire.ListedMachine{}
		f.listFrom = f.now
	}
	since := ""
	for id := range f.pages {
		since = max(since, id)
	}
	path := "/hosts?page=500"
	if since != "" {
		path += "&since=" + since
	}
	f.listing = true
	f.call("GET", path, nil, func(status int, body []byte) {
		f.listing = false
		var l wire.MachineList
		if status != 200 || wire.Decode(body, &l) != nil {
			return
		}
		for _, m := range l.Machines {
			f.pages[m.ID] = m
		}
		if !l.More || len(l.Machines) == 0 {
			f.mergeList()
		}
	})
}

// mergeList takes a whole list in. Lists lag: a machine that is missing may be new,
// and one that is listed may be gone.
func (f *Manager) mergeList() {
	f.listAt = f.now + limits.ListInterval
	f.Listed = true
	for id, m := range f.pages {
		age := limits.Seconds(m.AgeS)
		r := f.Track(id, Kind{m.Type, m.Zone, m.Spot}, f.now-age)
		if r == nil {
			continue
		}
		r.Listed, r.SeenAt = m.Status, f.now
	}
	var unlisted []string
	for _, r := range f.Rentals {
		if _, ok := f.pages[r.ID]; ok {
			continue
		}
		// Listed once and not any more: gone, as the cloud promises. New ones
		// may be missing for twice the lag.
		if r.SeenAt != 0 && f.listFrom-r.SeenAt > 2*f.listLag+limits.ListInterval || r.SeenAt == 0 && f.listFrom-r.Since > 3*f.listLag+limits.ListInterval && !r.Up {
			unlisted = append(unlisted, r.ID)
		}
	}
	f.deleteAll(unlisted, ReturnUnlisted)
	f.pages = nil
}

// RemoveDeadRentals marks machines that failed or never came up. hearing tells whether workers
// reach this node, and from is since when they do.
func (f *Manager) RemoveDeadRentals(hearing bool, from time.Duration) {
	f.updateRisk()
	var failed, neverUp []string
	for _, r := range f.Rentals {
		if r.Deleted {
			continue
		}
		if r.Listed == wire.MachineFailed {
			failed = append(failed, r.ID)
			continue
		}
		t := f.Types[r.Kind.Class]
		if t == nil || r.Up {
			continue
		}
		boot := limits.Seconds(t.BootS * limits.BootFactor)
		known := r.Known
		if r.WasUp || r.Listed == wire.MachineRunning {
			// It came up, so it is this node that it can't reach. Guards against a new
			// owner without its workers, which returned the whole fleet.
			if !hearing {
				continue
			}
			known = max(known, from)
		}
		// Known guards against a takeover that returns running machines
		// only because they have not reported to the new owner yet.
		if f.now-r.Since > boot+limits.BootSlack && f.now-known > f.ReportWithin {
			neverUp = append(neverUp, r.ID)
		}
	}
	f.deleteAll(failed, ReturnFailed)
	f.deleteAll(neverUp, ReturnNeverUp)
}

// Booting counts the machines of a kind that are still to come up. Those that have
// not found a new owner in time don't count: guards against a fleet of which half
// was cut off when its owner ended, and for which nothing was rented meanwhile.
func (f *Manager) Booting() map[Kind]int {
	n := map[Kind]int{}
	for _, r := range f.Rentals {
		if !r.Up && !r.Deleted && !(r.WasUp && f.now-r.Known > f.TakeoverRound) {
			n[r.Kind]++
		}
	}
	for k, c := range f.renting {
		n[k] += c
	}
	for _, h := range f.unconfirmed {
		n[h.kind] += h.req.Count
	}
	return n
}

// SpotLost records that a spot machine was taken back or vanished.
func (f *Manager) SpotLost() { f.losses++ }

// updateRisk lets the record of spot losses go on and fade.
func (f *Manager) updateRisk() {
	d := f.now - f.riskAt
	f.riskAt = f.now
	keep := math.Exp(-d.Seconds() / limits.RiskMemory.Seconds())
	up := 0.0
	for _, r := range f.Rentals {
		if r.Up && r.Kind.Spot {
			up++
		}
	}
	f.losses *= keep
	f.hours = f.hours*keep + up*d.Hours()
}

// SpotRisk is the chance that a spot machine is lost within a time.
func (f *Manager) SpotRisk(seconds float64) float64 {
	rate := (f.losses + limits.RiskPrior) / (f.hours + limits.RiskPrior)
	return 1 - math.Exp(-rate*seconds/3600)
}

// Price is what a kind costs an hour now.
func (f *Manager) Price(k Kind) float64 {
	t := f.Types[k.Class]
	if t == nil {
		return math.Inf(1)
	}
	if k.Spot {
		return t.SpotPrice
	}
	return t.Price
}
