package main

import (
	"context"
	"expvar"
	"net/http"
	"time"

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

// leaveTimeout bounds the removal of an entry from the membership.
const leaveTimeout = 2 * time.Second

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
			return run(file, s)
		},
	}
	c.PersistentFlags().StringVar(&file, "settings", "entry.json", "settings file")
	c.AddCommand(process.NewCheckSettingsCommand(func() error {
		_, err := settings.ReadEntry(file)
		return err
	}))
	return c
}

// resources holds what an entry opens before it starts: the files named in its
// settings, and the tracer and security built from them.
type resources struct {
	tracer    *traces.Tracer
	tracing   connect.Interceptor
	decisions *decision.Log
	security  *process.Security
	// certificates are those for callers; nil means plain HTTP.
	certificates *transport.Certificates
}

// openResources opens the files that the settings name.
func openResources(s settings.Entry, log *logrus.Entry) (*resources, error) {
	r := &resources{}
	var err error
	if r.tracer, err = traces.Open(s.TraceFile, "entry", s.Name); err != nil {
		return nil, err
	}
	if r.tracing, err = r.tracer.Interceptor(); err != nil {
		return nil, err
	}
	if r.decisions, err = decision.Open(s.Name, s.DecisionFile, log); err != nil {
		return nil, err
	}
	if r.security, err = process.OpenSecurity(s.Security); err != nil {
		return nil, err
	}
	r.certificates, err = transport.OpenCertificates(s.CallersCertificateFiles())
	return r, err
}

// run starts an entry and returns after its planned stop or a failed server.
func run(file string, s settings.Entry) error {
	log := logs.New("entry", s.Name)
	defer logs.Flush(log)
	process.LimitMemory(s.MemoryMegabytes)
	r, err := openResources(s, log)
	if err != nil {
		return err
	}
	stopping, stop := process.SignalContext()
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	client := controls.NewClient(r.security.Client, s.Controls, connect.WithInterceptors(r.security.AddKey))
	view := newView(client, s, r.security, log)
	announcer := controls.NewAnnouncer(client, view, member(s), log)
	go process.Reload(ctx, file, log, func() error {
		changed, err := settings.ReadEntry(file)
		if err == nil {
			client.SetSeeds(changed.Controls)
		}
		return err
	})
	go view.Run(ctx)
	p := components{settings: s, resources: r, client: client, view: view, announcer: announcer, log: log}
	newFrontEnd := p.openAIFrontEnd
	if s.Protocol == settings.Platform {
		newFrontEnd = p.platformFrontEnd
	}
	front, err := newFrontEnd(ctx, stop)
	if err != nil {
		return err
	}
	go announcer.Run(ctx)
	go r.decisions.Run()
	process.PublishMetric("View", view.Metrics())
	process.PublishMetric("LogLinesDropped", logs.Dropped(log))
	go process.ServeMetrics(ctx, s.Metrics, log)
	servers, failed := front.serve(ctx, s, r)
	log.WithFields(logrus.Fields{"Callers": s.Callers.String(), "Protocol": s.Protocol}).Info("started")
	select {
	case err := <-failed:
		log.WithError(err).Error("stopped")
		return err
	case <-stopping.Done():
	}
	front.stop(ctx)
	// Control may not answer, and must not keep the servers open.
	left := leave(ctx, announcer, log)
	log.Info("closing each connection once its response has ended")
	process.Shutdown(log, servers...)
	<-left
	log.Info("stopped")
	r.decisions.Close()
	return r.tracer.Close(ctx)
}

// leave removes the entry from the membership in the background. The returned channel is
// closed once it is removed, or at the latest after leaveTimeout.
func leave(ctx context.Context, a *controls.Announcer, log *logrus.Entry) <-chan struct{} {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	go func() {
		defer cancel()
		if err := a.Leave(ctx, true); err != nil {
			log.WithError(err).Warn("leave failed, the lease will lapse")
			return
		}
		log.Info("left the membership")
	}()
	return ctx.Done()
}

// newView returns the view of an entry. A change of the document has to be in force
// sooner on the platform.
func newView(c *controls.Client, s settings.Entry, security *process.Security, log *logrus.Entry) *controls.View {
	v := controls.NewView(c, s.Environment, log)
	if s.Protocol == settings.Platform {
		v.WatchFast(security.NewClient)
	}
	return v
}

// components holds the parts of an entry that do not depend on the protocol of
// its callers.
type components struct {
	settings  settings.Entry
	resources *resources
	client    *controls.Client
	view      *controls.View
	announcer *controls.Announcer
	log       *logrus.Entry
}

// frontEnd holds the servers of an entry. The Protocol of its settings selects
// the function that creates it.
type frontEnd struct {
	callers   *http.Server
	operators *http.Server
	// peers serves other entries; nil for none.
	peers *http.Server
	// stop begins a planned stop: it makes the entry unready and returns once the
	// servers may be shut down.
	stop func(ctx context.Context)
}

// serve starts the servers. It returns them, and a channel for the error of one that fails.
func (f frontEnd) serve(ctx context.Context, s settings.Entry, r *resources) ([]*http.Server, <-chan error) {
	servers, failed := []*http.Server{f.callers, f.operators}, make(chan error, 3)
	go func() { failed <- transport.ServeSecure(ctx, f.callers, s.Callers, r.certificates) }()
	go func() { failed <- transport.ServeSecure(ctx, f.operators, s.Operators, r.security.Certificates) }()
	if f.peers != nil && s.Peers.IsValid() {
		servers = append(servers, f.peers)
		go func() { failed <- transport.ServeSecure(ctx, f.peers, s.Peers, r.security.Certificates) }()
	}
	return servers, failed
}

// openAIFrontEnd returns the front end for the protocol OpenAI.
func (p components) openAIFrontEnd(ctx context.Context, stop func()) (frontEnd, error) {
	policy, _ := placement.New(p.settings.Policy)
	r := p.resources
	peers := agents.NewPeers(p.settings.Name, r.security.NewClient, p.log, connect.WithInterceptors(r.tracing, r.security.AddKey))
	server := entry.NewServer(p.settings.Name, p.client, p.view, p.announcer, peers, policy, r.decisions, r.tracer, p.log)
	go peers.RunReleases(ctx)
	go peers.RunRenewals(ctx)
	return frontEnd{
		callers: transport.NewServer(server.Handler()), operators: transport.NewServer(p.operatorRoutes(server, server.Ready, "Entry", server.Metrics(), stop)),
		stop: server.Stop,
	}, nil
}

// member returns the entry as a member of its environment, for announcements.
func member(s settings.Entry) *controlv1.Member {
	m := &controlv1.Member{
		Environment:   s.Environment,
		Name:          s.Name,
		Address:       s.Operators.String(),
		FailureDomain: s.FailureDomain,
		Role:          controlv1.Role_ROLE_ENTRY,
		State:         controlv1.MemberState_MEMBER_STATE_SERVING,
		DocumentLevel: document.Level,
	}
	if s.Protocol == settings.Platform && s.Peers.IsValid() {
		m.PeerAddress = s.Peers.String()
	}
	return m
}

// operatorRoutes returns the routes on the address for operators. They are the
// same for all protocols of callers.
func (p components) operatorRoutes(counter entry.InFlightCounter, ready http.HandlerFunc, name string, metrics expvar.Var, stop func()) *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", ready)
	s := p.resources.security
	m.Handle(entryv1connect.NewEntryServiceHandler(entry.NewOperatorService(counter, p.view, p.announcer, p.resources.decisions, stop), connect.WithInterceptors(s.CheckKey)))
	process.AddMetricsRoute(m, name, metrics)
	process.PublishMetric("AccessRefused", s.Table.Refused)
	return m
}
