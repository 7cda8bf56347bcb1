// Package answers bounds the memory that a process takes for the answers of endpoints
// while it reads them, as an endpoint in trouble may send bytes without end.
package answers

import (
	"expvar"
	"fmt"
	"sync"
	"time"
)

const (
	// defaultLimit bounds what all answers take together, in bytes.
	defaultLimit = 8 << 20
	// freeBytes is the memory of an answer that does not count: the answers of sound
	// endpoints are short, and must not wait for others.
	freeBytes = 4 << 10
	// closeTimeout is how long an answer waits for the memory of those that were given up.
	closeTimeout = 250 * time.Millisecond
)

// TooLongError reports an answer that was given up, as no memory was left for it or it is
// longer than any answer may be.
type TooLongError struct {
	// Size is the memory that the answer took, in bytes.
	Size int64
}

// Error returns a message with the size.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("answer given up, as no memory is left for more than its first %d bytes", e.Size)
}

// Budget bounds the memory of all answers that are open at the same time. Where one does not
// fit, the largest that is still being read is given up. The zero value is ready for use. A
// Budget is safe for concurrent use.
type Budget struct {
	// Limit is in bytes; zero means defaultLimit. It must not change while answers are open.
	Limit int64

	givenUp expvar.Int

	mu sync.Mutex
	// open holds the answers that are open. used is the sum of what they count, at most the
	// limit, and leaving the part of it of those that were given up.
	open          map[*Answer]struct{}
	used, leaving int64
	// changed is closed when an answer is closed or given up; nil while none waits for it.
	changed chan struct{}
}

// Answer is the memory of one answer, or of a part of it. It must be closed.
type Answer struct {
	budget *Budget
	// giveUp ends the reading of the answer; nil where the next Grow does.
	giveUp func()
	// size, whole and givenUp are guarded by the mutex of the budget. A whole answer, which
	// is read to its end, is not given up any more.
	size    int64
	whole   bool
	givenUp bool
}

// Open opens an answer. giveUp may be nil; otherwise it is called at most once, in a
// goroutine of its own, when the answer is given up for the sake of others.
func (b *Budget) Open(giveUp func()) *Answer {
	a := &Answer{budget: b, giveUp: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		b.open = map[*Answer]struct{}{}
	}
	b.open[a] = struct{}{}
	return a
}

// Metrics returns the numbers of bytes in use and of answers given up.
func (b *Budget) Metrics() expvar.Var {
	m := new(expvar.Map)
	m.Set("GivenUp", &b.givenUp)
	m.Set("Bytes", expvar.Func(func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.used
	}))
	return m
}

// counted returns what an answer of some size counts.
func counted(size int64) int64 {
	return max(size-freeBytes, 0)
}

// Grow accounts for more bytes of an answer, before they are taken. It may wait for the
// memory of answers that were given up. The error is a *TooLongError where this one was, or
// is closed.
func (a *Answer) Grow(bytes int64) error {
	b := a.budget
	var timeout <-chan time.Time
	for {
		grown, changed := b.grow(a, bytes)
		if grown {
			return nil
		}
		if changed == nil {
			return &TooLongError{Size: a.size}
		}
		if timeout == nil {
			t := time.NewTimer(closeTimeout)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-timeout:
			b.mu.Lock()
			b.leave(a)
			b.mu.Unlock()
			return &TooLongError{Size: a.size}
		}
	}
}

// grow lets an answer grow if it fits. If it does not, it gives up the largest answers until
// there will be room, and returns a channel that is closed when there may be; nil where the
// growing answer was given up.
func (b *Budget) grow(a *Answer, bytes int64) (grown bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A connection may still be read for a moment after its answer was closed.
	if _, ok := b.open[a]; !ok || a.givenUp {
		return false, nil
	}
	more, limit := counted(a.size+bytes)-counted(a.size), b.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	if more == 0 || b.used+more <= limit {
		a.size += bytes
		b.used += more
		return true, nil
	}
	for b.used-b.leaving+more > limit {
		largest := a
		for o := range b.open {
			if !o.whole && !o.givenUp && o.size > max(largest.size, a.size+bytes) {
				largest = o
			}
		}
		b.leave(largest)
		if largest == a {
			return false, nil
		}
		if largest.giveUp != nil {
			go largest.giveUp()
		}
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return false, b.changed
}

// signal wakes the answers that wait. b.mu must be held.
func (b *Budget) signal() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// leave gives an answer up unless it is closed. b.mu must be held.
func (b *Budget) leave(a *Answer) {
	if _, ok := b.open[a]; ok && !a.givenUp {
		a.givenUp = true
		b.leaving += counted(a.size)
		b.givenUp.Add(1)
		b.signal()
	}
}

// release accounts for bytes that an answer does not take any more.
func (a *Answer) release(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	less := counted(a.size) - counted(a.size-bytes)
	a.size -= bytes
	b.used -= less
	if a.givenUp {
		b.leaving -= less
	}
}

// complete tells that an answer is read to its end.
func (a *Answer) complete() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.whole = true
}

// Close ends the accounting for an answer, whose memory must not be used any more. Further
// calls have no effect.
func (a *Answer) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.open[a]; !ok {
		return
	}
	delete(b.open, a)
	b.used -= counted(a.size)
	if a.givenUp {
		b.leaving -= counted(a.size)
	}
	b.signal()
}

// cause returns why a read failed: a *TooLongError where the answer was given up.
func (a *Answer) cause(err error) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.givenUp {
		return &TooLongError{Size: a.size}
	}
	return err
}
