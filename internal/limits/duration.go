package limits

import "time"

// Seconds converts a number of seconds, the unit of messages and settings, to a duration.
// It limits the result to MaxSeconds in either direction.
func Seconds(s float64) time.Duration {
	return time.Duration(max(-MaxSeconds, min(MaxSeconds, s)) * float64(time.Second))
}
