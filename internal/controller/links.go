package controller

import (
	"cmp"
	"log/slog"
	"net/http"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/reachability"
	"umberpaddle/internal/statestore"
)

// linkMonitor derives the state of this controller's links from the messages that the core sends and
// receives, and exchanges views of the links with peers. The methods of a nil linkMonitor do nothing:
// it is nil unless the operator settings enable link monitoring.
type linkMonitor struct {
	monitor     *reachability.Monitor
	views       *reachability.ViewSet
	node        string
	incarnation uint64

	pendingCalls    map[uint64]pendingCall     // calls to the state service and the cloud without a reply yet, by storeCallID or cloudCallID
	lastPeerCall    uint64                     // sequence number of the last call to a peer
	workerLinks     map[reachability.Link]bool // links to workers from which heartbeats are expected
	nextView        time.Duration
	nextTick        time.Duration
	nextWorkerCheck time.Duration // time of the next suspendUnusedWorkerLinks
}

// pendingCall is a call that has no reply yet. requestsMachine is set for calls that rent machines:
// the refusal of such a call may mean only that the cloud has no machine available.
type pendingCall struct {
	link            reachability.Link
	requestsMachine bool
}

// Calls to the state service and to the cloud have separate sequence numbers, which may coincide. As
// keys of linkMonitor.pendingCalls they are shifted by one bit, and the lowest bit is set for the cloud.
func storeCallID(id uint64) uint64 { return id << 1 }
func cloudCallID(id uint64) uint64 { return id<<1 | 1 }

var (
	stateRequests = reachability.Link{Kind: reachability.StateRequests}
	stateWrites   = reachability.Link{Kind: reachability.StateWrites}
	stateWatches  = reachability.Link{Kind: reachability.StateWatches}
	cloudLink     = reachability.Link{Kind: reachability.Cloud}
	usersLink     = reachability.Link{Kind: reachability.Users}
)

func peerLink(name string) reachability.Link {
	return reachability.Link{Kind: reachability.Peer, Name: name}
}

// workersLink returns the link to the workers of a class in a zone.
func workersLink(class, zone string) reachability.Link {
	return reachability.Link{Kind: reachability.Workers, Name: class + " " + zone}
}

// newLinkMonitor returns a monitor with the operator settings, or nil if they do not enable link monitoring.
func newLinkMonitor(node string, incarnation uint64, settings config.Reachability, now time.Duration) *linkMonitor {
	if !settings.Enabled {
		return nil
	}
	monitor := reachability.NewMonitor(linkSettings(settings), now)
	monitor.Watch(stateWatches, 0, limits.WatchHold)
	monitor.WatchIrregular(usersLink)
	return &linkMonitor{monitor: monitor, views: reachability.NewViewSet(node, limits.ViewMaxAge), node: node, incarnation: incarnation, pendingCalls: map[uint64]pendingCall{}, workerLinks: map[reachability.Link]bool{}}
}

// linkSettings returns the built-in settings, overridden by those that the operator settings give.
func linkSettings(overrides config.Reachability) reachability.Settings {
	return reachability.Settings{
		Quantile:        limits.LinkQuantile,
		SuspectFactor:   cmp.Or(overrides.SuspectFactor, limits.LinkSuspectFactor),
		DownFactor:      limits.LinkDownFactor,
		Slack:           limits.LinkSlack,
		LossesForDown:   limits.LinkLossesForDown,
		InitialLatency:  limits.SlowStoreReply,
		RotateInterval:  limits.LinkRotateInterval,
		RefreshInterval: limits.LinkRefreshInterval,
		Damper: reachability.DamperSettings{
			HalfLife:          cmp.Or(limits.Seconds(overrides.FlapHalfLifeS), limits.FlapHalfLife),
			SuppressThreshold: cmp.Or(overrides.FlapSuppress, limits.FlapSuppress),
			ReuseThreshold:    cmp.Or(overrides.FlapReuse, limits.FlapReuse),
			MaxSuppression:    cmp.Or(limits.Seconds(overrides.FlapLongestS), limits.FlapLongestSuppression),
		},
	}
}

// stateLink returns the link that a call to the state service uses.
func stateLink(call statestore.Call) reachability.Link {
	switch {
	case call.IsWatch():
		return stateWatches
	case call.Writes > 0:
		return stateWrites
	}
	return stateRequests
}

// recordOutputs records the calls among the outputs of a step, and gives calls to peers their sequence
// numbers.
func (l *linkMonitor) recordOutputs(outputs []Output, now time.Duration) {
	if l == nil {
		return
	}
	for i, output := range outputs {
		switch call := output.(type) {
		case StoreCall:
			l.recordSent(storeCallID(call.ID), pendingCall{link: stateLink(call.Call)}, now)
		case CloudCall:
			l.recordSent(cloudCallID(call.ID), pendingCall{link: cloudLink, requestsMachine: call.Method == http.MethodPost}, now)
		case PeerCall:
			l.lastPeerCall++
			call.Number = l.lastPeerCall
			outputs[i] = call
			l.monitor.RecordSent(peerLink(call.Peer), call.Number, now)
		}
	}
}

func (l *linkMonitor) recordSent(id uint64, call pendingCall, now time.Duration) {
	l.pendingCalls[id] = call
	l.monitor.RecordSent(call.link, id, now)
}

// recordInput records the replies and messages that this controller receives.
func (l *linkMonitor) recordInput(input Input, now time.Duration) {
	if l == nil {
		return
	}
	switch event := input.(type) {
	case StoreReply:
		l.recordReply(storeCallID(event.ID), event.Status, now)
	case CloudReply:
		l.recordReply(cloudCallID(event.ID), event.Status, now)
	case PeerReply:
		link := peerLink(event.Call.Peer)
		if event.Unanswered {
			l.monitor.RecordLost(link, event.Call.Number, now)
		} else {
			l.monitor.RecordAnswer(link, event.Call.Number, now, false)
		}
	case PeerRequest:
		l.recordPeerMessage(event.Msg, now)
	case Submit, Query, Cancel:
		l.monitor.RecordReceived(usersLink, now)
	}
}

// recordReply records the reply to a call to the state service or the cloud. Of the refusals, only 503
// counts against the link, and not if the call requested a machine. A refusal because a request budget is
// used up (429) shows that the link works.
func (l *linkMonitor) recordReply(id uint64, status int, now time.Duration) {
	call, ok := l.pendingCalls[id]
	if !ok {
		return
	}
	delete(l.pendingCalls, id)
	if status == statestore.NoAnswer {
		l.monitor.RecordLost(call.link, id, now)
		return
	}
	l.monitor.RecordAnswer(call.link, id, now, status == http.StatusServiceUnavailable && !call.requestsMachine)
}

// recordPeerMessage records a peer's message that carries a view of the peer's links, and stores the
// view. From the first view on, the peer is expected to send one every limits.ViewInterval. A message
// without a view starts no such expectation: a peer that runs an older version or without link
// monitoring never sends views.
func (l *linkMonitor) recordPeerMessage(message PeerMessage, now time.Duration) {
	if message.View == nil || message.View.Node != message.From {
		return
	}
	l.monitor.Watch(peerLink(message.From), limits.ViewInterval, 0)
	l.monitor.RecordReceived(peerLink(message.From), now)
	l.views.Add(*message.View, now)
}

// recordWorkerHeartbeat records a heartbeat from a worker of a class that this controller owns. interval is
// the gap between heartbeats that is assumed for the link until enough gaps are measured.
func (l *linkMonitor) recordWorkerHeartbeat(class, zone string, interval, now time.Duration) {
	if l == nil {
		return
	}
	link := workersLink(class, zone)
	l.workerLinks[link] = true
	l.monitor.Watch(link, interval, 0)
	l.monitor.RecordReceived(link, now)
}

// suspendUnusedWorkerLinks stops expecting heartbeats from a class and zone in which this
// controller no longer has machines, because it does not own the class or has returned all of the
// machines to the cloud.
func (c *Core) suspendUnusedWorkerLinks() {
	links := c.linkMonitor
	if links == nil || c.now.Steady < links.nextWorkerCheck {
		return
	}
	links.nextWorkerCheck = c.now.Steady + limits.LinkRefreshInterval
	inUse := map[reachability.Link]bool{}
	for _, machine := range c.pool.Machines {
		if machine.Adopted && !machine.Deleting {
			inUse[workersLink(machine.Class, machine.Zone)] = true
		}
	}
	for link := range links.workerLinks {
		if !inUse[link] {
			delete(links.workerLinks, link)
			links.monitor.Suspend(link)
		}
	}
}

// recordPause excludes a pause of this process from the measured silences of the links.
func (l *linkMonitor) recordPause(pause time.Duration) {
	if l != nil {
		l.monitor.ExcludePause(pause)
	}
}

// tick updates the states of the links, logs the changes, and returns the view to send to peers, or nil
// if no view is due.
func (l *linkMonitor) tick(now time.Duration, log func(slog.Level, string, ...any)) *reachability.View {
	if l == nil || now < l.nextTick {
		return nil
	}
	l.nextTick = now + limits.TickInterval
	changes := l.monitor.Tick(now)
	for _, change := range changes {
		level := slog.LevelDebug
		if change.From.Works() != change.To.Works() {
			level = slog.LevelInfo
		}
		log(level, "link changed", "link", change.Link.String(), "state", change.To, "before", change.From, "afterS", change.SilentFor.Seconds(), "suppressed", change.Suppressed)
	}
	if len(changes) == 0 && now < l.nextView {
		return nil
	}
	view := l.monitor.View(l.node, l.incarnation)
	l.views.Add(view, now)
	if now < l.nextView {
		return nil
	}
	l.nextView = now + limits.ViewInterval
	return &view
}

// LinksReply holds the views of links that a controller has: its own and those that its peers sent.
type LinksReply struct {
	Views []reachability.View
	// StateLoss and WorkersLoss are the extents to which the controllers have lost the state service
	// and the workers, according to the views that the replying controller has.
	StateLoss, WorkersLoss reachability.LossExtent
}

// linksReply returns the current views; the second result is false if link monitoring is off.
func (l *linkMonitor) linksReply(now time.Duration) (LinksReply, bool) {
	if l == nil {
		return LinksReply{}, false
	}
	l.views.Add(l.monitor.View(l.node, l.incarnation), now)
	return LinksReply{Views: l.views.Views(now), StateLoss: l.views.Loss(reachability.StateDependency, now), WorkersLoss: l.views.Loss(reachability.WorkersDependency, now)}, true
}
