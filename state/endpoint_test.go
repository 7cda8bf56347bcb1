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

// TestEndpoints runs scripts of announcements, removals, lapses and orders, and
// prints all endpoints after each command.
func TestEndpoints(t *testing.T) {
	datadriven.Walk(t, "testdata/endpoints", func(t *testing.T, path string) {
		s := New(10)
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runEndpointCommand(t, s, &now, d)
		})
	})
}

func runEndpointCommand(t *testing.T, s *State, now *time.Time, d *datadriven.TestData) string {
	e := &controlv1.Endpoint{Environment: "trial", Name: "e", Address: "10.0.0.1:80", Serves: "desk", Role: controlv1.Role_ROLE_SERVICE}
	state, seconds := "READY", 0
	d.MaybeScanArgs(t, "name", &e.Name)
	d.MaybeScanArgs(t, "address", &e.Address)
	d.MaybeScanArgs(t, "serves", &e.Serves)
	d.MaybeScanArgs(t, "version", &e.Version)
	d.MaybeScanArgs(t, "lifetime", &e.Lifetime)
	d.MaybeScanArgs(t, "state", &state)
	d.MaybeScanArgs(t, "seconds", &seconds)
	e.State = controlv1.EndpointState(controlv1.EndpointState_value["ENDPOINT_STATE_"+state])
	c := &controlv1.Command{}
	switch d.Cmd {
	case "announce":
		c.Kind = &controlv1.Command_AnnounceEndpoint{AnnounceEndpoint: e}
	case "remove":
		c.Kind = &controlv1.Command_RemoveEndpoint{RemoveEndpoint: &controlv1.RemoveEndpointRequest{Environment: "trial", Name: e.Name}}
	case "lapse":
		c.Kind = &controlv1.Command_LapseEndpoint{LapseEndpoint: &controlv1.LapseEndpointRequest{Environment: "trial", Name: e.Name, Lifetime: e.Lifetime}}
	case "order":
		c.Kind = &controlv1.Command_OrderEndpoint{OrderEndpoint: &controlv1.OrderEndpointRequest{Environment: "trial", Name: e.Name, Lifetime: e.Lifetime, Role: controlv1.Role_ROLE_DECODE}}
	case "wait":
		*now = now.Add(time.Duration(seconds) * time.Second)
		return ""
	}
	c.Time = timestamppb.New(*now)
	revision := s.Revision()
	var out strings.Builder
	if _, err := s.Apply(c); err != nil {
		fmt.Fprintln(&out, err)
	}
	if s.Revision() == revision {
		out.WriteString("nothing changed\n")
	}
	items, _ := s.List(Range{Prefix: EndpointPrefix("trial")})
	for _, it := range items {
		o := it.GetEndpoint()
		version := ""
		if o.GetVersion() != "" {
			version = " " + o.GetVersion()
		}
		fmt.Fprintf(&out, "%s lifetime=%d %s %s %s%s%s\n", o.GetName(), o.GetLifetime(), o.GetAddress(), o.GetServes(), strings.TrimPrefix(o.GetState().String(), "ENDPOINT_STATE_"), version, formatOrder(o))
	}
	return out.String()
}

func formatOrder(e *controlv1.Endpoint) string {
	if e.GetOrder() == 0 {
		return ""
	}
	return fmt.Sprintf(" order=%d %s", e.GetOrder(), strings.TrimPrefix(e.GetWantedRole().String(), "ROLE_"))
}
