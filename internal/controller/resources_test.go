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

// TestNearBudgetWarnsOnce checks that a controller logs a warning when its heap or its connections come
// near their budget, and logs another warning only after the usage has dropped and risen again. Every
// check near the budget must be counted. Without a warning, a budget could be used up unnoticed, and a
// warning at every check would flood the log.
func TestNearBudgetWarnsOnce(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelWarn}))
	counters := &ResourceCounters{}
	monitor := newResourceMonitor(100<<20, 1000, counters)
	usages := []ResourceUsage{
		{HeapBytes: 10 << 20, Connections: 100},
		{HeapBytes: 90 << 20, Connections: 100},
		{HeapBytes: 95 << 20, Connections: 900},
		{HeapBytes: 95 << 20, Connections: 950},
		{HeapBytes: 10 << 20, Connections: 100},
		{HeapBytes: 99 << 20, Connections: 100},
	}
	for i, usage := range usages {
		monitor.check(time.Duration(i)*time.Second, usage, log)
	}
	if got := strings.Count(out.String(), "near the memory budget"); got != 2 {
		t.Errorf("%d warnings about memory, want 2:\n%s", got, out.String())
	}
	if got := strings.Count(out.String(), "near the socket budget"); got != 1 {
		t.Errorf("%d warnings about sockets, want 1:\n%s", got, out.String())
	}
	if n := counters.NearMemory.Load(); n != 4 {
		t.Errorf("%d checks near the memory budget counted, want 4", n)
	}
	if n := counters.NearSockets.Load(); n != 2 {
		t.Errorf("%d checks near the socket budget counted, want 2", n)
	}
}

// TestResourceUsageIsRead checks that the resource usage contains the heap, the goroutines and the given
// number of connections, and that the heap limit depends on ram_mb. A monitor that reads only zeros
// would never log a warning.
func TestResourceUsageIsRead(t *testing.T) {
	settings := &config.Settings{}
	settings.Cluster.Resources.RAMMB, settings.Cluster.Resources.MaxSockets = 65, 900
	server := &Server{settings: settings}
	if got, want := server.heapLimit(), uint64(65*(1<<20)*0.7); got != want {
		t.Errorf("heap limit %d, want %d", got, want)
	}
	monitor := newResourceMonitor(server.heapLimit(), 900, &ResourceCounters{})
	runtime.GC() // the live heap is measured by the last garbage collection
	usage := monitor.read(42)
	if usage.HeapBytes == 0 || usage.Goroutines == 0 || usage.Connections != 42 {
		t.Errorf("resource usage %+v", usage)
	}
	if usage.GCShare < 0 || usage.GCShare > 1 {
		t.Errorf("CPU share of the garbage collector %v", usage.GCShare)
	}
}

// TestConfigureRuntimeBoundsHeap checks that a controller derives its memory limit from ram_mb, and that
// below this limit it collects garbage less often than with Go's default. A process that ignored ram_mb
// could grow beyond the memory of its machine.
func TestConfigureRuntimeBoundsHeap(t *testing.T) {
	limitBefore, percentBefore := debug.SetMemoryLimit(-1), debug.SetGCPercent(-1)
	debug.SetGCPercent(percentBefore)
	procsBefore := runtime.GOMAXPROCS(0)
	defer func() {
		debug.SetMemoryLimit(limitBefore)
		debug.SetGCPercent(percentBefore)
		runtime.GOMAXPROCS(procsBefore)
	}()
	settings := &config.Settings{}
	settings.Cluster.Resources.RAMMB = 65
	server := &Server{settings: settings}
	server.ConfigureRuntime()
	if got, want := debug.SetMemoryLimit(-1), int64(65*(1<<20)*limits.HeapLimitShare); got != want {
		t.Errorf("memory limit %d bytes, want %d", got, want)
	}
	if got := debug.SetGCPercent(percentBefore); got != limits.GCPercent {
		t.Errorf("GC percent %d, want %d", got, limits.GCPercent)
	}
}

// TestOverloadReturnsRetryAfter checks that a user gets 503 with Retry-After if the event loop does not
// handle the request in time. An overloaded controller must not drop requests without a response.
func TestOverloadReturnsRetryAfter(t *testing.T) {
	server := &Server{}
	recorder := httptest.NewRecorder()
	server.answerUser(recorder, Answer{}, false)
	if recorder.Code != 503 {
		t.Errorf("status %d, want 503", recorder.Code)
	}
	if got := recorder.Header().Get("Retry-After"); got != strconv.Itoa(limits.RetryAfterS) {
		t.Errorf("Retry-After %q, want %d", got, limits.RetryAfterS)
	}
	var body wire.ErrorBody
	if err := wire.Decode(recorder.Body.Bytes(), &body); err != nil || body.Error == "" {
		t.Errorf("body %q: %v", recorder.Body.Bytes(), err)
	}
}
