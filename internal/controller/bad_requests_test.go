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

// badRequest is a request that a controller must reject, with the status that it must return.
type badRequest struct {
	name, method, path string
	body               []byte
	wantStatus         int
}

// alteredSubmission returns a valid submission with some fields changed. The value nil removes a field.
func alteredSubmission(id string, changes map[string]any) []byte {
	job := batchSpec("blue", 2, 1, 5)
	job["id"] = id
	addSubmissionDefaults(job)
	for name, value := range changes {
		if value == nil {
			delete(job, name)
		} else {
			job[name] = value
		}
	}
	return mustEncode(job)
}

// badRequests lists malformed, unknown and impossible requests of users and workers, with the status
// that the protocol requires for each.
func badRequests() []badRequest {
	heartbeat := wire.Heartbeat{Machine: "i-999999", Address: "127.0.0.1:9", Type: "small", Zone: "a", Incarnation: 1, Seq: 1}
	heartbeatWithLongAddress := heartbeat
	heartbeatWithLongAddress.Address = strings.Repeat("x", 5000)
	list := []badRequest{
		{"empty body", "POST", "/work", nil, 400},
		{"not MessagePack", "POST", "/work", []byte("id=job-1"), 400},
		{"not a map", "POST", "/work", mustEncode([]int{1, 2}), 400},
		{"a body cut short", "POST", "/work", alteredSubmission("job-800001", nil)[:40], 400},
		{"a body beyond 64 KiB", "POST", "/work", bytes.Repeat([]byte{0xc0}, 70<<10), 400},
		{"a map that declares billions of entries", "POST", "/work", []byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'x'}, 400},
		{"unknown team", "POST", "/work", alteredSubmission("job-800002", map[string]any{"crew": "nobody"}), 422},
		{"fits no machine", "POST", "/work", alteredSubmission("job-800003", map[string]any{"cores": 5000.0}), 422},
		{"unknown machine type", "POST", "/work", alteredSubmission("job-800004", map[string]any{"builds": []string{"none"}}), 422},
		{"a gang beyond its team's limit", "POST", "/work", alteredSubmission("job-800005", map[string]any{"form": "gang", "crew": "red", "sheets": 21, "cores": 2.0}), 422},
		{"query for an unknown job", "GET", "/work/job-899999", nil, 404},
		{"query for an invalid id", "GET", "/work/choir", nil, 404},
		{"query for an overlong id", "GET", "/work/job-" + strings.Repeat("9", 400), nil, 404},
		{"cancellation of an unknown job", "POST", "/work/job-899999/cancel", nil, 404},
		{"unknown path", "GET", "/choir", nil, 404},
		{"wrong method", "DELETE", "/work/job-000001", nil, 405},
		{"heartbeat that is not MessagePack", "POST", "/checkin", []byte("hut=i-1"), 400},
		{"heartbeat with fields of the wrong type", "POST", "/checkin", mustEncode(map[string]any{"hut": 7, "shift": "one"}), 400},
		{"heartbeat without a machine", "POST", "/checkin", mustEncode(wire.Heartbeat{Type: "small"}), 400},
		{"heartbeat with an address too long for a record", "POST", "/checkin", mustEncode(heartbeatWithLongAddress), 400},
	}
	for _, field := range []string{"id", "docket", "crew", "form", "urgency", "sheets", "cores", "accelerators", "ramGb", "plate", "imageGb",
		"oneZone", "scatter", "loaners", "reckonS", "markS", "stowS"} {
		list = append(list, badRequest{"without " + field, "POST", "/work", alteredSubmission("job-800006", map[string]any{field: nil}), 400},
			badRequest{field + " of the wrong type", "POST", "/work", alteredSubmission("job-800007", map[string]any{field: []any{map[string]any{}}}), 400})
	}
	for name, change := range map[string]map[string]any{
		"unknown form": {"form": "choir"}, "unknown urgency": {"urgency": "now"}, "no tasks": {"sheets": 0}, "a fractional number of tasks": {"sheets": 1.5},
		"too many tasks": {"sheets": 100_001}, "a negative amount": {"cores": -1.0}, "an amount that is out of range": {"ramGb": 1e300},
		"an id in another format": {"id": "work-1"},
	} {
		list = append(list, badRequest{name, "POST", "/work", alteredSubmission("job-800008", change), 400})
	}
	return list
}

// TestBadRequestsBesideValidJobs sends thousands of bad requests to real controllers while users submit
// valid jobs. Each bad request must get its status and change no state. If the status depends on records of
// the state service, the controller may instead ask the sender to retry (429 or 503). The valid jobs must
// finish.
func TestBadRequestsBesideValidJobs(t *testing.T) {
	t.Parallel()
	cluster := startProcessCluster(t, smallProcessConfig(), buildCurrentVersion(t), 3)
	cluster.submitJobs(0, 2)
	cluster.waitFor("the first task start", func(sim *simulation) bool { return sim.taskStarts > 0 })
	cluster.submitJobs(2, 8)
	const senders, rounds = 4, 12
	requests := badRequests()
	var mutex sync.Mutex
	var failures []string
	var slowest time.Duration
	retryLater := 0
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for n := range rounds * len(requests) {
				request := requests[(n+sender*7)%len(requests)]
				start := time.Now()
				status, err := cluster.sendBadRequest(cluster.processes[(n+sender)%len(cluster.processes)], request)
				mutex.Lock()
				slowest = max(slowest, time.Since(start))
				switch {
				case err != nil:
					failures = append(failures, fmt.Sprintf("%s: %v", request.name, err))
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					retryLater++
					if request.wantStatus == 400 {
						failures = append(failures, fmt.Sprintf("%s: status %d, want 400 at once", request.name, status))
					}
				case status != request.wantStatus:
					failures = append(failures, fmt.Sprintf("%s: status %d, want %d", request.name, status, request.wantStatus))
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d bad requests, %d answered with 429 or 503, slowest answer %v", senders*rounds*len(requests), retryLater, slowest)
	for _, failure := range failures[:min(len(failures), 20)] {
		t.Error(failure)
	}
	cluster.waitForAllJobs("valid jobs beside bad requests")
	cluster.live.do(func() {
		for key := range cluster.live.sim.store.records {
			if strings.Contains(key, "job-8") || strings.Contains(key, "choir") {
				t.Errorf("a bad request left the key %s", key)
			}
		}
	})
	cluster.checkAllRunning()
}

// sendBadRequest sends a request to a controller and returns the status of the response.
func (c *processCluster) sendBadRequest(process *controllerProcess, bad badRequest) (status int, err error) {
	request, err := http.NewRequest(bad.method, "http://"+process.apiAddr+bad.path, bytes.NewReader(bad.body))
	if err != nil {
		return 0, err
	}
	response, err := c.userClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// TestInvalidHeartbeatsChangeNothing sends heartbeats with past incarnations and sequence numbers of a
// machine, attempts that were never assigned, tasks of unknown jobs, and states that the protocol does not
// define. These heartbeats must neither stop the core nor end running tasks.
func TestInvalidHeartbeatsChangeNothing(t *testing.T) {
	sim := busySimulation(1)
	countRunning := func() (n int) {
		for _, machine := range sim.createdMachines {
			for _, task := range machine.tasks {
				if task.state == wire.TaskRunning {
					n++
				}
			}
		}
		return n
	}
	before := countRunning()
	owner := sim.owner()
	if before == 0 || owner == nil {
		t.Fatal("no task is running")
	}
	for _, machine := range sim.busyMachines() {
		invalid := []wire.TaskStatus{
			{Task: "job-999999/0", Attempt: 1, State: wire.TaskRunning}, {Task: "choir", Attempt: 2, State: wire.TaskEnded, Cause: wire.CauseDone},
			{Task: "job-000001/-3", Attempt: 3, State: "humming"}, {Task: "job-000001/99999999999", Attempt: 1<<64 - 1, State: wire.TaskEnded, Cause: "why not"},
			{Task: "", State: ""}, {Task: "job-000001/0", Attempt: 0, State: wire.TaskEnded, Cause: wire.CauseError},
		}
		for _, heartbeat := range []wire.Heartbeat{
			{Incarnation: machine.incarnation, Seq: 0}, {Incarnation: 0, Seq: 1 << 63}, {Incarnation: machine.incarnation, Seq: 1, FencingToken: 1<<64 - 1}, {Incarnation: machine.incarnation, Seq: machine.seq, FencingToken: machine.fencingToken},
		} {
			heartbeat.Machine, heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Tasks = machine.id, machine.id, machine.kind.Class, machine.kind.Zone, machine.kind.Spot, invalid
			owner.request(func(ref uint64) Input { return HeartbeatRequest{ref, &heartbeat} }, func(int, []byte) {})
		}
		heartbeatOfUnknownType := wire.Heartbeat{Machine: "i-strange", Type: "choir", Zone: "z", Incarnation: 1, Seq: 1, Tasks: invalid}
		owner.request(func(ref uint64) Input { return HeartbeatRequest{ref, &heartbeatOfUnknownType} }, func(status int, _ []byte) {
			if status == 200 {
				t.Error("a heartbeat of an unknown machine type is answered with 200")
			}
		})
	}
	sim.run(sim.now + 5*time.Second)
	sim.mustKeepRules(t)
	if n := countRunning(); n < before-2 {
		t.Errorf("only %d of %d tasks are still running", n, before)
	}
}
