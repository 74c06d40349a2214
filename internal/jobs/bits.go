package jobs

import "encoding/base64"

// Bits is a set of task numbers.
type Bits []byte

// Has tells whether i is in the set.
func (b Bits) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set adds i; the set must have been made large enough.
func (b Bits) Set(i int) { b[i>>3] |= 1 << (i & 7) }

func newBits(n int) Bits { return make(Bits, (n+7)/8) }

// chunk encodes part k, of that many tasks, for the state service, which stores no binary.
func (b Bits) chunk(k, tasks int) string {
	lo, hi := min(k*tasks/8, len(b)), min((k+1)*tasks/8, len(b))
	for hi > lo && b[hi-1] == 0 {
		hi--
	}
	return base64.RawStdEncoding.EncodeToString(b[lo:hi])
}

// merge adds an encoded part, of that many tasks, and returns the tasks that are new.
func (b Bits) merge(k, tasks int, text string, limit int) (added []int) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	for j, by := range raw {
		for bit := 0; by != 0 && bit < 8; bit++ {
			i := k*tasks + j*8 + bit
			if by&(1<<bit) != 0 && i < limit && !b.Has(i) {
				b.Set(i)
				added = append(added, i)
			}
		}
	}
	return added
}
