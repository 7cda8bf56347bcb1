package replica

import (
	"errors"
	"testing"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestCommitRules makes a leader whose log has an entry of an earlier term
// before its own first one. It checks what the answers of its followers commit
// (figure 8 of the Raft paper), and when the leader accepts a membership change.
func TestCommitRules(t *testing.T) {
	servers := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d", Learner: true}, {Id: "e", Learner: true}}}
	now := time.Unix(1000, 0)
	n := New(Options{
		ID: "a", ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, AppendBytes: 64,
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
	now = now.Add(testElectionTimeout)
	n.Tick(now)
	step(&replicav1.Message{Kind: replicav1.Message_KIND_PRE_VOTE_ANSWER, From: "b"})
	step(&replicav1.Message{Kind: replicav1.Message_KIND_VOTE_ANSWER, From: "b"})
	if s := n.Status(now); s.Role != Leader || s.Commit != 1 {
		t.Fatalf("got %s with commit %d, want a leader with commit 1", s.Role, s.Commit)
	}
	for _, c := range []struct {
		from   string
		match  uint64
		commit uint64
	}{
		{"d", 3, 1}, // learners do not count for the quorum
		{"e", 3, 1},
		{"b", 2, 1}, // an entry of an earlier term on a quorum is not committed
		{"c", 2, 1},
		{"b", 3, 3}, // an entry of the leader's own term commits those before it
	} {
		var busy *BusyError
		if err := n.Change(now, Remove, &replicav1.Server{Id: "c"}); !errors.As(err, &busy) {
			t.Errorf("before %s acknowledged entry %d: got error %v for a membership change, want a *BusyError", c.from, c.match, err)
		}
		step(&replicav1.Message{Kind: replicav1.Message_KIND_APPEND_ANSWER, From: c.from, Index: c.match})
		if s := n.Status(now); s.Commit != c.commit {
			t.Errorf("after %s acknowledged entry %d: got commit %d, want %d", c.from, c.match, s.Commit, c.commit)
		}
	}
	if err := n.Change(now, Remove, &replicav1.Server{Id: "c"}); err != nil {
		t.Errorf("membership change after an entry of the leader's own term was committed: %v", err)
	}
}

// TestRejectionsOfOneLoss guards against entries that are sent again for each append that
// was on its way behind a loss and is rejected, however late.
func TestRejectionsOfOneLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(Options{
		ID: "a", ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, AppendBytes: 64,
		Random: func(time.Duration) time.Duration { return 0 },
	}, Stored{
		State:    &replicav1.HardState{Term: 3},
		Snapshot: &replicav1.Snapshot{Index: 1, Term: 1, Configuration: &replicav1.Configuration{Servers: []*replicav1.Server{{Id: "a"}, {Id: "b", Learner: true}}}},
	}, now)
	// settle returns the number of appends with entries.
	settle := func() int {
		count := 0
		for r := n.Ready(); !r.Empty(); r = n.Ready() {
			n.Saved()
			for _, m := range r.Replication {
				count += min(len(m.GetEntries()), 1)
			}
		}
		return count
	}
	now = now.Add(testElectionTimeout)
	n.Tick(now)
	if got := settle(); got != 1 {
		t.Fatalf("a new leader sent %d appends with entries, want 1", got)
	}
	reject := func(attempt uint64, want int) {
		t.Helper()
		now = now.Add(testHeartbeatInterval)
		n.Step(now, &replicav1.Message{
			Kind: replicav1.Message_KIND_APPEND_ANSWER, From: "b", To: "a", Term: 4, Index: 1, Rejected: true, Attempt: attempt,
		})
		if got := settle(); got != want {
			t.Errorf("%d appends with entries were sent after a rejection of attempt %d, want %d", got, attempt, want)
		}
	}
	reject(1, 1)
	reject(1, 0)
	reject(2, 1)
}
