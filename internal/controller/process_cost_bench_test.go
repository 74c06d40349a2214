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

// costSeconds is for how long a real process is watched by BenchmarkOwnerProcess.
var costSeconds = flag.Float64("cost.seconds", 20, "seconds for which BenchmarkOwnerProcess measures a process")

const (
	// warmupSeconds is how long the fleet works before a process is measured.
	warmupSeconds = 15
	// machinesPerJob is how large a fleet gets a job of costTasks tasks each second.
	machinesPerJob = 930
	costTasks      = 20
	costRunS       = 40.0
)

// BenchmarkOwnerProcess runs one real controller that owns a fleet of stand-in workers on
// loopback, which report every three seconds and work on a stream of jobs, and measures what the
// whole process costs: processor time for each second and for each report, and the calls by which
// its threads gave up the processor. It runs once for each size; b.N has no meaning here.
func BenchmarkOwnerProcess(b *testing.B) {
	binary := buildPresentVersion(b)
	for _, machines := range []int{100, 800} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c := startOwnedFleet(b, binary, machines)
			p := c.processes[0]
			time.Sleep(warmupSeconds * time.Second)
			b.Logf("process %d", p.command.Process.Pid)
			before, reportsBefore := readProcessCost(b, p.command.Process.Pid), c.world.reports.Load()
			time.Sleep(time.Duration(*costSeconds * float64(time.Second)))
			after, reports := readProcessCost(b, p.command.Process.Pid), c.world.reports.Load()-reportsBefore
			cpu := (after.cpu - before.cpu).Seconds()
			b.ReportMetric(1e3*cpu / *costSeconds, "cpu-ms/s")
			b.ReportMetric(1e6*cpu/float64(reports), "cpu-us/report")
			b.ReportMetric(float64(reports) / *costSeconds, "reports/s")
			b.ReportMetric(float64(after.switches-before.switches)/float64(reports), "switches/report")
			b.ReportMetric(float64(after.residentKB)/1024, "resident-MB")
			b.ReportMetric(0, "ns/op")
			c.mustAllRun()
		})
	}
}

// startOwnedFleet starts one controller over a fleet that is up, with a stream of jobs.
func startOwnedFleet(b *testing.B, binary string, machines int) *processCluster {
	cfg := smallProcessConfig()
	cfg.report, cfg.lease, cfg.cancel = 3, 21, 41
	cfg.transport = &http.Transport{MaxIdleConnsPerHost: machines} // workers keep their connections
	cfg.teams = []config.Team{{Name: "red"}}
	cfg.types = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 2, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: machines}
	c := startProcessCluster(b, cfg, binary, 1)
	c.world.do(func() {
		w := c.world.w
		for range machines {
			w.cloud.create(fleet.Kind{Class: "small", Zone: "a"})
		}
		jobs := int((warmupSeconds + *costSeconds) * float64(machines) / machinesPerJob)
		for i := range jobs {
			id := fmt.Sprintf("job-%06d", i)
			w.schedule(w.between(0, warmupSeconds+*costSeconds), func() { w.user(id, spec("red", costTasks, 2, costRunS), costRunS) })
		}
	})
	c.waitFor("the first owner", func(w *simulation) bool { return w.store.keys[ownerKey] != nil })
	return c
}

// processCost is what a process has used since its start.
type processCost struct {
	cpu        time.Duration // processor time of all threads, in the program and in the kernel
	switches   int64         // times that a thread gave up the processor to wait
	residentKB int64
}

// readProcessCost reads a process's cost from the kernel, summed over its threads.
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
		cost.switches += statusNumber(b, filepath.Join(thread, "status"), "voluntary_ctxt_switches:")
	}
	cost.residentKB = statusNumber(b, fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	return cost
}

// statusNumber reads one number of a status file of the kernel.
func statusNumber(b *testing.B, path, field string) int64 {
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
