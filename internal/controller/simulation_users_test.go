package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// simJob is a job: its submission, the progress of its tasks and the states reported to its user.
type simJob struct {
	id              string
	spec            map[string]any
	team            string
	cores           float64 // per task
	taskCount       int
	runSeconds      float64 // mean run time in seconds
	faulty          bool    // its tasks fail on every machine
	done            map[int]bool
	doneCount       int
	completedAt     time.Duration // when its last task was done
	accepted        bool
	reportedState   wire.JobState // final state that was reported to a user; empty: none yet
	gang            bool
	savedCount      int // number of times that all tasks of the gang saved
	cancelRequested bool
	cancelledAt     time.Duration // when the cancelled state was first reported to a user
	lastAnswerAt    time.Duration // when a status answer last arrived
	submission      []byte        // encoded submission
	acceptedAt      time.Duration // when the acceptance was reported to a user
	startedAt       time.Duration // when its first task started
	notWaitingAt    time.Duration // time of the last audit at which the job ran, was not expected to start or could not start
}

// submitJob adds a job and submits it. In one case in ten it is submitted twice at the same time.
func (sim *simulation) submitJob(id string, spec map[string]any, runSeconds float64) *simJob {
	spec["id"] = id
	addSubmissionDefaults(spec)
	job := &simJob{id: id, spec: spec, team: spec["crew"].(string), cores: spec["cores"].(float64), taskCount: int(spec["sheets"].(int)), runSeconds: runSeconds, done: map[int]bool{}, gang: spec["form"] == "gang"}
	sim.jobs[id] = job
	body := mustEncode(spec)
	job.submission = body
	sim.sendSubmission(job)
	if sim.chance(0.1) { // the second submission may go to another node
		sim.sendSubmission(job)
	}
	return job
}

// sendSubmission sends a job's submission to a random node and retries it for up to 150 s until it
// is answered. Once it is accepted, its user polls the status.
func (sim *simulation) sendSubmission(job *simJob) {
	id, submission, start := job.id, job.submission, sim.now
	var submit func()
	submit = func() {
		stateBefore := job.reportedState
		node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		sim.call("users", node.label, 5*time.Second, func(answer func(int, []byte)) {
			node.request(func(ref uint64) Input { return Submit{ref, submission} }, answer)
		}, func(status int, body []byte) {
			switch status {
			case 200, 201:
				if !job.accepted {
					job.accepted, job.acceptedAt = true, sim.now
					sim.checkAllNodes(job)
				}
				if stateBefore == job.reportedState {
					sim.checkAnswer(job, status, body)
				}
				sim.schedule(sim.randomDuration(4, 6), func() { sim.pollStatus(job) })
			case 400, 422, 404:
				sim.reportViolation("forgotten", "submission of %s got %d", id, status)
			default:
				if sim.now-start < 150*time.Second {
					sim.schedule(sim.randomDuration(1, 2), submit)
				}
			}
		})
	}
	submit()
}

// addSubmissionDefaults adds default values for the required fields that a test leaves out.
func addSubmissionDefaults(spec map[string]any) {
	for field, value := range map[string]any{"accelerators": 0.0, "plate": "img", "imageGb": 0.5, "oneZone": false, "scatter": false,
		"loaners": true, "markS": 0.0, "stowS": 0.0} {
		if _, ok := spec[field]; !ok {
			spec[field] = value
		}
	}
}

// pollStatus queries the status of a job at a random node, and again every few seconds.
func (sim *simulation) pollStatus(job *simJob) {
	reported := job.reportedState
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	sim.call("users", node.label, 2*time.Second, func(answer func(int, []byte)) {
		node.request(func(ref uint64) Input { return Query{ref, job.id} }, answer)
	}, func(status int, body []byte) {
		// If another answer reported a final state while this query was open, this answer may be
		// older and isn't checked.
		if (status == 200 || status == 404) && reported == job.reportedState {
			sim.checkAnswer(job, status, body)
		}
		// After the faults, status queries about every accepted job must be answered again.
		if since := sim.now - max(sim.faultsEndedAt, job.lastAnswerAt); sim.faultsEndedAt > 0 && job.accepted && since > 75*time.Second {
			sim.reportViolation("forgotten", "no status query for %s was answered for %v", job.id, since)
		}
		sim.schedule(sim.randomDuration(4, 6), func() { sim.pollStatus(job) })
	})
}

// cancel cancels a job at a random node and retries until the cancellation is confirmed.
func (sim *simulation) cancel(j *simJob) {
	sim.cancelAt(j, sim.nodes[sim.rng.IntN(len(sim.nodes))], func() { sim.cancel(j) })
}

// cancelAt cancels a job at a node. Unless the cancellation is confirmed, it calls retry 1 s to 2 s
// after the call.
func (sim *simulation) cancelAt(job *simJob, node *simNode, retry func()) {
	job.cancelRequested = true
	wasAccepted := job.accepted
	sim.call("users", node.label, 5*time.Second, func(answer func(int, []byte)) {
		node.request(func(ref uint64) Input { return Cancel{ref, job.id} }, answer)
	}, func(status int, body []byte) {
		if status == 200 {
			sim.checkAnswer(job, status, body)
			return
		}
		if status == 404 && wasAccepted {
			sim.reportViolation("forgotten", "cancellation of %s got 404", job.id)
		}
		sim.schedule(sim.randomDuration(1, 2), retry)
	})
}

// queryUnknownJob queries the status of a job that was never submitted and checks that no node finds it.
func (sim *simulation) queryUnknownJob() {
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	id := fmt.Sprintf("job-9%05d", sim.rng.IntN(100000))
	sim.call("users", node.label, 2*time.Second, func(answer func(int, []byte)) {
		node.request(func(ref uint64) Input { return Query{ref, id} }, answer)
	}, func(status int, _ []byte) {
		if status == 200 {
			sim.reportViolation("invented", "%s", id)
		}
	})
}

// checkAnswer checks an answer about a job against the progress of its tasks and the states that
// were reported to users before. It records the first final state.
func (sim *simulation) checkAnswer(job *simJob, status int, body []byte) {
	if status == 404 {
		sim.reportViolation("forgotten", "%s got 404", job.id)
		return
	}
	var jobStatus wire.JobStatus
	if err := wire.Decode(body, &jobStatus); err != nil || jobStatus.ID != job.id {
		sim.reportViolation("answer", "%s: %v %+v", job.id, err, jobStatus)
		return
	}
	job.lastAnswerAt = sim.now
	stateBefore := job.reportedState
	if job.reportedState != "" && jobStatus.Status != job.reportedState {
		sim.reportViolation("went_back", "%s was %s and is now %s", job.id, job.reportedState, jobStatus.Status)
	}
	switch jobStatus.Status {
	case wire.StatusDone:
		if job.doneCount < job.taskCount {
			sim.reportViolation("not_done", "%s is reported as done with %d of %d tasks done", job.id, job.doneCount, job.taskCount)
		}
		job.reportedState = jobStatus.Status
	case wire.StatusCancelled:
		if !job.cancelRequested {
			sim.reportViolation("went_back", "%s is cancelled without a request", job.id)
		}
		if job.reportedState == "" {
			job.cancelledAt = sim.now
			sim.schedule(time.Duration(sim.cfg.cancelS*float64(time.Second))+time.Millisecond, func() { sim.checkCancelled(job) })
		}
		job.reportedState = jobStatus.Status
	}
	if stateBefore != job.reportedState {
		sim.checkAllNodes(job)
	}
}

// checkAllNodes is called when a new state of a job is reported to a user. If queryAllNodes is set,
// it queries the status and repeats the submission at all nodes within 10 ms, and it cancels a job
// in a final state with a probability of 0.3.
func (sim *simulation) checkAllNodes(job *simJob) {
	if !sim.queryAllNodes {
		return
	}
	for _, node := range sim.nodes {
		for _, submitAgain := range []bool{false, true, false} {
			sim.schedule(sim.randomDuration(0, 0.01), func() {
				stateBefore := job.reportedState
				sim.call("users", node.label, 2*time.Second, func(answer func(int, []byte)) {
					node.request(func(ref uint64) Input {
						if submitAgain {
							return Submit{ref, job.submission}
						}
						return Query{ref, job.id}
					}, answer)
				}, func(status int, body []byte) {
					switch {
					case status == 400 || status == 422 || status == 201:
						sim.reportViolation("forgotten", "repeated submission of %s got %d", job.id, status)
					case (status == 200 || status == 404) && stateBefore == job.reportedState:
						sim.checkAnswer(job, status, body)
					}
				})
			})
		}
	}
	if job.reportedState != "" && sim.chance(0.3) {
		sim.cancel(job)
	}
}

// sendInvalidRequests submits a job that must be rejected, for example because it fits no machine or
// lacks a field, and may cancel a job that is already done.
func (sim *simulation) sendInvalidRequests() {
	id := fmt.Sprintf("job-8%05d", sim.rng.IntN(100000))
	spec := map[string]any{"id": id, "docket": "x", "crew": "blue", "form": "batch", "urgency": "standard", "sheets": 2,
		"cores": 1.0, "accelerators": 0.0, "ramGb": 1.0, "loaners": true, "reckonS": 5.0}
	addSubmissionDefaults(spec)
	want := 400
	switch sim.rng.IntN(6) {
	case 0:
		spec["cores"], want = 1000.0, 422
	case 1:
		spec["crew"], want = "nobody", 422
	case 2:
		delete(spec, "sheets")
	case 3:
		spec["form"] = "choir"
	case 4:
		spec["sheets"] = -1
	case 5:
		delete(spec, []string{"plate", "imageGb", "oneZone", "scatter", "loaners", "markS", "stowS", "accelerators"}[sim.rng.IntN(8)])
	}
	node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	body := mustEncode(spec)
	sim.call("users", node.label, 5*time.Second, func(answer func(int, []byte)) {
		node.request(func(ref uint64) Input { return Submit{ref, body} }, answer)
	}, func(status int, _ []byte) {
		if status != want && status != 503 && status != 429 && status != 0 {
			sim.reportViolation("odd", "submission of %v got %d", spec, status)
		}
	})
	for _, id := range sortedKeys(sim.jobs) {
		if j := sim.jobs[id]; j.reportedState == wire.StatusDone && sim.chance(0.2) {
			sim.cancelAt(j, node, func() {})
			break
		}
	}
}

// audit checks once a second the rules that can be violated without an event: no task of a cancelled job
// runs past the cancellation deadline, and after the faults no job that could start waits longer
// than 90 s.
func (sim *simulation) audit() {
	for _, id := range sortedKeys(sim.jobs) {
		job := sim.jobs[id]
		if job.reportedState == wire.StatusCancelled && sim.now > job.cancelledAt+time.Duration(sim.cfg.cancelS*float64(time.Second)) {
			sim.checkCancelled(job)
		}
		if sim.faultsEndedAt == 0 || !job.accepted || job.reportedState != "" || job.cancelRequested || job.faulty || job.doneCount == job.taskCount || !sim.couldStart(job) {
			job.notWaitingAt = sim.now
			continue
		}
		if since := max(sim.faultsEndedAt, job.notWaitingAt); sim.now-since > 90*time.Second {
			sim.reportViolation("left_waiting", "%s could start but no task runs (%d tasks, of which %d are done)", job.id, job.taskCount, job.doneCount)
		}
	}
	sim.schedule(time.Second, sim.audit)
}

// couldStart reports whether a job has no unfinished task on any machine, the machines that it allows
// have room for one task (for a gang: for all its tasks), and its team would stay within its limit.
func (sim *simulation) couldStart(job *simJob) bool {
	need := 1
	if job.gang {
		need = job.taskCount
	}
	freeSlots, used := map[string]int{}, 0.0
	for _, machine := range sim.createdMachines {
		if machine.gone || !machine.up {
			continue
		}
		for _, task := range machine.tasks {
			if task.job == job && task.state != wire.TaskEnded {
				return false
			}
			if task.job.team == job.team && task.state != wire.TaskEnded {
				used += task.job.cores
			}
		}
		types, limited := job.spec["builds"].([]string)
		zone, pinned := job.spec["valley"].(string)
		if limited && !contains(types, machine.kind.Class) || pinned && zone != machine.kind.Zone || machine.kind.Spot && job.spec["loaners"] != true {
			continue
		}
		cpus, memoryGB := machine.freeResources()
		if !machine.hung && !machine.faulty && machine.recallAt == 0 {
			location := "" // slots are counted for each zone if all tasks must be in one zone
			if job.spec["oneZone"] == true {
				location = machine.kind.Zone
			}
			freeSlots[location] += int(min(cpus/job.cores, memoryGB/job.spec["ramGb"].(float64)))
		}
	}
	for _, team := range sim.cfg.teams {
		if team.Name == job.team && team.CPUsMax > 0 && used+float64(need)*job.cores > team.CPUsMax {
			return false
		}
	}
	for _, slots := range freeSlots {
		if slots >= need {
			return true
		}
	}
	return false
}

// mustStartInTime checks that every accepted job that isn't cancelled started within four minutes
// of its acceptance.
func (sim *simulation) mustStartInTime(t *testing.T) {
	t.Helper()
	for _, id := range sortedKeys(sim.jobs) {
		if j := sim.jobs[id]; j.accepted && !j.cancelRequested && (j.startedAt == 0 || j.startedAt-j.acceptedAt > 4*time.Minute) {
			t.Errorf("%s was accepted at %v and started at %v", id, j.acceptedAt, j.startedAt)
		}
	}
}

// deliverReplays delivers the recorded heartbeats to every node. It is called when a core acts
// under a new term.
func (sim *simulation) deliverReplays() {
	for _, deliver := range sim.replays {
		for _, node := range sim.nodes {
			sim.schedule(sim.randomDuration(0, 0.2), func() { deliver(node) })
		}
	}
	sim.replays = nil
}

// isExecuting reports whether a task runs, saves or waits for the other tasks of its gang.
func isExecuting(t *simTask) bool {
	return t.state == wire.TaskRunning || t.state == wire.TaskSaving || t.state == wire.TaskGathering
}

// checkCancelled checks that no machine executes a task of a cancelled job. A machine that hangs
// past its lease is left out, since it ends its tasks before it does anything else.
func (sim *simulation) checkCancelled(job *simJob) {
	for _, id := range sortedKeys(sim.machines) {
		machine := sim.machines[id]
		if machine.gone || (machine.hung && sim.now-machine.renewedAt > machine.leaseDuration()) {
			continue
		}
		for taskID, t := range machine.tasks {
			if strings.HasPrefix(taskID, job.id+"/") && isExecuting(t) {
				sim.reportViolation("ran_cancelled", "%s on %s", taskID, machine.id)
			}
		}
	}
}

// checkStart checks the rules that the start of a task could violate: placement, one execution of
// each task at a time, the limit of the team, and no start after the cancellation deadline.
func (sim *simulation) checkStart(machine *simMachine, task *simTask, job *simJob) {
	if job.reportedState == wire.StatusCancelled && sim.now > job.cancelledAt+time.Duration(sim.cfg.cancelS*float64(time.Second)) {
		sim.reportViolation("ran_cancelled", "%s starts on %s", task.id, machine.id)
	}
	if types, ok := job.spec["builds"].([]string); ok && !contains(types, machine.kind.Class) {
		sim.reportViolation("wrong_place", "%s on type %s", task.id, machine.kind.Class)
	}
	if zone, ok := job.spec["valley"].(string); ok && zone != machine.kind.Zone {
		sim.reportViolation("wrong_place", "%s in zone %s", task.id, machine.kind.Zone)
	}
	if machine.kind.Spot && job.spec["loaners"] != true {
		sim.reportViolation("wrong_place", "%s on a spot machine", task.id)
	}
	cpus := 0.0
	zones := map[string]int{}
	for _, otherMachine := range sim.createdMachines {
		if otherMachine.gone || (otherMachine.hung && sim.now-otherMachine.renewedAt > otherMachine.leaseDuration()) {
			continue
		}
		for taskID, otherTask := range otherMachine.tasks {
			if !isExecuting(otherTask) {
				continue
			}
			if taskID == task.id && otherMachine != machine {
				sim.reportViolation("ran_twice", "%s on %s and %s", taskID, otherMachine.id, machine.id)
			}
			if otherTask.job.team == job.team {
				cpus += otherTask.job.cores
			}
			if otherTask.job == job {
				zones[otherMachine.kind.Zone]++
			}
		}
	}
	for _, team := range sim.cfg.teams {
		if team.Name == job.team && team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6 {
			sim.reportViolation("quota", "team %s uses %.1f of %.1f CPUs", job.team, cpus, team.CPUsMax)
		}
	}
	if job.spec["oneZone"] == true && len(zones) > 1 {
		sim.reportViolation("wrong_place", "%s must run in one zone and runs in %v", job.id, zones)
	}
	if job.spec["scatter"] == true && zones[machine.kind.Zone] > (job.taskCount+1)/2 {
		sim.reportViolation("wrong_place", "%s has too many tasks in one zone: %v of %d tasks", job.id, zones, job.taskCount)
	}
}
