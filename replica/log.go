package replica

import replicav1 "ebonyreel/proto/replica/v1"

// entryLog is a snapshot and the entries after it. Some entries that the
// snapshot covers may still be there, for slow followers.
type entryLog struct {
	// snapshot may be nil, which stands for index zero.
	snapshot *replicav1.Snapshot
	// entries are contiguous and begin at offset+1.
	entries []*replicav1.Entry
	// offset and offsetTerm are those of the entry before entries.
	offset     uint64
	offsetTerm uint64
}

func newLog(s Stored) entryLog {
	l := entryLog{snapshot: s.Snapshot, offset: s.Snapshot.GetIndex(), offsetTerm: s.Snapshot.GetTerm()}
	for _, e := range s.Entries {
		if e.GetIndex() > l.offset {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *entryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, and false if the log does not reach it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

// from returns the entries from an index on.
func (l *entryLog) from(index uint64) []*replicav1.Entry {
	return l.between(index-1, l.last())
}

// between returns the entries after one index up to another.
func (l *entryLog) between(after, to uint64) []*replicav1.Entry {
	after = max(after, l.offset)
	if to <= after {
		return nil
	}
	return l.entries[after-l.offset : to-l.offset : to-l.offset]
}

func (l *entryLog) append(e *replicav1.Entry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries from an index on.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
}

// conflict returns the index from which a follower's log is to be tried again
// when the entry at an index is not of the expected term.
func (l *entryLog) conflict(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	wrong, _ := l.term(index)
	for t, ok := l.term(index); ok && t == wrong && index > l.offset; t, ok = l.term(index) {
		index--
	}
	return index
}

// restore puts a snapshot in the place of the whole log.
func (l *entryLog) restore(s *replicav1.Snapshot) {
	*l = entryLog{snapshot: s, offset: s.GetIndex(), offsetTerm: s.GetTerm()}
}

func (l *entryLog) compact(s *replicav1.Snapshot, keep uint64) {
	l.snapshot = s
	if s.GetIndex() <= l.offset+keep {
		return
	}
	offset := s.GetIndex() - keep
	t, _ := l.term(offset)
	l.entries = append([]*replicav1.Entry(nil), l.entries[offset-l.offset:]...)
	l.offset, l.offsetTerm = offset, t
}

// configuration returns the newest configuration up to an index, and its
// index.
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
