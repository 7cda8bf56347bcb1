package reservation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestTable runs the scripts in testdata/table. Times are milliseconds since the
// start of a script.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		s := &scriptRunner{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// scriptRunner runs the commands of a script on a table with a simulated clock.
type scriptRunner struct {
	table    *Table
	now      time.Time
	grantIDs map[string]uint64
}

func (s *scriptRunner) run(t *testing.T, d *datadriven.TestData) string {
	var milliseconds int
	d.MaybeScanArgs(t, "at", &milliseconds)
	s.now = time.Unix(1, 0).Add(time.Duration(milliseconds) * time.Millisecond)
	var request string
	d.MaybeScanArgs(t, "request", &request)
	a := Attempt{Request: request, Number: 1, Entry: "entry-0"}
	switch d.Cmd {
	case "new":
		var pieces, tokens int
		d.ScanArgs(t, "pieces", &pieces)
		d.ScanArgs(t, "piece-tokens", &tokens)
		s.table, s.grantIDs = New(pieces, tokens), map[string]uint64{}
		return ""
	case "enqueue":
		return s.enqueue(t, d, a)
	case "activate":
		e, err := s.table.Activate(s.now, a, s.grantIDs[request])
		if err != nil {
			return fmt.Sprintf("%T %s\n", err, err)
		}
		return s.effects(e)
	case "release":
		return s.effects(s.table.Release(s.now, a))
	case "renew":
		return fmt.Sprintf("unknown: %d\n", len(s.table.Renew(s.now, []Attempt{a})))
	case "tick":
		return s.effects(s.table.Tick(s.now))
	case "drain":
		return s.effects(s.table.Drain(s.now))
	case "load":
		l := s.table.Load()
		return fmt.Sprintf("free %d running %d queued %d wait %s\n", l.PiecesFree, l.Running, l.Queued, l.Wait.Round(time.Millisecond))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *scriptRunner) enqueue(t *testing.T, d *datadriven.TestData, a Attempt) string {
	request := Request{Attempt: a}
	var number, deadlineIn, targetIn, lead int
	d.ScanArgs(t, "tokens", &request.Tokens)
	d.MaybeScanArgs(t, "priority", &request.Priority)
	if d.MaybeScanArgs(t, "attempt", &number) {
		request.Attempt.Number = uint32(number)
	}
	if d.MaybeScanArgs(t, "deadline-in", &deadlineIn) {
		request.Deadline = s.now.Add(time.Duration(deadlineIn) * time.Millisecond)
	}
	if d.MaybeScanArgs(t, "target-in", &targetIn) {
		request.Target = s.now.Add(time.Duration(targetIn) * time.Millisecond)
	}
	if d.MaybeScanArgs(t, "lead", &lead) {
		request.Lead = time.Duration(lead) * time.Millisecond
	}
	p, e, err := s.table.Enqueue(s.now, request)
	if err != nil {
		return fmt.Sprintf("%T %s\n", err, err)
	}
	return fmt.Sprintf("ahead %d wait %s\n", p.Ahead, p.Wait.Round(time.Millisecond)) + s.effects(e)
}

func (s *scriptRunner) effects(e Effects) string {
	var b strings.Builder
	for _, g := range e.Activated {
		fmt.Fprintf(&b, "activated %s\n", g.Attempt.Request)
	}
	for _, g := range e.Granted {
		s.grantIDs[g.Attempt.Request] = g.ID
		fmt.Fprintf(&b, "granted %s %d\n", g.Attempt.Request, g.Pieces)
	}
	for _, a := range e.Expired {
		fmt.Fprintf(&b, "expired %s\n", a.Request)
	}
	for _, a := range e.Dequeued {
		fmt.Fprintf(&b, "dequeued %s\n", a.Request)
	}
	return b.String()
}

// TestTableInvariants runs random inputs. Active memory never exceeds the total,
// nor does granted memory while no request has a lead, and every accepted
// request waits, has a grant, or was reported as ended.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "pieces")
		m := &tableModel{table: New(total, 100), now: time.Unix(1, 0), total: total}
		m.attempts, m.active, m.grantIDs = map[Attempt]int{}, map[Attempt]bool{}, map[Attempt]uint64{}
		m.useLeads = rapid.Bool().Draw(t, "ahead")
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t, i)
			m.check(t)
		}
	})
}

// tableModel tracks the effects of a table from the outside.
type tableModel struct {
	table *Table
	now   time.Time
	total int
	// attempts maps each accepted attempt that has not ended to the pieces that
	// it was granted, or zero.
	attempts map[Attempt]int
	// active are the attempts that may use their memory, and grantIDs the IDs of
	// the grants.
	active   map[Attempt]bool
	grantIDs map[Attempt]uint64
	// useLeads is true when requests have a lead.
	useLeads bool
}

func (m *tableModel) step(t *rapid.T, i int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "input") {
	case 0, 1:
		request := Request{
			Attempt:  Attempt{Request: fmt.Sprint("r", i), Number: 1},
			Tokens:   rapid.IntRange(1, 25*m.total+75).Draw(t, "tokens"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Target:   m.now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(t, "target")) * time.Millisecond),
		}
		if m.useLeads {
			request.Lead = time.Duration(rapid.IntRange(0, 3000).Draw(t, "lead")) * time.Millisecond
		}
		_, e, err := m.table.Enqueue(m.now, request)
		if err != nil {
			t.Fatal(err)
		}
		m.attempts[request.Attempt] = 0
		m.apply(t, e)
	case 2:
		if a, ok := m.drawAttempt(t); ok {
			m.remove(a)
			m.apply(t, m.table.Release(m.now, a))
		}
	case 3:
		for a := range m.attempts {
			m.table.Renew(m.now, []Attempt{a})
		}
	case 4:
		a, ok := m.drawAttempt(t)
		if !ok || m.grantIDs[a] == 0 {
			return
		}
		e, err := m.table.Activate(m.now, a, m.grantIDs[a])
		if err != nil {
			t.Fatal(err)
		}
		m.apply(t, e)
	case 5:
		m.apply(t, m.table.Tick(m.now))
	}
}

// drawAttempt returns one of the attempts that have not ended, if there is one.
func (m *tableModel) drawAttempt(t *rapid.T) (Attempt, bool) {
	candidates := []Attempt{}
	for a := range m.attempts {
		candidates = append(candidates, a)
	}
	if len(candidates) == 0 {
		return Attempt{}, false
	}
	slices.SortFunc(candidates, func(a, b Attempt) int { return strings.Compare(a.Request, b.Request) })
	return rapid.SampledFrom(candidates).Draw(t, "request"), true
}

func (m *tableModel) apply(t *rapid.T, e Effects) {
	for _, g := range e.Granted {
		m.attempts[g.Attempt], m.grantIDs[g.Attempt] = g.Pieces, g.ID
	}
	for _, g := range e.Activated {
		if m.attempts[g.Attempt] == 0 {
			t.Fatalf("table activated %s, which has no grant", g.Attempt.Request)
		}
		m.active[g.Attempt] = true
	}
	for _, a := range append(e.Expired, e.Dequeued...) {
		m.remove(a)
	}
}

func (m *tableModel) remove(a Attempt) {
	delete(m.attempts, a)
	delete(m.active, a)
	delete(m.grantIDs, a)
}

func (m *tableModel) check(t *rapid.T) {
	granted, active, waiting := 0, 0, 0
	for a, p := range m.attempts {
		granted += p
		if m.active[a] {
			active += p
		}
		if p == 0 {
			waiting++
		}
	}
	l := m.table.Load()
	if active > m.total || !m.useLeads && granted > m.total || l.PiecesFree != max(0, m.total-granted) {
		t.Fatalf("%d pieces are granted and %d active of %d, but the table reports %d as free", granted, active, m.total, l.PiecesFree)
	}
	if l.Queued != waiting || l.Running != len(m.attempts)-waiting {
		t.Fatalf("%d requests wait and %d have a grant, but the table reports %d and %d", waiting, len(m.attempts)-waiting, l.Queued, l.Running)
	}
}

// TestLateIsServed guards against on-time requests starving a late one of the
// same priority: a new on-time request arrives before each release.
func TestLateIsServed(t *testing.T) {
	now := time.Unix(1, 0)
	table := New(1, 100)
	enqueue := func(name string, target time.Time) Attempt {
		a := Attempt{Request: name, Number: 1}
		if _, _, err := table.Enqueue(now, Request{Attempt: a, Tokens: 100, Target: target}); err != nil {
			t.Fatal(err)
		}
		return a
	}
	granted := enqueue("first", time.Time{})
	late := enqueue("late", time.Time{})
	for i := range maxOnTimePerLate + 2 {
		enqueue(fmt.Sprint("fresh ", i), now.Add(time.Second))
		e := table.Release(now, granted)
		granted = e.Granted[0].Attempt
		if granted == late {
			return
		}
	}
	t.Error("the late request was not granted")
}

// TestFairShares guards against one caller's load starving another caller of the
// same priority. The two send 1.3 times the load that a table can serve, one nine
// times as much as the other. The smaller one asks for less than half of the table
// and must be granted 95 % of its requests in time.
func TestFairShares(t *testing.T) {
	const step, slack, steps = 10 * time.Millisecond, 200 * time.Millisecond, 20000
	now := time.Unix(1, 0)
	table := New(20, 100)
	rng := rand.New(rand.NewPCG(1, 1))
	grantedInTime := map[string]int{}
	requestedAt := map[Attempt]time.Time{}
	releases := map[time.Time][]Attempt{}
	apply := func(e Effects) {
		for _, g := range e.Granted {
			if now.Sub(requestedAt[g.Attempt]) <= slack {
				grantedInTime[g.Attempt.Entry]++
			}
			end := now.Add(time.Duration(50+rng.IntN(100)) * step)
			releases[end] = append(releases[end], g.Attempt)
		}
	}
	offered := map[string]int{}
	for i := range steps {
		now = now.Add(step)
		for _, a := range releases[now] {
			apply(table.Release(now, a))
		}
		delete(releases, now)
		if rng.IntN(100) >= 26 {
			continue
		}
		caller := "large"
		if rng.IntN(10) == 0 {
			caller = "small"
		}
		offered[caller]++
		a := Attempt{Request: fmt.Sprint(i), Number: 1, Entry: caller}
		requestedAt[a] = now
		_, e, err := table.Enqueue(now, Request{Attempt: a, Caller: caller, Tokens: 100, Target: now.Add(slack)})
		if err != nil {
			t.Fatal(err)
		}
		apply(e)
	}
	t.Logf("granted in time: %v of %v", grantedInTime, offered)
	if 100*grantedInTime["small"] < 95*offered["small"] {
		t.Errorf("the small caller was granted %d of %d requests in time", grantedInTime["small"], offered["small"])
	}
}

// BenchmarkTable measures one request from arrival to release while others wait.
func BenchmarkTable(b *testing.B) {
	for _, waiting := range []int{20, 200, 3100} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			now := time.Unix(1, 0)
			table := New(40, 2000)
			enqueue := func(i int) Attempt {
				a := Attempt{Request: fmt.Sprint(i), Number: 1}
				_, _, err := table.Enqueue(now, Request{Attempt: a, Tokens: 4000, Priority: 5, Target: now.Add(200 * time.Millisecond)})
				if err != nil {
					b.Fatal(err)
				}
				return a
			}
			held := []Attempt{}
			for i := range 20 + waiting {
				held = append(held, enqueue(i))
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				held = append(held, enqueue(20+waiting+i))
				table.Release(now, held[0])
				held = held[1:]
			}
		})
	}
}
