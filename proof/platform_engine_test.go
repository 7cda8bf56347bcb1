package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
	"ebonyreel/standin/ports"
)

const (
	// platformDowntime is how long a crashed engine is gone, and platformCrashDelay how
	// long it runs a call with a crashing part.
	platformDowntime   = 3 * time.Second
	platformCrashDelay = 115 * time.Millisecond
	// platformRenewal is the time between two announcements of an engine.
	platformRenewal = 400 * time.Millisecond
	// platformEvents is the number of events in an answer, and platformGap the time
	// between two of them.
	platformEvents = 10
	platformGap    = 100 * time.Millisecond
	// crashingPartID is the part of a prompt on which engines crash.
	crashingPartID = "bad"
)

// platformEngines are the engines of a test on the users' platform, and what they saw.
type platformEngines struct {
	t        *testing.T
	controls []netip.AddrPort

	mu     sync.Mutex
	starts int
	// running are the engines that run, by name.
	running map[string]*platformEngine
	// words are what engines said of themselves in answers, and arrivals the calls that
	// reached them, of the entries that the IDs of the calls name.
	words    []engineWord
	arrivals []engineArrival
	// crashes and reached are when an engine crashed, and when a call with the crashing
	// part reached an engine.
	crashes, reached []time.Time
	// ends are the ways in which engines end by the crashing part, of which random draws
	// one for each call; none stands for a break before the first event.
	ends   []string
	random *rand.Rand
}

// announcedEndpoint is what one start of an endpoint announces of itself.
type announcedEndpoint struct {
	service string
	name    string
	address netip.AddrPort
	born    time.Time
	// stage is empty for a plain service.
	stage string
	// version is that of its software.
	version string
	// seq is the number of the last announcement.
	seq uint64
}

// platformEngine is one start of an engine. It speaks the protocol of the platform.
type platformEngine struct {
	engines *platformEngines
	server  *http.Server
	stop    context.CancelFunc

	// mu guards the stage, leaves, pausedUntil, connections and ended.
	mu sync.Mutex
	announcedEndpoint
	// leaves is true once the engine says so in its answers, and pausedUntil is until when
	// it turns calls away.
	leaves      bool
	pausedUntil time.Time
	// connections are those that are open.
	connections map[net.Conn]bool
	// ended is true once the engine has crashed.
	ended bool
}

// start starts an engine of a version at an address until the context ends.
func (p *platformEngines) start(ctx context.Context, address netip.AddrPort, stage, version string) {
	p.mu.Lock()
	p.starts++
	name := fmt.Sprintf("i-%d", p.starts)
	p.mu.Unlock()
	p.startNamed(ctx, name, address, stage, version)
}

// startNamed starts an engine under a name, which an engine that has ended may have had.
func (p *platformEngines) startNamed(ctx context.Context, name string, address netip.AddrPort, stage, version string) {
	e := &platformEngine{engines: p, announcedEndpoint: announcedEndpoint{
		service: "engines", name: name, address: address, born: time.Now(), stage: stage, version: version,
	}}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		p.t.Error(err)
		return
	}
	running, stop := context.WithCancel(ctx)
	e.stop, e.server = stop, &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: e.track}
	p.mu.Lock()
	if p.running == nil {
		p.running = map[string]*platformEngine{}
	}
	p.running[e.name] = e
	p.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for n := 0; ; n++ {
			a := e.announcedEndpoint
			a.seq, a.stage = uint64(n), e.currentStage()
			a.announce(running, p.t, p.controls[n%len(p.controls)])
			if !clock.Sleep(running, platformRenewal) {
				_ = e.server.Close()
				return
			}
		}
	}()
}

// announce sends one announcement to a control host. A failure is made up for by the
// next one.
func (e *announcedEndpoint) announce(ctx context.Context, t *testing.T, to netip.AddrPort) {
	e.seq++
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address.String(), "zone": "osu", "version": e.version, "slots": 12, "state": "ready", "coldLeftMs": 0,
		"stage": e.stage, "models": []any{}, "seq": e.seq, "born": e.born.UnixMilli(),
	})
	if err != nil {
		t.Error(err)
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/instances/%s", to, e.name), bytes.NewReader(b))
	if err != nil {
		t.Error(err)
		return
	}
	if res, err := http.DefaultClient.Do(r); err == nil {
		_ = res.Body.Close()
	}
}

// crash breaks all connections, and starts the engine under another name later.
func (e *platformEngine) crash() {
	if e.endsNow() {
		e.retire()
		e.startAgain(platformDowntime, "")
	}
}

// endsNow counts a crash, unless the engine has ended before.
func (e *platformEngine) endsNow() bool {
	e.mu.Lock()
	ended := e.ended
	e.ended = true
	e.mu.Unlock()
	if !ended {
		e.countCrash()
	}
	return !ended
}

func (e *platformEngine) countCrash() {
	p := e.engines
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// startAgain starts the engine again at its address later, under a name or another one
// than before.
func (e *platformEngine) startAgain(after time.Duration, name string) {
	p := e.engines
	time.AfterFunc(after, func() {
		switch {
		case p.t.Context().Err() != nil:
		case name != "":
			p.startNamed(p.t.Context(), name, e.address, e.currentStage(), e.version)
		default:
			p.start(p.t.Context(), e.address, e.currentStage(), e.version)
		}
	})
}

// retire ends an engine for good.
func (e *platformEngine) retire() {
	p := e.engines
	p.mu.Lock()
	delete(p.running, e.name)
	p.mu.Unlock()
	e.stop()
	_ = e.server.Close()
}

// find returns an engine of a stage and a version that runs, or nil. Empty ones stand for
// any.
func (p *platformEngines) find(stage, version string) *platformEngine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.running {
		if (stage == "" || e.currentStage() == stage) && (version == "" || e.version == version) {
			return e
		}
	}
	return nil
}

func (e *platformEngine) currentStage() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

// ServeHTTP serves orders, reservations and calls.
func (e *platformEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	switch {
	case r.Header.Get("X-Expect-Instance") != e.name:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.turnsAway(w, r):
	case r.URL.Path == "/report":
		e.reply(w, map[string]any{"stage": e.currentStage(), "born": e.born.UnixMilli()})
	case r.URL.Path == "/hold-take":
		e.reply(w, map[string]any{"hold": fmt.Sprint("h-", time.Now().UnixNano())})
	case r.URL.Path == "/order":
		var order struct{ Stage string }
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		e.stage = order.Stage
		e.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
	default:
		e.call(w, r)
	}
}

func (e *platformEngine) reply(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.engines.t.Log(err)
	}
}

// call serves a prefill or an answer.
func (e *platformEngine) call(w http.ResponseWriter, r *http.Request) {
	bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPartID+":")
	if bad {
		e.engines.mu.Lock()
		e.engines.reached = append(e.engines.reached, time.Now())
		e.engines.mu.Unlock()
	}
	if r.Header.Get("X-Stage") == "prefill" {
		clock.Sleep(r.Context(), platformGap/2)
		if bad && e.engines.drawEnd() == endInPrefill {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		e.reply(w, map[string]any{"kvHandle": fmt.Sprint("k-", time.Now().UnixNano()), "tokens": 3000, "version": 1})
		return
	}
	w.Header().Set("X-Server-Seal", "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	end := ""
	if bad {
		end = e.engines.drawEnd()
	}
	if end == endUnframed {
		e.endUnframed(w, r)
		panic(http.ErrAbortHandler)
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	if bad {
		if serve := engineEnds[end]; serve != nil {
			serve(e, w, r)
		} else if clock.Sleep(r.Context(), platformCrashDelay) {
			e.crash()
		}
		panic(http.ErrAbortHandler)
	}
	e.writeEvents(w, r, nextEvent(r.Header.Get("Last-Event-Id")), platformEvents)
}

// writeEvents writes the events of an answer from one ID until before another, and reports
// whether the caller stayed.
func (e *platformEngine) writeEvents(w http.ResponseWriter, r *http.Request, from, until int) bool {
	for i := from; i < until; i++ {
		if !clock.Sleep(r.Context(), platformGap) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.version); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
	}
	return true
}

// nextEvent returns the ID of the event after the last one that a caller has received.
func nextEvent(last string) int {
	n, err := strconv.Atoi(last)
	if err != nil {
		return 0
	}
	return n + 1
}

// newPlatformRequest returns a request to an entry for a stream, with parts of its prompt.
func newPlatformRequest(ctx context.Context, entry *process, id string, parts ...string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address.String()+"/letters/1", strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	r.Host = "desk.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "14000")
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Count", "3000,100")
	r.Header.Set("X-Credential", "free-key")
	r.Header.Set("X-Prompt-Prefix", strings.Join(append(parts, id), ":100,")+":100")
	return r, nil
}

// platformCall makes a call to an entry, with parts of its prompt, and reports whether
// its stream began and how it ended.
func platformCall(ctx context.Context, entry *process, id string, parts ...string) (begun bool, status int) {
	r, err := newPlatformRequest(ctx, entry, id, parts...)
	if err != nil {
		return false, 0
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, 0
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode == http.StatusOK && strings.Contains(string(b), "id: 0\n"), res.StatusCode
}

// newPlatformEngines starts decode and prefill engines that announce themselves to
// control hosts. The versions of the engines of a stage take turns.
func newPlatformEngines(t *testing.T, controls []netip.AddrPort, decode, prefill int, versions ...string) *platformEngines {
	t.Helper()
	p := &platformEngines{t: t, controls: controls}
	p.startStages(decode, prefill, versions...)
	return p
}

// startStages starts decode and prefill engines at addresses of their own. The versions of
// the engines of a stage take turns.
func (p *platformEngines) startStages(decode, prefill int, versions ...string) {
	for i := range decode + prefill {
		stage := "decode"
		if i >= decode {
			stage = "prefill"
		}
		p.start(p.t.Context(), ports.Free(), stage, versions[i%len(versions)])
	}
}
