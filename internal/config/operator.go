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

// OperatorSchema is the JSON schema of the operator settings file.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// OperatorSettings is the content of the operator settings file, with which operators adjust a controller
// beyond the platform settings.
type OperatorSettings struct {
	IdleReturnS float64 `json:"idle_return_s"` // 0: the built-in default
	AllowSpot   *bool   `json:"allow_spot"`    // nil: true
	// Reachability enables and adjusts link monitoring.
	Reachability Reachability `json:"reachability"`
}

// Reachability holds the operator settings for link monitoring; 0 stands for the built-in default.
type Reachability struct {
	Enabled       bool    `json:"enabled"`
	SuspectFactor float64 `json:"suspect_factor"`
	FlapHalfLifeS float64 `json:"flap_half_life_s"`
	FlapSuppress  float64 `json:"flap_suppress"`
	FlapReuse     float64 `json:"flap_reuse"`
	FlapLongestS  float64 `json:"flap_longest_s"`
}

// check checks conditions between settings, which the schema cannot express.
func (r Reachability) check() error {
	suppress, reuse := cmp.Or(r.FlapSuppress, limits.FlapSuppress), cmp.Or(r.FlapReuse, limits.FlapReuse)
	if reuse >= suppress {
		return &FieldError{"operator.reachability.flap_reuse", "must be below flap_suppress"}
	}
	return nil
}

// SpotAllowed reports whether spot machines may be rented.
func (o *OperatorSettings) SpotAllowed() bool { return o.AllowSpot == nil || *o.AllowSpot }

// LoadOperatorSettings reads and checks the operator settings file. An empty path stands for the built-in
// defaults.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	if path == "" {
		return &OperatorSettings{}, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the operator settings file: %w", err)
	}
	return ParseOperatorSettings(content)
}

// ParseOperatorSettings parses the content of the operator settings file, and checks it against the schema
// and the conditions between settings.
func ParseOperatorSettings(content []byte) (*OperatorSettings, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("the operator settings file is not valid JSON: %w", err)
	}
	schemaDocument, err := jsonschema.UnmarshalJSON(bytes.NewReader(OperatorSchema))
	if err != nil {
		return nil, fmt.Errorf("parse the schema of the operator settings: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("operator.schema.json", schemaDocument); err != nil {
		return nil, fmt.Errorf("add the schema of the operator settings: %w", err)
	}
	schema, err := compiler.Compile("operator.schema.json")
	if err != nil {
		return nil, fmt.Errorf("compile the schema of the operator settings: %w", err)
	}
	if err := schema.Validate(document); err != nil {
		var invalid *jsonschema.ValidationError
		if errors.As(err, &invalid) {
			for len(invalid.Causes) > 0 {
				invalid = invalid.Causes[0]
			}
			lines := strings.Split(invalid.Error(), "\n")
			return nil, &FieldError{"operator." + strings.Join(invalid.InstanceLocation, "."), strings.TrimSpace(lines[len(lines)-1])}
		}
		return nil, fmt.Errorf("validate the operator settings file: %w", err)
	}
	settings := &OperatorSettings{}
	if err := json.Unmarshal(content, settings); err != nil {
		return nil, fmt.Errorf("decode the operator settings file: %w", err)
	}
	if err := settings.Reachability.check(); err != nil {
		return nil, err
	}
	return settings, nil
}
