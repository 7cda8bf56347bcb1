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
	// manyRecords is more than a control host applies between two snapshots.
	manyRecords  = 21_000
	manyCallers  = 64
	sampleRecord = 97
)

// TestControlSnapshot records so many operations that the log is compacted
// while a host is down. The host comes back with an empty disk, another one is
// lost right after, and then all are killed at once: no record is gone.
func TestControlSnapshot(t *testing.T) {
	c := newCluster(t, "archive-trial")
	h := c.startHosts(3, false)
	h.leader()
	h.procs[2].kill()
	var all sync.WaitGroup
	for i := range manyCallers {
		all.Add(1)
		go func() {
			defer all.Done()
			client := controls.NewClient(transport.NewClient(), c.direct[:2])
			for n := i; n < manyRecords; n += manyCallers {
				if err := begin(client, fmt.Sprint(n)); err != nil {
					t.Errorf("record %d: %v", n, err)
					return
				}
			}
		}()
	}
	all.Wait()
	if _, err := os.Stat(filepath.Join(c.dir, h.procs[0].name+".data", "snapshot")); err != nil {
		t.Errorf("the log was not compacted: %v", err)
	}
	h.wipe(2)
	eventually(t, 20*time.Second, "the host counts again", func() bool { return h.status(2).Voter })
	h.procs[h.leader()%2].kill()
	h.leader()
	recorded(t, c)
	for i := range h.procs {
		h.procs[i].kill()
	}
	for i := range h.procs {
		h.c.launch(h.procs[i])
	}
	h.leader()
	recorded(t, c)
}

// recorded looks at some of the records: asking for one as another dispatch
// finds the first.
func recorded(t *testing.T, c *cluster) {
	t.Helper()
	client := controls.NewClient(transport.NewClient(), c.direct)
	for n := 0; n < manyRecords; n += sampleRecord {
		res, err := client.BeginOperation(context.Background(), &controlv1.Operation{
			Environment: "archive-trial", Caller: "reading-room", Key: fmt.Sprint(n), BodyDigest: operationDigest, Dispatch: "another",
		})
		if err != nil || res.GetCreated() || res.GetOperation().GetDispatch() != fmt.Sprint(n) {
			t.Fatalf("record %d: %v, %v", n, res, err)
		}
	}
}
