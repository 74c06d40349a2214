package jobs

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// TestDoneSetChunksFitValues checks that the chunks of the largest done set fit into values of the
// state service and contain every completed task, that merging a chunk twice adds nothing, and that
// task numbers beyond the job are ignored.
func TestDoneSetChunksFitValues(t *testing.T) {
	set := newTaskSet(limits.MaxTasks)
	for i := 0; i < limits.MaxTasks; i++ {
		if i%3 != 0 {
			set.Add(i)
		}
	}
	for chunkTasks, maxBytes := range map[int]int{limits.ChunkTasks: 1500, limits.Format1ChunkTasks: 3500} { // a value holds 2048 or 4096 bytes
		decodedSet := newTaskSet(limits.MaxTasks)
		addedCount := 0
		for index := 0; index*chunkTasks < limits.MaxTasks; index++ {
			encoded := set.encodeChunk(index, chunkTasks)
			if len(encoded) > maxBytes {
				t.Errorf("chunk %d of %d tasks has %d bytes", index, chunkTasks, len(encoded))
			}
			addedCount += len(decodedSet.mergeChunk(index, chunkTasks, encoded, limits.MaxTasks))
			if addedAgain := decodedSet.mergeChunk(index, chunkTasks, encoded, limits.MaxTasks); len(addedAgain) != 0 {
				t.Errorf("chunk %d added %d tasks twice", index, len(addedAgain))
			}
		}
		if string(decodedSet) != string(set) || addedCount != limits.MaxTasks*2/3 {
			t.Errorf("%d tasks were decoded, want two thirds of the maximum", addedCount)
		}
	}
	if got := newTaskSet(10).mergeChunk(0, limits.ChunkTasks, "//////8", 10); len(got) != 10 {
		t.Errorf("tasks beyond the limit were added: %v", got)
	}
}

// harness is a registry with a simulated state service, whose replies each test supplies.
type harness struct {
	t        *testing.T
	store    *statestore.Store
	registry *Registry
	now      time.Duration
	txns     []statestore.Call
	gets     []statestore.Call
	watch    statestore.Call // the open watch
}

// fixedOwnership is the ownership of a node that owns every class.
type fixedOwnership struct{}

func (fixedOwnership) OwnerGuard(string) wire.Guard { return wire.Guard{Key: "u/own/c", Version: 1} }

func (fixedOwnership) RecordFormat() int { return limits.RecordFormat }

func (fixedOwnership) Launcher(string) ownership.Launcher {
	return ownership.Launcher{Node: "self", Incarnation: 1, Term: 1}
}

func (fixedOwnership) LauncherGuard(string) wire.Guard { return wire.Guard{Key: "u/own/c", Version: 1} }

func (fixedOwnership) EarlierOwnersStopped(_, _ string) bool { return true }

func (fixedOwnership) HasRead(ownership.Launcher, uint64) bool { return false }

func (fixedOwnership) IsSelf(launcher ownership.Launcher) bool { return launcher.Node == "self" }

func newHarness(t *testing.T) *harness {
	store := statestore.New(1000, 1000, 8, 4)
	h := &harness{t: t, store: store, registry: New(store, fixedOwnership{}, func(slog.Level, string, ...any) {}), now: time.Second}
	h.tick() // loads the mirror
	return h
}

func (h *harness) encode(v any) []byte {
	raw, err := wire.Encode(v)
	if err != nil {
		h.t.Fatal(err)
	}
	return raw
}

// tick advances the time by 100 ms. Reads for the mirror find no rows; transactions and reads of
// single keys are kept for the test.
func (h *harness) tick() {
	h.now += 100 * time.Millisecond
	h.registry.Tick(h.now, 0, true, func(*Job) bool { return true })
	for _, call := range h.store.Tick(h.now) {
		switch {
		case strings.HasPrefix(call.Path, "/kv?"):
			h.store.HandleReply(h.now, call.ID, 200, h.encode(map[string]any{"rows": []any{}, "ledger": 9}))
		case call.IsWatch():
			h.watch = call
		case call.Path == "/multi":
			h.txns = append(h.txns, call)
		case strings.HasPrefix(call.Path, "/kv/"):
			h.gets = append(h.gets, call)
		}
	}
	for _, change := range h.store.Mirror.TakeChanges() {
		h.registry.Apply(change)
	}
}

func (h *harness) openJob(id string, tasks int, version uint64) *Job {
	h.store.Mirror.Put(keyJob+id, h.encode(&wire.Job{ID: id, Tasks: tasks, Types: []string{"c"}}), version)
	h.tick()
	h.txns = nil
	return h.registry.OpenJobs[id]
}

// TestRepeatedSubmissionCreatesOneJob checks that a submission and its repeat share one
// transaction, and that only the first is answered with 201. If the state service does not reply,
// the user must be asked to retry.
func TestRepeatedSubmissionCreatesOneJob(t *testing.T) {
	h := newHarness(t)
	h.tick()
	var got []Answer
	job := &wire.Job{ID: "job-1", Tasks: 1, Types: []string{"c"}}
	for i := 0; i < 2; i++ {
		h.registry.Submit(h.now, job, func(answer Answer) { got = append(got, answer) })
	}
	h.tick()
	if len(h.txns) != 1 {
		t.Fatalf("%d transactions were sent, want 1", len(h.txns))
	}
	h.store.HandleReply(h.now, h.txns[0].ID, 200, h.encode(wire.TxnReply{Revision: 9}))
	if len(got) != 2 || got[0].Status != 201 || got[1].Status != 200 {
		t.Fatalf("answers %+v", got)
	}
	// Without a reply of the state service the user is asked to retry, and the job does not count
	// as accepted.
	h.txns, got = nil, nil
	h.registry.Submit(h.now, &wire.Job{ID: "job-2", Tasks: 1}, func(answer Answer) { got = append(got, answer) })
	h.tick()
	h.store.HandleReply(h.now, h.txns[0].ID, 0, nil)
	if len(got) != 1 || got[0].Status != 503 || got[0].RetryAfter == 0 || h.registry.IsAccepted("job-2") {
		t.Fatalf("answers %+v", got)
	}
}

// TestQueriesShareTransactionAndDoNotGuess checks that concurrent status queries share one
// transaction, and that a query returns 404 only if the state service has no record of the job.
// Without a reply of the state service, the answer must be 503.
func TestQueriesShareTransactionAndDoNotGuess(t *testing.T) {
	h := newHarness(t)
	h.openJob("job-1", 2, 5)
	got := map[string]Answer{}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		h.registry.Query(h.now, id, func(answer Answer) { got[id] = answer })
	}
	h.tick()
	if len(h.txns) != 1 {
		t.Fatalf("%d transactions were sent, want 1", len(h.txns))
	}
	txn := h.txns[0].Body.(wire.Txn)
	if len(txn.Then) != 0 || len(txn.Guards) != 6 { // two for each unknown job, two for job-1 with its owner
		t.Errorf("the transaction of the queries is %+v, want 6 guards and no writes", txn)
	}
	// job-2 exists although it is not in the mirror yet; job-3 does not exist.
	h.store.HandleReply(h.now, h.txns[0].ID, 409, h.encode(wire.TxnReply{Failed: []string{keyJob + "job-2"}}))
	for id, want := range map[string]int{"job-1": 200, "job-2": 200, "job-3": 404} {
		if got[id].Status != want {
			t.Errorf("%s: status %d, want %d", id, got[id].Status, want)
		}
	}
	h.txns = nil
	h.registry.Query(h.now, "job-3", func(answer Answer) { got["job-3"] = answer })
	h.tick()
	h.store.HandleReply(h.now, h.txns[0].ID, 503, nil)
	if got["job-3"].Status != 503 {
		t.Errorf("a query without the state service: status %d, want 503", got["job-3"].Status)
	}
}

// TestQueriesAreAnsweredInTime checks that each query is answered before the user's own timeout of
// 2 s when the state service does not reply.
func TestQueriesAreAnsweredInTime(t *testing.T) {
	h := newHarness(t)
	answeredAt := map[string]time.Duration{}
	startedAt := map[string]time.Duration{}
	for i := 0; i < 10; i++ {
		id := fmt.Sprintf("job-%d", i)
		startedAt[id] = h.now
		h.registry.Query(h.now, id, func(answer Answer) {
			if answer.Status != 503 {
				t.Errorf("%s: status %d without a reply of the state service", id, answer.Status)
			}
			answeredAt[id] = h.now
		})
		for k := 0; k < 3; k++ {
			h.tick()
		}
	}
	for k := 0; k < 30; k++ {
		h.tick()
	}
	for id, at := range startedAt {
		if took := answeredAt[id] - at; answeredAt[id] == 0 || took > 1900*time.Millisecond {
			t.Errorf("%s was answered after %v", id, took)
		}
	}
	if h.registry.waitingRequests != 0 {
		t.Errorf("%d requests still counted as waiting", h.registry.waitingRequests)
	}
}

// TestCancellationOverridesCompletion checks that a job whose completion is refused because a final
// state is already stored stays open, and that no completion is stored once the job is known to be
// cancelled.
func TestCancellationOverridesCompletion(t *testing.T) {
	h := newHarness(t)
	job := h.openJob("job-1", 1, 5)
	job.Active = true
	job.MarkDone(0)
	h.tick()
	if len(h.txns) != 1 {
		t.Fatalf("%d transactions were sent, want 1", len(h.txns))
	}
	txn := h.txns[0].Body.(wire.Txn)
	if fmt.Sprint(txn.Guards) != "[{u/own/c 1} {u/o/job-1 5} {fin/job-1 0}]" {
		t.Errorf("guards %v", txn.Guards)
	}
	h.store.HandleReply(h.now, h.txns[0].ID, 409, h.encode(wire.TxnReply{Failed: []string{keyFinal + "job-1"}}))
	if h.registry.OpenJobs["job-1"] == nil {
		t.Fatal("the job was dropped although its completion was refused")
	}
	h.store.Mirror.Put(keyCancelled+"job-1", h.encode(true), 7)
	h.tick()
	h.txns = nil
	for i := 0; i < 10 && len(h.txns) == 0; i++ {
		h.tick()
	}
	for _, op := range h.txns[0].Body.(wire.Txn).Then {
		if op.Key != "" {
			t.Errorf("the removal of a cancelled job writes %+v", op)
		}
	}
}

// TestChunksWithoutJobAreRemoved checks that no chunks stay in the state service after their job
// was removed. A job of 100,000 tasks has more chunks than one transaction may remove.
func TestChunksWithoutJobAreRemoved(t *testing.T) {
	h := newHarness(t)
	h.openJob("job-1", limits.MaxTasks, 5)
	for k := 0; k < 7; k++ {
		h.store.Mirror.Put(fmt.Sprintf("%sjob-1/%d", keyLargeChunk, k), h.encode(doneSetChunk{}), uint64(6+k))
	}
	h.tick()
	h.registry.Apply(statestore.Change{Key: keyJob + "job-1", Removed: true})
	removedCount := 0
	for i := 0; i < 60 && removedCount < 7; i++ {
		h.txns = nil
		h.tick()
		for _, call := range h.txns {
			for _, op := range call.Body.(wire.Txn).Then {
				if !strings.HasPrefix(op.Remove, keyLargeChunk+"job-1/") {
					t.Errorf("unexpected operation %+v", op)
				}
				removedCount++
			}
			h.store.HandleReply(h.now, call.ID, 200, h.encode(wire.TxnReply{Revision: 99}))
		}
	}
	if removedCount != 7 {
		t.Errorf("%d chunks were removed, want 7", removedCount)
	}
}

// TestOverloadIsReportedAtOnce checks that requests are refused without waiting when the state
// service has been failing for a while, or when its write budget is used up for longer than a user
// should wait.
func TestOverloadIsReportedAtOnce(t *testing.T) {
	h := newHarness(t)
	submit := func(id string) (answer Answer) {
		h.registry.Submit(h.now, &wire.Job{ID: id, Tasks: 1}, func(submitAnswer Answer) { answer = submitAnswer })
		return answer
	}
	h.store.SetShare(0.001, 0.001) // one write per second
	acceptedCount := 0
	for ; acceptedCount < 1000; acceptedCount++ {
		answer := submit(fmt.Sprintf("job-%d", acceptedCount))
		if answer.Status == 429 && answer.RetryAfter > 0 {
			break
		}
		if answer.Status != 0 {
			t.Fatalf("answer %+v", answer)
		}
		h.store.Txn(statestore.PriorityUser, 0, wire.Txn{Then: []wire.Op{{Key: "x"}}}, func(statestore.Reply) {})
	}
	if acceptedCount == 1000 {
		t.Error("1000 submissions were accepted although the write budget is used up")
	}
	h = newHarness(t)
	h.store.LastOK, h.store.LastFail = h.now, h.now+limits.StoreUnreachableAfter+1
	h.now = h.store.LastFail
	if answer := submit("job-2"); answer.Status != 503 || answer.RetryAfter == 0 {
		t.Errorf("without the state service: %+v", answer)
	}
	queryAnswer := Answer{}
	h.registry.Query(h.now, "job-3", func(answer Answer) { queryAnswer = answer })
	if queryAnswer.Status != 503 {
		t.Errorf("a query without the state service: %+v", queryAnswer)
	}
}

// TestRefusedRecordFailsAlone checks that a record that the state service refuses for its size does
// not make the other submissions in its transaction fail too.
func TestRefusedRecordFailsAlone(t *testing.T) {
	h := newHarness(t)
	h.tick()
	got := map[string]int{}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		h.registry.Submit(h.now, &wire.Job{ID: id, Tasks: 1, Types: []string{"c"}}, func(answer Answer) { got[id] = answer.Status })
	}
	for range 5 {
		h.txns = nil
		h.tick()
		for _, call := range h.txns {
			status := 200
			for _, op := range call.Body.(wire.Txn).Then {
				if op.Key == keyJob+"job-2" {
					status = 400
				}
			}
			h.store.HandleReply(h.now, call.ID, status, h.encode(wire.TxnReply{Revision: 9}))
		}
	}
	if got["job-1"] != 201 || got["job-3"] != 201 || got["job-2"] != 503 {
		t.Errorf("answers %v", got)
	}
}
