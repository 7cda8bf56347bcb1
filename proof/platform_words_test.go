package proof

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// wordDrainTime is how long after an entry passed on that an engine leaves a call that
	// it takes may still reach that engine.
	wordDrainTime = 2 * time.Second
	// wordPauseSlack is how long after a 503 with Retry-After calls may reach the engine,
	// and maxPausedCalls the number that may later, up to the end of the pause.
	wordPauseSlack = 500 * time.Millisecond
	maxPausedCalls = 2
)

// engineWord is what an engine said of itself in an answer to an entry: that it leaves or,
// if until is set, that it wants nothing before then.
type engineWord struct {
	engine string
	entry  int
	at     time.Time
	until  time.Time
}

// engineArrival is a call that reached an engine.
type engineArrival struct {
	engine string
	entry  int
	id     string
	at     time.Time
}

// callID returns an ID for a call of a stream that is sent to an entry.
func callID(stream string, try, entry int) string {
	return fmt.Sprintf("%s-%d@%d", stream, try, entry)
}

// entryOf returns the index of the entry that a call was sent to, if its ID says it.
func entryOf(id string) (int, bool) {
	_, index, ok := strings.Cut(id, "@")
	n, err := strconv.Atoi(index)
	return n, ok && err == nil
}

// turnsAway notes the arrival of a call, adds what the engine says of itself to the answer,
// and reports whether it turns the call away.
func (e *platformEngine) turnsAway(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	leaves, until, now := e.leaves, e.pausedUntil, time.Now()
	e.mu.Unlock()
	paused := now.Before(until) && r.Method != http.MethodDelete && r.URL.Path != "/order"
	id := r.Header.Get("X-Attempt-Id")
	if entry, ok := entryOf(id); ok {
		p := e.engines
		p.mu.Lock()
		p.arrivals = append(p.arrivals, engineArrival{engine: e.name, entry: entry, id: id, at: now})
		if leaves {
			p.words = append(p.words, engineWord{engine: e.name, entry: entry, at: now})
		}
		if paused {
			p.words = append(p.words, engineWord{engine: e.name, entry: entry, at: now, until: until})
		}
		p.mu.Unlock()
	}
	if leaves {
		w.Header().Set("Server-Leaving", "1")
	}
	if paused {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(until.Sub(now).Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return paused
}

// leave makes an engine say in its answers that it leaves, and ends it later.
func (e *platformEngine) leave(after time.Duration) {
	e.mu.Lock()
	e.leaves = true
	e.mu.Unlock()
	time.Sleep(after)
	e.retire()
}

// pause makes an engine turn calls away for some time.
func (e *platformEngine) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

// checkWords checks that entries heed what engines say of themselves. excused reports
// whether an entry was disturbed in a period.
func checkWords(t *testing.T, p *platformEngines, streams []*callersStream, excused func(entry int, from, to time.Time) bool) {
	t.Helper()
	sent := map[string]time.Time{}
	for _, s := range streams {
		for _, r := range s.tries {
			sent[r.id] = r.sent
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	late, leaving, pauses := map[string]bool{}, 0, 0
	for _, w := range p.words {
		paused := 0
		for _, a := range p.arrivals {
			if a.engine != w.engine || a.entry != w.entry || excused(a.entry, w.at, a.at) {
				continue
			}
			if at, ok := sent[a.id]; ok && w.until.IsZero() && at.Sub(w.at) > wordDrainTime {
				late[a.id] = true
			}
			if a.at.Sub(w.at) > wordPauseSlack && a.at.Before(w.until) {
				paused++
			}
		}
		if w.until.IsZero() {
			leaving++
			continue
		}
		pauses++
		if paused > maxPausedCalls {
			t.Errorf("entry %d sends %d calls to %s in the %s that it wants nothing", w.entry, paused, w.engine, w.until.Sub(w.at))
		}
	}
	t.Logf("%d answers of engines that leave, %d of engines that want a pause", leaving, pauses)
	if len(late) > 0 {
		t.Errorf("%d calls reach engines later than %s after these told the entry that they leave", len(late), wordDrainTime)
	}
}
