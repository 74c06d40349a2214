package ownership

import "umberpaddle/internal/wire"

// Launcher is the only process that may launch tasks of a class, apart from an earlier owner that
// continues under an extension: the process whose claim to the class is recorded.
type Launcher struct {
	Node        string // empty: no claim is recorded
	Incarnation uint64
	Term        uint64
}

// Launcher returns the launcher of a class as the mirror shows it.
func (n *Node) Launcher(class string) Launcher {
	rec := n.owners[class]
	return Launcher{Node: rec.Node, Incarnation: rec.Incarnation, Term: rec.version}
}

// LauncherGuard returns the condition that the launcher of a class is still the one that the mirror
// shows.
func (n *Node) LauncherGuard(class string) wire.Guard {
	return wire.Guard{Key: keyOwner + keySegment(class), Version: n.owners[class].version}
}

// IsSelf reports whether a launcher is this node, in this or an earlier incarnation.
func (n *Node) IsSelf(launcher Launcher) bool { return launcher.Node == n.Name }

// EarlierOwnersStopped reports whether no owner of a class before its launcher can be acting any more.
// Such an owner has no lease, and without one it needs an extension from every peer. So it has stopped
// once the extensions that this node granted have ended. An extension granted to the node except doesn't
// count; except may be empty.
func (n *Node) EarlierOwnersStopped(class, except string) bool {
	for peer, until := range n.grants {
		if peer != except && n.now < until {
			return false
		}
	}
	return n.earlierGrantsEnded(class)
}

// HasRead reports whether a launcher has published that its mirror contains all changes up to a
// revision.
func (n *Node) HasRead(launcher Launcher, revision uint64) bool {
	rec := n.publishedReads[launcher.Node]
	return rec.Incarnation == launcher.Incarnation && rec.ReadThrough >= revision
}

// PublishRead records in the state service that this node's mirror contains all changes up to a
// revision, unless that is recorded already. It reports whether it is.
func (n *Node) PublishRead(revision uint64) (published bool) {
	if n.HasRead(Launcher{Node: n.Name, Incarnation: n.Incarnation}, revision) {
		return true
	}
	if n.LeaseValid() {
		rec := n.ownRecord()
		rec.ReadThrough = n.store.Mirror.Revision
		n.submit(keyRead, wire.Txn{Then: []wire.Op{{Key: keyRead + keySegment(n.Name), Value: rec, Lease: n.lease}}})
	}
	return false
}
