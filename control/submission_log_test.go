package control

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus/hooks/test"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

// TestSubmissionsLogged guards against logs that do not tell which hosts had a document on
// their disks when it was acknowledged, and whether it was new.
func TestSubmissionsLogged(t *testing.T) {
	log, lines := test.NewNullLogger()
	self := settings.ControlHost{Name: "control-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	store, err := Open(t.Context(), settings.Control{
		Name: self.Name, Peers: self.Address, DataFolder: t.TempDir(), WatchHistory: 1000, Cluster: []settings.ControlHost{self},
	}, transport.NewClient(), log.WithField("Name", self.Name))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), openTimeout)
	done := make(chan error, 1)
	go func() { done <- store.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	for !store.Status().Leads && ctx.Err() == nil {
		time.Sleep(tickInterval)
	}
	g := NewGateway(store, transport.NewClient())
	for _, number := range []int{7, 7, 3} {
		d := fmt.Sprintf(`{"Number": %d, "Level": 2, "Pools": [{"Name": "pool"}], "Routes": [{"Name": "route", "Host": "desk.example", "PathPrefix": "/",
 "Kind": "Once", "Split": [{"Name": "pool", "Weight": 1}], "Timeout": "1s", "Target": "1s"}]}`, number)
		err := g.Submit(ctx, &controlv1.SubmitRequest{Environment: "production", Document: []byte(d)})
		if err != nil && !IsSuperseded(err) {
			t.Fatal(err)
		}
	}
	type line struct {
		Number          uint64
		Holders         []string
		New, Superseded bool
	}
	var got []line
	for _, e := range lines.AllEntries() {
		if e.Message == "document recorded" {
			got = append(got, line{e.Data["Number"].(uint64), e.Data["Holders"].([]string), e.Data["New"].(bool), e.Data["Superseded"].(bool)})
		}
	}
	holders := []string{self.Name}
	if diff := cmp.Diff([]line{{7, holders, true, false}, {7, holders, false, false}, {3, holders, false, true}}, got); diff != "" {
		t.Error(diff)
	}
}
