package jobs

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

func TestDoneSetsOfLargeJobsFitValues(t *testing.T) {
	b := newBits(limits.MaxTasks)
	for i := 0; i < limits.MaxTasks; i++ {
		if i%3 != 0 {
			b.Set(i)
		}
	}
	for tasks, most := range map[int]int{limits.ChunkTasks: 1500, limits.OldChunkTasks: 3500} { // of 2048 and 4096
		back := newBits(limits.MaxTasks)
		added := 0
		for k := 0; k*tasks < limits.MaxTasks; k++ {
			text := b.chunk(k, tasks)
			if len(text) > most {
				t.Errorf("part %d of %d tasks has %d bytes", k, tasks, len(text))
			}
			added += len(back.merge(k, tasks, text, limits.MaxTasks))
			if again := back.merge(k, tasks, text, limits.MaxTasks); len(again) != 0 {
				t.Errorf("part %d added %d tasks twice", k, len(again))
			}
		}
		if string(back) != string(b) || added != limits.MaxTasks*2/3 {
			t.Errorf("%d tasks came back", added)
		}
	}
	if got := newBits(10).merge(0, limits.ChunkTasks, "//////8", 10); len(got) != 10 {
		t.Errorf("bits beyond the job's tasks were taken: %v", got)
	}
}

// bench is a registry with a state service that answers as told.
type bench struct {
	t        *testing.T
	store    *statestore.Store
	registry *Registry
	now      time.Duration
	txns     []statestore.Call
	gets     []statestore.Call
}

func newBench(t *testing.T) *bench {
	s := statestore.New(1000, 1000, 8, 4)
	guard := func(string) wire.Guard { return wire.Guard{Key: "u/own/c", Version: 1} }
	b := &bench{t: t, store: s, registry: New(s, guard, func() int { return limits.RecordFormat }, func(slog.Level, string, ...any) {}), now: time.Second}
	b.tick() // reads the mirror
	return b
}

func (b *bench) pack(v any) []byte {
	raw, err := wire.Encode(v)
	if err != nil {
		b.t.Fatal(err)
	}
	return raw
}

// tick lets time pass; the mirror is empty, transactions are kept for the test.
func (b *bench) tick() {
	b.now += 100 * time.Millisecond
	b.registry.Tick(b.now, 0, true, func(*Job) bool { return true })
	for _, c := range b.store.Tick(b.now) {
		switch {
		case strings.HasPrefix(c.Path, "/kv?"):
			b.store.Reply(b.now, c.ID, 200, b.pack(map[string]any{"rows": []any{}, "ledger": 1}))
		case c.Path == "/multi":
			b.txns = append(b.txns, c)
		case strings.HasPrefix(c.Path, "/kv/"):
			b.gets = append(b.gets, c)
		}
	}
	for _, ch := range b.store.Mirror.TakeChanges() {
		b.registry.Apply(ch)
	}
}

func (b *bench) open(id string, tasks int, version uint64) *Job {
	b.store.Mirror.Put(keyJob+id, b.pack(&wire.Job{ID: id, Tasks: tasks, Types: []string{"c"}}), version)
	b.tick()
	b.txns = nil
	return b.registry.Open[id]
}

func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	b := newBench(t)
	b.tick()
	var got []Answer
	job := &wire.Job{ID: "job-1", Tasks: 1, Types: []string{"c"}}
	for i := 0; i < 2; i++ {
		b.registry.Submit(b.now, job, func(a Answer) { got = append(got, a) })
	}
	b.tick()
	if len(b.txns) != 1 {
		t.Fatalf("%d transactions", len(b.txns))
	}
	b.store.Reply(b.now, b.txns[0].ID, 200, b.pack(wire.TxnReply{Revision: 9}))
	if len(got) != 2 || got[0].Status != 201 || got[1].Status != 200 {
		t.Fatalf("answers %+v", got)
	}
	// No answer: the user is told to come back, and nothing is assumed.
	b.txns, got = nil, nil
	b.registry.Submit(b.now, &wire.Job{ID: "job-2", Tasks: 1}, func(a Answer) { got = append(got, a) })
	b.tick()
	b.store.Reply(b.now, b.txns[0].ID, 0, nil)
	if len(got) != 1 || got[0].Status != 503 || got[0].RetryAfter == 0 || b.registry.Known("job-2") {
		t.Fatalf("answers %+v", got)
	}
}

func TestQueriesShareATransactionAndTellNoGuess(t *testing.T) {
	b := newBench(t)
	b.open("job-1", 2, 5)
	got := map[string]Answer{}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		b.registry.Query(b.now, id, func(a Answer) { got[id] = a })
	}
	b.tick()
	if len(b.txns) != 1 {
		t.Fatalf("%d transactions", len(b.txns))
	}
	txn := b.txns[0].Body.(wire.Txn)
	if len(txn.Then) != 0 || len(txn.Guards) != 5 {
		t.Errorf("%+v", txn)
	}
	// job-2 exists although the mirror doesn't know it yet; job-3 doesn't.
	b.store.Reply(b.now, b.txns[0].ID, 409, b.pack(wire.TxnReply{Failed: []string{keyJob + "job-2"}}))
	for id, want := range map[string]int{"job-1": 200, "job-2": 200, "job-3": 404} {
		if got[id].Status != want {
			t.Errorf("%s: %d, want %d", id, got[id].Status, want)
		}
	}
	b.txns = nil
	b.registry.Query(b.now, "job-3", func(a Answer) { got["job-3"] = a })
	b.tick()
	b.store.Reply(b.now, b.txns[0].ID, 503, nil)
	if got["job-3"].Status != 503 {
		t.Errorf("without the state service: %d", got["job-3"].Status)
	}
}

// TestQuestionsAreAnsweredInTime: the state service is silent, and each user is
// told to come back before its own limit of 2 s.
func TestQuestionsAreAnsweredInTime(t *testing.T) {
	b := newBench(t)
	answered := map[string]time.Duration{}
	began := map[string]time.Duration{}
	for i := 0; i < 10; i++ {
		id := fmt.Sprintf("job-%d", i)
		began[id] = b.now
		b.registry.Query(b.now, id, func(a Answer) {
			if a.Status != 503 {
				t.Errorf("%s: %d without an answer of the state service", id, a.Status)
			}
			answered[id] = b.now
		})
		for k := 0; k < 3; k++ {
			b.tick()
		}
	}
	for k := 0; k < 30; k++ {
		b.tick()
	}
	for id, at := range began {
		if took := answered[id] - at; answered[id] == 0 || took > 1900*time.Millisecond {
			t.Errorf("%s was answered after %v", id, took)
		}
	}
	if b.registry.waiting != 0 {
		t.Errorf("%d requests still counted as waiting", b.registry.waiting)
	}
}

func TestDoneIsTakenBackByACancellation(t *testing.T) {
	b := newBench(t)
	j := b.open("job-1", 1, 5)
	j.Active = true
	j.MarkDone(0)
	b.tick()
	if len(b.txns) != 1 {
		t.Fatalf("%d transactions", len(b.txns))
	}
	txn := b.txns[0].Body.(wire.Txn)
	if fmt.Sprint(txn.Guards) != "[{u/own/c 1} {u/o/job-1 5} {fin/job-1 0}]" {
		t.Errorf("guards %v", txn.Guards)
	}
	b.store.Reply(b.now, b.txns[0].ID, 409, b.pack(wire.TxnReply{Failed: []string{keyFinal + "job-1"}}))
	if b.registry.Open["job-1"] == nil {
		t.Fatal("the job is gone although its completion was refused")
	}
	b.store.Mirror.Put(keyCancelled+"job-1", b.pack(true), 7)
	b.tick()
	b.txns = nil
	for i := 0; i < 10 && len(b.txns) == 0; i++ {
		b.tick()
	}
	for _, op := range b.txns[0].Body.(wire.Txn).Then {
		if op.Key != "" {
			t.Errorf("a cancelled job is written as %+v", op)
		}
	}
}

// TestPartsWithoutAJobAreSwept guards against keys that pile up: a job of
// 100,000 tasks has more parts than one transaction may remove.
func TestPartsWithoutAJobAreSwept(t *testing.T) {
	b := newBench(t)
	b.open("job-1", limits.MaxTasks, 5)
	for k := 0; k < 7; k++ {
		b.store.Mirror.Put(fmt.Sprintf("%sjob-1/%d", keyLargePart, k), b.pack(donePart{}), uint64(6+k))
	}
	b.tick()
	b.registry.Apply(statestore.Change{Key: keyJob + "job-1", Removed: true})
	removed := 0
	for i := 0; i < 60 && removed < 7; i++ {
		b.txns = nil
		b.tick()
		for _, c := range b.txns {
			for _, op := range c.Body.(wire.Txn).Then {
				if !strings.HasPrefix(op.Remove, keyLargePart+"job-1/") {
					t.Errorf("unexpected %+v", op)
				}
				removed++
			}
			b.store.Reply(b.now, c.ID, 200, b.pack(wire.TxnReply{Revision: 99}))
		}
	}
	if removed != 7 {
		t.Errorf("%d parts removed", removed)
	}
}

// TestWhatCannotBeTakenIsSaidAtOnce: a state service that failed for a while, or a
// budget used up for longer than a user should wait, is told without waiting.
func TestWhatCannotBeTakenIsSaidAtOnce(t *testing.T) {
	b := newBench(t)
	submit := func(id string) (a Answer) {
		b.registry.Submit(b.now, &wire.Job{ID: id, Tasks: 1}, func(x Answer) { a = x })
		return a
	}
	b.store.SetShare(0.001, 0.001) // a change a second
	n := 0
	for ; n < 1000; n++ {
		a := submit(fmt.Sprintf("job-%d", n))
		if a.Status == 429 && a.RetryAfter > 0 {
			break
		}
		if a.Status != 0 {
			t.Fatalf("answer %+v", a)
		}
		b.store.Txn(statestore.User, 0, wire.Txn{Then: []wire.Op{{Key: "x"}}}, func(statestore.Reply) {})
	}
	if n == 1000 {
		t.Error("taken in for minutes")
	}
	b = newBench(t)
	b.store.LastOK, b.store.LastFail = b.now, b.now+limits.DownAfter+1
	b.now = b.store.LastFail
	if a := submit("job-2"); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("without the state service: %+v", a)
	}
	asked := Answer{}
	b.registry.Query(b.now, "job-3", func(a Answer) { asked = a })
	if asked.Status != 503 {
		t.Errorf("a question without the state service: %+v", asked)
	}
}

// TestRefusedRecordStandsAlone guards against one record that the state service refuses for
// its size, and with it the submissions of all who share its transaction.
func TestRefusedRecordStandsAlone(t *testing.T) {
	b := newBench(t)
	b.tick()
	got := map[string]int{}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		b.registry.Submit(b.now, &wire.Job{ID: id, Tasks: 1, Types: []string{"c"}}, func(a Answer) { got[id] = a.Status })
	}
	for range 5 {
		b.txns = nil
		b.tick()
		for _, call := range b.txns {
			status := 200
			for _, op := range call.Body.(wire.Txn).Then {
				if op.Key == keyJob+"job-2" {
					status = 400
				}
			}
			b.store.Reply(b.now, call.ID, status, b.pack(wire.TxnReply{Revision: 9}))
		}
	}
	if got["job-1"] != 201 || got["job-3"] != 201 || got["job-2"] != 503 {
		t.Errorf("answers %v", got)
	}
}
