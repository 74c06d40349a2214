package ownership

import (
	"maps"
	"slices"
)

// Demand maps each team that has unfinished jobs to the machine classes that those jobs may use.
type Demand map[string]map[string]bool

// RDUCs groups the demanded classes into resource-dependent user clusters: the connected components
// of the graph that links teams sharing a class (UDRF paper, section II-C), found by breadth-first
// search (section III-A). Each group is sorted, and the groups are sorted by their first class, so
// equal demands give equal results.
func RDUCs(demand Demand) [][]string {
	teamsOf := map[string][]string{}
	for team, classes := range demand {
		for class := range classes {
			teamsOf[class] = append(teamsOf[class], team)
		}
	}
	seen := map[string]bool{}
	var groups [][]string
	for _, class := range slices.Sorted(maps.Keys(teamsOf)) {
		if !seen[class] {
			groups = append(groups, demand.connectedClasses(class, teamsOf, seen))
		}
	}
	return groups
}

// connectedClasses returns, sorted, the given class and the classes that are linked with it through
// shared teams, directly or through further classes. It marks them in seen.
func (d Demand) connectedClasses(class string, teamsOf map[string][]string, seen map[string]bool) []string {
	seen[class] = true
	queue := []string{class}
	for i := 0; i < len(queue); i++ {
		for _, team := range teamsOf[queue[i]] {
			for linkedClass := range d[team] {
				if !seen[linkedClass] {
					seen[linkedClass] = true
					queue = append(queue, linkedClass)
				}
			}
		}
	}
	slices.Sort(queue)
	return queue
}

// AssignClasses maps every class to a node. groups are the RDUCs, and classes are all known classes.
// owner is the current owner of each class or, for a class without an owner, the node to which the class
// is mapped. alive is the set of live nodes.
//
// All classes of an RDUC go to the live node that owns most of them. An RDUC without a live owner goes
// to the node with the fewest RDUCs, the leader on a tie. A class without demand stays with its live
// owner, or else goes to the leader.
func AssignClasses(groups [][]string, classes []string, owner map[string]string, alive map[string]bool, leader string) map[string]string {
	result := map[string]string{}
	load := map[string]int{}
	assign := func(group []string, node string) {
		load[node]++
		for _, class := range group {
			result[class] = node
		}
	}
	var unownedGroups [][]string
	for _, group := range groups {
		if node := majorityOwner(group, owner, alive); node != "" {
			assign(group, node)
		} else {
			unownedGroups = append(unownedGroups, group)
		}
	}
	nodes := slices.Sorted(maps.Keys(alive))
	for _, group := range unownedGroups {
		leastLoaded := leader
		for _, node := range nodes {
			if load[node] < load[leastLoaded] {
				leastLoaded = node
			}
		}
		assign(group, leastLoaded)
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

// majorityOwner returns the live node that owns most classes of a group, or "" if no live node owns
// any. On a tie it returns the first node by name.
func majorityOwner(group []string, owner map[string]string, alive map[string]bool) string {
	ownedCount := map[string]int{}
	for _, class := range group {
		if node := owner[class]; alive[node] {
			ownedCount[node]++
		}
	}
	bestNode := ""
	for _, node := range slices.Sorted(maps.Keys(ownedCount)) {
		if bestNode == "" || ownedCount[node] > ownedCount[bestNode] {
			bestNode = node
		}
	}
	return bestNode
}
