// Package statestore is this node's side of the state service: a queue of
// requests under a budget, and a mirror of the watched keys. It is a pure state
// machine: requests come out as Calls, answers go in through Reply.
package statestore

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Priority orders requests when the budget is short; lower goes first.
type Priority int

// Priorities, from the first served to the last.
const (
	Lease    Priority = iota // renewals and claims: without them nothing is allowed
	User                     // submissions and cancellations
	Records                  // jobs and machines that wait to be used, many to a change
	Finish                   // completions
	Query                    // questions about jobs: many go together while they wait
	Progress                 // done bits, clean-up
	priorities
)

// reserve is the part of the saved-up changes that a priority leaves to those
// before it: otherwise a submission waits for what a batch has just used up.
// requestReserve is the same for requests: guards against submissions that queue
// behind the questions of users who ask many times as often.
var (
	reserve        = [priorities]float64{Progress: limits.ProgressReserve}
	requestReserve = [priorities]float64{Query: limits.QueryReserve}
)

// Status of an answer, beyond the HTTP codes: NoAnswer means the request may
// have been executed, or may be executed later.
const (
	NoAnswer   = 0
	OK         = 200
	BadRequest = 400
	NotFound   = 404
	Conflict   = 409
)

// Call is an HTTP request for the edge to make.
type Call struct {
	ID      uint64
	Method  string
	Path    string
	Body    any
	Writes  int // puts and deletes that it asks for
	Timeout time.Duration
}

// IsWatch tells whether the call is a watch, which waits on purpose.
func (c Call) IsWatch() bool { return strings.HasPrefix(c.Path, "/watch") }

// Reply is what came of a request.
type Reply struct {
	Status int
	Body   []byte
	SentAt time.Duration // steady time at which the request left
	Call   uint64        // the call that was answered; 0: the request never left
}

// Refused tells that the request was certainly not executed.
func (r Reply) Refused() bool { return r.Status == 503 || r.Status == 429 }

type request struct {
	prio   Priority
	method string
	path   string
	body   any
	writes int
	until  time.Duration // dropped unsent after this
	done   func(Reply)
}

type inFlight struct {
	call Call
	sent time.Duration
	done func(Reply)
}

// tokenBucket is a token bucket on injected time.
type tokenBucket struct {
	rate, level, capacity float64
	last                  time.Duration
}

func (b *tokenBucket) fill(now time.Duration) {
	if now > b.last {
		b.level = min(b.capacity, b.level+b.rate*(now-b.last).Seconds())
		b.last = now
	}
}

// Store is the client's state.
type Store struct {
	now           time.Duration
	rps, writeRPS float64
	reducedRate   float64       // changes a second that the service may go over to; 0: none
	reducedUntil  time.Duration // until when next is held to
	shares        [2]float64    // of requests and of changes that are this node's
	requestBucket tokenBucket
	writeBucket   tokenBucket
	queues        [priorities][]*request
	queued        int
	inFlight      map[uint64]*inFlight
	nextID        uint64
	pausedUntil   time.Duration // no ordinary requests before this
	savingUp      bool          // changes are saved up for a transaction of a higher priority
	out           []Call
	LastOK        time.Duration // when the last answered request was sent
	LastFail      time.Duration
	Mirror        *Mirror
	TxnOps        int
	TxnGuards     int
	// ValueBytes is the most bytes of a value.
	ValueBytes float64
}

// New makes a client with the whole deployment's budget; Share sets its part.
func New(rps, writeRPS float64, txnOps int, valueKB float64) *Store {
	s := &Store{rps: rps, writeRPS: writeRPS, inFlight: map[uint64]*inFlight{}, TxnOps: txnOps, TxnGuards: 4 * txnOps, ValueBytes: valueKB * 1024}
	s.SetShare(1.0/3, 1.0/3)
	s.requestBucket.level, s.writeBucket.level = s.requestBucket.capacity, s.writeBucket.capacity
	s.Mirror = newMirror(s)
	return s
}

// AnnounceWriteRate tells of another budget of changes, for which the service may exchange the
// present one at any moment. Whether it has shows when it refuses some.
func (s *Store) AnnounceWriteRate(rate float64) { s.reducedRate = rate }

// SetShare sets which parts of the budgets of requests and of changes this node may use.
func (s *Store) SetShare(requests, changes float64) {
	s.shares = [2]float64{requests, changes}
	wps := s.writeRPS
	if s.reducedRate > 0 && s.now < s.reducedUntil {
		wps = min(wps, s.reducedRate)
	}
	s.requestBucket.rate = max(3, s.rps*requests*limits.BudgetUse)
	s.writeBucket.rate = max(1, wps*changes*limits.BudgetUse)
	// Bursts seldom come to all nodes at once, and the service allows a second's
	// worth: a node may save up more than its part of that.
	s.requestBucket.capacity = max(s.requestBucket.rate, s.rps*limits.BurstUse)
	s.writeBucket.capacity = max(s.writeBucket.rate, wps*limits.BurstUse)
}

// MaxWrites is the most changes that one transaction of this node may hold, now and after
// an announced change of the budget.
func (s *Store) MaxWrites() int {
	most := s.writeBucket.capacity
	if s.reducedRate > 0 {
		most = min(most, max(1, s.reducedRate*limits.BurstUse))
	}
	return max(1, min(s.TxnOps, int(most)))
}

// Txn queues a transaction. wait bounds the time in the queue (0: no bound);
// done gets a 503 when it runs out.
func (s *Store) Txn(p Priority, wait time.Duration, t wire.Txn, done func(Reply)) {
	s.add(&request{prio: p, method: "POST", path: "/multi", body: t, writes: len(t.Then), until: s.until(wait), done: done})
}

// Get queues the reading of a key.
func (s *Store) Get(p Priority, wait time.Duration, key string, done func(Reply)) {
	s.add(&request{prio: p, method: "GET", path: "/kv/" + key, until: s.until(wait), done: done})
}

// List queues the reading of one page of keys.
func (s *Store) List(p Priority, prefix, since string, done func(Reply)) {
	q := fmt.Sprintf("/kv?starts=%s&page=%d", url.QueryEscape(prefix), limits.MirrorPage)
	if since != "" {
		q += "&since=" + url.QueryEscape(since)
	}
	s.add(&request{prio: p, method: "GET", path: q, done: done})
}

// NewLease asks for a lease.
func (s *Store) NewLease(ttl time.Duration, done func(Reply)) {
	s.add(&request{prio: Lease, method: "POST", path: "/leases", body: wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, until: s.until(limits.StoreTimeout), done: done})
}

// Renew renews a lease. It is never retried from the queue: a late renewal is worth less than a new one.
func (s *Store) Renew(lease uint64, done func(Reply)) {
	s.add(&request{prio: Lease, method: "POST", path: fmt.Sprintf("/leases/%d/renew", lease), until: s.until(limits.RenewInterval), done: done})
}

// EndLease ends a lease at once.
func (s *Store) EndLease(lease uint64, done func(Reply)) {
	s.add(&request{prio: Lease, method: "DELETE", path: fmt.Sprintf("/leases/%d", lease), until: s.until(limits.StoreTimeout), done: done})
}

func (s *Store) until(wait time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	return s.now + wait
}

func (s *Store) add(r *request) {
	if s.queued >= limits.StoreQueue && r.prio != Lease {
		r.done(Reply{Status: 503, SentAt: s.now})
		return
	}
	s.queues[r.prio] = append(s.queues[r.prio], r)
	s.queued++
}

// Advance lets time pass without doing anything about it. Guards against a node that
// stood still for a moment: its renewal was dated back and dropped unsent as too old,
// and the lease, which it could have saved, ended.
func (s *Store) Advance(now time.Duration) { s.now = max(s.now, now) }

// Tick advances time and sends what the budget allows.
func (s *Store) Tick(now time.Duration) []Call {
	if now > s.now {
		s.now = now
	}
	s.requestBucket.fill(now)
	s.writeBucket.fill(now)
	s.Mirror.tick()
	s.savingUp = false
	for p := range s.queues {
		s.sendQueued(Priority(p))
	}
	out := s.out
	s.out = nil
	return out
}

func (s *Store) sendQueued(p Priority) {
	q := s.queues[p]
	kept := q[:0:0]
	for i, r := range q {
		if r.until != 0 && s.now >= r.until {
			s.queued--
			r.done(Reply{Status: 503, SentAt: s.now})
			continue
		}
		urgent := p == Lease
		// A transaction larger than the burst could wait for ever: a full
		// bucket lets it go and takes on the debt.
		need := min(float64(r.writes)+s.writeBucket.capacity*reserve[p], s.writeBucket.capacity)
		short := r.writes > 0 && (s.savingUp || s.writeBucket.level < need)
		if !urgent && (s.now < s.pausedUntil || len(s.inFlight) >= limits.StoreInFlight || s.requestBucket.level < 1+s.requestBucket.capacity*requestReserve[p] || short) {
			// Guards against records that hundreds of jobs and all new machines waited
			// for: completions, one change each, took every change before the several
			// that such a transaction needs had come together.
			s.savingUp = s.savingUp || short && p != Progress
			kept = append(kept, q[i:]...)
			break
		}
		s.requestBucket.level--
		s.writeBucket.level -= float64(r.writes)
		s.queued--
		s.send(r, limits.StoreTimeout)
	}
	// Callbacks may have queued more.
	if added := s.queues[p][len(q):]; len(added) > 0 {
		kept = append(kept, added...)
	}
	s.queues[p] = kept
}

func (s *Store) send(r *request, timeout time.Duration) {
	s.nextID++
	call := Call{ID: s.nextID, Method: r.method, Path: r.path, Body: r.body, Writes: r.writes, Timeout: timeout}
	s.inFlight[s.nextID] = &inFlight{call: call, sent: s.now, done: r.done}
	s.out = append(s.out, call)
}

// InFlight returns a call that is under way, and when it left.
func (s *Store) InFlight(id uint64) (call Call, sentAt time.Duration, ok bool) {
	f, ok := s.inFlight[id]
	if !ok {
		return Call{}, 0, false
	}
	return f.call, f.sent, true
}

// Reply hands over what came of a call: its status, 0 for no answer.
func (s *Store) Reply(now time.Duration, id uint64, status int, body []byte) {
	if now > s.now {
		s.now = now
	}
	f, ok := s.inFlight[id]
	if !ok {
		return
	}
	delete(s.inFlight, id)
	switch {
	case status == NoAnswer || status == 503:
		s.LastFail = s.now
		s.pausedUntil = s.now + limits.StoreBackoff
	case status == 429:
		s.pausedUntil = s.now + limits.StoreBackoff
		if f.call.Writes > 0 && s.reducedRate > 0 {
			s.reducedUntil = s.now + limits.SlowerFor
			s.SetShare(s.shares[0], s.shares[1])
		}
	default:
		if f.sent > s.LastOK {
			s.LastOK = f.sent
		}
	}
	f.done(Reply{Status: status, Body: body, SentAt: f.sent, Call: id})
}

// LastCall is the number of the last call that has left; later ones have larger numbers.
func (s *Store) LastCall() uint64 { return s.nextID }

// Unreachable tells that the state service has failed for a while: whoever needs
// it should be told at once, and not after one more failure.
func (s *Store) Unreachable() bool { return s.Down() && s.LastFail-s.LastOK > limits.DownAfter }

// WriteWait is how long one more change of a priority would wait for the budget.
func (s *Store) WriteWait(p Priority) time.Duration {
	n := 1 - s.writeBucket.level
	for q := Lease; q <= p; q++ {
		for _, r := range s.queues[q] {
			n += float64(r.writes)
		}
	}
	return limits.Seconds(max(0, n/s.writeBucket.rate))
}

// CanSpare tells whether so many changes of the least priority could go now.
func (s *Store) CanSpare(changes int) bool {
	n := float64(changes)
	for p := range s.queues {
		for _, r := range s.queues[p] {
			n += float64(r.writes)
		}
	}
	return s.writeBucket.level >= min(n+s.writeBucket.capacity*reserve[Progress], s.writeBucket.capacity)
}

// Down tells whether the state service seems out of reach: the newest failure
// is newer than every success.
func (s *Store) Down() bool { return s.LastFail > s.LastOK && s.LastFail > 0 }
