package controller

import (
	"testing"
	"time"
)

// TestRecalledMachineFreesItsTasksEarly announces that the cloud will take a spot machine away.
// Tasks that cannot finish before that time must restart elsewhere at once, and the other tasks of
// the machine when the announced time is over. Without the announcement, the tasks wait until the
// owner deletes the machine for its missed heartbeats.
func TestRecalledMachineFreesItsTasksEarly(t *testing.T) {
	simulate := func(seed uint64, estimate float64, injectFault func(*Core)) (freedAfter, goneAfter time.Duration) {
		sim := newSimulation(seed, standardConfig())
		sim.submitJob("job-000001", map[string]any{"docket": "x", "crew": "blue", "form": "batch", "urgency": "standard",
			"sheets": 12, "cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "loaners": true, "reckonS": estimate}, 120)
		sim.run(40 * time.Second)
		var machine *simMachine
		for _, id := range sortedKeys(sim.machines) {
			if candidate := sim.machines[id]; machine == nil && candidate.up && candidate.kind.Spot && len(candidate.tasks) > 0 {
				machine = candidate
			}
		}
		if machine == nil {
			t.Fatalf("seed %d: no spot machine runs tasks", seed)
		}
		sim.injectFault = injectFault
		machine.recallAt = sim.now + 12*time.Second
		sim.schedule(12*time.Second, machine.terminate)
		start := sim.now
		for sim.now < start+40*time.Second && (freedAfter == 0 || goneAfter == 0) {
			sim.run(sim.now + 100*time.Millisecond)
			owner := sim.owner()
			if owner == nil {
				continue
			}
			if freedAfter == 0 && owner.core.tasksOn(machine.id) == 0 {
				freedAfter = sim.now - start
			}
			if goneAfter == 0 && machine.gone {
				goneAfter = sim.now - start
			}
		}
		sim.mustKeepRules(t)
		return freedAfter, goneAfter
	}
	for seed := uint64(1); seed <= 3; seed++ {
		// Tasks with an estimate of two minutes stop when the recall is announced. Tasks with a short
		// estimate may go on until the cloud takes the machine away.
		if freedAfter, _ := simulate(seed, 120, nil); freedAfter > 5*time.Second {
			t.Errorf("seed %d: tasks that could not finish in time were freed after %v", seed, freedAfter)
		}
		if freedAfter, _ := simulate(seed, 2, nil); freedAfter < 11*time.Second || freedAfter > 15*time.Second {
			t.Errorf("seed %d: tasks that could finish in time were freed after %v", seed, freedAfter)
		}
	}
	if freedAfter, _ := simulate(1, 2, func(c *Core) {
		for _, m := range c.pool.Machines {
			m.RecallAt = 0
		}
	}); freedAfter < 16*time.Second {
		t.Errorf("without the announcement the tasks were freed after %v", freedAfter)
	}
}
