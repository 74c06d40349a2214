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

// TaskState is the state of an assigned task.
type TaskState int

// Task states, in the order in which an attempt goes through them.
const (
	Planned  TaskState = iota // machine chosen, no command sent yet
	Sent                      // command sent, but it may be lost
	Fetching                  // the worker reported the attempt; it fetches the image
	Running
	Saving
)

// Delivery is how the command to start an attempt was sent to the worker, for an attempt that the
// worker has not reported yet.
type Delivery int

// Ways in which a command is delivered.
const (
	InReply         Delivery = iota // in a heartbeat reply; the next heartbeat shows whether it arrived
	DirectPending                   // in a direct order that is in flight
	DirectConfirmed                 // in a direct order that was answered; any newer task list shows the result
	DirectUnknown                   // in a direct order that was not answered, and may still be executed later
)

// Assignment records the machine and the state of one attempt of a task.
type Assignment struct {
	Machine           string
	Attempt           uint64
	State             TaskState
	RunningSince      time.Duration // when it was first seen running; 0: not yet
	Delivery          Delivery
	WorkerIncarnation uint64 // the worker's incarnation that the direct order was addressed to, if Delivery is one of the Direct values
}

// Job is an unfinished job, or a cancelled job of which tasks may be left.
type Job struct {
	*wire.Job
	version   uint64
	Cancelled bool
	// CancelConfirmedAfter is the earliest time at which the cancellation of the job can have been
	// confirmed to a user. Up to that time this node knew of every cancellation confirmed to
	// users, and the cancellation of this job was not among them.
	CancelConfirmedAfter time.Duration
	// LaunchesHeld is set while a peer may be recording the cancellation of the job: no task is launched.
	LaunchesHeld       bool
	Done               TaskSet
	DoneCount          int
	durableDone        TaskSet
	chunkVersions      map[string]uint64 // versions of the written chunks of the done set, by key
	dirtyChunks        map[int]bool      // chunks with completions that are not written yet
	doneSetWritten     bool              // the job's done set under u/s/ is written
	doneSetRequested   bool              // the write of the job's done set under u/s/ was requested
	chunkWriteInFlight bool
	finalizing         bool
	Assigned           map[int]Assignment
	nextTaskHint       int    // no task with a lower number is waiting
	GuardClass         string // a class of the job, for the owner's guard
	TypeSet            map[string]bool
	PlacementKey       string // equal for jobs whose tasks may run on the same machines

	Active   bool // this node owns the job's classes
	Prepared bool // the job's done set, or chunk 0 of the set, is written: tasks may be launched
	Frozen   bool // launched by an earlier owner, and the machines of its tasks are not all known yet
	Started  bool // a task of the job was reported as running or done

	GangRun GangRun // for a gang: the current attempt

	// Failures, to distinguish a faulty job from a faulty machine.
	FailedOn     map[string]bool
	MarkedFaulty bool          // an earlier owner considered the job faulty
	Succeeded    bool          // a task of the job was completed under this owner
	Backoff      time.Duration // pause after the job failed on several machines; doubles each time
	NotBefore    time.Duration // no task is launched before this time

	displayDone, displayRunning int // counts reported by the owner, for display
}

// GangRun is the owner's record of one attempt of a gang. All tasks of the gang have the same
// attempt number.
type GangRun struct {
	Attempt      uint64          // 0: no attempt is in progress
	Started      bool            // a task of the attempt was reported as running: no task can be replaced any more
	Ending       bool            // the attempt has failed: all its tasks must be gone before the next attempt
	StoppedAt    time.Duration   // when all tasks were ordered to save and stop; 0: not ordered
	LeftMachines map[string]bool // machines that a task of this attempt has left
}

// RunningCount returns the number of tasks that run or save their state.
func (j *Job) RunningCount() int {
	count := 0
	for _, assignment := range j.Assigned {
		if assignment.State >= Running {
			count++
		}
	}
	return count
}

// Faulty reports whether the failures of the job's tasks are attributed to the job itself, and not
// to the machines.
func (j *Job) Faulty() bool {
	failed := len(j.FailedOn) >= limits.FaultyJobMachines || j.MarkedFaulty && j.DoneCount == 0
	return failed && !j.Succeeded
}

// WaitingCount returns the number of tasks that are neither done nor assigned.
func (j *Job) WaitingCount() int { return j.Tasks - j.DoneCount - len(j.Assigned) }

// AssignedTasks returns the assigned tasks in ascending order.
func (j *Job) AssignedTasks() []int { return slices.Sorted(maps.Keys(j.Assigned)) }

// NextTask returns the lowest waiting task, or -1.
func (j *Job) NextTask() int {
	for ; j.nextTaskHint < j.Tasks; j.nextTaskHint++ {
		if j.Done.Has(j.nextTaskHint) {
			continue
		}
		if _, ok := j.Assigned[j.nextTaskHint]; !ok {
			return j.nextTaskHint
		}
	}
	return -1
}

// Assign records the assignment of a task.
func (j *Job) Assign(task int, assignment Assignment) { j.Assigned[task] = assignment }

// Unassign removes the assignment of a task. The task waits again unless it is done.
func (j *Job) Unassign(task int) {
	delete(j.Assigned, task)
	if task < j.nextTaskHint {
		j.nextTaskHint = task
	}
}

// MarkDone records a completed task.
func (j *Job) MarkDone(task int) {
	if task < 0 || task >= j.Tasks || j.Done.Has(task) {
		return
	}
	j.Done.Add(task)
	j.DoneCount++
	j.Started = true
	j.dirtyChunks[task/limits.ChunkTasks] = true
}

// IsDurable reports whether a task's completion is stored in the state service.
func (j *Job) IsDurable(task int) bool { return j.durableDone.Has(task) }

// TaskID returns the ID of a task of a job. SplitTaskID is its inverse.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTaskID splits a task ID into the job's ID and the task number, which is -1 if the task ID is
// malformed.
func SplitTaskID(id string) (job string, task int) {
	job, text, ok := strings.Cut(id, "/")
	number, err := strconv.Atoi(text)
	if !ok || err != nil || number < 0 || number >= limits.MaxTasks {
		return id, -1
	}
	return job, number
}

// MustNotLaunch reports whether no task of the job may be launched: the job is cancelled, or may be any
// moment.
func (j *Job) MustNotLaunch() bool { return j.Cancelled || j.LaunchesHeld }

// MayHaveLaunched reports whether any owner may have launched tasks of the job.
func (j *Job) MayHaveLaunched() bool { return j.doneSetWritten || len(j.chunkVersions) > 0 }

// isPacked reports whether the job's done set is small enough to share a key with other jobs.
func (j *Job) isPacked() bool { return j.Tasks <= limits.MaxPackedTasks }
