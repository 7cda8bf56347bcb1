package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
)

const (
	// rejectTime is how long an engine takes to turn a prompt away.
	rejectTime = 5 * time.Millisecond
	// minPrefilled is the share of prompts above which nearly all are computed by
	// prefill engines.
	minPrefilled = 0.95
)

// sizedFleet is a fleet with a number of entries.
type sizedFleet struct {
	*staticFleet
	entries int
}

func (f *sizedFleet) Entries() int { return f.entries }

// rejectingEngines are model engines that turn a share of the prompts away, reset a share
// of the connections without accepting the prompt, and fail a share of the requests to
// decode. They record when requests arrive.
type rejectingEngines struct {
	fakeEngines
	random                        *rand.Rand
	rejecting, resetting, failing float64
	// arrived holds the requests that have arrived, and accepted those of which an engine
	// has accepted a prefill.
	arrived, accepted map[string]bool
	// extra is when requests arrived beyond the first of each call. The first prefill that
	// an engine accepts is not one.
	extra []time.Time
}

func (e *rejectingEngines) Reserve(context.Context, Endpoint, int, time.Duration) (string, error) {
	return "reservation", nil
}

func (e *rejectingEngines) Prefill(ctx context.Context, c *Call, t Attempt) (Handle, error) {
	e.mu.Lock()
	rejected, reset := e.random.Float64() < e.rejecting, e.random.Float64() < e.resetting
	if rejected || reset || e.accepted[c.ID] {
		e.arrive(c)
	} else {
		e.accepted[c.ID] = true
	}
	e.mu.Unlock()
	if rejected {
		clock.Sleep(ctx, rejectTime)
		return Handle{}, &NotRunError{Status: http.StatusServiceUnavailable}
	}
	if reset {
		return Handle{}, io.ErrUnexpectedEOF
	}
	return e.fakeEngines.Prefill(ctx, c, t)
}

func (e *rejectingEngines) Send(_ context.Context, c *Call, _ Attempt) (*Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrive(c)
	if e.random.Float64() < e.failing {
		return nil, io.ErrUnexpectedEOF
	}
	return &Reply{Status: http.StatusOK, Events: true, Header: http.Header{}, Body: io.NopCloser(streamOf([]string{"1"}))}, nil
}

// prefilledCount returns the number of prompts computed.
func (e *rejectingEngines) prefilledCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefills
}

// arrive records a request. e.mu must be held.
func (e *rejectingEngines) arrive(c *Call) {
	if e.arrived[c.ID] {
		e.extra = append(e.extra, time.Now())
	}
	e.arrived[c.ID] = true
}

// prefillLoad offers calls to the relays of a fleet.
type prefillLoad struct {
	budget   RetryBudget
	random   *rand.Rand
	engines  *rejectingEngines
	relays   []*Relay
	requests []time.Time
}

func newPrefillLoad(t *testing.T, entries int, slack float64) *prefillLoad {
	t.Helper()
	l := &prefillLoad{
		random:  rand.New(rand.NewPCG(3, 4)),
		budget:  RetryBudget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second},
		engines: &rejectingEngines{random: rand.New(rand.NewPCG(1, 2)), arrived: map[string]bool{}, accepted: map[string]bool{}},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &sizedFleet{staticFleet: &staticFleet{document: readDocument(t), endpoints: sixEngines(2)}, entries: entries}
	for range entries {
		l.relays = append(l.relays, New(f, l.engines, l.engines, &scriptedEndpoints{}, "osu", l.budget, newDecisionLog(t, log), logrus.NewEntry(log)))
	}
	return l
}

// offer offers calls at a rate per second and reports how many were answered and
// prefilled.
func (l *prefillLoad) offer(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var rate, seconds float64
	d.ScanArgs(t, "rate", &rate)
	d.ScanArgs(t, "seconds", &seconds)
	l.engines.rejecting, l.engines.resetting, l.engines.failing = 0, 0, 0
	d.MaybeScanArgs(t, "resetting", &l.engines.resetting)
	d.MaybeScanArgs(t, "rejecting", &l.engines.rejecting)
	d.MaybeScanArgs(t, "failing", &l.engines.failing)
	before := l.engines.prefilledCount()
	var done sync.WaitGroup
	var callers []*recordingCaller
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); {
		time.Sleep(time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)))
		c := &recordingCaller{}
		r, id := l.relays[l.random.IntN(len(l.relays))], fmt.Sprint(len(l.requests))
		l.requests, callers = append(l.requests, time.Now()), append(callers, c)
		done.Go(func() {
			r.Serve(t.Context(), &Call{
				ID: id, Method: http.MethodPost, Host: "desk.example", Path: "/letters/1", Target: "/letters/1", Header: http.Header{},
				Arrived: time.Now(), Prompt: Prompt{Model: "m", Tokens: promptTokens, ExpectedOutput: outputTokens, MaxOutput: 1800},
			}, c)
		})
		synctest.Wait()
	}
	done.Wait()
	out := "answered: all\n"
	if slices.ContainsFunc(callers, func(c *recordingCaller) bool { return c.out.String() != "begin\nevent 1\n" }) {
		out = "answered: some\n"
	}
	if float64(l.engines.prefilledCount()-before) > minPrefilled*float64(len(callers)) {
		out += "prefilled: nearly all\n"
	}
	return out
}

// check reports whether the requests beyond the first of each call are within the
// budget.
func (l *prefillLoad) check() string {
	s := &budgetSimulation{budget: l.budget, requests: l.requests, retries: l.engines.extra}
	return s.check()
}

// TestRejectedPrefillsWithinBudget guards against prefills that engines turn away, or do
// not answer, without a charge to the retry budget, which broke it on days of shedding and
// of resetting engines.
func TestRejectedPrefillsWithinBudget(t *testing.T) {
	datadriven.Walk(t, "testdata/prefills", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var l *prefillLoad
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "fleet":
					var entries int
					var slack float64
					d.ScanArgs(t, "entries", &entries)
					d.ScanArgs(t, "slack", &slack)
					l = newPrefillLoad(t, entries, slack)
					return ""
				case "load":
					return l.offer(t, d)
				case "check":
					return l.check()
				}
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			})
		})
	})
}
