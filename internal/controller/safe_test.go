package controller

import (
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
)

// TestLongBatchesKeepOffSpotMachines guards against batches that are late for the
// one task among a hundred that was lost with its spot machine.
func TestLongBatchesKeepOffSpotMachines(t *testing.T) {
	set := &config.Settings{Label: "a"}
	set.Cluster.Workers.ReportS, set.Cluster.Workers.LeaseS = 4, 22
	set.Cluster.State.RPS, set.Cluster.State.WriteRPS, set.Cluster.State.TxnOps, set.Cluster.State.ValueKB = 100, 100, 8, 4
	set.Cluster.Cloud.RPS = 5
	set.Cluster.Objectives = []config.Objective{{Kind: "finished", Class: "batch", WithinS: 150}}
	c := NewCore(set, &config.OperatorSettings{}, Now{Steady: time.Second, Unix: 1000}, 1)
	for _, x := range []struct {
		name  string
		class string
		tasks int
		est   float64
		saves float64
		age   float64
		safe  bool
	}{
		{"many long tasks", "batch", 90, 100, 0, 0, true},
		{"one long task", "batch", 1, 100, 0, 0, false},
		{"short tasks can be redone", "batch", 90, 30, 0, 0, false},
		{"short tasks of a job that has waited", "batch", 90, 40, 0, 60, true},
		{"what saves loses little", "batch", 90, 100, 10, 0, false},
		{"too late in any case", "batch", 90, 100, 0, 100, false},
		{"no target", "other", 90, 100, 0, 0, false},
	} {
		j := &jobs.Job{Job: &wire.Job{Class: x.class, Tasks: x.tasks, EstimateS: x.est, CheckpointS: x.saves, SubmitUnix: 1000 - x.age}}
		if got := c.avoidsSpot(j); got != x.safe {
			t.Errorf("%s: safe %v", x.name, got)
		}
	}
}
