package fleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// TestRefusedDeletionsAreAskedAgain: machines marked for deletion are deleted in calls of at most
// limits.DeleteMost names, and those of a call that the cloud refused or left unanswered are asked
// for again. Guards against machines that are paid for on since nobody looked for them any more.
func TestRefusedDeletionsAreAskedAgain(t *testing.T) {
	for _, machines := range []int{1, limits.DeleteMost + 20} {
		f := New(10, 4, "p", func(slog.Level, string, ...any) {})
		gone := map[string]bool{}
		f.OnGone = func(id string) { gone[id] = true }
		now := time.Second
		step(t, f, now)
		for i := range machines {
			id := fmt.Sprintf("i-%06d", i)
			f.Track(id, Kind{Class: "c", Zone: "z"}, now)
			f.Delete(id, ReturnIdle)
		}
		refusals := []int{503, 0}
		for ; now < time.Minute && len(gone) < machines; now += 2 * time.Second {
			for _, call := range step(t, f, now) {
				if n := len(call.Body.(wire.Machines).Machines); n > limits.DeleteMost {
					t.Fatalf("%d names in one call", n)
				}
				status := 200
				if len(refusals) > 0 {
					status, refusals = refusals[0], refusals[1:]
				}
				f.Reply(now, call.ID, status, nil)
			}
		}
		if len(gone) != machines {
			t.Errorf("%d of %d machines are deleted", len(gone), machines)
		}
	}
}
