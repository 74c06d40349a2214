package jobs

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// doneSetChunk is the value of a key that holds one chunk of a done set.
type doneSetChunk struct {
	Done string `msgpack:"b"`
}

// applyDoneSet applies a change of the done set of a job with few tasks.
func (r *Registry) applyDoneSet(id, _ string, value msgpack.RawMessage, removed bool) {
	delete(r.orphanDoneSets, id)
	job := r.OpenJobs[id]
	var encodedTasks string
	if removed || wire.Decode(value, &encodedTasks) != nil || r.finalizedJobs[id] != nil {
		return
	}
	if job == nil {
		r.orphanDoneSets[id] = true
		return
	}
	job.doneSetWritten = true
	job.durableDone.mergeChunk(0, limits.ChunkTasks, encodedTasks, job.Tasks)
	job.DoneCount += len(job.Done.mergeChunk(0, limits.ChunkTasks, encodedTasks, job.Tasks))
}

// IsDoneSetKey reports whether a key holds done sets or chunks of them.
func (r *Registry) IsDoneSetKey(key string) bool {
	return strings.HasPrefix(key, keyDoneSets) || strings.HasPrefix(key, keyLargeChunk) || strings.HasPrefix(key, keyChunk)
}

// DropPendingWrites drops the done-set writes that are pending for a class this node no longer owns.
func (r *Registry) DropPendingWrites(class string) {
	r.doneSets.DropPending(class)
	for _, job := range r.OpenJobs {
		if job.GuardClass == class {
			job.doneSetRequested = false
		}
	}
}

// markOrphanChunk marks a chunk for removal if the mirror contains it.
func (r *Registry) markOrphanChunk(key string) {
	if _, ok := r.store.Mirror.Get(key); ok {
		r.orphanChunks[key] = true
	}
}

// removeOrphans removes done sets and chunks whose job has been removed. The transaction that
// finalizes a job removes only as many chunks as fit into it, and no done set of a small job, which
// shares its key with other jobs.
func (r *Registry) removeOrphans() {
	for id := range r.orphanDoneSets {
		r.doneSets.Remove(id, limits.DeferredWriteDelay)
	}
	if len(r.orphanChunks) == 0 || r.removingOrphans {
		return
	}
	var txn wire.Txn
	for _, key := range slices.Sorted(maps.Keys(r.orphanChunks)) {
		entry, ok := r.store.Mirror.Get(key)
		if !ok {
			delete(r.orphanChunks, key)
			continue
		}
		if len(txn.Then) < r.store.MaxWrites() {
			txn.Guards = append(txn.Guards, wire.Guard{Key: key, Version: entry.Version})
			txn.Then = append(txn.Then, wire.Op{Remove: key})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	r.removingOrphans = true
	r.store.Txn(statestore.PriorityProgress, limits.StoreTimeout*2, txn, func(statestore.Reply) { r.removingOrphans = false })
}

// Prepare writes the job's done set, whose existence means that tasks of the job may be running.
// The caller repeats the call until the job's Prepared is set, and launches no task before it is set.
func (r *Registry) Prepare(job *Job) {
	switch {
	case job.MayHaveLaunched():
		job.Prepared = true
	case job.isPacked():
		if !job.doneSetRequested {
			job.doneSetRequested = true
			// The wait lets the done sets of many small jobs share one write. Without the wait, jobs
			// that arrive together would need one write each, and the writes would queue for the write
			// budget.
			wait := min(r.store.WriteWait(statestore.PriorityFinish), limits.MaxPrepareWait)
			r.doneSets.SetUrgent(job.GuardClass, job.ID, job.Done.encodeChunk(0, limits.ChunkTasks), wait)
		}
	case !job.chunkWriteInFlight:
		r.writeChunk(job, 0, statestore.PriorityRecords)
	}
}

// writeChunk writes chunk chunkIndex of a done set. While a node may run a version that reads only
// the larger chunks, it writes the larger chunk that contains chunk chunkIndex.
func (r *Registry) writeChunk(job *Job, chunkIndex int, priority statestore.Priority) {
	job.chunkWriteInFlight = true
	prefix, chunkTasks, keyIndex := keyChunk, limits.ChunkTasks, chunkIndex
	if r.ownership.RecordFormat() < 2 {
		prefix, chunkTasks = keyLargeChunk, limits.Format1ChunkTasks
		keyIndex = chunkIndex * limits.ChunkTasks / chunkTasks
	}
	key := prefix + job.ID + "/" + strconv.Itoa(keyIndex)
	encodedChunk := job.Done.encodeChunk(keyIndex, chunkTasks)
	var writtenChunks []int // dirty chunks that this transaction writes
	for dirtyIndex := keyIndex * chunkTasks / limits.ChunkTasks; dirtyIndex < (keyIndex+1)*chunkTasks/limits.ChunkTasks; dirtyIndex++ {
		if job.dirtyChunks[dirtyIndex] {
			delete(job.dirtyChunks, dirtyIndex)
			writtenChunks = append(writtenChunks, dirtyIndex)
		}
	}
	txn := wire.Txn{
		Guards: []wire.Guard{r.ownership.OwnerGuard(job.GuardClass), {Key: keyJob + job.ID, Version: job.version}, {Key: key, Version: job.chunkVersions[key]}},
		Then:   []wire.Op{{Key: key, Value: doneSetChunk{Done: encodedChunk}}}}
	r.store.Txn(priority, limits.StoreTimeout*2, txn, func(reply statestore.Reply) {
		job.chunkWriteInFlight = false
		var txnReply wire.TxnReply
		if reply.Status == statestore.OK && wire.Decode(reply.Body, &txnReply) == nil {
			job.chunkVersions[key] = max(job.chunkVersions[key], txnReply.Revision)
			job.durableDone.mergeChunk(keyIndex, chunkTasks, encodedChunk, job.Tasks)
			if chunkIndex == 0 {
				job.Prepared = true
			}
			return
		}
		for _, dirtyIndex := range writtenChunks { // if the write was applied after all, the mirror supplies its version
			job.dirtyChunks[dirtyIndex] = true
		}
		r.nextWriteAt[job.ID] = r.now + limits.StoreBackoff
	})
}
