package relay

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/document"
	"ebonyreel/logs"
)

const (
	// maxStrikes is the number of strikes at which a content is refused.
	maxStrikes = 3
	// crashingRetryAfter is when a caller may send such a content again.
	crashingRetryAfter = time.Minute
	// crashReportBuffer bounds the number of waiting crash reports. Further ones
	// are logged and dropped.
	crashReportBuffer = 256
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
}

// suggestsCrash reports whether an error shows that an endpoint may have crashed
// while it ran a call.
func suggestsCrash(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
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

// crashReport names a content that ran at an endpoint when its connection broke.
type crashReport struct {
	request  string
	digest   string
	endpoint Endpoint
	// parts are the IDs of the parts of the prompt that other prompts may share, and
	// began is true where the endpoint had sent events of the answer.
	parts []string
	began bool
}

// reportCrash queues a crash report for a call's content without blocking.
func (r *Relay) reportCrash(cs *callState) {
	select {
	case r.crashReports <- crashReport{
		request: cs.call.ID, digest: cs.call.digest(), endpoint: cs.endpoint, parts: cs.call.Prompt.sharedParts(), began: cs.attemptEvents > 0,
	}:
	default:
		r.logger(cs, nil).Warn("crash not counted, too many reports are waiting")
	}
}

// RunStrikes records strikes for crash reports until the context ends. An endpoint
// that still accepts connections has not crashed, but only lost an answer.
func (r *Relay) RunStrikes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.crashReports:
			if !r.engines.Alive(ctx, c.endpoint) {
				r.addStrike(ctx, c)
			}
		}
	}
}

func (r *Relay) addStrike(ctx context.Context, c crashReport) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	err := r.strikes.AddStrike(ctx, c.digest)
	r.log.WithError(err).WithFields(logrus.Fields{
		"Request": logs.Truncate(c.request), "Content": logs.Truncate(c.digest), "Endpoint": c.endpoint.Name, "Began": c.began, "PromptParts": logs.TruncateList(c.parts),
	}).Warn("crash counted against a content")
}
