// Package lease keeps the expiry times of named holders. It has no clock: the
// time comes in with each call and is expected never to go back.
package lease

import (
	"sort"
	"time"
)

// Table maps holders to the end of their leases. The zero value is empty.
// It is not safe for concurrent use.
type Table struct {
	// expires maps a holder to the end of its lease.
	expires map[string]time.Time
}

// Renew extends a holder's lease to a time from now. A lease never shrinks.
func (t *Table) Renew(holder string, now time.Time, length time.Duration) {
	if t.expires == nil {
		t.expires = map[string]time.Time{}
	}
	end := now.Add(length)
	if end.After(t.expires[holder]) {
		t.expires[holder] = end
	}
}

// Drop ends a holder's lease at once.
func (t *Table) Drop(holder string) {
	delete(t.expires, holder)
}

// Held reports whether a holder's lease runs.
func (t *Table) Held(holder string, now time.Time) bool {
	return now.Before(t.expires[holder])
}

// Lapsed removes the holders whose leases have ended, and returns their names
// sorted.
func (t *Table) Lapsed(now time.Time) []string {
	var out []string
	for h, end := range t.expires {
		if !now.Before(end) {
			out = append(out, h)
			delete(t.expires, h)
		}
	}
	sort.Strings(out)
	return out
}

// Len returns the number of holders.
func (t *Table) Len() int {
	return len(t.expires)
}
