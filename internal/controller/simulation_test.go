package controller

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/fleet"
	"umberpaddle/internal/history"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// simulation runs real cores in a simulated deployment with a state service, a cloud,
// workers and users. The links between them lose, delay and repeat messages. It checks
// the rules of the protocol at every event.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	eventQueue   eventHeap
	lastEventSeq int

	cfg             simConfig
	nodes           []*simNode
	store           *simStore
	cloud           *simCloud
	machines        map[string]*simMachine
	createdMachines []*simMachine // machines in the order of creation, which is also the order of their IDs
	jobs            map[string]*simJob
	gangs           map[gangKey]*simGang
	violations      []string        // descriptions of violated rules
	toldCancelled   map[string]bool // jobs of which a controller sent any user the answer that they are cancelled
	// allowLateLaunches disables the rule start_after_cancel. The first violation ends a simulation, so a
	// simulation with a disabled guard that must break another rule would end before that.
	allowLateLaunches bool
	taskStarts        int
	taskRuns          []*history.TaskRun // executions of the tasks that belong to no gang, for checks outside the simulation

	maxDelayS       float64            // longest delay in seconds of a message that delayedMessageRate does not delay; less than 0.005 means 0.005
	lateCopyRate    float64            // fraction of heartbeats that are delivered again, 1 s to 2.5 leases later
	replayRate      float64            // fraction of heartbeats that are recorded for replay when the next owner begins
	replays         []func(n *simNode) // functions that deliver a recorded heartbeat to a node
	newestTerm      uint64             // highest term of a machine class under which any core has acted
	staleReads      bool               // injected fault: nodes answer status queries from memory
	shareAnswers    bool               // injected fault: a repeated submission gets the answer of the identical submission in progress
	queryAllNodes   bool               // after each new state of a job that is reported to a user, users query all nodes
	cancelAtEndRate float64            // fraction of jobs that are cancelled when their last task ends
	// filterPeerMessage, if set, is called twice for each message to a peer: when the message is
	// sent, with a nil answer, and when the call ends, with the answer. It may change the message
	// or the answer. If the first call returns false, the message is lost. If the second call
	// returns false, the answer is replaced by an empty answer.
	filterPeerMessage  func(from *simNode, m *PeerMessage, a *PeerAnswer) bool
	faultsEndedAt      time.Duration          // time at which the last fault ended; 0: faults may still occur
	imagesCached       bool                   // machines have every image, so that tasks start 1 ms after their launch
	lateOrderRate      float64                // fraction of direct orders that arrive up to four leases late and get no answer
	repeatedOrderRate  float64                // fraction of direct orders that are delivered a second time, up to three leases later
	delayedMessageRate float64                // fraction of messages that are delayed by 0.5 s to 12 s
	lossRate           float64                // fraction of messages that are lost
	cutLinks           map[[2]string]bool     // cut links, from sender to receiver; their messages are held back
	heldMessages       map[[2]string][]func() // deliveries held back by each link until it is restored
	trace              func(string, ...any)   // receives the injected faults and the log lines of the cores
	// addressOf, if set, returns the address of a new machine for direct orders over real sockets.
	addressOf func(m *simMachine) string
	// injectFault, if set, runs before each step and injects a fault into the core or disables a
	// guard of the core. The rule checks must detect the consequences.
	injectFault func(*Core)
	// observe, if set, receives the outputs of each step.
	observe func(n *simNode, out []Output)
}

// simConfig describes a simulated deployment.
type simConfig struct {
	nodeCount                   int
	teams                       []config.Team
	machineTypes                []wire.MachineType
	capacity                    map[fleet.Kind]int  // the most machines of each kind that the simulated cloud rents out
	leaseS, heartbeatS, cancelS float64             // worker lease, heartbeat interval and cancellation deadline in seconds
	gangWaitS, gangPeerS        float64             // gang wait time and gang peer time in seconds; if gangPeerS is 0, 30 and 8 are used
	nextStateLimits             *config.StateLimits // upcoming limits of the state service; nil: none
	txnOps                      int                 // most writes in one transaction of the state service
	valueKB                     float64             // largest value in the state service, KiB
	writeRPS                    float64             // writes per second that the state service allows
	stateRPS, cloudRPS          float64             // requests per second; if stateRPS is 0, 150 and 3 are used
	monitorLinks                bool                // controllers monitor their links
	operatorFile                string              // operator settings of real processes; empty: none
	transport                   http.RoundTripper   // carries requests to real processes; nil: the default of net/http
}

// scheduledEvent runs a function at a simulated time. Events of the same time run in the order
// of seq.
type scheduledEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []scheduledEvent

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(scheduledEvent)) }

func (e *eventHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// newSimulation returns a simulation with all nodes of a deployment started. The seed determines
// every random draw.
func newSimulation(seed uint64, cfg simConfig) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, machines: map[string]*simMachine{}, jobs: map[string]*simJob{}, gangs: map[gangKey]*simGang{}, toldCancelled: map[string]bool{},
		cutLinks: map[[2]string]bool{}, heldMessages: map[[2]string][]func(){}, trace: func(string, ...any) {}}
	if sim.cfg.gangPeerS == 0 {
		sim.cfg.gangWaitS, sim.cfg.gangPeerS = 30, 8
	}
	sim.store = &simStore{sim: sim, records: map[string]*simRecord{}, leases: map[uint64]*simLease{}, refusedNodes: map[int]bool{}}
	sim.cloud = &simCloud{sim: sim, rentals: map[string][]string{}, available: map[fleet.Kind]int{}}
	for k, n := range cfg.capacity {
		sim.cloud.available[k] = n
	}
	for i := 0; i < cfg.nodeCount; i++ {
		sim.nodes = append(sim.nodes, &simNode{sim: sim, index: i, label: fmt.Sprintf("node-%d", i)})
	}
	for _, n := range sim.nodes {
		n.boot()
	}
	sim.audit()
	return sim
}

// schedule runs f after a delay.
func (sim *simulation) schedule(delay time.Duration, f func()) {
	sim.lastEventSeq++
	heap.Push(&sim.eventQueue, scheduledEvent{sim.now + delay, sim.lastEventSeq, f})
}

// run processes events up to a time, or until a rule is violated.
func (sim *simulation) run(until time.Duration) {
	for len(sim.eventQueue) > 0 && sim.eventQueue[0].at <= until && len(sim.violations) == 0 {
		event := heap.Pop(&sim.eventQueue).(scheduledEvent)
		sim.now = event.at
		event.action()
	}
	sim.now = until
}

// runUntil runs the simulation in steps until holds returns true after a step, for at most limit. It
// returns the simulated time that this took, or 0 if holds never returned true.
func (sim *simulation) runUntil(step, limit time.Duration, holds func() bool) time.Duration {
	for start := sim.now; sim.now < start+limit; {
		sim.run(sim.now + step)
		if holds() {
			return sim.now - start
		}
	}
	return 0
}

// reportViolation records a violation of a rule, which stops the simulation.
func (sim *simulation) reportViolation(rule, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s at %.1f s: %s", rule, sim.now.Seconds(), fmt.Sprintf(format, args...)))
}

// randomDuration returns a random duration between two numbers of seconds.
func (sim *simulation) randomDuration(low, high float64) time.Duration {
	return time.Duration((low + (high-low)*sim.rng.Float64()) * float64(time.Second))
}

// chance draws whether an event of the given probability happens.
func (sim *simulation) chance(probability float64) bool { return sim.rng.Float64() < probability }

// transmit sends a message over a link, which delays it and may hold it back or lose it. deliver
// runs when the message arrives.
func (sim *simulation) transmit(from, to string, deliver func()) {
	if sim.chance(sim.lossRate) {
		return
	}
	delay := sim.randomDuration(0.0005, max(0.005, sim.maxDelayS))
	if sim.chance(sim.delayedMessageRate) {
		delay = sim.randomDuration(0.5, 12)
	}
	sim.schedule(delay, func() {
		link := [2]string{from, to}
		if sim.cutLinks[link] {
			sim.heldMessages[link] = append(sim.heldMessages[link], deliver)
			return
		}
		deliver()
	})
}

// setLinkCut cuts or restores the link between two parties in both directions.
func (sim *simulation) setLinkCut(a, b string, cut bool) {
	sim.setOneWayCut(a, b, cut)
	sim.setOneWayCut(b, a, cut)
}

// setOneWayCut cuts or restores a link in one direction. Messages that reach the end of a cut link
// are held back and delivered when the link is restored.
func (sim *simulation) setOneWayCut(from, to string, cut bool) {
	link := [2]string{from, to}
	sim.cutLinks[link] = cut
	if !cut {
		for _, deliver := range sim.heldMessages[link] {
			deliver()
		}
		delete(sim.heldMessages, link)
	}
}

// setInboundCut cuts or restores the links from all controllers to a machine. While the links are
// cut, the machine's heartbeats arrive, but the machine receives neither replies nor direct orders.
func (sim *simulation) setInboundCut(machine string, cut bool) {
	for _, n := range sim.nodes {
		sim.setOneWayCut(n.label, machine, cut)
	}
}

// setIsolated cuts or restores the links of a node to the state service and to its peers. The links
// to its workers stay as they are.
func (sim *simulation) setIsolated(node *simNode, isolated bool) {
	sim.setLinkCut(node.label, "state", isolated)
	for _, peer := range sim.nodes {
		if peer != node {
			sim.setLinkCut(node.label, peer.label, isolated)
		}
	}
}

// call makes a request: serve runs when the request arrives. done is called once, with status 0 if
// no answer arrives before the timeout.
func (sim *simulation) call(from, to string, timeout time.Duration, serve func(answer func(int, []byte)), done func(int, []byte)) {
	finished := false
	finish := func(status int, body []byte) {
		if !finished {
			finished = true
			done(status, body)
		}
	}
	sim.schedule(timeout, func() { finish(0, nil) })
	sim.transmit(from, to, func() {
		serve(func(status int, body []byte) {
			sim.transmit(to, from, func() { finish(status, body) })
		})
	})
}

// mustEncode returns v in the wire format and panics if it cannot be encoded.
func mustEncode(v any) []byte {
	encoded, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// simNode is a controller: a core in a process that can crash and be paused.
type simNode struct {
	sim          *simulation
	index        int
	label        string
	core         *Core // nil while the process is down
	incarnation  int   // incremented when the process starts and when it ends
	startedAt    time.Duration
	clockDrift   float64 // fraction by which the monotonic clock runs fast
	steps        int
	openRequests map[uint64]func(int, []byte) // functions that answer open requests, by Ref
	lastRef      uint64                       // Ref of the latest request
	// openSubmissions holds the functions that answer open submissions, by the body of the
	// submission. It is used only if shareAnswers is set.
	openSubmissions map[string][]func(int, []byte)
	pausedUntil     time.Duration // end of the current pause; 0: not paused
	holdNextOutputs bool          // the next input is still processed, but its outputs are held until the pause ends
	deferred        []func()      // held outputs and inputs, processed in this order when the pause ends
	// remote, if set, sends requests to a real process over a socket instead of to the core.
	remote func(in Input, answer func(int, []byte))
	// lacksGangSupport makes the node behave like the last version without gangs, and read and
	// write the records of that version.
	lacksGangSupport bool
}

// clock returns the clock readings of the node. The wall clocks of nodes with successive indexes
// differ by 0.1 s.
func (n *simNode) clock() Now {
	elapsed := n.sim.now - n.startedAt
	return Now{Steady: time.Duration(float64(elapsed) * (1 + n.clockDrift)), Unix: 1e9 + n.sim.now.Seconds() + 0.1*float64(n.index-1)}
}

// boot starts the process with a new core.
func (n *simNode) boot() {
	n.incarnation++
	n.startedAt = n.sim.now
	n.clockDrift = 0.0005 * n.sim.rng.Float64()
	n.openRequests = map[uint64]func(int, []byte){}
	n.openSubmissions = map[string][]func(int, []byte){}
	settings := &config.Settings{Label: n.label}
	for i := 0; i < n.sim.cfg.nodeCount; i++ {
		if i != n.index {
			settings.Others = append(settings.Others, config.Peer{Label: fmt.Sprintf("node-%d", i)})
		}
	}
	cluster := &settings.Cluster
	// The teams are copied, so that an injected fault that changes them does not change the limits
	// that the checks use.
	cluster.Teams = append([]config.Team(nil), n.sim.cfg.teams...)
	cluster.Workers.HeartbeatS, cluster.Workers.LeaseS, cluster.Workers.CancelS = n.sim.cfg.heartbeatS, n.sim.cfg.leaseS, n.sim.cfg.cancelS
	cluster.Workers.GangWaitS, cluster.Workers.GangPeerS = n.sim.cfg.gangWaitS, n.sim.cfg.gangPeerS
	cluster.State.Next = n.sim.cfg.nextStateLimits
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 150, n.sim.cfg.writeRPS, n.sim.cfg.txnOps, n.sim.cfg.valueKB
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 3, 4
	if n.sim.cfg.stateRPS > 0 {
		cluster.State.RPS, cluster.Cloud.RPS = n.sim.cfg.stateRPS, n.sim.cfg.cloudRPS
	}
	n.core = NewCore(settings, &config.OperatorSettings{Reachability: config.Reachability{Enabled: n.sim.cfg.monitorLinks}}, n.clock(), n.sim.rng.Uint64()>>1|1)
	if n.lacksGangSupport {
		n.core.ownership.SupportedFormat = 0
	}
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation == incarnation && n.core != nil {
			n.step(Tick{})
			n.sim.schedule(limits.TickInterval, tick)
		}
	}
	tick()
}

// crash ends the process. A new process starts after downtime.
func (n *simNode) crash(downtime time.Duration) {
	if n.core == nil {
		return
	}
	n.sim.trace("crash %s for %v", n.label, downtime)
	n.core = nil
	n.incarnation++
	n.pausedUntil, n.holdNextOutputs, n.deferred = 0, false, nil
	n.sim.schedule(downtime, n.boot)
}

// pause suspends the process while its clocks keep running. The core still processes the next
// input, but the outputs of that step are sent only after the pause.
func (n *simNode) pause(duration time.Duration) {
	if n.core == nil || n.pausedUntil > n.sim.now {
		return
	}
	n.sim.trace("%s is paused for %v", n.label, duration)
	n.pausedUntil, n.holdNextOutputs = n.sim.now+duration, true
	incarnation := n.incarnation
	n.sim.schedule(duration, func() {
		deferred := n.deferred
		n.deferred = nil
		if n.incarnation != incarnation {
			return
		}
		n.pausedUntil = 0
		for _, f := range deferred {
			if n.incarnation == incarnation && n.core != nil {
				f()
			}
		}
	})
}

// request passes a request from another process to the core. answer receives the response. A node
// that is down does not answer.
func (n *simNode) request(newInput func(ref uint64) Input, answer func(int, []byte)) {
	if n.remote != nil {
		n.remote(newInput(0), answer)
		return
	}
	if n.core == nil {
		return
	}
	n.lastRef++
	input := newInput(n.lastRef)
	if submission, ok := input.(Submit); ok && n.sim.shareAnswers {
		n.shareSubmission(submission, answer)
		return
	}
	n.openRequests[n.lastRef] = answer
	n.step(input)
}

// shareSubmission gives a submission the answer of the identical submission in progress. If there
// is none, it passes the submission to the core.
func (n *simNode) shareSubmission(submission Submit, answer func(int, []byte)) {
	key := string(submission.Body)
	n.openSubmissions[key] = append(n.openSubmissions[key], answer)
	if len(n.openSubmissions[key]) > 1 {
		return
	}
	n.openRequests[submission.Ref] = func(status int, body []byte) {
		waiting := n.openSubmissions[key]
		delete(n.openSubmissions, key)
		for _, reply := range waiting {
			reply(status, body)
		}
	}
	n.step(submission)
}

// step passes an input to the core and carries out the outputs. While the process is paused, step
// defers the outputs of the first input and all later inputs, and drops inputs beyond twice the
// size of a server's inbox.
func (n *simNode) step(input Input) {
	if n.core == nil {
		return
	}
	if n.pausedUntil > n.sim.now && !n.holdNextOutputs {
		if len(n.deferred) < 2*limits.InboxSize {
			n.deferred = append(n.deferred, func() { n.step(input) })
		}
		return
	}
	if n.sim.injectFault != nil {
		n.sim.injectFault(n.core)
	}
	defer func() {
		if n.steps++; n.steps%25 == 0 && n.core != nil {
			if err := n.core.checkUsageTotals(); err != nil {
				n.sim.reportViolation("sums", "%s: %v", n.label, err)
			}
		}
	}()
	if query, ok := input.(Query); ok && n.sim.staleReads {
		n.perform([]Output{n.answerFromMemory(query)})
		return
	}
	out := n.core.Step(n.clock(), input)
	if n.core.jobs.WithheldAnswers > 0 {
		n.sim.reportViolation("withheld", "%s had an answer older than its request", n.label)
	}
	if n.core.renewalCounts.Violations > 0 {
		n.sim.reportViolation("renewal", "%s would have left a cancelled task running", n.label)
	}
	for _, term := range n.core.activeTerms {
		if term > n.sim.newestTerm {
			n.sim.newestTerm = term
			n.sim.deliverReplays()
		}
	}
	if n.holdNextOutputs {
		n.holdNextOutputs = false
		n.deferred = append([]func(){func() { n.perform(out) }}, n.deferred...)
		return
	}
	n.perform(out)
}

// answerFromMemory answers a status query from the records in memory, without a read of the
// state service.
func (n *simNode) answerFromMemory(query Query) Answer {
	job := n.core.jobs.OpenJobs[query.ID]
	switch {
	case job == nil:
		return Answer{Ref: query.Ref, Status: 404}
	case job.Cancelled:
		return Answer{Ref: query.Ref, Status: 200, Body: wire.JobStatus{ID: query.ID, Status: wire.StatusCancelled}}
	}
	return Answer{Ref: query.Ref, Status: 200, Body: wire.JobStatus{ID: query.ID, Status: wire.StatusRunning}}
}

// perform carries out the outputs of a step.
func (n *simNode) perform(out []Output) {
	if n.sim.observe != nil {
		n.sim.observe(n, out)
	}
	for _, o := range out {
		switch output := o.(type) {
		case Answer:
			n.sendAnswer(output)
		case Log:
			if output.Level != slog.LevelDebug {
				n.sim.trace("%s %s %v", n.label, output.Msg, output.Args)
			}
		case StoreCall:
			n.callStore(output)
		case CloudCall:
			n.callCloud(output)
		case DirectCall:
			n.callWorker(output)
		case PeerCall:
			n.callPeer(output)
		default:
			panic(fmt.Sprintf("unknown output %T", o))
		}
	}
}

// stepIfAlive returns a function that passes an input to the core. The function does nothing once
// the current process has ended.
func (n *simNode) stepIfAlive() func(in Input) {
	incarnation := n.incarnation
	return func(in Input) {
		if n.incarnation == incarnation && n.core != nil {
			n.step(in)
		}
	}
}

func (n *simNode) sendAnswer(response Answer) {
	reply := n.openRequests[response.Ref]
	if reply == nil {
		return
	}
	delete(n.openRequests, response.Ref)
	if response.Until > 0 && n.clock().Steady >= response.Until {
		response.Status, response.Body = 503, nil
	}
	switch body := response.Body.(type) {
	case wire.JobStatus:
		if body.Status == wire.StatusCancelled {
			n.sim.toldCancelled[body.ID] = true
		}
	case wire.HeartbeatReply:
		n.checkLaunches(body.Commands)
	}
	var body []byte
	if response.Body != nil {
		body = mustEncode(response.Body)
	}
	reply(response.Status, body)
}

// checkLaunches checks commands that the node sends to a worker: none may start a task of a job of which
// any node has sent a user the answer that it is cancelled.
func (n *simNode) checkLaunches(commands []wire.Command) {
	for _, command := range commands {
		jobID, _ := jobs.SplitTaskID(command.Task)
		if command.Verb == wire.VerbLaunch && n.sim.toldCancelled[jobID] && !n.sim.allowLateLaunches {
			n.sim.reportViolation("start_after_cancel", "%s launches %s although a user was told that the job is cancelled", n.label, command.Task)
		}
	}
}

func (n *simNode) callStore(call StoreCall) {
	body, step := mustEncode(call.Body), n.stepIfAlive()
	n.sim.call(n.label, "state", call.Timeout, func(answer func(int, []byte)) {
		n.sim.schedule(n.sim.randomDuration(0, n.sim.store.maxDelayS), func() { n.sim.store.serveWithDelay(n.index, call.Method, call.Path, body, answer) })
	}, func(status int, reply []byte) { step(StoreReply{call.ID, status, reply}) })
}

func (n *simNode) callCloud(call CloudCall) {
	body, step := mustEncode(call.Body), n.stepIfAlive()
	n.sim.call(n.label, "cloud", call.Timeout, func(answer func(int, []byte)) {
		answer(n.sim.cloud.serve(call.Method, call.Path, body))
	}, func(status int, reply []byte) { step(CloudReply{call.ID, status, reply}) })
}

// callWorker sends a direct order to a worker. The order may arrive late, twice or never.
func (n *simNode) callWorker(call DirectCall) {
	sim, body, step := n.sim, mustEncode(call.Body), n.stepIfAlive()
	if call.Body.FencingToken == 0 {
		sim.reportViolation("token", "%s sends a direct order to %s without a fencing token: %+v", n.label, call.Address, call.Body.Commands)
	}
	machine := sim.machines[call.Address]
	if late := n.clock().Steady >= call.Until; late || machine == nil || machine.gone && sim.chance(0.5) {
		sim.schedule(time.Millisecond, func() { step(DirectReply{ID: call.ID, Unsent: true}) })
		return
	}
	n.checkLaunches(call.Body.Commands)
	serve := func(answer func(int, []byte)) { machine.whenRunning(func() { machine.handleOrders(body, answer) }) }
	serveUnanswered := func() { serve(func(int, []byte) {}) }
	if sim.chance(sim.lateOrderRate) { // the order is delayed and the call gets no answer
		sim.schedule(sim.randomDuration(0, 4*sim.cfg.leaseS), serveUnanswered)
		sim.schedule(limits.DirectOrderTimeout, func() { step(DirectReply{ID: call.ID}) })
		return
	}
	sim.call(n.label, machine.id, limits.DirectOrderTimeout, serve, func(status int, reply []byte) {
		step(DirectReply{ID: call.ID, Status: status, Body: reply})
	})
	if sim.chance(sim.repeatedOrderRate) { // the same order is delivered a second time
		sim.schedule(sim.randomDuration(0, 3*sim.cfg.leaseS), serveUnanswered)
	}
}

// callPeer sends a message to another controller.
func (n *simNode) callPeer(call PeerCall) {
	sim, step := n.sim, n.stepIfAlive()
	if sim.filterPeerMessage != nil && !sim.filterPeerMessage(n, &call.Msg, nil) {
		return
	}
	i := slices.IndexFunc(sim.nodes, func(p *simNode) bool { return p.label == call.Peer })
	if i < 0 {
		return
	}
	peer := sim.nodes[i]
	sim.call(n.label, peer.label, limits.PeerTimeout, func(answer func(int, []byte)) {
		peer.request(func(ref uint64) Input { return PeerRequest{ref, call.Msg} }, answer)
	}, func(status int, body []byte) {
		var answer PeerAnswer
		if status == 200 && wire.Decode(body, &answer) != nil {
			answer = PeerAnswer{}
		}
		if sim.filterPeerMessage != nil && !sim.filterPeerMessage(n, &call.Msg, &answer) {
			answer = PeerAnswer{}
		}
		step(PeerReply{Call: call, Answer: answer, Unanswered: status != 200})
	})
}
