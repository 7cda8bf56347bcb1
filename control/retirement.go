package control

import (
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
)

const (
	// learnerTimeout is how long the leader may be without contact with a learner
	// before it removes it. A learner answers heartbeats and asks to join several
	// times a second, so one that is silent for as long as a lost voter is gone.
	learnerTimeout = voterTimeout
	// learnerRemovalInterval is the least time between the removals of two learners.
	// As only one change may be under way, a host that asks to join is refused
	// meanwhile, and asks again after joinInterval.
	learnerRemovalInterval = 2 * joinInterval
)

// retirement is the choice of the server that the leader removes next.
type retirement struct {
	servers []serverState
	// targetVoters is the number of voters that stay even if their hosts are lost.
	targetVoters int
	// keepVoters is true if lost voters stay until the settings no longer list them.
	keepVoters bool
	// mayPromote is true while learners that are synced are promoted.
	mayPromote bool
}

// serverState is what the leader knows of a server in the configuration.
type serverState struct {
	server *replicav1.Server
	// permitted is true if the settings permit the server's host.
	permitted bool
	// sinceContact is the time since the leader last had contact with the server.
	sinceContact time.Duration
	// synced is true if the server has all committed entries.
	synced bool
}

// next returns the server to remove, or nil.
func (r *retirement) next() *replicav1.Server {
	if s := r.nextVoter(); s != nil {
		return s
	}
	return r.nextLearner()
}

// nextVoter returns a voter to remove once a replacement has become a voter.
func (r *retirement) nextVoter() *replicav1.Server {
	voters := 0
	for _, s := range r.servers {
		if !s.server.GetLearner() {
			voters++
		}
	}
	if voters <= r.targetVoters {
		return nil
	}
	for _, s := range r.servers {
		lost := !r.keepVoters && s.sinceContact >= voterTimeout
		if !s.server.GetLearner() && (!s.permitted || lost) {
			return s.server
		}
	}
	return nil
}

// nextLearner returns a learner to remove. It returns none while another one can be
// promoted, as only one change may be under way.
func (r *retirement) nextLearner() *replicav1.Server {
	var next *replicav1.Server
	for _, s := range r.servers {
		switch {
		case !s.server.GetLearner():
		case r.mayPromote && s.permitted && s.synced:
			return nil
		case next == nil && (!s.permitted || s.sinceContact >= learnerTimeout):
			next = s.server
		}
	}
	return next
}

// retireServer removes one server whose host is no longer listed in the settings or is
// lost.
func (l *loop) retireServer(now time.Time) {
	if l.lastStatus.Role != replica.Leader {
		return
	}
	s := l.retirement(now).next()
	if s == nil || s.GetLearner() && now.Before(l.nextLearnerRemoval) {
		return
	}
	if l.node.Change(now, replica.Remove, s) == nil {
		l.nextLearnerRemoval = now.Add(learnerRemovalInterval)
		l.log.WithField("Name", s.GetName()).Info("host retired")
	}
}

func (l *loop) retirement(now time.Time) *retirement {
	r := &retirement{
		targetVoters: l.store.targetVoters, keepVoters: len(l.peers.configured) > 0,
		mayPromote: l.healthyVoterCount() < l.store.targetVoters,
	}
	for _, s := range l.lastStatus.Configuration.GetServers() {
		state := serverState{
			server: s, permitted: l.peers.mayJoin(s.GetName()), synced: l.node.Synced(s.GetId()),
			sinceContact: l.node.SinceContact(s.GetId()),
		}
		if s.GetLearner() {
			// A learner that receives nothing from the leader still asks to join.
			state.sinceContact = min(state.sinceContact, l.peers.sinceCall(s.GetName(), now))
		}
		r.servers = append(r.servers, state)
	}
	return r
}
