package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"umberpaddle/internal/authority"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
	"umberpaddle/internal/workers"
)

// heldHeartbeat is a heartbeat whose answer waits until its worker has seen this owner's fencing
// token.
type heldHeartbeat struct {
	request  HeartbeatRequest
	deadline time.Duration
	// fencesSent is the number of fences sent for this heartbeat, and nextFence is when the next
	// fence is due.
	fencesSent int
	nextFence  time.Duration
}

// holdForFence holds the answer to a heartbeat and sends the worker a fence: a direct order without
// commands that carries this owner's fencing token. Once the worker has received it, the worker
// refuses the orders of earlier owners, and its answer to the fence lists what such orders have
// started. Without the fence, an earlier owner's order may start a cancelled task between the
// heartbeat and its answer; no controller records the task, and it runs for a whole lease.
func (c *Core) holdForFence(request HeartbeatRequest, machine *workers.Machine, decision authority.Decision) {
	if earlierHeartbeat := c.heldHeartbeats[machine.ID]; earlierHeartbeat != nil {
		c.refuseHeartbeat(earlierHeartbeat.request) // the worker no longer waits for this answer
	}
	c.renewalCounts.FenceHeld++
	c.log(slog.LevelDebug, "renewal waits for a fence", "machine", machine.ID, "session", machine.Incarnation, "term", machine.Term, "token", request.Heartbeat.FencingToken, "job", decision.CauseJob)
	c.heldHeartbeats[machine.ID] = &heldHeartbeat{request: request, deadline: c.now.Steady + limits.FenceWait}
	c.fenceQueue = append(c.fenceQueue, machine.ID)
	c.sendQueuedFences()
}

// sendQueuedFences sends the first fences of queued heartbeats, up to the limit on fences in
// flight.
func (c *Core) sendQueuedFences() {
	for len(c.fenceQueue) > 0 && c.fencesInFlight < limits.MaxFencesInFlight {
		machineID := c.fenceQueue[0]
		c.fenceQueue = c.fenceQueue[1:]
		if heartbeat := c.heldHeartbeats[machineID]; heartbeat != nil && heartbeat.fencesSent == 0 {
			c.sendFence(machineID, heartbeat)
		}
	}
}

// sendFence sends a fence for a held heartbeat. A fence may be in flight together with other orders
// to the same machine, since it launches nothing.
func (c *Core) sendFence(machineID string, heartbeat *heldHeartbeat) {
	machine := c.pool.Machines[machineID]
	if machine == nil {
		return
	}
	call := &directCall{machine: machine.ID, incarnation: heartbeat.request.Heartbeat.Incarnation, term: machine.Term, fence: true, repeat: heartbeat.fencesSent > 0}
	heartbeat.nextFence = c.now.Steady + limits.FenceRepeatDelay<<heartbeat.fencesSent
	heartbeat.fencesSent++
	c.renewalCounts.FenceOrders++
	c.fencesInFlight++
	if call.repeat {
		c.fenceRepeats++
	}
	c.lastDirectCallID++
	c.directCalls[c.lastDirectCallID] = call
	order := wire.DirectOrder{FencingToken: call.term, Incarnation: call.incarnation, Commands: []wire.Command{}}
	c.outputs = append(c.outputs, DirectCall{ID: c.lastDirectCallID, Address: machine.Address, Body: order, Until: c.ownership.AnswerDeadline()})
}

// handleFenceReply processes the outcome of a fence.
func (c *Core) handleFenceReply(call *directCall, reply DirectReply) {
	c.fencesInFlight--
	if call.repeat {
		c.fenceRepeats--
	}
	if machine := c.pool.Machines[call.machine]; machine != nil && c.activeTerms[machine.Class] == call.term {
		if heartbeat := decodeOrderReply(machine, reply); heartbeat != nil {
			c.acceptProbeReply(machine, call, heartbeat)
		}
		c.answerHeldHeartbeat(machine.ID)
	}
	c.sendQueuedFences()
	if c.ownership.MayLaunch() {
		c.sendDirectLaunches()
	}
}

// answerHeldHeartbeat answers the held heartbeat of a machine, if there is one and the worker has
// since seen this owner's fencing token.
func (c *Core) answerHeldHeartbeat(machineID string) {
	machine, heartbeat := c.pool.Machines[machineID], c.heldHeartbeats[machineID]
	if machine == nil || heartbeat == nil || !c.isFenced(machine, heartbeat) {
		return
	}
	delete(c.heldHeartbeats, machineID)
	c.renewalCounts.Fenced++
	c.renewOrRefuse(heartbeat.request, machine, workers.Overtaken)
}

// isFenced reports whether the worker has seen this owner's fencing token in the same incarnation
// that sent the held heartbeat. For a fenced worker, the machine's task list is complete.
func (c *Core) isFenced(machine *workers.Machine, heartbeat *heldHeartbeat) bool {
	term, owned := c.activeTerms[machine.Class]
	return owned && c.ownership.MayAnswer() && machine.Term == term && machine.Adopted && machine.Incarnation == heartbeat.request.Heartbeat.Incarnation
}

// updateHeldHeartbeats repeats fences that were not answered, and refuses the heartbeats that have
// waited too long. The worker of a refused heartbeat tries again within a second or two.
func (c *Core) updateHeldHeartbeats() {
	if len(c.heldHeartbeats) == 0 {
		return
	}
	for _, machineID := range slices.Sorted(maps.Keys(c.heldHeartbeats)) {
		heartbeat := c.heldHeartbeats[machineID]
		switch {
		case c.now.Steady >= heartbeat.deadline:
			c.refuseHeldHeartbeat(machineID)
		case heartbeat.fencesSent > 0 && c.now.Steady >= heartbeat.nextFence && c.fenceRepeats < limits.MaxFenceRepeats && c.fencesInFlight < limits.MaxFencesInFlight:
			c.sendFence(machineID, heartbeat)
		}
	}
}

// refuseHeldHeartbeat answers the held heartbeat of a machine, if there is one, with 503. It is also
// called when this node releases the class. Without that call, once this node owned the class again, it
// would still send fences for the old heartbeat, with a term of 0.
func (c *Core) refuseHeldHeartbeat(machineID string) {
	heartbeat := c.heldHeartbeats[machineID]
	if heartbeat == nil {
		return
	}
	delete(c.heldHeartbeats, machineID)
	c.renewalCounts.NotFenced++
	if machine := c.pool.Machines[machineID]; machine != nil {
		machine.NotFenced = true
	}
	c.log(slog.LevelInfo, "renewal withheld", "machine", machineID, "session", heartbeat.request.Heartbeat.Incarnation, "reason", string(authority.NotFenced), "orders", heartbeat.fencesSent)
	c.refuseHeartbeat(heartbeat.request)
}
