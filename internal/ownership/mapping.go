package ownership

import (
	"log/slog"
	"sort"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

// registerNode writes this node's record under its present lease, if the mirror does not show it.
func (n *Node) registerNode() {
	if storedRecord, ok := n.nodes[n.Name]; !ok || !n.isOwnRecord(storedRecord) {
		key := keyNode + keySegment(n.Name)
		var version uint64
		if ok {
			version = storedRecord.version
		}
		ownRecord := n.ownRecord()
		ownRecord.Format = n.SupportedFormat
		n.submit(key, wire.Txn{Guards: []wire.Guard{{Key: key, Version: version}}, Then: []wire.Op{{Key: key, Value: ownRecord, Lease: n.lease}}})
	}
}

// claimLeadership tries to make this node the leader if there is none, electionJitter after a leader was
// last seen. The delay differs between nodes, because competing claims use up the write budget.
func (n *Node) claimLeadership() {
	if n.leader.Node != "" {
		n.retryAt["elect"] = n.now + n.electionJitter
		return
	}
	if n.now < n.retryAt["elect"] {
		return
	}
	n.submit(keyLeader, wire.Txn{Guards: []wire.Guard{{Key: keyLeader}}, Then: []wire.Op{{Key: keyLeader, Value: n.ownRecord(), Lease: n.lease}}})
}

// remapClasses computes the wanted mapping of classes to nodes and writes the entries that differ.
func (n *Node) remapClasses(classes []string, demand Demand) {
	alive := map[string]bool{n.Name: true}
	for name := range n.nodes {
		alive[name] = true
	}
	owner := map[string]string{}
	allClasses := append([]string(nil), classes...)
	for class, mappedRecord := range n.mapping {
		owner[class] = mappedRecord.Node
		allClasses = append(allClasses, class)
		// After all nodes have restarted, only the last owner of a class may claim it without
		// waiting for the end of extensions granted by earlier incarnations. So as long as no node
		// has claimed the class, it is mapped to its last owner again once the last owner is back,
		// unless the last owner has just handed the class over.
		if last := n.lastOwners[class]; alive[last] && !mappedRecord.HandedOver {
			owner[class] = last
		}
	}
	for class, rec := range n.owners {
		owner[class] = rec.Node
	}
	wantedNodes := AssignClasses(RDUCs(demand), allClasses, owner, alive, n.Name)
	sortedClasses := make([]string, 0, len(wantedNodes))
	for class := range wantedNodes {
		sortedClasses = append(sortedClasses, class)
	}
	sort.Strings(sortedClasses)
	txn := wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}}}
	for _, class := range sortedClasses {
		if n.mapping[class].Node != wantedNodes[class] && len(txn.Then) < n.store.MaxWrites() {
			key := keyMapping + keySegment(class)
			txn.Guards = append(txn.Guards, wire.Guard{Key: key, Version: n.mapping[class].version})
			txn.Then = append(txn.Then, wire.Op{Key: key, Value: nodeRecord{Node: wantedNodes[class]}})
			n.log(slog.LevelInfo, "class mapped", "class", class, "owner", wantedNodes[class], "before", n.mapping[class].Node)
		}
	}
	if len(txn.Then) > 0 {
		n.submit("remap", txn)
	}
}

// RecordFormat returns the newest record format that every node reads. Until an upgrade is complete,
// this is the format of the previous version, so that no node misreads a record or drops unknown fields
// when it rewrites a record.
func (n *Node) RecordFormat() int { return n.recordFormat }

// raiseFormat is for the leader. Once all nodes have registered with the present format, it records that
// every node reads this format. It relies on no node being downgraded afterwards.
func (n *Node) raiseFormat() {
	if n.recordFormat >= limits.RecordFormat || n.nodes[n.Name].Format < limits.RecordFormat {
		return
	}
	for _, peer := range n.peers {
		if n.nodes[peer].Format < limits.RecordFormat {
			return
		}
	}
	entry, _ := n.store.Mirror.Get(keyFormat)
	n.submit(keyFormat, wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}, {Key: keyFormat, Version: entry.Version}},
		Then: []wire.Op{{Key: keyFormat, Value: nodeRecord{Format: limits.RecordFormat}}}})
}

// claimClasses requests ownership of the classes that are mapped to this node and have no owner. It also
// records this node as their last owner, for earlierGrantsEnded.
func (n *Node) claimClasses() {
	names := make([]string, 0, len(n.mapping))
	for class := range n.mapping {
		names = append(names, class)
	}
	sort.Strings(names)
	var txn wire.Txn
	for _, class := range names {
		mappedRecord := n.mapping[class]
		if _, owned := n.owners[class]; owned || mappedRecord.Node != n.Name || !n.EarlierOwnersStopped(class, "") {
			continue
		}
		if len(txn.Then)+2 > n.store.MaxTxnOps {
			break
		}
		key := keyOwner + keySegment(class)
		// From here on, GrantExtension refuses the previous owner. Without this line, the previous owner
		// could be granted an extension while this claim is in flight. If this process then ended, the
		// late claim would make this node the last owner, and its next incarnation would take the class
		// over without waiting for the end of the extension (see earlierGrantsEnded).
		n.latestTerms[class] = max(n.latestTerms[class], n.store.Mirror.Revision)
		txn.Guards = append(txn.Guards, wire.Guard{Key: key}, wire.Guard{Key: keyMapping + keySegment(class), Version: mappedRecord.version})
		txn.Then = append(txn.Then, wire.Op{Key: key, Value: n.ownRecord(), Lease: n.lease})
		if n.lastOwners[class] != n.Name {
			txn.Then = append(txn.Then, wire.Op{Key: keyLastOwner + keySegment(class), Value: nodeRecord{Node: n.Name}})
		}
	}
	if len(txn.Then) > 0 {
		n.submit("claim", txn)
	}
}
