package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	entryv1 "ebonyreel/proto/entry/v1"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/transport"
)

// stopPoll is the time between looks whether a process has gone.
const stopPoll = 500 * time.Millisecond

// UnknownProcessError reports a name that no process has.
type UnknownProcessError struct {
	Name string
}

// Error says what to do.
func (e *UnknownProcessError) Error() string {
	return "no process is named " + e.Name + "; ebonyreel status lists them"
}

func newStopCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "stop NAME",
		Short: "Stop a process once its requests in flight have ended",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			m, err := o.member(args[0])
			if err != nil {
				return err
			}
			if err := stop(client, m); err != nil {
				return err
			}
			return o.awaitGone(c.OutOrStdout(), m)
		},
	}
}

func (o *options) member(name string) (*controlv1.Member, error) {
	members, err := o.members()
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.GetName() == name {
			return m, nil
		}
	}
	return nil, &UnknownProcessError{Name: name}
}

// stop asks an entry itself, and any other process through its membership.
func stop(client *controls.Client, m *controlv1.Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if m.GetRole() != controlv1.Role_ROLE_ENTRY {
		return client.Leave(ctx, &controlv1.LeaveRequest{
			Environment: m.GetEnvironment(), Name: m.GetName(), Incarnation: m.GetIncarnation(),
		})
	}
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return err
	}
	e := entryv1connect.NewEntryServiceClient(transport.NewClient(), transport.URL(a))
	_, err = e.Drain(ctx, connect.NewRequest(&entryv1.DrainRequest{}))
	return err
}

// awaitGone waits, without a limit, until a process has left.
func (o *options) awaitGone(w io.Writer, m *controlv1.Member) error {
	for {
		now, err := o.member(m.GetName())
		if err != nil {
			var gone *UnknownProcessError
			if !errors.As(err, &gone) {
				return err
			}
			_, err = fmt.Fprintln(w, m.GetName(), "has stopped")
			return err
		}
		if now.GetIncarnation() != m.GetIncarnation() {
			_, err = fmt.Fprintln(w, m.GetName(), "has stopped and was started again")
			return err
		}
		_, _ = fmt.Fprintln(w, m.GetName(), "is draining")
		time.Sleep(stopPoll)
	}
}
