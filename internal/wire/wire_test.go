package wire

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"umberpaddle/internal/limits"
)

func validSubmission() map[string]any {
	return map[string]any{"id": "job-000412", "docket": "train", "crew": "vision", "form": "batch", "urgency": "urgent", "sheets": 16,
		"cores": 8.0, "accelerators": 1, "ramGb": 64.0, "plate": "img-07", "imageGb": 6.2, "builds": []string{"g8"}, "valley": nil,
		"oneZone": true, "scatter": false, "loaners": true, "reckonS": 240.0, "markS": 30.0, "stowS": 4.0, "dueS": 900.0, "news": "ignored"}
}

func parseFields(t *testing.T, fields map[string]any) (*Submission, error) {
	t.Helper()
	b, err := Encode(fields)
	if err != nil {
		t.Fatal(err)
	}
	return ParseSubmission(b)
}

// TestParseSubmission checks that each field of a submission is parsed into the job, and that
// unknown fields are ignored.
func TestParseSubmission(t *testing.T) {
	got, err := parseFields(t, validSubmission())
	if err != nil {
		t.Fatal(err)
	}
	want := &Submission{AllowedTypes: []string{"g8"}, Job: Job{ID: "job-000412", Class: "train", Team: "vision", Urgency: 2, Tasks: 16, CPUs: 8, GPUs: 1,
		MemoryGB: 64, Image: "img-07", ImageGB: 6.2, OneZone: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveDurationS: 4, DeadlineS: 900}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// TestParseGang checks that a submission with the form gang is parsed as a gang.
func TestParseGang(t *testing.T) {
	fields := validSubmission()
	fields["form"] = "gang"
	if s, err := parseFields(t, fields); err != nil || !s.Gang {
		t.Errorf("parsed %+v, error %v; want a gang", s, err)
	}
}

// TestParseSubmissionRejectsInvalid checks that an invalid field leads to an error that starts with
// the name of the field, and that missing fields and malformed bodies are rejected.
func TestParseSubmissionRejectsInvalid(t *testing.T) {
	invalid := map[string]any{"id": "job-x", "form": "choir", "urgency": "now", "sheets": 0, "cores": math.NaN(), "ramGb": -1.0,
		"reckonS": math.Inf(1), "crew": 7, "builds": "g8", "oneZone": "yes", "dueS": "soon", "plate": 3, "docket": nil}
	for field, v := range invalid {
		fields := validSubmission()
		fields[field] = v
		if _, err := parseFields(t, fields); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s=%v: got %v, want an error that names the field", field, v, err)
		}
	}
	for _, field := range []string{"id", "docket", "crew", "form", "urgency", "sheets", "cores", "accelerators", "ramGb", "plate", "imageGb",
		"oneZone", "scatter", "loaners", "reckonS", "markS", "stowS"} {
		fields := validSubmission()
		delete(fields, field)
		if _, err := parseFields(t, fields); err == nil {
			t.Errorf("without %s: accepted", field)
		}
	}
	for _, field := range []string{"builds", "valley", "dueS"} { // these may be null
		fields := validSubmission()
		delete(fields, field)
		if _, err := parseFields(t, fields); err != nil {
			t.Errorf("without %s: %v", field, err)
		}
	}
	for _, v := range []any{1.5, 100001, "16"} {
		fields := validSubmission()
		fields["sheets"] = v
		if _, err := parseFields(t, fields); err == nil {
			t.Errorf("sheets=%v: accepted", v)
		}
	}
	// Some of these bodies declare billions of entries in a few bytes. Without CheckWellFormed, a
	// body of 40 bytes uses up all memory.
	for _, b := range [][]byte{nil, {0xc1}, {0x93, 1, 2, 3}, {0xc0}, bytes.Repeat([]byte{0xdf}, 40), {0xdd, 0xff, 0xff, 0xff, 0xff}, bytes.Repeat([]byte{0x91}, 1000), {0x81, 0xa1, 'a'}} {
		if _, err := ParseSubmission(b); err == nil {
			t.Errorf("% x: accepted", b)
		}
	}
}

// TestLongTextsFitRecord checks that the record of a submission with long names stays below the
// maximum size of a value in the state service.
func TestLongTextsFitRecord(t *testing.T) {
	fields := validSubmission()
	fields["plate"], fields["docket"] = strings.Repeat("p", 20000), strings.Repeat("d", 20000)
	submission, err := parseFields(t, fields)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := Encode(submission.Job); err != nil || len(b) > 1024 {
		t.Errorf("record of %d bytes, %v", len(b), err)
	}
}

// TestEncodedBytes checks the encoding of a message to a worker and the decoding of a message from a
// worker, byte for byte.
func TestEncodedBytes(t *testing.T) {
	got, err := Encode(HeartbeatReply{FencingToken: 41, Commands: []Command{{Verb: VerbStop, Task: "job-1/0", Attempt: 2, GraceS: 10}}})
	if err != nil {
		t.Fatal(err)
	}
	want := "\x82\xa5baton\x29\xa6orders\x91\x84\xa4verb\xa4stop\xa5sheet\xa7job-1/0\xa3try\x02\xa7leewayS\xcb\x40\x24\x00\x00\x00\x00\x00\x00"
	if string(got) != want {
		t.Errorf("encoded as %q", got)
	}
	in := "\x87\xa3hut\xa3i-1\xa5build\xa2g8\xa5shift\x01\xa5tally\xcc\xc8\xa5baton\x29\xa7recallS\xc0\xa6sheets\x91\x84\xa5sheet\xa7job-1/0\xa3try\x02\xa6status\xa5ended\xa5cause\xa4done"
	var heartbeat Heartbeat
	if err := Decode([]byte(in), &heartbeat); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(Heartbeat{Machine: "i-1", Type: "g8", Incarnation: 1, Seq: 200, FencingToken: 41, Tasks: []TaskStatus{{Task: "job-1/0", Attempt: 2, State: TaskEnded, Cause: CauseDone}}}, heartbeat); d != "" {
		t.Error(d)
	}
}

// TestCheckAcceptsEncoderOutput checks that CheckWellFormed accepts every kind of value that the
// encoder writes, and rejects the same value without its last byte.
func TestCheckAcceptsEncoderOutput(t *testing.T) {
	for _, v := range []any{validSubmission(), []any{uint64(1 << 60), int64(-1 << 40), -5, 300, 70000, 1.5, float32(2), nil, true,
		strings.Repeat("x", 20), strings.Repeat("x", 300), strings.Repeat("x", 70000)}, make([]int, 20), make([]int, 70000)} {
		encoded, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckWellFormed(encoded); err != nil {
			t.Errorf("%T of %d bytes: %v", v, len(encoded), err)
		}
		if err := CheckWellFormed(encoded[:len(encoded)-1]); err == nil {
			t.Errorf("%T of %d bytes without its last byte: accepted", v, len(encoded))
		}
	}
}

// TestTextsAreTruncatedByJSONLength checks that a text is truncated by its length in JSON, the form
// in which the state service measures values.
func TestTextsAreTruncatedByJSONLength(t *testing.T) {
	for name, text := range map[string]string{
		"plain": strings.Repeat("x", 1000), "control characters": strings.Repeat("\x01", 1000), "quotes": strings.Repeat(`"`, 1000),
		"no UTF-8": strings.Repeat("\xff", 1000), "wide": strings.Repeat("ž", 1000),
	} {
		fields := validSubmission()
		fields["docket"] = text
		submission, err := parseFields(t, fields)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		encoded, err := json.Marshal(submission.Class)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded)-2 > limits.MaxTextBytes || len(submission.Class) < limits.MaxTextBytes/6-1 {
			t.Errorf("%s: truncated to %d bytes, %d in JSON", name, len(submission.Class), len(encoded)-2)
		}
	}
}

// TestHeartbeatValidation checks that a heartbeat without a machine, with too long texts or with a
// recall time that is not finite is invalid. A recall time that has just passed is valid.
func TestHeartbeatValidation(t *testing.T) {
	validHeartbeat := func() *Heartbeat { return &Heartbeat{Machine: "i-1", Address: "10.1.0.1:9000", Type: "g8", Zone: "a"} }
	if err := validHeartbeat().Validate(); err != nil {
		t.Error(err)
	}
	long, nan, inf, justPassed := strings.Repeat("x", 300), math.NaN(), math.Inf(1), -0.5
	for name, invalidate := range map[string]func(h *Heartbeat){
		"no machine":   func(h *Heartbeat) { h.Machine = "" },
		"long machine": func(h *Heartbeat) { h.Machine = long },
		"long address": func(h *Heartbeat) { h.Address = long },
		"long type":    func(h *Heartbeat) { h.Type = long },
		"long zone":    func(h *Heartbeat) { h.Zone = long },
		"recall NaN":   func(h *Heartbeat) { h.RecallS = &nan },
		"recall inf":   func(h *Heartbeat) { h.RecallS = &inf },
	} {
		h := validHeartbeat()
		invalidate(h)
		if h.Validate() == nil {
			t.Errorf("%s: accepted as valid", name)
		}
	}
	h := validHeartbeat()
	h.RecallS = &justPassed
	if err := h.Validate(); err != nil {
		t.Errorf("a recall whose time has just passed: %v", err)
	}
}
