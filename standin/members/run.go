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

// result is what one step cost.
type result struct {
	Step    string
	Members int
	Callers int
	Seconds float64
	// Events is the number of changes that every member was told.
	Events int `json:",omitempty"`
	// ReceivedBytes and SentBytes are of one member.
	ReceivedBytes float64
	SentBytes     float64
	// LastSeconds is when the last member had got the last change.
	LastSeconds float64 `json:",omitempty"`
	// DocumentBytes is the size of a document as it was submitted.
	DocumentBytes int `json:",omitempty"`
	Failed        int64
	Processes     []usage
}

// usage is what one process took in a step.
type usage struct {
	Name          string
	CPUSeconds    float64
	CPUPercent    float64
	MemoryMiB     float64
	HighMemoryMiB float64
}

// run plays the steps.
type run struct {
	options *options
	traffic traffic
	members []*member
	failed  atomic.Int64
	number  uint64
}

func newRun(o *options) *run {
	r := &run{options: o}
	for i := range o.members {
		r.members = append(r.members, newMember(o, i, &r.traffic))
	}
	return r
}

// play takes the steps one after the other and writes their results.
func (r *run) play(ctx context.Context, out *json.Encoder) error {
	if _, err := r.submit(ctx); err != nil {
		return err
	}
	following, end := context.WithCancel(ctx)
	defer end()
	steps := []struct {
		name string
		step func(ctx context.Context, res *result) error
	}{
		{"join", func(ctx context.Context, _ *result) error { return r.all(ctx, (*member).join) }},
		{"steady", func(context.Context, *result) error {
			r.follow(following)
			time.Sleep(r.options.steady)
			return nil
		}},
		{"document", r.change},
		{"restart", r.restart},
		{"list", func(ctx context.Context, _ *result) error {
			return r.all(ctx, func(m *member, ctx context.Context) error {
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

// measure takes one step and adds what it cost.
func (r *run) measure(ctx context.Context, name string, step func(ctx context.Context, res *result) error) (*result, error) {
	res := &result{Step: name, Members: r.options.members, Callers: r.options.callers}
	before := make([]time.Duration, len(r.options.processes))
	for i, p := range r.options.processes {
		before[i] = p.cpu()
	}
	received, sent, failed := r.traffic.received.Load(), r.traffic.sent.Load(), r.failed.Load()
	start := time.Now()
	if err := step(ctx, res); err != nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	res.Seconds = took
	res.ReceivedBytes = float64(r.traffic.received.Load()-received) / float64(len(r.members))
	res.SentBytes = float64(r.traffic.sent.Load()-sent) / float64(len(r.members))
	res.Failed = r.failed.Load() - failed
	for i, p := range r.options.processes {
		u := usage{Name: p.name, CPUSeconds: (p.cpu() - before[i]).Seconds()}
		u.CPUPercent = 100 * u.CPUSeconds / took
		u.MemoryMiB, u.HighMemoryMiB = p.memory()
		res.Processes = append(res.Processes, u)
	}
	return res, nil
}

// all has every member do something at once, and counts those that failed.
func (r *run) all(ctx context.Context, do func(m *member, ctx context.Context) error) error {
	var done sync.WaitGroup
	for _, m := range r.members {
		done.Go(func() {
			if do(m, ctx) != nil {
				r.failed.Add(1)
			}
		})
	}
	done.Wait()
	return nil
}

// follow starts the watches and the renewals of all members, spread over an
// interval.
func (r *run) follow(ctx context.Context) {
	for i, m := range r.members {
		go m.watch(ctx)
		go m.renew(ctx, announceInterval*time.Duration(i)/time.Duration(len(r.members)))
	}
}

// submit submits the next document.
func (r *run) submit(ctx context.Context) (int, error) {
	r.number++
	b := text(r.number, r.options.callers)
	_, err := r.members[0].client.Submit(ctx, connect.NewRequest(&controlv1.SubmitRequest{
		Environment: r.options.environment, Document: b, Submitter: "members",
	}))
	return len(b), err
}

// change submits documents, each of which differs in one caller, and waits
// after each until the last member has it.
func (r *run) change(ctx context.Context, res *result) error {
	for range r.options.changes {
		start := time.Now()
		n, err := r.submit(ctx)
		if err != nil {
			return err
		}
		if err := r.await(ctx); err != nil {
			return err
		}
		res.LastSeconds = max(res.LastSeconds, time.Since(start).Seconds())
		res.DocumentBytes = n
		res.Events++
	}
	return nil
}

// restart starts some members again at once and waits until the last member
// knows of it.
func (r *run) restart(ctx context.Context, res *result) error {
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
	if err := r.await(ctx); err != nil {
		return err
	}
	res.LastSeconds, res.Events = time.Since(start).Seconds(), n
	return nil
}

// await waits until every member has the newest revision.
func (r *run) await(ctx context.Context) error {
	newest, err := r.newest(ctx)
	if err != nil {
		return err
	}
	for _, m := range r.members {
		for m.revision.Load() < newest {
			time.Sleep(poll)
		}
	}
	return nil
}

// newest asks for the revision without listing anything.
func (r *run) newest(ctx context.Context) (uint64, error) {
	res, err := r.members[0].client.List(ctx, connect.NewRequest(&controlv1.ListRequest{Prefix: r.options.environment + "/none/"}))
	if err != nil {
		return 0, err
	}
	return res.Msg.GetRevision(), nil
}

// text returns a document of some callers; each number gives another caller a
// priority of its own.
func text(number uint64, callers int) []byte {
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
