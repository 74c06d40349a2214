package jobs

import (
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/ownership"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// remoteOwnership is the ownership of a node when another node owns every class.
type remoteOwnership struct {
	fixedOwnership
	launcher       ownership.Launcher
	earlierActs    bool   // an earlier owner may still act
	publishedReads uint64 // revision that the launcher has published
}

func (o *remoteOwnership) Launcher(string) ownership.Launcher { return o.launcher }

func (o *remoteOwnership) EarlierOwnersStopped(_, _ string) bool {
	return !o.earlierActs
}

func (o *remoteOwnership) HasRead(_ ownership.Launcher, revision uint64) bool {
	return o.publishedReads >= revision
}

// Revisions of the job, of the owner's claim and of the job's cancellation.
const (
	jobRevision    = 3
	claimRevision  = 2
	cancelRevision = 12
)

// newHarnessWithCancellation returns a harness with a request to cancel a job that the node "owner" owns, and
// the transaction that records the cancellation.
func newHarnessWithCancellation(t *testing.T) (h *harness, owner *remoteOwnership, write statestore.Call, answers *[]Answer) {
	t.Helper()
	h = newHarness(t)
	h.tick()
	owner = &remoteOwnership{launcher: ownership.Launcher{Node: "owner", Incarnation: 7, Term: claimRevision}}
	h.registry.ownership = owner
	record := h.encode(&wire.Job{ID: "job-1", Tasks: 1, Types: []string{"c"}})
	h.store.Mirror.Put(keyJob+"job-1", record, jobRevision)
	h.tick()
	answers = &[]Answer{}
	h.registry.Cancel(h.now, "job-1", func(a Answer) { *answers = append(*answers, a) })
	h.tick()
	return h, owner, h.takeTxn(), answers
}

// reply answers a transaction after a time.
func (h *harness) reply(after time.Duration, call statestore.Call, status int, body wire.TxnReply) {
	h.now += after
	h.registry.Advance(h.now)
	h.store.HandleReply(h.now, call.ID, status, h.encode(body))
}

// replyWatch answers the open watch: the mirror reaches the revision of the cancellation.
func (h *harness) replyWatch(events ...map[string]any) {
	h.store.HandleReply(h.now, h.watch.ID, 200, h.encode(map[string]any{"ledger": cancelRevision, "news": events}))
}

// TestCancellationIsConfirmedOnceOwnerIsInformed checks when a user is told of a recorded cancellation: only
// once the owner certainly launches no task of the job any more. With a hold that the owner agreed to
// before the cancellation was recorded, this is at once.
func TestCancellationIsConfirmedOnceOwnerIsInformed(t *testing.T) {
	mirrorCancellation := func(h *harness, _ *remoteOwnership) { h.replyWatch() }
	for _, test := range []struct {
		name           string
		writeTakes     time.Duration
		before, after  func(h *harness, owner *remoteOwnership)
		confirmedFirst bool // before `after` happens
		confirmed      bool
	}{
		{name: "nothing is known"},
		{name: "the owner holds launches", before: func(h *harness, _ *remoteOwnership) { h.registry.RecordHold("owner", 7, h.now, []string{"job-1"}) }, confirmedFirst: true, confirmed: true},
		{name: "the owner's hold comes late", after: func(h *harness, _ *remoteOwnership) { h.registry.RecordHold("owner", 7, h.now, []string{"job-1"}) }, confirmed: true},
		{name: "an earlier process held launches", before: func(h *harness, _ *remoteOwnership) { h.registry.RecordHold("owner", 6, h.now, []string{"job-1"}) }},
		{name: "another node held launches", before: func(h *harness, _ *remoteOwnership) { h.registry.RecordHold("other", 7, h.now, []string{"job-1"}) }},
		{name: "the hold was over", writeTakes: limits.LaunchHold, before: func(h *harness, _ *remoteOwnership) { h.registry.RecordHold("owner", 7, h.now, []string{"job-1"}) }},
		{name: "an earlier owner may act", before: func(h *harness, o *remoteOwnership) {
			o.earlierActs = true
			h.registry.RecordHold("owner", 7, h.now, []string{"job-1"})
		}},
		{name: "the owner acknowledged", after: func(h *harness, _ *remoteOwnership) {
			h.registry.RecordCancellationAcknowledged("owner", []string{"job-1"})
		}, confirmed: true},
		{name: "another node acknowledged", after: func(h *harness, _ *remoteOwnership) {
			h.registry.RecordCancellationAcknowledged("other", []string{"job-1"})
		}},
		{name: "the owner published that it has read it", after: func(_ *harness, o *remoteOwnership) { o.publishedReads = cancelRevision }, confirmed: true},
		{name: "the owner published an earlier read", after: func(_ *harness, o *remoteOwnership) { o.publishedReads = cancelRevision - 1 }},
		{name: "the mirror shows the same owner", after: mirrorCancellation},
		{name: "the mirror shows no owner", after: func(h *harness, o *remoteOwnership) {
			o.launcher = ownership.Launcher{}
			mirrorCancellation(h, o)
		}, confirmed: true},
		{name: "the mirror shows a newer owner", after: func(h *harness, o *remoteOwnership) {
			o.launcher = ownership.Launcher{Node: "next", Incarnation: 8, Term: cancelRevision + 1}
			mirrorCancellation(h, o)
		}, confirmed: true},
		{name: "the mirror shows that the job's record is removed", after: func(h *harness, _ *remoteOwnership) {
			h.replyWatch(map[string]any{"remove": keyJob + "job-1", "stamp": cancelRevision})
		}, confirmed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, owner, write, answers := newHarnessWithCancellation(t)
			if requests := h.registry.TakeHoldRequests(); len(requests) != 1 || requests[0] != (LaunchNotice{"owner", "job-1"}) {
				t.Fatalf("holds were requested of %v", requests)
			}
			if test.before != nil {
				test.before(h, owner)
			}
			if len(*answers) > 0 {
				t.Fatalf("answered before the cancellation was recorded: %+v", *answers)
			}
			h.reply(test.writeTakes, write, statestore.OK, wire.TxnReply{Revision: cancelRevision})
			if confirmed := len(*answers) > 0 && (*answers)[0].Status == 200; confirmed != test.confirmedFirst {
				t.Fatalf("answers when the cancellation was recorded: %+v", *answers)
			}
			if test.after != nil {
				test.after(h, owner)
			}
			var query []Answer
			h.registry.Query(h.now, "job-1", func(a Answer) { query = append(query, a) })
			h.tick()
			if !test.confirmed {
				for _, answer := range append(*answers, query...) {
					if answer.Status != 503 || answer.RetryAfter == 0 {
						t.Errorf("a user was told %+v", answer)
					}
				}
				return
			}
			if len(*answers) != 1 || len(query) != 1 {
				t.Fatalf("%d answers to the cancellation and %d to the query, want 1 of each", len(*answers), len(query))
			}
			requireStatus(t, (*answers)[0], wire.StatusCancelled)
			requireStatus(t, query[0], wire.StatusCancelled)
		})
	}
}

// TestUnconfirmedCancellationIsAnsweredInTime checks that users who wait for an owner that is out of reach are
// asked to come back before they stop waiting, and that the cancellation waits longer than a query.
func TestUnconfirmedCancellationIsAnsweredInTime(t *testing.T) {
	h, _, write, cancellation := newHarnessWithCancellation(t)
	start := h.now
	h.reply(0, write, statestore.OK, wire.TxnReply{Revision: cancelRevision})
	var query []Answer
	h.registry.Query(h.now, "job-1", func(a Answer) { query = append(query, a) })
	for h.now < start+limits.QueryTimeout {
		h.tick()
	}
	if len(query) != 1 || query[0].Status != 503 || query[0].RetryAfter == 0 || len(*cancellation) != 0 {
		t.Fatalf("after %v the query got %+v and the cancellation %+v", limits.QueryTimeout, query, *cancellation)
	}
	for h.now < start+limits.CancelTimeout {
		h.tick()
	}
	if len(*cancellation) != 1 || (*cancellation)[0].Status != 503 || (*cancellation)[0].RetryAfter == 0 {
		t.Fatalf("after %v the cancellation got %+v", limits.CancelTimeout, *cancellation)
	}
}

// TestCancellationIsRecordedThoughOwnerChanged checks that a cancellation whose transaction fails only because
// the owner has changed is recorded without that condition, and confirmed once the mirror shows the owner.
func TestCancellationIsRecordedThoughOwnerChanged(t *testing.T) {
	h, owner, write, answers := newHarnessWithCancellation(t)
	h.registry.RecordHold("owner", 7, h.now, []string{"job-1"})
	h.reply(0, write, statestore.Conflict, wire.TxnReply{Failed: []string{owner.LauncherGuard("c").Key}})
	h.tick()
	h.reply(0, h.takeTxn(), statestore.OK, wire.TxnReply{Revision: cancelRevision})
	if len(*answers) != 0 {
		t.Fatalf("answered while the owner is not known: %+v", *answers)
	}
	owner.launcher = ownership.Launcher{Node: "next", Incarnation: 8, Term: cancelRevision - 1}
	h.replyWatch()
	h.tick()
	if len(*answers) != 0 {
		t.Fatalf("answered although the next owner is not informed: %+v", *answers)
	}
	h.registry.RecordCancellationAcknowledged("next", []string{"job-1"})
	h.tick()
	if len(*answers) != 1 {
		t.Fatalf("%d answers, want 1", len(*answers))
	}
	requireStatus(t, (*answers)[0], wire.StatusCancelled)
}

// TestQueryOfCancelledJobAwaitsOnlyTheOwner checks that a node at which a user asks for a job that was cancelled at
// another node tells the user as soon as the owner has acknowledged it, even if the node's mirror lags.
func TestQueryOfCancelledJobAwaitsOnlyTheOwner(t *testing.T) {
	for _, test := range []struct {
		name         string
		ownerChanged bool
	}{{"same owner", false}, {"the owner has changed", true}} {
		t.Run(test.name, func(t *testing.T) {
			h, owner, _, _ := newHarnessWithCancellation(t)
			var query []Answer
			h.registry.Query(h.now, "job-1", func(a Answer) { query = append(query, a) })
			h.tick()
			failed := []string{keyFinal + "job-1"}
			if test.ownerChanged {
				failed = append(failed, owner.LauncherGuard("c").Key)
			}
			h.reply(0, h.takeTxn(), statestore.Conflict, wire.TxnReply{Failed: failed})
			h.tick()
			read := h.gets[0]
			h.store.HandleReply(h.now, read.ID, 200, h.encode(map[string]any{"path": "x", "v": finalState{Status: wire.StatusCancelled}, "stamp": cancelRevision}))
			if len(query) != 0 {
				t.Fatalf("answered before the owner acknowledged: %+v", query)
			}
			h.registry.RecordCancellationAcknowledged("owner", []string{"job-1"})
			h.registry.updateConfirmations()
			if told := len(query) == 1 && query[0].Status == 200; told == test.ownerChanged {
				t.Errorf("the query has the answers %+v", query)
			}
		})
	}
}

// TestOwnerOfLateJobRecordMustBeInformed checks that a node that reads of a cancellation before the job's record
// reaches its mirror tells no user of it before the owner is informed.
func TestOwnerOfLateJobRecordMustBeInformed(t *testing.T) {
	h := newHarness(t)
	h.tick()
	h.registry.ownership = &remoteOwnership{launcher: ownership.Launcher{Node: "owner", Incarnation: 7, Term: claimRevision}}
	var query []Answer
	h.registry.Query(h.now, "job-1", func(a Answer) { query = append(query, a) })
	h.tick()
	h.reply(0, h.takeTxn(), statestore.Conflict, wire.TxnReply{Failed: []string{keyFinal + "job-1", keyJob + "job-1"}})
	h.tick()
	h.store.HandleReply(h.now, h.gets[0].ID, 200, h.encode(map[string]any{"path": "x", "v": finalState{Status: wire.StatusCancelled}, "stamp": cancelRevision}))
	h.replyWatch(map[string]any{"put": keyJob + "job-1", "v": &wire.Job{ID: "job-1", Tasks: 1, Types: []string{"c"}}, "stamp": jobRevision})
	h.tick()
	h.tick()
	if len(query) != 0 {
		t.Fatalf("answered before the owner is informed: %+v", query)
	}
	if notices := h.registry.UnacknowledgedCancellations(); len(notices) != 1 || notices[0] != (LaunchNotice{"owner", "job-1"}) {
		t.Errorf("the owner is not to be informed: %v", notices)
	}
	h.registry.RecordCancellationAcknowledged("owner", []string{"job-1"})
	h.tick()
	if len(query) != 1 {
		t.Fatalf("%d answers, want 1", len(query))
	}
	requireStatus(t, query[0], wire.StatusCancelled)
}
