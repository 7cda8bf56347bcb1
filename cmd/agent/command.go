package main

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"ebonyreel/agent"
	"ebonyreel/controls"
	"ebonyreel/document"
	"ebonyreel/endpoints"
	"ebonyreel/logs"
	"ebonyreel/process"
	"ebonyreel/proto/agent/v1/agentv1connect"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/settings"
	"ebonyreel/traces"
	"ebonyreel/transport"
)

// drainPoll is the interval at which a drain checks whether the last call has
// ended.
const drainPoll = 50 * time.Millisecond

func newCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:          "agent",
		Short:        "Stand beside one endpoint and be the only way to it",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.ReadAgent(file)
			if err != nil {
				return err
			}
			return run(file, s)
		},
	}
	c.PersistentFlags().StringVar(&file, "settings", "agent.json", "settings file")
	c.AddCommand(process.NewCheckSettingsCommand(func() error {
		_, err := settings.ReadAgent(file)
		return err
	}))
	return c
}

// run starts an agent and returns after its planned stop or a failed server.
func run(file string, s settings.Agent) error {
	log := logs.New("agent", s.Name)
	defer logs.Flush(log)
	process.LimitMemory(s.MemoryMegabytes)
	tracer, err := traces.Open(s.TraceFile, "agent", s.Name)
	if err != nil {
		return err
	}
	tracing, err := tracer.Interceptor()
	if err != nil {
		return err
	}
	security, err := process.OpenSecurity(s.Security)
	if err != nil {
		return err
	}
	stopping, stop := process.SignalContext()
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	client := controls.NewClient(security.Client, s.Controls, connect.WithInterceptors(security.AddKey))
	view := controls.NewView(client, s.Environment, log)
	view.ExcludeCallers()
	announcer := controls.NewAnnouncer(client, view, member(s), log)
	a := agent.New(ctx, client, announcer, view, process.NewAnswerBudget(s.MemoryMegabytes), tracer, log)
	go process.Reload(ctx, file, log, func() error {
		changed, err := settings.ReadAgent(file)
		if err == nil {
			client.SetSeeds(changed.Controls)
		}
		return err
	})
	go view.Run(ctx)
	go announceWhenReady(ctx, a, announcer)
	go stopWhenMarkedLeaving(ctx, view, announcer, stop)

	peers := transport.NewServer(peerRoutes(a, connect.WithInterceptors(tracing, security.CheckKey)))
	endpoint := transport.NewServer(endpointRoutes(a))
	operators := transport.NewServer(operatorRoutes(a, security))
	failed := make(chan error, 3)
	go func() { failed <- transport.ServeSecure(ctx, peers, s.Peers, security.Certificates) }()
	go func() { failed <- transport.Serve(ctx, endpoint, s.Endpoint) }()
	go func() { failed <- transport.Serve(ctx, operators, s.Operators) }()
	process.PublishMetric("LogLinesDropped", logs.Dropped(log))
	go process.ServeMetrics(ctx, s.Metrics, log)
	log.WithField("Peers", s.Peers.String()).Info("started")
	select {
	case err := <-failed:
		return err
	case <-stopping.Done():
	}
	drain(ctx, a, announcer, log)
	process.Shutdown(log, peers, endpoint, operators)
	return tracer.Close(ctx)
}

// announceWhenReady joins the membership, and keeps the lease, once an endpoint
// is ready for work.
func announceWhenReady(ctx context.Context, a *agent.Agent, n *controls.Announcer) {
	select {
	case <-ctx.Done():
	case <-a.EndpointReady():
		n.Run(ctx)
	}
}

// stopWhenMarkedLeaving begins a planned stop once the agent's own member, in its
// current incarnation, is marked as leaving.
func stopWhenMarkedLeaving(ctx context.Context, v *controls.View, n *controls.Announcer, stop func()) {
	for {
		changed := v.Changed()
		self := n.Member()
		for _, m := range v.AllMembers() {
			leaving := m.GetState() == controlv1.MemberState_MEMBER_STATE_LEAVING
			if leaving && m.GetName() == self.GetName() && m.GetIncarnation() == self.GetIncarnation() {
				stop()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// drain refuses new work, announces to control that the agent is leaving, waits
// until nothing is in flight, and leaves the membership. An agent that never
// joined only refuses new work.
func drain(ctx context.Context, a *agent.Agent, n *controls.Announcer, log *logrus.Entry) {
	a.BeginDrain()
	if n.Incarnation() == 0 {
		return
	}
	if err := n.Leave(ctx, false); err != nil {
		log.WithError(err).Warn("leaving not announced")
	}
	for a.InFlight() > 0 {
		time.Sleep(drainPoll)
	}
	if err := n.Leave(ctx, true); err != nil {
		log.WithError(err).Warn("leave failed, the lease will lapse")
	}
	log.Info("drained")
}

// member returns the agent as a member of its environment, for announcements.
func member(s settings.Agent) *controlv1.Member {
	return &controlv1.Member{
		Environment:   s.Environment,
		Name:          s.Name,
		Address:       s.Announced.String(),
		FailureDomain: s.FailureDomain,
		State:         controlv1.MemberState_MEMBER_STATE_SERVING,
		DocumentLevel: document.Level,
	}
}

func peerRoutes(a *agent.Agent, opts ...connect.HandlerOption) http.Handler {
	m := http.NewServeMux()
	m.Handle(agentv1connect.NewAgentServiceHandler(a, opts...))
	return m
}

func endpointRoutes(a *agent.Agent) http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /Announce", endpoints.Handler(a.HandleAnnouncement))
	return m
}

func operatorRoutes(a *agent.Agent, s *process.Security) http.Handler {
	m := http.NewServeMux()
	process.AddMetricsRoute(m, "Agent", a.Metrics())
	process.PublishMetric("AccessRefused", s.Table.Refused)
	return m
}
