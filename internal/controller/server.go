package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/limits"
)

// inboxEvent is an input on its way to the loop; the answer, if one is expected,
// comes back on the channel.
type inboxEvent struct {
	in       Input
	answer   chan Answer
	newInput func(ref uint64) Input
	ctx      context.Context // of a user who may stop waiting; nil: none
	asker    *Core           // the core whose call this is the reply to; nil: no reply
}

// Server is the loop that owns the core, and the sockets around it.
type Server struct {
	set   *config.Settings
	core  *Core
	inbox chan inboxEvent
	// questions are users' questions about jobs: a stage of their own with a small
	// buffer, from which the loop takes only when nothing else waits.
	questions       chan inboxEvent
	start           time.Time
	log             *slog.Logger
	refs            map[uint64]chan Answer
	ref             uint64
	state           *http.Client
	cloud           *http.Client
	workers         *http.Client
	peers           map[string]*peer
	conns           atomic.Int64 // connections that others opened to this node
	orderConns      atomic.Int64 // connections to workers, for direct orders
	keepAliveLimit  int64        // above this many connections users' are not kept open
	connectionLimit int64        // above this many connections new ones are closed
	ctx             context.Context
	resources       *resourceMonitor
	nextResourceAt  time.Duration
	// Counters tell how often the process came near its budgets.
	Counters ResourceCounters
}

// NewServer prepares a controller process.
func NewServer(set *config.Settings, ops *config.Operator, log *slog.Logger) *Server {
	s := &Server{set: set, inbox: make(chan inboxEvent, limits.Inbox), questions: make(chan inboxEvent, limits.Questions), start: time.Now(), log: log,
		refs: map[uint64]chan Answer{}, peers: map[string]*peer{}}
	sockets := float64(set.Cluster.Resources.MaxSockets)
	s.keepAliveLimit = int64(sockets * (1 - limits.SocketReserve))
	s.connectionLimit = int64(sockets * (1 - limits.SocketReserve/4))
	s.state = &http.Client{Transport: transport(limits.StoreInFlight + 4)}
	s.cloud = &http.Client{Transport: transport(4)}
	s.workers = &http.Client{Transport: s.orderTransport()}
	for _, p := range set.Others {
		s.peers[p.Label] = &peer{addr: p.Addr}
	}
	s.core = NewCore(set, ops, s.now(), rand.Uint64()>>1|1)
	s.resources = newResourceMonitor(s.heapLimit(), int64(set.Cluster.Resources.MaxSockets), &s.Counters)
	return s
}

// heapLimit is how many bytes the Go heap may take of the memory that the settings give.
func (s *Server) heapLimit() uint64 {
	return uint64(s.set.Cluster.Resources.RAMMB * (1 << 20) * limits.MemoryUse)
}

// idle is for how long a connection to this node may be without a request. Guards
// against sockets used up by workers that left theirs behind in a cut and came back
// on new ones, several times over.
func (s *Server) idle() time.Duration {
	return max(limits.UserIdle, limits.Seconds(limits.IdleReports*s.set.Cluster.Workers.ReportS))
}

func (s *Server) now() Now {
	t := time.Now()
	return Now{Steady: t.Sub(s.start), Unix: float64(t.UnixNano()) / 1e9}
}

// FitMachine fits the process to the machine that the settings tell of: one thread
// runs at a time there, and memory is scarce: the heap is bounded by the
// settings, and collections are rarer than by default while it is far below that.
func (s *Server) FitMachine() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(s.heapLimit()))
	debug.SetGCPercent(limits.GCPercent)
}

// checkResources reads what the process holds, now and then, and warns near a budget.
func (s *Server) checkResources() {
	now := s.now().Steady
	if now < s.nextResourceAt {
		return
	}
	s.nextResourceAt = now + limits.ResourceCheckInterval
	s.resources.check(now, s.resources.read(s.conns.Load()+s.orderConns.Load()), s.log)
}

// Run serves until the context ends or a socket fails.
func (s *Server) Run(ctx context.Context) error {
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	// Without keep-alive probes, which cost four system calls for each connection, as workers and
	// users come back by the hundred after a restart. The server's timeouts end what is dead.
	listen := net.ListenConfig{KeepAlive: -1}
	api, err := listen.Listen(s.ctx, "tcp4", s.set.APIAddr)
	if err != nil {
		return fmt.Errorf("listen on api_addr: %w", err)
	}
	defer api.Close()
	bind, err := net.Listen("tcp4", s.set.PeerBind)
	if err != nil {
		return fmt.Errorf("listen on peer_bind: %w", err)
	}
	defer bind.Close()
	errs := make(chan error, 2)
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: limits.EdgeTimeout, ReadTimeout: 2 * limits.EdgeTimeout,
		WriteTimeout: 3 * limits.EdgeTimeout, IdleTimeout: s.idle(), MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	go func() { errs <- server.Serve(&countedListener{Listener: api, s: s}) }()
	go s.servePeers(bind)
	s.log.Info("serving", "node", s.set.Label, "api", s.set.APIAddr)
	tick := time.NewTicker(limits.TickInterval)
	defer tick.Stop()
	for {
		// Guards against reports, leases and submissions that wait behind users who
		// ask many times as often.
		select {
		case e := <-s.inbox:
			s.handle(e)
			continue
		case <-tick.C:
			s.handle(inboxEvent{in: Tick{}})
			s.checkResources()
			continue
		default:
		}
		select {
		case <-ctx.Done():
			server.Close()
			return nil
		case err := <-errs:
			return fmt.Errorf("serve: %w", err)
		case e := <-s.inbox:
			s.handle(e)
		case <-tick.C:
			s.handle(inboxEvent{in: Tick{}})
			s.checkResources()
		case e := <-s.questions:
			// A question whose user has stopped waiting costs no further work.
			if e.ctx.Err() == nil {
				s.handle(e)
			}
		}
	}
}

// handle feeds one event to the core and does what it returns.
func (s *Server) handle(e inboxEvent) {
	// Guards against a reply to what the core asked before a fault: its successor counts its
	// calls anew, and would take the reply for that to a call of its own.
	if e.asker != nil && e.asker != s.core {
		return
	}
	if e.newInput != nil {
		s.ref++
		s.refs[s.ref] = e.answer
		e.in = e.newInput(s.ref)
	}
	outputs := s.step(e.in)
	asker := s.core
	for _, o := range outputs {
		switch x := o.(type) {
		case Answer:
			if ch := s.refs[x.Ref]; ch != nil {
				delete(s.refs, x.Ref)
				ch <- x
			}
		case Log:
			s.writeLog(x)
		case StoreCall:
			go func() {
				status, body := s.request(s.state, s.set.External.State, x.Method, x.Path, x.Body, x.Timeout)
				s.send(inboxEvent{in: StoreReply{x.ID, status, body}, asker: asker})
			}()
		case CloudCall:
			go func() {
				status, body := s.request(s.cloud, s.set.External.Cloud, x.Method, x.Path, x.Body, x.Timeout)
				s.send(inboxEvent{in: CloudReply{x.ID, status, body}, asker: asker})
			}()
		case DirectCall:
			go func() {
				status, body, unsent := 0, []byte(nil), true
				if s.now().Steady < x.Until {
					status, body, unsent = s.requestTracked(s.workers, x.Address, "POST", "/orders", x.Body, limits.DirectTimeout)
				}
				s.send(inboxEvent{in: DirectReply{x.ID, status, body, unsent}, asker: asker})
			}()
		case PeerCall:
			go s.callPeer(x, asker)
		}
	}
}

// step guards the loop: a fault in the core must not end the process. What the
// core knew may be wrong then, so it starts afresh as after a restart, with a
// name of its own; its claims end with its lease.
func (s *Server) step(in Input) (out []Output) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("fault in the core, starting it afresh", "fault", fmt.Sprint(p), "stack", string(debug.Stack()))
			s.core = NewCore(s.set, s.core.operator, s.now(), rand.Uint64()>>1|1)
			for ref, ch := range s.refs {
				delete(s.refs, ref)
				ch <- Answer{Ref: ref, Status: 503, RetryAfter: limits.RetryAfterS}
			}
			out = nil
		}
	}()
	return s.core.Step(s.now(), in)
}

func (s *Server) writeLog(x Log) { s.log.Log(s.ctx, x.Level, x.Msg, x.Args...) }

func (s *Server) send(e inboxEvent) bool {
	select {
	case s.inbox <- e:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// ask sends an input and waits for its answer.
func (s *Server) ask(newInput func(ref uint64) Input, wait time.Duration) (Answer, bool) {
	return s.enqueue(s.ctx, s.inbox, newInput, wait, wait)
}

// enqueue sends an input to a stage, waits for room there for a while, and then for
// the answer.
func (s *Server) enqueue(ctx context.Context, stage chan inboxEvent, newInput func(ref uint64) Input, room, wait time.Duration) (Answer, bool) {
	ch := make(chan Answer, 1)
	t := time.NewTimer(room)
	defer t.Stop()
	select {
	case stage <- inboxEvent{newInput: newInput, answer: ch, ctx: ctx}:
	case <-t.C:
		return Answer{}, false
	case <-s.ctx.Done():
		return Answer{}, false
	}
	t.Reset(wait)
	select {
	case a := <-ch:
		return a, true
	case <-t.C:
		return Answer{}, false
	case <-s.ctx.Done():
		return Answer{}, false
	}
}
