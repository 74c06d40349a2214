package jobs

import (
	"time"

	"umberpaddle/internal/limits"
)

// A controller that is about to record a cancellation asks the job's owner to hold the job's launches, so
// that it can confirm the cancellation to its user as soon as it is recorded. The owner doesn't know
// whether the cancellation will be recorded. It holds the launches until it knows of every cancellation
// that was recorded within limits.LaunchHold.

// HoldLaunches stops the launches of jobs until this node knows whether their cancellations were recorded
// within limits.LaunchHold. A job may be unknown to this node.
func (r *Registry) HoldLaunches(ids []string) {
	until := r.now + limits.LaunchHold
	for _, id := range ids {
		r.launchHolds[id] = until
		delete(r.unannounced, id)
		if job := r.OpenJobs[id]; job != nil {
			job.LaunchesHeld = true
		}
	}
}

// ReleaseHolds ends the holds of launches that are over, and reports whether there were any. A hold is
// over once this node knows of every cancellation that was confirmed up to the end of limits.LaunchHold.
// A cancellation that was recorded after that time isn't confirmed on the strength of the hold.
func (r *Registry) ReleaseHolds() (released bool) {
	for id, until := range r.launchHolds {
		if r.cancellationsKnownThrough < until {
			continue
		}
		released = true
		delete(r.launchHolds, id)
		if job := r.OpenJobs[id]; job != nil {
			job.LaunchesHeld = false
		}
	}
	return released
}

// isHeld reports whether the launches of a job are held.
func (r *Registry) isHeld(id string) bool {
	_, held := r.launchHolds[id]
	return held
}

// noteUnannounced records a cancellation that this node read from the state service before any peer
// announced it. If no peer does, the peers cannot reach this node, and learn only from the state service
// that it knows the cancellation.
func (r *Registry) noteUnannounced(id string) {
	if entry, ok := r.store.Mirror.Get(keyCancelled + id); ok && !r.isHeld(id) {
		r.unannounced[id] = unannouncedCancellation{revision: entry.Version, since: r.now}
	}
}

// RevisionToPublish returns the revision of the newest cancellation that no peer has announced to this node
// within limits.AnnouncementWait, or 0 if there is none.
func (r *Registry) RevisionToPublish() (revision uint64) {
	for _, cancellation := range r.unannounced {
		if r.now-cancellation.since >= limits.AnnouncementWait {
			revision = max(revision, cancellation.revision)
		}
	}
	return revision
}

// RecordAnnounced records that a peer announced cancellations to this node.
func (r *Registry) RecordAnnounced(ids []string) {
	for _, id := range ids {
		delete(r.unannounced, id)
	}
}

// RecordPublished records that the peers can read that this node knows the cancellations up to a revision.
func (r *Registry) RecordPublished(revision uint64) {
	for id, cancellation := range r.unannounced {
		if cancellation.revision <= revision {
			delete(r.unannounced, id)
		}
	}
}

// unannouncedCancellation is a cancellation that this node has read, but that no peer has announced.
type unannouncedCancellation struct {
	revision uint64 // at which it was recorded
	since    time.Duration
}
