package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// settleTime is how long an endpoint must go on in the same lifetime after a broken
	// answer for that to be no crash. A dying process accepts connections for a while.
	settleTime = 700 * time.Millisecond
	// maxCheckTime is when a crash report of an endpoint that can't be asked is given up.
	maxCheckTime = 3 * time.Second
	// firstCheckInterval is the time from the first check of a lifetime to the second one.
	// It doubles up to maxCheckInterval.
	firstCheckInterval = 100 * time.Millisecond
	maxCheckInterval   = 400 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 500 * time.Millisecond
	// maxPendingReports bounds the crash reports that wait for a verdict or for control.
	// Further ones are logged and dropped.
	maxPendingReports = 1024
)

// Lifetime is what a check shows about one start of an endpoint.
type Lifetime int

// The results of a check.
const (
	// LifetimeUnknown means that nothing, or nothing conclusive, answered.
	LifetimeUnknown Lifetime = iota
	// LifetimeRunning means that the endpoint itself answered.
	LifetimeRunning
	// LifetimeEnded means that nothing has the endpoint's address, or another start.
	LifetimeEnded
)

// verdict is the outcome of a crash report.
type verdict string

const (
	verdictPending  verdict = "pending"
	verdictCrashed  verdict = "crashed"
	verdictSurvived verdict = "survived"
	verdictUnknown  verdict = "unknown"
)

// judge returns the verdict on a report of some age, from a check of the endpoint's
// lifetime.
func judge(l Lifetime, age time.Duration) verdict {
	switch {
	case l == LifetimeEnded:
		return verdictCrashed
	case l == LifetimeRunning && age >= settleTime:
		return verdictSurvived
	case age >= maxCheckTime:
		return verdictUnknown
	}
	return verdictPending
}

// recordedLifetime returns the result of a check, corrected by the record of the endpoint:
// a later start has its name, or it neither answers nor announces itself any more.
func recordedLifetime(checked Lifetime, e Endpoint, record *controlv1.Endpoint) Lifetime {
	lost := record.GetState() == controlv1.EndpointState_ENDPOINT_STATE_LOST
	if record.GetLifetime() > e.Lifetime || lost && checked == LifetimeUnknown {
		return LifetimeEnded
	}
	return checked
}

// lifetimeWatch has the crash reports that wait for a verdict, by the start of an endpoint.
// The zero value is empty. It is safe for concurrent use.
type lifetimeWatch struct {
	mu sync.Mutex
	// pending are the reports of each start that is being checked.
	pending map[lifetimeKey][]crashReport
	// count is the number of reports that are pending or being recorded.
	count int
}

type lifetimeKey struct {
	name     string
	lifetime int64
}

func (c crashReport) key() lifetimeKey {
	return lifetimeKey{name: c.endpoint.Name, lifetime: c.endpoint.Lifetime}
}

// add adds a report, unless too many are waiting. first is true where the endpoint is not
// being checked yet.
func (w *lifetimeWatch) add(c crashReport) (first, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxPendingReports {
		return false, false
	}
	if w.pending == nil {
		w.pending = map[lifetimeKey][]crashReport{}
	}
	_, checked := w.pending[c.key()]
	w.pending[c.key()] = append(w.pending[c.key()], c)
	w.count++
	return !checked, true
}

// decide removes the reports of a start that a check decides, and returns them by their
// verdicts. more is true where others are left.
func (w *lifetimeWatch) decide(k lifetimeKey, l Lifetime, now time.Time) (decided map[verdict][]crashReport, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	decided = map[verdict][]crashReport{}
	for _, c := range w.pending[k] {
		v := judge(l, now.Sub(c.at))
		decided[v] = append(decided[v], c)
	}
	left := decided[verdictPending]
	delete(decided, verdictPending)
	if len(left) == 0 {
		delete(w.pending, k)
		return decided, false
	}
	w.pending[k] = left
	return decided, true
}

// done removes a report that was recorded, or that needs no record.
func (w *lifetimeWatch) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
}

// watchReport checks the lifetime of the endpoint of a report until there is a verdict.
func (r *Relay) watchReport(ctx context.Context, c crashReport) {
	first, ok := r.lifetimes.add(c)
	if !ok {
		r.logReport(c).Warn("crash not counted, too many reports are waiting")
	}
	if first {
		go r.checkLifetime(ctx, c)
	}
}

// checkLifetime checks a lifetime until there are verdicts on all of its reports.
func (r *Relay) checkLifetime(ctx context.Context, c crashReport) {
	interval := firstCheckInterval
	for {
		l := r.lifetimeOf(ctx, c)
		decided, more := r.lifetimes.decide(c.key(), l, time.Now())
		for v, reports := range decided {
			for _, c := range reports {
				go func() {
					defer r.lifetimes.done()
					r.endReport(ctx, c, v)
				}()
			}
		}
		if !more || !clock.Sleep(ctx, interval) {
			return
		}
		interval = min(2*interval, maxCheckInterval)
	}
}

// lifetimeOf checks the lifetime of the endpoint of a report.
func (r *Relay) lifetimeOf(ctx context.Context, c crashReport) Lifetime {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var l Lifetime
	if c.engine {
		l = r.engines.CheckLifetime(ctx, c.endpoint)
	} else {
		l = r.engines.CheckListener(ctx, c.endpoint)
	}
	return recordedLifetime(l, c.endpoint, r.fleet.EndpointNamed(c.endpoint.Name))
}

// logReport returns a logger with the fields of a report.
func (r *Relay) logReport(c crashReport) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{
		"Ended": c.kind, "Request": logs.Truncate(c.request), "Content": logs.Truncate(c.digest), "Endpoint": c.endpoint.Name, "Lifetime": c.endpoint.Lifetime,
		"Began": c.began, "PromptParts": c.parts, "Trial": c.trial != nil,
		"AgeMilliseconds": time.Since(c.at).Milliseconds(), "Cause": c.cause,
	})
}
