package controller

import (
	"slices"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/reachability"
)

// PeerMessage is a message from one controller to another. Probe asks whether the peer reaches the
// state service. Visited asks whether the peer receives heartbeats for classes that it doesn't own.
// Promise requests an extension: the peer agrees not to take over the classes in Terms. Any other
// message carries job counts for display, cancellations that were recorded, jobs whose cancellation is being
// recorded, faulty jobs, or a view of the links.
type PeerMessage struct {
	From      string
	Probe     bool
	Visited   bool
	Promise   bool
	Terms     map[string]uint64
	Counts    map[string][2]int
	Cancelled []string
	// HoldLaunches are jobs whose cancellation the sender is recording. The peer launches no task of
	// them until it knows whether they were cancelled. Versions without the field ignore it.
	HoldLaunches []string
	// Faulty are jobs whose tasks failed on every machine that was tried. Versions without the
	// field ignore it.
	Faulty []string
	// View is the sender's view of its links. Versions without the field ignore it.
	View *reachability.View
}

// PeerAnswer is the answer to a PeerMessage. If an extension was requested, it also carries the
// cancellations that the peer has recorded. Vouch means that Cancelled contains every cancellation that
// the peer, in this or an earlier incarnation, confirmed to users, and every cancellation that any
// controller had confirmed to users up to Behind before the answer.
type PeerAnswer struct {
	Yes       bool
	Vouch     bool
	Behind    time.Duration
	Cancelled []string
	// Faulty are jobs that earlier owners reported to the peer as faulty and that the message did
	// not list. Versions without the field ignore it.
	Faulty []string
	// Holder is the incarnation of the peer's process if it launches no task of the jobs in
	// HoldLaunches. Versions without the field don't set it.
	Holder uint64
	// Uptime is how long the peer's process has run, if an extension was requested. An earlier
	// incarnation of the peer may have taken over from the node that requests the extension, and the
	// present incarnation may have no record of the takeover. Versions without the field ignore it.
	Uptime time.Duration
}

// messagePeers sends peers the messages that are due: views of links, requests for extensions,
// probes, and job counts.
func (c *Core) messagePeers() {
	now := c.now.Steady
	c.suspendUnusedWorkerLinks()
	if view := c.linkMonitor.tick(now, c.log); view != nil {
		c.messageAll(PeerMessage{View: view})
	}
	if c.ownership.NeedsExtension() {
		c.messageAll(PeerMessage{Promise: true, Terms: c.ownership.Terms()})
	}
	if c.store.Down() && now >= c.nextStoreProbe {
		c.nextStoreProbe = now + limits.ExtensionInterval
		c.messageAll(PeerMessage{Probe: true})
	}
	// If no worker has reached this owner for a while, it looks for a peer that workers reach.
	if len(c.activeTerms) > 0 && now-max(c.lastArrival, c.heartbeatsResumedAt) > c.maxHeartbeatGap()/2 && now >= c.nextArrivalQuery {
		c.nextArrivalQuery = now + limits.ExtensionInterval
		c.messageAll(PeerMessage{Visited: true})
	}
	if now >= c.nextCountsMessage && len(c.activeTerms) > 0 {
		c.nextCountsMessage = now + limits.CountsInterval
		c.sendCounts()
	}
}

// messageAll sends a message to every other controller.
func (c *Core) messageAll(message PeerMessage) {
	message.From = c.settings.Label
	for _, peer := range c.settings.Others {
		c.outputs = append(c.outputs, PeerCall{Peer: peer.Label, SentAt: c.now.Steady, Msg: message})
	}
}

// sendCounts sends peers the changed progress counts of the active jobs, and the faulty jobs. A new
// owner always sends a message, even without content: the answers list the jobs that earlier owners
// reported as faulty.
func (c *Core) sendCounts() {
	changedCounts, currentCounts := map[string][2]int{}, map[string][2]int{}
	var faultyJobs []string
	for id, job := range c.jobs.OpenJobs {
		if !job.Active {
			continue
		}
		if job.Faulty() && !job.Cancelled {
			faultyJobs = append(faultyJobs, id)
		}
		count := [2]int{job.DoneCount, job.RunningCount()}
		currentCounts[id] = count
		if c.sentCounts[id] != count {
			changedCounts[id] = count
		}
	}
	firstMessage := c.sentCounts == nil
	c.sentCounts = currentCounts
	if len(changedCounts) == 0 && len(faultyJobs) == 0 && !firstMessage {
		return
	}
	slices.Sort(faultyJobs)
	c.messageAll(PeerMessage{Counts: changedCounts, Faulty: faultyJobs})
}

// handlePeerRequest processes a peer's message and answers it.
func (c *Core) handlePeerRequest(request PeerRequest) {
	var answer PeerAnswer
	switch message := request.Msg; {
	case message.Probe:
		answer.Yes = c.store.Mirror.Loaded && !c.store.Down()
	case message.Visited:
		answer.Yes = c.lastForeignArrival > 0 && c.now.Steady-c.lastForeignArrival < limits.ForeignArrivalMaxAge
	case message.Promise:
		answer = c.answerExtensionRequest(message)
	default:
		answer = c.applyPeerNotices(message)
	}
	c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 200, Body: answer})
}

// answerExtensionRequest decides on a peer's request for an extension.
func (c *Core) answerExtensionRequest(message PeerMessage) PeerAnswer {
	answer := PeerAnswer{
		Yes:    c.ownership.GrantExtension(c.now.Steady, message.From, message.Terms),
		Vouch:  c.store.Mirror.Loaded,
		Behind: c.now.Steady - c.store.Mirror.KnownThrough,
		Uptime: c.ownership.Uptime(),
	}
	if answer.Vouch {
		answer.Cancelled = c.jobs.Cancellations()
	}
	return answer
}

// applyPeerNotices records what a peer tells of jobs.
func (c *Core) applyPeerNotices(message PeerMessage) PeerAnswer {
	c.jobs.HoldLaunches(message.HoldLaunches)
	c.jobs.RecordAnnounced(message.Cancelled)
	c.mergeCancellations(message.Cancelled)
	for id, count := range message.Counts {
		c.jobs.SetDisplayCounts(id, count[0], count[1])
	}
	// Without this exchange, every new owner would launch as many tasks of a faulty job as of any other
	// job.
	c.jobs.MarkFaulty(message.Faulty)
	answer := PeerAnswer{Yes: true, Faulty: c.jobs.JobsMarkedFaulty(message.Faulty)}
	if len(message.HoldLaunches) > 0 {
		answer.Holder = c.ownership.Incarnation
	}
	return answer
}

// handlePeerReply processes the result of a message to a peer.
func (c *Core) handlePeerReply(reply PeerReply) {
	peer, answer := reply.Call.Peer, reply.Answer
	switch message := reply.Call.Msg; {
	case message.Visited:
		if answer.Yes {
			c.foreignArrivals[peer] = c.now.Steady
		}
	case message.Probe:
		if answer.Yes {
			c.peerReachedStoreAt = c.now.Steady
		}
	case message.Promise:
		c.mergeCancellations(answer.Cancelled)
		c.ownership.RecordPeerCancellations(peer, reply.Call.SentAt, answer.Vouch, answer.Behind)
		c.ownership.RecordExtension(peer, reply.Call.SentAt, answer.Yes, answer.Uptime)
	case len(message.HoldLaunches)+len(message.Cancelled) > 0:
		c.handleCancelNoticeReply(reply)
	case answer.Yes:
		c.jobs.MarkFaulty(answer.Faulty)
	}
}

// mergeCancellations records cancellations that a peer reported.
func (c *Core) mergeCancellations(ids []string) {
	if c.jobs.MergeCancellations(c.now.Steady, ids) {
		c.schedulingDue, c.jobsChanged = true, true
	}
}
