// Package attempt decides what follows a failed try of one request: another
// try, a resumption, or a refusal. It has no clock and does no I/O.
package attempt

import "time"

// Failure is the way in which a try failed.
type Failure int

const (
	// NotRun means that the work did not start and will not.
	NotRun Failure = iota
	// Crashed means that the endpoint ended while the request was on it.
	Crashed
	// Lost means that the connection broke or fell silent.
	Lost
	// KvGone means that the KV cache was evicted before it was imported.
	KvGone
	// Refused means that waiting would be of no use to this caller.
	Refused
	// Suspect means that the content may run only alone; nothing ran.
	Suspect
	// CallerGone means that the caller's connection broke.
	CallerGone
)

// Action is what to do next.
type Action int

const (
	// Retry starts another try at once.
	Retry Action = iota
	// Refuse gives the caller a refusal: nothing was sent yet.
	Refuse
	// Break ends a started answer with an explicit error.
	Break
)

const (
	// maxTries bounds the tries of one request.
	maxTries = 8
	// firstPause is the pause before the next try of what was not run; it
	// doubles with each try.
	firstPause = 50 * time.Millisecond
	// maxCrashes bounds the endpoints that one request may have crashed.
	maxCrashes = 2
)

// Decision is what follows a failure.
type Decision struct {
	Action Action
	// RetryAfter is when the caller may come back, for Refuse and Break.
	RetryAfter time.Duration
	// Pause is the time before the next try, for Retry.
	Pause time.Duration
	// Strike is true where the content is counted as part of a crash.
	Strike bool
}

// Progress is what has happened to a request so far. The zero value is a
// request before its first try.
type Progress struct {
	// Tries counts tries that ended in a failure.
	Tries int
	// Crashes counts those that ended with the endpoint.
	Crashes int
	// Started is true once an endpoint may have worked on the request, so that
	// "not run" would not be true of it.
	Started bool
	// Sent is the number of tokens that the caller has been sent.
	Sent int
}

// Fail takes in a failure, with the time after which its source said that
// coming back makes sense, and decides what follows. budget says whether the
// process may still retry.
func (p *Progress) Fail(f Failure, retryAfter time.Duration, budget bool) Decision {
	p.Tries++
	d := Decision{Action: Retry}
	if f == Crashed {
		p.Crashes++
		d.Strike = true
	}
	if f == NotRun {
		d.Pause = firstPause << (p.Tries - 1)
	}
	if f == Refused || p.Tries >= maxTries || p.Crashes > maxCrashes || !budget {
		d.Action = p.end()
		d.RetryAfter = max(retryAfter, time.Second)
	}
	return d
}

func (p *Progress) end() Action {
	if p.Sent > 0 {
		return Break
	}
	return Refuse
}
