package controller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

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

// readBody reads a request's body, at most limits.MaxBodyBytes of it. A short body
// is read into one buffer of the length that the request declares: reports come
// hundreds a second, and a buffer grown as it is read costs several allocations for
// each. A long one gets its buffer as it arrives: guards against memory taken by
// requests that declare a length and send nothing.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body := http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	var b []byte
	var err error
	if r.ContentLength >= 0 && r.ContentLength <= limits.DeclaredBodyBytes {
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, b)
	} else {
		b, err = io.ReadAll(body)
	}
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
		if !l.s.hasRoomForConnection() {
			c.Close()
			continue
		}
		return newCountedConn(c, &l.s.conns), nil
	}
}

// hasRoomForConnection tells whether one connection more may be accepted. Idle connections to
// workers give way first.
func (s *Server) hasRoomForConnection() bool {
	if s.conns.Load()+s.orderConns.Load() < s.connectionLimit {
		return true
	}
	s.workers.CloseIdleConnections()
	return s.conns.Load()+s.orderConns.Load() < s.connectionLimit
}

// countedConn counts as open from newCountedConn until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func newCountedConn(conn net.Conn, open *atomic.Int64) *countedConn {
	open.Add(1)
	return &countedConn{Conn: conn, open: open}
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
