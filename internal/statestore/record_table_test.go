package statestore

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"umberpaddle/internal/wire"
)

// TestMain makes the drawn inputs the same in every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// shelf is a pack at a state service that may lose answers.
type shelf struct {
	s       *Store
	p       *RecordTable
	now     time.Duration
	known   map[string]string // as told to the pack's user
	keys    map[string][]byte // as the state service has them
	version map[string]uint64
	rev     uint64
	term    uint64
	writes  int
	limit   int // bytes of a value
}

func newShelf(t interface{ Fatalf(string, ...any) }) *shelf {
	h := &shelf{s: New(1000, 1000, 8, 4), known: map[string]string{}, keys: map[string][]byte{}, version: map[string]uint64{}, rev: 10, term: 3, limit: 4096}
	h.p = NewRecordTable(h.s, "u/x/", func(class string) wire.Guard { return wire.Guard{Key: "u/own/" + class, Version: h.term} },
		func(id, class string, v msgpack.RawMessage, gone bool) {
			var text string
			if gone {
				delete(h.known, id)
			} else if err := wire.Decode(v, &text); err != nil {
				t.Fatalf("%s: %v", id, err)
			} else {
				h.known[id] = class + ":" + text
			}
		})
	h.s.Mirror.Loaded, h.s.Mirror.requestInFlight = true, true // the test plays the watch
	return h
}

// step lets time pass. fate says what becomes of a transaction: 0 it is answered,
// 1 its answer is lost, 2 it is lost.
func (h *shelf) step(t interface{ Fatalf(string, ...any) }, fate func() int) {
	h.now += 2 * time.Second
	h.s.Tick(h.now)
	h.p.Write()
	for _, c := range h.s.Tick(h.now) {
		txn := c.Body.(wire.Txn)
		if len(txn.Then) > h.s.TxnOps || len(txn.Guards) > 4*h.s.TxnOps {
			t.Fatalf("%d changes and %d conditions", len(txn.Then), len(txn.Guards))
		}
		what := fate()
		if what == 2 {
			h.s.Reply(h.now, c.ID, 0, nil)
			continue
		}
		failed := false
		for _, g := range txn.Guards {
			if g.Key != "u/own/c" && g.Key != "u/own/d" && h.version[g.Key] != g.Version {
				failed = true
			}
		}
		if failed {
			h.s.Reply(h.now, c.ID, 409, nil)
			continue
		}
		h.rev++
		for _, op := range txn.Then {
			h.writes++
			raw := []byte(op.Value.(msgpack.RawMessage))
			h.keys[op.Key], h.version[op.Key] = raw, h.rev
			var v map[string]string
			if err := wire.Decode(raw, &v); err != nil {
				t.Fatalf("%v", err)
			}
			if text, _ := json.Marshal(v); len(text) > h.limit {
				t.Fatalf("%s has %d bytes", op.Key, len(text))
			}
		}
		if what == 0 {
			raw, _ := wire.Encode(wire.TxnReply{Revision: h.rev})
			h.s.Reply(h.now, c.ID, 200, raw)
		} else {
			h.s.Reply(h.now, c.ID, 0, nil)
		}
	}
	for key, raw := range h.keys { // the watch
		h.s.Mirror.Put(key, raw, h.version[key])
	}
	for _, c := range h.s.Mirror.TakeChanges() {
		h.p.Apply(c)
	}
}

// TestPackHoldsWhatWasWished: whatever becomes of the transactions, in the end the
// state service has what was wished last, and the user was told of just that.
func TestPackHoldsWhatWasWished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newShelf(t)
		want := map[string]string{}
		for i := rapid.IntRange(1, 60).Draw(t, "steps"); i > 0; i-- {
			id := fmt.Sprintf("i-%06d", rapid.IntRange(0, 120).Draw(t, "id"))
			class := "c"
			if id >= "i-000060" {
				class = "d"
			}
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				h.p.Remove(id, 0)
				delete(want, id)
			} else {
				text := fmt.Sprint(rapid.IntRange(0, 1<<40).Draw(t, "value"))
				h.p.Set(class, id, text, time.Duration(rapid.IntRange(0, 1).Draw(t, "wait"))*time.Second)
				want[id] = class + ":" + text
			}
			if rapid.Bool().Draw(t, "step") {
				h.step(t, func() int { return rapid.IntRange(0, 2).Draw(t, "fate") })
			}
		}
		for i := 0; i < 6; i++ {
			h.step(t, func() int { return 0 })
		}
		if d := cmp.Diff(want, h.known); d != "" {
			t.Fatalf("want, known: %s", d)
		}
	})
}

// TestFullKeysAreSplit guards against a key that was filled under larger limits and is
// refused for ever under smaller ones: what is too much moves to other keys, nothing is
// lost or told as gone, and every write fits.
func TestFullKeysAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newShelf(t)
		want := map[string]string{}
		set := func(i int, text string) {
			id := fmt.Sprintf("i-%06d", i)
			h.p.Set("c", id, text, 0)
			want[id] = "c:" + text
		}
		records := rapid.IntRange(40, 200).Draw(t, "records")
		for i := 0; i < records; i++ {
			set(i, "a zone and a time")
		}
		for i := 0; i < 4; i++ {
			h.step(t, func() int { return 0 })
		}
		h.p.pageBytes, h.s.TxnOps, h.limit = 768, 4, 1024
		for i := rapid.IntRange(1, 30).Draw(t, "steps"); i > 0; i-- {
			if n := rapid.IntRange(0, 250).Draw(t, "id"); rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				id := fmt.Sprintf("i-%06d", n)
				h.p.Remove(id, 0)
				delete(want, id)
			} else {
				set(n, fmt.Sprint(rapid.IntRange(0, 1<<40).Draw(t, "value")))
			}
			if rapid.Bool().Draw(t, "step") {
				h.step(t, func() int { return rapid.IntRange(0, 2).Draw(t, "fate") })
			}
		}
		for i := 0; i < 20; i++ {
			h.step(t, func() int { return 0 })
		}
		if d := cmp.Diff(want, h.known); d != "" {
			t.Fatalf("want, known: %s", d)
		}
	})
}

// TestPackSparesChanges guards against a fleet that waits for minutes until each
// machine has a key of its own.
func TestPackSparesChanges(t *testing.T) {
	h := newShelf(t)
	for i := 0; i < 300; i++ {
		h.p.Set("c", fmt.Sprintf("i-%06d", i), "a zone and a time", 0)
	}
	for i := 0; i < 4; i++ {
		h.step(t, func() int { return 0 })
	}
	if len(h.known) != 300 || h.writes > 12 {
		t.Errorf("%d records known after %d changes", len(h.known), h.writes)
	}
}

// TestPackOfAnotherOwnerIsNotWritten: without the claim nothing goes out, not even
// under the condition that nobody has it.
func TestPackOfAnotherOwnerIsNotWritten(t *testing.T) {
	h := newShelf(t)
	h.term = 0
	h.p.Set("c", "i-1", "x", 0)
	h.step(t, func() int { return 0 })
	if h.writes != 0 {
		t.Error("written without a claim")
	}
	h.p.Forget("c")
	h.term = 7
	h.step(t, func() int { return 0 })
	if h.writes != 0 {
		t.Error("a forgotten wish was written")
	}
}

// TestUsersGoBeforeBatches: what machines and done bits have used up must not make
// a submission wait.
func TestUsersGoBeforeBatches(t *testing.T) {
	s := New(150, 20, 8, 4)
	s.Mirror.requestInFlight = true
	s.SetShare(0.2, 0.2)
	s.Tick(time.Second)
	for i := 0; i < 50; i++ {
		s.Txn(Progress, 0, wire.Txn{Then: []wire.Op{{Key: "x"}}}, func(Reply) {})
	}
	for now := time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		for _, c := range s.Tick(now) {
			s.Reply(now, c.ID, 200, nil)
		}
	}
	if w := s.WriteWait(User); w > 0 {
		t.Errorf("a submission would wait for %v", w)
	}
}
