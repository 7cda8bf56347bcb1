package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// TestOperations runs scripts of begin and finish commands. A record is printed
// as its number, state, agent and dispatch.
func TestOperations(t *testing.T) {
	datadriven.Walk(t, "testdata/operations", func(t *testing.T, path string) {
		s := New(10)
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runOperationCommand(t, s, &now, d)
		})
	})
}

func runOperationCommand(t *testing.T, s *State, now *time.Time, d *datadriven.TestData) string {
	o := &controlv1.Operation{Environment: "trial", Caller: "c", Key: "k", BodyDigest: "d", Agent: "a", AgentIncarnation: 1}
	var outcome string
	var seconds, maxKept int
	d.MaybeScanArgs(t, "environment", &o.Environment)
	d.MaybeScanArgs(t, "key", &o.Key)
	d.MaybeScanArgs(t, "body", &o.BodyDigest)
	d.MaybeScanArgs(t, "dispatch", &o.Dispatch)
	d.MaybeScanArgs(t, "number", &o.Number)
	d.MaybeScanArgs(t, "outcome", &outcome)
	d.MaybeScanArgs(t, "seconds", &seconds)
	d.MaybeScanArgs(t, "kept", &maxKept)
	switch d.Cmd {
	case "retain":
		s.retentions[o.Environment] = document.Retention{
			Operations: document.Duration(time.Duration(seconds) * time.Second), OperationsKept: maxKept,
		}
		return ""
	case "wait":
		*now = now.Add(time.Duration(seconds) * time.Second)
		return ""
	case "begin":
		res, err := s.Apply(&controlv1.Command{Time: timestamppb.New(*now), Kind: &controlv1.Command_Begin{Begin: o}})
		if err != nil {
			return err.Error() + "\n"
		}
		b := res.(*controlv1.BeginOperationResponse)
		return fmt.Sprintf("created=%t %s\n", b.GetCreated(), formatOperation(b.GetOperation()))
	}
	o.State = controlv1.OperationState(controlv1.OperationState_value["OPERATION_STATE_"+outcome])
	res, err := s.Apply(&controlv1.Command{Time: timestamppb.New(*now), Kind: &controlv1.Command_Finish{Finish: o}})
	if err != nil {
		return err.Error() + "\n"
	}
	return formatOperation(res.(*controlv1.FinishOperationResponse).GetOperation()) + "\n"
}

func formatOperation(o *controlv1.Operation) string {
	return fmt.Sprintf("%d %s agent=%s dispatch=%s", o.GetNumber(), o.GetState().String()[len("OPERATION_STATE_"):], o.GetAgent(), o.GetDispatch())
}
