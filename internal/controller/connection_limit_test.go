package controller

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/wire"
)

// isolatedSettings returns the settings of a controller without a reachable state service, cloud or peer.
func isolatedSettings(t testing.TB) *config.Settings {
	t.Helper()
	settings := &config.Settings{Label: "a", APIAddr: freeAddr(t), PeerBind: freeAddr(t)}
	settings.External.State, settings.External.Cloud = freeAddr(t), freeAddr(t)
	cluster := &settings.Cluster
	cluster.Teams = []config.Team{{Name: "blue"}}
	cluster.Workers.HeartbeatS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 3, 14, 34
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 100, 50, 8, 4
	cluster.Cloud.RPS = 2
	return settings
}

// runServer runs a server until stop is called or the test ends. The test fails if the server returns
// an error.
func runServer(t testing.TB, settings *config.Settings) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- NewServer(settings, &config.OperatorSettings{}, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the server ended: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// TestThousandsOfKeepAliveConnections opens connections of workers, which stay open between
// heartbeats. Within the socket limit the server must answer every connection, with few threads and
// little memory per connection. Beyond the limit it must close new connections at once and go on
// serving the open connections. Far below the limit it must close none.
func TestThousandsOfKeepAliveConnections(t *testing.T) {
	const attempts, limit = 2400, 2000
	connect := func(maxSockets int) (keptCount, closedCount int) {
		settings := isolatedSettings(t)
		settings.Cluster.Workers.HeartbeatS, settings.Cluster.Workers.LeaseS, settings.Cluster.Workers.CancelS = 6, 31, 51
		settings.Cluster.Resources.RAMMB, settings.Cluster.Resources.MaxSockets = 322, maxSockets
		stop := runServer(t, settings)
		defer stop()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var openConns []net.Conn
		sendHeartbeat := func(conn net.Conn, i int) bool {
			body := mustEncode(wire.Heartbeat{Machine: fmt.Sprintf("i-%06d", i), Address: "10.1.0.1:9000", Type: "m", Zone: "a", Incarnation: 1, Seq: 1, Tasks: []wire.TaskStatus{}})
			conn.SetDeadline(time.Now().Add(30 * time.Second)) // reached only if the server does not answer
			if _, err := fmt.Fprintf(conn, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return false
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 503 && !resp.Close // no controller owns the class
		}
		for i := 0; i < attempts; i++ {
			var conn net.Conn
			var err error
			for range 100 { // the first attempts may fail, since the server may not listen yet
				if conn, err = net.Dial("tcp4", settings.APIAddr); err == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if err != nil {
				t.Fatal(err)
			}
			if sendHeartbeat(conn, i) {
				keptCount++
				openConns = append(openConns, conn)
			} else {
				closedCount++
				conn.Close()
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		// The clients run in this process too, so the bound covers both ends of each connection.
		if bytesPerConn := (int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)) / int64(keptCount); bytesPerConn > 64<<10 {
			t.Errorf("%d bytes per connection with %d connections", bytesPerConn, keptCount)
		}
		if tasks, err := os.ReadDir("/proc/self/task"); err == nil && len(tasks) > 200 {
			t.Errorf("%d threads for %d connections", len(tasks), keptCount)
		}
		for i, conn := range openConns {
			if i%10 == 0 && !sendHeartbeat(conn, i) {
				t.Errorf("connection %d is no longer served", i)
			}
			defer conn.Close()
		}
		return keptCount, closedCount
	}
	if keptCount, closedCount := connect(limit); keptCount > limit || keptCount < limit/2 || closedCount != attempts-keptCount {
		t.Errorf("%d connections kept and %d closed with a limit of %d sockets", keptCount, closedCount, limit)
	}
	if _, closedCount := connect(10 * attempts); closedCount > 0 {
		t.Errorf("%d connections closed far below the limit", closedCount)
	}
}
