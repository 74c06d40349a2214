package controller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// linkedHandler returns a handler for the requests of one sender. Requests and answers pass through a
// simulated link, which may be slow, lose messages, or be cut in either direction.
func (live *liveSimulation) linkedHandler(from, to string, serve func(method, path string, body []byte, answer func(int, []byte))) http.Handler {
	return live.handler(func(method, path string, body []byte, answer func(int, []byte)) {
		live.sim.transmit(from, to, func() {
			serve(method, path, body, func(status int, b []byte) {
				live.sim.transmit(to, from, func() { answer(status, b) })
			})
		})
	})
}

// serveOnLoopback serves a handler on loopback until the test ends and returns its address.
func serveOnLoopback(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections() // Close would wait for handlers behind a cut link
		server.Close()
	})
	return server.Listener.Addr().String()
}

// serveState serves the state service to one controller and returns the address.
func (live *liveSimulation) serveState(t testing.TB, node int, label string) string {
	return serveOnLoopback(t, live.linkedHandler(label, "state", func(method, path string, body []byte, answer func(int, []byte)) {
		live.sim.store.serveWithDelay(node, method, path, body, answer)
	}))
}

// serveCloud serves the cloud API to one controller and returns the address.
func (live *liveSimulation) serveCloud(t testing.TB, label string) string {
	return serveOnLoopback(t, live.linkedHandler(label, "cloud", func(method, path string, body []byte, answer func(int, []byte)) {
		answer(live.sim.cloud.serve(method, path, body))
	}))
}

// serveWorker starts the server at which a worker receives direct orders from all controllers, and returns
// its address. An order may be executed late and unanswered, or a second time later.
func (live *liveSimulation) serveWorker(t testing.TB, machine *simMachine) string {
	return serveOnLoopback(t, live.linkedHandler("orders", machine.id, func(_, _ string, body []byte, answer func(int, []byte)) {
		sim := live.sim
		executeUnanswered := func() { machine.whenRunning(func() { machine.handleOrders(body, func(int, []byte) {}) }) }
		if sim.chance(sim.lateOrderRate) {
			sim.schedule(sim.randomDuration(0, 2*sim.cfg.leaseS), executeUnanswered)
			return
		}
		if sim.chance(sim.repeatedOrderRate) {
			sim.schedule(sim.randomDuration(0, 2*sim.cfg.leaseS), executeUnanswered)
		}
		machine.whenRunning(func() { machine.handleOrders(body, answer) })
	}))
}

// proxyPeer starts a proxy for connections from one controller to the peer address of another, and
// returns the address of the proxy. Data in a direction that is cut waits until the link is restored.
func (live *liveSimulation) proxyPeer(t testing.TB, from, to, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go live.forward(conn, from, to, target)
		}
	}()
	return listener.Addr().String()
}

// forward copies data between a connection and its target until either side closes.
func (live *liveSimulation) forward(conn net.Conn, from, to, target string) {
	defer conn.Close()
	targetConn, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer targetConn.Close()
	ended := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader, from, to string) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if n > 0 {
				live.waitWhileCut(from, to)
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(targetConn, conn, from, to)
	go pipe(conn, targetConn, to, from)
	<-ended
}

// waitWhileCut waits until a direction of a link is not cut. It waits at most a minute, so that no
// connection outlives its test for long.
func (live *liveSimulation) waitWhileCut(from, to string) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		live.mu.Lock()
		cut := live.sim.cutLinks[[2]string{from, to}]
		live.mu.Unlock()
		if !cut {
			return
		}
	}
}
