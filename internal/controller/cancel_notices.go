package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"umberpaddle/internal/limits"
)

// cancelNotices is what a peer must be told about cancellations. At most one message with such notices is
// in flight to a peer; what comes up meanwhile shares the next message.
type cancelNotices struct {
	holds     map[string]bool // jobs whose launches the peer is to hold
	cancelled map[string]bool // recorded cancellations that the peer has not acknowledged
	nextSend  time.Duration
}

// noticesFor returns the notices for a peer.
func (c *Core) noticesFor(peer string) *cancelNotices {
	notices := c.cancelNotices[peer]
	if notices == nil {
		notices = &cancelNotices{holds: map[string]bool{}, cancelled: map[string]bool{}}
		c.cancelNotices[peer] = notices
	}
	return notices
}

// sendCancelNotices asks owners to hold the launches of jobs whose cancellation this node is recording, and
// tells them of recorded cancellations until they acknowledge them. Without the notices, an owner whose
// requests the state service refuses would not see the cancellations and would go on starting tasks of those
// jobs.
func (c *Core) sendCancelNotices() {
	for _, request := range c.jobs.TakeHoldRequests() {
		c.noticesFor(request.Node).holds[request.JobID] = true
	}
	newCancellations := c.jobs.TakeNewCancellations()
	for _, peer := range c.settings.Others {
		if len(newCancellations) > 0 && c.ownership.OwnsClasses(peer.Label) {
			notices := c.noticesFor(peer.Label)
			for _, id := range newCancellations {
				notices.cancelled[id] = true
			}
		}
	}
	for _, notice := range c.jobs.UnacknowledgedCancellations() {
		c.noticesFor(notice.Node).cancelled[notice.JobID] = true
	}
	for _, peer := range c.settings.Others {
		if notices := c.cancelNotices[peer.Label]; notices != nil && len(notices.holds)+len(notices.cancelled) > 0 {
			c.sendNotices(peer.Label, notices)
		}
	}
}

// sendNotices sends a peer its notices, unless a message is in flight. A peer that owns nothing any more gets
// none: the next owner has read the cancellations from the state service.
func (c *Core) sendNotices(peer string, notices *cancelNotices) {
	now := c.now.Steady
	if !c.ownership.OwnsClasses(peer) {
		delete(c.cancelNotices, peer)
		return
	}
	if now < notices.nextSend {
		return
	}
	notices.nextSend = now + limits.PeerTimeout + limits.CancelNoticeRetry // if the call is lost
	message := PeerMessage{From: c.settings.Label, HoldLaunches: slices.Sorted(maps.Keys(notices.holds)), Cancelled: slices.Sorted(maps.Keys(notices.cancelled))}
	clear(notices.holds) // not repeated: the notice of the recorded cancellation follows
	c.outputs = append(c.outputs, PeerCall{Peer: peer, SentAt: now, Msg: message})
}

// handleCancelNoticeReply processes the reply to a message with notices of cancellations.
func (c *Core) handleCancelNoticeReply(reply PeerReply) {
	call, answer := reply.Call, reply.Answer
	notices := c.noticesFor(call.Peer)
	if !answer.Yes {
		notices.nextSend = max(c.now.Steady, call.SentAt+limits.CancelNoticeRetry)
		return
	}
	notices.nextSend = c.now.Steady
	c.jobs.MarkFaulty(answer.Faulty)
	if answer.Holder != 0 {
		c.jobs.RecordHold(call.Peer, answer.Holder, call.SentAt, call.Msg.HoldLaunches)
	}
	c.jobs.RecordCancellationAcknowledged(call.Peer, call.Msg.Cancelled)
	for _, id := range call.Msg.Cancelled {
		delete(notices.cancelled, id)
	}
}

// updateLaunchHolds ends the holds of launches that are over. An owner that no peer tells of a cancellation
// publishes that it has read it: the peers' notices may not reach the owner.
func (c *Core) updateLaunchHolds() {
	if c.jobs.ReleaseHolds() {
		c.schedulingDue = true
	}
	revision := c.jobs.RevisionToPublish()
	switch {
	case revision == 0:
	case !c.ownership.OwnsClasses(c.settings.Label):
		c.jobs.RecordPublished(math.MaxUint64) // nobody waits for a node that owns nothing
	case c.ownership.PublishRead(revision):
		c.jobs.RecordPublished(revision)
	}
}
