package statestore

import (
	"bytes"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// RecordTable keeps many small records of a class's owner in few keys, PREFIX/CLASS/N.
// The state service counts changes of keys, not bytes: with a key for each of
// some hundred machines and jobs, a fleet waited for minutes until it was
// written down. Records become known, here as at every other node, only by the
// mirror.
type RecordTable struct {
	store       *Store
	prefix      string
	pageBytes   int // bytes of a key's records
	guard       func(class string) wire.Guard
	apply       func(id, class string, value msgpack.RawMessage, gone bool)
	pages       map[string]*page // by key
	pageOf      map[string]*page // by record
	writing     bool
	pausedUntil time.Duration // no writing before this
}

// page is one key of a record table.
type page struct {
	class   string
	key     string
	version uint64
	stored  map[string]msgpack.RawMessage
	pending map[string]pendingRecord
	size    int
	due     time.Duration // when the pending records are to be written
	urgent  bool
}

type pendingRecord struct {
	value msgpack.RawMessage // nil: to be removed
}

// NewRecordTable makes the records below prefix, which ends in a slash. apply is told
// of every record that appears, changes or goes, whoever wrote it.
func NewRecordTable(s *Store, prefix string, guard func(class string) wire.Guard, apply func(id, class string, value msgpack.RawMessage, gone bool)) *RecordTable {
	return &RecordTable{store: s, prefix: prefix, pageBytes: min(int(s.ValueBytes*limits.PageFill), limits.PageMost), guard: guard, apply: apply,
		pages: map[string]*page{}, pageOf: map[string]*page{}}
}

// recordSize reckons a record's bytes in the JSON form in which limits are measured.
func recordSize(id string, value msgpack.RawMessage) int { return len(id) + 2*len(value) + 8 }

func (p *RecordTable) page(key string) *page {
	pg := p.pages[key]
	if pg == nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(key, p.prefix), "/")
		if c, err := url.PathUnescape(class); err == nil {
			class = c
		}
		pg = &page{class: class, key: key, stored: map[string]msgpack.RawMessage{}, pending: map[string]pendingRecord{}}
		p.pages[key] = pg
	}
	return pg
}

// Apply follows a change of the mirror.
func (p *RecordTable) Apply(c Change) {
	if rest, ok := strings.CutPrefix(c.Key, p.prefix); !ok || !strings.Contains(rest, "/") {
		return
	}
	records := map[string]msgpack.RawMessage{}
	if !c.Removed && wire.Decode(c.Entry.Value, &records) != nil {
		return
	}
	pg := p.page(c.Key)
	pg.version = c.Entry.Version
	if c.Removed {
		pg.version = 0
	}
	before := pg.stored
	pg.stored = records
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := records[id]; !ok && p.pageOf[id] == pg {
			p.recordGone(pg, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(records)) {
		value := records[id]
		if w, ok := pg.pending[id]; ok && bytes.Equal(w.value, value) {
			delete(pg.pending, id)
		}
		if was := p.pageOf[id]; was != nil && was != pg {
			p.recordMoved(was, pg, id, value)
		}
		p.pageOf[id] = pg
		if old, ok := before[id]; !ok || !bytes.Equal(old, value) {
			p.apply(id, pg.class, value, false)
		}
	}
	p.updateSize(pg)
}

// recordGone follows a record that its key holds no more.
func (p *RecordTable) recordGone(pg *page, id string) {
	if w, ok := pg.pending[id]; !ok || w.value == nil {
		delete(p.pageOf, id)
		delete(pg.pending, id)
	}
	p.apply(id, pg.class, nil, true)
}

// recordMoved follows a record that another key holds now: what is still to be written of it
// goes along.
func (p *RecordTable) recordMoved(from, to *page, id string, value msgpack.RawMessage) {
	w, ok := from.pending[id]
	if !ok {
		return
	}
	delete(from.pending, id)
	if !bytes.Equal(w.value, value) {
		to.pending[id] = w
		to.due = min(to.due, from.due)
		to.urgent = to.urgent || from.urgent
	}
	p.updateSize(from)
}

// Stored returns a record as the mirror has it.
func (p *RecordTable) Stored(id string) (msgpack.RawMessage, bool) {
	if pg := p.pageOf[id]; pg != nil {
		v, ok := pg.stored[id]
		return v, ok
	}
	return nil, false
}

func (p *RecordTable) updateSize(pg *page) {
	pg.size = 0
	for id, v := range pg.stored {
		if _, ok := pg.pending[id]; !ok {
			pg.size += recordSize(id, v)
		}
	}
	for id, w := range pg.pending {
		if w.value != nil {
			pg.size += recordSize(id, w.value)
		}
	}
}

// Set requests a record, to be written within wait; without a wait it is
// urgent, and goes with everything else that waits for its key.
func (p *RecordTable) Set(class, id string, value any, wait time.Duration) {
	p.set(class, id, value, wait, wait == 0)
}

// SetUrgent is Set for a record that is urgent although it may wait for others to go with.
func (p *RecordTable) SetUrgent(class, id string, value any, wait time.Duration) {
	p.set(class, id, value, wait, true)
}

func (p *RecordTable) set(class, id string, value any, wait time.Duration, urgent bool) {
	raw, err := wire.Encode(value)
	if err != nil {
		return
	}
	pg := p.pageOf[id]
	if pg == nil {
		pg = p.pageWithRoom(class, recordSize(id, raw))
		p.pageOf[id] = pg
	}
	p.request(pg, id, raw, wait, urgent)
}

// Remove requests that a record is removed within wait.
func (p *RecordTable) Remove(id string, wait time.Duration) {
	if pg := p.pageOf[id]; pg != nil {
		p.request(pg, id, nil, wait, wait == 0)
	}
}

func (p *RecordTable) request(pg *page, id string, value msgpack.RawMessage, wait time.Duration, urgent bool) {
	if old, ok := pg.pending[id]; ok {
		if bytes.Equal(old.value, value) && (!urgent || pg.urgent) {
			return
		}
		if old.value != nil {
			pg.size -= recordSize(id, old.value)
		}
	} else if old, ok := pg.stored[id]; ok {
		if value != nil && bytes.Equal(old, value) {
			return
		}
		pg.size -= recordSize(id, old)
	}
	if value != nil {
		pg.size += recordSize(id, value)
	}
	if at := p.store.now + wait; len(pg.pending) == 0 || at < pg.due {
		pg.due = at
	}
	pg.urgent = pg.urgent || urgent
	pg.pending[id] = pendingRecord{value}
}

// pageWithRoom finds a key with room for a new record of a class.
func (p *RecordTable) pageWithRoom(class string, size int) *page {
	for n := 0; ; n++ {
		pg := p.page(p.prefix + url.PathEscape(class) + "/" + strconv.Itoa(n))
		if pg.size+size <= p.pageBytes || pg.size == 0 {
			return pg
		}
	}
}

// Forget drops the pending records of a class that this node owns no more.
func (p *RecordTable) Forget(class string) {
	for _, pg := range p.pages {
		if pg.class != class {
			continue
		}
		for id := range pg.pending {
			if _, ok := pg.stored[id]; !ok && p.pageOf[id] == pg {
				delete(p.pageOf, id)
			}
		}
		clear(pg.pending)
		pg.urgent = false
		p.updateSize(pg)
	}
}

// movedPart is records that move to a key of their own.
type movedPart struct {
	page    *page
	records map[string]msgpack.RawMessage
}

// records is what a key holds once its pending records are written.
func (pg *page) records() map[string]msgpack.RawMessage {
	recs := maps.Clone(pg.stored)
	for id, w := range pg.pending {
		if w.value == nil {
			delete(recs, id)
		} else {
			recs[id] = w.value
		}
	}
	return recs
}

// split finds unused keys for what a key holds beyond its room.
func (p *RecordTable) split(pg *page, recs map[string]msgpack.RawMessage) (list []movedPart) {
	size, n := 0, 0
	var to *movedPart
	for _, id := range slices.Sorted(maps.Keys(recs)) {
		c := recordSize(id, recs[id])
		if size+c <= p.pageBytes || size == 0 {
			size += c
			if to != nil {
				to.records[id] = recs[id]
			}
			continue
		}
		for ; ; n++ {
			x := p.page(p.prefix + url.PathEscape(pg.class) + "/" + strconv.Itoa(n))
			if x.version == 0 && len(x.stored) == 0 && len(x.pending) == 0 {
				n++
				list = append(list, movedPart{x, map[string]msgpack.RawMessage{id: recs[id]}})
				break
			}
		}
		to, size = &list[len(list)-1], c
	}
	return list
}

// tableWrite is a transaction in the making: the pages in the order of its changes.
type tableWrite struct {
	txn    wire.Txn
	pages  []*page
	size   int
	guards map[string]bool // classes whose owner's guard it carries
}

// add puts a page's records into the transaction.
func (w *tableWrite) add(pg *page, records map[string]msgpack.RawMessage) bool {
	raw, err := wire.Encode(records)
	if err != nil {
		return false
	}
	w.txn.Guards = append(w.txn.Guards, wire.Guard{Key: pg.key, Version: pg.version})
	w.txn.Then = append(w.txn.Then, wire.Op{Key: pg.key, Value: msgpack.RawMessage(raw)})
	w.pages = append(w.pages, pg)
	return true
}

// Write sends what is due, several keys in one transaction, and one transaction
// at a time.
func (p *RecordTable) Write() {
	if p.writing || p.store.now < p.pausedUntil {
		return
	}
	urgent := false
	for _, pg := range p.pages {
		urgent = urgent || pg.urgent && len(pg.pending) > 0 && p.store.now >= pg.due
	}
	w := &tableWrite{guards: map[string]bool{}}
	for _, key := range slices.Sorted(maps.Keys(p.pages)) {
		pg := p.pages[key]
		if !p.mayWrite(pg, w, urgent) {
			continue
		}
		if split := p.addPage(w, pg); split {
			break // it has the transaction for itself and its parts
		}
	}
	if len(w.pages) > 0 {
		p.send(w, urgent)
	}
}

// mayWrite tells whether a page is due and fits the transaction. What nobody waits for goes
// when changes are to spare, and alone. Guards against jobs whose records, and machines that,
// waited behind it for minutes.
func (p *RecordTable) mayWrite(pg *page, w *tableWrite, urgent bool) bool {
	changes := len(w.txn.Then)
	if len(pg.pending) == 0 || p.store.now < pg.due || changes >= p.store.MaxWrites() || w.size+pg.size > limits.PageTxn {
		return false
	}
	if urgent != pg.urgent || (!urgent && !p.store.CanSpare(changes+1)) {
		return false
	}
	return p.guard(pg.class).Version != 0 // else it is not ours to write
}

// addPage adds a page to the transaction, and what it holds beyond its room to other keys. It
// tells whether it was split. Guards against a key that was filled under larger limits and
// would be refused for ever.
func (p *RecordTable) addPage(w *tableWrite, pg *page) (split bool) {
	records := pg.records()
	var moved []movedPart
	if pg.size > p.pageBytes && len(records) > 1 {
		moved = p.split(pg, records)
		changes := len(w.txn.Then)
		if len(moved) > 0 && changes > 0 && changes+1+len(moved) > p.store.MaxWrites() {
			return false // alone, next time
		}
		moved = moved[:min(len(moved), max(0, p.store.MaxWrites()-1))]
		for _, part := range moved {
			for id := range part.records {
				delete(records, id)
			}
		}
	}
	if !w.guards[pg.class] {
		w.guards[pg.class] = true
		w.txn.Guards = append(w.txn.Guards, p.guard(pg.class))
	}
	if !w.add(pg, records) {
		return false
	}
	w.size += pg.size
	pg.urgent = false
	for _, part := range moved {
		w.add(part.page, part.records)
	}
	return len(moved) > 0
}

// send sends a transaction.
func (p *RecordTable) send(w *tableWrite, urgent bool) {
	prio := Progress
	if urgent {
		prio = Records
	}
	p.writing = true
	p.store.Txn(prio, limits.StoreTimeout, w.txn, func(r Reply) {
		p.writing = false
		var tr wire.TxnReply
		if r.Status != OK || wire.Decode(r.Body, &tr) != nil {
			// The mirror tells if it was carried out after all; what is pending stays.
			p.pausedUntil = p.store.now + limits.StoreBackoff
			for _, pg := range w.pages {
				pg.urgent = pg.urgent || urgent
			}
			return
		}
		// Those that were moved to first: a record is never gone in between.
		for i := len(w.pages) - 1; i >= 0; i-- {
			p.store.Mirror.Put(w.pages[i].key, w.txn.Then[i].Value.(msgpack.RawMessage), tr.Revision)
		}
	})
}
