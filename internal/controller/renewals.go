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

// renewalCounts count the answers to reports of machines of ours, by what the report proved and why
// the answer was allowed or withheld.
type renewalCounts struct {
	Current   int // 200 to a report whose list is the truth
	Overtaken int // 200 to a report older than an order's answer
	Unproven  int // 200 to a report that had not seen our token
	Bounded   int // of these, limited in time by an order that may start a cancelled task
	Stopping  int // of these, with stops of cancelled tasks
	Withheld  int // not given, since an order may start a cancelled task too late
	// Reports whose answer waited until the machine had seen our token, since an earlier owner's
	// order may start a cancelled task: Fenced of them were answered with 200 after that, NotFenced
	// refused. FenceOrders counts the orders for it, FenceLeases the machines whose lease
	// ended after such a refusal.
	FenceHeld, Fenced, NotFenced, FenceOrders, FenceLeases int
	// Violations counts answers that would have left a cancelled task running: each is a fault of
	// this program.
	Violations int
}

// renew answers a report of a machine of ours with 200, which starts its lease anew. No 200 to a
// report leaves by another way. Guards against leaders that followed each other and each renewed a
// machine without stops, because its report proved nothing yet: a cancelled task ran on.
func (c *Core) renew(x Checkin, m *workers.Machine, proved workers.Verdict) {
	question := c.renewalOf(m, x.Report, proved)
	verdict := c.judge.JudgeRenewal(question)
	switch {
	case verdict.Fence:
		c.fenceFirst(x, m, verdict)
		return
	case !verdict.Renew:
		c.withhold(x, m, verdict)
		return
	}
	m.NotFenced = false
	body := wire.ReportReply{Token: m.Term, Commands: verdict.Stops}
	if proved == workers.Current {
		c.dirty = true
		body.Commands = c.currentCommands(m)
	}
	if body.Commands == nil {
		body.Commands = []wire.Command{}
	}
	if err := c.judge.CheckAnswer(question, body.Commands); err != nil {
		c.renewals.Violations++
		c.log(slog.LevelError, "renewal withheld: it would leave a cancelled task running", "machine", m.ID, "session", m.Session, "term", m.Term, "error", err)
		c.refuseReport(x)
		return
	}
	c.countRenewal(m, proved, verdict, question.Listed)
	// Judged when it leaves: guards against a node that stands still in between.
	c.out = append(c.out, Answer{Ref: x.Ref, Status: 200, Body: body, Until: verdict.Until})
}

// withhold refuses to renew a machine: it keeps its tasks for what is left of its lease.
func (c *Core) withhold(x Checkin, m *workers.Machine, v authority.Verdict) {
	c.renewals.Withheld++
	c.log(slog.LevelInfo, "renewal withheld", "machine", m.ID, "session", m.Session, "term", m.Term, "reason", string(v.Reason), "attempt", v.Cause.String(), "job", v.CauseJob)
	c.refuseReport(x)
}

// currentCommands lists what a machine whose list is the truth is told.
func (c *Core) currentCommands(m *workers.Machine) []wire.Command {
	commands := c.reconcile(m, nil, false)
	if c.ownership.MayLaunch() {
		c.allocateOn(m)
		commands = c.launchCommands(m, commands)
		commands = c.repeatLaunches(m, commands)
	}
	return commands
}

// countRenewal counts a renewal, and logs one that stops tasks or is limited in time.
func (c *Core) countRenewal(m *workers.Machine, proved workers.Verdict, v authority.Verdict, stopped []authority.Attempt) {
	switch proved {
	case workers.Unproven:
		c.renewals.Unproven++
	case workers.Overtaken:
		c.renewals.Overtaken++
	default:
		c.renewals.Current++
	}
	if len(stopped) > 0 {
		c.renewals.Stopping++
		c.log(slog.LevelDebug, "tasks stopped", "machine", m.ID, "stops", len(stopped), "first", stopped[0].String())
	}
	if v.Reason == authority.InTime {
		c.renewals.Bounded++
	}
	if v.Reason != authority.NothingCancelled {
		c.log(slog.LevelDebug, "renewed", "machine", m.ID, "session", m.Session, "term", m.Term, "proved", proved.String(), "reason", string(v.Reason))
	}
}

// renewalOf gathers what is known of a machine whose report is to be answered.
func (c *Core) renewalOf(m *workers.Machine, r *wire.Report, proved workers.Verdict) authority.Renewal {
	list := r.Tasks
	if proved == workers.Overtaken {
		list = m.Tasks // newer than the report
	}
	renewal := authority.Renewal{
		Now:          c.now.Steady,
		ActUntil:     c.ownership.ActUntil(),
		MaxStaleness: c.ownership.MaxStaleness,
		Listed:       c.listedToEnd(list),
		MayStart:     c.possibleStarts(m, list),
	}
	if proved == workers.Unproven {
		renewal.EarlierOrders = c.earlierOrders(m, r.Token)
	}
	return renewal
}

// earlierOrders lists the cancelled jobs of which an earlier owner may have sent a machine an order
// that is still under way. The worker has seen token as the highest.
//
// An owner sends orders only to machines that have shown it its own term as their highest token, and
// that are recorded. So what the worker may still carry out was ordered under the term that it names,
// or a later one; and no owner launches what was cancelled before its term began.
func (c *Core) earlierOrders(m *workers.Machine, token uint64) (orders []authority.EarlierOrder) {
	if !c.machineRecords[m.ID].Up {
		return nil
	}
	for _, j := range c.jobs.CancelledAfter(token) {
		if j.TypeSet[m.Class] && (j.Zone == "" || j.Zone == m.Zone) && (j.Spot || !m.Spot) {
			orders = append(orders, authority.EarlierOrder{Job: j.ID, ToldAfter: j.ToldAfter})
		}
	}
	return orders
}

// listedToEnd picks from a machine's list the attempts that have not ended and must: of cancelled
// jobs and of none that is known.
func (c *Core) listedToEnd(list []wire.TaskReport) (attempts []authority.Attempt) {
	for _, t := range list {
		if t.State == wire.TaskEnded {
			continue
		}
		id, task := jobs.SplitTask(t.Task)
		if j := c.jobs.Open[id]; j == nil || j.Cancelled || task < 0 || task >= j.Tasks {
			attempts = append(attempts, authority.Attempt{Task: t.Task, Number: t.Attempt})
		}
	}
	return attempts
}

// possibleStarts lists the attempts of cancelled jobs that a machine does not list and that an
// order of ours, under way or never answered, may still start. Whatever the machine lists, an order starts
// no more: a worker ignores the launch of an attempt that it has, and an ended attempt is not
// cleared while an order for it is unanswered.
func (c *Core) possibleStarts(m *workers.Machine, list []wire.TaskReport) (starts []authority.PossibleStart) {
	if len(m.Orders) == 0 {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(m.Orders)) {
		order := m.Orders[n]
		if !order.MayStartTasks() || lists(list, order.Task, n) {
			continue
		}
		id, _ := jobs.SplitTask(order.Task)
		toldAfter, cancelled := c.cancellationOf(id, order)
		if cancelled {
			starts = append(starts, authority.PossibleStart{Attempt: authority.Attempt{Task: order.Task, Number: n}, ToldAfter: toldAfter})
		}
	}
	return starts
}

// lists tells whether a machine's list shows an attempt, in any state.
func lists(list []wire.TaskReport, task string, number uint64) bool {
	for _, t := range list {
		if t.Task == task && t.Attempt == number {
			return true
		}
	}
	return false
}

// cancellationOf tells whether the job of an order is cancelled, and since when a user may know.
// The order's own record is asked, not the assignments: guards against an order that nobody kept
// account of once its job's record was read anew.
func (c *Core) cancellationOf(id string, order *workers.Order) (toldAfter time.Duration, cancelled bool) {
	if j := c.jobs.Open[id]; j != nil {
		return j.ToldAfter, j.Cancelled
	}
	if c.jobs.IsDone(id) {
		order.JobDone = true
		return 0, false
	}
	return jobs.ToldLongAgo, true
}
