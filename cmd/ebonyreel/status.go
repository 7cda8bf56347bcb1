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
	// maxConcurrentQueries is the number of processes that are queried at the
	// same time.
	maxConcurrentQueries = 32
	// queryTimeout limits the query of each process.
	queryTimeout = 2 * time.Second
)

// processStatus is the status of one process as the command status prints it.
type processStatus struct {
	Name          string
	Role          string
	State         string
	Serves        string `json:",omitempty"`
	FailureDomain string
	Address       string
	Incarnation   uint64
	// DocumentNumber is the number of the document in force at the process.
	DocumentNumber uint64
	// InFlight is the number of running requests, and Queued that of waiting
	// ones.
	InFlight uint32
	Queued   uint32
	// PiecesFree and PiecesTotal count pieces of the engine's memory.
	PiecesFree  uint32 `json:",omitempty"`
	PiecesTotal uint32 `json:",omitempty"`
	// EndpointUp is true for an entry that answered, and for an agent that
	// answered and whose endpoint is up.
	EndpointUp bool
	// Problem states why the process did not answer, or that its endpoint is
	// down. It is empty when there is no problem.
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
			t, err := o.openTransport()
			if err != nil {
				return err
			}
			rows := queryStatuses(t, members)
			sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
			return o.print(c.OutOrStdout(), rows, formatTable(rows))
		},
	}
}

// formatTable returns a table with a header and a line for each process.
func formatTable(rows []processStatus) string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tROLE\tSTATE\tSERVES\tDOMAIN\tADDRESS\tINCARNATION\tDOCUMENT\tIN FLIGHT\tQUEUED\tMEMORY\tPROBLEM")
	for _, s := range rows {
		memory := "-"
		if s.PiecesTotal > 0 {
			memory = fmt.Sprintf("%d/%d free", s.PiecesFree, s.PiecesTotal)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.Role, s.State, s.Serves,
			s.FailureDomain, s.Address, s.Incarnation, s.DocumentNumber, s.InFlight, s.Queued, memory, s.Problem)
	}
	_ = w.Flush()
	return strings.TrimRight(b.String(), "\n")
}

// queryStatuses queries the status of all members, up to maxConcurrentQueries at a
// time.
func queryStatuses(t rpcTransport, members []*controlv1.Member) []processStatus {
	rows := make([]processStatus, len(members))
	forEachConcurrently(len(members), func(i int) { rows[i] = queryStatus(t, members[i]) })
	return rows
}

// forEachConcurrently calls a function for each number from 0 to n-1, with up to
// maxConcurrentQueries calls at a time, and returns when all have ended.
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

// queryStatus returns the status of a member. If the member does not answer, the
// status holds what its membership states, and the problem.
func queryStatus(t rpcTransport, m *controlv1.Member) processStatus {
	s := statusFromMember(m)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err == nil && m.GetRole() == controlv1.Role_ROLE_ENTRY {
		err = s.queryEntry(ctx, entryv1connect.NewEntryServiceClient(t.httpClient, transport.URL(a), t.addKey))
	} else if err == nil {
		err = s.queryAgent(ctx, agentv1connect.NewAgentServiceClient(t.httpClient, transport.URL(a), t.addKey))
	}
	if err != nil {
		s.Problem = "no answer: " + err.Error()
	} else if !s.EndpointUp {
		s.Problem = "its endpoint is down"
	}
	return s
}

// queryEntry adds what the entry itself reports.
func (s *processStatus) queryEntry(ctx context.Context, c entryv1connect.EntryServiceClient) error {
	res, err := c.Status(ctx, connect.NewRequest(&entryv1.StatusRequest{}))
	if err != nil {
		return err
	}
	s.DocumentNumber, s.InFlight, s.EndpointUp = res.Msg.GetDocumentNumber(), res.Msg.GetInFlight(), true
	return nil
}

// queryAgent adds what the agent itself reports.
func (s *processStatus) queryAgent(ctx context.Context, c agentv1connect.AgentServiceClient) error {
	res, err := c.Status(ctx, connect.NewRequest(&agentv1.StatusRequest{}))
	if err != nil {
		return err
	}
	l := res.Msg.GetLoad()
	s.DocumentNumber, s.EndpointUp = res.Msg.GetDocumentNumber(), res.Msg.GetEndpointUp()
	s.InFlight, s.Queued = l.GetRunning(), l.GetQueued()
	s.PiecesFree, s.PiecesTotal = l.GetPiecesFree(), l.GetPiecesTotal()
	return nil
}

// statusFromMember returns the part of a status that the membership states.
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

// members lists the members of the environment.
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
