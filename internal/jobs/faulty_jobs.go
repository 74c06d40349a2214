package jobs

import (
	"slices"
)

// Suspect records that an owner takes jobs for faulty.
func (r *Registry) Suspect(ids []string) {
	for _, id := range ids {
		if j := r.Open[id]; j != nil {
			j.Suspect = true
		}
	}
}

// Suspects lists the jobs that an owner took for faulty, but for those that are known.
func (r *Registry) Suspects(known []string) []string {
	var ids []string
	for id, j := range r.Open {
		if j.Suspect && j.Faulty() && !slices.Contains(known, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
