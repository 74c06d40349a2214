package reachability

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what a sketch records. Two significant figures make a histogram of about 11 KB.
const (
	sketchLeast   = int64(1)                                  // ms
	sketchMost    = int64(2 * time.Minute / time.Millisecond) // ms
	sketchFigures = 2
	sketchWindows = 3
)

// enoughSamples is from how many samples on a sketch tells more than a guess.
const enoughSamples = 20

// sketch holds the durations of the last few periods as a histogram in milliseconds. The oldest
// period is forgotten with each rotation, so that a link whose pace has changed is judged by its
// new pace.
type sketch struct {
	histogram *hdrhistogram.WindowedHistogram
	merged    *hdrhistogram.Histogram
	stale     bool // merged lacks what was recorded since
	samples   [sketchWindows]int
	current   int
	// usualPart is the quantile that counts as the usual most, and usual its value as of the
	// last refresh; 0: too few samples.
	usualPart float64
	usual     time.Duration
}

func newSketch(usualPart float64) *sketch {
	return &sketch{histogram: hdrhistogram.NewWindowed(sketchWindows, sketchLeast, sketchMost, sketchFigures), usualPart: usualPart}
}

// record adds a duration; what is out of bounds counts as the bound.
func (s *sketch) record(d time.Duration) {
	ms := min(max(d.Milliseconds(), sketchLeast), sketchMost)
	// An error means out of bounds, which the line above rules out.
	_ = s.histogram.Current.RecordValue(ms)
	s.samples[s.current]++
	s.stale = true
	if s.usual == 0 && s.count() == enoughSamples {
		s.refresh()
	}
}

// rotate forgets the oldest period, once the present one has enough samples: a link that says
// little is judged by what it said long ago.
func (s *sketch) rotate() {
	if s.samples[s.current] < enoughSamples {
		return
	}
	s.histogram.Rotate()
	s.current = (s.current + 1) % sketchWindows
	s.samples[s.current] = 0
	s.stale = true
}

// count is how many durations the sketch holds.
func (s *sketch) count() int {
	n := 0
	for _, c := range s.samples {
		n += c
	}
	return n
}

// quantile returns the duration that a part of the samples does not exceed. It is exact to two
// figures as of the last refresh.
func (s *sketch) quantile(part float64) (time.Duration, bool) {
	if s.count() < enoughSamples {
		return 0, false
	}
	if s.merged == nil {
		s.refresh()
	}
	return time.Duration(s.merged.ValueAtQuantile(100*part)) * time.Millisecond, true
}

// refresh takes into the quantiles what was recorded since the last time. Merging costs some
// microseconds, so the monitor does it at intervals and not with each sample.
func (s *sketch) refresh() {
	if s.stale || s.merged == nil {
		s.merged = s.histogram.Merge()
		s.stale = false
		s.usual, _ = s.quantile(s.usualPart)
	}
}
