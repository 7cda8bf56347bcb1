package proof

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

// TestControlResume cuts a watching process off while the state changes. First
// there are fewer changes than the hosts keep for watches, so that it resumes the
// watch; then there are more, so that it must list again. Both times its view must
// match a fresh list.
func TestControlResume(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startHosts(3, false)
	submitVariant(t, c, 1)
	var links []*link
	var addresses []netip.AddrPort
	for i, a := range c.directControls {
		links = append(links, newLink(t, fmt.Sprintf("watch-%d", i), a))
		addresses = append(addresses, links[i].address)
	}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	v := controls.NewView(controls.NewClient(transport.NewClient(), addresses), "archive-trial", logrus.NewEntry(log))
	go v.Run(t.Context())
	eventually(t, inForceTarget, "document 1 in force", func() bool { return v.Document() != nil })
	h.leader()
	number := uint64(1)
	for _, changes := range []int{300, 1200} {
		for _, l := range links {
			l.cut(toServer, toClient)
		}
		for i := range changes {
			// The first changes are to items that do not change again, so a view
			// that misses them stays wrong.
			digest := fmt.Sprintf("%d-%d", changes, min(i, changes/8))
			r := &controlv1.AddStrikesRequest{Environment: "archive-trial", ContentDigests: []string{digest}}
			if _, err := c.controlClient().AddStrikes(context.Background(), r); err != nil {
				t.Fatal(err)
			}
		}
		number++
		submitVariant(t, c, number)
		for _, l := range links {
			l.heal()
		}
		eventually(t, 2*inForceTarget, fmt.Sprintf("the view has all %d changes", changes), func() bool { return viewMatchesState(t, c, v, number) })
	}
}

// viewMatchesState reports whether a view has the document number, the revision
// and the strikes of a fresh list.
func viewMatchesState(t *testing.T, c *cluster, v *controls.View, number uint64) bool {
	t.Helper()
	res, err := c.controlClient().List(context.Background(), &controlv1.ListRequest{Prefix: "archive-trial/"})
	if err != nil {
		t.Fatal(err)
	}
	for _, it := range res.GetItems() {
		if s := it.GetStrikes(); s != nil && v.Strikes(s.GetContentDigest()) != s.GetCount() {
			return false
		}
	}
	return v.Document().Number == number && v.Revision() == res.GetRevision()
}
