package jobs

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// lookup is a question whether a job is final, or exists at all.
type lookup struct {
	*waiter
	cancel bool
}

// Query answers with a state that is no older than the question.
func (r *Registry) Query(now time.Duration, id string, answer func(Answer)) {
	r.now = max(r.now, now)
	r.lookUp(&lookup{waiter: r.newWaiter(id, limits.PollWait, answer)})
}

func (r *Registry) lookUp(a *lookup) {
	if f, ok := r.finals[a.job]; ok {
		a.answer(finalAnswer(a.job, f))
		return
	}
	if r.store.Unreachable() {
		a.answer(RetryLater())
		return
	}
	if r.waiting >= 2*limits.MaxWaiting {
		a.answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	r.waiting++
	reply := a.reply
	a.reply = func(x Answer) {
		r.waiting--
		reply(x)
	}
	r.lookups = append(r.lookups, a)
	r.openLookups = append(r.openLookups, a)
}

// expireLookups answers the questions whose time is up, whether they wait or are under
// way: guards against users who hang until their own limit because one request
// to the state service got no answer.
func (r *Registry) expireLookups() {
	kept := r.openLookups[:0]
	for _, a := range r.openLookups {
		if !a.answered && r.now >= a.until {
			a.answer(RetryLater())
		}
		if !a.answered {
			kept = append(kept, a)
		}
	}
	clear(r.openLookups[len(kept):])
	r.openLookups = kept
}

// sendLookups compares the versions of many jobs' keys in one transaction that
// changes nothing: an absent final state proves that the job was not over then,
// and absent both keys that it did not exist.
func (r *Registry) sendLookups() {
	if r.lookupInFlight || len(r.lookups) == 0 {
		return
	}
	group, t := r.nextLookups()
	if len(group) == 0 {
		return
	}
	r.lookupInFlight = true
	r.store.Txn(statestore.Query, limits.PollWait, t, func(reply statestore.Reply) {
		r.lookupInFlight = false
		var tr wire.TxnReply
		if (reply.Status != statestore.OK && reply.Status != statestore.Conflict) || wire.Decode(reply.Body, &tr) != nil {
			for _, a := range group {
				a.answer(RetryLater())
			}
			return
		}
		read := reading{reply.Call}
		asked := map[string]bool{}
		for _, g := range t.Guards {
			asked[g.Key] = true
		}
		failed := failedKeys(tr)
		for _, a := range group {
			switch {
			case failed[keyFinal+a.job]:
				r.readFinal(a)
			case asked[keyJob+a.job] && !failed[keyJob+a.job]:
				r.answerFrom(read, a.waiter, Answer{Status: 404, Body: wire.ErrorBody{Error: "no such job"}})
			case a.cancel:
				r.readOpen(a)
			default:
				r.answerFrom(read, a.waiter, stateAnswer(r.currentStatus(a.job)))
			}
		}
	})
}

// nextLookups takes as many waiting questions as one transaction can answer. Cancellations of
// jobs that are known go out on their own.
func (r *Registry) nextLookups() (group []*lookup, t wire.Txn) {
	for len(r.lookups) > 0 && len(t.Guards)+2 <= r.store.TxnGuards {
		a := r.lookups[0]
		r.lookups = r.lookups[1:]
		if a.answered {
			continue
		}
		j := r.Open[a.job]
		if a.cancel && j != nil {
			r.cancel(a, j.version)
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

func (r *Registry) readFinal(a *lookup) {
	r.store.Get(statestore.User, limits.PollWait, keyFinal+a.job, func(reply statestore.Reply) {
		f, ok := decodeFinal(reply)
		if !ok {
			a.answer(RetryLater())
			return
		}
		r.cacheFinal(a.job, f)
		a.answer(finalAnswer(a.job, f))
	})
}
