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
	// Malformed is true where a part of the statement was not understood. The endpoint is
	// then taken to have said nothing.
	Malformed bool
}

// Heard takes what an endpoint says of itself in the answer to a request that was sent
// at some time.
func (r *Relay) Heard(e Endpoint, s Statement, sent time.Time) {
	switch r.tracker.hear(e, s, sent, r.fleet.Entries, r.random()) {
	case limitNamed:
		r.log.WithFields(logrus.Fields{"Endpoint": e.Name, "RequestsPerSecond": s.RequestLimit, "Entries": r.fleet.Entries()}).Info("endpoint limits requests")
	case limitEnded:
		r.log.WithField("Endpoint", e.Name).Info("endpoint limits requests no longer")
	case statementMalformed:
		r.log.WithField("Endpoint", e.Name).Warn("statement of an endpoint not understood")
	case statementUnchanged:
	}
}

// statementChange is what a statement changes.
type statementChange int

const (
	statementUnchanged statementChange = iota
	limitNamed
	limitEnded
	statementMalformed
)

// hear records a statement. A limit ends with an answer without one, unless its request
// was sent before the limit was last named, as answers may overtake each other.
func (t *tracker) hear(e Endpoint, s Statement, sent time.Time, entries func() int, random float64) statementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.statsOf(e.key())
	switch {
	case s.Malformed:
		first := !stats.malformed
		stats.malformed = true
		if first {
			return statementMalformed
		}
	case s.Limited:
		if stats.limit.hear(time.Now(), s.RequestLimit, entries(), random) {
			return limitNamed
		}
	case stats.limit.named && sent.After(stats.limit.heard):
		stats.limit.named = false
		return limitEnded
	}
	return statementUnchanged
}
