package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRetryBudget runs the loads in testdata/budget on the accounts of many entries. In
// every window the retries of all entries must be within the budget, and of calm
// loads few may be denied.
func TestRetryBudget(t *testing.T) {
	datadriven.Walk(t, "testdata/budget", func(t *testing.T, path string) {
		var s *budgetSimulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				s = &budgetSimulation{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1, 0)}
				var entries int
				d.ScanArgs(t, "entries", &entries)
				d.ScanArgs(t, "slack", &s.budget.Slack)
				s.budget.Ratio, s.budget.Window = 0.2, 10*time.Second
				s.accounts, s.known = make([]*budgetEntry, entries), entries
				for i := range s.accounts {
					s.accounts[i] = &budgetEntry{count: entryCount{memory: s.budget.Window}}
				}
				return ""
			case "load":
				return s.load(t, d)
			case "restart":
				var entries int
				d.ScanArgs(t, "entries", &entries)
				for i := range entries {
					s.accounts[i] = &budgetEntry{since: s.now, count: entryCount{memory: s.budget.Window}}
				}
				return ""
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

// budgetEntry is the account of one entry that has shared the budget since some time, and
// what it knows of the number of entries.
type budgetEntry struct {
	retryAccount
	since time.Time
	count entryCount
}

// budgetSimulation is the retries of a fleet on a simulated clock.
type budgetSimulation struct {
	random   *rand.Rand
	now      time.Time
	budget   RetryBudget
	accounts []*budgetEntry
	// known is the number of entries that each of them knows.
	known int
	// requests and retries are when they were sent, in order.
	requests, retries []time.Time
}

// load offers requests at a rate per second of the fleet, of which a share fails and
// asks for a retry, and reports how many retries were denied.
func (s *budgetSimulation) load(t *testing.T, d *datadriven.TestData) string {
	var rate, seconds, failing float64
	d.ScanArgs(t, "rate", &rate)
	d.ScanArgs(t, "seconds", &seconds)
	d.ScanArgs(t, "failing", &failing)
	first, reason := 0, retryFailed
	d.MaybeScanArgs(t, "from-entry", &first)
	if d.HasArg("not-run") {
		reason = retryNotRun
	}
	asked, denied := 0, 0
	for end := s.now.Add(time.Duration(seconds * float64(time.Second))); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		a := s.accounts[first+s.random.IntN(len(s.accounts)-first)]
		budget := s.budget
		budget.Since = a.since
		entries := a.count.observe(s.now, s.known)
		a.recordRequest(s.now, budget)
		s.requests = append(s.requests, s.now)
		if s.random.Float64() >= failing {
			continue
		}
		asked++
		if !a.withdraw(s.now, budget, entries, reason, false) {
			denied++
			continue
		}
		s.retries = append(s.retries, s.now)
	}
	switch share := float64(denied) / math.Max(1, float64(asked)); {
	case denied == 0:
		return "retries denied: none\n"
	case share < 0.02:
		return "retries denied: below 2%\n"
	case share < 0.5:
		return "retries denied: below half\n"
	}
	return "retries denied: half or more\n"
}

// check reports whether the retries in every window are within the budget for the
// requests in the window, in that before it or in that half a window before.
func (s *budgetSimulation) check() string {
	within := func(times []time.Time, from time.Time) int {
		to := from.Add(s.budget.Window)
		i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		j, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
		return j - i
	}
	worst := 0.0
	for _, from := range s.retries {
		requests := max(within(s.requests, from), within(s.requests, from.Add(-s.budget.Window)), within(s.requests, from.Add(-s.budget.Window/2)))
		worst = max(worst, float64(within(s.retries, from))/(s.budget.Ratio*float64(requests)+s.budget.Slack))
	}
	return fmt.Sprintf("within the budget: %t\n", worst <= 1)
}
