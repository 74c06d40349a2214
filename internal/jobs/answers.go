package jobs

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Answer is the response to a user's request: an HTTP status, a body, and the seconds to wait before
// a retry (0: none).
type Answer struct {
	Status     int
	Body       any
	RetryAfter int
}

// RetryLater returns an answer that asks the user to retry later.
func RetryLater() Answer {
	return Answer{Status: 503, Body: wire.ErrorBody{Error: "try again"}, RetryAfter: limits.RetryAfterS}
}

func statusAnswer(status wire.JobStatus) Answer { return Answer{Status: 200, Body: status} }

// waiter is a user request that waits for an answer about one job. It is answered once.
type waiter struct {
	jobID string
	// arrivedAfter is the number of the last call that had been sent to the state service when
	// the user's request arrived.
	arrivedAfter uint64
	deadline     time.Duration
	// confirmationDeadline, if it is later, replaces deadline once the cancellation that the user
	// requested is recorded.
	confirmationDeadline time.Duration
	reply                func(Answer)
	answered             bool
}

func (r *Registry) newWaiter(jobID string, wait time.Duration, reply func(Answer)) *waiter {
	return &waiter{jobID: jobID, arrivedAfter: r.store.LastCallID(), deadline: r.now + wait, reply: reply}
}

// answer sends an answer unless one was sent before. Callers other than answerFromRead pass only
// answers that can't be stale: those that don't depend on the job's state, and the job's final
// state, which never changes. A cancellation is passed only once it may be reported to users.
func (w *waiter) answer(a Answer) {
	if !w.answered {
		w.answered = true
		w.reply(a)
	}
}

// expireWaiters asks the users whose deadline has passed, or all of them if all is set, to retry later. It
// returns the waiters that are not answered yet, in the same slice.
func (r *Registry) expireWaiters(waiters []*waiter, all bool) []*waiter {
	remaining := waiters[:0]
	for _, request := range waiters {
		if all || r.now >= request.deadline {
			request.answer(RetryLater())
		}
		if !request.answered {
			remaining = append(remaining, request)
		}
	}
	clear(waiters[len(remaining):])
	return remaining
}

// stateRead is an answered call to the state service that returned the state of jobs.
type stateRead struct{ call uint64 }

// isFreshFor reports whether the read was sent after the user's request arrived. Only then is its
// result at least as new as every answer that any node had sent before the user made the request.
func (r stateRead) isFreshFor(w *waiter) bool { return r.call > w.arrivedAfter }

// answerFromRead answers with the state of a job that a read found unfinished or unknown. Every
// such state reaches users through this method, which enforces two rules. If this node has received
// the job's final state meanwhile, the answer is the final state. A state that was read before the
// request arrived is withheld. Callers start a new read if their read is not fresh for a request, so a
// withheld answer is a bug in this program.
func (r *Registry) answerFromRead(read stateRead, request *waiter, answer Answer) {
	if final, ok := r.finalStates[request.jobID]; ok {
		r.answerCached(request, final)
		return
	}
	if !read.isFreshFor(request) {
		r.WithheldAnswers++
		r.log(slog.LevelError, "answer withheld: read before its request came", "job", request.jobID, "call", read.call, "arrivedAfter", request.arrivedAfter)
		request.answer(RetryLater())
		return
	}
	r.log(slog.LevelDebug, "job state told", "job", request.jobID, "status", answer.Status, "call", read.call, "arrivedAfter", request.arrivedAfter, "revision", r.store.Mirror.Revision)
	request.answer(answer)
}

// answerCached answers with a job's final state, which this node knows. If it is a cancellation, the answer
// waits until it may be confirmed.
func (r *Registry) answerCached(request *waiter, final cachedFinal) {
	if final.mayBeReported() {
		request.answer(finalAnswer(request.jobID, final.finalState))
	} else if recorded := r.recordedCancellation(request.jobID); recorded != nil {
		r.awaitConfirmation(recorded, request)
	} else {
		r.answerWithFinal(request, nil)
	}
}

func finalAnswer(job string, final finalState) Answer {
	return statusAnswer(wire.JobStatus{ID: job, Status: final.Status, Done: final.Done})
}
