package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRequestLimit runs the loads in testdata/limits on the limits of many entries,
// without any word between them. Within each 4 s an endpoint may get at most one and a
// half times the requests of its limit, and five more. Of a heavy load, most of what the
// limit allows must be sent.
func TestRequestLimit(t *testing.T) {
	datadriven.Walk(t, "testdata/limits", func(t *testing.T, path string) {
		var s *limitSimulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				s = newLimitSimulation(t, d)
				return ""
			case "load":
				return s.load(t, d)
			case "known":
				d.ScanArgs(t, "entries", &s.known)
				return ""
			case "check":
				return s.check()
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// limitSimulation is an endpoint with a limit and the entries that call it, on a
// simulated clock.
type limitSimulation struct {
	random *rand.Rand
	now    time.Time
	limits []requestLimit
	// counts are what each entry knows of the number of entries, of which it now knows some.
	counts []entryCount
	known  int
	rate   float64
	sent   []time.Time
}

func newLimitSimulation(t *testing.T, d *datadriven.TestData) *limitSimulation {
	t.Helper()
	s := &limitSimulation{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1, 0)}
	entries := 0
	d.ScanArgs(t, "entries", &entries)
	d.ScanArgs(t, "limit", &s.rate)
	s.limits, s.counts, s.known = make([]requestLimit, entries), make([]entryCount, entries), entries
	for i := range s.limits {
		s.counts[i].memory = minEntryMemory
		s.limits[i].hear(s.now, s.rate, entries, s.random.Float64())
	}
	return s
}

// load offers calls at a rate per second of the fleet, and reports which part of the
// limit was used.
func (s *limitSimulation) load(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var rate, seconds float64
	d.ScanArgs(t, "rate", &rate)
	d.ScanArgs(t, "seconds", &seconds)
	sent := 0
	for end := s.now.Add(time.Duration(seconds * float64(time.Second))); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		i := s.random.IntN(len(s.limits))
		l, entries := &s.limits[i], s.counts[i].observe(s.now, s.known)
		if l.allows(s.now, entries) {
			l.take(entries)
			s.sent = append(s.sent, s.now)
			sent++
		}
	}
	used := float64(sent) / (s.rate * seconds)
	for _, share := range []float64{0.9, 0.5} {
		if used >= share {
			return fmt.Sprintf("used: at least %.1f\n", share)
		}
	}
	return "used: less\n"
}

// check compares each window with the limit.
func (s *limitSimulation) check() string {
	const window = 4 * time.Second
	most, from := 0, 0
	for to, at := range s.sent {
		for at.Sub(s.sent[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return fmt.Sprintf("within the limit: %t\n", float64(most) <= 1.5*s.rate*window.Seconds()+5)
}
