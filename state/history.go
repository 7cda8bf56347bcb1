package state

import (
	"sort"
	"strings"

	controlv1 "ebonyreel/proto/control/v1"
)

// history is the buffer of recent events that all watchers share.
type history struct {
	// limit is the maximum number of events kept.
	limit int
	// events is in ascending order of revision.
	events []*controlv1.Event
	// compacted is the newest revision whose event is no longer kept.
	compacted uint64
}

func (h *history) add(e *controlv1.Event) {
	h.events = append(h.events, e)
	if over := len(h.events) - h.limit; over > 0 {
		h.compacted = h.events[over-1].GetRevision()
		h.events = append(h.events[:0:0], h.events[over:]...)
	}
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
	start := sort.Search(len(h.events), func(i int) bool { return h.events[i].GetRevision() >= from })
	var out []*controlv1.Event
	for _, e := range h.events[start:] {
		if r.contains(e.GetKey()) {
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
