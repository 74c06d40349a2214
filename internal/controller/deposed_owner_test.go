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
