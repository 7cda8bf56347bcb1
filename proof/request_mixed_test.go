package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// mixedCalls and mixedFaults are the numbers of calls and faults of one run.
	// The calls begin within mixedSpread, which also bounds the sum of the pauses
	// before the faults.
	mixedCalls  = 30
	mixedFaults = 6
	mixedSpread = 4 * time.Second
)

// mixedRun is one run of calls during faults that overlap and may repeat.
type mixedRun struct {
	*fleet
	random *rand.Rand
	// killed holds the names of the entries that were killed.
	killed map[string]bool
	// background tracks the pending undoing of faults and the calls with crashing
	// content.
	background sync.WaitGroup
}

// faultKind is one kind of failure.
type faultKind struct {
	name string
	// inject causes the fault at the agent or engine with index i, or at a fixed
	// process. A fault that lasts is undone after the duration.
	inject func(m *mixedRun, i int, duration time.Duration)
}

func faultKinds() []faultKind {
	both := []direction{toServer, toClient}
	return []faultKind{
		{"engine killed", func(m *mixedRun, i int, _ time.Duration) { _ = m.engines()[i].cmd.Process.Kill() }},
		{"agent restarted", func(m *mixedRun, i int, _ time.Duration) {
			m.agents()[i].kill()
			m.launch(m.agents()[i])
		}},
		{"agent frozen", func(m *mixedRun, i int, duration time.Duration) {
			a := m.agents()[i]
			a.freeze()
			m.scheduleUndo(duration, a.thaw)
		}},
		{"engine frozen", func(m *mixedRun, i int, duration time.Duration) {
			p := m.engines()[i].cmd.Process
			_ = p.Signal(syscall.SIGSTOP)
			m.scheduleUndo(duration, func() { _ = p.Signal(syscall.SIGCONT) })
		}},
		{"agent silent", func(m *mixedRun, i int, _ time.Duration) { m.links[m.agents()[i].name].blackholeOpen(both...) }},
		{"agent silent one way", func(m *mixedRun, i int, _ time.Duration) { m.links[m.agents()[i].name].blackholeOpen(toClient) }},
		{"engine silent", func(m *mixedRun, i int, _ time.Duration) { m.links[m.engines()[i].name].blackholeOpen(both...) }},
		{"agent cut", func(m *mixedRun, i int, duration time.Duration) { m.cutFor(m.agents()[i].name, duration, both...) }},
		{"engine cut one way", func(m *mixedRun, i int, duration time.Duration) { m.cutFor(m.engines()[i].name, duration, toClient) }},
		{"control silent", func(m *mixedRun, _ int, _ time.Duration) { m.links["control-0"].blackholeOpen(both...) }},
		{"control cut", func(m *mixedRun, _ int, duration time.Duration) { m.cutFor("control-0", duration, both...) }},
		{"entry frozen", func(m *mixedRun, _ int, duration time.Duration) {
			m.entries[0].freeze()
			m.scheduleUndo(duration, m.entries[0].thaw)
		}},
		{"entry killed", func(m *mixedRun, _ int, duration time.Duration) {
			m.killed["entry-1"] = true
			m.entries[1].kill()
			time.Sleep(duration / 2)
			m.launch(m.entries[1])
		}},
		{"crashing content", func(m *mixedRun, _ int, _ time.Duration) {
			for _, e := range m.entries {
				m.background.Go(func() { m.history.sendCompletion(m.t.Context(), e, "CRASH-DECODE deed", 20, true) })
			}
		}},
	}
}

func (m *mixedRun) agents() []*process {
	return append(append([]*process(nil), m.prefillAgents...), m.decodeAgents...)
}

// scheduleUndo undoes a fault after a duration, in the background.
func (m *mixedRun) scheduleUndo(duration time.Duration, undo func()) {
	m.background.Go(func() {
		time.Sleep(duration)
		undo()
	})
}

// cutFor cuts a link for a duration. It first removes earlier faults of the link,
// as toxiproxy refuses to add a toxic twice.
func (m *mixedRun) cutFor(name string, duration time.Duration, directions ...direction) {
	l := m.links[name]
	l.heal()
	l.cut(directions...)
	m.scheduleUndo(duration, l.heal)
}

// TestMixedFaults injects faults that overlap and may repeat, and checks the
// histories with every checker.
func TestMixedFaults(t *testing.T) {
	for s := range *seedCount {
		n := *firstSeed + uint64(s)
		t.Run(fmt.Sprintf("seed %d", n), func(t *testing.T) {
			t.Parallel()
			testMixedFaults(t, rand.New(rand.NewPCG(n, 4)))
		})
	}
}

func testMixedFaults(t *testing.T, random *rand.Rand) {
	m := &mixedRun{fleet: newFleet(t, 2, 3, 3, engineSettings{}, engineSettings{StepMicroseconds: 40_000}), random: random, killed: map[string]bool{}}
	m.restartEngines(time.Duration(100+random.IntN(900)) * time.Millisecond)
	wait := m.startMixedCalls()
	kinds := faultKinds()
	for range mixedFaults {
		time.Sleep(time.Duration(random.Int64N(int64(mixedSpread / mixedFaults))))
		f, i := kinds[random.IntN(len(kinds))], random.IntN(len(m.engines()))
		duration := time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
		t.Logf("%s at %d for %s", f.name, i, duration.Round(time.Millisecond))
		f.inject(m, i, duration)
	}
	wait()
	m.background.Wait()
	calls, seen := m.history.readCalls(), readEngineRecords(t, m.engines()...)
	answered, unanswered := 0, map[string]int{}
	for _, r := range calls {
		answered += min(r.Ends, 1)
		if r.Ends == 0 {
			unanswered[r.outcome()]++
		}
	}
	t.Logf("%d of %d calls answered, %d crashes, other outcomes %v", answered, len(calls), countCrashes(seen), unanswered)
	reportViolations(t, checkAnswers(calls), checkOutcomes(calls, m.killed), checkNotRun(calls, seen), checkCrashes(seen, maxCrashesPerContent))
	checkNothingHeld(t, m.engines()...)
}

// outcome names the outcome of a call that was not answered.
func (r callRecord) outcome() string {
	switch {
	case r.Left:
		return "left"
	case r.Code != "":
		return r.Code
	}
	return "neither answered nor refused"
}

// startMixedCalls starts calls at random times within mixedSpread, and returns a
// function that waits for all. About one caller in six cancels after a second.
func (m *mixedRun) startMixedCalls() func() {
	var group sync.WaitGroup
	for i := range mixedCalls {
		begin := time.Duration(m.random.Int64N(int64(mixedSpread)))
		prompt := fmt.Sprintf("%s number %d", strings.Repeat("deed ", 20+m.random.IntN(200)), i)
		maxTokens, stream, cancels := 10+m.random.IntN(60), m.random.IntN(2) == 0, m.random.IntN(6) == 0
		group.Go(func() {
			time.Sleep(begin)
			ctx, cancel := context.WithCancel(m.t.Context())
			defer cancel()
			if cancels {
				time.AfterFunc(time.Second, cancel)
			}
			m.history.sendCompletion(ctx, m.entries[i%len(m.entries)], prompt, maxTokens, stream)
		})
	}
	return group.Wait
}
