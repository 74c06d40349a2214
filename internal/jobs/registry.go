// Package jobs keeps the unfinished jobs, answers user requests about jobs, and writes to the
// state service what must survive a restart: a job before its 201 answer, a cancellation before
// its 200 answer, and a completion before it is reported to a user.
//
// Keys in the state service:
//   - u/o/ID is the job. It is never rewritten, and is removed when the job is final and has no
//     tasks left.
//   - u/c/ID marks a cancelled job for the owners.
//   - u/s/CLASS/N holds the done sets of several jobs with few tasks.
//   - u/q/ID/K holds chunk K of the done set of a larger job. u/p/ID/K holds a chunk twice as
//     large, for versions that read only that size.
//   - fin/ID is the final state. It is never removed.
//
// The done set of a small job, or chunk 0 of a larger one, is written before the job's first
// launch, so a job without it has never run.
package jobs

import (
	"log/slog"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

const (
	keyJob        = statestore.Root + "o/"
	keyCancelled  = statestore.Root + "c/"
	keyLargeChunk = statestore.Root + "p/"
	keyChunk      = statestore.Root + "q/"
	keyDoneSets   = statestore.Root + "s/"
	keyFinal      = "fin/"
)

// Registry holds the unfinished jobs with their pending writes, the user requests about jobs that
// wait for an answer, and a cache of final states.
type Registry struct {
	store    *statestore.Store
	log      func(level slog.Level, msg string, args ...any)
	now      time.Duration
	unixTime float64 // time of day in Unix seconds, for the log
	// Open holds the unfinished jobs, and the cancelled jobs of which tasks may be left, by ID.
	Open map[string]*Job
	// cancelled holds the jobs in Open that are cancelled.
	cancelled map[string]*Job
	// WithheldAnswers counts answers that were not sent because the state was read before the
	// request arrived. Each one is a bug in this program.
	WithheldAnswers int

	// finalStates caches the final states of jobs; finalOrder lists these jobs, oldest entry first.
	finalStates map[string]finalState
	finalOrder  []string
	// confirmedCancellations holds the cancelled jobs whose cancellation this node confirms to
	// users, with the time of the first confirmation. newCancellations lists those that have not
	// been sent to the owners yet.
	confirmedCancellations map[string]time.Duration
	newCancellations       []string
	// cancellationsKnownThrough is the time up to which this node knew of every cancellation
	// confirmed to users, before it received the input that is being processed.
	cancellationsKnownThrough time.Duration

	queuedLookups     []*lookup
	unansweredLookups []*lookup // not answered yet, whether queued or in flight
	lookupInFlight    bool
	queuedSubmissions []*submission
	waitingRequests   int
	submissionsByID   map[string]*submission
	nextWriteAt       map[string]time.Duration // earliest time of a job's next write
	nextFlush         time.Duration
	nextScan          time.Duration
	orphanChunks      map[string]bool // keys of done-set chunks without a job
	removingOrphans   bool
	doneSets          *statestore.RecordTable
	// finalized holds jobs whose final state is written and whose records await removal.
	finalized         map[string]*Job
	removingFinalized bool
	orphanDoneSets    map[string]bool // IDs of done sets under u/s/ without a job

	// ownerGuard returns the condition under which this node may write as owner of a class.
	ownerGuard func(class string) wire.Guard
	// recordFormat returns the newest record format that every node can read.
	recordFormat func() int
}

// New returns an empty registry.
func New(store *statestore.Store, guard func(class string) wire.Guard, format func() int, log func(slog.Level, string, ...any)) *Registry {
	r := &Registry{store: store, ownerGuard: guard, recordFormat: format, log: log, Open: map[string]*Job{}, cancelled: map[string]*Job{}, finalStates: map[string]finalState{}, confirmedCancellations: map[string]time.Duration{}, submissionsByID: map[string]*submission{},
		cancellationsKnownThrough: ConfirmedAtAnyTime, nextWriteAt: map[string]time.Duration{}, orphanChunks: map[string]bool{}, orphanDoneSets: map[string]bool{}, finalized: map[string]*Job{}}
	r.doneSets = statestore.NewRecordTable(store, keyDoneSets, guard, r.applyDoneSet)
	return r
}

// Apply updates the registry after a change of the mirror.
func (r *Registry) Apply(change statestore.Change) {
	r.doneSets.Apply(change)
	switch {
	case strings.HasPrefix(change.Key, keyJob):
		r.applyJob(change.Key[len(keyJob):], change)
	case strings.HasPrefix(change.Key, keyCancelled):
		if !change.Removed {
			r.markCancelled(change.Key[len(keyCancelled):])
		}
	case strings.HasPrefix(change.Key, keyLargeChunk):
		r.applyChunk(change, limits.Format1ChunkTasks)
	case strings.HasPrefix(change.Key, keyChunk):
		r.applyChunk(change, limits.ChunkTasks)
	}
}

// applyJob applies a change of a job's record.
func (r *Registry) applyJob(id string, change statestore.Change) {
	if change.Removed {
		r.applyJobRemoval(id)
		return
	}
	spec := &wire.Job{}
	if err := wire.Decode(change.Entry.Value, spec); err != nil || spec.Tasks < 1 || spec.Tasks > limits.MaxTasks {
		r.log(slog.LevelError, "unreadable job record", "job", id)
		return
	}
	if r.Open[id] != nil || r.finalized[id] != nil {
		return
	}
	j := newJob(spec, change.Entry.Version)
	r.Open[id] = j
	if stored, ok := r.doneSets.StoredValue(id); ok {
		r.applyDoneSet(id, "", stored, false)
	}
	// Keys under c/ sort before keys under o/, so the key that records the cancellation may have been
	// read before the job. A user request or a peer may also have reported the cancellation before the
	// record arrived.
	_, cancelled := r.store.Mirror.Get(keyCancelled + id)
	if cancelled || r.finalStates[id].Status == wire.StatusCancelled {
		// The time of the cancellation is unknown: this node may have read it long ago.
		r.setCancelled(j, ConfirmedAtAnyTime)
	}
}

// newJob returns the job described by a record.
func newJob(spec *wire.Job, version uint64) *Job {
	j := &Job{
		Job:           spec,
		version:       version,
		Done:          newTaskSet(spec.Tasks),
		durableDone:   newTaskSet(spec.Tasks),
		chunkVersions: map[string]uint64{},
		dirtyChunks:   map[int]bool{},
		Assigned:      map[int]Assignment{},
		FailedOn:      map[string]bool{},
		TypeSet:       make(map[string]bool, len(spec.Types)),
		PlacementKey:  strings.Join(spec.Types, " ") + "|" + spec.Zone + "|" + strconv.FormatBool(spec.Spot),
	}
	if len(spec.Types) > 0 {
		j.GuardClass = spec.Types[0]
	}
	for _, class := range spec.Types {
		j.TypeSet[class] = true
	}
	return j
}

// applyJobRemoval applies the removal of a job's record.
func (r *Registry) applyJobRemoval(id string) {
	if j := r.Open[id]; j != nil {
		// Every chunk of the job that is still in the mirror is marked as an orphan. The mark of a
		// chunk that the same transaction removed is deleted when its removal is applied, right
		// after this change.
		for key := range j.chunkVersions {
			r.markOrphanChunk(key)
		}
	}
	r.dropOpenJob(id)
	if j := r.finalized[id]; j != nil {
		delete(r.finalized, id)
		if j.doneSetWritten {
			r.orphanDoneSets[id] = true
		}
	}
}

// applyChunk applies a change of one chunk of a large job's done set.
func (r *Registry) applyChunk(change statestore.Change, chunkTasks int) {
	id, indexText, ok := strings.Cut(change.Key[len(keyChunk):], "/") // keyLargeChunk has the same length
	index, err := strconv.Atoi(indexText)
	j := r.Open[id]
	if change.Removed {
		delete(r.orphanChunks, change.Key)
	} else if j == nil {
		r.orphanChunks[change.Key] = true
	}
	if !ok || err != nil || j == nil || index < 0 || index*chunkTasks >= j.Tasks {
		return
	}
	if change.Removed {
		delete(j.chunkVersions, change.Key)
		return
	}
	var chunk doneSetChunk
	if wire.Decode(change.Entry.Value, &chunk) != nil {
		return
	}
	j.chunkVersions[change.Key] = change.Entry.Version
	j.durableDone.mergeChunk(index, chunkTasks, chunk.Done, j.Tasks)
	j.DoneCount += len(j.Done.mergeChunk(index, chunkTasks, chunk.Done, j.Tasks))
}

// Tick sends the queued user requests, and writes the progress and the completions of the jobs
// that this node owns. mayWrite reports whether this node may write as owner. allTasksLocated
// reports whether every task of a job that a machine may have is among the job's assignments.
func (r *Registry) Tick(now time.Duration, unixTime float64, mayWrite bool, allTasksLocated func(*Job) bool) {
	r.unixTime = unixTime
	r.now = max(r.now, now)
	r.expireLookups()
	r.sendSubmissions()
	r.sendLookups()
	if !mayWrite || r.now < r.nextScan {
		return
	}
	r.nextScan = r.now + limits.RecordScanInterval
	flush := r.now >= r.nextFlush
	if flush {
		r.removeOrphans()
		r.nextFlush = r.now + limits.DoneSetFlushInterval
	}
	r.removeFinalizedRecords()
	for _, id := range r.sortedIDs() {
		j := r.Open[id]
		if j.Active && !j.finalizing && r.now >= r.nextWriteAt[id] {
			r.writeJob(j, flush, allTasksLocated)
		}
	}
	r.doneSets.Write()
}

// writeJob finalizes a job that has ended. Otherwise it writes the job's progress if flush is set.
func (r *Registry) writeJob(j *Job, flush bool, allTasksLocated func(*Job) bool) {
	switch {
	case j.Cancelled:
		if len(j.Assigned) == 0 && allTasksLocated(j) && !j.chunkWriteInFlight {
			r.finalize(j, "")
		}
	case j.DoneCount == j.Tasks:
		if !j.chunkWriteInFlight {
			r.finalize(j, wire.StatusDone)
		}
	case !flush || len(j.dirtyChunks) == 0:
	case j.isPacked():
		clear(j.dirtyChunks)
		r.doneSets.Set(j.GuardClass, j.ID, j.Done.encodeChunk(0, limits.ChunkTasks), limits.RecordScanInterval)
	case !j.chunkWriteInFlight:
		r.writeChunk(j, slices.Min(slices.Collect(maps.Keys(j.dirtyChunks))), statestore.PriorityProgress)
	}
}

func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.Open))
	for id := range r.Open {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// SetDisplayCounts records the counts that an owner reported. They are only for display.
func (r *Registry) SetDisplayCounts(id string, done, running int) {
	if j := r.Open[id]; j != nil {
		j.displayDone, j.displayRunning = done, running
	}
}

func (r *Registry) currentStatus(id string) wire.JobStatus {
	if final, ok := r.finalStates[id]; ok {
		return wire.JobStatus{ID: id, Status: final.Status, Done: final.Done}
	}
	status := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if j := r.Open[id]; j != nil {
		if j.Active {
			status.Done, status.Running = j.DoneCount, j.RunningCount()
		} else {
			status.Done, status.Running = max(j.DoneCount, j.displayDone), j.displayRunning
		}
		if status.Running > 0 {
			status.Status = wire.StatusRunning
		}
	}
	return status
}
