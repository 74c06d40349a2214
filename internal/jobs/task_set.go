package jobs

import "encoding/base64"

// TaskSet is a set of task numbers, stored as a bitmap.
type TaskSet []byte

// Has reports whether a task is in the set.
func (s TaskSet) Has(task int) bool { return task>>3 < len(s) && s[task>>3]&(1<<(task&7)) != 0 }

// Add adds a task. The set must have been created large enough for it.
func (s TaskSet) Add(task int) { s[task>>3] |= 1 << (task & 7) }

// newTaskSet returns an empty set for the tasks 0 to tasks-1.
func newTaskSet(tasks int) TaskSet { return make(TaskSet, (tasks+7)/8) }

// encodeChunk encodes the chunk with the given index, of chunkTasks tasks, as text, because the
// state service stores no binary data.
func (s TaskSet) encodeChunk(index, chunkTasks int) string {
	start, end := min(index*chunkTasks/8, len(s)), min((index+1)*chunkTasks/8, len(s))
	for end > start && s[end-1] == 0 {
		end--
	}
	return base64.RawStdEncoding.EncodeToString(s[start:end])
}

// mergeChunk adds the tasks below limit of an encoded chunk of chunkTasks tasks, and returns those
// that were not in the set.
func (s TaskSet) mergeChunk(index, chunkTasks int, encoded string, limit int) (addedTasks []int) {
	octets, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return nil
	}
	for octetIndex, octet := range octets {
		for bit := 0; octet != 0 && bit < 8; bit++ {
			task := index*chunkTasks + octetIndex*8 + bit
			if octet&(1<<bit) != 0 && task < limit && !s.Has(task) {
				s.Add(task)
				addedTasks = append(addedTasks, task)
			}
		}
	}
	return addedTasks
}
