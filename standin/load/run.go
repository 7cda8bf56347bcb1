package main

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonyreel/engines"
)

const (
	// maxMicroseconds is the longest latency that is told apart.
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	digits          = 3
	idleConnections = 2000
)

// run is one play of a plan.
type run struct {
	plan Plan
	seed uint64
	http *http.Client

	mu sync.Mutex
	// tallies is keyed by stream name.
	tallies map[string]*tally
	// engines are called by direct streams only.
	engines map[netip.AddrPort]*engines.Client
	// shown is how many answers may still be printed.
	shown int
	// lostCalls counts calls without a whole answer or an honest refusal, and
	// tokens those of all calls.
	lostCalls int
	tokens    int
	// cpu is the processor time that the router's processes took.
	cpu time.Duration
}

// tally is what came of the calls of one stream.
type tally struct {
	Offered int
	Whole   int
	// Good is the whole answers within both targets.
	Good int
	// LateFirst and LateBetween are whole answers that missed a target.
	LateFirst   int
	LateBetween int
	Refused     int
	Cancelled   int
	// Broken ended with an error event or without an end.
	Broken int
	// Wrong had another text than its own.
	Wrong int
	// Late is plain calls answered after their deadline.
	Late          int
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		firstToken:    hdrhistogram.New(1, maxMicroseconds, digits),
		betweenTokens: hdrhistogram.New(1, maxMicroseconds, digits),
	}
}

func newRun(p Plan, seed uint64, show int) *run {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxIdleConns: idleConnections}
	r := &run{plan: p, seed: seed, http: &http.Client{Transport: t}, tallies: map[string]*tally{}, shown: show}
	r.engines = map[netip.AddrPort]*engines.Client{}
	for _, s := range p.Streams {
		r.tallies[s.Name] = newTally()
	}
	return r
}

// play sends all streams and waits for all answers.
func (r *run) play() {
	before := r.plan.usedCPU()
	defer func() { r.cpu = r.plan.usedCPU() - before }()
	var wg sync.WaitGroup
	for i, s := range r.plan.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.send(s, rand.New(rand.NewPCG(r.seed, uint64(i))))
		}()
	}
	wg.Wait()
}

// send starts the calls of one stream with exponential gaps.
func (r *run) send(s Stream, random *rand.Rand) {
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(s.FromSeconds * float64(time.Second))
	rate := r.plan.rate(s)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at.Seconds() > r.plan.end(s) {
			break
		}
		c := r.newCall(s, random, n)
		time.Sleep(time.Until(start.Add(at)))
		counted := r.plan.counts(at)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.note(s, c.do(), counted)
		}()
	}
	wg.Wait()
}

// engine returns the client of one engine.
func (r *run) engine(a netip.AddrPort) *engines.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engines[a] == nil {
		r.engines[a] = engines.NewClient(a)
	}
	return r.engines[a]
}

// note counts what came of one call.
func (r *run) note(s Stream, o outcome, counted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += len(o.gaps)
	if o.kind == broken || o.kind == wrong {
		r.lostCalls++
	}
	if !counted {
		return
	}
	t := r.tallies[s.Name]
	t.Offered++
	switch o.kind {
	case whole:
		t.Whole++
		if o.good {
			t.Good++
		}
		if o.late {
			t.Late++
		}
		if o.lateFirst {
			t.LateFirst++
		}
		if o.lateBetween {
			t.LateBetween++
		}
	case refused:
		t.Refused++
	case cancelled:
		t.Cancelled++
	case broken:
		t.Broken++
	case wrong:
		t.Wrong++
	}
	if o.first > 0 {
		_ = t.firstToken.RecordValue(o.first.Microseconds())
	}
	for _, g := range o.gaps {
		_ = t.betweenTokens.RecordValue(g.Microseconds())
	}
}

// mayShow reports whether one more answer may be printed.
func (r *run) mayShow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shown--
	return r.shown >= 0
}
