package controller

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// orderServer is a server that sends orders, without its loop.
func orderServer(t *testing.T, maxSockets int) *Server {
	t.Helper()
	set := &config.Settings{}
	set.Cluster.Resources.MaxSockets = maxSockets
	s := NewServer(set, &config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	s.ctx = context.Background()
	t.Cleanup(s.workerClient.CloseIdleConnections)
	return s
}

// order sends one order.
func (s *Server) order(address string) (status int, unsent bool) {
	status, _, unsent = s.doRequest(s.workerClient, address, "POST", "/orders", wire.Orders{}, limits.DirectTimeout)
	return status, unsent
}

// worker stands for a worker that counts its connections and the orders that it took.
type worker struct {
	*httptest.Server
	connections, orders atomic.Int64
}

func startWorker(t *testing.T, answer http.HandlerFunc) *worker {
	t.Helper()
	w := &worker{}
	w.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.orders.Add(1)
		answer(rw, r)
	}))
	w.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			w.connections.Add(1)
		}
	}
	w.Start()
	t.Cleanup(w.Close)
	return w
}

func (w *worker) address() string { return w.Listener.Addr().String() }

// TestOrdersShareAConnection: orders to one worker go over one connection, which is not kept
// beyond the part of max_sockets that such connections may take. Guards against a connection set
// up for each order, which took most of an order's processor time.
func TestOrdersShareAConnection(t *testing.T) {
	s := orderServer(t, 8) // two idle connections
	workers := make([]*worker, 4)
	for i := range workers {
		workers[i] = startWorker(t, func(http.ResponseWriter, *http.Request) {})
	}
	for range 5 {
		if status, _ := s.order(workers[0].address()); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	if n := workers[0].connections.Load(); n != 1 {
		t.Errorf("%d connections for five orders", n)
	}
	for _, w := range workers {
		s.order(w.address())
	}
	if !eventually(func() bool { return s.orderConns.Load() == 2 }) {
		t.Errorf("%d connections to four workers are kept, want 2", s.orderConns.Load())
	}
}

// TestOrderIsNeverSentTwice: a worker that closes its connection on an order without an answer
// may have carried it out. Guards against a client that repeats an order by itself on a new
// connection, and against one that calls it unsent.
func TestOrderIsNeverSentTwice(t *testing.T) {
	s := orderServer(t, 100)
	silent := atomic.Bool{}
	w := startWorker(t, func(rw http.ResponseWriter, r *http.Request) {
		if !silent.Load() {
			return
		}
		io.Copy(io.Discard, r.Body)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	if status, _ := s.order(w.address()); status != 200 {
		t.Fatalf("status %d", status)
	}
	silent.Store(true)
	status, unsent := s.order(w.address())
	if status != 0 || unsent {
		t.Errorf("status %d, unsent %v; want no answer to an order that was sent", status, unsent)
	}
	if n := w.orders.Load(); n != 2 {
		t.Errorf("the worker got %d orders, want 2", n)
	}
}

// TestOrderAfterTheWorkerClosedItsConnection: a worker that has closed an idle connection gets
// the next order on a new one.
func TestOrderAfterTheWorkerClosedItsConnection(t *testing.T) {
	s := orderServer(t, 100)
	w := startWorker(t, func(http.ResponseWriter, *http.Request) {})
	s.order(w.address())
	w.CloseClientConnections()
	if !eventually(func() bool { return s.orderConns.Load() == 0 }) {
		t.Fatal("the closed connection is still held")
	}
	if status, _ := s.order(w.address()); status != 200 {
		t.Errorf("status %d", status)
	}
}

// TestIdleOrderConnectionsGiveWay: at the limit of connections, those to workers that are idle are
// closed before a new one is refused. Guards against workers that are turned away for the sake of
// connections that nobody uses.
func TestIdleOrderConnectionsGiveWay(t *testing.T) {
	s := orderServer(t, 100) // new connections are refused from 90 on
	w := startWorker(t, func(http.ResponseWriter, *http.Request) {})
	s.order(w.address())
	s.inboundConns.Store(s.connectionLimit - 1)
	if !s.hasRoomForConnection() {
		t.Error("refused although an idle connection could be closed")
	}
	if n := s.orderConns.Load(); n != 0 {
		t.Errorf("%d connections to workers are left", n)
	}
	s.inboundConns.Store(s.connectionLimit)
	if s.hasRoomForConnection() {
		t.Error("accepted beyond the limit")
	}
}

// eventually waits for a condition for a second.
func eventually(holds func() bool) bool {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
