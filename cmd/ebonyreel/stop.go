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

// stopPoll is the interval at which the command checks whether a process has
// stopped.
const stopPoll = 500 * time.Millisecond

// UnknownProcessError reports that no process of the environment has a name.
type UnknownProcessError struct {
	Name string
}

// Error names the command that lists the processes.
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
		Args: exactArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return o.processNames(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(c *cobra.Command, args []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			m, err := o.memberByName(args[0])
			if err != nil {
				return err
			}
			if err := o.requestStop(client, m); err != nil {
				return err
			}
			return o.waitUntilStopped(c, m)
		},
	}
}

// processNames lists the names of the processes for shell completion.
func (o *options) processNames() []string {
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

// memberByName returns the member with a name. The error is an
// *UnknownProcessError if there is none.
func (o *options) memberByName(name string) (*controlv1.Member, error) {
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

// requestStop requests the planned stop of a process: from an entry directly,
// and from any other process by marking its membership as leaving.
func (o *options) requestStop(client *controls.Client, m *controlv1.Member) error {
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
	t, err := o.openTransport()
	if err != nil {
		return err
	}
	c := entryv1connect.NewEntryServiceClient(t.httpClient, transport.URL(a), t.addKey)
	_, err = c.Drain(ctx, connect.NewRequest(&entryv1.DrainRequest{}))
	return err
}

// stopResult is printed once a process has stopped.
type stopResult struct {
	Name string
	// StartedAgain is true when the process is a member again, with a new
	// incarnation.
	StartedAgain bool
	// Seconds is the time that the command waited.
	Seconds float64
}

// waitUntilStopped waits without a time limit until a process has left the
// membership, and reports the progress on standard error.
func (o *options) waitUntilStopped(c *cobra.Command, m *controlv1.Member) error {
	start := time.Now()
	t, err := o.openTransport()
	if err != nil {
		return err
	}
	for {
		current, err := o.memberByName(m.GetName())
		var unknown *UnknownProcessError
		if err != nil && !errors.As(err, &unknown) {
			return err
		}
		if err != nil || current.GetIncarnation() != m.GetIncarnation() {
			s := stopResult{Name: m.GetName(), StartedAgain: err == nil, Seconds: time.Since(start).Seconds()}
			return o.print(c.OutOrStdout(), s, s.String())
		}
		r := queryStatus(t, current)
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "%s is draining: %d in flight, %d queued, %.0f s\n", r.Name, r.InFlight, r.Queued, time.Since(start).Seconds())
		time.Sleep(stopPoll)
	}
}

// String returns the result as text.
func (s stopResult) String() string {
	if s.StartedAgain {
		return s.Name + " has stopped and was started again"
	}
	return s.Name + " has stopped"
}
