package allocation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ebonyreel/stages"
)

// TestTurns runs scripts of requests that wait in a Queue. An account's name and a number
// make the ID of a request; all are on time unless they are late.
func TestTurns(t *testing.T) {
	datadriven.Walk(t, "testdata/turns", func(t *testing.T, path string) {
		q, now, ids := &Queue{}, time.Unix(0, 0), map[string]int{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := ""
			switch d.Cmd {
			case "ask":
				account, count, tokens, priority, weight := "", 1, 0, 0, 0
				d.MaybeScanArgs(t, "account", &account)
				d.MaybeScanArgs(t, "count", &count)
				d.ScanArgs(t, "tokens", &tokens)
				d.MaybeScanArgs(t, "priority", &priority)
				d.MaybeScanArgs(t, "weight", &weight)
				onTime := now.Add(time.Minute)
				if d.HasArg("late") {
					onTime = now
				}
				for range count {
					ids[account]++
					q.Add(&Request{
						ID: fmt.Sprint(account, ids[account]), Account: account, PromptTokens: tokens, Priority: priority, Weight: float64(weight),
						Arrived: now, OnTimeUntil: onTime, AbandonAt: now.Add(10 * time.Second),
					})
				}
			case "admit":
				count := 1
				d.MaybeScanArgs(t, "count", &count)
				for range count {
					r := q.Next(now, nil)
					if r == nil {
						break
					}
					q.Admit(r, now)
					q.Granted(now)
					out += r.ID + " "
				}
			case "refuse":
				milliseconds := 0
				d.ScanArgs(t, "after", &milliseconds)
				now = now.Add(time.Duration(milliseconds) * time.Millisecond)
				refused := map[string]int{}
				for _, r := range q.RefuseLate(now) {
					refused[r.Account]++
				}
				out = fmt.Sprint(refused)
			}
			return out + "\n"
		})
	})
}

// TestSlowEngine places streams at twelve engines of which one turns slow by six while it
// takes work, and one is slower by a third: an engine gets less the slower it is, and all
// of the others' room is used before that of the slow one.
func TestSlowEngine(t *testing.T) {
	now := time.Unix(0, 0)
	p := &Pool{
		Memory: 27_000, Slots: 32, TypicalOutput: 400, LearnPaces: true,
		Speeds: Speeds{PrefillPerToken: 30 * time.Microsecond, DecodePerToken: 6 * time.Millisecond, Start: 200 * time.Millisecond},
	}
	var engines []Engine
	for i := range 12 {
		engines = append(engines, Engine{Name: fmt.Sprint("e", i), Stage: stages.Decode})
	}
	p.SetEngines(engines)
	for i, e := range engines {
		perToken := map[int]time.Duration{0: 36 * time.Millisecond, 1: 8 * time.Millisecond}[i]
		for range 5 {
			p.paces.Observe(e.Name, max(perToken, 6*time.Millisecond), now)
		}
	}
	got := map[string]int{}
	for i := range 48 {
		p.Enqueue(&Request{
			ID: fmt.Sprint("r", i), PromptTokens: 3000, Output: Length{LogMedian: math.Log(400)}, Arrived: now, OnTimeUntil: now.Add(time.Second), AbandonAt: now.Add(time.Minute),
		})
	}
	grants, _ := p.Decide(now)
	for _, g := range grants {
		got[g.Decode]++
	}
	if len(grants) != 48 || got["e0"] > 0 || got["e1"] >= got["e2"] {
		t.Errorf("%d streams placed: %v", len(grants), got)
	}
	t.Logf("%v", got)
}
