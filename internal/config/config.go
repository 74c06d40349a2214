// Package config reads the platform's settings file and the operators' own
// JSON file, and checks both.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
)

// Settings is the platform's file.
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

// Cluster holds what all controllers share.
type Cluster struct {
	Size  int      `json:"size"`
	Zones []string `json:"zones"`
	Teams []Team   `json:"teams"`

	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS float64 `json:"report_s"`
		LeaseS  float64 `json:"lease_s"`
		CancelS float64 `json:"cancel_s"`
		// GangWaitS is how long a gang task waits for the others, GangPeerS within what
		// time a gang notices that one is gone, and all must be told to stop.
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
	} `json:"workers"`
	State struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
		// Next is what the state service will hold to from some moment on; nil: nothing
		// changes.
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

// StateLimits are limits of the state service; 0 leaves one as it is.
type StateLimits struct {
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// StateSizes are the sizes of transactions and values that hold before and after the
// announced change.
func (c *Cluster) StateSizes() (txnOps int, valueKB float64) {
	txnOps, valueKB = c.State.TxnOps, c.State.ValueKB
	if n := c.State.Next; n != nil {
		if n.TxnOps > 0 {
			txnOps = min(txnOps, n.TxnOps)
		}
		if n.ValueKB > 0 {
			valueKB = min(valueKB, n.ValueKB)
		}
	}
	return txnOps, valueKB
}

// Objective is an aim that the users stated for a class of jobs.
type Objective struct {
	Kind    string  `json:"kind"` // finished, deadline, wait (tasks started); others are ignored
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"`
}

// Team has a guarantee and a limit; 0 means none of either.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// FieldError names the setting that is wrong.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return fmt.Sprintf("setting %s: %s", e.Field, e.Problem) }

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return Parse(b)
}

// Parse checks the bytes of the platform's file.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(b, s); err != nil {
		if te, ok := err.(*json.UnmarshalTypeError); ok && te.Field != "" {
			return nil, &FieldError{te.Field, "wrong type: " + te.Value}
		}
		return nil, fmt.Errorf("settings file is not JSON: %w", err)
	}
	return s, s.check()
}

// check tells what is wrong first; its errors are of the type FieldError.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkNode, s.Cluster.checkTeams, s.Cluster.checkAmounts, s.Cluster.checkState} {
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
	for _, a := range []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_bind", s.PeerBind},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	} {
		if err := checkAddr(a.field, a.addr); err != nil {
			return err
		}
	}
	seen := map[string]bool{s.Label: true}
	for i, p := range s.Others {
		field := fmt.Sprintf("others[%d].", i)
		if p.Label == "" || seen[p.Label] {
			return &FieldError{field + "label", "missing or used twice"}
		}
		seen[p.Label] = true
		if err := checkAddr(field+"addr", p.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkTeams checks the teams' names and bounds.
func (c *Cluster) checkTeams() error {
	if len(c.Teams) == 0 {
		return &FieldError{"cluster.teams", "missing"}
	}
	names := map[string]bool{}
	for i, t := range c.Teams {
		field := fmt.Sprintf("cluster.teams[%d].", i)
		if t.Name == "" || names[t.Name] {
			return &FieldError{field + "name", "missing or used twice"}
		}
		names[t.Name] = true
		for _, a := range []amount{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if a.value < 0 || math.IsNaN(a.value) {
				return &FieldError{field + a.field, "must not be negative"}
			}
		}
	}
	return nil
}

// amount is a number and the setting that gives it.
type amount struct {
	field string
	value float64
}

// checkAmounts checks the amounts that must be above 0.
func (c *Cluster) checkAmounts() error {
	for _, a := range []amount{
		{"cluster.workers.report_s", c.Workers.ReportS}, {"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.cancel_s", c.Workers.CancelS}, {"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS}, {"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.cloud.rps", c.Cloud.RPS}, {"cluster.resources.ram_mb", c.Resources.RAMMB},
		{"cluster.resources.max_sockets", float64(c.Resources.MaxSockets)},
	} {
		if !(a.value > 0) {
			return &FieldError{a.field, "must be above 0"}
		}
	}
	if c.Workers.GangWaitS < 0 || c.Workers.GangPeerS < 0 {
		return &FieldError{"cluster.workers", "gang_wait_s and gang_peer_s must not be negative"}
	}
	return nil
}

// leastTxnOps is the smallest transaction that the service can work with.
const leastTxnOps = 4

// checkState checks the limits of the state service, present and announced.
func (c *Cluster) checkState() error {
	if c.State.TxnOps < leastTxnOps {
		return &FieldError{"cluster.state.txn_ops", fmt.Sprintf("must be at least %d", leastTxnOps)}
	}
	next := c.State.Next
	if next == nil {
		return nil
	}
	if next.TxnOps != 0 && next.TxnOps < leastTxnOps {
		return &FieldError{"cluster.state.next.txn_ops", fmt.Sprintf("must be at least %d", leastTxnOps)}
	}
	if !(next.ValueKB >= 0) || !(next.WriteRPS >= 0) || next.ValueKB > 0 && next.ValueKB < 1 {
		return &FieldError{"cluster.state.next", "want value_kb of at least 1 and write_rps above 0"}
	}
	return nil
}

func checkAddr(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return &FieldError{field, "want host:port"}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{field, "want an IP number as host"}
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return &FieldError{field, "want a port from 1 to 65535"}
	}
	return nil
}
