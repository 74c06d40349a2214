package statestore

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Root is the prefix of the mirrored keys. Final job states are stored outside it,
// because they are kept forever and would fill the memory.
const Root = "u/"

// Entry is the value of a mirrored key and the version of that value.
type Entry struct {
	Value   []byte
	Version uint64
}

// Change is a change of one mirrored key. If the key was removed, Entry is the key's
// last entry.
type Change struct {
	Key     string
	Entry   Entry
	Removed bool
}

// Mirror is a copy of every key under Root. It reads all keys once and then receives
// their changes from a watch.
type Mirror struct {
	store    *Store
	keys     map[string]Entry
	Revision uint64
	Loaded   bool
	// FullReads counts how often all keys were read: at the start, and after each watch
	// that was answered with 410.
	FullReads int
	// KnownThrough is the time up to which the mirror is complete: it contains every change that
	// was made before that time. It is the time at which an answered request was sent.
	KnownThrough    time.Duration
	requestInFlight bool
	retryAt         time.Duration
	nextWatch       time.Duration // earliest time of the next watch
	currentFullRead *fullRead
	changes         []Change
}

// fullRead is the state of reading all keys, page by page.
type fullRead struct {
	seenKeys  map[string]bool // keys read so far
	revision  uint64          // of the first page
	lastKey   string          // last key read
	startedAt time.Duration   // when the request for the first page was sent
}

func newMirror(s *Store) *Mirror { return &Mirror{store: s, keys: map[string]Entry{}} }

// Get returns a mirrored key.
func (m *Mirror) Get(key string) (Entry, bool) {
	e, ok := m.keys[key]
	return e, ok
}

// Len returns the number of mirrored keys.
func (m *Mirror) Len() int { return len(m.keys) }

// TakeChanges returns the changes since the last call.
func (m *Mirror) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// set stores a key, unless the mirror already has this version of the key or a newer version.
func (m *Mirror) set(key string, entry Entry) {
	if !strings.HasPrefix(key, Root) {
		return
	}
	if oldEntry, ok := m.keys[key]; ok && oldEntry.Version >= entry.Version {
		return
	}
	m.keys[key] = entry
	m.changes = append(m.changes, Change{Key: key, Entry: entry})
}

// remove deletes a key, unless the mirror has a newer version than the removal.
func (m *Mirror) remove(key string, version uint64) {
	oldEntry, ok := m.keys[key]
	if !ok || oldEntry.Version > version {
		return
	}
	delete(m.keys, key)
	m.changes = append(m.changes, Change{Key: key, Entry: oldEntry, Removed: true})
}

// tick sends the next request: for a page while all keys are being read, else a watch.
func (m *Mirror) tick() {
	watching := m.Loaded && m.currentFullRead == nil
	if m.requestInFlight || m.store.now < m.retryAt || (watching && m.store.now < m.nextWatch) {
		return
	}
	m.requestInFlight = true
	if !watching {
		if m.currentFullRead == nil {
			m.currentFullRead = &fullRead{seenKeys: map[string]bool{}}
		}
		m.store.List(PriorityLease, Root, m.currentFullRead.lastKey, m.handlePage)
		return
	}
	// Without this interval, watches use up the node's request budget: every change of
	// any key ends a watch, and keys may change more often than the node may send requests.
	m.nextWatch = m.store.now + time.Duration(float64(time.Second)/(limits.WatchShare*m.store.requestBucket.rate))
	hold := limits.WatchHold
	path := fmt.Sprintf("/watch?starts=%s&since=%d&holdMs=%d", url.QueryEscape(Root), m.Revision, hold.Milliseconds())
	m.store.requestBucket.level--
	m.store.queueCall(&request{method: "GET", path: path, done: m.handleWatchReply}, hold+limits.StoreTimeout)
}

func (m *Mirror) retryLater() {
	m.requestInFlight = false
	m.retryAt = m.store.now + limits.StoreBackoff
}

// handlePage applies one page of a full read. After the last page it removes the keys that
// were not read.
func (m *Mirror) handlePage(reply Reply) {
	var rows wire.KeyValuePage
	if reply.Status != OK || wire.Decode(reply.Body, &rows) != nil {
		m.retryLater()
		return
	}
	m.requestInFlight = false
	read := m.currentFullRead
	if read.lastKey == "" {
		// The watch starts from the first page's revision. It reports again what
		// changed while the later pages were read; set and remove ignore old versions.
		read.revision, read.startedAt = rows.Revision, reply.SentAt
	}
	for _, row := range rows.Entries {
		read.seenKeys[row.Key] = true
		m.set(row.Key, Entry{row.Value, row.Version})
		read.lastKey = row.Key
	}
	if rows.More && len(rows.Entries) > 0 {
		return
	}
	for k, e := range m.keys {
		if !read.seenKeys[k] {
			m.remove(k, e.Version)
		}
	}
	m.Revision = read.revision
	m.KnownThrough = max(m.KnownThrough, read.startedAt)
	m.currentFullRead = nil
	m.Loaded = true
	m.FullReads++
}

// handleWatchReply applies the changes of a watch. A 410 means that the service no longer
// has the changes since Revision, so all keys are read again.
func (m *Mirror) handleWatchReply(reply Reply) {
	if reply.Status == 410 {
		m.requestInFlight = false
		m.currentFullRead = &fullRead{seenKeys: map[string]bool{}}
		return
	}
	var watchReply wire.WatchReply
	if reply.Status != OK || wire.Decode(reply.Body, &watchReply) != nil {
		m.retryLater()
		return
	}
	m.requestInFlight = false
	for _, event := range watchReply.Events {
		if event.Put != "" {
			m.set(event.Put, Entry{event.Value, event.Version})
		} else {
			m.remove(event.Remove, event.Version)
		}
	}
	if watchReply.Revision > m.Revision {
		m.Revision = watchReply.Revision
	}
	m.KnownThrough = max(m.KnownThrough, reply.SentAt)
}

// Put stores a key that this node has just written, before the watch reports it.
func (m *Mirror) Put(key string, value []byte, version uint64) {
	m.set(key, Entry{value, version})
}
