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

// previousRelease is the version that operators may run besides the one in production. It supports gangs.
const previousRelease = "90080c8"

// lastWithoutLinkMonitoring is the last version without link monitoring.
const lastWithoutLinkMonitoring = "2c5eb7e"

// lastWithoutRenewalCheck is the last version that renews a machine's lease without first making sure that
// its cancelled tasks stop.
const lastWithoutRenewalCheck = "16f6493"

// productionVersion returns the commit that runs in production, as recorded in deploy/service.toml.
func productionVersion(t *testing.T, root string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(text)
	if match == nil {
		t.Fatal("deploy/service.toml has no production version")
	}
	return string(match[1])
}

// buildVersion builds the program from a commit of the repository's history and returns the path of the
// binary. It skips the test if the commit is not in the history, as in a source archive.
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

// processIdentity is the value of the state service's keys that identify a controller's process.
type processIdentity struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// readProcessIdentity returns the process identity stored under a key, and the key's version. The version
// is 0 if the key does not exist or its value cannot be decoded.
func readProcessIdentity(sim *simulation, key string) (value processIdentity, version uint64) {
	stored := sim.store.records[key]
	if stored == nil || wire.Decode(stored.value, &value) != nil {
		return processIdentity{}, 0
	}
	return value, stored.version
}

// isLeaderAndOwner reports whether the running process of a controller is the leader and owns the machine
// class. It compares the node key's version with the revision at the start of the process. Without this
// check, keys written by the controller's previous incarnation could match, and the test would test nothing.
func (p *controllerProcess) isLeaderAndOwner(sim *simulation) bool {
	self, version := readProcessIdentity(sim, "u/n/"+p.label)
	owner, _ := readProcessIdentity(sim, ownerKey)
	leader, _ := readProcessIdentity(sim, "u/leader")
	return version > p.startRevision && owner == self && leader == self
}

// makeLeaderAndOwner kills all other controllers, waits until successor is the leader and owner,
// and restarts the others with the binaries that they ran before.
func (c *processCluster) makeLeaderAndOwner(successor *controllerProcess) {
	c.t.Helper()
	for _, p := range c.processes {
		if p != successor {
			c.kill(p)
		}
	}
	c.waitFor("takeover by "+successor.label, successor.isLeaderAndOwner)
	for _, p := range c.processes {
		if p != successor {
			c.start(p, p.binary)
		}
	}
}

// postJob posts a job to one controller and returns the HTTP status, or 0 if there was no answer.
func (c *processCluster) postJob(process *controllerProcess, id string, job map[string]any) int {
	job["id"] = id
	addSubmissionDefaults(job)
	answer, err := c.userClient.Post("http://"+process.apiAddr+"/work", "application/msgpack", bytes.NewReader(mustEncode(job)))
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// watchForNewRecords reports a broken rule if a record of the new format is written while a controller
// of the cluster runs the old binary. That controller would misread the record.
func (c *processCluster) watchForNewRecords(old string) {
	var check func()
	check = func() {
		for _, p := range c.processes {
			if key := c.live.sim.store.unsupportedRecord(); p.binary == old && key != "" {
				c.live.sim.reportViolation("foreign", "%s is written while %s runs the old version", key, p.label)
			}
		}
		c.live.sim.schedule(50*time.Millisecond, check)
	}
	c.live.do(check)
}

// TestMixedVersions upgrades the controllers of a running service one by one, rolls the upgrade back halfway,
// and completes it. The old version is built from the repository's history. Owners of each version take over
// from owners of the other version. During an outage of the state service, the owner gets extensions from
// peers of both versions. The rules must hold, no job may be lost, and all gangs must run after the upgrade.
// If the old version does not support gangs, none may be accepted before all controllers are upgraded.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	root := filepath.Join("..", "..")
	for _, version := range []struct {
		name, commit  string
		supportsGangs bool
		operatorFile  string
	}{
		{"production", productionVersion(t, root), false, ""},
		{"last landing", previousRelease, true, ""},
		{"before renewals were judged", lastWithoutRenewalCheck, true, ""},
		{"the view of links switched on", lastWithoutLinkMonitoring, true, filepath.Join(root, "deploy", "reachability.json")},
	} {
		t.Run(version.name, func(t *testing.T) {
			t.Parallel()
			cfg := smallProcessConfig()
			cfg.operatorFile = version.operatorFile
			runMixedVersions(t, cfg, buildVersion(t, root, version.commit), buildCurrentVersion(t), version.supportsGangs)
		})
	}
}

// maxConcurrentTasks is how many tasks of the large job can run at once on all machines: 6 machines of 8 CPUs
// with 4 tasks per CPU.
const maxConcurrentTasks = 6 * 8 * 4

// runMixedVersions runs the rolling upgrade of TestMixedVersions from oldBinary to currentBinary.
func runMixedVersions(t *testing.T, cfg simConfig, oldBinary, currentBinary string, oldSupportsGangs bool) {
	cluster := startProcessCluster(t, cfg, oldBinary, 3)
	first, second, last := cluster.processes[0], cluster.processes[1], cluster.processes[2]
	if !oldSupportsGangs {
		cluster.watchForNewRecords(oldBinary)
	}
	submittedGangs := 0
	submitGangs := func(count int) {
		cluster.live.do(func() {
			for range count {
				cluster.live.sim.submitJob(fmt.Sprintf("job-2%05d", submittedGangs), newGangSubmission("blue", 2+submittedGangs%3, 2, 1), 1)
				submittedGangs++
			}
		})
	}
	// A new controller must refuse gangs while an old one could run a gang as an array job.
	mustRefuseGangs := func(when string, process *controllerProcess) {
		t.Helper()
		if oldSupportsGangs {
			return
		}
		if status := cluster.postJob(process, "job-700000", newGangSubmission("blue", 2, 1, 1)); status == http.StatusOK || status == http.StatusCreated {
			t.Fatalf("%s: a gang was accepted with status %d", when, status)
		}
	}
	var largeJob *simJob // has so many tasks that its completions have separate records
	cluster.live.do(func() { largeJob = cluster.live.sim.submitJob("job-400000", batchSpec("blue", 60000, 0.25, 1), 1) })
	cluster.submitJobs(0, 4)
	if oldSupportsGangs {
		submitGangs(3)
	}
	cluster.waitFor("work under the old version", func(*simulation) bool { return largeJob.doneCount > 50 })

	cluster.replace(first, currentBinary)
	cluster.submitJobs(10, 4)
	cluster.makeLeaderAndOwner(first) // the new version reads the records of the old one
	mustRefuseGangs("one controller is new", first)
	cluster.submitJobs(20, 4)
	if oldSupportsGangs {
		submitGangs(3)
	}
	before := largeJob.doneCount
	cluster.waitFor("work under a new owner", func(*simulation) bool { return largeJob.doneCount > before+50 })
	mustRefuseGangs("one controller is new, and the leader", first)

	// During an outage the owner can launch tasks only with extensions from its peers, which here run both
	// versions. More tasks than fit on all machines must complete, so some are launched during the outage.
	cluster.live.do(func() { cluster.live.sim.store.setOutage(true); before = largeJob.doneCount })
	cluster.waitFor("work during an outage with both versions", func(*simulation) bool { return largeJob.doneCount > before+maxConcurrentTasks })
	cluster.live.do(func() { cluster.live.sim.store.setOutage(false) })

	cluster.makeLeaderAndOwner(last) // the old version reads the records of the new one
	cluster.submitJobs(30, 4)
	before = largeJob.doneCount
	cluster.waitFor("work under an old owner again", func(*simulation) bool { return largeJob.doneCount > before+50 })
	cluster.replace(second, currentBinary)
	mustRefuseGangs("two controllers are new", second)

	cluster.replace(first, oldBinary) // rollback halfway
	cluster.replace(second, oldBinary)
	cluster.submitJobs(40, 4)
	cluster.replace(second, currentBinary)
	cluster.replace(first, currentBinary)
	mustRefuseGangs("rolled forward, one controller is old", first)
	cluster.replace(last, currentBinary)
	cluster.submitJobs(50, 4)
	cluster.waitFor("the newest record format", func(sim *simulation) bool {
		format := sim.store.records["u/format"]
		return format != nil && strings.Contains(string(format.value), "\x02")
	})
	submitGangs(4)
	cluster.live.do(func() { cluster.live.sim.cancel(largeJob) })
	cluster.waitForAllJobs("jobs across the upgrade")
	startedGangs := 0
	cluster.live.do(func() {
		for _, gang := range cluster.live.sim.gangs {
			if gang.started {
				startedGangs++
			}
		}
	})
	if startedGangs < submittedGangs {
		t.Errorf("%d of %d gangs ran", startedGangs, submittedGangs)
	}
	cluster.checkAllRunning()
}
