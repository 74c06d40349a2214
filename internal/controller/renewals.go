package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"umberpaddle/internal/authority"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// renewalCounts counts the answers to heartbeats of machines of owned classes, by what the
// heartbeat proved and by why the answer was allowed or withheld.
type renewalCounts struct {
	Current   int // answered with 200: the heartbeat's task list is current
	Overtaken int // answered with 200: the heartbeat is older than the answer to an order
	Unproven  int // answered with 200: the worker had not seen this owner's fencing token
	Bounded   int // of the renewals: limited in time by an order that may start a cancelled task
	Stopping  int // of the renewals: with stops of cancelled tasks
	Withheld  int // refused: an order may start a cancelled task, and the lease would end too late
	// FenceHeld counts the heartbeats whose answer waited until the worker had seen this owner's
	// fencing token, since an earlier owner's order may start a cancelled task. Fenced counts
	// those of the heartbeats that were then answered with 200, and NotFenced those that were refused.
	// FenceOrders counts the fences that were sent for these heartbeats, and FenceLeases the machines
	// whose lease ended after such a refusal.
	FenceHeld, Fenced, NotFenced, FenceOrders, FenceLeases int
	// Violations counts the answers that would have left a cancelled task running. Each is a bug in
	// this program.
	Violations int
}

// renewOrRefuse decides on the answer to a heartbeat of a machine of an owned class: 200, which
// restarts the machine's lease, a refusal, or a fence first. Every 200 to a heartbeat must go
// through renewOrRefuse. Otherwise successive owners may each renew a machine's lease without stopping
// its tasks, because the machine's task list is not reliable before the worker has seen the owner's
// fencing token, and a cancelled task keeps running.
func (c *Core) renewOrRefuse(request HeartbeatRequest, machine *workers.Machine, verdict workers.Verdict) {
	input := c.buildRenewalInput(machine, request.Heartbeat, verdict)
	decision := c.renewalRules.DecideRenewal(input)
	switch {
	case decision.FenceFirst:
		c.holdForFence(request, machine, decision)
		return
	case !decision.Renew:
		c.withholdRenewal(request, machine, decision)
		return
	}
	machine.NotFenced = false
	body := wire.HeartbeatReply{FencingToken: machine.Term, Commands: decision.Stops}
	if verdict == workers.Current {
		c.schedulingDue = true
		body.Commands = c.buildAnswerCommands(machine)
	}
	if body.Commands == nil {
		body.Commands = []wire.Command{}
	}
	if err := c.renewalRules.CheckAnswer(input, body.Commands); err != nil {
		c.renewalCounts.Violations++
		c.log(slog.LevelError, "renewal withheld: it would leave a cancelled task running", "machine", machine.ID, "session", machine.Incarnation, "term", machine.Term, "error", err)
		c.refuseHeartbeat(request)
		return
	}
	c.countRenewal(machine, verdict, decision, input.MustStop)
	// The server checks Until when it sends the answer. Without that check, a node that is paused
	// between this step and the send would renew the lease too late.
	c.outputs = append(c.outputs, Answer{Ref: request.Ref, Status: 200, Body: body, Until: decision.Deadline})
}

// withholdRenewal refuses to renew a machine's lease. The machine keeps its tasks until the lease
// ends.
func (c *Core) withholdRenewal(request HeartbeatRequest, machine *workers.Machine, decision authority.Decision) {
	c.renewalCounts.Withheld++
	c.log(slog.LevelInfo, "renewal withheld", "machine", machine.ID, "session", machine.Incarnation, "term", machine.Term, "reason", string(decision.Reason), "attempt", decision.Cause.String(), "job", decision.CauseJob)
	c.refuseHeartbeat(request)
}

// buildAnswerCommands updates the assignments from a current heartbeat, assigns waiting tasks to
// the machine, and returns the commands for the answer.
func (c *Core) buildAnswerCommands(machine *workers.Machine) []wire.Command {
	commands := c.reconcile(machine, nil, false)
	if c.ownership.MayLaunch() {
		c.allocateOnMachine(machine)
		commands = c.appendLaunchCommands(machine, commands)
		commands = c.repeatLaunches(machine, commands)
	}
	return commands
}

// countRenewal counts a renewal, and logs it if it stops tasks or is limited in time.
func (c *Core) countRenewal(machine *workers.Machine, verdict workers.Verdict, decision authority.Decision, stoppedAttempts []authority.Attempt) {
	switch verdict {
	case workers.Unproven:
		c.renewalCounts.Unproven++
	case workers.Overtaken:
		c.renewalCounts.Overtaken++
	default:
		c.renewalCounts.Current++
	}
	if len(stoppedAttempts) > 0 {
		c.renewalCounts.Stopping++
		c.log(slog.LevelDebug, "tasks stopped", "machine", machine.ID, "stops", len(stoppedAttempts), "first", stoppedAttempts[0].String())
	}
	if decision.Reason == authority.InTime {
		c.renewalCounts.Bounded++
	}
	if decision.Reason != authority.NothingCancelled {
		c.log(slog.LevelDebug, "renewed", "machine", machine.ID, "session", machine.Incarnation, "term", machine.Term, "proved", verdict.String(), "reason", string(decision.Reason))
	}
}

// buildRenewalInput returns the input for the decision whether to answer a machine's heartbeat with 200.
func (c *Core) buildRenewalInput(machine *workers.Machine, heartbeat *wire.Heartbeat, verdict workers.Verdict) authority.RenewalInput {
	tasks := heartbeat.Tasks
	if verdict == workers.Overtaken {
		tasks = machine.Tasks // newer than the heartbeat
	}
	input := authority.RenewalInput{
		Now:            c.now.Steady,
		AnswerDeadline: c.ownership.AnswerDeadline(),
		MaxStaleness:   c.ownership.MaxStaleness,
		MustStop:       c.attemptsToStop(tasks),
		MayStart:       c.possibleStarts(machine, tasks),
	}
	if verdict == workers.Unproven {
		input.EarlierOrders = c.earlierOrders(machine, heartbeat.FencingToken)
	}
	return input
}

// earlierOrders returns the cancelled jobs for which an earlier owner may have sent the machine an
// order that it may still carry out. token is the highest fencing token that the worker has seen.
//
// An owner sends orders only to machines that are recorded as up and that have named the owner's
// term as the highest fencing token they have seen. So any order that the worker may still carry
// out was sent under the term that equals token or a later one, and no owner launches tasks of a
// job that was cancelled before its term began.
func (c *Core) earlierOrders(machine *workers.Machine, token uint64) (orders []authority.EarlierOrder) {
	if !c.machineRecords[machine.ID].Up {
		return nil
	}
	for _, job := range c.jobs.JobsCancelledAfter(token) {
		if job.TypeSet[machine.Class] && (job.Zone == "" || job.Zone == machine.Zone) && (job.Spot || !machine.Spot) {
			orders = append(orders, authority.EarlierOrder{Job: job.ID, ConfirmedAfter: job.CancelConfirmedAfter})
		}
	}
	return orders
}

// attemptsToStop returns the listed attempts that have not ended and must be stopped: those of cancelled
// jobs, and those that belong to no task of an open job.
func (c *Core) attemptsToStop(tasks []wire.TaskStatus) (attempts []authority.Attempt) {
	for _, status := range tasks {
		if status.State == wire.TaskEnded {
			continue
		}
		jobID, task := jobs.SplitTaskID(status.Task)
		if job := c.jobs.OpenJobs[jobID]; job == nil || job.Cancelled || task < 0 || task >= job.Tasks {
			attempts = append(attempts, authority.Attempt{Task: status.Task, Number: status.Attempt})
		}
	}
	return attempts
}

// possibleStarts returns the attempts of cancelled jobs that the machine does not list and that an
// order of this owner, in flight or never answered, may still start. An order cannot start an
// attempt that the machine lists: a worker ignores the launch of an attempt that it already has,
// and an ended attempt is not cleared while an order for it is unanswered. The orders are taken
// from the machine and not from the jobs' assignments, because assignments are lost when a job's
// record is read again, and the order would then be missed.
func (c *Core) possibleStarts(machine *workers.Machine, tasks []wire.TaskStatus) (starts []authority.PossibleStart) {
	if len(machine.Orders) == 0 {
		return nil
	}
	for _, number := range slices.Sorted(maps.Keys(machine.Orders)) {
		order := machine.Orders[number]
		if !order.MayStartTasks() || containsAttempt(tasks, order.Task, number) {
			continue
		}
		jobID, _ := jobs.SplitTaskID(order.Task)
		confirmedAfter, cancelled := c.orderCancellation(jobID, order)
		if cancelled {
			starts = append(starts, authority.PossibleStart{Attempt: authority.Attempt{Task: order.Task, Number: number}, ConfirmedAfter: confirmedAfter})
		}
	}
	return starts
}

// containsAttempt reports whether a task list contains an attempt, in any state.
func containsAttempt(tasks []wire.TaskStatus, task string, number uint64) bool {
	for _, status := range tasks {
		if status.Task == task && status.Attempt == number {
			return true
		}
	}
	return false
}

// orderCancellation reports whether the job of an order is cancelled, and returns the earliest time
// at which the cancellation can have been confirmed to a user. A job that is neither open nor done
// counts as cancelled, with a confirmation at any time in the past.
func (c *Core) orderCancellation(jobID string, order *workers.Order) (confirmedAfter time.Duration, cancelled bool) {
	if job := c.jobs.OpenJobs[jobID]; job != nil {
		return job.CancelConfirmedAfter, job.Cancelled
	}
	if c.jobs.IsDone(jobID) {
		order.JobDone = true
		return 0, false
	}
	return jobs.ConfirmedAtAnyTime, true
}
