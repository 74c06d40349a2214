package ownership

import (
	"maps"
	"slices"
)

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
	seen := map[string]bool{}
	var groups [][]string
	for _, class := range slices.Sorted(maps.Keys(teamsOf)) {
		if !seen[class] {
			groups = append(groups, d.connected(class, teamsOf, seen))
		}
	}
	return groups
}

// connected lists, sorted, the classes that teams link with the given one, and marks them as
// seen.
func (d Demand) connected(class string, teamsOf map[string][]string, seen map[string]bool) []string {
	seen[class] = true
	queue := []string{class}
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
	slices.Sort(queue)
	return queue
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
	give := func(group []string, node string) {
		load[node]++
		for _, class := range group {
			result[class] = node
		}
	}
	var unowned [][]string
	for _, group := range groups {
		if node := majorityOwner(group, owner, alive); node != "" {
			give(group, node)
		} else {
			unowned = append(unowned, group)
		}
	}
	nodes := slices.Sorted(maps.Keys(alive))
	for _, group := range unowned {
		least := leader
		for _, node := range nodes {
			if load[node] < load[least] {
				least = node
			}
		}
		give(group, least)
	}
	for _, class := range classes {
		if _, mapped := result[class]; mapped {
			continue
		}
		result[class] = leader
		if alive[owner[class]] {
			result[class] = owner[class]
		}
	}
	return result
}

// majorityOwner is the live node that owns most classes of a group, the first in name among
// equals, or nobody.
func majorityOwner(group []string, owner map[string]string, alive map[string]bool) string {
	votes := map[string]int{}
	for _, class := range group {
		if node := owner[class]; alive[node] {
			votes[node]++
		}
	}
	best := ""
	for _, node := range slices.Sorted(maps.Keys(votes)) {
		if best == "" || votes[node] > votes[best] {
			best = node
		}
	}
	return best
}
