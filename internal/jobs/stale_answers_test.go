package jobs

import (
	"slices"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// newHarnessWithSubmission returns a harness with one submission whose transaction was sent. The
// state service is slow to answer: the tests supply its reply after more requests have arrived.
func newHarnessWithSubmission(t *testing.T, id string) (h *harness, commit statestore.Call, answers *[]Answer) {
	t.Helper()
	h = newHarness(t)
	h.tick()
	answers = &[]Answer{}
	h.submit(id, answers)
	h.tick()
	return h, h.takeTxn(), answers
}

func (h *harness) submit(id string, answers *[]Answer) {
	job := &wire.Job{ID: id, Tasks: 1, Types: []string{"c"}}
	h.registry.Submit(h.now, job, func(a Answer) { *answers = append(*answers, a) })
}

// takeTxn returns the only transaction sent since the last call.
func (h *harness) takeTxn() statestore.Call {
	h.t.Helper()
	if len(h.txns) != 1 {
		h.t.Fatalf("%d transactions were sent, want 1", len(h.txns))
	}
	call := h.txns[0]
	h.txns = nil
	return call
}

// replyFinal replies to the read of a job's final state.
func (h *harness) replyFinal(state wire.JobState) {
	h.t.Helper()
	if len(h.gets) != 1 {
		h.t.Fatalf("%d reads of keys were sent, want 1", len(h.gets))
	}
	call := h.gets[0]
	h.gets = nil
	h.store.HandleReply(h.now, call.ID, 200, h.encode(map[string]any{"path": "x", "v": finalState{Status: state}, "stamp": 9}))
}

// requireNewLookup checks that a repeated submission has no answer yet, and that it is answered
// from a lookup sent now, which finds that the job was cancelled meanwhile.
func (h *harness) requireNewLookup(id string, repeat *[]Answer) {
	h.t.Helper()
	if len(*repeat) != 0 {
		h.t.Fatalf("the repeated submission was answered from an earlier read: %+v", *repeat)
	}
	h.tick()
	h.store.HandleReply(h.now, h.takeTxn().ID, 409, h.encode(wire.TxnReply{Failed: []string{keyFinal + id}}))
	h.tick()
	h.replyFinal(wire.StatusCancelled)
	if len(*repeat) != 1 {
		h.t.Fatalf("the repeated submission has %d answers, want 1", len(*repeat))
	}
	requireStatus(h.t, (*repeat)[0], wire.StatusCancelled)
}

func requireStatus(t *testing.T, answer Answer, want wire.JobState) {
	t.Helper()
	state, ok := answer.Body.(wire.JobStatus)
	if answer.Status != 200 || !ok || state.Status != want {
		t.Errorf("answer %+v, want 200 %s", answer, want)
	}
}

// TestRepeatAfterLookupSent checks that a repeated submission gets no stale answer. A submission of
// an existing job waits for a lookup, which is sent and finds the job open. Then another node
// confirms the job's cancellation to a user, and the submission is repeated. The repeat must not
// share the answer of the lookup, which was sent before the repeat arrived.
func TestRepeatAfterLookupSent(t *testing.T) {
	h, commit, first := newHarnessWithSubmission(t, "job-1")
	h.store.HandleReply(h.now, commit.ID, 409, h.encode(wire.TxnReply{Failed: []string{keyJob + "job-1"}}))
	h.tick()
	lookupCall := h.takeTxn()

	var repeat []Answer
	h.submit("job-1", &repeat)
	h.store.HandleReply(h.now, lookupCall.ID, 409, h.encode(wire.TxnReply{Failed: []string{keyJob + "job-1"}}))
	if len(*first) != 1 {
		t.Fatalf("the first submission has %d answers, want 1", len(*first))
	}
	requireStatus(t, (*first)[0], wire.StatusPending)
	h.requireNewLookup("job-1", &repeat)
}

// TestRepeatAfterCommitSent checks that a repeated submission gets no stale answer from the
// transaction that accepts the job. The reply to the transaction is late, and before the repeat
// arrives, other nodes have confirmed to users that the job was accepted and cancelled.
func TestRepeatAfterCommitSent(t *testing.T) {
	h, commit, first := newHarnessWithSubmission(t, "job-1")
	var repeat []Answer
	h.submit("job-1", &repeat)
	h.store.HandleReply(h.now, commit.ID, 200, h.encode(wire.TxnReply{Revision: 9}))
	if len(*first) != 1 || (*first)[0].Status != 201 {
		t.Fatalf("the first submission got %+v", *first)
	}
	h.requireNewLookup("job-1", &repeat)
}

// TestLateAcceptanceReturnsKnownFinalState checks that no user gets the answer "pending" after
// another user got the answer "cancelled". A peer's message that the job is cancelled arrives
// before the reply to the transaction that accepted the job, and this node has already answered a
// query with the final state, which it read, as the message does not say when the job was cancelled.
func TestLateAcceptanceReturnsKnownFinalState(t *testing.T) {
	h, commit, first := newHarnessWithSubmission(t, "job-1")
	h.registry.MergeCancellations(h.now, []string{"job-1"})
	var query []Answer
	h.registry.Query(h.now, "job-1", func(a Answer) { query = append(query, a) })
	h.requireNewLookup("job-1", &query)
	h.store.HandleReply(h.now, commit.ID, 200, h.encode(wire.TxnReply{Revision: 9}))
	if len(*first) != 1 {
		t.Fatalf("the submission has %d answers, want 1", len(*first))
	}
	requireStatus(t, (*first)[0], wire.StatusCancelled)
}

// TestPeersReceiveEveryCancellation checks that the list that this node sends to peers as complete
// contains each cancellation that it confirmed to a user, as long as tasks of the job may be left.
// If only a time limit decided, a cancellation would be missing from the list when the limit
// expires, and permanently if this node has not read the job's record.
func TestPeersReceiveEveryCancellation(t *testing.T) {
	const id = "job-1"
	confirm := func(t *testing.T) *harness {
		h := newHarness(t)
		h.registry.cacheFinal(id, finalState{Status: wire.StatusCancelled})
		return h
	}
	for _, test := range []struct {
		name string
		open bool
	}{{"its job is known", true}, {"its job has not been read", false}} {
		t.Run(test.name, func(t *testing.T) {
			h := confirm(t)
			if test.open {
				record := h.encode(&wire.Job{ID: id, Tasks: 1, Types: []string{"c"}})
				h.registry.Apply(statestore.Change{Key: keyJob + id, Entry: statestore.Entry{Value: record, Version: 9}})
			}
			for _, after := range []time.Duration{0, limits.CancelNoticeRetention, limits.CancelNoticeRetention + time.Second, 2 * limits.CancelNoticeRetention} {
				h.registry.now = h.now + after
				if got := h.registry.Cancellations(); !slices.Contains(got, id) {
					t.Errorf("%v after the cancellation was confirmed to its user, peers receive only %v", after, got)
				}
			}
		})
	}
}
