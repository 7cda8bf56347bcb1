package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

// crashingEngines are model engines that crash on one part of a prompt, on the test's
// fake clock. They are the fleet of the entries too.
type crashingEngines struct {
	document *document.Document
	mu       sync.Mutex
	engines  []*crashingEngine
	starts   int
	// crashes and reached are when an engine crashed, and when a crashing call reached
	// an engine, by the part.
	crashes, reached map[string][]time.Time
	// stays is true where engines go on, and only the connections of crashing calls break.
	stays bool
}

// crashingEngine is one engine. It gets another name with each start.
type crashingEngine struct {
	endpoint *controlv1.Endpoint
	// crashed is closed at the crash of this start.
	crashed chan struct{}
}

func newCrashingEngines(d *document.Document) *crashingEngines {
	c := &crashingEngines{document: d, crashes: map[string][]time.Time{}, reached: map[string][]time.Time{}}
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

func (c *crashingEngines) DocumentInForce() (*document.Document, time.Time) {
	return c.document, time.Time{}
}

func (c *crashingEngines) Entries() int { return crashEntries }

func (c *crashingEngines) Changed() <-chan struct{} { return nil }

func (c *crashingEngines) Versions(context.Context, string) ([]string, error) {
	return []string{""}, nil
}

func (c *crashingEngines) EndpointNamed(string) *controlv1.Endpoint { return nil }

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

// crash ends an engine by a part, unless it has ended, and starts it again later.
func (c *crashingEngines) crash(name, part string) {
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
		c.crashes[part] = append(c.crashes[part], time.Now())
		if c.stays {
			return
		}
		close(e.crashed)
		time.AfterFunc(crashDowntime, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.start(i)
		})
	}
}

// crashingPart returns the part of a call on which engines crash, or an empty string.
func crashingPart(c *Call) string {
	for _, id := range c.Prompt.sharedParts() {
		if strings.HasPrefix(id, "bad") {
			return id
		}
	}
	return ""
}

func (c *crashingEngines) reach(k *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if part := crashingPart(k); part != "" {
		c.reached[part] = append(c.reached[part], time.Now())
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
	if part := crashingPart(k); part != "" {
		if clock.Sleep(ctx, crashDelay) {
			c.crash(name, part)
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

func (c *crashingEngines) CheckLifetime(_ context.Context, e Endpoint) Lifetime {
	if _, err := c.running(e.Name); err != nil {
		return LifetimeEnded
	}
	return LifetimeRunning
}

func (c *crashingEngines) CheckListener(ctx context.Context, e Endpoint) Lifetime {
	return c.CheckLifetime(ctx, e)
}

func (c *crashingEngines) ReleaseReservation(context.Context, Endpoint, string) error { return nil }
