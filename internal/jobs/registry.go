// Package jobs keeps the unfinished jobs, answers user requests about jobs, and writes to the
// state service what must survive a restart: a job before its 201 answer, a cancellation before
// its 200 answer, and a completion before it is reported to a user. Users are told of a cancellation
// only once no owner can launch a task of the job any more.
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
	// OpenJobs holds the unfinished jobs, and the cancelled jobs of which tasks may be left, by ID.
	OpenJobs map[string]*Job
	// cancelledJobs holds the jobs in OpenJobs that are cancelled.
	cancelledJobs map[string]*Job
	// WithheldAnswers counts answers that were not sent because the state was read before the
	// request arrived. Each one is a bug in this program.
	WithheldAnswers int

	// finalStates caches the final states of jobs; finalOrder lists these jobs, oldest entry first.
	finalStates map[string]cachedFinal
	finalOrder  []string
	// confirmedCancellations holds the cancelled jobs whose cancellation this node knows to be recorded,
	// with the time at which it learned of the record. newCancellations lists those that have not
	// been sent to the owners yet.
	confirmedCancellations map[string]time.Duration
	newCancellations       []string
	// cancellationsKnownThrough is the time up to which this node knew of every cancellation
	// confirmed to users, before it received the input that is being processed.
	cancellationsKnownThrough time.Duration

	// pendingCancellations holds the cancellations that this node records, or may not confirm to users
	// yet, by job. holdRequests lists the holds of launches that have not been requested yet.
	pendingCancellations map[string]*pendingCancellation
	holdRequests         []LaunchNotice
	// launchHolds holds the jobs whose launches are held, with the end of the time within which a
	// cancellation that the hold covers is recorded.
	launchHolds map[string]time.Duration
	// unannounced holds the cancellations that this node has read, but no peer has announced, by job.
	unannounced map[string]unannouncedCancellation

	queuedLookups     []*lookup
	unansweredLookups []*waiter // not answered yet, whether queued or in flight
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
	// finalizedJobs holds the jobs whose final state is written and whose records await removal.
	finalizedJobs     map[string]*Job
	removingFinalized bool
	orphanDoneSets    map[string]bool // IDs of done sets under u/s/ without a job

	ownership Ownership
}

// New returns an empty registry.
func New(store *statestore.Store, ownership Ownership, log func(slog.Level, string, ...any)) *Registry {
	r := &Registry{
		store:                     store,
		ownership:                 ownership,
		log:                       log,
		OpenJobs:                  map[string]*Job{},
		cancelledJobs:             map[string]*Job{},
		finalStates:               map[string]cachedFinal{},
		pendingCancellations:      map[string]*pendingCancellation{},
		launchHolds:               map[string]time.Duration{},
		unannounced:               map[string]unannouncedCancellation{},
		confirmedCancellations:    map[string]time.Duration{},
		submissionsByID:           map[string]*submission{},
		cancellationsKnownThrough: ConfirmedAtAnyTime,
		nextWriteAt:               map[string]time.Duration{},
		orphanChunks:              map[string]bool{},
		orphanDoneSets:            map[string]bool{},
		finalizedJobs:             map[string]*Job{},
	}
	r.doneSets = statestore.NewRecordTable(store, keyDoneSets, ownership.OwnerGuard, r.applyDoneSet)
	return r
}

// Apply updates the registry after a change of the mirror.
func (r *Registry) Apply(change statestore.Change) {
	r.doneSets.Apply(change)
	switch {
	case strings.HasPrefix(change.Key, keyJob):
		r.applyJob(change.Key[len(keyJob):], change)
	case strings.HasPrefix(change.Key, keyCancelled):
		if id := change.Key[len(keyCancelled):]; !change.Removed && r.markCancelled(id) {
			r.noteUnannounced(id)
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
	if r.OpenJobs[id] != nil || r.finalizedJobs[id] != nil {
		return
	}
	job := newJob(spec, change.Entry.Version)
	job.LaunchesHeld = r.isHeld(id)
	r.OpenJobs[id] = job
	if stored, ok := r.doneSets.StoredValue(id); ok {
		r.applyDoneSet(id, "", stored, false)
	}
	// Keys under c/ sort before keys under o/, so the key that records the cancellation may have been
	// read before the job. A user request or a peer may also have reported the cancellation before the
	// record arrived.
	_, cancelled := r.store.Mirror.Get(keyCancelled + id)
	if cancelled || r.finalStates[id].Status == wire.StatusCancelled {
		// The time of the cancellation is unknown: this node may have read it long ago.
		r.setCancelled(job, ConfirmedAtAnyTime)
	}
}

// newJob returns the job described by a record.
func newJob(spec *wire.Job, version uint64) *Job {
	job := &Job{
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
	job.GuardClass = guardClass(spec)
	for _, class := range spec.Types {
		job.TypeSet[class] = true
	}
	return job
}

// guardClass returns the class of a job whose ownership guards the owner's writes about the job, or "" if the
// job has none.
func guardClass(spec *wire.Job) string {
	if len(spec.Types) == 0 {
		return ""
	}
	return spec.Types[0]
}

// applyJobRemoval applies the removal of a job's record.
func (r *Registry) applyJobRemoval(id string) {
	if job := r.OpenJobs[id]; job != nil {
		// Every chunk of the job that is still in the mirror is marked as an orphan. The mark of a
		// chunk that the same transaction removed is deleted when its removal is applied, right
		// after this change.
		for key := range job.chunkVersions {
			r.markOrphanChunk(key)
		}
	}
	r.dropOpenJob(id)
	if job := r.finalizedJobs[id]; job != nil {
		delete(r.finalizedJobs, id)
		if job.doneSetWritten {
			r.orphanDoneSets[id] = true
		}
	}
}

// applyChunk applies a change of one chunk of a large job's done set.
func (r *Registry) applyChunk(change statestore.Change, chunkTasks int) {
	id, indexText, ok := strings.Cut(change.Key[len(keyChunk):], "/") // keyLargeChunk has the same length
	index, err := strconv.Atoi(indexText)
	job := r.OpenJobs[id]
	if change.Removed {
		delete(r.orphanChunks, change.Key)
	} else if job == nil {
		r.orphanChunks[change.Key] = true
	}
	if !ok || err != nil || job == nil || index < 0 || index*chunkTasks >= job.Tasks {
		return
	}
	if change.Removed {
		delete(job.chunkVersions, change.Key)
		return
	}
	var chunk doneSetChunk
	if wire.Decode(change.Entry.Value, &chunk) != nil {
		return
	}
	job.chunkVersions[change.Key] = change.Entry.Version
	job.durableDone.mergeChunk(index, chunkTasks, chunk.Done, job.Tasks)
	job.DoneCount += len(job.Done.mergeChunk(index, chunkTasks, chunk.Done, job.Tasks))
}

// Advance sets the current time without triggering any work.
func (r *Registry) Advance(now time.Duration) { r.now = max(r.now, now) }

// Tick sends the queued user requests, and writes the progress and the completions of the jobs
// that this node owns. mayWrite reports whether this node may write as owner. allTasksLocated
// reports whether every task of a job that a machine may have is among the job's assignments.
func (r *Registry) Tick(now time.Duration, unixTime float64, mayWrite bool, allTasksLocated func(*Job) bool) {
	r.unixTime = unixTime
	r.now = max(r.now, now)
	r.updateConfirmations()
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
		job := r.OpenJobs[id]
		if job.Active && !job.finalizing && r.now >= r.nextWriteAt[id] {
			r.writeJob(job, flush, allTasksLocated)
		}
	}
	r.doneSets.Write()
}

// writeJob finalizes a job that has ended. Otherwise it writes the job's progress if flush is set.
func (r *Registry) writeJob(job *Job, flush bool, allTasksLocated func(*Job) bool) {
	switch {
	case job.Cancelled:
		if len(job.Assigned) == 0 && allTasksLocated(job) && !job.chunkWriteInFlight {
			r.finalize(job, "")
		}
	case job.DoneCount == job.Tasks:
		if !job.chunkWriteInFlight {
			r.finalize(job, wire.StatusDone)
		}
	case !flush || len(job.dirtyChunks) == 0:
	case job.isPacked():
		clear(job.dirtyChunks)
		r.doneSets.Set(job.GuardClass, job.ID, job.Done.encodeChunk(0, limits.ChunkTasks), limits.RecordScanInterval)
	case !job.chunkWriteInFlight:
		r.writeChunk(job, slices.Min(slices.Collect(maps.Keys(job.dirtyChunks))), statestore.PriorityProgress)
	}
}

func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.OpenJobs))
	for id := range r.OpenJobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// SetDisplayCounts records the counts that an owner reported. They are only for display.
func (r *Registry) SetDisplayCounts(id string, doneCount, runningCount int) {
	if job := r.OpenJobs[id]; job != nil {
		job.displayDone, job.displayRunning = doneCount, runningCount
	}
}

// currentStatus returns the state of a job that has not ended.
func (r *Registry) currentStatus(id string) wire.JobStatus {
	status := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if job := r.OpenJobs[id]; job != nil {
		if job.Active {
			status.Done, status.Running = job.DoneCount, job.RunningCount()
		} else {
			status.Done, status.Running = max(job.DoneCount, job.displayDone), job.displayRunning
		}
		if status.Running > 0 {
			status.Status = wire.StatusRunning
		}
	}
	return status
}
