package controller

import (
	"testing"
	"time"
)

// TestRestartedSuccessorExtendsNoDeposedOwner: an owner loses the state service and its peers, and a
// successor takes over, of which the third controller learns nothing. Then the state service is out
// for all, the successor ends and is back at once, and the deposed owner reaches its peers again. Its
// class is another's, under a later term, whose tasks may run; so it must not act, whatever peers
// extend that have not read the records since.
func TestRestartedSuccessorExtendsNoDeposedOwner(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := newSimulation(seed, seriesConfig())
		w.user("job-000001", spec("red", 4, 2, 300), 300)
		w.run(quiet)
		deposed := w.owner()
		term := deposed.core.ownership.Terms()["small"]
		w.apart(deposed, 14*s)
		w.peerOf(deposed).freeze(16 * s)
		w.run(quiet + 10*s)
		successor := w.owner()
		if successor == nil || successor == deposed {
			t.Fatalf("seed %d: nobody took over", seed)
		}
		w.outage(60 * s)
		successor.crash(400 * time.Millisecond)
		for end := w.now + 20*s; w.now < end; {
			w.run(w.now + 100*time.Millisecond)
			held := deposed.core.ownership.Terms()["small"] == term
			if held && deposed.core.ownership.MayAnswer() {
				t.Errorf("seed %d: at %.1f s the deposed owner acts under term %d, and the class is held under term %d",
					seed, w.now.Seconds(), term, w.store.keys[ownerKey].version)
				break
			}
		}
	}
}

// TestOwnerGoesOnWhenAPeerIsBackInAnOutage: the state service is out for all, and a peer ends and is
// back within two seconds, or is out of the owner's reach for longer. Neither can have followed the
// owner meanwhile, which acts again soon after the peer is back.
func TestOwnerGoesOnWhenAPeerIsBackInAnOutage(t *testing.T) {
	for name, away := range map[string]struct {
		length time.Duration
		play   func(w *simulation, owner, peer *simNode, d time.Duration)
	}{
		"ends, back at once":       {100 * time.Millisecond, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.crash(d) }},
		"ends, back within 1.5 s":  {1500 * time.Millisecond, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.crash(d) }},
		"stands still":             {6 * s, func(_ *simulation, _, peer *simNode, d time.Duration) { peer.freeze(d) }},
		"out of the owner's reach": {6 * s, func(w *simulation, owner, peer *simNode, d time.Duration) { w.cutPeers(owner, peer, d) }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				w := newSimulation(seed, seriesConfig())
				w.user("job-000001", spec("red", 4, 2, 300), 300)
				w.run(quiet)
				owner := w.owner()
				w.outage(60 * s)
				w.run(w.now + w.between(3, 5))
				away.play(w, owner, w.peerOf(owner), away.length)
				w.run(w.now + away.length + 1500*time.Millisecond)
				for end := quiet + 16*s; w.now < end; w.run(w.now + 100*time.Millisecond) {
					if !owner.core.ownership.MayAnswer() {
						t.Errorf("seed %d: the owner does not act %.1f s after the outage began", seed, (w.now - quiet).Seconds())
						break
					}
				}
			}
		})
	}
}

// cutPeers cuts two controllers off from each other for a while.
func (w *simulation) cutPeers(a, b *simNode, d time.Duration) {
	w.setCut(a.label, b.label, true)
	w.schedule(d, func() { w.setCut(a.label, b.label, false) })
}
