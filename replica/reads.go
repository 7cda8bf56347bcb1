package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// maxReads bounds the reads of a leader that wait for a quorum.
const maxReads = 65_536

// readQueue holds the reads of a leader that a quorum has yet to confirm (Raft's
// ReadIndex). A read takes the commit index at the start of its round. It is
// confirmed once a quorum has echoed that round.
type readQueue struct {
	// round is the number of the newest round.
	round uint64
	// waiting are the reads whose round has not begun, in order of arrival.
	waiting []pendingRead
	// unconfirmed are the reads whose round has begun, oldest round first.
	unconfirmed []pendingRead
}

type pendingRead struct {
	number uint64
	// from is the ID of the server that asked; empty for this one.
	from string
	// index is the commit index when the round began.
	index uint64
	round uint64
}

// Read asks for a read to be confirmed by a quorum. Ready returns it with its
// number once it is; a read that gets lost is never returned. Numbers must not
// repeat, not even after a restart. The error is a *NotLeaderError while no
// leader is known, or a *BusyError.
func (n *Node) Read(now time.Time, number uint64) error {
	n.advanceClock(now)
	switch {
	case n.role == Leader:
		return n.reads.add(pendingRead{number: number})
	case n.leader == "":
		return &NotLeaderError{}
	}
	n.queueBeforeSync(&replicav1.Message{Kind: replicav1.Message_KIND_READ, To: n.leader, Read: number})
	return nil
}

// handleRead handles a follower's read.
func (n *Node) handleRead(m *replicav1.Message) {
	if n.role == Leader {
		_ = n.reads.add(pendingRead{number: m.GetRead(), from: m.GetFrom()})
	}
}

func (r *readQueue) add(p pendingRead) error {
	if len(r.waiting)+len(r.unconfirmed) >= maxReads {
		return &BusyError{Reason: "too many reads wait for a quorum"}
	}
	r.waiting = append(r.waiting, p)
	return nil
}

// startReadRound begins one round for all waiting reads, once an entry of the
// leader's own term is committed.
func (n *Node) startReadRound() {
	if len(n.reads.waiting) == 0 || !n.committedInTerm() {
		return
	}
	n.reads.round++
	for _, p := range n.reads.waiting {
		p.index, p.round = n.commit, n.reads.round
		n.reads.unconfirmed = append(n.reads.unconfirmed, p)
	}
	n.reads.waiting = nil
	for _, id := range n.peerIDs() {
		n.sendHeartbeat(id, n.peers[id])
	}
	n.confirmReads()
}

// committedInTerm reports whether an entry of the leader's own term is
// committed.
func (n *Node) committedInTerm() bool {
	t, _ := n.log.term(n.commit)
	return t == n.state.GetTerm()
}

// confirmReads returns the reads whose round a quorum has echoed to the servers
// that asked.
func (n *Node) confirmReads() {
	for len(n.reads.unconfirmed) > 0 {
		p := n.reads.unconfirmed[0]
		confirmed := n.quorum(func(id string) bool {
			return id == n.options.ID || n.peers[id] != nil && n.peers[id].round >= p.round
		})
		if !confirmed {
			return
		}
		n.reads.unconfirmed = n.reads.unconfirmed[1:]
		if p.from == "" {
			n.pending.Reads = append(n.pending.Reads, Read{Number: p.number, Index: p.index})
			continue
		}
		n.queueBeforeSync(&replicav1.Message{Kind: replicav1.Message_KIND_READ_ANSWER, To: p.from, Read: p.number, Index: p.index})
	}
}
