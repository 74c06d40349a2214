package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/wire"
)

// liveSimulation runs a simulation in real time and serves the simulated state service, cloud and
// workers on real sockets, so that controllers can run as real processes.
type liveSimulation struct {
	mu    sync.Mutex
	sim   *simulation
	start time.Time
	// exchanges holds every user request with its answer.
	exchanges []*history.Exchange
	// transport carries the requests of workers and users. If nil, Go's default transport is used, which
	// keeps few idle connections.
	transport      http.RoundTripper
	heartbeatsSent atomic.Int64 // number of heartbeats sent by workers
}

// advanceUntil advances the simulation to the current time every 2 ms until stop is closed.
func (live *liveSimulation) advanceUntil(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
			live.do(func() {})
		}
	}
}

// do advances the simulation to the current time and then calls f. It holds the lock meanwhile.
func (live *liveSimulation) do(f func()) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.sim.run(time.Since(live.start))
	f()
}

// handler returns an HTTP handler that passes each request to serve and sends the answer when serve
// produces one.
func (live *liveSimulation) handler(serve func(method, path string, body []byte, answer func(int, []byte))) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		type result struct {
			status int
			body   []byte
		}
		answered := make(chan result, 1)
		live.do(func() {
			serve(request.Method, request.URL.RequestURI(), body, func(status int, b []byte) { answered <- result{status, b} })
		})
		select {
		case got := <-answered:
			response.WriteHeader(got.status)
			response.Write(got.body)
		case <-request.Context().Done():
		}
	})
}

// inputSender returns a function that sends an input as an HTTP request to the real process at addr.
// The simulated node that represents this process passes its inputs to the function.
func (live *liveSimulation) inputSender(label, addr string) func(in Input, answer func(int, []byte)) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: live.transport}
	return func(in Input, answer func(int, []byte)) {
		method, path, body := "POST", "", []byte(nil)
		switch x := in.(type) {
		case HeartbeatRequest:
			path, body = "/checkin", mustEncode(x.Heartbeat)
			live.heartbeatsSent.Add(1)
		case Submit:
			path, body = "/work", x.Body
		case Query:
			method, path = "GET", "/work/"+x.ID
		case Cancel:
			path = "/work/" + x.ID + "/cancel"
		}
		go func() {
			req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
			if err != nil {
				return
			}
			recorded := live.recordRequest(label, in)
			status, reply := roundTrip(client, req)
			live.recordAnswer(recorded, status, reply)
			if status != 0 {
				live.do(func() { answer(status, reply) })
			}
		}()
	}
}

// roundTrip sends a request and returns the status and body of the answer. Status 0 means no answer.
func roundTrip(client *http.Client, req *http.Request) (status int, body []byte) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// The ports that freeAddr allocates lie below the system's ephemeral port range. With ephemeral ports,
// the listener of a simulated service could get the port of a controller that was not started yet or had
// been killed, and would answer that controller's users.
const (
	firstTestPort = 20000
	testPortCount = 12000
)

var portsAllocated atomic.Int64

// freeAddr returns a loopback address with a free port. No two calls of one test program return
// the same port.
func freeAddr(t testing.TB) string {
	t.Helper()
	for range testPortCount {
		n := int64(os.Getpid())*131 + portsAllocated.Add(1) // test programs that run concurrently start at different ports
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstTestPort+n%testPortCount))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// controllerProcess is one controller that runs as a real process.
type controllerProcess struct {
	label, apiAddr, peerAddr, settingsFile string
	operatorFile                           string // operator settings file; empty for none

	command       *exec.Cmd  // nil while the process is not running
	exited        chan error // receives the result of Wait when the process exits
	startRevision uint64     // revision of the state service at the last start
	binary        string     // program that is running, or ran last
}

// processCluster runs controllers as real processes on loopback with a simulated state service, cloud,
// workers and users.
type processCluster struct {
	t          testing.TB
	live       *liveSimulation
	processes  []*controllerProcess
	userClient http.Client
}

// buildCurrentVersion builds the program from the sources under test and returns the path of the binary.
func buildCurrentVersion(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "umberpaddle")
	out, err := exec.Command("go", "build", "-o", binary, "umberpaddle/cmd/umberpaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// smallProcessConfig returns a small deployment that a test can run within seconds.
func smallProcessConfig() simConfig {
	cfg := standardConfig()
	cfg.nodeCount = 0 // the nodes are real processes
	cfg.teams = []config.Team{{Name: "red", CPUsMax: 40}, {Name: "blue"}}
	cfg.machineTypes = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 2, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 6}
	cfg.heartbeatS, cfg.leaseS = 0.6, 10
	return cfg
}

// startProcessCluster starts size controllers of one version. They are killed when the test ends.
func startProcessCluster(t testing.TB, cfg simConfig, binary string, size int) *processCluster {
	t.Helper()
	live := &liveSimulation{sim: newSimulation(1, cfg), start: time.Now(), transport: cfg.transport}
	cluster := &processCluster{t: t, live: live, userClient: http.Client{Timeout: 5 * time.Second}}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go live.advanceUntil(stop)
	live.sim.addressOf = func(m *simMachine) string { return live.serveWorker(t, m) }
	dir := t.TempDir()
	for i := range size {
		label := fmt.Sprintf("node-%d", i)
		cluster.processes = append(cluster.processes, &controllerProcess{label: label, apiAddr: freeAddr(t), peerAddr: freeAddr(t), settingsFile: filepath.Join(dir, label+".json"), operatorFile: cfg.operatorFile})
	}
	t.Cleanup(func() {
		for _, p := range cluster.processes {
			cluster.kill(p)
		}
	})
	for i, process := range cluster.processes {
		cluster.writeSettings(process, live.sim.cfg, live.serveState(t, i, process.label), live.serveCloud(t, process.label))
		cluster.start(process, binary)
		live.do(func() {
			live.sim.nodes = append(live.sim.nodes, &simNode{sim: live.sim, index: i, label: process.label, remote: live.inputSender(process.label, process.apiAddr)})
		})
	}
	return cluster
}

// writeSettings writes the platform settings file of one controller, with proxies for its peers.
func (c *processCluster) writeSettings(process *controllerProcess, cfg simConfig, state, cloud string) {
	c.t.Helper()
	var settings config.Settings
	settings.Label, settings.APIAddr, settings.PeerBind = process.label, process.apiAddr, process.peerAddr
	for _, other := range c.processes {
		if other != process {
			link := c.live.proxyPeer(c.t, process.label, other.label, other.peerAddr)
			settings.Others = append(settings.Others, config.Peer{Label: other.label, Addr: link})
		}
	}
	settings.External.State, settings.External.Cloud = state, cloud
	cluster := &settings.Cluster
	cluster.Teams = cfg.teams
	cluster.Workers.HeartbeatS, cluster.Workers.LeaseS, cluster.Workers.CancelS = cfg.heartbeatS, cfg.leaseS, cfg.cancelS
	cluster.Workers.GangWaitS, cluster.Workers.GangPeerS = cfg.gangWaitS, cfg.gangPeerS
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 300, 60, 8, 4
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 10, 2
	cluster.Resources.CoreShare, cluster.Resources.RAMMB, cluster.Resources.MaxSockets = 1, 200, 500
	encoded, err := json.Marshal(&settings)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(process.settingsFile, encoded, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts a controller with the given binary.
func (c *processCluster) start(process *controllerProcess, binary string) {
	c.t.Helper()
	command := exec.Command(binary, "--config", process.settingsFile)
	if process.operatorFile != "" {
		command.Args = append(command.Args, "--operator-config", process.operatorFile)
	}
	command.Env = append(os.Environ(), "LOG_LEVEL=error")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	process.command, process.binary, process.exited = command, binary, make(chan error, 1)
	c.live.do(func() { process.startRevision = c.live.sim.store.revision })
	go func(exited chan<- error) { exited <- command.Wait() }(process.exited)
}

// kill kills a controller's process, if it is running, and waits until it has exited.
func (c *processCluster) kill(process *controllerProcess) {
	if process.command == nil {
		return
	}
	if err := process.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		c.t.Errorf("kill %s: %v", process.label, err)
	}
	<-process.exited
	process.command = nil
}

// replace kills a controller and restarts it with the given binary.
func (c *processCluster) replace(p *controllerProcess, binary string) {
	c.kill(p)
	c.start(p, binary)
}

// submitJobs has users submit count array jobs, alternating between two teams. Job IDs are numbered from
// first.
func (c *processCluster) submitJobs(first, count int) {
	c.live.do(func() {
		for i := first; i < first+count; i++ {
			job := batchSpec([]string{"red", "blue"}[i%2], 6, 2, 1)
			c.live.sim.submitJob(fmt.Sprintf("job-%06d", i), job, 1)
		}
	})
}

// waitLimit is how long waitFor and waitForLinks wait before they fail the test.
const waitLimit = 150 * time.Second

// waitFor waits until a condition on the simulation holds. It fails the test if a rule is broken,
// or after waitLimit.
func (c *processCluster) waitFor(what string, condition func(sim *simulation) bool) {
	c.t.Helper()
	start := time.Now()
	for deadline := start.Add(waitLimit); ; time.Sleep(50 * time.Millisecond) {
		var broken []string
		conditionHeld := false
		c.live.do(func() {
			broken = append(broken, c.live.sim.violations...)
			conditionHeld = condition(c.live.sim)
		})
		if len(broken) > 0 {
			c.t.Fatalf("%s: rules broken: %v", what, broken)
		}
		if conditionHeld {
			c.t.Logf("%s: after %.1f s", what, time.Since(start).Seconds())
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not reached within %v", what, waitLimit)
		}
	}
}

// waitForAllJobs waits until users have received the final state of every submitted job.
func (c *processCluster) waitForAllJobs(what string) {
	c.t.Helper()
	c.waitFor(what, func(sim *simulation) bool {
		for _, job := range sim.jobs {
			if job.reportedState == "" {
				return false
			}
		}
		return true
	})
}

// checkAllRunning reports an error for each controller that exited without being killed by the test.
func (c *processCluster) checkAllRunning() {
	c.t.Helper()
	for _, process := range c.processes {
		select {
		case err := <-process.exited:
			process.exited <- err // kill receives it again
			c.t.Errorf("%s exited unexpectedly: %v", process.label, err)
		default:
		}
	}
}
