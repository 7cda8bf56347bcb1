package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dghubble/sling"

	"ebonyreel/engines"
)

const (
	// crashMark in a prompt makes the engine die when it decodes it, and
	// prefillCrashMark when it computes it.
	crashMark        = "CRASH-DECODE"
	prefillCrashMark = "CRASH-PREFILL"
	crashStatus      = 3
	percent          = 100
)

func routes(e *engine) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /Prefill", e.handlePrefill)
	m.HandleFunc("GET /Export", e.handleExport)
	m.HandleFunc("POST /Import", e.handleImport)
	m.HandleFunc("POST /Decode", e.handleDecode)
	m.HandleFunc("POST /Cancel", e.handleCancel)
	m.HandleFunc("GET /Running", e.handleRunning)
	m.HandleFunc("GET /Load", e.handleLoad)
	m.HandleFunc("GET /Events", e.handleEvents)
	m.HandleFunc("POST /Order", e.handleOrder)
	return m
}

// read reads a JSON body, or answers that it is wrong.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var c engines.PrefillCall
	if !read(w, r, &c) {
		return
	}
	if strings.Contains(c.Prompt, prefillCrashMark) {
		e.mu.Lock()
		e.die(c.Request, c.Prompt)
	}
	res, err := e.prefill(r.Context(), c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	write(w, res)
}

// handleExport sends a result over the link, which takes its time, and then
// forgets it.
func (e *engine) handleExport(w http.ResponseWriter, r *http.Request) {
	h := r.URL.Query().Get("Handle")
	e.mu.Lock()
	x := e.exports[h]
	e.mu.Unlock()
	if x == nil {
		http.Error(w, "gone", http.StatusGone)
		return
	}
	if rand.IntN(percent) < e.settings.StallPercent {
		<-r.Context().Done()
		return
	}
	x.evict.Stop()
	if err := e.transfer(r.Context(), x); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dropExport(h, true)
		return
	}
	write(w, engines.Export{Prompt: x.prompt, Position: x.position, Tokens: x.tokens})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExport(h, false)
}

// transfer spends the time that a KV cache takes on the shared link.
func (e *engine) transfer(ctx context.Context, x *export) error {
	left := (x.tokens + x.position) * e.settings.BytesPerToken
	for left > 0 {
		n := min(left, e.link.Burst())
		if err := e.link.WaitN(ctx, n); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

func (e *engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var c engines.ImportCall
	if !read(w, r, &c) {
		return
	}
	q, ok := e.allocate(c)
	if !ok {
		http.Error(w, "no memory", http.StatusInsufficientStorage)
		return
	}
	x, status := fetch(r.Context(), c)
	if status != http.StatusOK {
		e.abandon(c, q)
		http.Error(w, "export is gone", status)
		return
	}
	if !e.place(c, q, x) {
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// fetch reads an export from another engine.
func fetch(ctx context.Context, c engines.ImportCall) (engines.Export, int) {
	var x engines.Export
	r, err := sling.New().Base("http://" + c.From.String()).Get("/Export?Handle=" + c.Handle).Request()
	if err != nil {
		return x, http.StatusBadRequest
	}
	res, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return x, http.StatusGone
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return x, http.StatusGone
	}
	if err := json.NewDecoder(res.Body).Decode(&x); err != nil {
		return x, http.StatusGone
	}
	return x, http.StatusOK
}

// handleDecode streams tokens as JSON lines. A reader that goes away leaves
// its request to be cancelled by its agent.
func (e *engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	var c engines.DecodeCall
	if !read(w, r, &c) {
		return
	}
	out, ok := e.begin(c)
	if !ok {
		http.Error(w, "request is not imported", http.StatusNotFound)
		return
	}
	e.crash(c.Request)
	_ = http.NewResponseController(w).Flush()
	defer e.detach(c.Request, out)
	lines := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case t, ok := <-out:
			if !ok || lines.Encode(t) != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// crash ends the process when the prompt says so.
func (e *engine) crash(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.sequences[request]; q != nil && strings.Contains(q.prompt, crashMark) {
		e.die(request, q.prompt)
	}
}

// die ends the process and leaves the content to blame in the history. It is
// called with mu held.
func (e *engine) die(request, prompt string) {
	content := strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	if e.history != nil {
		_ = e.history.Encode(record{Time: time.Now(), Event: "Crash", Request: request, Content: content})
	}
	os.Exit(crashStatus)
}

func (e *engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c engines.CancelCall
	if !read(w, r, &c) {
		return
	}
	e.cancel(c.Request)
	w.WriteHeader(http.StatusNoContent)
}

func (e *engine) handleRunning(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engines.Running{Instance: e.instance, PiecesUsed: e.used}
	for name := range e.sequences {
		out.Requests = append(out.Requests, name)
	}
	for name := range e.prefilling {
		out.Requests = append(out.Requests, name)
	}
	for _, x := range e.exports {
		out.Exports = append(out.Exports, x.request)
	}
	write(w, out)
}

func (e *engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	write(w, e.lagged)
}

// handleEvents lists cache events after a number, late and with gaps.
func (e *engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	lag := time.Duration(e.settings.EventLagMilliseconds) * time.Millisecond
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, v := range e.cache.events {
		if v.Number > from && time.Since(v.At) >= lag && rand.IntN(percent) >= e.settings.EventGapPercent {
			out = append(out, v)
		}
	}
	write(w, out)
}

// handleOrder changes what the engine is. An engine that checks fencing
// numbers refuses an old one.
func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engines.Order
	if !read(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.FencingNumber < e.fence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.FencingNumber)
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Version != "" {
		e.version, e.adapters = o.Version, o.Adapters
	}
	e.note("Order", o.Role, int(o.FencingNumber))
	w.WriteHeader(http.StatusNoContent)
}
