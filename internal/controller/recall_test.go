package controller

import (
	"testing"
	"time"
)

// TestRecalledMachineFreesItsTasksEarly guards against tasks that wait for the
// silence of a machine whose end was announced: what can't be done by then starts
// over at once, and what stays is given up when the announced time is over.
func TestRecalledMachineFreesItsTasksEarly(t *testing.T) {
	play := func(seed uint64, estimate float64, sabotage func(*Core)) (stopped, after time.Duration) {
		w := newSimulation(seed, standardConfig())
		w.user("job-000001", map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 12, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": estimate}, 120)
		w.run(40 * time.Second)
		var m *simMachine
		for _, id := range sortedKeys(w.machines) {
			if x := w.machines[id]; m == nil && x.up && x.kind.Spot && len(x.tasks) > 0 {
				m = x
			}
		}
		if m == nil {
			t.Fatalf("seed %d: no spot machine is busy", seed)
		}
		w.sabotage = sabotage
		m.recall = w.now + 12*time.Second
		w.schedule(12*time.Second, m.die)
		from := w.now
		for w.now < from+40*time.Second && (stopped == 0 || after == 0) {
			w.run(w.now + 100*time.Millisecond)
			o := w.owner()
			if o == nil {
				continue
			}
			if stopped == 0 && o.core.tasksOn(m.id) == 0 {
				stopped = w.now - from
			}
			if after == 0 && m.gone {
				after = w.now - from
			}
		}
		w.mustKeepRules(t)
		return stopped, after
	}
	for seed := uint64(1); seed <= 3; seed++ {
		// A task of two minutes is stopped with the notice, one said to be short is
		// left to try until the machine is taken.
		if stopped, _ := play(seed, 120, nil); stopped > 5*time.Second {
			t.Errorf("seed %d: tasks without a chance were stopped after %v", seed, stopped)
		}
		if stopped, _ := play(seed, 2, nil); stopped < 11*time.Second || stopped > 15*time.Second {
			t.Errorf("seed %d: tasks with a chance were given up after %v", seed, stopped)
		}
	}
	if stopped, _ := play(1, 2, func(c *Core) {
		for _, m := range c.pool.Machines {
			m.RecallAt = 0
		}
	}); stopped < 16*time.Second {
		t.Errorf("without the announcement the tasks were given up after %v", stopped)
	}
}
