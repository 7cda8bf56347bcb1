package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// result is the cost of one step, written as a JSON line.
type result struct {
	Step string
	// Members is the number of simulated processes, and Callers the number of
	// callers in the document.
	Members int
	Callers int
	// Seconds is the duration of the step.
	Seconds float64
	// Events is the number of changes that every member received.
	Events int `json:",omitempty"`
	// ReceivedBytes and SentBytes are means for one member.
	ReceivedBytes float64
	SentBytes     float64
	// LastSeconds is the longest time from a change to its receipt by the last
	// member.
	LastSeconds float64 `json:",omitempty"`
	// DocumentBytes is the size of the last submitted document.
	DocumentBytes int `json:",omitempty"`
	// Failed is the number of members whose call failed.
	Failed    int64
	Processes []usage
}

// usage is what one measured process used in a step.
type usage struct {
	Name       string
	CPUSeconds float64
	// CPUPercent is relative to one core.
	CPUPercent float64
	// MemoryMiB and HighMemoryMiB are the resident memory at the end of the step
	// and its peak since the process started.
	MemoryMiB     float64
	HighMemoryMiB float64
}

type run struct {
	options        *options
	traffic        traffic
	members        []*member
	failed         atomic.Int64
	documentNumber uint64
}

func newRun(o *options) *run {
	r := &run{options: o}
	for i := range o.members {
		r.members = append(r.members, newMember(o, i, &r.traffic))
	}
	return r
}

// execute submits a first document, runs the steps in order and writes a result
// for each. It ends at the first step that returns an error.
func (r *run) execute(ctx context.Context, out *json.Encoder) error {
	if _, err := r.submitDocument(ctx); err != nil {
		return err
	}
	followCtx, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	steps := []struct {
		name string
		step func(ctx context.Context, res *result) error
	}{
		{"join", func(ctx context.Context, _ *result) error { return r.forAllMembers(ctx, (*member).join) }},
		{"steady", func(context.Context, *result) error {
			r.startFollowing(followCtx)
			time.Sleep(r.options.steady)
			return nil
		}},
		{"document", r.changeDocument},
		{"restart", r.restartMembers},
		{"list", func(ctx context.Context, _ *result) error {
			return r.forAllMembers(ctx, func(m *member, ctx context.Context) error {
				_, err := m.list(ctx)
				return err
			})
		}},
	}
	for _, s := range steps {
		res, err := r.measure(ctx, s.name, s.step)
		if err != nil {
			return err
		}
		if err := out.Encode(res); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) measure(ctx context.Context, name string, step func(ctx context.Context, res *result) error) (*result, error) {
	res := &result{Step: name, Members: r.options.members, Callers: r.options.callers}
	cpuBefore := make([]time.Duration, len(r.options.processes))
	for i, p := range r.options.processes {
		cpuBefore[i] = p.cpu()
	}
	received, sent, failed := r.traffic.received.Load(), r.traffic.sent.Load(), r.failed.Load()
	start := time.Now()
	if err := step(ctx, res); err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	res.Seconds = elapsed
	res.ReceivedBytes = float64(r.traffic.received.Load()-received) / float64(len(r.members))
	res.SentBytes = float64(r.traffic.sent.Load()-sent) / float64(len(r.members))
	res.Failed = r.failed.Load() - failed
	for i, p := range r.options.processes {
		u := usage{Name: p.name, CPUSeconds: (p.cpu() - cpuBefore[i]).Seconds()}
		u.CPUPercent = 100 * u.CPUSeconds / elapsed
		u.MemoryMiB, u.HighMemoryMiB = p.memory()
		res.Processes = append(res.Processes, u)
	}
	return res, nil
}

// forAllMembers calls a function for all members concurrently and counts failures.
// Its error is always nil.
func (r *run) forAllMembers(ctx context.Context, action func(m *member, ctx context.Context) error) error {
	var done sync.WaitGroup
	for _, m := range r.members {
		done.Go(func() {
			if action(m, ctx) != nil {
				r.failed.Add(1)
			}
		})
	}
	done.Wait()
	return nil
}

// startFollowing starts the watches of all members, and their lease renewals
// spread evenly over an announce interval.
func (r *run) startFollowing(ctx context.Context) {
	for i, m := range r.members {
		go m.watch(ctx)
		go m.renew(ctx, announceInterval*time.Duration(i)/time.Duration(len(r.members)))
	}
}

// submitDocument submits the next document and returns its size in bytes.
func (r *run) submitDocument(ctx context.Context) (int, error) {
	r.documentNumber++
	body := documentText(r.documentNumber, r.options.callers)
	_, err := r.members[0].client.Submit(ctx, connect.NewRequest(&controlv1.SubmitRequest{
		Environment: r.options.environment, Document: body, Submitter: "members",
	}))
	return len(body), err
}

// changeDocument submits documents, in each of which another caller has the raised
// priority. After each it waits until the last member has received it.
func (r *run) changeDocument(ctx context.Context, res *result) error {
	for range r.options.changes {
		start := time.Now()
		n, err := r.submitDocument(ctx)
		if err != nil {
			return err
		}
		if err := r.awaitLatestRevision(ctx); err != nil {
			return err
		}
		res.LastSeconds = max(res.LastSeconds, time.Since(start).Seconds())
		res.DocumentBytes = n
		res.Events++
	}
	return nil
}

// restartMembers restarts some members concurrently and waits until the last
// member has received the changes.
func (r *run) restartMembers(ctx context.Context, res *result) error {
	n := min(r.options.restarts, len(r.members))
	start := time.Now()
	var done sync.WaitGroup
	for _, m := range r.members[:n] {
		done.Go(func() {
			if m.restart(ctx) != nil {
				r.failed.Add(1)
			}
		})
	}
	done.Wait()
	if err := r.awaitLatestRevision(ctx); err != nil {
		return err
	}
	res.LastSeconds, res.Events = time.Since(start).Seconds(), n
	return nil
}

// awaitLatestRevision waits, without a timeout, until every member has received
// the revision that control has now.
func (r *run) awaitLatestRevision(ctx context.Context) error {
	latest, err := r.latestRevision(ctx)
	if err != nil {
		return err
	}
	for _, m := range r.members {
		for m.revision.Load() < latest {
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// latestRevision returns control's current revision. It lists a prefix without
// entries, so that nothing else is transferred.
func (r *run) latestRevision(ctx context.Context) (uint64, error) {
	res, err := r.members[0].client.List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: r.options.environment + "/none/"}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetRevision(), nil
}

// documentText returns a document with the given number of callers. The document
// number decides which one of them has a raised priority.
func documentText(number uint64, callers int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Number":%d,"FailureDomains":["a"],"Models":[{"Name":"m","Version":"1","Prefill":1,"Decode":1}],"Callers":[`, number)
	for i := range callers {
		if i > 0 {
			b.WriteByte(',')
		}
		priority := 0
		if i == int(number)%callers {
			priority = 5
		}
		name := fmt.Sprintf("caller-%06d", i)
		fmt.Fprintf(&b, `{"Name":%q,"KeyHash":%q,"Models":["m"],"Priority":%d}`, name, document.Digest([]byte(name)), priority)
	}
	b.WriteString("]}")
	return b.Bytes()
}
