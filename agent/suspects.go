package agent

import (
	"context"
	"sync"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/reservation"
)

const (
	// maxSuspects bounds the contents that an agent remembers itself. When there
	// are more, all are dropped.
	maxSuspects = 10_000
	// strikeTimeout bounds one report to control, which entries wait for.
	strikeTimeout = 2 * time.Second
	// maxReportRetries bounds the retries of a crash report that control does
	// not answer.
	maxReportRetries = 30
)

// suspects holds the contents that were in flight when the engine beside this
// agent crashed, and the isolated runs at this agent. The zero value is empty.
// It is safe for concurrent use.
type suspects struct {
	mu sync.Mutex
	// digests are those of the contents that were in flight at a crash of this
	// engine. They are known here before control has published their strikes.
	digests map[string]bool
	// isolatedRuns maps an attempt that owns the isolated run of its content
	// to the content's digest.
	isolatedRuns map[reservation.Attempt]string
}

func (s *suspects) add(added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digests == nil || len(s.digests) > maxSuspects {
		s.digests = map[string]bool{}
	}
	for _, d := range added {
		s.digests[d] = true
	}
}

func (s *suspects) contains(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests[digest]
}

func (s *suspects) startIsolated(attempt reservation.Attempt, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolatedRuns == nil {
		s.isolatedRuns = map[reservation.Attempt]string{}
	}
	s.isolatedRuns[attempt] = digest
}

func (s *suspects) isIsolated(attempt reservation.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.isolatedRuns[attempt]
	return ok
}

// endIsolated removes the isolated run of an attempt, and returns the content's
// digest, or an empty string if there is none. A cleared content is no longer a
// suspect here.
func (s *suspects) endIsolated(attempt reservation.Attempt, cleared bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.isolatedRuns[attempt]
	delete(s.isolatedRuns, attempt)
	if cleared {
		delete(s.digests, digest)
	}
	return digest
}

// isSuspect reports whether a content may run only isolated.
func (a *Agent) isSuspect(digest string) bool {
	return digest != "" && (a.suspects.contains(digest) || a.view.Strikes(digest) > 0)
}

// handleCrash marks a crashed engine as down and reports the contents in flight
// at it, once and before any of them can be retried. A content that ran isolated
// is condemned.
func (a *Agent) handleCrash(e *endpoint) {
	e.crashMu.Lock()
	defer e.crashMu.Unlock()
	if e.down.Swap(true) {
		return
	}
	var sharedDigests []string
	for request, w := range e.inflight.runningAttempts() {
		switch {
		case w.digest == "":
		case w.isolated:
			a.suspects.add([]string{w.digest})
			_, _ = a.changeStrikes(controlv1.StrikeChange_STRIKE_CHANGE_CONDEMN, request, w.digest)
		default:
			sharedDigests = append(sharedDigests, w.digest)
		}
	}
	a.suspects.add(sharedDigests)
	if len(sharedDigests) > 0 {
		a.reportStrikes(sharedDigests)
	}
}

// reportStrikes counts a crash against contents. If control does not answer, the
// report is retried in the background while the entries retry their requests.
func (a *Agent) reportStrikes(digests []string) {
	add := controlv1.StrikeChange_STRIKE_CHANGE_ADD
	if _, err := a.changeStrikes(add, "", digests...); err == nil {
		return
	}
	go func() {
		for range maxReportRetries {
			if _, err := a.changeStrikes(add, "", digests...); err == nil || a.processCtx.Err() != nil {
				return
			}
		}
	}()
}

// changeStrikes records a change of strikes at control, and returns the strikes
// of the contents.
func (a *Agent) changeStrikes(change controlv1.StrikeChange, owner string, digests ...string) ([]*controlv1.Strikes, error) {
	ctx, cancel := context.WithTimeout(a.processCtx, strikeTimeout)
	defer cancel()
	res, err := a.client.AddStrikes(ctx, &controlv1.AddStrikesRequest{
		Environment:    a.announcer.Member().GetEnvironment(),
		ContentDigests: digests,
		Change:         change,
		Owner:          owner,
	})
	if err != nil {
		a.log.WithError(err).WithField("Change", change.String()).Error("strikes not recorded")
	}
	return res, err
}

// acquireIsolatedRun asks control for the isolated run of a content, which one
// attempt at a time may own. The error is a *SuspectError if another attempt
// owns it or the content is condemned.
func (a *Agent) acquireIsolatedRun(attempt reservation.Attempt, digest string) error {
	owner := engineRequestID(attempt)
	strikes, err := a.changeStrikes(controlv1.StrikeChange_STRIKE_CHANGE_ISOLATE, owner, digest)
	if err != nil {
		return err
	}
	for _, s := range strikes {
		if s.GetIsolatedRun() == owner && !s.GetCondemned() {
			a.suspects.startIsolated(attempt, digest)
			return nil
		}
	}
	return &SuspectError{Digest: digest}
}

// endIsolatedRun ends the isolated run of an attempt, if it has one. cleared
// says that the content ran to its end, which clears its strikes.
func (a *Agent) endIsolatedRun(attempt reservation.Attempt, cleared bool) {
	digest := a.suspects.endIsolated(attempt, cleared)
	if digest == "" {
		return
	}
	change := controlv1.StrikeChange_STRIKE_CHANGE_RETURN
	if cleared {
		change = controlv1.StrikeChange_STRIKE_CHANGE_CLEAR
	}
	go func() { _, _ = a.changeStrikes(change, engineRequestID(attempt), digest) }()
}
