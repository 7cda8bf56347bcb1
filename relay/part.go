package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	"ebonyreel/document"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// partCrashLimit is the number of crashes from which on a part is suspected, and
	// partBreakLimit the same with connections that broke while their endpoint went on.
	partCrashLimit = 3
	partBreakLimit = 5
	// maxCheckedParts bounds the parts of one prompt that are checked.
	maxCheckedParts = 16
	// soundMemory is how long this entry remembers that a part is sound.
	soundMemory = time.Minute
	// partChangeInterval is the least time between two requests to control to change the
	// strikes of the same part.
	partChangeInterval = time.Second
	// partRetryAfter is when a caller may send a call with a suspected part again. Each
	// failed trial multiplies it by partRetryFactor, up to crashingRetryAfter.
	partRetryAfter  = 2 * time.Second
	partRetryFactor = 4
	// reportRetryInterval is the time after which a report that control did not take is
	// sent again, and maxReportTime bounds these attempts.
	reportRetryInterval = 250 * time.Millisecond
	maxReportTime       = 30 * time.Second
)

// CrashingPartError reports a call that is not sent to any endpoint, as endpoints
// crashed on a part of its prompt.
type CrashingPartError struct {
	// Parts are the suspected parts, as digests.
	Parts []string
	// RetryAfter is when the call may be sent again.
	RetryAfter time.Duration
}

// Error returns the message.
func (*CrashingPartError) Error() string {
	return "endpoints crashed on a part of the prompt"
}

// partLedger is what this entry itself knows of parts of prompts. The zero value is
// empty. It is safe for concurrent use.
type partLedger struct {
	mu sync.Mutex
	// sound maps the digest of a part to when a whole answer was last generated with it, and
	// asked the digest and a change to when control was last asked for it.
	sound map[string]time.Time
	asked map[partChange]time.Time
	swept time.Time
}

type partChange struct {
	digest string
	change controlv1.StrikeChange
}

func (p *partLedger) markSound(digests []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sound == nil {
		p.sound = map[string]time.Time{}
	}
	p.sweep(now)
	for _, d := range digests {
		p.sound[d] = now
	}
}

func (p *partLedger) isSound(digest string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.sound[digest]
	return ok && now.Sub(at) < soundMemory
}

// mayAsk reports whether control may be asked for a change now, and counts it as asked.
func (p *partLedger) mayAsk(c partChange, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked = map[partChange]time.Time{}
	}
	if at, ok := p.asked[c]; ok && now.Sub(at) < partChangeInterval {
		return false
	}
	p.asked[c] = now
	return true
}

// sweep discards what is out of date. p.mu must be held.
func (p *partLedger) sweep(now time.Time) {
	if now.Sub(p.swept) < soundMemory {
		return
	}
	p.swept = now
	for d, at := range p.sound {
		if now.Sub(at) >= soundMemory {
			delete(p.sound, d)
		}
	}
	for c, at := range p.asked {
		if now.Sub(at) >= partChangeInterval {
			delete(p.asked, c)
		}
	}
}

// partDigests returns the digests of the parts of a prompt that other prompts may share.
func (p Prompt) partDigests() []string {
	shared := p.sharedParts()
	var out []string
	for _, id := range shared[:min(len(shared), maxCheckedParts)] {
		out = append(out, document.Digest([]byte("part\x00"+p.Model+"\x00"+id)))
	}
	return out
}

// isSound reports whether whole answers were generated with a part, as far as this entry or
// control knows.
func (r *Relay) isSound(digest string) bool {
	return r.strikes.PartStrikes(digest).GetSound() || r.parts.isSound(digest, time.Now())
}

// evidence returns the crashes for which a part is suspected; none where they are too few.
// Connections that broke count only where the crashes alone are too few.
func evidence(s *controlv1.Strikes) []*controlv1.PartCrash {
	crashes := slices.DeleteFunc(slices.Clone(s.GetCrashes()), (*controlv1.PartCrash).GetUnverified)
	switch {
	case len(crashes) >= partCrashLimit:
		return crashes
	case len(s.GetCrashes()) >= partBreakLimit:
		return s.GetCrashes()
	}
	return nil
}

// companions returns the parts that, in each of some crashes of a part, were in a call with
// it, and that may be what crashes endpoints in its place.
func (r *Relay) companions(crashes []*controlv1.PartCrash) []string {
	var out []string
	for i, c := range crashes {
		if i == 0 {
			out = slices.Clone(c.GetOtherParts())
		}
		out = slices.DeleteFunc(out, func(d string) bool { return !slices.Contains(c.GetOtherParts(), d) })
	}
	return slices.DeleteFunc(out, r.isSound)
}

// screenParts checks a call against the crashes that parts of its prompt were part of.
// A call with all that the crashes of a suspected part had in common is refused with a
// *CrashingPartError, unless it is the trial of the parts returned. Any other call
// shows which part it is, and runs.
func (r *Relay) screenParts(cs *callState) (trial []string, err error) {
	if cs.trial != nil || !r.strikes.HasStrikes() {
		return nil, nil
	}
	digests, now := cs.parts, time.Now()
	suspects := map[string][]string{}
	var struck []string
	failedTrials := uint32(0)
	for _, d := range digests {
		s := r.strikes.PartStrikes(d)
		switch {
		case s.GetSound() || s.GetCount() == 0:
		case r.parts.isSound(d, now):
			r.exonerate(d)
		default:
			struck = append(struck, d)
			if crashes := evidence(s); crashes != nil {
				suspects[d] = r.companions(crashes)
				failedTrials = max(failedTrials, s.GetFailedTrials())
			}
		}
	}
	refused := false
	for _, d := range digests {
		others, ok := suspects[d]
		if !ok || slices.ContainsFunc(others, func(o string) bool { return !slices.Contains(digests, o) }) {
			continue
		}
		refused = true
		if explains(d, others, struck) {
			trial = append(trial, d)
		}
	}
	if !refused {
		return nil, nil
	}
	wait := partRetryAfter
	for range failedTrials {
		wait = min(wait*partRetryFactor, crashingRetryAfter)
	}
	return trial, &CrashingPartError{Parts: trial, RetryAfter: wait}
}

// explains reports whether all parts of a call that have strikes are a part and its
// companions. Else the call would be no trial of that part.
func explains(digest string, companions, struck []string) bool {
	for _, d := range struck {
		if d != digest && !slices.Contains(companions, d) {
			return false
		}
	}
	return true
}

// admitParts admits a call to an attempt, perhaps as the trial of suspected parts. The
// error is a *CrashingPartError where the call must not be sent.
func (r *Relay) admitParts(ctx context.Context, cs *callState) error {
	trial, err := r.screenParts(cs)
	if err == nil || len(trial) == 0 {
		return err
	}
	try := controlv1.StrikeChange_STRIKE_CHANGE_TRY
	if !r.parts.mayAsk(partChange{trial[0], try}, time.Now()) {
		return err
	}
	strikes, changeErr := r.changeParts(ctx, &controlv1.AddStrikesRequest{Change: try, Owner: cs.call.ID, ContentDigests: trial})
	if changeErr != nil || len(strikes) < len(trial) {
		return err
	}
	cs.trial = trial
	r.logger(cs, nil).WithField("PromptParts", logs.TruncateList(trial)).Warn("trial of suspected parts of a prompt")
	return nil
}

// recheckParts checks a call again after it was admitted, as more may be known.
func (r *Relay) recheckParts(cs *callState) error {
	_, err := r.screenParts(cs)
	return err
}

// returnTrial gives the trial of a call back, if it has one.
func (r *Relay) returnTrial(cs *callState) {
	if cs.trial == nil {
		return
	}
	trial := cs.trial
	cs.trial = nil
	go r.endTrial(context.Background(), controlv1.StrikeChange_STRIKE_CHANGE_RETURN, cs.call.ID, trial)
}

func (r *Relay) endTrial(ctx context.Context, change controlv1.StrikeChange, owner string, trial []string) {
	if _, err := r.changeParts(ctx, &controlv1.AddStrikesRequest{Change: change, Owner: owner, ContentDigests: trial}); err != nil {
		r.log.WithError(err).WithField("Request", logs.Truncate(owner)).Info("trial of parts not ended, it will expire")
	}
}

// unproven returns the parts of a call's prompt that are not known as sound.
func (r *Relay) unproven(cs *callState) []string {
	return slices.DeleteFunc(slices.Clone(cs.parts), r.isSound)
}

// proveParts records that an endpoint generated an answer to a call. One that ended
// with its connection may have been cut off by a crash, so that the endpoint's lifetime
// must go on for it to count.
func (r *Relay) proveParts(cs *callState, reply *Reply) {
	switch {
	case len(cs.parts) == 0:
	case !reply.Unframed:
		cs.trial = nil
		r.markSound(cs.parts)
	case cs.trial != nil, len(r.unproven(cs)) > 0:
		r.queueReport(cs, r.newReport(cs, cs.endpoint, reportComplete, nil))
	}
}

// markSound records that a whole answer was generated with parts.
func (r *Relay) markSound(digests []string) {
	r.parts.markSound(digests, time.Now())
	if !r.strikes.HasStrikes() {
		return
	}
	for _, d := range digests {
		if s := r.strikes.PartStrikes(d); s.GetCount() > 0 && !s.GetSound() {
			r.exonerate(d)
		}
	}
}

// exonerate tells control in the background that a part is sound.
func (r *Relay) exonerate(digest string) {
	change := controlv1.StrikeChange_STRIKE_CHANGE_EXONERATE
	if !r.parts.mayAsk(partChange{digest, change}, time.Now()) {
		return
	}
	go func() {
		_, err := r.changeParts(context.Background(), &controlv1.AddStrikesRequest{Change: change, ContentDigests: []string{digest}})
		r.log.WithError(err).WithField("Part", digest).Info("part of prompts is sound")
	}()
}

// addPartStrikes counts a crash, or a connection that broke, against the parts of a call,
// until control has taken it.
func (r *Relay) addPartStrikes(ctx context.Context, c crashReport, verified bool) {
	suspects := slices.DeleteFunc(slices.Clone(c.partDigests), r.isSound)
	if len(suspects) > 0 {
		q := &controlv1.AddStrikesRequest{
			Change: controlv1.StrikeChange_STRIKE_CHANGE_ADD_PARTS, ContentDigests: suspects, Endpoint: c.source(verified), Unverified: !verified,
		}
		var err error
		for start := time.Now(); time.Since(start) < maxReportTime; {
			if _, err = r.changeParts(ctx, q); err == nil || !clock.Sleep(ctx, reportRetryInterval) {
				break
			}
		}
		r.logReport(c).WithError(err).WithFields(logrus.Fields{"Parts": suspects, "Verified": verified}).Warn("crash counted against parts of a prompt")
	}
	if c.trial != nil {
		r.endTrial(ctx, controlv1.StrikeChange_STRIKE_CHANGE_FAIL, c.request, c.trial)
	}
}

// source names what a crash counts for once: the start of an endpoint, or one moment of it
// where only connections broke.
func (c crashReport) source(verified bool) string {
	if verified {
		return fmt.Sprintf("%s/%d", c.endpoint.Name, c.endpoint.Lifetime)
	}
	return fmt.Sprintf("%s/%d@%d", c.endpoint.Name, c.endpoint.Lifetime, c.at.Unix())
}

func (r *Relay) changeParts(ctx context.Context, q *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	return r.strikes.ChangePartStrikes(ctx, q)
}
