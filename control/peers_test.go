package control

import (
	"context"
	"testing"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestMessagesBounded guards against messages to a host that does not answer, which
// were bounded by their number only, and all put into one call.
func TestMessagesBounded(t *testing.T) {
	h := newLane(nil)
	large := &replicav1.Message{Entries: []*replicav1.Entry{{Kind: &replicav1.Entry_Command{Command: make([]byte, 4<<20)}}}}
	queued := 0
	for h.enqueue(large) {
		queued++
	}
	if queued != 4 {
		t.Errorf("%d messages of 4 MiB were queued, want 4", queued)
	}
	if got, _ := h.next(context.Background()); len(got) != 1 {
		t.Errorf("%d messages of 4 MiB are sent in one call, want 1", len(got))
	}
	if !h.enqueue(&replicav1.Message{}) {
		t.Error("a message was not queued after there was room")
	}
}
