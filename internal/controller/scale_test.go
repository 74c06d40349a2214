package controller

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/wire"
)

// largeFleetSize is the number of machines in the large fleet. Raise it for measurements.
var largeFleetSize = flag.Int("fleet.machines", 2070, "number of machines in the simulated large fleet")

// newDefaultLargeFleet returns a simulation of a fleet with the number of machines that the flag
// fleet.machines sets. The default is 1.5 times the size of the largest fleet that has been
// announced. The limits on calls to the state service and the cloud are the limits of the announced
// fleet.
func newDefaultLargeFleet(nodeCount int, seed uint64) *simulation {
	return newLargeFleet(nodeCount, *largeFleetSize, false, seed)
}

// newLargeFleet returns a simulation of a large fleet with the given number of machines, all of which
// have been rented when the controllers start. If monitorLinks is set, the controllers monitor their links.
func newLargeFleet(nodeCount, machineCount int, monitorLinks bool, seed uint64) *simulation {
	cfg := simConfig{nodeCount: nodeCount, teams: []config.Team{{Name: "red", CPUs: 6000, CPUsMax: 15000}, {Name: "blue"}},
		machineTypes: []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 0.9, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b", "c"}}},
		leaseS:       31, heartbeatS: 6, cancelS: 51, txnOps: 32, valueKB: 16, writeRPS: 120, stateRPS: 300, cloudRPS: 2}
	if nodeCount == 5 {
		cfg.leaseS, cfg.heartbeatS, cfg.cancelS, cfg.txnOps, cfg.valueKB, cfg.writeRPS, cfg.stateRPS, cfg.cloudRPS = 22, 4, 42, 8, 4, 80, 600, 6
	}
	cfg.monitorLinks = monitorLinks
	cfg.capacity = map[fleet.Kind]int{}
	for _, zone := range cfg.machineTypes[0].Zones {
		cfg.capacity[fleet.Kind{Class: "m", Zone: zone}] = machineCount / 6
		cfg.capacity[fleet.Kind{Class: "m", Zone: zone, Spot: true}] = machineCount / 6
	}
	sim := newSimulation(seed, cfg)
	for _, zone := range cfg.machineTypes[0].Zones {
		for _, spot := range []bool{false, true} {
			for i := 0; i < machineCount/6; i++ {
				sim.cloud.create(fleet.Kind{Class: "m", Zone: zone, Spot: spot})
			}
		}
	}
	return sim
}

// TestLargeFleetRecovers simulates a large fleet in which all controllers crash together, then
// most workers restart at once, and then both happen at the same time. The last time, the
// controllers restart within half a second, and one crashes again during the election. Meanwhile
// orders are repeated and copies of heartbeats arrive late. No rule may break, nearly all machines
// must be served again 25 s after the last fault, and all jobs must finish. The rules must also
// detect a core that does not wait for machines after a takeover.
func TestLargeFleetRecovers(t *testing.T) {
	simulate := func(nodes int, seed uint64, injectFault func(*Core)) *simulation {
		sim := newDefaultLargeFleet(nodes, seed)
		sim.injectFault, sim.lateCopyRate, sim.repeatedOrderRate = injectFault, 0.01, 0.03
		for i := 0; i < 160; i++ {
			id, urgent := fmt.Sprintf("job-%06d", i), i%3 != 0
			sim.schedule(sim.randomDuration(10, 100), func() {
				submission := map[string]any{"docket": "batch", "crew": []string{"red", "blue"}[i%2], "form": "batch", "urgency": "standard", "sheets": 50,
					"cores": 8.0, "accelerators": 0.0, "ramGb": 20.0, "plate": fmt.Sprintf("img-%d", i%7), "imageGb": 1.0, "loaners": true, "reckonS": 30.0}
				if urgent {
					submission["docket"], submission["urgency"], submission["sheets"], submission["cores"], submission["ramGb"], submission["reckonS"], submission["dueS"] = "copies", "urgent", 30, 2.0, 4.0, 12.0, 40.0
				}
				sim.submitJob(id, submission, submission["reckonS"].(float64))
			})
		}
		crashAll := func(minDown, maxDown float64) {
			for _, node := range sim.nodes {
				node.crash(sim.randomDuration(minDown, maxDown))
			}
		}
		restartMost := func() {
			for _, machine := range sim.createdMachines {
				if sim.chance(0.7) {
					sim.schedule(sim.randomDuration(0, 0.5), machine.restart)
				}
			}
		}
		sim.schedule(30*time.Second, func() { crashAll(2, 4) })
		sim.schedule(55*time.Second, restartMost)
		sim.schedule(85*time.Second, func() { restartMost(); crashAll(0.1, 0.5) })
		sim.schedule(86*time.Second, func() { sim.nodes[sim.rng.IntN(nodes)].crash(sim.randomDuration(0.1, 0.4)) })
		sim.run(90 * time.Second)
		sim.lateCopyRate, sim.repeatedOrderRate = 0, 0
		return sim
	}
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			sim := simulate(nodes, uint64(nodes), nil)
			sim.faultsEndedAt = sim.now
			sim.run(115 * time.Second)
			upCount, servedCount := 0, 0
			owner := sim.owner()
			if owner == nil {
				t.Fatal("no controller owns the class")
			}
			for _, machine := range sim.createdMachines {
				if machine.up && !machine.gone {
					upCount++
					if record := owner.core.pool.Machines[machine.id]; record != nil && record.Adopted {
						servedCount++
					}
				}
			}
			if upCount < 250 || float64(servedCount) < 0.9*float64(upCount) {
				t.Errorf("of %d machines %d are served 25 s after the last fault", upCount, servedCount)
			}
			sim.run(260 * time.Second)
			sim.mustKeepRules(t)
			sim.mustFinish(t)
		})
	}
	t.Run("guard out", func(t *testing.T) {
		t.Parallel()
		sim := simulate(3, 1, func(core *Core) {
			for _, job := range core.jobs.OpenJobs {
				job.Frozen = false
			}
		})
		if len(sim.violations) == 0 || !strings.HasPrefix(sim.violations[0], "ran_twice") {
			t.Errorf("no rule detected a core that launches without waiting: %v", sim.violations)
		}
	})
}
