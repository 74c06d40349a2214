// Package authority decides what a controller may do on what it knows, and tells why. It is pure:
// the time, what the controller knows and how old that is are inputs.
//
// Its first decision is whether a worker's report may be answered with 200. Such an answer starts
// the worker's lease anew, and all tasks on the machine may run until that lease ends, also when
// the machine hangs or hears nothing more. So an answer must stop every cancelled task that the
// machine lists, and where an order may still start a cancelled task, no answer may leave so late
// that the lease ends after the time that a cancellation has. Orders of earlier owners can be made
// harmless: a worker that has seen the fencing token of this owner refuses them.
package authority

import (
	"fmt"
	"time"

	"umberpaddle/internal/wire"
)

// Attempt names one attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// String names the attempt for logs.
func (a Attempt) String() string { return fmt.Sprintf("%s attempt %d", a.Task, a.Number) }

// PossibleStart is an attempt of a cancelled task that is not on the machine, and that an order
// which was sent and not answered may still start.
type PossibleStart struct {
	Attempt
	// ToldAfter is the earliest time at which a user can have been told of the cancellation.
	ToldAfter time.Duration
}

// EarlierOrder is an order of an earlier owner that a worker, which has not seen this owner's fencing
// token, may still carry out: it starts a task of a cancelled job.
type EarlierOrder struct {
	Job string
	// ToldAfter is the earliest time at which a user can have been told of the cancellation.
	ToldAfter time.Duration
}

// Renewal is what a controller knows when it is to answer a report with 200.
type Renewal struct {
	Now time.Duration
	// ActUntil is until when the controller may answer workers at all.
	ActUntil time.Duration
	// MaxStaleness is how long after a user was told of a cancellation a worker that may run the
	// job's tasks may last be renewed: the worker's lease then ends in time.
	MaxStaleness time.Duration
	// Listed are the attempts on the machine that must end: those of cancelled jobs, and of no
	// job that the controller knows.
	Listed []Attempt
	// MayStart are the attempts that may yet come onto the machine although they must not run.
	MayStart []PossibleStart
	// EarlierOrders are those that may be outstanding as long as the worker is not fenced.
	EarlierOrders []EarlierOrder
}

// Reason tells why a renewal is allowed or withheld.
type Reason string

// Reasons.
const (
	NothingCancelled Reason = "nothing cancelled"
	AllStopped       Reason = "cancelled tasks are stopped"
	InTime           Reason = "an order may start a cancelled task, and the lease ends in time"
	TooLate          Reason = "an order may start a cancelled task, and the lease would end too late"
	NotFenced        Reason = "an earlier owner's order may start a cancelled task, and the lease would end too late"
	NoLongerOwner    Reason = "the right to answer workers is over"
)

// Verdict is the decision about a renewal.
type Verdict struct {
	Renew bool
	// Fence: the renewal is allowed once the worker has seen this owner's fencing token.
	Fence  bool
	Reason Reason
	// Until is the time after which the answer must not leave.
	Until time.Duration
	// Stops are the commands that the answer must carry.
	Stops []wire.Command
	// Cause is the attempt for which the renewal is withheld, or bounded.
	Cause Attempt
	// CauseJob is the job of an earlier owner's order for which it is, if Cause is empty.
	CauseJob string
}

// Judge decides about renewals, and checks what was made of its decisions.
type Judge interface {
	// JudgeRenewal decides whether a report may be answered with 200, until when, and with which
	// stops.
	JudgeRenewal(Renewal) Verdict
	// CheckAnswer checks the commands of an answer that is about to leave.
	CheckAnswer(r Renewal, commands []wire.Command) error
}

// Rules is the Judge that holds the protocol's rules.
type Rules struct{}

// JudgeRenewal implements Judge.
func (Rules) JudgeRenewal(r Renewal) Verdict {
	v := Verdict{Renew: true, Reason: NothingCancelled, Until: r.ActUntil}
	for _, a := range r.Listed {
		v.Reason = AllStopped
		v.Stops = append(v.Stops, wire.Command{Verb: wire.VerbStop, Task: a.Task, Attempt: a.Number})
	}
	for _, p := range r.MayStart {
		if until := p.ToldAfter + r.MaxStaleness; until < v.Until {
			v.Reason, v.Until, v.Cause = InTime, until, p.Attempt
		}
	}
	own := v.Until
	for _, o := range r.EarlierOrders {
		if until := o.ToldAfter + r.MaxStaleness; until < v.Until {
			v.Reason, v.Until, v.Cause, v.CauseJob = InTime, until, Attempt{}, o.Job
		}
	}
	switch {
	case r.Now < v.Until:
	case r.Now < own:
		v.Renew, v.Fence, v.Reason = false, true, NotFenced
	case r.Now < r.ActUntil:
		v.Renew, v.Reason = false, TooLate
	default:
		v.Renew, v.Reason = false, NoLongerOwner
	}
	return v
}

// UnstoppedError tells that an answer would renew a machine without stopping a task that must end.
type UnstoppedError struct{ Attempt Attempt }

func (e *UnstoppedError) Error() string { return "not stopped: " + e.Attempt.String() }

// NotFencedError tells that an answer would renew a machine on which an earlier owner's order may
// start a task of a cancelled job that then runs for too long.
type NotFencedError struct{ Job string }

func (e *NotFencedError) Error() string { return "not fenced: an earlier order of " + e.Job }

// CheckAnswer implements Judge: no earlier owner's order bounds the answer's time as of now, every
// attempt that must end is stopped, and none is launched.
func (Rules) CheckAnswer(r Renewal, commands []wire.Command) error {
	for _, o := range r.EarlierOrders {
		if r.Now >= o.ToldAfter+r.MaxStaleness {
			return &NotFencedError{o.Job}
		}
	}
	if len(r.Listed) == 0 {
		return nil
	}
	stopped := make(map[Attempt]bool, len(commands))
	for _, c := range commands {
		stopped[Attempt{c.Task, c.Attempt}] = c.Verb == wire.VerbStop
	}
	for _, a := range r.Listed {
		if !stopped[a] {
			return &UnstoppedError{a}
		}
	}
	return nil
}
