package main

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"ebonyreel/agents"
	"ebonyreel/controls"
	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/entry"
	"ebonyreel/logs"
	"ebonyreel/placement"
	"ebonyreel/process"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/settings"
	"ebonyreel/traces"
	"ebonyreel/transport"
)

func newCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:           "entry",
		Short:         "Take calls from callers and place them on endpoints",
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.ReadEntry(file)
			if err != nil {
				return err
			}
			return run(s)
		},
	}
	c.PersistentFlags().StringVar(&file, "settings", "entry.json", "settings file")
	c.AddCommand(process.CheckSettings(func() error {
		_, err := settings.ReadEntry(file)
		return err
	}))
	return c
}

// run starts the duties of an entry and waits for its planned stop.
func run(s settings.Entry) error {
	log := logs.New("entry", s.Name)
	policy, _ := placement.New(s.Policy)
	tracer, err := traces.Open(s.TraceFile, "entry", s.Name)
	if err != nil {
		return err
	}
	tracing, err := tracer.Interceptor()
	if err != nil {
		return err
	}
	decisions, err := decision.Open(s.Name, s.DecisionFile)
	if err != nil {
		return err
	}
	stopping, stop := process.Stopping()
	defer stop()
	base, end := context.WithCancel(context.Background())
	defer end()

	client := controls.NewClient(transport.NewClient(), s.Controls)
	view := controls.NewView(client, s.Environment, log)
	announcer := controls.NewAnnouncer(client, view, member(s), log)
	pool := agents.NewPool(s.Name, log, connect.WithInterceptors(tracing))
	server := entry.NewServer(s.Name, client, view, announcer, pool, policy, decisions, tracer, log)
	go view.Run(base)
	go announcer.Run(base)
	go pool.RunReleases(base)
	go pool.RunRenewals(base)
	go decisions.Run()

	callers := transport.NewServer(server.Handler())
	operators := transport.NewServer(operatorRoutes(server, stop))
	failed := make(chan error, 2)
	go func() { failed <- transport.Serve(base, callers, s.Callers) }()
	go func() { failed <- transport.Serve(base, operators, s.Operators) }()
	log.WithField("Callers", s.Callers.String()).Info("started")
	select {
	case err := <-failed:
		return err
	case <-stopping.Done():
	}
	planned(base, server, announcer, log)
	process.Shutdown(log, callers, operators)
	decisions.Close()
	return tracer.Close(base)
}

// planned drains the server and then leaves the membership.
func planned(ctx context.Context, server *entry.Server, a *controls.Announcer, log *logrus.Entry) {
	server.Stop(ctx)
	if err := a.Leave(ctx, true); err != nil {
		log.WithError(err).Warn("leave failed, the lease will lapse")
	}
}

func member(s settings.Entry) *controlv1.Member {
	return &controlv1.Member{
		Environment:   s.Environment,
		Name:          s.Name,
		Address:       s.Operators.String(),
		FailureDomain: s.FailureDomain,
		Role:          controlv1.Role_ROLE_ENTRY,
		State:         controlv1.MemberState_MEMBER_STATE_SERVING,
		DocumentLevel: document.Level,
	}
}

func operatorRoutes(server *entry.Server, stop func()) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", server.Ready)
	m.Handle(entryv1connect.NewEntryServiceHandler(entry.NewOperator(server, stop)))
	process.Metrics(m, "Entry", server.Metrics())
	return m
}
