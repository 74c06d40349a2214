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

// Pack keeps many small records of a class's owner in few keys, PREFIX/CLASS/N.
// The state service counts changes of keys, not bytes: with a key for each of
// some hundred machines and jobs, a fleet waited for minutes until it was
// written down. Records become known, here as at every other node, only by the
// mirror.
type Pack struct {
	s      *Store
	prefix string
	room   int // bytes of a key's records
	guard  func(class string) wire.Guard
	apply  func(id, class string, value msgpack.RawMessage, gone bool)
	sheets map[string]*sheet // by key
	of     map[string]*sheet // by record
	busy   bool
	pause  time.Duration // no writing before this
}

// sheet is one key of a pack.
type sheet struct {
	class   string
	key     string
	version uint64
	stored  map[string]msgpack.RawMessage
	wishes  map[string]wished
	size    int
	due     time.Duration // when the wishes are to be written
	urgent  bool
}

type wished struct {
	value msgpack.RawMessage // nil: to be removed
}

// NewPack makes the records below prefix, which ends in a slash. apply is told
// of every record that appears, changes or goes, whoever wrote it.
func NewPack(s *Store, prefix string, guard func(class string) wire.Guard, apply func(id, class string, value msgpack.RawMessage, gone bool)) *Pack {
	return &Pack{s: s, prefix: prefix, room: min(int(s.ValueBytes*limits.PackFill), limits.PackMost), guard: guard, apply: apply,
		sheets: map[string]*sheet{}, of: map[string]*sheet{}}
}

// cost reckons a record's bytes in the JSON form in which limits are measured.
func cost(id string, value msgpack.RawMessage) int { return len(id) + 2*len(value) + 8 }

func (p *Pack) sheet(key string) *sheet {
	sh := p.sheets[key]
	if sh == nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(key, p.prefix), "/")
		if c, err := url.PathUnescape(class); err == nil {
			class = c
		}
		sh = &sheet{class: class, key: key, stored: map[string]msgpack.RawMessage{}, wishes: map[string]wished{}}
		p.sheets[key] = sh
	}
	return sh
}

// Apply follows a change of the mirror.
func (p *Pack) Apply(c Change) {
	if rest, ok := strings.CutPrefix(c.Key, p.prefix); !ok || !strings.Contains(rest, "/") {
		return
	}
	recs := map[string]msgpack.RawMessage{}
	if !c.Removed && wire.Decode(c.Entry.Value, &recs) != nil {
		return
	}
	sh := p.sheet(c.Key)
	sh.version = c.Entry.Version
	if c.Removed {
		sh.version = 0
	}
	before := sh.stored
	sh.stored = recs
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := recs[id]; !ok && p.of[id] == sh {
			if w, ok := sh.wishes[id]; !ok || w.value == nil {
				delete(p.of, id)
				delete(sh.wishes, id)
			}
			p.apply(id, sh.class, nil, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recs)) {
		v := recs[id]
		if w, ok := sh.wishes[id]; ok && bytes.Equal(w.value, v) {
			delete(sh.wishes, id)
		}
		if was := p.of[id]; was != nil && was != sh {
			// It moved: what is still wished for goes along.
			if w, ok := was.wishes[id]; ok {
				delete(was.wishes, id)
				if !bytes.Equal(w.value, v) {
					sh.wishes[id] = w
					sh.due = min(sh.due, was.due)
					sh.urgent = sh.urgent || was.urgent
				}
				p.weigh(was)
			}
		}
		p.of[id] = sh
		if old, ok := before[id]; !ok || !bytes.Equal(old, v) {
			p.apply(id, sh.class, v, false)
		}
	}
	p.weigh(sh)
}

// Stored returns a record as the mirror has it.
func (p *Pack) Stored(id string) (msgpack.RawMessage, bool) {
	if sh := p.of[id]; sh != nil {
		v, ok := sh.stored[id]
		return v, ok
	}
	return nil, false
}

func (p *Pack) weigh(sh *sheet) {
	sh.size = 0
	for id, v := range sh.stored {
		if _, ok := sh.wishes[id]; !ok {
			sh.size += cost(id, v)
		}
	}
	for id, w := range sh.wishes {
		if w.value != nil {
			sh.size += cost(id, w.value)
		}
	}
}

// Set wishes for a record, to be written within wait; without a wait it is
// urgent, and goes with everything else that waits for its key.
func (p *Pack) Set(class, id string, value any, wait time.Duration) {
	p.set(class, id, value, wait, wait == 0)
}

// Need is Set for a record that is urgent although it may wait for others to go with.
func (p *Pack) Need(class, id string, value any, wait time.Duration) {
	p.set(class, id, value, wait, true)
}

func (p *Pack) set(class, id string, value any, wait time.Duration, urgent bool) {
	raw, err := wire.Encode(value)
	if err != nil {
		return
	}
	sh := p.of[id]
	if sh == nil {
		sh = p.place(class, cost(id, raw))
		p.of[id] = sh
	}
	p.wish(sh, id, raw, wait, urgent)
}

// Remove wishes a record away, within wait.
func (p *Pack) Remove(id string, wait time.Duration) {
	if sh := p.of[id]; sh != nil {
		p.wish(sh, id, nil, wait, wait == 0)
	}
}

func (p *Pack) wish(sh *sheet, id string, value msgpack.RawMessage, wait time.Duration, urgent bool) {
	if old, ok := sh.wishes[id]; ok {
		if bytes.Equal(old.value, value) && (!urgent || sh.urgent) {
			return
		}
		if old.value != nil {
			sh.size -= cost(id, old.value)
		}
	} else if old, ok := sh.stored[id]; ok {
		if value != nil && bytes.Equal(old, value) {
			return
		}
		sh.size -= cost(id, old)
	}
	if value != nil {
		sh.size += cost(id, value)
	}
	if at := p.s.now + wait; len(sh.wishes) == 0 || at < sh.due {
		sh.due = at
	}
	sh.urgent = sh.urgent || urgent
	sh.wishes[id] = wished{value}
}

// place finds a key with room for a new record of a class.
func (p *Pack) place(class string, size int) *sheet {
	for n := 0; ; n++ {
		sh := p.sheet(p.prefix + url.PathEscape(class) + "/" + strconv.Itoa(n))
		if sh.size+size <= p.room || sh.size == 0 {
			return sh
		}
	}
}

// Forget drops the wishes for a class that this node owns no more.
func (p *Pack) Forget(class string) {
	for _, sh := range p.sheets {
		if sh.class != class {
			continue
		}
		for id := range sh.wishes {
			if _, ok := sh.stored[id]; !ok && p.of[id] == sh {
				delete(p.of, id)
			}
		}
		clear(sh.wishes)
		sh.urgent = false
		p.weigh(sh)
	}
}

// part is records that move to a key of their own.
type part struct {
	sheet *sheet
	recs  map[string]msgpack.RawMessage
}

// records is what a key holds once its wishes are written.
func (sh *sheet) records() map[string]msgpack.RawMessage {
	recs := maps.Clone(sh.stored)
	for id, w := range sh.wishes {
		if w.value == nil {
			delete(recs, id)
		} else {
			recs[id] = w.value
		}
	}
	return recs
}

// split finds unused keys for what a key holds beyond its room.
func (p *Pack) split(sh *sheet, recs map[string]msgpack.RawMessage) (list []part) {
	size, n := 0, 0
	var to *part
	for _, id := range slices.Sorted(maps.Keys(recs)) {
		c := cost(id, recs[id])
		if size+c <= p.room || size == 0 {
			size += c
			if to != nil {
				to.recs[id] = recs[id]
			}
			continue
		}
		for ; ; n++ {
			x := p.sheet(p.prefix + url.PathEscape(sh.class) + "/" + strconv.Itoa(n))
			if x.version == 0 && len(x.stored) == 0 && len(x.wishes) == 0 {
				n++
				list = append(list, part{x, map[string]msgpack.RawMessage{id: recs[id]}})
				break
			}
		}
		to, size = &list[len(list)-1], c
	}
	return list
}

// Write sends what is due, several keys in one transaction, and one transaction
// at a time.
func (p *Pack) Write() {
	if p.busy || p.s.now < p.pause {
		return
	}
	var t wire.Txn
	var sent []*sheet
	guards := map[string]bool{}
	total, urgent := 0, false
	for _, sh := range p.sheets {
		urgent = urgent || sh.urgent && len(sh.wishes) > 0 && p.s.now >= sh.due
	}
	for _, key := range slices.Sorted(maps.Keys(p.sheets)) {
		sh := p.sheets[key]
		if len(sh.wishes) == 0 || p.s.now < sh.due || len(t.Then) >= p.s.MaxWrites() || total+sh.size > limits.PackTxn {
			continue
		}
		// What nobody waits for goes when changes are to spare, and alone. Guards
		// against jobs whose records, and machines that, waited behind it for minutes.
		if urgent != sh.urgent || (!urgent && !p.s.Spare(len(t.Then)+1)) {
			continue
		}
		g := p.guard(sh.class)
		if g.Version == 0 {
			continue // not ours to write
		}
		recs := sh.records()
		// Guards against a key that was filled under larger limits and would be refused
		// for ever: what is too much moves to others, in the same transaction.
		var moved []part
		if sh.size > p.room && len(recs) > 1 {
			if moved = p.split(sh, recs); len(moved) > 0 && len(t.Then)+1+len(moved) > p.s.MaxWrites() && len(t.Then) > 0 {
				continue // alone, next time
			}
			moved = moved[:min(len(moved), max(0, p.s.MaxWrites()-1))]
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
	p.busy = true
	p.s.Txn(prio, limits.StoreTimeout, t, func(r Reply) {
		p.busy = false
		var tr wire.TxnReply
		if r.Status != OK || wire.Decode(r.Body, &tr) != nil {
			// The mirror tells if it was carried out after all; the wishes stay.
			p.pause = p.s.now + limits.StoreBackoff
			for _, sh := range sent {
				sh.urgent = sh.urgent || urgent
			}
			return
		}
		// Those that were moved to first: a record is never gone in between.
		for i := len(sent) - 1; i >= 0; i-- {
			p.s.Mirror.Put(sent[i].key, t.Then[i].Value.(msgpack.RawMessage), tr.Revision)
		}
	})
}
