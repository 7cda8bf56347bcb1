package agent

import (
	"context"
	"time"

	"ebonyreel/reservation"
)

const (
	// memoryRing bounds the inputs that wait for the owner of the table.
	memoryRing = 1024
	// memoryTick is the time between looks for lapsed leases.
	memoryTick = 100 * time.Millisecond
)

// memory owns the reservation table of one engine. A single goroutine takes
// inputs from a bounded ring and hands out their effects.
type memory struct {
	inputs chan func(now time.Time)
	table  *reservation.Table
	// waiters is owned by the goroutine; each has room for one outcome.
	waiters map[reservation.Attempt]chan outcome
	// arrivals is owned by the goroutine; each is closed when its attempt is
	// placed.
	arrivals map[reservation.Attempt]chan struct{}
	// lapsed is told of granted attempts that nobody renewed.
	lapsed func(reservation.Attempt)
	done   chan struct{}
}

// outcome is what a waiting attempt comes to: a grant, or its end.
type outcome struct {
	grant   reservation.Grant
	granted bool
}

func newMemory(pieces, pieceTokens int, lapsed func(reservation.Attempt)) *memory {
	return &memory{
		inputs:   make(chan func(now time.Time), memoryRing),
		table:    reservation.New(pieces, pieceTokens),
		waiters:  map[reservation.Attempt]chan outcome{},
		arrivals: map[reservation.Attempt]chan struct{}{},
		lapsed:   lapsed,
		done:     make(chan struct{}),
	}
}

// run is the owner's loop. It ends with the context.
func (m *memory) run(ctx context.Context) {
	defer close(m.done)
	t := time.NewTicker(memoryTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-m.inputs:
			f(time.Now())
		case <-t.C:
			m.carry(m.table.Tick(time.Now()))
		}
	}
}

// carry hands effects to those they concern.
func (m *memory) carry(e reservation.Effects) {
	for _, g := range e.Granted {
		m.tell(g.Attempt, outcome{grant: g, granted: true})
	}
	for _, g := range e.Placed {
		if w := m.arrivals[g.Attempt]; w != nil {
			close(w)
			delete(m.arrivals, g.Attempt)
		}
	}
	for _, a := range e.Expired {
		m.tell(a, outcome{})
	}
	for _, a := range e.Lapsed {
		m.lapsed(a)
	}
}

func (m *memory) tell(a reservation.Attempt, o outcome) {
	w, ok := m.waiters[a]
	if !ok {
		return
	}
	delete(m.waiters, a)
	w <- o
}

// do runs an input on the owner's goroutine and waits for it. It reports
// false when the ring is full or the owner has ended.
func (m *memory) do(f func(now time.Time)) bool {
	ran := make(chan struct{})
	input := func(now time.Time) {
		f(now)
		close(ran)
	}
	select {
	case m.inputs <- input:
	default:
		return false
	}
	select {
	case <-ran:
		return true
	case <-m.done:
		return false
	}
}

// ask queues an attempt. Its outcome comes over the channel.
func (m *memory) ask(a reservation.Ask) (reservation.Place, <-chan outcome, error) {
	var place reservation.Place
	var err error
	w := make(chan outcome, 1)
	ok := m.do(func(now time.Time) {
		m.waiters[a.Attempt] = w
		var e reservation.Effects
		place, e, err = m.table.Ask(now, a)
		if err != nil {
			delete(m.waiters, a.Attempt)
			return
		}
		m.carry(e)
	})
	if !ok {
		return place, nil, &BusyError{}
	}
	return place, w, err
}

func (m *memory) release(a reservation.Attempt) {
	m.do(func(now time.Time) {
		delete(m.waiters, a)
		delete(m.arrivals, a)
		m.carry(m.table.Release(now, a))
	})
}

func (m *memory) hold(a reservation.Attempt, id uint64) (int, error) {
	pieces, err := 0, error(&BusyError{})
	m.do(func(time.Time) {
		pieces, err = m.table.Hold(a, id)
	})
	return pieces, err
}

// place waits until the memory of a promise is free, which it is at once
// unless it was promised ahead.
func (m *memory) place(ctx context.Context, a reservation.Attempt, id uint64) error {
	err := error(&BusyError{})
	w := make(chan struct{})
	m.do(func(now time.Time) {
		m.arrivals[a] = w
		var e reservation.Effects
		if e, err = m.table.Place(now, a, id); err != nil {
			delete(m.arrivals, a)
			return
		}
		m.carry(e)
	})
	if err != nil {
		return err
	}
	select {
	case <-w:
		return nil
	case <-m.done:
		return &BusyError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *memory) renew(attempts []reservation.Attempt) []reservation.Attempt {
	var unknown []reservation.Attempt
	m.do(func(now time.Time) {
		unknown = m.table.Renew(now, attempts)
	})
	return unknown
}

func (m *memory) leave() {
	m.do(func(now time.Time) { m.carry(m.table.Leave(now)) })
}

func (m *memory) load() reservation.Load {
	var l reservation.Load
	m.do(func(time.Time) { l = m.table.Load() })
	return l
}

// BusyError reports that a ring of the agent is full, or that its owner ended.
type BusyError struct{}

// Error says so.
func (*BusyError) Error() string {
	return "agent is busy"
}
