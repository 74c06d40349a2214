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
	mux.HandleFunc("POST /checkin", s.handleHeartbeat)
	mux.HandleFunc("POST /work", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r)
		if ok {
			s.handleUserRequest(w, limits.EventLoopTimeout, func(ref uint64) Input { return Submit{ref, body} })
		}
	})
	mux.HandleFunc("GET /work/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		s.limitKeepAlive(w)
		answer, ok := s.enqueueAndWait(r.Context(), s.queries, func(ref uint64) Input { return Query{ref, id} }, limits.QueryEnqueueTimeout, limits.QueryAnswerTimeout)
		s.answerUser(w, answer, ok)
	})
	mux.HandleFunc("POST /work/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		s.handleUserRequest(w, limits.CancelAnswerTimeout, func(ref uint64) Input { return Cancel{ref, id} })
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		answer, ok := s.callCore(func(ref uint64) Input { return Ready{ref} }, limits.EventLoopTimeout)
		if !ok {
			answer = Answer{Status: 503}
		}
		writeAnswer(w, answer)
	})
	return mux
}

// readBody reads a request's body, which may have at most limits.MaxBodyBytes. A body with a declared
// length of up to limits.MaxPreallocatedBodyBytes is read into one buffer of that length: hundreds of
// heartbeats arrive in a second, and a buffer that grows costs several allocations for each of them. For a
// longer body the buffer grows as data arrives, because otherwise requests that declare a large length and
// send nothing would take up memory. If the body cannot be read, readBody writes the error response and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	boundedBody := http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	var body []byte
	var err error
	if r.ContentLength >= 0 && r.ContentLength <= limits.MaxPreallocatedBodyBytes {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(boundedBody, body)
	} else {
		body, err = io.ReadAll(boundedBody)
	}
	if err != nil {
		status := 400
		var tooLarge *http.MaxBytesError
		if !errors.As(err, &tooLarge) {
			status = 503
		}
		writeAnswer(w, Answer{Status: status, Body: wire.ErrorBody{Error: "body not read"}})
		return nil, false
	}
	return body, true
}

// handleUserRequest passes a user's request to the core and writes the core's answer.
func (s *Server) handleUserRequest(w http.ResponseWriter, timeout time.Duration, newInput func(uint64) Input) {
	s.limitKeepAlive(w)
	answer, ok := s.callCore(newInput, timeout)
	s.answerUser(w, answer, ok)
}

// limitKeepAlive makes the server close a user's connection after the response if too many connections
// are open.
func (s *Server) limitKeepAlive(w http.ResponseWriter) {
	if s.inboundConns.Load() > s.keepAliveLimit {
		w.Header().Set("Connection", "close")
	}
}

// answerUser writes an answer to a user. If the core gave none in time (ok is false), the response is 503
// with Retry-After.
func (s *Server) answerUser(w http.ResponseWriter, answer Answer, ok bool) {
	if !ok {
		answer = Answer{Status: 503, Body: wire.ErrorBody{Error: "overloaded"}, RetryAfter: limits.RetryAfterS}
	}
	writeAnswer(w, answer)
}

// handleHeartbeat passes a worker's heartbeat to the core and writes the core's answer. An answer that is
// valid only until a given time is replaced by 503 once that time has passed.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat := &wire.Heartbeat{}
	err := wire.Decode(body, heartbeat)
	if err == nil {
		err = heartbeat.Validate()
	}
	if err != nil {
		s.log.Debug("invalid heartbeat from a worker", "error", err)
		writeAnswer(w, Answer{Status: 400})
		return
	}
	answer, ok := s.callCore(func(ref uint64) Input { return HeartbeatRequest{ref, heartbeat} }, limits.EventLoopTimeout)
	// The answer may have expired if the process paused after the core returned the answer.
	if !ok || (answer.Until > 0 && s.now().Steady >= answer.Until) {
		answer = Answer{Status: 503}
	}
	writeAnswer(w, answer)
}

// writeAnswer writes an answer as an HTTP response; 503 if its body cannot be encoded.
func writeAnswer(w http.ResponseWriter, answer Answer) {
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	var body []byte
	if answer.Body != nil {
		var err error
		if body, err = wire.Encode(answer.Body); err != nil {
			answer.Status, body = 503, nil
		}
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	w.Write(body) //nolint: an error means that the client has disconnected
}

// countedListener counts the connections that it accepts. When the server has no room for a connection, it
// closes the new connection at once.
type countedListener struct {
	net.Listener
	server *Server
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(limits.TickInterval) // no socket is free: wait until other connections have closed
			continue
		}
		if !l.server.hasRoomForConnection() {
			conn.Close()
			continue
		}
		return newCountedConn(conn, &l.server.inboundConns), nil
	}
}

// hasRoomForConnection reports whether one more connection may be accepted. At the limit, it closes the idle
// connections to workers to make room.
func (s *Server) hasRoomForConnection() bool {
	if s.inboundConns.Load()+s.orderConns.Load() < s.connectionLimit {
		return true
	}
	s.workerClient.CloseIdleConnections()
	return s.inboundConns.Load()+s.orderConns.Load() < s.connectionLimit
}

// countedConn is a connection that is included in the counter openCount until it is closed.
type countedConn struct {
	net.Conn
	openCount *atomic.Int64
	once      sync.Once
}

func newCountedConn(conn net.Conn, openCount *atomic.Int64) *countedConn {
	openCount.Add(1)
	return &countedConn{Conn: conn, openCount: openCount}
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.openCount.Add(-1) })
	return c.Conn.Close()
}
