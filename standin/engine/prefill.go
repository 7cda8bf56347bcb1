package main

import (
	"context"
	"crypto/rand"
	"sort"
	"strings"
	"time"

	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// prefillQueue runs one prompt at a time, ordered by priority (highest first)
// and then by arrival. It is guarded by the engine's mutex.
type prefillQueue struct {
	busy bool
	// waiting is in the order in which the prompts will run.
	waiting     []*queuedPrefill
	lastArrival int
}

// queuedPrefill is a prompt that waits or runs.
type queuedPrefill struct {
	priority int
	arrival  int
	// ready is closed when the prompt may run.
	ready chan struct{}
}

func (q *prefillQueue) enqueue(priority int) *queuedPrefill {
	q.lastArrival++
	p := &queuedPrefill{priority: priority, arrival: q.lastArrival, ready: make(chan struct{})}
	if !q.busy {
		q.busy = true
		close(p.ready)
		return p
	}
	q.waiting = append(q.waiting, p)
	sort.SliceStable(q.waiting, func(i, j int) bool { return q.waiting[i].priority > q.waiting[j].priority })
	return p
}

// release removes a prompt that still waits. For the running prompt it starts
// the next one.
func (q *prefillQueue) release(p *queuedPrefill) {
	for i, w := range q.waiting {
		if w == p {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return
		}
	}
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(next.ready)
}

// prefixCache holds the prompts whose KV cache can be reused, and evicts the
// oldest ones first.
type prefixCache struct {
	maxTokens int
	// usedTokens exceeds maxTokens only when a lone prompt is longer than that.
	usedTokens int
	// prompts has the oldest prompt first.
	prompts []string
	// events has one event for each added prompt; it is not truncated.
	events []cacheEvent
}

// cacheEvent reports that a prompt was added to the cache.
type cacheEvent struct {
	// Number counts events from 1.
	Number int
	Tokens int
	At     time.Time
}

// cachedTokens returns the length in tokens of the longest prefix that a prompt
// shares with a cached one.
func (c *prefixCache) cachedTokens(prompt string) int {
	longest := 0
	for _, p := range c.prompts {
		longest = max(longest, commonPrefixBytes(p, prompt))
	}
	return longest / tokens.BytesPerToken
}

func commonPrefixBytes(a, b string) int {
	n := min(len(a), len(b))
	if strings.HasPrefix(a, b[:n]) {
		return n
	}
	return sort.Search(n, func(i int) bool { return a[:i+1] != b[:i+1] })
}

func (c *prefixCache) add(prompt string) {
	n := tokens.PromptTokens(prompt)
	c.prompts = append(c.prompts, prompt)
	c.usedTokens += n
	for c.usedTokens > c.maxTokens && len(c.prompts) > 1 {
		c.usedTokens -= tokens.PromptTokens(c.prompts[0])
		c.prompts = c.prompts[1:]
	}
	c.events = append(c.events, cacheEvent{Number: len(c.events) + 1, Tokens: n, At: time.Now()})
}

// prefill waits for the prompt's turn in the queue, sleeps for the duration of
// its prefill and exports the result. It returns the context's error when the
// call or the request is cancelled first.
func (e *engine) prefill(ctx context.Context, c engines.PrefillCall) (engines.PrefillResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.prefillCancels[c.Request] = cancel
	p := e.prefillQueue.enqueue(c.Priority)
	e.mu.Unlock()
	defer e.endPrefill(c.Request, p)
	select {
	case <-ctx.Done():
		return engines.PrefillResult{}, ctx.Err()
	case <-p.ready:
	}
	n, cached := e.startPrefill(c)
	start := time.Now()
	if !sleep(ctx, time.Duration(n-cached)*time.Second/time.Duration(e.settings.PrefillTokensPerSecond)) {
		e.recordCancelledPrefill(c, n-cached, time.Since(start))
		return engines.PrefillResult{}, ctx.Err()
	}
	return e.storeExport(c, n, cached), nil
}

// startPrefill records the start of a prefill. It returns the number of tokens
// of the prompt with its earlier output, and how many of them are cached. At
// least one token is always computed.
func (e *engine) startPrefill(c engines.PrefillCall) (int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := tokens.PromptTokens(c.Prompt) + c.Position
	cached := min(e.prefixCache.cachedTokens(c.Prompt), n-1)
	e.load.PrefillTokens += uint64(n - cached)
	e.writeHistory("Prefill", c.Request, n-cached)
	return n, cached
}

// recordCancelledPrefill corrects the counters after a cancelled prefill: only
// the tokens computed until then count, and all of them as wasted.
func (e *engine) recordCancelledPrefill(c engines.PrefillCall, plannedTokens int, elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	computed := min(plannedTokens, int(elapsed.Seconds()*float64(e.settings.PrefillTokensPerSecond)))
	e.load.PrefillTokens -= uint64(plannedTokens - computed)
	e.load.WastedTokens += uint64(computed)
	e.writeHistory("Wasted", c.Request, computed)
}

// sleep reports false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (e *engine) endPrefill(request string, p *queuedPrefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.prefillCancels, request)
	e.prefillQueue.release(p)
}

// storeExport adds a prefill's prompt to the prefix cache and keeps its result
// for EvictMilliseconds.
func (e *engine) storeExport(c engines.PrefillCall, n, cached int) engines.PrefillResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixCache.add(c.Prompt)
	h := rand.Text()
	lifetime := time.Duration(e.settings.EvictMilliseconds) * time.Millisecond
	x := &prefillExport{request: c.Request, prompt: c.Prompt, position: c.Position, computedTokens: n - cached}
	x.evictTimer = time.AfterFunc(lifetime, func() { e.evictExport(h) })
	e.exports[h] = x
	return engines.PrefillResult{
		Handle:            h,
		PromptTokens:      n,
		CachedTokens:      cached,
		Bytes:             uint64(n) * uint64(e.settings.BytesPerToken),
		LivesMilliseconds: lifetime.Milliseconds(),
	}
}

func (e *engine) evictExport(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExport(handle, true)
}
