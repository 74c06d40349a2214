package fleet

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

func pack(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// step lets time pass and returns the calls other than for prices and lists.
func step(t *testing.T, f *Manager, now time.Duration) []Call {
	t.Helper()
	var rest []Call
	for _, c := range f.Tick(now, true, 1) {
		switch {
		case c.Path == "/machine_types":
			f.Reply(now, c.ID, 200, pack(t, wire.MachineTypes{Types: []wire.MachineType{{Name: "c", BootS: 10}}}))
		case strings.HasPrefix(c.Path, "/hosts?"):
			f.Reply(now, c.ID, 200, pack(t, wire.MachineList{}))
		default:
			rest = append(rest, c)
		}
	}
	return rest
}

func TestUnansweredRentalIsRepeatedByName(t *testing.T) {
	f := New(10, 4, "p", func(slog.Level, string, ...any) {})
	var gone []string
	f.OnGone = func(id string) { gone = append(gone, id) }
	now := time.Second
	step(t, f, now)
	k := Kind{Class: "c", Zone: "z", Spot: true}
	f.Rent(k, 3)
	calls := step(t, f, now)
	first := calls[0].Body.(wire.Hire)
	f.Reply(now, calls[0].ID, 0, nil)
	if f.MayRent(k) || f.Booting()[k] != 3 {
		t.Fatal("an unanswered rental is not counted")
	}
	now += 5 * time.Second
	calls = step(t, f, now)
	if len(calls) != 1 || calls[0].Body.(wire.Hire) != first {
		t.Fatalf("repeated as %+v, want %+v", calls, first)
	}
	f.Reply(now, calls[0].ID, 200, pack(t, wire.Machines{Machines: []string{"i-1", "i-2"}}))
	if f.Booting()[k] != 2 || f.Available(k) || len(f.Rentals) != 2 {
		t.Errorf("booting %v, hirable %v", f.Booting(), f.Available(k))
	}
	now += 10 * time.Second
	step(t, f, now)
	f.Rent(k, 1)
	if again := step(t, f, now)[0].Body.(wire.Hire); again.Request == first.Request {
		t.Error("a request name was used again")
	}

	// A deletion counts once it is answered with 200, and is repeated before.
	f.Delete("i-1", ReturnIdle)
	calls = step(t, f, now)
	f.Reply(now, calls[0].ID, 0, nil)
	if len(gone) != 0 {
		t.Fatal("gone without an answer")
	}
	now += 5 * time.Second
	calls = step(t, f, now)
	f.Reply(now, calls[0].ID, 200, nil)
	if len(gone) != 1 || !f.IsGone("i-1") || f.Track("i-1", k, now) != nil {
		t.Errorf("gone %v", gone)
	}
	// One that never comes up goes in the end.
	now += 2 * time.Minute
	step(t, f, now)
	f.RemoveDeadRentals(true, 0)
	if !f.Rentals["i-2"].Deleted {
		t.Error("a machine that never came up is kept")
	}
}

func TestSpotRiskFollowsLosses(t *testing.T) {
	f := New(10, 4, "p", func(slog.Level, string, ...any) {})
	f.Track("i-1", Kind{Spot: true}, 0).Up = true
	calm := f.SpotRisk(60)
	for i := 0; i < 5; i++ {
		f.SpotLost()
	}
	if f.SpotRisk(60) < 2*calm {
		t.Errorf("risk %v after losses, %v before", f.SpotRisk(60), calm)
	}
	f.now = time.Hour
	f.RemoveDeadRentals(true, 0)
	if f.SpotRisk(60) > calm {
		t.Errorf("risk %v an hour later, %v before", f.SpotRisk(60), calm)
	}
}

// TestMissingMachinesAreNoSupply: what was up under an earlier owner and has not
// found this one in time is no machine on its way; one that boots still is.
func TestMissingMachinesAreNoSupply(t *testing.T) {
	f := New(10, 4, "p", func(slog.Level, string, ...any) {})
	f.TakeoverRound = 8 * time.Second
	step(t, f, time.Second)
	k := Kind{Class: "c", Zone: "z"}
	f.Track("i-1", k, time.Second).WasUp = true
	f.Track("i-2", k, time.Second)
	if n := f.Booting()[k]; n != 2 {
		t.Errorf("%d on their way at first, want 2", n)
	}
	step(t, f, 10*time.Second)
	if n := f.Booting()[k]; n != 1 {
		t.Errorf("%d on their way after a round, want 1", n)
	}
}
