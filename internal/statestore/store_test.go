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
	s := New(150, 20, 8, 4)
	calls := s.Tick(time.Second)
	if len(calls) != 1 || !strings.HasPrefix(calls[0].Path, "/kv?") {
		t.Fatalf("first calls are %+v, want one read of keys", calls)
	}
	s.HandleReply(time.Second, calls[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{}, "ledger": 5}))
	calls = s.Tick(time.Second)
	if len(calls) != 1 || !strings.Contains(calls[0].Path, "since=5") {
		t.Fatalf("calls after the full read are %+v, want one watch from revision 5", calls)
	}
	return s, calls[0].ID
}

func TestBudgetAndPriority(t *testing.T) {
	s, _ := newLoadedStore(t)
	s.SetShare(0.5, 0.5) // 9 writes per second
	var order []string
	write := func(p Priority, name string) {
		s.Txn(p, 0, wire.Txn{Then: []wire.Op{{Key: name}, {Key: name}, {Key: name}}}, func(Reply) { order = append(order, name) })
	}
	for i := 0; i < 4; i++ {
		write(PriorityProgress, "progress")
		write(PriorityUser, "user")
	}
	sent := 0
	for now := time.Second; now <= 4*time.Second; now += 100 * time.Millisecond {
		for _, c := range s.Tick(now) {
			sent += 3
			s.HandleReply(now, c.ID, 200, nil)
		}
		if over := float64(sent) - 9 - 9*(now-time.Second).Seconds(); over > 0.01 {
			t.Fatalf("%d writes sent in %v, which exceeds the budget", sent, now-time.Second)
		}
	}
	if fmt.Sprint(order) != "[user user user user progress progress progress progress]" {
		t.Errorf("transactions were sent in the order %v", order)
	}
}

func TestRejectionPausesRequestsAndQueueWaitExpires(t *testing.T) {
	s, _ := newLoadedStore(t)
	got, now := 0, 2*time.Second
	s.Get(PriorityUser, 5*time.Second, "k", func(r Reply) { got = r.Status })
	c := s.Tick(now)
	s.HandleReply(now, c[0].ID, 503, nil)
	if got != 503 || !s.Down() {
		t.Fatalf("after a 503: status %d, Down() = %v", got, s.Down())
	}
	s.Get(PriorityUser, 100*time.Millisecond, "k", func(r Reply) { got = -r.Status })
	if c := s.Tick(now + 50*time.Millisecond); len(c) != 0 {
		t.Fatalf("sent %+v during the backoff", c)
	}
	s.Tick(now + 150*time.Millisecond)
	if got != -503 {
		t.Errorf("callback of a request whose wait expired set %d, want -503", got)
	}
	s.HandleReply(3*time.Second, 9999, 200, nil) // a reply to an unknown call is ignored
}

func TestMirrorFollowsWatchAndReloads(t *testing.T) {
	s, watch := newLoadedStore(t)
	s.HandleReply(2*time.Second, watch, 200, mustEncode(t, map[string]any{"ledger": 9, "news": []any{
		map[string]any{"put": "u/a", "v": 1, "stamp": 7}, map[string]any{"put": "u/b", "v": 1, "stamp": 8}, map[string]any{"remove": "u/a", "stamp": 9}}}))
	if _, ok := s.Mirror.Get("u/a"); ok || s.Mirror.Revision != 9 || len(s.Mirror.TakeChanges()) != 3 {
		t.Fatal("the mirror did not apply the changes of the watch")
	}
	c := s.Tick(2 * time.Second)
	s.HandleReply(2*time.Second, c[0].ID, 410, nil)
	// The mirror reads all keys again, in two pages, and removes the keys that are on neither.
	c = s.Tick(2 * time.Second)
	s.HandleReply(2*time.Second, c[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{map[string]any{"path": "u/c", "v": 1, "stamp": 20}}, "hasNext": true, "ledger": 30}))
	c = s.Tick(2 * time.Second)
	if !strings.Contains(c[0].Path, "since=u%2Fc") {
		t.Fatalf("calls for the second page are %+v", c)
	}
	s.HandleReply(2*time.Second, c[0].ID, 200, mustEncode(t, map[string]any{"rows": []any{map[string]any{"path": "u/d", "v": 1, "stamp": 31}}, "ledger": 33}))
	if _, ok := s.Mirror.Get("u/b"); ok {
		t.Error("the mirror still has a key that was on no page")
	}
	c = s.Tick(3 * time.Second)
	if !strings.Contains(c[0].Path, "since=30") {
		t.Errorf("the watch continues with %s, want the first page's revision", c[0].Path)
	}
	// A removal that is older than the key's version is ignored.
	s.HandleReply(2*time.Second, c[0].ID, 200, mustEncode(t, map[string]any{"ledger": 34, "news": []any{map[string]any{"remove": "u/d", "stamp": 30}}}))
	if _, ok := s.Mirror.Get("u/d"); !ok {
		t.Error("an old removal removed a newer key")
	}
}

// TestWatchesAndQueriesLeaveRequestsForSubmissions checks that submissions do not wait because
// watches and status queries have used up the node's request budget. Keys change and users query
// all the time, and every submission must still be sent at once.
func TestWatchesAndQueriesLeaveRequestsForSubmissions(t *testing.T) {
	s, watch := newLoadedStore(t)
	s.SetShare(1.0/7, 1.0/7)
	watches, queries := 0, 0
	var unanswered []uint64
	for now := time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		s.HandleReply(now, watch, 200, mustEncode(t, map[string]any{"ledger": 10 + now.Milliseconds(), "news": []any{}}))
		for _, id := range unanswered {
			s.HandleReply(now, id, 200, nil)
		}
		unanswered = nil
		for i := 0; i < 3; i++ {
			s.Get(PriorityQuery, time.Second, "k", func(Reply) {})
		}
		submitted := now%(500*time.Millisecond) == 0
		if submitted {
			s.Txn(PriorityUser, time.Second, wire.Txn{Then: []wire.Op{{Key: "job"}}}, func(Reply) {})
		}
		sent := false
		for _, c := range s.Tick(now) {
			switch {
			case strings.HasPrefix(c.Path, "/watch"):
				watch = c.ID
				watches++
			case c.Method == "POST":
				sent = true
				unanswered = append(unanswered, c.ID)
			default:
				queries++
				unanswered = append(unanswered, c.ID)
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
// although a stream of single writes of a lower priority, more than the budget allows, could take
// every token first.
func TestSmallWritesDoNotStarveLargeTransactions(t *testing.T) {
	s, _ := newLoadedStore(t)
	s.SetShare(0.5, 0.5) // 9 writes per second
	records, completions := 0, 0
	for now := time.Second; now <= 11*time.Second; now += 50 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			s.Txn(PriorityRecords, time.Second, wire.Txn{Then: make([]wire.Op, 7)}, func(r Reply) {
				if r.Status == OK {
					records++
				}
			})
		}
		s.Txn(PriorityFinish, 3*time.Second, wire.Txn{Then: make([]wire.Op, 1)}, func(r Reply) {
			if r.Status == OK {
				completions++
			}
		})
		for _, c := range s.Tick(now) {
			if c.Method == "POST" {
				s.HandleReply(now, c.ID, 200, nil)
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
	s, watch := newLoadedStore(t)
	cancelled, job := Root+"c/job-1", Root+"o/job-1"
	s.HandleReply(2*time.Second, watch, 410, nil)
	nextCall := func(now time.Duration, wantPath string) uint64 {
		t.Helper()
		calls := s.Tick(now)
		if len(calls) != 1 || !strings.Contains(calls[0].Path, wantPath) {
			t.Fatalf("unexpected calls at %v: %+v", now, calls)
		}
		return calls[0].ID
	}
	row := func(key string, version uint64) map[string]any {
		return map[string]any{"path": key, "v": true, "stamp": version}
	}
	before := s.Mirror.KnownThrough
	first := nextCall(3*time.Second, "/kv?")
	s.HandleReply(4*time.Second, first, 200, mustEncode(t, map[string]any{"rows": []any{row(Root+"a", 3)}, "hasNext": true, "ledger": 10}))
	// Between the pages, this node accepts job-1 in revision 11, and another node cancels
	// it in revision 12.
	second := nextCall(5*time.Second, "since="+"u%2Fa")
	s.Mirror.Put(job, mustEncode(t, true), 11)
	if s.Mirror.KnownThrough != before {
		t.Errorf("KnownThrough became %v before the last page was read", s.Mirror.KnownThrough)
	}
	s.HandleReply(6*time.Second, second, 200, mustEncode(t, map[string]any{"rows": []any{row(Root+"z", 4)}, "ledger": 12}))
	if s.Mirror.KnownThrough != 3*time.Second {
		t.Errorf("KnownThrough is %v after a full read that began at 3 s", s.Mirror.KnownThrough)
	}
	third := nextCall(7*time.Second, "since=10")
	s.HandleReply(8*time.Second, third, 200, mustEncode(t, map[string]any{"ledger": 12, "news": []any{
		map[string]any{"put": job, "v": true, "stamp": 11}, map[string]any{"put": cancelled, "v": true, "stamp": 12}}}))
	for _, key := range []string{job, cancelled} {
		if _, ok := s.Mirror.Get(key); !ok {
			t.Errorf("%s is missing from the mirror", key)
		}
	}
	if s.Mirror.KnownThrough != 7*time.Second {
		t.Errorf("KnownThrough is %v after a watch that was sent at 7 s", s.Mirror.KnownThrough)
	}
}
