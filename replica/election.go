package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// resetElectionDeadline sets the next campaign to one to two election timeouts
// from now, at random.
func (n *Node) resetElectionDeadline() {
	wait := n.options.ElectionTimeout + n.options.Random(n.options.ElectionTimeout)
	n.electionDeadline = n.now.Add(wait)
}

// becomeFollower makes the node a follower in a term. The leader is empty if it
// is not known.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.state.GetTerm() {
		n.state = &replicav1.HardState{Term: term}
		n.dirty = true
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.peers, n.transferTarget = nil, nil, ""
	n.reads = readQueue{}
	n.matched, n.leaderCommit = 0, 0
	n.resetElectionDeadline()
}

// campaign starts a campaign. A pre-candidate asks the other voters whether they
// would vote for it in the next term; a candidate enters that term and asks for
// their votes. With transfer, voters grant them even if they hear a leader.
func (n *Node) campaign(role Role, transfer bool) {
	kind, term := replicav1.Message_KIND_PRE_VOTE, n.state.GetTerm()+1
	if role == Candidate {
		kind = replicav1.Message_KIND_VOTE
		n.state = &replicav1.HardState{Term: term, Vote: n.options.ID}
		n.dirty = true
	}
	n.role, n.leader = role, ""
	n.votes = map[string]bool{n.options.ID: true}
	n.resetElectionDeadline()
	if n.wonCampaign() {
		n.advanceCampaign()
		return
	}
	for _, s := range n.configuration.GetServers() {
		if s.GetLearner() || s.GetId() == n.options.ID {
			continue
		}
		n.queueAfterSync(&replicav1.Message{
			Kind: kind, To: s.GetId(), Term: term, Index: n.log.lastIndex(), IndexTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
}

// handlePreVote grants a pre-vote if the sender's log is at least as new as
// this one and no live leader is known. It changes no state of this node.
func (n *Node) handlePreVote(m *replicav1.Message) {
	granted := m.GetTerm() > n.state.GetTerm() && !n.hasLiveLeader() && n.upToDate(m)
	answer := &replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, To: m.GetFrom(), Rejected: !granted}
	if granted {
		answer.Term = m.GetTerm()
	}
	n.queueAfterSync(answer)
}

func (n *Node) handleVote(m *replicav1.Message) {
	canVote := n.state.GetVote() == "" && n.leader == "" || n.state.GetVote() == m.GetFrom()
	granted := canVote && n.upToDate(m)
	if granted {
		n.state = &replicav1.HardState{Term: n.state.GetTerm(), Vote: m.GetFrom()}
		n.dirty = true
		n.resetElectionDeadline()
	}
	n.queueAfterSync(&replicav1.Message{Kind: replicav1.Message_KIND_VOTE_ANSWER, To: m.GetFrom(), Rejected: !granted})
}

// upToDate reports whether a candidate's log is at least as new as this one.
func (n *Node) upToDate(m *replicav1.Message) bool {
	if m.GetIndexTerm() != n.log.lastTerm() {
		return m.GetIndexTerm() > n.log.lastTerm()
	}
	return m.GetIndex() >= n.log.lastIndex()
}

// handleVoteAnswer counts a vote that was granted to a campaign of a role.
func (n *Node) handleVoteAnswer(role Role, m *replicav1.Message) {
	expected := n.state.GetTerm()
	if role == PreCandidate {
		expected++
	}
	if n.role != role || m.GetTerm() != expected || m.GetRejected() {
		return
	}
	n.votes[m.GetFrom()] = true
	if n.wonCampaign() {
		n.advanceCampaign()
	}
}

func (n *Node) wonCampaign() bool {
	return n.quorum(func(id string) bool { return n.votes[id] })
}

// advanceCampaign makes a pre-candidate with a quorum a candidate, and a
// candidate with a quorum the leader.
func (n *Node) advanceCampaign() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

// becomeLeader makes the node the leader of its term. It appends an empty entry
// of that term: once that is committed, so are all entries before it.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.options.ID
	n.peers = map[string]*progress{}
	n.updatePeers()
	n.countFormerLeader()
	n.electionDeadline = n.now.Add(n.options.ElectionTimeout)
	n.appendEntry(&replicav1.Entry{})
	n.heartbeat()
}

// countFormerLeader counts the time without contact with the leader before this one from
// when it was last heard, so that a lost one is replaced no later than another server. At
// most two election timeouts count, in which it can't have heard of this leader yet.
func (n *Node) countFormerLeader() {
	p := n.peers[n.lastLeader]
	if p == nil {
		return
	}
	p.lastContact = n.lastContact
	if earliest := n.now.Add(-2 * n.options.ElectionTimeout); p.lastContact.Before(earliest) {
		p.lastContact = earliest
	}
}

// hasLiveQuorum reports whether a quorum, this leader included, was heard
// within the election timeout.
func (n *Node) hasLiveQuorum() bool {
	return n.quorum(func(id string) bool {
		p := n.peers[id]
		return id == n.options.ID || p != nil && n.now.Sub(p.lastContact) < n.options.ElectionTimeout
	})
}

// quorum reports whether a condition holds for more than half of the voters.
func (n *Node) quorum(holds func(id string) bool) bool {
	voters, count := 0, 0
	for _, s := range n.configuration.GetServers() {
		if s.GetLearner() {
			continue
		}
		voters++
		if holds(s.GetId()) {
			count++
		}
	}
	return count > voters/2
}

func (n *Node) isVoter(id string) bool {
	s := n.findServer(id)
	return s != nil && !s.GetLearner()
}

// Transfer starts to hand the leadership to the voter that has acknowledged
// most of the log, among those heard within the election timeout. Proposals and
// membership changes are refused until the transfer is done or the election
// timeout has passed. The error is a *NotLeaderError or a *NoTransferTargetError.
func (n *Node) Transfer(now time.Time) error {
	n.advanceClock(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	best := ""
	for id, p := range n.peers {
		if !n.isVoter(id) || n.now.Sub(p.lastContact) >= n.options.ElectionTimeout {
			continue
		}
		better := best == "" || p.match > n.peers[best].match
		if better || p.match == n.peers[best].match && id < best {
			best = id
		}
	}
	if best == "" {
		return &NoTransferTargetError{}
	}
	n.transferTarget, n.transferDeadline = best, n.now.Add(n.options.ElectionTimeout)
	n.completeTransfer()
	return nil
}

// completeTransfer tells the transfer target to campaign at once, if it has the
// whole log.
func (n *Node) completeTransfer() {
	if n.transferTarget != "" && n.peers[n.transferTarget].match == n.log.lastIndex() {
		n.queueBeforeSync(&replicav1.Message{Kind: replicav1.Message_KIND_TIMEOUT_NOW, To: n.transferTarget})
	}
}
