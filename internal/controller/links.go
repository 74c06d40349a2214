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

// linkMonitor feeds the view of this controller's links with what the core sends and hears, and
// exchanges views with peers. A nil one does nothing: the operators' file has not switched it on.
type linkMonitor struct {
	monitor *reachability.Monitor
	cluster *reachability.Cluster
	node    string
	life    uint64

	calls    map[uint64]linkCall        // under way to the state service and the cloud
	lastCall uint64                     // number of the last call to a peer
	workers  map[reachability.Link]bool // links to workers on which reports are expected
	nextView time.Duration
	nextTick time.Duration
	nextLook time.Duration // at which links to workers still have machines
}

// linkCall is a call under way. asksRoom: a refusal may only mean that the cloud has no machine.
type linkCall struct {
	link     reachability.Link
	asksRoom bool
}

// Calls to the state service and to the cloud are numbered apart; in linkMonitor.calls the lowest
// bit tells them apart.
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

// workersLink is the link to the workers of a class in a zone.
func workersLink(class, zone string) reachability.Link {
	return reachability.Link{Kind: reachability.Workers, Name: class + " " + zone}
}

// newLinkMonitor makes the monitor that the operators' file asks for, or nil.
func newLinkMonitor(node string, life uint64, settings config.Reachability, now time.Duration) *linkMonitor {
	if !settings.Enabled {
		return nil
	}
	monitor := reachability.NewMonitor(linkSettings(settings), now)
	monitor.Watch(stateWatches, 0, limits.WatchHold)
	monitor.WatchIrregular(usersLink)
	return &linkMonitor{monitor: monitor, cluster: reachability.NewCluster(node, limits.ViewFreshFor), node: node, life: life, calls: map[uint64]linkCall{}, workers: map[reachability.Link]bool{}}
}

// linkSettings are the built-in settings with what the operators' file changes.
func linkSettings(o config.Reachability) reachability.Settings {
	return reachability.Settings{
		Quantile:       limits.LinkQuantile,
		SuspectFactor:  cmp.Or(o.SuspectFactor, limits.LinkSuspectFactor),
		DownFactor:     limits.LinkDownFactor,
		Floor:          limits.LinkFloor,
		LossesForDown:  limits.LinkLosses,
		GuessedLatency: limits.SlowStore,
		RotateEvery:    limits.LinkRotate,
		RefreshEvery:   limits.LinkRefresh,
		Damper: reachability.DamperSettings{
			HalfLife:           cmp.Or(limits.Seconds(o.FlapHalfLifeS), limits.FlapHalfLife),
			Suppress:           cmp.Or(o.FlapSuppress, limits.FlapSuppress),
			Reuse:              cmp.Or(o.FlapReuse, limits.FlapReuse),
			LongestSuppression: cmp.Or(limits.Seconds(o.FlapLongestS), limits.FlapLongest),
		},
	}
}

// stateLink is the link that a call to the state service goes over.
func stateLink(call statestore.Call) reachability.Link {
	switch {
	case call.IsWatch():
		return stateWatches
	case call.Writes > 0:
		return stateWrites
	}
	return stateRequests
}

// noteSent takes note of the calls among the outputs of a step.
func (l *linkMonitor) noteSent(out []Output, now time.Duration) {
	if l == nil {
		return
	}
	for i, o := range out {
		switch x := o.(type) {
		case StoreCall:
			l.sent(storeCallID(x.ID), linkCall{link: stateLink(x.Call)}, now)
		case CloudCall:
			l.sent(cloudCallID(x.ID), linkCall{link: cloudLink, asksRoom: x.Method == http.MethodPost}, now)
		case PeerCall:
			l.lastCall++
			x.Number = l.lastCall
			out[i] = x
			l.monitor.Sent(peerLink(x.Peer), x.Number, now)
		}
	}
}

func (l *linkMonitor) sent(id uint64, call linkCall, now time.Duration) {
	l.calls[id] = call
	l.monitor.Sent(call.link, id, now)
}

// noteInput takes note of what has reached this controller.
func (l *linkMonitor) noteInput(in Input, now time.Duration) {
	if l == nil {
		return
	}
	switch x := in.(type) {
	case StoreReply:
		l.replied(storeCallID(x.ID), x.Status, now)
	case CloudReply:
		l.replied(cloudCallID(x.ID), x.Status, now)
	case PeerReply:
		link := peerLink(x.Call.Peer)
		if x.Unanswered {
			l.monitor.Lost(link, x.Call.Number, now)
		} else {
			l.monitor.Answered(link, x.Call.Number, now, false)
		}
	case PeerRequest:
		l.peerHeard(x.Msg, now)
	case Submit, Query, Cancel:
		l.monitor.Heard(usersLink, now)
	}
}

// replied takes note of the reply to a call to the state service or the cloud. A refusal for the
// budget (429) is served as far as the link goes.
func (l *linkMonitor) replied(id uint64, status int, now time.Duration) {
	call, ok := l.calls[id]
	if !ok {
		return
	}
	delete(l.calls, id)
	if status == statestore.NoAnswer {
		l.monitor.Lost(call.link, id, now)
		return
	}
	l.monitor.Answered(call.link, id, now, status == http.StatusServiceUnavailable && !call.asksRoom)
}

// peerHeard takes note of a peer's message, and of the view that it may carry. Only a peer that
// sends views is expected to go on doing so.
func (l *linkMonitor) peerHeard(m PeerMessage, now time.Duration) {
	if m.View == nil || m.View.Node != m.From {
		return
	}
	l.monitor.Watch(peerLink(m.From), limits.ViewInterval, 0)
	l.monitor.Heard(peerLink(m.From), now)
	l.cluster.Learn(*m.View, now)
}

// workerHeard takes note of a worker's report for a class that this controller owns.
func (l *linkMonitor) workerHeard(class, zone string, report, now time.Duration) {
	if l == nil {
		return
	}
	link := workersLink(class, zone)
	l.workers[link] = true
	l.monitor.Watch(link, report, 0)
	l.monitor.Heard(link, now)
}

// watchLinksToWorkers stops expecting reports from classes and zones in which this controller has
// no machines any more: it does not own the class, or it has returned them.
func (c *Core) watchLinksToWorkers() {
	l := c.links
	if l == nil || c.now.Steady < l.nextLook {
		return
	}
	l.nextLook = c.now.Steady + limits.LinkRefresh
	inUse := map[reachability.Link]bool{}
	for _, m := range c.pool.Machines {
		if m.Adopted && !m.Deleting {
			inUse[workersLink(m.Class, m.Zone)] = true
		}
	}
	for link := range l.workers {
		if !inUse[link] {
			delete(l.workers, link)
			l.monitor.Suspend(link)
		}
	}
}

// stoodStill takes note that this process did nothing for a while.
func (l *linkMonitor) stoodStill(by time.Duration) {
	if l != nil {
		l.monitor.StoodStill(by)
	}
}

// tick judges the links, logs what has changed, and returns the view to send to peers, if it is
// time to.
func (l *linkMonitor) tick(now time.Duration, log func(slog.Level, string, ...any)) *reachability.View {
	if l == nil || now < l.nextTick {
		return nil
	}
	l.nextTick = now + limits.TickInterval
	changes := l.monitor.Tick(now)
	for _, c := range changes {
		level := slog.LevelDebug
		if c.From.Works() != c.To.Works() {
			level = slog.LevelInfo
		}
		log(level, "link changed", "link", c.Link.String(), "state", c.To, "before", c.From, "afterS", c.After.Seconds(), "suppressed", c.Suppressed)
	}
	if len(changes) == 0 && now < l.nextView {
		return nil
	}
	view := l.monitor.View(l.node, l.life)
	l.cluster.Learn(view, now)
	if now < l.nextView {
		return nil
	}
	l.nextView = now + limits.ViewInterval
	return &view
}

// LinksReply tells what a controller knows of links, its own and others'.
type LinksReply struct {
	Views []reachability.View
	// StateLoss and WorkersLoss tell who has lost the state service and the workers, as the
	// asked controller sees it.
	StateLoss, WorkersLoss reachability.Extent
}

// reply tells what is known; the second result is false if the monitor is off.
func (l *linkMonitor) reply(now time.Duration) (LinksReply, bool) {
	if l == nil {
		return LinksReply{}, false
	}
	l.cluster.Learn(l.monitor.View(l.node, l.life), now)
	return LinksReply{Views: l.cluster.Views(now), StateLoss: l.cluster.Loss(reachability.StateHalf, now), WorkersLoss: l.cluster.Loss(reachability.WorkersHalf, now)}, true
}
