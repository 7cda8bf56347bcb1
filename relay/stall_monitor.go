package relay

import (
	"context"
	"errors"
	"time"
)

// stallMonitor cancels an attempt whose endpoint has sent nothing for too long, once
// another attempt is prepared. A stall alone does not end an answer.
type stallMonitor struct {
	// attemptContext is the context of the attempt, and cancel ends it.
	attemptContext context.Context
	cancel         context.CancelCauseFunc
	// prepareRetry prepares another attempt. It reports whether there is one.
	prepareRetry func(context.Context, stalledAttempt) bool
	// flowing is true once the caller has received an event of this attempt.
	flowing bool
	// enabled is false where the call can't be sent again.
	enabled bool
	timer   *time.Timer
	// stopPreparing cancels the preparation, and done is closed when it has ended.
	stopPreparing context.CancelFunc
	done          chan struct{}
	// stall is the cause with which the attempt was cancelled, or nil.
	stall *StallError
}

// stalledAttempt is an attempt whose endpoint has sent nothing for the time idle. flowing
// is true where the caller has received events of this attempt.
type stalledAttempt struct {
	idle    time.Duration
	flowing bool
}

// newStallMonitor starts a monitor of the attempt in ctx. A timeout of zero disables
// it.
func newStallMonitor(
	ctx context.Context, cancel context.CancelCauseFunc, timeout time.Duration,
	prepareRetry func(context.Context, stalledAttempt) bool,
) *stallMonitor {
	m := &stallMonitor{attemptContext: ctx, cancel: cancel, prepareRetry: prepareRetry, enabled: timeout > 0}
	m.start(timeout)
	return m
}

func (m *stallMonitor) start(timeout time.Duration) {
	if !m.enabled || timeout <= 0 {
		return
	}
	ctx, stopPreparing := context.WithCancel(m.attemptContext)
	done := make(chan struct{})
	m.stopPreparing, m.done = stopPreparing, done
	stalled := stalledAttempt{idle: timeout, flowing: m.flowing}
	m.timer = time.AfterFunc(timeout, func() {
		defer close(done)
		if m.prepareRetry(ctx, stalled) && ctx.Err() == nil {
			m.stall = &StallError{After: timeout}
			m.cancel(m.stall)
		}
	})
}

// reset restarts the timer with another timeout, after an event.
func (m *stallMonitor) reset(timeout time.Duration) {
	m.stop()
	m.flowing = true
	m.start(timeout)
}

// stop stops the timer and waits until no preparation runs.
func (m *stallMonitor) stop() {
	if m.timer == nil {
		return
	}
	m.stopPreparing()
	if !m.timer.Stop() {
		<-m.done
	}
	m.timer = nil
}

// giveUp cancels the attempt, as no memory is left for its answer.
func (m *stallMonitor) giveUp() {
	m.cancel(nil)
}

// stallCause returns the stall where it cancelled the attempt, and err otherwise.
func stallCause(ctx context.Context, err error) error {
	var stall *StallError
	if err != nil && errors.As(context.Cause(ctx), &stall) {
		return stall
	}
	return err
}
