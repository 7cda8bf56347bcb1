package proof

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"ebonyreel/settings"
)

// successorTarget is the time after its start within which the successor of a
// lost control host counts.
const replacementTarget = 4 * time.Second

// TestControlSeeds lets control hosts find each other through seeds alone. One
// is lost for good and an empty one comes at another address, twice; then one
// loses its disk. Configurations that were acknowledged stay, are the same at
// every host, and an older one changes nothing.
func TestControlSeeds(t *testing.T) {
	c := newCluster(t, "production")
	h := &hosts{cluster: c}
	var seeds []netip.AddrPort
	for i := range 3 {
		h.processes = append(h.processes, newHost(t, i))
		seeds = append(seeds, h.processes[i].address)
	}
	for _, p := range h.processes {
		c.start(p, seedSettings(c, p, seeds, true))
	}
	eventually(t, 10*time.Second, "all hosts count", func() bool { return len(h.status(h.leader()).Servers) == 3 })
	h.putConfiguration(t, 0, 5)
	h.putConfiguration(t, 1, 3)
	h.expectConfiguration(t, 5)
	for i := range 2 {
		lost := h.processes[i].name
		h.processes[i].kill()
		h.processes[i] = newHost(t, 3+i)
		c.start(h.processes[i], seedSettings(c, h.processes[i], seeds, false))
		start := time.Now()
		eventually(t, 15*time.Second, "the successor of "+lost+" counts", func() bool {
			s := h.status(h.leader()).Servers
			return len(s) == 3 && slices.Contains(s, h.processes[i].name) && !slices.Contains(s, lost)
		})
		if elapsed := time.Since(start); elapsed > replacementTarget {
			t.Errorf("the successor of %s counted after %s, at most %s expected", lost, elapsed, replacementTarget)
		}
		h.putConfiguration(t, 2, 7+i)
		h.expectConfiguration(t, 7+i)
	}
	h.restartEmpty(2)
	eventually(t, 15*time.Second, "the host without its disk counts", func() bool { return h.status(2).Voter })
	h.expectConfiguration(t, 8)
}

func newHost(t *testing.T, i int) *process {
	return &process{name: fmt.Sprintf("control-%d", i), program: "control", address: freeAddress(t), operators: freeAddress(t)}
}

func seedSettings(c *cluster, p *process, seeds []netip.AddrPort, bootstrap bool) settings.Control {
	s := c.hostSettings(p)
	s.Seeds, s.Tolerates, s.Bootstrap = seeds, 1, bootstrap
	s.Protocol, s.Environment = settings.Platform, c.environment
	return s
}

// put sends a configuration to a host until it is acknowledged.
func (h *hosts) putConfiguration(t *testing.T, i, version int) {
	t.Helper()
	eventually(t, 10*time.Second, fmt.Sprintf("configuration %d is acknowledged", version), func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, h.configurationURL(i), bytes.NewReader(configuration(version)))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// newest asks every host for the newest configuration until it answers. An
// older one is never an answer.
func (h *hosts) expectConfiguration(t *testing.T, version int) {
	t.Helper()
	for i, p := range h.processes {
		eventually(t, 10*time.Second, p.name+" answers", func() bool {
			res, err := http.Get(h.configurationURL(i))
			if err != nil {
				return false
			}
			defer func() { _ = res.Body.Close() }()
			b, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusOK {
				return false
			}
			if !bytes.Equal(b, configuration(version)) {
				t.Errorf("%s answered %s, expected version %d", p.name, b[:min(len(b), 40)], version)
			}
			return true
		})
	}
}

func (h *hosts) configurationURL(i int) string {
	return "http://" + h.processes[i].address.String() + "/config"
}

func configuration(version int) []byte {
	return []byte(strings.ReplaceAll(`{"version":VERSION,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"idempotent",`+
		`"timeoutMs":100,"service":"s"}],"services":[{"name":"s"}]}`, "VERSION", fmt.Sprint(version)))
}
