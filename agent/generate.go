package agent

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/endpoints"
	"ebonyreel/engines"
	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/reservation"
)

const (
	// streamHeartbeat is the interval of heartbeats on a stream to an entry.
	streamHeartbeat = time.Second
	// importTimeout bounds one call to import a KV cache. The first call has
	// firstImportTimeout, and each further one twice the timeout of the last.
	importTimeout      = 3 * time.Second
	firstImportTimeout = 250 * time.Millisecond
	// probeTimeout bounds the check whether an engine has crashed.
	probeTimeout = 500 * time.Millisecond
	// crashProbes is the number of probes in a row that must fail within
	// probeTimeout before an engine counts as crashed.
	crashProbes = 3
	// probeInterval is the time between two probes.
	probeInterval = 20 * time.Millisecond
	// tokenBufferSize bounds the tokens that are buffered for a slow entry.
	tokenBufferSize = 256
	// concurrentPrefills is the number of prompts that an engine computes at a
	// time, which is its number of prefill slots.
	concurrentPrefills = 1
)

func attemptFromProto(a *agentv1.Attempt) reservation.Attempt {
	return reservation.Attempt{Request: a.GetRequest(), Number: a.GetNumber(), Entry: a.GetEntry()}
}

// engineRequestID returns the ID of an attempt at an engine. It contains the
// attempt's number, so that cancelling one attempt never affects the next.
func engineRequestID(a reservation.Attempt) string {
	return a.Request + "/" + strconv.FormatUint(uint64(a.Number), 10)
}

// Reserve queues a request for decode memory or, at a prefill engine, for a
// prefill slot. It sends the position in the queue at once and the grant later.
func (a *Agent) Reserve(ctx context.Context, r *connect.Request[agentv1.ReserveRequest], out *connect.ServerStream[agentv1.ReserveResponse]) error {
	e, err := a.acceptingEndpoint()
	if err != nil {
		return notRunRefusal(err)
	}
	if e.decodeMemory == nil {
		return notRunRefusal(&RoleError{Role: e.announcement.Role, Asked: endpoints.RoleDecode})
	}
	attempt := attemptFromProto(r.Msg.GetAttempt())
	table := e.roleTable()
	request := requestFromProto(r.Msg, attempt)
	request.Isolated = r.Msg.GetIsolated() || a.isSuspect(r.Msg.GetContentDigest())
	if table == e.prefillSlots {
		// A prefill slot is used as soon as it is granted.
		request.Lead = 0
	}
	queued, err := table.enqueue(request)
	if err != nil {
		return notRunRefusal(err)
	}
	position := &agentv1.ReserveResponse{
		Ahead: uint32(queued.position.Ahead), ExpectedWait: protoDuration(queued.position.Wait), Load: a.loadReport(),
	}
	if err := out.Send(position); err != nil {
		table.withdraw(queued)
		return err
	}
	isolatedDigest := ""
	if request.Isolated && table == e.decodeMemory {
		isolatedDigest = r.Msg.GetContentDigest()
	}
	return a.awaitGrant(ctx, e, table, queued, isolatedDigest, out)
}

func requestFromProto(r *agentv1.ReserveRequest, attempt reservation.Attempt) reservation.Request {
	out := reservation.Request{Attempt: attempt, Caller: r.GetCaller(), Tokens: int(r.GetTokens()), Priority: int(r.GetPriority()), Lead: r.GetLead().AsDuration()}
	if p := r.GetPatience().AsDuration(); p > 0 {
		out.Deadline = time.Now().Add(p)
	}
	if r.GetGrantWithin() != nil {
		out.Target = time.Now().Add(r.GetGrantWithin().AsDuration())
	}
	return out
}

// awaitGrant sends heartbeats until the request is granted, and then the grant.
// isolatedDigest is the content that must run isolated, or empty.
func (a *Agent) awaitGrant(
	ctx context.Context, e *endpoint, table *tableOwner, queued queuedRequest, isolatedDigest string,
	out *connect.ServerStream[agentv1.ReserveResponse],
) error {
	heartbeat := time.NewTicker(streamHeartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			table.withdraw(queued)
			return ctx.Err()
		case <-table.ended:
			return notRunRefusal(&EndpointDownError{})
		case result := <-queued.results:
			if result.err != nil {
				return notRunRefusal(result.err)
			}
			return a.sendGrant(e, table, queued, isolatedDigest, result.grant.ID, out)
		case <-heartbeat.C:
			if err := out.Send(&agentv1.ReserveResponse{}); err != nil {
				table.withdraw(queued)
				return err
			}
		}
	}
}

// sendGrant sends a grant to the entry. For a content that must run isolated, it
// first acquires the isolated run from control.
func (a *Agent) sendGrant(
	e *endpoint, table *tableOwner, queued queuedRequest, isolatedDigest string, id uint64,
	out *connect.ServerStream[agentv1.ReserveResponse],
) error {
	if isolatedDigest != "" {
		// A crash that has already happened must not be counted against this
		// content.
		if a.engineCrashed(e) {
			a.handleCrash(e)
			table.withdraw(queued)
			return notRunRefusal(&EndpointDownError{})
		}
		if err := a.acquireIsolatedRun(queued.attempt, isolatedDigest); err != nil {
			table.withdraw(queued)
			return notRunRefusal(err)
		}
	}
	err := out.Send(&agentv1.ReserveResponse{Granted: true, Reservation: id, Load: a.loadReport()})
	if err != nil {
		table.withdraw(queued)
		a.endIsolatedRun(queued.attempt, false)
	}
	return err
}

// Prefill computes the KV cache of a prompt and exports it.
func (a *Agent) Prefill(ctx context.Context, r *connect.Request[agentv1.PrefillRequest]) (*connect.Response[agentv1.PrefillResponse], error) {
	e, err := a.acceptingEndpointOf(endpoints.RolePrefill)
	if err != nil {
		return nil, notRunRefusal(err)
	}
	a.callsInFlight.Add(1)
	defer a.callsInFlight.Add(-1)
	m := r.Msg
	attempt := attemptFromProto(m.GetAttempt())
	if m.GetReservation() != 0 {
		if err := e.prefillSlots.activate(ctx, attempt, m.GetReservation()); err != nil {
			return nil, notRunRefusal(err)
		}
		defer e.prefillSlots.release(attempt)
	}
	ctx, span := a.tracer.Start(ctx, "Prefill")
	defer span.End()
	engineRequest := engineRequestID(attempt)
	if a.isSuspect(m.GetContentDigest()) && !m.GetIsolated() {
		return nil, newRefusal(agentv1.Refusal_CODE_SUSPECT, &SuspectError{Digest: m.GetContentDigest()})
	}
	defer e.inflight.track(engineRequest, attemptWork{digest: m.GetContentDigest(), isolated: m.GetIsolated()})()
	res, err := e.engine.Prefill(ctx, engines.PrefillCall{
		Request:  engineRequest,
		Prompt:   m.GetPrompt(),
		Position: int(m.GetResumePosition()),
		Priority: int(m.GetPriority()),
	})
	if err != nil {
		e.canceller.cancel(engineRequest, nil)
		return nil, a.engineFailure(e, err)
	}
	e.inflight.trackExport(engineRequest, time.Now())
	return connect.NewResponse(&agentv1.PrefillResponse{
		Kv: &agentv1.KvHandle{
			Address: e.announcement.Address.String(),
			Handle:  res.Handle,
			Bytes:   res.Bytes,
			Lives:   protoDuration(res.Lifetime()),
		},
		PromptTokens: uint32(res.PromptTokens),
		CachedTokens: uint32(res.CachedTokens),
		Load:         a.loadReport(),
	}), nil
}

// engineFailure turns the error of an engine call into a refusal that tells
// whether the engine refused, crashed, or may still run the request.
func (a *Agent) engineFailure(e *endpoint, err error) error {
	var status *engines.StatusError
	if errors.As(err, &status) {
		return newRefusal(agentv1.Refusal_CODE_NOT_RUN, err)
	}
	if a.engineCrashed(e) {
		a.handleCrash(e)
		return newRefusal(agentv1.Refusal_CODE_ENDPOINT_CRASHED, err)
	}
	return newRefusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, err)
}

// engineCrashed reports whether an engine has ended or restarted. An engine that
// does not answer within probeTimeout does not count as crashed, as it may only
// be unreachable.
func (a *Agent) engineCrashed(e *endpoint) bool {
	ctx, cancel := context.WithTimeout(a.processCtx, probeTimeout)
	defer cancel()
	for range crashProbes {
		running, err := e.engine.Running(ctx)
		if err == nil {
			return running.Instance != e.announcement.Instance
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(probeInterval)
	}
	return true
}

// Decode imports a KV cache into granted memory and streams the tokens. The
// grant is always released at the end, but not before the engine has freed the
// memory.
func (a *Agent) Decode(ctx context.Context, r *connect.Request[agentv1.DecodeRequest], out *connect.ServerStream[agentv1.DecodeResponse]) error {
	e := a.liveEndpoint()
	if e == nil || e.decodeMemory == nil {
		return notRunRefusal(&EndpointDownError{})
	}
	m := r.Msg
	attempt := attemptFromProto(m.GetAttempt())
	pieces, err := e.decodeMemory.checkGrant(attempt, m.GetReservation())
	if err != nil {
		return notRunRefusal(err)
	}
	isolated := a.suspects.isIsolated(attempt)
	if a.isSuspect(m.GetContentDigest()) && !isolated {
		e.decodeMemory.release(attempt)
		return newRefusal(agentv1.Refusal_CODE_SUSPECT, &SuspectError{Digest: m.GetContentDigest()})
	}
	a.callsInFlight.Add(1)
	defer a.callsInFlight.Add(-1)
	defer e.inflight.track(engineRequestID(attempt), attemptWork{digest: m.GetContentDigest(), isolated: isolated})()
	err = a.decode(ctx, e, m, pieces, out)
	a.endIsolatedRun(attempt, err == nil)
	if err != nil {
		e.canceller.cancel(engineRequestID(attempt), func() { e.decodeMemory.release(attempt) })
		return err
	}
	e.decodeMemory.release(attempt)
	return nil
}

// decode waits for the granted memory, imports the KV cache and relays the
// tokens.
func (a *Agent) decode(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, pieces int, out *connect.ServerStream[agentv1.DecodeResponse]) error {
	if err := a.awaitMemory(ctx, e, m); err != nil {
		return err
	}
	if err := a.importKv(ctx, e, m, pieces); err != nil {
		return err
	}
	if err := out.Send(&agentv1.DecodeResponse{Attempt: m.GetAttempt().GetNumber(), Imported: true, Load: a.loadReport()}); err != nil {
		return err
	}
	return a.relayTokens(ctx, e, m, out)
}

// awaitMemory waits until the memory of the grant may be used, which takes time
// if it was granted in advance. It waits no longer than the engine keeps the KV
// cache.
func (a *Agent) awaitMemory(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, m.GetKv().GetLives().AsDuration())
	defer cancel()
	err := e.decodeMemory.activate(ctx, attemptFromProto(m.GetAttempt()), m.GetReservation())
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return newRefusal(agentv1.Refusal_CODE_KV_GONE, err)
	}
	return notRunRefusal(err)
}

// importKv makes the engine fetch the KV cache. An import that times out is
// repeated with twice the timeout, up to importTimeout, as the cache may still
// exist; then it counts as gone. A status of 404 or 410 means that the prefill
// engine no longer has the cache.
func (a *Agent) importKv(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, pieces int) error {
	ctx, span := a.tracer.Start(ctx, "Transfer")
	defer span.End()
	from, err := netip.ParseAddrPort(m.GetKv().GetAddress())
	if err != nil {
		return notRunRefusal(err)
	}
	call := engines.ImportCall{
		Request: engineRequestID(attemptFromProto(m.GetAttempt())), From: from, Handle: m.GetKv().GetHandle(), Pieces: pieces,
	}
	for timeout := firstImportTimeout; ; timeout *= 2 {
		err = importOnce(ctx, e, call, min(timeout, importTimeout))
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil || timeout >= importTimeout {
			break
		}
	}
	if err == nil {
		return nil
	}
	var status *engines.StatusError
	gone := errors.As(err, &status) && (status.Status == http.StatusGone || status.Status == http.StatusNotFound)
	if gone || errors.Is(err, context.DeadlineExceeded) {
		return newRefusal(agentv1.Refusal_CODE_KV_GONE, err)
	}
	return a.engineFailure(e, err)
}

func importOnce(ctx context.Context, e *endpoint, c engines.ImportCall, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.engine.Import(ctx, c)
}

// relayTokens sends the engine's tokens to the entry, and a heartbeat at each
// interval of streamHeartbeat.
func (a *Agent) relayTokens(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, out *connect.ServerStream[agentv1.DecodeResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span := a.tracer.Start(ctx, "Decode")
	defer span.End()
	tokens := make(chan engines.Token, tokenBufferSize)
	result := make(chan error, 1)
	go func() {
		result <- e.engine.Decode(ctx, decodeCall(m), func(t engines.Token) error { return sendToken(ctx, tokens, t) })
		close(tokens)
	}()
	heartbeat := time.NewTicker(streamHeartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if err := out.Send(&agentv1.DecodeResponse{Attempt: m.GetAttempt().GetNumber(), Heartbeat: true}); err != nil {
				return err
			}
		case t, ok := <-tokens:
			if !ok {
				return a.streamResult(ctx, e, <-result)
			}
			if err := out.Send(a.decodeResponse(m, t)); err != nil {
				return err
			}
		}
	}
}

// streamResult turns the result of a decode stream into an error for the entry.
func (a *Agent) streamResult(ctx context.Context, e *endpoint, err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	return a.engineFailure(e, err)
}

func sendToken(ctx context.Context, tokens chan<- engines.Token, t engines.Token) error {
	select {
	case tokens <- t:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decodeCall(m *agentv1.DecodeRequest) engines.DecodeCall {
	return engines.DecodeCall{
		Request:      engineRequestID(attemptFromProto(m.GetAttempt())),
		FromPosition: int(m.GetFromPosition()),
		MaxTokens:    int(m.GetMaxTokens()),
		Priority:     int(m.GetPriority()),
	}
}

func (a *Agent) decodeResponse(m *agentv1.DecodeRequest, t engines.Token) *agentv1.DecodeResponse {
	out := &agentv1.DecodeResponse{
		Attempt:      m.GetAttempt().GetNumber(),
		Position:     uint32(t.Position),
		Token:        t.Text,
		End:          t.End,
		FinishReason: t.FinishReason,
	}
	if t.End {
		out.Load = a.loadReport()
	}
	return out
}

// Release ends an attempt, whether it waits, has a grant, runs, or has an
// exported KV cache here.
func (a *Agent) Release(_ context.Context, r *connect.Request[agentv1.ReleaseRequest]) (*connect.Response[agentv1.ReleaseResponse], error) {
	if e := a.liveEndpoint(); e != nil && e.decodeMemory != nil {
		attempt := attemptFromProto(r.Msg.GetAttempt())
		engineRequest := engineRequestID(attempt)
		e.prefillSlots.release(attempt)
		e.inflight.dropExport(engineRequest)
		a.endIsolatedRun(attempt, false)
		if e.inflight.isRunning(engineRequest) {
			// The engine uses the memory until it confirms the cancel.
			e.canceller.cancel(engineRequest, func() { e.decodeMemory.release(attempt) })
		} else {
			e.decodeMemory.release(attempt)
			e.canceller.cancel(engineRequest, nil)
		}
	}
	return connect.NewResponse(&agentv1.ReleaseResponse{}), nil
}

// Renew extends the leases of an entry's attempts, and returns those that are
// unknown here: in no table, without an export and without a pin.
func (a *Agent) Renew(_ context.Context, r *connect.Request[agentv1.RenewRequest]) (*connect.Response[agentv1.RenewResponse], error) {
	out := &agentv1.RenewResponse{AgentIncarnation: a.announcer.Incarnation(), Load: a.loadReport()}
	e := a.liveEndpoint()
	out.EndpointUp = e != nil
	if e == nil || e.decodeMemory == nil {
		return connect.NewResponse(out), nil
	}
	attempts := make([]reservation.Attempt, 0, len(r.Msg.GetAttempts()))
	for _, t := range r.Msg.GetAttempts() {
		attempts = append(attempts, attemptFromProto(t))
	}
	now, pinned := time.Now(), map[string]bool{}
	for _, t := range attempts {
		pinned[engineRequestID(t)] = a.pins.renew(now, engineRequestID(t))
	}
	for _, t := range e.prefillSlots.renew(e.decodeMemory.renew(attempts)) {
		if e.inflight.renewExport(engineRequestID(t), now) || pinned[engineRequestID(t)] {
			continue
		}
		out.Unknown = append(out.Unknown, &agentv1.Attempt{Request: t.Request, Number: t.Number, Entry: t.Entry})
	}
	return connect.NewResponse(out), nil
}

// Place returns the agents that the copies of a content may run on, so that
// concurrent copies share a few endpoints.
func (a *Agent) Place(_ context.Context, r *connect.Request[agentv1.PlaceRequest]) (*connect.Response[agentv1.PlaceResponse], error) {
	m := r.Msg
	engineRequest := engineRequestID(attemptFromProto(m.GetAttempt()))
	names := a.pins.place(time.Now(), m.GetContent(), engineRequest, m.GetCandidate(), m.GetFailed(), int(m.GetSpread()))
	return connect.NewResponse(&agentv1.PlaceResponse{Agents: names}), nil
}

// Drain makes the agent refuse new work, and returns the work in flight.
func (a *Agent) Drain(context.Context, *connect.Request[agentv1.DrainRequest]) (*connect.Response[agentv1.DrainResponse], error) {
	a.BeginDrain()
	return connect.NewResponse(&agentv1.DrainResponse{InFlight: uint32(a.InFlight())}), nil
}

// Status returns the state of the agent.
func (a *Agent) Status(context.Context, *connect.Request[agentv1.StatusRequest]) (*connect.Response[agentv1.StatusResponse], error) {
	m := a.announcer.Member()
	out := &agentv1.StatusResponse{Agent: m.GetName(), Incarnation: m.GetIncarnation(), Load: a.loadReport(), EndpointUp: a.Up()}
	if d := a.view.Document(); d != nil {
		out.DocumentNumber = d.Number
	}
	return connect.NewResponse(out), nil
}
