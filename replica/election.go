package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// delayElection puts off the next campaign by a random time.
func (n *Node) delayElection() {
	wait := n.options.ElectionTimeout + n.options.Random(n.options.ElectionTimeout)
	n.electionDue = n.now.Add(wait)
}

// follow makes the node a follower in a term.
func (n *Node) follow(term uint64, leader string) {
	if term > n.state.GetTerm() {
		n.state = &replicav1.HardState{Term: term}
		n.dirty = true
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.peers, n.heir = nil, nil, ""
	n.reads = reads{}
	n.delayElection()
}

// campaign asks the voters whether they would vote, as a pre-candidate, or for
// their votes, as a candidate.
func (n *Node) campaign(as Role, transfer bool) {
	kind, term := replicav1.Message_KIND_PRE_VOTE, n.state.GetTerm()+1
	if as == Candidate {
		kind = replicav1.Message_KIND_VOTE
		n.state = &replicav1.HardState{Term: term, Vote: n.options.ID}
		n.dirty = true
	}
	n.role, n.leader = as, ""
	n.votes = map[string]bool{n.options.ID: true}
	n.delayElection()
	if n.won() {
		n.promoteSelf()
		return
	}
	for _, s := range n.configuration.GetServers() {
		if s.GetLearner() || s.GetId() == n.options.ID {
			continue
		}
		n.late(&replicav1.Message{
			Kind: kind, To: s.GetId(), Term: term, Index: n.log.last(), IndexTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
}

// answerPreVote says yes if the sender's log is as new as this one and no
// leader is heard. Nothing changes by it.
func (n *Node) answerPreVote(m *replicav1.Message) {
	yes := m.GetTerm() > n.state.GetTerm() && !n.led() && n.upToDate(m)
	a := &replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, To: m.GetFrom(), Rejected: !yes}
	if yes {
		a.Term = m.GetTerm()
	}
	n.late(a)
}

func (n *Node) answerVote(m *replicav1.Message) {
	free := n.state.GetVote() == "" && n.leader == "" || n.state.GetVote() == m.GetFrom()
	yes := free && n.upToDate(m)
	if yes {
		n.state = &replicav1.HardState{Term: n.state.GetTerm(), Vote: m.GetFrom()}
		n.dirty = true
		n.delayElection()
	}
	n.late(&replicav1.Message{Kind: replicav1.Message_KIND_VOTE_ANSWER, To: m.GetFrom(), Rejected: !yes})
}

// upToDate reports whether a candidate's log is as new as this one.
func (n *Node) upToDate(m *replicav1.Message) bool {
	if m.GetIndexTerm() != n.log.lastTerm() {
		return m.GetIndexTerm() > n.log.lastTerm()
	}
	return m.GetIndex() >= n.log.last()
}

// count takes in an answer to a campaign.
func (n *Node) count(as Role, m *replicav1.Message) {
	expected := n.state.GetTerm()
	if as == PreCandidate {
		expected++
	}
	if n.role != as || m.GetTerm() != expected || m.GetRejected() {
		return
	}
	n.votes[m.GetFrom()] = true
	if n.won() {
		n.promoteSelf()
	}
}

func (n *Node) won() bool {
	return n.quorum(func(id string) bool { return n.votes[id] })
}

// promoteSelf takes the next step of a campaign that has its quorum.
func (n *Node) promoteSelf() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.lead()
}

// lead makes the node the leader of its term. An empty entry of that term lets
// it find out what is committed.
func (n *Node) lead() {
	n.role, n.leader = Leader, n.options.ID
	n.peers = map[string]*progress{}
	n.track()
	n.electionDue = n.now.Add(n.options.ElectionTimeout)
	n.extend(&replicav1.Entry{})
	n.heartbeat()
}

// quorumHeard reports whether a quorum was heard within the election timeout.
func (n *Node) quorumHeard() bool {
	return n.quorum(func(id string) bool {
		p := n.peers[id]
		return id == n.options.ID || p != nil && n.now.Sub(p.heard) < n.options.ElectionTimeout
	})
}

// quorum reports whether something holds for more than half of the voters.
func (n *Node) quorum(holds func(id string) bool) bool {
	voters, yes := 0, 0
	for _, s := range n.configuration.GetServers() {
		if s.GetLearner() {
			continue
		}
		voters++
		if holds(s.GetId()) {
			yes++
		}
	}
	return yes > voters/2
}

func (n *Node) voter(id string) bool {
	s := n.server(id)
	return s != nil && !s.GetLearner()
}

// Transfer hands leadership over to the voter that is furthest ahead, and
// refuses proposals until that is done or the election timeout has passed.
// The error is a *NotLeaderError or a *NoHeirError.
func (n *Node) Transfer(now time.Time) error {
	n.advance(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	best := ""
	for id, p := range n.peers {
		if !n.voter(id) || n.now.Sub(p.heard) >= n.options.ElectionTimeout {
			continue
		}
		ahead := best == "" || p.match > n.peers[best].match
		if ahead || p.match == n.peers[best].match && id < best {
			best = id
		}
	}
	if best == "" {
		return &NoHeirError{}
	}
	n.heir, n.heirDue = best, n.now.Add(n.options.ElectionTimeout)
	n.handOver()
	return nil
}

// handOver tells the heir to campaign once it has the whole log.
func (n *Node) handOver() {
	if n.heir != "" && n.peers[n.heir].match == n.log.last() {
		n.early(&replicav1.Message{Kind: replicav1.Message_KIND_TIMEOUT_NOW, To: n.heir})
	}
}
