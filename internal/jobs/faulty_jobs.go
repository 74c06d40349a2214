package jobs

import (
	"slices"
)

// MarkFaulty records that an owner considers jobs faulty.
func (r *Registry) MarkFaulty(ids []string) {
	for _, id := range ids {
		if j := r.Open[id]; j != nil {
			j.MarkedFaulty = true
		}
	}
}

// JobsMarkedFaulty returns the jobs that an owner marked as faulty and that still count as faulty,
// except those in known.
func (r *Registry) JobsMarkedFaulty(known []string) []string {
	var ids []string
	for id, j := range r.Open {
		if j.MarkedFaulty && j.Faulty() && !slices.Contains(known, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
