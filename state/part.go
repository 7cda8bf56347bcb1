package state

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// maxPartCrashes bounds the crashes that are kept against one part, and
	// maxOtherParts the parts that are kept with each of them.
	maxPartCrashes = 8
	maxOtherParts  = 32
	// soundPeriod is how long no crash counts against a part that was marked as sound.
	soundPeriod = time.Minute
	// firstTrialDelay is the time from a crash to the next trial of its parts. Each
	// failed trial multiplies it by trialDelayFactor.
	firstTrialDelay  = time.Second
	trialDelayFactor = 4
	// maxFailedTrials is the number of failed trials after which a part is not tried
	// again.
	maxFailedTrials = 3
	// trialTimeout is how long a trial may last before another one may begin, as its
	// entry may have ended.
	trialTimeout = 20 * time.Second
)

// addPartCrash returns the strikes of a part after a crash of the endpoint in a
// request, where the call had all parts of the request.
func addPartCrash(now time.Time, old *controlv1.Strikes, digest string, r *controlv1.AddStrikesRequest) *controlv1.Strikes {
	if old.GetSound() && !olderThan(old.GetUpdatedAt().AsTime(), now, soundPeriod) {
		return old
	}
	next := &controlv1.Strikes{}
	if !old.GetSound() {
		next = copyPartStrikes(old)
	}
	next.TrialAt = latest(next.GetTrialAt(), now.Add(firstTrialDelay))
	crash := &controlv1.PartCrash{Endpoint: r.GetEndpoint(), Unverified: r.GetUnverified()}
	i := slices.IndexFunc(next.Crashes, func(c *controlv1.PartCrash) bool { return c.GetEndpoint() == r.GetEndpoint() })
	if i >= 0 {
		crash.OtherParts = slices.Clone(next.Crashes[i].GetOtherParts())
		next.Crashes[i] = crash
	} else if !addCrash(next, crash) {
		return next
	}
	for _, d := range r.GetContentDigests() {
		if d != digest && !slices.Contains(crash.OtherParts, d) && len(crash.OtherParts) < maxOtherParts {
			crash.OtherParts = append(crash.OtherParts, d)
		}
	}
	return next
}

// addCrash adds a crash, in place of an unverified one where there are too many, and reports
// whether it did.
func addCrash(s *controlv1.Strikes, crash *controlv1.PartCrash) bool {
	if len(s.Crashes) < maxPartCrashes {
		s.Crashes = append(s.Crashes, crash)
		s.Count++
		return true
	}
	i := slices.IndexFunc(s.Crashes, (*controlv1.PartCrash).GetUnverified)
	if crash.GetUnverified() || i < 0 {
		return false
	}
	s.Crashes = append(slices.Delete(s.Crashes, i, i+1), crash)
	return true
}

// copyPartStrikes returns a copy whose list of crashes may be changed.
func copyPartStrikes(s *controlv1.Strikes) *controlv1.Strikes {
	return &controlv1.Strikes{
		Count: s.GetCount(), IsolatedRun: s.GetIsolatedRun(), Crashes: slices.Clone(s.GetCrashes()),
		FailedTrials: s.GetFailedTrials(), TrialAt: s.GetTrialAt(), UpdatedAt: s.GetUpdatedAt(),
	}
}

func latest(t *timestamppb.Timestamp, other time.Time) *timestamppb.Timestamp {
	if t.IsValid() && t.AsTime().After(other) {
		return t
	}
	return timestamppb.New(other)
}

// mayTry reports whether a trial of a part may begin.
func mayTry(now time.Time, s *controlv1.Strikes) bool {
	failed := s.GetFailedTrials()
	if s.GetIsolatedRun() != "" {
		if !olderThan(s.GetUpdatedAt().AsTime(), now, trialTimeout) {
			return false
		}
		failed++
	}
	return !s.GetSound() && failed < maxFailedTrials && !now.Before(s.GetTrialAt().AsTime())
}

// beginTrial returns the strikes of a part with a trial of a call. One before it that has
// not ended has failed, as its entry may have ended after it crashed an endpoint.
func beginTrial(now time.Time, old *controlv1.Strikes, owner string) *controlv1.Strikes {
	next := copyPartStrikes(old)
	if next.GetIsolatedRun() != "" {
		next = failTrial(now, next)
	}
	next.IsolatedRun = owner
	return next
}

// mayTryAll reports whether a trial of all parts of a request may begin.
func (s *State) mayTryAll(now time.Time, r *controlv1.AddStrikesRequest) bool {
	for _, digest := range r.GetContentDigests() {
		if !mayTry(now, s.items[strikePrefix(r.GetEnvironment())+digest].GetStrikes()) {
			return false
		}
	}
	return true
}

// failTrial returns the strikes of a part after its trial crashed an endpoint.
func failTrial(now time.Time, old *controlv1.Strikes) *controlv1.Strikes {
	next := copyPartStrikes(old)
	next.IsolatedRun = ""
	next.FailedTrials++
	delay := firstTrialDelay
	for range next.FailedTrials {
		delay *= trialDelayFactor
	}
	next.TrialAt = latest(next.GetTrialAt(), now.Add(delay))
	return next
}
