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

// cachedFinal is a final state in memory. Users may be told of a cancellation only once it is confirmed.
type cachedFinal struct {
	finalState
	confirmed bool
}

// mayBeReported reports whether users may be told of the final state.
func (c cachedFinal) mayBeReported() bool {
	return c.Status != wire.StatusCancelled || c.confirmed
}

// finalize writes the final state of a job and removes its record in one transaction; the record of
// a small job may be removed later (see finalizeTxn). An empty status means that the final state is
// already written. A completion and a cancellation can't both succeed, because each requires fin/ID
// to be absent.
func (r *Registry) finalize(job *Job, status wire.JobState) {
	job.finalizing = true
	txn, priority, removeLater := r.finalizeTxn(job, status)
	r.store.Txn(priority, limits.StoreTimeout*2, txn, func(reply statestore.Reply) {
		job.finalizing = false
		r.nextWriteAt[job.ID] = r.now + limits.StoreBackoff
		if reply.Status == statestore.OK {
			job.finalizing = true
			r.handleFinalWritten(job, status, removeLater)
			return
		}
		// An earlier owner may have written the final state without removing the job's record.
		var txnReply wire.TxnReply
		if reply.Status == statestore.Conflict && status != "" && wire.Decode(reply.Body, &txnReply) == nil && slices.Contains(txnReply.Failed, keyFinal+job.ID) {
			r.readFinalOfOwnedJob(job)
		}
	})
}

// finalizeTxn returns the transaction that finalizes a job. The record of a small job is removed
// later, in a batch with others, so that a completion costs only one write while the write budget
// is scarce. Its done set stays until then, too.
func (r *Registry) finalizeTxn(job *Job, status wire.JobState) (txn wire.Txn, priority statestore.Priority, removeLater bool) {
	txn.Guards = []wire.Guard{r.ownership.OwnerGuard(job.GuardClass), {Key: keyJob + job.ID, Version: job.version}}
	priority = statestore.PriorityProgress
	if status != "" {
		priority = statestore.PriorityFinish
		txn.Guards = append(txn.Guards, wire.Guard{Key: keyFinal + job.ID})
		txn.Then = append(txn.Then, wire.Op{Key: keyFinal + job.ID, Value: finalState{Status: status, Done: job.DoneCount}})
	}
	removeLater = status != "" && job.isPacked() && !job.Cancelled
	if !removeLater {
		txn.Then = append(txn.Then, wire.Op{Remove: keyJob + job.ID})
	}
	if job.Cancelled {
		txn.Then = append(txn.Then, wire.Op{Remove: keyCancelled + job.ID})
	}
	// Chunks that don't fit into the transaction are removed later by removeOrphans. They have
	// no meaning without the job.
	for _, key := range slices.Sorted(maps.Keys(job.chunkVersions)) {
		if !removeLater && len(txn.Then) < r.store.MaxTxnOps {
			txn.Then = append(txn.Then, wire.Op{Remove: key})
		}
	}
	return txn, priority, removeLater
}

// handleFinalWritten updates the registry after the transaction that finalized a job.
func (r *Registry) handleFinalWritten(job *Job, status wire.JobState, removeLater bool) {
	if status != "" {
		r.cacheFinal(job.ID, finalState{Status: status, Done: job.DoneCount})
		r.log(slog.LevelInfo, "job over", "job", job.ID, "class", job.Class, "status", status, "tasks", job.Tasks,
			"tookS", math.Round(10*(r.unixTime-job.SubmitUnix))/10, "dueS", job.DeadlineS, "estimateS", job.EstimateS)
	}
	if removeLater {
		r.awaitRemoval(job)
	} else {
		r.dropOpenJob(job.ID)
	}
}

// readFinalOfOwnedJob reads the final state that another owner wrote for a job of this node. If the
// job completed and none of its tasks is assigned any more, only its record remains to be removed.
func (r *Registry) readFinalOfOwnedJob(job *Job) {
	r.store.Get(statestore.PriorityFinish, limits.QueryTimeout, keyFinal+job.ID, func(reply statestore.Reply) {
		final, _, ok := decodeFinal(reply)
		if ok && final.Status == wire.StatusDone && r.OpenJobs[job.ID] == job && len(job.Assigned) == 0 {
			r.cacheFinal(job.ID, final)
			r.awaitRemoval(job)
		}
	})
}

// decodeFinal decodes the reply to a read of a final state. revision is when the state was recorded.
func decodeFinal(reply statestore.Reply) (final finalState, revision uint64, ok bool) {
	var row wire.KeyValue
	ok = reply.Status == statestore.OK && wire.Decode(reply.Body, &row) == nil && wire.Decode(row.Value, &final) == nil && final.Status != ""
	return final, row.Version, ok
}

// awaitRemoval moves a job whose final state is written from the open to the finalized jobs, where
// it stays until its record is removed.
func (r *Registry) awaitRemoval(job *Job) {
	delete(r.OpenJobs, job.ID)
	delete(r.cancelledJobs, job.ID)
	delete(r.nextWriteAt, job.ID)
	r.finalizedJobs[job.ID] = job
}

// removeFinalizedRecords removes the records of finalized jobs, many in one transaction. It needs
// no owner guard, because a final state never changes.
func (r *Registry) removeFinalizedRecords() {
	if r.removingFinalized || len(r.finalizedJobs) == 0 || !r.store.CanSpareWrites(1) {
		return
	}
	var txn wire.Txn
	for _, id := range slices.Sorted(maps.Keys(r.finalizedJobs)) {
		entry, ok := r.store.Mirror.Get(keyJob + id)
		if !ok {
			delete(r.finalizedJobs, id)
			continue
		}
		if len(txn.Then) < r.store.MaxWrites() {
			txn.Guards = append(txn.Guards, wire.Guard{Key: keyJob + id, Version: entry.Version})
			txn.Then = append(txn.Then, wire.Op{Remove: keyJob + id})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	r.removingFinalized = true
	r.store.Txn(statestore.PriorityProgress, limits.StoreTimeout*2, txn, func(statestore.Reply) { r.removingFinalized = false })
}

// dropOpenJob removes a job that has ended from the open jobs. Its done set is removed by removeOrphans.
func (r *Registry) dropOpenJob(id string) {
	if job := r.OpenJobs[id]; job != nil && job.doneSetWritten {
		r.orphanDoneSets[id] = true
	}
	delete(r.OpenJobs, id)
	delete(r.cancelledJobs, id)
	delete(r.nextWriteAt, id)
}

// cacheFinal adds a final state to the cache and evicts the oldest entry of a full cache. A
// cancellation that was not in the cache is also queued to be sent to peers, and the job is marked
// as cancelled if it is open.
func (r *Registry) cacheFinal(id string, final finalState) {
	if _, ok := r.finalStates[id]; !ok {
		if final.Status == wire.StatusCancelled {
			r.confirmedCancellations[id] = r.now
			r.newCancellations = append(r.newCancellations, id)
			r.markCancelled(id)
		}
		r.finalOrder = append(r.finalOrder, id)
		if len(r.finalOrder) > limits.MaxCachedFinalStates {
			delete(r.finalStates, r.finalOrder[0])
			r.finalOrder = r.finalOrder[1:]
		}
	}
	r.finalStates[id] = cachedFinal{final, r.finalStates[id].confirmed}
}
