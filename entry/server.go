// Package entry is the process that callers reach: it admits their calls,
// places them on endpoints, and carries the answers back.
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
	// comeBack is when a caller may try again after a short-lived refusal.
	comeBack = time.Second
	// retriesPerSecond and retryBurst are the budget of retries, so that
	// retries never become the load.
	retriesPerSecond = 20
	retryBurst       = 100
)

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	name      string
	client    *controls.Client
	view      *controls.View
	announcer *controls.Announcer
	agents    *agents.Pool
	policy    placement.Policy
	limits    limits.Table
	retries   *rate.Limiter
	tracer    *traces.Tracer
	log       *logrus.Entry
	// unready is true from the start of a planned stop.
	unready atomic.Bool
	// closed is true once new calls are refused.
	closed atomic.Bool
	// working counts calls in flight.
	working atomic.Int64
	counts  *counts
	// decisions records why each request went where it went.
	decisions *decision.Log
	// delays is keyed by model name.
	delays sync.Map
}

// NewServer returns a server that takes calls as soon as a document is known
// and the process holds its lease.
func NewServer(name string, c *controls.Client, v *controls.View, a *controls.Announcer, p *agents.Pool, policy placement.Policy, decisions *decision.Log, t *traces.Tracer, log *logrus.Entry) *Server {
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
		counts:    newCounts(),
		decisions: decisions,
	}
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.completion) })
	m.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.chat) })
	m.HandleFunc("GET /v1/models", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.models) })
	m.HandleFunc("/services/{service}/{path...}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, s.service) })
	return m
}

// visit is one call that was admitted.
type visit struct {
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	caller   document.Caller
	document *document.Document
	log      *logrus.Entry
	decision *decision.Request
}

// serve admits a call and hands it on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, next func(ctx context.Context, v *visit)) {
	id := rand.Text()
	w.Header().Set("X-Request-Id", id)
	s.working.Add(1)
	defer s.working.Add(-1)
	if s.unready.Load() {
		w.Header().Set("Connection", "close")
	}
	v := &visit{writer: w, request: r, id: id, decision: s.decisions.Begin(id, time.Now())}
	leave, err := s.admit(v)
	if err != nil {
		s.refuse(v, unproved(v, err))
		return
	}
	defer leave()
	v.log = s.log.WithFields(logrus.Fields{"Request": id, "Caller": v.caller.Name})
	ctx, span := s.tracer.Request(r.Context(), r.Header, "Entry", id)
	defer span.End()
	next(ctx, v)
}

// admit checks that the process may take a call, who calls, and that the
// caller is within its limits.
func (s *Server) admit(v *visit) (func(), error) {
	if s.closed.Load() {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "this entry is stopping", RetryAfter: comeBack}
	}
	if !s.announcer.Current(time.Now()) {
		return nil, &callers.RefusalError{Code: callers.NotRun, Message: "no lease on the newest document", RetryAfter: comeBack}
	}
	v.document = s.view.Document()
	key, _ := strings.CutPrefix(v.request.Header.Get("Authorization"), "Bearer ")
	c, ok := v.document.CallerByKey(key)
	if !ok {
		return nil, &callers.RefusalError{Code: callers.NotAllowed, Message: "the key is not known"}
	}
	v.caller = c
	return s.enter(c)
}

func (s *Server) enter(c document.Caller) (func(), error) {
	entries := s.view.Members(controls.Pool{Role: controlv1.Role_ROLE_ENTRY})
	leave, err := s.limits.Enter(time.Now(), limits.Share(c, len(entries)))
	var often *limits.RateError
	if errors.As(err, &often) {
		return nil, &callers.RefusalError{Code: callers.TooMany, Message: err.Error(), RetryAfter: often.RetryAfter}
	}
	if err != nil {
		return nil, &callers.RefusalError{Code: callers.TooMany, Message: err.Error(), RetryAfter: comeBack}
	}
	return leave, nil
}

// refuse writes a refusal for a call of which nothing was answered yet.
func (s *Server) refuse(v *visit, err error) {
	r := refusalOf(err)
	s.counts.refused(r.Code)
	v.decision.End(string(r.Code), r.Message)
	callers.Refuse(v.writer, v.id, r)
}

// unproved weakens a refusal of a call that was not looked up in the records:
// one with its key may have run before.
func unproved(v *visit, err error) error {
	var r *callers.RefusalError
	if errors.As(err, &r) && r.Code == callers.NotRun && v.request.Header.Get(callers.KeyHeader) != "" {
		return &callers.RefusalError{Code: callers.OutcomeUnknown, Message: r.Message, RetryAfter: r.RetryAfter}
	}
	return err
}

// refusalOf returns the refusal in an error. Any other error says nothing
// about what has run.
func refusalOf(err error) *callers.RefusalError {
	var r *callers.RefusalError
	if errors.As(err, &r) {
		return r
	}
	return &callers.RefusalError{Code: callers.OutcomeUnknown, Message: err.Error(), RetryAfter: comeBack}
}

// models lists what the caller may use.
func (s *Server) models(_ context.Context, v *visit) {
	callers.WriteModels(v.writer, v.caller.Models)
}

func (s *Server) completion(ctx context.Context, v *visit) {
	s.generate(ctx, v, false)
}

func (s *Server) chat(ctx context.Context, v *visit) {
	s.generate(ctx, v, true)
}

// generate reads a completion call and answers it.
func (s *Server) generate(ctx context.Context, v *visit, chat bool) {
	c, err := callers.ReadCompletion(v.writer, v.request, chat)
	if err != nil {
		s.refuse(v, err)
		return
	}
	m, err := permitted(v, c)
	if err != nil {
		s.refuse(v, err)
		return
	}
	v.decision.Describe(v.caller.Name, m.Name, v.document.Number)
	s.run(ctx, newGeneration(v, c, m))
}

// permitted returns the model of a call that the document allows.
func permitted(v *visit, c callers.Completion) (document.Model, error) {
	m, ok := v.document.Model(c.Model)
	if !ok || !slices.Contains(v.caller.Models, c.Model) {
		return m, &callers.RefusalError{Code: callers.NotAllowed, Message: "model " + c.Model + " is not open to this caller"}
	}
	if c.Adapter != "" && !slices.Contains(m.Adapters, c.Adapter) {
		return m, &callers.RefusalError{Code: callers.NotAllowed, Message: "adapter " + c.Adapter + " is not declared"}
	}
	return m, nil
}
