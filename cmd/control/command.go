package main

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"

	"ebonyreel/control"
	"ebonyreel/logs"
	"ebonyreel/process"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

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
			return run(s)
		},
	}
	c.PersistentFlags().StringVar(&file, "settings", "control.json", "settings file")
	c.AddCommand(process.CheckSettings(func() error {
		_, err := settings.ReadControl(file)
		return err
	}))
	return c
}

// run starts the duties of a control process and waits for its planned stop.
func run(s settings.Control) error {
	log := logs.New("control", s.Name)
	stopping, stop := process.Stopping()
	defer stop()
	base, end := context.WithCancel(context.Background())
	defer end()

	store, err := control.Open(s, transport.NewClient(), log)
	if err != nil {
		return err
	}
	peers := transport.NewServer(peerRoutes(store))
	operators := transport.NewServer(operatorRoutes(store))
	failed := make(chan error, 3)
	go func() { failed <- store.Run(base) }()
	go func() { failed <- transport.Serve(base, peers, s.Peers) }()
	go func() { failed <- transport.Serve(base, operators, s.Operators) }()
	log.WithField("Peers", s.Peers.String()).Info("started")
	select {
	case err := <-failed:
		return err
	case <-stopping.Done():
	}
	store.Transfer(base)
	store.Close()
	process.Shutdown(log, peers, operators)
	return nil
}

func peerRoutes(store *control.Store) http.Handler {
	m := http.NewServeMux()
	m.Handle(controlv1connect.NewControlServiceHandler(control.NewServer(store)))
	m.Handle(replicav1connect.NewReplicaServiceHandler(control.NewReplica(store)))
	return m
}

func operatorRoutes(store *control.Store) http.Handler {
	m := http.NewServeMux()
	process.Metrics(m, "Control", store.Metrics())
	return m
}
