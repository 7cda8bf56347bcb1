// Package agent implements the agent, the process that runs beside each endpoint;
// all requests reach the endpoint through it. It grants an engine's memory and
// prefill slots to requests, runs prefill and decode on a model engine, and
// forwards calls to a plain service. The clients through which entries call agents
// are in package agents.
package agent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/answers"
	"ebonyreel/controls"
	"ebonyreel/endpoints"
	"ebonyreel/engines"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/reservation"
	"ebonyreel/services"
	"ebonyreel/traces"
)

// Agent serves the calls of entries for the one endpoint beside it. Its methods
// are safe for concurrent use.
type Agent struct {
	client    *controls.Client
	announcer *controls.Announcer
	view      *controls.View
	log       *logrus.Entry
	tracer    *traces.Tracer
	// answers bounds the memory for answers of the endpoint.
	answers *answers.Budget

	mu sync.Mutex
	// endpoint is nil until an endpoint has announced itself.
	endpoint *endpoint
	// lastAnnounced is when the endpoint last announced itself.
	lastAnnounced time.Time
	// draining is true once new work is refused.
	draining atomic.Bool
	// callsInFlight counts the Prefill, Decode and Call requests in flight.
	callsInFlight atomic.Int64
	// serviceCalls counts the calls being forwarded to a plain service.
	serviceCalls atomic.Int64
	// endpointReady is closed once the first endpoint accepts work.
	endpointReady     chan struct{}
	endpointReadyOnce sync.Once
	operations        operationLog
	// suspects and pins are kept when the engine restarts.
	suspects suspects
	pins     pins
	// processCtx ends with the process.
	processCtx context.Context
}

// endpoint is one instance of the endpoint beside the agent: a restarted
// endpoint is a new instance.
type endpoint struct {
	announcement endpoints.Announcement
	engine       *engines.Client
	service      *services.Client
	// decodeMemory grants the engine's memory, and prefillSlots its prefill
	// slots. Both are nil beside a plain service.
	decodeMemory *tableOwner
	prefillSlots *tableOwner
	canceller    *canceller
	inflight     inflight
	// crashMu serializes the report of a crash. down is true from the crash
	// until the engine announces itself again.
	crashMu sync.Mutex
	down    atomic.Bool
	// ready is true once the endpoint holds no work of an earlier agent.
	ready atomic.Bool
	// stop ends the goroutines of this instance.
	stop context.CancelFunc
}

// New returns an agent without an endpoint, which accounts for the answers of endpoints in
// a budget. ctx ends with the process.
func New(ctx context.Context, c *controls.Client, a *controls.Announcer, v *controls.View, b *answers.Budget, t *traces.Tracer, log *logrus.Entry) *Agent {
	return &Agent{
		client:        c,
		announcer:     a,
		view:          v,
		log:           log,
		tracer:        t,
		answers:       b,
		endpointReady: make(chan struct{}),
		processCtx:    ctx,
	}
}

// EndpointReady returns a channel that is closed once an endpoint accepts work.
func (a *Agent) EndpointReady() <-chan struct{} {
	return a.endpointReady
}

// HandleAnnouncement handles an announcement of the endpoint. A new instance
// means that the endpoint was restarted and that all work and memory of the old
// one are lost.
func (a *Agent) HandleAnnouncement(announced endpoints.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAnnounced = time.Now()
	old := a.endpoint
	if old == nil || old.announcement.Instance != announced.Instance {
		a.endpoint = a.newEndpoint(announced)
		if old != nil {
			go a.handleCrash(old)
			old.stop()
		}
	}
	a.endpoint.announcement = announced
	a.endpoint.down.Store(false)
	a.announcer.Update(func(m *controlv1.Member) { copyAnnouncement(m, announced) })
}

// newEndpoint returns the state of a new instance of the endpoint, and starts
// its goroutines.
func (a *Agent) newEndpoint(announced endpoints.Announcement) *endpoint {
	ctx, cancel := context.WithCancel(a.processCtx)
	e := &endpoint{announcement: announced, stop: cancel}
	if announced.Role == endpoints.RoleService {
		e.service = services.NewClient(announced.Address, a.answers)
		a.markReady(e)
		return e
	}
	e.engine = engines.NewClient(announced.Address, a.answers)
	e.canceller = newCanceller(e.engine, a.log)
	onExpired := func(t reservation.Attempt) {
		e.canceller.cancel(engineRequestID(t), nil)
		a.endIsolatedRun(t, false)
	}
	e.decodeMemory = newTableOwner(announced.MemoryPieces, max(announced.PieceTokens, 1), onExpired)
	// A slot is a piece that holds a prompt of any length.
	e.prefillSlots = newTableOwner(concurrentPrefills, math.MaxInt32, onExpired)
	go e.decodeMemory.run(ctx)
	go e.prefillSlots.run(ctx)
	go e.canceller.run(ctx)
	go a.reconcile(ctx, e)
	return e
}

// copyAnnouncement copies an endpoint's announcement into the member record that
// the agent announces to control.
func copyAnnouncement(m *controlv1.Member, announced endpoints.Announcement) {
	m.Serves = announced.Serves
	m.Version = announced.Version
	m.Adapters = announced.Adapters
	m.MemoryPieces = uint32(announced.MemoryPieces)
	m.PieceTokens = uint32(max(announced.PieceTokens, 0))
	m.ChecksFencing = announced.ChecksFencing
	switch announced.Role {
	case endpoints.RolePrefill:
		m.Role = controlv1.Role_ROLE_PREFILL
	case endpoints.RoleDecode:
		m.Role = controlv1.Role_ROLE_DECODE
	default:
		m.Role = controlv1.Role_ROLE_SERVICE
	}
}

// liveEndpoint returns the endpoint, or nil when it is down.
func (a *Agent) liveEndpoint() *endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endpoint == nil || a.endpoint.down.Load() || time.Since(a.lastAnnounced) > endpoints.AnnouncementTimeout {
		return nil
	}
	return a.endpoint
}

// roleTable returns the reservation table of the endpoint's role.
func (e *endpoint) roleTable() *tableOwner {
	if e.announcement.Role == endpoints.RolePrefill {
		return e.prefillSlots
	}
	return e.decodeMemory
}

// Up reports whether the endpoint has announced itself recently and is not known
// to have crashed since.
func (a *Agent) Up() bool {
	return a.liveEndpoint() != nil
}

// acceptingEndpoint returns the endpoint if new work may start there. The error
// is a *reservation.DrainingError, *EndpointDownError or *NoLeaseError.
func (a *Agent) acceptingEndpoint() (*endpoint, error) {
	if a.draining.Load() {
		return nil, &reservation.DrainingError{}
	}
	e := a.liveEndpoint()
	if e == nil || !e.ready.Load() {
		return nil, &EndpointDownError{}
	}
	if !a.announcer.MayAcceptWork(time.Now()) {
		return nil, &NoLeaseError{}
	}
	return e, nil
}

// acceptingEndpointOf returns the endpoint if new work of a role may start
// there. The error is a *RoleError or one of acceptingEndpoint.
func (a *Agent) acceptingEndpointOf(role string) (*endpoint, error) {
	e, err := a.acceptingEndpoint()
	if err != nil {
		return nil, err
	}
	if e.announcement.Role != role {
		return nil, &RoleError{Role: e.announcement.Role, Asked: role}
	}
	return e, nil
}

// BeginDrain makes the agent refuse new work and ends the requests that wait for a
// grant. Work in flight continues.
func (a *Agent) BeginDrain() {
	if a.draining.Swap(true) {
		return
	}
	a.log.Info("leaving")
	if e := a.liveEndpoint(); e != nil && e.decodeMemory != nil {
		e.decodeMemory.drain()
		e.prefillSlots.drain()
	}
}

// InFlight returns the number of calls in flight, of grants and of requests that
// wait for one. A call with a grant counts twice.
func (a *Agent) InFlight() int {
	n := int(a.callsInFlight.Load())
	if e := a.liveEndpoint(); e != nil && e.decodeMemory != nil {
		memory, slots := e.decodeMemory.load(), e.prefillSlots.load()
		n += memory.Running + memory.Queued + slots.Running + slots.Queued
	}
	return n
}

// loadReport returns the endpoint's load for a response.
func (a *Agent) loadReport() *agentv1.LoadReport {
	out := &agentv1.LoadReport{Leaving: a.draining.Load()}
	e := a.liveEndpoint()
	if e == nil {
		return out
	}
	if e.announcement.Role == endpoints.RoleService {
		out.Queued = uint32(max(0, a.callsInFlight.Load()))
		return out
	}
	l := e.roleTable().load()
	out.PiecesFree = uint32(l.PiecesFree)
	out.PiecesTotal = uint32(l.PiecesTotal)
	out.Running = uint32(l.Running)
	out.Queued = uint32(l.Queued)
	out.ExpectedWait = protoDuration(l.Wait)
	return out
}
