package controller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// linkedHandler serves one sender of requests through a link of the simulated world, which may
// be cut in either direction, slow, or lose what it carries.
func (r *liveSimulation) linkedHandler(from, to string, serve func(method, path string, body []byte, answer func(int, []byte))) http.Handler {
	return r.handler(func(method, path string, body []byte, answer func(int, []byte)) {
		r.w.carry(from, to, func() {
			serve(method, path, body, func(status int, b []byte) {
				r.w.carry(to, from, func() { answer(status, b) })
			})
		})
	})
}

// listen serves a handler on loopback until the test ends, and returns its address.
func listen(t testing.TB, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections() // handlers behind a cut would be waited for
		server.Close()
	})
	return server.Listener.Addr().String()
}

// stateAddress is where one controller reaches the state service.
func (r *liveSimulation) stateAddress(t testing.TB, node int, label string) string {
	return listen(t, r.linkedHandler(label, "state", func(method, path string, body []byte, answer func(int, []byte)) {
		r.w.store.serveHeld(node, method, path, body, answer)
	}))
}

// cloudAddress is where one controller reaches the cloud.
func (r *liveSimulation) cloudAddress(t testing.TB, label string) string {
	return listen(t, r.linkedHandler(label, "cloud", func(method, path string, body []byte, answer func(int, []byte)) {
		answer(r.w.cloud.serve(method, path, body))
	}))
}

// workerAddress is where all controllers reach a worker directly. An order may be carried out
// late, without an answer, or once more.
func (r *liveSimulation) workerAddress(t testing.TB, m *simMachine) string {
	return listen(t, r.linkedHandler("orders", m.id, func(_, _ string, body []byte, answer func(int, []byte)) {
		w := r.w
		unheard := func() { m.when(func() { m.orders(body, func(int, []byte) {}) }) }
		if w.chance(w.stray) {
			w.schedule(w.between(0, 2*w.cfg.lease), unheard)
			return
		}
		if w.chance(w.repeats) {
			w.schedule(w.between(0, 2*w.cfg.lease), unheard)
		}
		m.when(func() { m.orders(body, answer) })
	}))
}

// proxyPeer forwards the connections of one controller to another's peer address. What is on
// its way in a direction that is cut waits until the cut is over.
func (r *liveSimulation) proxyPeer(t testing.TB, from, to, target string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c, from, to, target)
		}
	}()
	return l.Addr().String()
}

// forward joins a connection to its target until either side closes.
func (r *liveSimulation) forward(c net.Conn, from, to, target string) {
	defer c.Close()
	d, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	ended := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader, from, to string) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if n > 0 {
				r.waitWhileCut(from, to)
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(d, c, from, to)
	go pipe(c, d, to, from)
	<-ended
}

// waitWhileCut returns when a direction of a link is open; it bounds the wait, so that no
// connection outlives its test for long.
func (r *liveSimulation) waitWhileCut(from, to string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		cut := r.w.cut[[2]string{from, to}]
		r.mu.Unlock()
		if !cut {
			return
		}
	}
}
