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

// Cancel cancels a job unless it is over.
func (r *Registry) Cancel(now time.Duration, id string, answer func(Answer)) {
	r.now = max(r.now, now)
	r.lookUp(&lookup{waiter: r.newWaiter(id, limits.SubmitWait, answer), cancel: true})
}

// readOpen finds the version of a job that the mirror doesn't have yet.
func (r *Registry) readOpen(a *lookup) {
	r.store.Get(statestore.User, limits.PollWait, keyJob+a.job, func(reply statestore.Reply) {
		var row wire.Row
		if reply.Status != statestore.OK || wire.Decode(reply.Body, &row) != nil {
			a.answer(RetryLater())
			return
		}
		r.cancel(a, row.Version)
	})
}

func (r *Registry) cancel(a *lookup, version uint64) {
	done := 0
	if j := r.Open[a.job]; j != nil {
		done = max(j.DoneCount, j.displayDone)
	}
	f := finalState{Status: wire.StatusCancelled, Done: done}
	t := wire.Txn{
		Guards: []wire.Guard{{Key: keyJob + a.job, Version: version}, {Key: keyFinal + a.job}},
		Then:   []wire.Op{{Key: keyFinal + a.job, Value: f}, {Key: keyCancelled + a.job, Value: true}}}
	r.store.Txn(statestore.User, limits.SubmitWait, t, func(reply statestore.Reply) {
		switch reply.Status {
		case statestore.OK:
			r.cacheFinal(a.job, f)
			r.log(slog.LevelInfo, "cancellation confirmed to its user", "job", a.job, "call", reply.Call)
			a.answer(finalAnswer(a.job, f))
		case statestore.Conflict:
			r.readFinal(a)
		default:
			a.answer(RetryLater())
		}
	})
}

// ToldLongAgo stands for a cancellation of which users may have been told at any time.
const ToldLongAgo = time.Duration(math.MinInt64 / 4)

// toldWithin tells for the log how long ago a user can have been told of a cancellation.
func toldWithin(now, toldAfter time.Duration) string {
	if toldAfter == ToldLongAgo {
		return "any time"
	}
	return (now - toldAfter).String()
}

// NoteCancellationsKnown takes note up to when this node knows of all cancellations that users were
// told. It has to be called before anything newer is taken in: what is learned from then on was
// told later.
func (r *Registry) NoteCancellationsKnown(through time.Duration) {
	if r.store.Mirror.Loaded {
		r.cancellationsKnown = through
	}
}

// IsDone tells whether this node remembers that a job was done.
func (r *Registry) IsDone(id string) bool {
	return r.finals[id].Status == wire.StatusDone || r.finalized[id] != nil
}

// setCancelled marks a job that is open as cancelled.
func (r *Registry) setCancelled(j *Job, toldAfter time.Duration) {
	j.Cancelled, j.ToldAfter = true, toldAfter
	r.cancelled[j.ID] = j
}

func (r *Registry) markCancelled(id string) bool {
	j := r.Open[id]
	if j == nil || j.Cancelled {
		return false
	}
	r.setCancelled(j, r.cancellationsKnown)
	r.log(slog.LevelInfo, "job cancelled", "job", id, "toldWithin", toldWithin(r.now, j.ToldAfter))
	return true
}

// CancelledAfter lists the cancelled jobs that some owner may have launched and that are cancelled
// by a change after a revision, as far as this node knows. An owner whose term is a later revision
// than the cancellation's never launched a task of the job: it knew.
func (r *Registry) CancelledAfter(revision uint64) (list []*Job) {
	for id, j := range r.cancelled {
		// Until the mark is read, the cancellation passes for newer than everything.
		mark, read := r.store.Mirror.Get(keyCancelled + id)
		if j.Launched() && (!read || mark.Version > revision) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// MergeCancellations takes in cancellations of which a peer knows that they are recorded. It tells
// whether any of them is new to this node.
func (r *Registry) MergeCancellations(now time.Duration, ids []string) (news bool) {
	r.now = max(r.now, now)
	for _, id := range ids {
		j := r.Open[id]
		news = news || j != nil && !j.Cancelled
		if _, ok := r.finals[id]; !ok {
			f := finalState{Status: wire.StatusCancelled}
			if j != nil {
				f.Done = max(j.DoneCount, j.displayDone)
			}
			r.cacheFinal(id, f)
		}
		r.markCancelled(id)
	}
	return news
}

// Cancellations lists the cancelled jobs that this node knows of and that may still
// have tasks, with those that it told a user of lately.
//
// Guards against a list that was vouched for and lacked one that was told long ago: at the moment
// at which it was passed on as told no more, and for good if the job's record had not been read.
func (r *Registry) Cancellations() []string {
	var ids []string
	for id := range r.cancelled {
		ids = append(ids, id)
	}
	for id, at := range r.confirmedCancels {
		if r.cancelled[id] != nil {
			continue // listed above
		}
		if r.now-at > limits.CancelNoticeFor && r.recordRemoved(id, at) {
			delete(r.confirmedCancels, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// recordRemoved tells whether the record of a job that was over at some time is known to be gone
// since, and with it the job's last task.
func (r *Registry) recordRemoved(id string, over time.Duration) bool {
	return r.Open[id] == nil && r.store.Mirror.KnownThrough > over
}

// TakeNewCancellations lists the cancellations that became known here, by an answer to a user or by a
// peer, since the last call.
func (r *Registry) TakeNewCancellations() []string {
	ids := r.newCancels
	r.newCancels = nil
	return ids
}
