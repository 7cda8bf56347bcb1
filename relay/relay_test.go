package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"ebonyreel/decision"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

// staticFleet has a document and endpoints that do not change, except that the
// document may appear late.
type staticFleet struct {
	document  *document.Document
	endpoints []*controlv1.Endpoint
	// documentAt is when the document appears.
	documentAt time.Time
	// unconfirmed is true where control does not confirm which versions there are.
	unconfirmed bool
}

func (f *staticFleet) DocumentInForce() (*document.Document, time.Time) {
	if time.Now().Before(f.documentAt) {
		return nil, time.Time{}
	}
	return f.document, f.documentAt
}

func (f *staticFleet) Changed() <-chan struct{} {
	out := make(chan struct{})
	time.AfterFunc(time.Until(f.documentAt), func() { close(out) })
	return out
}

func (f *staticFleet) Entries() int { return 4 }

func (f *staticFleet) Endpoints(pool string) []*controlv1.Endpoint {
	var out []*controlv1.Endpoint
	for _, e := range f.endpoints {
		if e.GetServes() == pool {
			out = append(out, e)
		}
	}
	return out
}

func (f *staticFleet) Versions(_ context.Context, pool string) ([]string, error) {
	if f.unconfirmed {
		return nil, errors.New("not confirmed")
	}
	var out []string
	for _, e := range f.Endpoints(pool) {
		out = append(out, e.GetVersion())
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

func (f *staticFleet) EndpointNamed(name string) *controlv1.Endpoint {
	for _, e := range f.endpoints {
		if e.GetName() == name {
			return e
		}
	}
	return nil
}

// scriptedEndpoints answers by a script with one line for each attempt.
type scriptedEndpoints struct {
	mu     sync.Mutex
	script []string
	// calls lists the calls received.
	calls []string
	// streamTime is how long a stream runs before it hangs.
	streamTime time.Duration
	// reservations counts requests for reservations. Those beyond maxReservations are
	// refused, unless it is zero.
	reservations    int
	maxReservations int
	// strikes is the number of strikes against every content.
	strikes uint32
	// alive is true where endpoints accept connections after a failure.
	alive bool
}

func (s *scriptedEndpoints) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return "unreachable"
	}
	out := s.script[0]
	s.script = s.script[1:]
	return out
}

func (s *scriptedEndpoints) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

// Send follows one line of the script: a status with a body, "full", "misdirected",
// "unreachable", "lost", "silent" or "events" with their IDs, "unframed" with the same. Instead of an ID,
// "cut" fails the stream within an event, "reset" fails it between two events,
// "comments" sends comments, "pause" pauses it, a last "hang" sends nothing more, and
// a last "endless-comments" nothing but comments.
func (s *scriptedEndpoints) Send(ctx context.Context, _ *Call, t Attempt) (*Reply, error) {
	verb, rest, _ := strings.Cut(s.next(), " ")
	sent := "send"
	if t.LastEvent != "" {
		sent += " after " + t.LastEvent
	}
	if t.Source.ID != "" {
		sent += " from " + t.Source.ID
	}
	if t.ReservationID != "" {
		sent += " with " + t.ReservationID
	}
	s.record("%s: %s %s", sent, verb, rest)
	reply := &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(rest))}
	switch verb {
	case "unreachable":
		return nil, &transport.DialError{Address: t.Endpoint.Address.String(), Cause: errors.New("refused")}
	case "lost":
		return nil, io.ErrUnexpectedEOF
	case "silent":
		<-ctx.Done()
		return nil, context.Cause(ctx)
	case "full":
		reply.Status, reply.NotRun = http.StatusServiceUnavailable, true
	case "misdirected":
		reply.Status, reply.Misdirected = http.StatusMisdirectedRequest, true
	case "events", "unframed":
		reply.Unframed = verb == "unframed"
		ids, hangs := strings.CutSuffix(rest, " hang")
		reply.Events, reply.Body = true, io.NopCloser(streamOf(strings.Fields(ids)))
		if ids, endless := strings.CutSuffix(rest, "endless-comments"); endless {
			reply.Body = io.NopCloser(&commentReader{Reader: streamOf(strings.Fields(ids)), ctx: ctx})
		}
		if hangs {
			reply.Body = &hangingReader{Reader: streamOf(strings.Fields(ids)), ctx: ctx, streamTime: s.streamTime}
		}
	default:
		if _, err := fmt.Sscan(verb, &reply.Status); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// streamOf returns a stream of events, with the pauses and errors among them.
func streamOf(ids []string) io.Reader {
	var all []io.Reader
	for _, id := range ids {
		switch id {
		case "pause":
			all = append(all, pausingReader{})
		case "comments":
			all = append(all, strings.NewReader(strings.Repeat(": still here\n\n", 3)))
		case "cut":
			all = append(all, strings.NewReader("id: 99\nda"), failingReader{})
		case "reset":
			all = append(all, failingReader{})
		default:
			all = append(all, strings.NewReader("id: "+id+"\ndata: x\n\n"))
		}
	}
	return io.MultiReader(all...)
}

// commentReader is a stream that sends comments each second after its last event,
// until its context ends.
type commentReader struct {
	io.Reader
	ctx context.Context
}

func (c *commentReader) Read(b []byte) (int, error) {
	if n, err := c.Reader.Read(b); !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-c.ctx.Done():
		return 0, c.ctx.Err()
	case <-time.After(time.Second):
		return copy(b, ": wait\n\n"), nil
	}
}

// hangingReader is a stream that sleeps after each read and, after its last event,
// blocks until its context ends.
type hangingReader struct {
	io.Reader
	ctx        context.Context
	streamTime time.Duration
}

func (h *hangingReader) Read(b []byte) (int, error) {
	n, err := h.Reader.Read(b)
	if !errors.Is(err, io.EOF) {
		time.Sleep(h.streamTime / 2)
		return n, nil
	}
	<-h.ctx.Done()
	return 0, h.ctx.Err()
}

func (h *hangingReader) Close() error { return nil }

func parseInt(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseDuration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// pausingReader is a pause in a stream, longer than any stall timeout in the tests.
type pausingReader struct{}

func (pausingReader) Read([]byte) (int, error) {
	time.Sleep(5 * time.Second)
	return 0, io.EOF
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (s *scriptedEndpoints) Prefill(context.Context, *Call, Attempt) (Handle, error) {
	s.record("prefill")
	return Handle{ID: "handle"}, nil
}

func (s *scriptedEndpoints) FreePrefill(context.Context, Handle) error { return nil }

func (s *scriptedEndpoints) Reserve(_ context.Context, _ Endpoint, tokens int, _ time.Duration) (string, error) {
	s.mu.Lock()
	s.reservations++
	refused := s.maxReservations > 0 && s.reservations > s.maxReservations
	s.mu.Unlock()
	if refused {
		return "", &NotRunError{Status: http.StatusServiceUnavailable}
	}
	s.record("hold %d", tokens)
	return "hold", nil
}

func (s *scriptedEndpoints) CheckLifetime(context.Context, Endpoint) Lifetime {
	if s.alive {
		return LifetimeRunning
	}
	return LifetimeEnded
}

func (s *scriptedEndpoints) CheckListener(ctx context.Context, e Endpoint) Lifetime {
	return s.CheckLifetime(ctx, e)
}

func (s *scriptedEndpoints) ReleaseReservation(context.Context, Endpoint, string) error { return nil }

// HasStrikes, Strikes and AddStrike stand in for control, and count strikes at once.
func (s *scriptedEndpoints) HasStrikes() bool { return s.strikes > 0 }

func (s *scriptedEndpoints) Strikes(string) uint32 { return s.strikes }

func (s *scriptedEndpoints) AddStrike(context.Context, string) error {
	s.strikes++
	return nil
}

func (s *scriptedEndpoints) PartStrikes(string) *controlv1.Strikes { return nil }

func (s *scriptedEndpoints) ChangePartStrikes(context.Context, *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	return nil, nil
}

// knownStreams are the origins of streams, by the ID of the request that began them.
type knownStreams map[string]*controlv1.StreamOrigin

func (k knownStreams) Record(o *controlv1.StreamOrigin) { k[o.GetRequest()] = o }

func (k knownStreams) Find(_ context.Context, request string) (*controlv1.StreamOrigin, error) {
	if o := k[request]; o != nil {
		return o, nil
	}
	return nil, errors.New("not known")
}

// recordingCaller records the answers that it gets.
type recordingCaller struct {
	mu  sync.Mutex
	out strings.Builder
}

func (c *recordingCaller) write(format string, args ...any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(&c.out, format, args...)
	return nil
}

func (c *recordingCaller) WriteRefusal(f Refusal) error {
	return c.write("refused %s not-run=%t retry-after=%s\n", f.Reason, f.Reason.NotRun(), f.RetryAfter)
}

func (c *recordingCaller) WriteAnswer(r *Reply, body []byte) error {
	return c.write("whole %d %s\n", r.Status, body)
}
func (c *recordingCaller) BeginStream(*Reply) error { return c.write("begin\n") }
func (c *recordingCaller) WriteEvent(b []byte) error {
	return c.write("event %s\n", eventID(b))
}
func (c *recordingCaller) Abort() { _ = c.write("abort\n") }

// TestServe serves calls with endpoints that answer by a script. The command names
// the route, its arguments set up the relay, the call and the endpoints, and the
// input has one line for each attempt.
func TestServe(t *testing.T) {
	f := &staticFleet{document: readDocument(t)}
	for i, e := range []struct {
		pool string
		role controlv1.Role
	}{
		{"desk", controlv1.Role_ROLE_SERVICE},
		{"desk", controlv1.Role_ROLE_SERVICE},
		{"desk", controlv1.Role_ROLE_SERVICE},
		{"engines", controlv1.Role_ROLE_PREFILL},
		{"engines", controlv1.Role_ROLE_DECODE},
		{"engines", controlv1.Role_ROLE_DECODE},
		{"engines", controlv1.Role_ROLE_DECODE},
	} {
		f.endpoints = append(f.endpoints, &controlv1.Endpoint{
			Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Serves: e.pool, Role: e.role,
			State: controlv1.EndpointState_ENDPOINT_STATE_READY,
		})
	}
	datadriven.RunTest(t, "testdata/serve", func(t *testing.T, d *datadriven.TestData) string {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &scriptedEndpoints{alive: d.HasArg("alive")}
		if in := strings.TrimSpace(d.Input); in != "" {
			s.script = strings.Split(in, "\n")
		}
		budget := RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		if d.HasArg("no-budget") {
			budget = RetryBudget{}
		}
		r := New(f, s, s, s, "osu", budget, newDecisionLog(t, log), logrus.NewEntry(log))
		r.random = func() float64 { return 0 }
		if d.HasArg("latest-return") {
			r.random = func() float64 { return 1 }
		}
		if d.HasArg("draining") {
			r.Drain()
		}
		lastEvent, resumed := "", ""
		if d.HasArg("last-event") {
			d.ScanArgs(t, "last-event", &lastEvent)
		}
		if d.HasArg("resumes") {
			d.ScanArgs(t, "resumes", &resumed)
		}
		r.SetStreams(knownStreams{"r-known": {Request: "r-known", Pool: "engines"}})
		c := &Call{
			LastEvent: lastEvent, ResumedRequest: resumed, ID: "r", Method: http.MethodPost, Host: "desk.example", Path: "/" + d.Cmd + "/1", Target: "/" + d.Cmd + "/1",
			Header: http.Header{}, Arrived: time.Now(),
		}
		if d.HasArg("prompt") {
			c.Prompt = Prompt{Model: "m", Tokens: 3000, ExpectedOutput: 700, MaxOutput: 1800}
		}
		for _, a := range d.CmdArgs {
			if a.Key == "max-holds" {
				s.maxReservations = parseInt(t, a.Vals[0])
			}
			if a.Key == "strikes" {
				s.strikes = uint32(parseInt(t, a.Vals[0]))
			}
		}
		out := &recordingCaller{}
		for _, a := range d.CmdArgs {
			if a.Key == "stream-time" {
				s.streamTime = parseDuration(t, a.Vals[0])
			}
		}
		synctest.Test(t, func(t *testing.T) {
			c.Arrived = time.Now()
			for _, e := range f.endpoints {
				if d.HasArg("limited") {
					r.Heard(endpointOf(e), Statement{Limited: true, RequestLimit: 1}, time.Now())
				}
			}
			r.Serve(t.Context(), c, out)
		})
		return strings.Join(append(s.calls, out.out.String()), "\n")
	})
}

// TestServeBeforeDocument checks calls that arrive before the first document, as
// when all processes start at once: they are served once the document is known, or
// refused in time where they can't wait for it.
func TestServeBeforeDocument(t *testing.T) {
	for _, k := range []struct {
		documentDelay, timeout time.Duration
		want                   string
		within                 time.Duration
	}{
		{documentDelay: 700 * time.Millisecond, timeout: 2500 * time.Millisecond, want: "whole 200 booked\n", within: 700 * time.Millisecond},
		{documentDelay: 700 * time.Millisecond, timeout: 600 * time.Millisecond, want: "refused unready not-run=true retry-after=500ms\n", within: 300 * time.Millisecond},
		{documentDelay: time.Minute, want: "refused unready not-run=true retry-after=500ms\n", within: time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			f := &staticFleet{document: readDocument(t), documentAt: start.Add(k.documentDelay), endpoints: []*controlv1.Endpoint{{
				Name: "e", Address: "10.0.0.1:80", Serves: "desk", Role: controlv1.Role_ROLE_SERVICE, State: controlv1.EndpointState_ENDPOINT_STATE_READY,
			}}}
			s := &scriptedEndpoints{script: []string{"200 booked"}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			r := New(f, s, s, s, "osu", RetryBudget{}, newDecisionLog(t, log), logrus.NewEntry(log))
			out := &recordingCaller{}
			r.Serve(t.Context(), &Call{
				ID: "r", Method: http.MethodPost, Host: "desk.example", Path: "/holds/1", Target: "/holds/1", Header: http.Header{},
				Arrived: start, Timeout: k.timeout,
			}, out)
			if got := out.out.String(); got != k.want {
				t.Errorf("document after %s: %s", k.documentDelay, got)
			}
			if took := time.Since(start); took > k.within {
				t.Errorf("document after %s: took %s", k.documentDelay, took)
			}
			time.Sleep(time.Minute)
		})
	}
}

func newDecisionLog(t *testing.T, log *logrus.Logger) *decision.Log {
	t.Helper()
	d, err := decision.Open("entry", "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func readDocument(t *testing.T) *document.Document {
	t.Helper()
	d, err := document.Parse([]byte(`{"Number": 1, "Level": 2,
 "Pools": [{"Name": "desk"}, {"Name": "empty"}, {"Name": "engines", "Engine": {"Slots": 12, "MemoryTokens": 33466, "HandleLives": "500ms", "HoldLives": "2s", "EventTokens": 350}}],
 "Routes": [
  {"Name": "holds", "Host": "desk.example", "PathPrefix": "/holds/", "Kind": "Once", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "300ms", "Target": "50ms"},
  {"Name": "slow-holds", "Host": "desk.example", "PathPrefix": "/slow-holds/", "Kind": "Once", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "1200ms", "Target": "200ms"},
  {"Name": "lookups", "Host": "desk.example", "PathPrefix": "/lookups/", "Kind": "Idempotent", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "300ms", "Target": "50ms", "Attempts": 2},
  {"Name": "nowhere", "Host": "desk.example", "PathPrefix": "/nowhere/", "Kind": "Idempotent", "Split": [{"Name": "empty", "Weight": 1}], "Timeout": "300ms", "Attempts": 2},
  {"Name": "deeds", "Host": "desk.example", "PathPrefix": "/deeds/", "Kind": "Stream", "Split": [{"Name": "engines", "Weight": 1}], "Timeout": "14s", "Target": "900ms", "Gap": "50ms", "Generates": true},
  {"Name": "patient", "Host": "desk.example", "PathPrefix": "/patient/", "Kind": "Stream", "Split": [{"Name": "engines", "Weight": 1}], "Timeout": "14s", "Target": "900ms", "Gap": "300ms", "Generates": true},
  {"Name": "letters", "Host": "desk.example", "PathPrefix": "/letters/", "Kind": "Stream", "Split": [{"Name": "engines", "Weight": 1}], "Timeout": "14s", "Target": "900ms", "Gap": "1s", "Attempts": 2, "Resumable": true, "Generates": true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// eventID returns the ID of an event, or "comments" where there is none.
func eventID(b []byte) string {
	for line := range strings.Lines(string(b)) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			return strings.TrimSpace(id)
		}
	}
	return "comments"
}
