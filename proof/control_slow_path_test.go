package proof

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// slowDocumentBytes is the size of a document's source, and slowPathKilobytes the
	// number of kilobytes that a slow path carries in a second.
	slowDocumentBytes = 3 << 20
	slowPathKilobytes = 1500
	// slowDocuments fill the log of a host so far that it is compacted.
	slowDocuments = 4
	// slowJoinTarget is twice the time that the state takes on a slow path.
	slowJoinTarget = 15 * time.Second
	// slowCallTarget is the election timeout of the control hosts.
	slowCallTarget = 700 * time.Millisecond
)

// TestControlJoinsOnSlowPath starts a host with an empty disk behind a path that takes
// several seconds to carry the state. It guards against a host that never becomes a voter,
// as the state travels in one message that has to arrive within a second.
func TestControlJoinsOnSlowPath(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startLinkedHosts(3)
	leader := h.leader()
	lost := (leader + 1) % 3
	h.processes[lost].kill()
	for n := range slowDocuments {
		submitLarge(t, c, uint64(n+1))
	}
	for _, i := range []int{leader, 3 - leader - lost} {
		eventually(t, 5*time.Second, h.processes[i].name+" has compacted its log", func() bool {
			_, err := os.Stat(filepath.Join(c.dir, h.processes[i].name+".data", "snapshot"))
			return err == nil
		})
		h.links[i][lost].throttle(toServer, slowPathKilobytes)
	}
	h.restartEmpty(lost)
	start := time.Now()
	eventually(t, slowJoinTarget, "the host behind the slow path is a voter", func() bool { return h.status(lost).Voter })
	t.Logf("a voter after %s", time.Since(start))
}

// TestControlCallsOnSlowPath changes large documents while the paths from the leader to
// both followers are slow. It guards against heartbeats and small calls that wait behind
// large messages, so that reads time out and the followers elect another leader.
func TestControlCallsOnSlowPath(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startLinkedHosts(3)
	leader := h.leader()
	term := h.status(leader).Term
	for _, l := range h.links[leader] {
		if l != nil {
			l.throttle(toServer, slowPathKilobytes)
		}
	}
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for n := range 2 {
			submitLarge(t, c, uint64(n+1))
		}
	}()
	client := controls.NewClient(transport.NewClient(), []netip.AddrPort{h.processes[leader].address})
	slowest, calls := time.Duration(0), 0
	for under := true; under; calls++ {
		select {
		case <-changed:
			under = false
		case <-time.After(50 * time.Millisecond):
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), slowCallTarget)
		if _, err := client.List(ctx, &controlv1.ListRequest{Prefix: "none/"}); err != nil {
			t.Errorf("call %d failed after %s: %v", calls, time.Since(start), err)
		}
		cancel()
		slowest = max(slowest, time.Since(start))
	}
	t.Logf("%d calls, the slowest took %s", calls, slowest)
	if s := h.status(leader); !s.Leads || s.Term != term {
		t.Errorf("the host leads: %t, in term %d; expected it to lead in term %d", s.Leads, s.Term, term)
	}
}

// submitLarge submits a document with a source of slowDocumentBytes until it is accepted.
func submitLarge(t *testing.T, c *cluster, number uint64) {
	ctx, cancel := context.WithTimeout(t.Context(), slowJoinTarget)
	defer cancel()
	r := &controlv1.SubmitRequest{
		Environment: "archive-trial", Document: documentVariant(t, number, 1), Submitter: "operator", Source: make([]byte, slowDocumentBytes),
	}
	for {
		_, err := c.controlClient().Submit(ctx, r)
		if err == nil || controls.RefusalFrom(err).GetCode() == controlv1.Refusal_CODE_CONFLICT {
			return
		}
		if ctx.Err() != nil {
			t.Errorf("document %d was not accepted: %v", number, err)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
