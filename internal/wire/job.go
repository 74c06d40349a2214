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

// Urgency ranks.
const (
	UrgencyLow = iota
	UrgencyStandard
	UrgencyUrgent
	UrgencyProduction
)

var urgencies = map[string]int{"production": UrgencyProduction, "urgent": UrgencyUrgent, "standard": UrgencyStandard, "low": UrgencyLow}

var jobID = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidJobID tells whether id has the form of a job id.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

// Job is a validated submission. It is also the record that the state service
// keeps, so its fields have short names.
type Job struct {
	ID         string   `msgpack:"i"`
	Class      string   `msgpack:"c,omitempty"`
	Team       string   `msgpack:"t"`
	Urgency    int      `msgpack:"u,omitempty"`
	Tasks      int      `msgpack:"n"`
	Gang       bool     `msgpack:"ga,omitempty"` // all tasks run together or none does
	CPUs       float64  `msgpack:"p"`
	GPUs       float64  `msgpack:"g,omitempty"`
	MemoryGB   float64  `msgpack:"m"`
	Image      string   `msgpack:"l,omitempty"`
	ImageGB    float64  `msgpack:"lg,omitempty"`
	Types      []string `msgpack:"b,omitempty"` // the types on which a task fits
	Zone       string   `msgpack:"z,omitempty"`
	OneZone    bool     `msgpack:"oz,omitempty"`
	Spread     bool     `msgpack:"sp,omitempty"`
	Spot       bool     `msgpack:"s,omitempty"`
	EstimateS  float64  `msgpack:"e"`
	CheckS     float64  `msgpack:"k,omitempty"`
	SaveS      float64  `msgpack:"sv,omitempty"`
	DeadlineS  float64  `msgpack:"d,omitempty"` // 0: none
	SubmitUnix float64  `msgpack:"at"`          // time of day of acceptance, seconds
}

// Submission is a parsed submission before it meets the machine types.
type Submission struct {
	Job
	AnyType bool
	Listed  []string
}

// ParseSubmission checks the form of a submission. Its error is for the user. Only what
// may be null may be left out. Guards against jobs that were accepted though they lacked
// a field, and then ran as if it had been zero. With a good id, the submission comes
// along with the error.
func ParseSubmission(body []byte) (*Submission, error) {
	var m map[string]any
	if err := Decode(body, &m); err != nil || m == nil {
		return nil, fmt.Errorf("body is not a MessagePack map")
	}
	p := parser{m: m}
	s := &Submission{}
	s.ID = p.text("id", true)
	if p.err == nil && !ValidJobID(s.ID) {
		return nil, fmt.Errorf("id: want the form job-000412")
	}
	s.Class = clip(p.text("docket", true))
	s.Team = p.text("crew", true)
	form := p.text("form", true)
	if p.err == nil && form != formArray && form != formGang {
		return s, fmt.Errorf("form: unknown value")
	}
	s.Gang = form == formGang
	u := p.text("urgency", true)
	rank, ok := urgencies[u]
	if p.err == nil && !ok {
		return s, fmt.Errorf("urgency: unknown value")
	}
	s.Urgency = rank
	n := p.number("sheets", true)
	if p.err == nil && (n != math.Trunc(n) || n < 1 || n > limits.MaxTasks) {
		return s, fmt.Errorf("sheets: want a whole number from 1 to %d", limits.MaxTasks)
	}
	s.Tasks = int(n)
	s.CPUs = p.number("cores", true)
	s.GPUs = p.number("accelerators", true)
	s.MemoryGB = p.number("ramGb", true)
	s.Image = clip(p.mayBeEmpty("plate"))
	s.ImageGB = p.number("imageGb", true)
	s.Listed, s.AnyType = p.texts("builds")
	s.Zone = p.text("valley", false)
	s.OneZone = p.flag("oneZone")
	s.Spread = p.flag("scatter")
	s.Spot = p.flag("loaners")
	s.EstimateS = p.number("reckonS", true)
	s.CheckS = p.number("markS", true)
	s.SaveS = p.number("stowS", true)
	s.DeadlineS = p.number("dueS", false)
	if p.err != nil {
		return s, p.err
	}
	return s, nil
}

// clip shortens text that is only shown or compared, so that records stay small in the JSON
// form in which the state service measures them. It guards against a text of control
// characters that was six times as long there: the record was refused, and with it those
// of other users in the same transaction.
func clip(s string) string {
	size := 0
	for i, r := range s {
		if size += escapedSize(string(r)); size > limits.MaxTextBytes {
			return s[:i]
		}
	}
	return s
}

// escapeSize is the length of one escape in JSON, such as \u0000.
const escapeSize = 6

// escapedSize is the length of a text in JSON, where bytes that are not UTF-8, control
// characters and a few others are written as escapes.
func escapedSize(s string) int {
	size := 0
	for _, r := range s {
		if r < 0x20 || r == utf8.RuneError || strings.ContainsRune("\"\\<>&\u2028\u2029\u007f", r) {
			size += escapeSize
		} else {
			size += utf8.RuneLen(r)
		}
	}
	return size
}

type parser struct {
	m   map[string]any
	err error
}

func (p *parser) fail(name, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s: %s", name, want)
	}
}

func (p *parser) get(name string, must bool) (any, bool) {
	v, ok := p.m[name]
	if !ok || v == nil {
		if must {
			p.fail(name, "missing")
		}
		return nil, false
	}
	return v, true
}

func (p *parser) text(name string, must bool) string {
	v, ok := p.get(name, must)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok || (must && s == "") {
		p.fail(name, "want text")
	}
	return s
}

// mayBeEmpty is text that must be there.
func (p *parser) mayBeEmpty(name string) string {
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

func (p *parser) texts(name string) (list []string, absent bool) {
	v, ok := p.get(name, false)
	if !ok {
		return nil, true
	}
	items, ok := v.([]any)
	if !ok || len(items) > limits.MaxTypesListed {
		p.fail(name, "want a list of text")
		return nil, false
	}
	for _, it := range items {
		s, ok := it.(string)
		if !ok {
			p.fail(name, "want a list of text")
			return nil, false
		}
		list = append(list, s)
	}
	return list, false
}

func (p *parser) flag(name string) bool {
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

func (p *parser) number(name string, must bool) float64 {
	v, ok := p.get(name, must)
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

// AsFloat converts any decoded number.
func AsFloat(v any) (float64, bool) {
	switch x := v.(type) {
	case int8:
		return float64(x), true
	case int16:
		return float64(x), true
	case int32:
		return float64(x), true
	case int64:
		return float64(x), true
	case int:
		return float64(x), true
	case uint8:
		return float64(x), true
	case uint16:
		return float64(x), true
	case uint32:
		return float64(x), true
	case uint64:
		return float64(x), true
	case float32:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}
