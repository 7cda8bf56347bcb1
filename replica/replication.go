package replica

import (
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	// maxInFlight bounds the entries sent to a server and not acknowledged.
	maxInFlight = 4096
	// snapshotTimeouts is how many election timeouts a snapshot may take
	// before it is sent again.
	snapshotTimeouts = 4
)

// progress is what a leader knows of another server.
type progress struct {
	// match is the newest entry known to be on the server's disk.
	match uint64
	// next is the entry to send next; it is above match.
	next uint64
	// lastMatch is match at the previous heartbeat.
	lastMatch uint64
	// round is the newest quorum round that the server has echoed.
	round uint64
	// heard is when the server last answered.
	heard time.Time
	// snapshotDue is when a snapshot on its way is given up.
	snapshotDue time.Time
}

// track makes the leader follow the servers of the newest configuration.
func (n *Node) track() {
	known := n.peers
	n.peers = map[string]*progress{}
	for _, s := range n.configuration.GetServers() {
		id := s.GetId()
		if id == n.options.ID {
			continue
		}
		n.peers[id] = known[id]
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.last() + 1, lastMatch: math.MaxUint64, heard: n.now}
		}
	}
}

// heartbeat sends to every server, also where there is nothing new. What was
// sent and not acknowledged since the last one is sent again.
func (n *Node) heartbeat() {
	n.heartbeatDue = n.now.Add(n.options.HeartbeatInterval)
	for _, id := range n.others() {
		p := n.peers[id]
		if p.match == p.lastMatch && !n.now.Before(p.snapshotDue) {
			p.next = min(p.next, max(p.match+1, n.log.offset+1))
		}
		p.lastMatch = p.match
		n.send(id, p, true)
	}
}

// replicate sends what is new to each server.
func (n *Node) replicate() {
	for _, id := range n.others() {
		p := n.peers[id]
		for p.next <= n.log.last() && p.next-p.match <= maxInFlight {
			if !n.send(id, p, false) {
				break
			}
		}
	}
}

// others returns the other servers, sorted, so that equal inputs have equal
// effects.
func (n *Node) others() []string {
	out := make([]string, 0, len(n.peers))
	for id := range n.peers {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// send sends the next entries, and reports whether any were sent. A server
// that needs entries which are gone gets a snapshot, and empty appends while
// that is on its way.
func (n *Node) send(id string, p *progress, empty bool) bool {
	m := &replicav1.Message{Kind: replicav1.Message_KIND_APPEND, To: id, Commit: n.commit, Round: n.reads.round}
	if n.now.Before(p.snapshotDue) {
		if empty {
			m.Commit = 0
			n.early(m)
		}
		return false
	}
	prev, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	m.Index, m.IndexTerm = p.next-1, prev
	m.Entries = n.batch(p.next)
	if len(m.Entries) == 0 && !empty {
		return false
	}
	p.next += uint64(len(m.Entries))
	n.early(m)
	return len(m.Entries) > 0
}

// batch returns entries from an index on, up to the bound on their size.
func (n *Node) batch(index uint64) []*replicav1.Entry {
	all := n.log.from(index)
	size := 0
	for i, e := range all {
		size += proto.Size(e)
		if i > 0 && size > n.options.AppendBytes {
			return all[:i]
		}
	}
	return all
}

func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snapshot
	p.snapshotDue = n.now.Add(snapshotTimeouts * n.options.ElectionTimeout)
	p.next = s.GetIndex() + 1
	n.early(&replicav1.Message{Kind: replicav1.Message_KIND_SNAPSHOT, To: id, Snapshot: s, Round: n.reads.round})
}

// takeIn follows the leader of the term.
func (n *Node) takeIn(m *replicav1.Message) {
	if n.role != Follower || n.leader == "" {
		n.follow(m.GetTerm(), m.GetFrom())
	}
	n.heard = n.now
	n.delayElection()
	a := &replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetKind() == replicav1.Message_KIND_SNAPSHOT {
		a.Index = n.install(m.GetSnapshot())
	} else {
		a.Index, a.Rejected = n.appendFrom(m)
	}
	n.late(a)
}

// install puts a snapshot in the place of the log, unless the log holds what
// the snapshot ends with. It returns the newest entry known to match.
func (n *Node) install(s *replicav1.Snapshot) uint64 {
	if s.GetIndex() <= n.commit {
		return n.commit
	}
	if t, ok := n.log.term(s.GetIndex()); ok && t == s.GetTerm() {
		n.commit = s.GetIndex()
		return s.GetIndex()
	}
	n.log.restore(s)
	n.commit, n.stable, n.handed = s.GetIndex(), s.GetIndex(), s.GetIndex()
	n.out.Snapshot = s
	n.configure()
	return s.GetIndex()
}

// appendFrom adds a leader's entries. It returns the newest entry known to
// match, or where to try next and true.
func (n *Node) appendFrom(m *replicav1.Message) (uint64, bool) {
	prev := m.GetIndex()
	if prev < n.log.offset {
		return n.commit, false
	}
	if t, ok := n.log.term(prev); !ok || t != m.GetIndexTerm() {
		return n.log.conflict(prev), true
	}
	changed := false
	for _, e := range m.GetEntries() {
		t, ok := n.log.term(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			n.overwrite(e.GetIndex())
		}
		n.log.append(e)
		changed = true
	}
	if changed {
		n.configure()
	}
	last := prev + uint64(len(m.GetEntries()))
	n.commit = max(n.commit, min(m.GetCommit(), last))
	return last, false
}

// overwrite drops the entries from an index on, none of which is committed.
func (n *Node) overwrite(index uint64) {
	if index <= n.commit {
		panic((&InvariantError{Index: index, Commit: n.commit}).Error())
	}
	n.log.truncate(index)
	n.stable = min(n.stable, index-1)
}

// acknowledged takes in a server's answer to an append or a snapshot.
func (n *Node) acknowledged(m *replicav1.Message) {
	p := n.peers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.heard = n.now
	p.round = max(p.round, m.GetRound())
	n.confirmReads()
	if m.GetRejected() {
		n.retreat(m, p)
		return
	}
	if m.GetIndex() <= p.match {
		return
	}
	p.match = m.GetIndex()
	if p.match >= p.next-1 {
		p.snapshotDue = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	n.commitQuorum()
	if n.heir == m.GetFrom() {
		n.handOver()
	}
}

// retreat sends from an earlier entry on.
func (n *Node) retreat(m *replicav1.Message, p *progress) {
	if n.now.Before(p.snapshotDue) {
		return
	}
	p.next = max(p.match, m.GetIndex()) + 1
	n.send(m.GetFrom(), p, true)
}

// commitQuorum commits what is on the disks of a quorum, if the newest of it
// is of the leader's own term.
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
