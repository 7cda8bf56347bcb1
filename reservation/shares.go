package reservation

import (
	"math"
	"time"
)

const (
	// shareDecayTime is the time constant of the exponential decay of a share.
	shareDecayTime = 10 * time.Second
	// negligiblePieces is the share below which a caller is dropped.
	negligiblePieces = 0.01
)

// shares tracks how much memory each caller was granted recently. Of the
// requests that may go next, the one whose caller has the least share goes
// first, so that one caller's burst does not starve another (after Demers,
// Keshav and Shenker's fair queueing). The zero value is ready for use.
type shares struct {
	// byCaller is keyed by the caller's name.
	byCaller map[string]share
}

// share is an amount of memory that decays exponentially over time.
type share struct {
	pieces    float64
	updatedAt time.Time
}

// decayed returns the share in pieces at a time.
func (s share) decayed(now time.Time) float64 {
	return s.pieces * math.Exp(-float64(now.Sub(s.updatedAt))/float64(shareDecayTime))
}

// add counts a grant towards its caller's share.
func (s *shares) add(now time.Time, caller string, pieces int) {
	if s.byCaller == nil {
		s.byCaller = map[string]share{}
	}
	s.byCaller[caller] = share{pieces: s.byCaller[caller].decayed(now) + float64(pieces), updatedAt: now}
}

// prune drops the callers whose share is negligible.
func (s *shares) prune(now time.Time) {
	for name, c := range s.byCaller {
		if c.decayed(now) < negligiblePieces {
			delete(s.byCaller, name)
		}
	}
}

// leastShare returns the request whose caller has the least share, the first
// one of equals. The list must not be empty.
func (s *shares) leastShare(now time.Time, requests []*requestState) *requestState {
	best := requests[0]
	lowest := s.byCaller[best.request.Caller].decayed(now)
	for _, r := range requests[1:] {
		if r.request.Caller == best.request.Caller {
			continue
		}
		if v := s.byCaller[r.request.Caller].decayed(now); v < lowest {
			best, lowest = r, v
		}
	}
	return best
}
