package jobs

import (
	"log/slog"
	"math"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
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

type submission struct {
	job     *wire.Job
	until   time.Duration
	answers []func(Answer)
	alone   bool
}

// lookup is a question whether a job is final, or exists at all.
type lookup struct {
	id     string
	until  time.Duration
	answer func(Answer)
	over   func() bool
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
	if s := b.submissionsByID[job.ID]; s != nil {
		s.answers = append(s.answers, answer)
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
	s := &submission{job: job, until: b.now + limits.SubmitWait, answers: []func(Answer){answer}}
	b.submissionsByID[job.ID] = s
	b.waiting++
	b.submissions = append(b.submissions, s)
}

func (b *Registry) respond(s *submission, first, rest Answer) {
	if b.submissionsByID[s.job.ID] == s {
		delete(b.submissionsByID, s.job.ID)
	}
	b.waiting--
	for i, f := range s.answers {
		if i == 0 {
			f(first)
		} else {
			f(rest)
		}
	}
	s.answers = nil
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
			b.accepted(group, tr.Revision)
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
				b.respond(s, RetryLater(), RetryLater())
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
func (b *Registry) accepted(group []*submission, revision uint64) {
	for _, s := range group {
		// The mirror may have it already, or even have seen it end.
		if b.Open[s.job.ID] == nil && b.store.Mirror.Revision < revision {
			if raw, err := wire.Encode(s.job); err == nil {
				b.store.Mirror.Put(keyJob+s.job.ID, raw, revision)
			}
		}
		b.log(slog.LevelInfo, "job accepted", "job", s.job.ID, "team", s.job.Team, "tasks", s.job.Tasks)
		st := wire.JobStatus{ID: s.job.ID, Status: wire.StatusPending}
		b.respond(s, Answer{Status: 201, Body: st}, Answer{Status: 200, Body: st})
	}
}

// conflicted answers the submissions of a group that are known already with their present
// state, as a query would tell it, and sends the others once more.
func (b *Registry) conflicted(group []*submission, failed map[string]bool) {
	for _, s := range group {
		if failed[keyJob+s.job.ID] || failed[keyFinal+s.job.ID] {
			b.lookUp(&lookup{id: s.job.ID, until: s.until, answer: func(a Answer) { b.respond(s, a, a) }})
		} else {
			b.resubmit(s)
		}
	}
}

func (b *Registry) resubmit(s *submission) {
	if b.now >= s.until {
		b.respond(s, RetryLater(), RetryLater())
		return
	}
	s.alone = true
	b.submissions = append(b.submissions, s)
}

// Query answers with a state that is no older than the question.
func (b *Registry) Query(now time.Duration, id string, answer func(Answer)) {
	b.now = max(b.now, now)
	b.lookUp(&lookup{id: id, until: b.now + limits.PollWait, answer: answer})
}

// Cancel cancels a job unless it is over.
func (b *Registry) Cancel(now time.Duration, id string, answer func(Answer)) {
	b.now = max(b.now, now)
	b.lookUp(&lookup{id: id, until: b.now + limits.SubmitWait, answer: answer, cancel: true})
}

func (b *Registry) lookUp(a *lookup) {
	if f, ok := b.finals[a.id]; ok {
		a.answer(Answer{Status: 200, Body: wire.JobStatus{ID: a.id, Status: f.Status, Done: f.Done}})
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
	inner, over := a.answer, false
	a.answer = func(x Answer) {
		if !over {
			over = true
			b.waiting--
			inner(x)
		}
	}
	a.over = func() bool { return over }
	b.lookups = append(b.lookups, a)
	b.openLookups = append(b.openLookups, a)
}

// expireLookups answers the questions whose time is up, whether they wait or are under
// way: guards against users who hang until their own limit because one request
// to the state service got no answer.
func (b *Registry) expireLookups() {
	kept := b.openLookups[:0]
	for _, a := range b.openLookups {
		if !a.over() && b.now >= a.until {
			a.answer(RetryLater())
		}
		if !a.over() {
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
		asked := map[string]bool{}
		for _, g := range t.Guards {
			asked[g.Key] = true
		}
		failed := failedKeys(tr)
		for _, a := range group {
			switch {
			case failed[keyFinal+a.id]:
				b.readFinal(a)
			case asked[keyJob+a.id] && !failed[keyJob+a.id]:
				a.answer(Answer{Status: 404, Body: wire.ErrorBody{Error: "no such job"}})
			case a.cancel:
				b.readOpen(a)
			default:
				a.answer(Answer{Status: 200, Body: b.currentStatus(a.id)})
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
		if a.over() {
			continue
		}
		j := b.Open[a.id]
		if a.cancel && j != nil {
			b.cancel(a, j.version)
			continue
		}
		t.Guards = append(t.Guards, wire.Guard{Key: keyFinal + a.id})
		if j == nil {
			t.Guards = append(t.Guards, wire.Guard{Key: keyJob + a.id})
		}
		group = append(group, a)
	}
	return group, t
}

func (b *Registry) readFinal(a *lookup) {
	b.store.Get(statestore.User, limits.PollWait, keyFinal+a.id, func(r statestore.Reply) {
		f, ok := decodeFinal(r)
		if !ok {
			a.answer(RetryLater())
			return
		}
		b.cacheFinal(a.id, f)
		a.answer(Answer{Status: 200, Body: wire.JobStatus{ID: a.id, Status: f.Status, Done: f.Done}})
	})
}

// readOpen finds the version of a job that the mirror doesn't have yet.
func (b *Registry) readOpen(a *lookup) {
	b.store.Get(statestore.User, limits.PollWait, keyJob+a.id, func(r statestore.Reply) {
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
	if j := b.Open[a.id]; j != nil {
		done = max(j.DoneCount, j.displayDone)
	}
	f := finalState{Status: wire.StatusCancelled, Done: done}
	t := wire.Txn{
		Guards: []wire.Guard{{Key: keyJob + a.id, Version: version}, {Key: keyFinal + a.id}},
		Then:   []wire.Op{{Key: keyFinal + a.id, Value: f}, {Key: keyCancelled + a.id, Value: true}}}
	b.store.Txn(statestore.User, limits.SubmitWait, t, func(r statestore.Reply) {
		switch r.Status {
		case statestore.OK:
			b.cacheFinal(a.id, f)
			a.answer(Answer{Status: 200, Body: wire.JobStatus{ID: a.id, Status: f.Status, Done: f.Done}})
		case statestore.Conflict:
			b.readFinal(a)
		default:
			a.answer(RetryLater())
		}
	})
}
