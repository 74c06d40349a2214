package reachability

import (
	"slices"
	"time"
)

// Settings configure how links are judged.
type Settings struct {
	// Quantile is the quantile of the measured gaps and latencies that is taken as their usual maximum.
	Quantile float64
	// A link becomes suspect after SuspectFactor times the usual maximum plus Slack, and down after
	// DownFactor times this sum.
	SuspectFactor, DownFactor float64
	// Slack covers the resolution of timers and delays of a busy CPU.
	Slack time.Duration
	// LossesForDown is how many consecutive requests must be lost before a link is down.
	LossesForDown int
	// InitialLatency is used as the usual maximum latency until enough latencies are measured.
	InitialLatency time.Duration
	// Damper configures the suppression of flapping links.
	Damper DamperSettings
	// RotateInterval is how often the oldest third of the measurements is dropped, and
	// RefreshInterval how often the quantiles are recomputed.
	RotateInterval, RefreshInterval time.Duration
}

// Monitor keeps track of the links of one controller.
type Monitor struct {
	settings        Settings
	detectors       map[Link]*detector
	sortedDetectors []*detector
	now             time.Duration
	nextRotate      time.Duration
	nextRefresh     time.Duration
	viewNumber      uint64
}

// NewMonitor returns a Monitor without links.
func NewMonitor(settings Settings, now time.Duration) *Monitor {
	return &Monitor{settings: settings, detectors: map[Link]*detector{}, now: now, nextRotate: now + settings.RotateInterval, nextRefresh: now + settings.RefreshInterval}
}

// Watch adds a link if it is missing, updates its parameters, and ends its suspension. expectedGap is
// the gap between unsolicited messages (0: none are expected), and maxHold is how long the other side
// may delay its answers on purpose.
func (m *Monitor) Watch(link Link, expectedGap, maxHold time.Duration) {
	d := m.detector(link)
	d.expectedGap, d.maxHold, d.suspended = expectedGap, maxHold, false
}

// WatchIrregular adds a link on which messages arrive at no regular interval. Once a message has
// arrived, no gap between messages makes the link suspect.
func (m *Monitor) WatchIrregular(link Link) { m.detector(link).irregular = true }

// Suspend makes the state of a link Unknown until the next call of Watch, because nothing is expected on
// the link at present. The penalty of the link is kept, and decays as usual.
func (m *Monitor) Suspend(link Link) {
	if d := m.detectors[link]; d != nil {
		d.suspended, d.lastMessageAt = true, 0
	}
}

// detector returns the detector of a link and adds it if it is missing.
func (m *Monitor) detector(link Link) *detector {
	d := m.detectors[link]
	if d == nil {
		d = newDetector(link, &m.settings, m.now)
		m.detectors[link] = d
		at, _ := slices.BinarySearchFunc(m.sortedDetectors, link, func(d *detector, l Link) int { return d.link.Compare(l) })
		m.sortedDetectors = slices.Insert(m.sortedDetectors, at, d)
	}
	return d
}

// RecordSent records a request over a link. The caller chooses id, which must be unique for the link.
func (m *Monitor) RecordSent(link Link, id uint64, now time.Duration) {
	m.advance(now)
	m.detector(link).recordSent(id, now)
}

// RecordAnswer records the answer to a request; refused means that the other side rejected the request.
func (m *Monitor) RecordAnswer(link Link, id uint64, now time.Duration, refused bool) {
	m.advance(now)
	m.detector(link).recordAnswer(id, now, refused)
}

// RecordLost records that a request got no answer before its timeout.
func (m *Monitor) RecordLost(link Link, id uint64, now time.Duration) {
	m.advance(now)
	m.detector(link).recordLost(id)
}

// RecordReceived records an unsolicited message.
func (m *Monitor) RecordReceived(link Link, now time.Duration) {
	m.advance(now)
	m.detector(link).recordReceived(now)
}

// ExcludePause excludes a pause of this process from all measured silences: messages that arrived
// during the pause have not been read yet, so the other side was not necessarily silent.
func (m *Monitor) ExcludePause(pause time.Duration) {
	for _, d := range m.sortedDetectors {
		d.excludePause(pause)
	}
}

func (m *Monitor) advance(now time.Duration) { m.now = max(m.now, now) }

// Tick evaluates all links and returns their changes, sorted by link.
func (m *Monitor) Tick(now time.Duration) []Change {
	m.advance(now)
	if m.now >= m.nextRotate {
		m.nextRotate = m.now + m.settings.RotateInterval
		for _, d := range m.sortedDetectors {
			d.gaps.rotate()
			d.latencies.rotate()
		}
	}
	if m.now >= m.nextRefresh {
		m.nextRefresh = m.now + m.settings.RefreshInterval
		for _, d := range m.sortedDetectors {
			d.gaps.refresh()
			d.latencies.refresh()
		}
	}
	var changes []Change
	for _, d := range m.sortedDetectors {
		if change, changed := d.update(m.now); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// Status returns the status of a link; the State of a link that was never added is Unknown.
func (m *Monitor) Status(link Link) Status {
	if d := m.detectors[link]; d != nil {
		return d.status(m.now)
	}
	return Status{Link: link, State: Unknown}
}

// View returns the status of all links, sorted by link. Each view has a larger number than the
// previous one. incarnation identifies this incarnation of the controller; the numbers start again with
// each incarnation.
func (m *Monitor) View(node string, incarnation uint64) View {
	m.viewNumber++
	view := View{Node: node, Life: incarnation, Number: m.viewNumber}
	for _, d := range m.sortedDetectors {
		view.Links = append(view.Links, d.status(m.now))
	}
	return view
}
