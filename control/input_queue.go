package control

import (
	"sync/atomic"
	"time"

	"ebonyreel/replica"
)

const (
	// maxQueuedInputs is the number of inputs that may wait for the loop, and
	// maxQueuedInputBytes the size of their commands and messages, which one of them
	// may exceed.
	maxQueuedInputs     = 4096
	maxQueuedInputBytes = 16 << 20
)

// input is a request or message that the loop handles.
type input interface {
	handle(l *loop, now time.Time)
	// bytes returns the size of the command or messages; zero if there are none.
	bytes() int
}

// inputQueue holds the inputs that wait for the loop. While a disk is slow or full
// the loop takes none, so that the queue is bounded in size too. It is safe for
// concurrent use.
type inputQueue struct {
	waiting chan queuedInput
	// size is the size of all that waits, in bytes.
	size atomic.Int64
	// waits are the times from add to remove.
	waits recentMaximum
}

type queuedInput struct {
	input   input
	bytes   int64
	addedAt time.Time
}

func newInputQueue() *inputQueue {
	return &inputQueue{waiting: make(chan queuedInput, maxQueuedInputs)}
}

// add queues an input. The error is a *replica.BusyError if the queue is full.
func (i *inputQueue) add(in input) error {
	q := queuedInput{input: in, bytes: int64(in.bytes()), addedAt: time.Now()}
	if q.bytes > 0 && i.size.Load() >= maxQueuedInputBytes {
		return &replica.BusyError{Reason: "too many bytes wait"}
	}
	i.size.Add(q.bytes)
	select {
	case i.waiting <- q:
		return nil
	default:
		i.size.Add(-q.bytes)
		return &replica.BusyError{Reason: "too many inputs wait"}
	}
}

// remove counts an input that was taken from waiting as handled, and returns how long it
// has waited.
func (i *inputQueue) remove(q queuedInput) time.Duration {
	i.size.Add(-q.bytes)
	now := time.Now()
	wait := now.Sub(q.addedAt)
	i.waits.observe(now, wait)
	return wait
}
