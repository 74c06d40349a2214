package controller

import (
	"log/slog"
	"slices"
	"time"

	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// DirectCall is a direct order to a worker, and DirectReply is the outcome.
type (
	// DirectCall carries commands to a worker without waiting for its next heartbeat. It must not
	// be sent after Until.
	DirectCall struct {
		ID      uint64
		Address string
		Body    wire.DirectOrder
		Until   time.Duration
	}
	// DirectReply is the answer to a DirectCall. Status 0 means no answer. Unsent means that no
	// connection was made, so the worker cannot have received the order.
	DirectReply struct {
		ID     uint64
		Status int
		Body   []byte
		Unsent bool
	}
)

// directCall is the state of a DirectCall in flight.
type directCall struct {
	machine     string
	incarnation uint64
	term        uint64
	tasks       []taskRef
	attempts    []uint64 // attempt numbers, in the order of tasks
	probe       bool     // launches nothing; the answer lists the machine's tasks
	fence       bool     // launches nothing; shows the worker this owner's fencing token
	repeat      bool     // the call is a repeated fence
}

// sendDirectLaunches sends planned launches to their machines at once, up to
// limits.MaxDirectOrdersInFlight orders at a time. The remaining launches wait until one of these orders
// is answered, or for the machine's next heartbeat. Unlike an answer to a heartbeat, a direct order may
// be executed at any later time at which its fencing token and worker incarnation are still current. So
// until the order is answered, a heartbeat that does not list its attempts does not prove that the
// attempts will not start, and an order that is never answered may take effect as long as the worker's
// incarnation lasts.
func (c *Core) sendDirectLaunches() {
	visitedCount := 0
	for _, machineID := range c.plannedMachines {
		if len(c.directCalls)-c.probesInFlight-c.fencesInFlight >= limits.MaxDirectOrdersInFlight {
			break
		}
		visitedCount++
		if machine, load := c.pool.Machines[machineID], c.loads[machineID]; c.mayOrderDirectly(machine, load) {
			c.sendLaunches(machine, load)
		}
	}
	c.plannedMachines = slices.Delete(c.plannedMachines, 0, visitedCount)
}

// mayOrderDirectly reports whether the launches planned for a machine may be sent in a direct
// order.
func (c *Core) mayOrderDirectly(machine *workers.Machine, load *machineLoad) bool {
	if machine == nil || load == nil || load.plannedCount == 0 || machine.DirectOrderInFlight || machine.Address == "" {
		return false
	}
	silence := c.now.Steady - machine.LastHeartbeat
	return silence <= c.pool.HeartbeatInterval+limits.DirectOrderSlack && machine.Usable(c.now.Steady, c.pool.HeartbeatInterval) && c.machineRecords[machine.ID].Up
}

// sendLaunches sends a machine a direct order with its planned launches.
func (c *Core) sendLaunches(machine *workers.Machine, load *machineLoad) {
	call := &directCall{machine: machine.ID, incarnation: machine.Incarnation, term: machine.Term}
	var commands []wire.Command
	for _, taskID := range load.plannedTaskIDs() {
		ref := load.tasks[taskID]
		if len(commands) >= limits.MaxCommands || ref.job.MustNotLaunch() {
			continue // launched or unassigned with the answer to a later heartbeat
		}
		assignment := ref.job.Assigned[ref.task]
		assignment.State, assignment.Delivery, assignment.WorkerIncarnation = jobs.Sent, jobs.DirectPending, machine.Incarnation
		c.assign(ref.job, ref.task, assignment)
		call.tasks = append(call.tasks, ref)
		call.attempts = append(call.attempts, assignment.Attempt)
		machine.Orders[assignment.Attempt] = &workers.Order{Task: taskID, SentAt: c.now.Steady}
		commands = append(commands, wire.Command{Verb: wire.VerbLaunch, Task: taskID, Attempt: assignment.Attempt})
	}
	if len(commands) == 0 {
		return
	}
	machine.DirectOrderInFlight = true
	c.lastDirectCallID++
	c.directCalls[c.lastDirectCallID] = call
	order := wire.DirectOrder{FencingToken: machine.Term, Incarnation: machine.Incarnation, Commands: commands}
	c.outputs = append(c.outputs, DirectCall{ID: c.lastDirectCallID, Address: machine.Address, Body: order, Until: c.ownership.AnswerDeadline()})
}

// handleDirectReply processes the outcome of a direct order.
func (c *Core) handleDirectReply(reply DirectReply) {
	call := c.directCalls[reply.ID]
	if call == nil {
		return
	}
	delete(c.directCalls, reply.ID)
	if call.fence {
		c.handleFenceReply(call, reply)
		return
	}
	if call.probe {
		c.probesInFlight--
	}
	machine := c.pool.Machines[call.machine]
	if machine != nil {
		machine.DirectOrderInFlight = false
	}
	switch {
	case machine == nil:
	case call.probe:
		c.handleProbeReply(machine, call, reply)
	default:
		c.handleLaunchReply(machine, call, reply)
	}
	c.answerHeldHeartbeat(call.machine)
	// Launches planned while the order was in flight are sent at once, but only if the worker
	// answered 200. Otherwise a worker that refuses connections would be called without any pause.
	if load := c.loads[call.machine]; reply.Status == 200 && load != nil && load.plannedCount > 0 {
		c.plannedMachines = append(c.plannedMachines, call.machine)
	}
	if c.ownership.MayLaunch() {
		c.sendDirectLaunches()
	}
}

// handleLaunchReply processes the outcome of a direct order that launches tasks.
func (c *Core) handleLaunchReply(machine *workers.Machine, call *directCall, reply DirectReply) {
	if machine.Term != call.term || machine.Incarnation != call.incarnation {
		return // the order is void, and reconcile has already processed its tasks
	}
	answered := reply.Status == 200 || reply.Status == 409 || reply.Status == 400
	for i, ref := range call.tasks {
		assignment, ok := ref.job.Assigned[ref.task]
		recordOrderOutcome(machine, call.attempts[i], answered, reply.Unsent)
		if !ok || assignment.Attempt != call.attempts[i] || assignment.Delivery != jobs.DirectPending {
			continue
		}
		switch {
		case reply.Unsent:
			assignment.State, assignment.Delivery = jobs.Planned, jobs.InReply
		case answered:
			assignment.Delivery = jobs.DirectConfirmed
		default:
			assignment.Delivery = jobs.DirectUnknown
		}
		c.assign(ref.job, ref.task, assignment)
	}
	if reply.Status != 200 && reply.Status != 409 {
		return
	}
	heartbeat := &wire.Heartbeat{}
	if wire.Decode(reply.Body, heartbeat) != nil || heartbeat.Machine != machine.ID || !c.pool.ReceiveOrderReply(c.now.Steady, machine, heartbeat) {
		return
	}
	c.schedulingDue = true
	// The returned commands are dropped: the answer to the next heartbeat carries them.
	c.reconcile(machine, nil, true)
}

// recordOrderOutcome updates the state of the order for an attempt.
func recordOrderOutcome(machine *workers.Machine, attempt uint64, answered, unsent bool) {
	order := machine.Orders[attempt]
	switch {
	case order == nil:
	case unsent:
		delete(machine.Orders, attempt)
	case answered:
		order.State = workers.OrderAnswered
	default:
		// The worker may still carry out the order, even after the attempt was cleared.
		order.State = workers.OrderUnanswered
	}
}

// probeSilentMachines sends a direct order without commands to machines whose heartbeat is late;
// the answer lists the machine's tasks. The worker of such a machine may be waiting for another
// node that doesn't answer, or searching for this node. Without the probes, after a controller
// process was paused, healthy machines are returned to the cloud and jobs wait for these machines.
func (c *Core) probeSilentMachines() {
	now := c.now.Steady
	if !c.ownership.MayLaunch() {
		return
	}
	for _, machine := range c.pool.Sorted() {
		if c.probesInFlight >= limits.MaxProbesInFlight {
			return
		}
		if machine.DirectOrderInFlight || machine.Deleting || machine.LeaseExpired || machine.Address == "" || now < machine.NextProbe || now-machine.LastHeartbeat <= c.pool.HeartbeatInterval*5/4+limits.ProbeSlack {
			continue
		}
		machine.NextProbe = now + limits.ProbeInterval
		c.sendUntrackedOrder(machine, max(machine.Incarnation, machine.ProbeIncarnation), []wire.Command{})
	}
}

// sendUntrackedOrder sends a machine commands that need no tracking (stops, which may be carried
// out late and more than once), or no commands at all. The answer lists the machine's tasks.
func (c *Core) sendUntrackedOrder(machine *workers.Machine, incarnation uint64, commands []wire.Command) {
	term := c.activeTerms[machine.Class]
	machine.DirectOrderInFlight = true
	c.probesInFlight++
	c.lastDirectCallID++
	c.directCalls[c.lastDirectCallID] = &directCall{machine: machine.ID, incarnation: incarnation, term: term, probe: true}
	c.outputs = append(c.outputs, DirectCall{ID: c.lastDirectCallID, Address: machine.Address, Body: wire.DirectOrder{FencingToken: term, Incarnation: incarnation, Commands: commands}, Until: c.ownership.AnswerDeadline()})
}

// handleProbeReply processes the outcome of a probe.
func (c *Core) handleProbeReply(machine *workers.Machine, call *directCall, reply DirectReply) {
	if c.activeTerms[machine.Class] != call.term {
		return
	}
	heartbeat := decodeOrderReply(machine, reply)
	if heartbeat == nil {
		machine.ProbeFailed = true
		return
	}
	c.acceptProbeReply(machine, call, heartbeat)
}

// decodeOrderReply returns the heartbeat in a worker's answer to an order, or nil if there is none.
func decodeOrderReply(machine *workers.Machine, reply DirectReply) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{}
	if (reply.Status != 200 && reply.Status != 409) || wire.Decode(reply.Body, heartbeat) != nil || heartbeat.Machine != machine.ID {
		return nil
	}
	return heartbeat
}

// acceptProbeReply processes the heartbeat in a worker's answer to a probe or a fence.
func (c *Core) acceptProbeReply(machine *workers.Machine, call *directCall, heartbeat *wire.Heartbeat) {
	wasResolved, alreadyReported := machine.Resolved(), machine.Term == call.term
	if !c.pool.ReceiveProbeReply(c.now.Steady, machine, heartbeat, call.term, call.incarnation) {
		return
	}
	// Without this update, a new owner would treat a machine that answered its probe as one that never
	// came up, and return it together with its tasks.
	if rental := c.fleet.Track(machine.ID, rentalKind(machine), c.now.Steady); rental != nil {
		rental.Up = true
	}
	c.recordHeartbeatTime(machine, alreadyReported)
	c.log(slog.LevelDebug, "silent machine answered", "machine", machine.ID, "session", heartbeat.Incarnation, "tasks", len(heartbeat.Tasks))
	c.schedulingDue, c.fleetChanged = true, true
	c.jobsChanged = c.jobsChanged || !wasResolved
	c.reconcile(machine, nil, true)
}

// repeatLaunches appends the launches whose order was never answered and whose attempts no
// heartbeat has listed. The answer to a heartbeat repeats them, and the worker ignores the attempts
// that it already has.
func (c *Core) repeatLaunches(machine *workers.Machine, commands []wire.Command) []wire.Command {
	if !machine.HasUnansweredOrders() {
		return commands
	}
	load := c.loads[machine.ID]
	for _, taskID := range load.taskIDs() {
		ref := load.tasks[taskID]
		assignment := ref.job.Assigned[ref.task]
		if assignment.Delivery != jobs.DirectUnknown || ref.job.MustNotLaunch() || len(commands) >= limits.MaxCommands {
			continue
		}
		commands = append(commands, wire.Command{Verb: wire.VerbLaunch, Task: taskID, Attempt: assignment.Attempt})
		if ref.job.Gang && ref.job.GangRun.Ending {
			// The stop ensures that the attempt is gone: the next attempt of the gang waits for its
			// end.
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: taskID, Attempt: assignment.Attempt})
		}
	}
	return commands
}

// mayClear reports whether the worker may remove an ended attempt from its task list. A direct order
// that is carried out late or twice, after the clear, would start the attempt again, possibly while the
// task runs on another machine. A completed task that is started again exits at once, so a completed
// attempt needs to be kept only while its order is unanswered or if the job is cancelled.
func (c *Core) mayClear(machine *workers.Machine, job *jobs.Job, status wire.TaskStatus) bool {
	order := machine.Orders[status.Attempt]
	if order == nil {
		return true
	}
	if order.State == workers.OrderUnanswered {
		return false
	}
	if status.Cause == wire.CauseDone && (job == nil || !job.Cancelled) {
		return true
	}
	return c.now.Steady-order.SentAt > time.Duration(limits.ClearAfterLeases*float64(c.pool.LeaseDuration))
}
