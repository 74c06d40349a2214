package jobs

import (
	"log/slog"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// Cancel cancels a job unless it has ended.
func (r *Registry) Cancel(now time.Duration, id string, answer func(Answer)) {
	r.now = max(r.now, now)
	request := r.newWaiter(id, limits.SubmitTimeout, answer)
	request.confirmationDeadline = r.now + limits.CancelTimeout
	r.startLookup(&lookup{waiter: request, cancel: true})
}

// readVersionAndCancel reads the version of a job that is not in the mirror yet, and cancels it.
func (r *Registry) readVersionAndCancel(request *lookup) {
	r.store.Get(statestore.PriorityUser, limits.QueryTimeout, keyJob+request.jobID, func(reply statestore.Reply) {
		var row wire.KeyValue
		var spec wire.Job
		if reply.Status != statestore.OK || wire.Decode(reply.Body, &row) != nil || wire.Decode(row.Value, &spec) != nil {
			request.answer(RetryLater())
			return
		}
		r.startCancellation(request, row.Version, guardClass(&spec))
	})
}

// startCancellation asks the launcher of a job, whose record has the given version, to hold the job's
// launches, and records the cancellation at the same time.
func (r *Registry) startCancellation(request *lookup, version uint64, class string) {
	pending := r.pendingCancellation(request.jobID)
	pending.class = class
	check := r.newLauncherCheck(class)
	r.requestHold(pending, check.launcher)
	r.writeCancellation(request, pending, version, check)
}

// writeCancellation records the cancellation of a job whose record has the given version, and
// answers the request once the cancellation may be confirmed. If the job has ended or its record has
// changed, it answers with the final state, or asks the user to retry if there is none. If check is set
// and the launcher has changed, the cancellation is recorded without that condition.
func (r *Registry) writeCancellation(request *lookup, pending *pendingCancellation, version uint64, check *launcherCheck) {
	doneCount := 0
	if job := r.OpenJobs[request.jobID]; job != nil {
		doneCount = max(job.DoneCount, job.displayDone)
	}
	final := finalState{Status: wire.StatusCancelled, Done: doneCount}
	txn := wire.Txn{
		Guards: []wire.Guard{{Key: keyJob + request.jobID, Version: version}, {Key: keyFinal + request.jobID}},
		Then:   []wire.Op{{Key: keyFinal + request.jobID, Value: final}, {Key: keyCancelled + request.jobID, Value: true}}}
	if check != nil {
		txn.Guards = append(txn.Guards, check.guard)
	}
	pending.writesInFlight++
	r.store.Txn(statestore.PriorityUser, limits.SubmitTimeout, txn, func(reply statestore.Reply) {
		defer r.finishCancellationWrite(pending)
		var txnReply wire.TxnReply
		decoded := wire.Decode(reply.Body, &txnReply) == nil
		switch {
		case reply.Status == statestore.OK && decoded:
			delete(r.unannounced, request.jobID)
			r.awaitConfirmation(r.recordCancellation(request.jobID, final, txnReply.Revision, check.result(txnReply)), request.waiter)
		case reply.Status == statestore.Conflict && decoded && check != nil && slices.Equal(txnReply.Failed, []string{check.guard.Key}):
			r.writeCancellation(request, pending, version, nil)
		case reply.Status == statestore.Conflict && decoded:
			r.answerWithFinal(request.waiter, check.result(txnReply))
		default:
			request.answer(RetryLater())
		}
	})
}

// ConfirmedAtAnyTime stands for a cancellation that may have been confirmed to users at any time
// in the past.
const ConfirmedAtAnyTime = time.Duration(math.MinInt64 / 4)

// confirmedWithin returns, for the log, how long ago at most a cancellation can have been confirmed
// to a user.
func confirmedWithin(now, confirmedAfter time.Duration) string {
	if confirmedAfter == ConfirmedAtAnyTime {
		return "any time"
	}
	return (now - confirmedAfter).String()
}

// SetCancellationsKnownThrough records the time up to which this node knows of all cancellations
// confirmed to users, once the mirror is loaded. It must be called before newer input is processed:
// a cancellation received after the call counts as confirmed after that time.
func (r *Registry) SetCancellationsKnownThrough(through time.Duration) {
	if r.store.Mirror.Loaded {
		r.cancellationsKnownThrough = through
	}
}

// IsDone reports whether this node has a record that a job completed. It returns false for a job whose
// final state is no longer cached.
func (r *Registry) IsDone(id string) bool {
	return r.finalStates[id].Status == wire.StatusDone || r.finalizedJobs[id] != nil
}

// setCancelled marks an open job as cancelled.
func (r *Registry) setCancelled(job *Job, confirmedAfter time.Duration) {
	job.Cancelled, job.CancelConfirmedAfter = true, confirmedAfter
	r.cancelledJobs[job.ID] = job
}

// markCancelled marks a job as cancelled if it is open, and reports whether this is a change.
func (r *Registry) markCancelled(id string) bool {
	job := r.OpenJobs[id]
	if job == nil || job.Cancelled {
		return false
	}
	r.setCancelled(job, r.cancellationsKnownThrough)
	r.log(slog.LevelInfo, "job cancelled", "job", id, "toldWithin", confirmedWithin(r.now, job.CancelConfirmedAfter))
	return true
}

// JobsCancelledAfter returns the jobs that some owner may have launched and whose cancellation was
// recorded after a revision, or is not known to be older. An owner whose term is a later revision than
// the cancellation has never launched a task of the job, because it had read the cancellation before it
// began to act under that term.
func (r *Registry) JobsCancelledAfter(revision uint64) (cancelledJobs []*Job) {
	for id, job := range r.cancelledJobs {
		// Until the key that records the cancellation is in the mirror, the cancellation counts as newer
		// than every revision.
		cancellation, isRead := r.store.Mirror.Get(keyCancelled + id)
		if job.MayHaveLaunched() && (!isRead || cancellation.Version > revision) {
			cancelledJobs = append(cancelledJobs, job)
		}
	}
	slices.SortFunc(cancelledJobs, func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
	return cancelledJobs
}

// MergeCancellations applies cancellations that a peer reports as recorded in the state service.
// It reports whether any of them is new to this node and concerns an open job.
func (r *Registry) MergeCancellations(now time.Duration, ids []string) (anyNew bool) {
	r.now = max(r.now, now)
	for _, id := range ids {
		job := r.OpenJobs[id]
		anyNew = anyNew || job != nil && !job.Cancelled
		if _, ok := r.finalStates[id]; !ok {
			final := finalState{Status: wire.StatusCancelled}
			if job != nil {
				final.Done = max(job.DoneCount, job.displayDone)
			}
			r.cacheFinal(id, final)
		}
		r.markCancelled(id)
	}
	return anyNew
}

// Cancellations returns the cancelled jobs that may still have tasks, as far as this node knows,
// and the jobs whose cancellation it confirmed to a user within CancelNoticeRetention.
//
// After that time, a confirmed cancellation still stays in the list until the job's record is known to
// be removed. Otherwise the list, which is sent to peers as complete, could lack an old cancellation:
// briefly, right after that time has passed, or permanently if this node had not read the job's record.
func (r *Registry) Cancellations() []string {
	var ids []string
	for id := range r.cancelledJobs {
		ids = append(ids, id)
	}
	for id, confirmedAt := range r.confirmedCancellations {
		if r.cancelledJobs[id] != nil {
			continue // included above
		}
		if r.now-confirmedAt > limits.CancelNoticeRetention && r.isRecordRemoved(id, confirmedAt) {
			delete(r.confirmedCancellations, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// isRecordRemoved reports whether the record of a job that had ended at the given time is known to have
// been removed since. The record is removed only when no task of the job is left.
func (r *Registry) isRecordRemoved(id string, endedAt time.Duration) bool {
	return r.OpenJobs[id] == nil && r.store.Mirror.KnownThrough > endedAt
}

// TakeNewCancellations returns the cancellations that this node confirmed to a user or received
// from a peer since the last call.
func (r *Registry) TakeNewCancellations() []string {
	ids := r.newCancellations
	r.newCancellations = nil
	return ids
}
