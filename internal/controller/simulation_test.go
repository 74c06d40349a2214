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
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// simulation is a simulated deployment of stand-ins around real cores: a state
// service, a cloud, workers and users, with messages that are lost, late or
// repeated. It checks the rules of the protocol at every event.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	queue events
	seq   int

	cfg      simConfig
	nodes    []*simNode
	store    *simStore
	cloud    *simCloud
	machines map[string]*simMachine
	created  []*simMachine // the machines in the order of their names
	jobs     map[string]*simJob
	gangs    map[gangKey]*simGang
	broken   []string // rules broken
	starts   int
	runs     []*history.TaskRun // what the tasks of arrays did, for a judgement from outside

	lag     float64 // most seconds that an ordinary message takes
	copies  float64 // part of reports of which a copy comes late
	keep    float64 // part of reports of which a copy is kept for the next owner
	kept    []func(n *simNode)
	newest  uint64                                                  // the highest term that anybody acted on
	memory  bool                                                    // nodes answer questions from what they remember, which is wrong
	sharing bool                                                    // nodes let a repeated submission share the answer of the one before, which is wrong
	looks   bool                                                    // users look at all nodes after each thing they were told
	atEnd   float64                                                 // part of jobs that are called off as their last task ends
	gossip  func(from *simNode, m *PeerMessage, a *PeerAnswer) bool // may change or drop what peers say
	calm    time.Duration                                           // when all troubles are over; 0: not yet known
	cached  bool                                                    // machines have every image
	stray   float64                                                 // part of orders that come seconds to leases late
	repeats float64                                                 // part of orders that come twice
	slow    float64                                                 // part of messages that take long
	lost    float64                                                 // part of messages that are lost
	cut     map[[2]string]bool                                      // links that hold packets back
	held    map[[2]string][]func()
	trace   func(string, ...any)
	// addressOf gives a new machine an address of its own, for direct orders over real sockets.
	addressOf func(m *simMachine) string
	sabotage  func(*Core) // breaks a core on purpose, to see the rules catch it
	// observe, if set, sees what each step returned.
	observe func(n *simNode, out []Output)
}

type simConfig struct {
	nodes                 int
	teams                 []config.Team
	types                 []wire.MachineType
	capacity              map[fleet.Kind]int
	lease, report, cancel float64
	gangWait, gangPeer    float64 // 0: 30 and 8
	next                  *config.StateLimits
	txnOps                int
	valueKB               float64
	writeRPS              float64
	rps, cloudRPS         float64           // 0: 150 and 3
	links                 bool              // controllers keep a view of their links
	operatorFile          string            // operators' settings of real processes; empty: none
	transport             http.RoundTripper // carries requests to real processes; nil: Go's default
}

type ev struct {
	at  time.Duration
	seq int
	f   func()
}

type events []ev

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(ev)) }

func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newSimulation(seed uint64, cfg simConfig) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, machines: map[string]*simMachine{}, jobs: map[string]*simJob{}, gangs: map[gangKey]*simGang{},
		cut: map[[2]string]bool{}, held: map[[2]string][]func(){}, trace: func(string, ...any) {}}
	if w.cfg.gangPeer == 0 {
		w.cfg.gangWait, w.cfg.gangPeer = 30, 8
	}
	w.store = &simStore{w: w, keys: map[string]*simKey{}, leases: map[uint64]*simLease{}, refuse: map[int]bool{}}
	w.cloud = &simCloud{w: w, hires: map[string][]string{}, left: map[fleet.Kind]int{}}
	for k, n := range cfg.capacity {
		w.cloud.left[k] = n
	}
	for i := 0; i < cfg.nodes; i++ {
		w.nodes = append(w.nodes, &simNode{w: w, idx: i, label: fmt.Sprintf("node-%d", i)})
	}
	for _, n := range w.nodes {
		n.boot()
	}
	w.audit()
	return w
}

func (w *simulation) schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, ev{w.now + d, w.seq, f})
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.broken) == 0 {
		e := heap.Pop(&w.queue).(ev)
		w.now = e.at
		e.f()
	}
	w.now = until
}

// runUntil runs until a condition holds, looking at each step, for so long at the most, and tells
// how long that took; 0: it never held.
func (w *simulation) runUntil(step, most time.Duration, holds func() bool) time.Duration {
	for from := w.now; w.now < from+most; {
		w.run(w.now + step)
		if holds() {
			return w.now - from
		}
	}
	return 0
}

func (w *simulation) reportBroken(rule, format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s at %.1f s: %s", rule, w.now.Seconds(), fmt.Sprintf(format, args...)))
}

func (w *simulation) between(a, b float64) time.Duration {
	return time.Duration((a + (b-a)*w.rng.Float64()) * float64(time.Second))
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// carry delivers a message over a link: soon, late, or never.
func (w *simulation) carry(from, to string, f func()) {
	if w.chance(w.lost) {
		return
	}
	d := w.between(0.0005, max(0.005, w.lag))
	if w.chance(w.slow) {
		d = w.between(0.5, 12)
	}
	w.schedule(d, func() {
		link := [2]string{from, to}
		if w.cut[link] {
			w.held[link] = append(w.held[link], f)
			return
		}
		f()
	})
}

func (w *simulation) setCut(a, b string, on bool) {
	w.setOneWay(a, b, on)
	w.setOneWay(b, a, on)
}

func (w *simulation) setOneWay(from, to string, on bool) {
	l := [2]string{from, to}
	w.cut[l] = on
	if !on {
		for _, f := range w.held[l] {
			f()
		}
		delete(w.held, l)
	}
}

// deafen keeps answers and orders from a machine whose reports arrive.
func (w *simulation) deafen(id string, on bool) {
	for _, n := range w.nodes {
		w.setOneWay(n.label, id, on)
	}
}

// isolate takes the state service and the peers from a node, but not its workers.
func (w *simulation) isolate(n *simNode, on bool) {
	w.setCut(n.label, "state", on)
	for _, p := range w.nodes {
		if p != n {
			w.setCut(n.label, p.label, on)
		}
	}
}

// call makes a request with a time limit: done gets status 0 without an answer.
func (w *simulation) call(from, to string, timeout time.Duration, serve func(answer func(int, []byte)), done func(int, []byte)) {
	over := false
	finish := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	w.schedule(timeout, func() { finish(0, nil) })
	w.carry(from, to, func() {
		serve(func(status int, body []byte) {
			w.carry(to, from, func() { finish(status, body) })
		})
	})
}

func pack(v any) []byte {
	b, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	return b
}

type simNode struct {
	w     *simulation
	idx   int
	label string
	core  *Core
	life  int
	start time.Duration
	drift float64
	steps int
	refs  map[uint64]func(int, []byte)
	ref   uint64
	// submissions are those under way, by their bodies, if answers are shared.
	submissions map[string][]func(int, []byte)
	// A standstill: until when, whether the outputs of one step more leave only
	// after it, and what came meanwhile.
	frozen time.Duration
	caught bool
	queued []func()
	// remote, if set, stands for a real process at the other end of a socket.
	remote func(in Input, answer func(int, []byte))
	// old: it behaves like the version before gangs, whose records it takes and writes.
	old bool
}

func (n *simNode) clock() Now {
	d := n.w.now - n.start
	return Now{Steady: time.Duration(float64(d) * (1 + n.drift)), Unix: 1e9 + n.w.now.Seconds() + 0.1*float64(n.idx-1)}
}

func (n *simNode) boot() {
	n.life++
	n.start = n.w.now
	n.drift = 0.0005 * n.w.rng.Float64()
	n.refs = map[uint64]func(int, []byte){}
	n.submissions = map[string][]func(int, []byte){}
	set := &config.Settings{Label: n.label}
	for i := 0; i < n.w.cfg.nodes; i++ {
		if i != n.idx {
			set.Others = append(set.Others, config.Peer{Label: fmt.Sprintf("node-%d", i)})
		}
	}
	cl := &set.Cluster
	cl.Teams = append([]config.Team(nil), n.w.cfg.teams...) // a sabotaged core must not change the checker's
	cl.Workers.ReportS, cl.Workers.LeaseS, cl.Workers.CancelS = n.w.cfg.report, n.w.cfg.lease, n.w.cfg.cancel
	cl.Workers.GangWaitS, cl.Workers.GangPeerS = n.w.cfg.gangWait, n.w.cfg.gangPeer
	cl.State.Next = n.w.cfg.next
	cl.State.RPS, cl.State.WriteRPS, cl.State.TxnOps, cl.State.ValueKB = 150, n.w.cfg.writeRPS, n.w.cfg.txnOps, n.w.cfg.valueKB
	cl.Cloud.RPS, cl.Cloud.ListLagS = 3, 4
	if n.w.cfg.rps > 0 {
		cl.State.RPS, cl.Cloud.RPS = n.w.cfg.rps, n.w.cfg.cloudRPS
	}
	n.core = NewCore(set, &config.OperatorSettings{Reachability: config.Reachability{Enabled: n.w.cfg.links}}, n.clock(), n.w.rng.Uint64()>>1|1)
	if n.old {
		n.core.ownership.SupportedFormat = 0
	}
	life := n.life
	var tick func()
	tick = func() {
		if n.life == life && n.core != nil {
			n.step(Tick{})
			n.w.schedule(limits.TickInterval, tick)
		}
	}
	tick()
}

func (n *simNode) crash(back time.Duration) {
	if n.core == nil {
		return
	}
	n.w.trace("crash %s for %v", n.label, back)
	n.core = nil
	n.life++
	n.frozen, n.caught, n.queued = 0, false, nil
	n.w.schedule(back, n.boot)
}

// freeze lets the process stand still while its clocks run on. With the next input
// it works out what to do, but what it sends leaves only after the standstill.
func (n *simNode) freeze(d time.Duration) {
	if n.core == nil || n.frozen > n.w.now {
		return
	}
	n.w.trace("%s stands still for %v", n.label, d)
	n.frozen, n.caught = n.w.now+d, true
	life := n.life
	n.w.schedule(d, func() {
		queued := n.queued
		n.queued = nil
		if n.life != life {
			return
		}
		n.frozen = 0
		for _, f := range queued {
			if n.life == life && n.core != nil {
				f()
			}
		}
	})
}

// ask is a request from outside.
func (n *simNode) ask(newInput func(ref uint64) Input, answer func(int, []byte)) {
	if n.remote != nil {
		n.remote(newInput(0), answer)
		return
	}
	if n.core == nil {
		return
	}
	n.ref++
	in := newInput(n.ref)
	if x, ok := in.(Submit); ok && n.w.sharing {
		n.share(x, answer)
		return
	}
	n.refs[n.ref] = answer
	n.step(in)
}

// share answers a submission together with those of the same job that are under way.
func (n *simNode) share(x Submit, answer func(int, []byte)) {
	id := string(x.Body)
	n.submissions[id] = append(n.submissions[id], answer)
	if len(n.submissions[id]) > 1 {
		return
	}
	n.refs[x.Ref] = func(status int, body []byte) {
		waiting := n.submissions[id]
		delete(n.submissions, id)
		for _, f := range waiting {
			f(status, body)
		}
	}
	n.step(x)
}

func (n *simNode) step(in Input) {
	if n.core == nil {
		return
	}
	if n.frozen > n.w.now && !n.caught {
		if len(n.queued) < 2*limits.InboxSize {
			n.queued = append(n.queued, func() { n.step(in) })
		}
		return
	}
	if n.w.sabotage != nil {
		n.w.sabotage(n.core)
	}
	defer func() {
		if n.steps++; n.steps%25 == 0 && n.core != nil {
			if err := n.core.checkSums(); err != nil {
				n.w.reportBroken("sums", "%s: %v", n.label, err)
			}
		}
	}()
	if q, ok := in.(Query); ok && n.w.memory {
		n.send([]Output{n.fromMemory(q)})
		return
	}
	out := n.core.Step(n.clock(), in)
	if n.core.jobs.WithheldAnswers > 0 {
		n.w.reportBroken("withheld", "%s had an answer older than its request", n.label)
	}
	if n.core.renewals.Violations > 0 {
		n.w.reportBroken("renewal", "%s would have left a cancelled task running", n.label)
	}
	for _, term := range n.core.activeTerms {
		if term > n.w.newest {
			n.w.newest = term
			n.w.deliverKept()
		}
	}
	if n.caught {
		n.caught = false
		n.queued = append([]func(){func() { n.send(out) }}, n.queued...)
		return
	}
	n.send(out)
}

// fromMemory answers a question without asking the state service.
func (n *simNode) fromMemory(q Query) Answer {
	j := n.core.jobs.Open[q.ID]
	switch {
	case j == nil:
		return Answer{Ref: q.Ref, Status: 404}
	case j.Cancelled:
		return Answer{Ref: q.Ref, Status: 200, Body: wire.JobStatus{ID: q.ID, Status: wire.StatusCancelled}}
	}
	return Answer{Ref: q.Ref, Status: 200, Body: wire.JobStatus{ID: q.ID, Status: wire.StatusRunning}}
}

// send carries out what a step returned.
func (n *simNode) send(out []Output) {
	if n.w.observe != nil {
		n.w.observe(n, out)
	}
	for _, o := range out {
		switch x := o.(type) {
		case Answer:
			n.sendAnswer(x)
		case Log:
			if x.Level != slog.LevelDebug {
				n.w.trace("%s %s %v", n.label, x.Msg, x.Args)
			}
		case StoreCall:
			n.callStore(x)
		case CloudCall:
			n.callCloud(x)
		case DirectCall:
			n.callWorker(x)
		case PeerCall:
			n.callPeer(x)
		default:
			panic(fmt.Sprintf("unknown output %T", o))
		}
	}
}

// later makes a function that steps the core, unless its process has ended meanwhile.
func (n *simNode) later() func(in Input) {
	life := n.life
	return func(in Input) {
		if n.life == life && n.core != nil {
			n.step(in)
		}
	}
}

func (n *simNode) sendAnswer(x Answer) {
	answer := n.refs[x.Ref]
	if answer == nil {
		return
	}
	delete(n.refs, x.Ref)
	if x.Until > 0 && n.clock().Steady >= x.Until {
		x.Status, x.Body = 503, nil
	}
	var b []byte
	if x.Body != nil {
		b = pack(x.Body)
	}
	answer(x.Status, b)
}

func (n *simNode) callStore(x StoreCall) {
	body, step := pack(x.Body), n.later()
	n.w.call(n.label, "state", x.Timeout, func(answer func(int, []byte)) {
		n.w.schedule(n.w.between(0, n.w.store.slow), func() { n.w.store.serveHeld(n.idx, x.Method, x.Path, body, answer) })
	}, func(status int, b []byte) { step(StoreReply{x.ID, status, b}) })
}

func (n *simNode) callCloud(x CloudCall) {
	body, step := pack(x.Body), n.later()
	n.w.call(n.label, "cloud", x.Timeout, func(answer func(int, []byte)) {
		answer(n.w.cloud.serve(x.Method, x.Path, body))
	}, func(status int, b []byte) { step(CloudReply{x.ID, status, b}) })
}

// callWorker carries a direct command, which may come late, twice or never.
func (n *simNode) callWorker(x DirectCall) {
	w, body, step := n.w, pack(x.Body), n.later()
	if x.Body.Token == 0 {
		w.reportBroken("token", "%s orders %s under no term: %+v", n.label, x.Address, x.Body.Commands)
	}
	m := w.machines[x.Address]
	if late := n.clock().Steady >= x.Until; late || m == nil || m.gone && w.chance(0.5) {
		w.schedule(time.Millisecond, func() { step(DirectReply{ID: x.ID, Unsent: true}) })
		return
	}
	serve := func(answer func(int, []byte)) { m.when(func() { m.orders(body, answer) }) }
	unheard := func() { serve(func(int, []byte) {}) }
	if w.chance(w.stray) { // one that is held up for long
		w.schedule(w.between(0, 4*w.cfg.lease), unheard)
		w.schedule(limits.DirectTimeout, func() { step(DirectReply{ID: x.ID}) })
		return
	}
	w.call(n.label, m.id, limits.DirectTimeout, serve, func(status int, b []byte) {
		step(DirectReply{ID: x.ID, Status: status, Body: b})
	})
	if w.chance(w.repeats) { // one that is carried out once more
		w.schedule(w.between(0, 3*w.cfg.lease), unheard)
	}
}

// callPeer carries a message to another controller.
func (n *simNode) callPeer(x PeerCall) {
	w, step := n.w, n.later()
	if w.gossip != nil && !w.gossip(n, &x.Msg, nil) {
		return
	}
	i := slices.IndexFunc(w.nodes, func(p *simNode) bool { return p.label == x.Peer })
	if i < 0 {
		return
	}
	peer := w.nodes[i]
	w.call(n.label, peer.label, limits.PeerTimeout, func(answer func(int, []byte)) {
		peer.ask(func(ref uint64) Input { return PeerRequest{ref, x.Msg} }, answer)
	}, func(status int, b []byte) {
		var a PeerAnswer
		if status == 200 && wire.Decode(b, &a) != nil {
			a = PeerAnswer{}
		}
		if w.gossip != nil && !w.gossip(n, &x.Msg, &a) {
			a = PeerAnswer{}
		}
		step(PeerReply{Call: x, Answer: a, Unanswered: status != 200})
	})
}
