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

// The benchmarks of this file measure an owner's work on its hot paths, by the
// size of the fleet: one report (a heartbeat), one submission, one status query,
// one scheduling pass, and the codec work of a report at the HTTP edge. Compare
// the sizes as ratios: a path's cost must not grow faster than the fleet.
// docs/PERFORMANCE.md tells how to run them and what they measured.

// benchFleetSizes are the fleets that each benchmark is run on, in machines.
var benchFleetSizes = []int{100, 800, 4000}

// benchJobs is how many jobs the busy owner holds before the measurement.
const benchJobs = 150

// busyOwner is the owner of a simulated fleet whose machines report running tasks.
type busyOwner struct {
	world *simulation
	node  *simNode
	core  *Core
	term  uint64
	seq   []uint64
}

// newBusyOwner builds a fleet of so many machines with a queue of jobs, and lets
// every machine report three times, so that tasks are placed and running.
func newBusyOwner(b *testing.B, machines int) *busyOwner {
	b.Helper()
	w := newSimulation(1, standardConfig())
	w.run(5 * time.Second)
	n := w.owner()
	o := &busyOwner{world: w, node: n, core: n.core, term: n.core.activeTerms["small"], seq: make([]uint64, machines)}
	for i := 0; i < benchJobs; i++ {
		id := fmt.Sprintf("job-%d", i)
		raw, err := wire.Encode(&wire.Job{ID: id, Team: "blue", Tasks: machines / 10, CPUs: 1, MemoryGB: 1, Types: []string{"small"}, Spot: true, EstimateS: 30})
		if err != nil {
			b.Fatal(err)
		}
		o.core.store.Mirror.Put(statestore.Root+"o/"+id, raw, uint64(1000+i))
	}
	for round := 0; round < 3; round++ {
		for i := range o.seq {
			o.report(i)
		}
		w.run(w.now + time.Second)
	}
	return o
}

// reportOf is machine i's next report, listing the tasks that the owner placed on it.
func (o *busyOwner) reportOf(i int) *wire.Report {
	o.seq[i]++
	r := &wire.Report{Machine: fmt.Sprintf("i-%d", i), Type: "small", Zone: "a", Session: 1, Seq: o.seq[i], Token: o.term}
	if h := o.core.loads[r.Machine]; h != nil {
		for id, p := range h.tasks {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: id, Attempt: p.job.Assigned[p.task].Attempt, State: wire.TaskRunning})
		}
	}
	return r
}

// report lets machine i report to the owner.
func (o *busyOwner) report(i int) []Output {
	return o.core.Step(o.node.clock(), Checkin{Report: o.reportOf(i)})
}

// forEachFleet runs a benchmark on a busy owner of each fleet size.
func forEachFleet(b *testing.B, measure func(b *testing.B, o *busyOwner)) {
	for _, machines := range benchFleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			o := newBusyOwner(b, machines)
			b.ReportAllocs()
			b.ResetTimer()
			measure(b, o)
		})
	}
}

// BenchmarkReports takes in reports of busy machines: a heartbeat's core work.
func BenchmarkReports(b *testing.B) {
	forEachFleet(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			o.report(k % len(o.seq))
		}
	})
}

// BenchmarkReportCodec decodes a busy machine's report and encodes its answer, as
// the HTTP edge does for each heartbeat outside the core.
func BenchmarkReportCodec(b *testing.B) {
	forEachFleet(b, func(b *testing.B, o *busyOwner) {
		bodies := make([][]byte, len(o.seq))
		answers := make([]any, len(o.seq))
		for i := range o.seq {
			raw, err := wire.Encode(o.reportOf(i))
			if err != nil {
				b.Fatal(err)
			}
			bodies[i] = raw
			for _, out := range o.report(i) {
				if a, ok := out.(Answer); ok {
					answers[i] = a.Body
				}
			}
		}
		b.ResetTimer()
		for k := 0; k < b.N; k++ {
			i := k % len(o.seq)
			r := &wire.Report{}
			if err := wire.Decode(bodies[i], r); err != nil {
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

// BenchmarkSubmissions takes in new submissions up to the write that records
// them: a submission's core work before the state service answers.
func BenchmarkSubmissions(b *testing.B) {
	forEachFleet(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			body := pack(map[string]any{"id": fmt.Sprintf("job-%06d", 500000+k), "docket": "batch", "crew": "blue", "form": "batch",
				"urgency": "standard", "sheets": 20, "cores": 1.0, "accelerators": 0.0, "ramGb": 1.0, "plate": "img-1", "imageGb": 1.0,
				"builds": nil, "valley": nil, "oneZone": false, "scatter": false, "loaners": true, "reckonS": 30.0, "markS": 0.0,
				"stowS": 0.0, "dueS": nil})
			o.core.Step(o.node.clock(), Submit{Ref: uint64(k + 1), Body: body})
		}
	})
}

// BenchmarkQueries answers users' questions about known jobs: a status query.
func BenchmarkQueries(b *testing.B) {
	forEachFleet(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			o.core.Step(o.node.clock(), Query{Ref: uint64(k + 1), ID: fmt.Sprintf("job-%d", k%benchJobs)})
		}
	})
}

// BenchmarkSchedulingPass looks at every machine and job once: one scheduling pass.
func BenchmarkSchedulingPass(b *testing.B) {
	forEachFleet(b, func(b *testing.B, o *busyOwner) {
		for k := 0; k < b.N; k++ {
			o.core.schedulingDue, o.core.nextRound = true, 0
			o.core.allocate()
			o.core.outputs = o.core.outputs[:0]
		}
	})
}

// BenchmarkReportsOverHTTP sends reports over kept connections to a controller that
// owns no class, as after a restart: the HTTP edge's work for a heartbeat, its
// decoding and the core's redirect. The clients run in this process too, so read
// the server's part from a CPU profile (-cpuprofile) rather than from ns/op alone.
func BenchmarkReportsOverHTTP(b *testing.B) {
	const connections = 64
	set := lonelySettings(b)
	set.Cluster.Resources.RAMMB, set.Cluster.Resources.MaxSockets = 114, 1800
	runServer(b, set)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}}
	tasks := make([]wire.TaskReport, 8)
	for i := range tasks {
		tasks[i] = wire.TaskReport{Task: fmt.Sprintf("job-%06d/%d", i, i), Attempt: uint64(i + 1), State: wire.TaskRunning}
	}
	post := func(i int) error {
		body := pack(wire.Report{Machine: fmt.Sprintf("i-%06d", i), Address: "10.1.0.1:9000", Type: "m", Zone: "a", Session: 1, Seq: uint64(i + 1), Tasks: tasks})
		resp, err := client.Post("http://"+set.APIAddr+"/checkin", "application/msgpack", bytes.NewReader(body))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return err
	}
	for range 100 { // until it listens
		if post(0) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var next atomic.Int64
	b.SetParallelism(connections / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := post(int(next.Add(1))); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
