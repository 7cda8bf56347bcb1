// Package reservation promises the memory of one decode engine to requests
// before their prefill starts. It is a state machine without a clock: it takes
// the time and an input, and returns effects.
package reservation

import "time"

const (
	// LeaseLength is how long a promise lives after its entry's last renewal.
	LeaseLength = 3 * time.Second
	// maxQueued bounds the requests that wait for memory.
	maxQueued = 4096
	// firstService is the guess of a request's stay before any has ended.
	firstService = 2 * time.Second
	// smoothing is the weight of the newest stay in the running average.
	smoothing = 0.1
	// aheadShare is how much of the memory that is expected to be given back
	// is promised ahead.
	aheadShare = 1.1
)

// Attempt names one try of one request.
type Attempt struct {
	Request string
	Number  uint32
	Entry   string
}

// Ask is a request for decode memory.
type Ask struct {
	Attempt Attempt
	// Caller is whose request it is.
	Caller string
	// Tokens is the prompt and the longest answer together.
	Tokens int
	// Isolated asks for the whole engine: nobody else holds memory meanwhile.
	Isolated bool
	// Priority is higher for work that goes first.
	Priority int
	// Deadline is when waiting has no more use; zero means never.
	Deadline time.Time
	// Target is until when a grant lets the first token come in time; zero
	// means that there is no target.
	Target time.Time
	// Lead is the time between the grant and the use of the memory.
	Lead time.Duration
}

// Place says where a request stands.
type Place struct {
	// Ahead is the number of requests before it.
	Ahead int
	// Wait is the expected time until its grant.
	Wait time.Duration
}

// Grant is a promise of memory.
type Grant struct {
	Attempt Attempt
	// ID is unique at this agent.
	ID uint64
	// Pieces is the engine memory promised.
	Pieces int
}

// Effects is what an input caused.
type Effects struct {
	Granted []Grant
	// Placed are granted attempts whose memory is free now.
	Placed []Grant
	// Lapsed are granted attempts that ended because nobody renewed them.
	Lapsed []Attempt
	// Expired are waiting attempts whose deadline or lease has passed.
	Expired []Attempt
}

// Load is the state of the memory.
type Load struct {
	PiecesFree  int
	PiecesTotal int
	Running     int
	Queued      int
	Wait        time.Duration
}

// request is one that waits or holds.
type request struct {
	ask Ask
	// pieces is at least one.
	pieces int
	// id is zero while the request waits.
	id uint64
	// placed is true once its memory is free for it.
	placed bool
	// placedAt is when that was.
	placedAt time.Time
	// order is that of arrival.
	order uint64
	// granted is when memory was promised.
	granted time.Time
	// until is the end of its lease.
	until time.Time
}

// grant is the promise that a request holds.
func (r *request) grant() Grant {
	return Grant{Attempt: r.ask.Attempt, ID: r.id, Pieces: r.pieces}
}

// Table is the promises of one engine's memory. It is not safe for concurrent
// use.
type Table struct {
	// pieces and pieceTokens are the size of the memory.
	pieces      int
	pieceTokens int
	// promised is the sum of the pieces of all holders. It exceeds pieces by
	// no more than what is expected to be given back before it is needed.
	promised int
	// placed is the sum of the pieces of the holders that are placed; it never
	// exceeds pieces.
	placed int
	// arrivals are holders that wait to be placed, in order.
	arrivals []*request
	queue    queue
	// holders maps a request to its promise.
	holders map[string]*request
	// waiting maps a request to its place in the queue.
	waiting map[string]*request
	nextID  uint64
	order   uint64
	// stay is the running average of the time between placing and release.
	stay time.Duration
	// lead is the running average of the requests' leads: with each its own,
	// long prompts would go before short ones.
	lead time.Duration
	// draining is the waiting request that wants the engine for itself, or nil.
	draining *request
	// leaving is true once no new request is taken.
	leaving bool
}

// New returns a table for an engine's memory.
func New(pieces, pieceTokens int) *Table {
	return &Table{
		pieces:      pieces,
		pieceTokens: pieceTokens,
		holders:     map[string]*request{},
		waiting:     map[string]*request{},
		stay:        firstService,
	}
}

// Leave makes the table refuse new requests and ends those that wait, so that
// they go elsewhere; those that hold memory stay.
func (t *Table) Leave(now time.Time) Effects {
	t.leaving = true
	var e Effects
	t.queue.each(func(r *request) { e.Expired = append(e.Expired, r.ask.Attempt) })
	for _, a := range e.Expired {
		t.drop(now, t.find(a.Request))
	}
	return e
}

// Pieces returns the memory that a number of tokens needs.
func (t *Table) Pieces(tokens int) int {
	return max(1, (tokens+t.pieceTokens-1)/t.pieceTokens)
}

// Ask queues a request. The error is a *LeavingError, *TooLargeError,
// *FullError or *StaleError.
func (t *Table) Ask(now time.Time, a Ask) (Place, Effects, error) {
	if t.leaving {
		return Place{}, Effects{}, &LeavingError{}
	}
	pieces := t.Pieces(a.Tokens)
	if pieces > t.pieces {
		return Place{}, Effects{}, &TooLargeError{Pieces: pieces, Total: t.pieces}
	}
	if err := t.supersede(now, a.Attempt); err != nil {
		return Place{}, Effects{}, err
	}
	t.queue.expire(now)
	place := t.place(now, a, pieces)
	late := !a.Deadline.IsZero() && now.Add(place.Wait).After(a.Deadline)
	if t.queue.count >= maxQueued || late {
		return Place{}, Effects{}, &FullError{Queued: t.queue.count, RetryAfter: place.Wait}
	}
	t.lead += time.Duration(smoothing * float64(a.Lead-t.lead))
	t.order++
	r := &request{ask: a, pieces: pieces, order: t.order, until: now.Add(LeaseLength)}
	t.waiting[a.Attempt.Request] = r
	t.queue.add(now, r)
	return place, Effects{Granted: t.grant(now)}, nil
}

// supersede drops an older attempt of the same request, and refuses an attempt
// that is older than the current one.
func (t *Table) supersede(now time.Time, a Attempt) error {
	old := t.find(a.Request)
	if old == nil {
		return nil
	}
	if old.ask.Attempt.Number >= a.Number {
		return &StaleError{Attempt: a, Current: old.ask.Attempt.Number}
	}
	t.drop(now, old)
	return nil
}

func (t *Table) find(name string) *request {
	if r, ok := t.holders[name]; ok {
		return r
	}
	return t.waiting[name]
}

// place is the place of a new request. One that would miss its target while it
// waits goes behind the late ones.
func (t *Table) place(now time.Time, a Ask, pieces int) Place {
	n, ahead := t.queue.ahead(a.Priority, true)
	wait := t.wait(ahead + pieces)
	if now.Add(wait).Before(a.Target) {
		return Place{Ahead: n, Wait: wait}
	}
	n, ahead = t.queue.ahead(a.Priority, false)
	return Place{Ahead: n, Wait: t.wait(ahead + pieces)}
}

// wait is the expected time until an amount of memory has been given back
// beyond what is free, at the rate at which memory is given back.
func (t *Table) wait(pieces int) time.Duration {
	short := pieces - (t.pieces - t.promised)
	if short <= 0 {
		return 0
	}
	return time.Duration(float64(t.stay) * float64(short) / float64(t.pieces))
}

// grant promises free memory to those in front of the queue, in order.
func (t *Table) grant(now time.Time) []Grant {
	t.queue.expire(now)
	var out []Grant
	for r := t.next(now); r != nil && t.fits(r); r = t.next(now) {
		t.queue.take(now, r)
		delete(t.waiting, r.ask.Attempt.Request)
		t.nextID++
		r.id, r.granted, r.until = t.nextID, now, now.Add(LeaseLength)
		t.promised += r.pieces
		t.holders[r.ask.Attempt.Request] = r
		out = append(out, r.grant())
	}
	return out
}

// fits reports whether the memory of a request is free, or is expected to be
// free when the request needs it: what is placed is given back at the rate
// that its mean stay sets (Little's law).
func (t *Table) fits(r *request) bool {
	ahead := 0.0
	if t.stay > 0 {
		ahead = aheadShare * float64(t.placed) * float64(t.lead) / float64(t.stay)
	}
	return t.isolates(r) && t.promised+r.pieces <= t.pieces+int(ahead)
}

// Place asks for the memory of a promise: its KV cache is there. The grant
// comes with the effects of this input or, once memory has been given back, of
// a later one. The error is a *StaleError.
func (t *Table) Place(now time.Time, a Attempt, id uint64) (Effects, error) {
	if _, err := t.Hold(a, id); err != nil {
		return Effects{}, err
	}
	r := t.holders[a.Request]
	if !r.placed && !t.arriving(r) {
		t.arrivals = append(t.arrivals, r)
	}
	return Effects{Placed: t.settle(now)}, nil
}

func (t *Table) arriving(r *request) bool {
	for _, q := range t.arrivals {
		if q == r {
			return true
		}
	}
	return false
}

// settle places those that have arrived, in order, as far as memory is free.
func (t *Table) settle(now time.Time) []Grant {
	var out []Grant
	for len(t.arrivals) > 0 && t.placed+t.arrivals[0].pieces <= t.pieces {
		r := t.arrivals[0]
		t.arrivals = t.arrivals[1:]
		r.placed, r.placedAt = true, now
		t.placed += r.pieces
		out = append(out, r.grant())
	}
	return out
}

// forget takes a request from those that have arrived.
func (t *Table) forget(r *request) {
	for i, q := range t.arrivals {
		if q == r {
			t.arrivals = append(t.arrivals[:i:i], t.arrivals[i+1:]...)
			return
		}
	}
}

// Hold checks that a promise is current, and returns its memory. The error is
// a *StaleError.
func (t *Table) Hold(a Attempt, id uint64) (int, error) {
	r := t.holders[a.Request]
	if r == nil {
		return 0, &StaleError{Attempt: a}
	}
	if r.ask.Attempt != a || r.id != id {
		return 0, &StaleError{Attempt: a, Current: r.ask.Attempt.Number}
	}
	return r.pieces, nil
}

// Release ends an attempt, whether it waits or holds.
func (t *Table) Release(now time.Time, a Attempt) Effects {
	r := t.find(a.Request)
	if r == nil || r.ask.Attempt != a {
		return Effects{}
	}
	t.drop(now, r)
	return Effects{Placed: t.settle(now), Granted: t.grant(now)}
}

// drop removes a request and gives its memory back.
func (t *Table) drop(now time.Time, r *request) {
	name := r.ask.Attempt.Request
	if r.id != 0 {
		delete(t.holders, name)
		t.promised -= r.pieces
		t.forget(r)
		if r.placed {
			t.placed -= r.pieces
			t.learn(now.Sub(r.placedAt))
		}
		return
	}
	delete(t.waiting, name)
	t.queue.remove(r)
}

func (t *Table) learn(stay time.Duration) {
	t.stay += time.Duration(smoothing * float64(stay-t.stay))
}

// Renew extends the leases of an entry's attempts, and returns those that are
// not known here.
func (t *Table) Renew(now time.Time, attempts []Attempt) []Attempt {
	var unknown []Attempt
	for _, a := range attempts {
		r := t.find(a.Request)
		if r == nil || r.ask.Attempt != a {
			unknown = append(unknown, a)
			continue
		}
		r.until = now.Add(LeaseLength)
	}
	return unknown
}

// Tick ends the attempts whose leases or deadlines have passed.
func (t *Table) Tick(now time.Time) Effects {
	var e Effects
	for _, r := range t.holders {
		if !now.Before(r.until) {
			e.Lapsed = append(e.Lapsed, r.ask.Attempt)
		}
	}
	t.queue.each(func(r *request) {
		late := !r.ask.Deadline.IsZero() && now.After(r.ask.Deadline)
		if late || !now.Before(r.until) {
			e.Expired = append(e.Expired, r.ask.Attempt)
		}
	})
	for _, a := range append(append([]Attempt(nil), e.Lapsed...), e.Expired...) {
		t.drop(now, t.find(a.Request))
	}
	t.queue.shares.forget(now)
	e.Placed = t.settle(now)
	e.Granted = t.grant(now)
	return e
}

// Load returns the state of the memory.
func (t *Table) Load() Load {
	_, ahead := t.queue.ahead(0, true)
	return Load{
		PiecesFree:  max(0, t.pieces-t.promised),
		PiecesTotal: t.pieces,
		Running:     len(t.holders),
		Queued:      t.queue.count,
		Wait:        t.wait(ahead + 1),
	}
}
