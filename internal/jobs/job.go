package jobs

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

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
	// ToldAfter is the earliest time at which a user can have been told that the job is cancelled:
	// up to then this node knew of every cancellation that users were told, and not of this one.
	ToldAfter       time.Duration
	Done            Bits
	DoneCount       int
	durable         Bits
	parts           map[string]uint64 // versions of the written parts of the done set, by key
	dirty           map[int]bool
	launched        bool // its record is written
	recordRequested bool // its record was requested
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

// Launched tells whether any owner may have launched tasks of the job.
func (j *Job) Launched() bool { return j.launched || len(j.parts) > 0 }

// isPacked tells whether the job's done set goes with those of others.
func (j *Job) isPacked() bool { return j.Tasks <= limits.PackedTasks }
