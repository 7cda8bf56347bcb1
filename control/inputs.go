package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
)

// proposal asks for a command to be committed and applied.
type proposal struct {
	// done is closed when the caller no longer waits. After that the command is not
	// proposed.
	done    <-chan struct{}
	command *controlv1.Command
	// reply has room for the one result.
	reply chan commandResult
}

func (p *proposal) bytes() int { return proto.Size(p.command) }

func (p *proposal) handle(l *loop, now time.Time) {
	select {
	case <-p.done:
		p.reply <- commandResult{err: context.Canceled}
		return
	default:
	}
	if !l.acceptsCommands() {
		p.reply <- commandResult{err: &NotReadyError{}}
		return
	}
	p.command.Time = timestamppb.New(now)
	b, err := proto.Marshal(p.command)
	if err != nil {
		p.reply <- commandResult{err: err}
		return
	}
	if l.node.UncommittedBytes() >= maxUncommittedBytes {
		p.reply <- commandResult{err: &replica.BusyError{Reason: "too many commands wait for a quorum"}}
		return
	}
	index, term, err := l.node.Propose(now, b)
	if err != nil {
		p.reply <- commandResult{err: l.withLeaderAddress(err)}
		return
	}
	l.pendingProposals[index] = pendingProposal{term: term, reply: p.reply}
}

// acceptsCommands reports whether enough hosts are voters for the log to survive
// the loss of a disk. Once the log has commands it is always true.
func (l *loop) acceptsCommands() bool {
	return l.voterCount() >= l.store.minInitialVoters || l.store.hasCommands()
}

func (l *loop) voterCount() int {
	n := 0
	for _, s := range l.lastStatus.Configuration.GetServers() {
		if !s.GetLearner() {
			n++
		}
	}
	return n
}

// healthyVoterCount returns the number of voters that the settings permit and
// that were heard within voterTimeout.
func (l *loop) healthyVoterCount() int {
	n := 0
	for _, s := range l.lastStatus.Configuration.GetServers() {
		if !s.GetLearner() && l.peers.mayJoin(s.GetName()) && l.node.SinceContact(s.GetId()) < voterTimeout {
			n++
		}
	}
	return n
}

// withLeaderAddress replaces a *replica.NotLeaderError, which names a server, by
// a *NotLeaderError with the leader's address. Other errors stay as they are.
func (l *loop) withLeaderAddress(err error) error {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return l.notLeaderError()
	}
	return err
}

// readRequest asks a quorum to confirm that this host's state is current.
type readRequest struct {
	// reply has room for the one result.
	reply chan error
}

func (*readRequest) bytes() int { return 0 }

func (r *readRequest) handle(l *loop, now time.Time) {
	l.lastReadNumber++
	if err := l.node.Read(now, l.lastReadNumber); err != nil {
		r.reply <- l.withLeaderAddress(err)
		return
	}
	l.pendingReads[l.lastReadNumber] = r.reply
}

// delivery carries replication messages from another control host.
type delivery struct {
	request *replicav1.DeliverRequest
}

func (d *delivery) bytes() int { return proto.Size(d.request) }

func (d *delivery) handle(l *loop, now time.Time) {
	l.peers.learnServer(d.request.GetId(), d.request.GetName(), d.request.GetAddress())
	l.peers.recordCall(d.request.GetName(), now)
	for _, m := range d.request.GetMessages() {
		l.node.Step(now, m)
	}
}

// joinRequest asks to add a host to the configuration and to promote it.
type joinRequest struct {
	request *replicav1.JoinRequest
	// reply has room for the one result.
	reply chan joinResult
}

// joinResult is the result of a joinRequest.
type joinResult struct {
	// voter is true once the host is a voter.
	voter bool
	err   error
}

func (*joinRequest) bytes() int { return 0 }

func (j *joinRequest) handle(l *loop, now time.Time) {
	r := j.request
	if !l.peers.mayJoin(r.GetName()) {
		j.reply <- joinResult{err: &UnknownHostError{Name: r.GetName()}}
		return
	}
	l.peers.learnServer(r.GetId(), r.GetName(), r.GetAddress())
	l.peers.recordCall(r.GetName(), now)
	st := l.node.Status(now)
	if st.Role != replica.Leader {
		// The configuration may be outdated here, and the health of voters is not known.
		j.reply <- joinResult{err: l.notLeaderError()}
		return
	}
	kind, s := replica.AddLearner, &replicav1.Server{Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress()}
	for _, o := range st.Configuration.GetServers() {
		switch {
		case o.GetId() == r.GetId() && !o.GetLearner():
			j.reply <- joinResult{voter: true}
			return
		case o.GetId() == r.GetId() && l.healthyVoterCount() >= l.store.targetVoters:
			// There are enough voters; this host replaces the next one that is
			// lost.
			j.reply <- joinResult{}
			return
		case o.GetId() == r.GetId():
			kind = replica.Promote
		case o.GetName() == r.GetName():
			// The host has lost its former disk: its old identity is removed first.
			kind, s = replica.Remove, o
		}
	}
	err := l.node.Change(now, kind, s)
	if err == nil {
		l.log.WithField("Server", s.GetId()).WithField("Name", s.GetName()).WithField("Kind", int(kind)).Info("servers changed")
	}
	var notLeader *replica.NotLeaderError
	if !errors.As(err, &notLeader) {
		// The host found the leader, which may make the change at the next request.
		err = nil
	}
	j.reply <- joinResult{err: l.withLeaderAddress(err)}
}

// bootstrapRequest makes this host the first server of a new log. It does
// nothing if the host already has a configuration.
type bootstrapRequest struct{}

func (bootstrapRequest) bytes() int { return 0 }

func (bootstrapRequest) handle(l *loop, now time.Time) {
	if l.empty(now) {
		l.node.Bootstrap(l.peers.self.Name, l.peers.self.Address.String())
	}
}

// empty reports whether the host has no configuration, and so neither state nor
// other hosts.
func (l *loop) empty(now time.Time) bool {
	return len(l.node.Status(now).Configuration.GetServers()) == 0
}

// transferRequest asks for a planned change of leader.
type transferRequest struct {
	// reply has room for the one result.
	reply chan error
}

func (*transferRequest) bytes() int { return 0 }

func (t *transferRequest) handle(l *loop, now time.Time) {
	t.reply <- l.node.Transfer(now)
}
