package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/types/known/timestamppb"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestPartStrikes runs scripts of changes to the strikes of parts of prompts. They are
// printed as the count, the failed trials, who has the trial, and each crash with the
// other parts.
func TestPartStrikes(t *testing.T) {
	datadriven.Walk(t, "testdata/parts", func(t *testing.T, path string) {
		s, now := New(10), time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "wait" {
				now = now.Add(mustDuration(t, d))
				return ""
			}
			r := &controlv1.AddStrikesRequest{
				Environment: "trial", Change: controlv1.StrikeChange(controlv1.StrikeChange_value["STRIKE_CHANGE_"+strings.ToUpper(d.Cmd)]),
			}
			d.MaybeScanArgs(t, "owner", &r.Owner)
			d.MaybeScanArgs(t, "endpoint", &r.Endpoint)
			r.Unverified = d.HasArg("unverified")
			for _, a := range d.CmdArgs {
				if a.Key == "parts" {
					r.ContentDigests = a.Vals
				}
			}
			res, err := s.Apply(&controlv1.Command{Time: timestamppb.New(now), Kind: &controlv1.Command_AddStrikes{AddStrikes: r}})
			if err != nil {
				t.Fatal(err)
			}
			out := "none\n"
			for i, p := range res.(*controlv1.AddStrikesResponse).GetStrikes() {
				if i == 0 {
					out = ""
				}
				out += formatPartStrikes(p)
			}
			return out
		})
	})
}

func mustDuration(t *testing.T, d *datadriven.TestData) time.Duration {
	t.Helper()
	out, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func formatPartStrikes(s *controlv1.Strikes) string {
	out := fmt.Sprintf("%s: %d crashes, %d trials failed", s.GetContentDigest(), s.GetCount(), s.GetFailedTrials())
	if s.GetSound() {
		out += ", sound"
	}
	if s.GetIsolatedRun() != "" {
		out += ", trial of " + s.GetIsolatedRun()
	}
	for _, c := range s.GetCrashes() {
		out += fmt.Sprintf(", %s with %v", c.GetEndpoint(), c.GetOtherParts())
		if c.GetUnverified() {
			out += " unverified"
		}
	}
	return out + "\n"
}
