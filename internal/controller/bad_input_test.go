package controller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// badRequest is a request that a controller has to turn away, and how.
type badRequest struct {
	name, method, path string
	body               []byte
	want               int
}

// spoiled is a valid submission with one field changed; nil takes the field out.
func spoiled(id string, changes map[string]any) []byte {
	job := spec("blue", 2, 1, 5)
	job["id"] = id
	fill(job)
	for name, value := range changes {
		if value == nil {
			delete(job, name)
		} else {
			job[name] = value
		}
	}
	return pack(job)
}

// badRequests lists what users and workers may send that is malformed, unknown or impossible,
// with the answer that the protocol gives it.
func badRequests() []badRequest {
	report := wire.Report{Machine: "i-999999", Address: "127.0.0.1:9", Type: "small", Zone: "a", Session: 1, Seq: 1}
	long := report
	long.Address = strings.Repeat("x", 5000)
	list := []badRequest{
		{"empty body", "POST", "/work", nil, 400},
		{"no MessagePack", "POST", "/work", []byte("id=job-1"), 400},
		{"no map", "POST", "/work", pack([]int{1, 2}), 400},
		{"a body cut short", "POST", "/work", spoiled("job-800001", nil)[:40], 400},
		{"a body beyond 64 KiB", "POST", "/work", bytes.Repeat([]byte{0xc0}, 70<<10), 400},
		{"a map of billions", "POST", "/work", []byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'x'}, 400},
		{"unknown team", "POST", "/work", spoiled("job-800002", map[string]any{"crew": "nobody"}), 422},
		{"fits no machine", "POST", "/work", spoiled("job-800003", map[string]any{"cores": 5000.0}), 422},
		{"unknown machine type", "POST", "/work", spoiled("job-800004", map[string]any{"builds": []string{"none"}}), 422},
		{"a gang beyond its team's limit", "POST", "/work", spoiled("job-800005", map[string]any{"form": "gang", "crew": "red", "sheets": 21, "cores": 2.0}), 422},
		{"question about an unknown job", "GET", "/work/job-899999", nil, 404},
		{"question about no id", "GET", "/work/choir", nil, 404},
		{"question about a long id", "GET", "/work/job-" + strings.Repeat("9", 400), nil, 404},
		{"cancellation of an unknown job", "POST", "/work/job-899999/cancel", nil, 404},
		{"unknown path", "GET", "/choir", nil, 404},
		{"wrong method", "DELETE", "/work/job-000001", nil, 405},
		{"report that is no MessagePack", "POST", "/checkin", []byte("hut=i-1"), 400},
		{"report with fields of the wrong type", "POST", "/checkin", pack(map[string]any{"hut": 7, "shift": "one"}), 400},
		{"report of no machine", "POST", "/checkin", pack(wire.Report{Type: "small"}), 400},
		{"report with a text that fits no record", "POST", "/checkin", pack(long), 400},
	}
	for _, field := range []string{"id", "docket", "crew", "form", "urgency", "sheets", "cores", "accelerators", "ramGb", "plate", "imageGb",
		"oneZone", "scatter", "loaners", "reckonS", "markS", "stowS"} {
		list = append(list, badRequest{"without " + field, "POST", "/work", spoiled("job-800006", map[string]any{field: nil}), 400},
			badRequest{field + " of the wrong type", "POST", "/work", spoiled("job-800007", map[string]any{field: []any{map[string]any{}}}), 400})
	}
	for name, change := range map[string]map[string]any{
		"unknown form": {"form": "choir"}, "unknown urgency": {"urgency": "now"}, "no tasks": {"sheets": 0}, "half a task": {"sheets": 1.5},
		"too many tasks": {"sheets": 100_001}, "a negative amount": {"cores": -1.0}, "an amount beyond all bounds": {"ramGb": 1e300},
		"an id of another form": {"id": "work-1"},
	} {
		list = append(list, badRequest{name, "POST", "/work", spoiled("job-800008", change), 400})
	}
	return list
}

// TestBadInputBesideGoodWork sends thousands of bad requests to real controllers while users
// submit good jobs: each gets its answer, or is told to come back where the state service has
// to be asked first, and changes nothing; the good jobs are done.
func TestBadInputBesideGoodWork(t *testing.T) {
	t.Parallel()
	c := startProcessCluster(t, smallProcessConfig(), buildPresentVersion(t), 3)
	c.submitJobs(0, 2)
	c.waitFor("the first work", func(w *simulation) bool { return w.starts > 0 })
	c.submitJobs(2, 8)
	const senders, rounds = 4, 12
	list := badRequests()
	var mutex sync.Mutex
	var wrong []string
	var slowest time.Duration
	turnedBack := 0
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for n := range rounds * len(list) {
				x := list[(n+sender*7)%len(list)]
				began := time.Now()
				status, err := c.send(c.processes[(n+sender)%len(c.processes)], x)
				mutex.Lock()
				slowest = max(slowest, time.Since(began))
				switch {
				case err != nil:
					wrong = append(wrong, fmt.Sprintf("%s: %v", x.name, err))
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					turnedBack++
					if x.want == 400 {
						wrong = append(wrong, fmt.Sprintf("%s: status %d, want 400 at once", x.name, status))
					}
				case status != x.want:
					wrong = append(wrong, fmt.Sprintf("%s: status %d, want %d", x.name, status, x.want))
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d bad requests, %d told to come back, slowest answer %v", senders*rounds*len(list), turnedBack, slowest)
	for _, x := range wrong[:min(len(wrong), 20)] {
		t.Error(x)
	}
	c.waitForAllJobs("good jobs beside bad input")
	c.world.do(func() {
		for key := range c.world.w.store.keys {
			if strings.Contains(key, "job-8") || strings.Contains(key, "choir") {
				t.Errorf("bad input left the key %s", key)
			}
		}
	})
	c.mustAllRun()
}

// send makes one bad request.
func (c *processCluster) send(p *controllerProcess, x badRequest) (status int, err error) {
	request, err := http.NewRequest(x.method, "http://"+p.apiAddr+x.path, bytes.NewReader(x.body))
	if err != nil {
		return 0, err
	}
	answer, err := c.users.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	return answer.StatusCode, nil
}

// TestStrangeReportsChangeNothing: reports of a machine's past sessions, attempts that were
// never given out, tasks of unknown jobs and states that the protocol doesn't know neither
// stop the core nor end what runs.
func TestStrangeReportsChangeNothing(t *testing.T) {
	w := busyWorld(1)
	running := func() (n int) {
		for _, m := range w.created {
			for _, x := range m.tasks {
				if x.state == wire.TaskRunning {
					n++
				}
			}
		}
		return n
	}
	before := running()
	o := w.owner()
	if before == 0 || o == nil {
		t.Fatal("nothing runs")
	}
	for _, m := range w.busyMachines() {
		strange := []wire.TaskReport{
			{Task: "job-999999/0", Attempt: 1, State: wire.TaskRunning}, {Task: "choir", Attempt: 2, State: wire.TaskEnded, Cause: wire.CauseDone},
			{Task: "job-000001/-3", Attempt: 3, State: "humming"}, {Task: "job-000001/99999999999", Attempt: 1<<64 - 1, State: wire.TaskEnded, Cause: "why not"},
			{Task: "", State: ""}, {Task: "job-000001/0", Attempt: 0, State: wire.TaskEnded, Cause: wire.CauseError},
		}
		for _, r := range []wire.Report{
			{Session: m.session, Seq: 0}, {Session: 0, Seq: 1 << 63}, {Session: m.session, Seq: 1, Token: 1<<64 - 1}, {Session: m.session, Seq: m.seq, Token: m.token},
		} {
			r.Machine, r.Address, r.Type, r.Zone, r.Spot, r.Tasks = m.id, m.id, m.kind.Class, m.kind.Zone, m.kind.Spot, strange
			o.ask(func(ref uint64) Input { return Checkin{ref, &r} }, func(int, []byte) {})
		}
		unknown := wire.Report{Machine: "i-strange", Type: "choir", Zone: "z", Session: 1, Seq: 1, Tasks: strange}
		o.ask(func(ref uint64) Input { return Checkin{ref, &unknown} }, func(status int, _ []byte) {
			if status == 200 {
				t.Error("a report of an unknown machine type is answered with 200")
			}
		})
	}
	w.run(w.now + 5*time.Second)
	w.mustKeepRules(t)
	if n := running(); n < before-2 {
		t.Errorf("%d of %d tasks still run", n, before)
	}
}
