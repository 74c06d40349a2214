// Package reachability monitors the links of a controller to the state service, its peers, its
// workers, the cloud and its users. It judges the two directions of a link separately.
//
// It is a state machine without I/O: the caller records what was sent, answered, lost and received,
// and when. A Monitor returns the states of the links, their changes, and a View that controllers
// exchange. How long a silence is normal is derived from the measured gaps and latencies of each link. A
// link that fails repeatedly (a flapping link) is suppressed for a while (see damper).
//
// The package only judges links. It decides nothing about leases, terms or tasks.
package reachability

import (
	"cmp"
	"time"
)

// Kind is the kind of service or client at the other end of a link.
type Kind string

// Kinds of links. Requests, writes and watches of the state service are separate kinds because they
// fail separately: the server holds a watch open on purpose, and writes have a budget of their own.
const (
	StateRequests Kind = "state-requests"
	StateWrites   Kind = "state-writes"
	StateWatches  Kind = "state-watches"
	Peer          Kind = "peer"
	Workers       Kind = "workers"
	Cloud         Kind = "cloud"
	Users         Kind = "users"
)

// Link identifies one link of a controller. Name distinguishes the links of a kind: it is a peer's
// name, or a machine class and zone.
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

// Compare orders links by kind, then by name.
func (l Link) Compare(other Link) int {
	return cmp.Or(cmp.Compare(l.Kind, other.Kind), cmp.Compare(l.Name, other.Name))
}

// State is the state of a link as the controller sees it.
type State string

// States of a link.
const (
	// Unknown: nothing has been received on the link yet, or nothing is expected on it now.
	Unknown State = "unknown"
	// Up: expected messages arrive, and requests are answered.
	Up State = "up"
	// Suspect: a message or an answer is later than the measured gaps or latencies allow.
	Suspect State = "suspect"
	// HeardOnly: messages of the other side arrive, but requests to it are not answered.
	HeardOnly State = "heard-only"
	// AnsweredOnly: requests are answered, but expected messages do not arrive.
	AnsweredOnly State = "answered-only"
	// Refused: requests are answered with a refusal.
	Refused State = "refused"
	// Down: no expected message or answer arrives.
	Down State = "down"
)

// Works reports whether a link in this state can be used in both directions.
func (s State) Works() bool { return s == Up || s == Suspect }

// Status describes a link at one time.
type Status struct {
	Link  Link
	State State
	// Since is how long the link has been in this state.
	Since time.Duration
	// Suppressed: the link has failed repeatedly and does not count as working yet.
	Suppressed bool
	// Penalty is the sum of penalties for its failures after decay; see damper.
	Penalty float64
	// Changes counts how often the link stopped working.
	Changes int
	// LatencyP50 and LatencyP99 are quantiles of the time until an answer, GapP99 of the time
	// between messages; 0: too few samples.
	LatencyP50, LatencyP99, GapP99 time.Duration
	// OverdueAfter is the length of silence after which the link becomes suspect.
	OverdueAfter time.Duration
}

// Works reports whether the link works and is not suppressed.
func (s Status) Works() bool { return s.State.Works() && !s.Suppressed }

// Change is a change of the state of a link, or of its suppression.
type Change struct {
	Link Link
	From State
	To   State
	// SilentFor is how long the silence or the failure had lasted when it was detected; 0: the
	// link works again.
	SilentFor time.Duration
	// Suppressed reports whether the damper suppresses the link from now on.
	Suppressed bool
}
