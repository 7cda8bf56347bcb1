package replica

import (
	"testing"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestCompactWithOlderSnapshot guards against a host that goes back to its own snapshot,
// which was being written while a newer one arrived from the leader.
func TestCompactWithOlderSnapshot(t *testing.T) {
	n := New(Options{ID: "a", Random: func(time.Duration) time.Duration { return 0 }}, Stored{
		Snapshot: &replicav1.Snapshot{Index: 9, Term: 2},
		Entries:  []*replicav1.Entry{{Index: 10, Term: 2}},
	}, time.Unix(1000, 0))
	n.Compact(&replicav1.Snapshot{Index: 5, Term: 1}, Retention{})
	if got := n.log.snapshot.GetIndex(); got != 9 {
		t.Errorf("the log has the snapshot of index %d, want that of index 9", got)
	}
	if got := len(n.Retained()); got != 1 {
		t.Errorf("the log has %d entries, want 1", got)
	}
}
