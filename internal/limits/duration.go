package limits

import "time"

// Seconds converts a number of seconds, as messages and settings give them, to a duration.
// What is beyond MaxSeconds counts as MaxSeconds.
func Seconds(s float64) time.Duration {
	return time.Duration(max(-MaxSeconds, min(MaxSeconds, s)) * float64(time.Second))
}
