// Package reachability keeps one view of the links of a controller: which of the state service,
// its peers, its workers, the cloud and its users it reaches, and which of them reach it.
//
// It is a pure state machine: the caller tells what was sent, answered, lost and heard, and when;
// out come the states of links, their changes, and a view that controllers exchange. How long a
// silence may be is learned from the gaps and latencies of each link. A link that comes and goes
// is suppressed for a while (see damper).
//
// The package judges links only. It decides nothing about leases, terms or tasks.
package reachability

import (
	"cmp"
	"time"
)

// Kind is what is at the other end of a link.
type Kind string

// Kinds of links. Requests, writes and watches of the state service are apart, since they fail
// apart: a watch waits on purpose, and writes alone are bounded by a budget.
const (
	StateRequests Kind = "state-requests"
	StateWrites   Kind = "state-writes"
	StateWatches  Kind = "state-watches"
	Peer          Kind = "peer"
	Workers       Kind = "workers"
	Cloud         Kind = "cloud"
	Users         Kind = "users"
)

// Link names one link of a controller. Name tells links of a kind apart: a peer's name, or a
// machine class and zone.
type Link struct {
	Kind Kind
	Name string
}

func (l Link) String() string {
	if l.Name == "" {
		return string(l.Kind)
	}
	return string(l.Kind) + " " + l.Name
}

// Compare orders links.
func (l Link) Compare(other Link) int {
	return cmp.Or(cmp.Compare(l.Kind, other.Kind), cmp.Compare(l.Name, other.Name))
}

// State is what is known of a link.
type State string

// States of a link.
const (
	// Unknown: nothing has been heard on it yet.
	Unknown State = "unknown"
	// Up: what is expected arrives, and requests are answered.
	Up State = "up"
	// Suspect: something is overdue by what was measured.
	Suspect State = "suspect"
	// HeardOnly: the other side's messages arrive, but requests to it are not answered.
	HeardOnly State = "heard-only"
	// AnsweredOnly: requests are answered, but messages that are expected do not arrive.
	AnsweredOnly State = "answered-only"
	// Refused: requests are answered, and refused.
	Refused State = "refused"
	// Down: nothing arrives.
	Down State = "down"
)

// Works tells whether a link in this state can be used both ways.
func (s State) Works() bool { return s == Up || s == Suspect }

// Status is what is known of a link at a time.
type Status struct {
	Link  Link
	State State
	// Since is for how long it has been in this state.
	Since time.Duration
	// Suppressed: it came and went too often, and does not count as working yet.
	Suppressed bool
	// Penalty is what its changes have added up to; see damper.
	Penalty float64
	// Changes counts how often it stopped working.
	Changes int
	// LatencyP50 and LatencyP99 are those of answers, GapP99 that of arrivals; 0: not measured.
	LatencyP50, LatencyP99, GapP99 time.Duration
	// OverdueAfter is the silence from which on the link is suspect now.
	OverdueAfter time.Duration
}

// Works tells whether the link works and is not suppressed.
func (s Status) Works() bool { return s.State.Works() && !s.Suppressed }

// Change is a link that has changed its state.
type Change struct {
	Link Link
	From State
	To   State
	// After is how long the silence or the failure had lasted when it was noticed; 0: it
	// works again.
	After time.Duration
	// Suppressed tells whether the damper holds the link back from now on.
	Suppressed bool
}
