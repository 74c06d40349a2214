package controller

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// cancelPause is the pause between a job and its cancellation. With less, the writes of the jobs use up the
// state service's budget.
const cancelPause = 300 * time.Millisecond

// Settings of BenchmarkCancellation.
var (
	cancelBinary = flag.String("cancel.binary", "", "program that BenchmarkCancellation measures; empty: the sources under test")
	cancelCount  = flag.Int("cancel.jobs", 100, "number of jobs that BenchmarkCancellation cancels")
)

// BenchmarkCancellation measures how long users wait for the answer to a cancellation, with three real
// controller processes on loopback and no faults: at the owner, at another node, and for the same
// cancellation again at the third node. The state service of the benchmark answers within 2 ms. The
// benchmark ignores b.N.
func BenchmarkCancellation(b *testing.B) {
	binary := *cancelBinary
	if binary == "" {
		binary = buildCurrentVersion(b)
	}
	cfg := smallProcessConfig()
	cfg.writeRPS, cfg.stateRPS, cfg.cloudRPS = 1000, 1000, 10 // the state service refuses nothing
	cluster := startProcessCluster(b, cfg, binary, 3)
	cluster.waitFor("the first owner", func(sim *simulation) bool { return sim.store.records[ownerKey] != nil })
	cluster.submitJobs(0, 8)
	time.Sleep(5 * time.Second) // machines run tasks of the first jobs
	nodes := cluster.processes
	cluster.live.do(func() {
		owner, _ := readProcessIdentity(cluster.live.sim, ownerKey)
		slices.SortStableFunc(nodes, func(p, _ *controllerProcess) int {
			if p.label == owner.Node {
				return -1
			}
			return 0
		})
	})
	waits := map[string][]time.Duration{}
	for i := range *cancelCount {
		id := fmt.Sprintf("job-5%05d", i)
		cluster.live.do(func() {
			job := cluster.live.sim.submitJob(id, batchSpec("blue", 6, 2, 60), 60)
			job.cancelRequested = true
		})
		time.Sleep(cancelPause)
		first := nodes[i%2] // the owner, or another node
		waits[[]string{"owner", "other"}[i%2]] = append(waits[[]string{"owner", "other"}[i%2]], cluster.cancelJob(first, id))
		waits["again"] = append(waits["again"], cluster.cancelJob(nodes[2], id))
	}
	for where, durations := range waits {
		slices.Sort(durations)
		b.ReportMetric(durations[len(durations)/2].Seconds()*1e3, where+"-p50-ms")
		b.ReportMetric(durations[len(durations)*95/100].Seconds()*1e3, where+"-p95-ms")
		b.ReportMetric(durations[len(durations)-1].Seconds()*1e3, where+"-max-ms")
	}
	b.ReportMetric(0, "ns/op")
	cluster.checkAllRunning()
	cluster.waitFor("the end", func(*simulation) bool { return true }) // and no rule was broken
}

// cancelJob cancels a job at one controller and returns how long the answer took.
func (c *processCluster) cancelJob(process *controllerProcess, id string) time.Duration {
	c.t.Helper()
	start := time.Now()
	answer, err := c.userClient.Post("http://"+process.apiAddr+"/work/"+id+"/cancel", "application/msgpack", bytes.NewReader(nil))
	if err != nil {
		c.t.Fatalf("cancellation of %s: %v", id, err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
		c.t.Fatalf("cancellation of %s got %d after %v, %v", id, answer.StatusCode, time.Since(start), err)
	}
	return time.Since(start)
}
