package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// These flags select the simulated runs ("days") that are repeated. More runs find rarer differences.
var (
	firstRepeatedSeed = flag.Uint64("repeat.first", 1, "seed of the first simulated run that is repeated")
	repeatedRunCount  = flag.Uint64("repeat.days", 12, "number of simulated runs that are repeated")
)

// TestADayRepeatsFromItsSeed runs each simulation twice and compares everything that the controllers
// send, in order. A failure can be reproduced only if the seed alone determines the simulated run. Two
// runs of a seed differ if, for example, the iteration order of a map decides which of several equal
// items comes first.
func TestADayRepeatsFromItsSeed(t *testing.T) {
	for seed := *firstRepeatedSeed; seed < *firstRepeatedSeed+*repeatedRunCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			firstRun, secondRun := recordSentMessages(t, seed), recordSentMessages(t, seed)
			for i := range min(len(firstRun), len(secondRun)) {
				if firstRun[i] != secondRun[i] {
					t.Fatalf("after %d equal lines:\n%s\n%s", i, firstRun[i], secondRun[i])
				}
			}
			if len(firstRun) != len(secondRun) {
				t.Fatalf("%d lines in the first run, %d in the second", len(firstRun), len(secondRun))
			}
			if len(firstRun) < 1000 {
				t.Errorf("only %d lines: too few to compare", len(firstRun))
			}
		})
	}
}

// recordSentMessages runs a simulation with random jobs and faults and lists what the controllers send.
func recordSentMessages(t *testing.T, seed uint64) (lines []string) {
	t.Helper()
	cfg := standardConfig()
	cfg.nodeCount = []int{3, 5}[seed%2]
	sim := newSimulation(seed, cfg)
	sim.observe = func(node *simNode, outputs []Output) {
		for _, out := range outputs {
			lines = append(lines, fmt.Sprintf("%.6f %s %s", sim.now.Seconds(), node.label, describeOutput(out)))
		}
	}
	sim.delayedMessageRate, sim.lossRate, sim.repeatedOrderRate, sim.lateCopyRate, sim.queryAllNodes = 0.002, 0.002, 0.03, 0.02, seed%5 == 0
	submitRandomJobs(sim, 60, 120*time.Second)
	if seed%4 < 2 {
		gangWorkload(20, 120*time.Second, 15)(sim)
	}
	injectRandomFaults(sim, []float64{20, 8, 4}[seed%3], 120*time.Second)
	sim.run(200 * time.Second)
	sim.mustKeepRules(t)
	return lines
}

// describeOutput formats an output with everything in it that leaves the process. Bodies are encoded and
// decoded again, because the order of map keys in an encoded body does not matter.
func describeOutput(output Output) string {
	decodedBody := func(v any) any {
		var decoded any
		if err := wire.Decode(mustEncode(v), &decoded); err != nil {
			panic(err)
		}
		return decoded
	}
	switch call := output.(type) {
	case StoreCall:
		return fmt.Sprintf("state %s %s %v", call.Method, call.Path, decodedBody(call.Body))
	case CloudCall:
		return fmt.Sprintf("cloud %s %s %v", call.Method, call.Path, decodedBody(call.Body))
	}
	return fmt.Sprintf("%T %+v", output, output)
}
