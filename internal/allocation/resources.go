package allocation

import "math"

// Resources is an amount of each resource of a machine.
type Resources struct{ CPUs, GPUs, Memory float64 }

const epsilon = 1e-6

// Fits tells whether a is available in b.
func (a Resources) Fits(b Resources) bool {
	return a.CPUs <= b.CPUs+epsilon && a.GPUs <= b.GPUs+epsilon && a.Memory <= b.Memory+epsilon
}

// Add returns a + n*b.
func (a Resources) Add(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.Memory + n*b.Memory}
}

// fractionIn tells which part of a is available in b, at the resource that lacks most.
func (a Resources) fractionIn(b Resources) float64 {
	p := math.Inf(1)
	for _, x := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.Memory, b.Memory}} {
		if x[0] > 0 {
			p = math.Min(p, x[1]/x[0])
		}
	}
	return p
}

// CountIn tells how often a is available in b.
func (a Resources) CountIn(b Resources) int {
	n := math.Inf(1)
	part := func(x, y float64) {
		if x > 0 {
			n = math.Min(n, math.Floor((y+epsilon)/x))
		}
	}
	part(a.CPUs, b.CPUs)
	part(a.GPUs, b.GPUs)
	part(a.Memory, b.Memory)
	return int(math.Min(n, 1<<20))
}
