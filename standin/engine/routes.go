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
	// decodeCrashMarker in a prompt makes the engine exit when it decodes the
	// request, and prefillCrashMarker when it prefills it.
	decodeCrashMarker  = "CRASH-DECODE"
	prefillCrashMarker = "CRASH-PREFILL"
	crashExitCode      = 3
	percent            = 100
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

// readJSON decodes the request body into v. On failure it answers with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var c engines.PrefillCall
	if !readJSON(w, r, &c) {
		return
	}
	if strings.Contains(c.Prompt, prefillCrashMarker) {
		e.mu.Lock()
		e.crash(c.Request, c.Prompt)
	}
	res, err := e.prefill(r.Context(), c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, res)
}

// handleExport sends a prefill result at the rate of the link and then removes
// it. A result whose transfer is broken off counts as wasted.
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
	x.evictTimer.Stop()
	if err := e.transfer(r.Context(), x); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.removeExport(h, true)
		return
	}
	writeJSON(w, engines.Export{Prompt: x.prompt, Position: x.position, Tokens: x.computedTokens})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExport(h, false)
}

// transfer waits for as long as the KV cache takes on the link, which all
// transfers share.
func (e *engine) transfer(ctx context.Context, x *prefillExport) error {
	remaining := (x.computedTokens + x.position) * e.settings.BytesPerToken
	for remaining > 0 {
		n := min(remaining, e.link.Burst())
		if err := e.link.WaitN(ctx, n); err != nil {
			return err
		}
		remaining -= n
	}
	return nil
}

func (e *engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var c engines.ImportCall
	if !readJSON(w, r, &c) {
		return
	}
	q, ok := e.startImport(c)
	if !ok {
		http.Error(w, "no memory", http.StatusInsufficientStorage)
		return
	}
	x, status := fetchExport(r.Context(), c)
	if status != http.StatusOK {
		e.abortImport(c, q)
		http.Error(w, "export is gone", status)
		return
	}
	if !e.finishImport(c, q, x) {
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// fetchExport reads an export from another engine. It returns status 200, 400
// for a malformed call, or 410 when the other engine does not deliver it.
func fetchExport(ctx context.Context, c engines.ImportCall) (engines.Export, int) {
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

// handleDecode streams tokens as JSON lines. When the reader goes away, the
// request keeps its memory until it ends or the agent cancels it.
func (e *engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	var c engines.DecodeCall
	if !readJSON(w, r, &c) {
		return
	}
	stream, ok := e.startDecode(c)
	if !ok {
		http.Error(w, "request is not imported", http.StatusNotFound)
		return
	}
	e.crashIfMarked(c.Request)
	_ = http.NewResponseController(w).Flush()
	defer e.detach(c.Request, stream)
	lines := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case t, ok := <-stream:
			if !ok || lines.Encode(t) != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func (e *engine) crashIfMarked(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.sequences[request]; q != nil && strings.Contains(q.prompt, decodeCrashMarker) {
		e.crash(request, q.prompt)
	}
}

// crash records a hash of the prompt in the history and ends the process. It is
// called with mu held.
func (e *engine) crash(request, prompt string) {
	promptHash := strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	if e.history != nil {
		_ = e.history.Encode(record{Time: time.Now(), Event: "Crash", Request: request, Content: promptHash})
	}
	os.Exit(crashExitCode)
}

func (e *engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c engines.CancelCall
	if !readJSON(w, r, &c) {
		return
	}
	e.cancelRequest(c.Request)
	w.WriteHeader(http.StatusNoContent)
}

func (e *engine) handleRunning(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engines.Running{Instance: e.instance, PiecesUsed: e.usedPieces}
	for request := range e.sequences {
		out.Requests = append(out.Requests, request)
	}
	for request := range e.prefillCancels {
		out.Requests = append(out.Requests, request)
	}
	for _, x := range e.exports {
		out.Exports = append(out.Exports, x.request)
	}
	writeJSON(w, out)
}

func (e *engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.reportedLoad)
}

// handleEvents lists the cache events with a number above From. Events younger
// than EventLagMilliseconds are left out, and so are others at random.
func (e *engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	lag := time.Duration(e.settings.EventLagMilliseconds) * time.Millisecond
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, v := range e.prefixCache.events {
		if v.Number > from && time.Since(v.At) >= lag && rand.IntN(percent) >= e.settings.EventGapPercent {
			out = append(out, v)
		}
	}
	writeJSON(w, out)
}

// handleOrder changes the engine's role, version and adapters. An engine with
// ChecksFencing refuses a fencing token below the highest one so far.
func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engines.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.FencingNumber < e.fencingNumber {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fencingNumber = max(e.fencingNumber, o.FencingNumber)
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Version != "" {
		e.version, e.adapters = o.Version, o.Adapters
	}
	e.writeHistory("Order", o.Role, int(o.FencingNumber))
	w.WriteHeader(http.StatusNoContent)
}
