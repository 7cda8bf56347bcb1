// Package lease keeps the expiry times of the leases of named holders. It has no
// clock: the time is passed in with each call and must not go back.
// Control hosts keep the leases of members and endpoints with it, and agents those
// of exports and pins.
package lease

import (
	"sort"
	"time"
)

// Table holds one lease per holder. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	// expires maps each holder to the time at which its lease expires.
	expires map[string]time.Time
}

// Renew makes a holder's lease last for at least length from now. It never
// shortens a lease.
func (t *Table) Renew(holder string, now time.Time, length time.Duration) {
	if t.expires == nil {
		t.expires = map[string]time.Time{}
	}
	end := now.Add(length)
	if end.After(t.expires[holder]) {
		t.expires[holder] = end
	}
}

// Release ends a holder's lease at once.
func (t *Table) Release(holder string) {
	delete(t.expires, holder)
}

// Held reports whether a holder has a lease that has not expired.
func (t *Table) Held(holder string, now time.Time) bool {
	return now.Before(t.expires[holder])
}

// RemoveExpired removes the holders whose leases have expired, and returns
// their names, sorted.
func (t *Table) RemoveExpired(now time.Time) []string {
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

// Len returns the number of holders, including those with an expired lease that
// RemoveExpired has not removed yet.
func (t *Table) Len() int {
	return len(t.expires)
}
