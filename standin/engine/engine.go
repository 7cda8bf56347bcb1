package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ebonyreel/endpoints"
	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

const (
	// tokenRing bounds the tokens that a slow reader may leave unread before
	// its request is held back.
	tokenRing = 64
	// linkChunksPerSecond sets the size of the chunks of a transfer, which is
	// also what an idle link may send at once.
	linkChunksPerSecond = 100
	// maxCatchUp is how far behind its schedule an engine may be.
	maxCatchUp = 5 * time.Millisecond
	fileMode   = 0o640
)

// engine is the whole state of the stand-in.
type engine struct {
	settings Settings
	instance string
	// link spends time for each byte that leaves.
	link *rate.Limiter

	mu sync.Mutex
	// role, version, adapters and fence follow orders; fence only grows.
	role     string
	version  string
	adapters []string
	fence    uint64
	// sequences are the requests that have memory; the sum of their pieces never
	// exceeds the memory.
	sequences map[string]*sequence
	used      int
	// exports are the results of prefill that were not evicted yet.
	exports map[string]*export
	// prefilling is the requests whose prefill waits or runs.
	prefilling map[string]context.CancelFunc
	queue      prefillQueue
	cache      prefixCache
	load       engines.Load
	lagged     engines.Load
	history    *json.Encoder
}

// sequence is a request that has memory.
type sequence struct {
	prompt string
	pieces int
	// imported is false until the transfer has ended.
	imported bool
	// next is the position of the next token, and limit that of the end.
	next  int
	limit int
	// out is nil until a decode call has come.
	out chan engines.Token
	// detached is true while the reader is gone; decoding goes on without it.
	detached bool
	// reason is why the answer ends at limit.
	reason string
}

// export is the result of a prefill.
type export struct {
	request  string
	prompt   string
	position int
	tokens   int
	evict    *time.Timer
}

func newEngine(s Settings) (*engine, error) {
	e := &engine{
		settings:   s,
		instance:   rand.Text(),
		link:       rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), s.LinkBytesPerSecond/linkChunksPerSecond),
		role:       s.Role,
		version:    s.Version,
		adapters:   s.Adapters,
		sequences:  map[string]*sequence{},
		exports:    map[string]*export{},
		prefilling: map[string]context.CancelFunc{},
		cache:      prefixCache{limit: s.CacheTokens},
		history:    json.NewEncoder(os.Stdout),
	}
	if s.HistoryFile == "" {
		e.history = nil
		return e, nil
	}
	f, err := os.OpenFile(s.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	e.history = json.NewEncoder(f)
	return e, nil
}

// record is one line of the history.
type record struct {
	Time    time.Time
	Event   string
	Request string
	Tokens  int
	// Content is a hash of the prompt, in the record of a crash.
	Content string `json:",omitempty"`
}

// note writes a line of history. It is called with mu held.
func (e *engine) note(event, request string, n int) {
	if e.history != nil {
		_ = e.history.Encode(record{Time: time.Now(), Event: event, Request: request, Tokens: n})
	}
}

func (e *engine) announcement() endpoints.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoints.Announcement{
		Address:       e.settings.Announced,
		Instance:      e.instance,
		Role:          e.role,
		Serves:        e.settings.Model,
		Version:       e.version,
		Adapters:      e.adapters,
		MemoryPieces:  e.settings.MemoryPieces,
		PieceTokens:   e.settings.PieceTokens,
		ChecksFencing: e.settings.ChecksFencing,
	}
}

// allocate takes memory for a request before its transfer starts. It reports
// false when there is no room.
func (e *engine) allocate(c engines.ImportCall) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropSequence(c.Request)
	if e.used+c.Pieces > e.settings.MemoryPieces {
		return nil, false
	}
	q := &sequence{pieces: c.Pieces}
	e.used += c.Pieces
	e.sequences[c.Request] = q
	return q, true
}

// place fills in an allocated sequence after its transfer. It reports false
// when the request was cancelled meanwhile.
func (e *engine) place(c engines.ImportCall, q *sequence, x engines.Export) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[c.Request] != q {
		return false
	}
	q.prompt, q.next, q.imported = x.Prompt, x.Position, true
	e.note("Import", c.Request, x.Tokens)
	return true
}

// abandon gives back the memory of a transfer that failed.
func (e *engine) abandon(c engines.ImportCall, q *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[c.Request] == q {
		e.dropSequence(c.Request)
	}
}

// begin starts the decode of an imported request.
func (e *engine) begin(c engines.DecodeCall) (<-chan engines.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.sequences[c.Request]
	if q == nil || !q.imported || q.out != nil && !q.detached {
		return nil, false
	}
	q.next = c.FromPosition
	q.limit, q.reason = tokens.Length(q.prompt), "stop"
	if c.MaxTokens < q.limit {
		q.limit, q.reason = c.MaxTokens, "length"
	}
	q.out, q.detached = make(chan engines.Token, tokenRing), false
	e.note("Decode", c.Request, q.next)
	return q.out, true
}

// detach lets another call resume a request whose reader has gone. It is decoded
// to its end meanwhile, unless it is cancelled.
func (e *engine) detach(request string, out <-chan engines.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.sequences[request]; q != nil && q.out == out {
		q.detached = true
	}
}

// cancel forgets all of a request.
func (e *engine) cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note("Cancel", request, 0)
	e.dropSequence(request)
	if stop := e.prefilling[request]; stop != nil {
		stop()
	}
	for h, x := range e.exports {
		if x.request == request {
			e.dropExport(h, true)
		}
	}
}

// dropSequence gives memory back. It is called with mu held.
func (e *engine) dropSequence(request string) {
	q := e.sequences[request]
	if q == nil {
		return
	}
	delete(e.sequences, request)
	e.used -= q.pieces
	if q.out != nil {
		close(q.out)
	}
}

// dropExport forgets a result of prefill. It is called with mu held.
func (e *engine) dropExport(handle string, wasted bool) {
	x := e.exports[handle]
	if x == nil {
		return
	}
	x.evict.Stop()
	delete(e.exports, handle)
	if wasted {
		e.load.WastedTokens += uint64(x.tokens)
		e.note("Wasted", x.request, x.tokens)
	}
}

// batches makes one token for each running request at each step. A sleep that
// lasted too long shortens the next one, but no step is made up for.
func (e *engine) batches(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		if now := time.Now(); next.Before(now.Add(-maxCatchUp)) {
			next = now
		}
		next = next.Add(e.step())
		time.Sleep(time.Until(next))
	}
}

// step makes one decode step and returns the time that it takes.
func (e *engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for name, q := range e.sequences {
		if q.out == nil {
			continue
		}
		running++
		e.advance(name, q)
	}
	us := e.settings.StepMicroseconds + running*e.settings.StepPerRequestMicroseconds
	return time.Duration(us) * time.Microsecond
}

// advance makes the next token of a request, unless its reader is behind.
func (e *engine) advance(name string, q *sequence) {
	t := engines.Token{Position: q.next}
	if q.next >= q.limit {
		t.End, t.FinishReason = true, q.reason
	} else {
		t.Text = tokens.Text(q.prompt, q.next)
	}
	select {
	case q.out <- t:
	default:
		if !q.detached {
			return
		}
	}
	q.next++
	if t.End {
		e.note("Done", name, q.limit)
		e.dropSequence(name)
	}
}

// lag copies the load report late.
func (e *engine) lag(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(e.settings.LoadLagMilliseconds) * time.Millisecond)
		e.mu.Lock()
		e.load.PiecesFree = e.settings.MemoryPieces - e.used
		e.load.Running = len(e.sequences)
		e.load.Queued = len(e.prefilling)
		e.lagged = e.load
		e.mu.Unlock()
	}
}
