package reservation

import "time"

// next returns the waiting request to grant next, or nil. Once an isolated
// request is next, no other is granted until the engine is empty and the
// isolated one has its grant.
func (t *Table) next(now time.Time) *request {
	if t.drainingFor != nil && t.waiting[t.drainingFor.ask.Attempt.Request] == t.drainingFor {
		return t.drainingFor
	}
	t.drainingFor = nil
	r := t.queue.next(now)
	if r != nil && r.ask.Isolated {
		t.drainingFor = r
	}
	return r
}

// respectsIsolation reports whether granting a request keeps every isolated
// request alone on the engine.
func (t *Table) respectsIsolation(r *request) bool {
	if r.ask.Isolated {
		return len(t.granted) == 0
	}
	for _, h := range t.granted {
		if h.ask.Isolated {
			return false
		}
	}
	return true
}
