package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"ebonyreel/decision"
	controlv1 "ebonyreel/proto/control/v1"
	entryv1 "ebonyreel/proto/entry/v1"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/transport"
)

// UnknownRequestError reports that no record of a request was found.
type UnknownRequestError struct {
	Request string
	// Asked is the number of entries that answered, and Silent the number of
	// those that did not.
	Asked  int
	Silent int
}

// Error states how many entries answered and why a record may be missing.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no record of request %s: %d entries answered, %d did not; entries keep their newest records, and more where DecisionFile is set",
		e.Request, e.Asked, e.Silent)
}

func newExplainCommand(o *options) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Say why a request went where it went, or was refused",
		Long: `Say why a request went where it went, or was refused.

REQUEST is the X-Request-Id of the answer. All entries of the environment are
asked, or a copy of a decision file is read.`,
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := o.findRecord(args[0], file)
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), d, formatRecord(d))
		},
	}
	c.Flags().StringVar(&file, "decisions", "", "decision file to read in place of asking the entries")
	return c
}

// findRecord returns the decision record of a request from a file, or from the
// entries if file is empty. The error may be an *UnknownRequestError.
func (o *options) findRecord(request, file string) (decision.Record, error) {
	if file != "" {
		if d, ok := decision.FindInFile(file, request); ok {
			return d, nil
		}
		return decision.Record{}, &UnknownRequestError{Request: request}
	}
	members, err := o.members()
	if err != nil {
		return decision.Record{}, err
	}
	t, err := o.openTransport()
	if err != nil {
		return decision.Record{}, err
	}
	return findAtEntries(t, filterEntries(members), request)
}

// filterEntries returns the members that are entries.
func filterEntries(members []*controlv1.Member) []*controlv1.Member {
	var out []*controlv1.Member
	for _, m := range members {
		if m.GetRole() == controlv1.Role_ROLE_ENTRY {
			out = append(out, m)
		}
	}
	return out
}

// explainResult is the response of one entry.
type explainResult struct {
	record decision.Record
	found  bool
	err    error
}

// findAtEntries queries all entries and returns the first record found. The
// error is an *UnknownRequestError.
func findAtEntries(t rpcTransport, entries []*controlv1.Member, request string) (decision.Record, error) {
	results := make([]explainResult, len(entries))
	forEachConcurrently(len(entries), func(i int) { results[i] = queryRecord(t, entries[i], request) })
	notFound := &UnknownRequestError{Request: request}
	for _, r := range results {
		switch {
		case r.found:
			return r.record, nil
		case r.err != nil:
			notFound.Silent++
		default:
			notFound.Asked++
		}
	}
	return decision.Record{}, notFound
}

// queryRecord queries one entry for the record of a request.
func queryRecord(t rpcTransport, m *controlv1.Member, request string) explainResult {
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return explainResult{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	c := entryv1connect.NewEntryServiceClient(t.httpClient, transport.URL(a), t.addKey)
	res, err := c.Explain(ctx, connect.NewRequest(&entryv1.ExplainRequest{Request: request}))
	if err != nil || !res.Msg.GetFound() {
		return explainResult{err: err}
	}
	out := explainResult{found: true}
	out.err = json.Unmarshal(res.Msg.GetRecord(), &out.record)
	out.found = out.err == nil
	return out
}

// formatRecord returns a record as text with a line for each step.
func formatRecord(d decision.Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s on %s\n", d.Request, d.Time.Format("2006-01-02 15:04:05.000"), d.Entry)
	fmt.Fprintf(&b, "caller %s, serves %s, document %d\n", orNone(d.Caller), orNone(d.Serves), d.DocumentNumber)
	if d.ResumedAfter != "" {
		fmt.Fprintf(&b, "resumes the stream of request %s after event %s\n", orNone(d.ResumedRequest), d.ResumedAfter)
	}
	for _, c := range d.Choices {
		fmt.Fprintf(&b, "%6d ms  attempt %d: %s of %d members, chose %s%s\n", c.AfterMilliseconds, c.Attempt, c.Role, c.Members, orNone(c.Chosen), formatVersion(c.Version))
		for _, k := range c.Candidates {
			fmt.Fprintf(&b, "           asked %s%s\n", k.Name, formatLoad(k))
		}
	}
	for _, f := range d.Failures {
		fmt.Fprintf(&b, "%6d ms  attempt %d failed: %s\n", f.AfterMilliseconds, f.Attempt, f.Reason)
	}
	fmt.Fprintf(&b, "%6d ms  %s", d.ElapsedMilliseconds, d.Outcome)
	if d.Reason != "" {
		fmt.Fprintf(&b, ": %s", d.Reason)
	}
	return b.String()
}

func formatVersion(v string) string {
	if v == "" {
		return ""
	}
	return " of version " + v
}

func formatLoad(k decision.Candidate) string {
	if !k.Known {
		return ", load not known"
	}
	return fmt.Sprintf(": %d pieces free, %d running, %d queued, expected wait %d ms", k.PiecesFree, k.Running, k.Queued, k.WaitMilliseconds)
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
