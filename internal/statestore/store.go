// Package statestore is a client of the state service. It queues requests under a rate budget and
// mirrors the watched keys in memory. It is a pure state machine without I/O: Store.Tick returns the
// Calls to make, and Store.HandleReply takes their results.
package statestore

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// Priority orders requests when the budget is short. Lower values go first.
type Priority int

// Priorities, from the highest to the lowest.
const (
	PriorityLease    Priority = iota // lease renewals and ownership claims, without which the node may not act
	PriorityUser                     // submissions and cancellations
	PriorityRecords                  // records that a job or machine needs before it can be used; one write may contain many
	PriorityFinish                   // job completions
	PriorityQuery                    // status queries: waiting queries are batched into one request
	PriorityProgress                 // done sets, clean-up
	priorityCount
)

// writeReserve is the fraction of the write bucket that a priority leaves to higher priorities. Without
// writeReserve, a submission waits for tokens that a batch has just used up. requestReserve is the
// fraction of the request bucket that a priority leaves to higher priorities. Without requestReserve,
// submissions queue behind status queries, which users send many times as often.
var (
	writeReserve   = [priorityCount]float64{PriorityProgress: limits.ProgressReserve}
	requestReserve = [priorityCount]float64{PriorityQuery: limits.QueryReserve}
)

// Values of Reply.Status: HTTP status codes, and NoAnswer. After NoAnswer, the
// request may have been executed already, or may still be executed later.
const (
	NoAnswer   = 0
	OK         = 200
	BadRequest = 400
	NotFound   = 404
	Conflict   = 409
)

// Call is an HTTP request that the caller of Store.Tick has to make.
type Call struct {
	ID      uint64
	Method  string
	Path    string
	Body    any
	Writes  int // number of puts and deletes
	Timeout time.Duration
}

// IsWatch reports whether the call is a watch. The service holds a watch open until a
// key changes or the hold time ends, so a slow reply to it is normal.
func (c Call) IsWatch() bool { return strings.HasPrefix(c.Path, "/watch") }

// Reply is the result of a request.
type Reply struct {
	Status int
	Body   []byte
	SentAt time.Duration // monotonic time at which the request was sent or dropped
	CallID uint64        // ID of the answered call; 0: the request was never sent
}

// Refused reports whether the request was rejected, so that it was certainly not executed.
func (r Reply) Refused() bool { return r.Status == 503 || r.Status == 429 }

type request struct {
	priority Priority
	method   string
	path     string
	body     any
	writes   int
	deadline time.Duration // dropped unsent from this time on; 0: never
	done     func(Reply)
}

type inFlight struct {
	call   Call
	sentAt time.Duration
	done   func(Reply)
}

// tokenBucket limits the rate of requests or writes, per second. Callers pass in the time.
type tokenBucket struct {
	rate, level, capacity float64
	lastFill              time.Duration
}

func (b *tokenBucket) fill(now time.Duration) {
	if now > b.lastFill {
		b.level = min(b.capacity, b.level+b.rate*(now-b.lastFill).Seconds())
		b.lastFill = now
	}
}

// Store is a client of the state service.
type Store struct {
	now             time.Duration
	rps, writeRPS   float64
	reducedWriteRPS float64       // writes per second that the service may switch to; 0: none announced
	reducedUntil    time.Duration // writes are limited to reducedWriteRPS until this time
	shares          [2]float64    // this node's shares of the request budget and of the write budget
	requestBucket   tokenBucket
	writeBucket     tokenBucket
	queues          [priorityCount][]*request
	queuedCount     int
	inFlight        map[uint64]*inFlight
	lastCallID      uint64
	pausedUntil     time.Duration // until this time, only queued requests of PriorityLease are sent
	savingTokens    bool          // write tokens are being saved for a transaction of a higher priority
	outgoingCalls   []Call
	LastOK          time.Duration // when the newest successful call was sent; any answer but 429 and 503 counts
	LastFail        time.Duration // when the newest failure was seen: no answer, or a 503
	Mirror          *Mirror
	MaxTxnOps       int // most puts and deletes in one transaction
	MaxTxnGuards    int // most guards in one transaction
	MaxValueBytes   float64
}

// New returns a client. rps and writeRPS are the budget of the whole deployment in
// requests and in writes per second; SetShare sets the part that this node may use.
func New(rps, writeRPS float64, txnOps int, valueKB float64) *Store {
	s := &Store{rps: rps, writeRPS: writeRPS, inFlight: map[uint64]*inFlight{}, MaxTxnOps: txnOps, MaxTxnGuards: 4 * txnOps, MaxValueBytes: valueKB * 1024}
	s.SetShare(1.0/3, 1.0/3)
	s.requestBucket.level, s.writeBucket.level = s.requestBucket.capacity, s.writeBucket.capacity
	s.Mirror = newMirror(s)
	return s
}

// AnnounceWriteRate sets a second write budget for the whole deployment, in writes per
// second, that the service may switch to at any moment. The store limits writes to it
// for limits.ReducedWriteRateHold after the service has rejected a write with 429.
func (s *Store) AnnounceWriteRate(rate float64) { s.reducedWriteRPS = rate }

// SetShare sets the fractions of the request budget and of the write budget that this
// node may use.
func (s *Store) SetShare(requestShare, writeShare float64) {
	s.shares = [2]float64{requestShare, writeShare}
	writeRate := s.writeRPS
	if s.reducedWriteRPS > 0 && s.now < s.reducedUntil {
		writeRate = min(writeRate, s.reducedWriteRPS)
	}
	s.requestBucket.rate = max(3, s.rps*requestShare*limits.StoreBudgetUse)
	s.writeBucket.rate = max(1, writeRate*writeShare*limits.StoreBudgetUse)
	// The service allows bursts of one second's budget, and bursts seldom occur on
	// all nodes at once, so a node may save up more than its share of a burst.
	s.requestBucket.capacity = max(s.requestBucket.rate, s.rps*limits.StoreBurstUse)
	s.writeBucket.capacity = max(s.writeBucket.rate, writeRate*limits.StoreBurstUse)
}

// MaxWrites returns the largest number of writes that one transaction of this node may
// contain. It allows for a switch to the announced write budget.
func (s *Store) MaxWrites() int {
	limit := s.writeBucket.capacity
	if s.reducedWriteRPS > 0 {
		limit = min(limit, max(1, s.reducedWriteRPS*limits.StoreBurstUse))
	}
	return max(1, min(s.MaxTxnOps, int(limit)))
}

// Txn queues a transaction. If it has not been sent after wait (0: no limit), it is
// dropped and done receives a 503.
func (s *Store) Txn(p Priority, wait time.Duration, txn wire.Txn, done func(Reply)) {
	s.enqueue(&request{priority: p, method: "POST", path: "/multi", body: txn, writes: len(txn.Then), deadline: s.deadline(wait), done: done})
}

// Get queues a read of one key. If the read has not been sent after wait (0: no limit), it is dropped
// and done receives a 503.
func (s *Store) Get(p Priority, wait time.Duration, key string, done func(Reply)) {
	s.enqueue(&request{priority: p, method: "GET", path: "/kv/" + key, deadline: s.deadline(wait), done: done})
}

// List queues a read of one page of the keys that start with prefix. The page starts
// after the key since, or with the first key if since is empty.
func (s *Store) List(p Priority, prefix, since string, done func(Reply)) {
	pathAndQuery := fmt.Sprintf("/kv?starts=%s&page=%d", url.QueryEscape(prefix), limits.MirrorPageSize)
	if since != "" {
		pathAndQuery += "&since=" + url.QueryEscape(since)
	}
	s.enqueue(&request{priority: p, method: "GET", path: pathAndQuery, done: done})
}

// NewLease queues a request for a new lease.
func (s *Store) NewLease(ttl time.Duration, done func(Reply)) {
	s.enqueue(&request{priority: PriorityLease, method: "POST", path: "/leases", body: wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, deadline: s.deadline(limits.StoreTimeout), done: done})
}

// Renew queues a lease renewal. A renewal that has not been sent within
// limits.RenewInterval is dropped, because a late renewal is worth less than a new one.
func (s *Store) Renew(lease uint64, done func(Reply)) {
	s.enqueue(&request{priority: PriorityLease, method: "POST", path: fmt.Sprintf("/leases/%d/renew", lease), deadline: s.deadline(limits.RenewInterval), done: done})
}

// RevokeLease queues a request that ends a lease before it expires.
func (s *Store) RevokeLease(lease uint64, done func(Reply)) {
	s.enqueue(&request{priority: PriorityLease, method: "DELETE", path: fmt.Sprintf("/leases/%d", lease), deadline: s.deadline(limits.StoreTimeout), done: done})
}

// deadline returns the time from which a request is dropped if it is queued now and may
// wait that long; 0: never.
func (s *Store) deadline(wait time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	return s.now + wait
}

// enqueue queues a request. If the queue is full, any request but one of PriorityLease is
// rejected with a 503.
func (s *Store) enqueue(queued *request) {
	if s.queuedCount >= limits.MaxStoreQueue && queued.priority != PriorityLease {
		queued.done(Reply{Status: 503, SentAt: s.now})
		return
	}
	s.queues[queued.priority] = append(s.queues[queued.priority], queued)
	s.queuedCount++
}

// Advance sets the current time without sending or dropping any request. Without this method, a process
// that was paused for a moment would queue its lease renewal with a time from before the pause, drop it
// unsent as too old, and lose a lease that it could have kept.
func (s *Store) Advance(now time.Duration) { s.now = max(s.now, now) }

// Tick advances the time and returns the calls to make now, as far as the budget allows.
func (s *Store) Tick(now time.Duration) []Call {
	if now > s.now {
		s.now = now
	}
	s.requestBucket.fill(now)
	s.writeBucket.fill(now)
	s.Mirror.tick()
	s.savingTokens = false
	for p := range s.queues {
		s.sendQueued(Priority(p))
	}
	outgoing := s.outgoingCalls
	s.outgoingCalls = nil
	return outgoing
}

// sendQueued sends queued requests of one priority, in order, until the budget is used
// up. It drops requests whose deadline has passed.
func (s *Store) sendQueued(priority Priority) {
	queue := s.queues[priority]
	remainingRequests := queue[:0:0]
	for i, request := range queue {
		if request.deadline != 0 && s.now >= request.deadline {
			s.queuedCount--
			request.done(Reply{Status: 503, SentAt: s.now})
			continue
		}
		urgent := priority == PriorityLease
		// A transaction with more writes than the bucket's capacity would wait forever.
		// It is sent when the bucket is full, and the level becomes negative.
		neededTokens := min(float64(request.writes)+s.writeBucket.capacity*writeReserve[priority], s.writeBucket.capacity)
		lacksTokens := request.writes > 0 && (s.savingTokens || s.writeBucket.level < neededTokens)
		if !urgent && (s.now < s.pausedUntil || len(s.inFlight) >= limits.MaxStoreInFlight || s.requestBucket.level < 1+s.requestBucket.capacity*requestReserve[priority] || lacksTokens) {
			// Without saving, completions with one write each take every token before
			// enough have accumulated for a transaction of records with several writes,
			// and hundreds of jobs and all new machines wait for those records.
			s.savingTokens = s.savingTokens || lacksTokens && priority != PriorityProgress
			remainingRequests = append(remainingRequests, queue[i:]...)
			break
		}
		s.requestBucket.level--
		s.writeBucket.level -= float64(request.writes)
		s.queuedCount--
		s.queueCall(request, limits.StoreTimeout)
	}
	// The callbacks of dropped requests may have queued new requests.
	if newRequests := s.queues[priority][len(queue):]; len(newRequests) > 0 {
		remainingRequests = append(remainingRequests, newRequests...)
	}
	s.queues[priority] = remainingRequests
}

// queueCall adds the call for a request to those that Tick returns.
func (s *Store) queueCall(queued *request, timeout time.Duration) {
	s.lastCallID++
	call := Call{ID: s.lastCallID, Method: queued.method, Path: queued.path, Body: queued.body, Writes: queued.writes, Timeout: timeout}
	s.inFlight[s.lastCallID] = &inFlight{call: call, sentAt: s.now, done: queued.done}
	s.outgoingCalls = append(s.outgoingCalls, call)
}

// CallInFlight returns a call that has not been answered yet, and when it was sent.
func (s *Store) CallInFlight(id uint64) (call Call, sentAt time.Duration, ok bool) {
	f, ok := s.inFlight[id]
	if !ok {
		return Call{}, 0, false
	}
	return f.call, f.sentAt, true
}

// HandleReply records the result of a call. status is an HTTP status, or NoAnswer.
func (s *Store) HandleReply(now time.Duration, id uint64, status int, body []byte) {
	if now > s.now {
		s.now = now
	}
	sentCall, ok := s.inFlight[id]
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
		if sentCall.call.Writes > 0 && s.reducedWriteRPS > 0 {
			s.reducedUntil = s.now + limits.ReducedWriteRateHold
			s.SetShare(s.shares[0], s.shares[1])
		}
	default:
		if sentCall.sentAt > s.LastOK {
			s.LastOK = sentCall.sentAt
		}
	}
	sentCall.done(Reply{Status: status, Body: body, SentAt: sentCall.sentAt, CallID: id})
}

// LastCallID returns the ID of the newest call. IDs increase with every call.
func (s *Store) LastCallID() uint64 { return s.lastCallID }

// Unreachable reports whether the state service has failed for longer than
// limits.StoreUnreachableAfter. Callers should then reject a user's request at once instead of
// waiting for one more failure.
func (s *Store) Unreachable() bool {
	return s.Down() && s.LastFail-s.LastOK > limits.StoreUnreachableAfter
}

// WriteWait returns how long one more write of a priority would wait for the write budget.
func (s *Store) WriteWait(priority Priority) time.Duration {
	missingTokens := 1 - s.writeBucket.level
	for p := PriorityLease; p <= priority; p++ {
		for _, r := range s.queues[p] {
			missingTokens += float64(r.writes)
		}
	}
	return limits.Seconds(max(0, missingTokens/s.writeBucket.rate))
}

// CanSpareWrites reports whether that many more writes of the lowest priority could be
// sent now, besides every write that is queued.
func (s *Store) CanSpareWrites(more int) bool {
	neededTokens := float64(more)
	for p := range s.queues {
		for _, r := range s.queues[p] {
			neededTokens += float64(r.writes)
		}
	}
	return s.writeBucket.level >= min(neededTokens+s.writeBucket.capacity*writeReserve[PriorityProgress], s.writeBucket.capacity)
}

// Down reports whether the state service seems unreachable: the newest failure came
// after the newest successful call was sent.
func (s *Store) Down() bool { return s.LastFail > s.LastOK && s.LastFail > 0 }
