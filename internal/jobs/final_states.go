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
func (b *Registry) finalize(j *Job, status wire.JobState) {
	j.closing = true
	t, prio, removeLater := b.finalTxn(j, status)
	b.store.Txn(prio, limits.StoreTimeout*2, t, func(r statestore.Reply) {
		j.closing = false
		b.flushAt[j.ID] = b.now + limits.StoreBackoff
		if r.Status == statestore.OK {
			j.closing = true
			b.finalWritten(j, status, removeLater)
			return
		}
		// An earlier owner may have written the end, and not have come to clean up.
		var tr wire.TxnReply
		if r.Status == statestore.Conflict && status != "" && wire.Decode(r.Body, &tr) == nil && slices.Contains(tr.Failed, keyFinal+j.ID) {
			b.readOwnFinal(j)
		}
	})
}

// finalTxn is the transaction that ends a job. The record of a small job goes later, with
// others': a completion costs one change while changes are scarce. Until then its done set
// stays, too.
func (b *Registry) finalTxn(j *Job, status wire.JobState) (t wire.Txn, prio statestore.Priority, removeLater bool) {
	t.Guards = []wire.Guard{b.guard(j.GuardClass), {Key: keyJob + j.ID, Version: j.version}}
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
		if !removeLater && len(t.Then) < b.store.TxnOps {
			t.Then = append(t.Then, wire.Op{Remove: key})
		}
	}
	return t, prio, removeLater
}

// finalWritten takes note that a job's end is in the state service.
func (b *Registry) finalWritten(j *Job, status wire.JobState, removeLater bool) {
	if status != "" {
		b.cacheFinal(j.ID, finalState{Status: status, Done: j.DoneCount})
		b.log(slog.LevelInfo, "job over", "job", j.ID, "class", j.Class, "status", status, "tasks", j.Tasks,
			"tookS", math.Round(10*(b.unixTime-j.SubmitUnix))/10, "dueS", j.DeadlineS, "estimateS", j.EstimateS)
	}
	if removeLater {
		b.awaitRemoval(j)
	} else {
		b.forget(j.ID)
	}
}

// readOwnFinal reads the end that another owner wrote for a job of ours.
func (b *Registry) readOwnFinal(j *Job) {
	b.store.Get(statestore.Finish, limits.PollWait, keyFinal+j.ID, func(r statestore.Reply) {
		f, ok := decodeFinal(r)
		if ok && f.Status == wire.StatusDone && b.Open[j.ID] == j && len(j.Assigned) == 0 {
			b.cacheFinal(j.ID, f)
			b.awaitRemoval(j)
		}
	})
}

// decodeFinal reads the answer to a question for a final state.
func decodeFinal(r statestore.Reply) (f finalState, ok bool) {
	var row wire.Row
	ok = r.Status == statestore.OK && wire.Decode(r.Body, &row) == nil && wire.Decode(row.Value, &f) == nil && f.Status != ""
	return f, ok
}

// awaitRemoval puts a job whose end is written aside until its record is removed.
func (b *Registry) awaitRemoval(j *Job) {
	delete(b.Open, j.ID)
	delete(b.flushAt, j.ID)
	b.finalized[j.ID] = j
}

// removeFinalizedRecords removes the records of jobs that are over, many in one transaction. No owner's
// guard is needed: an end that is written stays.
func (b *Registry) removeFinalizedRecords() {
	if b.removingFinalized || len(b.finalized) == 0 || !b.store.CanSpare(1) {
		return
	}
	var t wire.Txn
	for _, id := range slices.Sorted(maps.Keys(b.finalized)) {
		e, ok := b.store.Mirror.Get(keyJob + id)
		if !ok {
			delete(b.finalized, id)
			continue
		}
		if len(t.Then) < b.store.MaxWrites() {
			t.Guards = append(t.Guards, wire.Guard{Key: keyJob + id, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Remove: keyJob + id})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	b.removingFinalized = true
	b.store.Txn(statestore.Progress, limits.StoreTimeout*2, t, func(statestore.Reply) { b.removingFinalized = false })
}

// forget forgets a job that is over; its record goes with the next batch.
func (b *Registry) forget(id string) {
	if j := b.Open[id]; j != nil && j.launched {
		b.orphanRecords[id] = true
	}
	delete(b.Open, id)
	delete(b.flushAt, id)
}

func (b *Registry) cacheFinal(id string, f finalState) {
	if _, ok := b.finals[id]; !ok {
		if f.Status == wire.StatusCancelled {
			b.confirmedCancels[id] = b.now
			b.newCancels = append(b.newCancels, id)
			b.markCancelled(id)
		}
		b.finalOrder = append(b.finalOrder, id)
		if len(b.finalOrder) > limits.FinalCache {
			delete(b.finals, b.finalOrder[0])
			b.finalOrder = b.finalOrder[1:]
		}
	}
	b.finals[id] = f
}
