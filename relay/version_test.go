package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	controlv1 "ebonyreel/proto/control/v1"
)

// versionedEndpoints are scriptedEndpoints that record the version of the endpoint of each
// attempt.
type versionedEndpoints struct {
	scriptedEndpoints
	versions []string
	// prefills are the versions of the engines that computed prompts.
	prefills []string
	// onSend is called with each attempt; it may be nil.
	onSend func(Attempt)
}

func (v *versionedEndpoints) Send(ctx context.Context, c *Call, t Attempt) (*Reply, error) {
	v.mu.Lock()
	v.versions = append(v.versions, t.Endpoint.Version)
	v.mu.Unlock()
	if v.onSend != nil {
		v.onSend(t)
	}
	return v.scriptedEndpoints.Send(ctx, c, t)
}

func (v *versionedEndpoints) Prefill(ctx context.Context, c *Call, t Attempt) (Handle, error) {
	v.mu.Lock()
	v.prefills = append(v.prefills, t.Endpoint.Version)
	v.mu.Unlock()
	return v.scriptedEndpoints.Prefill(ctx, c, t)
}

// twoVersions returns engines of which every other one has another version.
func twoVersions(t *testing.T, decode, prefill int) *staticFleet {
	t.Helper()
	f := &staticFleet{document: readDocument(t)}
	for i := range decode + prefill {
		role := controlv1.Role_ROLE_DECODE
		if i >= decode {
			role = controlv1.Role_ROLE_PREFILL
		}
		f.endpoints = append(f.endpoints, &controlv1.Endpoint{
			Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Serves: "engines", Role: role,
			Version: fmt.Sprint("v", 1+i%2), State: controlv1.EndpointState_ENDPOINT_STATE_READY,
		})
	}
	return f
}

func newVersionedRelay(t *testing.T, f *staticFleet, v *versionedEndpoints) *Relay {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(f, v, v, v, "osu", RetryBudget{Ratio: 0.2, Slack: 500, Window: 10 * time.Second}, newDecisionLog(t, log), logrus.NewEntry(log))
}

func newLetter(id string) *Call {
	return &Call{
		ID: id, Method: http.MethodPost, Host: "desk.example", Path: "/letters/1", Target: "/letters/1", Header: http.Header{},
		Arrived: time.Now(), Prompt: Prompt{Model: "m", Tokens: 3000, ExpectedOutput: 700, MaxOutput: 1800},
	}
}

// TestStreamKeepsVersion guards against an answer that goes on, after its engine broke it
// or fell silent, at an engine of another software version.
func TestStreamKeepsVersion(t *testing.T) {
	for _, script := range [][]string{
		{"events 1 2 cut", "events 3 4"},
		{"events 1 2 reset", "events 3 4"},
		{"events 1 2 hang", "events 3 4"},
	} {
		for n := range 20 {
			f := twoVersions(t, 6, 2)
			synctest.Test(t, func(t *testing.T) {
				v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: slices.Clone(script)}}
				out := &recordingCaller{}
				newVersionedRelay(t, f, v).Serve(t.Context(), newLetter(fmt.Sprint("r", n)), out)
				if len(v.versions) != 2 || v.versions[0] != v.versions[1] {
					t.Errorf("%q: attempts at versions %q, want two at the same", script[0], v.versions)
				}
				if want := "begin\nevent 1\nevent 2\nevent 3\nevent 4\n"; out.out.String() != want {
					t.Errorf("%q: %s", script[0], out.out.String())
				}
			})
		}
	}
}

// TestStreamVersionGone guards against an answer that goes on at another software version
// where no engine of its own is left.
func TestStreamVersionGone(t *testing.T) {
	f := twoVersions(t, 6, 2)
	synctest.Test(t, func(t *testing.T) {
		v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 1 2 cut", "events 3 4"}}}
		v.onSend = func(a Attempt) {
			f.endpoints = slices.DeleteFunc(slices.Clone(f.endpoints), func(e *controlv1.Endpoint) bool { return e.GetVersion() == a.Endpoint.Version })
		}
		out := &recordingCaller{}
		newVersionedRelay(t, f, v).Serve(t.Context(), newLetter("r"), out)
		if want := "begin\nevent 1\nevent 2\nabort\n"; out.out.String() != want {
			t.Error(out.out.String())
		}
	})
}

// TestResumedStreamVersion guards against streams that their callers resume at another
// entry, and that go on at an engine of another software version or pool, or are refused
// although engines of their version are there.
func TestResumedStreamVersion(t *testing.T) {
	for n := range 20 {
		f := twoVersions(t, 6, 2)
		synctest.Test(t, func(t *testing.T) {
			streams := knownStreams{}
			serve := func(c *Call, script ...string) ([]string, string) {
				v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: script}}
				r := newVersionedRelay(t, f, v)
				r.SetStreams(streams)
				out := &recordingCaller{}
				r.Serve(t.Context(), c, out)
				return v.versions, out.out.String()
			}
			first := fmt.Sprint("r", n)
			began, _ := serve(newLetter(first), "events 1 2 cut")
			next := newLetter("next")
			next.LastEvent, next.ResumedRequest = "2", first
			went, got := serve(next, "events 3 4 cut", "events 5 6")
			if len(went) != 2 || went[0] != began[0] || went[1] != began[0] {
				t.Errorf("stream began at version %s and goes on at %q", began[0], went)
			}
			if want := "begin\nevent 3\nevent 4\nevent 5\nevent 6\n"; got != want {
				t.Error(got)
			}
			streams[first].Pool = "desk"
			if went, got = serve(next, "events 3 4"); len(went) > 0 {
				t.Errorf("stream of a pool that the route does not lead to goes on: %s", got)
			}
		})
	}
}

// TestUnnamedStreamVersion guards against streams that go on at any version because their
// callers do not say which request began them.
func TestUnnamedStreamVersion(t *testing.T) {
	for _, k := range []struct {
		decode int
		want   string
	}{
		{decode: 1, want: "begin\nevent 3\n"},
		{decode: 2, want: "refused unknown_stream not-run=true retry-after=500ms\n"},
		{decode: 0, want: "refused no_endpoint not-run=true retry-after=500ms\n"},
	} {
		f := twoVersions(t, k.decode, 0)
		synctest.Test(t, func(t *testing.T) {
			v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 3"}}}
			out := &recordingCaller{}
			c := newLetter("r")
			c.LastEvent = "2"
			newVersionedRelay(t, f, v).Serve(t.Context(), c, out)
			if out.out.String() != k.want {
				t.Errorf("%d engines: %s", k.decode, out.out.String())
			}
		})
	}
}

// TestUnconfirmedVersions guards against streams without the name of the request that began
// them that go on while control does not confirm which versions there are: an entry that
// has just started may know the newest one only.
func TestUnconfirmedVersions(t *testing.T) {
	f := twoVersions(t, 1, 0)
	f.unconfirmed = true
	synctest.Test(t, func(t *testing.T) {
		v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 3"}}}
		out := &recordingCaller{}
		c := newLetter("r")
		c.LastEvent = "2"
		newVersionedRelay(t, f, v).Serve(t.Context(), c, out)
		if want := "refused unknown_stream not-run=true retry-after=500ms\n"; out.out.String() != want || len(v.versions) > 0 {
			t.Errorf("goes on at %q: %s", v.versions, out.out.String())
		}
	})
}

// TestReplacedEndpoint guards against streams whose endpoint has started again under its
// name with another version. It answers before it announces itself, so that either version
// may have made the events.
func TestReplacedEndpoint(t *testing.T) {
	for _, k := range []struct {
		version  string
		lifetime int64
		want     string
	}{
		{version: "v1", lifetime: 7, want: "begin\nevent 3\n"},
		{version: "v1", lifetime: 5, want: "begin\nevent 3\n"},
		{version: "v2", lifetime: 7, want: "refused unknown_stream not-run=true retry-after=500ms\n"},
	} {
		f := twoVersions(t, 4, 0)
		f.endpoints[0].Version, f.endpoints[0].Lifetime = k.version, k.lifetime
		synctest.Test(t, func(t *testing.T) {
			v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 3"}}}
			out := &recordingCaller{}
			r := newVersionedRelay(t, f, v)
			r.SetStreams(knownStreams{"first": {Request: "first", Pool: "engines", Version: "v1", Endpoint: "e0", EndpointLifetime: 5}})
			c := newLetter("r")
			c.LastEvent, c.ResumedRequest = "2", "first"
			r.Serve(t.Context(), c, out)
			if out.out.String() != k.want {
				t.Errorf("lifetime %d of %s: %s", k.lifetime, k.version, out.out.String())
			}
		})
	}
}

// TestResumedTwice guards against a refusal of a caller who names the request that resumed
// its stream, not the one that began it.
func TestResumedTwice(t *testing.T) {
	f := twoVersions(t, 4, 0)
	synctest.Test(t, func(t *testing.T) {
		streams := knownStreams{"first": {Request: "first", Pool: "engines", Version: "v1"}}
		for i, id := range []string{"second", "third"} {
			v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{fmt.Sprint("events ", 3+i)}}}
			out := &recordingCaller{}
			r := newVersionedRelay(t, f, v)
			r.SetStreams(streams)
			c := newLetter(id)
			c.LastEvent, c.ResumedRequest = fmt.Sprint(2+i), []string{"first", "second"}[i]
			r.Serve(t.Context(), c, out)
			if want := fmt.Sprintf("begin\nevent %d\n", 3+i); out.out.String() != want || !slices.Equal(v.versions, []string{"v1"}) {
				t.Errorf("%s goes on at %q: %s", id, v.versions, out.out.String())
			}
		}
	})
}

// TestPrefillKeepsVersion guards against prompts that an engine of another software version
// computes than the one that decodes, while entries choose without control.
func TestPrefillKeepsVersion(t *testing.T) {
	for n := range 20 {
		f := twoVersions(t, 4, 4)
		synctest.Test(t, func(t *testing.T) {
			v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 1"}}}
			newVersionedRelay(t, f, v).Serve(t.Context(), newLetter(fmt.Sprint("r", n)), &recordingCaller{})
			if len(v.prefills) != 1 || v.prefills[0] != v.versions[0] {
				t.Errorf("prompt computed at versions %q and decoded at %q", v.prefills, v.versions)
			}
		})
	}
	f := twoVersions(t, 2, 1)
	f.endpoints = f.endpoints[1:]
	synctest.Test(t, func(t *testing.T) {
		v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 1"}}}
		out := &recordingCaller{}
		newVersionedRelay(t, f, v).Serve(t.Context(), newLetter("r"), out)
		if len(v.prefills) != 0 || out.out.String() != "begin\nevent 1\n" {
			t.Errorf("prefills at %q without an engine of the version: %s", v.prefills, out.out.String())
		}
	})
}

// waitingAllocator grants the first request memory, and lets all others wait.
type waitingAllocator struct {
	granted bool
}

func (w *waitingAllocator) Acquire(ctx context.Context, r *controlv1.AcquireRequest) (*controlv1.AcquireResponse, error) {
	if w.granted {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	w.granted = true
	return &controlv1.AcquireResponse{State: controlv1.AcquireState_ACQUIRE_STATE_GRANTED, DecodeEngine: "e0", Tokens: 3000}, nil
}

func (*waitingAllocator) Release(string, string, bool) {}

func (*waitingAllocator) Prefilled(string, string, bool) {}

// TestLastOfItsVersion guards against a stream that waits for a grant which cannot come, as
// the only engine of its version has broken it, instead of trying that engine again.
func TestLastOfItsVersion(t *testing.T) {
	f := twoVersions(t, 2, 0)
	synctest.Test(t, func(t *testing.T) {
		v := &versionedEndpoints{scriptedEndpoints: scriptedEndpoints{script: []string{"events 1 2 cut", "events 3 4"}}}
		r := newVersionedRelay(t, f, v)
		r.SetAllocator(&waitingAllocator{})
		out := &recordingCaller{}
		start := time.Now()
		r.Serve(t.Context(), newLetter("r"), out)
		if want := "begin\nevent 1\nevent 2\nevent 3\nevent 4\n"; out.out.String() != want || time.Since(start) > time.Second {
			t.Errorf("after %s: %s", time.Since(start), out.out.String())
		}
	})
}
