package controller

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// TestNearBudgetsAreWarnedOfOnce: a controller whose heap or connections come near
// their budget says so in one warning when it first gets there, counts every check
// that finds it there, and warns again only after it was below. Guards against a
// budget that is used up without a word, and against a warning on every check.
func TestNearBudgetsAreWarnedOfOnce(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelWarn}))
	counters := &ResourceCounters{}
	r := newResourceMonitor(100<<20, 1000, counters)
	uses := []ResourceUsage{
		{HeapBytes: 10 << 20, Connections: 100},
		{HeapBytes: 90 << 20, Connections: 100},
		{HeapBytes: 95 << 20, Connections: 900},
		{HeapBytes: 95 << 20, Connections: 950},
		{HeapBytes: 10 << 20, Connections: 100},
		{HeapBytes: 99 << 20, Connections: 100},
	}
	for i, use := range uses {
		r.check(time.Duration(i)*time.Second, use, log)
	}
	if got := strings.Count(out.String(), "near the memory budget"); got != 2 {
		t.Errorf("%d warnings of memory, want 2:\n%s", got, out.String())
	}
	if got := strings.Count(out.String(), "near the socket budget"); got != 1 {
		t.Errorf("%d warnings of sockets, want 1:\n%s", got, out.String())
	}
	if n := counters.NearMemory.Load(); n != 4 {
		t.Errorf("%d checks near the memory budget counted, want 4", n)
	}
	if n := counters.NearSockets.Load(); n != 2 {
		t.Errorf("%d checks near the socket budget counted, want 2", n)
	}
}

// TestResourcesAreRead: a reading of the runtime has a heap, goroutines and the
// connections that it was given, and the heap limit follows ram_mb. Guards against
// a check that reads nothing and so can never warn.
func TestResourcesAreRead(t *testing.T) {
	set := &config.Settings{}
	set.Cluster.Resources.RAMMB, set.Cluster.Resources.MaxSockets = 65, 900
	s := &Server{settings: set}
	if got, want := s.heapLimit(), uint64(65*(1<<20)*0.7); got != want {
		t.Errorf("heap limit %d, want %d", got, want)
	}
	r := newResourceMonitor(s.heapLimit(), 900, &ResourceCounters{})
	runtime.GC() // the live heap is what the last collection found
	use := r.read(42)
	if use.HeapBytes == 0 || use.Goroutines == 0 || use.Connections != 42 {
		t.Errorf("reading %+v", use)
	}
	if use.GCShare < 0 || use.GCShare > 1 {
		t.Errorf("share of the garbage collector %v", use.GCShare)
	}
}

// TestFitMachineBoundsTheHeap: a controller bounds its heap by the memory that the
// settings give and collects less often than Go's default below that bound. Guards
// against a process that grows past its machine's memory, or that ignores ram_mb.
func TestFitMachineBoundsTheHeap(t *testing.T) {
	limitBefore, percentBefore := debug.SetMemoryLimit(-1), debug.SetGCPercent(-1)
	debug.SetGCPercent(percentBefore)
	procsBefore := runtime.GOMAXPROCS(0)
	defer func() {
		debug.SetMemoryLimit(limitBefore)
		debug.SetGCPercent(percentBefore)
		runtime.GOMAXPROCS(procsBefore)
	}()
	set := &config.Settings{}
	set.Cluster.Resources.RAMMB = 65
	s := &Server{settings: set}
	s.ConfigureRuntime()
	if got, want := debug.SetMemoryLimit(-1), int64(65*(1<<20)*limits.HeapLimitShare); got != want {
		t.Errorf("memory limit %d bytes, want %d", got, want)
	}
	if got := debug.SetGCPercent(percentBefore); got != limits.GCPercent {
		t.Errorf("GC percent %d, want %d", got, limits.GCPercent)
	}
}

// TestOverloadIsAnsweredWithATimeToComeBack: a user whose request the event loop
// could not take in time is told 503 with Retry-After, never left without an
// answer. Guards against an overloaded controller that drops requests silently.
func TestOverloadIsAnsweredWithATimeToComeBack(t *testing.T) {
	s := &Server{}
	w := httptest.NewRecorder()
	s.answerUser(w, Answer{}, false)
	if w.Code != 503 {
		t.Errorf("status %d, want 503", w.Code)
	}
	if got := w.Header().Get("Retry-After"); got != strconv.Itoa(limits.RetryAfterS) {
		t.Errorf("Retry-After %q, want %d", got, limits.RetryAfterS)
	}
	var body wire.ErrorBody
	if err := wire.Decode(w.Body.Bytes(), &body); err != nil || body.Error == "" {
		t.Errorf("body %q: %v", w.Body.Bytes(), err)
	}
}
