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
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

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

// finalState is the value of fin/ID.
type finalState struct {
	Status string `msgpack:"s"`
	Done   int    `msgpack:"d"`
}

type donePart struct {
	Done string `msgpack:"b"`
}

// TaskState is where a located task stands.
type TaskState int

// Task states, in the order in which an attempt goes through them.
const (
	Planned  TaskState = iota // chosen, not yet told to the worker
	Sent                      // told in an answer that may be lost
	Fetching                  // reported
	Running
	Saving
)

// Delivery is how a worker was told of an attempt that no report has shown yet.
type Delivery int

// Ways of telling.
const (
	InReply         Delivery = iota // in the answer to a report: the next report decides
	DirectPending                   // in an order that is under way
	DirectConfirmed                 // in an order that was answered: any newer list decides
	DirectUnknown                   // in an order that was not answered, and may be carried out late
)

// Assignment is where a task is.
type Assignment struct {
	Machine      string
	Attempt      uint64
	State        TaskState
	RunningSince time.Duration // when it was first seen running; 0: not yet
	Delivery     Delivery
	Session      uint64 // of the worker, if Ordered or Lost
}

// Job is an unfinished job, or a cancelled one with tasks that may be left.
type Job struct {
	*wire.Job
	version   uint64
	Cancelled bool
	// CancelledAt is when this node learned of the cancellation.
	CancelledAt     time.Duration
	Done            Bits
	DoneCount       int
	durable         Bits
	parts           map[string]uint64 // versions of the written parts of the done set, by key
	dirty           map[int]bool
	launched        bool // its record is written
	recordRequested bool // its record was wished for
	writing         bool
	closing         bool
	Assigned        map[int]Assignment
	nextScan        int
	GuardClass      string // a class of the job, for the owner's guard
	TypeSet         map[string]bool
	Shape           string // equal for jobs whose tasks may use the same machines

	Active   bool // this node owns the job's classes
	Prepared bool // part 0 is written: tasks may be launched
	Frozen   bool // launched by an earlier owner, whereabouts not yet known
	Started  bool // a task of it was seen running, or done

	GangRun GangRun // of a gang: the attempt under way

	// Failures, for telling a faulty job from a faulty machine.
	FailedOn  map[string]bool
	Suspect   bool // an earlier owner took the job for faulty
	Succeeded bool
	Backoff   time.Duration
	NotBefore time.Duration

	displayDone, displayRunning int // counts told by the owner, for display
}

// GangRun is one attempt of a gang, as its owner follows it. All its tasks have one
// attempt number.
type GangRun struct {
	Attempt      uint64          // 0: none is under way
	Started      bool            // a task of it was seen running: none can be replaced any more
	Ending       bool            // it has failed: all that is left of it must go before the next
	StoppedAt    time.Duration   // since when all were told to save and stop; 0: not
	LeftMachines map[string]bool // machines that a task of it has left
}

// Running counts the tasks that run.
func (j *Job) Running() int {
	n := 0
	for _, p := range j.Assigned {
		if p.State >= Running {
			n++
		}
	}
	return n
}

// Faulty tells whether the job's own tasks seem to be at fault.
func (j *Job) Faulty() bool {
	failed := len(j.FailedOn) >= limits.BadJobMachines || j.Suspect && j.DoneCount == 0
	return failed && !j.Succeeded
}

// Waiting counts the tasks that neither are done nor have a place.
func (j *Job) Waiting() int { return j.Tasks - j.DoneCount - len(j.Assigned) }

// AssignedTasks lists the tasks that have a place, in order.
func (j *Job) AssignedTasks() []int { return slices.Sorted(maps.Keys(j.Assigned)) }

// NextTask returns the lowest waiting task, or -1.
func (j *Job) NextTask() int {
	for ; j.nextScan < j.Tasks; j.nextScan++ {
		if j.Done.Has(j.nextScan) {
			continue
		}
		if _, ok := j.Assigned[j.nextScan]; !ok {
			return j.nextScan
		}
	}
	return -1
}

// Assign puts a task on a machine.
func (j *Job) Assign(task int, p Assignment) { j.Assigned[task] = p }

// Unassign takes a task's place away: it waits again unless it is done.
func (j *Job) Unassign(task int) {
	delete(j.Assigned, task)
	if task < j.nextScan {
		j.nextScan = task
	}
}

// MarkDone records a completed task.
func (j *Job) MarkDone(task int) {
	if task < 0 || task >= j.Tasks || j.Done.Has(task) {
		return
	}
	j.Done.Set(task)
	j.DoneCount++
	j.Started = true
	j.dirty[task/limits.ChunkTasks] = true
}

// IsDurable tells whether a task's completion is in the state service.
func (j *Job) IsDurable(task int) bool { return j.durable.Has(task) }

// TaskID joins a job's id and a task number; SplitTask takes them apart.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's id apart; task is -1 if it is malformed.
func SplitTask(id string) (job string, task int) {
	job, num, ok := strings.Cut(id, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || n >= limits.MaxTasks {
		return id, -1
	}
	return job, n
}

// Registry is the slice's state.
type Registry struct {
	store    *statestore.Store
	log      func(level, msg string, args ...any)
	now      time.Duration
	unixTime float64 // time of day, for the log
	Open     map[string]*Job

	finals     map[string]finalState
	finalOrder []string
	// confirmedCancels are cancelled jobs that this node tells users of, and since when; news are
	// those that owners were not told of yet.
	confirmedCancels map[string]time.Duration
	newCancels       []string

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

// New makes an empty book.
func New(store *statestore.Store, guard func(class string) wire.Guard, format func() int, log func(string, string, ...any)) *Registry {
	b := &Registry{store: store, guard: guard, format: format, log: log, Open: map[string]*Job{}, finals: map[string]finalState{}, confirmedCancels: map[string]time.Duration{}, submissionsByID: map[string]*submission{},
		flushAt: map[string]time.Duration{}, orphanParts: map[string]bool{}, orphanRecords: map[string]bool{}, finalized: map[string]*Job{}}
	b.doneSets = statestore.NewRecordTable(store, keyDoneSets, guard, b.applyDone)
	return b
}

// applyDone follows the record of a job with few tasks.
func (b *Registry) applyDone(id, _ string, value msgpack.RawMessage, gone bool) {
	delete(b.orphanRecords, id)
	j := b.Open[id]
	var text string
	if gone || wire.Decode(value, &text) != nil || b.finalized[id] != nil {
		return
	}
	if j == nil {
		b.orphanRecords[id] = true
		return
	}
	j.launched = true
	j.durable.merge(0, limits.ChunkTasks, text, j.Tasks)
	j.DoneCount += len(j.Done.merge(0, limits.ChunkTasks, text, j.Tasks))
}

// IsDoneSet tells whether a key holds done sets.
func (b *Registry) IsDoneSet(key string) bool {
	return strings.HasPrefix(key, keyDoneSets) || strings.HasPrefix(key, keyLargePart) || strings.HasPrefix(key, keyPart)
}

// DropPending drops what was to be written as owner of a class.
func (b *Registry) DropPending(class string) {
	b.doneSets.Forget(class)
	for _, j := range b.Open {
		if j.GuardClass == class {
			j.recordRequested = false
		}
	}
}

// Apply follows a change of the mirror.
func (b *Registry) Apply(c statestore.Change) {
	b.doneSets.Apply(c)
	switch {
	case strings.HasPrefix(c.Key, keyJob):
		id := c.Key[len(keyJob):]
		if c.Removed {
			if j := b.Open[id]; j != nil {
				// Parts that went in the same transaction follow at once.
				for key := range j.parts {
					b.markOrphan(key)
				}
			}
			b.forget(id)
			if j := b.finalized[id]; j != nil {
				delete(b.finalized, id)
				if j.launched {
					b.orphanRecords[id] = true
				}
			}
			return
		}
		spec := &wire.Job{}
		if err := wire.Decode(c.Entry.Value, spec); err != nil || spec.Tasks < 1 || spec.Tasks > limits.MaxTasks {
			b.log("error", "unreadable job record", "job", id)
			return
		}
		if b.Open[id] != nil || b.finalized[id] != nil {
			return
		}
		j := &Job{Job: spec, version: c.Entry.Version, Done: newBits(spec.Tasks), durable: newBits(spec.Tasks),
			parts: map[string]uint64{}, dirty: map[int]bool{}, Assigned: map[int]Assignment{}, FailedOn: map[string]bool{}}
		if len(spec.Types) > 0 {
			j.GuardClass = spec.Types[0]
		}
		j.TypeSet = make(map[string]bool, len(spec.Types))
		for _, t := range spec.Types {
			j.TypeSet[t] = true
		}
		j.Shape = strings.Join(spec.Types, " ") + "|" + spec.Zone + "|" + strconv.FormatBool(spec.Spot)
		b.Open[id] = j
		if v, ok := b.doneSets.Stored(id); ok {
			b.applyDone(id, "", v, false)
		}
		// Keys sort so that c/ comes before o/: a mark read earlier counts now.
		if _, ok := b.store.Mirror.Get(keyCancelled + id); ok {
			j.Cancelled, j.CancelledAt = true, b.now
		}
		// Told by users' answers or by a peer before the record came.
		if b.finals[id].Status == wire.StatusCancelled {
			j.Cancelled, j.CancelledAt = true, b.now
		}
	case strings.HasPrefix(c.Key, keyCancelled):
		id := c.Key[len(keyCancelled):]
		if !c.Removed {
			b.markCancelled(id)
		}
	case strings.HasPrefix(c.Key, keyLargePart), strings.HasPrefix(c.Key, keyPart):
		tasks := limits.ChunkTasks
		if strings.HasPrefix(c.Key, keyLargePart) {
			tasks = limits.OldChunkTasks
		}
		id, part, ok := strings.Cut(c.Key[len(keyLargePart):], "/")
		k, err := strconv.Atoi(part)
		j := b.Open[id]
		if c.Removed {
			delete(b.orphanParts, c.Key)
		} else if j == nil {
			b.orphanParts[c.Key] = true
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
}

func (b *Registry) markOrphan(key string) {
	if _, ok := b.store.Mirror.Get(key); ok {
		b.orphanParts[key] = true
	}
}

// removeOrphans removes parts of done sets whose job is over: they did not fit into the
// transaction that ended it.
func (b *Registry) removeOrphans() {
	for id := range b.orphanRecords {
		b.doneSets.Remove(id, limits.PageDelay)
	}
	if len(b.orphanParts) == 0 || b.removingOrphans {
		return
	}
	var t wire.Txn
	for _, key := range slices.Sorted(maps.Keys(b.orphanParts)) {
		e, ok := b.store.Mirror.Get(key)
		if !ok {
			delete(b.orphanParts, key)
			continue
		}
		if len(t.Then) < b.store.MaxWrites() {
			t.Guards = append(t.Guards, wire.Guard{Key: key, Version: e.Version})
			t.Then = append(t.Then, wire.Op{Remove: key})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	b.removingOrphans = true
	b.store.Txn(statestore.Progress, limits.StoreTimeout*2, t, func(statestore.Reply) { b.removingOrphans = false })
}

// Launched tells whether any owner may have launched tasks of the job.
func (j *Job) Launched() bool { return j.launched || len(j.parts) > 0 }

// isPacked tells whether the job's done set goes with those of others.
func (j *Job) isPacked() bool { return j.Tasks <= limits.PackedTasks }

// Prepare writes the mark that a job's tasks may be running, before the first
// launch. It is done once Prepared is set.
func (b *Registry) Prepare(j *Job) {
	switch {
	case j.Launched():
		j.Prepared = true
	case j.isPacked():
		if !j.recordRequested {
			j.recordRequested = true
			// Guards against jobs that waited for one change each, one after the other,
			// when many small ones came.
			wait := min(b.store.WriteWait(statestore.Finish), limits.PrepareWait)
			b.doneSets.SetUrgent(j.GuardClass, j.ID, j.Done.chunk(0, limits.ChunkTasks), wait)
		}
	case !j.writing:
		b.writePart(j, 0, statestore.Roster)
	}
}

// writePart writes part k of a done set. As long as a node may run a version that reads
// only the larger parts, those are written.
func (b *Registry) writePart(j *Job, k int, prio statestore.Priority) {
	j.writing = true
	prefix, tasks, first := keyPart, limits.ChunkTasks, k
	if b.format() < 2 {
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
		Guards: []wire.Guard{b.guard(j.GuardClass), {Key: keyJob + j.ID, Version: j.version}, {Key: key, Version: j.parts[key]}},
		Then:   []wire.Op{{Key: key, Value: donePart{Done: text}}}}
	b.store.Txn(prio, limits.StoreTimeout*2, t, func(r statestore.Reply) {
		j.writing = false
		var tr wire.TxnReply
		if r.Status == statestore.OK && wire.Decode(r.Body, &tr) == nil {
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
		b.flushAt[j.ID] = b.now + limits.StoreBackoff
	})
}

// Tick writes progress and completions of the jobs that this node owns, and
// sends the waiting users' requests. may tells whether the owner may write;
// gone whether no machine can hold tasks that have no known place.
func (b *Registry) Tick(now time.Duration, unix float64, may bool, gone func(*Job) bool) {
	b.unixTime = unix
	if now > b.now {
		b.now = now
	}
	b.expireLookups()
	b.sendSubmissions()
	b.sendLookups()
	if !may || b.now < b.nextScan {
		return
	}
	b.nextScan = b.now + limits.ScanInterval
	flush := b.now >= b.nextFlush
	if flush {
		b.removeOrphans()
		b.nextFlush = b.now + limits.BatchInterval
	}
	b.removeFinalizedRecords()
	defer b.doneSets.Write()
	for _, id := range b.sortedIDs() {
		j := b.Open[id]
		if !j.Active || j.closing || b.now < b.flushAt[id] {
			continue
		}
		switch {
		case j.Cancelled:
			if len(j.Assigned) == 0 && gone(j) && !j.writing {
				b.finalize(j, "")
			}
		case j.DoneCount == j.Tasks:
			if !j.writing {
				b.finalize(j, wire.StatusDone)
			}
		case flush && j.isPacked() && len(j.dirty) > 0:
			clear(j.dirty)
			b.doneSets.Set(j.GuardClass, j.ID, j.Done.chunk(0, limits.ChunkTasks), limits.ScanInterval)
		case flush && !j.writing && len(j.dirty) > 0:
			for k := 0; k*limits.ChunkTasks < j.Tasks; k++ {
				if j.dirty[k] {
					b.writePart(j, k, statestore.Progress)
					break
				}
			}
		}
	}
}

func (b *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(b.Open))
	for id := range b.Open {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// finalize removes a job, writing its final state first unless status is empty.
// Done against cancelled is decided here: both need fin/ID to be absent.
func (b *Registry) finalize(j *Job, status string) {
	j.closing = true
	id := j.ID
	t := wire.Txn{Guards: []wire.Guard{b.guard(j.GuardClass), {Key: keyJob + id, Version: j.version}}}
	prio := statestore.Progress
	if status != "" {
		prio = statestore.Finish
		t.Guards = append(t.Guards, wire.Guard{Key: keyFinal + id})
		t.Then = append(t.Then, wire.Op{Key: keyFinal + id, Value: finalState{Status: status, Done: j.DoneCount}})
	}
	// The record of a small job goes later, with others': a completion costs one
	// change while changes are scarce. Until then its done set stays, too.
	later := status != "" && j.isPacked() && !j.Cancelled
	if !later {
		t.Then = append(t.Then, wire.Op{Remove: keyJob + id})
	}
	if j.Cancelled {
		t.Then = append(t.Then, wire.Op{Remove: keyCancelled + id})
	}
	// Parts that don't fit into the transaction are swept later: without the
	// job they mean nothing.
	for _, key := range slices.Sorted(maps.Keys(j.parts)) {
		if !later && len(t.Then) < b.store.TxnOps {
			t.Then = append(t.Then, wire.Op{Remove: key})
		}
	}
	b.store.Txn(prio, limits.StoreTimeout*2, t, func(r statestore.Reply) {
		j.closing = false
		b.flushAt[id] = b.now + limits.StoreBackoff
		if r.Status == statestore.OK {
			j.closing = true
			if status != "" {
				b.cacheFinal(id, finalState{Status: status, Done: j.DoneCount})
				b.log("info", "job over", "job", id, "class", j.Class, "status", status, "tasks", j.Tasks,
					"tookS", math.Round(10*(b.unixTime-j.SubmitUnix))/10, "dueS", j.DeadlineS, "estimateS", j.EstimateS)
			}
			if later {
				b.awaitRemoval(j)
			} else {
				b.forget(id)
			}
			return
		}
		// An earlier owner may have written the end, and not have come to clean up.
		var tr wire.TxnReply
		if r.Status == statestore.Conflict && status != "" && wire.Decode(r.Body, &tr) == nil && slices.Contains(tr.Failed, keyFinal+id) {
			b.store.Get(statestore.Finish, limits.PollWait, keyFinal+id, func(r statestore.Reply) {
				var row wire.Row
				var f finalState
				if r.Status == statestore.OK && wire.Decode(r.Body, &row) == nil && wire.Decode(row.Value, &f) == nil && f.Status == wire.StatusDone && b.Open[id] == j && len(j.Assigned) == 0 {
					b.cacheFinal(id, f)
					b.awaitRemoval(j)
				}
			})
		}
	})
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

func (b *Registry) markCancelled(id string) bool {
	j := b.Open[id]
	if j == nil || j.Cancelled {
		return false
	}
	j.Cancelled, j.CancelledAt = true, b.now
	b.log("info", "job cancelled", "job", id)
	return true
}

// MergeCancellations takes in cancellations of which a peer knows that they are recorded. It tells
// whether any of them is new to this node.
func (b *Registry) MergeCancellations(now time.Duration, ids []string) (news bool) {
	b.now = max(b.now, now)
	for _, id := range ids {
		j := b.Open[id]
		news = news || j != nil && !j.Cancelled
		if _, ok := b.finals[id]; !ok {
			f := finalState{Status: wire.StatusCancelled}
			if j != nil {
				f.Done = max(j.DoneCount, j.displayDone)
			}
			b.cacheFinal(id, f)
		}
		b.markCancelled(id)
	}
	return news
}

// Cancellations lists the cancelled jobs that this node knows of and that may still
// have tasks, with those that it told a user of lately.
func (b *Registry) Cancellations() []string {
	var ids []string
	for id, j := range b.Open {
		if _, told := b.confirmedCancels[id]; j.Cancelled && !told {
			ids = append(ids, id)
		}
	}
	for id, at := range b.confirmedCancels {
		if b.now-at > limits.CancelNoticeFor {
			delete(b.confirmedCancels, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// TakeNewCancellations lists the cancellations that became known here, by an answer to a user or by a
// peer, since the last call.
func (b *Registry) TakeNewCancellations() []string {
	ids := b.newCancels
	b.newCancels = nil
	return ids
}

// SetDisplayCounts records the counts that an owner tells, for display only.
func (b *Registry) SetDisplayCounts(id string, done, running int) {
	if j := b.Open[id]; j != nil {
		j.displayDone, j.displayRunning = done, running
	}
}

// Suspect records that an owner takes jobs for faulty.
func (b *Registry) Suspect(ids []string) {
	for _, id := range ids {
		if j := b.Open[id]; j != nil {
			j.Suspect = true
		}
	}
}

// Suspects lists the jobs that an owner took for faulty, but for those that are known.
func (b *Registry) Suspects(known []string) []string {
	var ids []string
	for id, j := range b.Open {
		if j.Suspect && j.Faulty() && !slices.Contains(known, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (b *Registry) currentStatus(id string) wire.JobStatus {
	if f, ok := b.finals[id]; ok {
		return wire.JobStatus{ID: id, Status: f.Status, Done: f.Done}
	}
	s := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if j := b.Open[id]; j != nil {
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
