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

// ResourceUsage is the resource usage of a controller at one moment.
type ResourceUsage struct {
	HeapBytes   uint64  // bytes of heap objects that the last garbage collection found live
	Goroutines  uint64  // goroutines of the process
	Connections int64   // open connections on the API port and to workers
	GCShare     float64 // the garbage collector's fraction of the CPU time used since the last check
}

// ResourceCounters count how often a controller was near a budget. They never decrease.
type ResourceCounters struct {
	NearMemory  atomic.Int64 // checks that found the heap at limits.BudgetWarningShare of its limit or above
	NearSockets atomic.Int64 // checks that found the connections at limits.BudgetWarningShare of max_sockets or above
}

// resourceMonitor reads the runtime's metrics, logs the resource usage, and warns when the process comes
// near its memory or socket budget.
type resourceMonitor struct {
	samples         []metrics.Sample
	heapLimit       uint64 // in bytes, derived from ram_mb
	socketLimit     int64  // max_sockets
	lastGCSeconds   float64
	lastBusySeconds float64
	nextLog         time.Duration
	nearMemory      bool // the last check found the heap near its limit
	nearSockets     bool // the last check found the connections near max_sockets
	counters        *ResourceCounters
}

func newResourceMonitor(heapLimit uint64, socketLimit int64, counters *ResourceCounters) *resourceMonitor {
	names := []string{metricHeap, metricGoroutines, metricGCCPU, metricAllCPU, metricIdleCPU}
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	return &resourceMonitor{samples: samples, heapLimit: heapLimit, socketLimit: socketLimit, counters: counters}
}

// read returns the resource usage. connections is the number of open connections in both directions.
func (r *resourceMonitor) read(connections int64) ResourceUsage {
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
	gcSeconds, busySeconds := value(2), value(3)-value(4)
	usage := ResourceUsage{HeapBytes: count(0), Goroutines: count(1), Connections: connections}
	if busySeconds > r.lastBusySeconds {
		usage.GCShare = (gcSeconds - r.lastGCSeconds) / (busySeconds - r.lastBusySeconds)
	}
	r.lastGCSeconds, r.lastBusySeconds = gcSeconds, busySeconds
	return usage
}

// check warns if the usage has come near a budget since the last check, and logs the usage every
// limits.ResourceLogInterval.
func (r *resourceMonitor) check(now time.Duration, usage ResourceUsage, log *slog.Logger) {
	nearMemory := r.heapLimit > 0 && float64(usage.HeapBytes) >= limits.BudgetWarningShare*float64(r.heapLimit)
	nearSockets := r.socketLimit > 0 && float64(usage.Connections) >= limits.BudgetWarningShare*float64(r.socketLimit)
	if nearMemory {
		r.counters.NearMemory.Add(1)
		if !r.nearMemory {
			log.Warn("near the memory budget", "heapMB", megabytes(usage.HeapBytes), "heapLimitMB", megabytes(r.heapLimit))
		}
	}
	if nearSockets {
		r.counters.NearSockets.Add(1)
		if !r.nearSockets {
			log.Warn("near the socket budget", "connections", usage.Connections, "maxSockets", r.socketLimit)
		}
	}
	r.nearMemory, r.nearSockets = nearMemory, nearSockets
	if now < r.nextLog {
		return
	}
	r.nextLog = now + limits.ResourceLogInterval
	log.Info("resources", "heapMB", megabytes(usage.HeapBytes), "heapLimitMB", megabytes(r.heapLimit), "gcShare", usage.GCShare,
		"goroutines", usage.Goroutines, "connections", usage.Connections, "maxSockets", r.socketLimit,
		"nearMemoryChecks", r.counters.NearMemory.Load(), "nearSocketChecks", r.counters.NearSockets.Load())
}

// megabytes converts bytes to MB of 2^20 bytes, rounded down to a tenth.
func megabytes(bytes uint64) float64 { return float64(bytes*10/(1<<20)) / 10 }
