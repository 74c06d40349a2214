// Package jobs keeps the unfinished jobs, answers users, and writes what must
// outlive a process: the job before its 201, a cancellation before its 200, a
// completion before it is told.
//
// Keys: u/o/ID is the job, never rewritten; it goes when the job is final and
// none of its tasks is left. u/c/ID marks a cancelled job for the owners. The
// done sets of jobs with few tasks share the keys u/s/CLASS/N; u/q/ID/K holds
// part K of a larger one, and u/p/ID/K a part twice as large, of versions that know no
// other. A job's record, or part 0, is written before its first
// launch, so a job without it has never run. fin/ID is the final state, kept for
// ever.
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
	keyJob       = statestore.Root + "o/"
	keyCancelled = statestore.Root + "c/"
	keyLargePart = statestore.Root + "p/"
	keyPart      = statestore.Root + "q/"
	keyDoneSets  = statestore.Root + "s/"
	keyFinal     = "fin/"
)

// Registry is the slice's state.
type Registry struct {
	store    *statestore.Store
	log      func(level slog.Level, msg string, args ...any)
	now      time.Duration
	unixTime float64 // time of day, for the log
	Open     map[string]*Job
	// cancelled are the jobs in Open that are cancelled.
	cancelled map[string]*Job
	// WithheldAnswers counts answers that were not given because they were older than their
	// requests: each is a fault of this program.
	WithheldAnswers int

	finals     map[string]finalState
	finalOrder []string
	// confirmedCancels are cancelled jobs that this node tells users of, and since when; news are
	// those that owners were not told of yet.
	confirmedCancels map[string]time.Duration
	newCancels       []string
	// cancellationsKnown is up to when this node knew of every cancellation that users were told
	// before it took in what is being taken in.
	cancellationsKnown time.Duration

	lookups         []*lookup
	openLookups     []*lookup // questions not answered yet, waiting or under way
	lookupInFlight  bool
	submissions     []*submission
	waiting         int
	submissionsByID map[string]*submission
	flushAt         map[string]time.Duration
	nextFlush       time.Duration
	nextScan        time.Duration
	orphanParts     map[string]bool // keys of done sets without a job
	removingOrphans bool
	doneSets        *statestore.RecordTable
	// finalized are jobs that are over and whose records go with the next clean-up.
	finalized         map[string]*Job
	removingFinalized bool
	orphanRecords     map[string]bool // records without a job

	// guard gives the condition under which this node's writes as owner hold.
	guard func(class string) wire.Guard
	// format is the form of records that every node reads.
	format func() int
}

// New makes an empty registry.
func New(store *statestore.Store, guard func(class string) wire.Guard, format func() int, log func(slog.Level, string, ...any)) *Registry {
	r := &Registry{store: store, guard: guard, format: format, log: log, Open: map[string]*Job{}, cancelled: map[string]*Job{}, finals: map[string]finalState{}, confirmedCancels: map[string]time.Duration{}, submissionsByID: map[string]*submission{},
		cancellationsKnown: ToldLongAgo, flushAt: map[string]time.Duration{}, orphanParts: map[string]bool{}, orphanRecords: map[string]bool{}, finalized: map[string]*Job{}}
	r.doneSets = statestore.NewRecordTable(store, keyDoneSets, guard, r.applyDone)
	return r
}

// Apply follows a change of the mirror.
func (r *Registry) Apply(c statestore.Change) {
	r.doneSets.Apply(c)
	switch {
	case strings.HasPrefix(c.Key, keyJob):
		r.applyJob(c.Key[len(keyJob):], c)
	case strings.HasPrefix(c.Key, keyCancelled):
		if !c.Removed {
			r.markCancelled(c.Key[len(keyCancelled):])
		}
	case strings.HasPrefix(c.Key, keyLargePart):
		r.applyPart(c, limits.OldChunkTasks)
	case strings.HasPrefix(c.Key, keyPart):
		r.applyPart(c, limits.ChunkTasks)
	}
}

// applyJob follows a change of a job's record.
func (r *Registry) applyJob(id string, c statestore.Change) {
	if c.Removed {
		r.jobRemoved(id)
		return
	}
	spec := &wire.Job{}
	if err := wire.Decode(c.Entry.Value, spec); err != nil || spec.Tasks < 1 || spec.Tasks > limits.MaxTasks {
		r.log(slog.LevelError, "unreadable job record", "job", id)
		return
	}
	if r.Open[id] != nil || r.finalized[id] != nil {
		return
	}
	j := newJob(spec, c.Entry.Version)
	r.Open[id] = j
	if v, ok := r.doneSets.Stored(id); ok {
		r.applyDone(id, "", v, false)
	}
	// Keys sort so that c/ comes before o/: a mark read earlier counts now. Or users or a
	// peer told of the cancellation before the record came.
	_, marked := r.store.Mirror.Get(keyCancelled + id)
	if marked || r.finals[id].Status == wire.StatusCancelled {
		// This node may have known for long.
		r.setCancelled(j, ToldLongAgo)
	}
}

// newJob makes the job of a record.
func newJob(spec *wire.Job, version uint64) *Job {
	j := &Job{
		Job:      spec,
		version:  version,
		Done:     newBits(spec.Tasks),
		durable:  newBits(spec.Tasks),
		parts:    map[string]uint64{},
		dirty:    map[int]bool{},
		Assigned: map[int]Assignment{},
		FailedOn: map[string]bool{},
		TypeSet:  make(map[string]bool, len(spec.Types)),
		Shape:    strings.Join(spec.Types, " ") + "|" + spec.Zone + "|" + strconv.FormatBool(spec.Spot),
	}
	if len(spec.Types) > 0 {
		j.GuardClass = spec.Types[0]
	}
	for _, t := range spec.Types {
		j.TypeSet[t] = true
	}
	return j
}

// jobRemoved follows the removal of a job's record.
func (r *Registry) jobRemoved(id string) {
	if j := r.Open[id]; j != nil {
		// Parts that went in the same transaction follow at once.
		for key := range j.parts {
			r.markOrphan(key)
		}
	}
	r.forget(id)
	if j := r.finalized[id]; j != nil {
		delete(r.finalized, id)
		if j.launched {
			r.orphanRecords[id] = true
		}
	}
}

// applyPart follows a part, of so many tasks, of a large job's done set.
func (r *Registry) applyPart(c statestore.Change, tasks int) {
	id, part, ok := strings.Cut(c.Key[len(keyPart):], "/") // both prefixes have one length
	k, err := strconv.Atoi(part)
	j := r.Open[id]
	if c.Removed {
		delete(r.orphanParts, c.Key)
	} else if j == nil {
		r.orphanParts[c.Key] = true
	}
	if !ok || err != nil || j == nil || k < 0 || k*tasks >= j.Tasks {
		return
	}
	if c.Removed {
		delete(j.parts, c.Key)
		return
	}
	var p donePart
	if wire.Decode(c.Entry.Value, &p) != nil {
		return
	}
	j.parts[c.Key] = c.Entry.Version
	j.durable.merge(k, tasks, p.Done, j.Tasks)
	j.DoneCount += len(j.Done.merge(k, tasks, p.Done, j.Tasks))
}

// Tick writes progress and completions of the jobs that this node owns, and
// sends the waiting users' requests. may tells whether the owner may write;
// gone whether no machine can hold tasks that have no known place.
func (r *Registry) Tick(now time.Duration, unix float64, may bool, gone func(*Job) bool) {
	r.unixTime = unix
	r.now = max(r.now, now)
	r.expireLookups()
	r.sendSubmissions()
	r.sendLookups()
	if !may || r.now < r.nextScan {
		return
	}
	r.nextScan = r.now + limits.ScanInterval
	flush := r.now >= r.nextFlush
	if flush {
		r.removeOrphans()
		r.nextFlush = r.now + limits.BatchInterval
	}
	r.removeFinalizedRecords()
	for _, id := range r.sortedIDs() {
		j := r.Open[id]
		if j.Active && !j.closing && r.now >= r.flushAt[id] {
			r.writeJob(j, flush, gone)
		}
	}
	r.doneSets.Write()
}

// writeJob ends a job that is over, or, if it is time to flush, writes its progress.
func (r *Registry) writeJob(j *Job, flush bool, gone func(*Job) bool) {
	switch {
	case j.Cancelled:
		if len(j.Assigned) == 0 && gone(j) && !j.writing {
			r.finalize(j, "")
		}
	case j.DoneCount == j.Tasks:
		if !j.writing {
			r.finalize(j, wire.StatusDone)
		}
	case !flush || len(j.dirty) == 0:
	case j.isPacked():
		clear(j.dirty)
		r.doneSets.Set(j.GuardClass, j.ID, j.Done.chunk(0, limits.ChunkTasks), limits.ScanInterval)
	case !j.writing:
		r.writePart(j, slices.Min(slices.Collect(maps.Keys(j.dirty))), statestore.Progress)
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

// SetDisplayCounts records the counts that an owner tells, for display only.
func (r *Registry) SetDisplayCounts(id string, done, running int) {
	if j := r.Open[id]; j != nil {
		j.displayDone, j.displayRunning = done, running
	}
}

func (r *Registry) currentStatus(id string) wire.JobStatus {
	if f, ok := r.finals[id]; ok {
		return wire.JobStatus{ID: id, Status: f.Status, Done: f.Done}
	}
	s := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if j := r.Open[id]; j != nil {
		if j.Active {
			s.Done, s.Running = j.DoneCount, j.Running()
		} else {
			s.Done, s.Running = max(j.DoneCount, j.displayDone), j.displayRunning
		}
		if s.Running > 0 {
			s.Status = wire.StatusRunning
		}
	}
	return s
}
