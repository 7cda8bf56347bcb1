package main

import (
	"context"
	"net/http"
	"time"

	"ebonyreel/controls"
	"ebonyreel/entry"
	"ebonyreel/platform"
	"ebonyreel/process"
	"ebonyreel/relay"
	"ebonyreel/transport"
)

// platform serves the calls of the users' platform.
func (p parts) platform(ctx context.Context, _ func()) (work, error) {
	s := p.settings
	budget := relay.Budget{Ratio: s.RetryBudget.Ratio, Slack: s.RetryBudget.Slack, Window: time.Duration(s.RetryBudget.Window)}
	w := platform.NewWorker()
	r := relay.New(p.view, w, w, controls.NewStrikes(p.client, p.view), s.FailureDomain, budget, p.log)
	go r.RunStrikes(ctx)
	p.announcer.ReportUses(r.Uses)
	gate := entry.NewGate(p.view, p.log)
	m := http.NewServeMux()
	platform.AddReadiness(m, gate.Ready)
	process.Metrics(m, "Relay", r.Metrics())
	return work{
		callers:   transport.NewCallersServer(platform.NewFront(r, p.view.Document, gate.Leaving, p.log)),
		operators: transport.NewServer(m),
		stop: func(ctx context.Context) {
			gate.Stop(ctx)
			r.Drain()
		},
	}, nil
}
