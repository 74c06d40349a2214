package controller

import (
	"testing"
	"time"

	"umberpaddle/internal/config"
	"umberpaddle/internal/jobs"
	"umberpaddle/internal/wire"
)

// TestLongBatchesAvoidSpotMachines checks which jobs avoid spot machines. An array job of many long tasks
// misses its target if even one of a hundred tasks is lost with its spot machine and has to restart.
func TestLongBatchesAvoidSpotMachines(t *testing.T) {
	settings := &config.Settings{Label: "a"}
	settings.Cluster.Workers.HeartbeatS, settings.Cluster.Workers.LeaseS = 4, 22
	settings.Cluster.State.RPS, settings.Cluster.State.WriteRPS, settings.Cluster.State.TxnOps, settings.Cluster.State.ValueKB = 100, 100, 8, 4
	settings.Cluster.Cloud.RPS = 5
	settings.Cluster.Objectives = []config.Objective{{Kind: "finished", Class: "batch", WithinS: 150}}
	core := NewCore(settings, &config.OperatorSettings{}, Now{Steady: time.Second, Unix: 1000}, 1)
	for _, test := range []struct {
		name        string
		class       string
		tasks       int
		estimateS   float64
		checkpointS float64
		ageS        float64
		want        bool
	}{
		{"many long tasks", "batch", 90, 100, 0, 0, true},
		{"one long task", "batch", 1, 100, 0, 0, false},
		{"short tasks can be repeated in time", "batch", 90, 30, 0, 0, false},
		{"short tasks of a job that has waited", "batch", 90, 40, 0, 60, true},
		{"tasks with checkpoints lose little work", "batch", 90, 100, 10, 0, false},
		{"too late in any case", "batch", 90, 100, 0, 100, false},
		{"class without a target", "other", 90, 100, 0, 0, false},
	} {
		j := &jobs.Job{Job: &wire.Job{Class: test.class, Tasks: test.tasks, EstimateS: test.estimateS, CheckpointS: test.checkpointS, SubmitUnix: 1000 - test.ageS}}
		if got := core.avoidsSpot(j); got != test.want {
			t.Errorf("%s: avoids spot machines: %v", test.name, got)
		}
	}
}
