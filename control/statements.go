package control

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// limitLifetime is how long a statement on the limit of an endpoint is passed on, and
	// leavingLifetime the same for one that leaves. Entries report them again while they
	// hear them.
	limitLifetime   = 10 * time.Second
	leavingLifetime = time.Minute
	// maxStatements bounds the endpoints whose statements are kept.
	maxStatements = 4096
)

// statements merges what endpoints said of themselves in answers to entries: the newest
// answer counts, and an endpoint that leaves does so for its lifetime. The zero value is
// empty.
type statements struct {
	// heard maps the start of an endpoint to its newest statement.
	heard map[endpointStart]heardStatement
}

type endpointStart struct {
	name     string
	lifetime int64
}

type heardStatement struct {
	statement *controlv1.EndpointStatement
	at        time.Time
}

// merge adds the statements that an entry reports, and returns those of all entries.
func (s *statements) merge(now time.Time, reported []*controlv1.EndpointStatement) []*controlv1.EndpointStatement {
	if s.heard == nil {
		s.heard = map[endpointStart]heardStatement{}
	}
	for _, r := range reported {
		key := endpointStart{name: r.GetEndpoint(), lifetime: r.GetLifetime()}
		old, known := s.heard[key]
		at := now.Add(-max(r.GetAge().AsDuration(), 0))
		if !known && len(s.heard) >= maxStatements {
			continue
		}
		if known && !at.After(old.at) {
			r, at = old.statement, old.at
		}
		s.heard[key] = heardStatement{at: at, statement: &controlv1.EndpointStatement{
			Endpoint: key.name, Lifetime: key.lifetime, Limited: r.GetLimited(), RequestLimit: r.GetRequestLimit(),
			Leaving: r.GetLeaving() || old.statement.GetLeaving(),
		}}
	}
	var out []*controlv1.EndpointStatement
	for key, h := range s.heard {
		age := now.Sub(h.at)
		if age > leavingLifetime || age > limitLifetime && !h.statement.GetLeaving() {
			delete(s.heard, key)
			continue
		}
		out = append(out, &controlv1.EndpointStatement{
			Endpoint: key.name, Lifetime: key.lifetime, Limited: h.statement.GetLimited(), RequestLimit: h.statement.GetRequestLimit(),
			Leaving: h.statement.GetLeaving(), Age: durationpb.New(age),
		})
	}
	return out
}
