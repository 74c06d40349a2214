package controller

import (
	"strconv"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// rentalPrefix returns the name prefix of all machines that this incarnation of the controller
// rents.
func rentalPrefix(label string, incarnation uint64) string {
	return "up-" + label + "-" + strconv.FormatUint(incarnation, 36)
}

// errorAnswer returns an answer that carries an error message.
func errorAnswer(status int, message string) jobs.Answer {
	return jobs.Answer{Status: status, Body: wire.ErrorBody{Error: message}}
}

// answerReady answers a readiness check. The node is ready if it has read the state and the machine
// types, unless it alone cannot reach the state service. In an outage for all controllers it stays
// ready: taking all of them out of service, and readmitting them only after a pause, would help no
// user.
func (c *Core) answerReady(request Ready) {
	now := c.now.Steady
	alone := c.store.Down() && now-c.store.LastOK > limits.IsolatedAfter && c.peerReachedStoreAt > 0 && now-c.peerReachedStoreAt < limits.IsolatedAfter
	if c.store.Mirror.Loaded && len(c.fleet.Types) > 0 && !alone {
		c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 200})
		return
	}
	c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 503})
}

// submit validates a submission and passes it to the job registry. It doesn't validate a known job
// again: settings and machine types may have changed since, and an earlier version may have
// accepted a form that this version rejects.
func (c *Core) submit(request Submit) {
	submission, err := wire.ParseSubmission(request.Body)
	switch {
	case submission == nil:
		c.answer(request.Ref, errorAnswer(400, err.Error()))
		return
	case c.jobs.IsAccepted(submission.ID):
		c.jobs.Query(c.now.Steady, submission.ID, func(a jobs.Answer) { c.answer(request.Ref, a) })
		return
	case err != nil:
		c.refuseIfUnknown(request.Ref, submission.ID, errorAnswer(400, err.Error()))
		return
	}
	if !c.store.Mirror.Loaded || len(c.fleet.Types) == 0 {
		c.answer(request.Ref, jobs.RetryLater())
		return
	}
	if submission.Gang && c.ownership.RecordFormat() < 2 {
		// A controller of an earlier version would read the gang as an array of independent tasks.
		c.answer(request.Ref, jobs.RetryLater())
		return
	}
	if reason := c.checkSubmission(submission); reason != "" {
		c.refuseIfUnknown(request.Ref, submission.ID, errorAnswer(422, reason))
		return
	}
	job := submission.Job
	job.SubmitUnix = c.now.Unix
	c.jobs.Submit(c.now.Steady, &job, func(a jobs.Answer) { c.answer(request.Ref, a) })
}

// refuseIfUnknown refuses a submission permanently, but only after the state service confirms that no
// such job exists. Without this check, if a job was accepted under other settings or by an earlier
// version and is in neither this node's open jobs nor its cache, a repeated submission of the job would
// be refused.
func (c *Core) refuseIfUnknown(ref uint64, id string, refusal jobs.Answer) {
	c.jobs.Query(c.now.Steady, id, func(answer jobs.Answer) {
		if answer.Status == 404 {
			answer = refusal
		}
		c.answer(ref, answer)
	})
}

// checkSubmission sets submission.Types to the machine types that can run the job's tasks. If the
// job can never run, it returns an error message for the user, otherwise the empty string.
func (c *Core) checkSubmission(submission *wire.Submission) string {
	team := c.teams[submission.Team]
	if team == nil {
		return "crew: unknown team"
	}
	listedTypes := map[string]bool{}
	for _, typeName := range submission.AllowedTypes {
		listedTypes[typeName] = true
	}
	submission.Types = nil
	for _, name := range c.fleet.Classes() {
		machineType := c.fleet.Types[name]
		if !submission.AnyType && !listedTypes[name] {
			continue
		}
		if submission.Zone != "" && !contains(machineType.Zones, submission.Zone) {
			continue
		}
		if submission.CPUs <= machineType.CPUs && submission.GPUs <= machineType.GPUs && submission.MemoryGB <= machineType.MemoryGB {
			submission.Types = append(submission.Types, name)
		}
	}
	if len(submission.Types) == 0 {
		return "a task fits no allowed machine type"
	}
	// All tasks of a gang run at the same time.
	tasksAtOnce := 1.0
	if submission.Gang {
		tasksAtOnce = float64(submission.Tasks)
	}
	if exceeds(tasksAtOnce*submission.CPUs, team.CPUsMax) || exceeds(tasksAtOnce*submission.GPUs, team.GPUsMax) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// exceeds reports whether an amount is above a limit, where 0 means no limit. Amounts are decimal
// fractions, so the comparison allows for rounding errors.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+1e-6 }

func contains(list []string, wanted string) bool {
	for _, element := range list {
		if element == wanted {
			return true
		}
	}
	return false
}

func (c *Core) query(request Query) {
	if !wire.ValidJobID(request.ID) {
		c.answer(request.Ref, errorAnswer(404, "no such job"))
		return
	}
	c.jobs.Query(c.now.Steady, request.ID, func(a jobs.Answer) { c.answer(request.Ref, a) })
}

func (c *Core) cancel(request Cancel) {
	if !wire.ValidJobID(request.ID) {
		c.answer(request.Ref, errorAnswer(404, "no such job"))
		return
	}
	c.jobs.Cancel(c.now.Steady, request.ID, func(a jobs.Answer) { c.answer(request.Ref, a) })
}
