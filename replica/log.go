package replica

import (
	"sort"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

// entryLog is a snapshot and the entries after it. It may also hold some
// entries that the snapshot covers, for slow followers.
type entryLog struct {
	// snapshot may be nil, which stands for index zero.
	snapshot *replicav1.Snapshot
	// entries are contiguous and begin at offset+1.
	entries []*replicav1.Entry
	// offset is the index of the entry before the first of entries.
	offset uint64
	// offsetTerm is the term of the entry at offset.
	offsetTerm uint64
	// ends holds, for each of entries, the size of all entries that were appended up
	// to and including it, in bytes. start is the same for the entry at offset.
	ends  []int
	start int
}

func newLog(s Stored) entryLog {
	l := entryLog{snapshot: s.Snapshot, offset: s.Snapshot.GetIndex(), offsetTerm: s.Snapshot.GetTerm()}
	for _, e := range s.Entries {
		if e.GetIndex() > l.offset {
			l.append(e)
		}
	}
	return l
}

func (l *entryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at an index. It returns false if the log
// does not hold that index.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

// entriesFrom returns the entries from an index on.
func (l *entryLog) entriesFrom(index uint64) []*replicav1.Entry {
	return l.entriesBetween(index-1, l.lastIndex())
}

// entriesBetween returns the entries after one index, up to and including
// another.
func (l *entryLog) entriesBetween(after, to uint64) []*replicav1.Entry {
	after = max(after, l.offset)
	if to <= after {
		return nil
	}
	return l.entries[after-l.offset : to-l.offset : to-l.offset]
}

// size returns the size of the entries after one index, up to and including
// another, in bytes. Entries that the log does not hold are not counted.
func (l *entryLog) size(after, to uint64) int {
	after, to = max(after, l.offset), min(to, l.lastIndex())
	if to <= after {
		return 0
	}
	return l.end(to) - l.end(after)
}

// end returns the element of ends for an index, or start for offset.
func (l *entryLog) end(index uint64) int {
	if index == l.offset {
		return l.start
	}
	return l.ends[index-l.offset-1]
}

func (l *entryLog) append(e *replicav1.Entry) {
	end := l.end(l.lastIndex()) + proto.Size(e)
	l.entries = append(l.entries, e)
	l.ends = append(l.ends, end)
}

// truncate drops the entries from an index on.
func (l *entryLog) truncate(index uint64) {
	remaining := index - l.offset - 1
	l.entries = l.entries[:remaining:remaining]
	l.ends = l.ends[:remaining]
}

// retryIndex returns the index at which a leader should try to match this log
// again, after the entry at index was missing or of another term than expected.
// It skips all entries of that other term.
func (l *entryLog) retryIndex(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	wrongTerm, _ := l.term(index)
	for t, ok := l.term(index); ok && t == wrongTerm && index > l.offset; t, ok = l.term(index) {
		index--
	}
	return index
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s *replicav1.Snapshot) {
	*l = entryLog{snapshot: s, offset: s.GetIndex(), offsetTerm: s.GetTerm()}
}

// compact sets the snapshot and drops the entries that it covers, but for the
// last ones within the limits of r. It does nothing if the log has a newer snapshot.
func (l *entryLog) compact(s *replicav1.Snapshot, r Retention) {
	if s.GetIndex() < l.snapshot.GetIndex() {
		return
	}
	l.snapshot = s
	offset := l.retainedFrom(s.GetIndex(), r)
	if offset <= l.offset {
		return
	}
	t, _ := l.term(offset)
	start, dropped := l.end(offset), offset-l.offset
	l.entries = append([]*replicav1.Entry(nil), l.entries[dropped:]...)
	l.ends = append([]int(nil), l.ends[dropped:]...)
	l.offset, l.offsetTerm, l.start = offset, t, start
}

// retainedFrom returns the index after which the entries up to a snapshot's index
// are within the limits of r.
func (l *entryLog) retainedFrom(snapshot uint64, r Retention) uint64 {
	first := l.offset
	if snapshot > first+r.Entries {
		first = snapshot - r.Entries
	}
	if snapshot <= first {
		return first
	}
	beyond := sort.Search(int(snapshot-first), func(i int) bool { return l.size(first+uint64(i), snapshot) <= r.Bytes })
	return first + uint64(beyond)
}

// configuration returns the newest configuration up to an index, and the index
// of its entry or snapshot.
func (l *entryLog) configuration(upTo uint64) (*replicav1.Configuration, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.GetIndex() <= l.snapshot.GetIndex() {
			break
		}
		if c := e.GetConfiguration(); c != nil && e.GetIndex() <= upTo {
			return c, e.GetIndex()
		}
	}
	return l.snapshot.GetConfiguration(), l.snapshot.GetIndex()
}
