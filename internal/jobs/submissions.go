package jobs

import (
	"log/slog"
	"math"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// submission is a job that is to be accepted, with all users who wait for that.
type submission struct {
	job     *wire.Job
	waiters []*waiter // the first is told 201
	alone   bool      // in a transaction of its own
	exists  bool      // the job was accepted before: only its state is still asked for
}

// Full tells whether no more users' requests are taken.
func (r *Registry) Full() bool {
	return r.waiting >= limits.MaxWaiting || len(r.Open) >= limits.MaxOpenJobs
}

// Known tells whether the job is certain to have been accepted.
func (r *Registry) Known(id string) bool {
	if _, ok := r.finals[id]; ok {
		return true
	}
	return r.Open[id] != nil
}

// Submit accepts a job: one transaction makes it durable, unless it exists.
func (r *Registry) Submit(now time.Duration, job *wire.Job, answer func(Answer)) {
	r.now = max(r.now, now)
	w := r.newWaiter(job.ID, limits.SubmitWait, answer)
	if s := r.submissionsByID[job.ID]; s != nil {
		r.join(s, w)
		return
	}
	if r.Full() {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	// What can't be taken now is said at once, with the time to come back at.
	if r.store.Unreachable() {
		answer(RetryLater())
		return
	}
	if wait := r.store.WriteWait(statestore.User); wait > limits.SubmitHold {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "the state service's budget is used up"}, RetryAfter: int(math.Ceil(wait.Seconds()))})
		return
	}
	s := &submission{job: job, waiters: []*waiter{w}}
	r.submissionsByID[job.ID] = s
	r.waiting++
	r.submissions = append(r.submissions, s)
}

// join lets the repeat of a submission wait with the one that is under way.
func (r *Registry) join(s *submission, w *waiter) {
	if s.exists {
		r.lookUp(&lookup{waiter: w})
		return
	}
	s.waiters = append(s.waiters, w)
}

// close ends a submission: repeats of it are judged anew.
func (r *Registry) close(s *submission) {
	if r.submissionsByID[s.job.ID] == s {
		delete(r.submissionsByID, s.job.ID)
	}
	r.waiting--
}

// retry tells all who wait for a submission to come back.
func (r *Registry) retry(s *submission) {
	r.close(s)
	for _, w := range s.waiters {
		w.answer(RetryLater())
	}
}

// sendSubmissions groups the waiting submissions into transactions.
func (r *Registry) sendSubmissions() {
	for len(r.submissions) > 0 {
		n := 1
		if !r.submissions[0].alone {
			for n < len(r.submissions) && n < r.store.MaxWrites() && !r.submissions[n].alone {
				n++
			}
		}
		group := r.submissions[:n:n]
		r.submissions = r.submissions[n:]
		r.commit(group)
	}
	r.submissions = nil
}

// commit makes a group of submissions durable in one transaction.
func (r *Registry) commit(group []*submission) {
	var t wire.Txn
	for _, s := range group {
		t.Guards = append(t.Guards, wire.Guard{Key: keyJob + s.job.ID}, wire.Guard{Key: keyFinal + s.job.ID})
		t.Then = append(t.Then, wire.Op{Key: keyJob + s.job.ID, Value: s.job})
	}
	r.store.Txn(statestore.User, limits.SubmitWait, t, func(reply statestore.Reply) {
		var tr wire.TxnReply
		decoded := wire.Decode(reply.Body, &tr) == nil
		switch {
		case reply.Status == statestore.OK && decoded:
			r.accepted(group, reading{reply.Call}, tr.Revision)
		case reply.Status == statestore.Conflict && decoded:
			r.conflicted(group, failedKeys(tr))
		case reply.Status == statestore.BadRequest && len(group) > 1:
			// Guards against one record that the state service refuses for its size or
			// form, and with it those of all who share its transaction.
			for _, s := range group {
				r.resubmit(s)
			}
		default:
			// Not executed, or perhaps executed later: the user asks again, and
			// the guards make one job of it.
			for _, s := range group {
				r.retry(s)
			}
		}
	})
}

// failedKeys lists the keys whose conditions failed.
func failedKeys(tr wire.TxnReply) map[string]bool {
	failed := map[string]bool{}
	for _, key := range tr.Failed {
		failed[key] = true
	}
	return failed
}

// accepted answers submissions that are durable now.
func (r *Registry) accepted(group []*submission, read reading, revision uint64) {
	for _, s := range group {
		// The mirror may have it already, or even have seen it end.
		if r.Open[s.job.ID] == nil && r.store.Mirror.Revision < revision {
			if raw, err := wire.Encode(s.job); err == nil {
				r.store.Mirror.Put(keyJob+s.job.ID, raw, revision)
			}
		}
		r.log(slog.LevelInfo, "job accepted", "job", s.job.ID, "team", s.job.Team, "tasks", s.job.Tasks)
		r.close(s)
		r.answerAccepted(s, read)
	}
}

// answerAccepted answers those who wait for a submission that was just accepted. Guards
// against repeats that came when the transaction had left: by the time of its answer, users of
// other nodes may have been told that the job is cancelled, before the repeat was sent.
func (r *Registry) answerAccepted(s *submission, read reading) {
	pending := wire.JobStatus{ID: s.job.ID, Status: wire.StatusPending}
	for i, w := range s.waiters {
		switch {
		case i == 0:
			r.answerFrom(read, w, Answer{Status: 201, Body: pending})
		case read.covers(w):
			r.answerFrom(read, w, stateAnswer(pending))
		default:
			r.lookUp(&lookup{waiter: w})
		}
	}
}

// conflicted answers the submissions of a group that are known already with their present
// state, as a query would tell it, and sends the others once more.
func (r *Registry) conflicted(group []*submission, failed map[string]bool) {
	for _, s := range group {
		if failed[keyJob+s.job.ID] || failed[keyFinal+s.job.ID] {
			r.lookUpExisting(s)
		} else {
			r.resubmit(s)
		}
	}
}

// lookUpExisting asks for the state of a job whose submission is a repeat. Each who waits has a
// look-up of its own, also those who come until the first is answered: a shared answer would be
// older than the requests of those who came after it was read.
func (r *Registry) lookUpExisting(s *submission) {
	s.exists = true
	first := s.waiters[0]
	reply := first.reply
	first.reply = func(a Answer) {
		r.close(s)
		reply(a)
	}
	for _, w := range s.waiters {
		r.lookUp(&lookup{waiter: w})
	}
}

func (r *Registry) resubmit(s *submission) {
	if r.now >= s.waiters[0].until {
		r.retry(s)
		return
	}
	s.alone = true
	r.submissions = append(r.submissions, s)
}
