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

// newOrderServer returns a server that can send direct orders but whose event loop is not running.
func newOrderServer(t *testing.T, maxSockets int) *Server {
	t.Helper()
	settings := &config.Settings{}
	settings.Cluster.Resources.MaxSockets = maxSockets
	server := NewServer(settings, &config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	server.ctx = context.Background()
	t.Cleanup(server.workerClient.CloseIdleConnections)
	return server
}

// sendTestOrder sends an empty direct order to a worker. It returns the status of the response, 0 if there was
// none, and whether the order was certainly not sent.
func (s *Server) sendTestOrder(address string) (status int, unsent bool) {
	status, _, unsent = s.doRequest(s.workerClient, address, "POST", "/orders", wire.DirectOrder{}, limits.DirectOrderTimeout)
	return status, unsent
}

// fakeWorker is a worker that counts its connections and the direct orders that it receives.
type fakeWorker struct {
	*httptest.Server
	connections, orders atomic.Int64
}

// startFakeWorker starts a worker that handles orders with the given function.
func startFakeWorker(t *testing.T, answer http.HandlerFunc) *fakeWorker {
	t.Helper()
	worker := &fakeWorker{}
	worker.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		worker.orders.Add(1)
		answer(rw, r)
	}))
	worker.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			worker.connections.Add(1)
		}
	}
	worker.Start()
	t.Cleanup(worker.Close)
	return worker
}

func (w *fakeWorker) address() string { return w.Listener.Addr().String() }

// TestOrdersReuseConnection checks that direct orders to one worker share a connection, and that the idle
// connections to workers stay within their share of max_sockets. Opening a connection for each order
// would take most of the CPU time of an order.
func TestOrdersReuseConnection(t *testing.T) {
	server := newOrderServer(t, 8) // allows two idle connections
	workers := make([]*fakeWorker, 4)
	for i := range workers {
		workers[i] = startFakeWorker(t, func(http.ResponseWriter, *http.Request) {})
	}
	for range 5 {
		if status, _ := server.sendTestOrder(workers[0].address()); status != 200 {
			t.Fatalf("an order returned status %d, want 200", status)
		}
	}
	if n := workers[0].connections.Load(); n != 1 {
		t.Errorf("%d connections for five orders", n)
	}
	for _, w := range workers {
		server.sendTestOrder(w.address())
	}
	if !eventually(func() bool { return server.orderConns.Load() == 2 }) {
		t.Errorf("%d idle connections to four workers are kept, want 2", server.orderConns.Load())
	}
}

// TestOrderIsNeverSentTwice makes a worker close its connection without an answer after it has received an
// order. The worker may have executed the order, so the HTTP client must neither resend it on a new
// connection nor report it as unsent.
func TestOrderIsNeverSentTwice(t *testing.T) {
	server := newOrderServer(t, 100)
	closesUnanswered := atomic.Bool{}
	worker := startFakeWorker(t, func(rw http.ResponseWriter, r *http.Request) {
		if !closesUnanswered.Load() {
			return
		}
		io.Copy(io.Discard, r.Body)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	if status, _ := server.sendTestOrder(worker.address()); status != 200 {
		t.Fatalf("an order returned status %d, want 200", status)
	}
	closesUnanswered.Store(true)
	status, unsent := server.sendTestOrder(worker.address())
	if status != 0 || unsent {
		t.Errorf("status %d, unsent %v; want no answer to an order that was sent", status, unsent)
	}
	if n := worker.orders.Load(); n != 2 {
		t.Errorf("the worker received %d orders, want 2", n)
	}
}

// TestOrderAfterTheWorkerClosedItsConnection checks that the next order uses a new connection if
// the worker has closed the idle connection.
func TestOrderAfterTheWorkerClosedItsConnection(t *testing.T) {
	server := newOrderServer(t, 100)
	worker := startFakeWorker(t, func(http.ResponseWriter, *http.Request) {})
	server.sendTestOrder(worker.address())
	worker.CloseClientConnections()
	if !eventually(func() bool { return server.orderConns.Load() == 0 }) {
		t.Fatal("the closed connection is still counted as open")
	}
	if status, _ := server.sendTestOrder(worker.address()); status != 200 {
		t.Errorf("an order on a new connection returned status %d, want 200", status)
	}
}

// TestIdleOrderConnectionsAreClosedAtLimit checks that at the connection limit the server closes idle
// connections to workers before it refuses an inbound connection. If the server kept these unused
// connections, workers could not connect.
func TestIdleOrderConnectionsAreClosedAtLimit(t *testing.T) {
	server := newOrderServer(t, 100) // inbound connections are refused from 90 connections on
	worker := startFakeWorker(t, func(http.ResponseWriter, *http.Request) {})
	server.sendTestOrder(worker.address())
	server.inboundConns.Store(server.connectionLimit - 1)
	if !server.hasRoomForConnection() {
		t.Error("a connection is refused although an idle one could be closed")
	}
	if n := server.orderConns.Load(); n != 0 {
		t.Errorf("%d idle connections to workers are still open", n)
	}
	server.inboundConns.Store(server.connectionLimit)
	if server.hasRoomForConnection() {
		t.Error("a connection is accepted beyond the limit")
	}
}

// eventually waits up to a second for a condition and reports whether it holds.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
