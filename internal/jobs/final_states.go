package jobs

import (
	"log/slog"
	"maps"
	"math"
	"slices"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// finalState is the value of fin/ID.
type finalState struct {
	Status wire.JobState `msgpack:"s"`
	Done   int           `msgpack:"d"`
}

// finalize removes a job, writing its final state first unless status is empty.
// Done against cancelled is decided here: both need fin/ID to be absent.
func (r *Registry) finalize(j *Job, status wire.JobState) {
	j.closing = true
	t, prio, removeLater := r.finalTxn(j, status)
	r.store.Txn(prio, limits.StoreTimeout*2, t, func(reply statestore.Reply) {
		j.closing = false
		r.flushAt[j.ID] = r.now + limits.StoreBackoff
		if reply.Status == statestore.OK {
			j.closing = true
			r.finalWritten(j, status, removeLater)
			return
		}
		// An earlier owner may have written the end, and not have come to clean up.
		var tr wire.TxnReply
		if reply.Status == statestore.Conflict && status != "" && wire.Decode(reply.Body, &tr) == nil && slices.Contains(tr.Failed, keyFinal+j.ID) {
			r.readOwnFinal(j)
		}
	})
}

// finalTxn is the transaction that ends a job. The record of a small job goes later, with
// others': a completion costs one change while changes are scarce. Until then its done set
// stays, too.
func (r *Registry) finalTxn(j *Job, status wire.JobState) (t wire.Txn, prio statestore.Priority, removeLater bool) {
	t.Guards = []wire.Guard{r.guard(j.GuardClass), {Key: keyJob + j.ID, Version: j.version}}
	prio = statestore.Progress
	if status != "" {
		prio = statestore.Finish
		t.Guards = append(t.Guards, wire.Guard{Key: keyFinal + j.ID})
		t.Then = append(t.Then, wire.Op{Key: keyFinal + j.ID, Value: finalState{Status: status, Done: j.DoneCount}})
	}
	removeLater = status != "" && j.isPacked() && !j.Cancelled
	if !removeLater {
		t.Then = append(t.Then, wire.Op{Remove: keyJob + j.ID})
	}
	if j.Cancelled {
		t.Then = append(t.Then, wire.Op{Remove: keyCancelled + j.ID})
	}
	// Parts that don't fit into the transaction are swept later: without the
	// job they mean nothing.
	for _, key := range slices.Sorted(maps.Keys(j.parts)) {
		if !removeLater && len(t.Then) < r.store.TxnOps {
			t.Then = append(t.Then, wire.Op{Remove: key})
		}
	}
	return t, prio, removeLater
}

// finalWritten takes note that a job's end is in the state service.
func (r *Registry) finalWritten(j *Job, status wire.JobState, removeLater bool) {
	if status != "" {
		r.cacheFinal(j.ID, finalState{Status: status, Done: j.DoneCount})
		r.log(slog.LevelInfo, "job over", "job", j.ID, "class", j.Class, "status", status, "tasks", j.Tasks,
			"tookS", math.Round(10*(r.unixTime-j.SubmitUnix))/10, "dueS", j.DeadlineS, "estimateS", j.EstimateS)
	}
	if removeLater {
		r.awaitRemoval(j)
	} else {
		r.forget(j.ID)
	}
}

// readOwnFinal reads the end that another owner wrote for a job of ours.
func (r *Registry) readOwnFinal(j *Job) {
	r.store.Get(statestore.Finish, limits.PollWait, keyFinal+j.ID, func(reply statestore.Reply) {
		f, ok := decodeFinal(reply)
		if ok && f.Status == wire.StatusDone && r.Open[j.ID] == j && len(j.Assigned) == 0 {
			r.cacheFinal(j.ID, f)
			r.awaitRemoval(j)
		}
	})
}

// decodeFinal reads the answer to a question for a final state.
func decodeFinal(reply statestore.Reply) (f finalState, ok bool) {
	var row wire.Row
	ok = reply.Status == statestore.OK && wire.Decode(reply.Body, &row) == nil && wire.Decode(row.Value, &f) == nil && f.Status != ""
	return f, ok
}

// awaitRemoval puts a job whose end is written aside until its record is removed.
func (r *Registry) awaitRemoval(j *Job) {
	delete(r.Open, j.ID)
	delete(r.cancelled, j.ID)
	delete(r.flushAt, j.ID)
	r.finalized[j.ID] = j
}

// removeFinalizedRecords removes the records of jobs that are over, many in one transaction. No owner's
// guard is needed: an end that is written stays.
func (r *Registry) removeFinalizedRecords() {
	if r.removingFinalized || len(r.finalized) == 0 || !r.store.CanSpare(1) {
		return
	}
	var t wire.Txn
	for _, id := range slices.Sorted(maps.Keys(r.finalized)) {
		e, ok := r.store.Mirror.Get(keyJob + id)
		if !ok {
			delete(r.finalized, id)
			continue
		}
		if len(t.Then) < r.store.MaxWrites() {
			t.Guards = append(t.Guards, wire.Guard{Key: keyJob + id, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Remove: keyJob + id})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	r.removingFinalized = true
	r.store.Txn(statestore.Progress, limits.StoreTimeout*2, t, func(statestore.Reply) { r.removingFinalized = false })
}

// forget forgets a job that is over; its record goes with the next batch.
func (r *Registry) forget(id string) {
	if j := r.Open[id]; j != nil && j.launched {
		r.orphanRecords[id] = true
	}
	delete(r.Open, id)
	delete(r.cancelled, id)
	delete(r.flushAt, id)
}

func (r *Registry) cacheFinal(id string, f finalState) {
	if _, ok := r.finals[id]; !ok {
		if f.Status == wire.StatusCancelled {
			r.confirmedCancels[id] = r.now
			r.newCancels = append(r.newCancels, id)
			r.markCancelled(id)
		}
		r.finalOrder = append(r.finalOrder, id)
		if len(r.finalOrder) > limits.FinalCache {
			delete(r.finals, r.finalOrder[0])
			r.finalOrder = r.finalOrder[1:]
		}
	}
	r.finals[id] = f
}
