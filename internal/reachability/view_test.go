package reachability

import (
	"testing"
	"time"
)

// newView returns a view with the given states of the links for requests to the state service and to
// workers.
func newView(node string, state, workers State) View {
	return View{Node: node, Links: []Status{
		{Link: Link{Kind: StateRequests}, State: state},
		{Link: Link{Kind: Workers, Name: "small a"}, State: workers},
	}}
}

// TestLossExtent checks which controllers have lost the state service and the workers according to the
// views of a controller and its peers.
func TestLossExtent(t *testing.T) {
	const now = 10 * time.Second
	cases := []struct {
		name           string
		own            View
		peers          []View
		state, workers LossExtent
	}{
		{name: "all is well", own: newView("a", Up, Up), peers: []View{newView("b", Up, Unknown)}, state: Intact, workers: Intact},
		{name: "the state service alone", own: newView("a", Down, Up), peers: []View{newView("b", Up, Unknown)}, state: Alone, workers: Intact},
		{name: "the workers alone", own: newView("a", Up, Down), peers: []View{newView("b", Up, Up)}, state: Intact, workers: Alone},
		{name: "an outage", own: newView("a", Refused, Up), peers: []View{newView("b", Refused, Unknown), newView("c", Down, Unknown)}, state: Shared, workers: Intact},
		{name: "opposite halves", own: newView("a", Down, Up), peers: []View{newView("b", Up, Down)}, state: Alone, workers: Intact},
		{name: "nobody can be asked", own: newView("a", Down, Up), state: Unclear, workers: Intact},
		{name: "heard but not answered", own: newView("a", HeardOnly, Up), peers: []View{newView("b", Up, Up)}, state: Alone, workers: Intact},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			views := NewViewSet("a", 5*time.Second)
			views.Add(tc.own, now)
			for _, view := range tc.peers {
				views.Add(view, now-time.Second)
			}
			if got := views.Loss(StateDependency, now); got != tc.state {
				t.Errorf("state service: %s, want %s", got, tc.state)
			}
			if got := views.Loss(WorkersDependency, now); got != tc.workers {
				t.Errorf("workers: %s, want %s", got, tc.workers)
			}
		})
	}
}

// withNumber returns a copy of the view with the given incarnation and number.
func withNumber(view View, incarnation, number uint64) View {
	view.Life, view.Number = incarnation, number
	return view
}

// TestOutdatedViewsAreIgnored checks that a view that arrives late does not replace a newer view,
// that a view of a restarted process replaces the view of the earlier process, and that a view
// expires.
func TestOutdatedViewsAreIgnored(t *testing.T) {
	views := NewViewSet("a", 5*time.Second)
	views.Add(newView("a", Down, Up), 10*time.Second)
	views.Add(withNumber(newView("b", Down, Up), 7, 2), 10*time.Second)
	views.Add(withNumber(newView("b", Up, Up), 7, 1), 11*time.Second)
	if got := views.Loss(StateDependency, 11*time.Second); got != Shared {
		t.Errorf("%s after a view that arrived late, want shared", got)
	}
	views.Add(withNumber(newView("b", Up, Up), 8, 1), 12*time.Second)
	if got := views.Loss(StateDependency, 12*time.Second); got != Alone {
		t.Errorf("%s after a view of a restarted process, want alone", got)
	}
	if got := views.Loss(StateDependency, 18*time.Second); got != Unclear {
		t.Errorf("%s with a view of six seconds ago, want unclear", got)
	}
}

// TestSuspendedLinkKeepsItsPenalty checks that a link that flapped stays suppressed while it is
// suspended. Links to workers are suspended while a controller owns no class, and must not count as
// working at once when the controller owns a class again.
func TestSuspendedLinkKeepsItsPenalty(t *testing.T) {
	monitor := NewMonitor(testSettings(), 0)
	link := Link{Kind: Workers, Name: "small a"}
	monitor.Watch(link, time.Second, 0)
	now := time.Second
	run := func(d time.Duration, arrives bool) {
		for end := now + d; now < end; now += 250 * time.Millisecond {
			if arrives {
				monitor.RecordReceived(link, now)
			}
			monitor.Tick(now)
		}
	}
	for range 4 {
		run(8*time.Second, true)
		run(4*time.Second, false)
	}
	monitor.Suspend(link)
	run(10*time.Second, false)
	if status := monitor.Status(link); status.State != Unknown || !status.Suppressed || status.Changes != 4 {
		t.Errorf("after the suspension: %+v, want unknown, suppressed and 4 changes", status)
	}
	run(testSettings().Damper.MaxSuppression, false)
	if status := monitor.Status(link); status.Suppressed || status.Changes != 4 {
		t.Errorf("a minute later: %+v, want not suppressed and 4 changes", status)
	}
}

// TestSuppressedLinkDoesNotWork checks that a dependency whose link is up but suppressed counts as not
// reached.
func TestSuppressedLinkDoesNotWork(t *testing.T) {
	view := newView("b", Up, Up)
	view.Links[0].Suppressed = true
	if reached, known := view.Reaches(StateDependency); reached || !known {
		t.Errorf("reaches the state service: %t, known: %t; want false, true", reached, known)
	}
}
