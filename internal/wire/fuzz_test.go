package wire

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// addSeeds adds well-formed and malformed messages to the seed corpus of a fuzz test.
func addSeeds(f *testing.F) {
	recallS := 12.5
	for _, message := range []any{
		validSubmission(),
		Heartbeat{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1, Seq: 88, FencingToken: 41, RecallS: &recallS,
			Tasks: []TaskStatus{{Task: "job-000412/3", Attempt: 2, State: TaskGathering}, {Task: "job-000398/0", Attempt: 1, State: TaskEnded, Cause: CausePeerLost}}},
		MachineTypes{Types: []MachineType{{Name: "g8", CPUs: 96, Zones: []string{"a", "b"}}}},
		MachineList{Machines: []ListedMachine{{ID: "i-1", Status: MachineBooting, AgeS: 2}}},
		KeyValuePage{Entries: []KeyValue{{Key: "u/o/job-1", Value: msgpack.RawMessage{0x80}, Version: 3}}, Revision: 9},
		WatchReply{Revision: 4, Events: []Event{{Put: "u/c/job-1", Value: msgpack.RawMessage{0xc3}}}},
		TxnReply{Revision: 432, Failed: []string{"a/b"}},
	} {
		body, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Add([]byte("\x87\xa3hut\xa3i-1"))
	f.Add([]byte{})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc1})
}

// FuzzParseSubmission checks that any input is either refused or parsed into a submission within the
// bounds that records and resource computations rely on.
func FuzzParseSubmission(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		submission, err := ParseSubmission(body)
		if err != nil {
			return
		}
		if !ValidJobID(submission.ID) || submission.Tasks < 1 || submission.Team == "" || submission.CPUs < 0 || submission.MemoryGB < 0 {
			t.Fatalf("accepted: %+v", submission)
		}
		record, err := Encode(submission.Job)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Job
		if err := Decode(record, &decoded); err != nil || decoded.ID != submission.ID || decoded.Gang != submission.Gang {
			t.Fatalf("the record was decoded as %+v, error %v", decoded, err)
		}
	})
}

// FuzzDecode checks, for every type of message, that any input is either rejected with an error or
// decoded into a message that can be encoded again.
func FuzzDecode(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, message := range []any{&Heartbeat{}, &MachineTypes{}, &MachineList{}, &MachineIDs{}, &KeyValuePage{}, &WatchReply{}, &TxnReply{}, &LeaseReply{}, &Job{}} {
			if Decode(body, message) != nil {
				continue
			}
			if _, err := Encode(message); err != nil {
				t.Errorf("%T was decoded, but encoding it again failed: %v", message, err)
			}
			if heartbeat, ok := message.(*Heartbeat); ok && heartbeat.Validate() == nil && heartbeat.Machine == "" {
				t.Errorf("a heartbeat without a machine is valid: %+v", heartbeat)
			}
		}
	})
}
