package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

const (
	// missedChanges is the number of changes of a document that an entry misses while it
	// stands still.
	missedChanges = 150
	// resumeTarget is the time within which it has the newest document after that.
	resumeTarget = 2 * time.Second
)

// TestEntryResumesLargeDocuments guards against an entry that stood still, is sent all
// versions of a large document that it missed, gives up its watch before they are there,
// and acts on the old document.
func TestEntryResumesLargeDocuments(t *testing.T) {
	c := newCluster(t, "production")
	h := startPlatformHosts(c)
	h.putConfigurationBody(t, 0, largeConfiguration(1))
	entry := startPlatformEntry(c, "entry-0")
	awaitReady(t, entry)
	entry.freeze()
	for n := 2; n <= missedChanges+1; n++ {
		h.putConfigurationBody(t, h.leader(), largeConfiguration(n))
	}
	entry.thaw()
	thawed := time.Now()
	eventually(t, 10*resumeTarget, "the entry has the newest document", func() bool {
		return documentInForce(entry) == missedChanges+1
	})
	if d := time.Since(thawed); d > resumeTarget {
		t.Errorf("the entry acted on an old document for %s, %s allowed", d, resumeTarget)
	} else {
		t.Logf("the newest document was in force after %s", d)
	}
}

// documentInForce returns the number of the document in force at an entry; zero for none.
func documentInForce(entry *process) int {
	res, err := http.Get("http://" + entry.operators.String() + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var v struct{ View struct{ DocumentNumber int } }
	if json.NewDecoder(res.Body).Decode(&v) != nil {
		return 0
	}
	return v.View.DocumentNumber
}
