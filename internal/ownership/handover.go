package ownership

import (
	"log/slog"
	"maps"
	"slices"
	"sort"

	"umberpaddle/internal/wire"
)

// releaseClasses maps the given classes, which are being handed over, to the successor, and removes this
// node's claims to them. If the write limit allows, one transaction makes all these changes, so that one
// node gets all the classes.
func (n *Node) releaseClasses(classes []string) {
	successor := n.successor()
	if len(classes) == 0 || successor == "" {
		return
	}
	sort.Strings(classes)
	var txn wire.Txn
	for _, class := range classes[:min(len(classes), max(1, n.store.MaxWrites()/2))] {
		ownerKey, mappingKey := keyOwner+keySegment(class), keyMapping+keySegment(class)
		txn.Guards = append(txn.Guards, wire.Guard{Key: ownerKey, Version: n.owners[class].version}, wire.Guard{Key: mappingKey, Version: n.mapping[class].version})
		txn.Then = append(txn.Then, wire.Op{Remove: ownerKey}, wire.Op{Key: mappingKey, Value: nodeRecord{Node: successor, HandedOver: true}})
	}
	n.submit("release", txn)
}

// HandOver hands all classes over to another node. It is for an owner that its workers cannot reach. The
// owner stops acting on the classes at once. It chooses the successor itself, because to the leader the
// owner appears healthy. preferred is a node that the workers reach, or "" if none is known.
func (n *Node) HandOver(preferred string) {
	n.preferredSuccessor = preferred
	successor := n.successor()
	if successor == "" || !n.LeaseValid() {
		return
	}
	for _, class := range slices.Sorted(maps.Keys(n.claims)) {
		claim := n.claims[class]
		n.log(slog.LevelInfo, "class handed over", "class", class, "term", claim.Term, "to", successor)
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
	firstPeer, nextPeer := "", ""
	for name := range n.nodes {
		if name == n.Name {
			continue
		}
		if firstPeer == "" || name < firstPeer {
			firstPeer = name
		}
		if name > n.Name && (nextPeer == "" || name < nextPeer) {
			nextPeer = name
		}
	}
	if nextPeer == "" {
		return firstPeer
	}
	return nextPeer
}
