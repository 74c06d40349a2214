package main

import (
	"fmt"
	"sync"
	"time"
)

// twoKinds is a deployment with the figures of the first operator (BRIEF) and two machine types: one
// without and one with accelerators.
func twoKinds(startupS, bootS float64) clusterConfig {
	cfg := clusterConfig{nodes: 3, capacity: map[string]int{"mesa-dieciseis": 20, "gpu-ocho": 20},
		types: []machineType{
			{Label: "mesa-dieciseis", Cores: 16, RAMGB: 128, LocalGB: 70, FetchGBPerS: 0.5, Hourly: 1.37, LowPrice: 0.6, StartupS: startupS, Valleys: []string{"a"}},
			{Label: "gpu-ocho", Cores: 8, Accelerators: 4, RAMGB: 32, LocalGB: 70, FetchGBPerS: 0.5, Hourly: 3.1, LowPrice: 1.4, StartupS: startupS, Valleys: []string{"a"}}},
		teams:   []team{{Name: "digitalizacion", CPUs: 176, CPUsMax: 448}, {Name: "certificacion", CPUs: 320, CPUsMax: 888}},
		reportS: 1.5, leaseS: 14, cancelS: 34, gangWaitS: 40, gangPeerS: 8,
		rps: 150, writeRPS: 20, valueKB: 4, txnOps: 8, cloudRPS: 3, listLagS: 4,
		bootS: func(int) float64 { return bootS }}
	return cfg
}

// batch returns a job of independent tasks that save no checkpoints and may use only ordinary machines
// of one type.
func batch(id, crew, build string, sheets int, cores, accelerators, ram, runS float64) *job {
	return &job{ID: id, Docket: "revision", Crew: crew, Form: "batch", Urgency: "standard", Sheets: sheets, Cores: cores, Accelerators: accelerators, RAMGB: ram,
		Plate: "img-07", ImageGB: 0.2, Builds: []string{build}, ReckonS: runS, runS: runS}
}

// crashBusiest kills the controller that the workers report to, and starts it again 3 s later.
func (c *caseRun) crashBusiest() {
	owner := c.busiest()
	if !c.trouble {
		c.log("no disruption: %s goes on", owner.label)
		return
	}
	c.log("DISRUPTION: %s crashes", owner.label)
	owner.kill()
	time.AfterFunc(3*time.Second, func() {
		if err := owner.begin(); err != nil {
			c.log("%s could not be started again: %v", owner.label, err)
		}
	})
}

// playQuota: two teams keep machines of two types in use. The controller that the workers report to
// crashes once. Later a third team, with a limit of 4 CPUs, submits two jobs of 4 CPUs, one for each type,
// the second 0.1 s after the first was accepted, at another controller if another one serves its type.
// In that time, 0.6 s, the state service's answers to the watches of the latter take 0.3 s.
func playQuota(c *caseRun) error {
	const limit, slow = 4.0, 300 * time.Millisecond
	c.cfg.teams = append(c.cfg.teams, team{Name: "registro", CPUsMax: limit})
	worst := 0.0
	c.usage = func(w *world, what string) {
		used := 0.0
		for _, m := range w.cloud.machines {
			for _, s := range m.sheets {
				if s.status == "running" && s.job.Crew == "registro" {
					used += s.job.Cores
				}
			}
		}
		if used > limit+1e-6 && used > worst {
			worst = used
			c.breaks("team registro uses %g CPUs, its limit is %g (%s)", used, limit, what)
		}
	}
	if err := c.begin(); err != nil {
		return err
	}
	base := []*job{batch("job-000001", "digitalizacion", "mesa-dieciseis", 2, 9, 0, 40, 100), batch("job-000002", "certificacion", "gpu-ocho", 2, 1, 3, 8, 100)}
	for _, j := range base {
		if !c.submit(j) {
			return fmt.Errorf("%s was not accepted", j.ID)
		}
	}
	if !c.waitFor(30*time.Second, func() bool { return c.running(base[0]) == 2 && c.running(base[1]) == 2 }) {
		return fmt.Errorf("the tasks did not start")
	}
	time.Sleep(4 * time.Second)
	c.crashBusiest()
	time.Sleep(7 * time.Second)
	first, second := c.serves("gpu-ocho"), c.serves("mesa-dieciseis")
	if first == nil || second == nil {
		return fmt.Errorf("the workers report to nobody")
	}
	c.log("workers of gpu-ocho report to %s, those of mesa-dieciseis to %s", first.label, second.label)
	c.mu.Lock()
	until := c.now() + 600*time.Millisecond
	c.state.slow[second.label] = func(_, path string) time.Duration {
		if path == "/watch" && c.now() < until {
			c.log("state: slow answer to a watch of %s", second.label)
			return slow
		}
		return 0
	}
	c.mu.Unlock()
	jobs := []*job{batch("job-000101", "registro", "gpu-ocho", 4, 1, 0, 2, 8), batch("job-000102", "registro", "mesa-dieciseis", 4, 1, 0, 2, 8)}
	if !c.submitAt(jobs[0], first) {
		return fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(100 * time.Millisecond)
	if !c.submitAt(jobs[1], second) {
		return fmt.Errorf("the second job was not accepted")
	}
	var users sync.WaitGroup
	for _, j := range jobs {
		users.Go(func() { c.poll(j, 40*time.Second) })
	}
	users.Wait()
	c.log("requests to the state service in all: %d", c.state.count)
	c.log("most CPUs of team registro at one time over its limit: %g (0: never)", worst)
	return nil
}

// playStarted: a job of many short tasks runs on one machine. The controller that the workers report to
// loses the state service and the other controllers, not its workers and users. The job is cancelled at another
// controller.
func playStarted(c *caseRun) error {
	j := batch("job-000001", "digitalizacion", "mesa-dieciseis", 400, 1, 0, 4, 1)
	var confirmed time.Duration
	late := 0
	c.onLaunch = func(m *machine, s *sheet, from string) {
		// Commands that were in flight when the user was told are allowed: the answer to a report that was sent
		// before, or within 0.25 s, and a direct command that comes within 0.5 s (nothing delays them on loopback).
		sentAfter := from != "direct" && m.reportSent > confirmed+250*time.Millisecond || from == "direct" && c.now() > confirmed+500*time.Millisecond
		if s.job == j && confirmed > 0 && sentAfter {
			late++
			c.breaks("%s gets the command to start %s %.2f s after its user was told that the job is cancelled (%s)", m.id, s.task, (c.now() - confirmed).Seconds(), from)
		}
	}
	if err := c.begin(); err != nil {
		return err
	}
	if !c.submit(j) || !c.waitFor(40*time.Second, func() bool { return len(c.finished) > 16 }) {
		return fmt.Errorf("the tasks did not start")
	}
	owner := c.busiest()
	var other *node
	for _, n := range c.nodes {
		if n != owner {
			other = n
		}
	}
	c.mu.Lock()
	if c.trouble {
		c.log("DISRUPTION: %s loses the state service and the other controllers", owner.label)
		c.noState[owner.label], c.noPeers[owner.label] = true, true
	} else {
		c.log("no disruption: %s is reached by all", owner.label)
	}
	c.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	status, body := ask(other.apiAddr, "POST", "/work/"+j.ID+"/cancel", nil, 5*time.Second)
	var in struct {
		Status string `msgpack:"status"`
	}
	decode(body, &in)
	c.log("user: %s answers %d %s to the cancellation of %s", other.label, status, in.Status, j.ID)
	if status != 200 || in.Status != "cancelled" {
		return fmt.Errorf("the cancellation was not confirmed")
	}
	c.mu.Lock()
	confirmed = c.now()
	c.mu.Unlock()
	time.Sleep(8 * time.Second)
	c.mu.Lock()
	c.noState[owner.label], c.noPeers[owner.label] = false, false
	c.log("%s is reached by all again", owner.label)
	c.mu.Unlock()
	time.Sleep(10 * time.Second)
	c.log("commands to start tasks of the cancelled job: %d", late)
	return nil
}

// playFinished: jobs of one task come four a second. The controller that the workers report to crashes when
// most of them are done.
func playFinished(c *caseRun) error {
	const jobs, perSecond = 100, 4
	told := map[string]time.Duration{} // when a user was told that the job of a task is done
	c.onLaunch = func(m *machine, s *sheet, from string) {
		if at := told[s.task]; at > 0 {
			c.breaks("%s gets the command to start %s %.1f s after its user was told that the job is done (%s)", m.id, s.task, (c.now() - at).Seconds(), from)
		}
	}
	if err := c.begin(); err != nil {
		return err
	}
	// A job that lasts keeps the machines.
	long := batch("job-000001", "digitalizacion", "mesa-dieciseis", 3, 9, 0, 40, 300)
	if !c.submit(long) || !c.waitFor(40*time.Second, func() bool { return c.running(long) == 3 }) {
		return fmt.Errorf("the long tasks did not start")
	}
	var users sync.WaitGroup
	for i := range jobs {
		j := batch(fmt.Sprintf("job-%06d", 100+i), "certificacion", "mesa-dieciseis", 1, 1, 0, 4, 2)
		users.Go(func() {
			if c.submit(j) && c.poll(j, 60*time.Second) == "done" {
				c.mu.Lock()
				told[taskID(j.ID, 0)] = c.now()
				c.mu.Unlock()
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	c.crashBusiest()
	users.Wait()
	time.Sleep(5 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log("jobs told to be done: %d of %d", len(told), jobs)
	if len(told) < jobs/2 {
		return fmt.Errorf("less than half of the jobs are done")
	}
	return nil
}

// withGangs is a deployment of machines of one type, with an aim on the start of gangs.
func withGangs() clusterConfig {
	cfg := twoKinds(4, 2)
	cfg.types = cfg.types[:1]
	cfg.capacity["mesa-dieciseis"] = 7
	cfg.objectives = []any{map[string]any{"kind": "wait", "class": "cotejo-conjunto", "within_s": 5.0, "share": 0.9}}
	return cfg
}

// waitLimit is how long no job may be left waiting while a machine that fits has room.
const waitLimit = 90 * time.Second

// playKept: the cloud has seven machines. Long jobs of a class fill six of them; a small gang runs for some
// seconds and is done. With the trouble three times as many long jobs come. Then a job of one task comes.
func playKept(c *caseRun) error {
	if err := c.begin(); err != nil {
		return err
	}
	var long []*job
	submitLong := func(count int) error {
		for range count {
			j := batch(fmt.Sprintf("job-%06d", 1+len(long)), "digitalizacion", "mesa-dieciseis", 2, 14, 0, 60, 300)
			long = append(long, j)
			if !c.submit(j) {
				return fmt.Errorf("%s was not accepted", j.ID)
			}
		}
		return nil
	}
	if err := submitLong(1); err != nil {
		return err
	}
	if !c.waitFor(30*time.Second, func() bool { return c.running(long[0]) == 2 }) {
		return fmt.Errorf("the long tasks did not start")
	}
	gang := batch("job-000100", "certificacion", "mesa-dieciseis", 2, 4, 0, 8, 2)
	gang.Form, gang.Docket = "gang", "cotejo-conjunto"
	if !c.submit(gang) || c.poll(gang, 40*time.Second) != "done" {
		return fmt.Errorf("the gang is not done")
	}
	if c.trouble {
		c.log("DISRUPTION: three times as many long jobs")
		if err := submitLong(2); err != nil {
			return err
		}
	}
	c.waitFor(9*time.Second, func() bool {
		up := 0
		for _, m := range c.cloud.machines {
			if m.goneAt == 0 && m.answeredSent > 0 {
				up++
			}
		}
		return up == c.cfg.capacity["mesa-dieciseis"]
	})
	time.Sleep(time.Second)
	j := batch("job-000200", "certificacion", "mesa-dieciseis", 1, 4, 0, 8, 3)
	if !c.submit(j) {
		return fmt.Errorf("%s was not accepted", j.ID)
	}
	go c.poll(j, waitLimit+10*time.Second)
	var since time.Duration
	room := ""
	for end := c.now() + waitLimit + 3*time.Second; c.now() < end; time.Sleep(100 * time.Millisecond) {
		c.mu.Lock()
		now, with := c.now(), ""
		for _, m := range c.cloud.machines {
			cores, ram := m.build.Cores, m.build.RAMGB
			for _, s := range m.sheets {
				if s.status != "ended" {
					cores, ram = cores-s.job.Cores, ram-s.job.RAMGB
				}
			}
			if m.upAt > 0 && m.goneAt == 0 && now-m.answeredSent < seconds(2*c.cfg.reportS) && cores >= j.Cores && ram >= j.RAMGB {
				with = m.id
			}
		}
		started := j.final != "" || c.running(j) > 0 || c.finished[taskID(j.ID, 0)]
		switch {
		case started || with == "":
			since, room = 0, ""
		case since == 0 || room != with:
			since, room = now, with
			c.log("%s waits from here on, while %s has room", j.ID, with)
		case now-since > waitLimit:
			c.breaks("%s has waited for %.1f s while %s had room and its team was under its limit", j.ID, (now - since).Seconds(), room)
		}
		final, count := j.final, len(c.broken)
		c.mu.Unlock()
		if final != "" || count > 0 {
			break
		}
	}
	return nil
}
