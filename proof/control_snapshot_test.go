package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// recordCount is more than a control host applies between two snapshots.
	recordCount    = 21_000
	recordCallers  = 64
	sampleInterval = 97
)

// TestControlSnapshot records so many operations that the log is compacted while a
// host is down. The host restarts with an empty disk, another one is killed right
// after, and then all are killed and restarted. No record may be lost.
func TestControlSnapshot(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startHosts(3, false)
	h.leader()
	h.processes[2].kill()
	var group sync.WaitGroup
	for i := range recordCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			client := controls.NewClient(transport.NewClient(), c.directControls[:2])
			for n := i; n < recordCount; n += recordCallers {
				if err := beginOperation(client, fmt.Sprint(n)); err != nil {
					t.Errorf("record %d: %v", n, err)
					return
				}
			}
		}()
	}
	group.Wait()
	if _, err := os.Stat(filepath.Join(c.dir, h.processes[0].name+".data", "snapshot")); err != nil {
		t.Errorf("the log was not compacted: %v", err)
	}
	h.restartEmpty(2)
	eventually(t, 20*time.Second, "the host is a voter again", func() bool { return h.status(2).Voter })
	h.processes[h.leader()%2].kill()
	h.leader()
	checkRecords(t, c)
	for i := range h.processes {
		h.processes[i].kill()
	}
	for i := range h.processes {
		h.cluster.launch(h.processes[i])
	}
	h.leader()
	checkRecords(t, c)
}

// checkRecords checks a sample of the records: beginning the same operation under
// another dispatch must return the recorded one.
func checkRecords(t *testing.T, c *cluster) {
	t.Helper()
	client := controls.NewClient(transport.NewClient(), c.directControls)
	for n := 0; n < recordCount; n += sampleInterval {
		res, err := client.BeginOperation(context.Background(), &controlv1.Operation{
			Environment: "archive-trial", Caller: "reading-room", Key: fmt.Sprint(n), BodyDigest: operationDigest, Dispatch: "another",
		})
		if err != nil || res.GetCreated() || res.GetOperation().GetDispatch() != fmt.Sprint(n) {
			t.Fatalf("record %d is not the first one: %v, %v", n, res, err)
		}
	}
}
