package proof

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

const (
	// watchEndTarget is the time after which a control host that is cut off
	// may serve no watch.
	watchEndTarget = 2 * time.Second
	// cutOffLength is the silence before a host is asked.
	cutOffDuration = 5 * time.Second
)

// TestControlCutOff cuts one control host off while a document is accepted by
// the others: its watch ends, and it answers no list, announcement or history
// until it is in touch again. A frozen host that wakes does no better.
func TestControlCutOff(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startLinkedHosts(3)
	first := submitVariant(t, c, 1)
	isolated := h.leader()
	isolatedClient := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.processes[isolated].address})
	watched := make(chan time.Duration, 1)
	for j := range h.processes {
		if j != isolated {
			h.links[isolated][j].cut(toServer, toClient)
			h.links[j][isolated].cut(toServer, toClient)
		}
	}
	go watchUntilEnd(t, h.processes[isolated].address, watched)
	second := submitVariant(t, c, 2)
	select {
	case d := <-watched:
		t.Logf("the watch ended after %s", d)
	case <-time.After(watchEndTarget):
		t.Errorf("the watch of a host that is cut off still runs after %s", watchEndTarget)
	}
	time.Sleep(cutOffDuration)
	expectNoAnswers(t, isolatedClient)
	for _, l := range append(append([]*link(nil), h.links[isolated]...), h.links[(isolated+1)%3][isolated], h.links[(isolated+2)%3][isolated]) {
		if l != nil {
			l.heal()
		}
	}
	eventually(t, 10*time.Second, "the healed host answers with the new document", func() bool {
		return readDocument(isolatedClient).seen == second
	})
	frozen := h.leader()
	h.processes[frozen].freeze()
	third := submitVariant(t, c, 3)
	h.processes[frozen].thaw()
	woken := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.processes[frozen].address})
	for range 50 {
		if r := readDocument(woken); !r.unknown && r.seen != third {
			t.Fatalf("a woken host answers with %s, not %s", r.seen, third)
		}
	}
	if first == second || second == third {
		t.Error("the documents do not differ")
	}
}

// submitNumber submits a document to whichever host answers.
func submitVariant(t *testing.T, c *cluster, number uint64) documentID {
	t.Helper()
	b := documentVariant(t, number, int(number))
	eventually(t, 15*time.Second, "document accepted", func() bool {
		return !submitDocument(c.controlClient(), b, 0).unknown
	})
	return documentID{number: number, digest: digestOf(t, b)}
}

// watchUntilEnd watches one host and tells when the stream ended.
func watchUntilEnd(t *testing.T, a netip.AddrPort, ended chan<- time.Duration) {
	start := time.Now()
	p := controlv1connect.NewControlServiceClient(transport.NewClient(), transport.URL(a))
	s, err := p.Watch(t.Context(), connect.NewRequest(&controlv1.WatchRequest{Prefix: "archive-trial/", FromRevision: 1}))
	if err != nil {
		t.Error(err)
		return
	}
	for s.Receive() {
		for _, e := range s.Msg().GetEvents() {
			if e.GetItem().GetDocument().GetNumber() > 1 {
				t.Error("a host that is cut off knows what was accepted meanwhile")
			}
		}
	}
	ended <- time.Since(start)
}

// noAnswers expects that a host answers nothing that could be old.
func expectNoAnswers(t *testing.T, c *controls.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if res, err := c.List(ctx, &controlv1.ListRequest{Prefix: "archive-trial/"}); err == nil {
		t.Errorf("a host that is cut off answers a list: %v", res)
	}
	m := &controlv1.Member{Environment: "archive-trial", Name: "late", DocumentLevel: 1}
	if res, err := c.Announce(ctx, &controlv1.AnnounceRequest{Member: m}); err == nil {
		t.Errorf("a host that is cut off grants a lease: %v", res)
	}
	if res, err := c.History(ctx, "archive-trial"); err == nil {
		t.Errorf("a host that is cut off answers a history: %v", res)
	}
}
