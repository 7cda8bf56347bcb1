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
	operatorCount = 4
	watcherCount  = 3
	// faultsPerRun is the number of faults injected in one run.
	faultsPerRun = 6
	// inForceTarget is the time within which an accepted document must be in
	// force at every process.
	inForceTarget = 4 * time.Second
)

// documentID identifies a document by its number and digest.
type documentID struct {
	number uint64
	digest string
}

func (a documentID) String() string { return fmt.Sprintf("%d:%.8s", a.number, a.digest) }

// operatorCall is one call of an operator: a submission or a read.
type operatorCall struct {
	// submit is false for a read.
	submit bool
	// sent is the submitted document.
	sent documentID
}

// operatorResult is the result of an operatorCall.
type operatorResult struct {
	// unknown is true if no definite answer arrived.
	unknown bool
	refused bool
	// seen is the document that won over a refused submission, or the document
	// that was read.
	seen documentID
}

// documentModel is the sequential model of one environment. Its state lists the
// accepted documents, oldest first, separated by spaces.
var documentModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(string), input.(operatorCall), output.(operatorResult)
		if !in.submit {
			return out.unknown || newestDocument(s) == out.seen.String(), s
		}
		next, refused, winner := applySubmission(s, in.sent)
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

func newestDocument(s string) string {
	documents := strings.Fields(s)
	if len(documents) == 0 {
		return documentID{}.String()
	}
	return documents[len(documents)-1]
}

// applySubmission returns the state after a submission, whether the submission is
// refused, and the document that won over it.
func applySubmission(s string, d documentID) (next string, refused bool, winner string) {
	var lastNumber uint64
	for _, a := range strings.Fields(s) {
		number, _, _ := strings.Cut(a, ":")
		_, _ = fmt.Sscan(number, &lastNumber)
		if lastNumber == d.number {
			return s, a != d.String(), a
		}
	}
	if d.number <= lastNumber {
		return s, true, newestDocument(s)
	}
	return s + " " + d.String(), false, ""
}

// recorder collects the history of calls that porcupine checks.
type recorder struct {
	mu            sync.Mutex
	start         time.Time
	operations    []porcupine.Operation
	highestNumber uint64
}

func (r *recorder) record(client int, in operatorCall, out operatorResult, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: from.Sub(r.start).Nanoseconds(), Return: to.Sub(r.start).Nanoseconds()}
	if out.unknown {
		if !in.submit {
			return
		}
		// A submission without an answer may take effect at any later time.
		o.Return = time.Hour.Nanoseconds()
	}
	r.operations = append(r.operations, o)
	r.highestNumber = max(r.highestNumber, out.seen.number, in.sent.number)
}

// nextNumber returns a document number that other operators are likely to submit
// as well.
func (r *recorder) nextNumber(random *rand.Rand) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.highestNumber+uint64(random.IntN(2)))
}

// documentVariant returns a document with the given number that differs for each
// submitter.
func documentVariant(t testing.TB, number uint64, submitter int) []byte {
	b, err := os.ReadFile("../examples/archive.json")
	if err != nil {
		t.Fatal(err)
	}
	var d map[string]any
	if err := json.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	d["Number"] = number
	d["Retention"] = map[string]any{"Documents": 1000 - submitter}
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

// runOperator submits and reads documents until the context ends. Operators start
// with different control hosts.
func (r *recorder) runOperator(ctx context.Context, t *testing.T, id int, addresses []netip.AddrPort, random *rand.Rand) {
	rotated := append(append([]netip.AddrPort(nil), addresses[id%len(addresses):]...), addresses[:id%len(addresses)]...)
	client := controls.NewClient(transport.NewClient(), rotated)
	for ctx.Err() == nil {
		in := operatorCall{submit: random.IntN(2) == 0}
		from := time.Now()
		var out operatorResult
		if in.submit {
			b := documentVariant(t, r.nextNumber(random), id)
			in.sent = documentID{number: documentNumber(b), digest: digestOf(t, b)}
			out = submitDocument(client, b, id)
		} else {
			out = readDocument(client)
		}
		r.record(id, in, out, from, time.Now())
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

func documentNumber(b []byte) uint64 {
	var d struct{ Number uint64 }
	_ = json.Unmarshal(b, &d)
	return d.Number
}

func submitDocument(client *controls.Client, b []byte, id int) operatorResult {
	r := &controlv1.SubmitRequest{Environment: "archive-trial", Document: b, Submitter: fmt.Sprintf("operator-%d", id)}
	_, err := client.Submit(context.Background(), r)
	if err == nil {
		return operatorResult{}
	}
	refusal := controls.RefusalFrom(err)
	if refusal.GetCode() != controlv1.Refusal_CODE_CONFLICT {
		return operatorResult{unknown: true}
	}
	return operatorResult{refused: true, seen: documentID{number: refusal.GetWinner().GetNumber(), digest: refusal.GetWinner().GetDigest()}}
}

func readDocument(client *controls.Client) operatorResult {
	res, err := client.List(context.Background(), &controlv1.ListRequest{Prefix: "archive-trial/Document"})
	if err != nil {
		return operatorResult{unknown: true}
	}
	var out operatorResult
	for _, it := range res.GetItems() {
		out.seen = documentID{number: it.GetDocument().GetNumber(), digest: it.GetDocument().GetDigest()}
	}
	return out
}

// watchDocuments runs a view of the control hosts and fails the test if the
// document number goes back.
func watchDocuments(ctx context.Context, t *testing.T, v *controls.View) {
	go v.Run(ctx)
	var last uint64
	for ctx.Err() == nil {
		if d := v.Document(); d != nil {
			if d.Number < last {
				t.Errorf("a watcher saw document %d after document %d", d.Number, last)
			}
			last = d.Number
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestControlHistory has operators submit documents with equal numbers
// concurrently while control hosts are killed, frozen, cut off in one direction,
// stopped, or lose their data, and checks the history for linearizability.
func TestControlHistory(t *testing.T) {
	for s := range *seedCount {
		t.Run(fmt.Sprintf("seed %d", *firstSeed+uint64(s)), func(t *testing.T) { testControlHistory(t, *firstSeed+uint64(s)) })
	}
}

func testControlHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	c := newCluster(t, "archive-trial")
	h := c.startLinkedHosts(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &recorder{start: time.Now()}
	var callers sync.WaitGroup
	var views []*controls.View
	for range watcherCount {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		v := controls.NewView(c.controlClient(), "archive-trial", logrus.NewEntry(log))
		views = append(views, v)
		go watchDocuments(ctx, t, v)
	}
	operatorContext, stop := context.WithCancel(ctx)
	for i := range operatorCount {
		operatorRandom := rand.New(rand.NewPCG(seed, uint64(10+i)))
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.runOperator(operatorContext, t, i, h.addresses(), operatorRandom)
		}()
	}
	for range faultsPerRun {
		h.injectFault(random)
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	stop()
	callers.Wait()
	h.checkHistory(t, r, views)
}

// checkHistory checks that the history is linearizable, and that every watcher
// reaches the last document.
func (h *hosts) checkHistory(t *testing.T, r *recorder, views []*controls.View) {
	t.Helper()
	h.leader()
	from := time.Now()
	last := readDocument(h.cluster.controlClient())
	r.record(operatorCount, operatorCall{}, last, from, time.Now())
	if last.unknown {
		t.Error("no answer to a read after the last fault")
	}
	result, info := porcupine.CheckOperationsVerbose(documentModel, r.operations, 30*time.Second)
	if result != porcupine.Ok {
		file := "history-" + strings.ReplaceAll(t.Name(), "/", "-") + ".html"
		_ = porcupine.VisualizePath(documentModel, info, file)
		t.Errorf("the history of %d calls is not linearizable: %s, see %s", len(r.operations), result, file)
	}
	for i, v := range views {
		eventually(t, inForceTarget, fmt.Sprintf("watcher %d has document %s", i, last.seen), func() bool {
			d := v.Document()
			return d != nil && d.Number == last.seen.number
		})
	}
	unknown := 0
	for _, o := range r.operations {
		if o.Output.(operatorResult).unknown {
			unknown++
		}
	}
	t.Logf("%d calls, %d without an answer, document %s", len(r.operations), unknown, last.seen)
	if last.seen.number < 5 || unknown > len(r.operations)/2 {
		t.Errorf("too few calls succeeded for the test to be meaningful: document %s, %d of %d calls without an answer", last.seen, unknown, len(r.operations))
	}
}

// injectFault injects one fault into one host, undoes it, and waits until all
// hosts are voters. With probability 1/2 it picks the leader, otherwise a random
// host.
func (h *hosts) injectFault(random *rand.Rand) {
	h.cluster.t.Helper()
	i := random.IntN(len(h.processes))
	if random.IntN(2) == 0 {
		i = h.leader()
	}
	duration := time.Duration(500+random.IntN(2500)) * time.Millisecond
	p := h.processes[i]
	switch kind := random.IntN(5); kind {
	case 0:
		h.cluster.t.Logf("kill %d", i)
		p.kill()
		time.Sleep(duration)
		h.cluster.launch(p)
	case 1:
		h.cluster.t.Logf("freeze %d for %s", i, duration)
		p.freeze()
		time.Sleep(duration)
		p.thaw()
	case 2:
		h.cutHost(i, random, duration)
	case 3:
		h.cluster.t.Logf("stop %d", i)
		if !p.stop(10 * time.Second) {
			h.cluster.t.Errorf("control host %d did not stop", i)
		}
		h.cluster.launch(p)
	case 4:
		h.cluster.t.Logf("delete the data folder of %d", i)
		h.restartEmpty(i)
	}
	for j := range h.processes {
		eventually(h.cluster.t, 30*time.Second, h.processes[j].name+" is a voter", func() bool { return h.status(j).Voter })
	}
}

// cutHost discards what a host sends on the connections it dials to the other
// hosts, or what they send on those they dial to it, for a duration.
func (h *hosts) cutHost(i int, random *rand.Rand, duration time.Duration) {
	outbound := random.IntN(2) == 0
	h.cluster.t.Logf("cut %d for %s, outbound %v", i, duration, outbound)
	for j := range h.processes {
		if j == i {
			continue
		}
		l := h.links[j][i]
		if outbound {
			l = h.links[i][j]
		}
		l.cut(toServer)
		defer l.heal()
	}
	time.Sleep(duration)
}
