package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func testSettings() Settings {
	return Settings{Quantile: 0.99, SuspectFactor: 1.5, DownFactor: 1.5, Slack: 250 * time.Millisecond, LossesForDown: 2, InitialLatency: 200 * time.Millisecond,
		Damper:         DamperSettings{HalfLife: 30 * time.Second, SuppressThreshold: 2.5, ReuseThreshold: 0.8, MaxSuppression: time.Minute},
		RotateInterval: 20 * time.Second, RefreshInterval: time.Second}
}

// simulatedLink simulates a link. Requests and unsolicited messages of the other side are sent at
// intervals, and arrive while their direction is open.
type simulatedLink struct {
	t              *testing.T
	rng            *rand.Rand
	monitor        *Monitor
	link           Link
	now            time.Duration
	nextID         uint64
	pendingReplies []pendingReply
	// outboundOpen and inboundOpen state whether each direction works. If refusing is set, requests
	// are answered with a refusal.
	outboundOpen, inboundOpen, refusing bool
	// drawGap returns a random time until the next message, drawLatency a random time until an
	// answer.
	drawGap, drawLatency func() time.Duration
	nextRequest          time.Duration
	nextMessage          time.Duration
	changes              []Change
	changedAt            []time.Duration
}

type pendingReply struct {
	id    uint64
	dueAt time.Duration
	lost  bool
}

const (
	simulationStep  = 10 * time.Millisecond
	requestInterval = 500 * time.Millisecond
	requestTimeout  = 1500 * time.Millisecond
)

func newSimulatedLink(t *testing.T, seed uint64) *simulatedLink {
	sim := &simulatedLink{t: t, rng: rand.New(rand.NewPCG(seed, 3)), monitor: NewMonitor(testSettings(), 0), link: Link{Kind: Peer, Name: "b"}, outboundOpen: true, inboundOpen: true}
	sim.drawGap = func() time.Duration { return sim.addJitter(time.Second, 0.25) }
	sim.drawLatency = func() time.Duration { return sim.addJitter(20*time.Millisecond, 0.5) }
	sim.monitor.Watch(sim.link, time.Second, 0)
	return sim
}

// addJitter returns a random duration that differs from mean by at most the fraction spread.
func (sim *simulatedLink) addJitter(mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * (1 - spread + 2*spread*sim.rng.Float64()))
}

// run advances the simulation by d and records the changes of the link.
func (sim *simulatedLink) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += simulationStep
		sim.exchange()
		for _, change := range sim.monitor.Tick(sim.now) {
			sim.changes = append(sim.changes, change)
			sim.changedAt = append(sim.changedAt, sim.now)
		}
	}
}

// exchange sends the messages and requests that are due, and delivers due messages and replies to
// the monitor.
func (sim *simulatedLink) exchange() {
	if sim.now >= sim.nextMessage {
		sim.nextMessage = sim.now + sim.drawGap()
		if sim.inboundOpen {
			sim.monitor.RecordReceived(sim.link, sim.now)
		}
	}
	if sim.now >= sim.nextRequest {
		sim.nextRequest = sim.now + requestInterval
		sim.nextID++
		sim.monitor.RecordSent(sim.link, sim.nextID, sim.now)
		reply := pendingReply{id: sim.nextID, dueAt: sim.now + sim.drawLatency()}
		if !sim.outboundOpen || !sim.inboundOpen {
			reply = pendingReply{id: sim.nextID, dueAt: sim.now + requestTimeout, lost: true}
		}
		sim.pendingReplies = append(sim.pendingReplies, reply)
	}
	remainingReplies := sim.pendingReplies[:0]
	for _, reply := range sim.pendingReplies {
		switch {
		case sim.now < reply.dueAt:
			remainingReplies = append(remainingReplies, reply)
		case reply.lost:
			sim.monitor.RecordLost(sim.link, reply.id, sim.now)
		default:
			sim.monitor.RecordAnswer(sim.link, reply.id, sim.now, sim.refusing)
		}
	}
	sim.pendingReplies = remainingReplies
}

func (sim *simulatedLink) state() State { return sim.monitor.Status(sim.link).State }

// runUntil runs until the link is in the wanted state and returns how long that took. It fails the
// test after limit.
func (sim *simulatedLink) runUntil(want State, limit time.Duration) time.Duration {
	sim.t.Helper()
	for start := sim.now; sim.now < start+limit; {
		sim.run(simulationStep)
		if sim.state() == want {
			return sim.now - start
		}
	}
	sim.t.Fatalf("the link is %s, want %s within %v", sim.state(), want, limit)
	return 0
}

// TestFailuresOfEachDirectionAreDistinguished closes the outbound direction of a link, the inbound one or
// both, or makes the other side refuse requests. Each failure must lead to the expected state, and the
// link must be up again after it.
func TestFailuresOfEachDirectionAreDistinguished(t *testing.T) {
	cases := []struct {
		name                                string
		outboundOpen, inboundOpen, refusing bool
		want                                State
	}{
		{name: "requests do not arrive", inboundOpen: true, want: HeardOnly},
		{name: "nothing comes back", outboundOpen: true, want: Down},
		{name: "nothing goes", want: Down},
		{name: "refused", outboundOpen: true, inboundOpen: true, refusing: true, want: Refused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulatedLink(t, 1)
			sim.run(40 * time.Second)
			if sim.state() != Up {
				t.Fatalf("the link is %s before the failure, want up", sim.state())
			}
			sim.outboundOpen, sim.inboundOpen, sim.refusing = tc.outboundOpen, tc.inboundOpen, tc.refusing
			detected := sim.runUntil(tc.want, 8*time.Second)
			sim.outboundOpen, sim.inboundOpen, sim.refusing = true, true, false
			restored := sim.runUntil(Up, 5*time.Second)
			t.Logf("detected after %v, up again after %v", detected, restored)
		})
	}
}

// TestMissingMessagesAreDetected checks that a link on which requests are answered, but expected
// messages do not arrive, becomes answered-only.
func TestMissingMessagesAreDetected(t *testing.T) {
	sim := newSimulatedLink(t, 1)
	sim.run(40 * time.Second)
	sim.drawGap = func() time.Duration { return time.Hour }
	sim.runUntil(AnsweredOnly, 10*time.Second)
}

// TestHealthyLinksKeepWorking simulates links with different message intervals, some with occasional
// slow answers, for ten minutes each. None may leave the working states.
func TestHealthyLinksKeepWorking(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, time.Second, 6 * time.Second} {
		for _, slowFraction := range []float64{0, 0.04} {
			t.Run(fmt.Sprintf("%v/%.2f", interval, slowFraction), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 5; seed++ {
					sim := newSimulatedLink(t, seed)
					sim.monitor.Watch(sim.link, interval, 0)
					sim.drawGap = func() time.Duration { return sim.addJitter(interval, 0.25) }
					sim.drawLatency = func() time.Duration {
						if sim.rng.Float64() < slowFraction {
							return sim.addJitter(600*time.Millisecond, 0.5)
						}
						return sim.addJitter(6*time.Millisecond, 0.5)
					}
					sim.run(10 * time.Minute)
					for i, change := range sim.changes {
						if !change.To.Works() {
							t.Errorf("seed %d: unexpected change %v at %v", seed, change, sim.changedAt[i])
						}
					}
				}
			})
		}
	}
}

// TestDetectionTimeFollowsMessageInterval checks that a failure is detected sooner on a link with
// frequent messages than on one with rare messages.
func TestDetectionTimeFollowsMessageInterval(t *testing.T) {
	detectionTime := func(interval time.Duration) time.Duration {
		sim := newSimulatedLink(t, 1)
		sim.monitor.Watch(sim.link, interval, 0)
		sim.drawGap = func() time.Duration { return sim.addJitter(interval, 0.25) }
		sim.run(3 * time.Minute)
		sim.outboundOpen, sim.inboundOpen = false, false
		return sim.runUntil(Down, time.Minute)
	}
	fast, slow := detectionTime(time.Second), detectionTime(6*time.Second)
	if fast >= slow {
		t.Errorf("a failure is detected after %v with a message each second and after %v with one each 6 s", fast, slow)
	}
}

// TestLongerMessageIntervalIsAccepted makes the other side send messages at six times the previous
// interval. From two minutes later on, the link must work without interruption.
func TestLongerMessageIntervalIsAccepted(t *testing.T) {
	sim := newSimulatedLink(t, 1)
	sim.run(40 * time.Second)
	sim.drawGap = func() time.Duration { return sim.addJitter(6*time.Second, 0.25) }
	sim.run(2 * time.Minute)
	before := len(sim.changes)
	sim.run(5 * time.Minute)
	for _, change := range sim.changes[before:] {
		if !change.To.Works() {
			t.Errorf("unexpected change %v", change)
		}
	}
}

// TestFlappingLinkIsSuppressed checks that a link that fails every few seconds is suppressed until it
// has had no failure for a while, and that one failure does not suppress a link. Without the damper, a
// flapping link would count as working again after each failure.
func TestFlappingLinkIsSuppressed(t *testing.T) {
	for _, period := range []time.Duration{6 * time.Second, 10 * time.Second, 20 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			sim := newSimulatedLink(t, 1)
			sim.run(40 * time.Second)
			sim.cutFor(5 * time.Second)
			if sim.runUntil(Up, 5*time.Second); sim.monitor.Status(sim.link).Suppressed {
				t.Fatal("the link is suppressed after one failure")
			}
			workingCount := 0
			for range 12 {
				sim.cutFor(period / 2)
				sim.run(period / 2)
				if sim.monitor.Status(sim.link).Works() {
					workingCount++
				}
			}
			if status := sim.monitor.Status(sim.link); !status.Suppressed || workingCount > 6 {
				t.Errorf("after 12 failures: %+v; the link worked after %d of them, want suppressed and at most 6", status, workingCount)
			}
			sim.run(testSettings().Damper.MaxSuppression + 5*time.Second)
			if status := sim.monitor.Status(sim.link); !status.Works() {
				t.Errorf("the link does not work after a minute without a failure: %+v", status)
			}
		})
	}
}

// cutFor closes both directions of the link for d.
func (sim *simulatedLink) cutFor(d time.Duration) {
	sim.outboundOpen, sim.inboundOpen = false, false
	sim.run(d)
	sim.outboundOpen, sim.inboundOpen = true, true
}

// TestPauseOfThisProcessIsNotSilence pauses this process for longer than any tolerated silence.
// Messages and replies that arrived meanwhile are read afterwards, and the link must stay up.
func TestPauseOfThisProcessIsNotSilence(t *testing.T) {
	sim := newSimulatedLink(t, 1)
	sim.run(40 * time.Second)
	before := len(sim.changes)
	sim.now += 20 * time.Second
	sim.nextMessage, sim.nextRequest = sim.now+simulationStep, sim.now+simulationStep
	for i := range sim.pendingReplies {
		sim.pendingReplies[i].dueAt += 20 * time.Second
	}
	sim.monitor.ExcludePause(20 * time.Second)
	sim.run(10 * time.Second)
	if len(sim.changes) != before {
		t.Errorf("changes after a pause of this process: %v", sim.changes[before:])
	}
}

// TestLateAnswerDoesNotEndFailure checks that an answer to a request from before a failure does not
// restore the link while later requests are lost.
func TestLateAnswerDoesNotEndFailure(t *testing.T) {
	sim := newSimulatedLink(t, 1)
	sim.run(40 * time.Second)
	sim.nextID++
	lateID := sim.nextID
	sim.monitor.RecordSent(sim.link, lateID, sim.now)
	sim.outboundOpen = false
	sim.runUntil(HeardOnly, 8*time.Second)
	sim.monitor.RecordAnswer(sim.link, lateID, sim.now, false)
	sim.run(simulationStep)
	if sim.state() != HeardOnly {
		t.Errorf("the link is %s after a late answer to a request from before the failure, want heard-only", sim.state())
	}
}
