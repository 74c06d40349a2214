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

// inboxEvent is an input that is queued for the event loop. An input that expects an answer is created
// by newInput when the event loop takes the event, and its answer is sent on the channel.
type inboxEvent struct {
	input    Input
	answer   chan Answer
	newInput func(ref uint64) Input
	ctx      context.Context // of the request: ends when a user stops waiting for a status query; nil if no answer is expected
	caller   *Core           // the core that made the call to which this is the reply; nil: not a reply
}

// Server is a controller process: it runs the event loop, which owns the core, and the sockets.
type Server struct {
	settings *config.Settings
	core     *Core
	inbox    chan inboxEvent
	// queries holds users' status queries. They have their own small queue, which the event loop
	// reads only when no other event waits.
	queries           chan inboxEvent
	start             time.Time
	log               *slog.Logger
	pendingAnswers    map[uint64]chan Answer
	lastRef           uint64
	stateClient       *http.Client
	cloudClient       *http.Client
	workerClient      *http.Client
	peers             map[string]*peerClient
	inboundConns      atomic.Int64 // open connections that clients made to the API port
	orderConns        atomic.Int64 // open connections to workers, for direct orders
	keepAliveLimit    int64        // above this number of connections, users' connections are closed after each response
	connectionLimit   int64        // from this number of connections on, new ones are closed at once
	ctx               context.Context
	resourceMonitor   *resourceMonitor
	nextResourceCheck time.Duration
	// Counters count how often the process came near its budgets.
	Counters ResourceCounters
}

// NewServer returns a controller process that is ready to Run.
func NewServer(settings *config.Settings, operatorSettings *config.OperatorSettings, log *slog.Logger) *Server {
	s := &Server{settings: settings, inbox: make(chan inboxEvent, limits.InboxSize), queries: make(chan inboxEvent, limits.QueryQueueSize), start: time.Now(), log: log,
		pendingAnswers: map[uint64]chan Answer{}, peers: map[string]*peerClient{}}
	sockets := float64(settings.Cluster.Resources.MaxSockets)
	s.keepAliveLimit = int64(sockets * (1 - limits.SocketReserveShare))
	s.connectionLimit = int64(sockets * (1 - limits.SocketReserveShare/4))
	s.stateClient = &http.Client{Transport: newTransport(limits.MaxStoreInFlight + 4)}
	s.cloudClient = &http.Client{Transport: newTransport(4)}
	s.workerClient = &http.Client{Transport: s.newOrderTransport()}
	for _, other := range settings.Others {
		s.peers[other.Label] = &peerClient{addr: other.Addr}
	}
	s.core = NewCore(settings, operatorSettings, s.now(), rand.Uint64()>>1|1)
	s.resourceMonitor = newResourceMonitor(s.heapLimit(), int64(settings.Cluster.Resources.MaxSockets), &s.Counters)
	return s
}

// heapLimit returns how many bytes of ram_mb the Go heap may take.
func (s *Server) heapLimit() uint64 {
	return uint64(s.settings.Cluster.Resources.RAMMB * (1 << 20) * limits.HeapLimitShare)
}

// idleTimeout returns how long a client connection may stay open without a request. Without this timeout,
// workers that reconnect after several network failures and leave their old connections open would use up
// the sockets.
func (s *Server) idleTimeout() time.Duration {
	return max(limits.UserIdleTimeout, limits.Seconds(limits.IdleHeartbeats*s.settings.Cluster.Workers.HeartbeatS))
}

func (s *Server) now() Now {
	current := time.Now()
	return Now{Steady: current.Sub(s.start), Unix: float64(current.UnixNano()) / 1e9}
}

// ConfigureRuntime sets up the Go runtime for a small machine that runs one thread at a time and has little
// memory. The heap is limited to heapLimit, and garbage collections are rarer than by default while the
// heap is far below that limit.
func (s *Server) ConfigureRuntime() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(s.heapLimit()))
	debug.SetGCPercent(limits.GCPercent)
}

// checkResources reads the resource usage every limits.ResourceCheckInterval and warns near a budget.
func (s *Server) checkResources() {
	now := s.now().Steady
	if now < s.nextResourceCheck {
		return
	}
	s.nextResourceCheck = now + limits.ResourceCheckInterval
	s.resourceMonitor.check(now, s.resourceMonitor.read(s.inboundConns.Load()+s.orderConns.Load()), s.log)
}

// Run serves requests and runs the event loop until the context ends or the API server fails.
func (s *Server) Run(ctx context.Context) error {
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	// TCP keep-alive is off: setting it up costs four system calls for each connection, and hundreds of
	// workers and users reconnect after a restart. The server's timeouts close dead connections.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	apiListener, err := listenConfig.Listen(s.ctx, "tcp4", s.settings.APIAddr)
	if err != nil {
		return fmt.Errorf("listen on api_addr: %w", err)
	}
	defer apiListener.Close()
	peerListener, err := net.Listen("tcp4", s.settings.PeerBind)
	if err != nil {
		return fmt.Errorf("listen on peer_bind: %w", err)
	}
	defer peerListener.Close()
	serveErrors := make(chan error, 2)
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: limits.EventLoopTimeout, ReadTimeout: 2 * limits.EventLoopTimeout,
		WriteTimeout: 3 * limits.EventLoopTimeout, IdleTimeout: s.idleTimeout(), MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	go func() { serveErrors <- server.Serve(&countedListener{Listener: apiListener, server: s}) }()
	go s.servePeers(peerListener)
	s.log.Info("serving", "node", s.settings.Label, "api", s.settings.APIAddr)
	ticker := time.NewTicker(limits.TickInterval)
	defer ticker.Stop()
	for {
		// All other events go before status queries. Otherwise heartbeats, lease renewals and
		// submissions would wait behind status queries, which are many times as frequent.
		select {
		case event := <-s.inbox:
			s.handleEvent(event)
			continue
		case <-ticker.C:
			s.handleEvent(inboxEvent{input: Tick{}})
			s.checkResources()
			continue
		default:
		}
		select {
		case <-ctx.Done():
			server.Close()
			return nil
		case err := <-serveErrors:
			return fmt.Errorf("serve: %w", err)
		case event := <-s.inbox:
			s.handleEvent(event)
		case <-ticker.C:
			s.handleEvent(inboxEvent{input: Tick{}})
			s.checkResources()
		case event := <-s.queries:
			// A query whose user has stopped waiting is dropped.
			if event.ctx.Err() == nil {
				s.handleEvent(event)
			}
		}
	}
}

// handleEvent passes one event to the core and performs the actions that the core returns.
func (s *Server) handleEvent(event inboxEvent) {
	// A reply to a call of a core that has been replaced after a fault is dropped. The new core numbers
	// its calls from the start again, and would take this reply for the reply to one of its own calls.
	if event.caller != nil && event.caller != s.core {
		return
	}
	if event.newInput != nil {
		s.lastRef++
		s.pendingAnswers[s.lastRef] = event.answer
		event.input = event.newInput(s.lastRef)
	}
	outputs := s.step(event.input)
	caller := s.core
	for _, output := range outputs {
		switch action := output.(type) {
		case Answer:
			if answers := s.pendingAnswers[action.Ref]; answers != nil {
				delete(s.pendingAnswers, action.Ref)
				answers <- action
			}
		case Log:
			s.writeLog(action)
		case StoreCall:
			go func() {
				status, body := s.request(s.stateClient, s.settings.External.State, action.Method, action.Path, action.Body, action.Timeout)
				s.enqueueEvent(inboxEvent{input: StoreReply{action.ID, status, body}, caller: caller})
			}()
		case CloudCall:
			go func() {
				status, body := s.request(s.cloudClient, s.settings.External.Cloud, action.Method, action.Path, action.Body, action.Timeout)
				s.enqueueEvent(inboxEvent{input: CloudReply{action.ID, status, body}, caller: caller})
			}()
		case DirectCall:
			go func() {
				status, body, unsent := 0, []byte(nil), true
				if s.now().Steady < action.Until {
					status, body, unsent = s.doRequest(s.workerClient, action.Address, "POST", "/orders", action.Body, limits.DirectOrderTimeout)
				}
				s.enqueueEvent(inboxEvent{input: DirectReply{action.ID, status, body, unsent}, caller: caller})
			}()
		case PeerCall:
			go s.callPeer(action, caller)
		}
	}
}

// step passes an input to the core and returns its outputs. If the core panics, the process goes on with
// a new core under a new incarnation number, as after a restart, because the state of the old core may be
// wrong; the old core's claims end with its lease. The requests that wait for an answer get 503.
func (s *Server) step(input Input) (outputs []Output) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error("fault in the core, starting it afresh", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			s.core = NewCore(s.settings, s.core.operator, s.now(), rand.Uint64()>>1|1)
			for ref, answers := range s.pendingAnswers {
				delete(s.pendingAnswers, ref)
				answers <- Answer{Ref: ref, Status: 503, RetryAfter: limits.RetryAfterS}
			}
			outputs = nil
		}
	}()
	return s.core.Step(s.now(), input)
}

func (s *Server) writeLog(line Log) { s.log.Log(s.ctx, line.Level, line.Msg, line.Args...) }

// enqueueEvent queues an event for the event loop; it returns false if the server stops first.
func (s *Server) enqueueEvent(event inboxEvent) bool {
	select {
	case s.inbox <- event:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// callCore sends an input to the core and waits for its answer. The timeout applies to the wait for room
// in the queue, and again to the wait for the answer. The second result is false if there is no answer.
func (s *Server) callCore(newInput func(ref uint64) Input, timeout time.Duration) (Answer, bool) {
	return s.enqueueAndWait(s.ctx, s.inbox, newInput, timeout, timeout)
}

// enqueueAndWait puts an input into a queue and waits for its answer. queueTimeout bounds the wait for
// room in the queue, answerTimeout the later wait for the answer. The second result is false if a
// timeout expires or the server stops.
func (s *Server) enqueueAndWait(ctx context.Context, queue chan inboxEvent, newInput func(ref uint64) Input, queueTimeout, answerTimeout time.Duration) (Answer, bool) {
	answers := make(chan Answer, 1)
	timer := time.NewTimer(queueTimeout)
	defer timer.Stop()
	select {
	case queue <- inboxEvent{newInput: newInput, answer: answers, ctx: ctx}:
	case <-timer.C:
		return Answer{}, false
	case <-s.ctx.Done():
		return Answer{}, false
	}
	timer.Reset(answerTimeout)
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
		return Answer{}, false
	case <-s.ctx.Done():
		return Answer{}, false
	}
}
