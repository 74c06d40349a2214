package controller

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/config"
	"umberpaddle/internal/wire"
)

type simKey struct {
	value   msgpack.RawMessage
	version uint64
	lease   uint64
}
type simLease struct {
	ttl time.Duration
	end time.Duration
}
type simEvent struct {
	key string
	ev  wire.Event
}
type simWatch struct {
	node   int
	prefix string
	since  uint64
	answer func(int, []byte)
	done   bool
}
type simStore struct {
	w        *simulation
	keys     map[string]*simKey
	leases   map[uint64]*simLease
	nextID   uint64
	revision uint64
	events   []simEvent
	watches  []*simWatch
	outage   bool
	refuse   map[int]bool        // nodes that get 503 although others are served
	late     float64             // part of transactions that get no answer and are carried out later
	unsaid   float64             // part of transactions that are carried out and get no answer
	slow     float64             // most seconds that a request waits before it is looked at
	held     float64             // part of answers that leave up to 1.2 s after the request was carried out
	now      *config.StateLimits // limits that it holds to; nil: those of the settings
	tooLarge int                 // transactions refused for their size
	oldest   uint64              // watches since an earlier revision get 410
	pageRows int                 // most rows of a page; 0: as many as were asked for
	changes  float64             // left of a second's budget of changes
	filled   time.Duration
}

func (s *simStore) setOutage(on bool) {
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.end = s.w.now + l.ttl
		}
		s.wake()
	}
}

// forgetEvents drops the history of changes: whoever watches has to read all records anew.
func (s *simStore) forgetEvents() {
	s.oldest = s.revision
	watches := s.watches
	s.watches = nil
	for _, x := range watches {
		if !x.done {
			x.done = true
			x.answer(410, nil)
		}
	}
}

func (s *simStore) expire() {
	if s.outage {
		return
	}
	for _, id := range sortedKeys(s.leases) {
		if l := s.leases[id]; s.w.now > l.end {
			s.endLease(id)
		}
	}
}

func sortedKeys[K uint64 | string, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return ks[i] < ks[j] })
	return ks
}

func (s *simStore) endLease(id uint64) {
	delete(s.leases, id)
	for _, k := range sortedKeys(s.keys) {
		if s.keys[k].lease == id {
			s.revision++
			delete(s.keys, k)
			s.events = append(s.events, simEvent{k, wire.Event{Remove: k, Version: s.revision}})
		}
	}
	s.wake()
}

func (s *simStore) wake() {
	if s.outage {
		return
	}
	var rest []*simWatch
	for _, x := range s.watches {
		if x.done {
			continue
		}
		if evs := s.since(x.prefix, x.since); len(evs) > 0 && !s.refuse[x.node] {
			x.done = true
			x.answer(200, pack(map[string]any{"ledger": s.revision, "news": evs}))
			continue
		}
		rest = append(rest, x)
	}
	s.watches = rest
}

func (s *simStore) since(prefix string, rev uint64) []wire.Event {
	var out []wire.Event
	for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].ev.Version > rev }); i < len(s.events); i++ {
		if strings.HasPrefix(s.events[i].key, prefix) {
			out = append(out, s.events[i].ev)
		}
	}
	return out
}

// serveHeld carries a request out at once, and its answer may leave late.
func (s *simStore) serveHeld(node int, method, path string, body []byte, answer func(int, []byte)) {
	if s.held > 0 && s.w.chance(s.held) {
		soon := answer
		answer = func(status int, b []byte) { s.w.schedule(s.w.between(0.1, 1.2), func() { soon(status, b) }) }
	}
	s.serve(node, method, path, body, answer)
}

func (s *simStore) serve(node int, method, path string, body []byte, answer func(int, []byte)) {
	s.expire()
	u, err := url.Parse(path)
	if err != nil {
		answer(400, nil)
		return
	}
	if s.outage || s.refuse[node] {
		answer(503, nil)
		return
	}
	q := u.Query()
	switch {
	case u.Path == "/watch":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		hold, _ := strconv.ParseInt(q.Get("holdMs"), 10, 64)
		if since < s.oldest {
			answer(410, nil)
			return
		}
		x := &simWatch{node: node, prefix: q.Get("starts"), since: since, answer: answer}
		s.watches = append(s.watches, x)
		s.w.schedule(time.Duration(hold)*time.Millisecond, func() {
			if !x.done && !s.outage && !s.refuse[node] {
				x.done = true
				answer(200, pack(map[string]any{"ledger": s.revision, "news": s.since(x.prefix, x.since)}))
			}
		})
		s.wake()
	case u.Path == "/kv":
		rows := []map[string]any{}
		page, _ := strconv.Atoi(q.Get("page"))
		if s.pageRows > 0 {
			page = min(page, s.pageRows)
		}
		more := false
		for _, k := range sortedKeys(s.keys) {
			if !strings.HasPrefix(k, q.Get("starts")) || k <= q.Get("since") {
				continue
			}
			if len(rows) == page {
				more = true
				break
			}
			e := s.keys[k]
			rows = append(rows, map[string]any{"path": k, "v": e.value, "stamp": e.version, "permit": e.lease})
		}
		answer(200, pack(map[string]any{"rows": rows, "hasNext": more, "ledger": s.revision}))
	case strings.HasPrefix(u.Path, "/kv/"):
		k := strings.TrimPrefix(u.Path, "/kv/")
		if e := s.keys[k]; e != nil {
			answer(200, pack(map[string]any{"path": k, "v": e.value, "stamp": e.version}))
		} else {
			answer(404, pack(map[string]any{"ledger": s.revision}))
		}
	case u.Path == "/multi":
		switch {
		case s.w.chance(s.late):
			s.w.schedule(s.w.between(2, 12), func() { s.afterOutage(body) })
		case s.w.chance(s.unsaid):
			s.txn(body)
		default:
			answer(s.txn(body))
		}
	case u.Path == "/leases":
		var l wire.LeaseRequest
		if wire.Decode(body, &l) != nil || l.TTLMs < 100 {
			answer(400, nil)
			return
		}
		s.nextID++
		ttl := time.Duration(l.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &simLease{ttl, s.w.now + ttl}
		id := s.nextID
		var check func()
		check = func() {
			s.expire()
			if s.leases[id] != nil {
				s.w.schedule(50*time.Millisecond, check)
			}
		}
		check()
		answer(200, pack(wire.LeaseReply{Lease: id}))
	case strings.HasPrefix(u.Path, "/leases/"):
		rest := strings.TrimPrefix(u.Path, "/leases/")
		id, _ := strconv.ParseUint(strings.TrimSuffix(rest, "/renew"), 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			answer(404, nil)
		case method == "DELETE":
			s.endLease(id)
			answer(200, nil)
		default:
			l.end = s.w.now + l.ttl
			answer(200, nil)
		}
	default:
		answer(400, nil)
	}
}

// limit goes over to smaller limits.
func (s *simStore) limit(l *config.StateLimits) { s.now, s.changes, s.filled = l, l.WriteRPS, s.w.now }

// afterOutage carries out a transaction whose sender has long given it up.
func (s *simStore) afterOutage(body []byte) {
	if s.outage {
		s.w.schedule(time.Second, func() { s.afterOutage(body) })
		return
	}
	s.expire()
	s.txn(body)
}

type rawOp struct {
	Put    string             `msgpack:"put"`
	Remove string             `msgpack:"remove"`
	Value  msgpack.RawMessage `msgpack:"v"`
	Lease  uint64             `msgpack:"permit"`
}

func (s *simStore) txn(body []byte) (int, []byte) {
	var t struct {
		Guards []wire.Guard `msgpack:"guards"`
		Then   []rawOp      `msgpack:"then"`
	}
	if err := wire.Decode(body, &t); err != nil {
		return 400, nil
	}
	if l := s.now; l != nil {
		s.changes = min(l.WriteRPS, s.changes+l.WriteRPS*(s.w.now-s.filled).Seconds())
		s.filled = s.w.now
		if len(t.Then) > l.TxnOps || len(t.Guards) > 4*l.TxnOps {
			s.tooLarge++
			return 400, nil
		}
		for _, o := range t.Then {
			if float64(len(o.Value)) > l.ValueKB*1024*0.8 {
				s.tooLarge++
				return 400, nil
			}
		}
		if float64(len(t.Then)) > s.changes {
			return 429, nil
		}
		s.changes -= float64(len(t.Then))
	}
	if len(t.Then) > s.w.cfg.txnOps || len(t.Guards) > 4*s.w.cfg.txnOps || len(body) > 64<<10 {
		s.w.reportBroken("limits", "transaction of %d changes and %d conditions", len(t.Then), len(t.Guards))
	}
	for _, o := range t.Then {
		if float64(len(o.Value)) > s.w.cfg.valueKB*1024*0.8 { // measured as JSON, which is longer
			s.w.reportBroken("limits", "value of %d bytes at %s", len(o.Value), o.Put)
		}
		if o.Lease != 0 && s.leases[o.Lease] == nil {
			return 400, pack(wire.ErrorBody{Error: "no such lease"})
		}
	}
	var failed []string
	for _, g := range t.Guards {
		var v uint64
		if e := s.keys[g.Key]; e != nil {
			v = e.version
		}
		if v != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 409, pack(wire.TxnReply{Revision: s.revision, Failed: failed})
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, o := range t.Then {
			if o.Put != "" {
				s.keys[o.Put] = &simKey{o.Value, s.revision, o.Lease}
				s.events = append(s.events, simEvent{o.Put, wire.Event{Put: o.Put, Value: o.Value, Version: s.revision, Lease: o.Lease}})
			} else if s.keys[o.Remove] != nil {
				delete(s.keys, o.Remove)
				s.events = append(s.events, simEvent{o.Remove, wire.Event{Remove: o.Remove, Version: s.revision}})
			}
		}
		s.wake()
	}
	return 200, pack(wire.TxnReply{Revision: s.revision})
}
