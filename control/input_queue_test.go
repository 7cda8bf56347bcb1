package control

import (
	"context"
	"errors"
	"testing"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/replica"
)

// TestInputsBounded guards against documents that wait without a bound while the disk of
// a host is full or slow, as operators send theirs again.
func TestInputsBounded(t *testing.T) {
	i := newInputQueue()
	document := &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: &controlv1.Document{Resolved: make([]byte, 4<<20)}}}
	queued := 0
	for {
		err := i.add(&proposal{command: document})
		var busy *replica.BusyError
		if errors.As(err, &busy) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		queued++
	}
	if queued != 4 {
		t.Errorf("%d documents of 4 MiB wait, want 4", queued)
	}
	if err := i.add(&readRequest{}); err != nil {
		t.Errorf("a read is refused while documents wait: %v", err)
	}
	i.remove(<-i.waiting)
	if err := i.add(&proposal{command: document}); err != nil {
		t.Errorf("a document is refused after there was room: %v", err)
	}
}

// TestEndedProposal guards against commands that are committed long after their callers
// gave up.
func TestEndedProposal(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p := &proposal{done: ctx.Done(), command: &controlv1.Command{}, reply: make(chan commandResult, 1)}
	p.handle(&loop{}, time.Now())
	if r := <-p.reply; !errors.Is(r.err, context.Canceled) {
		t.Errorf("got error %v for a proposal whose caller is gone, want %v", r.err, context.Canceled)
	}
}
