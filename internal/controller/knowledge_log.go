package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/limits"
)

// replyTimes sums up how long the state service took, since it was last logged.
type replyTimes struct {
	replies, slow int
	longest       time.Duration
}

// noteSlowReply counts a reply of the state service and logs a slow one: what it tells is as old
// as its call, whatever has happened since.
func (c *Core) noteSlowReply(x StoreReply) {
	call, sentAt, ok := c.store.InFlight(x.ID)
	if !ok || call.IsWatch() {
		return
	}
	took := c.now.Steady - sentAt
	c.storeReplies.replies++
	c.storeReplies.longest = max(c.storeReplies.longest, took)
	if took < limits.SlowStore {
		return
	}
	c.storeReplies.slow++
	c.log(slog.LevelDebug, "slow reply of the state service", "method", call.Method, "path", call.Path, "call", x.ID, "status", x.Status, "tookS", took.Seconds())
}

// cancellationsAge is how old this node's knowledge of all cancellations is.
func (c *Core) cancellationsAge() time.Duration {
	return c.now.Steady - c.ownership.CancellationsKnownThrough()
}

// logReadings tells when all records were read, and up to when they are known by that.
func (c *Core) logReadings() {
	mirror := c.store.Mirror
	if mirror.Readings == c.loggedReadings {
		return
	}
	c.loggedReadings = mirror.Readings
	c.log(slog.LevelInfo, "records read", "readings", mirror.Readings, "revision", mirror.Revision, "keys", mirror.Len(), "ageS", (c.now.Steady - mirror.KnownThrough).Seconds())
}

// logKnowledge tells on what this node acts and answers: who leads, under which terms this node
// acts, and how old its picture of the state service is.
func (c *Core) logKnowledge() {
	c.logReadings()
	if c.now.Steady < c.nextKnowledgeLog {
		return
	}
	c.nextKnowledgeLog = c.now.Steady + limits.KnowledgeLogInterval
	mirror, times := c.store.Mirror, c.storeReplies
	c.storeReplies = replyTimes{}
	c.log(slog.LevelDebug, "knowledge", "leader", c.ownership.Leader(), "terms", c.ownership.Terms(), "leaseValid", c.ownership.LeaseValid(),
		"revision", mirror.Revision, "mirrorAgeS", (c.now.Steady - mirror.KnownThrough).Seconds(), "cancellationsKnownS", c.cancellationsAge().Seconds(),
		"replies", times.replies, "slow", times.slow, "longestS", times.longest.Seconds(), "withheldAnswers", c.jobs.WithheldAnswers,
		"renewals", c.renewals)
}
