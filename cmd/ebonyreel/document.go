package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ebonyreel/document"
	"ebonyreel/platform"
	"ebonyreel/process"
	controlv1 "ebonyreel/proto/control/v1"
)

func newDocumentCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "document", Short: "Check, compare, submit, approve, promote and show documents"}
	c.AddCommand(
		newCheckCommand(o), newDiffCommand(o), newSubmitCommand(o), newApproveCommand(o),
		newPromoteCommand(o), newHistoryCommand(o), newShowCommand(o),
	)
	return c
}

// documentSummary is what is printed of a document.
type documentSummary struct {
	Environment string
	Number      uint64
	Digest      string
	Submitter   string
	Approver    string `json:",omitempty"`
	Repeated    bool   `json:",omitempty"`
}

// summaryOf summarizes a document; repeated means that it had been accepted
// earlier.
func summaryOf(d *controlv1.Document, repeated bool) documentSummary {
	return documentSummary{
		Environment: d.GetEnvironment(),
		Number:      d.GetNumber(),
		Digest:      d.GetDigest(),
		Submitter:   d.GetSubmitter(),
		Approver:    d.GetApprover(),
		Repeated:    repeated,
	}
}

func (s documentSummary) String() string {
	out := fmt.Sprintf("%s document %d digest %.12s from %s", s.Environment, s.Number, s.Digest, s.Submitter)
	if s.Approver != "" {
		out += ", approved by " + s.Approver
	}
	if s.Repeated {
		out += " (accepted earlier)"
	}
	return out
}

// print writes v as JSON if that is the output format, and text otherwise.
func (o *options) print(w io.Writer, v any, text string) error {
	if o.output == jsonOutput {
		return process.WriteJSON(w, v)
	}
	_, err := fmt.Fprintln(w, text)
	return err
}

// printSummary writes the summary of one document.
func (o *options) printSummary(c *cobra.Command, s documentSummary) error {
	return o.print(c.OutOrStdout(), s, s.String())
}

// checkedDocument is what is printed of a document that was checked.
type checkedDocument struct {
	documentSummary
	Warnings []document.Warning
}

func newCheckCommand(o *options) *cobra.Command {
	var isPlatform bool
	var silenced []string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without submitting it",
		Long: `Check a document without submitting it, and without a connection.

Errors are those for which control would refuse it. Warnings name what can never match
and limits that contradict each other, and which callers would notice. To see what
differs from the document in force, use document diff.`,
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := readDocumentFile(args[0], isPlatform)
			if err != nil {
				return err
			}
			_, digest, err := d.Resolved()
			if err != nil {
				return err
			}
			out := checkedDocument{documentSummary: documentSummary{Environment: o.environment, Number: d.Number, Digest: digest, Submitter: o.operator}}
			text := out.String()
			for _, w := range document.Review(d) {
				if !slices.Contains(silenced, w.Name) {
					out.Warnings, text = append(out.Warnings, w), text+"\n"+w.String()
				}
			}
			return o.print(c.OutOrStdout(), out, text)
		},
	}
	c.Flags().BoolVar(&isPlatform, "platform", false, "the file is a configuration of the users' platform")
	c.Flags().StringSliceVar(&silenced, "silence", nil, "names of warnings that are not shown")
	return c
}

// readDocumentFile reads a document, or a configuration of the users' platform.
func readDocumentFile(name string, isPlatform bool) (*document.Document, error) {
	b, err := readFile(name)
	if err != nil {
		return nil, err
	}
	if isPlatform {
		if b, err = platform.ReadConfiguration(b); err != nil {
			return nil, err
		}
	}
	return document.Parse(b)
}

func newSubmitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a document to an environment",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := readFile(args[0])
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.callContext()
			defer cancel()
			res, err := client.Submit(ctx, &controlv1.SubmitRequest{Environment: o.environment, Document: b, Submitter: o.operator})
			if err != nil {
				return err
			}
			return o.printSummary(c, summaryOf(res.GetDocument(), res.GetRepeated()))
		},
	}
}

func newApproveCommand(o *options) *cobra.Command {
	var number uint64
	var digest string
	c := &cobra.Command{
		Use:   "approve",
		Short: "Record the approval of a document",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.callContext()
			defer cancel()
			res, err := client.Approve(ctx, &controlv1.ApproveRequest{
				Environment: o.environment, Number: number, Digest: digest, Approver: o.operator,
			})
			if err != nil {
				return err
			}
			return o.printSummary(c, summaryOf(res.GetDocument(), false))
		},
	}
	c.Flags().Uint64Var(&number, "number", 0, "number of the document")
	c.Flags().StringVar(&digest, "digest", "", "digest of the document")
	return c
}

func newPromoteCommand(o *options) *cobra.Command {
	var number uint64
	var digest, to string
	c := &cobra.Command{
		Use:   "promote",
		Short: "Move an approved document to another environment, byte for byte",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.callContext()
			defer cancel()
			res, err := client.Promote(ctx, &controlv1.PromoteRequest{
				FromEnvironment: o.environment, ToEnvironment: to, Number: number, Digest: digest, Submitter: o.operator,
			})
			if err != nil {
				return err
			}
			return o.printSummary(c, summaryOf(res.GetDocument(), res.GetRepeated()))
		},
	}
	c.Flags().Uint64Var(&number, "number", 0, "number of the document")
	c.Flags().StringVar(&digest, "digest", "", "digest of the document")
	c.Flags().StringVar(&to, "to", "", "environment that receives the document")
	return c
}

func newHistoryCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted documents of an environment",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			documents, err := o.documents()
			if err != nil {
				return err
			}
			rows := make([]documentSummary, 0, len(documents))
			lines := make([]string, 0, len(documents))
			for _, d := range documents {
				rows = append(rows, summaryOf(d, false))
				lines = append(lines, summaryOf(d, false).String())
			}
			return o.print(c.OutOrStdout(), rows, strings.Join(lines, "\n"))
		},
	}
}

// documents returns the accepted documents of the environment, oldest first.
func (o *options) documents() ([]*controlv1.Document, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.callContext()
	defer cancel()
	return client.History(ctx, o.environment)
}

// documentByNumber returns the accepted document with a number, or the document
// in force for number zero. The error may be an *UnknownDocumentError.
func (o *options) documentByNumber(number uint64) (*controlv1.Document, error) {
	documents, err := o.documents()
	if err != nil {
		return nil, err
	}
	for _, d := range slices.Backward(documents) {
		if number == 0 || d.GetNumber() == number {
			return d, nil
		}
	}
	return nil, &UnknownDocumentError{Environment: o.environment, Number: number}
}

// UnknownDocumentError reports that an environment has no document with a number.
type UnknownDocumentError struct {
	Environment string
	// Number is zero when the environment has no document at all.
	Number uint64
}

// Error names the environment and the number.
func (e *UnknownDocumentError) Error() string {
	if e.Number == 0 {
		return "environment " + e.Environment + " has no document"
	}
	return fmt.Sprintf("environment %s has no document %d", e.Environment, e.Number)
}

func newShowCommand(o *options) *cobra.Command {
	var number uint64
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the resolved document in force, or one by number",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := o.documentByNumber(number)
			if err != nil {
				return err
			}
			return printResolved(c.OutOrStdout(), d)
		},
	}
	c.Flags().Uint64Var(&number, "number", 0, "number of the document; zero is the one in force")
	return c
}

// printResolved writes the resolved form of a document as indented JSON.
func printResolved(w io.Writer, d *controlv1.Document) error {
	var b bytes.Buffer
	if err := json.Indent(&b, d.GetResolved(), "", "  "); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}
