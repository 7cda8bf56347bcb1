package control

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/replica"
)

// TestLaneHoldsOneSnapshot guards against a snapshot that is queued again and again while
// the one before it is on its way, and against data for a server that has lost its disk,
// which delays the server that has replaced it.
func TestLaneHoldsOneSnapshot(t *testing.T) {
	l := newLane(nil)
	snapshot := func(to string) *replicav1.Message {
		return &replicav1.Message{To: to, Snapshot: &replicav1.Snapshot{State: make([]byte, maxPartBytes)}}
	}
	if !l.enqueue(snapshot("a")) || l.enqueue(snapshot("a")) {
		t.Error("expected one of two snapshots for a server to be queued")
	}
	if !l.enqueue(snapshot("b")) {
		t.Error("a snapshot waits for that of another server")
	}
	got, target := l.next(context.Background())
	if len(got) != 1 || got[0].GetTo() != "b" || target.id != "b" {
		t.Errorf("got %d messages for server %s, want one for server b", len(got), target.id)
	}
}

// TestParts joins the parts of a request that come late, twice or not at all, and guards
// against requests that fill the memory or are joined from parts of two.
func TestParts(t *testing.T) {
	now := time.Unix(1000, 0)
	b, err := proto.Marshal(&replicav1.DeliverRequest{Id: "a", Messages: []*replicav1.Message{{Read: 1}, {Read: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	part := func(id string, number uint64, from, to int) *replicav1.DeliverPartRequest {
		return &replicav1.DeliverPartRequest{Id: id, Number: number, Offset: uint64(from), Size: uint64(len(b)), Part: bytes.Clone(b[from:to])}
	}
	var j partJoiner
	delivered, refuse := 0, true
	for _, c := range []struct {
		name      string
		part      *replicav1.DeliverPartRequest
		after     time.Duration
		refused   bool
		busy      bool
		delivered int
	}{
		{name: "first", part: part("a", 5, 0, 4)},
		{name: "first again", part: part("a", 5, 0, 4)},
		{name: "gap", part: part("a", 5, 6, 8), refused: true},
		{name: "other sender", part: part("b", 1, 0, 4)},
		{name: "last, refused by the loop", part: part("a", 5, 4, len(b)), busy: true},
		{name: "last again", part: part("a", 5, 4, len(b)), delivered: 1},
		{name: "last after the delivery", part: part("a", 5, 4, len(b)), delivered: 1},
		{name: "older request", part: part("a", 4, 0, 4), refused: true, delivered: 1},
		{name: "newer request", part: part("a", 6, 0, 4), delivered: 1},
		{name: "first request after a restart", part: part("a", 2|1<<requestBits, 0, 4), delivered: 1},
		{name: "newer request without its first part", part: part("a", 3|1<<requestBits, 4, len(b)), refused: true, delivered: 1},
		{name: "after a long time", part: part("a", 2|1<<requestBits, 4, len(b)), after: 2 * unfinishedTimeout, refused: true, delivered: 1},
		{name: "beyond the end", part: &replicav1.DeliverPartRequest{Id: "c", Size: 2, Part: b}, refused: true, delivered: 1},
		{name: "too large", part: &replicav1.DeliverPartRequest{Id: "c", Size: maxUnfinishedBytes + 1}, refused: true, delivered: 1},
		{name: "all of the memory", part: &replicav1.DeliverPartRequest{Id: "c", Size: maxUnfinishedBytes}, delivered: 1},
		{name: "no memory left", part: &replicav1.DeliverPartRequest{Id: "d", Size: 1}, busy: true, delivered: 1},
	} {
		now = now.Add(c.after)
		err := j.add(now, c.part, func(r *replicav1.DeliverRequest) error {
			if refuse {
				refuse = false
				return &replica.BusyError{Reason: "test"}
			}
			if len(r.GetMessages()) == 2 {
				delivered++
			}
			return nil
		})
		var part *PartError
		var busy *replica.BusyError
		if errors.As(err, &part) != c.refused || errors.As(err, &busy) != c.busy || err == nil && (c.refused || c.busy) {
			t.Errorf("%s: got error %v", c.name, err)
		}
		if delivered != c.delivered {
			t.Errorf("%s: %d requests delivered, want %d", c.name, delivered, c.delivered)
		}
	}
}

// partlessHost is a control host of an older build.
type partlessHost struct {
	replicav1connect.ReplicaServiceClient
	delivered []*replicav1.DeliverRequest
}

func (*partlessHost) DeliverPart(context.Context, *connect.Request[replicav1.DeliverPartRequest]) (*connect.Response[replicav1.DeliverPartResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

func (h *partlessHost) Deliver(_ context.Context, r *connect.Request[replicav1.DeliverRequest]) (*connect.Response[replicav1.DeliverResponse], error) {
	h.delivered = append(h.delivered, r.Msg)
	return connect.NewResponse(&replicav1.DeliverResponse{}), nil
}

// TestPartsToOlderBuild guards against a rolling update in which a host of the older build
// gets no large message any more.
func TestPartsToOlderBuild(t *testing.T) {
	h := &partlessHost{}
	l := newLane(h)
	if !l.enqueue(&replicav1.Message{To: "b", Snapshot: &replicav1.Snapshot{State: make([]byte, 2*maxPartBytes)}}) {
		t.Fatal("the snapshot was not queued")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	(&peers{id: "a"}).deliver(ctx, l)
	if len(h.delivered) != 1 || len(h.delivered[0].GetMessages()[0].GetSnapshot().GetState()) != 2*maxPartBytes {
		t.Errorf("%d requests were delivered, want one with the snapshot", len(h.delivered))
	}
	if l.target.Load().hasSnapshot.Load() {
		t.Error("the lane has no room for the next snapshot")
	}
}
