package replica

import (
	"errors"
	"testing"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestCommitRules makes a leader whose log ends with an entry of an earlier
// term, and looks at what its followers' answers commit (figure 8 of the Raft
// paper), and at when it may change the servers.
func TestCommitRules(t *testing.T) {
	servers := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d", Learner: true}, {Id: "e", Learner: true}}}
	now := time.Unix(1000, 0)
	n := New(Options{
		ID: "a", ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, AppendBytes: 64,
		Random: func(time.Duration) time.Duration { return 0 },
	}, Stored{
		State:    &replicav1.HardState{Term: 3},
		Snapshot: &replicav1.Snapshot{Index: 1, Term: 1, Configuration: servers},
		Entries:  []*replicav1.Entry{{Index: 2, Term: 2, Kind: &replicav1.Entry_Command{Command: []byte("old")}}},
	}, now)
	step := func(m *replicav1.Message) {
		m.To, m.Term = "a", 4
		n.Step(now, m)
		for r := n.Ready(); !r.Empty(); r = n.Ready() {
			n.Saved()
		}
	}
	now = now.Add(testElection)
	n.Tick(now)
	step(&replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, From: "b"})
	step(&replicav1.Message{Kind: replicav1.Message_KIND_VOTE_ANSWER, From: "b"})
	if s := n.Status(now); s.Role != Leader || s.Commit != 1 {
		t.Fatalf("found %s with commit %d, expected a leader with commit 1", s.Role, s.Commit)
	}
	for _, c := range []struct {
		from   string
		match  uint64
		commit uint64
	}{
		{"d", 3, 1}, // learners do not count
		{"e", 3, 1},
		{"b", 2, 1}, // an earlier term's entry on a quorum is not committed
		{"c", 2, 1},
		{"b", 3, 3}, // but by one of the own term after it
	} {
		var busy *BusyError
		if err := n.Change(now, Remove, &replicav1.Server{Id: "c"}); !errors.As(err, &busy) {
			t.Errorf("before %s has %d: a change is not refused: %v", c.from, c.match, err)
		}
		step(&replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, From: c.from, Index: c.match})
		if s := n.Status(now); s.Commit != c.commit {
			t.Errorf("after %s has %d: found commit %d, expected %d", c.from, c.match, s.Commit, c.commit)
		}
	}
	if err := n.Change(now, Remove, &replicav1.Server{Id: "c"}); err != nil {
		t.Errorf("a change after an entry of the own term: %v", err)
	}
}
