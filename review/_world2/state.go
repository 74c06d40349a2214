package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

type entry struct {
	value  msgpack.RawMessage
	stamp  uint64
	permit uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	key   string
	event map[string]any
	stamp uint64
}

// stateService is the small store of PROTOCOL, "Controller nodes -> state service".
type stateService struct {
	w         *world
	ledger    uint64
	keys      map[string]*entry
	leases    map[uint64]*lease
	lastLease uint64
	news      []change
	forgotten uint64 // newest change that is no longer kept
	changed   chan struct{}
	requests  *bucket
	writes    *bucket
	outage    bool
	refused   map[string]bool // nodes that alone get 503
	count     int             // requests served
	// slow returns for a node, if set, how late the answer to a request leaves. It is called with mu held.
	slow map[string]func(method, path string) time.Duration
}

func newStateService(w *world) *stateService {
	s := &stateService{w: w, ledger: 1, keys: map[string]*entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		requests: newBucket(w.cfg.rps, w.cfg.rps), writes: newBucket(w.cfg.writeRPS, w.cfg.writeRPS), refused: map[string]bool{},
		slow: map[string]func(string, string) time.Duration{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			s.expire()
			w.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases whose time is over. Leases do not end in an outage.
func (s *stateService) expire() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, e := range s.keys {
		if e.permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.ledger++
	for _, key := range keys {
		s.remove(key)
	}
	s.tell()
}

// setOutage begins or ends an outage; at its end every lease has its full time again.
func (s *stateService) setOutage(on bool) {
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
		s.tell()
	}
}

func (s *stateService) remove(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	s.note(key, map[string]any{"remove": key, "stamp": s.ledger})
}

func (s *stateService) note(key string, event map[string]any) {
	s.news = append(s.news, change{key, event, s.ledger})
	if len(s.news) > 10000 {
		s.forgotten = s.news[0].stamp
		s.news = s.news[1:]
	}
}

func (s *stateService) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the service as one node reaches it.
func (s *stateService) handler(label string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body := readAll(r)
		if s.w.lostOnCut(label, r) {
			panic(http.ErrAbortHandler)
		}
		status, answer := s.serve(label, r, body)
		var delay time.Duration
		s.w.mu.Lock()
		if f := s.slow[label]; f != nil {
			delay = f(r.Method, r.URL.Path)
		}
		s.w.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if s.w.lostOnCut(label, r) {
			panic(http.ErrAbortHandler)
		}
		reply(rw, status, answer)
	}
}

// lostOnCut reports whether a request, or its answer, is lost since a controller is cut off from the state
// service: it waits until the controller has given up, or the cut is over.
func (w *world) lostOnCut(label string, r *http.Request) bool {
	w.waitWhile(func() bool { return w.noState[label] && r.Context().Err() == nil })
	return r.Context().Err() != nil
}

func (s *stateService) serve(label string, r *http.Request, body []byte) (int, any) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.expire()
	s.count++
	if s.outage || s.refused[label] {
		return 503, nil
	}
	if !s.requests.take(1) {
		s.w.log("state: 429 for a request of %s", label)
		return 429, nil
	}
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case r.Method == "GET" && path == "/kv":
		return s.list(query.Get("starts"), query.Get("since"), query.Get("page"))
	case r.Method == "GET" && strings.HasPrefix(path, "/kv/"):
		e := s.keys[strings.TrimPrefix(r.URL.EscapedPath(), "/kv/")]
		if e == nil {
			return 404, map[string]any{"ledger": s.ledger}
		}
		return 200, map[string]any{"path": strings.TrimPrefix(r.URL.EscapedPath(), "/kv/"), "v": e.value, "stamp": e.stamp, "permit": e.permit}
	case r.Method == "POST" && path == "/multi":
		return s.multi(label, body)
	case r.Method == "POST" && path == "/leases":
		var in struct {
			TTLMs int64 `msgpack:"ttlMs"`
		}
		if !decode(body, &in) || in.TTLMs < 100 || in.TTLMs > 600000 {
			return 400, nil
		}
		s.lastLease++
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"permit": s.lastLease}
	case strings.HasPrefix(path, "/leases/"):
		rest := strings.TrimPrefix(path, "/leases/")
		id, _ := strconv.ParseUint(strings.TrimSuffix(rest, "/renew"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if r.Method == "DELETE" {
			s.endLease(id)
			return 200, map[string]any{}
		}
		l.expires = time.Now().Add(l.ttl)
		return 200, map[string]any{"permit": id}
	case r.Method == "GET" && path == "/watch":
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		hold, _ := strconv.Atoi(query.Get("holdMs"))
		return s.watch(label, r, query.Get("starts"), since, time.Duration(min(hold, 60000))*time.Millisecond)
	}
	return 400, nil
}

func (s *stateService) list(starts, since, page string) (int, any) {
	limit, _ := strconv.Atoi(page)
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, starts) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, more := []any{}, 0, false
	for _, key := range keys {
		e := s.keys[key]
		if len(rows) >= limit || size > 400<<10 {
			more = true
			break
		}
		size += len(key) + 2*len(e.value) + 40
		rows = append(rows, map[string]any{"path": key, "v": e.value, "stamp": e.stamp, "permit": e.permit})
	}
	return 200, map[string]any{"rows": rows, "hasNext": more, "ledger": s.ledger}
}

func (s *stateService) multi(label string, body []byte) (int, any) {
	var in struct {
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
	if !decode(body, &in) || len(in.Then) > s.w.cfg.txnOps || len(in.Guards) > 4*s.w.cfg.txnOps {
		return 400, nil
	}
	for _, op := range in.Then {
		var value any
		if op.Put != "" {
			if msgpack.Unmarshal(op.Value, &value) != nil {
				return 400, nil
			}
			if text, err := json.Marshal(value); err == nil && float64(len(text)) > s.w.cfg.valueKB*1024 {
				s.w.log("state: 400 for a value of %d bytes under %s", len(text), op.Put)
				return 400, nil
			}
		}
	}
	if !s.writes.take(float64(len(in.Then))) {
		s.w.log("state: 429 for the changes of %s", label)
		return 429, nil
	}
	for _, op := range in.Then {
		if op.Put != "" && op.Permit != 0 && s.leases[op.Permit] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, guard := range in.Guards {
		var stamp uint64
		if e := s.keys[guard.Path]; e != nil {
			stamp = e.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(in.Then) > 0 {
		s.ledger++
		for _, op := range in.Then {
			if op.Put == "" {
				s.remove(op.Remove)
				continue
			}
			s.keys[op.Put] = &entry{op.Value, s.ledger, op.Permit}
			s.note(op.Put, map[string]any{"put": op.Put, "v": op.Value, "stamp": s.ledger, "permit": op.Permit})
		}
		s.tell()
	}
	return 200, map[string]any{"ledger": s.ledger}
}

// watch waits for news. It is called with the lock held, and gives it up while it waits.
func (s *stateService) watch(label string, r *http.Request, starts string, since uint64, hold time.Duration) (int, any) {
	deadline := time.Now().Add(hold)
	for {
		if !s.outage && !s.refused[label] {
			if since < s.forgotten {
				return 410, nil
			}
			events := []any{}
			first := sort.Search(len(s.news), func(i int) bool { return s.news[i].stamp > since })
			for _, c := range s.news[first:] {
				if strings.HasPrefix(c.key, starts) {
					events = append(events, c.event)
				}
			}
			if len(events) > 0 || !time.Now().Before(deadline) {
				return 200, map[string]any{"ledger": s.ledger, "news": events}
			}
		}
		changed := s.changed
		wait := max(time.Until(deadline), 50*time.Millisecond)
		s.w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(wait):
		}
		s.w.mu.Lock()
		if r.Context().Err() != nil {
			return 503, nil
		}
	}
}
