// Package config reads and checks the platform settings file and the operator settings file, which are
// both JSON.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
)

// Settings is the content of the platform settings file.
type Settings struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	APIAddr  string `json:"api_addr"`
	PeerBind string `json:"peer_bind"`
	Others   []Peer `json:"others"`
	External struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"external"`
	Cluster Cluster `json:"cluster"`
}

// Peer is another controller.
type Peer struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	Addr     string `json:"addr"`
}

// Cluster holds the settings that are the same for all controllers.
type Cluster struct {
	Size  int      `json:"size"`
	Zones []string `json:"zones"`
	Teams []Team   `json:"teams"`

	Objectives []Objective `json:"objectives"`
	Workers    struct {
		HeartbeatS float64 `json:"report_s"`
		LeaseS     float64 `json:"lease_s"`
		CancelS    float64 `json:"cancel_s"`
		// GangWaitS is how long a task of a gang waits for the other tasks. GangPeerS is how long
		// the tasks of a gang may take to notice that one of them is gone; within that time, all
		// must be ordered to stop.
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
	} `json:"workers"`
	State struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
		// Next holds the limits that the state service will enforce from some later time on; nil if
		// no change is announced.
		Next *StateLimits `json:"next"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Resources struct {
		CoreShare  float64 `json:"core_share"`
		RAMMB      float64 `json:"ram_mb"`
		MaxSockets int     `json:"max_sockets"`
	} `json:"resources"`
	ClockErrorMs float64 `json:"clock_error_ms"`
}

// StateLimits are announced limits of the state service; 0 means that the present limit stays.
type StateLimits struct {
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// StateSizeLimits returns the limits on the operations of a transaction and on the size of a value that
// comply with the limits both before and after the announced change.
func (c *Cluster) StateSizeLimits() (txnOps int, valueKB float64) {
	txnOps, valueKB = c.State.TxnOps, c.State.ValueKB
	if nextLimits := c.State.Next; nextLimits != nil {
		if nextLimits.TxnOps > 0 {
			txnOps = min(txnOps, nextLimits.TxnOps)
		}
		if nextLimits.ValueKB > 0 {
			valueKB = min(valueKB, nextLimits.ValueKB)
		}
	}
	return txnOps, valueKB
}

// Objective is a service-level objective for a class of jobs: that a job is finished within WithinS seconds
// (kind finished) or within Times times its deadline (kind deadline), or that its tasks are started within
// WithinS seconds (kind wait).
type Objective struct {
	Kind    string  `json:"kind"` // other kinds are ignored
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"`
}

// Team is a team with its guaranteed and its maximum CPUs and GPUs; 0 means no guarantee or no maximum.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// FieldError is an invalid setting: the path of the setting and what is wrong with it.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return fmt.Sprintf("setting %s: %s", e.Field, e.Problem) }

// Load reads and checks the platform settings file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the platform settings file: %w", err)
	}
	return Parse(content)
}

// Parse parses and checks the content of the platform settings file.
func Parse(content []byte) (*Settings, error) {
	settings := &Settings{}
	if err := json.Unmarshal(content, settings); err != nil {
		if typeError, ok := err.(*json.UnmarshalTypeError); ok && typeError.Field != "" {
			return nil, &FieldError{typeError.Field, "wrong type: " + typeError.Value}
		}
		return nil, fmt.Errorf("the platform settings file is not valid JSON: %w", err)
	}
	return settings, settings.check()
}

// check returns an error for the first invalid setting, or nil. Its errors are of type *FieldError.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkNode, s.Cluster.checkTeams, s.Cluster.checkNumericSettings, s.Cluster.checkState} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkNode checks the names and addresses of this controller and the others.
func (s *Settings) checkNode() error {
	if s.Label == "" {
		return &FieldError{"label", "missing"}
	}
	for _, address := range []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_bind", s.PeerBind},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	} {
		if err := checkAddr(address.field, address.addr); err != nil {
			return err
		}
	}
	seen := map[string]bool{s.Label: true}
	for i, peer := range s.Others {
		field := fmt.Sprintf("others[%d].", i)
		if peer.Label == "" || seen[peer.Label] {
			return &FieldError{field + "label", "missing or not unique"}
		}
		seen[peer.Label] = true
		if err := checkAddr(field+"addr", peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkTeams checks the names, guarantees and maxima of the teams.
func (c *Cluster) checkTeams() error {
	if len(c.Teams) == 0 {
		return &FieldError{"cluster.teams", "missing"}
	}
	seen := map[string]bool{}
	for i, team := range c.Teams {
		field := fmt.Sprintf("cluster.teams[%d].", i)
		if team.Name == "" || seen[team.Name] {
			return &FieldError{field + "name", "missing or not unique"}
		}
		seen[team.Name] = true
		for _, setting := range []numericSetting{{"cpus", team.CPUs}, {"cpus_max", team.CPUsMax}, {"gpus", team.GPUs}, {"gpus_max", team.GPUsMax}} {
			if setting.value < 0 || math.IsNaN(setting.value) {
				return &FieldError{field + setting.field, "must not be negative"}
			}
		}
	}
	return nil
}

// numericSetting is the path of a setting with a number, and its value.
type numericSetting struct {
	field string
	value float64
}

// checkNumericSettings checks the settings that must be greater than 0, and the times for gangs, which must
// not be negative.
func (c *Cluster) checkNumericSettings() error {
	for _, setting := range []numericSetting{
		{"cluster.workers.report_s", c.Workers.HeartbeatS}, {"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.cancel_s", c.Workers.CancelS}, {"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS}, {"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.cloud.rps", c.Cloud.RPS}, {"cluster.resources.ram_mb", c.Resources.RAMMB},
		{"cluster.resources.max_sockets", float64(c.Resources.MaxSockets)},
	} {
		if !(setting.value > 0) {
			return &FieldError{setting.field, "must be greater than 0"}
		}
	}
	if c.Workers.GangWaitS < 0 || c.Workers.GangPeerS < 0 {
		return &FieldError{"cluster.workers", "gang_wait_s and gang_peer_s must not be negative"}
	}
	return nil
}

// minTxnOps is the smallest limit on the operations of a transaction with which this program can work.
const minTxnOps = 4

// checkState checks the present and the announced limits of the state service.
func (c *Cluster) checkState() error {
	if c.State.TxnOps < minTxnOps {
		return &FieldError{"cluster.state.txn_ops", fmt.Sprintf("must be at least %d", minTxnOps)}
	}
	nextLimits := c.State.Next
	if nextLimits == nil {
		return nil
	}
	if nextLimits.TxnOps != 0 && nextLimits.TxnOps < minTxnOps {
		return &FieldError{"cluster.state.next.txn_ops", fmt.Sprintf("must be at least %d", minTxnOps)}
	}
	if !(nextLimits.ValueKB >= 0) || !(nextLimits.WriteRPS >= 0) || nextLimits.ValueKB > 0 && nextLimits.ValueKB < 1 {
		return &FieldError{"cluster.state.next", "value_kb must be 0 or at least 1, and write_rps must not be negative"}
	}
	return nil
}

// checkAddr checks that addr, the value of the setting field, consists of an IP address and a port.
func checkAddr(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return &FieldError{field, "must be of the form host:port"}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{field, "the host must be an IP address"}
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > 65535 {
		return &FieldError{field, "the port must be a number from 1 to 65535"}
	}
	return nil
}
