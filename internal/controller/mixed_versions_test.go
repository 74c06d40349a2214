package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/wire"
)

// lastLanding is the version that operators may run besides the one in production: it
// knows gangs already.
const lastLanding = "90080c8"

// beforeLinks is the last version whose controllers know no view of links.
const beforeLinks = "2c5eb7e"

// beforeRenewalJudge is the last version that renews machines without stops of their cancelled
// tasks.
const beforeRenewalJudge = "16f6493"

// productionVersion reads from the deploy file which commit runs in production.
func productionVersion(t *testing.T, root string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(b)
	if m == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(m[1])
}

// buildVersion builds the program from a commit of the repository's own history. Without
// that history, in a source archive, the test is skipped.
func buildVersion(t *testing.T, root, commit string) string {
	t.Helper()
	if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the repository's history has no commit %s: %v", commit, err)
	}
	sources := t.TempDir()
	archive := filepath.Join(t.TempDir(), "sources.tar")
	for _, args := range [][]string{
		{"git", "-C", root, "archive", "--output", archive, commit, "go.mod", "go.sum", "cmd", "internal"},
		{"tar", "-xf", archive, "-C", sources},
		{"go", "build", "-C", sources, "-o", filepath.Join(sources, "umberpaddle"), "./cmd/umberpaddle"},
	} {
		if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
	return filepath.Join(sources, "umberpaddle")
}

// processKey is the value of the state service's keys that name a controller's process.
type processKey struct {
	Node string `msgpack:"n"`
	Life uint64 `msgpack:"i"`
}

// readProcessKey reads such a key; its version is 0 if there is none.
func readProcessKey(w *simulation, key string) (value processKey, version uint64) {
	k := w.store.keys[key]
	if k == nil || wire.Decode(k.value, &value) != nil {
		return processKey{}, 0
	}
	return value, k.version
}

// leadsAndOwns tells whether the present process of a controller is the leader and owns the
// machine class of the process world. Guards against a test that took the keys of an earlier
// life for it, and tested nothing.
func (p *controllerProcess) leadsAndOwns(w *simulation) bool {
	self, version := readProcessKey(w, "u/n/"+p.label)
	owner, _ := readProcessKey(w, ownerKey)
	leader, _ := readProcessKey(w, "u/leader")
	return version > p.since && owner == self && leader == self
}

// makeOwner ends all controllers but one until that one leads and owns everything, and starts
// the others again with the versions that they ran.
func (c *processCluster) makeOwner(next *controllerProcess) {
	c.t.Helper()
	for _, p := range c.processes {
		if p != next {
			c.kill(p)
		}
	}
	c.waitFor("takeover by "+next.label, next.leadsAndOwns)
	for _, p := range c.processes {
		if p != next {
			c.start(p, p.binary)
		}
	}
}

// submitDirectly posts a job to one controller and returns the status.
func (c *processCluster) submitDirectly(p *controllerProcess, id string, job map[string]any) int {
	job["id"] = id
	fill(job)
	answer, err := c.users.Post("http://"+p.apiAddr+"/work", "application/msgpack", bytes.NewReader(pack(job)))
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// watchForNewRecords breaks the world's rules if a record of the new form is written while
// a controller that would misread it may run.
func (c *processCluster) watchForNewRecords(old string) {
	var look func()
	look = func() {
		for _, p := range c.processes {
			if k := c.world.w.store.foreign(); p.binary == old && k != "" {
				c.world.w.reportBroken("foreign", "%s is written while %s is old", k, p.label)
			}
		}
		c.world.w.schedule(50*time.Millisecond, look)
	}
	c.world.do(look)
}

// TestMixedVersions exchanges the controllers of a running service one by one, with the
// programs of both versions built from the repository's history, and goes back halfway.
// Owners of each version take over from the other, the state service is out while both
// serve, and peers of both versions promise each other not to take over. The rules hold,
// no job is forgotten, and gangs run in the end; where the old version doesn't know them,
// none is taken before all controllers are new.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	root := filepath.Join("..", "..")
	for _, version := range []struct {
		name, commit string
		knowsGangs   bool
		operatorFile string
	}{
		{"production", productionVersion(t, root), false, ""},
		{"last landing", lastLanding, true, ""},
		{"before renewals were judged", beforeRenewalJudge, true, ""},
		{"the view of links switched on", beforeLinks, true, filepath.Join(root, "deploy", "reachability.json")},
	} {
		t.Run(version.name, func(t *testing.T) {
			t.Parallel()
			cfg := smallProcessConfig()
			cfg.operatorFile = version.operatorFile
			playMixedVersions(t, cfg, buildVersion(t, root, version.commit), buildPresentVersion(t), version.knowsGangs)
		})
	}
}

// mostAtATime is how many tasks of the wide job fit on all machines of the process world.
const mostAtATime = 6 * 8 * 4

func playMixedVersions(t *testing.T, cfg simConfig, old, present string, oldKnowsGangs bool) {
	c := startProcessCluster(t, cfg, old, 3)
	a, b, last := c.processes[0], c.processes[1], c.processes[2]
	if !oldKnowsGangs {
		c.watchForNewRecords(old)
	}
	gangs := 0
	submitGangs := func(count int) {
		c.world.do(func() {
			for range count {
				c.world.w.user(fmt.Sprintf("job-2%05d", gangs), gangSpec("blue", 2+gangs%3, 2, 1), 1)
				gangs++
			}
		})
	}
	// The gate: a new controller takes no gang as long as an old one may run it as an array.
	mustRefuseGangs := func(when string, p *controllerProcess) {
		t.Helper()
		if oldKnowsGangs {
			return
		}
		if status := c.submitDirectly(p, "job-700000", gangSpec("blue", 2, 1, 1)); status == http.StatusOK || status == http.StatusCreated {
			t.Fatalf("%s: a gang is accepted with status %d", when, status)
		}
	}
	var wide *simJob // of many tasks: its completions have records of their own
	c.world.do(func() { wide = c.world.w.user("job-400000", spec("blue", 60000, 0.25, 1), 1) })
	c.submitJobs(0, 4)
	if oldKnowsGangs {
		submitGangs(3)
	}
	c.waitFor("work under the old version", func(*simulation) bool { return wide.doneCount > 50 })

	c.replace(a, present)
	c.submitJobs(10, 4)
	c.makeOwner(a) // the new version takes up what the old one wrote
	mustRefuseGangs("one controller is new", a)
	c.submitJobs(20, 4)
	if oldKnowsGangs {
		submitGangs(3)
	}
	before := wide.doneCount
	c.waitFor("work under a new owner", func(*simulation) bool { return wide.doneCount > before+50 })
	mustRefuseGangs("one controller is new, and the leader", a)

	// Promises between both versions: in an outage more tasks begin and end than ran when it
	// began, so the owner goes on launching.
	c.world.do(func() { c.world.w.store.setOutage(true); before = wide.doneCount })
	c.waitFor("work in an outage with both versions", func(*simulation) bool { return wide.doneCount > before+mostAtATime })
	c.world.do(func() { c.world.w.store.setOutage(false) })

	c.makeOwner(last) // the old version takes up what the new one wrote
	c.submitJobs(30, 4)
	before = wide.doneCount
	c.waitFor("work under an old owner again", func(*simulation) bool { return wide.doneCount > before+50 })
	c.replace(b, present)
	mustRefuseGangs("two controllers are new", b)

	c.replace(a, old) // rolled back halfway
	c.replace(b, old)
	c.submitJobs(40, 4)
	c.replace(b, present)
	c.replace(a, present)
	mustRefuseGangs("rolled forward, one controller is old", a)
	c.replace(last, present)
	c.submitJobs(50, 4)
	c.waitFor("the newest form of records", func(w *simulation) bool {
		k := w.store.keys["u/format"]
		return k != nil && strings.Contains(string(k.value), "\x02")
	})
	submitGangs(4)
	c.world.do(func() { c.world.w.cancel(wide) })
	c.waitForAllJobs("jobs across the exchange of versions")
	began := 0
	c.world.do(func() {
		for _, g := range c.world.w.gangs {
			if g.began {
				began++
			}
		}
	})
	if began < gangs {
		t.Errorf("%d of %d gangs ran", began, gangs)
	}
	c.mustAllRun()
}
