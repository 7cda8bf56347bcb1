package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

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
	if s.Leaving && !a.leaving {
		a.leaving, change = true, leavingSaid
	}
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	switch {
	case s.Limited:
		if a.limit.hear(now, s.RequestLimit, entries(), random) {
			change = limitNamed
		}
	case a.limit.named && !s.Malformed && sent.After(a.limit.heard):
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
	switch r.tracker.hear(e, s, sent, r.fleet.Entries, r.random()) {
	case limitNamed:
		r.log.WithFields(logrus.Fields{"Endpoint": e.Name, "RequestsPerSecond": s.RequestLimit, "Entries": r.fleet.Entries()}).Info("endpoint limits requests")
	case limitEnded:
		r.log.WithField("Endpoint", e.Name).Info("endpoint limits requests no longer")
	case leavingSaid:
		r.log.WithField("Endpoint", e.Name).Info("endpoint says that it leaves")
	case statementMalformed:
		r.log.WithField("Endpoint", e.Name).Warn("statement of an endpoint not understood")
	case statementUnchanged:
	}
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
