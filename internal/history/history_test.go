package history

import (
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// TestCheck checks which violations are found in recorded requests and answers. A request that was
// sent before another request was answered may see an older state. Two different final states are a
// violation even in concurrent answers.
func TestCheck(t *testing.T) {
	const ms = time.Millisecond
	acceptance := Exchange{Kind: Submission, Job: "job-1", Node: "a", SentAt: 1 * ms, AnsweredAt: 40 * ms, Status: 201, State: wire.StatusPending}
	cancellation := Exchange{Kind: Cancellation, Job: "job-1", Node: "b", SentAt: 50 * ms, AnsweredAt: 90 * ms, Status: 200, State: wire.StatusCancelled}
	completion := Exchange{Kind: Query, Job: "job-1", Node: "b", SentAt: 50 * ms, AnsweredAt: 90 * ms, Status: 200, State: wire.StatusDone}
	laterExchange := func(kind RequestKind, sent time.Duration, status int, state wire.JobState) Exchange {
		return Exchange{Kind: kind, Job: "job-1", Node: "c", SentAt: sent, AnsweredAt: 200 * ms, Status: status, State: state}
	}
	cases := []struct {
		name      string
		exchanges []Exchange
		completed time.Duration
		want      []Rule
	}{
		{name: "no violation", exchanges: []Exchange{acceptance, completion, laterExchange(Query, 100*ms, 200, wire.StatusDone)}, completed: 60 * ms},
		{name: "pending after cancelled", exchanges: []Exchange{acceptance, cancellation, laterExchange(Submission, 100*ms, 200, wire.StatusPending)}, want: []Rule{StateRegressed}},
		{name: "sent before the cancellation was answered", exchanges: []Exchange{acceptance, cancellation, laterExchange(Submission, 60*ms, 200, wire.StatusPending)}},
		{name: "done after cancelled", exchanges: []Exchange{acceptance, cancellation, laterExchange(Query, 100*ms, 200, wire.StatusDone)}, completed: 60 * ms, want: []Rule{StateRegressed}},
		{name: "two final states in concurrent answers", exchanges: []Exchange{acceptance, cancellation, laterExchange(Query, 60*ms, 200, wire.StatusDone)}, completed: 60 * ms, want: []Rule{StateRegressed}},
		{name: "cancelled without a request", exchanges: []Exchange{acceptance, laterExchange(Query, 100*ms, 200, wire.StatusCancelled)}, want: []Rule{StateRegressed}},
		{name: "unknown after accepted", exchanges: []Exchange{acceptance, laterExchange(Query, 100*ms, 404, "")}, want: []Rule{JobLost}},
		{name: "repeated submission refused", exchanges: []Exchange{acceptance, laterExchange(Submission, 100*ms, 422, "")}, want: []Rule{JobLost}},
		{name: "asked to try again", exchanges: []Exchange{acceptance, cancellation, laterExchange(Submission, 100*ms, 503, ""), laterExchange(Query, 100*ms, 0, "")}},
		{name: "never submitted", exchanges: []Exchange{laterExchange(Query, 100*ms, 200, wire.StatusRunning)}, want: []Rule{NeverSubmitted}},
		{name: "done too early", exchanges: []Exchange{acceptance, completion}, completed: 95 * ms, want: []Rule{DoneTooEarly}},
		{name: "done without completing its tasks", exchanges: []Exchange{acceptance, completion}, want: []Rule{DoneTooEarly}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			recording := Recording{Exchanges: testCase.exchanges, CompletedAt: map[string]time.Duration{}}
			if testCase.completed > 0 {
				recording.CompletedAt["job-1"] = testCase.completed
			}
			violations := Check(recording)
			if len(violations) != len(testCase.want) {
				t.Fatalf("violations: %v, want %v", violations, testCase.want)
			}
			for i, v := range violations {
				if v.Rule != testCase.want[i] {
					t.Errorf("violations: %v, want %s", v, testCase.want[i])
				}
			}
		})
	}
}

// TestCancelledTasksMustEnd checks that the time limit of a task run starts with the first answer
// that confirms the cancellation, whichever node gave it.
func TestCancelledTasksMustEnd(t *testing.T) {
	const second = time.Second
	cancellationAnswer := func(at time.Duration, status int, state wire.JobState) Exchange {
		return Exchange{Kind: Cancellation, Job: "job-1", Node: "a", SentAt: at - second, AnsweredAt: at, Status: status, State: state}
	}
	submission := Exchange{Kind: Submission, Job: "job-1", Node: "a", AnsweredAt: second, Status: 201, State: wire.StatusPending}
	newRun := func(job string, began, ended time.Duration) TaskRun {
		return TaskRun{Job: job, Task: job + "/0", Machine: "i-1", Began: began, Ended: ended}
	}
	for _, testCase := range []struct {
		name      string
		exchanges []Exchange
		runs      []TaskRun
		want      int
	}{
		{"ended in time", []Exchange{cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-1", 2*second, 30*second)}, 0},
		{"ended too late", []Exchange{cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-1", 2*second, 31*second)}, 1},
		{"started too late", []Exchange{cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-1", 40*second, 41*second)}, 1},
		{"each run counts", []Exchange{cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-1", 2*second, 31*second), newRun("job-1", 3*second, 4*second), newRun("job-1", 33*second, 34*second)}, 2},
		{"counted from the first answer", []Exchange{cancellationAnswer(15*second, 200, wire.StatusCancelled), cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-1", 2*second, 31*second)}, 1},
		{"cancellation not confirmed", []Exchange{cancellationAnswer(10*second, 503, ""), cancellationAnswer(10*second, 0, "")}, []TaskRun{newRun("job-1", 2*second, 60*second)}, 0},
		{"another job", []Exchange{cancellationAnswer(10*second, 200, wire.StatusCancelled)}, []TaskRun{newRun("job-2", 2*second, 60*second)}, 0},
	} {
		recording := Recording{Exchanges: append(testCase.exchanges, submission), Runs: testCase.runs, CancelWithin: 20 * second}
		violations := Check(recording)
		if len(violations) != testCase.want {
			t.Errorf("%s: %v", testCase.name, violations)
		}
		for _, v := range violations {
			if v.Rule != RanAfterCancel {
				t.Errorf("%s: %v", testCase.name, v)
			}
		}
	}
}
