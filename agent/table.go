package agent

import (
	"context"
	"time"

	"ebonyreel/reservation"
)

const (
	// inputQueueSize bounds the inputs that wait for the owner of the table.
	inputQueueSize = 1024
	// tickInterval is the time between two checks for expired leases.
	tickInterval = 100 * time.Millisecond
)

// tableOwner owns one reservation table of an engine. A single goroutine applies
// inputs from a bounded queue to the table and delivers their effects. Its
// methods are safe for concurrent use.
type tableOwner struct {
	inputs chan func(now time.Time)
	table  *reservation.Table
	// grantWaiters is owned by the goroutine. Each channel is buffered for the
	// one result. A waiter gets its result when its attempt leaves the queue,
	// for whatever reason.
	grantWaiters map[reservation.Attempt]chan waitResult
	// memoryWaiters is owned by the goroutine. Each channel is buffered for the
	// one result: nil when the attempt may use its memory, or the reason why it
	// never will.
	memoryWaiters map[reservation.Attempt]chan error
	// onExpired is called with each granted attempt whose lease expired.
	onExpired func(reservation.Attempt)
	// ended is closed when the goroutine ends.
	ended chan struct{}
}

// waitResult is the result of waiting: a grant, or the reason why there is none.
type waitResult struct {
	grant reservation.Grant
	err   error
}

// queuedRequest is a request in the queue of a table, and the channel of its
// result.
type queuedRequest struct {
	attempt  reservation.Attempt
	position reservation.QueuePosition
	results  <-chan waitResult
}

func newTableOwner(pieces, pieceTokens int, onExpired func(reservation.Attempt)) *tableOwner {
	return &tableOwner{
		inputs:        make(chan func(now time.Time), inputQueueSize),
		table:         reservation.New(pieces, pieceTokens),
		grantWaiters:  map[reservation.Attempt]chan waitResult{},
		memoryWaiters: map[reservation.Attempt]chan error{},
		onExpired:     onExpired,
		ended:         make(chan struct{}),
	}
}

// run applies inputs and checks leases until the context ends.
func (o *tableOwner) run(ctx context.Context) {
	defer close(o.ended)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-o.inputs:
			input(time.Now())
		case <-t.C:
			o.deliver(o.table.Tick(time.Now()))
		}
	}
}

// deliver passes effects to the attempts that wait for them, and granted attempts
// whose leases expired to onExpired.
func (o *tableOwner) deliver(e reservation.Effects) {
	for _, g := range e.Granted {
		o.sendResult(g.Attempt, waitResult{grant: g})
	}
	for _, g := range e.Activated {
		o.sendActivation(g.Attempt, nil)
	}
	for _, a := range e.Dequeued {
		o.sendResult(a, waitResult{err: &reservation.QueueFullError{RetryAfter: defaultRetryAfter}})
	}
	for _, a := range e.Superseded {
		o.endWaits(a)
	}
	for _, a := range e.Expired {
		o.endWaits(a)
		o.onExpired(a)
	}
}

// endWaits ends what waits for an attempt that is no longer in the table.
func (o *tableOwner) endWaits(a reservation.Attempt) {
	o.sendResult(a, waitResult{err: &reservation.StaleError{Attempt: a}})
	o.sendActivation(a, &reservation.StaleError{Attempt: a})
}

func (o *tableOwner) sendResult(a reservation.Attempt, result waitResult) {
	if results, ok := o.grantWaiters[a]; ok {
		delete(o.grantWaiters, a)
		results <- result
	}
}

func (o *tableOwner) sendActivation(a reservation.Attempt, err error) {
	if active, ok := o.memoryWaiters[a]; ok {
		delete(o.memoryWaiters, a)
		active <- err
	}
}

// submit runs an input on the owner's goroutine and waits for it. The input is not
// run if the queue is full or the owner has ended.
func (o *tableOwner) submit(input func(now time.Time)) {
	done := make(chan struct{})
	queued := func(now time.Time) {
		input(now)
		close(done)
	}
	select {
	case o.inputs <- queued:
	default:
		return
	}
	select {
	case <-done:
	case <-o.ended:
	}
}

// enqueue queues a request. Its one result is sent on the channel.
func (o *tableOwner) enqueue(request reservation.Request) (queuedRequest, error) {
	results := make(chan waitResult, 1)
	queued, err := queuedRequest{attempt: request.Attempt, results: results}, error(&BusyError{})
	o.submit(func(now time.Time) {
		var effects reservation.Effects
		queued.position, effects, err = o.table.Enqueue(now, request)
		if err == nil {
			o.grantWaiters[request.Attempt] = results
		}
		o.deliver(effects)
	})
	return queued, err
}

// release ends an attempt, whichever of its requests is in the table.
func (o *tableOwner) release(a reservation.Attempt) {
	o.submit(func(now time.Time) {
		o.deliver(o.table.Release(now, a))
		o.endWaits(a)
	})
}

// withdraw ends one request, whether it waits or has a grant. A later request of
// the same attempt stays.
func (o *tableOwner) withdraw(q queuedRequest) {
	o.submit(func(now time.Time) {
		if !o.table.Holds(q.attempt, q.position.Sequence) {
			return
		}
		o.deliver(o.table.Release(now, q.attempt))
		o.endWaits(q.attempt)
	})
}

func (o *tableOwner) checkGrant(a reservation.Attempt, id uint64) (int, error) {
	pieces, err := 0, error(&BusyError{})
	o.submit(func(time.Time) {
		pieces, err = o.table.CheckGrant(a, id)
	})
	return pieces, err
}

// activate waits until an attempt may use its granted memory, which is at once
// unless the memory was granted in advance.
func (o *tableOwner) activate(ctx context.Context, a reservation.Attempt, id uint64) error {
	err := error(&BusyError{})
	active := make(chan error, 1)
	o.submit(func(now time.Time) {
		var effects reservation.Effects
		if effects, err = o.table.Activate(now, a, id); err != nil {
			return
		}
		o.memoryWaiters[a] = active
		o.deliver(effects)
	})
	if err != nil {
		return err
	}
	select {
	case err := <-active:
		return err
	case <-o.ended:
		return &BusyError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *tableOwner) renew(attempts []reservation.Attempt) []reservation.Attempt {
	var unknown []reservation.Attempt
	o.submit(func(now time.Time) {
		unknown = o.table.Renew(now, attempts)
	})
	return unknown
}

func (o *tableOwner) drain() {
	o.submit(func(now time.Time) { o.deliver(o.table.Drain(now)) })
}

func (o *tableOwner) load() reservation.Load {
	var l reservation.Load
	o.submit(func(time.Time) { l = o.table.Load() })
	return l
}

// BusyError reports that the input queue of a reservation table is full, or that
// the table's owner has ended.
type BusyError struct{}

// Error returns the message.
func (*BusyError) Error() string {
	return "agent is busy"
}
