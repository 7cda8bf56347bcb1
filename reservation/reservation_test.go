package reservation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestTable plays the scripts in testdata. Times are milliseconds since the
// start of a script.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
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
	case "release":
		return s.effects(s.table.Release(s.now, a))
	case "renew":
		return fmt.Sprintf("unknown: %d\n", len(s.table.Renew(s.now, []Attempt{a})))
	case "tick":
		return s.effects(s.table.Tick(s.now))
	case "leave":
		s.table.Leave()
		return ""
	case "load":
		l := s.table.Load()
		return fmt.Sprintf("free %d running %d queued %d wait %s\n", l.PiecesFree, l.Running, l.Queued, l.Wait.Round(time.Millisecond))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) ask(t *testing.T, d *datadriven.TestData, a Attempt) string {
	ask := Ask{Attempt: a}
	var number, patience, within int
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
	p, e, err := s.table.Ask(s.now, ask)
	if err != nil {
		return fmt.Sprintf("%T %s\n", err, err)
	}
	return fmt.Sprintf("ahead %d wait %s\n", p.Ahead, p.Wait.Round(time.Millisecond)) + s.effects(e)
}

func (s *script) effects(e Effects) string {
	var b strings.Builder
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

// TestTableInvariants plays random inputs: promises never exceed the memory,
// and every request that was taken waits, holds, or was told its end.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "pieces")
		m := &model{table: New(total, 100), now: time.Unix(1, 0), open: map[Attempt]int{}, total: total}
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
}

func (m *model) step(t *rapid.T, i int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 4).Draw(t, "input") {
	case 0, 1:
		a := Ask{
			Attempt:  Attempt{Request: fmt.Sprint("r", i), Number: 1},
			Tokens:   rapid.IntRange(1, 100*m.total).Draw(t, "tokens"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Target:   m.now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(t, "target")) * time.Millisecond),
		}
		_, e, err := m.table.Ask(m.now, a)
		if err != nil {
			t.Fatal(err)
		}
		m.open[a.Attempt] = 0
		m.take(e)
	case 2:
		for a := range m.open {
			delete(m.open, a)
			m.take(m.table.Release(m.now, a))
			break
		}
	case 3:
		for a := range m.open {
			m.table.Renew(m.now, []Attempt{a})
		}
	case 4:
		m.take(m.table.Tick(m.now))
	}
}

func (m *model) take(e Effects) {
	for _, g := range e.Granted {
		m.open[g.Attempt] = g.Pieces
	}
	for _, a := range append(e.Lapsed, e.Expired...) {
		delete(m.open, a)
	}
}

func (m *model) check(t *rapid.T) {
	used, waiting := 0, 0
	for _, p := range m.open {
		used += p
		if p == 0 {
			waiting++
		}
	}
	l := m.table.Load()
	if used > m.total || m.total-l.PiecesFree != used {
		t.Fatalf("granted %d of %d pieces, the table says %d are free", used, m.total, l.PiecesFree)
	}
	if l.Queued != waiting || l.Running != len(m.open)-waiting {
		t.Fatalf("%d wait and %d hold, the table says %d and %d", waiting, len(m.open)-waiting, l.Queued, l.Running)
	}
}
