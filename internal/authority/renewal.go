// Package authority decides which actions a controller may take, from its current information, and
// returns the reason for each decision. It has no state: the time, the controller's information and the
// age of that information are inputs.
//
// The package decides whether a worker's heartbeat may be answered with 200. Such an answer renews
// the worker's lease, and every task on the machine may run until that lease ends, even if the
// machine hangs or receives nothing more. So the answer must stop every cancelled task that the
// machine lists. If an order may still start a cancelled task, the answer must be sent early enough
// for the lease to end within the time allowed for a cancellation. Orders of earlier owners can be
// invalidated: a worker that has seen this owner's fencing token refuses them.
package authority

import (
	"fmt"
	"time"

	"umberpaddle/internal/wire"
)

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// String returns the attempt as it appears in logs.
func (a Attempt) String() string { return fmt.Sprintf("%s attempt %d", a.Task, a.Number) }

// PossibleStart is an attempt of a cancelled task. The attempt is not on the machine, but an order
// that was sent and not yet answered may still start it.
type PossibleStart struct {
	Attempt
	// ConfirmedAfter is the earliest time at which the cancellation can have been confirmed to a
	// user.
	ConfirmedAfter time.Duration
}

// EarlierOrder is an order of an earlier owner that starts a task of a cancelled job. A worker that
// has not seen the current owner's fencing token may still carry it out.
type EarlierOrder struct {
	Job string
	// ConfirmedAfter is the earliest time at which the cancellation can have been confirmed to a
	// user.
	ConfirmedAfter time.Duration
}

// RenewalInput is the information on which a controller decides whether to answer a heartbeat with 200.
type RenewalInput struct {
	Now time.Duration
	// AnswerDeadline is the time from which the controller may not answer workers at all.
	AnswerDeadline time.Duration
	// MaxStaleness is how long after the confirmation of a cancellation a worker that may run the job's
	// tasks may still be renewed. With a later renewal, the worker's lease would end too late.
	MaxStaleness time.Duration
	// MustStop are the attempts on the machine that must end: attempts of cancelled jobs and of
	// jobs unknown to the controller.
	MustStop []Attempt
	// MayStart are the attempts that must not run but may still be started on the machine.
	MayStart []PossibleStart
	// EarlierOrders are the orders of earlier owners that the worker may carry out until it is
	// fenced.
	EarlierOrders []EarlierOrder
}

// Reason is why a renewal is allowed or withheld.
type Reason string

// Reasons for a decision. With the first three, the lease is renewed; with the others, the renewal is
// withheld.
const (
	NothingCancelled Reason = "nothing cancelled"
	AllStopped       Reason = "cancelled tasks are stopped"
	InTime           Reason = "an order may start a cancelled task, and the lease ends in time"
	TooLate          Reason = "an order may start a cancelled task, and the lease would end too late"
	NotFenced        Reason = "an earlier owner's order may start a cancelled task, and the lease would end too late"
	NoLongerOwner    Reason = "the right to answer workers is over"
)

// Decision states whether the lease of a worker is renewed, and under which conditions.
type Decision struct {
	Renew bool
	// FenceFirst reports that the renewal is allowed only once the worker has seen this owner's
	// fencing token.
	FenceFirst bool
	Reason     Reason
	// Deadline is the time from which the answer must not be sent.
	Deadline time.Duration
	// Stops are the commands that the answer must carry.
	Stops []wire.Command
	// Cause is the attempt because of which the renewal is withheld or its deadline shortened. It is
	// empty if there is no such attempt.
	Cause Attempt
	// CauseJob is the job of the earlier owner's order because of which the renewal is withheld or
	// its deadline shortened. If it is set, Cause is empty.
	CauseJob string
}

// RenewalPolicy decides about renewals and checks the answers built from its decisions.
type RenewalPolicy interface {
	// DecideRenewal returns whether a heartbeat may be answered with 200, by when, and with which
	// stop commands.
	DecideRenewal(RenewalInput) Decision
	// CheckAnswer checks the commands of an answer just before it is sent.
	CheckAnswer(input RenewalInput, commands []wire.Command) error
}

// Rules is the RenewalPolicy that implements the rules of the protocol.
type Rules struct{}

// DecideRenewal implements RenewalPolicy. Each order that may start a cancelled task limits the deadline
// of the renewal. If only the deadlines set by earlier owners' orders have passed, DecideRenewal
// requires a fence first: after the fence, the worker refuses these orders.
func (Rules) DecideRenewal(input RenewalInput) Decision {
	decision := Decision{Renew: true, Reason: NothingCancelled, Deadline: input.AnswerDeadline}
	for _, attempt := range input.MustStop {
		decision.Reason = AllStopped
		decision.Stops = append(decision.Stops, wire.Command{Verb: wire.VerbStop, Task: attempt.Task, Attempt: attempt.Number})
	}
	for _, start := range input.MayStart {
		if deadline := start.ConfirmedAfter + input.MaxStaleness; deadline < decision.Deadline {
			decision.Reason, decision.Deadline, decision.Cause = InTime, deadline, start.Attempt
		}
	}
	fencedDeadline := decision.Deadline
	for _, order := range input.EarlierOrders {
		if deadline := order.ConfirmedAfter + input.MaxStaleness; deadline < decision.Deadline {
			decision.Reason, decision.Deadline, decision.Cause, decision.CauseJob = InTime, deadline, Attempt{}, order.Job
		}
	}
	switch {
	case input.Now < decision.Deadline:
	case input.Now < fencedDeadline:
		decision.Renew, decision.FenceFirst, decision.Reason = false, true, NotFenced
	case input.Now < input.AnswerDeadline:
		decision.Renew, decision.Reason = false, TooLate
	default:
		decision.Renew, decision.Reason = false, NoLongerOwner
	}
	return decision
}

// UnstoppedError reports that an answer would renew a machine without stopping a task that must end.
type UnstoppedError struct{ Attempt Attempt }

func (e *UnstoppedError) Error() string {
	return "answer does not stop " + e.Attempt.String()
}

// NotFencedError reports that an answer would renew a machine on which an earlier owner's order may
// start a task of a cancelled job, and that the task could then run past the time allowed for the
// cancellation.
type NotFencedError struct{ Job string }

func (e *NotFencedError) Error() string {
	return "worker is not fenced: an earlier owner's order may start a task of " + e.Job
}

// CheckAnswer implements RenewalPolicy. It returns an error if the deadline set by an earlier owner's
// order has passed, or if the answer does not stop an attempt that must end or launches it again.
func (Rules) CheckAnswer(input RenewalInput, commands []wire.Command) error {
	for _, order := range input.EarlierOrders {
		if input.Now >= order.ConfirmedAfter+input.MaxStaleness {
			return &NotFencedError{order.Job}
		}
	}
	if len(input.MustStop) == 0 {
		return nil
	}
	stoppedAttempts := make(map[Attempt]bool, len(commands))
	for _, command := range commands {
		stoppedAttempts[Attempt{command.Task, command.Attempt}] = command.Verb == wire.VerbStop
	}
	for _, attempt := range input.MustStop {
		if !stoppedAttempts[attempt] {
			return &UnstoppedError{attempt}
		}
	}
	return nil
}
