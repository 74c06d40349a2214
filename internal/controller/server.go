package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// inboxEvent is an input on its way to the loop; the answer, if one is expected,
// comes back on the channel.
type inboxEvent struct {
	in       Input
	answer   chan Answer
	newInput func(ref uint64) Input
	ctx      context.Context // of a user who may stop waiting; nil: none
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
	conns           atomic.Int64
	keepAliveLimit  int64 // above this many connections users' are not kept open
	connectionLimit int64 // above this many connections new ones are closed
	ctx             context.Context
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
	work := transport(1)
	work.MaxIdleConns = limits.DirectInFlight
	s.workers = &http.Client{Transport: work}
	for _, p := range set.Others {
		s.peers[p.Label] = &peer{addr: p.Addr}
	}
	s.core = NewCore(set, ops, s.now(), rand.Uint64()>>1|1)
	return s
}

func transport(conns int) *http.Transport {
	d := &net.Dialer{Timeout: limits.PeerTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", addr)
		},
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, IdleConnTimeout: limits.ClientIdle, DisableCompression: true}
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
// runs at a time there, and memory is scarce.
func (s *Server) FitMachine() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(s.set.Cluster.Resources.RAMMB * (1 << 20) * limits.MemoryUse))
}

// Run serves until the context ends or a socket fails.
func (s *Server) Run(ctx context.Context) error {
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	api, err := net.Listen("tcp4", s.set.APIAddr)
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
	if e.newInput != nil {
		s.ref++
		s.refs[s.ref] = e.answer
		e.in = e.newInput(s.ref)
	}
	for _, o := range s.step(e.in) {
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
				s.send(inboxEvent{in: StoreReply{x.ID, status, body}})
			}()
		case CloudCall:
			go func() {
				status, body := s.request(s.cloud, s.set.External.Cloud, x.Method, x.Path, x.Body, x.Timeout)
				s.send(inboxEvent{in: CloudReply{x.ID, status, body}})
			}()
		case DirectCall:
			go func() {
				status, body, unsent := 0, []byte(nil), true
				if s.now().Steady < x.Until {
					status, body, unsent = s.requestTracked(s.workers, x.Address, "POST", "/orders", x.Body, limits.DirectTimeout)
				}
				s.send(inboxEvent{in: DirectReply{x.ID, status, body, unsent}})
			}()
		case PeerCall:
			go s.callPeer(x)
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

// request makes one HTTP request; status 0 is no answer.
func (s *Server) request(client *http.Client, host, method, path string, body any, timeout time.Duration) (int, []byte) {
	status, b, _ := s.requestTracked(client, host, method, path, body, timeout)
	return status, b
}

// requestTracked is do; unsent tells that there was no connection to send anything on.
func (s *Server) requestTracked(client *http.Client, host, method, path string, body any, timeout time.Duration) (status int, answer []byte, unsent bool) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		b, err := wire.Encode(body)
		if err != nil {
			s.log.Error("request not encoded", "path", path, "error", err)
			return 400, nil, true
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, rd)
	if err != nil {
		s.log.Error("request not made", "path", path, "error", err)
		return 400, nil, true
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := client.Do(req)
	if err != nil {
		s.log.Debug("no answer", "method", method, "path", path, "error", err)
		var op *net.OpError
		return 0, nil, errors.As(err, &op) && op.Op == "dial"
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, limits.MaxStoreBodyBytes))
	if err != nil {
		return 0, nil, false
	}
	if resp.StatusCode >= 300 && resp.StatusCode != 404 && resp.StatusCode != 409 {
		s.log.Debug("refused", "method", method, "path", path, "status", resp.StatusCode, "body", string(b[:min(len(b), 200)]))
	}
	return resp.StatusCode, b, false
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /checkin", s.checkin)
	mux.HandleFunc("POST /work", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r)
		if ok {
			s.user(w, func(ref uint64) Input { return Submit{ref, body} })
		}
	})
	mux.HandleFunc("GET /work/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		s.limitKeepAlive(w)
		a, ok := s.enqueue(r.Context(), s.questions, func(ref uint64) Input { return Query{ref, id} }, limits.QuestionRoom, limits.QuestionEdge)
		s.answerUser(w, a, ok)
	})
	mux.HandleFunc("POST /work/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		s.user(w, func(ref uint64) Input { return Cancel{ref, id} })
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		a, ok := s.ask(func(ref uint64) Input { return Ready{ref} }, limits.EdgeTimeout)
		if !ok {
			a = Answer{Status: 503}
		}
		reply(w, a)
	})
	return mux
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	if err != nil {
		status := 400
		var tooLarge *http.MaxBytesError
		if !errors.As(err, &tooLarge) {
			status = 503
		}
		reply(w, Answer{Status: status, Body: wire.ErrorBody{Error: "body not read"}})
		return nil, false
	}
	return b, true
}

func (s *Server) user(w http.ResponseWriter, newInput func(uint64) Input) {
	s.limitKeepAlive(w)
	a, ok := s.ask(newInput, limits.EdgeTimeout)
	s.answerUser(w, a, ok)
}

// limitKeepAlive lets a user's connection end when there are many.
func (s *Server) limitKeepAlive(w http.ResponseWriter) {
	if s.conns.Load() > s.keepAliveLimit {
		w.Header().Set("Connection", "close")
	}
}

// answerUser passes an answer on; without one the user is told when to come back.
func (s *Server) answerUser(w http.ResponseWriter, a Answer, ok bool) {
	if !ok {
		a = Answer{Status: 503, Body: wire.ErrorBody{Error: "overloaded"}, RetryAfter: limits.RetryAfterS}
	}
	reply(w, a)
}

func (s *Server) checkin(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	rep := &wire.Report{}
	err := wire.Decode(body, rep)
	if err == nil {
		err = rep.Validate()
	}
	if err != nil {
		s.log.Debug("report not understood", "error", err)
		reply(w, Answer{Status: 400})
		return
	}
	a, ok := s.ask(func(ref uint64) Input { return Checkin{ref, rep} }, limits.EdgeTimeout)
	// What was decided before a standstill must not leave after it.
	if !ok || (a.Until > 0 && s.now().Steady >= a.Until) {
		a = Answer{Status: 503}
	}
	reply(w, a)
}

func reply(w http.ResponseWriter, a Answer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	var b []byte
	if a.Body != nil {
		var err error
		if b, err = wire.Encode(a.Body); err != nil {
			a.Status, b = 503, nil
		}
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(a.Status)
	w.Write(b) //nolint: the peer may be gone, and that is its own loss
}

// countedListener bounds the open connections.
type countedListener struct {
	net.Listener
	s *Server
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(limits.TickInterval) // no socket free: others will close
			continue
		}
		if l.s.conns.Load() >= l.s.connectionLimit {
			c.Close()
			continue
		}
		l.s.conns.Add(1)
		return &countedConn{Conn: c, s: l.s}, nil
	}
}

type countedConn struct {
	net.Conn
	s    *Server
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.s.conns.Add(-1) })
	return c.Conn.Close()
}
