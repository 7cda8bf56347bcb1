package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ebonyreel/document"
	"ebonyreel/process"
	controlv1 "ebonyreel/proto/control/v1"
)

func newDocumentCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "document", Short: "Check, submit, approve, promote and show documents"}
	c.AddCommand(
		newCheckCommand(o), newSubmitCommand(o), newApproveCommand(o),
		newPromoteCommand(o), newHistoryCommand(o), newShowCommand(o),
	)
	return c
}

// summary is what is printed of a document.
type summary struct {
	Environment string
	Number      uint64
	Digest      string
	Submitter   string
	Approver    string `json:",omitempty"`
	Repeated    bool   `json:",omitempty"`
}

func summaryOf(d *controlv1.Document, repeated bool) summary {
	return summary{
		Environment: d.GetEnvironment(),
		Number:      d.GetNumber(),
		Digest:      d.GetDigest(),
		Submitter:   d.GetSubmitter(),
		Approver:    d.GetApprover(),
		Repeated:    repeated,
	}
}

func (o *options) print(w io.Writer, s summary) error {
	if o.output == "json" {
		return process.Print(s)
	}
	_, err := fmt.Fprintf(w, "%s document %d digest %.12s from %s", s.Environment, s.Number, s.Digest, s.Submitter)
	if s.Approver != "" {
		_, err = fmt.Fprintf(w, ", approved by %s", s.Approver)
	}
	if s.Repeated {
		_, err = fmt.Fprint(w, " (accepted earlier)")
	}
	_, _ = fmt.Fprintln(w)
	return err
}

func newCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without submitting it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			d, err := document.Parse(b)
			if err != nil {
				return err
			}
			_, digest, err := d.Resolved()
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), summary{Environment: o.environment, Number: d.Number, Digest: digest, Submitter: o.operator})
		},
	}
}

func newSubmitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a document to an environment",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.context()
			defer cancel()
			res, err := client.Submit(ctx, &controlv1.SubmitRequest{Environment: o.environment, Document: b, Submitter: o.operator})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), summaryOf(res.GetDocument(), res.GetRepeated()))
		},
	}
}

func newApproveCommand(o *options) *cobra.Command {
	var number uint64
	var digest string
	c := &cobra.Command{
		Use:   "approve",
		Short: "Record the approval of a document",
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.context()
			defer cancel()
			res, err := client.Approve(ctx, &controlv1.ApproveRequest{
				Environment: o.environment, Number: number, Digest: digest, Approver: o.operator,
			})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), summaryOf(res.GetDocument(), false))
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
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := o.context()
			defer cancel()
			res, err := client.Promote(ctx, &controlv1.PromoteRequest{
				FromEnvironment: o.environment, ToEnvironment: to, Number: number, Digest: digest, Submitter: o.operator,
			})
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), summaryOf(res.GetDocument(), res.GetRepeated()))
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
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := o.documents()
			if err != nil {
				return err
			}
			for _, d := range all {
				if err := o.print(c.OutOrStdout(), summaryOf(d, false)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// documents returns the accepted documents, oldest first.
func (o *options) documents() ([]*controlv1.Document, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.context()
	defer cancel()
	return client.History(ctx, o.environment)
}

// NoDocumentError reports an environment without a document of a number.
type NoDocumentError struct {
	Environment string
	Number      uint64
}

// Error says what was asked for.
func (e *NoDocumentError) Error() string {
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
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := o.documents()
			if err != nil {
				return err
			}
			for i := len(all) - 1; i >= 0; i-- {
				if number == 0 || all[i].GetNumber() == number {
					return printResolved(c.OutOrStdout(), all[i])
				}
			}
			return &NoDocumentError{Environment: o.environment, Number: number}
		},
	}
	c.Flags().Uint64Var(&number, "number", 0, "number of the document; zero is the one in force")
	return c
}

// printResolved writes a document with a line for each field.
func printResolved(w io.Writer, d *controlv1.Document) error {
	var b bytes.Buffer
	if err := json.Indent(&b, d.GetResolved(), "", "  "); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}
