package replica

import (
	"sort"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	// maxInFlight is the number of unacknowledged entries of a server above
	// which no more are sent to it.
	maxInFlight = 4096
	// snapshotTimeouts is how many election timeouts a server has to
	// acknowledge a snapshot before it is sent again.
	snapshotTimeouts = 4
)

// progress is a leader's view of the log of another server.
type progress struct {
	// match is the index of the newest entry known to be on the server's disk.
	match uint64
	// next is the index of the entry to send next; it is above match.
	next uint64
	// base is the index after which entries are in flight, up to the one before
	// next; it is below next.
	base uint64
	// probing is true from when entries are sent again after a rejected append until
	// the server accepts some of them. Until then at most one append with entries is
	// in flight.
	probing bool
	// probeDeadline is until when rejections that return no earlier index than base
	// are taken for answers to appends that were sent before the probe.
	probeDeadline time.Time
	// attempt grows each time that next is set back. A rejection that echoes an earlier
	// attempt answers an append that was sent before. It is never zero, which is what a
	// server echoes that does not know attempts.
	attempt uint64
	// round is the newest read round that the server has echoed.
	round uint64
	// lastContact is when the server last answered, or at first when the leader
	// added it to its peers; see also countFormerLeader.
	lastContact time.Time
	// snapshotDeadline is when a snapshot that was sent is given up, unless more of it
	// reaches the server; zero or in the past while none is under way.
	snapshotDeadline time.Time
}

// updatePeers makes peers hold the other servers of the newest configuration.
func (n *Node) updatePeers() {
	known := n.peers
	n.peers = map[string]*progress{}
	for _, s := range n.configuration.GetServers() {
		id := s.GetId()
		if id == n.options.ID {
			continue
		}
		n.peers[id] = known[id]
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, base: n.log.lastIndex(), attempt: 1, lastContact: n.now}
		}
	}
}

// heartbeat sends a heartbeat to every server, and a probe to those with entries in
// flight.
func (n *Node) heartbeat() {
	n.nextHeartbeat = n.now.Add(n.options.HeartbeatInterval)
	for _, id := range n.peerIDs() {
		n.sendHeartbeat(id, n.peers[id])
		n.sendProbe(id, n.peers[id])
	}
}

// sendHeartbeat sends an append without entries at the newest index known to be on the
// server. No server rejects it, whatever is still on the way, so that it may overtake
// entries and snapshots.
func (n *Node) sendHeartbeat(id string, p *progress) {
	m := &replicav1.Message{Kind: replicav1.Message_KIND_APPEND, To: id, Commit: n.commit, Round: n.reads.round}
	if t, ok := n.log.term(p.match); ok {
		m.Index, m.IndexTerm = p.match, t
	}
	n.queueBeforeSync(m)
}

// sendProbe sends an append without entries behind the entries in flight, if any. A
// server that has lost some of them rejects it, and gets them again.
func (n *Node) sendProbe(id string, p *progress) {
	if n.now.Before(p.snapshotDeadline) || p.next-1 <= p.match {
		return
	}
	if _, ok := n.log.term(p.next - 1); ok {
		n.sendAppend(id, p, nil)
	}
}

// replicate sends each server the entries that were not sent to it yet.
func (n *Node) replicate() {
	for _, id := range n.peerIDs() {
		for n.send(id, n.peers[id]) {
		}
	}
}

// mayPipeline reports whether a server may be sent more entries before it has
// acknowledged those in flight.
func (n *Node) mayPipeline(p *progress) bool {
	if p.probing || p.next-p.base > maxInFlight {
		return false
	}
	limit := n.options.InFlightBytes
	return limit == 0 || n.log.size(p.base, p.next-1) < limit
}

// peerIDs returns the IDs of the other servers. They are sorted, so that equal
// inputs have equal effects.
func (n *Node) peerIDs() []string {
	out := make([]string, 0, len(n.peers))
	for id := range n.peers {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// send sends the next entries to a server, as far as mayPipeline permits, and
// reports whether it sent any. A server that needs entries that were compacted away
// gets a snapshot, and until that is acknowledged only heartbeats.
func (n *Node) send(id string, p *progress) bool {
	if n.now.Before(p.snapshotDeadline) {
		return false
	}
	if p.next <= n.log.offset && p.base < p.next-1 {
		// What is in flight was compacted away. The server tells by its answer
		// whether it got it.
		p.next, p.base = n.log.offset+1, n.log.offset
	}
	if _, ok := n.log.term(p.next - 1); !ok {
		n.sendSnapshot(id, p)
		return false
	}
	if !n.mayPipeline(p) {
		return false
	}
	entries := n.nextBatch(p.next)
	if len(entries) == 0 {
		return false
	}
	n.sendAppend(id, p, entries)
	return true
}

// sendAppend sends entries, which begin at the server's next index.
func (n *Node) sendAppend(id string, p *progress, entries []*replicav1.Entry) {
	m := &replicav1.Message{Kind: replicav1.Message_KIND_APPEND, To: id, Commit: n.commit, Round: n.reads.round, Attempt: p.attempt, Entries: entries}
	m.Index = p.next - 1
	m.IndexTerm, _ = n.log.term(m.Index)
	p.next += uint64(len(entries))
	n.queueReplication(m)
}

// nextBatch returns entries from an index on, up to AppendBytes in size.
func (n *Node) nextBatch(index uint64) []*replicav1.Entry {
	all := n.log.entriesFrom(index)
	for i := 1; i < len(all); i++ {
		if n.log.size(index-1, index+uint64(i)) > n.options.AppendBytes {
			return all[:i]
		}
	}
	return all
}

func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snapshot
	p.snapshotDeadline = n.now.Add(snapshotTimeouts * n.options.ElectionTimeout)
	p.next, p.base, p.probing = s.GetIndex()+1, s.GetIndex(), false
	p.attempt++
	n.queueReplication(&replicav1.Message{Kind: replicav1.Message_KIND_SNAPSHOT, To: id, Snapshot: s, Round: n.reads.round})
}

// KeepSnapshot tells a leader that a part of its messages has reached a server. A
// snapshot that is under way to the server is not sent again for now.
func (n *Node) KeepSnapshot(now time.Time, id string) {
	n.advanceClock(now)
	if p := n.peers[id]; p != nil && n.now.Before(p.snapshotDeadline) {
		p.snapshotDeadline = n.now.Add(snapshotTimeouts * n.options.ElectionTimeout)
	}
}

// handleReplication handles an append or a snapshot from the leader of the
// term.
func (n *Node) handleReplication(m *replicav1.Message) {
	if n.role != Follower || n.leader == "" {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.lastContact, n.lastLeader = n.now, m.GetFrom()
	n.leaderCommit = max(n.leaderCommit, m.GetCommit())
	n.resetElectionDeadline()
	answer := &replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(), Attempt: m.GetAttempt()}
	if m.GetKind() == replicav1.Message_KIND_SNAPSHOT {
		answer.Index = n.installSnapshot(m.GetSnapshot())
	} else {
		answer.Index, answer.Rejected = n.appendFromLeader(m)
		n.freshness.note(commitNotice{index: m.GetCommit(), term: m.GetTerm(), at: n.now})
		n.advanceFreshness()
	}
	n.queueAfterSync(answer)
}

// installSnapshot replaces the log by a snapshot, unless the log already holds
// the last entry that the snapshot covers. It returns the index of the newest
// entry known to match the leader's log.
func (n *Node) installSnapshot(s *replicav1.Snapshot) uint64 {
	if s.GetIndex() <= n.commit {
		return n.commit
	}
	if t, ok := n.log.term(s.GetIndex()); ok && t == s.GetTerm() {
		n.commit = s.GetIndex()
		return s.GetIndex()
	}
	n.log.restore(s)
	n.commit, n.stable, n.delivered, n.matched = s.GetIndex(), s.GetIndex(), s.GetIndex(), s.GetIndex()
	n.advanceFreshness()
	n.pending.Snapshot = s
	n.updateConfiguration()
	return s.GetIndex()
}

// appendFromLeader adds a leader's entries to the log. It returns the index of
// the newest entry known to match the leader's log and false, or, if the append
// is rejected, the index to try next and true.
func (n *Node) appendFromLeader(m *replicav1.Message) (uint64, bool) {
	prev := m.GetIndex()
	if prev < n.log.offset {
		return n.commit, false
	}
	if t, ok := n.log.term(prev); !ok || t != m.GetIndexTerm() {
		return n.log.retryIndex(prev), true
	}
	changed := false
	for _, e := range m.GetEntries() {
		t, ok := n.log.term(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			n.truncateLog(e.GetIndex())
		}
		n.log.append(e)
		changed = true
	}
	if changed {
		n.updateConfiguration()
	}
	last := prev + uint64(len(m.GetEntries()))
	n.matched = max(n.matched, last)
	n.commit = max(n.commit, min(n.leaderCommit, n.matched))
	return last, false
}

// truncateLog drops the entries from an index on, none of which may be
// committed.
func (n *Node) truncateLog(index uint64) {
	if index <= n.commit {
		panic((&InvariantError{Index: index, Commit: n.commit}).Error())
	}
	n.log.truncate(index)
	n.stable, n.matched = min(n.stable, index-1), min(n.matched, index-1)
}

// handleAppendAnswer handles a server's answer to an append or a snapshot.
func (n *Node) handleAppendAnswer(m *replicav1.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.lastContact = n.now
	p.round = max(p.round, m.GetRound())
	n.confirmReads()
	if m.GetRejected() {
		n.handleRejectedAppend(m, p)
		return
	}
	if m.GetIndex() > p.base {
		p.probing = false
	}
	if m.GetIndex() <= p.match {
		return
	}
	p.match = m.GetIndex()
	if p.match >= p.next-1 {
		p.snapshotDeadline = time.Time{}
	}
	p.next, p.base = max(p.next, p.match+1), max(p.base, p.match)
	n.commitQuorum()
	if n.transferTarget == m.GetFrom() {
		n.completeTransfer()
	}
}

// handleRejectedAppend sends one batch of entries again, from the index that the
// server returned with its rejection. The server also rejects all that was in
// flight behind a lost message; these rejections, which echo an earlier attempt or
// return the same index, are ignored.
func (n *Node) handleRejectedAppend(m *replicav1.Message, p *progress) {
	base := max(p.match, m.GetIndex())
	if m.GetAttempt() > 0 && m.GetAttempt() < p.attempt {
		return
	}
	if n.now.Before(p.snapshotDeadline) || n.now.Before(p.probeDeadline) && base >= p.base {
		return
	}
	p.base, p.next = base, base+1
	if _, ok := n.log.term(base); !ok {
		n.sendSnapshot(m.GetFrom(), p)
		return
	}
	p.attempt++
	entries := n.nextBatch(p.next)
	p.probing, p.probeDeadline = len(entries) > 0, n.now.Add(n.options.HeartbeatInterval/2)
	n.sendAppend(m.GetFrom(), p, entries)
}

// commitQuorum commits the entries that are on the disks of a quorum, if the
// newest of them is of the leader's own term.
func (n *Node) commitQuorum() {
	matches := make([]uint64, 0, len(n.peers)+1)
	for _, s := range n.configuration.GetServers() {
		switch {
		case s.GetLearner():
		case s.GetId() == n.options.ID:
			matches = append(matches, n.stable)
		default:
			matches = append(matches, n.peers[s.GetId()].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	to := matches[len(matches)/2]
	if t, _ := n.log.term(to); to > n.commit && t == n.state.GetTerm() {
		n.commit = to
	}
}
