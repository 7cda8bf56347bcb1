// Package answers bounds the memory that a process takes for the answers of endpoints
// while it reads them, as an endpoint in trouble may send bytes without end.
package answers

import (
	"expvar"
	"fmt"
	"sync"
)

// defaultLimit bounds what all answers take together, in bytes.
const defaultLimit = 8 << 20

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

// Budget bounds the memory of all answers that are open at the same time. Once they exceed
// it, the largest is given up: the answers of sound endpoints are short. The zero value is
// ready for use. A Budget is safe for concurrent use.
type Budget struct {
	// Limit is in bytes; zero means defaultLimit. It must not change while answers are open.
	Limit int64

	givenUp expvar.Int

	mu sync.Mutex
	// open holds the answers that are open and not given up, and used is the sum of their
	// sizes, at most the limit.
	open map[*Answer]struct{}
	used int64
}

// Answer is the memory of one answer, or of a part of it. It must be closed.
type Answer struct {
	budget *Budget
	// giveUp ends the reading of the answer; nil where the next Grow does.
	giveUp func()
	// size and givenUp are guarded by the mutex of the budget.
	size    int64
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

// Grow accounts for more bytes of an answer. The error is a *TooLongError where the answer
// has been given up.
func (a *Answer) Grow(bytes int64) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.givenUp {
		a.size += bytes
		b.used += bytes
		b.shrink(a)
	}
	if a.givenUp {
		return &TooLongError{Size: a.size}
	}
	return nil
}

// release accounts for bytes that the answer does not take any more.
func (a *Answer) release(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.givenUp {
		a.size -= bytes
		b.used -= bytes
	}
}

// shrink gives up the largest answers until the rest keeps to the limit. The reader of the
// growing one learns it from Grow. b.mu must be held.
func (b *Budget) shrink(growing *Answer) {
	limit := b.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	for b.used > limit {
		largest := growing
		for a := range b.open {
			if a.size > largest.size {
				largest = a
			}
		}
		largest.givenUp = true
		b.remove(largest)
		b.givenUp.Add(1)
		if largest == growing {
			return
		}
		if largest.giveUp != nil {
			go largest.giveUp()
		}
	}
}

// remove takes an answer out of the account. b.mu must be held.
func (b *Budget) remove(a *Answer) {
	if _, ok := b.open[a]; ok {
		delete(b.open, a)
		b.used -= a.size
	}
}

// Close ends the accounting for an answer, whose memory must not be used any more. Further
// calls have no effect.
func (a *Answer) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
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
