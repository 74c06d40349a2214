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

// simRecord is a record in the simulated state service.
type simRecord struct {
	value   msgpack.RawMessage
	version uint64
	lease   uint64 // 0: none
}

// simLease is a lease in the simulated state service.
type simLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// simChange is one change of a key in the simulated state service, as watches return it.
type simChange struct {
	key   string
	event wire.Event
}

// simWatch is an open watch of a node for changes under a prefix.
type simWatch struct {
	node     int
	prefix   string
	since    uint64
	answer   func(int, []byte)
	answered bool
}

// simStore simulates the state service.
type simStore struct {
	sim              *simulation
	records          map[string]*simRecord
	leases           map[uint64]*simLease
	lastLeaseID      uint64 // ID of the latest lease
	revision         uint64
	history          []simChange
	watches          []*simWatch
	outage           bool
	refusedNodes     map[int]bool        // nodes that get 503 while others are served
	delayedTxnRate   float64             // fraction of transactions that get no answer and are applied 2 s to 12 s later
	lostReplyRate    float64             // fraction of transactions that are applied but get no answer
	maxDelayS        float64             // longest delay in seconds between the arrival of a request and its processing
	delayedReplyRate float64             // fraction of replies that are sent 0.1 s to 1.2 s after the request was served
	limits           *config.StateLimits // limits beyond which transactions are refused; nil: none are refused. Exceeding the limits of simConfig violates a rule
	oversizedTxns    int                 // transactions refused because of their size
	oldestRevision   uint64              // watches since an earlier revision get 410
	maxPageRows      int                 // maximum rows of a page; 0: as many as requested
	writeBudget      float64             // changes left in the write budget, which holds at most one second's worth
	refilledAt       time.Duration       // time of the last refill of the write budget
}

// setOutage begins or ends an outage. Leases do not expire during an outage, and each starts its
// full TTL again when the outage ends.
func (s *simStore) setOutage(on bool) {
	s.outage = on
	if !on {
		for _, lease := range s.leases {
			lease.expiresAt = s.sim.now + lease.ttl
		}
		s.notifyWatches()
	}
}

// dropHistory drops the recorded changes and answers all watches with 410. The watching nodes then
// have to read all records again.
func (s *simStore) dropHistory() {
	s.oldestRevision = s.revision
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		if !watch.answered {
			watch.answered = true
			watch.answer(410, nil)
		}
	}
}

// expireLeases ends the leases whose TTL has passed, unless there is an outage.
func (s *simStore) expireLeases() {
	if s.outage {
		return
	}
	for _, id := range sortedKeys(s.leases) {
		if lease := s.leases[id]; s.sim.now > lease.expiresAt {
			s.endLease(id)
		}
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K uint64 | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// endLease removes a lease and the records that depend on it.
func (s *simStore) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range sortedKeys(s.records) {
		if s.records[key].lease == id {
			s.revision++
			delete(s.records, key)
			s.history = append(s.history, simChange{key, wire.Event{Remove: key, Version: s.revision}})
		}
	}
	s.notifyWatches()
}

// notifyWatches answers the watches that have new changes, unless there is an outage or their node
// is refused.
func (s *simStore) notifyWatches() {
	if s.outage {
		return
	}
	var openWatches []*simWatch
	for _, watch := range s.watches {
		if watch.answered {
			continue
		}
		if changes := s.changesSince(watch.prefix, watch.since); len(changes) > 0 && !s.refusedNodes[watch.node] {
			watch.answered = true
			watch.answer(200, mustEncode(map[string]any{"ledger": s.revision, "news": changes}))
			continue
		}
		openWatches = append(openWatches, watch)
	}
	s.watches = openWatches
}

// changesSince returns the changes after a revision to keys with a prefix.
func (s *simStore) changesSince(prefix string, revision uint64) []wire.Event {
	var changes []wire.Event
	for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].event.Version > revision }); i < len(s.history); i++ {
		if strings.HasPrefix(s.history[i].key, prefix) {
			changes = append(changes, s.history[i].event)
		}
	}
	return changes
}

// serveWithDelay serves a request at once and may delay the answer.
func (s *simStore) serveWithDelay(node int, method, path string, body []byte, answer func(int, []byte)) {
	if s.delayedReplyRate > 0 && s.sim.chance(s.delayedReplyRate) {
		undelayed := answer
		answer = func(status int, reply []byte) {
			s.sim.schedule(s.sim.randomDuration(0.1, 1.2), func() { undelayed(status, reply) })
		}
	}
	s.serve(node, method, path, body, answer)
}

// serve serves a request to the state service.
func (s *simStore) serve(node int, method, path string, body []byte, answer func(int, []byte)) {
	s.expireLeases()
	target, err := url.Parse(path)
	if err != nil {
		answer(400, nil)
		return
	}
	if s.outage || s.refusedNodes[node] {
		answer(503, nil)
		return
	}
	query := target.Query()
	switch {
	case target.Path == "/watch":
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		holdMs, _ := strconv.ParseInt(query.Get("holdMs"), 10, 64)
		if since < s.oldestRevision {
			answer(410, nil)
			return
		}
		watch := &simWatch{node: node, prefix: query.Get("starts"), since: since, answer: answer}
		s.watches = append(s.watches, watch)
		s.sim.schedule(time.Duration(holdMs)*time.Millisecond, func() {
			if !watch.answered && !s.outage && !s.refusedNodes[node] {
				watch.answered = true
				answer(200, mustEncode(map[string]any{"ledger": s.revision, "news": s.changesSince(watch.prefix, watch.since)}))
			}
		})
		s.notifyWatches()
	case target.Path == "/kv":
		rows := []map[string]any{}
		pageRows, _ := strconv.Atoi(query.Get("page"))
		if s.maxPageRows > 0 {
			pageRows = min(pageRows, s.maxPageRows)
		}
		more := false
		for _, key := range sortedKeys(s.records) {
			if !strings.HasPrefix(key, query.Get("starts")) || key <= query.Get("since") {
				continue
			}
			if len(rows) == pageRows {
				more = true
				break
			}
			record := s.records[key]
			rows = append(rows, map[string]any{"path": key, "v": record.value, "stamp": record.version, "permit": record.lease})
		}
		answer(200, mustEncode(map[string]any{"rows": rows, "hasNext": more, "ledger": s.revision}))
	case strings.HasPrefix(target.Path, "/kv/"):
		key := strings.TrimPrefix(target.Path, "/kv/")
		if record := s.records[key]; record != nil {
			answer(200, mustEncode(map[string]any{"path": key, "v": record.value, "stamp": record.version}))
		} else {
			answer(404, mustEncode(map[string]any{"ledger": s.revision}))
		}
	case target.Path == "/multi":
		switch {
		case s.sim.chance(s.delayedTxnRate):
			s.sim.schedule(s.sim.randomDuration(2, 12), func() { s.applyAfterOutage(body) })
		case s.sim.chance(s.lostReplyRate):
			s.applyTxn(body)
		default:
			answer(s.applyTxn(body))
		}
	case target.Path == "/leases":
		var request wire.LeaseRequest
		if wire.Decode(body, &request) != nil || request.TTLMs < 100 {
			answer(400, nil)
			return
		}
		s.lastLeaseID++
		ttl := time.Duration(request.TTLMs) * time.Millisecond
		s.leases[s.lastLeaseID] = &simLease{ttl, s.sim.now + ttl}
		id := s.lastLeaseID
		var check func()
		check = func() {
			s.expireLeases()
			if s.leases[id] != nil {
				s.sim.schedule(50*time.Millisecond, check)
			}
		}
		check()
		answer(200, mustEncode(wire.LeaseReply{Lease: id}))
	case strings.HasPrefix(target.Path, "/leases/"):
		rest := strings.TrimPrefix(target.Path, "/leases/")
		id, _ := strconv.ParseUint(strings.TrimSuffix(rest, "/renew"), 10, 64)
		lease := s.leases[id]
		switch {
		case lease == nil:
			answer(404, nil)
		case method == "DELETE":
			s.endLease(id)
			answer(200, nil)
		default:
			lease.expiresAt = s.sim.now + lease.ttl
			answer(200, nil)
		}
	default:
		answer(400, nil)
	}
}

// setLimits makes the store refuse transactions beyond limits, starting with a full write budget.
func (s *simStore) setLimits(limits *config.StateLimits) {
	s.limits, s.writeBudget, s.refilledAt = limits, limits.WriteRPS, s.sim.now
}

// applyAfterOutage applies a transaction whose sender has stopped waiting for the answer. During an
// outage it retries every second.
func (s *simStore) applyAfterOutage(body []byte) {
	if s.outage {
		s.sim.schedule(time.Second, func() { s.applyAfterOutage(body) })
		return
	}
	s.expireLeases()
	s.applyTxn(body)
}

// txnOp is a change in a transaction. Its value stays encoded.
type txnOp struct {
	Put    string             `msgpack:"put"`
	Remove string             `msgpack:"remove"`
	Value  msgpack.RawMessage `msgpack:"v"`
	Lease  uint64             `msgpack:"permit"`
}

// applyTxn applies a transaction if all its guards hold, and returns the status and body of
// the answer.
func (s *simStore) applyTxn(body []byte) (int, []byte) {
	var txn struct {
		Guards []wire.Guard `msgpack:"guards"`
		Then   []txnOp      `msgpack:"then"`
	}
	if err := wire.Decode(body, &txn); err != nil {
		return 400, nil
	}
	if limits := s.limits; limits != nil {
		s.writeBudget = min(limits.WriteRPS, s.writeBudget+limits.WriteRPS*(s.sim.now-s.refilledAt).Seconds())
		s.refilledAt = s.sim.now
		if len(txn.Then) > limits.TxnOps || len(txn.Guards) > 4*limits.TxnOps {
			s.oversizedTxns++
			return 400, nil
		}
		for _, op := range txn.Then {
			if float64(len(op.Value)) > limits.ValueKB*1024*0.8 {
				s.oversizedTxns++
				return 400, nil
			}
		}
		if float64(len(txn.Then)) > s.writeBudget {
			return 429, nil
		}
		s.writeBudget -= float64(len(txn.Then))
	}
	if len(txn.Then) > s.sim.cfg.txnOps || len(txn.Guards) > 4*s.sim.cfg.txnOps || len(body) > 64<<10 {
		s.sim.reportViolation("limits", "transaction of %d changes and %d guards", len(txn.Then), len(txn.Guards))
	}
	for _, op := range txn.Then {
		if float64(len(op.Value)) > s.sim.cfg.valueKB*1024*0.8 { // the limit applies to the value as JSON, which is longer than MessagePack
			s.sim.reportViolation("limits", "value of %d bytes at %s", len(op.Value), op.Put)
		}
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return 400, mustEncode(wire.ErrorBody{Error: "no such lease"})
		}
	}
	var failedKeys []string
	for _, guard := range txn.Guards {
		var version uint64
		if record := s.records[guard.Key]; record != nil {
			version = record.version
		}
		if version != guard.Version {
			failedKeys = append(failedKeys, guard.Key)
		}
	}
	if len(failedKeys) > 0 {
		return 409, mustEncode(wire.TxnReply{Revision: s.revision, Failed: failedKeys})
	}
	if len(txn.Then) > 0 {
		s.revision++
		for _, op := range txn.Then {
			if op.Put != "" {
				s.records[op.Put] = &simRecord{op.Value, s.revision, op.Lease}
				s.history = append(s.history, simChange{op.Put, wire.Event{Put: op.Put, Value: op.Value, Version: s.revision, Lease: op.Lease}})
			} else if s.records[op.Remove] != nil {
				delete(s.records, op.Remove)
				s.history = append(s.history, simChange{op.Remove, wire.Event{Remove: op.Remove, Version: s.revision}})
			}
		}
		s.notifyWatches()
	}
	return 200, mustEncode(wire.TxnReply{Revision: s.revision})
}
