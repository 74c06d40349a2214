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

// liveSimulation runs the stand-ins of the simulated world in real time behind real
// sockets, for processes of the real program.
type liveSimulation struct {
	mu    sync.Mutex
	w     *simulation
	start time.Time
	// exchanges are all requests of users, with their answers.
	exchanges []*history.Exchange
	// transport carries the workers' and users' requests; nil: Go's default, which keeps few
	// connections.
	transport http.RoundTripper
	reports   atomic.Int64 // reports that workers sent
}

func (r *liveSimulation) pump(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
			r.do(func() {})
		}
	}
}

// do runs f in the world at the present time.
func (r *liveSimulation) do(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.run(time.Since(r.start))
	f()
}

func (r *liveSimulation) handler(serve func(method, path string, body []byte, answer func(int, []byte))) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		type result struct {
			status int
			body   []byte
		}
		ch := make(chan result, 1)
		r.do(func() {
			serve(q.Method, q.URL.RequestURI(), body, func(s int, b []byte) { ch <- result{s, b} })
		})
		select {
		case x := <-ch:
			rw.WriteHeader(x.status)
			rw.Write(x.body)
		case <-q.Context().Done():
		}
	})
}

// remote makes a node of the world stand for a real process.
func (r *liveSimulation) remote(label, addr string) func(in Input, answer func(int, []byte)) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: r.transport}
	return func(in Input, answer func(int, []byte)) {
		method, path, body := "POST", "", []byte(nil)
		switch x := in.(type) {
		case Checkin:
			path, body = "/checkin", pack(x.Report)
			r.reports.Add(1)
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
			sent := r.recordSent(label, in)
			status, b := exchange(client, req)
			r.recordAnswer(sent, status, b)
			if status != 0 {
				r.do(func() { answer(status, b) })
			}
		}()
	}
}

// exchange makes a request; status 0 is no answer.
func exchange(client *http.Client, req *http.Request) (status int, body []byte) {
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

// The ports that freeAddr gives out lie below those that the system takes for sockets of its
// own choice. Guards against a stand-in's listener on the port of a controller that had not
// started yet, or was killed: it answered the controller's users.
const (
	firstTestPort = 20000
	testPorts     = 12000
)

var portsGivenOut atomic.Int64

// freeAddr returns an address on loopback that nobody else gets while the tests run.
func freeAddr(t testing.TB) string {
	t.Helper()
	for range testPorts {
		n := int64(os.Getpid())*131 + portsGivenOut.Add(1) // test programs that run beside this one begin elsewhere
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstTestPort+n%testPorts))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// controllerProcess is one controller, run as a real process.
type controllerProcess struct {
	label, apiAddr, peerAddr, settingsFile string
	operatorFile                           string // the operators' settings; empty: none

	command *exec.Cmd  // nil while it is down
	ended   chan error // gets what ended the process
	since   uint64     // the state service's revision when it was started
	binary  string     // the version that it runs, or ran last
}

// processCluster runs controllers as real processes on loopback against the stand-ins for
// the state service, the cloud, the workers and the users.
type processCluster struct {
	t         testing.TB
	world     *liveSimulation
	processes []*controllerProcess
	users     http.Client
}

// buildPresentVersion builds the program from the sources under test.
func buildPresentVersion(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "umberpaddle")
	out, err := exec.Command("go", "build", "-o", binary, "umberpaddle/cmd/umberpaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// smallProcessConfig is a deployment that a test can run through in seconds.
func smallProcessConfig() simConfig {
	cfg := standardConfig()
	cfg.nodes = 0 // the nodes are processes
	cfg.teams = []config.Team{{Name: "red", CPUsMax: 40}, {Name: "blue"}}
	cfg.types = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 2, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 6}
	cfg.report, cfg.lease = 0.6, 10
	return cfg
}

// startProcessCluster starts controllers of one version. They end with the test.
func startProcessCluster(t testing.TB, cfg simConfig, binary string, size int) *processCluster {
	t.Helper()
	r := &liveSimulation{w: newSimulation(1, cfg), start: time.Now(), transport: cfg.transport}
	c := &processCluster{t: t, world: r, users: http.Client{Timeout: 5 * time.Second}}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go r.pump(stop)
	r.w.addressOf = func(m *simMachine) string { return r.workerAddress(t, m) }
	dir := t.TempDir()
	for i := range size {
		label := fmt.Sprintf("node-%d", i)
		c.processes = append(c.processes, &controllerProcess{label: label, apiAddr: freeAddr(t), peerAddr: freeAddr(t), settingsFile: filepath.Join(dir, label+".json"), operatorFile: cfg.operatorFile})
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			c.kill(p)
		}
	})
	for i, p := range c.processes {
		c.writeSettings(p, r.w.cfg, r.stateAddress(t, i, p.label), r.cloudAddress(t, p.label))
		c.start(p, binary)
		r.do(func() {
			r.w.nodes = append(r.w.nodes, &simNode{w: r.w, idx: i, label: p.label, remote: r.remote(p.label, p.apiAddr)})
		})
	}
	return c
}

// writeSettings writes the platform's settings file of one controller.
func (c *processCluster) writeSettings(p *controllerProcess, cfg simConfig, state, cloud string) {
	c.t.Helper()
	var set config.Settings
	set.Label, set.APIAddr, set.PeerBind = p.label, p.apiAddr, p.peerAddr
	for _, other := range c.processes {
		if other != p {
			link := c.world.proxyPeer(c.t, p.label, other.label, other.peerAddr)
			set.Others = append(set.Others, config.Peer{Label: other.label, Addr: link})
		}
	}
	set.External.State, set.External.Cloud = state, cloud
	cluster := &set.Cluster
	cluster.Teams = cfg.teams
	cluster.Workers.ReportS, cluster.Workers.LeaseS, cluster.Workers.CancelS = cfg.report, cfg.lease, cfg.cancel
	cluster.Workers.GangWaitS, cluster.Workers.GangPeerS = cfg.gangWait, cfg.gangPeer
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 300, 60, 8, 4
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 10, 2
	cluster.Resources.CoreShare, cluster.Resources.RAMMB, cluster.Resources.MaxSockets = 1, 200, 500
	b, err := json.Marshal(&set)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(p.settingsFile, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start runs a controller with the given version.
func (c *processCluster) start(p *controllerProcess, binary string) {
	c.t.Helper()
	command := exec.Command(binary, "--config", p.settingsFile)
	if p.operatorFile != "" {
		command.Args = append(command.Args, "--operator-config", p.operatorFile)
	}
	command.Env = append(os.Environ(), "LOG_LEVEL=error")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	p.command, p.binary, p.ended = command, binary, make(chan error, 1)
	c.world.do(func() { p.since = c.world.w.store.revision })
	go func(ended chan<- error) { ended <- command.Wait() }(p.ended)
}

// kill ends a controller without notice.
func (c *processCluster) kill(p *controllerProcess) {
	if p.command == nil {
		return
	}
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		c.t.Errorf("kill %s: %v", p.label, err)
	}
	<-p.ended
	p.command = nil
}

// replace kills a controller and starts it anew with the given version.
func (c *processCluster) replace(p *controllerProcess, binary string) {
	c.kill(p)
	c.start(p, binary)
}

// submitJobs lets users submit arrays of both teams, with numbers from first on.
func (c *processCluster) submitJobs(first, count int) {
	c.world.do(func() {
		for i := first; i < first+count; i++ {
			job := spec([]string{"red", "blue"}[i%2], 6, 2, 1)
			c.world.w.user(fmt.Sprintf("job-%06d", i), job, 1)
		}
	})
}

// waitLimit only bounds a broken run.
const waitLimit = 150 * time.Second

// waitFor waits until a condition on the simulated world holds, as long as no rule breaks.
func (c *processCluster) waitFor(what string, holds func(w *simulation) bool) {
	c.t.Helper()
	began := time.Now()
	for end := began.Add(waitLimit); ; time.Sleep(50 * time.Millisecond) {
		var broken []string
		held := false
		c.world.do(func() {
			broken = append(broken, c.world.w.broken...)
			held = holds(c.world.w)
		})
		if len(broken) > 0 {
			c.t.Fatalf("%s: rules broken: %v", what, broken)
		}
		if held {
			c.t.Logf("%s: after %.1f s", what, time.Since(began).Seconds())
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: not reached within %v", what, waitLimit)
		}
	}
}

// waitForAllJobs waits until every job that was submitted is over.
func (c *processCluster) waitForAllJobs(what string) {
	c.t.Helper()
	c.waitFor(what, func(w *simulation) bool {
		for _, j := range w.jobs {
			if j.told == "" {
				return false
			}
		}
		return true
	})
}

// mustAllRun checks that no controller has ended by itself.
func (c *processCluster) mustAllRun() {
	c.t.Helper()
	for _, p := range c.processes {
		select {
		case err := <-p.ended:
			p.ended <- err // for kill
			c.t.Errorf("%s has ended by itself: %v", p.label, err)
		default:
		}
	}
}
