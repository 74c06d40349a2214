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

// lonelySettings are the settings of a controller with no state service, cloud or peers around it.
func lonelySettings(t testing.TB) *config.Settings {
	t.Helper()
	set := &config.Settings{Label: "a", APIAddr: freeAddr(t), PeerBind: freeAddr(t)}
	set.External.State, set.External.Cloud = freeAddr(t), freeAddr(t)
	cluster := &set.Cluster
	cluster.Teams = []config.Team{{Name: "blue"}}
	cluster.Workers.ReportS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 3, 14, 34
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 100, 50, 8, 4
	cluster.Cloud.RPS = 2
	return set
}

// runServer runs a server until stop is called, or else until the test ends. It must not end by itself.
func runServer(t testing.TB, set *config.Settings) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- NewServer(set, &config.OperatorSettings{}, slog.New(slog.DiscardHandler)).Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the server ended: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// TestThousandsOfKeptConnections: workers keep their connections open between
// reports. Within the limit of sockets all are answered, with few threads and
// little memory for each; beyond it new ones are closed at once, and those that
// are open are served on. Without the limit none may be closed.
func TestThousandsOfKeptConnections(t *testing.T) {
	const dialled, limit = 2400, 2000
	play := func(sockets int) (kept, closed int) {
		set := lonelySettings(t)
		set.Cluster.Workers.ReportS, set.Cluster.Workers.LeaseS, set.Cluster.Workers.CancelS = 6, 31, 51
		set.Cluster.Resources.RAMMB, set.Cluster.Resources.MaxSockets = 322, sockets
		stop := runServer(t, set)
		defer stop()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var open []net.Conn
		report := func(c net.Conn, i int) bool {
			body := pack(wire.Report{Machine: fmt.Sprintf("i-%06d", i), Address: "10.1.0.1:9000", Type: "m", Zone: "a", Session: 1, Seq: 1, Tasks: []wire.TaskReport{}})
			c.SetDeadline(time.Now().Add(30 * time.Second)) // only bounds a broken run
			if _, err := fmt.Fprintf(c, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return false
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 503 && !resp.Close // nobody owns the class
		}
		for i := 0; i < dialled; i++ {
			var c net.Conn
			var err error
			for range 100 { // until it listens
				if c, err = net.Dial("tcp4", set.APIAddr); err == nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if err != nil {
				t.Fatal(err)
			}
			if report(c, i) {
				kept++
				open = append(open, c)
			} else {
				closed++
				c.Close()
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		// Both ends are in this process, so the bound is generous.
		if per := (int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)) / int64(kept); per > 64<<10 {
			t.Errorf("%d bytes for each of %d connections", per, kept)
		}
		if tasks, err := os.ReadDir("/proc/self/task"); err == nil && len(tasks) > 200 {
			t.Errorf("%d threads for %d connections", len(tasks), kept)
		}
		for i, c := range open {
			if i%10 == 0 && !report(c, i) {
				t.Errorf("connection %d is served no more", i)
			}
			defer c.Close()
		}
		return kept, closed
	}
	if kept, closed := play(limit); kept > limit || kept < limit/2 || closed != dialled-kept {
		t.Errorf("%d kept and %d closed with a limit of %d sockets", kept, closed, limit)
	}
	if _, closed := play(10 * dialled); closed > 0 {
		t.Errorf("%d closed far below the limit", closed)
	}
}
