package controller

import (
	"testing"
	"time"
)

// TestMalformedRepeatIsNotJudgedFromMemory: an earlier version accepted a job that lacks a
// field. A controller that was just exchanged, or that has long forgotten the job's end, gets
// the repeat. Only the state service can tell that the job was accepted; until it was asked,
// 400 is an answer from memory, and the user takes the job for refused.
func TestMalformedRepeatIsNotJudgedFromMemory(t *testing.T) {
	c := testCore(t)
	job := spec("red", 1, 1, 1)
	job["id"] = "job-000001"
	fill(job)
	delete(job, "stowS")
	for _, o := range c.Step(Now{Steady: time.Second}, Submit{Ref: 1, Body: pack(job)}) {
		if a, ok := o.(Answer); ok && a.Status == 400 {
			t.Errorf("answered %d %v without a look into the state service", a.Status, a.Body)
		}
	}
}
