// Package wire defines the messages of the protocol: their fields, encoding and validation. Where the
// protocol's names for fields and values differ from the usual terms, the protocol's names appear only
// in this package.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/limits"
)

// TaskState is the state of a task, as its worker reports it.
type TaskState string

// Task states.
const (
	TaskFetching TaskState = "fetching"
	// TaskGathering is the state of a gang task that waits for the other tasks of its attempt.
	TaskGathering TaskState = "gathering"
	TaskRunning   TaskState = "running"
	TaskSaving    TaskState = "saving"
	TaskEnded     TaskState = "ended"
)

// Cause is the reason why a task ended.
type Cause string

// Causes of a task's end.
const (
	CauseDone   Cause = "done"
	CauseHalted Cause = "halted"
	CauseError  Cause = "error"
	CauseNoRoom Cause = "no_room"
	CauseInUse  Cause = "in_use"
	CauseNoSuch Cause = "no_such"
	// CausePeerLost and CauseGangIncomplete are causes of gang tasks: another task of the gang
	// ended or was lost, or the gang was not complete in time.
	CausePeerLost       Cause = "peers"
	CauseGangIncomplete Cause = "alone"
)

// Verb is the action that a command requests.
type Verb string

// Verbs of commands.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "stop"
	// VerbClear removes an ended attempt from the worker's heartbeats.
	VerbClear Verb = "clear"
)

// JobState is a job's state as users see it.
type JobState string

// Job states.
const (
	StatusPending   JobState = "pending"
	StatusRunning   JobState = "running"
	StatusDone      JobState = "done"
	StatusCancelled JobState = "cancelled"
)

// JobStatus is the reply to a user's request about a job. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      string   `msgpack:"id"`
	Status  JobState `msgpack:"status"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

// ErrorBody is the body of a reply that refuses a request.
type ErrorBody struct {
	Error string `msgpack:"error"`
}

// TaskStatus describes one task in a heartbeat.
type TaskStatus struct {
	Task    string    `msgpack:"sheet"`
	Attempt uint64    `msgpack:"try"`
	State   TaskState `msgpack:"status"`
	Cause   Cause     `msgpack:"cause"`
	Saved   bool      `msgpack:"kept"`
}

// Heartbeat is the message that a worker sends periodically, and in reply to a direct order.
// Incarnation numbers the incarnations of the worker: a new one begins when the worker restarts or
// its lease ends. Seq numbers the heartbeats of an incarnation. FencingToken is the highest fencing
// token that the worker has seen. RecallS is the time until the cloud takes the machine away, or nil
// if that is not announced.
type Heartbeat struct {
	Machine      string       `msgpack:"hut"`
	Address      string       `msgpack:"address"`
	Type         string       `msgpack:"build"`
	Zone         string       `msgpack:"valley"`
	Spot         bool         `msgpack:"loaners"`
	Incarnation  uint64       `msgpack:"shift"`
	Seq          uint64       `msgpack:"tally"`
	FencingToken uint64       `msgpack:"baton"`
	RecallS      *float64     `msgpack:"recallS"`
	Tasks        []TaskStatus `msgpack:"sheets"`
}

// Validate checks conditions on the values of a heartbeat that decoding does not check. A text that is
// too long for a record is invalid: without this check, neither the record of the machine nor the
// records in the same transaction could be written.
func (h *Heartbeat) Validate() error {
	if h.Machine == "" {
		return errors.New("hut: missing")
	}
	for _, field := range [...]struct{ name, text string }{{"hut", h.Machine}, {"address", h.Address}, {"build", h.Type}, {"valley", h.Zone}} {
		// Hundreds of heartbeats arrive each second, so a text that fits even if every byte is
		// escaped is not scanned.
		if len(field.text) > limits.MaxTextBytes/jsonEscapeBytes && jsonTextBytes(field.text) > limits.MaxTextBytes {
			return fmt.Errorf("%s: longer than %d bytes", field.name, limits.MaxTextBytes)
		}
	}
	if s := h.RecallS; s != nil && !(math.Abs(*s) <= limits.MaxSeconds) {
		return errors.New("recallS: want a finite number of seconds")
	}
	return nil
}

// Command is an instruction to a worker.
type Command struct {
	Verb    Verb    `msgpack:"verb"`
	Task    string  `msgpack:"sheet"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"leewayS,omitempty"`
}

// HeartbeatReply is the owner's reply to a heartbeat. It renews the worker's lease.
type HeartbeatReply struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// DirectOrder holds commands that an owner sends straight to a worker, outside a heartbeat reply. The
// worker refuses the order if Incarnation is not its own or it has seen a higher fencing token.
type DirectOrder struct {
	FencingToken uint64    `msgpack:"baton"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect is the reply to a heartbeat from a controller that does not own the machine's class. It
// names the owner.
type Redirect struct {
	Owner string `msgpack:"steward,omitempty"`
}

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name      string   `msgpack:"label"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"accelerators"`
	MemoryGB  float64  `msgpack:"ramGb"`
	CacheGB   float64  `msgpack:"localGb"`
	FetchGBps float64  `msgpack:"fetchGbPerS"`
	Price     float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"lowPrice"`
	BootS     float64  `msgpack:"startupS"`
	Zones     []string `msgpack:"valleys"`
}

// MachineTypes is the reply to GET /machine_types.
type MachineTypes struct {
	Types []MachineType `msgpack:"builds"`
}

// RentalRequest asks the cloud for machines; the reply is MachineIDs.
type RentalRequest struct {
	Request string `msgpack:"hire"`
	Type    string `msgpack:"build"`
	Zone    string `msgpack:"valley"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"count"`
}

// MachineIDs is the reply to RentalRequest, and the body of a request to delete machines.
type MachineIDs struct {
	Machines []string `msgpack:"huts"`
}

// ListedMachine is one entry of the cloud's machine list.
type ListedMachine struct {
	ID      string        `msgpack:"id"`
	Address string        `msgpack:"address"`
	Type    string        `msgpack:"build"`
	Zone    string        `msgpack:"valley"`
	Spot    bool          `msgpack:"loaners"`
	Status  MachineStatus `msgpack:"status"`
	AgeS    float64       `msgpack:"ageS"`
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"huts"`
	More     bool            `msgpack:"hasNext"`
}

// MachineStatus is the status of a machine in the cloud's list.
type MachineStatus string

// Statuses of listed machines.
const (
	MachineBooting MachineStatus = "booting"
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// KeyValue is a key of the state service with its value, version and lease.
type KeyValue struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"permit"`
}

// KeyValuePage is one page of keys with their values.
type KeyValuePage struct {
	Entries  []KeyValue `msgpack:"rows"`
	More     bool       `msgpack:"hasNext"`
	Revision uint64     `msgpack:"ledger"`
}

// Guard is a condition of a transaction: the version that a key must have.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"stamp"`
}

// Op is one write of a transaction: a put (Key) or a removal (Remove).
type Op struct {
	Key    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"permit,omitempty"`
	Remove string `msgpack:"remove,omitempty"`
}

// Txn is a transaction: its operations are applied only if all guards hold.
type Txn struct {
	Guards []Guard `msgpack:"guards"`
	Then   []Op    `msgpack:"then,omitempty"`
}

// TxnReply is the reply to a transaction.
type TxnReply struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease; the reply is LeaseReply.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"ttlMs"`
}

// LeaseReply names a granted lease.
type LeaseReply struct {
	Lease uint64 `msgpack:"permit"`
}

// Event is one change that a watch returns: a put (Put) or a removal (Remove).
type Event struct {
	Put     string             `msgpack:"put"`
	Remove  string             `msgpack:"remove"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"permit"`
}

// WatchReply is the reply to a watch.
type WatchReply struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}

// Encode returns the MessagePack encoding of a message.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Decode decodes a message. A panic of the decoder on malformed input is returned as an error.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decode %T: %v", v, p)
		}
	}()
	if err := CheckWellFormed(b); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
