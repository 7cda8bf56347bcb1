package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"ebonyreel/document"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// maxStrikes is the number of strikes at which a content is refused.
	maxStrikes = 3
	// crashingRetryAfter is when a caller may send such a content again.
	crashingRetryAfter = time.Minute
	// crashReportBuffer bounds the number of crash reports that are not taken yet. Further
	// ones are logged and dropped.
	crashReportBuffer = 256
	// maxConcurrentReports bounds the reports that are recorded at once.
	maxConcurrentReports = 64
	// strikeTimeout bounds the recording of one strike.
	strikeTimeout = 2 * time.Second
)

// Strikes counts strikes over all entries. A strike is the crash of an endpoint
// while it ran a request with some content.
type Strikes interface {
	// HasStrikes reports whether any content has strikes at present.
	HasStrikes() bool
	// Strikes returns the number of strikes against a content.
	Strikes(digest string) uint32
	// AddStrike counts one strike against a content.
	AddStrike(ctx context.Context, digest string) error
	// PartStrikes returns the strikes against a part of prompts, which must not be
	// modified, or nil.
	PartStrikes(digest string) *controlv1.Strikes
	// ChangePartStrikes changes the strikes of parts of prompts, and returns those that
	// remain.
	ChangePartStrikes(ctx context.Context, r *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error)
}

// suggestsCrash reports whether an error shows that the connection to an endpoint broke
// while it ran a call.
func suggestsCrash(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// digest identifies the content of a call. It leaves out the ID, as callers send
// the same content again under another one.
func (c *Call) digest() string {
	return document.Digest([]byte(strings.Join([]string{c.Method, c.Authority, c.Target, string(c.Body)}, "\x00")))
}

// contentBlocked reports whether a call's content has so many strikes that it is
// not sent to any endpoint.
func (r *Relay) contentBlocked(c *Call) bool {
	return r.strikes.HasStrikes() && r.strikes.Strikes(c.digest()) >= maxStrikes
}

// reportKind is how an attempt ended that may have crashed its endpoint.
type reportKind string

const (
	// reportBroken means that the connection broke.
	reportBroken reportKind = "broken"
	// reportComplete means that the answer ended with its connection.
	reportComplete reportKind = "complete"
	// reportLeft means that the caller left.
	reportLeft reportKind = "left"
	// reportUnknown means that the attempt failed in another way that does not show
	// whether the endpoint goes on.
	reportUnknown reportKind = "unknown"
)

// failedKind returns how an attempt that was sent has failed, or an empty kind where the
// endpoint has not run the call, or went on after it.
func failedKind(err error, callerGone bool) reportKind {
	var dialErr *transport.DialError
	var notRun *NotRunError
	var status *StatusError
	switch {
	case errors.As(err, &dialErr), errors.As(err, &notRun), errors.As(err, &status):
		return ""
	case callerGone:
		return reportLeft
	case suggestsCrash(err):
		return reportBroken
	}
	return reportUnknown
}

// crashReport names a content that ran at an endpoint which may have crashed.
type crashReport struct {
	kind     reportKind
	request  string
	digest   string
	endpoint Endpoint
	// engine is true for a model engine.
	engine bool
	// parts are the first IDs of the parts of the prompt that other prompts may share, and
	// began is true where the endpoint had sent events of the answer.
	parts []string
	began bool
	// partDigests are the digests of these parts. trial are those that the call was the
	// trial of.
	partDigests []string
	trial       []string
	// cause is the error of the call, empty for none, and at when it was seen.
	cause string
	at    time.Time
}

// newReport returns a report, which keeps nothing of the call's headers.
func (r *Relay) newReport(cs *callState, at Endpoint, kind reportKind, err error) crashReport {
	c := crashReport{
		kind: kind, request: strings.Clone(cs.call.ID), digest: cs.call.digest(), endpoint: at, engine: cs.reservesMemory(),
		began: cs.attemptEvents > 0, partDigests: cs.parts, trial: cs.trial, at: time.Now(),
	}
	for _, id := range logs.TruncateList(cs.call.Prompt.sharedParts()) {
		c.parts = append(c.parts, strings.Clone(id))
	}
	if err != nil {
		c.cause = logs.Truncate(err.Error())
	}
	return c
}

// reportFailed queues a report of an attempt that was sent and failed, where it may have
// crashed the endpoint. One whose connection did not break counts only for parts that are
// not known as sound.
func (r *Relay) reportFailed(cs *callState, at Endpoint, err error, callerGone bool) {
	switch kind := failedKind(err, callerGone); {
	case kind == "":
	case kind == reportBroken, cs.trial != nil, len(r.unproven(cs)) > 0:
		r.queueReport(cs, r.newReport(cs, at, kind, err))
	}
}

// queueReport queues a report without blocking, with the trial of its call. A trial whose
// report is dropped expires, and counts as failed then.
func (r *Relay) queueReport(cs *callState, c crashReport) {
	cs.trial = nil
	select {
	case r.crashReports <- c:
	default:
		r.logReport(c).Warn("crash not counted, too many reports are waiting")
	}
}

// RunStrikes records strikes for crash reports until the context ends.
func (r *Relay) RunStrikes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.crashReports:
			r.watchReport(ctx, c)
		}
	}
}

// endReport acts on the verdict on a crash report.
func (r *Relay) endReport(ctx context.Context, c crashReport, v verdict) {
	r.logReport(c).WithField("Verdict", v).Info("answer judged")
	switch {
	case v == verdictSurvived && c.kind == reportComplete:
		r.markSound(c.partDigests)
	case v == verdictCrashed, c.kind == reportBroken:
		r.recordings <- struct{}{}
		defer func() { <-r.recordings }()
		r.addPartStrikes(ctx, c, v == verdictCrashed)
		if v == verdictCrashed {
			r.addStrike(ctx, c)
		}
	case c.trial == nil:
	case v == verdictSurvived && c.kind == reportLeft:
		r.endTrial(ctx, controlv1.StrikeChange_STRIKE_CHANGE_RETURN, c.request, c.trial)
	default:
		// A trial that proved nothing has failed, or there would be no end of them.
		r.endTrial(ctx, controlv1.StrikeChange_STRIKE_CHANGE_FAIL, c.request, c.trial)
	}
}

func (r *Relay) addStrike(ctx context.Context, c crashReport) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	err := r.strikes.AddStrike(ctx, c.digest)
	r.logReport(c).WithError(err).Warn("crash counted against a content")
}
