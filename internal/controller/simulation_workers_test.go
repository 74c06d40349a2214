package controller

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/wire"
)

// simCloud is the simulated cloud provider, which rents, lists and deletes machines.
type simCloud struct {
	sim             *simulation
	rentals         map[string][]string // machine IDs by the ID of the rental request
	available       map[fleet.Kind]int  // remaining capacity
	createdCount    int                 // machines created so far
	outage          bool                // every request fails with status 503
	bootFailureRate float64             // fraction of new machines that never boot; 0 means 0.03
	bootSlowdown    float64             // factor on the boot time, which is 2 s to 9 s; 0 means 1
}

// serve serves a request to the cloud's API.
func (c *simCloud) serve(method, path string, body []byte) (int, []byte) {
	if c.outage {
		return 503, nil
	}
	target, err := url.Parse(path)
	if err != nil {
		return 400, nil
	}
	switch {
	case target.Path == "/machine_types":
		return 200, mustEncode(wire.MachineTypes{Types: c.sim.cfg.machineTypes})
	case target.Path == "/hosts" && method == "POST":
		var rental wire.RentalRequest
		if wire.Decode(body, &rental) != nil || rental.Count < 1 || rental.Count > 50 {
			c.sim.reportViolation("limits", "malformed rental")
			return 400, nil
		}
		if ids, ok := c.rentals[rental.Request]; ok {
			return 200, mustEncode(wire.MachineIDs{Machines: ids})
		}
		kind := fleet.Kind{Class: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
		count := min(rental.Count, c.available[kind])
		if count == 0 {
			return 503, mustEncode(wire.ErrorBody{Error: "no capacity"})
		}
		var ids []string
		for i := 0; i < count; i++ {
			ids = append(ids, c.create(kind).id)
		}
		c.rentals[rental.Request] = ids
		return 200, mustEncode(wire.MachineIDs{Machines: ids})
	case target.Path == "/hosts/delete":
		var deletion wire.MachineIDs
		if wire.Decode(body, &deletion) != nil || len(deletion.Machines) > 100 {
			c.sim.reportViolation("limits", "malformed deletion")
			return 400, nil
		}
		for _, id := range deletion.Machines {
			if m := c.sim.machines[id]; m != nil {
				m.terminate()
			}
		}
		return 200, nil
	case target.Path == "/hosts":
		var list wire.MachineList
		for _, id := range sortedKeys(c.sim.machines) {
			machine := c.sim.machines[id]
			age := c.sim.now - machine.createdAt
			if machine.gone || age < c.sim.randomDuration(1, 4) || id <= target.Query().Get("since") {
				continue
			}
			status := wire.MachineBooting
			if machine.up {
				status = wire.MachineRunning
			}
			list.Machines = append(list.Machines, wire.ListedMachine{ID: id, Type: machine.kind.Class, Zone: machine.kind.Zone, Spot: machine.kind.Spot, Status: status, AgeS: age.Seconds()})
		}
		return 200, mustEncode(list)
	}
	return 400, nil
}

// create adds a machine of the given kind and starts its boot.
func (c *simCloud) create(kind fleet.Kind) *simMachine {
	c.createdCount++
	c.available[kind]--
	id := fmt.Sprintf("i-%06d", c.createdCount)
	machine := &simMachine{sim: c.sim, id: id, address: id, kind: kind, createdAt: c.sim.now, tasks: map[string]*simTask{}, incarnation: 1}
	if c.sim.addressOf != nil {
		machine.address = c.sim.addressOf(machine)
	}
	c.sim.machines[machine.id] = machine
	c.sim.createdMachines = append(c.sim.createdMachines, machine)
	failureFraction, slowdown := c.bootFailureRate, c.bootSlowdown
	if failureFraction == 0 {
		failureFraction = 0.03
	}
	if slowdown == 0 {
		slowdown = 1
	}
	if !c.sim.chance(failureFraction) {
		c.sim.schedule(c.sim.randomDuration(2*slowdown, 9*slowdown), machine.start)
	}
	return machine
}

// simTask is a task on a worker.
type simTask struct {
	id        string
	job       *simJob
	attempt   uint64
	state     wire.TaskState
	cause     wire.Cause
	startedAt time.Duration
	run       *history.TaskRun // execution record; nil for tasks of gangs
}

// simMachine is a simulated machine with its worker.
type simMachine struct {
	sim             *simulation
	id              string
	address         string // receives direct orders
	kind            fleet.Kind
	createdAt       time.Duration
	up, gone        bool
	hung            bool
	heartbeatsLost  bool          // heartbeats reach no controller
	deferred        []func()      // calls deferred until the machine resumes
	faulty          bool          // fails its tasks
	recallAt        time.Duration // when the cloud terminates this spot machine; 0: not recalled
	tasks           map[string]*simTask
	taskOrder       []string      // task IDs in the order of their launches
	incarnation     uint64        // number of the worker's incarnation
	seq             uint64        // sequence number of the last heartbeat
	fencingToken    uint64        // highest fencing token received
	renewedAt       time.Duration // when the heartbeat whose reply last renewed the lease was sent
	nodeIndex       int           // index of the controller that receives the next heartbeat
	inFlight        bool          // a heartbeat waits for its reply
	nextHeartbeatAt time.Duration
	lastHeartbeatAt time.Duration
	// nextTokenHeartbeat is the earliest time at which a higher fencing token triggers an early heartbeat
	// again.
	nextTokenHeartbeat time.Duration
}

// heartbeatTimeout is the longest time that a worker waits for the reply to a heartbeat.
const heartbeatTimeout = 4 * time.Second

func (m *simMachine) leaseDuration() time.Duration {
	return time.Duration(m.sim.cfg.leaseS * float64(time.Second))
}

// whenRunning checks the lease and calls f, at once or when a hanging machine resumes. On a machine
// that is gone it does nothing.
func (m *simMachine) whenRunning(f func()) {
	if m.gone {
		return
	}
	if m.hung {
		m.deferred = append(m.deferred, f)
		return
	}
	m.checkLease()
	f()
}

// start runs when the machine has booted and starts its worker.
func (m *simMachine) start() {
	if m.gone {
		return
	}
	m.up = true
	m.renewedAt = m.sim.now
	m.nodeIndex = m.sim.rng.IntN(len(m.sim.nodes))
	m.heartbeatLoop()
}

// heartbeatLoop checks every 100 ms whether a heartbeat is due, and then sends it.
func (m *simMachine) heartbeatLoop() {
	m.whenRunning(func() {
		if !m.inFlight && m.sim.now >= m.nextHeartbeatAt {
			m.sendHeartbeat()
		}
	})
	if !m.gone {
		m.sim.schedule(100*time.Millisecond, m.heartbeatLoop)
	}
}

// checkLease ends all tasks of a machine whose lease has expired and begins a new incarnation of its
// worker.
func (m *simMachine) checkLease() {
	if m.up && !m.gone && m.sim.now-m.renewedAt > m.leaseDuration() {
		m.endAllTasks()
		m.incarnation++
		m.renewedAt = m.sim.now
	}
}

// endAllTasks ends every task on the machine. The recorded end is never later than the lease's end.
func (m *simMachine) endAllTasks() {
	for _, t := range m.tasks {
		m.endRun(t)
	}
	m.tasks, m.taskOrder = map[string]*simTask{}, nil
}

// beginRun records the start of execution of a task that is not part of a gang.
func (m *simMachine) beginRun(t *simTask) {
	t.run = &history.TaskRun{Job: t.job.id, Task: t.id, Machine: m.id, Began: m.sim.now}
	m.sim.taskRuns = append(m.sim.taskRuns, t.run)
}

// endRun records the end of a task's execution, which is never later than the end of the machine's
// lease.
func (m *simMachine) endRun(t *simTask) {
	if t.run != nil && t.run.Ended == 0 {
		t.run.Ended = min(m.sim.now, m.renewedAt+m.leaseDuration())
	}
}

// hang suspends the machine for a duration and runs the deferred calls afterwards.
func (m *simMachine) hang(duration time.Duration) {
	if m.hung || m.gone || !m.up {
		return
	}
	m.hung = true
	m.sim.schedule(duration, func() {
		m.hung = false
		deferred := m.deferred
		m.deferred = nil
		for _, f := range deferred {
			m.whenRunning(f)
		}
	})
}

// restart ends all tasks and restarts the worker at once as a new incarnation without a fencing
// token. One worker in five also loses its incarnation and sequence numbers, which start from 1 again.
func (m *simMachine) restart() {
	if m.gone || !m.up {
		return
	}
	m.endAllTasks()
	m.incarnation++
	if m.sim.chance(0.2) {
		m.incarnation, m.seq = 1, 0
	}
	m.fencingToken, m.renewedAt, m.inFlight, m.nextHeartbeatAt = 0, m.sim.now, false, m.sim.now
}

// terminate ends the machine and returns its capacity to the cloud.
func (m *simMachine) terminate() {
	if !m.gone {
		m.gone = true
		m.endAllTasks()
		m.sim.cloud.available[m.kind]++
	}
}

// buildHeartbeat returns the next heartbeat, with the status of every task.
func (m *simMachine) buildHeartbeat() *wire.Heartbeat {
	m.seq++
	heartbeat := &wire.Heartbeat{Machine: m.id, Address: m.address, Type: m.kind.Class, Zone: m.kind.Zone, Spot: m.kind.Spot, Incarnation: m.incarnation, Seq: m.seq, FencingToken: m.fencingToken, Tasks: []wire.TaskStatus{}}
	if m.recallAt > 0 {
		seconds := (m.recallAt - m.sim.now).Seconds()
		heartbeat.RecallS = &seconds
	}
	for _, id := range m.taskOrder {
		if t := m.tasks[id]; t != nil {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause})
		}
	}
	return heartbeat
}

// scheduleEarlyHeartbeat schedules the next heartbeat for 500 ms after the last one, unless it is due
// earlier.
func (m *simMachine) scheduleEarlyHeartbeat() {
	m.nextHeartbeatAt = min(m.nextHeartbeatAt, m.lastHeartbeatAt+500*time.Millisecond)
}

// observeToken stores a fencing token if it is higher than the stored token. A new token triggers
// an early heartbeat, at most once in half a lease.
func (m *simMachine) observeToken(token uint64) {
	if token <= m.fencingToken {
		return
	}
	m.fencingToken = token
	if m.sim.now >= m.nextTokenHeartbeat {
		m.nextTokenHeartbeat = m.sim.now + m.leaseDuration()/2
		m.scheduleEarlyHeartbeat()
	}
}

// sendHeartbeat sends a heartbeat to a controller and executes the commands in the reply. It follows
// redirects to the owner, and tries the next controller after a failure.
func (m *simMachine) sendHeartbeat() {
	sim := m.sim
	sentAt := sim.now
	m.lastHeartbeatAt = sentAt
	m.inFlight = true
	m.nextHeartbeatAt = sentAt + sim.randomDuration(0.75*sim.cfg.heartbeatS, 1.25*sim.cfg.heartbeatS)
	body := mustEncode(m.buildHeartbeat())
	incarnation := m.incarnation
	node := sim.nodes[m.nodeIndex]
	deliver := func(node *simNode, answer func(int, []byte)) {
		heartbeat := &wire.Heartbeat{}
		if err := wire.Decode(body, heartbeat); err != nil {
			panic(err)
		}
		node.request(func(ref uint64) Input { return HeartbeatRequest{ref, heartbeat} }, answer)
	}
	serve := func(answer func(int, []byte)) {
		if !m.heartbeatsLost {
			deliver(node, answer)
		}
	}
	if sim.chance(sim.replayRate) {
		sim.replays = append(sim.replays, func(node *simNode) { deliver(node, func(int, []byte) {}) })
	}
	if sim.chance(sim.lateCopyRate) { // a copy arrives 1 s to 2.5 leases later
		sim.schedule(sim.randomDuration(1, 2.5*sim.cfg.leaseS), func() { serve(func(int, []byte) {}) })
	}
	sim.call(m.id, node.label, heartbeatTimeout, serve, func(status int, replyBody []byte) {
		m.whenRunning(func() {
			m.inFlight = false
			if sim.now-sentAt > heartbeatTimeout { // the machine hung and reads the reply too late
				status = 0
			}
			switch status {
			case 200:
				var reply wire.HeartbeatReply
				if wire.Decode(replyBody, &reply) != nil || m.incarnation != incarnation || reply.FencingToken < m.fencingToken {
					return
				}
				m.observeToken(reply.FencingToken)
				m.renewedAt = sentAt
				for _, command := range reply.Commands {
					m.execute(command)
				}
			case 421:
				var redirect wire.Redirect
				if wire.Decode(replyBody, &redirect) == nil && redirect.Owner != "" && redirect.Owner != node.label {
					for i, other := range sim.nodes {
						if other.label == redirect.Owner {
							m.nodeIndex = i
							m.nextHeartbeatAt = sim.now
							return
						}
					}
				}
				fallthrough
			default:
				m.nodeIndex = (m.nodeIndex + 1) % len(sim.nodes)
				m.nextHeartbeatAt = sim.now + time.Second
			}
		})
	})
}

// handleOrders executes the commands of a direct order. It rejects an order that has an older
// fencing token or was sent to another incarnation. The answer carries a heartbeat in both cases.
func (m *simMachine) handleOrders(body []byte, answer func(int, []byte)) {
	var orders wire.DirectOrder
	if err := wire.Decode(body, &orders); err != nil {
		panic(err)
	}
	if !m.up || orders.FencingToken < m.fencingToken || orders.Incarnation != m.incarnation {
		answer(409, mustEncode(m.buildHeartbeat()))
		return
	}
	m.observeToken(orders.FencingToken)
	for _, command := range orders.Commands {
		m.execute(command)
	}
	answer(200, mustEncode(m.buildHeartbeat()))
}

// freeResources returns the CPUs and the memory in GB that no task on the machine uses.
func (m *simMachine) freeResources() (cpus, memoryGB float64) {
	for _, machineType := range m.sim.cfg.machineTypes {
		if machineType.Name == m.kind.Class {
			cpus, memoryGB = machineType.CPUs, machineType.MemoryGB
		}
	}
	for _, t := range m.tasks {
		if t.state != wire.TaskEnded {
			cpus -= t.job.cores
			memoryGB -= t.job.spec["ramGb"].(float64)
		}
	}
	return cpus, memoryGB
}

// execute carries out one command of a controller.
func (m *simMachine) execute(command wire.Command) {
	sim := m.sim
	task := m.tasks[command.Task]
	m.scheduleEarlyHeartbeat()
	switch command.Verb {
	case wire.VerbClear:
		if task != nil && task.attempt == command.Attempt && task.state == wire.TaskEnded {
			delete(m.tasks, command.Task)
		}
	case wire.VerbStop:
		if task != nil && task.attempt == command.Attempt && task.state != wire.TaskEnded {
			if g := sim.gangs[gangKey{task.job, task.attempt}]; g != nil {
				g.stopTask(m, task, command.GraceS)
				return
			}
			task.state, task.cause = wire.TaskEnded, wire.CauseHalted
			m.endRun(task)
		}
	case wire.VerbLaunch:
		if task != nil && task.attempt == command.Attempt {
			return
		}
		jobID, index, _ := strings.Cut(command.Task, "/")
		job := sim.jobs[jobID]
		taskIndex, err := strconv.Atoi(index)
		if task != nil && task.state != wire.TaskEnded {
			sim.reportViolation("in_use", "%s launched again on %s", command.Task, m.id)
			return
		}
		newTask := &simTask{id: command.Task, job: job, attempt: command.Attempt, state: wire.TaskFetching}
		if task == nil {
			m.taskOrder = append(m.taskOrder, command.Task)
		}
		if job == nil || err != nil || taskIndex >= job.taskCount {
			sim.reportViolation("no_such", "%s", command.Task)
			return
		}
		cpus, memoryGB := m.freeResources()
		m.tasks[command.Task] = newTask
		if cpus < job.cores || memoryGB < job.spec["ramGb"].(float64) {
			newTask.state, newTask.cause = wire.TaskEnded, wire.CauseNoRoom
			return
		}
		fetchTime := sim.randomDuration(0.1, 2)
		if sim.imagesCached {
			fetchTime = time.Millisecond
		}
		sim.schedule(fetchTime, func() { m.whenRunning(func() { m.beginTask(newTask, job, taskIndex) }) })
	}
}

// beginTask starts a task whose image has been fetched and schedules its end. A task of a gang first
// waits for the other tasks of the gang.
func (m *simMachine) beginTask(task *simTask, job *simJob, taskIndex int) {
	if m.tasks[task.id] != task || task.state != wire.TaskFetching {
		return
	}
	sim := m.sim
	task.startedAt = sim.now
	sim.taskStarts++
	if job.startedAt == 0 {
		job.startedAt = sim.now
	}
	m.scheduleEarlyHeartbeat()
	if job.done[taskIndex] { // the result already exists, so the task exits at once
		task.state, task.cause = wire.TaskEnded, wire.CauseDone
		sim.checkStart(m, task, job)
		return
	}
	if job.gang {
		task.state = wire.TaskGathering
		sim.checkStart(m, task, job)
		sim.joinGang(m, task, job)
		return
	}
	task.state = wire.TaskRunning
	m.beginRun(task)
	sim.checkStart(m, task, job)
	duration := sim.randomDuration(0.5*job.runSeconds, 1.5*job.runSeconds)
	if (m.faulty || job.faulty) && !job.done[taskIndex] {
		duration = 300 * time.Millisecond
	}
	sim.schedule(duration, func() {
		m.whenRunning(func() {
			if m.tasks[task.id] != task || task.state != wire.TaskRunning {
				return
			}
			task.state = wire.TaskEnded
			m.endRun(task)
			if (m.faulty || job.faulty) && !job.done[taskIndex] {
				task.cause = wire.CauseError
			} else {
				task.cause = wire.CauseDone
				if !job.done[taskIndex] {
					job.done[taskIndex] = true
					job.doneCount++
					job.completedAt = sim.now
					if job.doneCount == job.taskCount && sim.chance(sim.cancelAtEndRate) {
						sim.cancel(job)
					}
				}
			}
			m.scheduleEarlyHeartbeat()
		})
	})
}
