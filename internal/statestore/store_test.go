package statestore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

func pack(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// loaded makes a store whose mirror has been read.
func loaded(t *testing.T) (*Store, uint64) {
	t.Helper()
	s := New(150, 20, 8, 4)
	calls := s.Tick(time.Second)
	if len(calls) != 1 || !strings.HasPrefix(calls[0].Path, "/kv?") {
		t.Fatalf("first calls %+v", calls)
	}
	s.Reply(time.Second, calls[0].ID, 200, pack(t, map[string]any{"rows": []any{}, "ledger": 5}))
	calls = s.Tick(time.Second)
	if len(calls) != 1 || !strings.Contains(calls[0].Path, "since=5") {
		t.Fatalf("watch %+v", calls)
	}
	return s, calls[0].ID
}

func TestBudgetAndPriority(t *testing.T) {
	s, _ := loaded(t)
	s.SetShare(0.5, 0.5) // 9 writes a second
	var order []string
	write := func(p Priority, name string) {
		s.Txn(p, 0, wire.Txn{Then: []wire.Op{{Key: name}, {Key: name}, {Key: name}}}, func(Reply) { order = append(order, name) })
	}
	for i := 0; i < 4; i++ {
		write(Progress, "progress")
		write(User, "user")
	}
	sent := 0
	for now := time.Second; now <= 4*time.Second; now += 100 * time.Millisecond {
		for _, c := range s.Tick(now) {
			sent += 3
			s.Reply(now, c.ID, 200, nil)
		}
		if over := float64(sent) - 9 - 9*(now-time.Second).Seconds(); over > 0.01 {
			t.Fatalf("%d writes after %v", sent, now-time.Second)
		}
	}
	if fmt.Sprint(order) != "[user user user user progress progress progress progress]" {
		t.Errorf("order %v", order)
	}
}

func TestRefusalsPauseAndWaitsEnd(t *testing.T) {
	s, _ := loaded(t)
	got, now := 0, 2*time.Second
	s.Get(User, 5*time.Second, "k", func(r Reply) { got = r.Status })
	c := s.Tick(now)
	s.Reply(now, c[0].ID, 503, nil)
	if got != 503 || !s.Down() {
		t.Fatalf("status %d, down %v", got, s.Down())
	}
	s.Get(User, 100*time.Millisecond, "k", func(r Reply) { got = -r.Status })
	if c := s.Tick(now + 50*time.Millisecond); len(c) != 0 {
		t.Fatalf("sent %+v in the pause", c)
	}
	s.Tick(now + 150*time.Millisecond)
	if got != -503 {
		t.Errorf("a request that waited too long got %d", got)
	}
	s.Reply(3*time.Second, 9999, 200, nil) // an answer to nothing
}

func TestMirrorFollowsWatchAndReloads(t *testing.T) {
	s, watch := loaded(t)
	s.Reply(2*time.Second, watch, 200, pack(t, map[string]any{"ledger": 9, "news": []any{
		map[string]any{"put": "u/a", "v": 1, "stamp": 7}, map[string]any{"put": "u/b", "v": 1, "stamp": 8}, map[string]any{"remove": "u/a", "stamp": 9}}}))
	if _, ok := s.Mirror.Get("u/a"); ok || s.Mirror.Revision != 9 || len(s.Mirror.TakeChanges()) != 3 {
		t.Fatal("watch not followed")
	}
	c := s.Tick(2 * time.Second)
	s.Reply(2*time.Second, c[0].ID, 410, nil)
	// The mirror is read again: two pages, and what they lack is gone.
	c = s.Tick(2 * time.Second)
	s.Reply(2*time.Second, c[0].ID, 200, pack(t, map[string]any{"rows": []any{map[string]any{"path": "u/c", "v": 1, "stamp": 20}}, "hasNext": true, "ledger": 30}))
	c = s.Tick(2 * time.Second)
	if !strings.Contains(c[0].Path, "since=u%2Fc") {
		t.Fatalf("second page %+v", c)
	}
	s.Reply(2*time.Second, c[0].ID, 200, pack(t, map[string]any{"rows": []any{map[string]any{"path": "u/d", "v": 1, "stamp": 31}}, "ledger": 33}))
	if _, ok := s.Mirror.Get("u/b"); ok {
		t.Error("a key that is gone is still there")
	}
	c = s.Tick(3 * time.Second)
	if !strings.Contains(c[0].Path, "since=30") {
		t.Errorf("the watch goes on from %s, want the first page's revision", c[0].Path)
	}
	// An older message changes nothing.
	s.Reply(2*time.Second, c[0].ID, 200, pack(t, map[string]any{"ledger": 34, "news": []any{map[string]any{"remove": "u/d", "stamp": 30}}}))
	if _, ok := s.Mirror.Get("u/d"); !ok {
		t.Error("an older removal took a newer key")
	}
}

// TestNothingUsesUpTheRequests guards against submissions that waited behind other
// requests of their node: however often keys change and users ask, watches and
// questions leave room, and a submission goes at once.
func TestNothingUsesUpTheRequests(t *testing.T) {
	s, watch := loaded(t)
	s.SetShare(1.0/7, 1.0/7)
	watches, questions := 0, 0
	var open []uint64
	for now := time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		s.Reply(now, watch, 200, pack(t, map[string]any{"ledger": 10 + now.Milliseconds(), "news": []any{}}))
		for _, id := range open {
			s.Reply(now, id, 200, nil)
		}
		open = nil
		for i := 0; i < 3; i++ {
			s.Get(Query, time.Second, "k", func(Reply) {})
		}
		submitted := now%(500*time.Millisecond) == 0
		if submitted {
			s.Txn(User, time.Second, wire.Txn{Then: []wire.Op{{Key: "job"}}}, func(Reply) {})
		}
		gone := false
		for _, c := range s.Tick(now) {
			switch {
			case strings.HasPrefix(c.Path, "/watch"):
				watch = c.ID
				watches++
			case c.Method == "POST":
				gone = true
				open = append(open, c.ID)
			default:
				questions++
				open = append(open, c.ID)
			}
		}
		if submitted && !gone {
			t.Fatalf("at %v a submission waits for %d watches and %d questions", now, watches, questions)
		}
	}
	if watches < 50 || watches > 140 || questions < 100 {
		t.Errorf("%d watches and %d questions in 19 s of 19 requests each", watches, questions)
	}
}

// TestLargeTransactionsAreSavedFor: a transaction of several changes goes although less
// important ones of one change each keep coming, more than the budget holds.
func TestLargeTransactionsAreSavedFor(t *testing.T) {
	s, _ := loaded(t)
	s.SetShare(0.5, 0.5) // 9 changes a second
	records, completions := 0, 0
	for now := time.Second; now <= 11*time.Second; now += 50 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			s.Txn(Records, time.Second, wire.Txn{Then: make([]wire.Op, 7)}, func(r Reply) {
				if r.Status == OK {
					records++
				}
			})
		}
		s.Txn(Finish, 3*time.Second, wire.Txn{Then: make([]wire.Op, 1)}, func(r Reply) {
			if r.Status == OK {
				completions++
			}
		})
		for _, c := range s.Tick(now) {
			if c.Method == "POST" {
				s.Reply(now, c.ID, 200, nil)
			}
		}
	}
	if records != 5 || completions < 40 {
		t.Errorf("%d of 5 records and %d completions went", records, completions)
	}
}

// TestReadingAnewIsNoNewerThanItsFirstPage: after a 410 all keys are read anew, page by page. What
// is written meanwhile, before the place that was read last, is not in the pages: it comes with the
// watch from the first page's revision, and until then the mirror must not pass for newer than the
// first page's request.
func TestReadingAnewIsNoNewerThanItsFirstPage(t *testing.T) {
	s, watch := loaded(t)
	cancelled, job := Root+"c/job-1", Root+"o/job-1"
	s.Reply(2*time.Second, watch, 410, nil)
	next := func(now time.Duration, want string) uint64 {
		t.Helper()
		calls := s.Tick(now)
		if len(calls) != 1 || !strings.Contains(calls[0].Path, want) {
			t.Fatalf("at %v: %+v", now, calls)
		}
		return calls[0].ID
	}
	row := func(key string, version uint64) map[string]any {
		return map[string]any{"path": key, "v": true, "stamp": version}
	}
	before := s.Mirror.KnownThrough
	first := next(3*time.Second, "/kv?")
	s.Reply(4*time.Second, first, 200, pack(t, map[string]any{"rows": []any{row(Root+"a", 3)}, "hasNext": true, "ledger": 10}))
	// Now job-1 is accepted here, in revision 11, and cancelled, in revision 12, elsewhere.
	second := next(5*time.Second, "since="+"u%2Fa")
	s.Mirror.Put(job, pack(t, true), 11)
	if s.Mirror.KnownThrough != before {
		t.Errorf("in the midst of the reading the mirror goes up to %v", s.Mirror.KnownThrough)
	}
	s.Reply(6*time.Second, second, 200, pack(t, map[string]any{"rows": []any{row(Root+"z", 4)}, "ledger": 12}))
	if s.Mirror.KnownThrough != 3*time.Second {
		t.Errorf("read from 3 s on, and goes up to %v", s.Mirror.KnownThrough)
	}
	third := next(7*time.Second, "since=10")
	s.Reply(8*time.Second, third, 200, pack(t, map[string]any{"ledger": 12, "news": []any{
		map[string]any{"put": job, "v": true, "stamp": 11}, map[string]any{"put": cancelled, "v": true, "stamp": 12}}}))
	for _, key := range []string{job, cancelled} {
		if _, ok := s.Mirror.Get(key); !ok {
			t.Errorf("%s is missing", key)
		}
	}
	if s.Mirror.KnownThrough != 7*time.Second {
		t.Errorf("watched at 7 s, and goes up to %v", s.Mirror.KnownThrough)
	}
}
