package jobs

import (
	"slices"
)

// MarkFaulty records that an owner considers jobs faulty.
func (r *Registry) MarkFaulty(ids []string) {
	for _, id := range ids {
		if job := r.OpenJobs[id]; job != nil {
			job.MarkedFaulty = true
		}
	}
}

// JobsMarkedFaulty returns the jobs that an owner marked as faulty and that still count as faulty,
// except those in knownJobs.
func (r *Registry) JobsMarkedFaulty(knownJobs []string) []string {
	var ids []string
	for id, job := range r.OpenJobs {
		if job.MarkedFaulty && job.Faulty() && !slices.Contains(knownJobs, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
