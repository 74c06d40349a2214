// Command review-standin plays one case of the review: it starts the controllers as processes, and is
// itself the state service, the cloud, the workers and the users, on loopback addresses.
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"os"
	"time"
)

var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: review-standin CASE FOLDER")
	}
	cases := map[string]func(dir string){"1": foreignDeletion, "2": vastGang, "3": excludedMachines}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("unknown case")
	}
	play(os.Args[2])
}

// kranj returns the settings of the deployment gorenjska-smucisca, as in DEPLOY and in its site file.
func kranj() map[string]any {
	return map[string]any{
		"objectives":     []map[string]any{},
		"workers":        map[string]any{"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 41.0},
		"state":          map[string]any{"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 32},
		"cloud":          map[string]any{"rps": 1.5, "list_lag_s": 12.0},
		"resources":      map[string]any{"core_share": 0.18, "ram_mb": 179.0, "max_sockets": 1800},
		"clock_error_ms": 250.0,
	}
}

func kranjTypes() []machineType {
	zone := []string{"kranj"}
	return []machineType{
		{Label: "mali-vozel", Cores: 8, RAMGB: 32, LocalGB: 70, FetchGBPerS: 0.4, Hourly: 0.5, LowPrice: 0.22, StartupS: 20, Valleys: zone},
		{Label: "veliki-vozel", Cores: 32, RAMGB: 128, LocalGB: 70, FetchGBPerS: 0.5, Hourly: 2.08, LowPrice: 0.81, StartupS: 20, Valleys: zone},
	}
}

// foreignDeletion: two teams use one machine type each; the controller that owns both ends.
func foreignDeletion(dir string) {
	teams := []map[string]any{{"name": "kartografija", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}, {"name": "gorska-resevalna", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}}
	w := newWorld(dir, 3, kranj(), teams, kranjTypes())
	w.cloud.capacity = map[string]int{"mali-vozel": 8, "veliki-vozel": 3}
	w.cloud.mu.Lock()
	for range 2 {
		w.cloud.add("mali-vozel", 10*time.Minute, 0)
		w.cloud.add("veliki-vozel", 10*time.Minute, 0)
	}
	// A controller whose answers the machine's worker does not get must not delete it while it works.
	w.cloud.onDelete = func(deleter string, m *machine) {
		if m.worker == nil {
			return
		}
		answering, renewed := m.worker.lastNode()
		running := m.worker.runningTasks()
		if len(running) > 0 && answering != deleter && time.Since(renewed).Seconds() < 2*w.reportS {
			w.breakRule("%s deletes %s with running %v, %.1f s after %s answered its report with 200", deleter, m.id, running, time.Since(renewed).Seconds(), answering)
		}
	}
	w.cloud.mu.Unlock()
	w.startControllers()
	w.awaitReady()
	small := &job{id: "job-000101", crew: "kartografija", docket: "zapore-nujno", urgency: "urgent", sheets: 2, cores: 6, ram: 20, plate: "img-1", imageGB: 0.2, builds: []string{"mali-vozel"}, runS: 40, reckonS: 40}
	large := &job{id: "job-000102", crew: "gorska-resevalna", docket: "lidar-celota", urgency: "standard", sheets: 2, cores: 24, ram: 60, plate: "img-2", imageGB: 0.2, builds: []string{"veliki-vozel"}, runS: 40, reckonS: 40}
	w.awaitOneOwner()
	w.submit(small, "hut-0")
	w.submit(large, "hut-1")
	w.await("tasks start", 20*time.Second, func() bool {
		for _, j := range []*job{small, large} {
			for n := range j.sheets {
				if w.startsOf(sheetName(j.id, n)) == 0 {
					return false
				}
			}
		}
		return true
	})
	owner := ""
	w.await("one owner", 10*time.Second, func() bool {
		owner = w.ownerOf("mali-vozel")
		return owner != "" && owner == w.ownerOf("veliki-vozel")
	})
	w.record("%s answers all workers", owner)
	if trouble {
		w.kill(w.node(owner))
		time.AfterFunc(8*time.Second, func() { w.run(w.node(owner)) })
	}
	for w.seconds() < 75 && !(w.toldDone(small) && w.toldDone(large)) {
		time.Sleep(200 * time.Millisecond)
	}
	for _, j := range []*job{small, large} {
		for n := range j.sheets {
			w.record("task %s: %d starts, done: %v", sheetName(j.id, n), w.startsOf(sheetName(j.id, n)), w.isDone(sheetName(j.id, n)))
		}
		w.record("job %s: told done: %v", j.id, w.toldDone(j))
	}
	w.finish()
}
