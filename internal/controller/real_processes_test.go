package controller

import (
	"testing"
	"time"
)

// TestRealProcesses builds the program and runs three controllers on loopback
// against the stand-ins: jobs run, a killed controller's work goes on, and the
// rules hold.
func TestRealProcesses(t *testing.T) {
	t.Parallel()
	binary := buildPresentVersion(t)
	c := startProcessCluster(t, smallProcessConfig(), binary, 3)
	c.submitJobs(0, 6)
	c.waitForAllJobs("first jobs")
	c.submitJobs(6, 6)
	time.Sleep(time.Second)
	c.replace(c.processes[0], binary)
	c.waitForAllJobs("jobs across a killed controller")
	c.mustAllRun()
}
