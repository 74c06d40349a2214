package jobs

import (
	"slices"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// submissionUnderWay is a registry with one submission whose transaction has left. Answers of
// the state service are slow: the tests give them after more requests have come.
func submissionUnderWay(t *testing.T, id string) (b *bench, commit statestore.Call, answers *[]Answer) {
	t.Helper()
	b = newBench(t)
	b.tick()
	answers = &[]Answer{}
	b.submit(id, answers)
	b.tick()
	return b, b.takeTxn(), answers
}

func (b *bench) submit(id string, answers *[]Answer) {
	job := &wire.Job{ID: id, Tasks: 1, Types: []string{"c"}}
	b.registry.Submit(b.now, job, func(a Answer) { *answers = append(*answers, a) })
}

// takeTxn returns the only transaction that has left since the last call.
func (b *bench) takeTxn() statestore.Call {
	b.t.Helper()
	if len(b.txns) != 1 {
		b.t.Fatalf("%d transactions have left, want 1", len(b.txns))
	}
	call := b.txns[0]
	b.txns = nil
	return call
}

// replyFinal answers the reading of a job's final state.
func (b *bench) replyFinal(state wire.JobState) {
	b.t.Helper()
	if len(b.gets) != 1 {
		b.t.Fatalf("%d keys are read, want 1", len(b.gets))
	}
	call := b.gets[0]
	b.gets = nil
	b.store.Reply(b.now, call.ID, 200, b.pack(map[string]any{"path": "x", "v": finalState{Status: state}, "stamp": 9}))
}

// mustLookUpAnew checks that a repeat has no answer yet, and gets one from a look at the state
// service that leaves now: the job was cancelled meanwhile.
func (b *bench) mustLookUpAnew(id string, repeat *[]Answer) {
	b.t.Helper()
	if len(*repeat) != 0 {
		b.t.Fatalf("the repeat was answered from an earlier reading: %+v", *repeat)
	}
	b.tick()
	b.store.Reply(b.now, b.takeTxn().ID, 409, b.pack(wire.TxnReply{Failed: []string{keyFinal + id}}))
	b.tick()
	b.replyFinal(wire.StatusCancelled)
	if len(*repeat) != 1 {
		b.t.Fatalf("the repeat has %d answers", len(*repeat))
	}
	mustTell(b.t, (*repeat)[0], wire.StatusCancelled)
}

func mustTell(t *testing.T, a Answer, want wire.JobState) {
	t.Helper()
	state, ok := a.Body.(wire.JobStatus)
	if a.Status != 200 || !ok || state.Status != want {
		t.Errorf("answer %+v, want 200 %s", a, want)
	}
}

// TestRepeatAfterTheLookUpLeft guards against what a user was told on the night of the records:
// a submission that is known already waits for a look at the state service. The look has left
// and finds the job open; then another node tells that the job is cancelled, and a repeat of
// the submission comes. It must not share the answer of a look that left before it came.
func TestRepeatAfterTheLookUpLeft(t *testing.T) {
	b, commit, first := submissionUnderWay(t, "job-1")
	b.store.Reply(b.now, commit.ID, 409, b.pack(wire.TxnReply{Failed: []string{keyJob + "job-1"}}))
	b.tick()
	look := b.takeTxn()

	var repeat []Answer
	b.submit("job-1", &repeat)
	b.store.Reply(b.now, look.ID, 409, b.pack(wire.TxnReply{Failed: []string{keyJob + "job-1"}}))
	if len(*first) != 1 {
		t.Fatalf("the first submission has %d answers", len(*first))
	}
	mustTell(t, (*first)[0], wire.StatusPending)
	b.mustLookUpAnew("job-1", &repeat)
}

// TestRepeatAfterTheTransactionLeft is the same for the transaction that accepts the job:
// its answer is late, and before a repeat comes, users of other nodes were told that the job
// was accepted and cancelled.
func TestRepeatAfterTheTransactionLeft(t *testing.T) {
	b, commit, first := submissionUnderWay(t, "job-1")
	var repeat []Answer
	b.submit("job-1", &repeat)
	b.store.Reply(b.now, commit.ID, 200, b.pack(wire.TxnReply{Revision: 9}))
	if len(*first) != 1 || (*first)[0].Status != 201 {
		t.Fatalf("the first submission got %+v", *first)
	}
	b.mustLookUpAnew("job-1", &repeat)
}

// TestLateAcceptanceTellsTheKnownEnd: a peer's word that the job is cancelled overtakes the
// answer of the transaction that accepted it. The node itself has told users the end by then.
func TestLateAcceptanceTellsTheKnownEnd(t *testing.T) {
	b, commit, first := submissionUnderWay(t, "job-1")
	b.registry.MergeCancellations(b.now, []string{"job-1"})
	var question []Answer
	b.registry.Query(b.now, "job-1", func(a Answer) { question = append(question, a) })
	if len(question) != 1 {
		t.Fatalf("the question has %d answers", len(question))
	}
	mustTell(t, question[0], wire.StatusCancelled)
	b.store.Reply(b.now, commit.ID, 200, b.pack(wire.TxnReply{Revision: 9}))
	if len(*first) != 1 {
		t.Fatalf("the submission has %d answers", len(*first))
	}
	mustTell(t, (*first)[0], wire.StatusCancelled)
}

// TestPeersAreToldOfEveryCancellation: what this node vouches for must hold each cancellation that
// it told a user of, as long as tasks of the job may be left. Guards against one that is passed on
// no more after a while, at the moment at which it is in no list, and against one whose job this
// node has not read.
func TestPeersAreToldOfEveryCancellation(t *testing.T) {
	const id = "job-1"
	confirm := func(t *testing.T) *bench {
		b := newBench(t)
		b.registry.cacheFinal(id, finalState{Status: wire.StatusCancelled})
		return b
	}
	for _, c := range []struct {
		name string
		open bool
	}{{"its job is known", true}, {"its job has not been read", false}} {
		t.Run(c.name, func(t *testing.T) {
			b := confirm(t)
			if c.open {
				raw := b.pack(&wire.Job{ID: id, Tasks: 1, Types: []string{"c"}})
				b.registry.Apply(statestore.Change{Key: keyJob + id, Entry: statestore.Entry{Value: raw, Version: 9}})
			}
			for _, after := range []time.Duration{0, limits.CancelNoticeFor, limits.CancelNoticeFor + time.Second, 2 * limits.CancelNoticeFor} {
				b.registry.now = b.now + after
				if got := b.registry.Cancellations(); !slices.Contains(got, id) {
					t.Errorf("%v after its user was told, peers are told of %v only", after, got)
				}
			}
		})
	}
}
