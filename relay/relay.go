package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/answers"
	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
	"ebonyreel/workload"
)

const (
	// unreadyRetryAfter, busyRetryAfter and noEndpointRetryAfter are when callers
	// may retry after a refusal: once a document should be known, a slot be free or
	// an endpoint be found.
	unreadyRetryAfter    = 500 * time.Millisecond
	busyRetryAfter       = 200 * time.Millisecond
	noEndpointRetryAfter = 500 * time.Millisecond
	// busyReturnEarliest and busyReturnLatest are the fractions of a caller's time
	// between which it may retry a call that full endpoints turned away.
	busyReturnEarliest = 0.3
	busyReturnLatest   = 0.75
	// queueRetryAfter and queueRetryJitter are when callers may retry whose calls
	// did not get engine memory in time. It takes about the time of an answer until
	// much memory is free, and the callers must not all return at once.
	queueRetryAfter  = 2 * time.Second
	queueRetryJitter = 2 * time.Second
	// documentWait is how long a call waits for the first document, which takes a
	// second after all processes start at once. A call waits for at most one
	// documentWaitDivisor-th of its caller's time.
	documentWait        = time.Second
	documentWaitDivisor = 2
	// stoppingRetryAfter is when a caller may go to another entry.
	stoppingRetryAfter = 10 * time.Millisecond
	// minAttemptTime is the least time left in which a request is worth sending.
	minAttemptTime = 5 * time.Millisecond
	// maxDialFailures is the number of failed dials after which a request is given
	// up.
	maxDialFailures = 4
)

// Fleet is the relay's view of the system. Its results must not be modified.
type Fleet interface {
	// DocumentInForce returns the document in force, or nil before the first one, and when
	// it came into force here.
	DocumentInForce() (*document.Document, time.Time)
	// Endpoints returns the endpoints of a pool that take work or are lost.
	Endpoints(pool string) []*controlv1.Endpoint
	// Versions returns the software versions of the endpoints of a pool, with those that
	// have left lately. The error tells why it is not known that there are no others.
	Versions(ctx context.Context, pool string) ([]string, error)
	// EndpointNamed returns the newest record of an endpoint, or nil.
	EndpointNamed(name string) *controlv1.Endpoint
	// Entries returns the number of known entries. What entries share is divided by it.
	Entries() int
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	fleet   Fleet
	sender  Sender
	engines Engines
	// domain is the failure domain of this process.
	domain string
	budget RetryBudget
	log    *logrus.Entry
	// decisions records the choices made for each request and its outcome.
	decisions *decision.Log
	tracker   tracker
	// strikes counts crashes by content, and crashReports are those that are not
	// yet verified and counted.
	strikes      Strikes
	crashReports chan crashReport
	// lifetimes has the reports that wait for a verdict, and recordings bounds those that
	// are recorded at once.
	lifetimes  lifetimeWatch
	recordings chan struct{}
	// parts are the parts of prompts with which answers were generated.
	parts partLedger
	// retryAccounts maps the name of a pool to its *retryAccount.
	retryAccounts sync.Map
	// queues maps the name of a pool to its *queue.
	queues        sync.Map
	retryDetector retryDetector
	// answers bounds the memory for answers.
	answers *answers.Budget
	// workload measures the work and the speed of the pools, and runs are the runs
	// with reserved memory that are reported with it.
	workload *workload.Recorder
	runs     runTable
	// allocator grants engine memory; nil for none.
	allocator Allocator
	// streams knows where streams began.
	streams Streams
	// quotas are those of client accounts; nil for none.
	quotas Quotas
	// draining is true once new calls are refused, as they may last longer than the
	// process.
	draining atomic.Bool
	// inFlight is the number of calls in flight.
	inFlight atomic.Int64
	metrics  *metrics
	// random returns a number from 0 to 1 that spreads the return of callers.
	random func() float64
}

// New returns the relay of an entry in a failure domain.
func New(fleet Fleet, sender Sender, engines Engines, strikes Strikes, domain string, budget RetryBudget, decisions *decision.Log, log *logrus.Entry) *Relay {
	return &Relay{
		fleet: newSteadyFleet(fleet, budget.Window), sender: sender, engines: engines, strikes: strikes, domain: domain, budget: budget, decisions: decisions, log: log, metrics: newMetrics(),
		answers: &answers.Budget{}, workload: &workload.Recorder{}, crashReports: make(chan crashReport, crashReportBuffer), recordings: make(chan struct{}, maxConcurrentReports),
		random: rand.Float64, streams: noStreams{},
	}
}

// Drain makes the relay refuse new calls. Those in flight are still served.
func (r *Relay) Drain() {
	r.draining.Store(true)
}

// Serve answers one call. The context must be cancelled when its caller disconnects.
func (r *Relay) Serve(ctx context.Context, c *Call, a AnswerWriter) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	cs := &callState{call: c, answer: a, lastEvent: c.LastEvent, attempted: map[string]bool{}, parts: c.Prompt.partDigests(), record: r.decisions.Begin(c.ID, c.Arrived)}
	if r.draining.Load() {
		r.refuse(cs, Refusal{Reason: Stopping, RetryAfter: stoppingRetryAfter}, nil)
		return
	}
	d, since := r.document(ctx, c)
	if d == nil {
		r.refuse(cs, Refusal{Reason: Unready, RetryAfter: unreadyRetryAfter}, nil)
		return
	}
	cs.recordDocument(d, since)
	var ok bool
	if cs.route, ok = d.Route(c.Host, c.Path); !ok {
		r.refuse(cs, Refusal{Reason: NoRoute}, nil)
		return
	}
	if err := r.identify(cs, d); err != nil {
		r.refuse(cs, Refusal{Reason: UnknownKey}, err)
		return
	}
	if r.contentBlocked(c) {
		r.refuse(cs, Refusal{Reason: Crashing, RetryAfter: crashingRetryAfter}, nil)
		return
	}
	cs.deadline = c.Arrived.Add(time.Duration(cs.route.Timeout))
	if limit := c.Arrived.Add(c.Timeout); c.Timeout > 0 && limit.Before(cs.deadline) {
		cs.deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, cs.deadline)
	defer cancel()
	originErr := r.findOrigin(ctx, cs)
	pool := pickShare(cs.route.Split)
	if cs.origin != nil {
		pool = cs.origin.GetPool()
	}
	cs.pool, _ = d.Pool(pool)
	cs.firstArrived = c.Arrived.Add(-r.retryDetector.sinceFirstArrival(cs.route.Name, c.Timeout))
	r.recordCall(cs)
	r.retryAccountOf(cs.pool.Name).recordRequest(time.Now(), r.budget)
	if originErr != nil {
		r.endFailed(ctx, cs, originErr)
		return
	}
	defer cs.dropFailed()
	if r.takeQuota(ctx, cs) {
		r.run(ctx, cs)
		r.returnQuota(cs)
	}
}

func (r *Relay) retryAccountOf(pool string) *retryAccount {
	a, _ := r.retryAccounts.LoadOrStore(pool, &retryAccount{})
	return a.(*retryAccount)
}

// run attempts a call until it is answered or refused, or its caller disconnects.
func (r *Relay) run(ctx context.Context, cs *callState) {
	for {
		err := r.attempt(ctx, cs)
		callerGone := errors.Is(ctx.Err(), context.Canceled)
		if err != nil && cs.exposed {
			r.reportFailed(cs, cs.endpoint, err, callerGone)
		}
		r.returnTrial(cs)
		if err == nil {
			r.endCompleted(cs)
			return
		}
		if callerGone {
			r.endCallerGone(cs, err)
			return
		}
		if ctx.Err() != nil || r.contentBlocked(cs.call) || !r.mayRetry(cs, err) {
			r.endFailed(ctx, cs, err)
			return
		}
		r.metrics.Retried.Add(1)
	}
}

// mayRetry reports whether a call is sent again after a failed attempt. A
// failed dial uses neither the attempts of the route nor the retry budget.
func (r *Relay) mayRetry(cs *callState, err error) bool {
	reason := refusalReason(err)
	var dialErr *transport.DialError
	var callerGone *CallerGoneError
	var queueTimeout *QueueTimeoutError
	var crashingPart *CrashingPartError
	var deferred *DeferredError
	var key *KeyError
	switch {
	case errors.As(err, &callerGone), errors.As(err, &crashingPart), errors.As(err, &deferred), errors.As(err, &key):
		return false
	case errors.As(err, &dialErr):
		cs.dialFailures++
		return cs.dialFailures < maxDialFailures
	case reason == NoEndpoint, errors.As(err, &queueTimeout):
		return false
	case !reason.NotRun() && !cs.route.Repeatable():
		return false
	}
	timeLeft := time.Until(cs.deadline) > minAttemptTime
	if cs.budgetCharged {
		cs.budgetCharged = false
		return timeLeft
	}
	retried := retryFailed
	if reason.NotRun() {
		retried = retryNotRun
	}
	return timeLeft && cs.sent < cs.route.Attempts && r.chargeRetry(cs, retried)
}

// chargeRetry charges one retry to the budget of the call's pool, and reports
// whether the budget allows it.
func (r *Relay) chargeRetry(cs *callState, reason retryReason) bool {
	ok := r.retryAccountOf(cs.pool.Name).withdraw(time.Now(), r.budget, r.fleet.Entries(), reason, cs.reservesMemory())
	if !ok {
		r.recordOverBudget(cs)
	}
	return ok
}

// holdRetry holds one retry of the budget of the call's pool for a request that may be
// turned away, and reports whether the budget allows it.
func (r *Relay) holdRetry(cs *callState) bool {
	ok := r.retryAccountOf(cs.pool.Name).hold(time.Now(), r.budget, r.fleet.Entries())
	if !ok {
		r.recordOverBudget(cs)
	}
	return ok
}

func (r *Relay) recordOverBudget(cs *callState) {
	r.metrics.OverBudget.Add(1)
	cs.record.Update(func(d *decision.Record) { d.OverBudget++ })
}

// endFailed ends a call that is not retried.
func (r *Relay) endFailed(ctx context.Context, cs *callState, err error) {
	r.cancelRetry(cs)
	switch {
	case cs.started:
		r.recordEnd(cs, decision.Aborted, err)
		cs.answer.Abort()
	case cs.failed != nil:
		r.recordEnd(cs, decision.Failed, err)
		r.logUnwritten(cs, cs.answer.WriteAnswer(cs.failed.reply, cs.failed.body))
	case cs.mayHaveRun && ctx.Err() != nil:
		r.refuse(cs, Refusal{Reason: TimedOut}, err)
	case cs.mayHaveRun:
		r.refuse(cs, Refusal{Reason: OutcomeUnknown}, err)
	case ctx.Err() != nil:
		r.refuse(cs, Refusal{Reason: Expired}, err)
	default:
		r.refuse(cs, Refusal{Reason: refusalReason(err), RetryAfter: retryAfter(err, cs.timeLeft(), r.random())}, err)
	}
}

func (r *Relay) refuse(cs *callState, refusal Refusal, cause error) {
	r.metrics.callRefused(refusal.Reason)
	cs.record.Update(func(d *decision.Record) { d.RetryAfterMilliseconds = refusal.RetryAfter.Milliseconds() })
	r.recordEnd(cs, string(refusal.Reason), cause)
	r.logUnwritten(cs, cs.answer.WriteRefusal(refusal))
}

// endCallerGone ends a call whose caller has disconnected.
func (r *Relay) endCallerGone(cs *callState, err error) {
	r.cancelRetry(cs)
	r.recordEnd(cs, decision.CallerGone, err)
	cs.answer.Abort()
}

// logUnwritten logs an answer that could not be written.
func (r *Relay) logUnwritten(cs *callState, err error) {
	if err != nil {
		r.logger(cs, err).Info("answer not written")
	}
}

// logger returns a logger with the fields of a call. err may be nil.
func (r *Relay) logger(cs *callState, err error) *logrus.Entry {
	fields := logrus.Fields{
		"Request": logs.Truncate(cs.call.ID), "Route": cs.route.Name, "Serves": cs.pool.Name, "DocumentNumber": cs.documentNumber,
		"Sent": cs.sent, "Unsent": cs.dialFailures,
		"ElapsedMilliseconds": time.Since(cs.call.Arrived).Milliseconds(), "LastEvent": logs.Truncate(cs.lastEvent),
	}
	if cs.account.Name != "" {
		fields["Account"], fields["QuotaTaken"] = cs.account.Name, cs.quotaTaken
	}
	e := r.log.WithFields(fields)
	if err != nil {
		e = e.WithError(err)
	}
	return e
}

// SetAnswers makes the relay account for answers in a budget that others use too. It must
// be called before the first call is served.
func (r *Relay) SetAnswers(b *answers.Budget) {
	r.answers = b
}

// SetAllocator makes requests ask an allocator for engine memory. It must be called
// before the first call is served.
func (r *Relay) SetAllocator(a Allocator) {
	r.allocator = a
}

// InFlight returns the number of calls in flight.
func (r *Relay) InFlight() int64 {
	return r.inFlight.Load()
}
