package control

import (
	"testing"
	"time"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
)

// TestStalledLeaderStays guards against a leader that steps down after its loop has stalled,
// for its disk or the processor, although a quorum has answered meanwhile.
func TestStalledLeaderStays(t *testing.T) {
	c := &scriptCluster{t: t, now: time.Now().Add(-5 * time.Second), hosts: map[string]*scriptHost{}}
	for _, line := range [][]string{{"boot", "a"}, {"elapse", "1s"}, {"start", "b", "c"}, {"elapse", "3s"}} {
		c.run(line)
	}
	l := c.hosts["a"].loop
	if s := l.lastStatus; s.Role != replica.Leader || l.voterCount() != 3 {
		t.Fatalf("got a %s with %d voters, want the leader with 3", s.Role, l.voterCount())
	}
	l.store.inputs = newInputQueue()
	for _, name := range []string{"b", "c"} {
		m := &replicav1.Message{
			Kind: replicav1.Message_KIND_APPEND_ANSWER, From: c.hosts[name].loop.store.id, To: l.store.id, Term: l.lastStatus.Term,
		}
		if err := l.store.inputs.add(&delivery{request: &replicav1.DeliverRequest{Messages: []*replicav1.Message{m}}}); err != nil {
			t.Fatal(err)
		}
	}
	l.advance()
	if s := l.node.Status(time.Now()); s.Role != replica.Leader {
		t.Errorf("the host is a %s after a stall of 1 s, want the leader", s.Role)
	}
}
