package jobs

import (
	"log/slog"
	"math"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// submission is a job to be accepted, with all users who wait for the result.
type submission struct {
	job            *wire.Job
	waiters        []*waiter // the first gets status 201
	ownTransaction bool      // sent in a transaction of its own
	jobExists      bool      // the job was accepted before, and only its state is looked up
}

// IsFull reports whether the limit of waiting requests or of open jobs is reached.
func (r *Registry) IsFull() bool {
	return r.waitingRequests >= limits.MaxWaitingRequests || len(r.OpenJobs) >= limits.MaxOpenJobs
}

// IsAccepted reports whether the job is certain to have been accepted.
func (r *Registry) IsAccepted(id string) bool {
	if _, ok := r.finalStates[id]; ok {
		return true
	}
	return r.OpenJobs[id] != nil
}

// Submit accepts a job. One transaction makes it durable, unless the job exists already.
func (r *Registry) Submit(now time.Duration, job *wire.Job, answer func(Answer)) {
	r.now = max(r.now, now)
	request := r.newWaiter(job.ID, limits.SubmitTimeout, answer)
	if sub := r.submissionsByID[job.ID]; sub != nil {
		r.joinSubmission(sub, request)
		return
	}
	if r.IsFull() {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	// A job that can't be accepted now is refused at once, with a time to retry after.
	if r.store.Unreachable() {
		answer(RetryLater())
		return
	}
	if wait := r.store.WriteWait(statestore.PriorityUser); wait > limits.MaxSubmitWriteWait {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "the state service's budget is used up"}, RetryAfter: int(math.Ceil(wait.Seconds()))})
		return
	}
	sub := &submission{job: job, waiters: []*waiter{request}}
	r.submissionsByID[job.ID] = sub
	r.waitingRequests++
	r.queuedSubmissions = append(r.queuedSubmissions, sub)
}

// joinSubmission makes a repeated submission wait for the result of the unfinished submission of the
// same job. If the job is already known to exist, the repeated submission gets a lookup of its own.
func (r *Registry) joinSubmission(sub *submission, request *waiter) {
	if sub.jobExists {
		r.startLookup(&lookup{waiter: request})
		return
	}
	sub.waiters = append(sub.waiters, request)
}

// closeSubmission removes a submission that no longer waits for a result. If a user submits the job
// again, a new submission starts.
func (r *Registry) closeSubmission(sub *submission) {
	if r.submissionsByID[sub.job.ID] == sub {
		delete(r.submissionsByID, sub.job.ID)
	}
	r.waitingRequests--
}

// failSubmission asks all users who wait for a submission to retry later.
func (r *Registry) failSubmission(sub *submission) {
	r.closeSubmission(sub)
	for _, request := range sub.waiters {
		request.answer(RetryLater())
	}
}

// sendSubmissions groups the queued submissions into transactions.
func (r *Registry) sendSubmissions() {
	for len(r.queuedSubmissions) > 0 {
		groupSize := 1
		if !r.queuedSubmissions[0].ownTransaction {
			for groupSize < len(r.queuedSubmissions) && groupSize < r.store.MaxWrites() && !r.queuedSubmissions[groupSize].ownTransaction {
				groupSize++
			}
		}
		group := r.queuedSubmissions[:groupSize:groupSize]
		r.queuedSubmissions = r.queuedSubmissions[groupSize:]
		r.commitSubmissions(group)
	}
	r.queuedSubmissions = nil
}

// commitSubmissions makes a group of submissions durable in one transaction.
func (r *Registry) commitSubmissions(group []*submission) {
	var txn wire.Txn
	for _, sub := range group {
		txn.Guards = append(txn.Guards, wire.Guard{Key: keyJob + sub.job.ID}, wire.Guard{Key: keyFinal + sub.job.ID})
		txn.Then = append(txn.Then, wire.Op{Key: keyJob + sub.job.ID, Value: sub.job})
	}
	r.store.Txn(statestore.PriorityUser, limits.SubmitTimeout, txn, func(reply statestore.Reply) {
		var txnReply wire.TxnReply
		decoded := wire.Decode(reply.Body, &txnReply) == nil
		switch {
		case reply.Status == statestore.OK && decoded:
			r.handleAccepted(group, stateRead{reply.CallID}, txnReply.Revision)
		case reply.Status == statestore.Conflict && decoded:
			r.handleConflict(group, failedKeys(txnReply))
		case reply.Status == statestore.BadRequest && len(group) > 1:
			// The state service may refuse one record for its size or form, and with it the
			// whole transaction. Each submission is sent again in a transaction of its own,
			// so that the other submissions don't fail too.
			for _, sub := range group {
				r.resubmit(sub)
			}
		default:
			// The transaction was not executed, or may still be executed later. The user
			// retries, and the guards ensure that only one job is created.
			for _, sub := range group {
				r.failSubmission(sub)
			}
		}
	})
}

// failedKeys returns the keys whose guards failed.
func failedKeys(txnReply wire.TxnReply) map[string]bool {
	failedGuards := map[string]bool{}
	for _, key := range txnReply.Failed {
		failedGuards[key] = true
	}
	return failedGuards
}

// handleAccepted answers submissions that have become durable.
func (r *Registry) handleAccepted(group []*submission, read stateRead, revision uint64) {
	for _, sub := range group {
		// The mirror may already contain the job, or even have seen its removal.
		if r.OpenJobs[sub.job.ID] == nil && r.store.Mirror.Revision < revision {
			if raw, err := wire.Encode(sub.job); err == nil {
				r.store.Mirror.Put(keyJob+sub.job.ID, raw, revision)
			}
		}
		r.log(slog.LevelInfo, "job accepted", "job", sub.job.ID, "team", sub.job.Team, "tasks", sub.job.Tasks)
		r.closeSubmission(sub)
		r.answerAccepted(sub, read)
	}
}

// answerAccepted answers the users who wait for a submission that was just accepted. A repeated
// submission that arrived after the transaction was sent gets a new lookup: before the user sent it,
// another node may have confirmed to a user that the job is cancelled, and "pending" would be a stale
// answer.
func (r *Registry) answerAccepted(sub *submission, read stateRead) {
	pendingStatus := wire.JobStatus{ID: sub.job.ID, Status: wire.StatusPending}
	for i, request := range sub.waiters {
		switch {
		case i == 0:
			r.answerFromRead(read, request, Answer{Status: 201, Body: pendingStatus})
		case read.isFreshFor(request):
			r.answerFromRead(read, request, statusAnswer(pendingStatus))
		default:
			r.startLookup(&lookup{waiter: request})
		}
	}
}

// handleConflict looks up the current state for those submissions of a group whose job exists
// already, and sends the others again.
func (r *Registry) handleConflict(group []*submission, failedGuards map[string]bool) {
	for _, sub := range group {
		if failedGuards[keyJob+sub.job.ID] || failedGuards[keyFinal+sub.job.ID] {
			r.lookUpExisting(sub)
		} else {
			r.resubmit(sub)
		}
	}
}

// lookUpExisting looks up the state of a job that had already been accepted when it was submitted again.
// Every waiting user gets a separate lookup, including users who join before the first lookup is answered:
// a shared answer could have been read before a later request arrived, and would be stale for it.
func (r *Registry) lookUpExisting(sub *submission) {
	sub.jobExists = true
	firstWaiter := sub.waiters[0]
	reply := firstWaiter.reply
	firstWaiter.reply = func(a Answer) {
		r.closeSubmission(sub)
		reply(a)
	}
	for _, request := range sub.waiters {
		r.startLookup(&lookup{waiter: request})
	}
}

// resubmit sends a submission again, in a transaction of its own, unless its deadline has passed.
func (r *Registry) resubmit(sub *submission) {
	if r.now >= sub.waiters[0].deadline {
		r.failSubmission(sub)
		return
	}
	sub.ownTransaction = true
	r.queuedSubmissions = append(r.queuedSubmissions, sub)
}
