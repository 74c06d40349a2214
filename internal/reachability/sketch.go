package reachability

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what a sketch records. With two significant digits, a histogram takes about 11 KB.
const (
	sketchMinMS             = int64(1)
	sketchMaxMS             = int64(2 * time.Minute / time.Millisecond)
	sketchSignificantDigits = 2
	sketchWindows           = 3
)

// minSamples is how many samples a sketch needs before it returns a quantile. A quantile of fewer samples
// is no better than a guess.
const minSamples = 20

// sketch holds durations in a histogram of milliseconds with a few time windows. Each rotation drops
// the oldest window, so that a link whose usual gap or latency has changed is judged by the new one.
type sketch struct {
	histogram     *hdrhistogram.WindowedHistogram
	merged        *hdrhistogram.Histogram
	mergedStale   bool // samples were recorded since merged was computed
	sampleCounts  [sketchWindows]int
	currentWindow int
	// usualMax is the usual maximum: the quantile usualQuantile of the samples as of the last refresh;
	// 0: too few samples.
	usualQuantile float64
	usualMax      time.Duration
}

func newSketch(usualQuantile float64) *sketch {
	return &sketch{histogram: hdrhistogram.NewWindowed(sketchWindows, sketchMinMS, sketchMaxMS, sketchSignificantDigits), usualQuantile: usualQuantile}
}

// record adds a duration; a duration out of bounds is recorded as the bound.
func (s *sketch) record(d time.Duration) {
	ms := min(max(d.Milliseconds(), sketchMinMS), sketchMaxMS)
	// RecordValue fails only for a value out of bounds, and ms is within them.
	_ = s.histogram.Current.RecordValue(ms)
	s.sampleCounts[s.currentWindow]++
	s.mergedStale = true
	if s.usualMax == 0 && s.count() == minSamples {
		s.refresh()
	}
}

// rotate drops the oldest window, but only once the current one has minSamples. A link with little
// traffic is judged by old samples rather than by too few.
func (s *sketch) rotate() {
	if s.sampleCounts[s.currentWindow] < minSamples {
		return
	}
	s.histogram.Rotate()
	s.currentWindow = (s.currentWindow + 1) % sketchWindows
	s.sampleCounts[s.currentWindow] = 0
	s.mergedStale = true
}

// count returns the number of durations in the sketch.
func (s *sketch) count() int {
	total := 0
	for _, count := range s.sampleCounts {
		total += count
	}
	return total
}

// quantile returns the duration that a fraction of the samples does not exceed, as of the last refresh
// and exact to two significant digits. It returns false if there are too few samples.
func (s *sketch) quantile(fraction float64) (time.Duration, bool) {
	if s.count() < minSamples {
		return 0, false
	}
	if s.merged == nil {
		s.refresh()
	}
	return time.Duration(s.merged.ValueAtQuantile(100*fraction)) * time.Millisecond, true
}

// refresh includes the samples recorded since the last refresh in the quantiles. Merging the windows
// takes some microseconds, so the monitor refreshes at intervals and not with each sample.
func (s *sketch) refresh() {
	if s.mergedStale || s.merged == nil {
		s.merged = s.histogram.Merge()
		s.mergedStale = false
		s.usualMax, _ = s.quantile(s.usualQuantile)
	}
}
