package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
)

// pausingEngine is silent for a while after the first event of its first answer, and
// turns all later calls away.
type pausingEngine struct {
	scriptedEndpoints
	calls int
}

// Send starts the answer, or turns the call away.
func (p *pausingEngine) Send(ctx context.Context, _ *Call, _ Attempt) (*Reply, error) {
	p.calls++
	if p.calls > 1 {
		return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: http.NoBody}, nil
	}
	const pause = 5 * time.Second
	pr, pw := io.Pipe()
	go func() {
		_, err := io.WriteString(pw, "id: 1\ndata: x\n\n")
		if err == nil && clock.Sleep(ctx, pause) {
			_, err = io.WriteString(pw, "id: 2\ndata: x\n\n")
		} else {
			err = context.Cause(ctx)
		}
		_ = pw.CloseWithError(err)
	}()
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: pr}, nil
}

// TestSilentStreamWithoutRetry guards against streams that are broken off because their
// engine fell silent for a while, where the engine chosen for the retry then turns it
// away. The first engine goes on later, within the time of the caller.
func TestSilentStreamWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &staticFleet{document: readDocument(t)}
		for i, role := range []controlv1.Role{controlv1.Role_ROLE_PREFILL, controlv1.Role_ROLE_DECODE, controlv1.Role_ROLE_DECODE} {
			f.endpoints = append(f.endpoints, &controlv1.Endpoint{
				Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Serves: "engines", Role: role,
				State: controlv1.EndpointState_ENDPOINT_STATE_READY,
			})
		}
		s := &pausingEngine{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := New(f, s, s, s, "osu", RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, newDecisionLog(t, log), logrus.NewEntry(log))
		out := &recordingCaller{}
		r.Serve(t.Context(), &Call{
			ID: "r", Method: http.MethodPost, Host: "desk.example", Path: "/letters/1", Target: "/letters/1", Header: http.Header{},
			Arrived: time.Now(), Timeout: 14 * time.Second, Prompt: Prompt{Model: "m", Tokens: 3000, ExpectedOutput: 700, MaxOutput: 1800},
		}, out)
		if got, want := out.out.String(), "begin\nevent 1\nevent 2\n"; got != want {
			t.Errorf("the caller got %q, expected %q", got, want)
		}
	})
}
