package controller

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// productionState is the content of testdata/production.json: the records and peer messages that the last
// version without gangs wrote when it ran in this simulation.
type productionState struct {
	Revision uint64 `json:"revision"`
	Records  map[string]struct {
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	} `json:"records"`
	Messages map[string][]byte `json:"messages"`
}

func readProductionState(t *testing.T) productionState {
	t.Helper()
	encoded, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var state productionState
	if err := json.Unmarshal(encoded, &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// TestReadsRecordsOfProductionVersion checks that this version reads the records of the version in
// production: every job with its completed tasks and its cancellation, and the machines.
func TestReadsRecordsOfProductionVersion(t *testing.T) {
	state := readProductionState(t)
	sim := newSimulation(1, standardConfig())
	sim.store.revision = state.Revision
	want := map[string]bool{}
	for key, record := range state.Records {
		sim.store.records[key] = &simRecord{value: record.Value, version: record.Version}
		if id, ok := strings.CutPrefix(key, "u/o/"); ok {
			want[id] = true
		}
	}
	sim.run(900 * time.Millisecond)
	core := sim.nodes[0].core
	for id := range want {
		if core.jobs.OpenJobs[id] == nil {
			t.Errorf("%s was not loaded", id)
		}
	}
	largeJob := core.jobs.OpenJobs["job-400000"]
	if largeJob == nil || !largeJob.MayHaveLaunched() || largeJob.DoneCount == 0 || largeJob.DoneCount == largeJob.Tasks {
		t.Fatalf("the job with many tasks: %+v", largeJob)
	}
	if job := core.jobs.OpenJobs["job-400001"]; job == nil || !job.Cancelled {
		t.Errorf("the cancelled job: %+v", job)
	}
	if len(core.machineRecords) < 5 {
		t.Errorf("only %d machines were loaded", len(core.machineRecords))
	}
}

// TestReadsMessagesOfProductionVersion checks that this version decodes the peer messages of the version in
// production.
func TestReadsMessagesOfProductionVersion(t *testing.T) {
	state := readProductionState(t)
	for name, want := range map[string]any{
		"promise":   PeerMessage{From: "node-1", Promise: true, Terms: map[string]uint64{"small": 7}},
		"counts":    PeerMessage{From: "node-1", Counts: map[string][2]int{"job-1": {1, 2}}},
		"cancelled": PeerMessage{From: "node-1", Cancelled: []string{"job-1"}},
		"answer":    PeerAnswer{Yes: true, Vouch: true, Behind: time.Second, Cancelled: []string{"job-1"}},
	} {
		got := reflect.New(reflect.TypeOf(want))
		if err := gob.NewDecoder(bytes.NewReader(state.Messages[name])).DecodeValue(got); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %+v, %v", name, got.Elem().Interface(), err)
		}
	}
}

// unsupportedRecord returns the key of a record that the version without gangs would misread, or "".
func (s *simStore) unsupportedRecord() string {
	for _, key := range sortedKeys(s.records) {
		if strings.HasPrefix(key, "u/q/") {
			return key
		}
		if strings.HasPrefix(key, "u/o/") {
			var job wire.Job
			if wire.Decode(s.records[key].value, &job) == nil && job.Gang {
				return key
			}
		}
	}
	return ""
}

// TestUpgradeUnderFaults upgrades controllers one by one while random controllers crash and users submit
// gangs. A controller that crashes before its turn restarts with the old version, and leadership moves
// between the versions. While a controller of the old version may run, no record may be written that the old
// version would misread. After the upgrade, gangs must run. The test also checks that it detects a service
// that writes the new format without waiting for the old controllers.
func TestUpgradeUnderFaults(t *testing.T) {
	runUpgrade := func(cfg simConfig, seed uint64, skipWait bool) *simulation {
		sim := newSimulation(seed, cfg)
		upgradedNodes := map[*simNode]bool{}
		for _, node := range sim.nodes {
			node.lacksGangSupport = true
			node.crash(0)
		}
		var check func()
		check = func() {
			old := false
			for _, node := range sim.nodes {
				old = old || node.lacksGangSupport
			}
			if key := sim.store.unsupportedRecord(); old && key != "" {
				sim.reportViolation("foreign", "%s is written while a controller of the old version may run", key)
			}
			sim.schedule(100*time.Millisecond, check)
		}
		check()
		if skipWait {
			sim.injectFault = func(core *Core) { core.ownership.SupportedFormat = 2 }
		}
		submitRandomJobs(sim, 30, 120*second)
		sim.submitJob("job-400000", batchSpec("blue", 20000, 1, 1), 0.2)
		for i := 0; i < 10; i++ {
			sim.schedule(time.Duration(20+8*i)*second, func() { sim.submitJob(fmt.Sprintf("job-2%05d", i), newGangSubmission("blue", 2+i%4, 1, 15), 15) })
		}
		for i, node := range sim.nodes {
			sim.schedule(time.Duration(30+12*i)*second+sim.randomDuration(0, 8), func() {
				node.lacksGangSupport, upgradedNodes[node] = false, true
				node.crash(sim.randomDuration(0.2, 4))
			})
		}
		for at := 25 * second; at < 110*second; at += sim.randomDuration(4, 12) {
			sim.schedule(at, func() { sim.nodes[sim.rng.IntN(len(sim.nodes))].crash(sim.randomDuration(0.1, 3)) })
		}
		sim.schedule(50*second, func() { sim.failStoreFor(8 * second) })
		sim.run(160 * second)
		sim.faultsEndedAt = sim.now
		sim.cancel(sim.jobs["job-400000"])
		sim.run(400 * second)
		return sim
	}
	forEachClusterSize(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		sim := runUpgrade(cfg, seed, false)
		sim.mustKeepRules(t)
		sim.mustFinish(t)
		startedGangs := 0
		for _, gang := range sim.gangs {
			if gang.started {
				startedGangs++
			}
		}
		if startedGangs < 3 {
			t.Errorf("%d gangs ran", startedGangs)
		}
	})
	for seed := uint64(1); seed <= 4; seed++ {
		for _, broken := range runUpgrade(standardConfig(), seed, true).violations {
			if strings.HasPrefix(broken, "foreign") {
				return
			}
		}
	}
	t.Error("a service that does not wait for the old controllers was not detected")
}
