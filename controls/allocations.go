package controls

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
)

const (
	// acquireTimeout bounds one call for memory. Control answers each within 500 ms.
	acquireTimeout = 800 * time.Millisecond
	// grantLifetime is how long after the call for it a grant is used. An entry that was
	// suspended meanwhile asks again.
	grantLifetime = time.Second
	// acquireHosts is the number of hosts called for one answer: one that may not lead
	// names the leader.
	acquireHosts = 2
	// unavailableTime is how long the service is not called after a failure.
	unavailableTime = 500 * time.Millisecond
	// releaseTimeout bounds a call that tells of ended runs, and maxReleases the number
	// of these that wait to be told. Runs that are not told are found missing in the
	// next report.
	releaseTimeout = 500 * time.Millisecond
	maxReleases    = 1024
)

// UnavailableError reports that control does not grant memory at present.
type UnavailableError struct {
	// Cause is the error of the failed call; nil where no call was made.
	Cause error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "control has failed to grant memory lately"
	}
	return "control grants no memory: " + e.Cause.Error()
}

func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// StaleGrantError reports a grant that arrived too late to be used.
type StaleGrantError struct {
	Age time.Duration
}

func (e *StaleGrantError) Error() string {
	return "grant arrived after " + e.Age.String()
}

// Allocations asks control for the memory of model engines. It is safe for concurrent
// use.
type Allocations struct {
	client *Client
	log    *logrus.Entry
	// environment and owner are those of the entry, and domain is its failure domain.
	environment string
	owner       string
	domain      string

	mu sync.Mutex
	// failedAt is when a call last failed, as the time since boot; zero once one has
	// succeeded since. probing is true while one request tries the service after that.
	failedAt time.Duration
	probing  bool
	// failed is closed and replaced when a call fails, so that others do not wait.
	failed chan struct{}
	// ended holds the runs and prefills that control is still to be told of.
	ended *controlv1.ReleaseRequest
	wake  chan struct{}
}

// NewAllocations returns the allocations of one entry.
func NewAllocations(c *Client, member *controlv1.Member, log *logrus.Entry) *Allocations {
	return &Allocations{
		client: c, log: log, environment: member.GetEnvironment(), owner: member.GetName(), domain: member.GetFailureDomain(),
		failed: make(chan struct{}), ended: &controlv1.ReleaseRequest{}, wake: make(chan struct{}, 1),
	}
}

// Acquire asks for memory until it is granted or refused. It sets the fields of the
// request that say who asks. The error is an *UnavailableError where control does not
// answer, and that of the context where it ends.
func (a *Allocations) Acquire(ctx context.Context, r *controlv1.AcquireRequest) (*controlv1.AcquireResponse, error) {
	failed, ok := a.begin()
	if !ok {
		return nil, &UnavailableError{}
	}
	r.Environment, r.Owner, r.FailureDomain = a.environment, a.owner, a.domain
	callContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-failed:
			cancel()
		case <-callContext.Done():
		}
	}()
	for {
		res, err := a.acquireOnce(callContext, r)
		a.recordResult(ctx, err)
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			return nil, &UnavailableError{Cause: err}
		case res.GetState() != controlv1.AcquireState_ACQUIRE_STATE_WAITING:
			return res, nil
		}
		r.RefusedBy = ""
	}
}

// acquireOnce makes one call to the leader, which another host may have to name.
func (a *Allocations) acquireOnce(ctx context.Context, r *controlv1.AcquireRequest) (*controlv1.AcquireResponse, error) {
	var out *controlv1.AcquireResponse
	start := clock.SinceBoot()
	err := a.callLeader(ctx, acquireTimeout, func(ctx context.Context, c controlv1connect.AllocationServiceClient) error {
		res, err := c.Acquire(ctx, connect.NewRequest(r))
		if err == nil {
			out = res.Msg
		}
		return err
	})
	if took := clock.SinceBoot() - start; err == nil && took > grantLifetime {
		return nil, &StaleGrantError{Age: took}
	}
	return out, err
}

func (a *Allocations) callLeader(ctx context.Context, timeout time.Duration, f func(context.Context, controlv1connect.AllocationServiceClient) error) error {
	var err error
	h, _ := a.client.preferredHost()
	for range acquireHosts {
		err = func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return f(ctx, h.allocations)
		}()
		if err == nil || RefusalFrom(err).GetLeaderAddress() == "" {
			return err
		}
		h = a.client.nextHost(h, err)
	}
	return err
}

// begin reports whether a request may call the service, and returns the channel that
// is closed when a call fails. After a failure one request at a time tries it, so that
// the others do not wait for a host that does not answer.
func (a *Allocations) begin() (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedAt > 0 {
		if a.probing || clock.SinceBoot()-a.failedAt < unavailableTime {
			return nil, false
		}
		a.probing = true
	}
	return a.failed, true
}

// recordResult records the end of a call. After a failure further requests do without
// control for a while. A call whose own context has ended says nothing.
func (a *Allocations) recordResult(ctx context.Context, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	switch {
	case err == nil:
		a.failedAt = 0
	case ctx.Err() == nil:
		if a.failedAt == 0 {
			a.log.WithError(err).Warn("memory is reserved without control")
			close(a.failed)
			a.failed = make(chan struct{})
		}
		a.failedAt = clock.SinceBoot()
	}
}

// Release tells control that a run has ended. failed means that its engine could not
// be reached or broke it. It does not wait.
func (a *Allocations) Release(pool, id string, failed bool) {
	a.mu.Lock()
	if len(a.ended.GetRuns()) < maxReleases {
		a.ended.Runs = append(a.ended.Runs, &controlv1.EndedRun{Pool: pool, Id: id, Failed: failed})
	}
	a.mu.Unlock()
	a.wakeReleases()
}

// Prefilled tells control that the prefill of a run has ended. It does not wait.
func (a *Allocations) Prefilled(pool, id string, failed bool) {
	a.mu.Lock()
	if len(a.ended.GetPrefills()) < maxReleases {
		a.ended.Prefills = append(a.ended.Prefills, &controlv1.EndedRun{Pool: pool, Id: id, Failed: failed})
	}
	a.mu.Unlock()
	a.wakeReleases()
}

func (a *Allocations) wakeReleases() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// RunReleases tells control of ended runs until the context ends.
func (a *Allocations) RunReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		a.mu.Lock()
		ended := a.ended
		a.ended = &controlv1.ReleaseRequest{}
		a.mu.Unlock()
		if len(ended.GetRuns())+len(ended.GetPrefills()) == 0 {
			continue
		}
		ended.Environment = a.environment
		err := a.callLeader(ctx, releaseTimeout, func(ctx context.Context, c controlv1connect.AllocationServiceClient) error {
			_, err := c.Release(ctx, connect.NewRequest(ended))
			return err
		})
		if err != nil {
			a.log.WithError(err).WithField("Runs", len(ended.GetRuns())).Debug("ended runs not told, the next report will")
		}
	}
}
