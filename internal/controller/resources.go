package controller

import (
	"log/slog"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"umberpaddle/internal/limits"
)

// Names of the runtime's metrics that a resource check reads.
const (
	metricHeap       = "/gc/heap/live:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
	metricGCCPU      = "/cpu/classes/gc/total:cpu-seconds"
	metricAllCPU     = "/cpu/classes/total:cpu-seconds"
	metricIdleCPU    = "/cpu/classes/idle:cpu-seconds"
)

// ResourceUse is what a controller holds of its budget at one moment.
type ResourceUse struct {
	HeapBytes   uint64  // bytes of heap objects that the last garbage collection found live
	Goroutines  uint64  // goroutines of the process
	Connections int64   // open connections on the API port and to workers
	GCShare     float64 // part of the processor time used since the last check that the garbage collector took
}

// ResourceCounters count the times that a controller came near a budget; they only grow.
type ResourceCounters struct {
	NearMemory  atomic.Int64 // checks that found the heap at limits.BudgetWarning of its limit or above
	NearSockets atomic.Int64 // checks that found the connections at limits.BudgetWarning of max_sockets or above
}

// resourceMonitor reads the runtime's metrics now and then, logs what it found, and
// warns when the process nears its memory or socket budget.
type resourceMonitor struct {
	samples     []metrics.Sample
	heapLimit   uint64 // bytes that the heap may take, from ram_mb
	socketLimit int64  // max_sockets
	gcBefore    float64
	busyBefore  float64
	nextLog     time.Duration
	nearMemory  bool // the last check found the heap near its limit
	nearSockets bool // the last check found the connections near max_sockets
	counters    *ResourceCounters
}

func newResourceMonitor(heapLimit uint64, socketLimit int64, counters *ResourceCounters) *resourceMonitor {
	names := []string{metricHeap, metricGoroutines, metricGCCPU, metricAllCPU, metricIdleCPU}
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	return &resourceMonitor{samples: samples, heapLimit: heapLimit, socketLimit: socketLimit, counters: counters}
}

// read takes the runtime's metrics and the open connections, of both directions.
func (r *resourceMonitor) read(connections int64) ResourceUse {
	metrics.Read(r.samples)
	value := func(i int) float64 {
		if r.samples[i].Value.Kind() == metrics.KindFloat64 {
			return r.samples[i].Value.Float64()
		}
		return 0
	}
	count := func(i int) uint64 {
		if r.samples[i].Value.Kind() == metrics.KindUint64 {
			return r.samples[i].Value.Uint64()
		}
		return 0
	}
	gc, busy := value(2), value(3)-value(4)
	use := ResourceUse{HeapBytes: count(0), Goroutines: count(1), Connections: connections}
	if busy > r.busyBefore {
		use.GCShare = (gc - r.gcBefore) / (busy - r.busyBefore)
	}
	r.gcBefore, r.busyBefore = gc, busy
	return use
}

// check judges one reading: a warning when a budget is first neared, a line of
// what is held every limits.ResourceLogInterval.
func (r *resourceMonitor) check(now time.Duration, use ResourceUse, log *slog.Logger) {
	nearMemory := r.heapLimit > 0 && float64(use.HeapBytes) >= limits.BudgetWarning*float64(r.heapLimit)
	nearSockets := r.socketLimit > 0 && float64(use.Connections) >= limits.BudgetWarning*float64(r.socketLimit)
	if nearMemory {
		r.counters.NearMemory.Add(1)
		if !r.nearMemory {
			log.Warn("near the memory budget", "heapMB", megabytes(use.HeapBytes), "heapLimitMB", megabytes(r.heapLimit))
		}
	}
	if nearSockets {
		r.counters.NearSockets.Add(1)
		if !r.nearSockets {
			log.Warn("near the socket budget", "connections", use.Connections, "maxSockets", r.socketLimit)
		}
	}
	r.nearMemory, r.nearSockets = nearMemory, nearSockets
	if now < r.nextLog {
		return
	}
	r.nextLog = now + limits.ResourceLogInterval
	log.Info("resources", "heapMB", megabytes(use.HeapBytes), "heapLimitMB", megabytes(r.heapLimit), "gcShare", use.GCShare,
		"goroutines", use.Goroutines, "connections", use.Connections, "maxSockets", r.socketLimit,
		"nearMemoryChecks", r.counters.NearMemory.Load(), "nearSocketChecks", r.counters.NearSockets.Load())
}

// megabytes converts bytes to MB, rounded to a tenth.
func megabytes(b uint64) float64 { return float64(b*10/(1<<20)) / 10 }
