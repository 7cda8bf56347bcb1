package relay

import (
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
)

// newsLifetime is how long news in an answer are reported to control.
const newsLifetime = 5 * time.Second

// Statement is what an endpoint says of itself in an answer. The zero value says
// nothing.
type Statement struct {
	// Limited is true where the endpoint names a RequestLimit, in requests a second that
	// it takes from all entries together.
	Limited      bool
	RequestLimit float64
	// Pause is how long the endpoint wants nothing of this entry, as it has turned a
	// request away; zero where it does not say.
	Pause time.Duration
	// Leaving is true where the endpoint takes no more work in its lifetime.
	Leaving bool
	// Malformed is true where a part of the statement was not understood. That part is
	// then taken as not said.
	Malformed bool
}

// admission is what an endpoint has said about the requests that it takes from this
// entry. The zero value takes all.
type admission struct {
	limit requestLimit
	// pausedUntil is until when the endpoint wants nothing of this entry.
	pausedUntil time.Time
	// leaving is true once the endpoint has said that it leaves, and malformed once it has
	// said something that was not understood.
	leaving   bool
	malformed bool
	// newsAt is when the newest answer with news on the limit or on leaving came, and own
	// is true where it came to this entry.
	newsAt time.Time
	own    bool
}

// statementChange is what a statement changes.
type statementChange int

const (
	statementUnchanged statementChange = iota
	limitNamed
	limitEnded
	leavingSaid
	statementMalformed
)

// hear takes a statement in the answer to a request that was sent at some time. A limit
// ends with an answer without one, unless its request was sent before the limit was last
// named, as answers may overtake each other.
func (a *admission) hear(now, sent time.Time, s Statement, entries func() int, random float64) statementChange {
	change := statementUnchanged
	if s.Malformed && !a.malformed {
		a.malformed, change = true, statementMalformed
	}
	if s.Leaving {
		a.newsAt, a.own = now, true
		if !a.leaving {
			a.leaving, change = true, leavingSaid
		}
	}
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	switch {
	case s.Limited:
		a.newsAt, a.own = now, true
		if a.limit.hear(now, s.RequestLimit, entries(), random) {
			change = limitNamed
		}
	case a.limit.named && !s.Malformed && sent.After(a.limit.heard):
		a.newsAt, a.own = now, true
		a.limit.named, change = false, limitEnded
	}
	return change
}

// adopt takes a statement in an answer to any entry that came at some time. Of two the
// newer one counts, and leaving is for good.
func (a *admission) adopt(at time.Time, s Statement, entries func() int, random float64) statementChange {
	change := statementUnchanged
	if s.Leaving && !a.leaving {
		a.leaving, change = true, leavingSaid
	}
	if !at.After(a.newsAt) {
		return change
	}
	a.newsAt, a.own = at, false
	switch {
	case s.Limited:
		if a.limit.hear(at, s.RequestLimit, entries(), random) {
			change = limitNamed
		}
	case a.limit.named:
		a.limit.named, change = false, limitEnded
	}
	return change
}

// allows reports whether the endpoint takes a request of this entry now.
func (a *admission) allows(now time.Time, entries func() int) bool {
	return !a.leaving && !now.Before(a.pausedUntil) && (!a.limit.named || a.limit.allows(now, entries()))
}

// take counts a request of this entry.
func (a *admission) take(entries func() int) {
	if a.limit.named {
		a.limit.take(entries())
	}
}

// nextRequest returns when the endpoint takes another request. ok is false where it
// names no time.
func (a *admission) nextRequest() (at time.Time, ok bool) {
	at = a.pausedUntil
	if a.limit.named && a.limit.next.After(at) {
		at = a.limit.next
	}
	return at, !a.leaving && !at.IsZero()
}

// holds reports whether anything of what the endpoint has said is still to be kept.
func (a *admission) holds(now time.Time) bool {
	return a.leaving || now.Before(a.pausedUntil) || a.limit.named && now.Sub(a.limit.heard) <= limitMemory
}

// Heard takes what an endpoint says of itself in the answer to a request that was sent
// at some time.
func (r *Relay) Heard(e Endpoint, s Statement, sent time.Time) {
	r.logStatement(e, s, r.tracker.hear(e, s, sent, r.fleet.Entries, r.random()), true)
}

// logStatement logs what a statement changes. own is true for one in an answer to this
// entry.
func (r *Relay) logStatement(e Endpoint, s Statement, change statementChange, own bool) {
	if change == statementUnchanged {
		return
	}
	log := r.log.WithFields(logrus.Fields{"Endpoint": logs.Truncate(e.Name), "Own": own})
	switch change {
	case limitNamed:
		log.WithFields(logrus.Fields{"RequestsPerSecond": s.RequestLimit, "Entries": r.fleet.Entries()}).Info("endpoint limits requests")
	case limitEnded:
		log.Info("endpoint limits requests no longer")
	case leavingSaid:
		log.Info("endpoint says that it leaves")
	case statementMalformed:
		log.Warn("statement of an endpoint not understood")
	case statementUnchanged:
		// Returned above.
	}
}

// Statements returns what endpoints said of themselves in answers to this entry lately.
func (r *Relay) Statements() []*controlv1.EndpointStatement {
	return r.tracker.statements(time.Now())
}

// AdoptStatements takes what endpoints said of themselves in answers to all entries.
func (r *Relay) AdoptStatements(statements []*controlv1.EndpointStatement) {
	now := time.Now()
	for _, s := range statements {
		e := Endpoint{Name: s.GetEndpoint(), Lifetime: s.GetLifetime()}
		said := Statement{Limited: s.GetLimited(), RequestLimit: s.GetRequestLimit(), Leaving: s.GetLeaving()}
		change := r.tracker.adopt(e, said, now.Add(-s.GetAge().AsDuration()), r.fleet.Entries, r.random())
		r.logStatement(e, said, change, false)
	}
}

// statements returns the statements with news that came to this entry lately.
func (t *tracker) statements(now time.Time) []*controlv1.EndpointStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*controlv1.EndpointStatement
	for k, s := range t.endpoints {
		a := &s.admission
		if age := now.Sub(a.newsAt); a.own && age <= newsLifetime {
			out = append(out, &controlv1.EndpointStatement{
				Endpoint: k.name, Lifetime: k.lifetime, Limited: a.limit.named, RequestLimit: a.limit.rate, Leaving: a.leaving, Age: durationpb.New(age),
			})
		}
	}
	return out
}

// adopt takes a statement in an answer to any entry that came at some time.
func (t *tracker) adopt(e Endpoint, s Statement, at time.Time, entries func() int, random float64) statementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(e.key()).admission.adopt(at, s, entries, random)
}

// hear records a statement of an endpoint.
func (t *tracker) hear(e Endpoint, s Statement, sent time.Time, entries func() int, random float64) statementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.endpoints[e.key()]
	if stats == nil {
		if s == (Statement{}) {
			return statementUnchanged
		}
		stats = t.statsOf(e.key())
	}
	return stats.admission.hear(time.Now(), sent, s, entries, random)
}
