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
	// watchEndTarget is the time within which a control host that is cut off
	// from the others must end its watches.
	watchEndTarget = 2 * time.Second
	// cutOffDuration is the wait before the isolated host is asked.
	cutOffDuration = 5 * time.Second
)

// TestControlCutOff cuts the leader off while the other control hosts accept a
// document. Its watch must end, and it must answer no list, announcement or
// history, as the answer could be stale. After a heal it must answer with the new
// document. A leader that was frozen while the others accepted a further document
// must not give a stale answer either.
func TestControlCutOff(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startLinkedHosts(3)
	first := submitVariant(t, c, 1)
	isolated := h.leader()
	isolatedClient := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.processes[isolated].address})
	watchEnded := make(chan time.Duration, 1)
	for j := range h.processes {
		if j != isolated {
			h.links[isolated][j].cut(toServer, toClient)
			h.links[j][isolated].cut(toServer, toClient)
		}
	}
	go watchUntilEnd(t, h.processes[isolated].address, watchEnded)
	second := submitVariant(t, c, 2)
	select {
	case d := <-watchEnded:
		t.Logf("the watch of the isolated host ended after %s", d)
	case <-time.After(watchEndTarget):
		t.Errorf("the watch of the isolated host still runs after %s", watchEndTarget)
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
	resumedClient := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.processes[frozen].address})
	for range 50 {
		if r := readDocument(resumedClient); !r.unknown && r.seen != third {
			t.Fatalf("a resumed host answered with document %s, expected %s", r.seen, third)
		}
	}
	if first == second || second == third {
		t.Error("the submitted documents do not differ")
	}
}

// submitVariant submits a document with the given number until a host has
// accepted or refused it.
func submitVariant(t *testing.T, c *cluster, number uint64) documentID {
	t.Helper()
	b := documentVariant(t, number, int(number))
	eventually(t, 15*time.Second, "document accepted", func() bool {
		return !submitDocument(c.controlClient(), b, 0).unknown
	})
	return documentID{number: number, digest: digestOf(t, b)}
}

// watchUntilEnd watches one host until the stream ends, and sends the time that
// took. It fails the test if the host publishes a document after number 1.
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
				t.Error("an isolated host knows a document accepted by the others")
			}
		}
	}
	ended <- time.Since(start)
}

// expectNoAnswers fails the test if a host gives an answer that could be stale.
func expectNoAnswers(t *testing.T, c *controls.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if res, err := c.List(ctx, &controlv1.ListRequest{Prefix: "archive-trial/"}); err == nil {
		t.Errorf("an isolated host answered a list: %v", res)
	}
	m := &controlv1.Member{Environment: "archive-trial", Name: "late", DocumentLevel: 1}
	if res, err := c.Announce(ctx, &controlv1.AnnounceRequest{Member: m}); err == nil {
		t.Errorf("an isolated host granted a lease: %v", res)
	}
	if res, err := c.History(ctx, "archive-trial"); err == nil {
		t.Errorf("an isolated host answered a history: %v", res)
	}
}
