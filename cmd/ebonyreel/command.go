package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"ebonyreel/access"
	"ebonyreel/controls"
	"ebonyreel/faults"
	"ebonyreel/transport"
)

// callTimeout limits each call of a command to control, and the call that starts
// a planned stop. The wait for the end of a planned stop has no limit.
const callTimeout = 20 * time.Second

// Output formats of the flag --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// options holds the flags that all commands share.
type options struct {
	controls    []string
	environment string
	operator    string
	output      string
	// key and authority are paths of files; each may be empty.
	key       string
	authority string
}

const longHelp = `Operate ebonyreel through documents and planned stops.

Exit codes:
  0  done
  1  failed: nobody answered, or something unforeseen
  2  the document, a flag or an argument is wrong
  3  conflict: another document was accepted first
  4  what was asked for is not there
  5  the document has no recorded approval
  6  the key is missing, not known or not one of an operator`

func newCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:           "ebonyreel",
		Short:         "Operate ebonyreel through documents and planned stops",
		Long:          longHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != textOutput && o.output != jsonOutput {
				return flagError("output", o.output, "text or json")
			}
			return nil
		},
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{Fault: faults.Fault{Field: "flags", Value: err.Error(), Expected: "those that --help lists"}}
	})
	f := c.PersistentFlags()
	f.StringSliceVar(&o.controls, "controls", []string{"127.0.0.1:7100"}, "addresses of the control hosts")
	f.StringVar(&o.environment, "environment", "", "environment, such as archive-trial")
	f.StringVar(&o.operator, "operator", os.Getenv("USER"), "name that is recorded with what is done")
	f.StringVar(&o.key, "key", os.Getenv("EBONYREEL_KEY_FILE"), "file with the operator's key, where keys are checked")
	f.StringVar(&o.authority, "authority", os.Getenv("EBONYREEL_AUTHORITY_FILE"), "file with the authority's certificate in PEM, where TLS is used")
	f.StringVar(&o.output, "output", textOutput, "text or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{textOutput, jsonOutput}, cobra.ShellCompDirectiveNoFileComp))
	c.AddCommand(newDocumentCommand(o), newStatusCommand(o), newStopCommand(o), newExplainCommand(o))
	return c
}

// client returns a client for the control hosts that --controls lists.
func (o *options) client() (*controls.Client, error) {
	if o.environment == "" {
		return nil, flagError("environment", "", "the name of an environment, such as archive-trial")
	}
	addresses := make([]netip.AddrPort, 0, len(o.controls))
	for _, c := range o.controls {
		a, err := netip.ParseAddrPort(c)
		if err != nil {
			return nil, flagError("controls", c, "IP numbers with ports, such as 10.0.0.1:7100")
		}
		addresses = append(addresses, a)
	}
	t, err := o.openTransport()
	if err != nil {
		return nil, err
	}
	return controls.NewClient(t.httpClient, addresses, t.addKey), nil
}

// rpcTransport holds what calls to processes use.
type rpcTransport struct {
	// httpClient uses TLS if --authority is set.
	httpClient *http.Client
	// addKey adds the operator's key to each call if --key is set.
	addKey connect.ClientOption
}

// openTransport reads the files of --authority and --key. The error is a
// *UsageError.
func (o *options) openTransport() (rpcTransport, error) {
	c, err := transport.OpenCertificates(transport.CertificateFiles{Authority: o.authority})
	if err != nil {
		return rpcTransport{}, flagError("authority", err.Error(), "a file with certificates in PEM")
	}
	f, err := access.OpenKeyFile(o.key)
	if err != nil {
		return rpcTransport{}, flagError("key", err.Error(), "a file with a key")
	}
	return rpcTransport{httpClient: transport.NewSecureClient(c), addKey: connect.WithInterceptors(access.ClientInterceptor(f))}, nil
}

// callContext returns a context that ends after callTimeout.
func (o *options) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// UsageError reports an invalid flag or argument.
type UsageError struct {
	// Fault names the flag or argument.
	Fault faults.Fault
}

// Error states what was found and what was expected.
func (e *UsageError) Error() string {
	return e.Fault.String()
}

// exactArgs returns a check that there are exactly n arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return argumentCountError(len(args), strconv.Itoa(n))
		}
		return nil
	}
}

func argumentCountError(found int, expected string) error {
	return &UsageError{Fault: faults.Fault{Field: "arguments", Value: strconv.Itoa(found), Expected: expected}}
}

// flagError returns a *UsageError for a flag; an empty value is reported as
// "nothing".
func flagError(name, value, expected string) error {
	if value == "" {
		value = "nothing"
	}
	return &UsageError{Fault: faults.Fault{Field: "--" + name, Value: value, Expected: expected}}
}

// readFile returns the content of a file that an argument names. The error is a
// *UsageError.
func readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, &UsageError{Fault: faults.Fault{Field: "FILE", Value: err.Error(), Expected: "a file that can be read"}}
	}
	return b, nil
}
