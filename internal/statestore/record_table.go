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

// RecordTable stores many small records of a class in few keys, PREFIX/CLASS/N, which
// the owner of the class writes. The state service limits writes of keys, not of bytes:
// with a key of its own for each of several hundred machines and jobs, storing them
// would take minutes. A written record takes effect, on this node as on every other,
// only when it appears in the mirror.
type RecordTable struct {
	store         *Store
	prefix        string
	maxPageBytes  int                           // most bytes of records in one page
	guard         func(class string) wire.Guard // of the class's ownership; version 0: not owned by this node
	apply         func(id, class string, value msgpack.RawMessage, removed bool)
	pages         map[string]*tablePage // by key
	pageOf        map[string]*tablePage // by record ID
	writeInFlight bool
	pausedUntil   time.Duration // no transaction is sent before this time
}

// tablePage is one key of a record table, with the records stored under the key.
type tablePage struct {
	class   string
	key     string
	version uint64
	stored  map[string]msgpack.RawMessage // records in the mirror
	pending map[string]pendingRecord      // changes that are not in the mirror yet
	size    int                           // bytes of the records once the pending ones are written
	due     time.Duration                 // pending records are written from this time on
	urgent  bool                          // a job or machine waits for a pending record
}

// pendingRecord is a requested change of a record.
type pendingRecord struct {
	value msgpack.RawMessage // nil: remove the record
}

// NewRecordTable returns a table of the records under prefix, which ends in a slash.
// apply is called for every record that is added, changed or removed in the mirror, by
// this or another node. guard returns the guard of a class's ownership, with version 0
// if this node does not own the class.
func NewRecordTable(s *Store, prefix string, guard func(class string) wire.Guard, apply func(id, class string, value msgpack.RawMessage, removed bool)) *RecordTable {
	return &RecordTable{store: s, prefix: prefix, maxPageBytes: min(int(s.MaxValueBytes*limits.PageFillShare), limits.MaxPageBytes), guard: guard, apply: apply,
		pages: map[string]*tablePage{}, pageOf: map[string]*tablePage{}}
}

// recordSize estimates the bytes of a record in JSON, the form in which the state service
// measures its limits.
func recordSize(id string, value msgpack.RawMessage) int { return len(id) + 2*len(value) + 8 }

// getOrAddPage returns the page of a key. It adds the page if there is none.
func (t *RecordTable) getOrAddPage(key string) *tablePage {
	page := t.pages[key]
	if page == nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(key, t.prefix), "/")
		if unescaped, err := url.PathUnescape(class); err == nil {
			class = unescaped
		}
		page = &tablePage{class: class, key: key, stored: map[string]msgpack.RawMessage{}, pending: map[string]pendingRecord{}}
		t.pages[key] = page
	}
	return page
}

// Apply updates the table from a change of the mirror.
func (t *RecordTable) Apply(change Change) {
	if rest, ok := strings.CutPrefix(change.Key, t.prefix); !ok || !strings.Contains(rest, "/") {
		return
	}
	records := map[string]msgpack.RawMessage{}
	if !change.Removed && wire.Decode(change.Entry.Value, &records) != nil {
		return
	}
	page := t.getOrAddPage(change.Key)
	page.version = change.Entry.Version
	if change.Removed {
		page.version = 0
	}
	before := page.stored
	page.stored = records
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := records[id]; !ok && t.pageOf[id] == page {
			t.applyRemoval(page, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(records)) {
		value := records[id]
		if pendingChange, ok := page.pending[id]; ok && bytes.Equal(pendingChange.value, value) {
			delete(page.pending, id)
		}
		if oldPage := t.pageOf[id]; oldPage != nil && oldPage != page {
			t.applyMove(oldPage, page, id, value)
		}
		t.pageOf[id] = page
		if old, ok := before[id]; !ok || !bytes.Equal(old, value) {
			t.apply(id, page.class, value, false)
		}
	}
	t.updateSize(page)
}

// applyRemoval removes a record that is no longer in its page from the table, unless a pending change
// writes the record again, and reports the removal to apply.
func (t *RecordTable) applyRemoval(page *tablePage, id string) {
	if pendingChange, ok := page.pending[id]; !ok || pendingChange.value == nil {
		delete(t.pageOf, id)
		delete(page.pending, id)
	}
	t.apply(id, page.class, nil, true)
}

// applyMove moves the pending change of a record, if there is one, to the page in which the record now
// is. A change that is already stored there is dropped.
func (t *RecordTable) applyMove(from, to *tablePage, id string, value msgpack.RawMessage) {
	pendingChange, ok := from.pending[id]
	if !ok {
		return
	}
	delete(from.pending, id)
	if !bytes.Equal(pendingChange.value, value) {
		to.pending[id] = pendingChange
		to.due = min(to.due, from.due)
		to.urgent = to.urgent || from.urgent
	}
	t.updateSize(from)
}

// StoredValue returns a record as it is in the mirror.
func (t *RecordTable) StoredValue(id string) (msgpack.RawMessage, bool) {
	if page := t.pageOf[id]; page != nil {
		value, ok := page.stored[id]
		return value, ok
	}
	return nil, false
}

func (t *RecordTable) updateSize(page *tablePage) {
	page.size = 0
	for id, value := range page.stored {
		if _, ok := page.pending[id]; !ok {
			page.size += recordSize(id, value)
		}
	}
	for id, pendingChange := range page.pending {
		if pendingChange.value != nil {
			page.size += recordSize(id, pendingChange.value)
		}
	}
}

// Set requests that a record is written. The write may be delayed by up to wait, to be
// batched with others. With wait 0 the record is urgent: it is written as soon as
// possible, together with all other pending records of its page.
func (t *RecordTable) Set(class, id string, value any, wait time.Duration) {
	t.set(class, id, value, wait, wait == 0)
}

// SetUrgent requests that an urgent record is written. The write may be delayed by up to wait, as with
// Set.
func (t *RecordTable) SetUrgent(class, id string, value any, wait time.Duration) {
	t.set(class, id, value, wait, true)
}

func (t *RecordTable) set(class, id string, value any, wait time.Duration, urgent bool) {
	raw, err := wire.Encode(value)
	if err != nil {
		return
	}
	page := t.pageOf[id]
	if page == nil {
		page = t.pageWithRoom(class, recordSize(id, raw))
		t.pageOf[id] = page
	}
	t.setPending(page, id, raw, wait, urgent)
}

// Remove requests that a record is removed. The write may be delayed by up to wait; with wait 0 it is
// urgent.
func (t *RecordTable) Remove(id string, wait time.Duration) {
	if page := t.pageOf[id]; page != nil {
		t.setPending(page, id, nil, wait, wait == 0)
	}
}

// setPending makes value the pending value of a record in its page; nil removes the record.
func (t *RecordTable) setPending(page *tablePage, id string, value msgpack.RawMessage, wait time.Duration, urgent bool) {
	if old, ok := page.pending[id]; ok {
		if bytes.Equal(old.value, value) && (!urgent || page.urgent) {
			return
		}
		if old.value != nil {
			page.size -= recordSize(id, old.value)
		}
	} else if old, ok := page.stored[id]; ok {
		if value != nil && bytes.Equal(old, value) {
			return
		}
		page.size -= recordSize(id, old)
	}
	if value != nil {
		page.size += recordSize(id, value)
	}
	if dueAt := t.store.now + wait; len(page.pending) == 0 || dueAt < page.due {
		page.due = dueAt
	}
	page.urgent = page.urgent || urgent
	page.pending[id] = pendingRecord{value}
}

// pageWithRoom returns a page of a class that has room for a new record.
func (t *RecordTable) pageWithRoom(class string, size int) *tablePage {
	for pageNumber := 0; ; pageNumber++ {
		page := t.getOrAddPage(t.prefix + url.PathEscape(class) + "/" + strconv.Itoa(pageNumber))
		if page.size+size <= t.maxPageBytes || page.size == 0 {
			return page
		}
	}
}

// DropPending drops the pending changes of a class that this node no longer owns.
func (t *RecordTable) DropPending(class string) {
	for _, page := range t.pages {
		if page.class != class {
			continue
		}
		for id := range page.pending {
			if _, ok := page.stored[id]; !ok && t.pageOf[id] == page {
				delete(t.pageOf, id)
			}
		}
		clear(page.pending)
		page.urgent = false
		t.updateSize(page)
	}
}

// movedPart is a set of records that move to another page when a page is split.
type movedPart struct {
	page    *tablePage
	records map[string]msgpack.RawMessage
}

// records returns the records of a page as they are once its pending changes are written.
func (page *tablePage) records() map[string]msgpack.RawMessage {
	records := maps.Clone(page.stored)
	for id, pendingChange := range page.pending {
		if pendingChange.value == nil {
			delete(records, id)
		} else {
			records[id] = pendingChange.value
		}
	}
	return records
}

// split assigns the records that exceed a page's limit to unused pages. The result
// contains only the records that move.
func (t *RecordTable) split(page *tablePage, records map[string]msgpack.RawMessage) (parts []movedPart) {
	size, pageNumber := 0, 0
	var lastPart *movedPart
	for _, id := range slices.Sorted(maps.Keys(records)) {
		bytesNeeded := recordSize(id, records[id])
		if size+bytesNeeded <= t.maxPageBytes || size == 0 {
			size += bytesNeeded
			if lastPart != nil {
				lastPart.records[id] = records[id]
			}
			continue
		}
		for ; ; pageNumber++ {
			unusedPage := t.getOrAddPage(t.prefix + url.PathEscape(page.class) + "/" + strconv.Itoa(pageNumber))
			if unusedPage.version == 0 && len(unusedPage.stored) == 0 && len(unusedPage.pending) == 0 {
				pageNumber++
				parts = append(parts, movedPart{unusedPage, map[string]msgpack.RawMessage{id: records[id]}})
				break
			}
		}
		lastPart, size = &parts[len(parts)-1], bytesNeeded
	}
	return parts
}

// tableWrite is a transaction under construction. txn.Then[i] writes pages[i].
type tableWrite struct {
	txn            wire.Txn
	pages          []*tablePage
	size           int             // bytes of the records
	guardedClasses map[string]bool // classes whose ownership guard is in the transaction
}

// add adds a page's records to the transaction. It reports whether they could be encoded.
func (w *tableWrite) add(page *tablePage, records map[string]msgpack.RawMessage) bool {
	raw, err := wire.Encode(records)
	if err != nil {
		return false
	}
	w.txn.Guards = append(w.txn.Guards, wire.Guard{Key: page.key, Version: page.version})
	w.txn.Then = append(w.txn.Then, wire.Op{Key: page.key, Value: msgpack.RawMessage(raw)})
	w.pages = append(w.pages, page)
	return true
}

// Write sends the pages that are due, several in one transaction. It does nothing while
// an earlier transaction is in flight.
func (t *RecordTable) Write() {
	if t.writeInFlight || t.store.now < t.pausedUntil {
		return
	}
	urgent := false
	for _, page := range t.pages {
		urgent = urgent || page.urgent && len(page.pending) > 0 && t.store.now >= page.due
	}
	write := &tableWrite{guardedClasses: map[string]bool{}}
	for _, key := range slices.Sorted(maps.Keys(t.pages)) {
		page := t.pages[key]
		if !t.mayWrite(page, write, urgent) {
			continue
		}
		if split := t.addPage(write, page); split {
			break // a transaction that splits a page takes no more pages
		}
	}
	if len(write.pages) > 0 {
		t.queueWrite(write, urgent)
	}
}

// mayWrite reports whether a page is due, is owned by this node and fits into the
// transaction. Pages that are not urgent go into separate transactions, and only when the
// write budget has tokens to spare. Otherwise jobs and machines that need their records
// stored would wait behind them for minutes.
func (t *RecordTable) mayWrite(page *tablePage, write *tableWrite, urgent bool) bool {
	writes := len(write.txn.Then)
	if len(page.pending) == 0 || t.store.now < page.due || writes >= t.store.MaxWrites() || write.size+page.size > limits.MaxPageTxnBytes {
		return false
	}
	if urgent != page.urgent || (!urgent && !t.store.CanSpareWrites(writes+1)) {
		return false
	}
	return t.guard(page.class).Version != 0 // 0: this node does not own the class
}

// addPage adds a page to the transaction. Records that exceed the page's limit move to
// other pages in the same transaction; addPage reports whether any did. Without such a
// split, the state service would keep rejecting a page that was filled under larger limits.
func (t *RecordTable) addPage(write *tableWrite, page *tablePage) (split bool) {
	records := page.records()
	var movedParts []movedPart
	if page.size > t.maxPageBytes && len(records) > 1 {
		movedParts = t.split(page, records)
		writes := len(write.txn.Then)
		if len(movedParts) > 0 && writes > 0 && writes+1+len(movedParts) > t.store.MaxWrites() {
			return false // too large to share this transaction; gets one of its own later
		}
		movedParts = movedParts[:min(len(movedParts), max(0, t.store.MaxWrites()-1))]
		for _, part := range movedParts {
			for id := range part.records {
				delete(records, id)
			}
		}
	}
	if !write.guardedClasses[page.class] {
		write.guardedClasses[page.class] = true
		write.txn.Guards = append(write.txn.Guards, t.guard(page.class))
	}
	if !write.add(page, records) {
		return false
	}
	write.size += page.size
	page.urgent = false
	for _, part := range movedParts {
		write.add(part.page, part.records)
	}
	return len(movedParts) > 0
}

// queueWrite queues the transaction, and applies its result to the mirror when the reply arrives.
func (t *RecordTable) queueWrite(write *tableWrite, urgent bool) {
	priority := PriorityProgress
	if urgent {
		priority = PriorityRecords
	}
	t.writeInFlight = true
	t.store.Txn(priority, limits.StoreTimeout, write.txn, func(reply Reply) {
		t.writeInFlight = false
		var txnReply wire.TxnReply
		if reply.Status != OK || wire.Decode(reply.Body, &txnReply) != nil {
			// The transaction may have been executed nevertheless. Its records stay
			// pending until they appear in the mirror.
			t.pausedUntil = t.store.now + limits.StoreBackoff
			for _, page := range write.pages {
				page.urgent = page.urgent || urgent
			}
			return
		}
		// The pages that records moved to come last in w.pages and are applied first, so
		// that no moved record is missing in between.
		for i := len(write.pages) - 1; i >= 0; i-- {
			t.store.Mirror.Put(write.pages[i].key, write.txn.Then[i].Value.(msgpack.RawMessage), txnReply.Revision)
		}
	})
}
