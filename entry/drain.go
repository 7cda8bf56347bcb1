package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/clock"
	entryv1 "ebonyreel/proto/entry/v1"
)

const (
	// balancerNotice is how long the platform's balancer needs to see that an
	// entry is unready.
	balancerNotice = 2 * time.Second
	drainPoll      = 50 * time.Millisecond
)

// Ready answers the balancer's health check.
func (s *Server) Ready(w http.ResponseWriter, _ *http.Request) {
	if s.unready.Load() || !s.announcer.Current(time.Now()) {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop is a planned stop: unready first, then no new calls, then the end of
// those in flight. No time limit cuts a call.
func (s *Server) Stop(ctx context.Context) {
	s.unready.Store(true)
	s.log.Info("unready")
	clock.Pause(ctx, balancerNotice)
	s.closed.Store(true)
	for s.working.Load() > 0 && ctx.Err() == nil {
		clock.Pause(ctx, drainPoll)
	}
	s.log.Info("drained")
}

// Operator answers operators' tools.
type Operator struct {
	server *Server
	// stop asks the process for a planned stop.
	stop func()
}

// NewOperator returns the entry service for operators.
func NewOperator(s *Server, stop func()) *Operator {
	return &Operator{server: s, stop: stop}
}

// Drain begins a planned stop.
func (o *Operator) Drain(context.Context, *connect.Request[entryv1.DrainRequest]) (*connect.Response[entryv1.DrainResponse], error) {
	o.stop()
	return connect.NewResponse(&entryv1.DrainResponse{InFlight: uint32(o.server.working.Load())}), nil
}

// Explain returns what was decided about one request.
func (o *Operator) Explain(_ context.Context, r *connect.Request[entryv1.ExplainRequest]) (*connect.Response[entryv1.ExplainResponse], error) {
	d, ok := o.server.decisions.Find(r.Msg.GetRequest())
	if !ok {
		return connect.NewResponse(&entryv1.ExplainResponse{}), nil
	}
	b, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&entryv1.ExplainResponse{Found: true, Record: b}), nil
}

// Status describes the entry.
func (o *Operator) Status(context.Context, *connect.Request[entryv1.StatusRequest]) (*connect.Response[entryv1.StatusResponse], error) {
	m := o.server.announcer.Member()
	out := &entryv1.StatusResponse{
		Entry:       m.GetName(),
		Incarnation: m.GetIncarnation(),
		InFlight:    uint32(o.server.working.Load()),
		Members:     uint32(len(o.server.view.All())),
	}
	if d := o.server.view.Document(); d != nil {
		out.DocumentNumber = d.Number
	}
	return connect.NewResponse(out), nil
}
