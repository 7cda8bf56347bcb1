package relay

import (
	"sync"
	"time"
)

// minEntryMemory is how long entries that are gone still count at least, as the endpoints
// may judge their requests as long.
const minEntryMemory = 10 * time.Second

// steadyFleet is a fleet whose number of entries falls only after a while: what entries
// share by their number must not be taken by the others as soon as some are gone, or are
// not known for a moment.
type steadyFleet struct {
	Fleet

	mu    sync.Mutex
	count entryCount
}

func newSteadyFleet(f Fleet, memory time.Duration) *steadyFleet {
	return &steadyFleet{Fleet: f, count: entryCount{memory: max(memory, minEntryMemory)}}
}

// Entries returns the largest number of entries that was known lately.
func (f *steadyFleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count.observe(time.Now(), f.Fleet.Entries())
}

// entryCount is the largest of the numbers of entries that were observed within a time.
type entryCount struct {
	memory time.Duration
	// observed holds what may still become the largest number, in the order of time. The
	// numbers fall.
	observed []observedEntries
}

type observedEntries struct {
	at      time.Time
	entries int
}

// observe adds a number and returns the largest one.
func (c *entryCount) observe(now time.Time, entries int) int {
	kept := c.observed
	for len(kept) > 0 && kept[len(kept)-1].entries <= entries {
		kept = kept[:len(kept)-1]
	}
	kept = append(kept, observedEntries{at: now, entries: entries})
	for now.Sub(kept[0].at) > c.memory {
		kept = kept[1:]
	}
	c.observed = kept
	return kept[0].entries
}
