package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

// ChangeKind is a kind of membership change.
type ChangeKind int

// The kinds of membership change. Only one change may be under way at a time.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// updateConfiguration adopts the newest configuration in the log, committed or
// not.
func (n *Node) updateConfiguration() {
	n.configuration, n.configurationIndex = n.log.configuration(n.log.lastIndex())
	if n.role == Leader {
		n.updatePeers()
	}
}

func (n *Node) findServer(id string) *replicav1.Server {
	for _, s := range n.configuration.GetServers() {
		if s.GetId() == id {
			return s
		}
	}
	return nil
}

// Change adds a learner, promotes a learner that is synced, or removes a
// server. A change that is already in place does nothing. The error is a
// *NotLeaderError, a *NotSyncedError, or a *BusyError: another change is under
// way, no entry of the leader's own term is committed yet, or the leader was to
// remove itself.
func (n *Node) Change(now time.Time, kind ChangeKind, s *replicav1.Server) error {
	n.advanceClock(now)
	if n.role != Leader || n.transferTarget != "" {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.configurationIndex > n.commit || !n.committedInTerm() {
		return &BusyError{Reason: "another change of the servers is under way"}
	}
	next, err := n.nextConfiguration(kind, s)
	if err != nil || proto.Equal(next, n.configuration) {
		return err
	}
	n.appendEntry(&replicav1.Entry{Kind: &replicav1.Entry_Configuration{Configuration: next}})
	return nil
}

// nextConfiguration returns the configuration after a change.
func (n *Node) nextConfiguration(kind ChangeKind, s *replicav1.Server) (*replicav1.Configuration, error) {
	next := &replicav1.Configuration{}
	for _, o := range n.configuration.GetServers() {
		if kind == Remove && o.GetId() == s.GetId() {
			continue
		}
		next.Servers = append(next.Servers, proto.CloneOf(o))
	}
	switch kind {
	case Remove:
		if s.GetId() == n.options.ID {
			return nil, &BusyError{Reason: "a leader does not remove itself"}
		}
	case AddLearner:
		if n.findServer(s.GetId()) == nil {
			next.Servers = append(next.Servers, &replicav1.Server{Id: s.GetId(), Name: s.GetName(), Address: s.GetAddress(), Learner: true})
		}
	case Promote:
		if !n.Synced(s.GetId()) {
			return nil, &NotSyncedError{ID: s.GetId()}
		}
		for _, o := range next.Servers {
			o.Learner = o.GetLearner() && o.GetId() != s.GetId()
		}
	}
	return next, nil
}

// SinceContact returns the time since this leader last heard a server. It is zero
// for this node itself and for an unknown server.
func (n *Node) SinceContact(id string) time.Duration {
	if id == n.options.ID || n.peers[id] == nil {
		return 0
	}
	return n.now.Sub(n.peers[id].lastContact)
}

// Holders returns the IDs of the voters that this leader knows to have an entry on their
// disks.
func (n *Node) Holders(index uint64) []string {
	var out []string
	for _, s := range n.configuration.GetServers() {
		own := s.GetId() == n.options.ID && n.stable >= index
		p := n.peers[s.GetId()]
		if !s.GetLearner() && (own || p != nil && p.match >= index) {
			out = append(out, s.GetId())
		}
	}
	return out
}

// Synced reports whether this leader heard a server within the election
// timeout, and the server has all committed entries on its disk.
func (n *Node) Synced(id string) bool {
	p := n.peers[id]
	return p != nil && p.match >= n.commit && n.now.Sub(p.lastContact) < n.options.ElectionTimeout
}
