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

// prefillQueue lets one prompt at a time through, by priority and arrival. It
// is guarded by the engine's mutex.
type prefillQueue struct {
	busy    bool
	waiting []*turn
	order   int
}

// turn is one prompt that waits.
type turn struct {
	priority int
	order    int
	ready    chan struct{}
}

// enter returns a channel that is closed when the prompt may run.
func (q *prefillQueue) enter(priority int) *turn {
	q.order++
	t := &turn{priority: priority, order: q.order, ready: make(chan struct{})}
	if !q.busy {
		q.busy = true
		close(t.ready)
		return t
	}
	q.waiting = append(q.waiting, t)
	sort.SliceStable(q.waiting, func(i, j int) bool { return q.waiting[i].priority > q.waiting[j].priority })
	return t
}

// leave ends a turn, whether it ran or not.
func (q *prefillQueue) leave(t *turn) {
	for i, w := range q.waiting {
		if w == t {
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

// prefixCache remembers prompts whose KV cache is still there.
type prefixCache struct {
	// limit is in tokens.
	limit   int
	used    int
	prompts []string
	// events are published late and with gaps.
	events []cacheEvent
}

// cacheEvent tells that a prompt entered the cache.
type cacheEvent struct {
	Number int
	Tokens int
	At     time.Time
}

// hit returns how many tokens of a prompt are cached.
func (c *prefixCache) hit(prompt string) int {
	best := 0
	for _, p := range c.prompts {
		best = max(best, shared(p, prompt))
	}
	return best / tokens.BytesPerToken
}

func shared(a, b string) int {
	n := min(len(a), len(b))
	if strings.HasPrefix(a, b[:n]) {
		return n
	}
	return sort.Search(n, func(i int) bool { return a[:i+1] != b[:i+1] })
}

// add remembers a prompt and forgets the oldest ones beyond the limit.
func (c *prefixCache) add(prompt string) {
	n := tokens.Count(prompt)
	c.prompts = append(c.prompts, prompt)
	c.used += n
	for c.used > c.limit && len(c.prompts) > 1 {
		c.used -= tokens.Count(c.prompts[0])
		c.prompts = c.prompts[1:]
	}
	c.events = append(c.events, cacheEvent{Number: len(c.events) + 1, Tokens: n, At: time.Now()})
}

// prefill computes a prompt's KV cache and exports it.
func (e *engine) prefill(ctx context.Context, c engines.PrefillCall) (engines.PrefillResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.prefilling[c.Request] = cancel
	t := e.queue.enter(c.Priority)
	e.mu.Unlock()
	defer e.endPrefill(c.Request, t)
	select {
	case <-ctx.Done():
		return engines.PrefillResult{}, ctx.Err()
	case <-t.ready:
	}
	n, cached := e.work(c)
	start := time.Now()
	if !spend(ctx, time.Duration(n-cached)*time.Second/time.Duration(e.settings.PrefillTokensPerSecond)) {
		e.cutShort(c, n-cached, time.Since(start))
		return engines.PrefillResult{}, ctx.Err()
	}
	return e.export(c, n, cached), nil
}

// work returns the tokens of a prompt and how many of them are cached.
func (e *engine) work(c engines.PrefillCall) (int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := tokens.Count(c.Prompt) + c.Position
	cached := min(e.cache.hit(c.Prompt), n-1)
	e.load.PrefillTokens += uint64(n - cached)
	e.note("Prefill", c.Request, n-cached)
	return n, cached
}

// cutShort counts the part of a prefill that was done before it was cancelled:
// all of it is wasted.
func (e *engine) cutShort(c engines.PrefillCall, planned int, spent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	done := min(planned, int(spent.Seconds()*float64(e.settings.PrefillTokensPerSecond)))
	e.load.PrefillTokens -= uint64(planned - done)
	e.load.WastedTokens += uint64(done)
	e.note("Wasted", c.Request, done)
}

func spend(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (e *engine) endPrefill(request string, t *turn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.prefilling, request)
	e.queue.leave(t)
}

// export keeps a result for a short time.
func (e *engine) export(c engines.PrefillCall, n, cached int) engines.PrefillResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(c.Prompt)
	h := rand.Text()
	lives := time.Duration(e.settings.EvictMilliseconds) * time.Millisecond
	x := &export{request: c.Request, prompt: c.Prompt, position: c.Position, tokens: n - cached}
	x.evict = time.AfterFunc(lives, func() { e.evict(h) })
	e.exports[h] = x
	return engines.PrefillResult{
		Handle:            h,
		PromptTokens:      n,
		CachedTokens:      cached,
		Bytes:             uint64(n) * uint64(e.settings.BytesPerToken),
		LivesMilliseconds: lives.Milliseconds(),
	}
}

func (e *engine) evict(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExport(handle, true)
}
