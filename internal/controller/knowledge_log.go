package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
)

// replyTimes summarizes the response times of the state service since they were last logged.
type replyTimes struct {
	replies, slow int
	longest       time.Duration
}

// recordStoreLatency counts a reply of the state service and logs it if it is slow, because the state in
// a reply may be as old as its call.
func (c *Core) recordStoreLatency(reply StoreReply) {
	call, sentAt, ok := c.store.CallInFlight(reply.ID)
	if !ok || call.IsWatch() {
		return
	}
	latency := c.now.Steady - sentAt
	c.storeReplyTimes.replies++
	c.storeReplyTimes.longest = max(c.storeReplyTimes.longest, latency)
	if latency < limits.SlowStoreReply {
		return
	}
	c.storeReplyTimes.slow++
	c.log(slog.LevelDebug, "slow reply of the state service", "method", call.Method, "path", call.Path, "call", reply.ID, "status", reply.Status, "tookS", latency.Seconds())
}

// cancellationsAge returns the age of this node's view of the cancellations. A cancellation
// can be missing from the view only if it was confirmed to a user less than this age ago.
func (c *Core) cancellationsAge() time.Duration {
	return c.now.Steady - c.ownership.CancellationsKnownThrough()
}

// logFullReads logs each full read of the records, with the age of the state that the read
// returned.
func (c *Core) logFullReads() {
	mirror := c.store.Mirror
	if mirror.FullReads == c.loggedFullReads {
		return
	}
	c.loggedFullReads = mirror.FullReads
	c.log(slog.LevelInfo, "records read", "readings", mirror.FullReads, "revision", mirror.Revision, "keys", mirror.Len(), "ageS", (c.now.Steady - mirror.KnownThrough).Seconds())
}

// logKnowledge periodically logs the state on which this node acts: the leader, this node's terms,
// and the age of its mirror of the state service.
func (c *Core) logKnowledge() {
	c.logFullReads()
	if c.now.Steady < c.nextKnowledgeLog {
		return
	}
	c.nextKnowledgeLog = c.now.Steady + limits.KnowledgeLogInterval
	mirror, summary := c.store.Mirror, c.storeReplyTimes
	c.storeReplyTimes = replyTimes{}
	c.log(slog.LevelDebug, "knowledge", "leader", c.ownership.Leader(), "terms", c.ownership.Terms(), "leaseValid", c.ownership.LeaseValid(),
		"revision", mirror.Revision, "mirrorAgeS", (c.now.Steady - mirror.KnownThrough).Seconds(), "cancellationsKnownS", c.cancellationsAge().Seconds(),
		"replies", summary.replies, "slow", summary.slow, "longestS", summary.longest.Seconds(), "withheldAnswers", c.jobs.WithheldAnswers,
		"renewals", c.renewalCounts)
}
