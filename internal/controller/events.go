package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// Now is the current time when an input is processed.
type Now struct {
	Steady time.Duration // monotonic clock with an arbitrary origin
	Unix   float64       // wall clock, in seconds since the Unix epoch
}

// Input is an event for Core.Step to process.
type Input interface{ input() }

// Inputs of the core. Ref identifies a request: its Answer carries the same Ref.
type (
	// Tick is a timer event: it runs the work that has become due.
	Tick struct{}
	// Submit is a user's submission of a job.
	Submit struct {
		Ref  uint64
		Body []byte
	}
	// Query is a user's request for a job's state.
	Query struct {
		Ref uint64
		ID  string
	}
	// Cancel is a user's request to cancel a job.
	Cancel struct {
		Ref uint64
		ID  string
	}
	// Ready is a readiness check, which asks whether the node accepts requests of users.
	Ready struct{ Ref uint64 }
	// LinksQuery is an operator's request for this controller's view of the links.
	LinksQuery struct{ Ref uint64 }
	// HeartbeatRequest is a worker's heartbeat.
	HeartbeatRequest struct {
		Ref       uint64
		Heartbeat *wire.Heartbeat
	}
	// StoreReply is the result of a StoreCall.
	StoreReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// CloudReply is the result of a CloudCall.
	CloudReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// PeerReply is the result of a PeerCall. Unanswered is set, and Answer is empty, if the peer
	// did not answer.
	PeerReply struct {
		Call       PeerCall
		Answer     PeerAnswer
		Unanswered bool
	}
	// PeerRequest is a message received from a peer.
	PeerRequest struct {
		Ref uint64
		Msg PeerMessage
	}
)

// Output is an action that Core.Step asks its caller to perform.
type Output interface{ output() }

// Outputs of the core.
type (
	// Answer is the response to the input with the same Ref. If Until is set, the answer must
	// not be sent after that time.
	Answer struct {
		Ref        uint64
		Status     int
		Body       any
		RetryAfter int
		Until      time.Duration
	}
	// StoreCall is a request to the state service.
	StoreCall struct{ statestore.Call }
	// CloudCall is a request to the cloud API.
	CloudCall struct{ fleet.Call }
	// Log is a log line.
	Log struct {
		Level slog.Level
		Msg   string
		Args  []any
	}
	// PeerCall is a message to a peer. SentAt is the time of the step that returned the call.
	PeerCall struct {
		Peer   string
		SentAt time.Duration
		Msg    PeerMessage
		Number uint64 // sequence number among the calls to peers; 0 unless links are monitored
	}
)

func (Tick) input()             {}
func (Submit) input()           {}
func (Query) input()            {}
func (Cancel) input()           {}
func (Ready) input()            {}
func (LinksQuery) input()       {}
func (HeartbeatRequest) input() {}
func (StoreReply) input()       {}
func (CloudReply) input()       {}
func (DirectReply) input()      {}
func (PeerReply) input()        {}
func (PeerRequest) input()      {}

func (Answer) output()     {}
func (StoreCall) output()  {}
func (CloudCall) output()  {}
func (DirectCall) output() {}
func (PeerCall) output()   {}
func (Log) output()        {}
