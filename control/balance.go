package control

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/stages"
	"ebonyreel/state"
)

const (
	// balanceInterval is the time between updates, each of which may give one
	// order per pool.
	balanceInterval = time.Second
	// useReportLifetime is how long an entry's report of its use counts.
	useReportLifetime = 3 * time.Second
	// useSmoothing is the weight of the newest sample in the exponential moving
	// average of a pool's use.
	useSmoothing = 0.25
	// minSamples is the number of samples that the first order needs.
	minSamples = 3
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
	environment string
	// orderPause is how long a new leader waits before its first order. It is the
	// time after which an earlier leader gives no more orders.
	orderPause time.Duration
	log        *logrus.Entry
	// averageUse is the moving average of each pool's use, keyed by pool, and
	// samples the number of updates since this host began to lead.
	averageUse map[string]stages.Use
	samples    int
	// leadsSince is when this host began to lead, as the time since boot with
	// suspensions included; zero while it does not lead.
	leadsSince time.Duration
}

// NewBalancer returns the balancer of a control host. It gives its first order
// no earlier than orderPause after the host has begun to lead.
func NewBalancer(s *Store, o Orderer, environment string, orderPause time.Duration, log *logrus.Entry) *Balancer {
	return &Balancer{store: s, orderer: o, environment: environment, orderPause: orderPause, log: log, averageUse: map[string]stages.Use{}}
}

// Run balances the pools until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(balanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.update(ctx)
		}
	}
}

func (b *Balancer) update(ctx context.Context) {
	if !b.store.Status().Leads {
		b.leadsSince, b.samples = 0, 0
		clear(b.averageUse)
		return
	}
	if b.leadsSince == 0 {
		b.leadsSince = clock.SinceBoot()
	}
	uses := b.store.poolUses(b.environment)
	for pool, u := range uses {
		old, ok := b.averageUse[pool]
		if !ok {
			old = u
		}
		b.averageUse[pool] = stages.Use{
			Prefill: old.Prefill + useSmoothing*(u.Prefill-old.Prefill),
			Decode:  old.Decode + useSmoothing*(u.Decode-old.Decode),
		}
	}
	b.samples++
	if b.samples < minSamples || clock.SinceBoot()-b.leadsSince < b.orderPause {
		return
	}
	for pool, u := range b.averageUse {
		b.balance(ctx, pool, u)
	}
}

// balance gives at most one order to an engine of a pool. An order that has had
// no effect is repeated before another one is given.
func (b *Balancer) balance(ctx context.Context, pool string, u stages.Use) {
	endpoints := b.store.engines(b.environment, pool)
	var engines []stages.Engine
	for _, e := range endpoints {
		engines = append(engines, stages.Engine{Stage: stageOf(e.GetRole()), Wanted: stageOf(wantedRole(e))})
	}
	if i := overdueOrder(endpoints); i >= 0 {
		b.order(ctx, endpoints[i], wantedRole(endpoints[i]), u)
		return
	}
	i, ok := stages.Next(engines, u)
	if !ok {
		return
	}
	role := controlv1.Role_ROLE_DECODE
	if engines[i].Stage == stages.Decode {
		role = controlv1.Role_ROLE_PREFILL
	}
	b.order(ctx, endpoints[i], role, u)
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

// overdueOrder returns the index of an endpoint that has not carried out its
// order within orderRetryInterval, or -1.
func overdueOrder(endpoints []*controlv1.Endpoint) int {
	for i, e := range endpoints {
		if wantedRole(e) != e.GetRole() && time.Since(e.GetUpdatedAt().AsTime()) > orderRetryInterval {
			return i
		}
	}
	return -1
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

// useReport is a member's newest report of its use of pools.
type useReport struct {
	uses       []*controlv1.PoolUse
	receivedAt time.Time
}

// recordUses keeps the newest report of a member, in memory only.
func (s *Store) recordUses(r *controlv1.AnnounceRequest) {
	if len(r.GetUses()) == 0 {
		return
	}
	m := r.GetMember()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useReports[state.MemberKey(m.GetEnvironment(), m.GetName())] = useReport{uses: r.GetUses(), receivedAt: time.Now()}
}

// poolUses returns the sum of the current reports of all members, by pool, and
// drops the outdated reports.
func (s *Store) poolUses(environment string) map[string]stages.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]stages.Use{}
	for key, r := range s.useReports {
		if time.Since(r.receivedAt) > useReportLifetime {
			delete(s.useReports, key)
			continue
		}
		if !strings.HasPrefix(key, state.MemberPrefix(environment)) {
			continue
		}
		for _, u := range r.uses {
			sum := out[u.GetPool()]
			out[u.GetPool()] = stages.Use{Prefill: sum.Prefill + u.GetPrefill(), Decode: sum.Decode + u.GetDecode()}
		}
	}
	return out
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
