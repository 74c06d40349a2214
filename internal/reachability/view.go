package reachability

import (
	"maps"
	"slices"
	"time"
)

// View is what one controller knows of its links at one time. Controllers exchange views.
type View struct {
	Node string
	// Life names the process that made the view, and Number orders its views.
	Life, Number uint64
	Links        []Status
}

// Half is one of the two sides that a controller needs to act as an owner.
type Half string

// Halves.
const (
	StateHalf   Half = "state service"
	WorkersHalf Half = "workers"
)

// Holds tells whether a controller with this view reaches a half: all known links of the state
// service, or any link to workers. known is false if the view says nothing of it.
func (v View) Holds(half Half) (holds, known bool) {
	holds = half == StateHalf
	for _, s := range v.Links {
		if s.Link.Kind.half() != half || s.State == Unknown {
			continue
		}
		known = true
		if half == StateHalf {
			holds = holds && s.Works()
		} else {
			holds = holds || s.Works()
		}
	}
	return holds && known, known
}

// half is the half that a kind of link belongs to; empty: neither.
func (k Kind) half() Half {
	switch k {
	case StateRequests, StateWrites, StateWatches:
		return StateHalf
	case Workers:
		return WorkersHalf
	}
	return ""
}

// Cluster is what this controller knows of all controllers' views.
type Cluster struct {
	self    string
	freshOf time.Duration
	views   map[string]receivedView
}

type receivedView struct {
	view View
	at   time.Duration
}

// NewCluster makes an empty collection. A peer's view counts for as long as freshOf after it came.
func NewCluster(self string, freshOf time.Duration) *Cluster {
	return &Cluster{self: self, freshOf: freshOf, views: map[string]receivedView{}}
}

// Learn takes a view in. One that was made before the view that is known is ignored.
func (c *Cluster) Learn(v View, now time.Duration) {
	if known, ok := c.views[v.Node]; ok && known.view.Life == v.Life && v.Number <= known.view.Number {
		return
	}
	c.views[v.Node] = receivedView{view: v, at: now}
}

// fresh returns a controller's view if it is recent enough to count.
func (c *Cluster) fresh(node string, now time.Duration) (View, bool) {
	r, ok := c.views[node]
	if !ok || node != c.self && now-r.at > c.freshOf {
		return View{}, false
	}
	return r.view, true
}

// Views lists the views that count now, in the order of names.
func (c *Cluster) Views(now time.Duration) []View {
	var list []View
	for _, node := range slices.Sorted(maps.Keys(c.views)) {
		if v, ok := c.fresh(node, now); ok {
			list = append(list, v)
		}
	}
	return list
}

// Extent tells who has lost a half.
type Extent string

// Extents of a loss.
const (
	// Intact: this controller has the half, or does not know otherwise.
	Intact Extent = "intact"
	// Alone: this controller has lost it, and a peer has it.
	Alone Extent = "alone"
	// Shared: this controller and every peer whose view counts have lost it.
	Shared Extent = "shared"
	// Unclear: this controller has lost it, and no peer's view counts.
	Unclear Extent = "unclear"
)

// Loss tells who has lost a half, as far as is known now.
func (c *Cluster) Loss(half Half, now time.Duration) Extent {
	own, ok := c.fresh(c.self, now)
	if !ok {
		return Intact
	}
	if holds, known := own.Holds(half); holds || !known {
		return Intact
	}
	extent := Unclear
	for _, v := range c.Views(now) {
		if v.Node == c.self {
			continue
		}
		holds, known := v.Holds(half)
		if holds {
			return Alone
		}
		if known {
			extent = Shared
		}
	}
	return extent
}
