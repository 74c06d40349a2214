package reachability

import (
	"maps"
	"slices"
	"time"
)

// View holds the status of the links of one controller at one time. Controllers exchange views.
type View struct {
	Node string
	// Life identifies the incarnation of the controller that made the view, and Number orders the views
	// of this incarnation.
	Life, Number uint64
	Links        []Status
}

// Dependency is something that a controller must reach to act as an owner.
type Dependency string

// Dependencies of an owner.
const (
	StateDependency   Dependency = "state service"
	WorkersDependency Dependency = "workers"
)

// Reaches reports whether the controller that made the view reaches a dependency. For the state service,
// all links in a known state must work; for workers, at least one link must work. known is false if the
// view has no link of the dependency in a known state.
func (v View) Reaches(dependency Dependency) (reached, known bool) {
	reached = dependency == StateDependency
	for _, status := range v.Links {
		if status.Link.Kind.dependency() != dependency || status.State == Unknown {
			continue
		}
		known = true
		if dependency == StateDependency {
			reached = reached && status.Works()
		} else {
			reached = reached || status.Works()
		}
	}
	return reached && known, known
}

// dependency returns the dependency that a kind of link belongs to, or "" for none.
func (k Kind) dependency() Dependency {
	switch k {
	case StateRequests, StateWrites, StateWatches:
		return StateDependency
	case Workers:
		return WorkersDependency
	}
	return ""
}

// ViewSet holds the newest view of each controller, this one included.
type ViewSet struct {
	self   string
	maxAge time.Duration
	views  map[string]receivedView
}

type receivedView struct {
	view       View
	receivedAt time.Duration
}

// NewViewSet returns an empty ViewSet. A peer's view is ignored once maxAge has passed since it was
// added.
func NewViewSet(self string, maxAge time.Duration) *ViewSet {
	return &ViewSet{self: self, maxAge: maxAge, views: map[string]receivedView{}}
}

// Add stores a view, unless it is not newer than the stored view of the same incarnation of its controller.
func (s *ViewSet) Add(view View, now time.Duration) {
	if stored, ok := s.views[view.Node]; ok && stored.view.Life == view.Life && view.Number <= stored.view.Number {
		return
	}
	s.views[view.Node] = receivedView{view: view, receivedAt: now}
}

// currentView returns a controller's view, unless it is a peer's and too old.
func (s *ViewSet) currentView(node string, now time.Duration) (View, bool) {
	receivedView, ok := s.views[node]
	if !ok || node != s.self && now-receivedView.receivedAt > s.maxAge {
		return View{}, false
	}
	return receivedView.view, true
}

// Views returns the views that are not too old, sorted by controller.
func (s *ViewSet) Views(now time.Duration) []View {
	var views []View
	for _, node := range slices.Sorted(maps.Keys(s.views)) {
		if view, ok := s.currentView(node, now); ok {
			views = append(views, view)
		}
	}
	return views
}

// LossExtent states which controllers have lost a dependency.
type LossExtent string

// Extents of a loss.
const (
	// Intact: this controller reaches the dependency, or has no information on it.
	Intact LossExtent = "intact"
	// Alone: this controller has lost it, and a peer reaches it.
	Alone LossExtent = "alone"
	// Shared: this controller has lost it, and so has every peer with a current view that covers it.
	Shared LossExtent = "shared"
	// Unclear: this controller has lost it, and no peer has a current view that covers it.
	Unclear LossExtent = "unclear"
)

// Loss returns which controllers have lost a dependency, according to the current views.
func (s *ViewSet) Loss(dependency Dependency, now time.Duration) LossExtent {
	ownView, ok := s.currentView(s.self, now)
	if !ok {
		return Intact
	}
	if reached, known := ownView.Reaches(dependency); reached || !known {
		return Intact
	}
	extent := Unclear
	for _, view := range s.Views(now) {
		if view.Node == s.self {
			continue
		}
		reached, known := view.Reaches(dependency)
		if reached {
			return Alone
		}
		if known {
			extent = Shared
		}
	}
	return extent
}
