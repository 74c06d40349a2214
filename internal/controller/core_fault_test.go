package controller

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"umberpaddle/internal/config"
)

// TestRepliesToAnEarlierCoreAreDropped guards against a controller whose core was started
// afresh after a fault: calls are counted anew, so the late reply to a call of the core before
// passed for that to a call of the present one, which then acted on what was read long ago.
func TestRepliesToAnEarlierCoreAreDropped(t *testing.T) {
	t.Parallel()
	readings := make(chan chan struct{}, 8) // one for each reading of the records, to let it go on
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.RequestURI(), "/kv?") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		release := make(chan struct{})
		readings <- release
		<-release
		if _, err := w.Write(pack(map[string]any{"rows": []any{}, "hasNext": false, "ledger": 7})); err != nil {
			t.Errorf("the reading was not answered: %v", err)
		}
	}))
	defer state.Close()
	s := faultyServer(t, state.Listener.Addr().String())
	next := func() { s.handle(waitForReply(t, s)) }

	s.handle(inboxEvent{input: Tick{}})
	early := <-readings
	s.core.jobs = nil // a fault: the next step fails
	s.handle(inboxEvent{input: Tick{}})
	s.handle(inboxEvent{input: Tick{}})
	late := <-readings

	close(early)
	next()
	if s.core.store.Mirror.Loaded {
		t.Error("the reply to the core before the fault was taken")
	}
	close(late)
	next()
	if !s.core.store.Mirror.Loaded {
		t.Error("the reply to the present core was dropped")
	}
}

// faultyServer is a controller whose loop the test turns by hand. Only its state service answers.
func faultyServer(t *testing.T, state string) *Server {
	t.Helper()
	set := &config.Settings{Label: "a"}
	set.External.State, set.External.Cloud = state, freeAddr(t)
	cluster := &set.Cluster
	cluster.Workers.ReportS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 6, 31, 51
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 100, 50, 8, 4
	cluster.Resources.MaxSockets = 100
	s := NewServer(set, &config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.ctx = ctx
	return s
}

// waitForReply returns the next reply of the state service.
func waitForReply(t *testing.T, s *Server) inboxEvent {
	t.Helper()
	for timeout := time.After(waitLimit); ; {
		select {
		case e := <-s.inbox:
			if _, ok := e.input.(StoreReply); ok {
				return e
			}
		case <-timeout:
			t.Fatal("no reply of the state service")
		}
	}
}
