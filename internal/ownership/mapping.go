package ownership

import (
	"log/slog"
	"sort"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

func (n *Node) announce() {
	if r, ok := n.nodes[n.Name]; !ok || !n.isOurs(r) {
		key := keyNode + classKey(n.Name)
		var v uint64
		if ok {
			v = r.version
		}
		me := n.ownRecord()
		me.Format = n.SupportedFormat
		n.submit(key, wire.Txn{Guards: []wire.Guard{{Key: key, Version: v}}, Then: []wire.Op{{Key: key, Value: me, Lease: n.lease}}})
	}
}

func (n *Node) elect() {
	if n.leader.Node != "" {
		n.retryAt["elect"] = n.now + n.jitter
		return
	}
	if n.now < n.retryAt["elect"] {
		return
	}
	n.submit(keyLeader, wire.Txn{Guards: []wire.Guard{{Key: keyLeader}}, Then: []wire.Op{{Key: keyLeader, Value: n.ownRecord(), Lease: n.lease}}})
}

// remap writes the mapping where it differs from what it should be.
func (n *Node) remap(classes []string, d Demand) {
	alive := map[string]bool{n.Name: true}
	for name := range n.nodes {
		alive[name] = true
	}
	owner := map[string]string{}
	all := append([]string(nil), classes...)
	for c, r := range n.mapping {
		owner[c] = r.Node
		all = append(all, c)
		// After all nodes have ended, the last owner need not wait for promises of
		// earlier lives, and everybody else must: as long as nobody has claimed the
		// class, it is the last owner's again once that is back. Not if that has
		// just handed it over.
		if last := n.lastOwners[c]; alive[last] && !r.HandedOver {
			owner[c] = last
		}
	}
	for c, r := range n.holders {
		owner[c] = r.Node
	}
	want := Assign(RDUCs(d), all, owner, alive, n.Name)
	names := make([]string, 0, len(want))
	for c := range want {
		names = append(names, c)
	}
	sort.Strings(names)
	t := wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}}}
	for _, c := range names {
		if n.mapping[c].Node != want[c] && len(t.Then) < n.store.MaxWrites() {
			key := keyMap + classKey(c)
			t.Guards = append(t.Guards, wire.Guard{Key: key, Version: n.mapping[c].version})
			t.Then = append(t.Then, wire.Op{Key: key, Value: holderRecord{Node: want[c]}})
			n.log(slog.LevelInfo, "class mapped", "class", c, "owner", want[c], "before", n.mapping[c].Node)
		}
	}
	if len(t.Then) > 0 {
		n.submit("remap", t)
	}
}

// Format is the form of records that every node reads. Before an upgrade is over it is
// that of the version before, so that nobody misreads, or loses in rewriting, what
// another wrote.
func (n *Node) Format() int { return n.format }

// raiseFormat lets the leader write down that every node reads the present format: it
// sees them all, and one that was seen so does not come back older.
func (n *Node) raiseFormat() {
	if n.format >= limits.RecordFormat || n.nodes[n.Name].Format < limits.RecordFormat {
		return
	}
	for _, o := range n.others {
		if n.nodes[o].Format < limits.RecordFormat {
			return
		}
	}
	e, _ := n.store.Mirror.Get(keyFormat)
	n.submit(keyFormat, wire.Txn{Guards: []wire.Guard{{Key: keyLeader, Version: n.leader.version}, {Key: keyFormat, Version: e.Version}},
		Then: []wire.Op{{Key: keyFormat, Value: holderRecord{Format: limits.RecordFormat}}}})
}

// claim asks for the classes that are mapped to us and held by nobody. The last
// owner is written along, for pastOldPromises.
func (n *Node) claim() {
	names := make([]string, 0, len(n.mapping))
	for c := range n.mapping {
		names = append(names, c)
	}
	sort.Strings(names)
	var t wire.Txn
	for _, c := range names {
		m := n.mapping[c]
		if _, held := n.holders[c]; held || m.Node != n.Name || !n.pastEarlierGrants(c) || n.now < n.grantedUntil {
			continue
		}
		if len(t.Then)+2 > n.store.TxnOps {
			break
		}
		key := keyOwn + classKey(c)
		// Guards against a promise to the owner before while our claim is under way: it may be
		// carried out late, and a next life of ours then acts at once, as the last owner.
		n.latestTerms[c] = max(n.latestTerms[c], n.store.Mirror.Revision)
		t.Guards = append(t.Guards, wire.Guard{Key: key}, wire.Guard{Key: keyMap + classKey(c), Version: m.version})
		t.Then = append(t.Then, wire.Op{Key: key, Value: n.ownRecord(), Lease: n.lease})
		if n.lastOwners[c] != n.Name {
			t.Then = append(t.Then, wire.Op{Key: keyLast + classKey(c), Value: holderRecord{Node: n.Name}})
		}
	}
	if len(t.Then) > 0 {
		n.submit("claim", t)
	}
}
