package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const (
	// largeRoutes is the number of routes of a document, and largeChanges the number of
	// its changes.
	largeRoutes  = 2000
	largeChanges = 60
	// largeFrozen and largeThawed are the changes between which a host stands still, and
	// largeReplaced is the one after which another host loses its disk.
	largeFrozen   = 10
	largeThawed   = 30
	largeReplaced = 40
	// hostMegabytes is the memory of a control host, of which memoryTarget parts in a
	// hundred may be used.
	hostMegabytes = 280
	memoryTarget  = 60
)

// TestControlLargeDocuments changes a large document many times, while a control host
// stands still and another one is replaced by an empty one. It guards against hosts that
// exceed their memory with old documents, in the log and on their way to other hosts.
func TestControlLargeDocuments(t *testing.T) {
	c := newCluster(t, "production")
	h := startPlatformHostsWithin(c, hostMegabytes)
	slow, lost := (h.leader()+1)%3, (h.leader()+2)%3
	for n := 1; n <= largeChanges; n++ {
		h.putConfigurationBody(t, h.leader(), largeConfiguration(n))
		switch n {
		case largeFrozen:
			h.processes[slow].freeze()
		case largeThawed:
			h.processes[slow].thaw()
		case largeReplaced:
			checkPeak(t, h.processes[lost])
			h.restartEmpty(lost)
		}
	}
	for i, p := range h.processes {
		eventually(t, 15*time.Second, p.name+" is a voter", func() bool { return h.status(i).Voter })
		eventually(t, 15*time.Second, p.name+" has the newest document", func() bool {
			return bytes.Equal(h.readConfiguration(i), largeConfiguration(largeChanges))
		})
		checkPeak(t, p)
	}
}

// largeConfiguration returns a configuration with largeRoutes routes.
func largeConfiguration(version int) []byte {
	type route struct {
		Name       string `json:"name"`
		Host       string `json:"host"`
		PathPrefix string `json:"pathPrefix"`
		Kind       string `json:"kind"`
		TimeoutMs  int    `json:"timeoutMs"`
		Service    string `json:"service"`
	}
	out := struct {
		Version  int                 `json:"version"`
		Routes   []route             `json:"routes"`
		Services []map[string]string `json:"services"`
	}{Version: version, Services: []map[string]string{{"name": "desk"}}}
	for i := range largeRoutes {
		name := fmt.Sprintf("route-of-some-length-%d", i)
		out.Routes = append(out.Routes, route{
			Name: name, Host: "desk.example", PathPrefix: "/" + name + "/", Kind: "idempotent", TimeoutMs: 1000 + version, Service: "desk",
		})
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return b
}

// checkPeak checks the most memory that a process has had.
func checkPeak(t *testing.T, p *process) {
	t.Helper()
	megabytes, ok := peakMegabytes(p)
	if !ok {
		t.Errorf("%s has exited", p.name)
	}
	t.Logf("%s: %d MiB at most", p.name, megabytes)
	if limit := hostMegabytes * memoryTarget / 100; megabytes > limit {
		t.Errorf("%s used %d MiB of %d, more than %d", p.name, megabytes, hostMegabytes, limit)
	}
}
