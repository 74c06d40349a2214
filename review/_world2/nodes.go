package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is one controller, a process of its own.
type node struct {
	w                 *world
	label             string
	apiAddr, peerAddr string
	settings          string
	cmd               *exec.Cmd
	done              chan struct{}
}

// runLine returns the program and the arguments of the run line of deploy/service.toml.
func runLine() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return nil, errors.New("deploy/service.toml has no run line")
	}
	return strings.Fields(string(found[1])), nil
}

// nodeHost is the loopback address of the controllers of this run. Other runs have another one, so that none takes
// the port of a controller that is down.
var nodeHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// given holds the addresses that freeAddr has returned.
var given = map[string]bool{}

// freeAddr returns a free address of this run's controllers. Its port lies below the range from which the system
// takes the ports of outgoing connections. No two calls return the same one.
func freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", nodeHost, 20000+rand.IntN(12000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			if !given[addr] {
				given[addr] = true
				return addr, nil
			}
		}
	}
	return "", errors.New("no free port")
}

// startNodes writes the settings files and starts the controllers.
func (w *world) startNodes(dir string) error {
	if w.cfg.objectives == nil {
		w.cfg.objectives = []any{}
	}
	for i := range w.cfg.nodes {
		n := &node{w: w, label: fmt.Sprintf("hut-%d", i), settings: filepath.Join(dir, fmt.Sprintf("hut-%d.json", i))}
		var err error
		if n.apiAddr, err = freeAddr(); err != nil {
			return err
		}
		if n.peerAddr, err = freeAddr(); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		state, _, err := serve(w.state.handler(n.label))
		if err != nil {
			return err
		}
		cloud, _, err := serve(w.cloud.handler(n.label))
		if err != nil {
			return err
		}
		others := []any{}
		for _, other := range w.nodes {
			if other != n {
				link, err := w.proxy(n, other)
				if err != nil {
					return err
				}
				others = append(others, map[string]any{"label": other.label, "location": "a", "addr": link})
			}
		}
		c := w.cfg
		text, err := json.MarshalIndent(map[string]any{"label": n.label, "location": "a", "api_addr": n.apiAddr, "peer_bind": n.peerAddr, "others": others,
			"external": map[string]any{"cloud": cloud, "state": state},
			"cluster": map[string]any{"size": c.nodes, "zones": []string{"a"}, "teams": c.teams, "objectives": c.objectives,
				"workers":        map[string]any{"report_s": c.reportS, "lease_s": c.leaseS, "gang_wait_s": c.gangWaitS, "gang_peer_s": c.gangPeerS, "cancel_s": c.cancelS},
				"state":          map[string]any{"rps": c.rps, "write_rps": c.writeRPS, "value_kb": c.valueKB, "txn_ops": c.txnOps},
				"cloud":          map[string]any{"rps": c.cloudRPS, "list_lag_s": c.listLagS},
				"resources":      map[string]any{"core_share": 0.144, "ram_mb": 98.0, "max_sockets": 900},
				"clock_error_ms": 100.0}}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, text, 0o600); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.begin(); err != nil {
			return err
		}
	}
	return nil
}

// proxy carries what one controller sends to another one, and the answers. While either is cut off from the
// others, it holds everything back.
func (w *world) proxy(from, to *node) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	pass := func(dst, src net.Conn) {
		defer dst.Close()
		defer src.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if err != nil {
				return
			}
			w.waitWhile(func() bool { return w.noPeers[from.label] || w.noPeers[to.label] })
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				w.waitWhile(func() bool { return w.noPeers[from.label] || w.noPeers[to.label] })
				server, err := net.Dial("tcp4", to.peerAddr)
				if err != nil {
					client.Close()
					return
				}
				go pass(client, server)
				pass(server, client)
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// waitWhile waits while a condition, evaluated with mu held, is true.
func (w *world) waitWhile(condition func() bool) {
	for {
		w.mu.Lock()
		wait := condition()
		w.mu.Unlock()
		if !wait {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// begin starts the process.
func (n *node) begin() error {
	line, err := runLine()
	if err != nil {
		return err
	}
	cmd := exec.Command(line[0], append(line[1:], n.settings)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = &lineWriter{w: n.w, prefix: n.label + " says: "}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.w.log("%s starts", n.label)
	go func() {
		err := cmd.Wait()
		n.w.log("%s ends: %v", n.label, err)
		close(done)
	}()
	return nil
}

// kill ends the process with no signal that it could handle.
func (n *node) kill() {
	if n.cmd != nil {
		n.cmd.Process.Kill() //nolint: it may have ended
		<-n.done
		n.cmd = nil
	}
}

func (w *world) killNodes() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// lineWriter copies the log of a controller to the record, but for lines that come at fixed intervals.
type lineWriter struct {
	w      *world
	prefix string
	rest   []byte
}

func (l *lineWriter) Write(b []byte) (int, error) {
	l.rest = append(l.rest, b...)
	for {
		i := bytes.IndexByte(l.rest, '\n')
		if i < 0 {
			return len(b), nil
		}
		line := string(l.rest[:i])
		l.rest = l.rest[i+1:]
		if !strings.Contains(line, "msg=resources") && !strings.Contains(line, "msg=knowledge") {
			if j := strings.Index(line, "level="); j >= 0 {
				line = line[j:]
			}
			l.w.log("%s%s", l.prefix, line)
		}
	}
}

// ask sends a user's request to a node. Status 0: no answer.
func ask(addr, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// healthy returns the nodes that say that they are ready.
func (w *world) healthy() (list []*node) {
	for _, n := range w.nodes {
		if status, _ := ask(n.apiAddr, "GET", "/ready", nil, time.Second); status == 200 {
			list = append(list, n)
		}
	}
	return list
}

// waitReady waits until all nodes are ready.
func (w *world) waitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if len(w.healthy()) == len(w.nodes) {
			return true
		}
	}
	return false
}

// upload makes a job known to the workers: its user uploads it.
func (w *world) upload(j *job) {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
}

// submitAt submits a job once, at one node, and reports whether it was accepted.
func (w *world) submitAt(j *job, n *node) bool {
	w.upload(j)
	w.log("user: submits %s (%s, %d tasks, %v) at %s", j.ID, j.Crew, j.Sheets, j.Builds, n.label)
	status, _ := ask(n.apiAddr, "POST", "/work", encode(j), 5*time.Second)
	w.log("user: %s answers %d for the submission of %s", n.label, status, j.ID)
	if status != 200 && status != 201 {
		return false
	}
	w.mu.Lock()
	j.accepted = w.now()
	w.mu.Unlock()
	return true
}

// submit submits a job, at one node after the other, as users do. It reports whether it was accepted.
func (w *world) submit(j *job) bool {
	for i, deadline := 0, time.Now().Add(60*time.Second); time.Now().Before(deadline); i++ {
		if w.submitAt(j, w.nodes[i%len(w.nodes)]) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's state about every 2 s until it is final or the limit is over.
func (w *world) poll(j *job, limit time.Duration) string {
	last := ""
	for i, deadline := 0, time.Now().Add(limit); time.Now().Before(deadline); i++ {
		n := w.nodes[i%len(w.nodes)]
		status, body := ask(n.apiAddr, "GET", "/work/"+j.ID, nil, 2*time.Second)
		var in struct {
			Status  string `msgpack:"status"`
			Done    int    `msgpack:"done"`
			Running int    `msgpack:"running"`
		}
		decode(body, &in)
		if told := fmt.Sprintf("%d %s done %d running %d", status, in.Status, in.Done, in.Running); told != last {
			w.log("user: %s says of %s: %s", n.label, j.ID, told)
			last = told
		}
		if status == 200 && (in.Status == "done" || in.Status == "cancelled") {
			w.mu.Lock()
			j.final, j.finalAt = in.Status, w.now()
			w.mu.Unlock()
			return in.Status
		}
		time.Sleep(2 * time.Second)
	}
	return ""
}

// serves returns the node that lately answered the reports of the machines of a type, nil if there is none.
func (w *world) serves(build string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.cloud.machines {
		for _, n := range w.nodes {
			if m.goneAt == 0 && m.build.Label == build && n.label == m.answeredBy && w.now()-m.answeredSent < seconds(2*w.cfg.reportS) {
				return n
			}
		}
	}
	return nil
}

// busiest returns the node that answers the reports of most machines.
func (w *world) busiest() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, m := range w.cloud.machines {
		if m.goneAt == 0 && m.answeredBy != "" {
			count[m.answeredBy]++
		}
	}
	var best *node
	for _, n := range w.nodes {
		if best == nil || count[n.label] > count[best.label] {
			best = n
		}
	}
	return best
}
