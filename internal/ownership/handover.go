package ownership

import (
	"log/slog"
	"maps"
	"slices"
	"sort"

	"umberpaddle/internal/wire"
)

// releaseClasses maps the given classes, which are being handed over, to the successor, and removes this
// node's claims to them. If the write limit allows, it does so in one transaction, so that one node gets
// all the classes.
func (n *Node) releaseClasses(classes []string) {
	next := n.successor()
	if len(classes) == 0 || next == "" {
		return
	}
	sort.Strings(classes)
	var txn wire.Txn
	for _, class := range classes[:min(len(classes), max(1, n.store.MaxWrites()/2))] {
		ownerKey, mappingKey := keyOwner+keySegment(class), keyMapping+keySegment(class)
		txn.Guards = append(txn.Guards, wire.Guard{Key: ownerKey, Version: n.owners[class].version}, wire.Guard{Key: mappingKey, Version: n.mapping[class].version})
		txn.Then = append(txn.Then, wire.Op{Remove: ownerKey}, wire.Op{Key: mappingKey, Value: nodeRecord{Node: next, HandedOver: true}})
	}
	n.submit("release", txn)
}

// HandOver hands all classes over to another node. It is for an owner that its workers cannot reach. The
// owner stops acting on the classes at once. It chooses the successor itself, because to the leader the
// owner appears healthy. preferred is a node that the workers reach, or "" if none is known.
func (n *Node) HandOver(preferred string) {
	n.preferredSuccessor = preferred
	next := n.successor()
	if next == "" || !n.LeaseValid() {
		return
	}
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		claim := n.claims[class]
		n.log(slog.LevelInfo, "class handed over", "class", class, "term", claim.Term, "to", next)
		n.handingOver[class] = claim.Term
	}
	n.dropClaims()
}

// successor returns the preferred successor if it is a live peer, else the next live peer in the
// cyclic order of names. It returns "" if there is no live peer.
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
