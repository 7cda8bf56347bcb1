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
	// promotes is true while learners that are synced are promoted.
	promotes bool
}

// serverState is what the leader knows of a server in the configuration.
type serverState struct {
	server *replicav1.Server
	// permitted is true if the settings permit the server's host.
	permitted bool
	// silence is the time since the leader last had contact with the server.
	silence time.Duration
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
		lost := !r.keepVoters && s.silence >= voterTimeout
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
		case r.promotes && s.permitted && s.synced:
			return nil
		case next == nil && (!s.permitted || s.silence >= learnerTimeout):
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
		promotes: l.healthyVoterCount() < l.store.targetVoters,
	}
	for _, s := range l.lastStatus.Configuration.GetServers() {
		state := serverState{
			server: s, permitted: l.peers.mayJoin(s.GetName()), silence: l.node.SinceContact(s.GetId()), synced: l.node.Synced(s.GetId()),
		}
		if s.GetLearner() {
			// A learner that receives nothing from the leader still asks to join.
			state.silence = min(state.silence, l.peers.sinceCall(s.GetName(), now))
		}
		r.servers = append(r.servers, state)
	}
	return r
}

// recordCall records that a host has called this one.
func (p *peers) recordCall(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		h.lastCall = now
	}
}

// sinceCall returns the time since a host last called this one. It is very long for one
// that never did.
func (p *peers) sinceCall(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	if h := p.hosts[name]; h != nil {
		last = h.lastCall
	}
	return now.Sub(last)
}

// update learns the hosts in the configuration, and drops those that are not in it and
// have not called for learnerTimeout, with the messages that wait for them. A host that
// is not in it yet, or no longer, and calls gets answers.
func (p *peers) update(now time.Time, c *replicav1.Configuration) {
	if len(p.configured) > 0 || len(c.GetServers()) == 0 {
		return
	}
	ids, names := map[string]bool{p.id: true}, map[string]bool{}
	for _, s := range c.GetServers() {
		ids[s.GetId()], names[s.GetName()] = true, true
		if p.hostOfServer(s.GetId()) == nil {
			p.learnServer(s.GetId(), s.GetName(), s.GetAddress())
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, h := range p.hosts {
		if names[name] || now.Sub(h.lastCall) < learnerTimeout {
			continue
		}
		delete(p.hosts, name)
		if h.cancel != nil {
			h.cancel()
		}
	}
	for id, name := range p.hostNames {
		if !ids[id] && p.hosts[name] == nil {
			delete(p.hostNames, id)
		}
	}
}
