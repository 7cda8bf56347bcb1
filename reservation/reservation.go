// Package reservation grants requests the memory of one decode engine before
// their prefill starts, and queues them while too little is free. It is a state
// machine without a clock: it takes the time and an input, and returns effects.
// Memory is counted in pieces, blocks of the KV cache that hold a fixed number
// of tokens. An agent also grants the prefill slots of its engine with a table,
// in which each slot is one piece.
package reservation

import "time"

const (
	// LeaseLength is how long a request stays in the table, waiting or granted,
	// after its entry last renewed it.
	LeaseLength = 3 * time.Second
	// maxQueueLength bounds the requests that wait for memory.
	maxQueueLength = 4096
	// initialHoldTime is the assumed hold time until one has been measured.
	initialHoldTime = 2 * time.Second
	// averageWeight is the weight of the newest sample in the running averages.
	averageWeight = 0.1
	// overcommitFactor is the ratio of the memory that is granted in advance
	// to the memory that is expected to be released in time.
	overcommitFactor = 1.1
)

// Attempt identifies one attempt at one request.
type Attempt struct {
	Request string
	Number  uint32
	Entry   string
}

// Request is a request for decode memory.
type Request struct {
	Attempt Attempt
	// Caller is the name of the caller that sent the request.
	Caller string
	// Tokens is the length of the prompt and of the longest answer together.
	Tokens int
	// Isolated asks that no other request holds a grant at the same time.
	Isolated bool
	// Priority is 0 to 9; higher ones go first.
	Priority int
	// Deadline is when the request stops waiting; zero means never.
	Deadline time.Time
	// Target is the latest time for a grant with which the first token is
	// still on time; zero means that there is no target.
	Target time.Time
	// Lead is the expected time between the grant and the use of the memory.
	Lead time.Duration
}

// QueuePosition is the position of a request in the queue.
type QueuePosition struct {
	// Sequence identifies the request; it is unique within the table.
	Sequence uint64
	// Ahead is the number of requests counted as ahead of it.
	Ahead int
	// Wait is the expected time until its grant.
	Wait time.Duration
}

// Grant is a reservation of engine memory for one attempt.
type Grant struct {
	Attempt Attempt
	// ID is unique within the table and never zero.
	ID uint64
	// Pieces is the reserved memory.
	Pieces int
}

// Effects are the results of one input.
type Effects struct {
	Granted []Grant
	// Activated are the granted attempts that may use their memory from now on.
	Activated []Grant
	// Expired are the granted attempts that ended because their lease was not
	// renewed.
	Expired []Attempt
	// Dequeued are the waiting attempts that ended without a grant, because
	// their deadline or lease passed or because the table is draining.
	Dequeued []Attempt
	// Superseded are the attempts that ended because a newer attempt of their
	// request arrived.
	Superseded []Attempt
}

// Load is the load of the table.
type Load struct {
	PiecesFree  int
	PiecesTotal int
	// Running and Queued are the numbers of requests with and without a grant.
	Running int
	Queued  int
	// Wait is the expected wait of a new request for one piece that has the
	// lowest priority and can meet its target.
	Wait time.Duration
}

// requestState is a request that waits or has a grant.
type requestState struct {
	request Request
	// pieces is the memory that it needs, at least one piece.
	pieces int
	// grantID is zero while the request waits.
	grantID uint64
	// active is true once the request may use its memory; its grant may come
	// earlier.
	active bool
	// activatedAt is when it became active.
	activatedAt time.Time
	// sequence is the order of arrival.
	sequence uint64
	// grantedAt is when it was granted.
	grantedAt time.Time
	// leaseEnd is when its lease ends unless it is renewed.
	leaseEnd time.Time
}

// asGrant returns the grant of a request.
func (r *requestState) asGrant() Grant {
	return Grant{Attempt: r.request.Attempt, ID: r.grantID, Pieces: r.pieces}
}

// Table holds the grants of one engine's memory and the queue for it. It is not
// safe for concurrent use.
type Table struct {
	// totalPieces is the size of the memory, and pieceTokens the number of
	// tokens in a piece.
	totalPieces int
	pieceTokens int
	// reservedPieces is the sum over the granted requests. When a request is
	// granted, the sum may exceed totalPieces by what is expected to be
	// released before the request needs its memory, and by no more.
	reservedPieces int
	// activePieces is the sum over the active requests; it never exceeds
	// totalPieces.
	activePieces int
	// awaitingActivation are the granted requests that need their memory now
	// and wait until it is free, in the order in which they asked.
	awaitingActivation []*requestState
	queue              queue
	// granted maps a request's name to the request while it has a grant.
	granted map[string]*requestState
	// waiting maps a request's name to the request while it is queued.
	waiting      map[string]*requestState
	lastGrantID  uint64
	lastSequence uint64
	// meanHoldTime is the running average of the time between a request's
	// activation and its release.
	meanHoldTime time.Duration
	// meanLead is the running average of the requests' leads. It applies to
	// every request: with each request's own lead, long prompts would be
	// granted before short ones.
	meanLead time.Duration
	// isolatedNext is the waiting isolated request that is granted next, once
	// the engine is empty, or nil.
	isolatedNext *requestState
	// draining is true once new requests are refused.
	draining bool
}

// New returns a table for an engine's memory of a number of pieces with a
// number of tokens each.
func New(pieces, pieceTokens int) *Table {
	return &Table{
		totalPieces:  pieces,
		pieceTokens:  pieceTokens,
		granted:      map[string]*requestState{},
		waiting:      map[string]*requestState{},
		meanHoldTime: initialHoldTime,
	}
}

// Drain makes the table refuse new requests, and ends those that wait so that
// they go to another engine. Requests with a grant stay.
func (t *Table) Drain(now time.Time) Effects {
	t.draining = true
	var effects Effects
	t.queue.forEach(func(r *requestState) { effects.Dequeued = append(effects.Dequeued, r.request.Attempt) })
	for _, a := range effects.Dequeued {
		t.remove(now, t.find(a.Request))
	}
	return effects
}

// Pieces returns the number of pieces that a number of tokens needs.
func (t *Table) Pieces(tokens int) int {
	return max(1, (tokens+t.pieceTokens-1)/t.pieceTokens)
}

// Enqueue queues a request for memory; the grant may be among the effects already.
// The effects hold with an error too. The error is a *DrainingError, *TooLargeError, *QueueFullError or *StaleError.
func (t *Table) Enqueue(now time.Time, request Request) (QueuePosition, Effects, error) {
	if t.draining {
		return QueuePosition{}, Effects{}, &DrainingError{}
	}
	pieces := t.Pieces(request.Tokens)
	if pieces > t.totalPieces {
		return QueuePosition{}, Effects{}, &TooLargeError{Pieces: pieces, Total: t.totalPieces}
	}
	superseded, err := t.supersede(now, request.Attempt)
	if err != nil {
		return QueuePosition{}, Effects{}, err
	}
	t.queue.moveLate(now)
	position := t.queuePosition(now, request, pieces)
	pastDeadline := !request.Deadline.IsZero() && now.Add(position.Wait).After(request.Deadline)
	if t.queue.length >= maxQueueLength || pastDeadline {
		return QueuePosition{}, Effects{Superseded: superseded}, &QueueFullError{Queued: t.queue.length, RetryAfter: position.Wait}
	}
	t.meanLead += time.Duration(averageWeight * float64(request.Lead-t.meanLead))
	t.lastSequence++
	r := &requestState{request: request, pieces: pieces, sequence: t.lastSequence, leaseEnd: now.Add(LeaseLength)}
	t.waiting[request.Attempt.Request] = r
	t.queue.add(now, r)
	position.Sequence = r.sequence
	return position, Effects{Superseded: superseded, Granted: t.grantNext(now)}, nil
}

// supersede removes and returns an older attempt of the same request. It refuses
// an attempt that is not newer than the current one.
func (t *Table) supersede(now time.Time, a Attempt) ([]Attempt, error) {
	old := t.find(a.Request)
	if old == nil {
		return nil, nil
	}
	if old.request.Attempt.Number >= a.Number {
		return nil, &StaleError{Attempt: a, Current: old.request.Attempt.Number}
	}
	t.remove(now, old)
	return []Attempt{old.request.Attempt}, nil
}

// Holds reports whether the request with a sequence number of an attempt is in
// the table.
func (t *Table) Holds(a Attempt, sequence uint64) bool {
	r := t.find(a.Request)
	return r != nil && r.request.Attempt == a && r.sequence == sequence
}

func (t *Table) find(requestID string) *requestState {
	if r, ok := t.granted[requestID]; ok {
		return r
	}
	return t.waiting[requestID]
}

// queuePosition returns the position of a new request. One that is expected to
// miss its target counts the late requests of its priority as ahead too.
func (t *Table) queuePosition(now time.Time, request Request, pieces int) QueuePosition {
	requests, piecesAhead := t.queue.countAhead(request.Priority, true)
	wait := t.expectedWait(piecesAhead + pieces)
	if now.Add(wait).Before(request.Target) {
		return QueuePosition{Ahead: requests, Wait: wait}
	}
	requests, piecesAhead = t.queue.countAhead(request.Priority, false)
	return QueuePosition{Ahead: requests, Wait: t.expectedWait(piecesAhead + pieces)}
}

// expectedWait returns the expected time until a number of pieces is free, at
// the mean rate at which memory is released.
func (t *Table) expectedWait(pieces int) time.Duration {
	missing := pieces - (t.totalPieces - t.reservedPieces)
	if missing <= 0 {
		return 0
	}
	return time.Duration(float64(t.meanHoldTime) * float64(missing) / float64(t.totalPieces))
}

// grantNext grants memory to the requests at the front of the queue, in order,
// as long as it fits.
func (t *Table) grantNext(now time.Time) []Grant {
	t.queue.moveLate(now)
	var grants []Grant
	for r := t.next(now); r != nil && t.fits(r); r = t.next(now) {
		t.queue.dequeue(now, r)
		delete(t.waiting, r.request.Attempt.Request)
		t.lastGrantID++
		r.grantID, r.grantedAt, r.leaseEnd = t.lastGrantID, now, now.Add(LeaseLength)
		t.reservedPieces += r.pieces
		t.granted[r.request.Attempt.Request] = r
		grants = append(grants, r.asGrant())
	}
	return grants
}

// fits reports whether the memory of a request is free, or is expected to be
// free when the request needs it: active memory is released at the rate that
// the mean hold time implies (Little's law).
func (t *Table) fits(r *requestState) bool {
	overcommit := 0.0
	if t.meanHoldTime > 0 {
		overcommit = overcommitFactor * float64(t.activePieces) * float64(t.meanLead) / float64(t.meanHoldTime)
	}
	return t.respectsIsolation(r) && t.reservedPieces+r.pieces <= t.totalPieces+int(overcommit)
}

// Activate asks to use the memory of a grant, as the KV cache is ready for import.
// The attempt is among the Activated of this input or, when memory must be
// released first, of a later one. The error is a *StaleError.
func (t *Table) Activate(now time.Time, a Attempt, id uint64) (Effects, error) {
	if _, err := t.CheckGrant(a, id); err != nil {
		return Effects{}, err
	}
	r := t.granted[a.Request]
	if !r.active && !t.awaitsActivation(r) {
		t.awaitingActivation = append(t.awaitingActivation, r)
	}
	return Effects{Activated: t.activate(now)}, nil
}

func (t *Table) awaitsActivation(r *requestState) bool {
	for _, q := range t.awaitingActivation {
		if q == r {
			return true
		}
	}
	return false
}

// activate lets the requests that await activation use their memory, in order,
// as far as it is free.
func (t *Table) activate(now time.Time) []Grant {
	var grants []Grant
	for len(t.awaitingActivation) > 0 && t.activePieces+t.awaitingActivation[0].pieces <= t.totalPieces {
		r := t.awaitingActivation[0]
		t.awaitingActivation = t.awaitingActivation[1:]
		r.active, r.activatedAt = true, now
		t.activePieces += r.pieces
		grants = append(grants, r.asGrant())
	}
	return grants
}

// stopAwaiting removes a request from those that await activation.
func (t *Table) stopAwaiting(r *requestState) {
	for i, q := range t.awaitingActivation {
		if q == r {
			t.awaitingActivation = append(t.awaitingActivation[:i:i], t.awaitingActivation[i+1:]...)
			return
		}
	}
}

// CheckGrant checks that a grant is current, and returns its number of pieces. The
// error is a *StaleError.
func (t *Table) CheckGrant(a Attempt, id uint64) (int, error) {
	r := t.granted[a.Request]
	if r == nil {
		return 0, &StaleError{Attempt: a}
	}
	if r.request.Attempt != a || r.grantID != id {
		return 0, &StaleError{Attempt: a, Current: r.request.Attempt.Number}
	}
	return r.pieces, nil
}

// Release ends an attempt, whether it waits or has a grant. An attempt that is
// not in the table is ignored.
func (t *Table) Release(now time.Time, a Attempt) Effects {
	r := t.find(a.Request)
	if r == nil || r.request.Attempt != a {
		return Effects{}
	}
	t.remove(now, r)
	return Effects{Activated: t.activate(now), Granted: t.grantNext(now)}
}

// remove takes a request out of the table and releases its memory.
func (t *Table) remove(now time.Time, r *requestState) {
	requestID := r.request.Attempt.Request
	if r.grantID != 0 {
		delete(t.granted, requestID)
		t.reservedPieces -= r.pieces
		t.stopAwaiting(r)
		if r.active {
			t.activePieces -= r.pieces
			t.recordHoldTime(now.Sub(r.activatedAt))
		}
		return
	}
	delete(t.waiting, requestID)
	t.queue.remove(r)
}

func (t *Table) recordHoldTime(held time.Duration) {
	t.meanHoldTime += time.Duration(averageWeight * float64(held-t.meanHoldTime))
}

// Renew extends the leases of attempts, and returns those that are not in the
// table.
func (t *Table) Renew(now time.Time, attempts []Attempt) []Attempt {
	var unknown []Attempt
	for _, a := range attempts {
		r := t.find(a.Request)
		if r == nil || r.request.Attempt != a {
			unknown = append(unknown, a)
			continue
		}
		r.leaseEnd = now.Add(LeaseLength)
	}
	return unknown
}

// Tick ends the attempts whose leases or deadlines have passed.
func (t *Table) Tick(now time.Time) Effects {
	var effects Effects
	for _, r := range t.granted {
		if !now.Before(r.leaseEnd) {
			effects.Expired = append(effects.Expired, r.request.Attempt)
		}
	}
	t.queue.forEach(func(r *requestState) {
		pastDeadline := !r.request.Deadline.IsZero() && now.After(r.request.Deadline)
		if pastDeadline || !now.Before(r.leaseEnd) {
			effects.Dequeued = append(effects.Dequeued, r.request.Attempt)
		}
	})
	for _, a := range append(append([]Attempt(nil), effects.Expired...), effects.Dequeued...) {
		t.remove(now, t.find(a.Request))
	}
	t.queue.shares.prune(now)
	effects.Activated = t.activate(now)
	effects.Granted = t.grantNext(now)
	return effects
}

// Load returns the load of the table.
func (t *Table) Load() Load {
	_, piecesAhead := t.queue.countAhead(0, true)
	return Load{
		PiecesFree:  max(0, t.totalPieces-t.reservedPieces),
		PiecesTotal: t.totalPieces,
		Running:     len(t.granted),
		Queued:      t.queue.length,
		Wait:        t.expectedWait(piecesAhead + 1),
	}
}
