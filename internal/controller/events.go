package controller

import (
	"log/slog"
	"time"

	"umberpaddle/internal/fleet"
	"umberpaddle/internal/statestore"
	"umberpaddle/internal/wire"
)

// Now is the time that an input brings along.
type Now struct {
	Steady time.Duration // steady clock, from any origin
	Unix   float64       // time of day in seconds
}

// Input is something that happened, for Core.Step.
type Input interface{ input() }

// Inputs of the core.
type (
	// Tick lets time pass.
	Tick struct{}
	// Submit is a submission; Query and Cancel are about a job.
	Submit struct {
		Ref  uint64
		Body []byte
	}
	// Query asks for a job's state.
	Query struct {
		Ref uint64
		ID  string
	}
	// Cancel cancels a job.
	Cancel struct {
		Ref uint64
		ID  string
	}
	// Ready asks whether the node takes requests.
	Ready struct{ Ref uint64 }
	// LinksQuery asks what this controller knows of links.
	LinksQuery struct{ Ref uint64 }
	// Checkin is a worker's report.
	Checkin struct {
		Ref    uint64
		Report *wire.Report
	}
	// StoreReply is what came of a call to the state service.
	StoreReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// CloudReply is what came of a call to the cloud.
	CloudReply struct {
		ID     uint64
		Status int
		Body   []byte
	}
	// PeerReply is a peer's answer to a PeerCall; the empty one stands for none.
	PeerReply struct {
		Call       PeerCall
		Answer     PeerAnswer
		Unanswered bool
	}
	// PeerRequest is a peer's PeerCall as it arrives here.
	PeerRequest struct {
		Ref uint64
		Msg PeerMessage
	}
)

// Output is something to do outside, as Core.Step returns it.
type Output interface{ output() }

// Outputs of the core.
type (
	// Answer answers the input with the same Ref. It must not leave after Until, if
	// that is set.
	Answer struct {
		Ref        uint64
		Status     int
		Body       any
		RetryAfter int
		Until      time.Duration
	}
	// StoreCall is a request to the state service, CloudCall one to the cloud.
	StoreCall struct{ statestore.Call }
	// CloudCall is a request to the cloud.
	CloudCall struct{ fleet.Call }
	// Log is a line for the operator.
	Log struct {
		Level slog.Level
		Msg   string
		Args  []any
	}
	// PeerCall is a message to a peer.
	PeerCall struct {
		Peer   string
		Sent   time.Duration
		Msg    PeerMessage
		Number uint64 // among the calls to peers, if links are monitored
	}
)

func (Tick) input()        {}
func (Submit) input()      {}
func (Query) input()       {}
func (Cancel) input()      {}
func (Ready) input()       {}
func (LinksQuery) input()  {}
func (Checkin) input()     {}
func (StoreReply) input()  {}
func (CloudReply) input()  {}
func (DirectReply) input() {}
func (PeerReply) input()   {}
func (PeerRequest) input() {}

func (Answer) output()     {}
func (StoreCall) output()  {}
func (CloudCall) output()  {}
func (DirectCall) output() {}
func (PeerCall) output()   {}
func (Log) output()        {}
