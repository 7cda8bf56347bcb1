package relay

import "time"

const (
	// minRequestLimit is the least rate that all entries together send to an endpoint, in
	// requests a second, so that they hear of the end of its limit.
	minRequestLimit = 0.1
	// maxLimitCredit is how long a request that a limit allowed, and that was not sent,
	// may be sent later. Entries that were idle must not all send at once.
	maxLimitCredit = time.Second
	// rareTurn is the time between two turns of an entry above which the entries leave a
	// part of the limit unused, and rareShare the part that they use: their turns are
	// independent, and many may meet.
	rareTurn  = 4 * time.Second
	rareShare = 0.6
	// limitMemory is how long a limit of an endpoint that is not heard holds.
	limitMemory = 10 * time.Minute
)

// requestLimit bounds the requests of this entry to an endpoint that names a limit on
// those of all entries. Each entry takes an equal share, in turns of its own that begin
// at a random time, so that it needs no word of the others. The zero value allows all.
type requestLimit struct {
	// named is true while the endpoint names a limit, rate is the limit, in requests a
	// second, and heard is when it was last named.
	named bool
	rate  float64
	heard time.Time
	// next is the next turn of this entry.
	next time.Time
}

// interval returns the time between two turns of one of the entries.
func (l *requestLimit) interval(entries int) time.Duration {
	seconds := float64(max(entries, 1)) / max(l.rate, minRequestLimit)
	if seconds > rareTurn.Seconds() {
		seconds /= rareShare
	}
	return time.Duration(seconds * float64(time.Second))
}

// hear takes the limit that the endpoint named in an answer. random is drawn from 0 to 1.
// It reports whether the limit is new.
func (l *requestLimit) hear(now time.Time, rate float64, entries int, random float64) bool {
	changed := !l.named || l.rate != rate
	if changed {
		old := *l
		l.named, l.rate = true, rate
		first := now.Add(time.Duration(random * float64(l.interval(entries))))
		if !old.named || rate > old.rate && first.Before(l.next) {
			l.next = first
		}
	}
	l.heard = now
	return changed
}

// allows reports whether this entry may send a request now.
func (l *requestLimit) allows(now time.Time, entries int) bool {
	if !l.named {
		return true
	}
	interval := l.interval(entries)
	if unused := now.Sub(l.next); unused > maxLimitCredit {
		if interval <= maxLimitCredit {
			l.next = now.Add(-maxLimitCredit)
		} else if l.next = l.next.Add(unused / interval * interval); now.Sub(l.next) > maxLimitCredit {
			l.next = l.next.Add(interval)
		}
	}
	return !now.Before(l.next)
}

// take counts a request of this entry.
func (l *requestLimit) take(entries int) {
	if l.named {
		l.next = l.next.Add(l.interval(entries))
	}
}
