package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"

	"ebonyreel/controls"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	operators = 4
	watchers  = 3
	// faultsPerRun is the number of faults that one run goes through.
	faultsPerRun = 6
	// inForceTarget is the time after which an accepted document has to be in
	// force at every process.
	inForceTarget = 4 * time.Second
)

// accepted is a document by its number and digest.
type accepted struct {
	number uint64
	digest string
}

func (a accepted) String() string { return fmt.Sprintf("%d:%.8s", a.number, a.digest) }

// call is one call of an operator.
type operatorCall struct {
	// submit is false for a read.
	submit bool
	sent   accepted
}

// result is what an operator was told.
type operatorResult struct {
	// unknown is true when no answer came.
	unknown bool
	refused bool
	// seen is the winner of a refused submission, or what was read.
	seen accepted
}

// documents is the sequential model of one environment: its state lists the
// accepted documents, oldest first.
var documents = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(string), input.(operatorCall), output.(operatorResult)
		if !in.submit {
			return out.unknown || newest(s) == out.seen.String(), s
		}
		next, refused, winner := submitTo(s, in.sent)
		if out.unknown {
			return true, next
		}
		return refused == out.refused && (!refused || winner == out.seen.String()), next
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func newest(s string) string {
	all := strings.Fields(s)
	if len(all) == 0 {
		return accepted{}.String()
	}
	return all[len(all)-1]
}

// submitTo returns the state after a submission, whether it is refused, and
// the document in its place.
func submitTo(s string, d accepted) (next string, refused bool, winner string) {
	var current uint64
	for _, a := range strings.Fields(s) {
		number, _, _ := strings.Cut(a, ":")
		_, _ = fmt.Sscan(number, &current)
		if current == d.number {
			return s, a != d.String(), a
		}
	}
	if d.number <= current {
		return s, true, newest(s)
	}
	return s + " " + d.String(), false, ""
}

// recorder collects a history for porcupine.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	all   []porcupine.Operation
	top   uint64
}

func (r *recorder) add(client int, in operatorCall, out operatorResult, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: from.Sub(r.start).Nanoseconds(), Return: to.Sub(r.start).Nanoseconds()}
	if out.unknown {
		if !in.submit {
			return
		}
		// It may come into force at any later time.
		o.Return = time.Hour.Nanoseconds()
	}
	r.all = append(r.all, o)
	r.top = max(r.top, out.seen.number, in.sent.number)
}

// next returns a number that others are likely to try as well.
func (r *recorder) next(random *rand.Rand) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.top+uint64(random.IntN(2)))
}

// variant is a document of a number, made different by its submitter.
func variant(t testing.TB, number uint64, from int) []byte {
	b, err := os.ReadFile("../examples/archive.json")
	if err != nil {
		t.Fatal(err)
	}
	var d map[string]any
	if err := json.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	d["Number"] = number
	d["Retention"] = map[string]any{"Documents": 1000 - from}
	if b, err = json.Marshal(d); err != nil {
		t.Fatal(err)
	}
	return b
}

func digestOf(t testing.TB, b []byte) string {
	d, err := document.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	_, digest, err := d.Resolved()
	if err != nil {
		t.Fatal(err)
	}
	return digest
}

// operator submits and reads until the context ends.
func (r *recorder) operator(ctx context.Context, t *testing.T, id int, addresses []netip.AddrPort, random *rand.Rand) {
	turned := append(append([]netip.AddrPort(nil), addresses[id%len(addresses):]...), addresses[:id%len(addresses)]...)
	client := controls.NewClient(transport.NewClient(), turned)
	for ctx.Err() == nil {
		in := operatorCall{submit: random.IntN(2) == 0}
		from := time.Now()
		var out operatorResult
		if in.submit {
			b := variant(t, r.next(random), id)
			in.sent = accepted{number: parsedNumber(b), digest: digestOf(t, b)}
			out = submitted(client, b, id)
		} else {
			out = readDocument(client)
		}
		r.add(id, in, out, from, time.Now())
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

func parsedNumber(b []byte) uint64 {
	var d struct{ Number uint64 }
	_ = json.Unmarshal(b, &d)
	return d.Number
}

func submitted(client *controls.Client, b []byte, id int) operatorResult {
	r := &controlv1.SubmitRequest{Environment: "archive-trial", Document: b, Submitter: fmt.Sprintf("operator-%d", id)}
	_, err := client.Submit(context.Background(), r)
	if err == nil {
		return operatorResult{}
	}
	w := controls.Reason(err)
	if w.GetCode() != controlv1.Refusal_CODE_CONFLICT {
		return operatorResult{unknown: true}
	}
	return operatorResult{refused: true, seen: accepted{number: w.GetWinner().GetNumber(), digest: w.GetWinner().GetDigest()}}
}

func readDocument(client *controls.Client) operatorResult {
	res, err := client.List(context.Background(), &controlv1.ListRequest{Prefix: "archive-trial/Document"})
	if err != nil {
		return operatorResult{unknown: true}
	}
	var out operatorResult
	for _, it := range res.GetItems() {
		out.seen = accepted{number: it.GetDocument().GetNumber(), digest: it.GetDocument().GetDigest()}
	}
	return out
}

// follow watches one control host's stream after another, and reports a
// document that reverts.
func follow(ctx context.Context, t *testing.T, v *controls.View) {
	go v.Run(ctx)
	var last uint64
	for ctx.Err() == nil {
		if d := v.Document(); d != nil {
			if d.Number < last {
				t.Errorf("a watcher saw document %d after %d", d.Number, last)
			}
			last = d.Number
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestControlHistory has operators race each other with equal numbers while
// control hosts are killed, frozen, cut off in one direction, stopped and
// given empty disks, and checks the history for linearizability.
func TestControlHistory(t *testing.T) {
	for s := range *seeds {
		t.Run(fmt.Sprintf("seed %d", *seed+uint64(s)), func(t *testing.T) { controlHistory(t, *seed+uint64(s)) })
	}
}

func controlHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, "archive-trial")
	h := c.controlHosts(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &recorder{start: time.Now()}
	var callers sync.WaitGroup
	var views []*controls.View
	for range watchers {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		v := controls.NewView(c.client(), "archive-trial", logrus.NewEntry(log))
		views = append(views, v)
		go follow(ctx, t, v)
	}
	working, stop := context.WithCancel(ctx)
	for i := range operators {
		own := rand.New(rand.NewPCG(seed, uint64(10+i)))
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.operator(working, t, i, h.addresses(), own)
		}()
	}
	for range faultsPerRun {
		h.fault(random)
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	stop()
	callers.Wait()
	h.settled(t, r, views)
}

// settled checks the history, and that everybody comes to the same document.
func (h *hosts) settled(t *testing.T, r *recorder, views []*controls.View) {
	t.Helper()
	h.leader()
	from := time.Now()
	last := readDocument(h.c.client())
	r.add(operators, operatorCall{}, last, from, time.Now())
	if last.unknown {
		t.Error("no read after all faults")
	}
	result, info := porcupine.CheckOperationsVerbose(documents, r.all, 30*time.Second)
	if result != porcupine.Ok {
		file := "history-" + strings.ReplaceAll(t.Name(), "/", "-") + ".html"
		_ = porcupine.VisualizePath(documents, info, file)
		t.Errorf("the history of %d calls is not linearizable: %s, see %s", len(r.all), result, file)
	}
	for i, v := range views {
		eventually(t, inForceTarget, fmt.Sprintf("watcher %d has document %s", i, last.seen), func() bool {
			d := v.Document()
			return d != nil && d.Number == last.seen.number
		})
	}
	unknown := 0
	for _, o := range r.all {
		if o.Output.(operatorResult).unknown {
			unknown++
		}
	}
	t.Logf("%d calls, %d without an answer, document %s", len(r.all), unknown, last.seen)
	if last.seen.number < 5 || unknown > len(r.all)/2 {
		t.Errorf("too little came through: document %s, %d of %d calls without an answer", last.seen, unknown, len(r.all))
	}
}

// fault does one thing to one host and undoes it.
func (h *hosts) fault(random *rand.Rand) {
	h.c.t.Helper()
	i := random.IntN(len(h.procs))
	if random.IntN(2) == 0 {
		i = h.leader()
	}
	length := time.Duration(500+random.IntN(2500)) * time.Millisecond
	p := h.procs[i]
	switch kind := random.IntN(5); kind {
	case 0:
		h.c.t.Logf("kill %d", i)
		p.kill()
		time.Sleep(length)
		h.c.launch(p)
	case 1:
		h.c.t.Logf("freeze %d for %s", i, length)
		p.freeze()
		time.Sleep(length)
		p.thaw()
	case 2:
		h.cut(i, random, length)
	case 3:
		h.c.t.Logf("stop %d", i)
		if !p.stop(10 * time.Second) {
			h.c.t.Errorf("control host %d did not stop", i)
		}
		h.c.launch(p)
	case 4:
		h.c.t.Logf("delete the data of %d", i)
		h.wipe(i)
	}
	for j := range h.procs {
		eventually(h.c.t, 30*time.Second, h.procs[j].name+" counts in the quorum", func() bool { return h.status(j).Voter })
	}
}

// cut swallows what a host sends to the others, or what it gets, for a while.
func (h *hosts) cut(i int, random *rand.Rand, length time.Duration) {
	outward := random.IntN(2) == 0
	h.c.t.Logf("cut %d for %s, outward %v", i, length, outward)
	for j := range h.procs {
		if j == i {
			continue
		}
		l := h.links[j][i]
		if outward {
			l = h.links[i][j]
		}
		l.cut(toServer)
		defer l.heal()
	}
	time.Sleep(length)
}
