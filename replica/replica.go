// Package replica implements the Raft consensus algorithm for the control
// hosts. It is a state machine without goroutines, disk, network or clock: the
// calling code passes in the time with each tick, message and proposal, and
// carries out the effects that Ready returns, in the order that Ready states.
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
//     membership change before an entry of the leader's own term is committed.
//   - B. Liskov, J. Cowling, "Viewstamped Replication Revisited", 2012: a
//     replica that lost its state must not take part under its old identity.
//   - R. Alagappan et al., "Protocol-Aware Recovery for Consensus-Based
//     Storage", FAST 2018: a corrupt log must not be read as a shorter log.
package replica

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// Role is the role of a node in its term.
type Role int

// The roles of a node. A learner is a follower that counts for no quorum.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Options configure a node.
type Options struct {
	// ID identifies the server that owns the disk.
	ID string
	// ElectionTimeout is how long a server may go unheard before it counts as
	// down. The wait before a campaign is random, from one to two timeouts.
	ElectionTimeout time.Duration
	// FirstElection is the longest wait before the first campaign after a
	// start. The wait is random and at least a quarter of it; zero means the
	// usual wait. A running leader is not disturbed, because nodes refuse
	// pre-votes while they hear a leader.
	FirstElection time.Duration
	// HeartbeatInterval must be well below ElectionTimeout.
	HeartbeatInterval time.Duration
	// AppendBytes bounds the size of the entries in one message, in bytes. The
	// first entry is sent whatever its size.
	AppendBytes int
	// InFlightBytes bounds the size of the entries that were sent to one server and
	// not acknowledged, in bytes. One message may exceed it. Zero means no bound.
	InFlightBytes int
	// Random returns a random duration from zero up to limit.
	Random func(limit time.Duration) time.Duration
}

// Stored is what a node reads from its disk when it starts.
type Stored struct {
	// State may be nil.
	State *replicav1.HardState
	// Snapshot may be nil.
	Snapshot *replicav1.Snapshot
	// Entries are contiguous. The first is at most one after the snapshot.
	Entries []*replicav1.Entry
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	options Options
	// now is the latest time that was passed in.
	now   time.Time
	state *replicav1.HardState
	role  Role
	// leader is the ID of the leader of the term; empty while unknown.
	leader string
	// reason says why the node last began a campaign or became a follower.
	reason string
	log    entryLog
	// commit is the index of the newest entry known to be committed.
	commit uint64
	// stable is the index of the newest entry that is on this disk.
	stable uint64
	// delivered is the index of the newest entry that Ready has returned to be
	// applied.
	delivered uint64
	// configuration is the newest one in the log, committed or not.
	configuration *replicav1.Configuration
	// configurationIndex is the index of the entry or snapshot that holds
	// configuration.
	configurationIndex uint64
	// votes holds the IDs of the servers that granted this campaign a vote.
	votes map[string]bool
	// peers maps the ID of each other server to its progress; nil unless this
	// node leads.
	peers map[string]*progress
	// electionDeadline is when a node that does not lead starts a campaign, or a
	// leader checks that it still hears a quorum.
	electionDeadline time.Time
	// nextHeartbeat is when a leader sends its next heartbeat.
	nextHeartbeat time.Time
	// lastContact is when this node last heard the leader of the term, and lastLeader the
	// ID of that leader. Both outlast the term.
	lastContact time.Time
	lastLeader  string
	// matched is the index of the newest entry known to match the log of the leader
	// of the term, and leaderCommit the newest commit index heard from that leader.
	// Messages that overtake each other may tell one long before the other.
	matched      uint64
	leaderCommit uint64
	freshness    freshness
	reads        readQueue
	// transferTarget is the ID of the server that is to take over the
	// leadership; empty while no transfer is under way.
	transferTarget string
	// transferDeadline is when the transfer is abandoned.
	transferDeadline time.Time
	// pending holds the effects that the next Ready returns.
	pending Ready
	// dirty is true while state differs from what the last Ready returned.
	dirty bool
}

// New returns a follower with the state that was stored on its disk.
func New(o Options, s Stored, now time.Time) *Node {
	n := &Node{options: o, now: now, state: &replicav1.HardState{}, log: newLog(s)}
	if s.State != nil {
		n.state = s.State
	}
	n.commit = n.log.snapshot.GetIndex()
	n.delivered = n.commit
	n.stable = n.log.lastIndex()
	n.updateConfiguration()
	n.resetElectionDeadline()
	if o.FirstElection > 0 {
		n.electionDeadline = now.Add(o.FirstElection/4 + o.Random(o.FirstElection*3/4))
	}
	return n
}

// Bootstrap appends the first entry of a new log: a configuration with this
// server as the only voter.
func (n *Node) Bootstrap(name, address string) {
	initial := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: n.options.ID, Name: name, Address: address}}}
	n.state = &replicav1.HardState{Term: 1}
	n.dirty = true
	n.log.append(&replicav1.Entry{Index: 1, Term: 1, Kind: &replicav1.Entry_Configuration{Configuration: initial}})
	n.updateConfiguration()
	n.electionDeadline = n.now
}

// Tick advances the time, and starts the campaigns and heartbeats that are due.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.isVoter(n.options.ID) && !n.now.Before(n.electionDeadline) {
		n.reason = "no contact with a leader"
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.electionDeadline) {
		if !n.hasLiveQuorum() {
			n.reason = "no contact with a quorum"
			n.becomeFollower(n.state.GetTerm(), "")
			return
		}
		n.electionDeadline = n.now.Add(n.options.ElectionTimeout)
	}
	if n.transferTarget != "" && !n.now.Before(n.transferDeadline) {
		n.transferTarget = ""
	}
	if !n.now.Before(n.nextHeartbeat) {
		n.heartbeat()
	}
}

func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Step handles a message. A message for another server ID is dropped: a host
// that lost its disk has a new ID and must not answer for the old one.
func (n *Node) Step(now time.Time, m *replicav1.Message) {
	n.advanceClock(now)
	if m.GetTo() != n.options.ID {
		return
	}
	if m.GetTerm() > n.state.GetTerm() && !n.handleNewerTerm(m) {
		return
	}
	if m.GetTerm() < n.state.GetTerm() {
		n.handleOlderTerm(m)
		return
	}
	switch m.GetKind() {
	case replicav1.Message_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case replicav1.Message_KIND_VOTE:
		n.handleVote(m)
	case replicav1.Message_KIND_VOTE_ANSWER:
		n.handleVoteAnswer(Candidate, m)
	case replicav1.Message_KIND_PRE_VOTE_ANSWER:
		n.handleVoteAnswer(PreCandidate, m)
	case replicav1.Message_KIND_APPEND, replicav1.Message_KIND_SNAPSHOT:
		n.handleReplication(m)
	case replicav1.Message_KIND_APPEND_ANSWER:
		n.handleAppendAnswer(m)
	case replicav1.Message_KIND_TIMEOUT_NOW:
		if n.isVoter(n.options.ID) {
			n.reason = "transfer"
			n.campaign(Candidate, true)
		}
	case replicav1.Message_KIND_READ:
		n.handleRead(m)
	case replicav1.Message_KIND_READ_ANSWER:
		n.pending.Reads = append(n.pending.Reads, Read{Number: m.GetRead(), Index: m.GetIndex()})
	}
}

// handleNewerTerm handles a message of a later term, and reports whether Step
// has to handle it further.
func (n *Node) handleNewerTerm(m *replicav1.Message) bool {
	switch m.GetKind() {
	case replicav1.Message_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return false
	case replicav1.Message_KIND_PRE_VOTE_ANSWER:
		if !m.GetRejected() {
			n.handleVoteAnswer(PreCandidate, m)
			return false
		}
	case replicav1.Message_KIND_VOTE:
		if n.hasLiveLeader() && !m.GetTransfer() {
			return false
		}
	}
	n.reason = "a newer term"
	n.becomeFollower(m.GetTerm(), "")
	return true
}

// handleOlderTerm rejects a message of an earlier term, so that the sender
// learns the current term.
func (n *Node) handleOlderTerm(m *replicav1.Message) {
	switch m.GetKind() {
	case replicav1.Message_KIND_APPEND, replicav1.Message_KIND_SNAPSHOT:
		n.queueAfterSync(&replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, To: m.GetFrom(), Rejected: true})
	case replicav1.Message_KIND_PRE_VOTE:
		n.queueAfterSync(&replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, To: m.GetFrom(), Rejected: true})
	}
}

// Propose appends a command to the log, and returns the index and term of its
// entry. The command is committed only once an entry with this index and term
// is. The error is a *NotLeaderError.
func (n *Node) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.transferTarget != "" {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	index = n.appendEntry(&replicav1.Entry{Kind: &replicav1.Entry_Command{Command: command}})
	return index, n.state.GetTerm(), nil
}

// appendEntry appends an entry of the leader's own term, and returns its index.
func (n *Node) appendEntry(e *replicav1.Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.state.GetTerm()
	n.log.append(e)
	if e.GetConfiguration() != nil {
		n.updateConfiguration()
	}
	return e.GetIndex()
}

// Status is a node's view of itself.
type Status struct {
	Role Role
	// Leader is the ID of the leader; empty while no leader is known.
	Leader string
	Term   uint64
	// Commit is the index of the newest entry known to be committed.
	Commit uint64
	// HasContact reports whether the node heard the leader, or as the leader a
	// quorum, within the election timeout.
	HasContact bool
	// Reason says why the node last began a campaign or became a follower.
	Reason string
	// CurrentAt is the latest time at which the node is known to have had all entries
	// that were committed then; zero if there is none.
	CurrentAt     time.Time
	Configuration *replicav1.Configuration
	// CommittedConfiguration is the newest one that is known to be committed. Until a
	// change is, the loss of a leader may undo it.
	CommittedConfiguration *replicav1.Configuration
	// LogBytes is the size of the entries in memory, and SnapshotBytes that of the
	// state in the newest snapshot.
	LogBytes      int
	SnapshotBytes int
}

// Status returns the status of the node at a time.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Role: n.role, Leader: n.leader, Term: n.state.GetTerm(), Commit: n.commit, Reason: n.reason,
		Configuration: n.configuration, CommittedConfiguration: n.configuration,
		LogBytes: n.log.size(0, n.log.lastIndex()), SnapshotBytes: len(n.log.snapshot.GetState()),
	}
	if n.configurationIndex > n.commit {
		s.CommittedConfiguration = n.Configuration(n.commit)
	}
	n.advanceClock(now)
	s.HasContact = n.hasLiveLeader()
	if n.role == Leader && s.HasContact && n.committedInTerm() && n.delivered == n.commit {
		n.freshness.current(n.now)
	}
	s.CurrentAt = n.freshness.currentAt
	return s
}

// hasLiveLeader reports whether the leader was heard within the election
// timeout; a leader reports whether it heard a quorum.
func (n *Node) hasLiveLeader() bool {
	if n.role == Leader {
		return n.hasLiveQuorum()
	}
	return n.leader != "" && n.now.Sub(n.lastContact) < n.options.ElectionTimeout
}
