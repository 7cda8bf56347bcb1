// Package entry implements the process that callers connect to. It admits their
// calls, places them on endpoints and relays the answers. Where the settings name
// the protocol Platform, package relay takes the place of Server.
package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ebonyreel/agents"
	"ebonyreel/callers"
	"ebonyreel/controls"
	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/limits"
	"ebonyreel/placement"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/traces"
)

const (
	// defaultRetryAfter is the delay before a caller may retry after a temporary
	// refusal.
	defaultRetryAfter = time.Second
	// retriesPerSecond and retryBurst are the retry budget of an entry. It keeps
	// retries from becoming the main load.
	retriesPerSecond = 20
	retryBurst       = 100
)

// Server answers the calls of callers. Its methods are safe for concurrent use.
type Server struct {
	name      string
	client    *controls.Client
	view      *controls.View
	announcer *controls.Announcer
	agents    *agents.Peers
	policy    placement.Policy
	limits    limits.Table
	retries   *rate.Limiter
	tracer    *traces.Tracer
	log       *logrus.Entry
	// unready is true from the start of a planned stop; health checks then fail.
	unready atomic.Bool
	// closed is true once a planned stop refuses new calls.
	closed atomic.Bool
	// inFlight is the number of calls in flight.
	inFlight atomic.Int64
	counters *counters
	// decisions records the placement and the outcome of each request.
	decisions *decision.Log
	// prefillEstimators maps a model name to its *prefillEstimator.
	prefillEstimators sync.Map
}

// NewServer returns a server that accepts calls once it has a document and the
// process holds its lease.
func NewServer(name string, c *controls.Client, v *controls.View, a *controls.Announcer, p *agents.Peers, policy placement.Policy, decisions *decision.Log, t *traces.Tracer, log *logrus.Entry) *Server {
	return &Server{
		name:      name,
		client:    c,
		view:      v,
		announcer: a,
		agents:    p,
		policy:    policy,
		retries:   rate.NewLimiter(retriesPerSecond, retryBurst),
		tracer:    t,
		log:       log,
		counters:  newCounters(),
		decisions: decisions,
	}
}

// Handler returns the HTTP routes for callers.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.completion) })
	m.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.chat) })
	m.HandleFunc("GET /v1/models", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.models) })
	m.HandleFunc("/services/{service}/{path...}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.service) })
	return m
}

// inboundCall is one call of a caller. The fields caller, document and log are
// set once the call is admitted.
type inboundCall struct {
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	caller   document.Caller
	document *document.Document
	log      *logrus.Entry
	decision *decision.Request
}

// serve admits a call and passes it to next.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, next func(ctx context.Context, in *inboundCall)) {
	id := rand.Text()
	w.Header().Set("X-Request-Id", id)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.unready.Load() {
		w.Header().Set("Connection", "close")
	}
	in := &inboundCall{writer: w, request: r, id: id, decision: s.decisions.Begin(id, time.Now())}
	done, err := s.admit(in)
	if err != nil {
		s.refuse(in, refusalBeforeLookup(in, err))
		return
	}
	defer done()
	in.log = s.log.WithFields(logrus.Fields{"Request": id, "Caller": in.caller.Name})
	ctx, span := s.tracer.StartRequest(r.Context(), r.Header, "Entry", id)
	defer span.End()
	next(ctx, in)
}

// admit checks that the process may accept calls, identifies the caller by its
// key, and applies the limits of the caller. The returned function must run when
// the call ends. The error is a *callers.RefusalError.
func (s *Server) admit(in *inboundCall) (func(), error) {
	if s.closed.Load() {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "this entry is stopping", RetryAfter: defaultRetryAfter}
	}
	if !s.announcer.MayAcceptWork(time.Now()) {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "no lease on the newest document", RetryAfter: defaultRetryAfter}
	}
	in.document = s.view.Document()
	key, _ := strings.CutPrefix(in.request.Header.Get("Authorization"), "Bearer ")
	c, ok := in.document.CallerByKey(key)
	if !ok {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: "the key is not known"}
	}
	in.caller = c
	return s.applyLimits(c)
}

// applyLimits counts a call against this entry's share of the caller's limits.
// The returned function must run when the call ends.
func (s *Server) applyLimits(c document.Caller) (func(), error) {
	entries := s.view.Members(controls.MemberGroup{Role: controlv1.Role_ROLE_ENTRY})
	done, err := s.limits.Admit(time.Now(), limits.PerEntry(c, len(entries)))
	var rateError *limits.RateError
	if errors.As(err, &rateError) {
		return nil, &callers.RefusalError{Code: callers.LimitExceeded, Message: err.Error(), RetryAfter: rateError.RetryAfter}
	}
	if err != nil {
		return nil, &callers.RefusalError{Code: callers.LimitExceeded, Message: err.Error(), RetryAfter: defaultRetryAfter}
	}
	return done, nil
}

// refuse answers a call with the refusal in an error. Nothing of the answer may
// have been written before.
func (s *Server) refuse(in *inboundCall, err error) {
	r := refusalOf(err)
	s.counters.countRefused(r.Code)
	in.decision.End(string(r.Code), r.Message)
	callers.WriteRefusal(in.writer, in.id, r)
}

// refusalBeforeLookup returns the refusal for a call whose idempotency key was
// not looked up. An earlier call with the key may have run, so "not run" becomes
// "outcome unknown" for a call that has a key.
func refusalBeforeLookup(in *inboundCall, err error) error {
	var r *callers.RefusalError
	if errors.As(err, &r) && r.Code == callers.NotRun && in.request.Header.Get(callers.IdempotencyKeyHeader) != "" {
		return &callers.RefusalError{Code: callers.OutcomeUnknown, Message: r.Message, RetryAfter: r.RetryAfter}
	}
	return err
}

// refusalOf returns the refusal in an error. For any other error the outcome is
// unknown.
func refusalOf(err error) *callers.RefusalError {
	var r *callers.RefusalError
	if errors.As(err, &r) {
		return r
	}
	return &callers.RefusalError{Code: callers.OutcomeUnknown, Message: err.Error(), RetryAfter: defaultRetryAfter}
}

// models answers with the models that the caller may use.
func (s *Server) models(_ context.Context, in *inboundCall) {
	callers.WriteModels(in.writer, in.caller.Models)
}

func (s *Server) completion(ctx context.Context, in *inboundCall) {
	s.generate(ctx, in, false)
}

func (s *Server) chat(ctx context.Context, in *inboundCall) {
	s.generate(ctx, in, true)
}

// generate reads and answers a completion call.
func (s *Server) generate(ctx context.Context, in *inboundCall, chat bool) {
	c, err := callers.ReadCompletion(in.writer, in.request, chat)
	if err != nil {
		s.refuse(in, err)
		return
	}
	m, err := allowedModel(in, c)
	if err != nil {
		s.refuse(in, err)
		return
	}
	in.decision.Describe(in.caller.Name, m.Name, in.document.Number)
	s.runGeneration(ctx, newGeneration(in, c, m))
}

// allowedModel returns the model of a call if the document lets the caller use
// it with the given adapter. The error is a *callers.RefusalError.
func allowedModel(in *inboundCall, c callers.Completion) (document.Model, error) {
	m, ok := in.document.Model(c.Model)
	if !ok || !slices.Contains(in.caller.Models, c.Model) {
		return m, &callers.RefusalError{Code: callers.NotAllowed, Message: "model " + c.Model + " is not open to this caller"}
	}
	if c.Adapter != "" && !slices.Contains(m.Adapters, c.Adapter) {
		return m, &callers.RefusalError{Code: callers.NotAllowed, Message: "adapter " + c.Adapter + " is not declared"}
	}
	return m, nil
}
