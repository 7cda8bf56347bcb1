package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

// ChangeKind is a kind of change of the servers.
type ChangeKind int

// The kinds of change, of which one at a time is under way.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// configure adopts the newest configuration in the log, committed or not.
func (n *Node) configure() {
	n.configuration, n.changedAt = n.log.configuration(n.log.last())
	if n.role == Leader {
		n.track()
	}
}

func (n *Node) server(id string) *replicav1.Server {
	for _, s := range n.configuration.GetServers() {
		if s.GetId() == id {
			return s
		}
	}
	return nil
}

// Change adds a learner, promotes one whose copy is synced, or removes a
// server. Nothing happens if it is so already. The error is a *NotLeaderError,
// a *BusyError while another change is under way, or a *NotSyncedError.
func (n *Node) Change(now time.Time, kind ChangeKind, s *replicav1.Server) error {
	n.advance(now)
	if n.role != Leader || n.heir != "" {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.changedAt > n.commit || !n.settled() {
		return &BusyError{Reason: "another change of the servers is under way"}
	}
	next, err := n.changed(kind, s)
	if err != nil || proto.Equal(next, n.configuration) {
		return err
	}
	n.extend(&replicav1.Entry{Kind: &replicav1.Entry_Configuration{Configuration: next}})
	return nil
}

// changed returns the configuration after a change.
func (n *Node) changed(kind ChangeKind, s *replicav1.Server) (*replicav1.Configuration, error) {
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
		if n.server(s.GetId()) == nil {
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

// Silence returns how long a server has not been heard by this leader.
func (n *Node) Silence(id string) time.Duration {
	if id == n.options.ID || n.peers[id] == nil {
		return 0
	}
	return n.now.Sub(n.peers[id].heard)
}

// Synced reports whether a server was heard lately and has everything that is
// committed on its disk.
func (n *Node) Synced(id string) bool {
	p := n.peers[id]
	return p != nil && p.match >= n.commit && n.now.Sub(p.heard) < n.options.ElectionTimeout
}
