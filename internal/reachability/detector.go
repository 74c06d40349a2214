package reachability

import (
	"time"
)

// detector determines the state of one link from what is sent and received on it.
type detector struct {
	link     Link
	settings *Settings
	damper   damper

	// expectedGap is the gap between unsolicited messages until enough gaps are measured; 0: no
	// unsolicited messages are expected.
	expectedGap time.Duration
	// maxHold is how long the other side may delay an answer on purpose, as it does for a watch.
	maxHold time.Duration
	// irregular: messages arrive at no regular interval, so a gap is no sign of a failure.
	irregular bool
	// suspended: nothing is expected on the link at present, and only its damper is updated.
	suspended bool

	gaps, latencies     *sketch
	consecutiveLongGaps int // number of consecutive gaps, up to the last one, that were long enough to count as down

	lastMessageAt       time.Duration // when the last unsolicited message arrived; 0: never
	lastAnswerAt        time.Duration // when the last answer of any kind arrived; 0: never
	lastServedSentAt    time.Duration // when the newest request that was served was sent; 0: none
	lastRefusedSentAt   time.Duration // when the newest request that was refused was sent; 0: none
	firstLostSentAt     time.Duration // when the oldest of the consecutive lost requests was sent; 0: none
	consecutiveLosses   int
	outstandingRequests map[uint64]time.Duration // when each request without an answer was sent, by request ID

	state      State
	stateSince time.Duration
	failures   int
}

func newDetector(link Link, settings *Settings, now time.Duration) *detector {
	return &detector{link: link, settings: settings, damper: damper{settings: settings.Damper, updatedAt: now},
		gaps: newSketch(settings.Quantile), latencies: newSketch(settings.Quantile), outstandingRequests: map[uint64]time.Duration{}, state: Unknown, stateSince: now}
}

// recordSent records the time of a request that has no answer yet.
func (d *detector) recordSent(id uint64, now time.Duration) { d.outstandingRequests[id] = now }

// recordAnswer records an answer; refused means that the other side rejected the request.
func (d *detector) recordAnswer(id uint64, now time.Duration, refused bool) {
	sentAt, ok := d.outstandingRequests[id]
	if !ok {
		return
	}
	delete(d.outstandingRequests, id)
	d.latencies.record(max(0, now-sentAt-d.maxHold))
	d.lastAnswerAt = now
	if refused {
		d.lastRefusedSentAt = max(d.lastRefusedSentAt, sentAt)
	} else {
		d.lastServedSentAt = max(d.lastServedSentAt, sentAt)
	}
	// An answer to a request that was sent before the losses does not show that the link works
	// again.
	if sentAt >= d.firstLostSentAt {
		d.firstLostSentAt, d.consecutiveLosses = 0, 0
	}
}

// recordLost records that a request got no answer before its timeout.
func (d *detector) recordLost(id uint64) {
	sentAt, ok := d.outstandingRequests[id]
	if !ok {
		return
	}
	delete(d.outstandingRequests, id)
	if sentAt < max(d.lastServedSentAt, d.lastRefusedSentAt) {
		return // a request that was sent later has been answered
	}
	d.consecutiveLosses++
	if d.firstLostSentAt == 0 || sentAt < d.firstLostSentAt {
		d.firstLostSentAt = sentAt
	}
}

// recordReceived records an unsolicited message and the gap before it.
func (d *detector) recordReceived(now time.Duration) {
	if d.lastMessageAt > 0 && now >= d.lastMessageAt && !d.irregular {
		d.recordGap(now - d.lastMessageAt)
	}
	d.lastMessageAt = max(d.lastMessageAt, now)
}

// acceptLongGapsAfter is how many consecutive long gaps show that the interval between messages has
// become longer.
const acceptLongGapsAfter = 3

// recordGap records a gap between messages. Gaps that are long enough to count as down are ignored until
// acceptLongGapsAfter of them follow each other. Without this rule, the outages of a flapping link would
// become its usual gaps and would no longer be detected.
func (d *detector) recordGap(gap time.Duration) {
	overdue := d.overdueGap()
	if overdue > 0 && d.classifySilence(gap, overdue) == directionDown {
		d.consecutiveLongGaps++
		if d.consecutiveLongGaps < acceptLongGapsAfter {
			return
		}
	} else {
		d.consecutiveLongGaps = 0
	}
	d.gaps.record(gap)
}

// excludePause moves all recorded times forward by the length of a pause of this process, so that
// the pause does not count as silence of the other side.
func (d *detector) excludePause(pause time.Duration) {
	for _, at := range []*time.Duration{&d.lastMessageAt, &d.lastAnswerAt, &d.firstLostSentAt} {
		if *at > 0 {
			*at += pause
		}
	}
	for id := range d.outstandingRequests {
		d.outstandingRequests[id] += pause
	}
}

// overdueGap returns the time without unsolicited messages after which the link is suspect, or 0 if the
// gap between them is neither measured nor set.
func (d *detector) overdueGap() time.Duration {
	if usualMax := d.gaps.usualMax; usualMax > 0 {
		return time.Duration(float64(usualMax)*d.settings.SuspectFactor) + d.settings.Slack
	}
	return time.Duration(float64(d.expectedGap) * d.settings.SuspectFactor)
}

// overdueAnswer returns the age of an unanswered request from which on the link is suspect.
func (d *detector) overdueAnswer() time.Duration {
	latency := d.settings.InitialLatency
	if usualMax := d.latencies.usualMax; usualMax > 0 {
		latency = usualMax
	}
	return d.maxHold + time.Duration(float64(latency)*d.settings.SuspectFactor) + d.settings.Slack
}

// silentFor returns the time since the last unsolicited message, or 0 if none has arrived yet or none is
// expected.
func (d *detector) silentFor(now time.Duration) time.Duration {
	if d.lastMessageAt == 0 || d.overdueGap() == 0 {
		return 0
	}
	return now - d.lastMessageAt
}

// unansweredFor returns the age of the oldest request without an answer, lost or outstanding, or 0 if
// every request has an answer.
func (d *detector) unansweredFor(now time.Duration) time.Duration {
	oldest := now
	if d.firstLostSentAt > 0 {
		oldest = d.firstLostSentAt
	}
	for _, sentAt := range d.outstandingRequests {
		// A request that is outstanding while a later one has been answered is slow, and no sign of a
		// failed link.
		if sentAt > max(d.lastServedSentAt, d.lastRefusedSentAt) {
			oldest = min(oldest, sentAt)
		}
	}
	return now - oldest
}

// directionState is the state of one direction of a link.
type directionState int

const (
	directionUnknown directionState = iota
	directionGood
	directionOverdue
	directionDown
)

// classifySilence returns the state of a direction after a silence; overdue is the silence after which the
// link is suspect.
func (d *detector) classifySilence(silence, overdue time.Duration) directionState {
	switch {
	case silence <= overdue:
		return directionGood
	case silence <= time.Duration(float64(overdue)*d.settings.DownFactor):
		return directionOverdue
	}
	return directionDown
}

// inboundState returns the state of the direction from the other side to this controller, derived from
// unsolicited messages.
func (d *detector) inboundState(now time.Duration) directionState {
	if d.irregular && d.lastMessageAt > 0 {
		return directionGood
	}
	if d.lastMessageAt == 0 || d.overdueGap() == 0 {
		return directionUnknown
	}
	return d.classifySilence(d.silentFor(now), d.overdueGap())
}

// outboundState returns the state of the direction from this controller to the other side, derived from
// the answers to requests.
func (d *detector) outboundState(now time.Duration) directionState {
	if d.lastAnswerAt == 0 && d.consecutiveLosses == 0 {
		return directionUnknown
	}
	state := d.classifySilence(d.unansweredFor(now), d.overdueAnswer())
	if state == directionDown && d.consecutiveLosses < d.settings.LossesForDown {
		return directionOverdue
	}
	return state
}

// evaluate returns the state of the link now.
func (d *detector) evaluate(now time.Duration) State {
	inbound, outbound := d.inboundState(now), d.outboundState(now)
	switch {
	case d.suspended:
		return Unknown
	case inbound == directionUnknown && outbound == directionUnknown:
		return Unknown
	case outbound == directionDown && inbound == directionGood:
		return HeardOnly
	case inbound == directionDown && outbound == directionGood:
		return AnsweredOnly
	case outbound == directionDown || inbound == directionDown:
		return Down
	case d.lastRefusedSentAt > d.lastServedSentAt && d.lastRefusedSentAt > 0:
		return Refused
	case inbound == directionOverdue || outbound == directionOverdue:
		return Suspect
	}
	return Up
}

// update evaluates the link's state and reports whether the state or the suppression has changed.
func (d *detector) update(now time.Duration) (Change, bool) {
	previous, wasSuppressed := d.state, d.damper.suppressed
	d.damper.decay(now)
	d.state = d.evaluate(now)
	if previous.Works() && !d.state.Works() && d.state != Unknown {
		d.failures++
		d.damper.recordFailure(now)
	}
	if d.state == previous && d.damper.suppressed == wasSuppressed {
		return Change{}, false
	}
	if d.state != previous {
		d.stateSince = now
	}
	change := Change{Link: d.link, From: previous, To: d.state, Suppressed: d.damper.suppressed}
	if !d.state.Works() {
		change.SilentFor = max(d.silentFor(now), d.unansweredFor(now))
	}
	return change, true
}

// status returns the status of the link now.
func (d *detector) status(now time.Duration) Status {
	status := Status{Link: d.link, State: d.state, Since: now - d.stateSince, Suppressed: d.damper.suppressed, Penalty: d.damper.penalty, Changes: d.failures}
	status.LatencyP50, _ = d.latencies.quantile(0.5)
	status.LatencyP99, _ = d.latencies.quantile(0.99)
	status.GapP99, _ = d.gaps.quantile(0.99)
	status.OverdueAfter = d.overdueGap()
	if status.OverdueAfter == 0 {
		status.OverdueAfter = d.overdueAnswer()
	}
	return status
}
