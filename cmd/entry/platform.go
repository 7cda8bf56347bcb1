package main

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/controls"
	"ebonyreel/entry"
	"ebonyreel/platform"
	"ebonyreel/process"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/quota"
	"ebonyreel/relay"
	"ebonyreel/transport"
)

// platformFrontEnd returns the front end for the protocol Platform.
func (p components) platformFrontEnd(ctx context.Context, stop func()) (frontEnd, error) {
	s := p.settings
	budget := relay.RetryBudget{
		Ratio: s.RetryBudget.Ratio, Slack: s.RetryBudget.Slack, Window: time.Duration(s.RetryBudget.Window), Since: time.Now(),
	}
	answerBudget := process.NewAnswerBudget(s.MemoryMegabytes)
	client := platform.NewEndpointClient(answerBudget)
	r := relay.New(p.view, client, client, controls.NewStrikes(p.client, p.view), s.FailureDomain, budget, p.resources.decisions, p.log)
	r.SetAnswers(answerBudget)
	client.SetObserver(r)
	go r.RunStrikes(ctx)
	allocations := controls.NewAllocations(p.client, member(s), p.log)
	go allocations.RunReleases(ctx)
	r.SetAllocator(allocations)
	tolerance := quota.Tolerance{Excess: s.QuotaTolerance.Excess, Window: time.Duration(s.QuotaTolerance.Window)}
	quotas := controls.NewQuotas(allocations, tolerance, p.hasAccounts, p.log)
	go quotas.Run(ctx)
	r.SetQuotas(quotas)
	process.PublishMetric("Quotas", quotas.Metrics())
	streams := controls.NewStreams(p.client, p.view, s.Peers, s.Environment, p.log)
	r.SetStreams(streams)
	process.PublishMetric("Streams", streams.Metrics())
	p.announcer.SetPoolObserver(r)
	gate := entry.NewGate(p.view, p.log)
	m := p.operatorRoutes(r, gate.ServeReady, "Relay", r.Metrics(), stop)
	platform.AddReadiness(m, gate.Ready)
	peers := http.NewServeMux()
	peers.Handle(controlv1connect.NewStreamServiceHandler(streams.Register(), connect.WithInterceptors(p.resources.security.CheckKey)))
	return frontEnd{
		peers:     transport.NewServer(peers),
		callers:   transport.NewCallersServer(platform.NewCallerHandler(r, p.view.Document, gate.Draining, p.log)),
		operators: transport.NewServer(m),
		stop: func(ctx context.Context) {
			gate.Stop(ctx)
			r.Drain()
		},
	}, nil
}

// hasAccounts reports whether requests need the key of a client account.
func (p components) hasAccounts() bool {
	d := p.view.Document()
	return d != nil && d.Requests.NeedKey
}
