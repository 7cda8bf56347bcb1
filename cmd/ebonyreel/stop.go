package main

import (
	"context"
	"errors"
	"fmt"
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
		Long: `Stop a process once its requests in flight have ended.

No time limit cuts a request. Interrupting this command does not call off the
stop; running it again goes on waiting.`,
		Args: exactly(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return o.names(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			m, err := o.member(args[0])
			if err != nil {
				return err
			}
			if err := o.stop(client, m); err != nil {
				return err
			}
			return o.awaitGone(c, m)
		},
	}
}

// names lists the processes, for completion.
func (o *options) names() []string {
	members, err := o.members()
	if err != nil {
		return nil
	}
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.GetName())
	}
	return out
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
func (o *options) stop(client *controls.Client, m *controlv1.Member) error {
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
	l, err := o.link()
	if err != nil {
		return err
	}
	e := entryv1connect.NewEntryServiceClient(l.http, transport.URL(a), l.show)
	_, err = e.Drain(ctx, connect.NewRequest(&entryv1.DrainRequest{}))
	return err
}

// stopped is what is printed once a process has gone.
type stopped struct {
	Name string
	// StartedAgain is true when the process has a new incarnation.
	StartedAgain bool
	Seconds      float64
}

// awaitGone waits, without a limit, until a process has left, and writes its
// progress beside the output.
func (o *options) awaitGone(c *cobra.Command, m *controlv1.Member) error {
	begin := time.Now()
	l, err := o.link()
	if err != nil {
		return err
	}
	for {
		now, err := o.member(m.GetName())
		var gone *UnknownProcessError
		if err != nil && !errors.As(err, &gone) {
			return err
		}
		if err != nil || now.GetIncarnation() != m.GetIncarnation() {
			s := stopped{Name: m.GetName(), StartedAgain: err == nil, Seconds: time.Since(begin).Seconds()}
			return o.print(c.OutOrStdout(), s, s.String())
		}
		r := ask(l, now)
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "%s is draining: %d in flight, %d queued, %.0f s\n", r.Name, r.InFlight, r.Queued, time.Since(begin).Seconds())
		time.Sleep(stopPoll)
	}
}

// String says what became of the process.
func (s stopped) String() string {
	if s.StartedAgain {
		return s.Name + " has stopped and was started again"
	}
	return s.Name + " has stopped"
}
