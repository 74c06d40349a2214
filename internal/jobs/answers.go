package jobs

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Answer is what a user gets.
type Answer struct {
	Status     int
	Body       any
	RetryAfter int
}

// RetryLater tells a user to come back.
func RetryLater() Answer {
	return Answer{Status: 503, Body: wire.ErrorBody{Error: "try again"}, RetryAfter: limits.RetryAfterS}
}

func stateAnswer(s wire.JobStatus) Answer { return Answer{Status: 200, Body: s} }

// waiter is a user who waits for an answer about one job. It is answered once.
type waiter struct {
	job string
	// arrivedAfter is the last call to the state service that had left when the user's
	// request arrived.
	arrivedAfter uint64
	until        time.Duration
	reply        func(Answer)
	answered     bool
}

func (r *Registry) newWaiter(job string, wait time.Duration, reply func(Answer)) *waiter {
	return &waiter{job: job, arrivedAfter: r.store.LastCall(), until: r.now + wait, reply: reply}
}

// answer gives an answer that says nothing about where the job stands, or its final state,
// which no later reading can change.
func (w *waiter) answer(a Answer) {
	if !w.answered {
		w.answered = true
		w.reply(a)
	}
}

// reading is an answered call to the state service that told where jobs stand.
type reading struct{ call uint64 }

// covers tells whether the reading left after the user's request arrived. Only then is what it
// told at least as new as every answer that any node had given before that request was sent.
func (r reading) covers(w *waiter) bool { return r.call > w.arrivedAfter }

// answerFrom answers with the state of a job that a reading found unfinished or unknown. It is
// the only way by which such a state reaches a user, and it holds two rules: the end of the
// job, if this node has learned it meanwhile, is told instead; and what was read before the
// request came is withheld. Callers read anew for whom a reading doesn't cover, so a withheld
// answer is a fault of this program.
func (r *Registry) answerFrom(read reading, w *waiter, a Answer) {
	if final, ok := r.finals[w.job]; ok {
		w.answer(finalAnswer(w.job, final))
		return
	}
	if !read.covers(w) {
		r.WithheldAnswers++
		r.log(slog.LevelError, "answer withheld: read before its request came", "job", w.job, "call", read.call, "arrivedAfter", w.arrivedAfter)
		w.answer(RetryLater())
		return
	}
	r.log(slog.LevelDebug, "job state told", "job", w.job, "status", a.Status, "call", read.call, "arrivedAfter", w.arrivedAfter, "revision", r.store.Mirror.Revision)
	w.answer(a)
}

func finalAnswer(job string, f finalState) Answer {
	return stateAnswer(wire.JobStatus{ID: job, Status: f.Status, Done: f.Done})
}
