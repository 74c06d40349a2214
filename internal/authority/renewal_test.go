package authority

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberpaddle/internal/wire"
)

const second = time.Second

// TestRenewalDecisions checks whether a lease is renewed, until when the answer may be sent, and
// which attempts the answer stops. Attempts that must stop, and orders that may still start a task,
// limit the renewal.
func TestRenewalDecisions(t *testing.T) {
	task := Attempt{"job-1/0", 4}
	otherAttempt := Attempt{"job-2/0", 9}
	for _, test := range []struct {
		name     string
		input    RenewalInput
		renew    bool
		reason   Reason
		deadline time.Duration
		stops    int
	}{
		{"nothing cancelled", RenewalInput{Now: 10 * second, AnswerDeadline: 12 * second}, true, NothingCancelled, 12 * second, 0},
		{"no longer allowed to answer", RenewalInput{Now: 12 * second, AnswerDeadline: 12 * second}, false, NoLongerOwner, 12 * second, 0},
		{"a listed task, cancellation confirmed long ago", RenewalInput{Now: 10 * second, AnswerDeadline: 12 * second, MustStop: []Attempt{task}}, true, AllStopped, 12 * second, 1},
		{"an order, answer in time", RenewalInput{Now: 10 * second, AnswerDeadline: 40 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}, {otherAttempt, 2 * second}}}, true, InTime, 22 * second, 0},
		{"an order, answer too late", RenewalInput{Now: 22 * second, AnswerDeadline: 40 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}, {otherAttempt, 2 * second}}}, false, TooLate, 22 * second, 0},
		{"an order whose deadline is later than the controller's", RenewalInput{Now: 10 * second, AnswerDeadline: 12 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}}}, true, NothingCancelled, 12 * second, 0},
	} {
		decision := Rules{}.DecideRenewal(test.input)
		if decision.Renew != test.renew || decision.Reason != test.reason || decision.Deadline != test.deadline || len(decision.Stops) != test.stops {
			t.Errorf("%s: decision %+v", test.name, decision)
		}
	}
}

// TestRenewalsStopAttemptsAndMeetDeadlines draws random inputs. Every renewal must stop all attempts that
// have to end. Its deadline must not be later than AnswerDeadline or than any limit that a possible start
// sets.
func TestRenewalsStopAttemptsAndMeetDeadlines(t *testing.T) {
	attemptGenerator := rapid.Custom(func(t *rapid.T) Attempt {
		return Attempt{rapid.SampledFrom([]string{"job-1/0", "job-1/1", "job-2/0"}).Draw(t, "task"), rapid.Uint64Range(1, 3).Draw(t, "number")}
	})
	drawSeconds := func(t *rapid.T, name string) time.Duration {
		return time.Duration(rapid.IntRange(-5, 60).Draw(t, name)) * second
	}
	rapid.Check(t, func(t *rapid.T) {
		input := RenewalInput{Now: drawSeconds(t, "now"), AnswerDeadline: drawSeconds(t, "deadline"), MaxStaleness: 20 * second, MustStop: rapid.SliceOfN(attemptGenerator, 0, 4).Draw(t, "must stop")}
		for range rapid.IntRange(0, 3).Draw(t, "orders") {
			input.MayStart = append(input.MayStart, PossibleStart{attemptGenerator.Draw(t, "order"), drawSeconds(t, "confirmed")})
		}
		decision := Rules{}.DecideRenewal(input)
		if err := (Rules{}).CheckAnswer(input, decision.Stops); err != nil {
			t.Fatalf("decision %+v: %v", decision, err)
		}
		latest := input.AnswerDeadline
		for _, start := range input.MayStart {
			latest = min(latest, start.ConfirmedAfter+input.MaxStaleness)
		}
		if decision.Deadline > latest || decision.Renew != (input.Now < latest) {
			t.Fatalf("decision %+v for input %+v", decision, input)
		}
	})
}

// TestAnswerCommandsAreChecked checks that CheckAnswer rejects an answer that renews a lease
// without stopping an attempt that must stop, or that launches the attempt again.
func TestAnswerCommandsAreChecked(t *testing.T) {
	attempt := Attempt{"job-1/0", 4}
	input := RenewalInput{MustStop: []Attempt{attempt}}
	stop := wire.Command{Verb: wire.VerbStop, Task: attempt.Task, Attempt: attempt.Number}
	launch := wire.Command{Verb: wire.VerbLaunch, Task: attempt.Task, Attempt: attempt.Number}
	stopOther := wire.Command{Verb: wire.VerbStop, Task: attempt.Task, Attempt: attempt.Number + 1}
	for _, test := range []struct {
		name     string
		commands []wire.Command
		ok       bool
	}{
		{"stopped", []wire.Command{launch, stop}, true},
		{"no command", nil, false},
		{"another attempt", []wire.Command{stopOther}, false},
		{"launched again", []wire.Command{stop, launch}, false},
	} {
		err := Rules{}.CheckAnswer(input, test.commands)
		var unstopped *UnstoppedError
		if test.ok != (err == nil) || err != nil && (!errors.As(err, &unstopped) || unstopped.Attempt != attempt) {
			t.Errorf("%s: CheckAnswer returned %v", test.name, err)
		}
	}
}

// TestEarlierOrdersRequireFenceOrDeadline draws random orders of this owner and of earlier owners. The
// deadline of a renewal must be the earliest of the limits that these orders and AnswerDeadline set. A
// fence must be requested if and only if it would make the renewal possible. CheckAnswer must reject an
// answer that is sent after the limit of an earlier owner's order.
func TestEarlierOrdersRequireFenceOrDeadline(t *testing.T) {
	const staleness = 20 * second
	drawSeconds := func(t *rapid.T, name string) time.Duration {
		return time.Duration(rapid.IntRange(-40, 60).Draw(t, name)) * second
	}
	rapid.Check(t, func(t *rapid.T) {
		input := RenewalInput{Now: drawSeconds(t, "now"), AnswerDeadline: drawSeconds(t, "deadline"), MaxStaleness: staleness}
		for range rapid.IntRange(0, 2).Draw(t, "own orders") {
			input.MayStart = append(input.MayStart, PossibleStart{Attempt{"job-1/0", 1}, drawSeconds(t, "confirmed")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "earlier orders") {
			input.EarlierOrders = append(input.EarlierOrders, EarlierOrder{"job-2", drawSeconds(t, "confirmed")})
		}
		fencedInput := input
		fencedInput.EarlierOrders = nil
		decision, fencedDecision := Rules{}.DecideRenewal(input), Rules{}.DecideRenewal(fencedInput)
		latest, overdue := fencedDecision.Deadline, false
		for _, order := range input.EarlierOrders {
			latest = min(latest, order.ConfirmedAfter+staleness)
			overdue = overdue || input.Now >= order.ConfirmedAfter+staleness
		}
		if decision.Renew != (input.Now < latest) || decision.Renew && decision.Deadline != latest {
			t.Fatalf("decision %+v for input %+v", decision, input)
		}
		if decision.FenceFirst != (fencedDecision.Renew && !decision.Renew) || decision.FenceFirst && (decision.Reason != NotFenced || decision.CauseJob == "") {
			t.Fatalf("wrong fence in decision %+v for input %+v", decision, input)
		}
		var notFenced *NotFencedError
		if err := (Rules{}).CheckAnswer(input, decision.Stops); errors.As(err, &notFenced) != overdue {
			t.Fatalf("CheckAnswer returned %v for input %+v", err, input)
		}
	})
}
