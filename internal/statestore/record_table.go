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

// page is one key of a pack.
type page struct {
	class   string
	key     string
	version uint64
	stored  map[string]msgpack.RawMessage
	pending map[string]pendingRecord
	size    int
	due     time.Duration // when the wishes are to be written
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
	sh := p.pages[key]
	if sh == nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(key, p.prefix), "/")
		if c, err := url.PathUnescape(class); err == nil {
			class = c
		}
		sh = &page{class: class, key: key, stored: map[string]msgpack.RawMessage{}, pending: map[string]pendingRecord{}}
		p.pages[key] = sh
	}
	return sh
}

// Apply follows a change of the mirror.
func (p *RecordTable) Apply(c Change) {
	if rest, ok := strings.CutPrefix(c.Key, p.prefix); !ok || !strings.Contains(rest, "/") {
		return
	}
	recs := map[string]msgpack.RawMessage{}
	if !c.Removed && wire.Decode(c.Entry.Value, &recs) != nil {
		return
	}
	sh := p.page(c.Key)
	sh.version = c.Entry.Version
	if c.Removed {
		sh.version = 0
	}
	before := sh.stored
	sh.stored = recs
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := recs[id]; !ok && p.pageOf[id] == sh {
			if w, ok := sh.pending[id]; !ok || w.value == nil {
				delete(p.pageOf, id)
				delete(sh.pending, id)
			}
			p.apply(id, sh.class, nil, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recs)) {
		v := recs[id]
		if w, ok := sh.pending[id]; ok && bytes.Equal(w.value, v) {
			delete(sh.pending, id)
		}
		if was := p.pageOf[id]; was != nil && was != sh {
			// It moved: what is still wished for goes along.
			if w, ok := was.pending[id]; ok {
				delete(was.pending, id)
				if !bytes.Equal(w.value, v) {
					sh.pending[id] = w
					sh.due = min(sh.due, was.due)
					sh.urgent = sh.urgent || was.urgent
				}
				p.updateSize(was)
			}
		}
		p.pageOf[id] = sh
		if old, ok := before[id]; !ok || !bytes.Equal(old, v) {
			p.apply(id, sh.class, v, false)
		}
	}
	p.updateSize(sh)
}

// Stored returns a record as the mirror has it.
func (p *RecordTable) Stored(id string) (msgpack.RawMessage, bool) {
	if sh := p.pageOf[id]; sh != nil {
		v, ok := sh.stored[id]
		return v, ok
	}
	return nil, false
}

func (p *RecordTable) updateSize(sh *page) {
	sh.size = 0
	for id, v := range sh.stored {
		if _, ok := sh.pending[id]; !ok {
			sh.size += recordSize(id, v)
		}
	}
	for id, w := range sh.pending {
		if w.value != nil {
			sh.size += recordSize(id, w.value)
		}
	}
}

// Set wishes for a record, to be written within wait; without a wait it is
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
	sh := p.pageOf[id]
	if sh == nil {
		sh = p.pageWithRoom(class, recordSize(id, raw))
		p.pageOf[id] = sh
	}
	p.request(sh, id, raw, wait, urgent)
}

// Remove wishes a record away, within wait.
func (p *RecordTable) Remove(id string, wait time.Duration) {
	if sh := p.pageOf[id]; sh != nil {
		p.request(sh, id, nil, wait, wait == 0)
	}
}

func (p *RecordTable) request(sh *page, id string, value msgpack.RawMessage, wait time.Duration, urgent bool) {
	if old, ok := sh.pending[id]; ok {
		if bytes.Equal(old.value, value) && (!urgent || sh.urgent) {
			return
		}
		if old.value != nil {
			sh.size -= recordSize(id, old.value)
		}
	} else if old, ok := sh.stored[id]; ok {
		if value != nil && bytes.Equal(old, value) {
			return
		}
		sh.size -= recordSize(id, old)
	}
	if value != nil {
		sh.size += recordSize(id, value)
	}
	if at := p.store.now + wait; len(sh.pending) == 0 || at < sh.due {
		sh.due = at
	}
	sh.urgent = sh.urgent || urgent
	sh.pending[id] = pendingRecord{value}
}

// pageWithRoom finds a key with room for a new record of a class.
func (p *RecordTable) pageWithRoom(class string, size int) *page {
	for n := 0; ; n++ {
		sh := p.page(p.prefix + url.PathEscape(class) + "/" + strconv.Itoa(n))
		if sh.size+size <= p.pageBytes || sh.size == 0 {
			return sh
		}
	}
}

// Forget drops the wishes for a class that this node owns no more.
func (p *RecordTable) Forget(class string) {
	for _, sh := range p.pages {
		if sh.class != class {
			continue
		}
		for id := range sh.pending {
			if _, ok := sh.stored[id]; !ok && p.pageOf[id] == sh {
				delete(p.pageOf, id)
			}
		}
		clear(sh.pending)
		sh.urgent = false
		p.updateSize(sh)
	}
}

// movedPart is records that move to a key of their own.
type movedPart struct {
	sheet *page
	recs  map[string]msgpack.RawMessage
}

// records is what a key holds once its wishes are written.
func (sh *page) records() map[string]msgpack.RawMessage {
	recs := maps.Clone(sh.stored)
	for id, w := range sh.pending {
		if w.value == nil {
			delete(recs, id)
		} else {
			recs[id] = w.value
		}
	}
	return recs
}

// split finds unused keys for what a key holds beyond its room.
func (p *RecordTable) split(sh *page, recs map[string]msgpack.RawMessage) (list []movedPart) {
	size, n := 0, 0
	var to *movedPart
	for _, id := range slices.Sorted(maps.Keys(recs)) {
		c := recordSize(id, recs[id])
		if size+c <= p.pageBytes || size == 0 {
			size += c
			if to != nil {
				to.recs[id] = recs[id]
			}
			continue
		}
		for ; ; n++ {
			x := p.page(p.prefix + url.PathEscape(sh.class) + "/" + strconv.Itoa(n))
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

// Write sends what is due, several keys in one transaction, and one transaction
// at a time.
func (p *RecordTable) Write() {
	if p.writing || p.store.now < p.pausedUntil {
		return
	}
	var t wire.Txn
	var sent []*page
	guards := map[string]bool{}
	total, urgent := 0, false
	for _, sh := range p.pages {
		urgent = urgent || sh.urgent && len(sh.pending) > 0 && p.store.now >= sh.due
	}
	for _, key := range slices.Sorted(maps.Keys(p.pages)) {
		sh := p.pages[key]
		if len(sh.pending) == 0 || p.store.now < sh.due || len(t.Then) >= p.store.MaxWrites() || total+sh.size > limits.PageTxn {
			continue
		}
		// What nobody waits for goes when changes are to spare, and alone. Guards
		// against jobs whose records, and machines that, waited behind it for minutes.
		if urgent != sh.urgent || (!urgent && !p.store.CanSpare(len(t.Then)+1)) {
			continue
		}
		g := p.guard(sh.class)
		if g.Version == 0 {
			continue // not ours to write
		}
		recs := sh.records()
		// Guards against a key that was filled under larger limits and would be refused
		// for ever: what is too much moves to others, in the same transaction.
		var moved []movedPart
		if sh.size > p.pageBytes && len(recs) > 1 {
			if moved = p.split(sh, recs); len(moved) > 0 && len(t.Then)+1+len(moved) > p.store.MaxWrites() && len(t.Then) > 0 {
				continue // alone, next time
			}
			moved = moved[:min(len(moved), max(0, p.store.MaxWrites()-1))]
			for _, x := range moved {
				for id := range x.recs {
					delete(recs, id)
				}
			}
		}
		raw, err := wire.Encode(recs)
		if err != nil {
			continue
		}
		if !guards[sh.class] {
			guards[sh.class] = true
			t.Guards = append(t.Guards, g)
		}
		t.Guards = append(t.Guards, wire.Guard{Key: sh.key, Version: sh.version})
		t.Then = append(t.Then, wire.Op{Key: sh.key, Value: msgpack.RawMessage(raw)})
		total += sh.size
		sh.urgent = false
		sent = append(sent, sh)
		for _, x := range moved {
			raw, err := wire.Encode(x.recs)
			if err != nil {
				continue
			}
			t.Guards = append(t.Guards, wire.Guard{Key: x.sheet.key})
			t.Then = append(t.Then, wire.Op{Key: x.sheet.key, Value: msgpack.RawMessage(raw)})
			sent = append(sent, x.sheet)
		}
		if len(moved) > 0 {
			break
		}
	}
	if len(sent) == 0 {
		return
	}
	prio := Progress
	if urgent {
		prio = Roster
	}
	p.writing = true
	p.store.Txn(prio, limits.StoreTimeout, t, func(r Reply) {
		p.writing = false
		var tr wire.TxnReply
		if r.Status != OK || wire.Decode(r.Body, &tr) != nil {
			// The mirror tells if it was carried out after all; the wishes stay.
			p.pausedUntil = p.store.now + limits.StoreBackoff
			for _, sh := range sent {
				sh.urgent = sh.urgent || urgent
			}
			return
		}
		// Those that were moved to first: a record is never gone in between.
		for i := len(sent) - 1; i >= 0; i-- {
			p.store.Mirror.Put(sent[i].key, t.Then[i].Value.(msgpack.RawMessage), tr.Revision)
		}
	})
}
