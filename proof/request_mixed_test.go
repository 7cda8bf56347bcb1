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
type mixed struct {
	*fleet
	random *rand.Rand
	// killed names the entries that were killed.
	killed map[string]bool
	// ends undoes the faults that last.
	ends sync.WaitGroup
}

// fault is one kind of failure; it may undo itself later.
type fault struct {
	name string
	do   func(m *mixed, i int, lasts time.Duration)
}

func faults() []fault {
	both := []direction{toServer, toClient}
	return []fault{
		{"engine killed", func(m *mixed, i int, _ time.Duration) { _ = m.engines()[i].cmd.Process.Kill() }},
		{"agent restarted", func(m *mixed, i int, _ time.Duration) {
			m.agents()[i].kill()
			m.launch(m.agents()[i])
		}},
		{"agent frozen", func(m *mixed, i int, lasts time.Duration) {
			a := m.agents()[i]
			a.freeze()
			m.later(lasts, a.thaw)
		}},
		{"engine frozen", func(m *mixed, i int, lasts time.Duration) {
			p := m.engines()[i].cmd.Process
			_ = p.Signal(syscall.SIGSTOP)
			m.later(lasts, func() { _ = p.Signal(syscall.SIGCONT) })
		}},
		{"agent silent", func(m *mixed, i int, _ time.Duration) { m.links[m.agents()[i].name].silence(both...) }},
		{"agent silent one way", func(m *mixed, i int, _ time.Duration) { m.links[m.agents()[i].name].silence(toClient) }},
		{"engine silent", func(m *mixed, i int, _ time.Duration) { m.links[m.engines()[i].name].silence(both...) }},
		{"agent cut", func(m *mixed, i int, lasts time.Duration) { m.cutFor(m.agents()[i].name, lasts, both...) }},
		{"engine cut one way", func(m *mixed, i int, lasts time.Duration) { m.cutFor(m.engines()[i].name, lasts, toClient) }},
		{"control silent", func(m *mixed, _ int, _ time.Duration) { m.links["control-0"].silence(both...) }},
		{"control cut", func(m *mixed, _ int, lasts time.Duration) { m.cutFor("control-0", lasts, both...) }},
		{"entry frozen", func(m *mixed, _ int, lasts time.Duration) {
			m.entries[0].freeze()
			m.later(lasts, m.entries[0].thaw)
		}},
		{"entry killed", func(m *mixed, _ int, lasts time.Duration) {
			m.killed["entry-1"] = true
			m.entries[1].kill()
			time.Sleep(lasts / 2)
			m.launch(m.entries[1])
		}},
		{"crashing content", func(m *mixed, _ int, _ time.Duration) {
			for _, e := range m.entries {
				m.ends.Go(func() { m.history.ask(m.t.Context(), e, "CRASH-DECODE deed", 20, true) })
			}
		}},
	}
}

func (m *mixed) agents() []*proc {
	return append(append([]*proc(nil), m.prefills...), m.decodes...)
}

// later undoes a fault.
func (m *mixed) later(lasts time.Duration, undo func()) {
	m.ends.Go(func() {
		time.Sleep(lasts)
		undo()
	})
}

// cutFor cuts a link that is not cut already.
func (m *mixed) cutFor(name string, lasts time.Duration, ways ...direction) {
	l := m.links[name]
	l.heal()
	l.cut(ways...)
	m.later(lasts, l.heal)
}

// TestMixedFaults brings about several faults at once, some of them twice, and
// checks every promise on the histories.
func TestMixedFaults(t *testing.T) {
	for s := range *seeds {
		n := *seed + uint64(s)
		t.Run(fmt.Sprintf("seed %d", n), func(t *testing.T) {
			t.Parallel()
			mixedFaultsRun(t, rand.New(rand.NewPCG(n, 4)))
		})
	}
}

func mixedFaultsRun(t *testing.T, random *rand.Rand) {
	m := &mixed{fleet: newFleet(t, 2, 3, 3, engineSettings{}, engineSettings{StepMicroseconds: 40_000}), random: random, killed: map[string]bool{}}
	m.supervise(time.Duration(100+random.IntN(900)) * time.Millisecond)
	wait := m.calls()
	all := faults()
	for range mixedFaults {
		time.Sleep(time.Duration(random.Int64N(int64(mixedSpread / mixedFaults))))
		f, i := all[random.IntN(len(all))], random.IntN(len(m.engines()))
		lasts := time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
		t.Logf("%s at %d for %s", f.name, i, lasts.Round(time.Millisecond))
		f.do(m, i, lasts)
	}
	wait()
	m.ends.Wait()
	calls, seen := m.history.calls(), engineRecords(t, m.engines()...)
	whole, others := 0, map[string]int{}
	for _, r := range calls {
		whole += min(r.Ends, 1)
		if r.Ends == 0 {
			others[r.outcome()]++
		}
	}
	t.Logf("%d of %d calls answered whole, %d crashes, others %v", whole, len(calls), crashes(seen), others)
	report(t, checkWhole(calls), checkOneEnd(calls, m.killed), checkNotRun(calls, seen), checkCrashes(seen, crashTarget))
	settled(t, m.engines()...)
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
func (m *mixed) calls() func() {
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
			m.history.ask(ctx, m.entries[i%len(m.entries)], prompt, tokens, stream)
		})
	}
	return all.Wait
}
