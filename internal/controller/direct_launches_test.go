package controller

import (
	"testing"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
)

// TestLaunchesBeyondTheLimitAreSentInTurn starts a job on up to three times as many machines as may
// receive direct orders concurrently. Nearly all tasks must be on their machines within 5 s, and
// the limit on concurrent direct orders must be reached but never exceeded. If launches beyond the
// limit were not sent as soon as earlier orders are answered, they would wait for the machines'
// next heartbeats, seconds later.
func TestLaunchesBeyondTheLimitAreSentInTurn(t *testing.T) {
	const machines = 3 * limits.MaxDirectOrdersInFlight
	cfg := standardConfig()
	cfg.heartbeatS, cfg.leaseS, cfg.cancelS = 20, 90, 120
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: machines}
	sim := newSimulation(3, cfg)
	sim.imagesCached = true
	for range machines {
		sim.cloud.create(fleet.Kind{Class: "small", Zone: "a"})
	}
	sim.run(60 * time.Second)
	machinesUp := 0
	for _, machine := range sim.machines {
		if machine.up {
			machinesUp++
		}
	}
	if machinesUp <= 2*limits.MaxDirectOrdersInFlight {
		t.Fatalf("only %d machines are up", machinesUp)
	}
	sim.submitJob("job-000001", batchSpec("blue", machinesUp, 8, 300), 300)
	maxInFlight := 0
	for deadline := sim.now + 5*time.Second; sim.now < deadline; sim.run(sim.now + 5*time.Millisecond) {
		core := sim.owner().core
		maxInFlight = max(maxInFlight, len(core.directCalls)-core.probesInFlight)
	}
	running := 0
	for _, machine := range sim.machines {
		running += len(machine.tasks)
	}
	if running < machinesUp*9/10 {
		t.Errorf("%d of %d tasks are on their machines after 5 s; machines send a heartbeat every 20 s", running, machinesUp)
	}
	if maxInFlight != limits.MaxDirectOrdersInFlight {
		t.Errorf("at most %d concurrent direct orders, want the limit of %d", maxInFlight, limits.MaxDirectOrdersInFlight)
	}
}

// TestUnsentOrderIsNotRepeatedAtOnce checks that a direct order that could not be sent or got no
// answer is not followed by another one before the worker's next heartbeat. If an order were
// repeated at once, a worker that refuses connections would be called in a loop without a pause.
func TestUnsentOrderIsNotRepeatedAtOnce(t *testing.T) {
	for name, reply := range map[string]DirectReply{
		"unsent":     {Unsent: true},
		"unanswered": {},
	} {
		t.Run(name, func(t *testing.T) {
			owner := newSteppedOwner(t)
			owner.sendLaunchOrder(false)
			if !owner.core.ownership.MayLaunch() {
				t.Fatal("the owner may not launch tasks, so this test would check nothing")
			}
			reply.ID = owner.core.lastDirectCallID
			for _, output := range owner.step(reply) {
				if call, ok := output.(DirectCall); ok && call.Address == owner.machine.Address {
					t.Error("another direct order was sent at once")
				}
			}
		})
	}
}
