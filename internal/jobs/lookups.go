package jobs

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// lookup is a user's query for the state of a job, or a request to cancel it, for which the state
// service must be read.
type lookup struct {
	*waiter
	cancel bool
}

// Query answers with a state of the job that is no older than the request.
func (r *Registry) Query(now time.Duration, id string, answer func(Answer)) {
	r.now = max(r.now, now)
	r.startLookup(&lookup{waiter: r.newWaiter(id, limits.QueryTimeout, answer)})
}

// startLookup answers a request from the cache of final states, refuses it, or queues it.
func (r *Registry) startLookup(request *lookup) {
	if final, ok := r.finalStates[request.jobID]; ok && final.mayBeReported() {
		request.answer(finalAnswer(request.jobID, final.finalState))
		return
	}
	recorded := r.recordedCancellation(request.jobID)
	if recorded != nil && r.confirmIfPossible(recorded) {
		request.answer(finalAnswer(request.jobID, recorded.final))
		return
	}
	if r.store.Unreachable() {
		request.answer(RetryLater())
		return
	}
	if r.waitingRequests >= 2*limits.MaxWaitingRequests {
		request.answer(Answer{Status: 429, Body: wire.ErrorBody{Error: "too many requests wait"}, RetryAfter: limits.RetryAfterS})
		return
	}
	r.waitingRequests++
	reply := request.reply
	request.reply = func(answer Answer) {
		r.waitingRequests--
		reply(answer)
	}
	if recorded != nil {
		r.awaitConfirmation(recorded, request.waiter)
		return
	}
	r.queuedLookups = append(r.queuedLookups, request)
	r.unansweredLookups = append(r.unansweredLookups, request.waiter)
}

// expireLookups answers the lookups whose deadline has passed, whether queued or in flight.
// Otherwise users would wait until their own timeout whenever a request to the state service got
// no answer.
func (r *Registry) expireLookups() {
	r.unansweredLookups = r.expireWaiters(r.unansweredLookups, false)
}

// sendLookups checks the versions of many jobs' keys in one transaction that writes nothing. If
// the final state is absent, the job had not ended at that time; if the job's record is absent
// too, the job did not exist.
func (r *Registry) sendLookups() {
	if r.lookupInFlight || len(r.queuedLookups) == 0 {
		return
	}
	group, txn, launcherChecks := r.nextLookups()
	if len(group) == 0 {
		return
	}
	r.lookupInFlight = true
	r.store.Txn(statestore.PriorityQuery, limits.QueryTimeout, txn, func(reply statestore.Reply) {
		r.lookupInFlight = false
		var txnReply wire.TxnReply
		if (reply.Status != statestore.OK && reply.Status != statestore.Conflict) || wire.Decode(reply.Body, &txnReply) != nil {
			for _, request := range group {
				request.answer(RetryLater())
			}
			return
		}
		read := stateRead{reply.CallID}
		guardedKeys := map[string]bool{}
		for _, guard := range txn.Guards {
			guardedKeys[guard.Key] = true
		}
		failedGuards := failedKeys(txnReply)
		for _, request := range group {
			switch {
			case failedGuards[keyFinal+request.jobID]:
				r.answerWithFinal(request.waiter, launcherChecks[request.jobID].result(txnReply))
			case guardedKeys[keyJob+request.jobID] && !failedGuards[keyJob+request.jobID]:
				r.answerFromRead(read, request.waiter, Answer{Status: 404, Body: wire.ErrorBody{Error: "no such job"}})
			case request.cancel:
				r.readVersionAndCancel(request)
			default:
				r.answerFromRead(read, request.waiter, statusAnswer(r.currentStatus(request.jobID)))
			}
		}
	})
}

// nextLookups takes as many queued lookups as one transaction can answer. Cancellations of open
// jobs are sent at once, each in its own transaction. The transaction also checks the launchers of open
// jobs, of which any may turn out to be cancelled. launcherChecks lists the checks by job.
func (r *Registry) nextLookups() (group []*lookup, txn wire.Txn, launcherChecks map[string]*launcherCheck) {
	launcherChecks = map[string]*launcherCheck{}
	checksByClass := map[string]*launcherCheck{}
	for len(r.queuedLookups) > 0 && len(txn.Guards)+2 <= r.store.MaxTxnGuards {
		request := r.queuedLookups[0]
		r.queuedLookups = r.queuedLookups[1:]
		if request.answered {
			continue
		}
		job := r.OpenJobs[request.jobID]
		if request.cancel && job != nil && !job.Cancelled {
			r.startCancellation(request, job.version, job.GuardClass)
			continue
		}
		txn.Guards = append(txn.Guards, wire.Guard{Key: keyFinal + request.jobID})
		if job == nil {
			txn.Guards = append(txn.Guards, wire.Guard{Key: keyJob + request.jobID})
		} else {
			check := checksByClass[job.GuardClass]
			if check == nil {
				check = r.newLauncherCheck(job.GuardClass)
				checksByClass[job.GuardClass] = check
				txn.Guards = append(txn.Guards, check.guard)
			}
			launcherChecks[request.jobID] = check
		}
		group = append(group, request)
	}
	return group, txn, launcherChecks
}

// answerWithFinal reads the final state of a job and answers with it. launcher is the launcher of the job's
// classes after the state was recorded, or nil if it is not known.
func (r *Registry) answerWithFinal(request *waiter, launcher *ownership.Launcher) {
	r.store.Get(statestore.PriorityUser, limits.QueryTimeout, keyFinal+request.jobID, func(reply statestore.Reply) {
		final, revision, ok := decodeFinal(reply)
		if !ok {
			request.answer(RetryLater())
			return
		}
		r.answerFinal(request, final, revision, launcher)
	})
}
