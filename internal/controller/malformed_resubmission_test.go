package controller

import (
	"testing"
	"time"
)

// TestMalformedResubmissionIsLookedUp resubmits a job that an earlier version accepted although a field is
// missing that is now required. A controller that was just restarted, or that no longer keeps the finished
// job in memory, can find out only from the state service that the job was accepted. If the controller
// returned 400 without a lookup there, the user would conclude that the accepted job was rejected.
func TestMalformedResubmissionIsLookedUp(t *testing.T) {
	core := newTestCore(t)
	job := batchSpec("red", 1, 1, 1)
	job["id"] = "job-000001"
	addSubmissionDefaults(job)
	delete(job, "stowS")
	for _, out := range core.Step(Now{Steady: time.Second}, Submit{Ref: 1, Body: mustEncode(job)}) {
		if answer, ok := out.(Answer); ok && answer.Status == 400 {
			t.Errorf("answered %d %v without a lookup in the state service", answer.Status, answer.Body)
		}
	}
}
