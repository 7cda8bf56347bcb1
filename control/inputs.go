package control

import (
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
	command *controlv1.Command
	// reply has room for the one outcome.
	reply chan outcome
}

func (p *proposal) enter(l *loop, now time.Time) {
	if !l.founded() {
		p.reply <- outcome{err: &NotReadyError{}}
		return
	}
	p.command.Time = timestamppb.New(now)
	b, err := proto.Marshal(p.command)
	if err != nil {
		p.reply <- outcome{err: err}
		return
	}
	index, term, err := l.node.Propose(now, b)
	if err != nil {
		p.reply <- outcome{err: l.translate(err)}
		return
	}
	l.waiters[index] = waiter{term: term, reply: p.reply}
}

// founded reports whether as many hosts count as the loss of a disk takes, or
// did so once, after which the log has commands.
func (l *loop) founded() bool {
	return l.voters() >= l.store.founders || l.store.used()
}

func (l *loop) voters() int {
	n := 0
	for _, s := range l.last.Configuration.GetServers() {
		if !s.GetLearner() {
			n++
		}
	}
	return n
}

// healthyVoters is the number of voters that may stay and were heard lately.
func (l *loop) healthyVoters() int {
	n := 0
	for _, s := range l.last.Configuration.GetServers() {
		if !s.GetLearner() && l.peers.listed(s.GetName()) && l.node.Silence(s.GetId()) < voterTimeout {
			n++
		}
	}
	return n
}

// translate puts an address in the place of a server.
func (l *loop) translate(err error) error {
	var not *replica.NotLeaderError
	if errors.As(err, &not) {
		return l.notLeader()
	}
	return err
}

// confirmation asks for a quorum-confirmed read.
type confirmation struct {
	// reply has room for the one answer.
	reply chan error
}

func (c *confirmation) enter(l *loop, now time.Time) {
	l.nextRead++
	if err := l.node.Read(now, l.nextRead); err != nil {
		c.reply <- l.translate(err)
		return
	}
	l.asked[l.nextRead] = c.reply
}

// arrival is the messages of another control host.
type arrival struct {
	request *replicav1.DeliverRequest
}

func (a *arrival) enter(l *loop, now time.Time) {
	l.peers.learn(a.request.GetId(), a.request.GetName(), a.request.GetAddress())
	for _, m := range a.request.GetMessages() {
		l.node.Step(now, m)
	}
}

// joining asks for the membership of a host with a new identity.
type joining struct {
	request *replicav1.JoinRequest
	// reply has room for the one answer; it is true once the host counts.
	reply chan joined
}

type joined struct {
	voter bool
	err   error
}

func (j *joining) enter(l *loop, now time.Time) {
	r := j.request
	if !l.peers.listed(r.GetName()) {
		j.reply <- joined{err: &UnknownHostError{Name: r.GetName()}}
		return
	}
	l.peers.learn(r.GetId(), r.GetName(), r.GetAddress())
	kind, s := replica.AddLearner, &replicav1.Server{Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress()}
	for _, o := range l.node.Status(now).Configuration.GetServers() {
		switch {
		case o.GetId() == r.GetId() && !o.GetLearner():
			j.reply <- joined{voter: true}
			return
		case o.GetId() == r.GetId() && l.healthyVoters() >= l.store.voters:
			// Enough hosts count; this one takes the place of the next that is
			// lost.
			j.reply <- joined{}
			return
		case o.GetId() == r.GetId():
			kind = replica.Promote
		case o.GetName() == r.GetName():
			// The host's former disk is lost: its old identity goes first.
			kind, s = replica.Remove, o
		}
	}
	err := l.node.Change(now, kind, s)
	if err == nil {
		l.log.WithField("Server", s.GetId()).WithField("Name", s.GetName()).WithField("Kind", int(kind)).Info("servers changed")
	}
	j.reply <- joined{err: l.translate(err)}
}

// founding makes this host the first of a new log.
type founding struct{}

func (founding) enter(l *loop, now time.Time) {
	if l.empty(now) {
		l.node.Bootstrap(l.peers.own.Name, l.peers.own.Address.String())
	}
}

// empty reports whether the host knows of no other host and no state.
func (l *loop) empty(now time.Time) bool {
	return len(l.node.Status(now).Configuration.GetServers()) == 0
}

// handover asks for a planned change of leader.
type handover struct {
	reply chan error
}

func (h *handover) enter(l *loop, now time.Time) {
	h.reply <- l.node.Transfer(now)
}
