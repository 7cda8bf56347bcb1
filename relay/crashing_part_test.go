package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

const (
	// crashSeeds is the number of times that each case is played.
	crashSeeds = 3
	// crashEntries is the number of entries, and crashEngines that of engines, of which
	// crashPrefillEngines compute prompts.
	crashEntries        = 4
	crashEngines        = 18
	crashPrefillEngines = 6
	// crashingFrom is when the crashing calls begin.
	crashingFrom = 10 * time.Second
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
	// soundBegins is how long after the same crashes sound calls begin again.
	soundBegins = 6 * time.Second
	// minSoundCalls is the number of sound calls from which on their share counts.
	minSoundCalls = 20
)

// sharedStrikes are the strikes in control's state.
type sharedStrikes struct {
	mu    sync.Mutex
	state *state.State
	// strikes are those in the state, by digest.
	strikes map[string]*controlv1.Strikes
	// silentFrom and answersFrom are between which times control does not answer.
	silentFrom, answersFrom time.Time
}

func (s *sharedStrikes) ChangePartStrikes(ctx context.Context, r *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	wait := commitTime
	if now := time.Now(); now.After(s.silentFrom) && now.Before(s.answersFrom) {
		wait = s.answersFrom.Sub(now)
	}
	if !clock.Sleep(ctx, wait) {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := s.state.Apply(&controlv1.Command{Time: timestamppb.Now(), Kind: &controlv1.Command_AddStrikes{AddStrikes: r}})
	if err != nil {
		return nil, err
	}
	s.strikes = map[string]*controlv1.Strikes{}
	items, _ := s.state.List(state.Range{})
	for _, it := range items {
		s.strikes[it.GetStrikes().GetContentDigest()] = it.GetStrikes()
	}
	return out.(*controlv1.AddStrikesResponse).GetStrikes(), nil
}

func (s *sharedStrikes) PartStrikes(digest string) *controlv1.Strikes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.strikes[digest]
}

func (s *sharedStrikes) HasStrikes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.strikes) > 0
}

func (s *sharedStrikes) Strikes(digest string) uint32 { return s.PartStrikes(digest).GetCount() }

func (s *sharedStrikes) AddStrike(ctx context.Context, digest string) error {
	_, err := s.ChangePartStrikes(ctx, &controlv1.AddStrikesRequest{ContentDigests: []string{digest}})
	return err
}

// soundCall is a call that crashes no engine. begun is true once its stream began.
type soundCall struct {
	sent  time.Time
	begun bool
}

// crashDay is one series of calls to entries.
type crashDay struct {
	engines *crashingEngines
	strikes *sharedStrikes
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

// play offers sound calls for 50 s, those with parts of their own and, from soundFrom
// on, those with the parts of the crashing ones, and crashing calls from 10 to 45 s.
func (d *crashDay) play(ctx context.Context, crashing, sound []string, soundFrom, every time.Duration) {
	const length, until = 50 * time.Second, 45 * time.Second
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
	offer(func(n int) []string { return numbered(sound, n) }, soundFrom, length, 250*time.Millisecond, true)
	offer(func(n int) []string { return numbered(crashing, n) }, crashingFrom, until, every, false)
	done.Wait()
}

// numbered returns parts of which those that end with a star vary with the number of
// the call.
func numbered(parts []string, n int) []string {
	const variants = 4
	out := slices.Clone(parts)
	for i, p := range out {
		if name, ok := strings.CutSuffix(p, "*"); ok {
			out[i] = fmt.Sprint(name, n%variants)
		}
	}
	return out
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

// bounds returns, for each crashing part, when its bound begins: at the last crash that
// is allowed, or at the last one if there are fewer, and not before control answers.
func (d *crashDay) bounds() map[string]time.Time {
	out := map[string]time.Time{}
	for part, crashes := range d.engines.crashes {
		out[part] = crashes[min(crashesAllowed, len(crashes))-1]
		if out[part].Before(d.strikes.answersFrom) {
			out[part] = d.strikes.answersFrom
		}
	}
	return out
}

// lateCalls returns the largest number of calls with one crashing part that reached
// engines too late.
func (d *crashDay) lateCalls() int {
	late := 0
	for part, begins := range d.bounds() {
		n := 0
		for _, at := range d.engines.reached[part] {
			if len(d.engines.crashes[part]) >= crashesAllowed && at.Sub(begins) > boundAfter {
				n++
			}
		}
		late = max(late, n)
	}
	return late
}

// soundShare returns the least share of sound calls that begin, over the bounds of the
// crashing parts that minSoundCalls or more came after while crashing ones were made. ok
// is false where there is no such bound.
func (d *crashDay) soundShare() (least float64, ok bool) {
	least = 1
	for _, begins := range d.bounds() {
		begun, all := 0, 0
		for _, s := range d.sound {
			if s.sent.After(begins.Add(soundBegins)) && s.sent.Before(d.crashingUntil) {
				all++
				if s.begun {
					begun++
				}
			}
		}
		if all >= minSoundCalls {
			least, ok = min(least, float64(begun)/float64(all)), true
		}
	}
	return least, ok
}

// TestCrashingPart guards against calls that crash one engine after the other: they
// share one part of their prompts and differ in all else. Sound calls share the other
// parts, and must be served.
func TestCrashingPart(t *testing.T) {
	datadriven.RunTest(t, "testdata/crashing/parts", func(t *testing.T, d *datadriven.TestData) string {
		var crashing, sound []string
		soundFrom, every, silent, stays := crashingFrom, 150*time.Millisecond, time.Duration(0), false
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
			case "silent":
				silent = parseDuration(t, a.Vals[0])
			case "stays":
				stays = true
			}
		}
		tooMany, begin := false, true
		for seed := range crashSeeds {
			late, share := playCrashDay(t, uint64(seed), crashing, sound, soundFrom, every, silent, stays)
			tooMany, begin = tooMany || late > callsAllowed, begin && share >= 0.5
		}
		return fmt.Sprintf("calls beyond the bound: %t\nsound calls begin: %t\n", tooMany, begin)
	})
}

// playCrashDay plays one series of calls and returns the number of crashing calls beyond
// the bound and the share of sound calls that begin.
func playCrashDay(t *testing.T, seed uint64, crashing, sound []string, soundFrom, every, silent time.Duration, stays bool) (late int, share float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := logrus.New()
		log.SetOutput(io.Discard)
		day := &crashDay{
			engines: newCrashingEngines(readDocument(t)), strikes: &sharedStrikes{state: state.New(1000)}, random: rand.New(rand.NewPCG(seed, 2)),
		}
		day.engines.stays = stays
		if silent > 0 {
			day.strikes.silentFrom = time.Now().Add(crashingFrom)
			day.strikes.answersFrom = day.strikes.silentFrom.Add(silent)
		}
		for range crashEntries {
			r := New(day.engines, day.engines, day.engines, day.strikes, "osu", RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, newDecisionLog(t, log), logrus.NewEntry(log))
			go r.RunStrikes(ctx)
			day.entries = append(day.entries, r)
		}
		day.play(ctx, crashing, sound, soundFrom, every)
		late = day.lateCalls()
		var judged bool
		if share, judged = day.soundShare(); !judged {
			t.Errorf("seed %d: too few sound calls to judge", seed)
		}
		t.Logf("seed %d: %d crashes, %d calls beyond the bound, %.2f of the sound calls begin", seed, day.engines.starts-crashEngines, late, share)
		cancel()
		time.Sleep(time.Minute)
	})
	return late, share
}

// TestPartTrial checks which calls may be the trial of a part that three different
// crashing parts were in calls with: none that has one of these too.
func TestPartTrial(t *testing.T) {
	strikes := &sharedStrikes{strikes: map[string]*controlv1.Strikes{}}
	r := New(nil, nil, nil, strikes, "osu", RetryBudget{}, nil, logrus.NewEntry(logrus.New()))
	callOf := func(parts ...string) *callState {
		c := &callState{call: &Call{Prompt: Prompt{Model: "m"}}}
		for _, p := range append(parts, "own") {
			c.call.Prompt.Parts = append(c.call.Prompt.Parts, Part{ID: p})
		}
		c.parts = c.call.Prompt.partDigests()
		return c
	}
	first := callOf("first").parts[0]
	strikes.strikes[first] = &controlv1.Strikes{Count: 3}
	for i := range 3 {
		bad := callOf(fmt.Sprint("bad", i)).parts[0]
		crash := &controlv1.PartCrash{Endpoint: fmt.Sprint("e", i), OtherParts: []string{bad}}
		strikes.strikes[first].Crashes = append(strikes.strikes[first].Crashes, crash)
		strikes.strikes[bad] = &controlv1.Strikes{Count: 1, Crashes: []*controlv1.PartCrash{{Endpoint: crash.Endpoint, OtherParts: []string{first}}}}
	}
	for _, k := range []struct {
		parts []string
		trial bool
	}{{[]string{"first"}, true}, {[]string{"first", "bad0"}, false}, {[]string{"first", "new"}, true}} {
		trial, err := r.screenParts(callOf(k.parts...))
		if err == nil || slices.Contains(trial, first) != k.trial {
			t.Errorf("%v: trial of %v, %v", k.parts, trial, err)
		}
	}
}
