// Package wire holds the messages of the protocol: their names, encoding and
// validation of form. The odd words of the wire live only here.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"umberpaddle/internal/limits"
)

// TaskState is where a task stands, as its worker reports it.
type TaskState string

// Task states.
const (
	TaskFetching TaskState = "fetching"
	// TaskGathering is a gang task that waits for the others of its attempt.
	TaskGathering TaskState = "gathering"
	TaskRunning   TaskState = "running"
	TaskSaving    TaskState = "saving"
	TaskEnded     TaskState = "ended"
)

// Cause tells why a task ended.
type Cause string

// Causes of a task's end.
const (
	CauseDone   Cause = "done"
	CauseHalted Cause = "halted"
	CauseError  Cause = "error"
	CauseNoRoom Cause = "no_room"
	CauseInUse  Cause = "in_use"
	CauseNoSuch Cause = "no_such"
	// CausePeers and CauseAlone end a gang task: another one is gone, or the gang was
	// not complete in time.
	CausePeers Cause = "peers"
	CauseAlone Cause = "alone"
)

// Verb is what a command asks of a worker.
type Verb string

// Verbs of commands.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "stop"
	VerbClear  Verb = "clear"
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

// JobStatus answers users.
type JobStatus struct {
	ID      string   `msgpack:"id"`
	Status  JobState `msgpack:"status"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

// ErrorBody explains a refusal.
type ErrorBody struct {
	Error string `msgpack:"error"`
}

// TaskReport is one task of a report.
type TaskReport struct {
	Task    string    `msgpack:"sheet"`
	Attempt uint64    `msgpack:"try"`
	State   TaskState `msgpack:"status"`
	Cause   Cause     `msgpack:"cause"`
	Saved   bool      `msgpack:"kept"`
}

// Report is what a worker sends.
type Report struct {
	Machine string       `msgpack:"hut"`
	Address string       `msgpack:"address"`
	Type    string       `msgpack:"build"`
	Zone    string       `msgpack:"valley"`
	Spot    bool         `msgpack:"loaners"`
	Session uint64       `msgpack:"shift"`
	Seq     uint64       `msgpack:"tally"`
	Token   uint64       `msgpack:"baton"`
	RecallS *float64     `msgpack:"recallS"`
	Tasks   []TaskReport `msgpack:"sheets"`
}

// Validate checks what decoding does not. It guards against reports whose texts would fit
// no record: their machines could never be written down, nor what waits beside them.
func (r *Report) Validate() error {
	if r.Machine == "" {
		return errors.New("hut: missing")
	}
	for _, field := range [...]struct{ name, text string }{{"hut", r.Machine}, {"address", r.Address}, {"build", r.Type}, {"valley", r.Zone}} {
		// Hundreds of reports come each second: a short text needs no closer look.
		if len(field.text) > limits.MaxTextBytes/escapeSize && escapedSize(field.text) > limits.MaxTextBytes {
			return fmt.Errorf("%s: longer than %d bytes", field.name, limits.MaxTextBytes)
		}
	}
	if s := r.RecallS; s != nil && !(math.Abs(*s) <= limits.MaxSeconds) {
		return errors.New("recallS: want a finite number of seconds")
	}
	return nil
}

// Command tells a worker what to do.
type Command struct {
	Verb    Verb    `msgpack:"verb"`
	Task    string  `msgpack:"sheet"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"leewayS,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token    uint64    `msgpack:"baton"`
	Commands []Command `msgpack:"orders"`
}

// Orders is commands sent straight to a worker.
type Orders struct {
	Token    uint64    `msgpack:"baton"`
	Session  uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// Redirect answers a report at the wrong node.
type Redirect struct {
	Owner string `msgpack:"steward,omitempty"`
}

// MachineType is one type that the cloud rents.
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

// MachineTypes answers GET /machine_types.
type MachineTypes struct {
	Types []MachineType `msgpack:"builds"`
}

// Hire asks for machines; HireReply names them.
type Hire struct {
	Request string `msgpack:"hire"`
	Type    string `msgpack:"build"`
	Zone    string `msgpack:"valley"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"count"`
}

// Machines names machines, in a reply to Hire and in a deletion.
type Machines struct {
	Machines []string `msgpack:"huts"`
}

// ListedMachine is one entry of the cloud's list.
type ListedMachine struct {
	ID      string        `msgpack:"id"`
	Address string        `msgpack:"address"`
	Type    string        `msgpack:"build"`
	Zone    string        `msgpack:"valley"`
	Spot    bool          `msgpack:"loaners"`
	Status  MachineStatus `msgpack:"status"`
	AgeS    float64       `msgpack:"ageS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"huts"`
	More     bool            `msgpack:"hasNext"`
}

// MachineStatus is what the cloud says of a machine.
type MachineStatus string

// Statuses of listed machines.
const (
	MachineBooting MachineStatus = "booting"
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// Row is a key of the state service.
type Row struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"permit"`
}

// Rows is one page of keys.
type Rows struct {
	Rows     []Row  `msgpack:"rows"`
	More     bool   `msgpack:"hasNext"`
	Revision uint64 `msgpack:"ledger"`
}

// Guard is a condition of a transaction.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"stamp"`
}

// Op is one change of a transaction: a put (Key) or a removal (Remove).
type Op struct {
	Key    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"permit,omitempty"`
	Remove string `msgpack:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Guards []Guard `msgpack:"guards"`
	Then   []Op    `msgpack:"then,omitempty"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease; LeaseReply names it.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"ttlMs"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease uint64 `msgpack:"permit"`
}

// Event is one change that a watch tells.
type Event struct {
	Put     string             `msgpack:"put"`
	Remove  string             `msgpack:"remove"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"permit"`
}

// Watched answers a watch.
type Watched struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}

// Encode writes a message.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Decode reads a message; a panic of the decoder on hostile bytes is an error.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decode %T: %v", v, p)
		}
	}()
	if err := Check(b); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
