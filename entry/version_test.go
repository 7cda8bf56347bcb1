package entry

import (
	"testing"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestAnswerKeepsVersion guards against an answer that goes on, after its endpoint failed,
// at an endpoint that has another version loaded.
func TestAnswerKeepsVersion(t *testing.T) {
	members := []*controlv1.Member{{Name: "decode-0", Version: "1"}, {Name: "decode-1", Version: "2"}, {Name: "decode-2", Version: "1"}}
	g := newTestGeneration(t)
	if n := len(g.sameVersion(members)); n != 3 {
		t.Errorf("%d of 3 members may begin an answer", n)
	}
	g.version, g.progress.Sent = "1", 7
	for _, m := range g.sameVersion(members) {
		if m.GetVersion() != "1" {
			t.Errorf("%s of version %s goes on with an answer of version 1", m.GetName(), m.GetVersion())
		}
	}
	if n := len(g.sameVersion(members)); n != 2 || len(members) != 3 {
		t.Errorf("%d members may go on, 2 of %d expected", n, len(members))
	}
	g.version = "3"
	if left := g.sameVersion(members); len(left) != 0 {
		t.Errorf("%d members of other versions may go on", len(left))
	}
}
