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
	// mixedCalls and mixedFaults are the calls and the faults of one run, and
	// mixedSpread the time over which each of them begins.
	mixedCalls  = 30
	mixedFaults = 6
	mixedSpread = 4 * time.Second
)

// mixed is one run of calls under faults that come together and twice.
type mixedRun struct {
	*fleet
	random *rand.Rand
	// killed names the entries that were killed.
	killed map[string]bool
	// ends undoes the faults that last.
	background sync.WaitGroup
}

// fault is one kind of failure; it may undo itself later.
type faultKind struct {
	name   string
	inject func(m *mixedRun, i int, lasts time.Duration)
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

// later undoes a fault.
func (m *mixedRun) scheduleUndo(duration time.Duration, undo func()) {
	m.background.Go(func() {
		time.Sleep(duration)
		undo()
	})
}

// cutFor cuts a link that is not cut already.
func (m *mixedRun) cutFor(name string, duration time.Duration, directions ...direction) {
	l := m.links[name]
	l.heal()
	l.cut(directions...)
	m.scheduleUndo(duration, l.heal)
}

// TestMixedFaults brings about several faults at once, some of them twice, and
// checks every promise on the histories.
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
	all := faultKinds()
	for range mixedFaults {
		time.Sleep(time.Duration(random.Int64N(int64(mixedSpread / mixedFaults))))
		f, i := all[random.IntN(len(all))], random.IntN(len(m.engines()))
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
	t.Logf("%d of %d calls answered whole, %d crashes, others %v", answered, len(calls), countCrashes(seen), unanswered)
	reportViolations(t, checkAnswers(calls), checkOutcomes(calls, m.killed), checkNotRun(calls, seen), checkCrashes(seen, maxCrashesPerContent))
	checkNothingHeld(t, m.engines()...)
}

// outcome names the end of a call that was not answered.
func (r callRecord) outcome() string {
	switch {
	case r.Left:
		return "left"
	case r.Code != "":
		return r.Code
	}
	return "no entry"
}

// calls starts calls over a time; a few of their callers leave early. The
// function that it returns waits for all.
func (m *mixedRun) startMixedCalls() func() {
	var all sync.WaitGroup
	for i := range mixedCalls {
		begin := time.Duration(m.random.Int64N(int64(mixedSpread)))
		prompt := fmt.Sprintf("%s number %d", strings.Repeat("deed ", 20+m.random.IntN(200)), i)
		tokens, stream, leaves := 10+m.random.IntN(60), m.random.IntN(2) == 0, m.random.IntN(6) == 0
		all.Go(func() {
			time.Sleep(begin)
			ctx, cancel := context.WithCancel(m.t.Context())
			defer cancel()
			if leaves {
				time.AfterFunc(time.Second, cancel)
			}
			m.history.sendCompletion(ctx, m.entries[i%len(m.entries)], prompt, tokens, stream)
		})
	}
	return all.Wait
}
