package replica

import replicav1 "ebonyreel/proto/replica/v1"

// Ready is what the calling code has to carry out, in this order: send BeforeSync and
// Replication; save State, Snapshot and Entries and sync the disk; call Saved; send
// AfterSync; restore Snapshot and apply Committed; answer Reads once their index is
// applied.
type Ready struct {
	// State is nil unless it changed.
	State *replicav1.HardState
	// Snapshot is nil unless one was installed; it replaces the log on disk.
	Snapshot *replicav1.Snapshot
	// Entries are to be saved. They replace the entries on disk from the index
	// of the first one on.
	Entries []*replicav1.Entry
	// BeforeSync may be sent before the disk is synced.
	BeforeSync []*replicav1.Message
	// Replication are the appends and snapshots that a server needs in this order.
	// They may be sent before the disk is synced. They can be large, and messages of
	// the other lists may overtake them.
	Replication []*replicav1.Message
	// AfterSync must not be sent before the disk is synced.
	AfterSync []*replicav1.Message
	// Committed are entries to apply; they are committed and on this disk.
	Committed []*replicav1.Entry
	// Reads are reads that were confirmed since the last Ready.
	Reads []Read
}

// Read is a read that a quorum has confirmed. It may be answered from the state
// once the entry at Index is applied.
type Read struct {
	// Number is the one passed to Node.Read.
	Number uint64
	Index  uint64
}

// Empty reports whether there is nothing to carry out.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.BeforeSync)+len(r.Replication)+len(r.AfterSync)+len(r.Committed)+len(r.Reads) == 0
}

// MustSync reports whether there is something to save and sync.
func (r *Ready) MustSync() bool {
	return r.State != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Ready returns the effects since the last call.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.startReadRound()
		n.replicate()
	}
	r := n.pending
	n.pending = Ready{}
	if n.dirty {
		r.State = &replicav1.HardState{Term: n.state.GetTerm(), Vote: n.state.GetVote()}
		n.dirty = false
		// No message of a term may be sent before the term is on the disk.
		r.BeforeSync, r.AfterSync = nil, append(r.BeforeSync, r.AfterSync...)
		r.Replication, n.pending.Replication = nil, r.Replication
	}
	r.Entries = n.log.entriesFrom(n.stable + 1)
	if to := min(n.commit, n.stable); to > n.delivered {
		r.Committed = n.log.entriesBetween(n.delivered, to)
		n.delivered = to
		n.advanceFreshness()
	}
	return r
}

// Saved tells the node that all that the last Ready asked to save is synced.
func (n *Node) Saved() {
	n.stable = n.log.lastIndex()
	if n.role == Leader {
		n.commitQuorum()
	}
}

// Retention bounds the entries that stay in the log although a snapshot covers
// them, so that slow followers do not need the snapshot.
type Retention struct {
	Entries uint64
	Bytes   int
}

// Compact replaces the log up to the index of a snapshot, which must have been
// applied and saved.
func (n *Node) Compact(s *replicav1.Snapshot, r Retention) {
	n.log.compact(s, r)
}

// Size returns the size of the entries after an index, up to and including
// another, in bytes.
func (n *Node) Size(after, to uint64) int {
	return n.log.size(after, to)
}

// UncommittedBytes returns the size of the entries that are not committed yet.
func (n *Node) UncommittedBytes() int {
	return n.log.size(n.commit, n.log.lastIndex())
}

// Retained returns the entries of the log that are on this disk.
func (n *Node) Retained() []*replicav1.Entry {
	return n.log.entriesBetween(n.log.offset, n.stable)
}

// HardState returns the term and vote, which are on the disk once the last
// Ready is saved.
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

// queueBeforeSync queues a message that may be sent before the disk is synced.
func (n *Node) queueBeforeSync(m *replicav1.Message) {
	m.From, m.Term = n.options.ID, n.state.GetTerm()
	n.pending.BeforeSync = append(n.pending.BeforeSync, m)
}

// queueReplication queues an append or a snapshot, whose order matters.
func (n *Node) queueReplication(m *replicav1.Message) {
	m.From, m.Term = n.options.ID, n.state.GetTerm()
	n.pending.Replication = append(n.pending.Replication, m)
}

// queueAfterSync queues a message that must not be sent before the disk is synced.
func (n *Node) queueAfterSync(m *replicav1.Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.state.GetTerm()
	}
	n.pending.AfterSync = append(n.pending.AfterSync, m)
}
