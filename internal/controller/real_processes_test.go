package controller

import (
	"testing"
	"time"
)

// TestRealProcesses builds the program and runs three controllers on loopback with simulated services
// and workers. All jobs must finish without a broken rule, even if a controller is killed and restarted.
func TestRealProcesses(t *testing.T) {
	t.Parallel()
	binary := buildCurrentVersion(t)
	cluster := startProcessCluster(t, smallProcessConfig(), binary, 3)
	cluster.submitJobs(0, 6)
	cluster.waitForAllJobs("first jobs")
	cluster.submitJobs(6, 6)
	time.Sleep(time.Second)
	cluster.replace(cluster.processes[0], binary)
	cluster.waitForAllJobs("jobs across a killed controller")
	cluster.checkAllRunning()
}
