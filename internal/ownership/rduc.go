package ownership

import "sort"

// Demand maps each team with unfinished jobs to the machine classes that those
// jobs may use.
type Demand map[string]map[string]bool

// RDUCs groups the demanded classes into resource-dependent user clusters: the
// connected components of the graph that links teams sharing a class (paper,
// II-C), found by breadth-first search (III-A). Each group is sorted, and the
// groups are sorted by their first class, so equal demands give equal results.
func RDUCs(d Demand) [][]string {
	teamsOf := map[string][]string{}
	for team, classes := range d {
		for c := range classes {
			teamsOf[c] = append(teamsOf[c], team)
		}
	}
	classes := make([]string, 0, len(teamsOf))
	for c := range teamsOf {
		classes = append(classes, c)
	}
	sort.Strings(classes)
	seen := map[string]bool{}
	var groups [][]string
	for _, start := range classes {
		if seen[start] {
			continue
		}
		seen[start] = true
		queue := []string{start}
		for i := 0; i < len(queue); i++ {
			for _, team := range teamsOf[queue[i]] {
				for c := range d[team] {
					if !seen[c] {
						seen[c] = true
						queue = append(queue, c)
					}
				}
			}
		}
		sort.Strings(queue)
		groups = append(groups, queue)
	}
	return groups
}

// Assign maps every class to a node. groups are the RDUCs, classes all known
// classes, owner the present owner or mapping of each class, alive the live
// nodes. Owners stay where they are; an RDUC in several hands goes to the hand
// with most of its classes; one in none goes to the node with the fewest
// groups, the leader on a tie; a class that nobody demands and nobody holds
// goes to the leader.
func Assign(groups [][]string, classes []string, owner map[string]string, alive map[string]bool, leader string) map[string]string {
	result := map[string]string{}
	load := map[string]int{}
	var orphans [][]string
	for _, g := range groups {
		votes := map[string]int{}
		best := ""
		for _, c := range g {
			if o := owner[c]; alive[o] {
				votes[o]++
			}
		}
		for o, v := range votes {
			if best == "" || v > votes[best] || (v == votes[best] && o < best) {
				best = o
			}
		}
		if best == "" {
			orphans = append(orphans, g)
			continue
		}
		load[best]++
		for _, c := range g {
			result[c] = best
		}
	}
	names := make([]string, 0, len(alive))
	for n := range alive {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, g := range orphans {
		best := leader
		for _, n := range names {
			if load[n] < load[best] {
				best = n
			}
		}
		load[best]++
		for _, c := range g {
			result[c] = best
		}
	}
	for _, c := range classes {
		if _, ok := result[c]; ok {
			continue
		}
		if o := owner[c]; alive[o] {
			result[c] = o
		} else {
			result[c] = leader
		}
	}
	return result
}
