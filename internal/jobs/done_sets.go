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

type donePart struct {
	Done string `msgpack:"b"`
}

// applyDone follows the record of a job with few tasks.
func (r *Registry) applyDone(id, _ string, value msgpack.RawMessage, gone bool) {
	delete(r.orphanRecords, id)
	j := r.Open[id]
	var text string
	if gone || wire.Decode(value, &text) != nil || r.finalized[id] != nil {
		return
	}
	if j == nil {
		r.orphanRecords[id] = true
		return
	}
	j.launched = true
	j.durable.merge(0, limits.ChunkTasks, text, j.Tasks)
	j.DoneCount += len(j.Done.merge(0, limits.ChunkTasks, text, j.Tasks))
}

// IsDoneSet tells whether a key holds done sets.
func (r *Registry) IsDoneSet(key string) bool {
	return strings.HasPrefix(key, keyDoneSets) || strings.HasPrefix(key, keyLargePart) || strings.HasPrefix(key, keyPart)
}

// DropPending drops what was to be written as owner of a class.
func (r *Registry) DropPending(class string) {
	r.doneSets.Forget(class)
	for _, j := range r.Open {
		if j.GuardClass == class {
			j.recordRequested = false
		}
	}
}

func (r *Registry) markOrphan(key string) {
	if _, ok := r.store.Mirror.Get(key); ok {
		r.orphanParts[key] = true
	}
}

// removeOrphans removes parts of done sets whose job is over: they did not fit into the
// transaction that ended it.
func (r *Registry) removeOrphans() {
	for id := range r.orphanRecords {
		r.doneSets.Remove(id, limits.PageDelay)
	}
	if len(r.orphanParts) == 0 || r.removingOrphans {
		return
	}
	var t wire.Txn
	for _, key := range slices.Sorted(maps.Keys(r.orphanParts)) {
		e, ok := r.store.Mirror.Get(key)
		if !ok {
			delete(r.orphanParts, key)
			continue
		}
		if len(t.Then) < r.store.MaxWrites() {
			t.Guards = append(t.Guards, wire.Guard{Key: key, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Remove: key})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	r.removingOrphans = true
	r.store.Txn(statestore.Progress, limits.StoreTimeout*2, t, func(statestore.Reply) { r.removingOrphans = false })
}

// Prepare writes the mark that a job's tasks may be running, before the first
// launch. It is done once Prepared is set.
func (r *Registry) Prepare(j *Job) {
	switch {
	case j.Launched():
		j.Prepared = true
	case j.isPacked():
		if !j.recordRequested {
			j.recordRequested = true
			// Guards against jobs that waited for one change each, one after the other,
			// when many small ones came.
			wait := min(r.store.WriteWait(statestore.Finish), limits.PrepareWait)
			r.doneSets.SetUrgent(j.GuardClass, j.ID, j.Done.chunk(0, limits.ChunkTasks), wait)
		}
	case !j.writing:
		r.writePart(j, 0, statestore.Records)
	}
}

// writePart writes part k of a done set. As long as a node may run a version that reads
// only the larger parts, those are written.
func (r *Registry) writePart(j *Job, k int, prio statestore.Priority) {
	j.writing = true
	prefix, tasks, first := keyPart, limits.ChunkTasks, k
	if r.format() < 2 {
		prefix, tasks = keyLargePart, limits.OldChunkTasks
		first = k * limits.ChunkTasks / tasks
	}
	key := prefix + j.ID + "/" + strconv.Itoa(first)
	text := j.Done.chunk(first, tasks)
	var of []int // the parts that this writes
	for n := first * tasks / limits.ChunkTasks; n < (first+1)*tasks/limits.ChunkTasks; n++ {
		if j.dirty[n] {
			delete(j.dirty, n)
			of = append(of, n)
		}
	}
	t := wire.Txn{
		Guards: []wire.Guard{r.guard(j.GuardClass), {Key: keyJob + j.ID, Version: j.version}, {Key: key, Version: j.parts[key]}},
		Then:   []wire.Op{{Key: key, Value: donePart{Done: text}}}}
	r.store.Txn(prio, limits.StoreTimeout*2, t, func(reply statestore.Reply) {
		j.writing = false
		var tr wire.TxnReply
		if reply.Status == statestore.OK && wire.Decode(reply.Body, &tr) == nil {
			j.parts[key] = max(j.parts[key], tr.Revision)
			j.durable.merge(first, tasks, text, j.Tasks)
			if k == 0 {
				j.Prepared = true
			}
			return
		}
		for _, n := range of { // the mirror brings the version if it was applied after all
			j.dirty[n] = true
		}
		r.flushAt[j.ID] = r.now + limits.StoreBackoff
	})
}
