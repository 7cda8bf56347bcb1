package replica

import (
	"testing"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestHeartbeatCommitsMatchingEntries guards against a follower that commits, by a heartbeat
// of a new leader, an entry that only matched the log of the leader before.
func TestHeartbeatCommitsMatchingEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	conf := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	n := New(Options{
		ID: "a", ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, AppendBytes: 64,
		Random: func(time.Duration) time.Duration { return 0 },
	}, Stored{State: &replicav1.HardState{Term: 1}, Snapshot: &replicav1.Snapshot{Index: 1, Term: 1, Configuration: conf}}, now)
	n.Step(now, &replicav1.Message{
		Kind: replicav1.Message_KIND_APPEND, From: "b", To: "a", Term: 2, Index: 1, IndexTerm: 1, Commit: 1,
		Entries: []*replicav1.Entry{{Index: 2, Term: 2}},
	})
	n.Step(now, &replicav1.Message{Kind: replicav1.Message_KIND_APPEND, From: "c", To: "a", Term: 3, Index: 1, IndexTerm: 1, Commit: 2})
	if got := n.Status(now).Commit; got != 1 {
		t.Errorf("commit %d, want 1", got)
	}
}
