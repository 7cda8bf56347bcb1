package main

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	agentv1 "ebonyreel/proto/agent/v1"
	"ebonyreel/proto/agent/v1/agentv1connect"
	controlv1 "ebonyreel/proto/control/v1"
	entryv1 "ebonyreel/proto/entry/v1"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/transport"
)

const (
	// maxConcurrentQueries bounds the processes that are asked at the same time, and
	// askTimeout the answer of each.
	maxConcurrentQueries     = 32
	queryTimeout = 2 * time.Second
)

// processStatus is one process in the status.
type processStatus struct {
	Name          string
	Role          string
	State         string
	Serves        string `json:",omitempty"`
	FailureDomain string
	Address       string
	Incarnation   uint64
	// DocumentNumber is that of the document in force at the process.
	DocumentNumber uint64
	// InFlight counts requests that run, and Queued those that wait.
	InFlight uint32
	Queued   uint32
	// PiecesFree and PiecesTotal are of the engine's memory.
	PiecesFree  uint32 `json:",omitempty"`
	PiecesTotal uint32 `json:",omitempty"`
	EndpointUp  bool
	// Problem is why the process did not answer; it is empty when it did.
	Problem string `json:",omitempty"`
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "List the processes of an environment with documents in force and queues",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			members, err := o.members()
			if err != nil {
				return err
			}
			l, err := o.rpcTransport()
			if err != nil {
				return err
			}
			rows := queryAll(l, members)
			sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
			return o.print(c.OutOrStdout(), rows, formatTable(rows))
		},
	}
}

// formatTable writes a line for each process under a line of titles.
func formatTable(rows []processStatus) string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tROLE\tSTATE\tSERVES\tDOMAIN\tADDRESS\tINCARNATION\tDOCUMENT\tIN FLIGHT\tQUEUED\tMEMORY\tPROBLEM")
	for _, r := range rows {
		memory := "-"
		if r.PiecesTotal > 0 {
			memory = fmt.Sprintf("%d/%d free", r.PiecesFree, r.PiecesTotal)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Name, r.Role, r.State, r.Serves,
			r.FailureDomain, r.Address, r.Incarnation, r.DocumentNumber, r.InFlight, r.Queued, memory, r.Problem)
	}
	_ = w.Flush()
	return strings.TrimRight(b.String(), "\n")
}

// queryAll asks each process for its own status, a few at a time.
func queryAll(l rpcTransport, members []*controlv1.Member) []processStatus {
	rows := make([]processStatus, len(members))
	forEachConcurrently(len(members), func(i int) { rows[i] = query(l, members[i]) })
	return rows
}

// forEachConcurrently calls a function with the numbers below n, a few at a time.
func forEachConcurrently(n int, call func(i int)) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxConcurrentQueries, n) {
		workers.Go(func() {
			for i := range next {
				call(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
}

func query(l rpcTransport, m *controlv1.Member) processStatus {
	r := statusFromMember(m)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err == nil && m.GetRole() == controlv1.Role_ROLE_ENTRY {
		err = r.queryEntry(ctx, entryv1connect.NewEntryServiceClient(l.httpClient, transport.URL(a), l.addKey))
	} else if err == nil {
		err = r.queryAgent(ctx, agentv1connect.NewAgentServiceClient(l.httpClient, transport.URL(a), l.addKey))
	}
	if err != nil {
		r.Problem = "no answer: " + err.Error()
	} else if !r.EndpointUp {
		r.Problem = "its endpoint is down"
	}
	return r
}

func (r *processStatus) queryEntry(ctx context.Context, c entryv1connect.EntryServiceClient) error {
	res, err := c.Status(ctx, connect.NewRequest(&entryv1.StatusRequest{}))
	if err != nil {
		return err
	}
	r.DocumentNumber, r.InFlight, r.EndpointUp = res.Msg.GetDocumentNumber(), res.Msg.GetInFlight(), true
	return nil
}

func (r *processStatus) queryAgent(ctx context.Context, c agentv1connect.AgentServiceClient) error {
	res, err := c.Status(ctx, connect.NewRequest(&agentv1.StatusRequest{}))
	if err != nil {
		return err
	}
	l := res.Msg.GetLoad()
	r.DocumentNumber, r.EndpointUp = res.Msg.GetDocumentNumber(), res.Msg.GetEndpointUp()
	r.InFlight, r.Queued = l.GetRunning(), l.GetQueued()
	r.PiecesFree, r.PiecesTotal = l.GetPiecesFree(), l.GetPiecesTotal()
	return nil
}

func statusFromMember(m *controlv1.Member) processStatus {
	return processStatus{
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
	ctx, cancel := o.callContext()
	defer cancel()
	res, err := client.List(ctx, &controlv1.ListRequest{Prefix: o.environment + "/Member/"})
	if err != nil {
		return nil, err
	}
	var out []*controlv1.Member
	for _, it := range res.GetItems() {
		out = append(out, it.GetMember())
	}
	return out, nil
}
