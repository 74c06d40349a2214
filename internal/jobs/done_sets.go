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
	j := r.Open[id]
	var encoded string
	if removed || wire.Decode(value, &encoded) != nil || r.finalized[id] != nil {
		return
	}
	if j == nil {
		r.orphanDoneSets[id] = true
		return
	}
	j.doneSetWritten = true
	j.durableDone.mergeChunk(0, limits.ChunkTasks, encoded, j.Tasks)
	j.DoneCount += len(j.Done.mergeChunk(0, limits.ChunkTasks, encoded, j.Tasks))
}

// IsDoneSetKey reports whether a key holds done sets or chunks of them.
func (r *Registry) IsDoneSetKey(key string) bool {
	return strings.HasPrefix(key, keyDoneSets) || strings.HasPrefix(key, keyLargeChunk) || strings.HasPrefix(key, keyChunk)
}

// DropPendingWrites drops the done-set writes that are pending for a class this node no longer owns.
func (r *Registry) DropPendingWrites(class string) {
	r.doneSets.DropPending(class)
	for _, j := range r.Open {
		if j.GuardClass == class {
			j.doneSetRequested = false
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
// The caller repeats the call until the job's Prepared is set, and launches no task before that.
func (r *Registry) Prepare(j *Job) {
	switch {
	case j.MayHaveLaunched():
		j.Prepared = true
	case j.isPacked():
		if !j.doneSetRequested {
			j.doneSetRequested = true
			// The wait lets the done sets of many small jobs share one write. Without the wait, jobs
			// that arrive together would need one write each, and the writes would queue for the write
			// budget.
			wait := min(r.store.WriteWait(statestore.PriorityFinish), limits.MaxPrepareWait)
			r.doneSets.SetUrgent(j.GuardClass, j.ID, j.Done.encodeChunk(0, limits.ChunkTasks), wait)
		}
	case !j.chunkWriteInFlight:
		r.writeChunk(j, 0, statestore.PriorityRecords)
	}
}

// writeChunk writes chunk chunkIndex of a done set. While a node may run a version that reads only
// the larger chunks, it writes the larger chunk that contains this one.
func (r *Registry) writeChunk(j *Job, chunkIndex int, priority statestore.Priority) {
	j.chunkWriteInFlight = true
	prefix, chunkTasks, keyIndex := keyChunk, limits.ChunkTasks, chunkIndex
	if r.recordFormat() < 2 {
		prefix, chunkTasks = keyLargeChunk, limits.Format1ChunkTasks
		keyIndex = chunkIndex * limits.ChunkTasks / chunkTasks
	}
	key := prefix + j.ID + "/" + strconv.Itoa(keyIndex)
	encoded := j.Done.encodeChunk(keyIndex, chunkTasks)
	var written []int // dirty chunks that this transaction writes
	for dirtyIndex := keyIndex * chunkTasks / limits.ChunkTasks; dirtyIndex < (keyIndex+1)*chunkTasks/limits.ChunkTasks; dirtyIndex++ {
		if j.dirtyChunks[dirtyIndex] {
			delete(j.dirtyChunks, dirtyIndex)
			written = append(written, dirtyIndex)
		}
	}
	txn := wire.Txn{
		Guards: []wire.Guard{r.ownerGuard(j.GuardClass), {Key: keyJob + j.ID, Version: j.version}, {Key: key, Version: j.chunkVersions[key]}},
		Then:   []wire.Op{{Key: key, Value: doneSetChunk{Done: encoded}}}}
	r.store.Txn(priority, limits.StoreTimeout*2, txn, func(reply statestore.Reply) {
		j.chunkWriteInFlight = false
		var txnReply wire.TxnReply
		if reply.Status == statestore.OK && wire.Decode(reply.Body, &txnReply) == nil {
			j.chunkVersions[key] = max(j.chunkVersions[key], txnReply.Revision)
			j.durableDone.mergeChunk(keyIndex, chunkTasks, encoded, j.Tasks)
			if chunkIndex == 0 {
				j.Prepared = true
			}
			return
		}
		for _, dirtyIndex := range written { // if the write was applied after all, the mirror supplies its version
			j.dirtyChunks[dirtyIndex] = true
		}
		r.nextWriteAt[j.ID] = r.now + limits.StoreBackoff
	})
}
