package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/wire"
)

// realWorld runs the stand-ins of the simulated world in real time behind real
// sockets, for processes of the real program.
type realWorld struct {
	mu    sync.Mutex
	w     *world
	start time.Time
}

func (r *realWorld) pump(stop chan struct{}) {
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
func (r *realWorld) do(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.run(time.Since(r.start))
	f()
}

func (r *realWorld) handler(serve func(method, path string, body []byte, answer func(int, []byte))) http.Handler {
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
func (r *realWorld) remote(addr string) func(in any, answer func(int, []byte)) {
	client := &http.Client{Timeout: 5 * time.Second}
	return func(in any, answer func(int, []byte)) {
		method, path, body := "POST", "", []byte(nil)
		switch x := in.(type) {
		case Checkin:
			path, body = "/checkin", pack(x.Report)
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
			resp, err := client.Do(req)
			if err != nil {
				return // no answer
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err == nil {
				r.do(func() { answer(resp.StatusCode, b) })
			}
		}()
	}
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestRealProcesses builds the program and runs three controllers on loopback
// against the stand-ins: jobs run, a killed controller's work goes on, and the
// rules hold.
func TestRealProcesses(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(dir, "umberpaddle")
	if out, err := exec.Command("go", "build", "-o", bin, "umberpaddle/cmd/umberpaddle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cfg := standardWorld()
	cfg.nodes = 0 // the nodes are processes
	cfg.teams = []config.Team{{Name: "red", CPUsMax: 40}, {Name: "blue"}}
	cfg.types = []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.5, SpotPrice: 0.2, BootS: 2, Zones: []string{"a"}}}
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a", Spot: true}: 6}
	cfg.report, cfg.lease = 0.6, 10
	r := &realWorld{w: newWorld(1, cfg), start: time.Now()}
	stop := make(chan struct{})
	defer close(stop)
	go r.pump(stop)
	state := httptest.NewServer(r.handler(func(m, p string, b []byte, a func(int, []byte)) { r.w.store.serve(0, m, p, b, a) }))
	defer state.Close()
	cloud := httptest.NewServer(r.handler(func(m, p string, b []byte, a func(int, []byte)) { a(r.w.cloud.serve(m, p, b)) }))
	defer cloud.Close()

	type proc struct{ api, peer, file string }
	procs := make([]proc, 3)
	for i := range procs {
		procs[i] = proc{freeAddr(t), freeAddr(t), filepath.Join(dir, fmt.Sprintf("%d.json", i))}
	}
	running := make([]*exec.Cmd, 3)
	startProc := func(i int) {
		c := exec.Command(bin, "--config", procs[i].file)
		c.Env = append(os.Environ(), "LOG_LEVEL=error")
		c.Stderr = os.Stderr
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		running[i] = c
	}
	for i, p := range procs {
		var set config.Settings
		set.Label, set.APIAddr, set.PeerBind = fmt.Sprintf("node-%d", i), p.api, p.peer
		for j, q := range procs {
			if j != i {
				set.Others = append(set.Others, config.Peer{Label: fmt.Sprintf("node-%d", j), Addr: q.peer})
			}
		}
		set.External.State, set.External.Cloud = state.Listener.Addr().String(), cloud.Listener.Addr().String()
		cl := &set.Cluster
		cl.Teams = cfg.teams
		cl.Workers.ReportS, cl.Workers.LeaseS, cl.Workers.CancelS = cfg.report, cfg.lease, cfg.cancel
		cl.State.RPS, cl.State.WriteRPS, cl.State.TxnOps, cl.State.ValueKB = 300, 60, 8, 4
		cl.Cloud.RPS, cl.Cloud.ListLagS = 10, 2
		cl.Resources.CoreShare, cl.Resources.RAMMB, cl.Resources.MaxSockets = 1, 200, 500
		b, err := json.Marshal(&set)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		startProc(i)
		r.do(func() {
			r.w.nodes = append(r.w.nodes, &simNode{w: r.w, idx: i, label: set.Label, remote: r.remote(p.api)})
		})
	}
	defer func() {
		for _, c := range running {
			c.Process.Kill()
			c.Wait()
		}
	}()
	spec := func(team string, n int) map[string]any {
		return map[string]any{"docket": "x", "crew": team, "form": "batch", "urgency": "standard", "sheets": n, "cores": 2.0,
			"accelerators": 0.0, "ramGb": 2.0, "loaners": true, "reckonS": 1.0}
	}
	r.do(func() {
		for i := 0; i < 6; i++ {
			r.w.user(fmt.Sprintf("job-%06d", i), spec([]string{"red", "blue"}[i%2], 6), 1)
		}
	})
	// over waits until every job is over; the limit only bounds a broken run.
	over := func(what string, n int) {
		t.Helper()
		for end := time.Now().Add(90 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			count := 0
			var broken []string
			r.do(func() {
				broken = append(broken, r.w.broken...)
				for _, j := range r.w.jobs {
					if j.told != "" {
						count++
					}
				}
			})
			if len(broken) > 0 {
				t.Fatalf("%s: rules broken: %v", what, broken)
			}
			if count == n {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %d of %d jobs are over", what, count, n)
			}
		}
	}
	over("first jobs", 6)
	r.do(func() {
		for i := 6; i < 12; i++ {
			r.w.user(fmt.Sprintf("job-%06d", i), spec([]string{"red", "blue"}[i%2], 6), 1)
		}
	})
	time.Sleep(time.Second)
	running[0].Process.Kill()
	running[0].Wait()
	startProc(0)
	over("jobs across a killed controller", 12)
	for _, c := range running {
		if c.ProcessState != nil {
			t.Errorf("a controller ended by itself: %v", c.ProcessState)
		}
	}
}
