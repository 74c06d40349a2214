package controller

import (
	"strconv"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

func rentalPrefix(label string, random uint64) string {
	return "up-" + label + "-" + strconv.FormatUint(random, 36)
}

func refuse(status int, why string) jobs.Answer {
	return jobs.Answer{Status: status, Body: wire.ErrorBody{Error: why}}
}

// ready: the node knows the state and the machine types, and is not the only one
// that the state service refuses. In an outage for all it stays ready: taking
// every node out, and letting them back after a pause, would help nobody.
func (c *Core) ready(x Ready) {
	t := c.now.Steady
	alone := c.store.Down() && t-c.store.LastOK > limits.AloneAfter && c.peerReachedStoreAt > 0 && t-c.peerReachedStoreAt < limits.AloneAfter
	if c.store.Mirror.Loaded && len(c.fleet.Types) > 0 && !alone {
		c.out = append(c.out, Answer{Ref: x.Ref, Status: 200})
		return
	}
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 503})
}

// submit judges a submission and hands it to the registry of jobs. A known job is never
// judged again: settings and machine types may have changed since, and an earlier version may
// have taken a form that this one would not.
func (c *Core) submit(x Submit) {
	s, err := wire.ParseSubmission(x.Body)
	switch {
	case s == nil:
		c.answer(x.Ref, refuse(400, err.Error()))
		return
	case c.jobs.Known(s.ID):
		c.jobs.Query(c.now.Steady, s.ID, func(a jobs.Answer) { c.answer(x.Ref, a) })
		return
	case err != nil:
		c.refuseUnknown(x.Ref, s.ID, refuse(400, err.Error()))
		return
	}
	if !c.store.Mirror.Loaded || len(c.fleet.Types) == 0 {
		c.answer(x.Ref, jobs.RetryLater())
		return
	}
	if s.Gang && c.ownership.Format() < 2 {
		// A controller of an earlier version would read it as an array.
		c.answer(x.Ref, jobs.RetryLater())
		return
	}
	if why := c.checkSubmission(s); why != "" {
		c.refuseUnknown(x.Ref, s.ID, refuse(422, why))
		return
	}
	job := s.Job
	job.SubmitUnix = c.now.Unix
	c.jobs.Submit(c.now.Steady, &job, func(a jobs.Answer) { c.answer(x.Ref, a) })
}

// refuseUnknown refuses a submission for good if the state service knows no such job. Guards
// against the repeat of a job that was accepted under other settings or by an earlier version: an
// answer from memory told its user that it was refused.
func (c *Core) refuseUnknown(ref uint64, id string, refusal jobs.Answer) {
	c.jobs.Query(c.now.Steady, id, func(a jobs.Answer) {
		if a.Status == 404 {
			a = refusal
		}
		c.answer(ref, a)
	})
}

// checkSubmission tells why a job can never run, or fills in the types on which it can.
func (c *Core) checkSubmission(s *wire.Submission) string {
	team := c.teams[s.Team]
	if team == nil {
		return "crew: unknown team"
	}
	listed := map[string]bool{}
	for _, t := range s.Listed {
		listed[t] = true
	}
	s.Types = nil
	for _, name := range c.fleet.Classes() {
		t := c.fleet.Types[name]
		if !s.AnyType && !listed[name] {
			continue
		}
		if s.Zone != "" && !contains(t.Zones, s.Zone) {
			continue
		}
		if s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB {
			s.Types = append(s.Types, name)
		}
	}
	if len(s.Types) == 0 {
		return "a task fits no allowed machine type"
	}
	// A gang runs whole or not at all.
	n := 1.0
	if s.Gang {
		n = float64(s.Tasks)
	}
	if exceeds(n*s.CPUs, team.CPUsMax) || exceeds(n*s.GPUs, team.GPUsMax) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// exceeds tells whether an amount is beyond a limit, where 0 is none; amounts are decimal.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+1e-6 }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (c *Core) query(x Query) {
	if !wire.ValidJobID(x.ID) {
		c.answer(x.Ref, refuse(404, "no such job"))
		return
	}
	c.jobs.Query(c.now.Steady, x.ID, func(a jobs.Answer) { c.answer(x.Ref, a) })
}

func (c *Core) cancel(x Cancel) {
	if !wire.ValidJobID(x.ID) {
		c.answer(x.Ref, refuse(404, "no such job"))
		return
	}
	c.jobs.Cancel(c.now.Steady, x.ID, func(a jobs.Answer) { c.answer(x.Ref, a) })
}
