package replica

import replicav1 "ebonyreel/proto/replica/v1"

// Ready is what the caller of a node has to carry out, in this order: send
// Early; save State, Snapshot and Entries and sync the disk; call Saved; send
// Late; restore Snapshot and apply Committed; answer Reads once their index is
// applied.
type Ready struct {
	// State is nil unless it changed.
	State *replicav1.HardState
	// Snapshot is nil unless one came in; it takes the place of the log.
	Snapshot *replicav1.Snapshot
	// Entries follow on from the disk, or overwrite what is there from their
	// first index on.
	Entries []*replicav1.Entry
	// Early may be sent before the disk is synced.
	Early []*replicav1.Message
	// Late must not be sent before the disk is synced.
	Late []*replicav1.Message
	// Committed are on a quorum and on this disk.
	Committed []*replicav1.Entry
	Reads     []Read
}

// Read is a quorum-confirmed read: the state is current once it has applied
// Index.
type Read struct {
	Number uint64
	Index  uint64
}

// Empty reports whether there is nothing to carry out.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Early)+len(r.Late)+len(r.Committed)+len(r.Reads) == 0
}

// MustSync reports whether there is something to save.
func (r *Ready) MustSync() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Ready returns the effects that have come together, and forgets them.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.flushReads()
		n.replicate()
	}
	r := n.out
	n.out = Ready{}
	if n.dirty {
		r.State = &replicav1.HardState{Term: n.state.GetTerm(), Vote: n.state.GetVote()}
		n.dirty = false
		// Nothing of a term leaves before the term is on the disk.
		r.Early, r.Late = nil, append(r.Early, r.Late...)
	}
	r.Entries = n.log.from(n.stable + 1)
	if to := min(n.commit, n.stable); to > n.handed {
		r.Committed = n.log.between(n.handed, to)
		n.handed = to
	}
	return r
}

// Saved tells the node that the last Ready is on its disk.
func (n *Node) Saved() {
	n.stable = n.log.last()
	if n.role == Leader {
		n.commitQuorum()
	}
}

// Compact replaces the log up to a snapshot's index, which has been applied
// and saved, but for a number of entries that slow followers may still need.
func (n *Node) Compact(s *replicav1.Snapshot, keep uint64) {
	n.log.compact(s, keep)
}

// Retained returns the entries that the log holds on this disk.
func (n *Node) Retained() []*replicav1.Entry {
	return n.log.between(n.log.offset, n.stable)
}

// HardState returns the term and vote that are on the disk.
func (n *Node) HardState() *replicav1.HardState {
	return n.state
}

// Configuration returns the newest configuration up to an index.
func (n *Node) Configuration(index uint64) *replicav1.Configuration {
	c, _ := n.log.configuration(index)
	return c
}

// Term returns the term of an entry that the log still holds, or zero.
func (n *Node) Term(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

func (n *Node) early(m *replicav1.Message) {
	m.From, m.Term = n.options.ID, n.state.GetTerm()
	n.out.Early = append(n.out.Early, m)
}

func (n *Node) late(m *replicav1.Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.state.GetTerm()
	}
	n.out.Late = append(n.out.Late, m)
}
