package allocation

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
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
				account, count, tokens, priority := "", 1, 0, 0
				d.MaybeScanArgs(t, "account", &account)
				d.MaybeScanArgs(t, "count", &count)
				d.ScanArgs(t, "tokens", &tokens)
				d.MaybeScanArgs(t, "priority", &priority)
				onTime := now.Add(time.Minute)
				if d.HasArg("late") {
					onTime = now
				}
				for range count {
					ids[account]++
					q.Add(&Request{
						ID: fmt.Sprint(account, ids[account]), Account: account, PromptTokens: tokens, Priority: priority,
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
