package main

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ebonyreel/document"
)

func newDiffCommand(o *options) *cobra.Command {
	var isPlatform bool
	c := &cobra.Command{
		Use:   "diff FILE|NUMBER [FILE|NUMBER]",
		Short: "Show what changes from one document to another",
		Long: `Show what changes, field by field, from the first document to the second.

Each is a file or the number of an accepted document. With one argument, it is
compared with the document in force. Defaults count as written.`,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) < 1 || len(args) > 2 {
				return argumentCountError(len(args), "1 or 2")
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				args = []string{"0", args[0]}
			}
			before, err := o.readDocument(args[0], isPlatform)
			if err != nil {
				return err
			}
			after, err := o.readDocument(args[1], isPlatform)
			if err != nil {
				return err
			}
			changes := append([]document.Change{}, document.Diff(before, after)...)
			return o.print(c.OutOrStdout(), changes, formatChanges(changes))
		},
	}
	c.Flags().BoolVar(&isPlatform, "platform", false, "files are configurations of the users' platform")
	return c
}

// readDocument returns an accepted document if name is a number, and otherwise
// the document in the file of that name.
func (o *options) readDocument(name string, isPlatform bool) (*document.Document, error) {
	if n, err := strconv.ParseUint(name, 10, 64); err == nil {
		d, err := o.documentByNumber(n)
		if err != nil {
			return nil, err
		}
		return document.Load(d.GetResolved())
	}
	return readDocumentFile(name, isPlatform)
}

// formatChanges returns the changes as text, one per line.
func formatChanges(changes []document.Change) string {
	if len(changes) == 0 {
		return "no changes"
	}
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}
