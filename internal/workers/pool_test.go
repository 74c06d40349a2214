package workers

import (
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// newHeartbeat returns a heartbeat of machine i-1 with the given running tasks.
func newHeartbeat(incarnation, seq, token uint64, tasks ...string) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Machine: "i-1", Type: "c", Incarnation: incarnation, Seq: seq, FencingToken: token}
	for _, task := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task, Attempt: 1, State: wire.TaskRunning})
	}
	return heartbeat
}

// TestHeartbeatVerdicts checks which heartbeats the pool uses. It must not use the task list of a
// late heartbeat or of a heartbeat with an earlier fencing token, since tasks may have started or
// ended since then.
func TestHeartbeatVerdicts(t *testing.T) {
	pool := New(14, 1.5)
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
		term      uint64
		want      Verdict
		adopted   bool
		tasks     int
	}{
		{"an older token proves nothing", newHeartbeat(1, 5, 3, "j/0"), 7, Unproven, false, 0},
		{"the owner's token makes the heartbeat current", newHeartbeat(1, 6, 7, "j/0", "j/1"), 7, Current, true, 2},
		{"a late heartbeat changes nothing", newHeartbeat(1, 5, 7), 7, Stale, true, 2},
		{"the same heartbeat again changes nothing", newHeartbeat(1, 6, 7), 7, Stale, true, 2},
		{"a heartbeat of a new incarnation is used although its sequence number is lower", newHeartbeat(2, 1, 7), 7, Current, true, 0},
		{"a heartbeat of an earlier incarnation is not used", newHeartbeat(1, 99, 7, "j/0"), 7, Stale, true, 0},
		{"a higher token deposes the owner", newHeartbeat(2, 2, 9), 7, Deposed, true, 0},
		{"in a new term of the owner, an earlier token proves nothing", newHeartbeat(2, 3, 9, "j/2"), 11, Unproven, false, 0},
		{"the new term's token makes the heartbeat current", newHeartbeat(2, 4, 11, "j/2"), 11, Current, true, 1},
	}
	for _, step := range steps {
		m, verdict := pool.ReceiveHeartbeat(time.Second, step.heartbeat, step.term, 0)
		if verdict != step.want || m.Adopted != step.adopted || len(m.Tasks) != step.tasks {
			t.Errorf("%s: verdict %v, adopted %v, %d tasks", step.name, verdict, m.Adopted, len(m.Tasks))
		}
	}
}

// TestLeaseEndsNoSoonerThanOnWorker checks that the pool does not consider a lease as ended while the
// worker may still hold it. The worker counts the lease from when it sent the heartbeat, on a clock that
// may be slower by the allowed drift.
func TestLeaseEndsNoSoonerThanOnWorker(t *testing.T) {
	pool := New(14, 1.5)
	machine, _ := pool.ReceiveHeartbeat(10*time.Second, newHeartbeat(1, 1, 7), 7, 0)
	if pool.Expired(machine, 10*time.Second+14*time.Second+7*time.Millisecond) {
		t.Error("the lease has ended although the worker may still run its tasks")
	}
	if !pool.Expired(machine, 25*time.Second) {
		t.Error("the lease has not ended after 15 s")
	}
	if !machine.Usable(12*time.Second, pool.HeartbeatInterval) || machine.Usable(15*time.Second, pool.HeartbeatInterval) {
		t.Error("the machine must be usable while its heartbeats arrive, and not when it has been silent for three heartbeat intervals")
	}
}

// TestRecallDrainsMachine checks that a machine that the cloud will take away gets no more tasks.
func TestRecallDrainsMachine(t *testing.T) {
	pool := New(14, 1.5)
	recalled := newHeartbeat(1, 1, 7)
	recallS := 12.0
	recalled.RecallS = &recallS
	m, _ := pool.ReceiveHeartbeat(10*time.Second, recalled, 7, 0)
	if m.RecallAt != 22*time.Second || m.Usable(10*time.Second, pool.HeartbeatInterval) {
		t.Errorf("recalled at %v, usable %v; want 22s and not usable", m.RecallAt, m.Usable(10*time.Second, pool.HeartbeatInterval))
	}
}
