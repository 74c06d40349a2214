// Package history checks the answers to users against the rules of the protocol. It uses only a
// recording of all requests and answers, with the times at which they were sent and answered on one
// clock, and not the state of the controllers. Of the rules about where tasks run, it checks that
// cancelled tasks end, based on what the workers actually ran.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"umberpaddle/internal/wire"
)

// RequestKind is the kind of a request.
type RequestKind string

// Kinds of requests.
const (
	Submission   RequestKind = "submission"
	Query        RequestKind = "question"
	Cancellation RequestKind = "cancellation"
)

// Exchange is one request of a user and its answer.
type Exchange struct {
	Kind       RequestKind
	Job        string
	Node       string
	SentAt     time.Duration
	AnsweredAt time.Duration
	Status     int           // 0: no answer
	State      wire.JobState // set with status 200 and 201
}

func (e Exchange) String() string {
	return fmt.Sprintf("%s at %s, sent at %.3f s, answered at %.3f s: %d %s", e.Kind, e.Node, e.SentAt.Seconds(), e.AnsweredAt.Seconds(), e.Status, e.State)
}

// TaskRun is the time that an attempt of a task spent on a machine: from when it could first execute
// until it ended, its machine was gone, or its machine had to stop it.
type TaskRun struct {
	Job     string
	Task    string
	Machine string
	Began   time.Duration
	Ended   time.Duration
}

func (r TaskRun) String() string {
	return fmt.Sprintf("%s on %s from %.3f to %.3f s", r.Task, r.Machine, r.Began.Seconds(), r.Ended.Seconds())
}

// Recording holds everything that was observed from outside the controllers.
type Recording struct {
	Exchanges []Exchange
	// Runs are all runs of tasks. CancelWithin is the time within which the tasks of a cancelled
	// job must have ended after the first answer that confirmed the cancellation.
	Runs         []TaskRun
	CancelWithin time.Duration
	// CompletedAt is the time at which the last task of a job was completed, by job.
	CompletedAt map[string]time.Duration
}

// Rule identifies a rule of the protocol by the way in which it is violated.
type Rule string

// Rules that Check checks. Each constant is named after the way in which its rule is violated.
const (
	// StateRegressed means that an answer reports an earlier state than a previous answer, a
	// different final state, or a cancellation that no user requested.
	StateRegressed Rule = "went_back"
	// JobLost means that a job is reported as unknown, or refused, after it was accepted.
	JobLost Rule = "forgotten"
	// NeverSubmitted means that a job is reported as accepted before any user submitted it.
	NeverSubmitted Rule = "invented"
	// DoneTooEarly means that a job is reported as done before its last task was completed.
	DoneTooEarly Rule = "not_done"
	// RanAfterCancel means that a task runs for too long after an answer confirmed the
	// cancellation of its job.
	RanAfterCancel Rule = "ran_cancelled"
)

// Violation is a violation of a rule by an answer or a task run.
type Violation struct {
	Rule   Rule
	Job    string
	Answer Exchange
	// Earlier is the earlier answer that contradicts Answer, or nil.
	Earlier *Exchange
	// Run is the task run that lasted too long after Answer, or nil.
	Run *TaskRun
}

func (v Violation) String() string {
	if v.Run != nil {
		return fmt.Sprintf("%s: %s; cancellation confirmed: %s", v.Rule, *v.Run, v.Answer)
	}
	if v.Earlier == nil {
		return fmt.Sprintf("%s: %s: %s", v.Rule, v.Job, v.Answer)
	}
	return fmt.Sprintf("%s: %s: %s; earlier answer: %s", v.Rule, v.Job, v.Answer, *v.Earlier)
}

// reportedState is the state of a job that an answer reports, in ascending order. No answer may
// report a lower state than one that a user had received before the request was sent.
type reportedState int

const (
	reportedNothing  reportedState = iota // no answer, or an error that says nothing about the job
	reportedUnknown                       // no such job
	reportedAccepted                      // pending or running
	reportedFinal                         // done or cancelled
)

// reported returns the state that an answer reports.
func (e Exchange) stateReported() reportedState {
	switch {
	case e.Status == 404:
		return reportedUnknown
	case e.Status != 200 && e.Status != 201:
		return reportedNothing
	case e.State == wire.StatusDone || e.State == wire.StatusCancelled:
		return reportedFinal
	}
	return reportedAccepted
}

// Check returns the violations in a recording, ordered by the time of the answer.
func Check(recording Recording) []Violation {
	byJob := map[string][]Exchange{}
	for _, e := range recording.Exchanges {
		byJob[e.Job] = append(byJob[e.Job], e)
	}
	var violations []Violation
	for job, exchanges := range byJob {
		completedAt, isCompleted := recording.CompletedAt[job]
		violations = append(violations, checkJob(job, exchanges, completedAt, isCompleted)...)
	}
	violations = append(violations, checkRuns(recording, byJob)...)
	slices.SortFunc(violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Answer.AnsweredAt, b.Answer.AnsweredAt), cmp.Compare(a.Job, b.Job))
	})
	return violations
}

// checkJob checks the answers about one job.
func checkJob(job string, exchanges []Exchange, completedAt time.Duration, isCompleted bool) (violations []Violation) {
	answers := slices.Clone(exchanges)
	slices.SortFunc(answers, func(a, b Exchange) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	firstSubmission := earliestSent(exchanges, Submission)
	firstCancellation := earliestSent(exchanges, Cancellation)
	for i, answer := range answers {
		add := func(rule Rule, earlier *Exchange) {
			violations = append(violations, Violation{Rule: rule, Job: job, Answer: answer, Earlier: earlier})
		}
		if earlier := highestAnswerBy(answers[:i], answer.SentAt); earlier != nil {
			if rule, contradicted := violatedRule(*earlier, answer); contradicted {
				add(rule, earlier)
			}
		}
		state := answer.stateReported()
		if earlier := firstFinalAnswer(answers[:i]); earlier != nil && state == reportedFinal && earlier.State != answer.State {
			add(StateRegressed, earlier)
		}
		switch {
		case state >= reportedAccepted && (firstSubmission < 0 || firstSubmission > answer.AnsweredAt):
			add(NeverSubmitted, nil)
		case answer.State == wire.StatusCancelled && state == reportedFinal && (firstCancellation < 0 || firstCancellation > answer.AnsweredAt):
			add(StateRegressed, nil)
		case answer.State == wire.StatusDone && state == reportedFinal && (!isCompleted || completedAt > answer.AnsweredAt):
			add(DoneTooEarly, nil)
		}
	}
	return violations
}

// checkRuns checks that the tasks of cancelled jobs ended in time after the first answer that
// confirmed the cancellation.
func checkRuns(recording Recording, byJob map[string][]Exchange) (violations []Violation) {
	for _, run := range recording.Runs {
		confirmation := firstAnswerWith(byJob[run.Job], wire.StatusCancelled)
		if confirmation != nil && run.Ended > confirmation.AnsweredAt+recording.CancelWithin {
			violations = append(violations, Violation{Rule: RanAfterCancel, Job: run.Job, Answer: *confirmation, Run: &run})
		}
	}
	return violations
}

// firstAnswerWith returns the earliest answer that reports the given final state, or nil.
func firstAnswerWith(exchanges []Exchange, state wire.JobState) (firstAnswer *Exchange) {
	for i, e := range exchanges {
		if e.stateReported() == reportedFinal && e.State == state && (firstAnswer == nil || e.AnsweredAt < firstAnswer.AnsweredAt) {
			firstAnswer = &exchanges[i]
		}
	}
	return firstAnswer
}

// earliestSent returns the time at which the first request of a kind was sent, or -1.
func earliestSent(exchanges []Exchange, kind RequestKind) time.Duration {
	earliest := time.Duration(-1)
	for _, e := range exchanges {
		if e.Kind == kind && (earliest < 0 || e.SentAt < earliest) {
			earliest = e.SentAt
		}
	}
	return earliest
}

// highestAnswerBy returns the answer with the highest reported state among the answers given at a time
// or earlier, or nil. The answers are ordered by time.
func highestAnswerBy(answers []Exchange, at time.Duration) *Exchange {
	var highestAnswer *Exchange
	for i, e := range answers {
		if e.AnsweredAt > at {
			break
		}
		if e.stateReported() > reportedNothing && (highestAnswer == nil || e.stateReported() > highestAnswer.stateReported()) {
			highestAnswer = &answers[i]
		}
	}
	return highestAnswer
}

// firstFinalAnswer returns the first answer that reports a final state, or nil. A job has only one
// final state, whatever the order of the requests.
func firstFinalAnswer(answers []Exchange) *Exchange {
	i := slices.IndexFunc(answers, func(e Exchange) bool { return e.stateReported() == reportedFinal })
	if i < 0 {
		return nil
	}
	return &answers[i]
}

// violatedRule returns the rule that answer violates by reporting a lower state than earlier, which was
// given before the request of answer was sent. It returns false if answer violates none.
func violatedRule(earlier, answer Exchange) (Rule, bool) {
	earlierState, answerState := earlier.stateReported(), answer.stateReported()
	rejected := answer.Kind == Submission && (answer.Status == 400 || answer.Status == 422)
	switch {
	case earlierState >= reportedAccepted && (answerState == reportedUnknown || rejected):
		return JobLost, true
	case earlierState == reportedFinal && answerState == reportedAccepted:
		return StateRegressed, true
	}
	return "", false
}
