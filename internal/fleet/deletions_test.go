package fleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// TestFailedDeletionsAreRetried checks that deletion requests name at most limits.MaxDeletionsPerRequest
// machines and that a request that the cloud refused or did not answer is retried. Without the
// retry, the machines would run on and be paid for.
func TestFailedDeletionsAreRetried(t *testing.T) {
	for _, machines := range []int{1, limits.MaxDeletionsPerRequest + 20} {
		manager := New(10, 4, "p", func(slog.Level, string, ...any) {})
		deletedIDs := map[string]bool{}
		manager.OnDeleted = func(id string) { deletedIDs[id] = true }
		now := time.Second
		tick(t, manager, now)
		for i := range machines {
			id := fmt.Sprintf("i-%06d", i)
			manager.Track(id, Kind{Class: "c", Zone: "z"}, now)
			manager.MarkForDeletion(id, ReturnIdle)
		}
		refusals := []int{503, 0}
		for ; now < time.Minute && len(deletedIDs) < machines; now += 2 * time.Second {
			for _, call := range tick(t, manager, now) {
				if n := len(call.Body.(wire.MachineIDs).Machines); n > limits.MaxDeletionsPerRequest {
					t.Fatalf("%d machines in one deletion request", n)
				}
				status := 200
				if len(refusals) > 0 {
					status, refusals = refusals[0], refusals[1:]
				}
				manager.HandleReply(now, call.ID, status, nil)
			}
		}
		if len(deletedIDs) != machines {
			t.Errorf("%d of %d machines deleted", len(deletedIDs), machines)
		}
	}
}
