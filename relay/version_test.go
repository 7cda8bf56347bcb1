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
