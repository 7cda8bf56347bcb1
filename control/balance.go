package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/stages"
	"ebonyreel/state"
	"ebonyreel/workload"
)

const (
	// balanceInterval is the time between updates, in each of which engines may be
	// ordered to change their stage.
	balanceInterval = time.Second
	// maxOrdersAtOnce bounds the orders that are recorded and sent at the same time.
	maxOrdersAtOnce = 64
	// orderRetryInterval is the time after which an order that has had no effect
	// is repeated. Engines carry out some orders seconds late.
	orderRetryInterval = 15 * time.Second
	// maxOrderDelay bounds the time from the proposal of an order to its sending: a
	// host that was suspended in between may no longer lead.
	maxOrderDelay = 500 * time.Millisecond
	// orderTimeout bounds the recording and sending of an order.
	orderTimeout = time.Second
)

// Orderer sends orders to endpoints.
type Orderer interface {
	// Order orders an endpoint to take the role that its record wants, in the
	// name of the control host that gives the order.
	Order(ctx context.Context, e *controlv1.Endpoint, host string) error
}

// Balancer orders engines to take another stage while its host leads, so that
// the stages of a pool match their work.
type Balancer struct {
	store       *Store
	orderer     Orderer
	allocator   *Allocator
	environment string
	// orderPause is how long a new leader waits before its first order. It is the
	// time after which an earlier leader gives no more orders.
	orderPause time.Duration
	log        *logrus.Entry
	// leadsSince is when this host began to lead, as the time since boot with
	// suspensions included; zero while it does not lead.
	leadsSince time.Duration
}

// NewBalancer returns the balancer of a control host. It gives its first order
// no earlier than orderPause after the host has begun to lead.
func NewBalancer(s *Store, o Orderer, a *Allocator, environment string, orderPause time.Duration, log *logrus.Entry) *Balancer {
	return &Balancer{store: s, orderer: o, allocator: a, environment: environment, orderPause: orderPause, log: log}
}

// Run balances the pools until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	clock.Every(ctx, balanceInterval, func(time.Time) { b.update(ctx) })
}

func (b *Balancer) update(ctx context.Context) {
	if !b.store.Status().Leads {
		b.leadsSince = 0
		return
	}
	if b.leadsSince == 0 {
		b.leadsSince = clock.SinceBoot()
	}
	uses, estimates := b.merge()
	b.store.setEstimates(b.environment, estimates)
	if clock.SinceBoot()-b.leadsSince < b.orderPause {
		return
	}
	for pool, u := range uses {
		b.balance(ctx, pool, u)
	}
}

// merge merges the current reports on each pool. It returns the use of the pools that
// have work and whose speeds are known, and the estimates of all. The allocator knows
// best how long prefills take, as it knows which of them wait.
func (b *Balancer) merge() (map[string]stages.Use, []*controlv1.PoolEstimate) {
	uses := map[string]stages.Use{}
	var estimates []*controlv1.PoolEstimate
	for pool, reports := range b.store.poolReports(b.environment) {
		demand, e := workload.Merge(pool, reports)
		if t := b.allocator.PrefillPerToken(pool); t > 0 {
			e.PrefillSecondsPerToken = t.Seconds()
		}
		estimates = append(estimates, e)
		prefill, decode, ok := workload.Engines(demand, e)
		if ok && prefill+decode > 0 {
			uses[pool] = stages.Use{Prefill: prefill, Decode: decode, Unsettled: !workload.Settled(e, reports)}
		}
	}
	return uses, estimates
}

// balance orders the engines of a pool that should change their stage, and repeats
// the orders that have had no effect.
func (b *Balancer) balance(ctx context.Context, pool string, u stages.Use) {
	endpoints := b.store.engines(b.environment, pool)
	var engines []stages.Engine
	for _, e := range endpoints {
		engines = append(engines, stages.Engine{Stage: stageOf(e.GetRole()), Wanted: stageOf(wantedRole(e))})
	}
	var orders sync.WaitGroup
	started := 0
	give := func(i int, role controlv1.Role) {
		if started++; started <= maxOrdersAtOnce {
			orders.Go(func() { b.order(ctx, endpoints[i], role, u) })
		}
	}
	for i, e := range endpoints {
		if orderOverdue(e) {
			give(i, wantedRole(e))
		}
	}
	for _, i := range stages.Plan(engines, u) {
		give(i, otherRole(engines[i].Stage))
	}
	orders.Wait()
}

func otherRole(s stages.Stage) controlv1.Role {
	if s == stages.Prefill {
		return controlv1.Role_ROLE_DECODE
	}
	return controlv1.Role_ROLE_PREFILL
}

// order commits an order and sends it to the endpoint.
func (b *Balancer) order(ctx context.Context, e *controlv1.Endpoint, role controlv1.Role, u stages.Use) {
	start := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := &controlv1.OrderEndpointRequest{Environment: b.environment, Name: e.GetName(), Lifetime: e.GetLifetime(), Role: role}
	log := b.log.WithFields(logrus.Fields{"Endpoint": e.GetName(), "Role": role.String(), "PrefillUse": u.Prefill, "DecodeUse": u.Decode})
	if _, err := b.store.Propose(ctx, &controlv1.Command{Kind: &controlv1.Command_OrderEndpoint{OrderEndpoint: r}}); err != nil {
		log.WithError(err).Warn("order not recorded")
		return
	}
	e = b.store.endpoint(b.environment, e.GetName())
	if clock.SinceBoot()-start > maxOrderDelay {
		log.Warn("order not sent because it took too long to record")
		return
	}
	log = log.WithField("Order", e.GetOrder())
	err := b.orderer.Order(ctx, e, b.store.peers.self.Name)
	switch {
	case err == nil:
		log.Info("order given")
	case errors.Is(err, context.DeadlineExceeded):
		log.WithError(err).Warn("order not answered in time; it may still be carried out")
	default:
		log.WithError(err).Warn("endpoint did not confirm the order")
	}
}

// orderOverdue reports whether an endpoint has not carried out its order within
// orderRetryInterval.
func orderOverdue(e *controlv1.Endpoint) bool {
	return wantedRole(e) != e.GetRole() && time.Since(e.GetUpdatedAt().AsTime()) > orderRetryInterval
}

func wantedRole(e *controlv1.Endpoint) controlv1.Role {
	if w := e.GetWantedRole(); w != controlv1.Role_ROLE_UNSPECIFIED {
		return w
	}
	return e.GetRole()
}

func stageOf(r controlv1.Role) stages.Stage {
	if r == controlv1.Role_ROLE_PREFILL {
		return stages.Prefill
	}
	return stages.Decode
}

// engines returns the ready prefill and decode engines of a pool, sorted by
// name.
func (s *Store) engines(environment, pool string) []*controlv1.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*controlv1.Endpoint
	items, _ := s.state.List(state.Range{Prefix: state.EndpointPrefix(environment)})
	for _, it := range items {
		e := it.GetEndpoint()
		staged := e.GetRole() == controlv1.Role_ROLE_PREFILL || e.GetRole() == controlv1.Role_ROLE_DECODE
		if e.GetServes() == pool && staged && e.GetState() == controlv1.EndpointState_ENDPOINT_STATE_READY {
			out = append(out, e)
		}
	}
	return out
}

func (s *Store) endpoint(environment, name string) *controlv1.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Endpoint(environment, name)
}
