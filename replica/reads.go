package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// maxReads bounds the reads that wait for a quorum.
const maxReads = 65_536

// reads are the quorum-confirmed reads of a leader (ReadIndex): a read is
// current at the commit index of its start once a quorum has echoed a round
// that began after it.
type reads struct {
	// round is the newest round.
	round uint64
	// fresh wait for the next round, in order of arrival.
	fresh []pendingRead
	// sent wait for the echoes of their round.
	sent []pendingRead
}

type pendingRead struct {
	number uint64
	// from is the server that asked; empty for this one.
	from  string
	index uint64
	round uint64
}

// Read asks for a quorum-confirmed read; Ready returns it under its number.
// Numbers must not repeat, not even after a restart. The error is a
// *NotLeaderError while no leader is known, or a *BusyError.
func (n *Node) Read(now time.Time, number uint64) error {
	n.advance(now)
	switch {
	case n.role == Leader:
		return n.reads.add(pendingRead{number: number})
	case n.leader == "":
		return &NotLeaderError{}
	}
	n.early(&replicav1.Message{Kind: replicav1.Message_KIND_READ, To: n.leader, Read: number})
	return nil
}

// readFor takes in a follower's read.
func (n *Node) readFor(m *replicav1.Message) {
	if n.role == Leader {
		_ = n.reads.add(pendingRead{number: m.GetRead(), from: m.GetFrom()})
	}
}

func (r *reads) add(p pendingRead) error {
	if len(r.fresh)+len(r.sent) >= maxReads {
		return &BusyError{Reason: "too many reads wait for a quorum"}
	}
	r.fresh = append(r.fresh, p)
	return nil
}

// flushReads begins one round for all fresh reads, once an entry of the
// leader's own term is committed.
func (n *Node) flushReads() {
	if len(n.reads.fresh) == 0 || !n.settled() {
		return
	}
	n.reads.round++
	for _, p := range n.reads.fresh {
		p.index, p.round = n.commit, n.reads.round
		n.reads.sent = append(n.reads.sent, p)
	}
	n.reads.fresh = nil
	for _, id := range n.others() {
		n.send(id, n.peers[id], true)
	}
	n.confirmReads()
}

// settled reports whether an entry of the leader's own term is committed.
func (n *Node) settled() bool {
	t, _ := n.log.term(n.commit)
	return t == n.state.GetTerm()
}

// confirmReads answers the reads whose round a quorum has echoed.
func (n *Node) confirmReads() {
	for len(n.reads.sent) > 0 {
		p := n.reads.sent[0]
		confirmed := n.quorum(func(id string) bool {
			return id == n.options.ID || n.peers[id] != nil && n.peers[id].round >= p.round
		})
		if !confirmed {
			return
		}
		n.reads.sent = n.reads.sent[1:]
		if p.from == "" {
			n.out.Reads = append(n.out.Reads, Read{Number: p.number, Index: p.index})
			continue
		}
		n.early(&replicav1.Message{Kind: replicav1.Message_KIND_READ_ANSWER, To: p.from, Read: p.number, Index: p.index})
	}
}
