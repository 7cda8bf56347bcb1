package control

import (
	"strings"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// reportLifetime is how long a member's report on its pools counts.
const reportLifetime = 3 * time.Second

// memberReport is a member's newest report on its pools.
type memberReport struct {
	pools      []*controlv1.PoolReport
	receivedAt time.Time
}

// recordReport keeps the newest report of a member, in memory only, and returns the
// merged estimates of its environment.
func (s *Store) recordReport(r *controlv1.AnnounceRequest) []*controlv1.PoolEstimate {
	m := r.GetMember()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.GetPools()) > 0 {
		s.memberReports[state.MemberKey(m.GetEnvironment(), m.GetName())] = memberReport{pools: r.GetPools(), receivedAt: time.Now()}
	}
	return s.estimates[m.GetEnvironment()]
}

// mergeStatements adds the statements that a member reports, and returns those of its
// environment.
func (s *Store) mergeStatements(r *controlv1.AnnounceRequest) []*controlv1.EndpointStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	environment := r.GetMember().GetEnvironment()
	if s.statements[environment] == nil {
		s.statements[environment] = &statements{}
	}
	return s.statements[environment].merge(time.Now(), r.GetStatements())
}

// setEstimates replaces the merged estimates of an environment.
func (s *Store) setEstimates(environment string, estimates []*controlv1.PoolEstimate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimates[environment] = estimates
}

// estimate returns the merged estimate of a pool, or nil.
func (s *Store) estimate(environment, pool string) *controlv1.PoolEstimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.estimates[environment] {
		if e.GetPool() == pool {
			return e
		}
	}
	return nil
}

// reportsByMember returns the current report of each member, keyed by member key, and
// drops the outdated ones.
func (s *Store) reportsByMember(environment string) map[string]memberReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]memberReport{}
	for key, r := range s.memberReports {
		if time.Since(r.receivedAt) > reportLifetime {
			delete(s.memberReports, key)
			continue
		}
		if strings.HasPrefix(key, state.MemberPrefix(environment)) {
			out[key] = r
		}
	}
	return out
}

// poolReports returns the current reports of all members, by pool.
func (s *Store) poolReports(environment string) map[string][]*controlv1.PoolReport {
	out := map[string][]*controlv1.PoolReport{}
	for _, r := range s.reportsByMember(environment) {
		for _, p := range r.pools {
			out[p.GetPool()] = append(out[p.GetPool()], p)
		}
	}
	return out
}
