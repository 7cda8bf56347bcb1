package agent

import (
	"context"
	"sync"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/reservation"
)

const (
	// maxStruck bounds the contents that an agent remembers by itself.
	maxStruck = 10_000
	// strikeTimeout bounds the report of a crash, for which its entries wait.
	strikeTimeout = 2 * time.Second
	// strikeTries bounds the reports of a crash while control does not answer.
	strikeTries = 30
)

// suspects are the contents that were in flight when the engine beside this
// agent crashed, and those that run alone here. The zero value is empty. It is
// safe for concurrent use.
type suspects struct {
	mu sync.Mutex
	// struck is known here before control has told everybody.
	struck map[string]bool
	// alone maps an attempt that owns the isolated run of its content to that
	// content.
	alone map[reservation.Attempt]string
}

func (s *suspects) strike(digests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.struck == nil || len(s.struck) > maxStruck {
		s.struck = map[string]bool{}
	}
	for _, d := range digests {
		s.struck[d] = true
	}
}

func (s *suspects) has(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.struck[digest]
}

func (s *suspects) isolate(at reservation.Attempt, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alone == nil {
		s.alone = map[reservation.Attempt]string{}
	}
	s.alone[at] = digest
}

func (s *suspects) isolated(at reservation.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.alone[at]
	return ok
}

// end returns the content that ran alone, or nothing.
func (s *suspects) end(at reservation.Attempt, cleared bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.alone[at]
	delete(s.alone, at)
	if cleared {
		delete(s.struck, digest)
	}
	return digest
}

// struck reports whether a content may run only alone.
func (a *Agent) struck(digest string) bool {
	return digest != "" && (a.suspects.has(digest) || a.view.Strikes(digest) > 0)
}

// crash reports the contents in flight at a crashed engine, once, and before
// any of them can be tried again. A content that ran alone is condemned.
func (a *Agent) crash(e *endpoint) {
	e.crashing.Lock()
	defer e.crashing.Unlock()
	if e.down.Swap(true) {
		return
	}
	var shared []string
	for name, w := range e.inflight.snapshot() {
		switch {
		case w.digest == "":
		case w.isolated:
			a.suspects.strike([]string{w.digest})
			_, _ = a.change(controlv1.StrikeChange_STRIKE_CHANGE_CONDEMN, name, w.digest)
		default:
			shared = append(shared, w.digest)
		}
	}
	a.suspects.strike(shared)
	if len(shared) > 0 {
		a.report(shared)
	}
}

// report counts a crash against contents. Where control does not answer, the
// report goes on while the entries try again.
func (a *Agent) report(digests []string) {
	add := controlv1.StrikeChange_STRIKE_CHANGE_ADD
	if _, err := a.change(add, "", digests...); err == nil {
		return
	}
	go func() {
		for range strikeTries {
			if _, err := a.change(add, "", digests...); err == nil || a.base.Err() != nil {
				return
			}
		}
	}()
}

// change records a change of strikes.
func (a *Agent) change(c controlv1.StrikeChange, owner string, digests ...string) ([]*controlv1.Strikes, error) {
	ctx, cancel := context.WithTimeout(a.base, strikeTimeout)
	defer cancel()
	res, err := a.client.AddStrikes(ctx, &controlv1.AddStrikesRequest{
		Environment:    a.announcer.Member().GetEnvironment(),
		ContentDigests: digests,
		Change:         c,
		Owner:          owner,
	})
	if err != nil {
		a.log.WithError(err).WithField("Change", c.String()).Error("strikes not recorded")
	}
	return res, err
}

// isolate asks control for the one isolated run of a content.
func (a *Agent) isolate(at reservation.Attempt, digest string) error {
	owner := engineName(at)
	known, err := a.change(controlv1.StrikeChange_STRIKE_CHANGE_ISOLATE, owner, digest)
	if err != nil {
		return err
	}
	for _, s := range known {
		if s.GetIsolatedRun() == owner && !s.GetCondemned() {
			a.suspects.isolate(at, digest)
			return nil
		}
	}
	return &SuspectError{Digest: digest}
}

// endIsolated gives back the isolated run of an attempt, if it has one. A
// content that came to its end is cleared.
func (a *Agent) endIsolated(at reservation.Attempt, cleared bool) {
	digest := a.suspects.end(at, cleared)
	if digest == "" {
		return
	}
	c := controlv1.StrikeChange_STRIKE_CHANGE_RETURN
	if cleared {
		c = controlv1.StrikeChange_STRIKE_CHANGE_CLEAR
	}
	go func() { _, _ = a.change(c, engineName(at), digest) }()
}
