package relay

import (
	"context"
	"errors"
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
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
	"ebonyreel/transport"
)

const (
	// crashEntries is the number of entries, and crashEngines that of engines, of which
	// crashPrefillEngines compute prompts.
	crashEntries        = 4
	crashEngines        = 18
	crashPrefillEngines = 6
	// crashDelay is how long an engine runs a crashing call until it crashes, and
	// crashDowntime how long it is gone.
	crashDelay    = 115 * time.Millisecond
	crashDowntime = 3 * time.Second
	// commitTime is the time that control takes to commit a change.
	commitTime = 20 * time.Millisecond
	// crashesAllowed is the number of crashes after which the bound begins, boundAfter
	// how long after them, and callsAllowed how many crashing calls may reach engines
	// from then on.
	crashesAllowed = 5
	boundAfter     = 3 * time.Second
	callsAllowed   = 3
	// soundAfter is how long after the same crashes sound calls begin again.
	soundAfter = 6 * time.Second
)

// crashingEngines are model engines that crash on one part of a prompt, on the test's
// fake clock. They are the fleet of the entries too.
type crashingEngines struct {
	document *document.Document
	mu       sync.Mutex
	engines  []*crashingEngine
	starts   int
	// crashes and reached are when an engine crashed, and when a crashing call reached
	// an engine.
	crashes, reached []time.Time
}

// crashingEngine is one engine. It gets another name with each start.
type crashingEngine struct {
	endpoint *controlv1.Endpoint
	// crashed is closed at the crash of this start.
	crashed chan struct{}
}

func newCrashingEngines(d *document.Document) *crashingEngines {
	c := &crashingEngines{document: d}
	for i := range crashEngines {
		e := &crashingEngine{}
		c.engines = append(c.engines, e)
		c.start(i)
	}
	return c
}

func (c *crashingEngines) start(i int) {
	role := controlv1.Role_ROLE_DECODE
	if i < crashPrefillEngines {
		role = controlv1.Role_ROLE_PREFILL
	}
	c.starts++
	c.engines[i].crashed = make(chan struct{})
	c.engines[i].endpoint = &controlv1.Endpoint{
		Name: fmt.Sprint("e", c.starts), Lifetime: int64(c.starts), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Serves: "engines", Role: role,
		State: controlv1.EndpointState_ENDPOINT_STATE_READY,
	}
}

func (c *crashingEngines) Document() *document.Document { return c.document }

func (c *crashingEngines) Entries() int { return crashEntries }

func (c *crashingEngines) Changed() <-chan struct{} { return nil }

func (c *crashingEngines) Endpoints(string) []*controlv1.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*controlv1.Endpoint
	for _, e := range c.engines {
		out = append(out, e.endpoint)
	}
	return out
}

// running returns the channel that is closed at the crash of an engine, and a
// *transport.DialError where it is gone.
func (c *crashingEngines) running(name string) (chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		if e.endpoint.GetName() != name {
			continue
		}
		select {
		case <-e.crashed:
		default:
			return e.crashed, nil
		}
	}
	return nil, &transport.DialError{Address: name, Cause: errors.New("refused")}
}

// crash ends an engine, unless it has ended, and starts it again later.
func (c *crashingEngines) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.engines {
		if e.endpoint.GetName() != name {
			continue
		}
		select {
		case <-e.crashed:
			return
		default:
		}
		close(e.crashed)
		c.crashes = append(c.crashes, time.Now())
		time.AfterFunc(crashDowntime, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.start(i)
		})
	}
}

func crashesEngines(c *Call) bool {
	return slices.Contains(c.Prompt.sharedParts(), "bad")
}

func (c *crashingEngines) reach(k *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if crashesEngines(k) {
		c.reached = append(c.reached, time.Now())
	}
}

// Send answers a sound call with a stream of two seconds.
func (c *crashingEngines) Send(ctx context.Context, k *Call, t Attempt) (*Reply, error) {
	crashed, err := c.running(t.Endpoint.Name)
	if err != nil {
		return nil, err
	}
	c.reach(k)
	pr, pw := io.Pipe()
	go func() {
		err := c.stream(ctx, pw, crashed, k, t.Endpoint.Name)
		_ = pw.CloseWithError(err)
	}()
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: pr}, nil
}

// stream writes the events of a call. A nil error ends the answer as whole.
func (c *crashingEngines) stream(ctx context.Context, w io.Writer, crashed chan struct{}, k *Call, name string) error {
	const events, interval = 20, 100 * time.Millisecond
	if crashesEngines(k) {
		if clock.Sleep(ctx, crashDelay) {
			c.crash(name)
		}
		return io.ErrUnexpectedEOF
	}
	for i := range events {
		select {
		case <-crashed:
			return io.ErrUnexpectedEOF
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
			return err
		}
	}
	return nil
}

func (c *crashingEngines) Prefill(ctx context.Context, k *Call, t Attempt) (Handle, error) {
	if _, err := c.running(t.Endpoint.Name); err != nil {
		return Handle{}, err
	}
	c.reach(k)
	clock.Sleep(ctx, 50*time.Millisecond)
	return Handle{At: t.Endpoint, ID: "handle"}, nil
}

func (c *crashingEngines) FreePrefill(context.Context, Handle) error { return nil }

func (c *crashingEngines) Reserve(_ context.Context, e Endpoint, _ int, _ time.Duration) (string, error) {
	_, err := c.running(e.Name)
	return "hold", err
}

func (c *crashingEngines) Alive(_ context.Context, e Endpoint) bool {
	_, err := c.running(e.Name)
	return err == nil
}

func (c *crashingEngines) ReleaseReservation(context.Context, Endpoint, string) error { return nil }

// sharedStrikes are the strikes in control's state.
type sharedStrikes struct {
	mu    sync.Mutex
	state *state.State
}

func (s *sharedStrikes) change(ctx context.Context, r *controlv1.AddStrikesRequest) error {
	if !clock.Sleep(ctx, commitTime) {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.state.Apply(&controlv1.Command{Time: timestamppb.Now(), Kind: &controlv1.Command_AddStrikes{AddStrikes: r}})
	return err
}

func (s *sharedStrikes) list() map[string]*controlv1.Strikes {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*controlv1.Strikes{}
	items, _ := s.state.List(state.Range{})
	for _, it := range items {
		out[it.GetStrikes().GetContentDigest()] = it.GetStrikes()
	}
	return out
}

func (s *sharedStrikes) HasStrikes() bool { return len(s.list()) > 0 }

func (s *sharedStrikes) Strikes(digest string) uint32 { return s.list()[digest].GetCount() }

func (s *sharedStrikes) AddStrike(ctx context.Context, digest string) error {
	return s.change(ctx, &controlv1.AddStrikesRequest{ContentDigests: []string{digest}})
}

// soundCall is a call that crashes no engine. begun is true once its stream began.
type soundCall struct {
	sent  time.Time
	begun bool
}

// crashDay is one series of calls to entries.
type crashDay struct {
	engines *crashingEngines
	entries []*Relay
	random  *rand.Rand
	mu      sync.Mutex
	calls   int
	// sound are the calls that share parts with the crashing ones, or would.
	sound []*soundCall
	// crashingUntil is when the last crashing call was made.
	crashingUntil time.Time
}

// beginWriter records whether a stream began.
type beginWriter struct {
	recordingCaller
	began bool
}

func (w *beginWriter) WriteEvent([]byte) error {
	w.began = true
	return nil
}

// call makes a call through an entry, and reports whether its stream began.
func (d *crashDay) call(ctx context.Context, parts []string) bool {
	d.mu.Lock()
	d.calls++
	id, r := fmt.Sprint("r", d.calls), d.entries[d.random.IntN(len(d.entries))]
	d.mu.Unlock()
	c := &Call{
		ID: id, Method: http.MethodPost, Host: "desk.example", Path: "/letters/1", Target: "/letters/1", Header: http.Header{}, Body: []byte(id),
		Arrived: time.Now(), Timeout: 14 * time.Second, Prompt: Prompt{Model: "m", Tokens: 3000, ExpectedOutput: 700, MaxOutput: 1800},
	}
	for _, p := range append(slices.Clone(parts), id) {
		c.Prompt.Parts = append(c.Prompt.Parts, Part{ID: p, Tokens: 100})
	}
	w := &beginWriter{}
	r.Serve(ctx, c, w)
	return w.began
}

// play offers sound calls for 40 s, those with parts of their own and, from soundFrom
// on, those with the parts of the crashing ones, and crashing calls from 10 to 30 s.
func (d *crashDay) play(ctx context.Context, crashing, sound []string, soundFrom, every time.Duration) {
	const length, from, until = 40 * time.Second, 10 * time.Second, 30 * time.Second
	start := time.Now()
	d.crashingUntil = start.Add(until)
	var done sync.WaitGroup
	offer := func(parts func(n int) []string, from, until, interval time.Duration, s bool) {
		done.Go(func() {
			clock.Sleep(ctx, from)
			for n := 0; time.Since(start) < until; n++ {
				done.Go(func() { d.offer(ctx, parts(n), s) })
				clock.Sleep(ctx, interval)
			}
		})
	}
	offer(func(n int) []string { return []string{fmt.Sprint("own", n)} }, 0, length, 100*time.Millisecond, false)
	offer(func(int) []string { return sound }, soundFrom, length, 250*time.Millisecond, true)
	offer(func(int) []string { return crashing }, from, until, every, false)
	done.Wait()
}

func (d *crashDay) offer(ctx context.Context, parts []string, counted bool) {
	s := &soundCall{sent: time.Now()}
	s.begun = d.call(ctx, parts)
	if counted {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sound = append(d.sound, s)
	}
}

// lateCalls returns the number of crashing calls that reached engines too late, and
// when the last crash before the bound was.
func (d *crashDay) lateCalls() (int, time.Time) {
	c := d.engines
	if len(c.crashes) == 0 {
		return 0, time.Time{}
	}
	last := c.crashes[min(crashesAllowed, len(c.crashes))-1]
	late := 0
	for _, at := range c.reached {
		if len(c.crashes) >= crashesAllowed && at.Sub(last) > boundAfter {
			late++
		}
	}
	return late, last
}

// soundShare returns the share of the sound calls after a time that began, while
// crashing ones were made.
func (d *crashDay) soundShare(after time.Time) float64 {
	begun, all := 0.0, 0.0
	for _, s := range d.sound {
		if s.sent.After(after) && s.sent.Before(d.crashingUntil) {
			all++
			if s.begun {
				begun++
			}
		}
	}
	return begun / max(all, 1)
}

// TestCrashingPart guards against calls that crash one engine after the other: they
// share one part of their prompts and differ in all else. Sound calls share the other
// parts, and must be served.
func TestCrashingPart(t *testing.T) {
	datadriven.RunTest(t, "testdata/crashing/parts", func(t *testing.T, d *datadriven.TestData) string {
		var crashing, sound []string
		soundFrom, every := 10*time.Second, 150*time.Millisecond
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "crashing":
				crashing = a.Vals
			case "sound":
				sound = a.Vals
			case "known":
				soundFrom = 0
			case "every":
				every = parseDuration(t, a.Vals[0])
			}
		}
		out := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := logrus.New()
			log.SetOutput(io.Discard)
			day := &crashDay{engines: newCrashingEngines(readDocument(t)), random: rand.New(rand.NewPCG(1, 2))}
			strikes := &sharedStrikes{state: state.New(1000)}
			for range crashEntries {
				r := New(day.engines, day.engines, day.engines, strikes, "osu", RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, newDecisionLog(t, log), logrus.NewEntry(log))
				go r.RunStrikes(ctx)
				day.entries = append(day.entries, r)
			}
			day.play(ctx, crashing, sound, soundFrom, every)
			late, last := day.lateCalls()
			share := day.soundShare(last.Add(soundAfter))
			t.Logf("%d crashes, %d calls beyond the bound, %.2f of the sound calls begin", len(day.engines.crashes), late, share)
			out = fmt.Sprintf("calls beyond the bound: %t\nsound calls begin: %t\n", late > callsAllowed, share >= 0.5)
			cancel()
			time.Sleep(time.Minute)
		})
		return out
	})
}
