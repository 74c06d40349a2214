package statestore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

func mustEncode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newLoadedStore returns a store whose mirror has read all keys, and the ID of its open
// watch call.
func newLoadedStore(t *testing.T) (*Store, uint64) {
	t.Helper()
	store := New(150, 20, 8, 4)
	calls := store.Tick(time.Second)
	if len(calls) != 1 || !strings.HasPrefix(calls[0].Path, "/kv?") {
		t.Fatalf("first calls are %+v, want one read of keys", calls)
	}
	store.HandleReply(time.Second, calls[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{}, "ledger": 5}))
	calls = store.Tick(time.Second)
	if len(calls) != 1 || !strings.Contains(calls[0].Path, "since=5") {
		t.Fatalf("calls after the full read are %+v, want one watch from revision 5", calls)
	}
	return store, calls[0].ID
}

// TestBudgetAndPriority checks that writes stay within the node's share of the write budget, and
// that transactions of users are sent before those that record progress.
func TestBudgetAndPriority(t *testing.T) {
	store, _ := newLoadedStore(t)
	store.SetShare(0.5, 0.5) // 9 writes per second
	var order []string
	write := func(p Priority, name string) {
		store.Txn(p, 0, wire.Txn{Then: []wire.Op{{Key: name}, {Key: name}, {Key: name}}}, func(Reply) { order = append(order, name) })
	}
	for i := 0; i < 4; i++ {
		write(PriorityProgress, "progress")
		write(PriorityUser, "user")
	}
	sent := 0
	for now := time.Second; now <= 4*time.Second; now += 100 * time.Millisecond {
		for _, c := range store.Tick(now) {
			sent += 3
			store.HandleReply(now, c.ID, 200, nil)
		}
		if over := float64(sent) - 9 - 9*(now-time.Second).Seconds(); over > 0.01 {
			t.Fatalf("%d writes sent in %v, which exceeds the budget", sent, now-time.Second)
		}
	}
	if fmt.Sprint(order) != "[user user user user progress progress progress progress]" {
		t.Errorf("transactions were sent in the order %v", order)
	}
}

// TestRejectionPausesRequestsAndQueueWaitExpires checks that a node sends nothing for a while after
// a 503 of the state service, and that a request that has waited too long in the queue ends with
// status 503.
func TestRejectionPausesRequestsAndQueueWaitExpires(t *testing.T) {
	store, _ := newLoadedStore(t)
	got, now := 0, 2*time.Second
	store.Get(PriorityUser, 5*time.Second, "k", func(r Reply) { got = r.Status })
	calls := store.Tick(now)
	store.HandleReply(now, calls[0].ID, 503, nil)
	if got != 503 || !store.Down() {
		t.Fatalf("after a 503: status %d, Down() = %v", got, store.Down())
	}
	store.Get(PriorityUser, 100*time.Millisecond, "k", func(r Reply) { got = -r.Status })
	if c := store.Tick(now + 50*time.Millisecond); len(c) != 0 {
		t.Fatalf("sent %+v during the backoff", c)
	}
	store.Tick(now + 150*time.Millisecond)
	if got != -503 {
		t.Errorf("callback of a request whose wait expired set %d, want -503", got)
	}
	store.HandleReply(3*time.Second, 9999, 200, nil) // a reply to an unknown call is ignored
}

// TestMirrorFollowsWatchAndReloads checks that the mirror applies the changes of a watch and reads
// all keys again after a 410, when the service no longer has the missed changes. Keys that were
// removed meanwhile must disappear, and no change between the pages may be missed.
func TestMirrorFollowsWatchAndReloads(t *testing.T) {
	store, watch := newLoadedStore(t)
	store.HandleReply(2*time.Second, watch, 200, mustEncode(t, map[string]any{"ledger": 9, "news": []any{
		map[string]any{"put": "u/a", "v": 1, "stamp": 7}, map[string]any{"put": "u/b", "v": 1, "stamp": 8}, map[string]any{"remove": "u/a", "stamp": 9}}}))
	if _, ok := store.Mirror.Get("u/a"); ok || store.Mirror.Revision != 9 || len(store.Mirror.TakeChanges()) != 3 {
		t.Fatal("the mirror did not apply the changes of the watch")
	}
	calls := store.Tick(2 * time.Second)
	store.HandleReply(2*time.Second, calls[0].ID, 410, nil)
	// The mirror reads all keys again, in two pages, and removes the keys that are on neither.
	calls = store.Tick(2 * time.Second)
	store.HandleReply(2*time.Second, calls[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{map[string]any{"path": "u/c", "v": 1, "stamp": 20}}, "hasNext": true, "ledger": 30}))
	calls = store.Tick(2 * time.Second)
	if !strings.Contains(calls[0].Path, "since=u%2Fc") {
		t.Fatalf("calls for the second page are %+v", calls)
	}
	store.HandleReply(2*time.Second, calls[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{map[string]any{"path": "u/d", "v": 1, "stamp": 31}}, "ledger": 33}))
	if _, ok := store.Mirror.Get("u/b"); ok {
		t.Error("the mirror still has a key that was on no page")
	}
	calls = store.Tick(3 * time.Second)
	if !strings.Contains(calls[0].Path, "since=30") {
		t.Errorf("the watch continues with %s, want the first page's revision", calls[0].Path)
	}
	// A removal that is older than the key's version is ignored.
	store.HandleReply(2*time.Second, calls[0].ID, 200, mustEncode(t, map[string]any{"ledger": 34, "news": []any{map[string]any{"remove": "u/d", "stamp": 30}}}))
	if _, ok := store.Mirror.Get("u/d"); !ok {
		t.Error("an old removal removed a newer key")
	}
}

// TestWatchesAndQueriesLeaveRequestsForSubmissions checks that submissions do not wait because
// watches and status queries have used up the node's request budget. Keys change and users query
// all the time, and every submission must still be sent at once.
func TestWatchesAndQueriesLeaveRequestsForSubmissions(t *testing.T) {
	store, watch := newLoadedStore(t)
	store.SetShare(1.0/7, 1.0/7)
	watches, queries := 0, 0
	var unansweredIDs []uint64
	for now := time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		store.HandleReply(now, watch, 200, mustEncode(t, map[string]any{"ledger": 10 + now.Milliseconds(), "news": []any{}}))
		for _, id := range unansweredIDs {
			store.HandleReply(now, id, 200, nil)
		}
		unansweredIDs = nil
		for i := 0; i < 3; i++ {
			store.Get(PriorityQuery, time.Second, "k", func(Reply) {})
		}
		submitted := now%(500*time.Millisecond) == 0
		if submitted {
			store.Txn(PriorityUser, time.Second, wire.Txn{Then: []wire.Op{{Key: "job"}}}, func(Reply) {})
		}
		sent := false
		for _, call := range store.Tick(now) {
			switch {
			case strings.HasPrefix(call.Path, "/watch"):
				watch = call.ID
				watches++
			case call.Method == "POST":
				sent = true
				unansweredIDs = append(unansweredIDs, call.ID)
			default:
				queries++
				unansweredIDs = append(unansweredIDs, call.ID)
			}
		}
		if submitted && !sent {
			t.Fatalf("at %v a submission is not sent at once, after %d watches and %d queries", now, watches, queries)
		}
	}
	if watches < 50 || watches > 140 || queries < 100 {
		t.Errorf("%d watches and %d queries in 19 s with 19 requests per second", watches, queries)
	}
}

// TestSmallWritesDoNotStarveLargeTransactions checks that transactions with several writes are sent
// although a stream of single writes of a lower priority exceeds the budget. The single writes
// could take every token before a large transaction has enough of them.
func TestSmallWritesDoNotStarveLargeTransactions(t *testing.T) {
	store, _ := newLoadedStore(t)
	store.SetShare(0.5, 0.5) // 9 writes per second
	records, completions := 0, 0
	for now := time.Second; now <= 11*time.Second; now += 50 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			store.Txn(PriorityRecords, time.Second, wire.Txn{Then: make([]wire.Op, 7)}, func(r Reply) {
				if r.Status == OK {
					records++
				}
			})
		}
		store.Txn(PriorityFinish, 3*time.Second, wire.Txn{Then: make([]wire.Op, 1)}, func(r Reply) {
			if r.Status == OK {
				completions++
			}
		})
		for _, c := range store.Tick(now) {
			if c.Method == "POST" {
				store.HandleReply(now, c.ID, 200, nil)
			}
		}
	}
	if records != 5 || completions < 40 {
		t.Errorf("%d of 5 record transactions and %d completions were sent", records, completions)
	}
}

// TestFullReadIsNoNewerThanItsFirstPage checks that a mirror does not count as more current than it
// is. After a 410 all keys are read again, page by page. A key that is written meanwhile, before
// the last key read, is in no page: only the watch from the first page's revision reports it. Until
// then KnownThrough must not pass the time at which the first page was requested.
func TestFullReadIsNoNewerThanItsFirstPage(t *testing.T) {
	store, watch := newLoadedStore(t)
	cancellationKey, jobKey := Root+"c/job-1", Root+"o/job-1"
	store.HandleReply(2*time.Second, watch, 410, nil)
	nextCall := func(now time.Duration, wantPath string) uint64 {
		t.Helper()
		calls := store.Tick(now)
		if len(calls) != 1 || !strings.Contains(calls[0].Path, wantPath) {
			t.Fatalf("unexpected calls at %v: %+v", now, calls)
		}
		return calls[0].ID
	}
	row := func(key string, version uint64) map[string]any {
		return map[string]any{"path": key, "v": true, "stamp": version}
	}
	before := store.Mirror.KnownThrough
	first := nextCall(3*time.Second, "/kv?")
	store.HandleReply(4*time.Second, first, 200, mustEncode(t, map[string]any{"rows": []any{row(Root+"a", 3)}, "hasNext": true, "ledger": 10}))
	// Between the pages, this node accepts job-1 in revision 11, and another node cancels
	// it in revision 12.
	second := nextCall(5*time.Second, "since="+"u%2Fa")
	store.Mirror.Put(jobKey, mustEncode(t, true), 11)
	if store.Mirror.KnownThrough != before {
		t.Errorf("KnownThrough became %v before the last page was read", store.Mirror.KnownThrough)
	}
	store.HandleReply(6*time.Second, second, 200, mustEncode(t, map[string]any{"rows": []any{row(Root+"z", 4)}, "ledger": 12}))
	if store.Mirror.KnownThrough != 3*time.Second {
		t.Errorf("KnownThrough is %v after a full read that began at 3 s", store.Mirror.KnownThrough)
	}
	third := nextCall(7*time.Second, "since=10")
	store.HandleReply(8*time.Second, third, 200, mustEncode(t, map[string]any{"ledger": 12, "news": []any{
		map[string]any{"put": jobKey, "v": true, "stamp": 11}, map[string]any{"put": cancellationKey, "v": true, "stamp": 12}}}))
	for _, key := range []string{jobKey, cancellationKey} {
		if _, ok := store.Mirror.Get(key); !ok {
			t.Errorf("%s is missing from the mirror", key)
		}
	}
	if store.Mirror.KnownThrough != 7*time.Second {
		t.Errorf("KnownThrough is %v after a watch that was sent at 7 s", store.Mirror.KnownThrough)
	}
}
