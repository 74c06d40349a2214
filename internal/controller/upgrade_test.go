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

// production is what the version before gangs wrote: testdata/production.json was made
// by running that version in this world.
type production struct {
	Revision uint64 `json:"revision"`
	Records  map[string]struct {
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	} `json:"records"`
	Messages map[string][]byte `json:"messages"`
}

func readProduction(t *testing.T) production {
	t.Helper()
	b, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var p production
	if err := json.Unmarshal(b, &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestReadsRecordsOfProduction: a service of this version takes up where the version in
// production left: every job is known, with what is done and cancelled, and machines.
func TestReadsRecordsOfProduction(t *testing.T) {
	p := readProduction(t)
	w := newSimulation(1, standardConfig())
	w.store.revision = p.Revision
	want := map[string]bool{}
	for k, r := range p.Records {
		w.store.keys[k] = &simKey{value: r.Value, version: r.Version}
		if id, ok := strings.CutPrefix(k, "u/o/"); ok {
			want[id] = true
		}
	}
	w.run(900 * time.Millisecond)
	c := w.nodes[0].core
	for id := range want {
		if c.jobs.Open[id] == nil {
			t.Errorf("%s is not known", id)
		}
	}
	big := c.jobs.Open["job-400000"]
	if big == nil || !big.MayHaveLaunched() || big.DoneCount == 0 || big.DoneCount == big.Tasks {
		t.Fatalf("the job of many parts: %+v", big)
	}
	if j := c.jobs.Open["job-400001"]; j == nil || !j.Cancelled {
		t.Errorf("the cancelled job: %+v", j)
	}
	if len(c.machineRecords) < 5 {
		t.Errorf("%d machines are known", len(c.machineRecords))
	}
}

// TestReadsMessagesOfProduction: and it understands what such a controller says.
func TestReadsMessagesOfProduction(t *testing.T) {
	p := readProduction(t)
	for name, want := range map[string]any{
		"promise":   PeerMessage{From: "node-1", Promise: true, Terms: map[string]uint64{"small": 7}},
		"counts":    PeerMessage{From: "node-1", Counts: map[string][2]int{"job-1": {1, 2}}},
		"cancelled": PeerMessage{From: "node-1", Cancelled: []string{"job-1"}},
		"answer":    PeerAnswer{Yes: true, Vouch: true, Behind: time.Second, Cancelled: []string{"job-1"}},
	} {
		got := reflect.New(reflect.TypeOf(want))
		if err := gob.NewDecoder(bytes.NewReader(p.Messages[name])).DecodeValue(got); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %+v, %v", name, got.Elem().Interface(), err)
		}
	}
}

// foreign finds records that a controller of the version before would misread.
func (s *simStore) foreign() string {
	for _, k := range sortedKeys(s.keys) {
		if strings.HasPrefix(k, "u/q/") {
			return k
		}
		if strings.HasPrefix(k, "u/o/") {
			var j wire.Job
			if wire.Decode(s.keys[k].value, &j) == nil && j.Gang {
				return k
			}
		}
	}
	return ""
}

// TestUpgradeUnderTroubles: controllers end a few at a time and come back new, some that
// end before their turn come back old, and leaders change between both; gangs are asked
// for all the while. As long as one is old nothing is written that it would misread, and
// in the end the gangs run. A service that does not wait must be caught.
func TestUpgradeUnderTroubles(t *testing.T) {
	play := func(cfg simConfig, seed uint64, hasty bool) *simulation {
		w := newSimulation(seed, cfg)
		turn := map[*simNode]bool{}
		for _, n := range w.nodes {
			n.old = true
			n.crash(0)
		}
		var look func()
		look = func() {
			old := false
			for _, n := range w.nodes {
				old = old || n.old
			}
			if k := w.store.foreign(); old && k != "" {
				w.reportBroken("foreign", "%s is written while an old controller may serve", k)
			}
			w.schedule(100*time.Millisecond, look)
		}
		look()
		if hasty {
			w.sabotage = func(c *Core) { c.ownership.SupportedFormat = 2 }
		}
		randomJobs(w, 30, 120*s)
		w.user("job-400000", spec("blue", 20000, 1, 1), 0.2)
		for i := 0; i < 10; i++ {
			w.schedule(time.Duration(20+8*i)*s, func() { w.user(fmt.Sprintf("job-2%05d", i), gangSpec("blue", 2+i%4, 1, 15), 15) })
		}
		for i, n := range w.nodes {
			w.schedule(time.Duration(30+12*i)*s+w.between(0, 8), func() {
				n.old, turn[n] = false, true
				n.crash(w.between(0.2, 4))
			})
		}
		for at := 25 * s; at < 110*s; at += w.between(4, 12) {
			w.schedule(at, func() { w.nodes[w.rng.IntN(len(w.nodes))].crash(w.between(0.1, 3)) })
		}
		w.schedule(50*s, func() { w.outage(8 * s) })
		w.run(160 * s)
		w.calm = w.now
		w.cancel(w.jobs["job-400000"])
		w.run(400 * s)
		return w
	}
	withNodes(t, 3, func(t *testing.T, cfg simConfig, seed uint64) {
		w := play(cfg, seed, false)
		w.mustKeepRules(t)
		w.mustFinish(t)
		began := 0
		for _, g := range w.gangs {
			if g.began {
				began++
			}
		}
		if began < 3 {
			t.Errorf("%d gangs ran", began)
		}
	})
	for seed := uint64(1); seed <= 4; seed++ {
		for _, b := range play(standardConfig(), seed, true).broken {
			if strings.HasPrefix(b, "foreign") {
				return
			}
		}
	}
	t.Error("a service that does not wait for the old ones was not caught")
}
