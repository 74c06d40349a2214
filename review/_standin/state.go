package main

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// stateService is a stand-in for the state service, by PROTOCOL "Controller nodes -> state service".
type stateService struct {
	mu       sync.Mutex
	keys     map[string]stateEntry
	revision uint64
	history  []stateEvent
	leases   map[uint64]*stateLease
	lastID   uint64
	changed  chan struct{} // closed and replaced at every change
}

type stateEntry struct {
	value  msgpack.RawMessage
	stamp  uint64
	permit uint64
}

type stateEvent struct {
	Put    string             `msgpack:"put,omitempty"`
	Remove string             `msgpack:"remove,omitempty"`
	Value  msgpack.RawMessage `msgpack:"v,omitempty"`
	Stamp  uint64             `msgpack:"stamp"`
	Permit uint64             `msgpack:"permit,omitempty"`
}

type stateLease struct {
	ttl  time.Duration
	ends time.Time
}

func newStateService() *stateService {
	s := &stateService{keys: map[string]stateEntry{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) removeKey(key string) {
	delete(s.keys, key)
	s.history = append(s.history, stateEvent{Remove: key, Stamp: s.revision})
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, entry := range s.keys {
		if entry.permit == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	sort.Strings(attached)
	s.revision++
	for _, key := range attached {
		s.removeKey(key)
	}
	s.notify()
}

func (s *stateService) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.ends.Add(20 * time.Millisecond)) {
			s.endLease(id)
		}
	}
}

func (s *stateService) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path
		switch {
		case path == "/watch":
			s.watch(w, r)
		case path == "/multi":
			s.multi(w, r)
		case path == "/kv":
			s.list(w, r.URL.Query())
		case strings.HasPrefix(path, "/kv/"):
			s.get(w, strings.TrimPrefix(path, "/kv/"))
		case strings.HasPrefix(path, "/leases"):
			s.lease(w, r)
		default:
			reply(w, 400, nil)
		}
	})
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	entry, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"ledger": revision})
		return
	}
	reply(w, 200, map[string]any{"path": key, "v": entry.value, "stamp": entry.stamp, "permit": entry.permit})
}

func (s *stateService) list(w http.ResponseWriter, query url.Values) {
	prefix, since := query.Get("starts"), query.Get("since")
	limit, _ := strconv.Atoi(query.Get("page"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}
	rows := []map[string]any{}
	for _, key := range keys {
		entry := s.keys[key]
		rows = append(rows, map[string]any{"path": key, "v": entry.value, "stamp": entry.stamp, "permit": entry.permit})
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, 200, map[string]any{"rows": rows, "hasNext": more, "ledger": revision})
}

func (s *stateService) multi(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Guards []struct {
			Path  string `msgpack:"path"`
			Stamp uint64 `msgpack:"stamp"`
		} `msgpack:"guards"`
		Then []struct {
			Put    string             `msgpack:"put"`
			Value  msgpack.RawMessage `msgpack:"v"`
			Permit uint64             `msgpack:"permit"`
			Remove string             `msgpack:"remove"`
		} `msgpack:"then"`
	}
	if !read(r, &txn) {
		reply(w, 400, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Then {
		if op.Put != "" && op.Permit != 0 && s.leases[op.Permit] == nil {
			reply(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		if s.keys[guard.Path].stamp != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledger": s.revision})
		return
	}
	if len(txn.Then) > 0 {
		s.revision++
		for _, op := range txn.Then {
			if op.Put != "" {
				s.keys[op.Put] = stateEntry{op.Value, s.revision, op.Permit}
				s.history = append(s.history, stateEvent{Put: op.Put, Value: op.Value, Stamp: s.revision, Permit: op.Permit})
			} else if _, ok := s.keys[op.Remove]; ok {
				s.removeKey(op.Remove)
			}
		}
		s.notify()
	}
	reply(w, 200, map[string]any{"ledger": s.revision})
}

func (s *stateService) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var body struct {
			TTL int64 `msgpack:"ttlMs"`
		}
		if !read(r, &body) || body.TTL < 100 || body.TTL > 600000 {
			reply(w, 400, nil)
			return
		}
		s.lastID++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.lastID] = &stateLease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"permit": s.lastID})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	lease := s.leases[id]
	switch {
	case lease == nil:
		reply(w, 404, nil)
	case r.Method == "DELETE":
		s.endLease(id)
		reply(w, 200, nil)
	default:
		lease.ends = time.Now().Add(lease.ttl)
		reply(w, 200, map[string]any{"permit": id})
	}
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("holdMs"))
	timeout := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		news := []stateEvent{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Stamp > since; i-- {
			if strings.HasPrefix(s.history[i].Put+s.history[i].Remove, query.Get("starts")) {
				news = append(news, s.history[i])
			}
		}
		for i, j := 0, len(news)-1; i < j; i, j = i+1, j-1 {
			news[i], news[j] = news[j], news[i]
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(news) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, 200, map[string]any{"ledger": revision, "news": news})
		return
	}
}
