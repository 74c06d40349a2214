// Package history judges from outside what users were told: a recording of all requests and
// answers, each with the times at which it was sent and answered on one clock, is checked
// against the rules of the protocol. It knows nothing of the controllers' state. Of the rules about
// where tasks run it checks that cancelled ones end, against what the workers really ran.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"umberpaddle/internal/wire"
)

// Kind is what a request asks for.
type Kind string

// Kinds of requests.
const (
	Submission   Kind = "submission"
	Question     Kind = "question"
	Cancellation Kind = "cancellation"
)

// Exchange is one request of a user with what came of it.
type Exchange struct {
	Kind       Kind
	Job        string
	Node       string
	SentAt     time.Duration
	AnsweredAt time.Duration
	Status     int           // 0: no answer
	State      wire.JobState // with status 200 and 201
}

func (e Exchange) String() string {
	return fmt.Sprintf("%s at %s, sent at %.3f s, answered at %.3f s: %d %s", e.Kind, e.Node, e.SentAt.Seconds(), e.AnsweredAt.Seconds(), e.Status, e.State)
}

// TaskRun is the time that an attempt of a task spent on a machine: from the moment it could
// execute until it ended, or its machine was gone or had to forget it.
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

// Recording is all that was seen from outside.
type Recording struct {
	Exchanges []Exchange
	// Runs are all times that tasks spent on machines, and CancelWithin is the time that the tasks
	// of a cancelled job have to be gone.
	Runs         []TaskRun
	CancelWithin time.Duration
	// Completed is when the last task of a job was completed.
	Completed map[string]time.Duration
}

// Rule names a rule of the protocol.
type Rule string

// The rules that are checked.
const (
	WentBack  Rule = "went_back"
	Forgotten Rule = "forgotten"
	Invented  Rule = "invented"
	NotDone   Rule = "not_done"
	// RanCancelled: a task is on a machine too long after its user was told of the cancellation.
	RanCancelled Rule = "ran_cancelled"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	Job    string
	Answer Exchange
	// Earlier is the answer that contradicts it, if there is one.
	Earlier *Exchange
	// Run is the task that ran on after the answer, if it was one.
	Run *TaskRun
}

func (v Violation) String() string {
	if v.Run != nil {
		return fmt.Sprintf("%s: %s; told: %s", v.Rule, *v.Run, v.Answer)
	}
	if v.Earlier == nil {
		return fmt.Sprintf("%s: %s: %s", v.Rule, v.Job, v.Answer)
	}
	return fmt.Sprintf("%s: %s: %s; before: %s", v.Rule, v.Job, v.Answer, *v.Earlier)
}

// knowledge orders what an answer says of a job: no answer may say less than one that a user
// had got before its request was sent.
type knowledge int

const (
	unsaid knowledge = iota
	unknown
	accepted
	final
)

// says tells what an answer says of its job.
func (e Exchange) says() knowledge {
	switch {
	case e.Status == 404:
		return unknown
	case e.Status != 200 && e.Status != 201:
		return unsaid
	case e.State == wire.StatusDone || e.State == wire.StatusCancelled:
		return final
	}
	return accepted
}

// Check lists the rules that a recording breaks, in the order of the answers.
func Check(r Recording) []Violation {
	byJob := map[string][]Exchange{}
	for _, e := range r.Exchanges {
		byJob[e.Job] = append(byJob[e.Job], e)
	}
	var broken []Violation
	for job, list := range byJob {
		completed, done := r.Completed[job]
		broken = append(broken, checkJob(job, list, completed, done)...)
	}
	broken = append(broken, checkRuns(r, byJob)...)
	slices.SortFunc(broken, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Answer.AnsweredAt, b.Answer.AnsweredAt), cmp.Compare(a.Job, b.Job))
	})
	return broken
}

// checkJob checks the answers about one job.
func checkJob(job string, list []Exchange, completed time.Duration, done bool) (broken []Violation) {
	answered := slices.Clone(list)
	slices.SortFunc(answered, func(a, b Exchange) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	firstAsked := earliestSent(list, Submission)
	firstCancel := earliestSent(list, Cancellation)
	for i, answer := range answered {
		add := func(rule Rule, earlier *Exchange) {
			broken = append(broken, Violation{Rule: rule, Job: job, Answer: answer, Earlier: earlier})
		}
		if earlier := newestBefore(answered[:i], answer.SentAt); earlier != nil {
			if rule, contradicted := contradiction(*earlier, answer); contradicted {
				add(rule, earlier)
			}
		}
		says := answer.says()
		if end := firstEnd(answered[:i]); end != nil && says == final && end.State != answer.State {
			add(WentBack, end)
		}
		switch {
		case says >= accepted && (firstAsked < 0 || firstAsked > answer.AnsweredAt):
			add(Invented, nil)
		case answer.State == wire.StatusCancelled && says == final && (firstCancel < 0 || firstCancel > answer.AnsweredAt):
			add(WentBack, nil)
		case answer.State == wire.StatusDone && says == final && (!done || completed > answer.AnsweredAt):
			add(NotDone, nil)
		}
	}
	return broken
}

// checkRuns checks that the tasks of cancelled jobs were gone in time, counted from the first answer
// that told a user.
func checkRuns(r Recording, byJob map[string][]Exchange) (broken []Violation) {
	for _, run := range r.Runs {
		told := firstTold(byJob[run.Job], wire.StatusCancelled)
		if told != nil && run.Ended > told.AnsweredAt+r.CancelWithin {
			broken = append(broken, Violation{Rule: RanCancelled, Job: run.Job, Answer: *told, Run: &run})
		}
	}
	return broken
}

// firstTold returns the earliest answer that told a final state, or nil.
func firstTold(list []Exchange, state wire.JobState) (first *Exchange) {
	for i, e := range list {
		if e.says() == final && e.State == state && (first == nil || e.AnsweredAt < first.AnsweredAt) {
			first = &list[i]
		}
	}
	return first
}

// earliestSent is when the first request of a kind was sent, or -1.
func earliestSent(list []Exchange, kind Kind) time.Duration {
	first := time.Duration(-1)
	for _, e := range list {
		if e.Kind == kind && (first < 0 || e.SentAt < first) {
			first = e.SentAt
		}
	}
	return first
}

// newestBefore returns the answer that says most among those given by a time.
func newestBefore(answered []Exchange, at time.Duration) *Exchange {
	var most *Exchange
	for i, e := range answered {
		if e.AnsweredAt > at {
			break
		}
		if e.says() > unsaid && (most == nil || e.says() > most.says()) {
			most = &answered[i]
		}
	}
	return most
}

// firstEnd returns the first answer that told the job's end. There is one end only, whatever the
// order of the requests.
func firstEnd(answered []Exchange) *Exchange {
	i := slices.IndexFunc(answered, func(e Exchange) bool { return e.says() == final })
	if i < 0 {
		return nil
	}
	return &answered[i]
}

// contradiction tells whether an answer says less than one that was given before its request
// was sent.
func contradiction(earlier, answer Exchange) (Rule, bool) {
	was, says := earlier.says(), answer.says()
	refused := answer.Kind == Submission && (answer.Status == 400 || answer.Status == 422)
	switch {
	case was >= accepted && (says == unknown || refused):
		return Forgotten, true
	case was == final && says == accepted:
		return WentBack, true
	}
	return "", false
}
