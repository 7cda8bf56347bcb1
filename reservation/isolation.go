package reservation

import "time"

// next returns the request that goes next. One that wants the engine for
// itself holds up the others until they have left.
func (t *Table) next(now time.Time) *request {
	if t.draining != nil && t.waiting[t.draining.ask.Attempt.Request] == t.draining {
		return t.draining
	}
	t.draining = nil
	r := t.queue.next(now)
	if r != nil && r.ask.Isolated {
		t.draining = r
	}
	return r
}

// isolates reports whether a grant leaves every isolated request alone.
func (t *Table) isolates(r *request) bool {
	if r.ask.Isolated {
		return len(t.holders) == 0
	}
	for _, h := range t.holders {
		if h.ask.Isolated {
			return false
		}
	}
	return true
}
