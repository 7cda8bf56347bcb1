package state

import (
	"sort"
	"strings"

	controlv1 "ebonyreel/proto/control/v1"
)

// history is the buffer of recent events that all watchers share. Of the events of
// one key it keeps the newest, as a watcher always gets all events up to the newest
// revision.
type history struct {
	// limit is the maximum number of events kept, replaced ones included.
	limit int
	// events is in ascending order of revision. One that a newer event of its key
	// has replaced has no key and no item.
	events []*controlv1.Event
	// newest maps a key to the revision of its event in events.
	newest map[string]uint64
	// compacted is the newest revision whose event is no longer kept.
	compacted uint64
}

func (h *history) add(e *controlv1.Event) {
	if h.newest == nil {
		h.newest = map[string]uint64{}
	}
	if revision, ok := h.newest[e.GetKey()]; ok {
		h.events[h.search(revision)] = &controlv1.Event{Revision: revision}
	}
	h.newest[e.GetKey()] = e.GetRevision()
	h.events = append(h.events, e)
	over := len(h.events) - h.limit
	if over <= 0 {
		return
	}
	for _, o := range h.events[:over] {
		h.compacted = o.GetRevision()
		if h.newest[o.GetKey()] == o.GetRevision() {
			delete(h.newest, o.GetKey())
		}
	}
	h.events = append(h.events[:0:0], h.events[over:]...)
}

// search returns the position of the first event from a revision on.
func (h *history) search(from uint64) int {
	return sort.Search(len(h.events), func(i int) bool { return h.events[i].GetRevision() >= from })
}

// Range selects the keys that start with Prefix but not with ExcludedPrefix. An
// empty ExcludedPrefix excludes nothing.
type Range struct {
	Prefix         string
	ExcludedPrefix string
}

func (r Range) contains(key string) bool {
	excluded := r.ExcludedPrefix != "" && strings.HasPrefix(key, r.ExcludedPrefix)
	return !excluded && strings.HasPrefix(key, r.Prefix)
}

// since returns the events of a range from a revision on. The error is a
// *CompactedError.
func (h *history) since(r Range, from uint64) ([]*controlv1.Event, error) {
	if from <= h.compacted {
		return nil, &CompactedError{Compacted: h.compacted}
	}
	var out []*controlv1.Event
	for _, e := range h.events[h.search(from):] {
		if e.GetKey() != "" && r.contains(e.GetKey()) {
			out = append(out, e)
		}
	}
	return out, nil
}

// List returns the items of a range, sorted by key, and the revision at which
// they are consistent.
func (s *State) List(r Range) ([]*controlv1.Item, uint64) {
	var out []*controlv1.Item
	for k, it := range s.items {
		if r.contains(k) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetKey() < out[j].GetKey() })
	return out, s.revision
}

// EventsSince returns the events of a range from a revision on, and the
// revision up to which they are complete. The error is a *CompactedError if
// some of the events are no longer kept. A list at revision R followed by the
// events from R+1 is the list-then-watch protocol of the Kubernetes API
// ("Efficient detection of changes").
func (s *State) EventsSince(r Range, from uint64) ([]*controlv1.Event, uint64, error) {
	out, err := s.history.since(r, from)
	return out, s.revision, err
}
