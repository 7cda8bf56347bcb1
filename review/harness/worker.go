package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is one start of a worker: a model worker where stage is set, otherwise a plain one.
type worker struct {
	id      string
	service string
	address string
	stage   string
	version string
	born    time.Time
	// firstPing is how long after its start its first ping is sent.
	firstPing time.Duration
	// events is the number of events of a stream, and gap the time between two.
	events int
	gap    time.Duration
	record *record
	// controls are the hosts of control that it sends its pings to.
	controls []string
	// handle, if set, takes the calls of routes in place of the usual answer.
	handle func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) bool

	server *http.Server
	stop   context.CancelFunc
	state  atomic.Value
	seq    atomic.Uint64
	// leaves is true once the worker sends no more pings.
	leaves atomic.Bool
	holds  atomic.Uint64

	mu   sync.Mutex
	runs map[string]int
}

const heartbeat = 1200 * time.Millisecond

// start starts the worker at its address.
func (w *worker) start(ctx context.Context) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, w.stop = context.WithCancel(ctx)
	w.born, w.runs = time.Now(), map[string]int{}
	w.state.Store("ready")
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go func() {
		if !sleep(ctx, w.firstPing) {
			return
		}
		for n := 0; ; n++ {
			w.ping(w.controls[n%len(w.controls)])
			if !sleep(ctx, heartbeat) || w.leaves.Load() {
				return
			}
		}
	}()
	w.record.printf("%s (%s) starts with version %s", w.id, w.service, w.version)
	return nil
}

// ping announces the worker to a host of control, and to the others where that does not
// acknowledge it.
func (w *worker) ping(first string) bool {
	b, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "osu", "version": w.version, "slots": 12, "state": w.state.Load(), "coldLeftMs": 0,
		"stage": w.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": w.seq.Add(1), "born": w.born.UnixMilli(),
	})
	if err != nil {
		return false
	}
	next := append([]string{first}, slices.DeleteFunc(slices.Clone(w.controls), func(c string) bool { return c == first })...)
	for _, c := range next {
		if w.leaves.Load() {
			return false
		}
		r, err := http.NewRequest(http.MethodPut, "http://"+c+"/instances/"+w.id, bytes.NewReader(b))
		if err != nil {
			return false
		}
		res, err := quick.Do(r)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// crash ends the worker at once, with all its channels.
func (w *worker) crash() {
	w.stop()
	_ = w.server.Close()
	w.record.printf("%s stops", w.id)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		rw.Header().Set("X-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		rw.Header().Set("X-Instance-Id", w.id)
	case r.URL.Path == "/report":
		fmt.Fprintf(rw, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":33466,"kvHandles":0,"born":%d}`, w.stage, w.born.UnixMilli())
	case r.URL.Path == "/hold-take":
		fmt.Fprintf(rw, `{"hold":"%s-%d"}`, w.id, w.holds.Add(1))
	case r.URL.Path == "/order":
		rw.WriteHeader(http.StatusOK)
	case r.Method == http.MethodDelete:
		rw.WriteHeader(http.StatusOK)
	case w.handle != nil && w.handle(w, rw, r, body):
	case w.stage != "":
		w.stream(rw, r)
	default:
		w.answer(rw, r)
	}
}

// answer answers a plain request.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request) {
	w.ran(r)
	rw.Header().Set("X-Server-Seal", w.id)
	fmt.Fprintf(rw, "%s by %s\n", r.URL.Path, w.id)
}

// ran notes that the worker runs a request.
func (w *worker) ran(r *http.Request) {
	w.mu.Lock()
	w.runs[r.Header.Get("X-Attempt-Id")]++
	w.mu.Unlock()
	w.record.printf("%s runs %s %s %s", w.id, r.Header.Get("X-Attempt-Id"), r.Method, r.URL.Path)
}

// stream answers with the events after Last-Event-Id. Each event carries the version of the
// software that made it.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	next := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		next = n + 1
	}
	w.record.printf("%s runs %s from event %d, version %s", w.id, r.Header.Get("X-Attempt-Id"), next, w.version)
	rw.Header().Set("X-Server-Seal", w.id)
	rw.Header().Set("X-Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(rw)
	for ; next < w.events; next++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", next, next, w.version)
		if c.Flush() != nil || !sleep(r.Context(), w.gap) {
			return
		}
	}
}

// versionsIn returns the versions that made the events of a text.
func versionsIn(data []string) map[string]int {
	out := map[string]int{}
	for _, s := range data {
		if _, v, ok := strings.Cut(s, " of "); ok {
			out[v]++
		}
	}
	return out
}
