package entry

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	"ebonyreel/controls"
	"ebonyreel/decision"
	entryv1 "ebonyreel/proto/entry/v1"
)

// InFlightCounter reports the number of calls in flight.
type InFlightCounter interface {
	InFlight() int64
}

// OperatorService implements the entry service for operators' tools. It is the
// same for every protocol that the callers of the entry use.
type OperatorService struct {
	calls     InFlightCounter
	view      *controls.View
	announcer *controls.Announcer
	decisions *decision.Log
	// stop begins a planned stop of the process.
	stop func()
}

// NewOperatorService returns the entry service for operators. Its Drain method
// calls stop.
func NewOperatorService(c InFlightCounter, v *controls.View, a *controls.Announcer, d *decision.Log, stop func()) *OperatorService {
	return &OperatorService{calls: c, view: v, announcer: a, decisions: d, stop: stop}
}

// Drain begins a planned stop and returns the number of calls in flight.
func (o *OperatorService) Drain(context.Context, *connect.Request[entryv1.DrainRequest]) (*connect.Response[entryv1.DrainResponse], error) {
	o.stop()
	return connect.NewResponse(&entryv1.DrainResponse{InFlight: uint32(o.calls.InFlight())}), nil
}

// Explain returns the decision record of one request as JSON.
func (o *OperatorService) Explain(_ context.Context, r *connect.Request[entryv1.ExplainRequest]) (*connect.Response[entryv1.ExplainResponse], error) {
	d, ok := o.decisions.Find(r.Msg.GetRequest())
	if !ok {
		return connect.NewResponse(&entryv1.ExplainResponse{}), nil
	}
	b, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&entryv1.ExplainResponse{Found: true, Record: b}), nil
}

// Status returns the state of the entry.
func (o *OperatorService) Status(context.Context, *connect.Request[entryv1.StatusRequest]) (*connect.Response[entryv1.StatusResponse], error) {
	m := o.announcer.Member()
	out := &entryv1.StatusResponse{
		Entry:       m.GetName(),
		Incarnation: m.GetIncarnation(),
		InFlight:    uint32(o.calls.InFlight()),
		Members:     uint32(len(o.view.AllMembers())),
	}
	if d := o.view.Document(); d != nil {
		out.DocumentNumber = d.Number
	}
	return connect.NewResponse(out), nil
}
