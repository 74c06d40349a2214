package history

import (
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

func TestCheck(t *testing.T) {
	const ms = time.Millisecond
	accepted := Exchange{Kind: Submission, Job: "job-1", Node: "a", SentAt: 1 * ms, AnsweredAt: 40 * ms, Status: 201, State: wire.StatusPending}
	cancelled := Exchange{Kind: Cancellation, Job: "job-1", Node: "b", SentAt: 50 * ms, AnsweredAt: 90 * ms, Status: 200, State: wire.StatusCancelled}
	done := Exchange{Kind: Question, Job: "job-1", Node: "b", SentAt: 50 * ms, AnsweredAt: 90 * ms, Status: 200, State: wire.StatusDone}
	after := func(kind Kind, sent time.Duration, status int, state wire.JobState) Exchange {
		return Exchange{Kind: kind, Job: "job-1", Node: "c", SentAt: sent, AnsweredAt: 200 * ms, Status: status, State: state}
	}
	cases := []struct {
		name      string
		exchanges []Exchange
		completed time.Duration
		want      []Rule
	}{
		{name: "a quiet job", exchanges: []Exchange{accepted, done, after(Question, 100*ms, 200, wire.StatusDone)}, completed: 60 * ms},
		{name: "queued after cancelled", exchanges: []Exchange{accepted, cancelled, after(Submission, 100*ms, 200, wire.StatusPending)}, want: []Rule{WentBack}},
		{name: "sent before the end was told", exchanges: []Exchange{accepted, cancelled, after(Submission, 60*ms, 200, wire.StatusPending)}},
		{name: "done after cancelled", exchanges: []Exchange{accepted, cancelled, after(Question, 100*ms, 200, wire.StatusDone)}, completed: 60 * ms, want: []Rule{WentBack}},
		{name: "two ends told at once", exchanges: []Exchange{accepted, cancelled, after(Question, 60*ms, 200, wire.StatusDone)}, completed: 60 * ms, want: []Rule{WentBack}},
		{name: "cancelled by nobody", exchanges: []Exchange{accepted, after(Question, 100*ms, 200, wire.StatusCancelled)}, want: []Rule{WentBack}},
		{name: "unknown after accepted", exchanges: []Exchange{accepted, after(Question, 100*ms, 404, "")}, want: []Rule{Forgotten}},
		{name: "a repeat is refused", exchanges: []Exchange{accepted, after(Submission, 100*ms, 422, "")}, want: []Rule{Forgotten}},
		{name: "told to come back", exchanges: []Exchange{accepted, cancelled, after(Submission, 100*ms, 503, ""), after(Question, 100*ms, 0, "")}},
		{name: "nobody submitted it", exchanges: []Exchange{after(Question, 100*ms, 200, wire.StatusRunning)}, want: []Rule{Invented}},
		{name: "done too early", exchanges: []Exchange{accepted, done}, completed: 95 * ms, want: []Rule{NotDone}},
		{name: "done without its tasks", exchanges: []Exchange{accepted, done}, want: []Rule{NotDone}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Recording{Exchanges: c.exchanges, Completed: map[string]time.Duration{}}
			if c.completed > 0 {
				r.Completed["job-1"] = c.completed
			}
			broken := Check(r)
			if len(broken) != len(c.want) {
				t.Fatalf("broken: %v, want %v", broken, c.want)
			}
			for i, v := range broken {
				if v.Rule != c.want[i] {
					t.Errorf("broken: %v, want %s", v, c.want[i])
				}
			}
		})
	}
}

// TestCancelledTasksMustEnd: a run is judged from the first answer that told a user of the
// cancellation, whoever gave it.
func TestCancelledTasksMustEnd(t *testing.T) {
	const second = time.Second
	told := func(at time.Duration, status int, state wire.JobState) Exchange {
		return Exchange{Kind: Cancellation, Job: "job-1", Node: "a", SentAt: at - second, AnsweredAt: at, Status: status, State: state}
	}
	submitted := Exchange{Kind: Submission, Job: "job-1", Node: "a", AnsweredAt: second, Status: 201, State: wire.StatusPending}
	run := func(job string, began, ended time.Duration) TaskRun {
		return TaskRun{Job: job, Task: job + "/0", Machine: "i-1", Began: began, Ended: ended}
	}
	for _, c := range []struct {
		name      string
		exchanges []Exchange
		runs      []TaskRun
		want      int
	}{
		{"gone in time", []Exchange{told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-1", 2*second, 30*second)}, 0},
		{"gone too late", []Exchange{told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-1", 2*second, 31*second)}, 1},
		{"started too late", []Exchange{told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-1", 40*second, 41*second)}, 1},
		{"each run counts", []Exchange{told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-1", 2*second, 31*second), run("job-1", 3*second, 4*second), run("job-1", 33*second, 34*second)}, 2},
		{"from the first answer", []Exchange{told(15*second, 200, wire.StatusCancelled), told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-1", 2*second, 31*second)}, 1},
		{"not told", []Exchange{told(10*second, 503, ""), told(10*second, 0, "")}, []TaskRun{run("job-1", 2*second, 60*second)}, 0},
		{"another job", []Exchange{told(10*second, 200, wire.StatusCancelled)}, []TaskRun{run("job-2", 2*second, 60*second)}, 0},
	} {
		r := Recording{Exchanges: append(c.exchanges, submitted), Runs: c.runs, CancelWithin: 20 * second}
		broken := Check(r)
		if len(broken) != c.want {
			t.Errorf("%s: %v", c.name, broken)
		}
		for _, v := range broken {
			if v.Rule != RanCancelled {
				t.Errorf("%s: %v", c.name, v)
			}
		}
	}
}
