package controller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// The benchmarks in this file measure the work of an owner on its hot paths for several fleet sizes:
// one heartbeat, one submission, one status query, one scheduling round, and the decoding of a heartbeat and
// the encoding of its answer at the HTTP layer. Compare the costs of the fleet sizes as ratios:
// the cost of a path must not grow faster than the fleet. docs/PERFORMANCE.md describes how to run the
// benchmarks and contains the results.

// benchFleetSizes are the fleet sizes, in machines, for which each benchmark runs.
var benchFleetSizes = []int{100, 800, 4000}

// benchJobCount is the number of open jobs of the busy owner before the measurement.
const benchJobCount = 150

// busyOwner is the owner of a simulated fleet whose machines send heartbeats that list running tasks.
type busyOwner struct {
	sim  *simulation
	node *simNode
	core *Core
	term uint64
	seq  []uint64
}

// newBusyOwner creates a fleet with a queue of jobs and passes three heartbeats of every machine to the
// owner, so that tasks are placed and running.
func newBusyOwner(b *testing.B, machineCount int) *busyOwner {
	b.Helper()
	sim := newSimulation(1, standardConfig())
	sim.run(5 * time.Second)
	node := sim.owner()
	owner := &busyOwner{sim: sim, node: node, core: node.core, term: node.core.activeTerms["small"], seq: make([]uint64, machineCount)}
	for i := 0; i < benchJobCount; i++ {
		id := fmt.Sprintf("job-%d", i)
		raw, err := wire.Encode(&wire.Job{ID: id, Team: "blue", Tasks: machineCount / 10, CPUs: 1, MemoryGB: 1, Types: []string{"small"}, Spot: true, EstimateS: 30})
		if err != nil {
			b.Fatal(err)
		}
		owner.core.store.Mirror.Put(statestore.Root+"o/"+id, raw, uint64(1000+i))
	}
	for round := 0; round < 3; round++ {
		for i := range owner.seq {
			owner.sendHeartbeat(i)
		}
		sim.run(sim.now + time.Second)
	}
	return owner
}

// nextHeartbeat returns the next heartbeat of machine i, which lists the tasks that the owner placed on it.
func (o *busyOwner) nextHeartbeat(i int) *wire.Heartbeat {
	o.seq[i]++
	heartbeat := &wire.Heartbeat{Machine: fmt.Sprintf("i-%d", i), Type: "small", Zone: "a", Incarnation: 1, Seq: o.seq[i], FencingToken: o.term}
	if load := o.core.loads[heartbeat.Machine]; load != nil {
		for id, placed := range load.tasks {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: id, Attempt: placed.job.Assigned[placed.task].Attempt, State: wire.TaskRunning})
		}
	}
	return heartbeat
}

// sendHeartbeat passes the next heartbeat of machine i to the owner and returns the outputs.
func (o *busyOwner) sendHeartbeat(i int) []Output {
	return o.core.Step(o.node.clock(), HeartbeatRequest{Heartbeat: o.nextHeartbeat(i)})
}

// forEachFleetSize runs a benchmark with a busy owner for each fleet size.
func forEachFleetSize(b *testing.B, measure func(b *testing.B, o *busyOwner)) {
	for _, machines := range benchFleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			o := newBusyOwner(b, machines)
			b.ReportAllocs()
			b.ResetTimer()
			measure(b, o)
		})
	}
}

// BenchmarkHeartbeats measures the work of the core for a heartbeat of a busy machine.
func BenchmarkHeartbeats(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			o.sendHeartbeat(k % len(o.seq))
		}
	})
}

// BenchmarkHeartbeatCodec measures the decoding of a heartbeat of a busy machine and the encoding
// of its answer, which the HTTP layer does outside the core for each heartbeat.
func BenchmarkHeartbeatCodec(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, owner *busyOwner) {
		bodies := make([][]byte, len(owner.seq))
		answers := make([]any, len(owner.seq))
		for i := range owner.seq {
			raw, err := wire.Encode(owner.nextHeartbeat(i))
			if err != nil {
				b.Fatal(err)
			}
			bodies[i] = raw
			for _, out := range owner.sendHeartbeat(i) {
				if a, ok := out.(Answer); ok {
					answers[i] = a.Body
				}
			}
		}
		b.ResetTimer()
		for k := 0; k < b.N; k++ {
			i := k % len(owner.seq)
			heartbeat := &wire.Heartbeat{}
			if err := wire.Decode(bodies[i], heartbeat); err != nil {
				b.Fatal(err)
			}
			if answers[i] != nil {
				if _, err := wire.Encode(answers[i]); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}

// BenchmarkSubmissions measures the work of the core for a new submission, up to the write that records
// it in the state service.
func BenchmarkSubmissions(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, owner *busyOwner) {
		for k := 0; k < b.N; k++ {
			body := mustEncode(map[string]any{"id": fmt.Sprintf("job-%06d", 500000+k), "docket": "batch", "crew": "blue", "form": "batch",
				"urgency": "standard", "sheets": 20, "cores": 1.0, "accelerators": 0.0, "ramGb": 1.0, "plate": "img-1", "imageGb": 1.0,
				"builds": nil, "valley": nil, "oneZone": false, "scatter": false, "loaners": true, "reckonS": 30.0, "markS": 0.0,
				"stowS": 0.0, "dueS": nil})
			owner.core.Step(owner.node.clock(), Submit{Ref: uint64(k + 1), Body: body})
		}
	})
}

// BenchmarkQueries measures the work of the core for a status query of a known job.
func BenchmarkQueries(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			o.core.Step(o.node.clock(), Query{Ref: uint64(k + 1), ID: fmt.Sprintf("job-%d", k%benchJobCount)})
		}
	})
}

// BenchmarkSchedulingPass measures one scheduling round, which examines every machine and job once.
func BenchmarkSchedulingPass(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, owner *busyOwner) {
		for k := 0; k < b.N; k++ {
			owner.core.schedulingDue, owner.core.nextRound = true, 0
			owner.core.allocate()
			owner.core.outputs = owner.core.outputs[:0]
		}
	})
}

// BenchmarkHeartbeatsOverHTTP sends heartbeats over keep-alive connections to a controller that
// owns no class, as after a restart. It measures the work of the HTTP layer for a heartbeat, the
// decoding, and the answer of the core, which refuses the heartbeat with 503. The clients run in
// this process too, so read the share of the server from a CPU profile (-cpuprofile), not from
// ns/op alone.
func BenchmarkHeartbeatsOverHTTP(b *testing.B) {
	const connections = 64
	settings := isolatedSettings(b)
	settings.Cluster.Resources.RAMMB, settings.Cluster.Resources.MaxSockets = 114, 1800
	runServer(b, settings)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}}
	tasks := make([]wire.TaskStatus, 8)
	for i := range tasks {
		tasks[i] = wire.TaskStatus{Task: fmt.Sprintf("job-%06d/%d", i, i), Attempt: uint64(i + 1), State: wire.TaskRunning}
	}
	post := func(i int) error {
		body := mustEncode(wire.Heartbeat{Machine: fmt.Sprintf("i-%06d", i), Address: "10.1.0.1:9000", Type: "m", Zone: "a", Incarnation: 1, Seq: uint64(i + 1), Tasks: tasks})
		resp, err := client.Post("http://"+settings.APIAddr+"/checkin", "application/msgpack", bytes.NewReader(body))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return err
	}
	for range 100 { // the first attempts may fail, since the server may not listen yet
		if post(0) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var nextMachine atomic.Int64
	b.SetParallelism(connections / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := post(int(nextMachine.Add(1))); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
