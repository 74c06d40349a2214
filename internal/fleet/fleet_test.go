package fleet

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// encode returns value in the encoding of the cloud's replies.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := wire.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// tick advances the clock, answers the reads of machine types and lists, and returns
// the other calls.
func tick(t *testing.T, manager *Manager, now time.Duration) []Call {
	t.Helper()
	var calls []Call
	for _, call := range manager.Tick(now, true, 1) {
		switch {
		case call.Path == "/machine_types":
			manager.HandleReply(now, call.ID, 200, encode(t, wire.MachineTypes{Types: []wire.MachineType{{Name: "c", BootS: 10}}}))
		case strings.HasPrefix(call.Path, "/hosts?"):
			manager.HandleReply(now, call.ID, 200, encode(t, wire.MachineList{}))
		default:
			calls = append(calls, call)
		}
	}
	return calls
}

// TestUnansweredCallsAreRetried checks that a rental request without an answer is repeated with the
// same request name, and that its machines count as booting until it is answered. With another
// name, the machines would be rented twice. A deletion must be retried until the cloud confirms it,
// and a machine that never comes up must be marked for deletion.
func TestUnansweredCallsAreRetried(t *testing.T) {
	manager := New(10, 4, "p", func(slog.Level, string, ...any) {})
	var deletedIDs []string
	manager.OnDeleted = func(id string) { deletedIDs = append(deletedIDs, id) }
	now := time.Second
	tick(t, manager, now)
	kind := Kind{Class: "c", Zone: "z", Spot: true}
	manager.Rent(kind, 3)
	calls := tick(t, manager, now)
	firstRequest := calls[0].Body.(wire.RentalRequest)
	manager.HandleReply(now, calls[0].ID, 0, nil)
	if manager.MayRent(kind) || manager.CountBooting()[kind] != 3 {
		t.Fatal("an unanswered rental request does not block other requests of its kind, or its machines do not count as booting")
	}
	now += 5 * time.Second
	calls = tick(t, manager, now)
	if len(calls) != 1 || calls[0].Body.(wire.RentalRequest) != firstRequest {
		t.Fatalf("retried as %+v, want %+v", calls, firstRequest)
	}
	manager.HandleReply(now, calls[0].ID, 200, encode(t, wire.MachineIDs{Machines: []string{"i-1", "i-2"}}))
	if manager.CountBooting()[kind] != 2 || manager.Available(kind) || len(manager.Rentals) != 2 {
		t.Errorf("booting %v, available %v", manager.CountBooting(), manager.Available(kind))
	}
	now += 10 * time.Second
	tick(t, manager, now)
	manager.Rent(kind, 1)
	if second := tick(t, manager, now)[0].Body.(wire.RentalRequest); second.Request == firstRequest.Request {
		t.Error("a new request has the name of an earlier one")
	}

	// A deletion is retried until the cloud answers it with status 200.
	manager.MarkForDeletion("i-1", ReturnIdle)
	calls = tick(t, manager, now)
	manager.HandleReply(now, calls[0].ID, 0, nil)
	if len(deletedIDs) != 0 {
		t.Fatal("the machine counts as deleted without an answer")
	}
	now += 5 * time.Second
	calls = tick(t, manager, now)
	manager.HandleReply(now, calls[0].ID, 200, nil)
	if len(deletedIDs) != 1 || !manager.IsDeleted("i-1") || manager.Track("i-1", kind, now) != nil {
		t.Errorf("deleted %v, want only i-1, which can't be tracked again", deletedIDs)
	}
	// Two minutes later, the machine that never came up is marked for deletion.
	now += 2 * time.Minute
	tick(t, manager, now)
	manager.MarkDeadRentalsForDeletion(true, 0)
	if !manager.Rentals["i-2"].Deleting {
		t.Error("a machine that never came up is not marked for deletion")
	}
}

// TestSpotRiskFollowsLosses checks that the risk of spot machines rises with losses and
// decays without them.
func TestSpotRiskFollowsLosses(t *testing.T) {
	manager := New(10, 4, "p", func(slog.Level, string, ...any) {})
	manager.Track("i-1", Kind{Spot: true}, 0).Up = true
	baseline := manager.SpotRisk(60)
	for i := 0; i < 5; i++ {
		manager.RecordSpotLoss()
	}
	if manager.SpotRisk(60) < 2*baseline {
		t.Errorf("risk %v after losses, %v before", manager.SpotRisk(60), baseline)
	}
	manager.now = time.Hour
	manager.MarkDeadRentalsForDeletion(true, 0)
	if manager.SpotRisk(60) > baseline {
		t.Errorf("risk %v an hour later, %v before", manager.SpotRisk(60), baseline)
	}
}

// TestUnreachableMachinesAreNotBooting checks that a machine that was up under an earlier owner and
// has sent no heartbeat to the current owner in time does not count as booting, while a new machine
// still does. If the unreachable machine counted, no replacement would be rented for it.
func TestUnreachableMachinesAreNotBooting(t *testing.T) {
	manager := New(10, 4, "p", func(slog.Level, string, ...any) {})
	manager.TakeoverTimeout = 8 * time.Second
	tick(t, manager, time.Second)
	kind := Kind{Class: "c", Zone: "z"}
	manager.Track("i-1", kind, time.Second).WasUp = true
	manager.Track("i-2", kind, time.Second)
	if n := manager.CountBooting()[kind]; n != 2 {
		t.Errorf("%d machines booting at first, want 2", n)
	}
	tick(t, manager, 10*time.Second)
	if n := manager.CountBooting()[kind]; n != 1 {
		t.Errorf("%d machines booting after the takeover timeout, want 1", n)
	}
}
