package state

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// TestSnapshot applies random commands to two replicas, one of which is restored
// from its own snapshot from time to time. Both must give the same responses and
// end in the same state. The command times go back at random, as those of
// leaders with different clocks may.
func TestSnapshot(t *testing.T) {
	resolved, digest := exampleDocument(t)
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := New(5), New(5)
		for i := range 40 {
			c := drawCommand(t, resolved, digest)
			c.Time = timestamppb.New(time.Unix(rapid.Int64Range(1000, 1000+400_000).Draw(t, "time"), 0))
			a, errA := direct.Apply(proto.CloneOf(c))
			b, errB := restored.Apply(proto.CloneOf(c))
			if d := cmp.Diff(a, b, protocmp.Transform()); d != "" || fmt.Sprint(errA) != fmt.Sprint(errB) {
				t.Fatalf("command %d: %v and %v: %s", i, errA, errB, d)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restored = restoreSnapshot(t, restored)
			}
		}
		if d := cmp.Diff(direct.Snapshot(), restored.Snapshot(), protocmp.Transform()); d != "" {
			t.Fatal(d)
		}
	})
}

// restoreSnapshot returns a new state that is restored from the encoded snapshot
// of another one.
func restoreSnapshot(t *rapid.T, from *State) *State {
	b, err := proto.Marshal(from.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	s := &controlv1.Snapshot{}
	if err := proto.Unmarshal(b, s); err != nil {
		t.Fatal(err)
	}
	out := New(5)
	if err := out.Restore(s); err != nil {
		t.Fatal(err)
	}
	return out
}

func exampleDocument(t *testing.T) ([]byte, string) {
	b, err := os.ReadFile("../examples/archive.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	resolved, digest, err := d.Resolved()
	if err != nil {
		t.Fatal(err)
	}
	return resolved, digest
}

func drawCommand(t *rapid.T, resolved []byte, digest string) *controlv1.Command {
	env := rapid.SampledFrom([]string{"trial", "production"}).Draw(t, "environment")
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.Uint64Range(0, 6).Draw(t, "number")
	o := &controlv1.Operation{Environment: env, Caller: "caller", Key: name, BodyDigest: fmt.Sprint(number % 2), Agent: name, AgentIncarnation: number}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		d := &controlv1.Document{Environment: env, Number: number, Digest: digest, Resolved: resolved, Submitter: name}
		return &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}}
	case 1:
		r := &controlv1.ApproveRequest{Environment: env, Number: number, Digest: digest, Approver: name}
		return &controlv1.Command{Kind: &controlv1.Command_Approve{Approve: r}}
	case 2:
		r := &controlv1.PromoteRequest{FromEnvironment: "trial", ToEnvironment: env, Number: number, Digest: digest}
		return &controlv1.Command{Kind: &controlv1.Command_Promote{Promote: r}}
	case 3:
		m := &controlv1.Member{Environment: env, Name: name, Incarnation: number, DocumentLevel: document.Level}
		return &controlv1.Command{Kind: &controlv1.Command_Announce{Announce: m}}
	case 4:
		r := &controlv1.LeaveRequest{Environment: env, Name: name, Incarnation: number, Gone: number%2 == 0}
		return &controlv1.Command{Kind: &controlv1.Command_Leave{Leave: r}}
	case 5:
		return &controlv1.Command{Kind: &controlv1.Command_Begin{Begin: o}}
	case 6:
		o.State = controlv1.OperationState_OPERATION_STATE_DONE
		return &controlv1.Command{Kind: &controlv1.Command_Finish{Finish: o}}
	}
	r := &controlv1.AddStrikesRequest{Environment: env, ContentDigests: []string{name}}
	return &controlv1.Command{Kind: &controlv1.Command_AddStrikes{AddStrikes: r}}
}
