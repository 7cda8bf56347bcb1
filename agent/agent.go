// Package agent is the process in the slot beside each endpoint, and the only
// way to it. It promises the endpoint's memory, runs prefill and decode on a
// model engine, and calls a plain service.
package agent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/controls"
	"ebonyreel/endpoints"
	"ebonyreel/engines"
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/reservation"
	"ebonyreel/services"
	"ebonyreel/traces"
)

// Agent is one agent. Its methods are safe for concurrent use.
type Agent struct {
	client    *controls.Client
	announcer *controls.Announcer
	view      *controls.View
	log       *logrus.Entry
	tracer    *traces.Tracer

	mu sync.Mutex
	// endpoint is nil until one has announced itself.
	endpoint *endpoint
	// heard is when the endpoint announced itself last.
	heard time.Time
	// leaving is true once no new work is taken.
	leaving atomic.Bool
	// working counts calls in flight.
	working atomic.Int64
	// serving counts the calls inside a plain service.
	serving atomic.Int64
	// first is closed once the first endpoint takes work.
	first  chan struct{}
	joined sync.Once
	calls  callLog
	// suspects and pins outlive the engine.
	suspects suspects
	pins     pins
	// base ends with the process.
	base context.Context
}

// endpoint is one start of the endpoint beside the agent.
type endpoint struct {
	announcement endpoints.Announcement
	engine       *engines.Client
	service      *services.Client
	// memory promises decode memory, and turns the engine's prefill; both are
	// nil beside a plain service.
	memory    *memory
	turns     *memory
	canceller *canceller
	inflight  inflight
	// crashing guards the report of a crash; down is true from then on, until
	// the engine announces itself again.
	crashing sync.Mutex
	down     atomic.Bool
	// ready is true once nothing of an earlier agent is left at the endpoint.
	ready atomic.Bool
	// stop ends the goroutines of this endpoint.
	stop context.CancelFunc
}

// New returns an agent that knows no endpoint yet.
func New(ctx context.Context, c *controls.Client, a *controls.Announcer, v *controls.View, t *traces.Tracer, log *logrus.Entry) *Agent {
	return &Agent{
		client:    c,
		announcer: a,
		view:      v,
		log:       log,
		tracer:    t,
		first:     make(chan struct{}),
		base:      ctx,
	}
}

// First is closed once an endpoint takes work.
func (a *Agent) First() <-chan struct{} {
	return a.first
}

// Take takes in an announcement of the endpoint. One of a new instance means
// that the endpoint was restarted, and that all it held is gone.
func (a *Agent) Take(n endpoints.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = time.Now()
	old := a.endpoint
	if old == nil || old.announcement.Instance != n.Instance {
		a.endpoint = a.start(n)
		if old != nil {
			go a.crash(old)
			old.stop()
		}
	}
	a.endpoint.announcement = n
	a.endpoint.down.Store(false)
	a.announcer.Update(func(m *controlv1.Member) { describe(m, n) })
}

// start makes what belongs to one start of the endpoint.
func (a *Agent) start(n endpoints.Announcement) *endpoint {
	ctx, cancel := context.WithCancel(a.base)
	e := &endpoint{announcement: n, stop: cancel}
	if n.Role == endpoints.RoleService {
		e.service = services.NewClient(n.Address)
		a.ready(e)
		return e
	}
	e.engine = engines.NewClient(n.Address)
	e.canceller = newCanceller(e.engine, a.log)
	lapsed := func(t reservation.Attempt) {
		e.canceller.cancel(engineName(t), nil)
		a.endIsolated(t, false)
	}
	e.memory = newMemory(n.MemoryPieces, max(n.PieceTokens, 1), lapsed)
	e.turns = newMemory(prefillTurns, math.MaxInt32, lapsed)
	go e.memory.run(ctx)
	go e.turns.run(ctx)
	go e.canceller.run(ctx)
	go a.reconcile(ctx, e)
	return e
}

// describe copies an announcement into what the agent announces to control.
func describe(m *controlv1.Member, n endpoints.Announcement) {
	m.Serves = n.Serves
	m.Version = n.Version
	m.Adapters = n.Adapters
	m.MemoryPieces = uint32(n.MemoryPieces)
	m.PieceTokens = uint32(max(n.PieceTokens, 0))
	m.ChecksFencing = n.ChecksFencing
	switch n.Role {
	case endpoints.RolePrefill:
		m.Role = controlv1.Role_ROLE_PREFILL
	case endpoints.RoleDecode:
		m.Role = controlv1.Role_ROLE_DECODE
	default:
		m.Role = controlv1.Role_ROLE_SERVICE
	}
}

// current returns the endpoint, or nil when it is down.
func (a *Agent) current() *endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endpoint == nil || a.endpoint.down.Load() || time.Since(a.heard) > endpoints.Silence {
		return nil
	}
	return a.endpoint
}

// promises is what the endpoint promises in its role.
func (e *endpoint) promises() *memory {
	if e.announcement.Role == endpoints.RolePrefill {
		return e.turns
	}
	return e.memory
}

// Up reports whether the endpoint has been heard from lately.
func (a *Agent) Up() bool {
	return a.current() != nil
}

// accepts returns the endpoint where new work may start.
func (a *Agent) accepts() (*endpoint, error) {
	if a.leaving.Load() {
		return nil, &reservation.LeavingError{}
	}
	e := a.current()
	if e == nil || !e.ready.Load() {
		return nil, &DownError{}
	}
	if !a.announcer.Current(time.Now()) {
		return nil, &NoLeaseError{}
	}
	return e, nil
}

// acceptsRole returns the endpoint where new work of a role may start.
func (a *Agent) acceptsRole(role string) (*endpoint, error) {
	e, err := a.accepts()
	if err != nil {
		return nil, err
	}
	if e.announcement.Role != role {
		return nil, &RoleError{Role: e.announcement.Role, Asked: role}
	}
	return e, nil
}

// Leave makes the agent refuse new work; what is in flight goes on.
func (a *Agent) Leave() {
	if a.leaving.Swap(true) {
		return
	}
	a.log.Info("leaving")
	if e := a.current(); e != nil && e.memory != nil {
		e.memory.leave()
		e.turns.leave()
	}
}

// InFlight returns the number of calls and promises that are still running.
func (a *Agent) InFlight() int {
	n := int(a.working.Load())
	if e := a.current(); e != nil && e.memory != nil {
		m, t := e.memory.load(), e.turns.load()
		n += m.Running + m.Queued + t.Running + t.Queued
	}
	return n
}

// load describes the endpoint's load for an answer.
func (a *Agent) load() *agentv1.LoadReport {
	out := &agentv1.LoadReport{Leaving: a.leaving.Load()}
	e := a.current()
	if e == nil {
		return out
	}
	if e.announcement.Role == endpoints.RoleService {
		out.Queued = uint32(max(0, a.working.Load()))
		return out
	}
	l := e.promises().load()
	out.PiecesFree = uint32(l.PiecesFree)
	out.PiecesTotal = uint32(l.PiecesTotal)
	out.Running = uint32(l.Running)
	out.Queued = uint32(l.Queued)
	out.ExpectedWait = duration(l.Wait)
	return out
}
