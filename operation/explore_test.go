package operation

import (
	"flag"
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/types/known/timestamppb"

	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

const (
	never       = agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER
	done        = agentv1.SettleOutcome_SETTLE_OUTCOME_DONE
	unknown     = agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
	unspecified = agentv1.SettleOutcome_SETTLE_OUTCOME_UNSPECIFIED
)

// simulation is the state of the calls with one key, the agents and control, at
// one point of a schedule. The schedule decides whether a message is delivered,
// delayed or lost.
type simulation struct {
	state   *state.State
	calls   []*simulatedCall
	agents  []*agentProcess
	network []message
	// running are the operations that an endpoint runs.
	running []message
	// runs is the number of times that the operation was started.
	runs int
	// faultsLeft is the number of faults that may still occur.
	faultsLeft int
	// disabled is the safeguard that is switched off; empty for none:
	//   - record: only the call that created a record dispatches it
	//   - start: an agent starts an operation at most once
	//   - tombstone: an agent does not start an operation that it settled as NEVER
	//   - proof: only the agent itself settles an operation as NEVER, and marks it
	//   - incarnation: an agent handles only what was sent to its incarnation
	disabled string
	// violation describes a property that does not hold; empty while all do.
	violation string
}

// simulatedCall is one call with the key, and its entry.
type simulatedCall struct {
	Call
	next Action
	// awaitingAnswer is true between the dispatch and its answer.
	awaitingAnswer bool
	ended          bool
	dispatchNumber int
}

// agentProcess is an agent. A restart gives it a new incarnation and an empty
// log.
type agentProcess struct {
	incarnation uint64
	log         *Log
}

// message is a dispatch in the network, or a copy of a Begin or a Finish that
// arrives late.
type message struct {
	call   int
	record *controlv1.Operation
	begin  bool
	finish bool
	// connection is the incarnation of the agent that a doubled dispatch was
	// sent to. Both copies are on one connection, which ends with the agent.
	connection uint64
}

// step is an event that may occur next.
type step struct {
	fault bool
	run   func()
}

func newSimulation(calls, faults int, disabled string) *simulation {
	s := &simulation{state: state.New(10), faultsLeft: faults, disabled: disabled}
	for range calls {
		s.calls = append(s.calls, &simulatedCall{})
	}
	for i := range 2 {
		s.agents = append(s.agents, &agentProcess{})
		s.restart(i)
	}
	return s
}

func (s *simulation) apply(c *controlv1.Command) any {
	c.Time = timestamppb.New(time.Unix(0, 0))
	res, err := s.state.Apply(c)
	if err != nil {
		panic(err)
	}
	return res
}

func (s *simulation) restart(i int) {
	m := &controlv1.Member{Environment: "e", Name: fmt.Sprint(i)}
	res := s.apply(&controlv1.Command{Kind: &controlv1.Command_Announce{Announce: m}}).(*controlv1.AnnounceResponse)
	s.agents[i].incarnation, s.agents[i].log = res.GetIncarnation(), &Log{}
	s.running = slices.DeleteFunc(s.running, func(m message) bool { return m.record.GetAgent() == fmt.Sprint(i) })
}

// advance sets the next action of a call. If that is Reply, it checks the
// verdict.
func (s *simulation) advance(i int, a Action) {
	c := s.calls[i]
	if c.ended {
		return
	}
	c.next, c.awaitingAnswer = a, false
	if a == Begin {
		c.dispatchNumber++
	}
	if a != Reply {
		return
	}
	c.ended = true
	if c.Verdict == NotRun && s.runs > 0 {
		s.violation = "a call was refused as not run, but the operation ran"
	}
	if c.Verdict == Answered && s.runs == 0 {
		s.violation = "a call was answered, but the operation did not run"
	}
}

// steps returns the events that may occur next.
func (s *simulation) steps() []step {
	var out []step
	for i, c := range s.calls {
		if c.ended {
			continue
		}
		out = append(out, step{fault: true, run: func() { c.ended = true }})
		out = append(out, s.callSteps(i, c)...)
	}
	for k := range s.network {
		out = append(out, step{run: func() { s.deliver(k) }})
	}
	for k := range s.running {
		out = append(out, step{run: func() { s.endRun(k, done) }}, step{fault: true, run: func() { s.endRun(k, unknown) }})
	}
	for i := range s.agents {
		out = append(out, step{fault: true, run: func() { s.restart(i) }})
	}
	return slices.DeleteFunc(out, func(st step) bool { return st.fault && s.faultsLeft == 0 })
}

func (s *simulation) callSteps(i int, c *simulatedCall) []step {
	switch {
	case c.awaitingAnswer:
		return []step{{fault: true, run: func() { s.advance(i, c.DispatchUnanswered()) }}}
	case c.next == Begin:
		operation := s.newOperation(i, c)
		return []step{
			{run: func() { s.begin(i, operation, true) }},
			{fault: true, run: func() { s.begin(i, operation, false) }},
			{fault: true, run: func() { s.network = append(s.network, message{call: i, record: operation, begin: true}) }},
			{fault: true, run: func() { s.advance(i, c.BeginFailed()) }},
		}
	case c.next == Dispatch:
		return []step{
			{run: func() { s.network, c.awaitingAnswer = append(s.network, message{call: i, record: c.Record}), true }},
			{fault: true, run: func() {
				m := message{call: i, record: c.Record, connection: s.agentOf(c.Record).incarnation}
				s.network, c.awaitingAnswer = append(s.network, m, m), true
			}},
			{fault: true, run: func() { s.advance(i, c.DispatchNotRun()) }},
		}
	case c.next == Settle:
		return []step{
			{run: func() { s.settle(i, c) }},
			{fault: true, run: func() { s.advance(i, c.SettleUnanswered()) }},
			{fault: true, run: func() { s.advance(i, c.OutcomeLost()) }},
		}
	}
	return []step{
		{run: func() { s.finish(i, c.Record, true) }},
		{fault: true, run: func() { s.finish(i, c.Record, false); s.advance(i, c.FinishFailed()) }},
		{fault: true, run: func() {
			s.network = append(s.network, message{call: i, record: c.Record, finish: true})
			s.advance(i, c.FinishFailed())
		}},
	}
}

func (s *simulation) newOperation(i int, c *simulatedCall) *controlv1.Operation {
	index := c.beginCount % len(s.agents)
	return &controlv1.Operation{
		Environment: "e", Caller: "c", Key: "k", BodyDigest: "d", Agent: fmt.Sprint(index),
		AgentIncarnation: s.agents[index].incarnation, Dispatch: fmt.Sprintf("%d/%d", i, c.dispatchNumber),
	}
}

func (s *simulation) begin(i int, o *controlv1.Operation, answered bool) {
	res := s.apply(&controlv1.Command{Kind: &controlv1.Command_Begin{Begin: o}}).(*controlv1.BeginOperationResponse)
	if answered {
		s.advance(i, s.calls[i].Begun(res.GetOperation(), res.GetCreated() || s.disabled == "record"))
	}
}

func (s *simulation) finish(i int, o *controlv1.Operation, answered bool) {
	res := s.apply(&controlv1.Command{Kind: &controlv1.Command_Finish{Finish: o}}).(*controlv1.FinishOperationResponse)
	if answered {
		s.advance(i, s.calls[i].Finished(res.GetOperation()))
	}
}

func (s *simulation) agentOf(o *controlv1.Operation) *agentProcess {
	for i, p := range s.agents {
		if fmt.Sprint(i) == o.GetAgent() {
			return p
		}
	}
	return nil
}

func (s *simulation) settle(i int, c *simulatedCall) {
	p := s.agentOf(c.Record)
	switch {
	case s.disabled == "proof" && p.log.operations[c.Record.GetNumber()] == nil:
		s.advance(i, c.DispatchNotRun())
	case p.incarnation != c.Record.GetAgentIncarnation() && s.disabled != "incarnation":
		s.advance(i, c.OutcomeLost())
	default:
		s.advance(i, c.Settled(p.log.Settle(c.Record.GetNumber())))
	}
}

// deliver removes a message from the network and delivers it.
func (s *simulation) deliver(k int) {
	m := s.network[k]
	s.network = slices.Delete(slices.Clone(s.network), k, k+1)
	switch {
	case m.begin:
		s.begin(m.call, m.record, false)
		return
	case m.finish:
		s.finish(m.call, m.record, false)
		return
	}
	p := s.agentOf(m.record)
	if m.connection != 0 && m.connection != p.incarnation {
		s.answer(m, unknown)
		return
	}
	if p.incarnation != m.record.GetAgentIncarnation() && s.disabled != "incarnation" {
		s.answer(m, never)
		return
	}
	outcome := p.log.Start(m.record.GetNumber())
	if outcome == unspecified || s.disabled == "start" || s.disabled == "tombstone" && outcome == never {
		s.runs++
		s.running = append(s.running, m)
		return
	}
	s.answer(m, outcome)
}

// endRun ends an operation that an endpoint runs.
func (s *simulation) endRun(k int, o agentv1.SettleOutcome) {
	m := s.running[k]
	s.running = slices.Delete(slices.Clone(s.running), k, k+1)
	var a *agentv1.CallResponse
	if o == done {
		a = &agentv1.CallResponse{Status: 200}
	}
	s.agentOf(m.record).log.End(m.record.GetNumber(), o, a)
	s.answer(m, o)
}

// answer delivers the answer of a dispatch to its entry, if that still waits for
// it.
func (s *simulation) answer(m message, o agentv1.SettleOutcome) {
	c := s.calls[m.call]
	if !c.awaitingAnswer || c.Record.GetNumber() != m.record.GetNumber() {
		return
	}
	switch o {
	case done:
		s.advance(m.call, c.DispatchAnswered(&agentv1.CallResponse{Status: 200}))
	case never:
		s.advance(m.call, c.DispatchNotRun())
	default:
		s.advance(m.call, c.DispatchUnanswered())
	}
}

// String describes all of the state that decides what may occur next.
func (s *simulation) String() string {
	var b strings.Builder
	fmt.Fprintln(&b, s.faultsLeft, s.runs, formatRecord(s.state.Operation("e", "c", "k")))
	for _, c := range s.calls {
		fmt.Fprintln(&b, c.next, c.awaitingAnswer, c.ended, c.beginCount, c.dispatchNumber, formatRecord(c.Record))
	}
	for _, p := range s.agents {
		var outcomes []string
		for n, op := range p.log.operations {
			outcomes = append(outcomes, fmt.Sprint(n, op.outcome))
		}
		sort.Strings(outcomes)
		fmt.Fprintln(&b, p.incarnation, outcomes)
	}
	for _, m := range append(slices.Clone(s.network), s.running...) {
		fmt.Fprintln(&b, m.call, m.begin, m.finish, m.connection, formatRecord(m.record))
	}
	return b.String()
}

func formatRecord(o *controlv1.Operation) string {
	return fmt.Sprint(o.GetNumber(), o.GetState(), o.GetAgent(), o.GetAgentIncarnation(), o.GetDispatch())
}

// explore runs every schedule, and stops at the first violation. It returns the
// number of different states and the violation.
func explore(create func() *simulation) (states int, violation string) {
	seen := map[string]bool{}
	pending := [][]int{nil}
	for len(pending) > 0 {
		path := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		s := create()
		for _, i := range path {
			next := s.steps()[i]
			if next.fault {
				s.faultsLeft--
			}
			next.run()
		}
		if s.runs > 1 {
			s.violation = "the operation ran twice"
		}
		if s.violation != "" {
			return len(seen), s.violation
		}
		description := s.String()
		if seen[description] {
			continue
		}
		seen[description] = true
		for i := range s.steps() {
			pending = append(pending, append(slices.Clone(path), i))
		}
	}
	return len(seen), ""
}

// exploreDeep adds the schedules with more faults, which take a minute.
var exploreDeep = flag.Bool("deep", false, "explore more faults")

// TestEverySchedule runs all interleavings of a few calls with one key. With all
// safeguards the operation must not run twice; without one of them it must.
func TestEverySchedule(t *testing.T) {
	files := []string{"testdata/schedules"}
	if *exploreDeep {
		files = append(files, "testdata/deep")
	}
	for _, f := range files {
		datadriven.RunTest(t, f, runExploration)
	}
}

func runExploration(t *testing.T, d *datadriven.TestData) string {
	var calls, faults int
	var disabled string
	d.ScanArgs(t, "calls", &calls)
	d.ScanArgs(t, "faults", &faults)
	d.MaybeScanArgs(t, "without", &disabled)
	start := time.Now()
	states, violation := explore(func() *simulation { return newSimulation(calls, faults, disabled) })
	t.Logf("%s: %d states in %s", d.CmdArgs, states, time.Since(start))
	if violation != "" {
		return violation + "\n"
	}
	return "no violation\n"
}
