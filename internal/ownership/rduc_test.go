package ownership

import (
	"reflect"
	"testing"
)

func set(names ...string) map[string]bool {
	m := map[string]bool{}
	for _, n := range names {
		m[n] = true
	}
	return m
}

func TestRDUCsAreConnectedComponents(t *testing.T) {
	// The example of the paper's figure 1: three users chained by the classes
	// that they share, and one on a class of its own.
	d := Demand{"u1": set("hadoop", "standard"), "u2": set("standard", "public-ip"), "u3": set("public-ip"), "u4": set("high-memory")}
	got := RDUCs(d)
	want := [][]string{{"hadoop", "public-ip", "standard"}, {"high-memory"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestAssignKeepsOwnersAndMergesTowardsTheMajority(t *testing.T) {
	alive := set("a", "b", "c")
	owner := map[string]string{"x": "b", "y": "b", "z": "c", "idle": "c", "lost": "dead"}
	got := Assign([][]string{{"x", "y", "z"}}, []string{"x", "y", "z", "idle", "lost", "new"}, owner, alive, "a")
	want := map[string]string{"x": "b", "y": "b", "z": "b", "idle": "c", "lost": "a", "new": "a"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	got = Assign([][]string{{"x"}, {"y"}}, []string{"x", "y"}, map[string]string{"x": "dead", "y": "a"}, alive, "a")
	if got["x"] != "b" || got["y"] != "a" {
		t.Errorf("an orphaned group should go to the least loaded node: %v", got)
	}
}
