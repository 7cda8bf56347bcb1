package reservation

import (
	"math"
	"time"
)

const (
	// shareWindow is the time over which what a caller was granted is
	// forgotten.
	shareWindow = 10 * time.Second
	// forgottenPieces is a share that counts as none.
	forgottenPieces = 0.01
)

// shares is how much memory each caller was granted lately. Among requests
// that may go next, that of the caller with the least goes first, so that one
// caller's flood does not crowd out another (after Demers, Keshav and
// Shenker's fair queueing). The zero value is ready for use.
type shares struct {
	// callers is keyed by name.
	callers map[string]share
}

// share is an amount of memory that decays.
type share struct {
	pieces float64
	at     time.Time
}

func (s share) value(now time.Time) float64 {
	return s.pieces * math.Exp(-float64(now.Sub(s.at))/float64(shareWindow))
}

// add counts a grant.
func (s *shares) add(now time.Time, caller string, pieces int) {
	if s.callers == nil {
		s.callers = map[string]share{}
	}
	s.callers[caller] = share{pieces: s.callers[caller].value(now) + float64(pieces), at: now}
}

// forget drops the callers that were granted nothing for long.
func (s *shares) forget(now time.Time) {
	for name, c := range s.callers {
		if c.value(now) < forgottenPieces {
			delete(s.callers, name)
		}
	}
}

// least returns the request whose caller has the least share; of equals, the
// first. The list is not empty.
func (s *shares) least(now time.Time, all []*request) *request {
	best := all[0]
	lowest := s.callers[best.ask.Caller].value(now)
	for _, r := range all[1:] {
		if r.ask.Caller == best.ask.Caller {
			continue
		}
		if v := s.callers[r.ask.Caller].value(now); v < lowest {
			best, lowest = r, v
		}
	}
	return best
}
