package config

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `{"label":"n0","api_addr":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","others":[{"label":"n1","addr":"10.0.0.2:8081"}],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"unknown":{"x":1},
"cluster":{"teams":[{"name":"t","cpus":1,"cpus_max":2}],"workers":{"report_s":1.5,"lease_s":14,"cancel_s":34},
"state":{"rps":150,"write_rps":20,"value_kb":4,"txn_ops":8},"cloud":{"rps":3,"list_lag_s":4},"resources":{"core_share":0.1,"ram_mb":98,"max_sockets":900}}}`

// TestParseSettings checks that valid settings are parsed and unknown ones ignored, and that the error for
// an invalid setting is one line and names the setting.
func TestParseSettings(t *testing.T) {
	settings, err := Parse([]byte(validSettings))
	if err != nil || settings.Cluster.Teams[0].CPUsMax != 2 || settings.Others[0].Label != "n1" {
		t.Fatalf("settings %+v, error %v", settings, err)
	}
	for _, testCase := range []struct{ old, new, field string }{
		{`"label":"n0",`, ``, "label"},
		{`10.0.0.1:8080`, `example.org:8080`, "api_addr"},
		{`10.0.0.1:8081`, `10.0.0.1:0`, "peer_bind"},
		{`"label":"n1"`, `"label":"n0"`, "others[0].label"},
		{`10.2.0.1:2379`, `10.2.0.1`, "external.state"},
		{`"name":"t"`, `"name":""`, "cluster.teams[0].name"},
		{`"cpus_max":2`, `"cpus_max":-2`, "cluster.teams[0].cpus_max"},
		{`"lease_s":14`, `"lease_s":0`, "cluster.workers.lease_s"},
		{`"txn_ops":8`, `"txn_ops":2`, "cluster.state.txn_ops"},
		{`"rps":150`, `"rps":"150"`, "cluster.state.rps"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, testCase.old, testCase.new, 1)))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != testCase.field || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: got %v, want one line that names %s", testCase.old, testCase.new, err, testCase.field)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("invalid JSON was accepted")
	}
}

// TestParseOperatorSettings checks that valid operator settings are parsed, that the defaults apply without
// a file, that the error for an invalid setting is one line and names the setting, and that unknown
// settings of reachability are rejected.
func TestParseOperatorSettings(t *testing.T) {
	settings, err := ParseOperatorSettings([]byte(`{"idle_return_s": 20, "allow_spot": false, "other": 1}`))
	if err != nil || settings.IdleReturnS != 20 || settings.SpotAllowed() {
		t.Fatalf("operator settings %+v, error %v", settings, err)
	}
	if defaults, err := LoadOperatorSettings(""); err != nil || !defaults.SpotAllowed() {
		t.Errorf("defaults %+v, error %v", defaults, err)
	}
	for _, testCase := range []struct{ file, field string }{
		{`{"idle_return_s": "long"}`, "operator.idle_return_s"},
		{`{"reachability": {"enabled": 1}}`, "operator.reachability.enabled"},
		{`{"reachability": {"suspect_factor": 0}}`, "operator.reachability.suspect_factor"},
		{`{"reachability": {"flap_reuse": 3}}`, "operator.reachability.flap_reuse"},
	} {
		_, err = ParseOperatorSettings([]byte(testCase.file))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != testCase.field || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line that names %s", testCase.file, err, testCase.field)
		}
	}
	if _, err := ParseOperatorSettings([]byte(`{"reachability": {"enable": true}}`)); err == nil {
		t.Error("an unknown field of reachability was accepted")
	}
}
