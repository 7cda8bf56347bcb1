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

// TestTable plays the scripts in testdata/table. Times are milliseconds since the
// start of a script.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script is a table and its clock.
type script struct {
	table *Table
	now   time.Time
	ids   map[string]uint64
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var at int
	d.MaybeScanArgs(t, "at", &at)
	s.now = time.Unix(1, 0).Add(time.Duration(at) * time.Millisecond)
	var request string
	d.MaybeScanArgs(t, "request", &request)
	a := Attempt{Request: request, Number: 1, Entry: "entry-0"}
	switch d.Cmd {
	case "new":
		var pieces, tokens int
		d.ScanArgs(t, "pieces", &pieces)
		d.ScanArgs(t, "piece-tokens", &tokens)
		s.table, s.ids = New(pieces, tokens), map[string]uint64{}
		return ""
	case "ask":
		return s.ask(t, d, a)
	case "place":
		e, err := s.table.Place(s.now, a, s.ids[request])
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
	case "leave":
		return s.effects(s.table.Leave(s.now))
	case "load":
		l := s.table.Load()
		return fmt.Sprintf("free %d running %d queued %d wait %s\n", l.PiecesFree, l.Running, l.Queued, l.Wait.Round(time.Millisecond))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) ask(t *testing.T, d *datadriven.TestData, a Attempt) string {
	ask := Ask{Attempt: a}
	var number, patience, within, lead int
	d.ScanArgs(t, "tokens", &ask.Tokens)
	d.MaybeScanArgs(t, "priority", &ask.Priority)
	if d.MaybeScanArgs(t, "attempt", &number) {
		ask.Attempt.Number = uint32(number)
	}
	if d.MaybeScanArgs(t, "patience", &patience) {
		ask.Deadline = s.now.Add(time.Duration(patience) * time.Millisecond)
	}
	if d.MaybeScanArgs(t, "within", &within) {
		ask.Target = s.now.Add(time.Duration(within) * time.Millisecond)
	}
	if d.MaybeScanArgs(t, "lead", &lead) {
		ask.Lead = time.Duration(lead) * time.Millisecond
	}
	p, e, err := s.table.Ask(s.now, ask)
	if err != nil {
		return fmt.Sprintf("%T %s\n", err, err)
	}
	return fmt.Sprintf("ahead %d wait %s\n", p.Ahead, p.Wait.Round(time.Millisecond)) + s.effects(e)
}

func (s *script) effects(e Effects) string {
	var b strings.Builder
	for _, g := range e.Placed {
		fmt.Fprintf(&b, "placed %s\n", g.Attempt.Request)
	}
	for _, g := range e.Granted {
		s.ids[g.Attempt.Request] = g.ID
		fmt.Fprintf(&b, "granted %s %d\n", g.Attempt.Request, g.Pieces)
	}
	for _, a := range e.Lapsed {
		fmt.Fprintf(&b, "lapsed %s\n", a.Request)
	}
	for _, a := range e.Expired {
		fmt.Fprintf(&b, "expired %s\n", a.Request)
	}
	return b.String()
}

// TestTableInvariants plays random inputs: what is placed never exceeds the
// memory, promises without a lead do not either, and every request that was
// taken waits, holds, or was told its end.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "pieces")
		m := &model{table: New(total, 100), now: time.Unix(1, 0), total: total}
		m.open, m.placed, m.ids = map[Attempt]int{}, map[Attempt]bool{}, map[Attempt]uint64{}
		m.ahead = rapid.Bool().Draw(t, "ahead")
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t, i)
			m.check(t)
		}
	})
}

// model is what a caller of the table believes.
type model struct {
	table *Table
	now   time.Time
	total int
	// open maps each request that was taken and not ended to the pieces that
	// it was granted, or zero.
	open map[Attempt]int
	// placed are those whose memory is theirs, and ids the promises.
	placed map[Attempt]bool
	ids    map[Attempt]uint64
	// ahead is true where requests have a lead.
	ahead bool
}

func (m *model) step(t *rapid.T, i int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "input") {
	case 0, 1:
		a := Ask{
			Attempt:  Attempt{Request: fmt.Sprint("r", i), Number: 1},
			Tokens:   rapid.IntRange(1, 25*m.total+75).Draw(t, "tokens"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Target:   m.now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(t, "target")) * time.Millisecond),
		}
		if m.ahead {
			a.Lead = time.Duration(rapid.IntRange(0, 3000).Draw(t, "lead")) * time.Millisecond
		}
		_, e, err := m.table.Ask(m.now, a)
		if err != nil {
			t.Fatal(err)
		}
		m.open[a.Attempt] = 0
		m.take(t, e)
	case 2:
		if a, ok := m.draw(t); ok {
			m.forget(a)
			m.take(t, m.table.Release(m.now, a))
		}
	case 3:
		for a := range m.open {
			m.table.Renew(m.now, []Attempt{a})
		}
	case 4:
		a, ok := m.draw(t)
		if !ok || m.ids[a] == 0 {
			return
		}
		e, err := m.table.Place(m.now, a, m.ids[a])
		if err != nil {
			t.Fatal(err)
		}
		m.take(t, e)
	case 5:
		m.take(t, m.table.Tick(m.now))
	}
}

// draw returns one of the requests that have not ended, if there is one.
func (m *model) draw(t *rapid.T) (Attempt, bool) {
	all := []Attempt{}
	for a := range m.open {
		all = append(all, a)
	}
	if len(all) == 0 {
		return Attempt{}, false
	}
	slices.SortFunc(all, func(a, b Attempt) int { return strings.Compare(a.Request, b.Request) })
	return rapid.SampledFrom(all).Draw(t, "request"), true
}

func (m *model) take(t *rapid.T, e Effects) {
	for _, g := range e.Granted {
		m.open[g.Attempt], m.ids[g.Attempt] = g.Pieces, g.ID
	}
	for _, g := range e.Placed {
		if m.open[g.Attempt] == 0 {
			t.Fatalf("placed %s, which holds nothing", g.Attempt.Request)
		}
		m.placed[g.Attempt] = true
	}
	for _, a := range append(e.Lapsed, e.Expired...) {
		m.forget(a)
	}
}

func (m *model) forget(a Attempt) {
	delete(m.open, a)
	delete(m.placed, a)
	delete(m.ids, a)
}

func (m *model) check(t *rapid.T) {
	used, placed, waiting := 0, 0, 0
	for a, p := range m.open {
		used += p
		if m.placed[a] {
			placed += p
		}
		if p == 0 {
			waiting++
		}
	}
	l := m.table.Load()
	if placed > m.total || !m.ahead && used > m.total || l.PiecesFree != max(0, m.total-used) {
		t.Fatalf("granted %d and placed %d of %d pieces, the table says %d are free", used, placed, m.total, l.PiecesFree)
	}
	if l.Queued != waiting || l.Running != len(m.open)-waiting {
		t.Fatalf("%d wait and %d hold, the table says %d and %d", waiting, len(m.open)-waiting, l.Queued, l.Running)
	}
}

// TestLateIsServed has fresh requests come without end: a late one of the same
// priority is served all the same.
func TestLateIsServed(t *testing.T) {
	now := time.Unix(1, 0)
	b := New(1, 100)
	ask := func(name string, target time.Time) Attempt {
		a := Attempt{Request: name, Number: 1}
		if _, _, err := b.Ask(now, Ask{Attempt: a, Tokens: 100, Target: target}); err != nil {
			t.Fatal(err)
		}
		return a
	}
	holder := ask("first", time.Time{})
	late := ask("late", time.Time{})
	for i := range lateTurn + 2 {
		ask(fmt.Sprint("fresh ", i), now.Add(time.Second))
		e := b.Release(now, holder)
		holder = e.Granted[0].Attempt
		if holder == late {
			return
		}
	}
	t.Error("the late request was not served")
}

// TestFairShares has two callers of one priority offer 1.3 times what a table
// can serve, one of them nine times as much as the other: the smaller one, who
// asks for less than half, is served in time.
func TestFairShares(t *testing.T) {
	const step, slack, steps = 10 * time.Millisecond, 200 * time.Millisecond, 20000
	now := time.Unix(1, 0)
	b := New(20, 100)
	random := rand.New(rand.NewPCG(1, 1))
	granted := map[string]int{}
	asked := map[Attempt]time.Time{}
	ends := map[time.Time][]Attempt{}
	take := func(e Effects) {
		for _, g := range e.Granted {
			if now.Sub(asked[g.Attempt]) <= slack {
				granted[g.Attempt.Entry]++
			}
			end := now.Add(time.Duration(50+random.IntN(100)) * step)
			ends[end] = append(ends[end], g.Attempt)
		}
	}
	offered := map[string]int{}
	for i := range steps {
		now = now.Add(step)
		for _, a := range ends[now] {
			take(b.Release(now, a))
		}
		delete(ends, now)
		if random.IntN(100) >= 26 {
			continue
		}
		caller := "large"
		if random.IntN(10) == 0 {
			caller = "small"
		}
		offered[caller]++
		a := Attempt{Request: fmt.Sprint(i), Number: 1, Entry: caller}
		asked[a] = now
		_, e, err := b.Ask(now, Ask{Attempt: a, Caller: caller, Tokens: 100, Target: now.Add(slack)})
		if err != nil {
			t.Fatal(err)
		}
		take(e)
	}
	t.Logf("granted in time: %v of %v", granted, offered)
	if 100*granted["small"] < 95*offered["small"] {
		t.Errorf("the small caller was served %d of %d in time", granted["small"], offered["small"])
	}
}

// BenchmarkTable is one request's way through a table with others waiting.
func BenchmarkTable(b *testing.B) {
	for _, waiting := range []int{20, 200, 3100} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			now := time.Unix(1, 0)
			t := New(40, 2000)
			ask := func(i int) Attempt {
				a := Attempt{Request: fmt.Sprint(i), Number: 1}
				_, _, err := t.Ask(now, Ask{Attempt: a, Tokens: 4000, Priority: 5, Target: now.Add(200 * time.Millisecond)})
				if err != nil {
					b.Fatal(err)
				}
				return a
			}
			held := []Attempt{}
			for i := range 20 + waiting {
				held = append(held, ask(i))
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				held = append(held, ask(20+waiting+i))
				t.Release(now, held[0])
				held = held[1:]
			}
		})
	}
}
