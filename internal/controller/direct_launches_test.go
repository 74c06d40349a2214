package controller

import (
	"testing"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/limits"
)

// TestLaunchesBeyondTheLimitAreSentInTurn: a job that starts on three times as many machines as may
// get orders at one time is started on all of them at once, and never on more at one time than the
// limit allows. Guards against launches that were left to the machines' next reports, seconds
// later, because other orders were under way.
func TestLaunchesBeyondTheLimitAreSentInTurn(t *testing.T) {
	const machines = 3 * limits.MaxDirectInFlight
	cfg := standardConfig()
	cfg.report, cfg.lease, cfg.cancel = 20, 90, 120
	cfg.capacity = map[fleet.Kind]int{{Class: "small", Zone: "a"}: machines}
	w := newSimulation(3, cfg)
	w.cached = true
	for range machines {
		w.cloud.create(fleet.Kind{Class: "small", Zone: "a"})
	}
	w.run(60 * time.Second)
	up := 0
	for _, m := range w.machines {
		if m.up {
			up++
		}
	}
	if up <= 2*limits.MaxDirectInFlight {
		t.Fatalf("only %d machines are up", up)
	}
	w.user("job-000001", spec("blue", up, 8, 300), 300)
	most := 0
	for end := w.now + 5*time.Second; w.now < end; w.run(w.now + 5*time.Millisecond) {
		core := w.owner().core
		most = max(most, len(core.directCalls)-core.probesInFlight)
	}
	running := 0
	for _, m := range w.machines {
		running += len(m.tasks)
	}
	if running < up*9/10 {
		t.Errorf("%d of %d tasks are on their machines after 5 s, with reports every 20 s", running, up)
	}
	if most != limits.MaxDirectInFlight {
		t.Errorf("%d orders at one time, want the limit, %d", most, limits.MaxDirectInFlight)
	}
}

// TestUnsentOrderIsNotRepeatedAtOnce: what could not be sent straight to a worker, or got no answer,
// waits for the worker's next report. Guards against a worker that refuses connections and is
// called again without a pause, as fast as it refuses.
func TestUnsentOrderIsNotRepeatedAtOnce(t *testing.T) {
	for name, reply := range map[string]DirectReply{
		"unsent":     {Unsent: true},
		"unanswered": {},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwnerOfLongTasks(t)
			o.order(false)
			if !o.core.ownership.MayLaunch() {
				t.Fatal("the owner may start nothing: the test shows nothing")
			}
			reply.ID = o.core.lastDirectCallID
			for _, out := range o.step(reply) {
				if call, ok := out.(DirectCall); ok && call.Address == o.machine.Address {
					t.Error("another order was sent at once")
				}
			}
		})
	}
}
