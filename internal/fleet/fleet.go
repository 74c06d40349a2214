// Package fleet rents machines from the cloud and returns them; a machine is returned by a deletion
// request. The package reads the cloud's machine types, prices and machine lists, sends rental and
// deletion requests, and marks for deletion the machines that failed, never came up or are no longer
// listed. It is a state machine without I/O: it returns the calls to make, and receives their replies
// and the time as arguments.
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

// Call is an HTTP request to the cloud that the caller of Tick sends.
type Call struct {
	ID      uint64
	Method  string
	Path    string
	Body    any
	Timeout time.Duration
}

// ReturnReason is the reason for returning a machine, as it is logged.
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

// Kind describes the machines that one rental request asks for. Class is the name of their machine type.
type Kind struct {
	Class, Zone string
	Spot        bool
}

// Rental is a machine known from a rental request, a list, a stored record or a
// heartbeat.
type Rental struct {
	ID               string
	Kind             Kind
	RentedAt         time.Duration      // when it was rented, on this process's steady clock
	TrackedSince     time.Duration      // when this process began to wait for the machine's first heartbeat
	ListedStatus     wire.MachineStatus // status in the last list that contained the machine
	LastListedAt     time.Duration      // when a list last contained the machine; 0: never
	Up               bool               // its worker has sent a heartbeat to this process or answered its probe
	WasUp            bool               // it was up under an earlier owner
	Deleting         bool               // marked for deletion; removed once the cloud confirms the deletion
	deletionInFlight bool               // a deletion request for the machine has no reply yet
	IdleSince        time.Duration      // when the machine was first found idle; 0: not idle
}

// Manager holds the rented machines, and the calls to the cloud that are in
// flight.
type Manager struct {
	log             func(level slog.Level, msg string, args ...any)
	now             time.Duration
	rate            float64 // calls per second that all owners together may make
	budget          float64 // calls that this process may make now
	budgetUpdatedAt time.Duration
	requestPrefix   string
	requestCount    uint64
	replyHandlers   map[uint64]func(status int, body []byte)
	lastCallID      uint64
	outgoingCalls   []Call
	pausedUntil     time.Duration
	listLag         time.Duration

	// HeartbeatTimeout is how long a machine may take to send its first heartbeat
	// after this process began to track it.
	HeartbeatTimeout time.Duration
	// TakeoverTimeout is how long a machine that is up may take to send its first
	// heartbeat to a new owner.
	TakeoverTimeout time.Duration
	// spotLosses and spotHours count the spot machines lost and the hours that
	// spot machines ran. Both decay exponentially, so that their ratio follows the
	// recent rate of losses per hour.
	spotLosses, spotHours float64
	spotRiskUpdatedAt     time.Duration

	Types   map[string]*wire.MachineType
	Rentals map[string]*Rental
	// deletionsPending: some machines marked for deletion may have no deletion
	// request in flight.
	deletionsPending    bool
	backoffUntil        map[Kind]time.Duration    // when a kind may be requested again after a refusal
	requestedCounts     map[Kind]int              // machines in rental requests without a reply yet
	unconfirmedRequests map[string]*rentalRequest // rental requests to retry, by request name
	nextTypesAt         time.Duration
	readingTypes        bool
	nextListAt          time.Duration
	readingList         bool
	HasFullList         bool                          // a complete list has been read since New
	partialList         map[string]wire.ListedMachine // the pages read so far of the list being read
	listStartedAt       time.Duration
	OnDeleted           func(id string) // called when the cloud has confirmed a deletion
	deletedAt           map[string]time.Duration
}

// rentalRequest is a rental request and the kind of machines that it asks for.
type rentalRequest struct {
	kind    Kind
	payload wire.RentalRequest
}

// New returns a Manager. requestPrefix starts the names of its rental requests, which
// the cloud uses to recognize a retry. No other incarnation of any node may ever use
// the same prefix.
func New(rps, listLagS float64, requestPrefix string, log func(slog.Level, string, ...any)) *Manager {
	// The budget starts with one call, so that the first request does not wait: a node accepts no
	// jobs before it has read the machine types.
	return &Manager{budget: 1, log: log, rate: rps * limits.CloudBudgetUse, requestPrefix: requestPrefix, listLag: limits.Seconds(listLagS),
		replyHandlers: map[uint64]func(int, []byte){}, Types: map[string]*wire.MachineType{}, Rentals: map[string]*Rental{},
		backoffUntil: map[Kind]time.Duration{}, requestedCounts: map[Kind]int{}, unconfirmedRequests: map[string]*rentalRequest{}, deletedAt: map[string]time.Duration{}}
}

// Classes returns the names of the machine types in alphabetical order.
func (m *Manager) Classes() []string {
	names := make([]string, 0, len(m.Types))
	for name := range m.Types {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// IsDeleted reports whether the cloud has confirmed a machine's deletion. A late
// heartbeat or list must not add such a machine again. Deletions are kept for at
// least 20 minutes.
func (m *Manager) IsDeleted(id string) bool { _, ok := m.deletedAt[id]; return ok }

// Track returns the rental of a machine and adds it if it is missing. It returns
// nil for a deleted machine.
func (m *Manager) Track(id string, kind Kind, rentedAt time.Duration) *Rental {
	rental := m.Rentals[id]
	if rental == nil && !m.IsDeleted(id) {
		rental = &Rental{ID: id, Kind: kind, RentedAt: rentedAt, TrackedSince: m.now}
		m.Rentals[id] = rental
	}
	return rental
}

// queueCall adds a call to those that Tick returns. done is called with the reply.
func (m *Manager) queueCall(method, path string, body any, done func(int, []byte)) {
	m.budget--
	m.lastCallID++
	m.replyHandlers[m.lastCallID] = done
	m.outgoingCalls = append(m.outgoingCalls, Call{ID: m.lastCallID, Method: method, Path: path, Body: body, Timeout: limits.CloudTimeout})
}

// HandleReply passes the result of a call to the call's handler. Status 0 means that no
// answer came.
func (m *Manager) HandleReply(now time.Duration, id uint64, status int, body []byte) {
	m.now = max(m.now, now)
	done, ok := m.replyHandlers[id]
	if !ok {
		return
	}
	delete(m.replyHandlers, id)
	if status != 200 && status != 400 {
		m.pausedUntil = m.now + limits.CloudBackoff
	}
	done(status, body)
}

// mayCall reports whether a call to the cloud may be made now: the budget allows one,
// there is no pause after an error, and fewer than four calls are in flight.
func (m *Manager) mayCall() bool {
	return m.budget >= 1 && m.now >= m.pausedUntil && len(m.replyHandlers) < 4
}

// Tick advances the clock and returns the calls to make. active reports whether
// this node owns classes; a node that owns none only reads the machine types, at up
// to 0.2 calls a second. owners is the number of nodes that share the cloud's
// request limit. When the budget is short, reading machine types comes first, then
// deletions, retries of rentals, and lists.
func (m *Manager) Tick(now time.Duration, active bool, owners int) []Call {
	m.now = max(m.now, now)
	if m.now > m.budgetUpdatedAt {
		rate := m.rate / float64(max(1, owners))
		if !active {
			rate = min(rate, 0.2)
		}
		m.budget = min(max(2*rate, 1), m.budget+rate*(m.now-m.budgetUpdatedAt).Seconds())
		m.budgetUpdatedAt = m.now
	}
	if !m.readingTypes && m.now >= m.nextTypesAt && m.mayCall() {
		m.readTypes()
	}
	if active {
		m.requestDeletions()
		m.retryRentals()
		m.readList()
	}
	outgoing := m.outgoingCalls
	m.outgoingCalls = nil
	return outgoing
}

func (m *Manager) readTypes() {
	m.readingTypes = true
	m.queueCall("GET", "/machine_types", nil, func(status int, body []byte) {
		m.readingTypes = false
		m.nextTypesAt = m.now + limits.CloudBackoff
		var list wire.MachineTypes
		if status != 200 || wire.Decode(body, &list) != nil {
			return
		}
		m.nextTypesAt = m.now + limits.MachineTypesInterval
		for i := range list.Types {
			if list.Types[i].Name != "" {
				m.Types[list.Types[i].Name] = &list.Types[i]
			}
		}
	})
}

// MarkForDeletion makes Tick request the deletion of a machine.
func (m *Manager) MarkForDeletion(id string, reason ReturnReason) {
	rental := m.Rentals[id]
	if rental == nil || rental.Deleting {
		return
	}
	rental.Deleting = true
	m.deletionsPending = true
	m.log(slog.LevelInfo, "machine returned", "machine", id, "why", reason)
}

// markAllForDeletion marks machines for deletion in the order of their names, so that the
// order of log lines does not depend on the order of iteration over a map.
func (m *Manager) markAllForDeletion(ids []string, reason ReturnReason) {
	sort.Strings(ids)
	for _, id := range ids {
		m.MarkForDeletion(id, reason)
	}
}

// requestDeletions sends a deletion request for the machines that are marked for
// deletion and have no request in flight, at most limits.MaxDeletionsPerRequest.
func (m *Manager) requestDeletions() {
	if !m.deletionsPending || !m.mayCall() {
		return
	}
	var names []string
	for id, rental := range m.Rentals {
		if rental.Deleting && !rental.deletionInFlight {
			names = append(names, id)
		}
	}
	m.deletionsPending = len(names) > limits.MaxDeletionsPerRequest
	if len(names) == 0 {
		return
	}
	sort.Strings(names)
	names = names[:min(len(names), limits.MaxDeletionsPerRequest)]
	for _, id := range names {
		m.Rentals[id].deletionInFlight = true
	}
	m.queueCall("POST", "/hosts/delete", wire.MachineIDs{Machines: names}, func(status int, _ []byte) {
		for _, id := range names {
			rental := m.Rentals[id]
			if rental == nil {
				continue
			}
			rental.deletionInFlight = false
			if status == 200 {
				m.confirmDeletion(id)
			} else {
				m.deletionsPending = true
			}
		}
	})
}

// confirmDeletion removes a machine whose deletion the cloud has confirmed.
func (m *Manager) confirmDeletion(id string) {
	delete(m.Rentals, id)
	m.deletedAt[id] = m.now
	for deletedID, deletedAt := range m.deletedAt {
		// No list or heartbeat lags by more than 20 minutes.
		if m.now-deletedAt > 20*time.Minute {
			delete(m.deletedAt, deletedID)
		}
	}
	m.OnDeleted(id)
}

// MayRent reports whether machines of a kind may be requested now: the kind is not
// in backoff, the budget allows a call, and no earlier request for the kind is
// unconfirmed.
func (m *Manager) MayRent(kind Kind) bool {
	if m.now < m.backoffUntil[kind] || !m.mayCall() {
		return false
	}
	for _, request := range m.unconfirmedRequests {
		if request.kind == kind {
			return false
		}
	}
	return true
}

// Available reports whether no backoff after a refusal is active for a kind.
func (m *Manager) Available(kind Kind) bool { return m.now >= m.backoffUntil[kind] }

// RecentlyRefused reports whether the cloud refused a request for machines of a
// kind, or granted only a part of it, within the last limits.RefusalMaxAge.
func (m *Manager) RecentlyRefused(kind Kind) bool {
	until, ok := m.backoffUntil[kind]
	return ok && m.now < until-limits.RentBackoff+limits.RefusalMaxAge
}

// Rent requests up to count machines of a kind, at most limits.MaxRentalsPerRequest.
func (m *Manager) Rent(kind Kind, count int) {
	m.requestCount++
	request := &rentalRequest{kind: kind, payload: wire.RentalRequest{Request: fmt.Sprintf("%s-%d", m.requestPrefix, m.requestCount), Type: kind.Class, Zone: kind.Zone, Spot: kind.Spot, Count: min(count, limits.MaxRentalsPerRequest)}}
	m.sendRental(request)
}

// sendRental sends a rental request, for the first time or as a retry.
func (m *Manager) sendRental(request *rentalRequest) {
	kind := request.kind
	delete(m.unconfirmedRequests, request.payload.Request)
	m.requestedCounts[kind] += request.payload.Count
	m.queueCall("POST", "/hosts", request.payload, func(status int, body []byte) {
		m.requestedCounts[kind] -= request.payload.Count
		var rentedIDs wire.MachineIDs
		switch {
		case status == 200 && wire.Decode(body, &rentedIDs) == nil:
			for _, id := range rentedIDs.Machines {
				m.Track(id, kind, m.now)
			}
			m.log(slog.LevelInfo, "machines rented", "class", kind.Class, "zone", kind.Zone, "spot", kind.Spot, "asked", request.payload.Count, "got", len(rentedIDs.Machines))
			if len(rentedIDs.Machines) < request.payload.Count {
				m.backoffUntil[kind] = m.now + limits.RentBackoff
			}
		case status == 0:
			// The cloud may have rented the machines. A retry under the same name returns
			// these machines and rents no others.
			m.unconfirmedRequests[request.payload.Request] = request
		default:
			m.log(slog.LevelInfo, "no machines", "class", kind.Class, "zone", kind.Zone, "spot", kind.Spot, "asked", request.payload.Count, "status", status)
			m.backoffUntil[kind] = m.now + limits.RentBackoff
		}
	})
}

// retryRentals sends the rental requests without an answer again, in the order of their
// names.
func (m *Manager) retryRentals() {
	for _, name := range slices.Sorted(maps.Keys(m.unconfirmedRequests)) {
		if m.mayCall() {
			m.sendRental(m.unconfirmedRequests[name])
		}
	}
}

// Less orders kinds by class, zone, and spot before on-demand.
func (k Kind) Less(other Kind) bool {
	if k.Class != other.Class {
		return k.Class < other.Class
	}
	if k.Zone != other.Zone {
		return k.Zone < other.Zone
	}
	return k.Spot && !other.Spot
}

// readList requests the next page of the list of machines, if a list is due or partly
// read. The pages are merged once the last one has arrived.
func (m *Manager) readList() {
	if m.readingList || !m.mayCall() || (m.partialList == nil && m.now < m.nextListAt) {
		return
	}
	if m.partialList == nil {
		m.partialList = map[string]wire.ListedMachine{}
		m.listStartedAt = m.now
	}
	lastID := ""
	for id := range m.partialList {
		lastID = max(lastID, id)
	}
	path := "/hosts?page=500"
	if lastID != "" {
		path += "&since=" + lastID
	}
	m.readingList = true
	m.queueCall("GET", path, nil, func(status int, body []byte) {
		m.readingList = false
		var list wire.MachineList
		if status != 200 || wire.Decode(body, &list) != nil {
			return
		}
		for _, machine := range list.Machines {
			m.partialList[machine.ID] = machine
		}
		if !list.More || len(list.Machines) == 0 {
			m.mergeList()
		}
	})
}

// mergeList updates the rentals from a complete list. Lists lag: a machine that is
// missing from a list may be new, and one that is listed may be deleted.
func (m *Manager) mergeList() {
	m.nextListAt = m.now + limits.MachineListInterval
	m.HasFullList = true
	for id, machine := range m.partialList {
		age := limits.Seconds(machine.AgeS)
		rental := m.Track(id, Kind{machine.Type, machine.Zone, machine.Spot}, m.now-age)
		if rental == nil {
			continue
		}
		rental.ListedStatus, rental.LastListedAt = machine.Status, m.now
	}
	var unlistedIDs []string
	for _, rental := range m.Rentals {
		if _, ok := m.partialList[rental.ID]; ok {
			continue
		}
		// The cloud guarantees that a machine that was listed once and is no longer
		// listed has been deleted. A new machine may be missing from lists for twice
		// the lag, so a machine that was never listed is given one lag more.
		if rental.LastListedAt != 0 && m.listStartedAt-rental.LastListedAt > 2*m.listLag+limits.MachineListInterval || rental.LastListedAt == 0 && m.listStartedAt-rental.RentedAt > 3*m.listLag+limits.MachineListInterval && !rental.Up {
			unlistedIDs = append(unlistedIDs, rental.ID)
		}
	}
	m.markAllForDeletion(unlistedIDs, ReturnUnlisted)
	m.partialList = nil
}

// MarkDeadRentalsForDeletion marks for deletion the machines that failed or never came up.
// receivingHeartbeats reports whether heartbeats of workers arrive at this node, and
// receivingSince is when they began to arrive after the last gap.
func (m *Manager) MarkDeadRentalsForDeletion(receivingHeartbeats bool, receivingSince time.Duration) {
	m.updateSpotRisk()
	var failedIDs, neverUpIDs []string
	for _, rental := range m.Rentals {
		if rental.Deleting {
			continue
		}
		if rental.ListedStatus == wire.MachineFailed {
			failedIDs = append(failedIDs, rental.ID)
			continue
		}
		machineType := m.Types[rental.Kind.Class]
		if machineType == nil || rental.Up {
			continue
		}
		boot := limits.Seconds(machineType.BootS * limits.BootFactor)
		waitingSince := rental.TrackedSince
		if rental.WasUp || rental.ListedStatus == wire.MachineRunning {
			// The machine was up, so it may still run and only fail to reach this node. Without
			// this check, a new owner that no worker can reach would return the whole fleet to the
			// cloud.
			if !receivingHeartbeats {
				continue
			}
			waitingSince = max(waitingSince, receivingSince)
		}
		// Without the check of waitingSince, a takeover would return running machines to the cloud
		// only because they have not sent a heartbeat to the new owner yet.
		if m.now-rental.RentedAt > boot+limits.BootSlack && m.now-waitingSince > m.HeartbeatTimeout {
			neverUpIDs = append(neverUpIDs, rental.ID)
		}
	}
	m.markAllForDeletion(failedIDs, ReturnFailed)
	m.markAllForDeletion(neverUpIDs, ReturnNeverUp)
}

// CountBooting returns, for each kind, how many machines are requested or rented but not up
// yet. A machine that was up and has sent the new owner no heartbeat within TakeoverTimeout
// does not count as booting. Otherwise no replacements would be rented when half of a fleet
// becomes unreachable while its owner fails.
func (m *Manager) CountBooting() map[Kind]int {
	counts := map[Kind]int{}
	for _, rental := range m.Rentals {
		if !rental.Up && !rental.Deleting && !(rental.WasUp && m.now-rental.TrackedSince > m.TakeoverTimeout) {
			counts[rental.Kind]++
		}
	}
	for kind, count := range m.requestedCounts {
		counts[kind] += count
	}
	for _, request := range m.unconfirmedRequests {
		counts[request.kind] += request.payload.Count
	}
	return counts
}

// RecordSpotLoss records that the cloud recalled a spot machine, or that a spot
// machine is presumed dead after missed heartbeats.
func (m *Manager) RecordSpotLoss() { m.spotLosses++ }

// updateSpotRisk applies the decay to spotLosses and spotHours, and adds the hours that spot
// machines ran since the last update.
func (m *Manager) updateSpotRisk() {
	elapsed := m.now - m.spotRiskUpdatedAt
	m.spotRiskUpdatedAt = m.now
	decay := math.Exp(-elapsed.Seconds() / limits.SpotRiskDecayTime.Seconds())
	up := 0.0
	for _, rental := range m.Rentals {
		if rental.Up && rental.Kind.Spot {
			up++
		}
	}
	m.spotLosses *= decay
	m.spotHours = m.spotHours*decay + up*elapsed.Hours()
}

// SpotRisk returns the probability that a spot machine is lost within a number of
// seconds.
func (m *Manager) SpotRisk(seconds float64) float64 {
	rate := (m.spotLosses + limits.SpotRiskPrior) / (m.spotHours + limits.SpotRiskPrior)
	return 1 - math.Exp(-rate*seconds/3600)
}

// Price returns the current hourly price of a kind, or infinity if its class is
// unknown.
func (m *Manager) Price(kind Kind) float64 {
	machineType := m.Types[kind.Class]
	if machineType == nil {
		return math.Inf(1)
	}
	if kind.Spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}
