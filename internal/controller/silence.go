package controller

import (
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/workers"
)

// recordHeartbeatTime records the time of an accepted heartbeat or answer to a probe, for the
// detection of silent machines. alreadyReported is set if the machine has reported under the
// current term before.
func (c *Core) recordHeartbeatTime(machine *workers.Machine, alreadyReported bool) {
	now := c.now.Steady
	if now-c.lastHeartbeat > c.maxHeartbeatGap() {
		c.heartbeatsResumedAt = now
	}
	c.lastHeartbeat = now
	if !alreadyReported && c.machineRecords[machine.ID].Up {
		c.lastMachineJoined = now
	}
}

// maxHeartbeatGap returns the longest time without any heartbeat from a large number of machines
// that is still normal.
func (c *Core) maxHeartbeatGap() time.Duration {
	return max(limits.UnreachableFloor, time.Duration(limits.UnreachableHeartbeats*float64(c.pool.HeartbeatInterval)))
}

// silenceDuration returns for how long a machine has been silent while other machines reported.
// Time in which no machine reported does not count. Otherwise an owner that was cut off from all
// workers would, on receiving the first heartbeat again, return all other machines to the cloud
// with their tasks.
func (c *Core) silenceDuration(machine *workers.Machine) time.Duration {
	return c.now.Steady - max(machine.LastHeartbeat, c.heartbeatsResumedAt)
}

// reachableSuccessor returns the peer that most recently confirmed that it receives heartbeats for
// classes that it doesn't own, or "" if there was none lately. Workers of this node's classes can
// probably reach that peer.
func (c *Core) reachableSuccessor() string {
	bestPeer := ""
	for _, peer := range c.settings.Others {
		if at, ok := c.foreignArrivals[peer.Label]; ok && c.now.Steady-at < limits.ForeignArrivalMaxAge && (bestPeer == "" || at > c.foreignArrivals[bestPeer]) {
			bestPeer = peer.Label
		}
	}
	return bestPeer
}

// workersUnreachable reports whether no worker reaches this owner any more, although enough of its
// machines are recorded as up. An owner that is cut off from its workers keeps its classes as long
// as it reaches the state service, so without this check all machines lose their tasks. An owner
// that has received no heartbeat since it claimed a class waits longer, because the workers'
// heartbeats may still be pending at the previous owner. It doesn't wait longer if a peer already
// receives heartbeats for classes that the peer doesn't own.
func (c *Core) workersUnreachable() bool {
	if len(c.activeTerms) == 0 || !c.ownership.LeaseValid() {
		return false
	}
	// lastArrival includes the heartbeats that were refused during an outage of the state service
	// without an extension: they show that workers reach this node.
	lastHeard, wait := c.lastArrival, c.maxHeartbeatGap()
	for class := range c.activeTerms {
		if claim := c.ownership.Claims()[class]; claim != nil && claim.Since > lastHeard {
			lastHeard = claim.Since
			if c.reachableSuccessor() == "" {
				wait = c.maxHeartbeatGap() + limits.HeartbeatRetryTime
			}
		}
	}
	if c.now.Steady-lastHeard <= wait {
		return false
	}
	upMachines := 0
	for machineID, machine := range c.pool.Machines {
		if c.machineRecords[machineID].Up && !machine.Deleting {
			upMachines++
		}
	}
	return upMachines >= limits.MassSilenceMinMachines
}

// isMassSilence reports whether many on-demand machines are silent at once. The cloud does not recall
// on-demand machines, so they are hung or partitioned and may recover, some within their lease, and a
// deleted machine may be impossible to replace. Without this check, an owner would return half the fleet
// to the cloud 11 s into such a silence.
func (c *Core) isMassSilence() bool {
	machineCount, silentCount := 0, 0
	for _, machine := range c.pool.Machines {
		if machine.Spot || machine.Deleting {
			continue
		}
		machineCount++
		if c.silenceDuration(machine) > c.pool.HeartbeatInterval*5/4+limits.TakeoverSlack {
			silentCount++
		}
	}
	return silentCount >= limits.MassSilenceMinMachines && float64(silentCount) > limits.MassSilenceShare*float64(machineCount)
}

// mostMachinesReported reports whether most machines that an earlier owner recorded as up have
// sent a heartbeat to this owner.
func (c *Core) mostMachinesReported() bool {
	machineCount, reportedCount := 0, 0
	for machineID, machine := range c.pool.Machines {
		if c.machineRecords[machineID].Up {
			machineCount++
			if machine.Term != 0 {
				reportedCount++
			}
		}
	}
	return float64(reportedCount) >= limits.TakeoverReportedShare*float64(machineCount)
}

// presumedDead reports whether a silent machine is to be deleted. The deletion proves sooner than the
// end of the lease that no task runs on the machine. No machine is presumed dead while all machines are
// silent, because the failure is then on this node's side. After a takeover, the jobs of the earlier
// owner wait for every machine, so a machine that has not reported to the new owner when most others
// have is presumed dead sooner.
func (c *Core) presumedDead(machine *workers.Machine, lastHeard time.Duration, mostReported bool) bool {
	now := c.now.Steady
	if now-lastHeard >= 2*c.pool.HeartbeatInterval {
		return false
	}
	// The shorter wait also applies to a machine whose heartbeat the new owner answered once and
	// that has been silent since. Otherwise a takeover would wait three heartbeat intervals for a machine that
	// was lost during the takeover.
	if c.awaitedByTakeover(machine) && c.silenceDuration(machine) > c.pool.HeartbeatInterval*5/4+limits.TakeoverSlack {
		// While other machines still report for the first time, this machine may just be slow to
		// find the new owner.
		if now-c.lastMachineJoined < limits.TakeoverSettleTime {
			return false
		}
		return mostReported && (machine.ProbeFailed || machine.Address == "" || c.silenceDuration(machine) > c.pool.HeartbeatInterval*5/4+limits.HeartbeatRetryTime)
	}
	return c.silenceDuration(machine) > c.pool.MaxSilence()
}

// awaitedByTakeover reports whether a takeover still waits for a machine.
func (c *Core) awaitedByTakeover(machine *workers.Machine) bool {
	return !machine.Resolved() && c.machineRecords[machine.ID].Up
}
