package statestore

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Root is the prefix of the mirrored keys. Final job states stand outside it:
// they are kept for ever and must not be in memory.
const Root = "u/"

// Entry is a mirrored key.
type Entry struct {
	Value   []byte
	Version uint64
}

// Change is a change of the mirror, for the slices that follow it.
type Change struct {
	Key     string
	Entry   Entry
	Removed bool
}

// Mirror follows every key under Root: it reads them once and then watches.
type Mirror struct {
	store    *Store
	keys     map[string]Entry
	Revision uint64
	Loaded   bool
	// Readings counts how often all keys were read: at first, and again after a 410.
	Readings int
	// KnownThrough is the time, at which a request left, up to which every change is in the
	// mirror.
	KnownThrough    time.Duration
	requestInFlight bool
	retryAt         time.Duration
	nextWatch       time.Duration // no new watch before this
	loading         *initialRead
	changes         []Change
}

type initialRead struct {
	seen     map[string]bool
	revision uint64
	since    string
	began    time.Duration // when the first page was asked for
}

func newMirror(s *Store) *Mirror { return &Mirror{store: s, keys: map[string]Entry{}} }

// Get reads a mirrored key.
func (m *Mirror) Get(key string) (Entry, bool) {
	e, ok := m.keys[key]
	return e, ok
}

// Len is how many keys are mirrored.
func (m *Mirror) Len() int { return len(m.keys) }

// TakeChanges returns the changes since the last call.
func (m *Mirror) TakeChanges() []Change {
	c := m.changes
	m.changes = nil
	return c
}

func (m *Mirror) set(key string, e Entry) {
	if !strings.HasPrefix(key, Root) {
		return
	}
	if old, ok := m.keys[key]; ok && old.Version >= e.Version {
		return
	}
	m.keys[key] = e
	m.changes = append(m.changes, Change{Key: key, Entry: e})
}

func (m *Mirror) remove(key string, version uint64) {
	old, ok := m.keys[key]
	if !ok || old.Version > version {
		return
	}
	delete(m.keys, key)
	m.changes = append(m.changes, Change{Key: key, Entry: old, Removed: true})
}

func (m *Mirror) tick() {
	watching := m.Loaded && m.loading == nil
	if m.requestInFlight || m.store.now < m.retryAt || (watching && m.store.now < m.nextWatch) {
		return
	}
	m.requestInFlight = true
	if !watching {
		if m.loading == nil {
			m.loading = &initialRead{seen: map[string]bool{}}
		}
		m.store.List(Lease, Root, m.loading.since, m.pageRead)
		return
	}
	// Guards against watches that used up the requests of a node: each change of
	// any key ends one, and there may be more changes than this node has requests.
	m.nextWatch = m.store.now + time.Duration(float64(time.Second)/(limits.WatchShare*m.store.requestBucket.rate))
	hold := limits.WatchHold
	path := fmt.Sprintf("/watch?starts=%s&since=%d&holdMs=%d", url.QueryEscape(Root), m.Revision, hold.Milliseconds())
	m.store.requestBucket.level--
	m.store.send(&request{method: "GET", path: path, done: m.watchAnswered}, hold+limits.StoreTimeout)
}

func (m *Mirror) retryLater() {
	m.requestInFlight = false
	m.retryAt = m.store.now + limits.StoreBackoff
}

func (m *Mirror) pageRead(r Reply) {
	var rows wire.Rows
	if r.Status != OK || wire.Decode(r.Body, &rows) != nil {
		m.retryLater()
		return
	}
	m.requestInFlight = false
	l := m.loading
	if l.since == "" {
		// The watch starts from the first page's revision: what changes while
		// the later pages are read is told again, and versions sort it out.
		l.revision, l.began = rows.Revision, r.SentAt
	}
	for _, row := range rows.Rows {
		l.seen[row.Key] = true
		m.set(row.Key, Entry{row.Value, row.Version})
		l.since = row.Key
	}
	if rows.More && len(rows.Rows) > 0 {
		return
	}
	for k, e := range m.keys {
		if !l.seen[k] {
			m.remove(k, e.Version)
		}
	}
	m.Revision = l.revision
	m.KnownThrough = max(m.KnownThrough, l.began)
	m.loading = nil
	m.Loaded = true
	m.Readings++
}

func (m *Mirror) watchAnswered(r Reply) {
	if r.Status == 410 {
		m.requestInFlight = false
		m.loading = &initialRead{seen: map[string]bool{}}
		return
	}
	var w wire.Watched
	if r.Status != OK || wire.Decode(r.Body, &w) != nil {
		m.retryLater()
		return
	}
	m.requestInFlight = false
	for _, e := range w.Events {
		if e.Put != "" {
			m.set(e.Put, Entry{e.Value, e.Version})
		} else {
			m.remove(e.Remove, e.Version)
		}
	}
	if w.Revision > m.Revision {
		m.Revision = w.Revision
	}
	m.KnownThrough = max(m.KnownThrough, r.SentAt)
}

// Put enters a key that this node has just written, ahead of the watch.
func (m *Mirror) Put(key string, value []byte, version uint64) {
	m.set(key, Entry{value, version})
}
