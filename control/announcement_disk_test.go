package control

import (
	"context"
	"testing"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestFullDiskAcknowledgesNothing guards against a leader that waits for its full disk
// and still acknowledges announcements, while the others have elected a new one, which
// takes the endpoints for lost.
func TestFullDiskAcknowledgesNothing(t *testing.T) {
	d := newDiskTest(t, 1)
	d.change(d.hosts[0], changeTimeout)
	h := d.hosts[d.leader(0)]
	announce := func(sequence uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		return h.gateway.Load().Announce(ctx, &controlv1.AnnounceEndpointRequest{Sequence: sequence, Endpoint: &controlv1.Endpoint{
			Environment: sizeEnvironment, Name: "endpoint", Lifetime: 1, Address: "127.0.0.1:1", FailureDomain: "a", Serves: "pool", Slots: 1,
			State: controlv1.EndpointState_ENDPOINT_STATE_READY, Role: controlv1.Role_ROLE_SERVICE,
		}})
	}
	if err := announce(1); err != nil {
		t.Fatal(err)
	}
	h.disk.fill("", 6*time.Second, false)
	_ = d.submit(context.Background(), h, attemptTimeout)
	if h.disk.isFull() && announce(2) == nil {
		t.Error("a host that waits for its disk has acknowledged an announcement")
	}
	h.disk.awaitRoom()
	deadline := time.Now().Add(recoveryTimeout)
	err := announce(3)
	for err != nil && time.Now().Before(deadline) {
		err = announce(3)
	}
	if err != nil {
		t.Errorf("no announcement was acknowledged after the disk has room: %v", err)
	}
}
