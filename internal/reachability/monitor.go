package reachability

import (
	"slices"
	"time"
)

// Settings say how links are judged.
type Settings struct {
	// Quantile of the measured gaps and latencies that counts as the usual most.
	Quantile float64
	// SuspectFactor times that, and Floor on top, is when a link becomes suspect; DownFactor
	// times that again when it is down.
	SuspectFactor, DownFactor float64
	// Floor covers timer steps and a busy processor.
	Floor time.Duration
	// LossesForDown is how many requests in a row must be lost before a link is down.
	LossesForDown int
	// GuessedLatency stands for the latency until enough was measured.
	GuessedLatency time.Duration
	// Damper holds back links that come and go.
	Damper DamperSettings
	// RotateEvery is how often the oldest third of what was measured is forgotten, and
	// RefreshEvery how often the quantiles are reckoned anew.
	RotateEvery, RefreshEvery time.Duration
}

// Monitor holds the links of one controller.
type Monitor struct {
	settings    Settings
	links       map[Link]*detector
	sorted      []*detector
	now         time.Duration
	nextRotate  time.Duration
	nextRefresh time.Duration
	viewNumber  uint64
}

// NewMonitor makes a monitor without links.
func NewMonitor(settings Settings, now time.Duration) *Monitor {
	return &Monitor{settings: settings, links: map[Link]*detector{}, now: now, nextRotate: now + settings.RotateEvery, nextRefresh: now + settings.RefreshEvery}
}

// Watch adds a link, if it is not known yet. expected is the gap between messages that arrive on
// their own (0: none are expected), waits for how long its answers may be held back on purpose.
func (m *Monitor) Watch(link Link, expected, waits time.Duration) {
	d := m.detector(link)
	d.expected, d.waits, d.suspended = expected, waits, false
}

// WatchIrregular adds a link on which messages arrive as they like: it is up once one has.
func (m *Monitor) WatchIrregular(link Link) { m.detector(link).irregular = true }

// Suspend stops judging a link on which nothing is expected at present; Watch goes on. Its damper
// keeps what it knows.
func (m *Monitor) Suspend(link Link) {
	if d := m.links[link]; d != nil {
		d.suspended, d.lastHeard = true, 0
	}
}

func (m *Monitor) detector(link Link) *detector {
	d := m.links[link]
	if d == nil {
		d = newDetector(link, &m.settings, m.now)
		m.links[link] = d
		at, _ := slices.BinarySearchFunc(m.sorted, link, func(d *detector, l Link) int { return d.link.Compare(l) })
		m.sorted = slices.Insert(m.sorted, at, d)
	}
	return d
}

// Sent records a request over a link. Numbers are the caller's, unique for the link.
func (m *Monitor) Sent(link Link, id uint64, now time.Duration) {
	m.advance(now)
	m.detector(link).sent(id, now)
}

// Answered records the answer to a request; refused: the other side would not serve it.
func (m *Monitor) Answered(link Link, id uint64, now time.Duration, refused bool) {
	m.advance(now)
	m.detector(link).answered(id, now, refused)
}

// Lost records that a request got no answer in its time.
func (m *Monitor) Lost(link Link, id uint64, now time.Duration) {
	m.advance(now)
	m.detector(link).lost(id)
}

// Heard records a message that arrived on its own.
func (m *Monitor) Heard(link Link, now time.Duration) {
	m.advance(now)
	m.detector(link).heard(now)
}

// StoodStill takes a standstill of this process out of account: what came meanwhile waits to be
// read, so nobody's silence counts.
func (m *Monitor) StoodStill(by time.Duration) {
	for _, d := range m.sorted {
		d.shift(by)
	}
}

func (m *Monitor) advance(now time.Duration) { m.now = max(m.now, now) }

// Tick judges all links and returns those that have changed, in their order.
func (m *Monitor) Tick(now time.Duration) []Change {
	m.advance(now)
	if m.now >= m.nextRotate {
		m.nextRotate = m.now + m.settings.RotateEvery
		for _, d := range m.sorted {
			d.gaps.rotate()
			d.latencies.rotate()
		}
	}
	if m.now >= m.nextRefresh {
		m.nextRefresh = m.now + m.settings.RefreshEvery
		for _, d := range m.sorted {
			d.gaps.refresh()
			d.latencies.refresh()
		}
	}
	var changes []Change
	for _, d := range m.sorted {
		if c, changed := d.update(m.now); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// Status tells what is known of a link; the zero State of an unknown link is Unknown.
func (m *Monitor) Status(link Link) Status {
	if d := m.links[link]; d != nil {
		return d.status(m.now)
	}
	return Status{Link: link, State: Unknown}
}

// View tells what is known of all links, in their order. Each view has a larger number than the
// one before; life names this process, so that a restarted one may begin anew.
func (m *Monitor) View(node string, life uint64) View {
	m.viewNumber++
	v := View{Node: node, Life: life, Number: m.viewNumber}
	for _, d := range m.sorted {
		v.Links = append(v.Links, d.status(m.now))
	}
	return v
}
