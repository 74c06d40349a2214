package ownership

import (
	"reflect"
	"testing"
)

func newSet(names ...string) map[string]bool {
	members := map[string]bool{}
	for _, name := range names {
		members[name] = true
	}
	return members
}

// TestRDUCsAreConnectedComponents checks that machine classes that are linked through common users
// form one resource-dependent user cluster (RDUC).
func TestRDUCsAreConnectedComponents(t *testing.T) {
	// The example in figure 1 of the UDRF paper: three users are linked through shared classes, and a
	// fourth uses a class of its own.
	demand := Demand{"u1": newSet("hadoop", "standard"), "u2": newSet("standard", "public-ip"), "u3": newSet("public-ip"), "u4": newSet("high-memory")}
	got := RDUCs(demand)
	want := [][]string{{"hadoop", "public-ip", "standard"}, {"high-memory"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestAssignKeepsOwnersAndMergesTowardsTheMajority checks that a group of classes goes to the live
// node that owns most of them, and a group without a live owner to the node with the fewest groups.
// A class without demand stays with its live owner, or else goes to the leader.
func TestAssignKeepsOwnersAndMergesTowardsTheMajority(t *testing.T) {
	alive := newSet("a", "b", "c")
	owner := map[string]string{"x": "b", "y": "b", "z": "c", "idle": "c", "lost": "dead"}
	got := AssignClasses([][]string{{"x", "y", "z"}}, []string{"x", "y", "z", "idle", "lost", "new"}, owner, alive, "a")
	want := map[string]string{"x": "b", "y": "b", "z": "b", "idle": "c", "lost": "a", "new": "a"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	got = AssignClasses([][]string{{"x"}, {"y"}}, []string{"x", "y"}, map[string]string{"x": "dead", "y": "a"}, alive, "a")
	if got["x"] != "b" || got["y"] != "a" {
		t.Errorf("got %v, want the group without a live owner on the least loaded node", got)
	}
}
