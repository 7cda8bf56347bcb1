package main

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonyreel/answers"
	"ebonyreel/engines"
)

const (
	// maxMicroseconds is the longest latency that a histogram records; longer
	// ones are dropped.
	maxMicroseconds    = int64(10 * time.Minute / time.Microsecond)
	significantDigits  = 3
	maxIdleConnections = 2000
)

// run is one execution of a plan.
type run struct {
	plan Plan
	seed uint64
	http *http.Client

	mu sync.Mutex
	// stats is keyed by stream name.
	stats map[string]*streamStats
	// engines are called by direct streams only.
	engines map[netip.AddrPort]*engines.Client
	// printsLeft is how many answers may still be printed; it may be negative.
	printsLeft int
	// lostCalls counts the broken and wrong calls. tokensAfterFirst counts the
	// streamed tokens after the first one of each answer. Both include calls that
	// are not measured.
	lostCalls        int
	tokensAfterFirst int
	// cpuTime is the processor time that the router's processes used in the run.
	cpuTime time.Duration
}

// streamStats counts the measured calls of one stream by outcome.
type streamStats struct {
	// Offered counts all calls.
	Offered int
	// Whole counts the calls that succeeded.
	Whole int
	// Good counts the calls that succeeded within their targets.
	Good int
	// LateFirst and LateBetween count the successful completions that missed a
	// target.
	LateFirst   int
	LateBetween int
	Refused     int
	Cancelled   int
	Broken      int
	Wrong       int
	// Late counts the service calls that succeeded after their deadline.
	Late int
	// firstToken and betweenTokens hold the latencies and the token gaps of the
	// outcomes, in microseconds.
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newStreamStats() *streamStats {
	return &streamStats{
		firstToken:    hdrhistogram.New(1, maxMicroseconds, significantDigits),
		betweenTokens: hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func newRun(p Plan, seed uint64, show int) *run {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections}
	r := &run{plan: p, seed: seed, http: &http.Client{Transport: t}, stats: map[string]*streamStats{}, printsLeft: show}
	r.engines = map[netip.AddrPort]*engines.Client{}
	for _, s := range p.Streams {
		r.stats[s.Name] = newStreamStats()
	}
	return r
}

// execute sends all streams concurrently and waits for all answers.
func (r *run) execute() {
	before := r.plan.routerCPU()
	defer func() { r.cpuTime = r.plan.routerCPU() - before }()
	var wg sync.WaitGroup
	for i, s := range r.plan.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.sendStream(s, rand.New(rand.NewPCG(r.seed, uint64(i))))
		}()
	}
	wg.Wait()
}

// sendStream starts the calls of one stream at exponentially distributed intervals
// and waits for their answers.
func (r *run) sendStream(s Stream, random *rand.Rand) {
	var wg sync.WaitGroup
	start := time.Now()
	offset := time.Duration(s.FromSeconds * float64(time.Second))
	rate := r.plan.rate(s)
	for n := 0; ; n++ {
		offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if offset.Seconds() > r.plan.endSeconds(s) {
			break
		}
		c := r.newCall(s, random, n)
		time.Sleep(time.Until(start.Add(offset)))
		measured := r.plan.isMeasured(offset)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.recordOutcome(s, c.runWithRetries(), measured)
		}()
	}
	wg.Wait()
}

func (r *run) engineClient(a netip.AddrPort) *engines.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engines[a] == nil {
		r.engines[a] = engines.NewClient(a, &answers.Budget{})
	}
	return r.engines[a]
}

func (r *run) recordOutcome(s Stream, o outcome, measured bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokensAfterFirst += len(o.tokenGaps)
	if o.status == broken || o.status == wrong {
		r.lostCalls++
	}
	if !measured {
		return
	}
	t := r.stats[s.Name]
	t.Offered++
	switch o.status {
	case succeeded:
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
	if o.latency > 0 {
		_ = t.firstToken.RecordValue(o.latency.Microseconds())
	}
	for _, g := range o.tokenGaps {
		_ = t.betweenTokens.RecordValue(g.Microseconds())
	}
}

// claimPrint reports whether one more answer may be printed, and counts it.
func (r *run) claimPrint() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.printsLeft--
	return r.printsLeft >= 0
}
