package allocation

import "math"

// Resources is an amount of each resource of a machine.
type Resources struct{ CPUs, GPUs, Memory float64 }

// epsilon is the tolerance for rounding errors in sums of resources.
const epsilon = 1e-6

// Fits reports whether a is at most b in every resource, apart from rounding errors.
func (a Resources) Fits(b Resources) bool {
	return a.CPUs <= b.CPUs+epsilon && a.GPUs <= b.GPUs+epsilon && a.Memory <= b.Memory+epsilon
}

// Add returns a + n*b.
func (a Resources) Add(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.Memory + n*b.Memory}
}

// fractionIn returns the largest fraction of a that fits in b. It is more than 1 if b has room for
// more than a.
func (a Resources) fractionIn(b Resources) float64 {
	fraction := math.Inf(1)
	for _, amounts := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.Memory, b.Memory}} {
		if amounts[0] > 0 {
			fraction = math.Min(fraction, amounts[1]/amounts[0])
		}
	}
	return fraction
}

// CountIn returns how many times a fits in b, at most 1<<20.
func (a Resources) CountIn(b Resources) int {
	count := math.Inf(1)
	limitBy := func(needed, available float64) {
		if needed > 0 {
			count = math.Min(count, math.Floor((available+epsilon)/needed))
		}
	}
	limitBy(a.CPUs, b.CPUs)
	limitBy(a.GPUs, b.GPUs)
	limitBy(a.Memory, b.Memory)
	return int(math.Min(count, 1<<20))
}
