package config

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"umberpaddle/internal/limits"
)

// OperatorSchema is the schema of the operators' file.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// Operator holds the operators' own settings, beyond the platform's file.
type Operator struct {
	IdleReturnS float64 `json:"idle_return_s"` // 0: the built-in value
	AllowSpot   *bool   `json:"allow_spot"`    // nil: true
	// Reachability switches on the view of links.
	Reachability Reachability `json:"reachability"`
}

// Reachability holds the operators' settings for the view of links; 0: the built-in value.
type Reachability struct {
	Enabled       bool    `json:"enabled"`
	SuspectFactor float64 `json:"suspect_factor"`
	FlapHalfLifeS float64 `json:"flap_half_life_s"`
	FlapSuppress  float64 `json:"flap_suppress"`
	FlapReuse     float64 `json:"flap_reuse"`
	FlapLongestS  float64 `json:"flap_longest_s"`
}

// check tells what the schema can't: how the settings go together.
func (r Reachability) check() error {
	suppress, reuse := cmp.Or(r.FlapSuppress, limits.FlapSuppress), cmp.Or(r.FlapReuse, limits.FlapReuse)
	if reuse >= suppress {
		return &FieldError{"operator.reachability.flap_reuse", "must be below flap_suppress"}
	}
	return nil
}

// Spot tells whether spot machines may be rented.
func (o *Operator) Spot() bool { return o.AllowSpot == nil || *o.AllowSpot }

// LoadOperator reads the operators' file; with no path, all is as built in.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	return ParseOperator(b)
}

// ParseOperator checks the bytes of the operators' file against the schema.
func ParseOperator(b []byte) (*Operator, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("operators' file is not JSON: %w", err)
	}
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(OperatorSchema))
	if err != nil {
		return nil, fmt.Errorf("operators' schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.schema.json", raw); err != nil {
		return nil, fmt.Errorf("operators' schema: %w", err)
	}
	schema, err := c.Compile("operator.schema.json")
	if err != nil {
		return nil, fmt.Errorf("operators' schema: %w", err)
	}
	if err := schema.Validate(doc); err != nil {
		var ve *jsonschema.ValidationError
		if errors.As(err, &ve) {
			for len(ve.Causes) > 0 {
				ve = ve.Causes[0]
			}
			lines := strings.Split(ve.Error(), "\n")
			return nil, &FieldError{"operator." + strings.Join(ve.InstanceLocation, "."), strings.TrimSpace(lines[len(lines)-1])}
		}
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	o := &Operator{}
	if err := json.Unmarshal(b, o); err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	if err := o.Reachability.check(); err != nil {
		return nil, err
	}
	return o, nil
}
