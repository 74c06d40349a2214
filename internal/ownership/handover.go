package ownership

import (
	"log/slog"
	"maps"
	"slices"
	"sort"

	"umberpaddle/internal/wire"
)

// release writes the successor of classes that were handed over and ends our hold
// of them, in one transaction if it holds them all, so that they stay together.
func (n *Node) release(classes []string) {
	next := n.successor()
	if len(classes) == 0 || next == "" {
		return
	}
	sort.Strings(classes)
	var t wire.Txn
	for _, class := range classes[:min(len(classes), max(1, n.store.MaxWrites()/2))] {
		own, key := keyOwn+classKey(class), keyMap+classKey(class)
		t.Guards = append(t.Guards, wire.Guard{Key: own, Version: n.holders[class].version}, wire.Guard{Key: key, Version: n.mapping[class].version})
		t.Then = append(t.Then, wire.Op{Remove: own}, wire.Op{Key: key, Value: holderRecord{Node: next, HandedOver: true}})
	}
	n.submit("release", t)
}

// Handover gives all classes to another node, for an owner that its workers
// can't reach: it stops acting in this step, and names its successor itself, since
// the leader sees nothing wrong with it. preferred is the node that workers reach, or
// empty if none is known.
func (n *Node) Handover(preferred string) {
	n.preferredSuccessor = preferred
	next := n.successor()
	if next == "" || !n.LeaseValid() {
		return
	}
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[class]
		n.log(slog.LevelInfo, "class handed over", "class", class, "term", c.Term, "to", next)
		n.handingOver[class] = c.Term
	}
	n.dropClaims()
}

// successor is the live node that workers reach, if one is known, else the one that
// follows this one in the order of names.
func (n *Node) successor() string {
	if _, alive := n.nodes[n.preferredSuccessor]; alive && n.preferredSuccessor != n.Name {
		return n.preferredSuccessor
	}
	first, next := "", ""
	for name := range n.nodes {
		if name == n.Name {
			continue
		}
		if first == "" || name < first {
			first = name
		}
		if name > n.Name && (next == "" || name < next) {
			next = name
		}
	}
	if next == "" {
		return first
	}
	return next
}
