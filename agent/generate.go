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
	// streamHeartbeat is the longest silence on a stream to an entry.
	streamHeartbeat = time.Second
	// importTimeout bounds the transfer of a KV cache, and firstTransfer its
	// first try.
	importTimeout = 3 * time.Second
	firstTransfer = 250 * time.Millisecond
	// probeTimeout bounds the look whether an engine is still there.
	probeTimeout = 500 * time.Millisecond
	// probes in a row that fail at once show an engine that has ended.
	probes     = 3
	probePause = 20 * time.Millisecond
	// tokenRing bounds the tokens between the engine and a slow entry.
	tokenRing = 256
	// prefillTurns is the number of prompts that an engine computes at a time.
	prefillTurns = 1
)

func attemptOf(a *agentv1.Attempt) reservation.Attempt {
	return reservation.Attempt{Request: a.GetRequest(), Number: a.GetNumber(), Entry: a.GetEntry()}
}

// engineName is the name of an attempt at an engine. It names the attempt too,
// so that cancelling one never touches the next.
func engineName(a reservation.Attempt) string {
	return a.Request + "/" + strconv.FormatUint(uint64(a.Number), 10)
}

// Reserve queues a request for decode memory, or for a turn at a prefill
// engine, and answers again with the grant.
func (a *Agent) Reserve(ctx context.Context, r *connect.Request[agentv1.ReserveRequest], out *connect.ServerStream[agentv1.ReserveResponse]) error {
	e, err := a.accepts()
	if err != nil {
		return notRun(err)
	}
	if e.memory == nil {
		return notRun(&RoleError{Role: e.announcement.Role, Asked: endpoints.RoleDecode})
	}
	at := attemptOf(r.Msg.GetAttempt())
	promises := e.promises()
	ask := askOf(r.Msg, at)
	ask.Isolated = r.Msg.GetIsolated() || a.struck(r.Msg.GetContentDigest())
	if promises == e.turns {
		ask.Lead = 0
	}
	place, granted, err := promises.ask(ask)
	if err != nil {
		return notRun(err)
	}
	queued := &agentv1.ReserveResponse{Ahead: uint32(place.Ahead), ExpectedWait: duration(place.Wait), Load: a.load()}
	if err := out.Send(queued); err != nil {
		promises.release(at)
		return err
	}
	alone := ""
	if ask.Isolated && promises == e.memory {
		alone = r.Msg.GetContentDigest()
	}
	return a.await(ctx, e, promises, at, alone, granted, out)
}

func askOf(r *agentv1.ReserveRequest, at reservation.Attempt) reservation.Ask {
	ask := reservation.Ask{Attempt: at, Caller: r.GetCaller(), Tokens: int(r.GetTokens()), Priority: int(r.GetPriority()), Lead: r.GetLead().AsDuration()}
	if p := r.GetPatience().AsDuration(); p > 0 {
		ask.Deadline = time.Now().Add(p)
	}
	if r.GetGrantWithin() != nil {
		ask.Target = time.Now().Add(r.GetGrantWithin().AsDuration())
	}
	return ask
}

// await sends the grant once it is there, and heartbeats until then. A content
// that must run alone is named, and its run asked for, before the grant.
func (a *Agent) await(ctx context.Context, e *endpoint, m *memory, at reservation.Attempt, alone string, granted <-chan outcome, out *connect.ServerStream[agentv1.ReserveResponse]) error {
	beat := time.NewTicker(streamHeartbeat)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			m.release(at)
			return ctx.Err()
		case <-m.done:
			return notRun(&DownError{})
		case o := <-granted:
			if !o.granted {
				return notRun(&reservation.FullError{RetryAfter: comeBack})
			}
			return a.promise(e, m, at, alone, o.grant.ID, out)
		case <-beat.C:
			if err := out.Send(&agentv1.ReserveResponse{}); err != nil {
				m.release(at)
				return err
			}
		}
	}
}

// promise passes a grant on.
func (a *Agent) promise(e *endpoint, m *memory, at reservation.Attempt, alone string, id uint64, out *connect.ServerStream[agentv1.ReserveResponse]) error {
	if alone != "" {
		// An engine that has ended before must not be laid to this content.
		if a.crashed(e) {
			a.crash(e)
			m.release(at)
			return notRun(&DownError{})
		}
		if err := a.isolate(at, alone); err != nil {
			m.release(at)
			return notRun(err)
		}
	}
	err := out.Send(&agentv1.ReserveResponse{Granted: true, Reservation: id, Load: a.load()})
	if err != nil {
		m.release(at)
		a.endIsolated(at, false)
	}
	return err
}

// Prefill computes the KV cache of a prompt and exports it.
func (a *Agent) Prefill(ctx context.Context, r *connect.Request[agentv1.PrefillRequest]) (*connect.Response[agentv1.PrefillResponse], error) {
	e, err := a.acceptsRole(endpoints.RolePrefill)
	if err != nil {
		return nil, notRun(err)
	}
	a.working.Add(1)
	defer a.working.Add(-1)
	m := r.Msg
	at := attemptOf(m.GetAttempt())
	if m.GetReservation() != 0 {
		if err := e.turns.place(ctx, at, m.GetReservation()); err != nil {
			return nil, notRun(err)
		}
		defer e.turns.release(at)
	}
	ctx, span := a.tracer.Start(ctx, "Prefill")
	defer span.End()
	name := engineName(at)
	if a.struck(m.GetContentDigest()) && !m.GetIsolated() {
		return nil, refusal(agentv1.Refusal_CODE_SUSPECT, &SuspectError{Digest: m.GetContentDigest()})
	}
	defer e.inflight.begin(name, work{digest: m.GetContentDigest(), isolated: m.GetIsolated()})()
	res, err := e.engine.Prefill(ctx, engines.PrefillCall{
		Request:  name,
		Prompt:   m.GetPrompt(),
		Position: int(m.GetResumePosition()),
		Priority: int(m.GetPriority()),
	})
	if err != nil {
		e.canceller.cancel(name, nil)
		return nil, a.broken(e, err)
	}
	e.inflight.export(name, time.Now())
	return connect.NewResponse(&agentv1.PrefillResponse{
		Kv: &agentv1.KvHandle{
			Address: e.announcement.Address.String(),
			Handle:  res.Handle,
			Bytes:   res.Bytes,
			Lives:   duration(res.Lives()),
		},
		PromptTokens: uint32(res.PromptTokens),
		CachedTokens: uint32(res.CachedTokens),
		Load:         a.load(),
	}), nil
}

// broken tells a crash of the engine from a refusal and a cut connection.
func (a *Agent) broken(e *endpoint, err error) error {
	var status *engines.StatusError
	if errors.As(err, &status) {
		return refusal(agentv1.Refusal_CODE_NOT_RUN, err)
	}
	if a.crashed(e) {
		a.crash(e)
		return refusal(agentv1.Refusal_CODE_ENDPOINT_CRASHED, err)
	}
	return refusal(agentv1.Refusal_CODE_OUTCOME_UNKNOWN, err)
}

// crashed reports whether an engine has ended. One that does not answer in
// time may only be out of reach.
func (a *Agent) crashed(e *endpoint) bool {
	ctx, cancel := context.WithTimeout(a.base, probeTimeout)
	defer cancel()
	for range probes {
		running, err := e.engine.Running(ctx)
		if err == nil {
			return running.Instance != e.announcement.Instance
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(probePause)
	}
	return true
}

// Decode imports a KV cache into promised memory and streams the tokens.
// Whatever way it ends, the promise is released, but not before the engine
// has let its memory go.
func (a *Agent) Decode(ctx context.Context, r *connect.Request[agentv1.DecodeRequest], out *connect.ServerStream[agentv1.DecodeResponse]) error {
	e := a.current()
	if e == nil || e.memory == nil {
		return notRun(&DownError{})
	}
	m := r.Msg
	at := attemptOf(m.GetAttempt())
	pieces, err := e.memory.hold(at, m.GetReservation())
	if err != nil {
		return notRun(err)
	}
	isolated := a.suspects.isolated(at)
	if a.struck(m.GetContentDigest()) && !isolated {
		e.memory.release(at)
		return refusal(agentv1.Refusal_CODE_SUSPECT, &SuspectError{Digest: m.GetContentDigest()})
	}
	a.working.Add(1)
	defer a.working.Add(-1)
	defer e.inflight.begin(engineName(at), work{digest: m.GetContentDigest(), isolated: isolated})()
	err = a.run(ctx, e, m, pieces, out)
	a.endIsolated(at, err == nil)
	if err != nil {
		e.canceller.cancel(engineName(at), func() { e.memory.release(at) })
		return err
	}
	e.memory.release(at)
	return nil
}

// run imports a KV cache and relays its tokens.
func (a *Agent) run(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, pieces int, out *connect.ServerStream[agentv1.DecodeResponse]) error {
	if err := a.placeKv(ctx, e, m); err != nil {
		return err
	}
	if err := a.importKv(ctx, e, m, pieces); err != nil {
		return err
	}
	if err := out.Send(&agentv1.DecodeResponse{Attempt: m.GetAttempt().GetNumber(), Imported: true, Load: a.load()}); err != nil {
		return err
	}
	return a.relay(ctx, e, m, out)
}

// placeKv waits for memory that was promised ahead, no longer than the KV cache
// lives.
func (a *Agent) placeKv(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, m.GetKv().GetLives().AsDuration())
	defer cancel()
	err := e.memory.place(ctx, attemptOf(m.GetAttempt()), m.GetReservation())
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return refusal(agentv1.Refusal_CODE_KV_GONE, err)
	}
	return notRun(err)
}

// importKv fetches the KV cache. A transfer that makes no end is given up and
// started again, with more time, as long as the cache may still be there. The
// prefill engine says 404 or 410 when it is gone.
func (a *Agent) importKv(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, pieces int) error {
	ctx, span := a.tracer.Start(ctx, "Transfer")
	defer span.End()
	from, err := netip.ParseAddrPort(m.GetKv().GetAddress())
	if err != nil {
		return notRun(err)
	}
	call := engines.ImportCall{
		Request: engineName(attemptOf(m.GetAttempt())), From: from, Handle: m.GetKv().GetHandle(), Pieces: pieces,
	}
	for timeout := firstTransfer; ; timeout *= 2 {
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
		return refusal(agentv1.Refusal_CODE_KV_GONE, err)
	}
	return a.broken(e, err)
}

func importOnce(ctx context.Context, e *endpoint, c engines.ImportCall, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.engine.Import(ctx, c)
}

// relay passes tokens on, and heartbeats while there are none.
func (a *Agent) relay(ctx context.Context, e *endpoint, m *agentv1.DecodeRequest, out *connect.ServerStream[agentv1.DecodeResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span := a.tracer.Start(ctx, "Decode")
	defer span.End()
	tokens := make(chan engines.Token, tokenRing)
	ended := make(chan error, 1)
	go func() {
		ended <- e.engine.Decode(ctx, decodeCall(m), func(t engines.Token) error { return put(ctx, tokens, t) })
		close(tokens)
	}()
	beat := time.NewTicker(streamHeartbeat)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			if err := out.Send(&agentv1.DecodeResponse{Attempt: m.GetAttempt().GetNumber(), Heartbeat: true}); err != nil {
				return err
			}
		case t, ok := <-tokens:
			if !ok {
				return a.ended(ctx, e, <-ended)
			}
			if err := out.Send(a.message(m, t)); err != nil {
				return err
			}
		}
	}
}

func (a *Agent) ended(ctx context.Context, e *endpoint, err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	return a.broken(e, err)
}

func put(ctx context.Context, tokens chan<- engines.Token, t engines.Token) error {
	select {
	case tokens <- t:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decodeCall(m *agentv1.DecodeRequest) engines.DecodeCall {
	return engines.DecodeCall{
		Request:      engineName(attemptOf(m.GetAttempt())),
		FromPosition: int(m.GetFromPosition()),
		MaxTokens:    int(m.GetMaxTokens()),
		Priority:     int(m.GetPriority()),
	}
}

func (a *Agent) message(m *agentv1.DecodeRequest, t engines.Token) *agentv1.DecodeResponse {
	out := &agentv1.DecodeResponse{
		Attempt:      m.GetAttempt().GetNumber(),
		Position:     uint32(t.Position),
		Token:        t.Text,
		End:          t.End,
		FinishReason: t.FinishReason,
	}
	if t.End {
		out.Load = a.load()
	}
	return out
}

// Release ends an attempt, whether it waits, holds or was exported here.
func (a *Agent) Release(_ context.Context, r *connect.Request[agentv1.ReleaseRequest]) (*connect.Response[agentv1.ReleaseResponse], error) {
	if e := a.current(); e != nil && e.memory != nil {
		at := attemptOf(r.Msg.GetAttempt())
		name := engineName(at)
		e.turns.release(at)
		e.inflight.drop(name)
		a.endIsolated(at, false)
		if e.inflight.runs(name) {
			e.canceller.cancel(name, func() { e.memory.release(at) })
		} else {
			e.memory.release(at)
			e.canceller.cancel(name, nil)
		}
	}
	return connect.NewResponse(&agentv1.ReleaseResponse{}), nil
}

// Renew extends the leases of the requests that one entry has here.
func (a *Agent) Renew(_ context.Context, r *connect.Request[agentv1.RenewRequest]) (*connect.Response[agentv1.RenewResponse], error) {
	out := &agentv1.RenewResponse{AgentIncarnation: a.announcer.Incarnation(), Load: a.load()}
	e := a.current()
	out.EndpointUp = e != nil
	if e == nil || e.memory == nil {
		return connect.NewResponse(out), nil
	}
	attempts := make([]reservation.Attempt, 0, len(r.Msg.GetAttempts()))
	for _, t := range r.Msg.GetAttempts() {
		attempts = append(attempts, attemptOf(t))
	}
	now, pinned := time.Now(), map[string]bool{}
	for _, t := range attempts {
		pinned[engineName(t)] = a.pins.renew(now, engineName(t))
	}
	for _, t := range e.turns.renew(e.memory.renew(attempts)) {
		if e.inflight.renew(engineName(t), now) || pinned[engineName(t)] {
			continue
		}
		out.Unknown = append(out.Unknown, &agentv1.Attempt{Request: t.Request, Number: t.Number, Entry: t.Entry})
	}
	return connect.NewResponse(out), nil
}

// Place keeps the copies of one content together.
func (a *Agent) Place(_ context.Context, r *connect.Request[agentv1.PlaceRequest]) (*connect.Response[agentv1.PlaceResponse], error) {
	m := r.Msg
	name := engineName(attemptOf(m.GetAttempt()))
	names := a.pins.place(time.Now(), m.GetContent(), name, m.GetCandidate(), m.GetFailed(), int(m.GetSpread()))
	return connect.NewResponse(&agentv1.PlaceResponse{Agents: names}), nil
}

// Drain makes the agent leave.
func (a *Agent) Drain(context.Context, *connect.Request[agentv1.DrainRequest]) (*connect.Response[agentv1.DrainResponse], error) {
	a.Leave()
	return connect.NewResponse(&agentv1.DrainResponse{InFlight: uint32(a.InFlight())}), nil
}

// Status describes the agent.
func (a *Agent) Status(context.Context, *connect.Request[agentv1.StatusRequest]) (*connect.Response[agentv1.StatusResponse], error) {
	m := a.announcer.Member()
	out := &agentv1.StatusResponse{Agent: m.GetName(), Incarnation: m.GetIncarnation(), Load: a.load(), EndpointUp: a.Up()}
	if d := a.view.Document(); d != nil {
		out.DocumentNumber = d.Number
	}
	return connect.NewResponse(out), nil
}
