package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ebonyreel/process"
	controlv1 "ebonyreel/proto/control/v1"
)

// row is one process in the status.
type row struct {
	Name          string
	Role          string
	State         string
	Serves        string `json:",omitempty"`
	FailureDomain string
	Address       string
	Incarnation   uint64
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "List the processes of an environment",
		RunE: func(c *cobra.Command, _ []string) error {
			members, err := o.members()
			if err != nil {
				return err
			}
			rows := make([]row, 0, len(members))
			for _, m := range members {
				rows = append(rows, rowOf(m))
			}
			if o.output == "json" {
				return process.Print(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, r := range rows {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.Name, r.Role, r.State, r.Serves, r.FailureDomain, r.Address, r.Incarnation)
			}
			return w.Flush()
		},
	}
}

func rowOf(m *controlv1.Member) row {
	return row{
		Name:          m.GetName(),
		Role:          m.GetRole().String()[len("ROLE_"):],
		State:         m.GetState().String()[len("MEMBER_STATE_"):],
		Serves:        m.GetServes(),
		FailureDomain: m.GetFailureDomain(),
		Address:       m.GetAddress(),
		Incarnation:   m.GetIncarnation(),
	}
}

// members lists the processes of the environment.
func (o *options) members() ([]*controlv1.Member, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.context()
	defer cancel()
	res, err := client.List(ctx, o.environment+"/Member/")
	if err != nil {
		return nil, err
	}
	var out []*controlv1.Member
	for _, it := range res.GetItems() {
		out = append(out, it.GetMember())
	}
	return out, nil
}
