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

// MarkedFaulty returns the jobs that an owner marked as faulty and that are still considered so,
// except those in known.
func (r *Registry) MarkedFaulty(known []string) []string {
	var ids []string
	for id, j := range r.Open {
		if j.MarkedFaulty && j.Faulty() && !slices.Contains(known, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
