package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkClaim measures a claim of one entry among many for a few of 26,000 accounts.
func BenchmarkClaim(b *testing.B) {
	for _, entries := range []int{31, 103, 400} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			l, limits := NewLedger(0), func(string) (Limit, bool) { return Limit{PerSecond: 1000, Burst: 1000}, true }
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				c := Claim{Entry: fmt.Sprint("e", i%entries), Entries: entries}
				for a := range 4 {
					c.Accounts = append(c.Accounts, AccountClaim{Account: fmt.Sprint("a", (i*4+a)%26_000), Costs: []float64{1}, Ahead: true})
				}
				l.Claim(now, c, entries, limits)
			}
		})
	}
}
