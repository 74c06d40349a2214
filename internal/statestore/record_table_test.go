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

// TestMain fixes the seed, so that every run draws the same inputs.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// tableHarness runs a record table against a simulated state service that may lose requests
// and replies.
type tableHarness struct {
	store          *Store
	table          *RecordTable
	now            time.Duration
	appliedRecords map[string]string // records reported to the table's apply function, as CLASS:VALUE
	storedValues   map[string][]byte // values stored in the state service
	versions       map[string]uint64 // versions stored in the state service
	revision       uint64            // of the state service
	term           uint64            // version of the ownership guard; 0: not the owner
	writes         int               // number of executed writes
	maxValueBytes  int               // maximum size of a value
}

func newTableHarness(t interface{ Fatalf(string, ...any) }) *tableHarness {
	h := &tableHarness{store: New(1000, 1000, 8, 4), appliedRecords: map[string]string{}, storedValues: map[string][]byte{}, versions: map[string]uint64{}, revision: 10, term: 3, maxValueBytes: 4096}
	h.table = NewRecordTable(h.store, "u/x/", func(class string) wire.Guard { return wire.Guard{Key: "u/own/" + class, Version: h.term} },
		func(id, class string, raw msgpack.RawMessage, removed bool) {
			var value string
			if removed {
				delete(h.appliedRecords, id)
			} else if err := wire.Decode(raw, &value); err != nil {
				t.Fatalf("decode record %s: %v", id, err)
			} else {
				h.appliedRecords[id] = class + ":" + value
			}
		})
	h.store.Mirror.Loaded, h.store.Mirror.requestInFlight = true, true // the harness takes the place of the watch
	return h
}

// step advances the time and executes the transactions that the table sends. nextOutcome returns
// the outcome of each transaction: 0 if it is executed and answered, 1 if it is executed but the
// reply is lost, 2 if the request is lost.
func (h *tableHarness) step(t interface{ Fatalf(string, ...any) }, nextOutcome func() int) {
	h.now += 2 * time.Second
	h.store.Tick(h.now)
	h.table.Write()
	for _, call := range h.store.Tick(h.now) {
		txn := call.Body.(wire.Txn)
		if len(txn.Then) > h.store.MaxTxnOps || len(txn.Guards) > 4*h.store.MaxTxnOps {
			t.Fatalf("a transaction has %d writes and %d guards, more than is allowed", len(txn.Then), len(txn.Guards))
		}
		outcome := nextOutcome()
		if outcome == 2 {
			h.store.HandleReply(h.now, call.ID, 0, nil)
			continue
		}
		failed := false
		for _, g := range txn.Guards {
			if g.Key != "u/own/c" && g.Key != "u/own/d" && h.versions[g.Key] != g.Version {
				failed = true
			}
		}
		if failed {
			h.store.HandleReply(h.now, call.ID, 409, nil)
			continue
		}
		h.revision++
		for _, op := range txn.Then {
			h.writes++
			raw := []byte(op.Value.(msgpack.RawMessage))
			h.storedValues[op.Key], h.versions[op.Key] = raw, h.revision
			var records map[string]string
			if err := wire.Decode(raw, &records); err != nil {
				t.Fatalf("decode a written page: %v", err)
			}
			if text, _ := json.Marshal(records); len(text) > h.maxValueBytes {
				t.Fatalf("%s has %d bytes in JSON, more than is allowed", op.Key, len(text))
			}
		}
		if outcome == 0 {
			raw, _ := wire.Encode(wire.TxnReply{Revision: h.revision})
			h.store.HandleReply(h.now, call.ID, 200, raw)
		} else {
			h.store.HandleReply(h.now, call.ID, 0, nil)
		}
	}
	for key, raw := range h.storedValues { // in place of the watch
		h.store.Mirror.Put(key, raw, h.versions[key])
	}
	for _, c := range h.store.Mirror.TakeChanges() {
		h.table.Apply(c)
	}
}

// TestRecordTableConvergesToLastValues checks that no record is lost, outdated or left over after
// requests or replies of transactions were lost. Once transactions succeed again, the table must
// have applied exactly the last requested values.
func TestRecordTableConvergesToLastValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTableHarness(t)
		want := map[string]string{}
		for i := rapid.IntRange(1, 60).Draw(t, "steps"); i > 0; i-- {
			id := fmt.Sprintf("i-%06d", rapid.IntRange(0, 120).Draw(t, "id"))
			class := "c"
			if id >= "i-000060" {
				class = "d"
			}
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				h.table.Remove(id, 0)
				delete(want, id)
			} else {
				text := fmt.Sprint(rapid.IntRange(0, 1<<40).Draw(t, "value"))
				h.table.Set(class, id, text, time.Duration(rapid.IntRange(0, 1).Draw(t, "wait"))*time.Second)
				want[id] = class + ":" + text
			}
			if rapid.Bool().Draw(t, "step") {
				h.step(t, func() int { return rapid.IntRange(0, 2).Draw(t, "outcome") })
			}
		}
		for i := 0; i < 6; i++ {
			h.step(t, func() int { return 0 })
		}
		if d := cmp.Diff(want, h.appliedRecords); d != "" {
			t.Fatalf("applied records differ (-want +got):\n%s", d)
		}
	})
}

// TestFullKeysAreSplit checks that the records of a key that was filled under larger limits can
// still be written after the limits have shrunk. The excess records must move to other keys, none
// may be lost or reported as removed, and every write must fit the limits.
func TestFullKeysAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTableHarness(t)
		want := map[string]string{}
		set := func(i int, text string) {
			id := fmt.Sprintf("i-%06d", i)
			h.table.Set("c", id, text, 0)
			want[id] = "c:" + text
		}
		records := rapid.IntRange(40, 200).Draw(t, "records")
		for i := 0; i < records; i++ {
			set(i, "a zone and a time")
		}
		for i := 0; i < 4; i++ {
			h.step(t, func() int { return 0 })
		}
		h.table.maxPageBytes, h.store.MaxTxnOps, h.maxValueBytes = 768, 4, 1024
		for i := rapid.IntRange(1, 30).Draw(t, "steps"); i > 0; i-- {
			if n := rapid.IntRange(0, 250).Draw(t, "id"); rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				id := fmt.Sprintf("i-%06d", n)
				h.table.Remove(id, 0)
				delete(want, id)
			} else {
				set(n, fmt.Sprint(rapid.IntRange(0, 1<<40).Draw(t, "value")))
			}
			if rapid.Bool().Draw(t, "step") {
				h.step(t, func() int { return rapid.IntRange(0, 2).Draw(t, "outcome") })
			}
		}
		for i := 0; i < 20; i++ {
			h.step(t, func() int { return 0 })
		}
		if d := cmp.Diff(want, h.appliedRecords); d != "" {
			t.Fatalf("applied records differ (-want +got):\n%s", d)
		}
	})
}

// TestRecordsShareKeys checks that the records of a fleet share keys. If each machine had a key of
// its own, storing the fleet would take minutes.
func TestRecordsShareKeys(t *testing.T) {
	h := newTableHarness(t)
	for i := 0; i < 300; i++ {
		h.table.Set("c", fmt.Sprintf("i-%06d", i), "a zone and a time", 0)
	}
	for i := 0; i < 4; i++ {
		h.step(t, func() int { return 0 })
	}
	if len(h.appliedRecords) != 300 || h.writes > 12 {
		t.Errorf("%d of 300 records applied after %d writes", len(h.appliedRecords), h.writes)
	}
}

// TestRecordsOfAnotherOwnerAreNotWritten checks that nothing is written for a class that this node
// does not own, not even under a guard with version 0, which passes while no node owns the class.
func TestRecordsOfAnotherOwnerAreNotWritten(t *testing.T) {
	h := newTableHarness(t)
	h.term = 0
	h.table.Set("c", "i-1", "x", 0)
	h.step(t, func() int { return 0 })
	if h.writes != 0 {
		t.Error("a record was written without owning its class")
	}
	h.table.DropPending("c")
	h.term = 7
	h.step(t, func() int { return 0 })
	if h.writes != 0 {
		t.Error("a dropped record was written")
	}
}

// TestProgressLeavesTokensForUsers checks that submissions do not wait because writes of machine
// records and done sets have used up the write budget.
func TestProgressLeavesTokensForUsers(t *testing.T) {
	store := New(150, 20, 8, 4)
	store.Mirror.requestInFlight = true
	store.SetShare(0.2, 0.2)
	store.Tick(time.Second)
	for i := 0; i < 50; i++ {
		store.Txn(PriorityProgress, 0, wire.Txn{Then: []wire.Op{{Key: "x"}}}, func(Reply) {})
	}
	for now := time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		for _, c := range store.Tick(now) {
			store.HandleReply(now, c.ID, 200, nil)
		}
	}
	if w := store.WriteWait(PriorityUser); w > 0 {
		t.Errorf("a submission would wait %v for the write budget", w)
	}
}
