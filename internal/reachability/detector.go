package reachability

import (
	"time"
)

// detector judges one link from what is sent and heard on it.
type detector struct {
	link     Link
	settings *Settings
	damper   damper

	// expected is the gap between arrivals before any was measured; 0: nothing is expected to
	// arrive on its own.
	expected time.Duration
	// waits is for how long an answer may be held back on purpose, as a watch is.
	waits time.Duration
	// irregular: no silence of arrivals says anything.
	irregular bool
	// suspended: nothing is expected at present, and only the damper goes on.
	suspended bool

	gaps, latencies *sketch
	longGaps        int // gaps in a row that were too long to be learned

	lastHeard   time.Duration // when something arrived on its own; 0: never
	lastAnswer  time.Duration // when an answer of any kind arrived; 0: never
	lastServed  time.Duration // when the newest request that was served had left; 0: none
	lastRefused time.Duration // when the newest request that was refused had left; 0: none
	firstLost   time.Duration // when the first of the losses in a row had left; 0: none
	lostInRow   int
	outstanding map[uint64]time.Duration // requests without an answer, and when they left

	state   State
	since   time.Duration
	changes int
}

func newDetector(link Link, settings *Settings, now time.Duration) *detector {
	return &detector{link: link, settings: settings, damper: damper{settings: settings.Damper, at: now},
		gaps: newSketch(settings.Quantile), latencies: newSketch(settings.Quantile), outstanding: map[uint64]time.Duration{}, state: Unknown, since: now}
}

// sent records a request.
func (d *detector) sent(id uint64, now time.Duration) { d.outstanding[id] = now }

// answered records an answer; refused tells that the other side would not serve the request.
func (d *detector) answered(id uint64, now time.Duration, refused bool) {
	left, ok := d.outstanding[id]
	if !ok {
		return
	}
	delete(d.outstanding, id)
	d.latencies.record(max(0, now-left-d.waits))
	d.lastAnswer = now
	if refused {
		d.lastRefused = max(d.lastRefused, left)
	} else {
		d.lastServed = max(d.lastServed, left)
	}
	// An answer to a request of before the losses proves nothing about the time since.
	if left >= d.firstLost {
		d.firstLost, d.lostInRow = 0, 0
	}
}

// lost records that a request got no answer in its time.
func (d *detector) lost(id uint64) {
	left, ok := d.outstanding[id]
	if !ok {
		return
	}
	delete(d.outstanding, id)
	if left < max(d.lastServed, d.lastRefused) {
		return // one that left later was answered
	}
	d.lostInRow++
	if d.firstLost == 0 || left < d.firstLost {
		d.firstLost = left
	}
}

// heard records a message that arrived on its own.
func (d *detector) heard(now time.Duration) {
	if d.lastHeard > 0 && now >= d.lastHeard && !d.irregular {
		d.learnGap(now - d.lastHeard)
	}
	d.lastHeard = max(d.lastHeard, now)
}

// paceChanged is after how many long gaps in a row the link has a new pace.
const paceChanged = 3

// learnGap records a gap between arrivals. One that was long enough to take the link for down is
// no measure of its pace, unless several follow each other: guards against a flapping link
// whose cuts became its usual gaps, so that they were noticed no more.
func (d *detector) learnGap(gap time.Duration) {
	overdue := d.overdueGap()
	if overdue > 0 && d.judgeSilence(gap, overdue) == halfDead {
		d.longGaps++
		if d.longGaps < paceChanged {
			return
		}
	} else {
		d.longGaps = 0
	}
	d.gaps.record(gap)
}

// shift takes a standstill of this process out of account: nobody's silence counts meanwhile.
func (d *detector) shift(by time.Duration) {
	for _, at := range []*time.Duration{&d.lastHeard, &d.lastAnswer, &d.firstLost} {
		if *at > 0 {
			*at += by
		}
	}
	for id := range d.outstanding {
		d.outstanding[id] += by
	}
}

// overdueGap is the silence of arrivals from which on the link is suspect; 0: no silence is.
func (d *detector) overdueGap() time.Duration {
	if measured := d.gaps.usual; measured > 0 {
		return time.Duration(float64(measured)*d.settings.SuspectFactor) + d.settings.Floor
	}
	return time.Duration(float64(d.expected) * d.settings.SuspectFactor)
}

// overdueAnswer is the age of an unanswered request from which on the link is suspect.
func (d *detector) overdueAnswer() time.Duration {
	usual := d.settings.GuessedLatency
	if measured := d.latencies.usual; measured > 0 {
		usual = measured
	}
	return d.waits + time.Duration(float64(usual)*d.settings.SuspectFactor) + d.settings.Floor
}

// silence is for how long arrivals have been missing, if any are expected.
func (d *detector) silence(now time.Duration) time.Duration {
	if d.lastHeard == 0 || d.overdueGap() == 0 {
		return 0
	}
	return now - d.lastHeard
}

// unanswered is for how long requests have had no answer.
func (d *detector) unanswered(now time.Duration) time.Duration {
	oldest := now
	if d.firstLost > 0 {
		oldest = d.firstLost
	}
	for _, left := range d.outstanding {
		// One that is slow while later ones are answered is no silence of the link.
		if left > max(d.lastServed, d.lastRefused) {
			oldest = min(oldest, left)
		}
	}
	return now - oldest
}

// half is what is known of one direction.
type half int

const (
	halfUnknown half = iota
	halfGood
	halfOverdue
	halfDead
)

// judgeSilence judges a silence against the one from which on it is suspect.
func (d *detector) judgeSilence(silence, overdue time.Duration) half {
	switch {
	case silence <= overdue:
		return halfGood
	case silence <= time.Duration(float64(overdue)*d.settings.DownFactor):
		return halfOverdue
	}
	return halfDead
}

// arrivals judges what reaches this controller on its own.
func (d *detector) arrivals(now time.Duration) half {
	if d.irregular && d.lastHeard > 0 {
		return halfGood
	}
	if d.lastHeard == 0 || d.overdueGap() == 0 {
		return halfUnknown
	}
	return d.judgeSilence(d.silence(now), d.overdueGap())
}

// answers judges whether this controller's requests are answered.
func (d *detector) answers(now time.Duration) half {
	if d.lastAnswer == 0 && d.lostInRow == 0 {
		return halfUnknown
	}
	judged := d.judgeSilence(d.unanswered(now), d.overdueAnswer())
	if judged == halfDead && d.lostInRow < d.settings.LossesForDown {
		return halfOverdue
	}
	return judged
}

// judge returns the state of the link now.
func (d *detector) judge(now time.Duration) State {
	in, out := d.arrivals(now), d.answers(now)
	switch {
	case d.suspended:
		return Unknown
	case in == halfUnknown && out == halfUnknown:
		return Unknown
	case out == halfDead && in == halfGood:
		return HeardOnly
	case in == halfDead && out == halfGood:
		return AnsweredOnly
	case out == halfDead || in == halfDead:
		return Down
	case d.lastRefused > d.lastServed && d.lastRefused > 0:
		return Refused
	case in == halfOverdue || out == halfOverdue:
		return Suspect
	}
	return Up
}

// update takes the link's state anew and tells whether it has changed.
func (d *detector) update(now time.Duration) (Change, bool) {
	was, wasSuppressed := d.state, d.damper.suppressed
	d.damper.fade(now)
	d.state = d.judge(now)
	if was.Works() && !d.state.Works() && d.state != Unknown {
		d.changes++
		d.damper.failed(now)
	}
	if d.state == was && d.damper.suppressed == wasSuppressed {
		return Change{}, false
	}
	if d.state != was {
		d.since = now
	}
	change := Change{Link: d.link, From: was, To: d.state, Suppressed: d.damper.suppressed}
	if !d.state.Works() {
		change.After = max(d.silence(now), d.unanswered(now))
	}
	return change, true
}

// status tells what is known of the link now.
func (d *detector) status(now time.Duration) Status {
	s := Status{Link: d.link, State: d.state, Since: now - d.since, Suppressed: d.damper.suppressed, Penalty: d.damper.penalty, Changes: d.changes}
	s.LatencyP50, _ = d.latencies.quantile(0.5)
	s.LatencyP99, _ = d.latencies.quantile(0.99)
	s.GapP99, _ = d.gaps.quantile(0.99)
	s.OverdueAfter = d.overdueGap()
	if s.OverdueAfter == 0 {
		s.OverdueAfter = d.overdueAnswer()
	}
	return s
}
