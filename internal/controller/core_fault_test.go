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

// TestRepliesToAnEarlierCoreAreDropped checks that a controller does not act on stale records after
// its core is replaced because of a fault. The new core numbers its calls from the start again, so
// a late reply to a call of the earlier core can be mistaken for the reply to a call of the new
// core.
func TestRepliesToAnEarlierCoreAreDropped(t *testing.T) {
	t.Parallel()
	pendingReads := make(chan chan struct{}, 8) // for each read of the records, a channel that releases its reply
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.RequestURI(), "/kv?") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		release := make(chan struct{})
		pendingReads <- release
		<-release
		if _, err := w.Write(mustEncode(map[string]any{"rows": []any{}, "hasNext": false, "ledger": 7})); err != nil {
			t.Errorf("cannot send the reply to the read of the records: %v", err)
		}
	}))
	defer state.Close()
	server := newManualServer(t, state.Listener.Addr().String())
	handleReply := func() { server.handleEvent(waitForStoreReply(t, server)) }

	server.handleEvent(inboxEvent{input: Tick{}})
	releaseEarlier := <-pendingReads
	server.core.jobs = nil // makes the next step panic
	server.handleEvent(inboxEvent{input: Tick{}})
	server.handleEvent(inboxEvent{input: Tick{}})
	releaseCurrent := <-pendingReads

	close(releaseEarlier)
	handleReply()
	if server.core.store.Mirror.Loaded {
		t.Error("the reply to a call of the core before the fault was accepted")
	}
	close(releaseCurrent)
	handleReply()
	if !server.core.store.Mirror.Loaded {
		t.Error("the reply to a call of the current core was dropped")
	}
}

// newManualServer returns a controller whose event loop does not run: the test passes each event to
// it. Of the external services, only the state service, at stateAddr, answers.
func newManualServer(t *testing.T, stateAddr string) *Server {
	t.Helper()
	settings := &config.Settings{Label: "a"}
	settings.External.State, settings.External.Cloud = stateAddr, freeAddr(t)
	cluster := &settings.Cluster
	cluster.Workers.HeartbeatS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 6, 31, 51
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.TxnOps, cluster.State.ValueKB = 100, 50, 8, 4
	cluster.Resources.MaxSockets = 100
	server := NewServer(settings, &config.OperatorSettings{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server.ctx = ctx
	return server
}

// waitForStoreReply returns the event with the next reply of the state service and drops the events
// before it.
func waitForStoreReply(t *testing.T, server *Server) inboxEvent {
	t.Helper()
	for timeout := time.After(waitLimit); ; {
		select {
		case event := <-server.inbox:
			if _, ok := event.input.(StoreReply); ok {
				return event
			}
		case <-timeout:
			t.Fatal("the state service sent no reply")
		}
	}
}
