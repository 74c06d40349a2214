package wire

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"unicode/utf8"

	"umberpaddle/internal/limits"
)

// Forms of jobs.
const (
	formArray = "batch"
	formGang  = "gang"
)

// Urgency levels, in ascending order.
const (
	UrgencyLow = iota
	UrgencyStandard
	UrgencyUrgent
	UrgencyProduction
)

var urgencyByName = map[string]int{"production": UrgencyProduction, "urgent": UrgencyUrgent, "standard": UrgencyStandard, "low": UrgencyLow}

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job ID.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// Job is a validated submission. It is also the record that is stored in the state service,
// so the encoded names of its fields are short.
type Job struct {
	ID            string   `msgpack:"i"`
	Class         string   `msgpack:"c,omitempty"`
	Team          string   `msgpack:"t"`
	Urgency       int      `msgpack:"u,omitempty"`
	Tasks         int      `msgpack:"n"`
	Gang          bool     `msgpack:"ga,omitempty"` // all tasks run at the same time, or none does
	CPUs          float64  `msgpack:"p"`
	GPUs          float64  `msgpack:"g,omitempty"`
	MemoryGB      float64  `msgpack:"m"`
	Image         string   `msgpack:"l,omitempty"`
	ImageGB       float64  `msgpack:"lg,omitempty"`
	Types         []string `msgpack:"b,omitempty"` // the machine types on which a task fits
	Zone          string   `msgpack:"z,omitempty"`
	OneZone       bool     `msgpack:"oz,omitempty"`
	Spread        bool     `msgpack:"sp,omitempty"`
	Spot          bool     `msgpack:"s,omitempty"`
	EstimateS     float64  `msgpack:"e"`            // estimated run time of a task
	CheckpointS   float64  `msgpack:"k,omitempty"`  // 0: the tasks save no checkpoints
	SaveDurationS float64  `msgpack:"sv,omitempty"` // time that a task takes to save a checkpoint
	DeadlineS     float64  `msgpack:"d,omitempty"`  // 0: none
	SubmitUnix    float64  `msgpack:"at"`           // Unix time of acceptance, seconds
}

// Submission is a parsed submission whose machine types are not resolved yet: Job.Types is empty.
// AllowedTypes are the types that the user listed; AnyType is set if there was no list.
type Submission struct {
	Job
	AnyType      bool
	AllowedTypes []string
}

// ParseSubmission decodes and validates a submission. The error is for the user. Only fields that may be
// null may be left out. Without this rule, jobs that lack a field would be accepted and run as if the
// field were zero. If the ID is valid but another field is not, ParseSubmission returns the submission
// together with the error.
func ParseSubmission(body []byte) (*Submission, error) {
	var fields map[string]any
	if err := Decode(body, &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("body is not a MessagePack map")
	}
	parser := fieldParser{fields: fields}
	submission := &Submission{}
	submission.ID = parser.text("id", true)
	if parser.err == nil && !ValidJobID(submission.ID) {
		return nil, fmt.Errorf("id: want the form job-000412")
	}
	submission.Class = truncateText(parser.text("docket", true))
	submission.Team = parser.text("crew", true)
	form := parser.text("form", true)
	if parser.err == nil && form != formArray && form != formGang {
		return submission, fmt.Errorf("form: unknown value")
	}
	submission.Gang = form == formGang
	urgencyName := parser.text("urgency", true)
	urgency, ok := urgencyByName[urgencyName]
	if parser.err == nil && !ok {
		return submission, fmt.Errorf("urgency: unknown value")
	}
	submission.Urgency = urgency
	tasks := parser.number("sheets", true)
	if parser.err == nil && (tasks != math.Trunc(tasks) || tasks < 1 || tasks > limits.MaxTasks) {
		return submission, fmt.Errorf("sheets: want a whole number from 1 to %d", limits.MaxTasks)
	}
	submission.Tasks = int(tasks)
	submission.CPUs = parser.number("cores", true)
	submission.GPUs = parser.number("accelerators", true)
	submission.MemoryGB = parser.number("ramGb", true)
	submission.Image = truncateText(parser.possiblyEmptyText("plate"))
	submission.ImageGB = parser.number("imageGb", true)
	submission.AllowedTypes, submission.AnyType = parser.texts("builds")
	submission.Zone = parser.text("valley", false)
	submission.OneZone = parser.flag("oneZone")
	submission.Spread = parser.flag("scatter")
	submission.Spot = parser.flag("loaners")
	submission.EstimateS = parser.number("reckonS", true)
	submission.CheckpointS = parser.number("markS", true)
	submission.SaveDurationS = parser.number("stowS", true)
	submission.DeadlineS = parser.number("dueS", false)
	if parser.err != nil {
		return submission, parser.err
	}
	return submission, nil
}

// truncateText shortens a text to limits.MaxTextBytes, so that records stay small. It is for texts that
// are only displayed or compared. The limit applies to the text in JSON, the form in which the state
// service measures records: a text of control characters is six times as long in JSON, and if only its
// own length were limited, the state service would refuse the record and with it the records of other
// users in the same transaction.
func truncateText(text string) string {
	size := 0
	for i, r := range text {
		if size += jsonTextBytes(string(r)); size > limits.MaxTextBytes {
			return text[:i]
		}
	}
	return text
}

// jsonEscapeBytes is the length of an escape sequence in JSON, such as \u0000.
const jsonEscapeBytes = 6

// jsonTextBytes returns the length of a text in JSON, where bytes that are not UTF-8, control
// characters and a few other characters are written as escape sequences.
func jsonTextBytes(s string) int {
	size := 0
	for _, r := range s {
		if r < 0x20 || r == utf8.RuneError || strings.ContainsRune("\"\\<>&\u2028\u2029\u007f", r) {
			size += jsonEscapeBytes
		} else {
			size += utf8.RuneLen(r)
		}
	}
	return size
}

// fieldParser reads the fields of a submission. It keeps the first error.
type fieldParser struct {
	fields map[string]any
	err    error
}

// fail records the error of a field, unless there is an earlier error.
func (p *fieldParser) fail(name, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s: %s", name, want)
	}
}

// get returns the value of a field, and whether the field is present. Null counts as absent.
func (p *fieldParser) get(name string, required bool) (any, bool) {
	v, ok := p.fields[name]
	if !ok || v == nil {
		if required {
			p.fail(name, "missing")
		}
		return nil, false
	}
	return v, true
}

// text returns a text field. A required text must not be empty.
func (p *fieldParser) text(name string, required bool) string {
	v, ok := p.get(name, required)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok || (required && s == "") {
		p.fail(name, "want text")
	}
	return s
}

// possiblyEmptyText returns a required text field that may be empty.
func (p *fieldParser) possiblyEmptyText(name string) string {
	v, ok := p.get(name, true)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		p.fail(name, "want text")
	}
	return s
}

// texts returns an optional list of texts, and whether it is absent.
func (p *fieldParser) texts(name string) (list []string, absent bool) {
	v, ok := p.get(name, false)
	if !ok {
		return nil, true
	}
	items, ok := v.([]any)
	if !ok || len(items) > limits.MaxTypesListed {
		p.fail(name, "want a list of text")
		return nil, false
	}
	for _, item := range items {
		s, ok := item.(string)
		if !ok {
			p.fail(name, "want a list of text")
			return nil, false
		}
		list = append(list, s)
	}
	return list, false
}

func (p *fieldParser) flag(name string) bool {
	v, ok := p.get(name, true)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		p.fail(name, "want true or false")
	}
	return b
}

func (p *fieldParser) number(name string, required bool) float64 {
	v, ok := p.get(name, required)
	if !ok {
		return 0
	}
	f, ok := AsFloat(v)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || f > 1e12 {
		p.fail(name, "want a finite number, zero or more")
		return 0
	}
	return f
}

// AsFloat converts a decoded number of any type. It reports false for other values.
func AsFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case int8:
		return float64(number), true
	case int16:
		return float64(number), true
	case int32:
		return float64(number), true
	case int64:
		return float64(number), true
	case int:
		return float64(number), true
	case uint8:
		return float64(number), true
	case uint16:
		return float64(number), true
	case uint32:
		return float64(number), true
	case uint64:
		return float64(number), true
	case float32:
		return float64(number), true
	case float64:
		return number, true
	}
	return 0, false
}
