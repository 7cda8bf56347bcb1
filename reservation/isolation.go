package reservation

import "time"

// next returns the waiting request to grant next, or nil. Once an isolated
// request is next, no other is granted until the engine is empty and the
// isolated one has its grant.
func (t *Table) next(now time.Time) *requestState {
	if t.isolatedNext != nil && t.waiting[t.isolatedNext.request.Attempt.Request] == t.isolatedNext {
		return t.isolatedNext
	}
	t.isolatedNext = nil
	r := t.queue.next(now)
	if r != nil && r.request.Isolated {
		t.isolatedNext = r
	}
	return r
}

// respectsIsolation reports whether granting a request keeps every isolated
// request alone on the engine.
func (t *Table) respectsIsolation(r *requestState) bool {
	if r.request.Isolated {
		return len(t.granted) == 0
	}
	for _, h := range t.granted {
		if h.request.Isolated {
			return false
		}
	}
	return true
}
