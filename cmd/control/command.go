package main

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"ebonyreel/control"
	"ebonyreel/logs"
	"ebonyreel/platform"
	"ebonyreel/process"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/streams"
	"ebonyreel/transport"
)

// maxStreams bounds the streams whose origins a control host keeps.
const maxStreams = 200_000

func newCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:          "control",
		Short:        "Hold documents, membership and operation records",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.ReadControl(file)
			if err != nil {
				return err
			}
			return run(file, s)
		},
	}
	c.PersistentFlags().StringVar(&file, "settings", "control.json", "settings file")
	c.AddCommand(process.NewCheckSettingsCommand(func() error {
		_, err := settings.ReadControl(file)
		return err
	}))
	return c
}

// run starts a control process and returns after its planned stop or a failure.
func run(file string, s settings.Control) error {
	log := logs.New("control", s.Name)
	defer logs.Flush(log)
	process.LimitMemory(s.MemoryMegabytes)
	security, err := process.OpenSecurity(s.Security)
	if err != nil {
		return err
	}
	stopping, stop := process.SignalContext()
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	store, err := control.Open(stopping, s, security.Client, log, connect.WithInterceptors(security.AddKey))
	if err != nil {
		return err
	}
	routes := peerRoutes(store, security)
	if s.Protocol == settings.Platform {
		servePlatform(ctx, s, store, security, routes, log)
	}
	peers := transport.NewServer(routes)
	operators := transport.NewServer(operatorRoutes(store, security))
	failed := make(chan error, 3)
	go func() { failed <- store.Run(ctx) }()
	go func() { failed <- transport.ServeSecure(ctx, peers, s.Peers, security.Certificates) }()
	go func() { failed <- transport.Serve(ctx, operators, s.Operators) }()
	go process.Reload(ctx, file, log, func() error {
		changed, err := settings.ReadControl(file)
		if err == nil {
			store.SetSeeds(changed.Seeds)
		}
		return err
	})
	process.PublishMetric("LogLinesDropped", logs.Dropped(log))
	go process.ServeMetrics(ctx, s.Metrics, log)
	log.WithField("Peers", s.Peers.String()).Info("started")
	select {
	case err := <-failed:
		log.WithError(err).Error("stopped")
		return err
	case <-stopping.Done():
	}
	store.Transfer(ctx)
	store.Close()
	process.Shutdown(log, peers, operators)
	log.Info("stopped")
	return nil
}

// servePlatform adds the routes for endpoints and operators on the users' platform, and
// starts what gives orders to endpoints.
func servePlatform(ctx context.Context, s settings.Control, store *control.Store, security *process.Security, routes *http.ServeMux, log *logrus.Entry) {
	g := control.NewGateway(store, security.Client, connect.WithInterceptors(security.AddKey))
	platform.NewAnnouncementHandler(g, s.Environment, log).Add(routes)
	platform.NewConfigHandler(g, s.Environment, log).Add(routes)
	allocator := control.NewAllocator(store, s.Environment, s.LearnPaces, log)
	routes.Handle(controlv1connect.NewAllocationServiceHandler(allocator, connect.WithInterceptors(security.CheckKey)))
	routes.Handle(controlv1connect.NewStreamServiceHandler(streams.NewRegister(maxStreams), connect.WithInterceptors(security.CheckKey)))
	go allocator.Run(ctx)
	process.PublishMetric("Quotas", allocator.QuotaMetrics())
	client := platform.NewEndpointClient(process.NewAnswerBudget(s.MemoryMegabytes))
	go control.NewBalancer(store, client, allocator, s.Environment, time.Duration(s.OrderPause), log).Run(ctx)
}

func peerRoutes(store *control.Store, s *process.Security) *http.ServeMux {
	m := http.NewServeMux()
	check := connect.WithInterceptors(s.CheckKey)
	m.Handle(controlv1connect.NewControlServiceHandler(control.NewServer(store), check))
	m.Handle(replicav1connect.NewReplicaServiceHandler(control.NewReplicaServer(store), check))
	return m
}

func operatorRoutes(store *control.Store, s *process.Security) http.Handler {
	m := http.NewServeMux()
	process.AddMetricsRoute(m, "Control", store.Metrics())
	process.PublishMetric("AccessRefused", s.Table.Refused)
	return m
}
