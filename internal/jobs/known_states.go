package jobs

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

func (b *Registry) markCancelled(id string) bool {
	j := b.Open[id]
	if j == nil || j.Cancelled {
		return false
	}
	j.Cancelled, j.CancelledAt = true, b.now
	b.log(slog.LevelInfo, "job cancelled", "job", id)
	return true
}

// MergeCancellations takes in cancellations of which a peer knows that they are recorded. It tells
// whether any of them is new to this node.
func (b *Registry) MergeCancellations(now time.Duration, ids []string) (news bool) {
	b.now = max(b.now, now)
	for _, id := range ids {
		j := b.Open[id]
		news = news || j != nil && !j.Cancelled
		if _, ok := b.finals[id]; !ok {
			f := finalState{Status: wire.StatusCancelled}
			if j != nil {
				f.Done = max(j.DoneCount, j.displayDone)
			}
			b.cacheFinal(id, f)
		}
		b.markCancelled(id)
	}
	return news
}

// Cancellations lists the cancelled jobs that this node knows of and that may still
// have tasks, with those that it told a user of lately.
func (b *Registry) Cancellations() []string {
	var ids []string
	for id, j := range b.Open {
		if _, told := b.confirmedCancels[id]; j.Cancelled && !told {
			ids = append(ids, id)
		}
	}
	for id, at := range b.confirmedCancels {
		if b.now-at > limits.CancelNoticeFor {
			delete(b.confirmedCancels, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// TakeNewCancellations lists the cancellations that became known here, by an answer to a user or by a
// peer, since the last call.
func (b *Registry) TakeNewCancellations() []string {
	ids := b.newCancels
	b.newCancels = nil
	return ids
}

// Suspect records that an owner takes jobs for faulty.
func (b *Registry) Suspect(ids []string) {
	for _, id := range ids {
		if j := b.Open[id]; j != nil {
			j.Suspect = true
		}
	}
}

// Suspects lists the jobs that an owner took for faulty, but for those that are known.
func (b *Registry) Suspects(known []string) []string {
	var ids []string
	for id, j := range b.Open {
		if j.Suspect && j.Faulty() && !slices.Contains(known, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
