// Package replica is the consensus of the control hosts: the Raft algorithm as
// a state machine without goroutines, disk, network or clock. Its caller hands
// in the time together with a tick, a message or a proposal, and carries out
// the effects that Ready returns: save first, send after.
//
// Sources:
//   - D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
//     Algorithm", USENIX ATC 2014: election, replication, commitment.
//   - D. Ongaro, "Consensus: Bridging Theory and Practice", dissertation,
//     Stanford 2014: leadership transfer (3.10), one-at-a-time membership
//     change and learners (4.1, 4.2.1), snapshots (5), quorum-confirmed reads
//     (6.4), pre-vote (9.6), sending before the leader's own disk write
//     (10.2.1).
//   - D. Ongaro, "Bug in single-server membership changes", raft-dev, 2015: no
//     change before an entry of the leader's own term is committed.
//   - B. Liskov, J. Cowling, "Viewstamped Replication Revisited", 2012: a
//     replica that lost its state must not take part as its old self.
//   - R. Alagappan et al., "Protocol-Aware Recovery for Consensus-Based
//     Storage", FAST 2018: a damaged log is not a short one.
package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// Role is what a node is in its term.
type Role int

// The roles of a node. A learner is a follower that does not count.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Options configure a node.
type Options struct {
	// ID is the server that the disk belongs to.
	ID string
	// ElectionTimeout is the silence after which a leader is given up. The
	// wait before a campaign is up to twice as long, at random.
	ElectionTimeout time.Duration
	// FirstElection bounds the wait of a node that has just started, at random;
	// zero means that it waits as after a silence. A running leader is not
	// disturbed, as pre-votes are refused then.
	FirstElection time.Duration
	// HeartbeatInterval is well below ElectionTimeout.
	HeartbeatInterval time.Duration
	// AppendBytes bounds the entries of one message, beyond the first.
	AppendBytes int
	// Random returns a duration from zero up to a limit.
	Random func(limit time.Duration) time.Duration
}

// Stored is what a node finds on its disk.
type Stored struct {
	// State may be nil.
	State *replicav1.HardState
	// Snapshot may be nil.
	Snapshot *replicav1.Snapshot
	// Entries are contiguous and begin at most one after the snapshot.
	Entries []*replicav1.Entry
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	options Options
	// now is the newest time that was handed in.
	now   time.Time
	state *replicav1.HardState
	role  Role
	// leader is the server that leads the term; empty while unknown.
	leader string
	log    entryLog
	// commit is the newest entry known to be on a quorum, stable the newest
	// one on this disk, and handed the newest one given out to be applied.
	commit uint64
	stable uint64
	handed uint64
	// configuration is the newest one in the log, committed or not, and
	// changedAt its index.
	configuration *replicav1.Configuration
	changedAt     uint64
	// votes is what voters answered to this candidate.
	votes map[string]bool
	// peers is what a leader knows of each other server.
	peers map[string]*progress
	// electionDue is when a follower campaigns, or a leader looks for its
	// quorum; heartbeatDue is when a leader sends again.
	electionDue  time.Time
	heartbeatDue time.Time
	// heard is when the leader of the term was last heard.
	heard time.Time
	reads reads
	// heir is the server that a transfer goes to until heirDue.
	heir    string
	heirDue time.Time
	out     Ready
	// dirty is set while state is not on disk.
	dirty bool
}

// New returns a follower with what is on its disk.
func New(o Options, s Stored, now time.Time) *Node {
	n := &Node{options: o, now: now, state: &replicav1.HardState{}, log: newLog(s)}
	if s.State != nil {
		n.state = s.State
	}
	n.commit = n.log.snapshot.GetIndex()
	n.handed = n.commit
	n.stable = n.log.last()
	n.configure()
	n.delayElection()
	if o.FirstElection > 0 {
		n.electionDue = now.Add(o.FirstElection/4 + o.Random(o.FirstElection*3/4))
	}
	return n
}

// Bootstrap makes the first entry of a new log: a configuration with this
// server alone.
func (n *Node) Bootstrap(name, address string) {
	only := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: n.options.ID, Name: name, Address: address}}}
	n.state = &replicav1.HardState{Term: 1}
	n.dirty = true
	n.log.append(&replicav1.Entry{Index: 1, Term: 1, Kind: &replicav1.Entry_Configuration{Configuration: only}})
	n.configure()
	n.electionDue = n.now
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) {
	n.advance(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.voter(n.options.ID) && !n.now.Before(n.electionDue) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.electionDue) {
		if !n.quorumHeard() {
			n.follow(n.state.GetTerm(), "")
			return
		}
		n.electionDue = n.now.Add(n.options.ElectionTimeout)
	}
	if n.heir != "" && !n.now.Before(n.heirDue) {
		n.heir = ""
	}
	if !n.now.Before(n.heartbeatDue) {
		n.heartbeat()
	}
}

func (n *Node) advance(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Step takes in a message. One for another server is dropped: a disk that was
// lost took its server with it.
func (n *Node) Step(now time.Time, m *replicav1.Message) {
	n.advance(now)
	if m.GetTo() != n.options.ID {
		return
	}
	if m.GetTerm() > n.state.GetTerm() && !n.newer(m) {
		return
	}
	if m.GetTerm() < n.state.GetTerm() {
		n.older(m)
		return
	}
	switch m.GetKind() {
	case replicav1.Message_KIND_PRE_VOTE:
		n.answerPreVote(m)
	case replicav1.Message_KIND_VOTE:
		n.answerVote(m)
	case replicav1.Message_KIND_VOTE_ANSWER:
		n.count(Candidate, m)
	case replicav1.Message_KIND_PRE_VOTE_ANSWER:
		n.count(PreCandidate, m)
	case replicav1.Message_KIND_APPEND, replicav1.Message_KIND_SNAPSHOT:
		n.takeIn(m)
	case replicav1.Message_KIND_APPEND_ANSWER:
		n.acknowledged(m)
	case replicav1.Message_KIND_TIMEOUT_NOW:
		if n.voter(n.options.ID) {
			n.campaign(Candidate, true)
		}
	case replicav1.Message_KIND_READ:
		n.readFor(m)
	case replicav1.Message_KIND_READ_ANSWER:
		n.out.Reads = append(n.out.Reads, Read{Number: m.GetRead(), Index: m.GetIndex()})
	}
}

// newer handles a message of a later term, and reports whether it is to be
// looked at further.
func (n *Node) newer(m *replicav1.Message) bool {
	switch m.GetKind() {
	case replicav1.Message_KIND_PRE_VOTE:
		n.answerPreVote(m)
		return false
	case replicav1.Message_KIND_PRE_VOTE_ANSWER:
		if !m.GetRejected() {
			n.count(PreCandidate, m)
			return false
		}
	case replicav1.Message_KIND_VOTE:
		if n.led() && !m.GetTransfer() {
			return false
		}
	}
	n.follow(m.GetTerm(), "")
	return true
}

// older answers a message of an earlier term, so that its sender learns of
// the later one.
func (n *Node) older(m *replicav1.Message) {
	switch m.GetKind() {
	case replicav1.Message_KIND_APPEND, replicav1.Message_KIND_SNAPSHOT:
		n.late(&replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, To: m.GetFrom(), Rejected: true})
	case replicav1.Message_KIND_PRE_VOTE:
		n.late(&replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, To: m.GetFrom(), Rejected: true})
	}
}

// Propose appends a command, and returns the index and term under which it is
// committed, if it is. The error is a *NotLeaderError.
func (n *Node) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	n.advance(now)
	if n.role != Leader || n.heir != "" {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	index = n.extend(&replicav1.Entry{Kind: &replicav1.Entry_Command{Command: command}})
	return index, n.state.GetTerm(), nil
}

// extend appends an entry of the leader's own term.
func (n *Node) extend(e *replicav1.Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.state.GetTerm()
	n.log.append(e)
	if e.GetConfiguration() != nil {
		n.configure()
	}
	return e.GetIndex()
}

// Status is what a node knows of itself.
type Status struct {
	Role Role
	// Leader is empty while no leader is known.
	Leader string
	Term   uint64
	Commit uint64
	// InTouch reports whether the node heard the leader, or as a leader its
	// quorum, within the election timeout.
	InTouch       bool
	Configuration *replicav1.Configuration
}

// Status returns what the node knows of itself at a time.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Role: n.role, Leader: n.leader, Term: n.state.GetTerm(), Commit: n.commit, Configuration: n.configuration,
	}
	n.advance(now)
	if n.role == Leader {
		s.InTouch = n.quorumHeard()
	} else {
		s.InTouch = n.led()
	}
	return s
}

// led reports whether a leader runs as far as this node can tell.
func (n *Node) led() bool {
	if n.role == Leader {
		return n.quorumHeard()
	}
	return n.leader != "" && n.now.Sub(n.heard) < n.options.ElectionTimeout
}
