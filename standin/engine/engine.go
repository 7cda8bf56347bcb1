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
	// tokenBufferSize is the number of unread tokens of a request at which its
	// decode pauses until the reader catches up.
	tokenBufferSize = 64
	// linkChunksPerSecond divides the link's bytes per second into the chunks
	// of a transfer. One chunk is also the burst that an idle link may send.
	linkChunksPerSecond = 100
	// maxStepLag is how far the decode loop may fall behind its schedule; when
	// it is later than that, the schedule restarts from the current time.
	maxStepLag      = 5 * time.Millisecond
	historyFileMode = 0o640
)

type engine struct {
	settings Settings
	instance string
	// link limits the rate at which KV caches leave the engine.
	link *rate.Limiter

	mu sync.Mutex
	// role, version and adapters come from the settings until an order changes
	// them. fencingNumber is the highest fencing token of all accepted
	// orders.
	role          string
	version       string
	adapters      []string
	fencingNumber uint64
	// sequences holds the requests with allocated memory, by request ID.
	// usedPieces is the sum of their pieces and never exceeds MemoryPieces.
	sequences  map[string]*sequence
	usedPieces int
	// exports holds, by handle, the prefill results that were not yet fetched,
	// evicted or cancelled.
	exports map[string]*prefillExport
	// prefillCancels cancels the prefills that wait or run, by request ID.
	prefillCancels map[string]context.CancelFunc
	prefillQueue   prefillQueue
	prefixCache    prefixCache
	// Only the token counters of load are always current. reportedLoad is the copy
	// that callers see, updated every LoadLagMilliseconds.
	load         engines.Load
	reportedLoad engines.Load
	// history is nil when no history is written.
	history *json.Encoder
}

// sequence is a request with allocated memory.
type sequence struct {
	prompt string
	pieces int
	// imported is true once the KV cache has been transferred.
	imported bool
	// nextPosition is the output position of the next token, and endPosition
	// that of the end marker.
	nextPosition int
	endPosition  int
	// stream is nil until the first decode call.
	stream chan engines.Token
	// detached is true after the reader has gone and until another decode call
	// resumes the request; decoding continues meanwhile.
	detached bool
	// finishReason is "stop" at the answer's own length and "length" at the
	// call's token limit.
	finishReason string
}

// prefillExport is a prefill result that a decode engine may fetch.
type prefillExport struct {
	request string
	prompt  string
	// position is the number of output tokens that were generated before.
	position int
	// computedTokens excludes the tokens that came from the prefix cache.
	computedTokens int
	evictTimer     *time.Timer
}

func newEngine(s Settings) (*engine, error) {
	e := &engine{
		settings:       s,
		instance:       rand.Text(),
		link:           rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), s.LinkBytesPerSecond/linkChunksPerSecond),
		role:           s.Role,
		version:        s.Version,
		adapters:       s.Adapters,
		sequences:      map[string]*sequence{},
		exports:        map[string]*prefillExport{},
		prefillCancels: map[string]context.CancelFunc{},
		prefixCache:    prefixCache{maxTokens: s.CacheTokens},
		history:        json.NewEncoder(os.Stdout),
	}
	if s.HistoryFile == "" {
		e.history = nil
		return e, nil
	}
	f, err := os.OpenFile(s.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, historyFileMode)
	if err != nil {
		return nil, err
	}
	e.history = json.NewEncoder(f)
	return e, nil
}

// record is one line of the history file.
type record struct {
	Time    time.Time
	Event   string
	Request string
	// Tokens is the number of tokens that the event is about. For a Decode event
	// it is the first output position. For an Order event it is the fencing token,
	// and Request is the role.
	Tokens int
	// Content is the xxHash of the prompt in hexadecimal; only Crash has it.
	Content string `json:",omitempty"`
}

// writeHistory is called with mu held.
func (e *engine) writeHistory(event, request string, n int) {
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

// startImport allocates memory for a request before its transfer starts, and
// frees what the request had before. It reports false when there is not enough
// free memory.
func (e *engine) startImport(c engines.ImportCall) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeSequence(c.Request)
	if e.usedPieces+c.Pieces > e.settings.MemoryPieces {
		return nil, false
	}
	q := &sequence{pieces: c.Pieces}
	e.usedPieces += c.Pieces
	e.sequences[c.Request] = q
	return q, true
}

// finishImport makes a sequence ready to decode after its transfer. It reports
// false when the request was cancelled or imported again meanwhile.
func (e *engine) finishImport(c engines.ImportCall, q *sequence, x engines.Export) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[c.Request] != q {
		return false
	}
	q.prompt, q.nextPosition, q.imported = x.Prompt, x.Position, true
	e.writeHistory("Import", c.Request, x.Tokens)
	return true
}

// abortImport frees the memory of a failed transfer, unless the request was
// cancelled or imported again meanwhile.
func (e *engine) abortImport(c engines.ImportCall, q *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[c.Request] == q {
		e.removeSequence(c.Request)
	}
}

// startDecode starts or resumes the decode of an imported request. It reports
// false when the request is not imported or still has a reader.
func (e *engine) startDecode(c engines.DecodeCall) (<-chan engines.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.sequences[c.Request]
	if q == nil || !q.imported || q.stream != nil && !q.detached {
		return nil, false
	}
	q.nextPosition = c.FromPosition
	q.endPosition, q.finishReason = tokens.AnswerTokens(q.prompt), "stop"
	if c.MaxTokens < q.endPosition {
		q.endPosition, q.finishReason = c.MaxTokens, "length"
	}
	q.stream, q.detached = make(chan engines.Token, tokenBufferSize), false
	e.writeHistory("Decode", c.Request, q.nextPosition)
	return q.stream, true
}

// detach marks a request whose reader has gone, so that another decode call may
// resume it. Meanwhile the request is decoded to its end, unless it is
// cancelled.
func (e *engine) detach(request string, stream <-chan engines.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.sequences[request]; q != nil && q.stream == stream {
		q.detached = true
	}
}

// cancelRequest frees a request's memory, cancels its prefill and discards its
// exports as wasted.
func (e *engine) cancelRequest(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHistory("Cancel", request, 0)
	e.removeSequence(request)
	if cancel := e.prefillCancels[request]; cancel != nil {
		cancel()
	}
	for h, x := range e.exports {
		if x.request == request {
			e.removeExport(h, true)
		}
	}
}

// removeSequence frees a request's memory and closes its token stream. It is
// called with mu held.
func (e *engine) removeSequence(request string) {
	q := e.sequences[request]
	if q == nil {
		return
	}
	delete(e.sequences, request)
	e.usedPieces -= q.pieces
	if q.stream != nil {
		close(q.stream)
	}
}

// removeExport is called with mu held.
func (e *engine) removeExport(handle string, wasted bool) {
	x := e.exports[handle]
	if x == nil {
		return
	}
	x.evictTimer.Stop()
	delete(e.exports, handle)
	if wasted {
		e.load.WastedTokens += uint64(x.computedTokens)
		e.writeHistory("Wasted", x.request, x.computedTokens)
	}
}

// runDecodeSteps runs decode steps on a schedule until the context ends. A sleep
// that lasted too long shortens the next one. Steps missed by more than
// maxStepLag are skipped rather than run in a burst.
func (e *engine) runDecodeSteps(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		if now := time.Now(); next.Before(now.Add(-maxStepLag)) {
			next = now
		}
		next = next.Add(e.decodeStep())
		time.Sleep(time.Until(next))
	}
}

// decodeStep runs one decode step and returns its duration.
func (e *engine) decodeStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for request, q := range e.sequences {
		if q.stream == nil {
			continue
		}
		running++
		e.sendNextToken(request, q)
	}
	microseconds := e.settings.StepMicroseconds + running*e.settings.StepPerRequestMicroseconds
	return time.Duration(microseconds) * time.Microsecond
}

// sendNextToken generates the next token of a request. It does nothing when the
// token buffer is full, unless the reader has gone: then the token is dropped. It is
// called with mu held.
func (e *engine) sendNextToken(request string, q *sequence) {
	t := engines.Token{Position: q.nextPosition}
	if q.nextPosition >= q.endPosition {
		t.End, t.FinishReason = true, q.finishReason
	} else {
		t.Text = tokens.TokenText(q.prompt, q.nextPosition)
	}
	select {
	case q.stream <- t:
	default:
		if !q.detached {
			return
		}
	}
	q.nextPosition++
	if t.End {
		e.writeHistory("Done", request, q.endPosition)
		e.removeSequence(request)
	}
}

func (e *engine) reportLoad(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(e.settings.LoadLagMilliseconds) * time.Millisecond)
		e.mu.Lock()
		e.load.PiecesFree = e.settings.MemoryPieces - e.usedPieces
		e.load.Running = len(e.sequences)
		e.load.Queued = len(e.prefillCancels)
		e.reportedLoad = e.load
		e.mu.Unlock()
	}
}
