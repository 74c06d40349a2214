package controller

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/wire"
)

// costSeconds is how long BenchmarkOwnerProcess measures a process.
var costSeconds = flag.Float64("cost.seconds", 20, "seconds for which BenchmarkOwnerProcess measures a process")

const (
	// warmupSeconds is how long the fleet runs jobs before the measurement starts.
	warmupSeconds = 15
	// machinesPerJob is the fleet size for which one job of costTasksPerJob tasks is submitted each second.
	// The rate is proportional to the fleet size.
	machinesPerJob  = 930
	costTasksPerJob = 20
	costTaskSeconds = 40.0 // run time of a task
)

// BenchmarkOwnerProcess measures the cost of one real controller process that owns a fleet of simulated
// workers on loopback. The workers send a heartbeat every three seconds and run a stream of jobs. The
// benchmark reports CPU time per second and per heartbeat, voluntary context switches per heartbeat, and
// resident memory. It runs once for each fleet size and ignores b.N.
func BenchmarkOwnerProcess(b *testing.B) {
	binary := buildCurrentVersion(b)
	for _, machines := range []int{100, 800} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := startOwnedFleet(b, binary, machines)
			process := cluster.processes[0]
			time.Sleep(warmupSeconds * time.Second)
			b.Logf("controller process %d", process.command.Process.Pid)
			before, heartbeatsBefore := readProcessCost(b, process.command.Process.Pid), cluster.live.heartbeatsSent.Load()
			time.Sleep(time.Duration(*costSeconds * float64(time.Second)))
			after, heartbeats := readProcessCost(b, process.command.Process.Pid), cluster.live.heartbeatsSent.Load()-heartbeatsBefore
			cpu := (after.cpu - before.cpu).Seconds()
			b.ReportMetric(1e3*cpu / *costSeconds, "cpu-ms/s")
			b.ReportMetric(1e6*cpu/float64(heartbeats), "cpu-us/report")
			b.ReportMetric(float64(heartbeats) / *costSeconds, "reports/s")
			b.ReportMetric(float64(after.voluntarySwitches-before.voluntarySwitches)/float64(heartbeats), "switches/report")
			b.ReportMetric(float64(after.residentKB)/1024, "resident-MB")
			b.ReportMetric(0, "ns/op")
			cluster.checkAllRunning()
		})
	}
}

// startOwnedFleet starts one controller with a fleet of machines and schedules a stream of jobs. It returns
// when the controller owns the machine class.
func startOwnedFleet(b *testing.B, binary string, machineCount int) *processCluster {
	cfg := smallProcessConfig()
	cfg.heartbeatS, cfg.leaseS, cfg.cancelS = 3, 21, 41
	cfg.transport = &http.Transport{MaxIdleConnsPerHost: machineCount} // keeps one idle connection per worker
	cfg.teams = []config.Team{{Name: "red"}}
	cfg.machineTypes = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 2, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: machineCount}
	cluster := startProcessCluster(b, cfg, binary, 1)
	cluster.live.do(func() {
		sim := cluster.live.sim
		for range machineCount {
			sim.cloud.create(fleet.Kind{Class: "small", Zone: "a"})
		}
		jobCount := int((warmupSeconds + *costSeconds) * float64(machineCount) / machinesPerJob)
		for i := range jobCount {
			id := fmt.Sprintf("job-%06d", i)
			sim.schedule(sim.randomDuration(0, warmupSeconds+*costSeconds), func() { sim.submitJob(id, batchSpec("red", costTasksPerJob, 2, costTaskSeconds), costTaskSeconds) })
		}
	})
	cluster.waitFor("the first owner", func(sim *simulation) bool { return sim.store.records[ownerKey] != nil })
	return cluster
}

// processCost is the resource usage of a process since its start.
type processCost struct {
	cpu               time.Duration // user and system CPU time of all threads
	voluntarySwitches int64         // voluntary context switches of all threads
	residentKB        int64
}

// readProcessCost reads the resource usage of a process from /proc and sums it over the threads.
func readProcessCost(b *testing.B, pid int) processCost {
	b.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil || len(threads) == 0 {
		b.Fatalf("no threads of process %d: %v", pid, err)
	}
	var cost processCost
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(thread, "schedstat"))
		if err != nil {
			continue // the thread has ended
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		cost.cpu += time.Duration(ns)
		cost.voluntarySwitches += readStatusNumber(b, filepath.Join(thread, "status"), "voluntary_ctxt_switches:")
	}
	cost.residentKB = readStatusNumber(b, fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	return cost
}

// readStatusNumber returns one number of a /proc status file, or 0 if the file or the field is missing.
func readStatusNumber(b *testing.B, path, field string) int64 {
	b.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			n, err := strconv.ParseInt(words[1], 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	return 0
}
