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
	cutOffLength = 5 * time.Second
)

// TestControlCutOff cuts one control host off while a document is accepted by
// the others: its watch ends, and it answers no list, announcement or history
// until it is in touch again. A frozen host that wakes does no better.
func TestControlCutOff(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.controlHosts(3)
	old := submitNumber(t, c, 1)
	lost := h.leader()
	only := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.procs[lost].address})
	watched := make(chan time.Duration, 1)
	for j := range h.procs {
		if j != lost {
			h.links[lost][j].cut(toServer, toClient)
			h.links[j][lost].cut(toServer, toClient)
		}
	}
	go watchUntilEnd(t, h.procs[lost].address, watched)
	next := submitNumber(t, c, 2)
	select {
	case d := <-watched:
		t.Logf("the watch ended after %s", d)
	case <-time.After(watchEndTarget):
		t.Errorf("the watch of a host that is cut off still runs after %s", watchEndTarget)
	}
	time.Sleep(cutOffLength)
	noAnswers(t, only)
	for _, l := range append(append([]*link(nil), h.links[lost]...), h.links[(lost+1)%3][lost], h.links[(lost+2)%3][lost]) {
		if l != nil {
			l.heal()
		}
	}
	eventually(t, 10*time.Second, "the healed host answers with the new document", func() bool {
		return readDocument(only).seen == next
	})
	frozen := h.leader()
	h.procs[frozen].freeze()
	last := submitNumber(t, c, 3)
	h.procs[frozen].thaw()
	woken := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.procs[frozen].address})
	for range 50 {
		if r := readDocument(woken); !r.unknown && r.seen != last {
			t.Fatalf("a woken host answers with %s, not %s", r.seen, last)
		}
	}
	if old == next || next == last {
		t.Error("the documents do not differ")
	}
}

// submitNumber submits a document to whichever host answers.
func submitNumber(t *testing.T, c *cluster, number uint64) accepted {
	t.Helper()
	b := variant(t, number, int(number))
	eventually(t, 15*time.Second, "document accepted", func() bool {
		return !submitted(c.client(), b, 0).unknown
	})
	return accepted{number: number, digest: digestOf(t, b)}
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
func noAnswers(t *testing.T, c *controls.Client) {
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
