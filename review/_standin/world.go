package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one deployment: controllers as processes, and stand-ins for all else.
type world struct {
	mu       sync.Mutex
	start    time.Time
	out      *os.File
	dir      string // temporary folder
	zone     string
	state    *stateService
	cloud    *cloud
	nodes    []*node
	teams    []map[string]any
	jobs     map[string]*job
	onTask   map[string]map[string]bool // sheet -> machines that it is on
	done     map[string]bool            // sheets
	reportS  float64
	leaseS   float64
	cancelS  float64
	settings map[string]any // values of "cluster" beside the teams
	broken   []string
	usage    map[string]float64 // team -> cores in use
	starts   map[string]int     // sheet -> starts
	closing  bool
	gathered map[string]map[string]bool // attempt of a gang -> its tasks that have their image
}

// node is a controller.
type node struct {
	label, api, peer string
	file             string
	command          *exec.Cmd
	exited           chan struct{}
}

// job is a job that a user submits.
type job struct {
	id                            string
	crew, docket, urgency         string
	sheets                        int
	cores, ram                    float64
	plate                         string
	imageGB                       float64
	builds                        []string
	runS, reckonS                 float64
	submitted, accepted, saidDone time.Time
	gang                          bool
}

var current *world

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.record("cannot run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

func newWorld(dir string, nodes int, cluster map[string]any, teams []map[string]any, types []machineType) *world {
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	workers := cluster["workers"].(map[string]any)
	w := &world{start: time.Now(), out: out, dir: temporary, zone: types[0].Valleys[0], state: newStateService(), jobs: map[string]*job{}, onTask: map[string]map[string]bool{}, done: map[string]bool{},
		reportS: workers["report_s"].(float64), leaseS: workers["lease_s"].(float64), cancelS: workers["cancel_s"].(float64), settings: cluster, teams: teams, usage: map[string]float64{}, starts: map[string]int{}, gathered: map[string]map[string]bool{}}
	current = w
	lag := cluster["cloud"].(map[string]any)["list_lag_s"].(float64)
	w.cloud = &cloud{world: w, types: types, capacity: map[string]int{}, machines: map[string]*machine{}, hires: map[string][]string{}, listLag: time.Duration(lag * float64(time.Second))}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{label: fmt.Sprintf("hut-%d", i), api: freeAddr(), peer: freeAddr()})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped by a signal")
	}()
	time.AfterFunc(118*time.Second, func() { cannotRun("not over after 118 s") })
	return w
}

// loopbackIP is a loopback address of this program's own, so that several that run at once don't take each
// other's ports.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/62500%200, 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// freeAddr returns a loopback address with a free port below the range from which the system takes
// ports for connections.
func freeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", loopbackIP, 20000+rand.Intn(12000))
		if listener, err := net.Listen("tcp4", addr); err == nil {
			listener.Close()
			return addr
		}
	}
	cannotRun("no free port")
	return ""
}

// record writes one line to the record.
func (w *world) record(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule is broken.
func (w *world) breakRule(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.record("RULE BROKEN: %s", line)
	w.mu.Lock()
	w.broken = append(w.broken, line)
	w.mu.Unlock()
}

// finish ends all processes and the program.
func (w *world) finish() {
	w.mu.Lock()
	broken := len(w.broken)
	w.mu.Unlock()
	w.record("result: %d violations", broken)
	w.close()
	if broken > 0 {
		fmt.Println("broken:", w.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func (w *world) close() {
	w.closing = true
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.out.Sync()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

func (w *world) labels() []string {
	var labels []string
	for _, n := range w.nodes {
		labels = append(labels, n.label)
	}
	return labels
}

func (w *world) node(label string) *node {
	for _, n := range w.nodes {
		if n.label == label {
			return n
		}
	}
	return nil
}

func (w *world) apiAddr(label string) string { return w.node(label).api }

// startControllers writes the settings and starts all controllers with the command of the deploy file.
func (w *world) startControllers() {
	for _, n := range w.nodes {
		stateAddr, _ := serve(w.state.handler())
		cloudAddr, _ := serve(w.cloud.handler(n.label))
		others := []map[string]any{}
		for _, other := range w.nodes {
			if other != n {
				others = append(others, map[string]any{"label": other.label, "location": w.zone, "addr": other.peer})
			}
		}
		cluster := map[string]any{"size": len(w.nodes), "zones": []string{w.zone}, "teams": w.teams}
		for key, value := range w.settings {
			cluster[key] = value
		}
		content, err := json.MarshalIndent(map[string]any{"label": n.label, "location": w.zone, "api_addr": n.api, "peer_bind": n.peer, "others": others,
			"external": map[string]any{"cloud": cloudAddr, "state": stateAddr}, "cluster": cluster}, "", " ")
		if err != nil {
			cannotRun("%v", err)
		}
		n.file = filepath.Join(w.dir, n.label+".json")
		if err := os.WriteFile(n.file, content, 0o600); err != nil {
			cannotRun("%v", err)
		}
		w.run(n)
	}
}

// run starts a controller.
func (w *world) run(n *node) {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if match == nil {
		cannotRun("no run line in the deploy file")
	}
	words := append(strings.Fields(string(match[1])), n.file)
	log, err := os.OpenFile(filepath.Join(w.dir, n.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	n.command = exec.Command(words[0], words[1:]...)
	n.command.Stderr = log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "error"
	}
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "LOG_LEVEL=" + level}
	if err := n.command.Start(); err != nil {
		cannotRun("%v", err)
	}
	w.record("controller %s starts", n.label)
	exited, command := make(chan struct{}), n.command
	n.exited = exited
	go func() {
		command.Wait()
		close(exited)
	}()
}

// kill kills a controller with no signal that it could see.
func (w *world) kill(n *node) {
	if n.command == nil {
		return
	}
	n.command.Process.Kill()
	<-n.exited
	n.command = nil
	if !w.closing {
		w.record("controller %s is killed", n.label)
	}
}

// awaitReady waits until all controllers are ready.
func (w *world) awaitReady() {
	client := newClient(time.Second)
	for _, n := range w.nodes {
		w.await("ready "+n.label, 20*time.Second, func() bool { return call(client, "GET", "http://"+n.api+"/ready", nil, nil) == 200 })
	}
	w.record("all controllers are ready")
}

// await waits for a condition. If it does not come about the case cannot run.
func (w *world) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("%s: not within %v", what, limit)
		}
	}
}

func (w *world) jobByID(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *world) isDone(sheet string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[sheet]
}

// taskOn records that a task is on a machine from now on.
func (w *world) taskOn(k *worker, a *attempt) {
	w.mu.Lock()
	if w.onTask[a.sheet] == nil {
		w.onTask[a.sheet] = map[string]bool{}
	}
	w.onTask[a.sheet][k.machine.id] = true
	w.starts[a.sheet]++
	w.usage[a.job.crew] += a.job.cores
	usage, places := w.usage[a.job.crew], sortedKeys(w.onTask[a.sheet])
	w.mu.Unlock()
	w.record("start of %s on %s (%s), attempt %d; %s uses %g cores", a.sheet, k.machine.id, k.machine.kind.Label, a.try, a.job.crew, usage)
	if len(places) > 1 {
		w.record("NOTE: %s is on %v at once", a.sheet, places)
	}
}

// taskOff records that a task is not on a machine any more.
func (w *world) taskOff(k *worker, a *attempt, why string) {
	w.mu.Lock()
	delete(w.onTask[a.sheet], k.machine.id)
	w.usage[a.job.crew] -= a.job.cores
	if why == "done" {
		w.done[a.sheet] = true
	}
	w.mu.Unlock()
	w.record("end of %s on %s: %s", a.sheet, k.machine.id, why)
}

// gather records that a task of a gang has its image, and returns whether all tasks of its attempt have.
func (w *world) gather(a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", a.job.id, a.try)
	if w.gathered[key] == nil {
		w.gathered[key] = map[string]bool{}
	}
	w.gathered[key][a.sheet] = true
	return len(w.gathered[key]) == a.job.sheets
}

func (w *world) startsOf(sheet string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[sheet]
}

// submit lets a user submit a job at a node and, for up to 60 s, at the others until it is accepted; then the
// user polls until it is done.
func (w *world) submit(j *job, label string) {
	w.mu.Lock()
	w.jobs[j.id] = j
	j.submitted = time.Now()
	w.mu.Unlock()
	go func() {
		client := newClient(5 * time.Second)
		form := "batch"
		if j.gang {
			form = "gang"
		}
		body := map[string]any{"id": j.id, "docket": j.docket, "crew": j.crew, "form": form, "urgency": j.urgency, "sheets": j.sheets, "cores": j.cores, "accelerators": 0.0, "ramGb": j.ram,
			"plate": j.plate, "imageGb": j.imageGB, "builds": j.builds, "valley": nil, "oneZone": false, "scatter": false, "loaners": false, "reckonS": j.reckonS, "markS": 0.0, "stowS": 0.0, "dueS": nil}
		at := 0
		for i, other := range w.labels() {
			if other == label {
				at = i
			}
		}
		for {
			node := w.nodes[at%len(w.nodes)]
			status := call(client, "POST", "http://"+node.api+"/work", body, nil)
			w.record("user: POST /work %s at %s: %d", j.id, node.label, status)
			if status == 200 || status == 201 {
				break
			}
			if status == 400 || status == 422 {
				cannotRun("%s: refused with %d", j.id, status)
			}
			if time.Since(j.submitted) > 60*time.Second {
				return
			}
			time.Sleep(time.Second)
			at++
		}
		w.mu.Lock()
		j.accepted = time.Now()
		w.mu.Unlock()
		poll := newClient(2 * time.Second)
		for {
			time.Sleep(time.Duration((4 + 2*rand.Float64()) * float64(time.Second)))
			var answer struct {
				Status  string `msgpack:"status"`
				Done    int    `msgpack:"done"`
				Running int    `msgpack:"running"`
			}
			node := w.nodes[rand.Intn(len(w.nodes))]
			status := call(poll, "GET", "http://"+node.api+"/work/"+j.id, nil, &answer)
			w.record("user: GET /work/%s at %s: %d %s done=%d running=%d", j.id, node.label, status, answer.Status, answer.Done, answer.Running)
			w.mu.Lock()
			if status == 200 {
				if answer.Status == "done" {
					j.saidDone = time.Now()
				}
			}
			w.mu.Unlock()
			if status == 200 && answer.Status == "done" {
				return
			}
		}
	}()
}

func (w *world) isAccepted(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !j.accepted.IsZero()
}

func (w *world) toldDone(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !j.saidDone.IsZero()
}

// sleepUntil waits until a time since the start, in seconds.
func (w *world) sleepUntil(seconds float64) {
	time.Sleep(time.Until(w.start.Add(time.Duration(seconds * float64(time.Second)))))
}

func (w *world) seconds() float64 { return math.Round(time.Since(w.start).Seconds()*10) / 10 }

// workersOf returns the live workers of a type.
func (w *world) workersOf(label string) []*worker {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	var workers []*worker
	for _, id := range sortedKeys(w.cloud.machines) {
		if m := w.cloud.machines[id]; m.kind.Label == label && !m.deleted && m.worker != nil {
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// ownerOf returns the controller whose 200 all workers of a type got last, or "".
func (w *world) ownerOf(label string) string {
	owner := ""
	for i, k := range w.workersOf(label) {
		node, renewed := k.lastNode()
		if time.Since(renewed).Seconds() > 1.5*w.reportS || (i > 0 && node != owner) {
			return ""
		}
		owner = node
	}
	return owner
}

// awaitOneOwner waits until one controller answers the workers of both types. Without it, jobs that come
// before the first owner may have their types spread over two controllers from the start.
func (w *world) awaitOneOwner() {
	w.await("one owner of both types", 20*time.Second, func() bool {
		owner := w.ownerOf("mali-vozel")
		return owner != "" && owner == w.ownerOf("veliki-vozel")
	})
}
