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
	until   time.Duration
	waiters []*waiter // the first is told 201
	alone   bool      // in a transaction of its own
	exists  bool      // the job was accepted before: only its state is still asked for
}

// lookup is a question whether a job is final, or exists at all.
type lookup struct {
	*waiter
	cancel bool
}

// Full tells whether no more users' requests are taken.
func (b *Registry) Full() bool {
	return b.waiting >= limits.MaxWaiting || len(b.Open) >= limits.MaxOpenJobs
}

// Known tells whether the job is certain to have been accepted.
func (b *Registry) Known(id string) bool {
	if _, ok := b.finals[id]; ok {
		return true
	}
	return b.Open[id] != nil
}

// Submit accepts a job: one transaction makes it durable, unless it exists.
func (b *Registry) Submit(now time.Duration, job *wire.Job, answer func(Answer)) {
	b.now = max(b.now, now)
	w := b.newWaiter(job.ID, limits.SubmitWait, answer)
	if s := b.submissionsByID[job.ID]; s != nil {
		b.join(s, w)
		return
	}
	if b.Full() {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	// What can't be taken now is said at once, with the time to come back at.
	if b.store.Unreachable() {
		answer(RetryLater())
		return
	}
	if wait := b.store.WriteWait(statestore.User); wait > limits.SubmitHold {
		answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "the state service's budget is used up"}, RetryAfter: int(math.Ceil(wait.Seconds()))})
		return
	}
	s := &submission{job: job, until: w.until, waiters: []*waiter{w}}
	b.submissionsByID[job.ID] = s
	b.waiting++
	b.submissions = append(b.submissions, s)
}

// join lets the repeat of a submission wait with the one that is under way.
func (b *Registry) join(s *submission, w *waiter) {
	if s.exists {
		b.lookUp(&lookup{waiter: w})
		return
	}
	s.waiters = append(s.waiters, w)
}

// close ends a submission: repeats of it are judged anew.
func (b *Registry) close(s *submission) {
	if b.submissionsByID[s.job.ID] == s {
		delete(b.submissionsByID, s.job.ID)
	}
	b.waiting--
}

// retry tells all who wait for a submission to come back.
func (b *Registry) retry(s *submission) {
	b.close(s)
	for _, w := range s.waiters {
		w.answer(RetryLater())
	}
}

// sendSubmissions groups the waiting submissions into transactions.
func (b *Registry) sendSubmissions() {
	for len(b.submissions) > 0 {
		n := 1
		if !b.submissions[0].alone {
			for n < len(b.submissions) && n < b.store.MaxWrites() && !b.submissions[n].alone {
				n++
			}
		}
		group := b.submissions[:n:n]
		b.submissions = b.submissions[n:]
		b.commit(group)
	}
	b.submissions = nil
}

// commit makes a group of submissions durable in one transaction.
func (b *Registry) commit(group []*submission) {
	var t wire.Txn
	for _, s := range group {
		t.Guards = append(t.Guards, wire.Guard{Key: keyJob + s.job.ID}, wire.Guard{Key: keyFinal + s.job.ID})
		t.Then = append(t.Then, wire.Op{Key: keyJob + s.job.ID, Value: s.job})
	}
	b.store.Txn(statestore.User, limits.SubmitWait, t, func(r statestore.Reply) {
		var tr wire.TxnReply
		decoded := wire.Decode(r.Body, &tr) == nil
		switch {
		case r.Status == statestore.OK && decoded:
			b.accepted(group, reading{r.Call}, tr.Revision)
		case r.Status == statestore.Conflict && decoded:
			b.conflicted(group, failedKeys(tr))
		case r.Status == statestore.BadRequest && len(group) > 1:
			// Guards against one record that the state service refuses for its size or
			// form, and with it those of all who share its transaction.
			for _, s := range group {
				b.resubmit(s)
			}
		default:
			// Not executed, or perhaps executed later: the user asks again, and
			// the guards make one job of it.
			for _, s := range group {
				b.retry(s)
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
func (b *Registry) accepted(group []*submission, r reading, revision uint64) {
	for _, s := range group {
		// The mirror may have it already, or even have seen it end.
		if b.Open[s.job.ID] == nil && b.store.Mirror.Revision < revision {
			if raw, err := wire.Encode(s.job); err == nil {
				b.store.Mirror.Put(keyJob+s.job.ID, raw, revision)
			}
		}
		b.log(slog.LevelInfo, "job accepted", "job", s.job.ID, "team", s.job.Team, "tasks", s.job.Tasks)
		b.close(s)
		b.answerAccepted(s, r)
	}
}

// answerAccepted answers those who wait for a submission that was just accepted. Guards
// against repeats that came when the transaction had left: by the time of its answer, users of
// other nodes may have been told that the job is cancelled, before the repeat was sent.
func (b *Registry) answerAccepted(s *submission, r reading) {
	pending := wire.JobStatus{ID: s.job.ID, Status: wire.StatusPending}
	for i, w := range s.waiters {
		switch {
		case i == 0:
			b.answerFrom(r, w, Answer{Status: 201, Body: pending})
		case r.covers(w):
			b.answerFrom(r, w, stateAnswer(pending))
		default:
			b.lookUp(&lookup{waiter: w})
		}
	}
}

// conflicted answers the submissions of a group that are known already with their present
// state, as a query would tell it, and sends the others once more.
func (b *Registry) conflicted(group []*submission, failed map[string]bool) {
	for _, s := range group {
		if failed[keyJob+s.job.ID] || failed[keyFinal+s.job.ID] {
			b.lookUpExisting(s)
		} else {
			b.resubmit(s)
		}
	}
}

// lookUpExisting asks for the state of a job whose submission is a repeat. Each who waits has a
// look-up of its own, also those who come until the first is answered: a shared answer would be
// older than the requests of those who came after it was read.
func (b *Registry) lookUpExisting(s *submission) {
	s.exists = true
	first := s.waiters[0]
	reply := first.reply
	first.reply = func(a Answer) {
		b.close(s)
		reply(a)
	}
	for _, w := range s.waiters {
		b.lookUp(&lookup{waiter: w})
	}
}

func (b *Registry) resubmit(s *submission) {
	if b.now >= s.until {
		b.retry(s)
		return
	}
	s.alone = true
	b.submissions = append(b.submissions, s)
}

// Query answers with a state that is no older than the question.
func (b *Registry) Query(now time.Duration, id string, answer func(Answer)) {
	b.now = max(b.now, now)
	b.lookUp(&lookup{waiter: b.newWaiter(id, limits.PollWait, answer)})
}

// Cancel cancels a job unless it is over.
func (b *Registry) Cancel(now time.Duration, id string, answer func(Answer)) {
	b.now = max(b.now, now)
	b.lookUp(&lookup{waiter: b.newWaiter(id, limits.SubmitWait, answer), cancel: true})
}

func (b *Registry) lookUp(a *lookup) {
	if f, ok := b.finals[a.job]; ok {
		a.answer(finalAnswer(a.job, f))
		return
	}
	if b.store.Unreachable() {
		a.answer(RetryLater())
		return
	}
	if b.waiting >= 2*limits.MaxWaiting {
		a.answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	b.waiting++
	reply := a.reply
	a.reply = func(x Answer) {
		b.waiting--
		reply(x)
	}
	b.lookups = append(b.lookups, a)
	b.openLookups = append(b.openLookups, a)
}

// expireLookups answers the questions whose time is up, whether they wait or are under
// way: guards against users who hang until their own limit because one request
// to the state service got no answer.
func (b *Registry) expireLookups() {
	kept := b.openLookups[:0]
	for _, a := range b.openLookups {
		if !a.answered && b.now >= a.until {
			a.answer(RetryLater())
		}
		if !a.answered {
			kept = append(kept, a)
		}
	}
	clear(b.openLookups[len(kept):])
	b.openLookups = kept
}

// sendLookups compares the versions of many jobs' keys in one transaction that
// changes nothing: an absent final state proves that the job was not over then,
// and absent both keys that it did not exist.
func (b *Registry) sendLookups() {
	if b.lookupInFlight || len(b.lookups) == 0 {
		return
	}
	group, t := b.nextLookups()
	if len(group) == 0 {
		return
	}
	b.lookupInFlight = true
	b.store.Txn(statestore.Query, limits.PollWait, t, func(r statestore.Reply) {
		b.lookupInFlight = false
		var tr wire.TxnReply
		if (r.Status != statestore.OK && r.Status != statestore.Conflict) || wire.Decode(r.Body, &tr) != nil {
			for _, a := range group {
				a.answer(RetryLater())
			}
			return
		}
		read := reading{r.Call}
		asked := map[string]bool{}
		for _, g := range t.Guards {
			asked[g.Key] = true
		}
		failed := failedKeys(tr)
		for _, a := range group {
			switch {
			case failed[keyFinal+a.job]:
				b.readFinal(a)
			case asked[keyJob+a.job] && !failed[keyJob+a.job]:
				b.answerFrom(read, a.waiter, Answer{Status: 404, Body: wire.ErrorBody{Error: "no such job"}})
			case a.cancel:
				b.readOpen(a)
			default:
				b.answerFrom(read, a.waiter, stateAnswer(b.currentStatus(a.job)))
			}
		}
	})
}

// nextLookups takes as many waiting questions as one transaction can answer. Cancellations of
// jobs that are known go out on their own.
func (b *Registry) nextLookups() (group []*lookup, t wire.Txn) {
	for len(b.lookups) > 0 && len(t.Guards)+2 <= b.store.TxnGuards {
		a := b.lookups[0]
		b.lookups = b.lookups[1:]
		if a.answered {
			continue
		}
		j := b.Open[a.job]
		if a.cancel && j != nil {
			b.cancel(a, j.version)
			continue
		}
		t.Guards = append(t.Guards, wire.Guard{Key: keyFinal + a.job})
		if j == nil {
			t.Guards = append(t.Guards, wire.Guard{Key: keyJob + a.job})
		}
		group = append(group, a)
	}
	return group, t
}

func (b *Registry) readFinal(a *lookup) {
	b.store.Get(statestore.User, limits.PollWait, keyFinal+a.job, func(r statestore.Reply) {
		f, ok := decodeFinal(r)
		if !ok {
			a.answer(RetryLater())
			return
		}
		b.cacheFinal(a.job, f)
		a.answer(finalAnswer(a.job, f))
	})
}

// readOpen finds the version of a job that the mirror doesn't have yet.
func (b *Registry) readOpen(a *lookup) {
	b.store.Get(statestore.User, limits.PollWait, keyJob+a.job, func(r statestore.Reply) {
		var row wire.Row
		if r.Status != statestore.OK || wire.Decode(r.Body, &row) != nil {
			a.answer(RetryLater())
			return
		}
		b.cancel(a, row.Version)
	})
}

func (b *Registry) cancel(a *lookup, version uint64) {
	done := 0
	if j := b.Open[a.job]; j != nil {
		done = max(j.DoneCount, j.displayDone)
	}
	f := finalState{Status: wire.StatusCancelled, Done: done}
	t := wire.Txn{
		Guards: []wire.Guard{{Key: keyJob + a.job, Version: version}, {Key: keyFinal + a.job}},
		Then:   []wire.Op{{Key: keyFinal + a.job, Value: f}, {Key: keyCancelled + a.job, Value: true}}}
	b.store.Txn(statestore.User, limits.SubmitWait, t, func(r statestore.Reply) {
		switch r.Status {
		case statestore.OK:
			b.cacheFinal(a.job, f)
			a.answer(finalAnswer(a.job, f))
		case statestore.Conflict:
			b.readFinal(a)
		default:
			a.answer(RetryLater())
		}
	})
}
