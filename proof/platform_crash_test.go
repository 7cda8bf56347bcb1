package proof

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/clock"
)

const (
	// listenerDelay is how long a dying engine still accepts connections, or how soon the
	// next one has its address.
	listenerDelay = 10 * time.Millisecond
	// endsLength is how long calls are made in a case of TestPlatformCrashingPartEnds.
	endsLength = 20 * time.Second
	// maxEnds bounds the cases that run at once.
	maxEnds = 4
	// endInPrefill is an end by a prefill, and endUnframed one after an event of an answer
	// that ends with its connection.
	endInPrefill = "prefill"
	endUnframed  = "event-unframed"
)

// engineEnd serves a call with the crashing part, and ends the engine.
type engineEnd func(e *platformEngine, w http.ResponseWriter, r *http.Request)

// engineEnds are the ways in which an engine ends by a call, besides endInPrefill and
// endUnframed.
var engineEnds = map[string]engineEnd{
	"restarted": func(e *platformEngine, _ http.ResponseWriter, r *http.Request) {
		if clock.Sleep(r.Context(), platformCrashDelay) && e.endsNow() {
			e.retire()
			e.startAgain(listenerDelay/2, "")
		}
	},
	"same-name": func(e *platformEngine, _ http.ResponseWriter, r *http.Request) {
		if clock.Sleep(r.Context(), platformCrashDelay) && e.endsNow() {
			e.retire()
			e.startAgain(listenerDelay/2, e.name)
		}
	},
	"listener-last": func(e *platformEngine, _ http.ResponseWriter, r *http.Request) {
		if clock.Sleep(r.Context(), platformCrashDelay) {
			e.crashSlowly()
		}
	},
	"garbage": func(e *platformEngine, w http.ResponseWriter, r *http.Request) {
		// A second head is no chunk of the answer whose head was sent.
		e.endUnframed(w, r)
	},
	"events": func(e *platformEngine, w http.ResponseWriter, r *http.Request) {
		const events = 8
		if e.writeEvents(w, r, 0, events) {
			e.crash()
		}
	},
	"caller-gone": func(e *platformEngine, _ http.ResponseWriter, _ *http.Request) {
		if clock.Sleep(e.engines.t.Context(), platformCrashDelay) {
			e.crash()
		}
	},
	"front-stays": func(e *platformEngine, _ http.ResponseWriter, r *http.Request) {
		if clock.Sleep(r.Context(), platformCrashDelay) {
			e.countCrash()
			e.breakConnections()
		}
	},
}

// drawEnd draws the way in which an engine ends by a call.
func (p *platformEngines) drawEnd() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ends) == 0 {
		return ""
	}
	return p.ends[p.random.IntN(len(p.ends))]
}

// track keeps the connections that are open.
func (e *platformEngine) track(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connections == nil {
		e.connections = map[net.Conn]bool{}
	}
	if s == http.StateClosed {
		delete(e.connections, c)
	} else {
		e.connections[c] = true
	}
}

// breakConnections closes all open connections.
func (e *platformEngine) breakConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		_ = c.Close()
	}
	clear(e.connections)
}

// crashSlowly is a crash after which the listener closes later than the connections.
func (e *platformEngine) crashSlowly() {
	if !e.endsNow() {
		return
	}
	e.breakConnections()
	time.Sleep(listenerDelay)
	e.retire()
	e.startAgain(platformDowntime, "")
}

// endUnframed writes one event of an answer that ends with its connection, and crashes.
func (e *platformEngine) endUnframed(w http.ResponseWriter, r *http.Request) {
	if !clock.Sleep(r.Context(), platformCrashDelay) {
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		e.engines.t.Error(err)
		return
	}
	e.track(c, http.StateActive)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n", r.Header.Get("X-Attempt-Id"))
	e.crashSlowly()
}

// TestPlatformCrashingPartEnds guards against calls that share a crashing part of their
// prompts and go on to end engines, because the way in which an engine ends is not taken
// for a crash.
func TestPlatformCrashingPartEnds(t *testing.T) {
	running := make(chan struct{}, maxEnds)
	datadriven.Walk(t, "testdata/crashing_part", func(t *testing.T, path string) {
		t.Parallel()
		running <- struct{}{}
		defer func() { <-running }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := endsPlay{length: endsLength, every: 200 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
			if d.HasArg("end") {
				p.ends = make([]string, 1)
				d.ScanArgs(t, "end", &p.ends[0])
			}
			if d.HasArg("leaves") {
				p.leaving = 1
				p.leaves = scanDuration(t, d, "leaves")
			}
			if d.HasArg("every") {
				p.every = scanDuration(t, d, "every")
			}
			c := p.run(t)
			return fmt.Sprintf("calls beyond the bound: %t\nsound calls begin: %t\n", c.tooMany(), c.served())
		})
	})
}

// TestPlatformCrashingPartSeeds guards against the same where the ways to end, the times
// and the callers who leave vary, and where an entry and the leader of the control hosts are
// killed again and again.
func TestPlatformCrashingPartSeeds(t *testing.T) {
	running := make(chan struct{}, maxEnds)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			random := rand.New(rand.NewPCG(seed, 58))
			p := endsPlay{
				length: endsLength, every: 100*time.Millisecond + time.Duration(random.IntN(900))*time.Millisecond, leaving: random.Float64() / 2,
				leaves: 100*time.Millisecond + time.Duration(random.IntN(300))*time.Millisecond, random: random,
			}
			all := append(slices.Sorted(maps.Keys(engineEnds)), endInPrefill, endUnframed, "")
			for range 1 + random.IntN(3) {
				p.ends = append(p.ends, all[random.IntN(len(all))])
			}
			for range 2 {
				p.kills = append(p.kills, platformCrashFrom+time.Duration(random.Float64()*float64(endsLength/2)))
			}
			slices.Sort(p.kills)
			t.Logf("ends %q every %s, %.2f leave after %s, kills at %s", p.ends, p.every, p.leaving, p.leaves, p.kills)
			p.run(t).check(t)
		})
	}
}

func scanDuration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	t.Helper()
	var s string
	d.ScanArgs(t, key, &s)
	return parseDuration(t, s)
}

func parseDuration(t *testing.T, s string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// endsPlay is a series of sound calls, and of calls with the crashing part.
type endsPlay struct {
	// length is how long calls are made.
	length time.Duration
	// ends are the ways in which engines end.
	ends []string
	// every is the time between two calls with the crashing part. The share leaving of
	// their callers leave after a time.
	every, leaves time.Duration
	leaving       float64
	// kills are when the last entry and the leader of the control hosts are killed, in
	// order. They start again a second later.
	kills []time.Duration
	// random draws the ends and the callers who leave; nil where there are none.
	random *rand.Rand
}

// run makes the calls, and returns what countPartCalls does.
func (p *endsPlay) run(t *testing.T) partCalls {
	t.Helper()
	c, h, engines, entries := startPlatform(t, "v1")
	if len(p.ends) > 0 {
		engines.mu.Lock()
		engines.ends, engines.random = p.ends, rand.New(rand.NewPCG(p.random.Uint64(), 1))
		engines.mu.Unlock()
	}
	start := time.Now()
	var mu sync.Mutex
	var sound []soundCall
	var done sync.WaitGroup
	offer := func(from, interval time.Duration, call func(n int)) {
		done.Go(func() {
			clock.Sleep(t.Context(), from)
			for n := 0; time.Since(start) < p.length; n++ {
				done.Go(func() { call(n) })
				clock.Sleep(t.Context(), interval)
			}
		})
	}
	// The last entry is killed, so that its callers are not counted.
	offer(0, 150*time.Millisecond, func(n int) {
		sent := time.Now()
		ok, _ := platformCall(t.Context(), entries[n%(len(entries)-1)], fmt.Sprint("sound-", n), "first")
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, soundCall{sent: sent, begun: ok})
	})
	offer(platformCrashFrom, p.every, func(n int) {
		timeout := p.length
		mu.Lock()
		if p.leaving > 0 && p.random.Float64() < p.leaving {
			timeout = p.leaves
		}
		mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		platformCall(ctx, entries[n%len(entries)], fmt.Sprint("crashing-", n), "first", crashingPartID)
	})
	done.Go(func() {
		for _, at := range p.kills {
			if !clock.Sleep(t.Context(), time.Until(start.Add(at))) {
				return
			}
			killed := []*process{h.processes[h.leader()], entries[len(entries)-1]}
			for _, k := range killed {
				k.kill()
			}
			clock.Sleep(t.Context(), time.Second)
			for _, k := range killed {
				c.launch(k)
			}
		}
	})
	done.Wait()
	return countPartCalls(t, engines, sound)
}
