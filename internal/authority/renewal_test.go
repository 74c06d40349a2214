package authority

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberpaddle/internal/wire"
)

const second = time.Second

func TestRenewalsAreJudged(t *testing.T) {
	task := Attempt{"job-1/0", 4}
	other := Attempt{"job-2/0", 9}
	for _, x := range []struct {
		name   string
		r      Renewal
		renew  bool
		reason Reason
		until  time.Duration
		stops  int
	}{
		{"nothing cancelled", Renewal{Now: 10 * second, ActUntil: 12 * second}, true, NothingCancelled, 12 * second, 0},
		{"the right is over", Renewal{Now: 12 * second, ActUntil: 12 * second}, false, NoLongerOwner, 12 * second, 0},
		{"a listed task, told long ago", Renewal{Now: 10 * second, ActUntil: 12 * second, Listed: []Attempt{task}}, true, AllStopped, 12 * second, 1},
		{"an order, in time", Renewal{Now: 10 * second, ActUntil: 40 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}, {other, 2 * second}}}, true, InTime, 22 * second, 0},
		{"an order, too late", Renewal{Now: 22 * second, ActUntil: 40 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}, {other, 2 * second}}}, false, TooLate, 22 * second, 0},
		{"an order that bounds nothing", Renewal{Now: 10 * second, ActUntil: 12 * second, MaxStaleness: 20 * second,
			MayStart: []PossibleStart{{task, 5 * second}}}, true, NothingCancelled, 12 * second, 0},
	} {
		v := Rules{}.JudgeRenewal(x.r)
		if v.Renew != x.renew || v.Reason != x.reason || v.Until != x.until || len(v.Stops) != x.stops {
			t.Errorf("%s: %+v", x.name, v)
		}
	}
}

// TestRenewalsHoldTheRule draws what an owner knows: no renewal leaves a listed attempt unstopped,
// and none may leave later than the time that any possible start allows.
func TestRenewalsHoldTheRule(t *testing.T) {
	attempt := rapid.Custom(func(t *rapid.T) Attempt {
		return Attempt{rapid.SampledFrom([]string{"job-1/0", "job-1/1", "job-2/0"}).Draw(t, "task"), rapid.Uint64Range(1, 3).Draw(t, "number")}
	})
	seconds := func(t *rapid.T, name string) time.Duration {
		return time.Duration(rapid.IntRange(-5, 60).Draw(t, name)) * second
	}
	rapid.Check(t, func(t *rapid.T) {
		r := Renewal{Now: seconds(t, "now"), ActUntil: seconds(t, "until"), MaxStaleness: 20 * second, Listed: rapid.SliceOfN(attempt, 0, 4).Draw(t, "listed")}
		for range rapid.IntRange(0, 3).Draw(t, "orders") {
			r.MayStart = append(r.MayStart, PossibleStart{attempt.Draw(t, "order"), seconds(t, "told")})
		}
		v := Rules{}.JudgeRenewal(r)
		if err := (Rules{}).CheckAnswer(r, v.Stops); err != nil {
			t.Fatalf("%+v: %v", v, err)
		}
		latest := r.ActUntil
		for _, p := range r.MayStart {
			latest = min(latest, p.ToldAfter+r.MaxStaleness)
		}
		if v.Until > latest || v.Renew != (r.Now < latest) {
			t.Fatalf("%+v of %+v", v, r)
		}
	})
}

func TestAnswersAreChecked(t *testing.T) {
	a := Attempt{"job-1/0", 4}
	r := Renewal{Listed: []Attempt{a}}
	stop := wire.Command{Verb: wire.VerbStop, Task: a.Task, Attempt: a.Number}
	launch := wire.Command{Verb: wire.VerbLaunch, Task: a.Task, Attempt: a.Number}
	another := wire.Command{Verb: wire.VerbStop, Task: a.Task, Attempt: a.Number + 1}
	for _, x := range []struct {
		name     string
		commands []wire.Command
		ok       bool
	}{
		{"stopped", []wire.Command{launch, stop}, true},
		{"no command", nil, false},
		{"another attempt", []wire.Command{another}, false},
		{"launched again", []wire.Command{stop, launch}, false},
	} {
		err := Rules{}.CheckAnswer(r, x.commands)
		var unstopped *UnstoppedError
		if x.ok != (err == nil) || err != nil && (!errors.As(err, &unstopped) || unstopped.Attempt != a) {
			t.Errorf("%s: %v", x.name, err)
		}
	}
}

// TestEarlierOrdersAreFencedOrBounded draws what an owner knows of orders of its own and of earlier owners: a
// renewal is allowed no later than any of them bounds, a fence is asked for exactly where it would allow the
// renewal, and an answer that ignores an earlier order is found.
func TestEarlierOrdersAreFencedOrBounded(t *testing.T) {
	const staleness = 20 * second
	seconds := func(t *rapid.T, name string) time.Duration {
		return time.Duration(rapid.IntRange(-40, 60).Draw(t, name)) * second
	}
	rapid.Check(t, func(t *rapid.T) {
		r := Renewal{Now: seconds(t, "now"), ActUntil: seconds(t, "until"), MaxStaleness: staleness}
		for range rapid.IntRange(0, 2).Draw(t, "own orders") {
			r.MayStart = append(r.MayStart, PossibleStart{Attempt{"job-1/0", 1}, seconds(t, "told")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "earlier orders") {
			r.EarlierOrders = append(r.EarlierOrders, EarlierOrder{"job-2", seconds(t, "told")})
		}
		fenced := r
		fenced.EarlierOrders = nil
		v, once := Rules{}.JudgeRenewal(r), Rules{}.JudgeRenewal(fenced)
		latest, overdue := once.Until, false
		for _, o := range r.EarlierOrders {
			latest = min(latest, o.ToldAfter+staleness)
			overdue = overdue || r.Now >= o.ToldAfter+staleness
		}
		if v.Renew != (r.Now < latest) || v.Renew && v.Until != latest {
			t.Fatalf("%+v of %+v", v, r)
		}
		if v.Fence != (once.Renew && !v.Renew) || v.Fence && (v.Reason != NotFenced || v.CauseJob == "") {
			t.Fatalf("fence: %+v of %+v", v, r)
		}
		var notFenced *NotFencedError
		if err := (Rules{}).CheckAnswer(r, v.Stops); errors.As(err, &notFenced) != overdue {
			t.Fatalf("answer checked: %v of %+v", err, r)
		}
	})
}
