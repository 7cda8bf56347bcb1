package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// fleet is a Ledger and the Stocks of some entries, with what they send each other.
type fleet struct {
	ledger    *Ledger
	stocks    map[string]*Stock
	limits    map[string]Limit
	tolerance Tolerance
	// lastID is the number of the last request, and asked maps those that wait to what
	// they cost.
	lastID uint64
	asked  map[uint64]float64
	// admit is called for each admitted request.
	admit func(cost float64)
}

func newFleet(now time.Duration, entries int, t Tolerance) *fleet {
	f := &fleet{
		ledger: NewLedger(now), stocks: map[string]*Stock{}, limits: map[string]Limit{}, tolerance: t, asked: map[uint64]float64{},
		admit: func(float64) {},
	}
	for i := range entries {
		name := fmt.Sprintf("e%02d", i)
		f.stocks[name] = NewStock(name, t, now)
	}
	return f
}

func (f *fleet) names() []string {
	return slices.Sorted(maps.Keys(f.stocks))
}

func (f *fleet) ask(now time.Duration, entry, account string, cost float64) Decision {
	f.lastID++
	d := f.stocks[entry].Ask(now, Request{ID: f.lastID, Account: account, Limit: f.limits[account], Cost: cost, Arrived: now})
	f.asked[d.ID] = cost
	f.count(d)
	return d
}

func (f *fleet) count(d Decision) {
	if d.Verdict == Admitted {
		f.admit(f.asked[d.ID])
	}
	if d.Verdict != Waits {
		delete(f.asked, d.ID)
	}
}

// exchange makes the claim of an entry that is due. It is lost on its way to the Ledger
// or back where the paths do not hold.
func (f *fleet) exchange(now time.Duration, entry string, to, from bool) []Decision {
	s := f.stocks[entry]
	out := s.Tick(now)
	if c := s.NextClaim(now); c != nil {
		var a Answer
		if to {
			a = f.ledger.Claim(now, *c, len(f.stocks), func(account string) (Limit, bool) {
				l, ok := f.limits[account]
				return l, ok
			})
		}
		if to && from {
			out = append(out, s.Answered(now, a)...)
		} else {
			s.Failed()
		}
	}
	for _, d := range out {
		f.count(d)
	}
	return out
}

// TestQuota runs scripts of requests, claims and failures. Times are in milliseconds.
func TestQuota(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var f *fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				entries, excess, window := 0, 0, 0
				d.ScanArgs(t, "entries", &entries)
				d.MaybeScanArgs(t, "excess", &excess)
				d.MaybeScanArgs(t, "window", &window)
				f = newFleet(0, entries, Tolerance{Excess: float64(excess), Window: time.Duration(window) * time.Millisecond})
				return ""
			}
			return f.run(t, d)
		})
	})
}

func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	at, entry, account := 0, "", "a"
	d.MaybeScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "account", &account)
	now := time.Duration(at) * time.Millisecond
	entries := f.names()
	if entry != "" {
		entries = []string{entry}
	}
	var out strings.Builder
	switch d.Cmd {
	case "quota":
		rate, burst := 0, 0
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "burst", &burst)
		f.limits[account] = Limit{PerSecond: float64(rate), Burst: float64(burst)}
	case "forget":
		delete(f.stocks, entry)
	case "leader":
		f.ledger = NewLedger(now)
	case "restart":
		f.stocks[entry] = NewStock(entry, f.tolerance, now)
	case "give-back":
		cost := 0
		d.ScanArgs(t, "cost", &cost)
		f.stocks[entry].GiveBack(account, float64(cost))
	case "ask":
		cost, count := 1, 1
		d.ScanArgs(t, "cost", &cost)
		d.MaybeScanArgs(t, "count", &count)
		for _, e := range entries {
			var decisions []Decision
			for range count {
				decisions = append(decisions, f.ask(now, e, account, float64(cost)))
			}
			printDecisions(&out, e, decisions)
		}
	case "beat":
		// All entries, or all but one, claim each 200 ms until a time.
		from, without := 0, ""
		d.ScanArgs(t, "from", &from)
		d.MaybeScanArgs(t, "without", &without)
		for ; from <= at; from += 200 {
			for _, e := range entries {
				if e != without {
					f.exchange(time.Duration(from)*time.Millisecond, e, true, true)
				}
			}
		}
	case "claim":
		for _, e := range entries {
			printDecisions(&out, e, f.exchange(now, e, !d.HasArg("unsent"), !d.HasArg("unsent") && !d.HasArg("unanswered")))
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return out.String()
}

// printDecisions prints how many requests got each verdict, and the times at which those
// that were refused may come back.
func printDecisions(out *strings.Builder, entry string, decisions []Decision) {
	names := map[Verdict]string{Waits: "wait", Admitted: "admitted", Over: "over", Unknown: "unknown"}
	counts, returns := map[Verdict]int{}, []string{}
	for _, d := range decisions {
		counts[d.Verdict]++
		if d.RetryAfter > 0 {
			returns = append(returns, d.RetryAfter.Round(time.Millisecond).String())
		}
	}
	var parts []string
	for _, v := range []Verdict{Admitted, Over, Unknown, Waits} {
		if counts[v] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[v], names[v]))
		}
	}
	if len(parts) > 0 {
		fmt.Fprintln(out, strings.TrimSpace(fmt.Sprint(entry, ": ", strings.Join(parts, ", "), " ", strings.Join(returns, " "))))
	}
}

const (
	step   = 50 * time.Millisecond
	window = 8 * time.Second
)

// meter counts what was admitted in each step.
type meter struct {
	steps []float64
}

func (m *meter) add(step int, cost float64) {
	for len(m.steps) <= step {
		m.steps = append(m.steps, 0)
	}
	m.steps[step] += cost
}

// most returns the most that was admitted in any window, and where it ends.
func (m *meter) most() (float64, time.Duration) {
	most, end, sum := 0.0, 0, 0.0
	n := int(window / step)
	for i, v := range m.steps {
		sum += v
		if i >= n {
			sum -= m.steps[i-n]
		}
		if sum > most {
			most, end = sum, i
		}
	}
	return most, time.Duration(end) * step
}

// TestQuotaUnderFailures draws losses of the leader, entries that are cut off in either
// direction, killed or frozen, and floods. In no window more may be admitted than the
// quota, a tenth of it and the tolerated excess.
func TestQuotaUnderFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(2, 31).Draw(r, "entries")
		rate := rapid.Float64Range(2_000, 100_000).Draw(r, "rate")
		limit := Limit{PerSecond: rate, Burst: rate * rapid.Float64Range(0.5, 4).Draw(r, "burst")}
		tolerance := Tolerance{Excess: rate * rapid.Float64Range(0, 0.5).Draw(r, "excess"), Window: window}
		f := newFleet(0, entries, tolerance)
		f.limits["a"] = limit
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		var m meter
		current := 0
		f.admit = func(cost float64) { m.add(current, cost) }
		cut, oneWay, frozen, silent := map[string]int{}, map[string]int{}, map[string]int{}, 0
		for current = range 600 {
			now := time.Duration(current) * step
			// Most steps bring nothing.
			event := random.IntN(200)
			name := f.names()[random.IntN(entries)]
			steps := current + 5 + random.IntN(240)
			switch event {
			case 0:
				f.ledger, silent = NewLedger(now), current+random.IntN(50)
			case 1:
				cut[name] = steps
			case 2:
				oneWay[name] = steps
			case 3:
				frozen[name] = steps
			case 4:
				f.stocks[name] = NewStock(name, tolerance, now)
			case 5:
				for i, n := range f.names() {
					if i%2 == 0 {
						cut[n] = steps
					}
				}
			case 6:
				for _, n := range f.names() {
					f.stocks[n] = NewStock(n, tolerance, now)
				}
			}
			for _, n := range f.names() {
				if current < frozen[n] {
					continue
				}
				for range random.IntN(3) {
					f.ask(now, n, "a", rate*(0.002+0.1*random.Float64()))
				}
				reaches := current >= silent && current >= cut[n]
				f.exchange(now, n, reaches, reaches && current >= oneWay[n])
			}
		}
		allowed := 1.1*(limit.PerSecond*window.Seconds()+limit.Burst) + tolerance.Excess
		if most, end := m.most(); most > allowed {
			r.Fatalf("%.0f admitted in the window that ends at %s, %.0f allowed", most, end, allowed)
		}
	})
}

// TestQuotaUsable floods a few of many entries in calm times. In each window, at least
// nine tenths must be admitted of what a single counter would admit.
func TestQuotaUsable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(1, 60).Draw(r, "entries")
		used := rapid.IntRange(1, entries).Draw(r, "used")
		rate := rapid.Float64Range(2_000, 100_000).Draw(r, "rate")
		limit := Limit{PerSecond: rate, Burst: rate * rapid.Float64Range(0.5, 4).Draw(r, "burst")}
		f := newFleet(0, entries, Tolerance{})
		f.limits["a"] = limit
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		var got, single meter
		current, balance := 0, limit.Burst
		f.admit = func(cost float64) { got.add(current, cost) }
		// The entries are in touch before the flood begins.
		begin := int(10 * time.Second / step)
		for current = range begin + 400 {
			now := time.Duration(current) * step
			if current >= begin {
				balance = min(balance+rate*step.Seconds(), limit.Burst)
			}
			for i, n := range f.names() {
				for range random.IntN(4) {
					if i >= used || current < begin {
						continue
					}
					cost := rate * (0.002 + 0.05*random.Float64())
					if balance >= cost {
						balance -= cost
						single.add(current, cost)
					}
					f.ask(now, n, "a", cost)
				}
				f.exchange(now, n, true, true)
			}
		}
		n := int(window / step)
		sumGot, sumSingle := 0.0, 0.0
		for i := begin; i < len(single.steps); i++ {
			sumSingle += single.steps[i]
			if i < len(got.steps) {
				sumGot += got.steps[i]
			}
			if i >= begin+n {
				sumSingle -= single.steps[i-n]
				sumGot -= got.steps[i-n]
				if sumGot < 0.9*sumSingle {
					r.Fatalf("%.0f admitted in the window that ends at %s, %.0f by a single counter", sumGot, time.Duration(i)*step, sumSingle)
				}
			}
		}
	})
}
