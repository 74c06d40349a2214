package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"umberpaddle/internal/reachability"
)

// linkMeasure is one way of losing a half, and when the owner has noticed.
type linkMeasure struct {
	name    string
	cut     func(w *simulation, owner *simNode, on bool)
	noticed func(owner *simNode) bool
}

var linkMeasures = []linkMeasure{
	{name: "state", cut: func(w *simulation, o *simNode, on bool) { w.setCut(o.label, "state", on) }, noticed: stateLost},
	{name: "state-answers", cut: func(w *simulation, o *simNode, on bool) { w.setOneWay("state", o.label, on) }, noticed: stateLost},
	{name: "workers", cut: cutWorkers, noticed: func(o *simNode) bool {
		_, workers := o.losses()
		return workers != reachability.Intact
	}},
}

func stateLost(o *simNode) bool {
	state, _ := o.losses()
	return state != reachability.Intact
}

// BenchmarkCutToNotice measures, in simulated seconds, how long it takes the owner of a fleet to
// notice that it lost a half, each time on a fresh day. Run it with -benchtime 30x.
func BenchmarkCutToNotice(b *testing.B) {
	for _, m := range linkMeasures {
		for _, nodes := range []int{3, 5} {
			for _, machines := range []int{800, 4000} {
				b.Run(fmt.Sprintf("%s/%d/%d", m.name, nodes, machines), func(b *testing.B) {
					var took []time.Duration
					for i := range b.N {
						if d := cutToNotice(m, nodes, machines, uint64(i+1)); d > 0 {
							took = append(took, d)
						}
					}
					b.ReportMetric(float64(b.N-len(took)), "unnoticed")
					if len(took) > 0 {
						slices.Sort(took)
						b.ReportMetric(took[len(took)/2].Seconds(), "s-median")
						b.ReportMetric(took[len(took)-1].Seconds(), "s-longest")
					}
				})
			}
		}
	}
}

// cutToNotice returns after what time the owner notices; 0: not within half a minute.
func cutToNotice(m linkMeasure, nodes, machines int, seed uint64) time.Duration {
	w := newLargeWorld(nodes, machines, true, seed)
	w.run(45*s + w.between(0, 5))
	o := w.owner()
	if o == nil {
		return 0
	}
	m.cut(w, o, true)
	return w.runUntil(50*time.Millisecond, 30*s, func() bool { return m.noticed(o) })
}

// BenchmarkFalseSuspicions counts, on days without troubles of five simulated minutes, how often a
// link stops working in some controller's view, and how often one becomes suspect. In half of the
// days the state service holds back 4% of its answers by up to 1.2 s.
func BenchmarkFalseSuspicions(b *testing.B) {
	for _, held := range []float64{0, 0.04} {
		b.Run(fmt.Sprintf("held-%.2f", held), func(b *testing.B) {
			failures, hours := 0, 0.0
			for i := range b.N {
				w := newSimulation(uint64(i+1), linkedConfig(3))
				w.store.held = held
				randomJobs(w, 80, 250*s)
				w.run(300 * s)
				for _, n := range w.nodes {
					for _, status := range n.core.links.monitor.View("", 0).Links {
						failures += status.Changes
						hours += 300.0 / 3600
					}
				}
			}
			b.ReportMetric(float64(failures)/hours, "failures/link-hour")
		})
	}
}
