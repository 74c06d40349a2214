package jobs

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/wire"
)

// No controller may launch a task of a job after any controller has told a user that the job is cancelled.
// A cancellation that is recorded in the state service does not ensure this: an owner whose requests the
// service refuses goes on launching tasks while its lease holds. So a node tells no user of a cancellation
// until it is certain that every controller which may launch tasks of the job knows the cancellation.

// Ownership is the view of the ownership of machine classes that the registry needs.
type Ownership interface {
	// OwnerGuard returns the condition under which this node may write as owner of a class.
	OwnerGuard(class string) wire.Guard
	// RecordFormat returns the newest record format that every node can read.
	RecordFormat() int
	// Launcher returns the launcher of a class that this node knows, and LauncherGuard the condition that
	// it is the launcher still.
	Launcher(class string) ownership.Launcher
	LauncherGuard(class string) wire.Guard
	// EarlierOwnersStopped reports whether no owner of a class before the present one acts any more. The
	// node except is left out.
	EarlierOwnersStopped(class, except string) bool
	// HasRead reports whether a launcher has published that it has read everything up to a revision.
	HasRead(launcher ownership.Launcher, revision uint64) bool
	// IsSelf reports whether a launcher is this node, in this or an earlier incarnation.
	IsSelf(launcher ownership.Launcher) bool
}

// pendingCancellation is a cancellation that is being recorded, or that is recorded but may not be confirmed
// to users yet.
type pendingCancellation struct {
	jobID string
	class string // the job's GuardClass as read when this node began to record the cancellation; see classOf
	final finalState

	// holdRequestedFrom is the launcher that was last asked to hold the job's launches. holdAcknowledgedBy
	// is the launcher that has agreed, and holdValidUntil the time until which a cancellation must be
	// recorded for the hold to cover it.
	holdRequestedFrom  ownership.Launcher
	holdAcknowledgedBy ownership.Launcher
	holdValidUntil     time.Duration

	writesInFlight int
	// revision is the revision at which the cancellation was recorded, or 0 if that is not known yet.
	// recordedBefore is when this node learned of the record.
	revision       uint64
	recordedBefore time.Duration
	// launcher is the launcher at revision or later, as a transaction has verified. nil: none has.
	launcher *ownership.Launcher
	// acknowledgedBy lists the nodes that acknowledged the notice of the recorded cancellation.
	acknowledgedBy map[string]bool

	waiters []*waiter
}

// pendingCancellation returns the pending cancellation of a job, and adds one if there is none.
func (r *Registry) pendingCancellation(jobID string) *pendingCancellation {
	pending := r.pendingCancellations[jobID]
	if pending == nil {
		pending = &pendingCancellation{jobID: jobID, acknowledgedBy: map[string]bool{}}
		r.pendingCancellations[jobID] = pending
	}
	return pending
}

// requestHold asks a launcher to hold the launches of a job, unless it was asked already or is this node.
func (r *Registry) requestHold(pending *pendingCancellation, launcher ownership.Launcher) {
	if launcher.Node == "" || r.ownership.IsSelf(launcher) || pending.holdRequestedFrom == launcher {
		return
	}
	pending.holdRequestedFrom = launcher
	r.holdRequests = append(r.holdRequests, LaunchNotice{Node: launcher.Node, JobID: pending.jobID})
}

// LaunchNotice is a message to the node that may launch tasks of a job.
type LaunchNotice struct{ Node, JobID string }

// TakeHoldRequests returns the holds of launches to request since the last call.
func (r *Registry) TakeHoldRequests() []LaunchNotice {
	requests := r.holdRequests
	r.holdRequests = nil
	return requests
}

// RecordHold records that a node agreed to a hold that was requested at sentAt.
func (r *Registry) RecordHold(node string, incarnation uint64, sentAt time.Duration, ids []string) {
	for _, id := range ids {
		if pending := r.pendingCancellations[id]; pending != nil {
			pending.holdAcknowledgedBy = ownership.Launcher{Node: node, Incarnation: incarnation}
			pending.holdValidUntil = sentAt + time.Duration(float64(limits.LaunchHold)*(1-limits.ClockDrift))
		}
	}
}

// RecordCancellationAcknowledged records that a node acknowledged the notice of recorded cancellations. The
// node's process, and every later incarnation of the node, launches no task of these jobs.
func (r *Registry) RecordCancellationAcknowledged(node string, ids []string) {
	for _, id := range ids {
		if pending := r.pendingCancellations[id]; pending != nil && pending.revision > 0 {
			pending.acknowledgedBy[node] = true
		}
	}
}

// UnacknowledgedCancellations returns the recorded cancellations whose confirmation waits for a node that
// has not acknowledged them.
func (r *Registry) UnacknowledgedCancellations() (notices []LaunchNotice) {
	for id, pending := range r.pendingCancellations {
		launcher := r.currentLauncher(pending)
		if pending.revision > 0 && launcher.Node != "" && !r.ownership.IsSelf(launcher) && !pending.acknowledgedBy[launcher.Node] {
			notices = append(notices, LaunchNotice{Node: launcher.Node, JobID: id})
		}
	}
	return notices
}

// launcherCheck is the launcher that this node knows, and the condition of a transaction that it is the
// launcher still. The transaction's reply saves the wait until the mirror shows the launcher.
type launcherCheck struct {
	launcher ownership.Launcher
	guard    wire.Guard
}

func (r *Registry) newLauncherCheck(class string) *launcherCheck {
	return &launcherCheck{launcher: r.ownership.Launcher(class), guard: r.ownership.LauncherGuard(class)}
}

// result returns the launcher when the transaction was executed, or nil if that is not known. A nil check
// has no result.
func (c *launcherCheck) result(reply wire.TxnReply) *ownership.Launcher {
	if c == nil || slices.Contains(reply.Failed, c.guard.Key) {
		return nil
	}
	return &c.launcher
}

// recordCancellation records in memory that a job's cancellation is recorded at a revision. launcher is the
// launcher at that revision or later, or nil if it is not known.
func (r *Registry) recordCancellation(jobID string, final finalState, revision uint64, launcher *ownership.Launcher) *pendingCancellation {
	r.cacheFinal(jobID, final)
	pending := r.pendingCancellation(jobID)
	if pending.revision == 0 {
		pending.final, pending.revision, pending.recordedBefore = final, revision, r.now
	}
	if pending.launcher == nil {
		pending.launcher = launcher
	}
	return pending
}

// classOf returns the class whose launcher must know a cancellation, or "" as long as this node has not read
// the job's record.
func (r *Registry) classOf(pending *pendingCancellation) string {
	if job := r.OpenJobs[pending.jobID]; job != nil {
		return job.GuardClass
	}
	return pending.class
}

// recordedCancellation returns the pending cancellation of a job, if it is known when the cancellation was
// recorded: from an earlier read, or from the mirror. Otherwise it returns nil.
func (r *Registry) recordedCancellation(jobID string) *pendingCancellation {
	if pending := r.pendingCancellations[jobID]; pending != nil && pending.revision > 0 {
		return pending
	}
	final, known := r.finalStates[jobID]
	entry, mirrored := r.store.Mirror.Get(keyCancelled + jobID)
	if !known || !mirrored {
		return nil
	}
	return r.recordCancellation(jobID, final.finalState, entry.Version, nil)
}

// answerFinal answers with the final state of a job that was recorded at a revision. The answer to a
// cancellation waits until no controller can launch tasks of the job. launcher is the launcher at that
// revision or later, or nil if it is not known.
func (r *Registry) answerFinal(request *waiter, final finalState, revision uint64, launcher *ownership.Launcher) {
	if final.Status != wire.StatusCancelled || r.finalStates[request.jobID].confirmed {
		r.cacheFinal(request.jobID, final)
		request.answer(finalAnswer(request.jobID, final))
		return
	}
	r.awaitConfirmation(r.recordCancellation(request.jobID, final, revision, launcher), request)
}

// awaitConfirmation answers a request once a recorded cancellation may be confirmed, at once if possible.
func (r *Registry) awaitConfirmation(pending *pendingCancellation, request *waiter) {
	request.deadline = max(request.deadline, request.confirmationDeadline)
	pending.waiters = append(pending.waiters, request)
	r.confirmIfPossible(pending)
}

// confirmIfPossible answers the users who wait for a cancellation, and reports true, if it may be confirmed.
func (r *Registry) confirmIfPossible(pending *pendingCancellation) bool {
	reason := r.confirmationReason(pending)
	if reason == notConfirmable {
		return false
	}
	delete(r.pendingCancellations, pending.jobID)
	r.cacheFinal(pending.jobID, pending.final)
	r.finalStates[pending.jobID] = cachedFinal{pending.final, true}
	r.log(slog.LevelInfo, "cancellation confirmed to its user", "job", pending.jobID, "because", string(reason), "waited", r.now-pending.recordedBefore, "users", len(pending.waiters))
	for _, request := range pending.waiters {
		request.answer(finalAnswer(pending.jobID, pending.final))
	}
	return true
}

// confirmationReason is why a cancellation may be confirmed, for the log.
type confirmationReason string

const (
	notConfirmable   confirmationReason = ""
	noTaskLeft       confirmationReason = "job's record removed"
	noLauncher       confirmationReason = "no owner"
	launcherIsNewer  confirmationReason = "owner's term is newer"
	launcherIsSelf   confirmationReason = "this node is the owner"
	launcherHolds    confirmationReason = "owner holds launches"
	launcherNotified confirmationReason = "owner acknowledged"
	launcherHasRead  confirmationReason = "owner has read it"
)

// confirmationReason returns why no controller can launch a task of a cancelled job any more, or
// notConfirmable if one may.
//
// Only a node that owns all classes of a job launches its tasks, so only the launcher of one of them
// matters. An owner whose term is newer than the cancellation had read it before it began to act. If the
// launcher's term is older, the launcher must know the cancellation.
func (r *Registry) confirmationReason(pending *pendingCancellation) confirmationReason {
	class := r.classOf(pending)
	mirrored := r.store.Mirror.Revision >= pending.revision
	_, hasRecord := r.store.Mirror.Get(keyJob + pending.jobID)
	switch {
	case pending.revision == 0 || !mirrored && pending.launcher == nil:
		return notConfirmable
	case mirrored && !hasRecord:
		return noTaskLeft // the owner that removed the record knew of the cancellation
	case class == "":
		return notConfirmable // this node has not read the record yet
	}
	launcher := r.currentLauncher(pending)
	mustKnow := launcher.Node // the node that must know the cancellation; empty: none
	if launcher.Term > pending.revision {
		mustKnow = ""
	}
	holder := pending.holdAcknowledgedBy
	switch {
	case !r.ownership.EarlierOwnersStopped(class, mustKnow):
		return notConfirmable
	case launcher.Node == "":
		return noLauncher
	case mustKnow == "":
		return launcherIsNewer
	case r.ownership.IsSelf(launcher):
		return launcherIsSelf
	case holder.Node == launcher.Node && holder.Incarnation == launcher.Incarnation && pending.recordedBefore <= pending.holdValidUntil:
		return launcherHolds
	case pending.acknowledgedBy[launcher.Node]:
		return launcherNotified
	case r.ownership.HasRead(launcher, pending.revision):
		return launcherHasRead
	}
	return notConfirmable
}

// currentLauncher returns the launcher of a job's classes at the revision of its cancellation or later.
// Until the mirror reaches that revision, it is the launcher that a transaction verified, if one did.
func (r *Registry) currentLauncher(pending *pendingCancellation) ownership.Launcher {
	if pending.launcher != nil && r.store.Mirror.Revision < pending.revision {
		return *pending.launcher
	}
	return r.ownership.Launcher(r.classOf(pending))
}

// updateConfirmations confirms the cancellations that have become confirmable, and answers the requests
// that have waited too long, or that can't be answered while the state service is unreachable.
func (r *Registry) updateConfirmations() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingCancellations)) {
		pending := r.pendingCancellations[id]
		r.confirmIfPossible(pending)
		hopeless := r.store.Unreachable() && r.now-pending.recordedBefore > limits.PeerTimeout
		pending.waiters = r.expireWaiters(pending.waiters, hopeless)
	}
}

// finishCancellationWrite ends one attempt to record a cancellation. If no attempt has succeeded and none
// is left, the cancellation is not pending any more.
func (r *Registry) finishCancellationWrite(pending *pendingCancellation) {
	pending.writesInFlight--
	if pending.writesInFlight == 0 && pending.revision == 0 && r.pendingCancellations[pending.jobID] == pending {
		delete(r.pendingCancellations, pending.jobID)
	}
}
