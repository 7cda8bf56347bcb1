package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"ebonyreel/controls"
	"ebonyreel/document"
	"ebonyreel/transport"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitWrong    = 2
	exitConflict = 3
)

// callTimeout bounds one command.
const callTimeout = 20 * time.Second

// options are the flags that all commands share.
type options struct {
	controls    []string
	environment string
	operator    string
	output      string
}

func newCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:          "ebonyreel",
		Short:        "Operate ebonyreel through documents and planned stops",
		SilenceUsage: true,
	}
	f := c.PersistentFlags()
	f.StringSliceVar(&o.controls, "controls", []string{"127.0.0.1:7100"}, "addresses of the control hosts")
	f.StringVar(&o.environment, "environment", "", "environment, such as archive-trial")
	f.StringVar(&o.operator, "operator", os.Getenv("USER"), "name that is recorded with what is done")
	f.StringVar(&o.output, "output", "text", "text or json")
	c.AddCommand(newDocumentCommand(o), newStatusCommand(o), newStopCommand(o))
	return c
}

// client returns a client for the control hosts of the flags.
func (o *options) client() (*controls.Client, error) {
	addresses := make([]netip.AddrPort, 0, len(o.controls))
	for _, c := range o.controls {
		a, err := netip.ParseAddrPort(c)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	return controls.NewClient(transport.NewClient(), addresses), nil
}

func (o *options) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// exitCode maps an error to the documented exit codes.
func exitCode(err error) int {
	var check *document.CheckError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &check), connect.CodeOf(err) == connect.CodeInvalidArgument:
		return exitWrong
	case connect.CodeOf(err) == connect.CodeAlreadyExists:
		return exitConflict
	}
	return exitFailed
}
