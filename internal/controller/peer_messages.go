package controller

import (
	"maps"
	"slices"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/reachability"
)

// PeerMessage is what controllers tell each other: counts for display, cancellations
// that users were told, a request for a promise not to take over the given terms, or the
// question whether the peer reaches the state service, or whether workers of others
// come to it.
type PeerMessage struct {
	From      string
	Probe     bool
	Visited   bool
	Promise   bool
	Terms     map[string]uint64
	Counts    map[string][2]int
	Cancelled []string
	// Faulty are jobs that fail everywhere. Versions without the field skip it.
	Faulty []string
	// View is what the sender knows of its links. Versions without the field skip it.
	View *reachability.View
}

// PeerAnswer answers a PeerMessage. Where a promise was requested, it also carries the
// cancellations that the peer knows: Vouch tells that these are all that it, or an
// earlier life of it, told users, and all that anybody was told up to Behind before.
type PeerAnswer struct {
	Yes       bool
	Vouch     bool
	Behind    time.Duration
	Cancelled []string
	// Faulty are jobs that earlier owners told this peer of and that the asker did not
	// name. Versions without the field skip it.
	Faulty []string
	// Uptime is for how long the peer's process has run, where a promise was requested: an
	// earlier life may have followed the asker. Versions without the field skip it.
	Uptime time.Duration
}

// messagePeers asks peers for what this node can't see itself, and tells them of its work.
func (c *Core) messagePeers() {
	t := c.now.Steady
	c.watchLinksToWorkers()
	if view := c.links.tick(t, c.log); view != nil {
		c.messageAll(PeerMessage{View: view})
	}
	if c.ownership.NeedsExtension() {
		c.messageAll(PeerMessage{Promise: true, Terms: c.ownership.Terms()})
	}
	if c.store.Down() && t >= c.nextProbe {
		c.nextProbe = t + limits.ExtensionInterval
		c.messageAll(PeerMessage{Probe: true})
	}
	// An owner that its workers don't reach looks for a node that they do reach.
	if len(c.active) > 0 && t-max(c.lastArrival, c.reportsResumedAt) > c.maxReportGap()/2 && t >= c.nextArrivalQuery {
		c.nextArrivalQuery = t + limits.ExtensionInterval
		c.messageAll(PeerMessage{Visited: true})
	}
	if t >= c.nextCountsMessage && len(c.active) > 0 {
		c.nextCountsMessage = t + limits.CountsInterval
		c.sendCounts()
	}
}

// messageAll sends a message to every other controller.
func (c *Core) messageAll(m PeerMessage) {
	m.From = c.settings.Label
	for _, p := range c.settings.Others {
		c.out = append(c.out, PeerCall{Peer: p.Label, Sent: c.now.Steady, Msg: m})
	}
}

// sendCounts tells peers how far our jobs are, where that has changed, and which fail
// everywhere. A new owner sends them in any case: the answers tell which jobs earlier owners
// took for faulty.
func (c *Core) sendCounts() {
	counts, seen := map[string][2]int{}, map[string][2]int{}
	var faulty []string
	for id, j := range c.jobs.Open {
		if !j.Active {
			continue
		}
		if j.Faulty() && !j.Cancelled {
			faulty = append(faulty, id)
		}
		count := [2]int{j.DoneCount, j.Running()}
		seen[id] = count
		if c.toldCounts[id] != count {
			counts[id] = count
		}
	}
	first := c.toldCounts == nil
	c.toldCounts = seen
	if len(counts) == 0 && len(faulty) == 0 && !first {
		return
	}
	slices.Sort(faulty)
	c.messageAll(PeerMessage{Counts: counts, Faulty: faulty})
}

func (c *Core) answerPeer(x PeerRequest) {
	if x.Msg.Probe {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.store.Mirror.Loaded && !c.store.Down()}})
		return
	}
	if x.Msg.Visited {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: c.lastForeignArrival > 0 && c.now.Steady-c.lastForeignArrival < limits.ForeignArrivalFor}})
		return
	}
	if x.Msg.Promise {
		a := PeerAnswer{Yes: c.ownership.GrantExtension(c.now.Steady, x.Msg.Terms), Vouch: c.store.Mirror.Loaded, Behind: c.now.Steady - c.store.Mirror.KnownThrough, Uptime: c.ownership.Uptime()}
		if a.Vouch {
			a.Cancelled = c.jobs.Cancellations()
		}
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: a})
		return
	}
	c.mergeCancellations(x.Msg.Cancelled)
	for id, v := range x.Msg.Counts {
		c.jobs.SetDisplayCounts(id, v[0], v[1])
	}
	// Guards against a faulty job that got its first wave of tasks again from every owner.
	c.jobs.Suspect(x.Msg.Faulty)
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: PeerAnswer{Yes: true, Faulty: c.jobs.Suspects(x.Msg.Faulty)}})
}

// peerReplied takes in what came of a message to a peer.
func (c *Core) peerReplied(x PeerReply) {
	peer, a := x.Call.Peer, x.Answer
	switch m := x.Call.Msg; {
	case m.Visited:
		if a.Yes {
			c.foreignArrivals[peer] = c.now.Steady
		}
	case m.Probe:
		if a.Yes {
			c.peerReachedStoreAt = c.now.Steady
		}
	case m.Promise:
		c.mergeCancellations(a.Cancelled)
		c.ownership.RecordPeerCancellations(peer, x.Call.Sent, a.Vouch, a.Behind)
		c.ownership.RecordExtension(peer, x.Call.Sent, a.Yes, a.Uptime)
	case a.Yes:
		c.jobs.Suspect(a.Faulty)
		for _, id := range m.Cancelled {
			delete(c.cancelNotices[peer], id)
		}
	}
}

// mergeCancellations takes in cancellations that a peer knows of.
func (c *Core) mergeCancellations(ids []string) {
	if c.jobs.MergeCancellations(c.now.Steady, ids) {
		c.dirty, c.jobsChanged = true, true
	}
}

// notifyOwners passes cancellations that became known here straight to the owners of
// classes, until they acknowledge them: an owner that the state service refuses can't
// see them, and goes on starting tasks of those jobs.
func (c *Core) notifyOwners() {
	t := c.now.Steady
	if ids := c.jobs.TakeNewCancellations(); len(ids) > 0 {
		for owner := range c.ownership.Owners() {
			if owner == c.settings.Label {
				continue
			}
			if c.cancelNotices[owner] == nil {
				c.cancelNotices[owner] = map[string]bool{}
			}
			for _, id := range ids {
				c.cancelNotices[owner][id] = true
			}
		}
		c.nextNotice = t
	}
	if t < c.nextNotice {
		return
	}
	c.nextNotice = t + limits.ExtensionInterval
	owners := c.ownership.Owners()
	for _, p := range c.settings.Others {
		ids := c.cancelNotices[p.Label]
		if len(ids) == 0 {
			continue
		}
		if !owners[p.Label] { // its successor has read them
			delete(c.cancelNotices, p.Label)
			continue
		}
		c.out = append(c.out, PeerCall{Peer: p.Label, Sent: t, Msg: PeerMessage{From: c.settings.Label, Cancelled: slices.Sorted(maps.Keys(ids))}})
	}
}
