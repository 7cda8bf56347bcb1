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
	"ebonyreel/standin/ports"
)

// replacementTarget is the time after its start within which the replacement of a
// lost control host must be a voter.
const replacementTarget = 4 * time.Second

// TestControlSeeds has control hosts find each other through seeds alone. Twice a
// host is lost for good and an empty one starts at another address; then a host
// loses its disk. Acknowledged configurations must be kept and be the same at
// every host, and an older configuration must change nothing.
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
	eventually(t, 10*time.Second, "all hosts are voters", func() bool { return len(h.status(h.leader()).Servers) == 3 })
	h.putConfiguration(t, 0, 5)
	h.putConfiguration(t, 1, 3)
	h.expectConfiguration(t, 5)
	for i := range 2 {
		lost := h.processes[i].name
		h.processes[i].kill()
		h.processes[i] = newHost(t, 3+i)
		c.start(h.processes[i], seedSettings(c, h.processes[i], seeds, false))
		start := time.Now()
		eventually(t, 15*time.Second, "the replacement of "+lost+" is a voter", func() bool {
			s := h.status(h.leader()).Servers
			return len(s) == 3 && slices.Contains(s, h.processes[i].name) && !slices.Contains(s, lost)
		})
		if elapsed := time.Since(start); elapsed > replacementTarget {
			t.Errorf("the replacement of %s was a voter after %s, expected at most %s", lost, elapsed, replacementTarget)
		}
		h.putConfiguration(t, 2, 7+i)
		h.expectConfiguration(t, 7+i)
	}
	h.restartEmpty(2)
	eventually(t, 15*time.Second, "the host that lost its disk is a voter", func() bool { return h.status(2).Voter })
	h.expectConfiguration(t, 8)
}

func newHost(t *testing.T, i int) *process {
	return &process{name: fmt.Sprintf("control-%d", i), program: "control", address: ports.Free(), operators: ports.Free()}
}

func seedSettings(c *cluster, p *process, seeds []netip.AddrPort, bootstrap bool) settings.Control {
	s := c.hostSettings(p)
	s.Seeds, s.Tolerates, s.Bootstrap = seeds, 1, bootstrap
	s.Protocol, s.Environment = settings.Platform, c.environment
	return s
}

// putConfiguration sends a configuration of some version to a host until it is
// acknowledged.
func (h *hosts) putConfiguration(t *testing.T, i, version int) {
	t.Helper()
	h.putConfigurationBody(t, i, configuration(version))
}

// putConfigurationBody sends a configuration to a host until it is acknowledged.
func (h *hosts) putConfigurationBody(t *testing.T, i int, body []byte) {
	t.Helper()
	eventually(t, 10*time.Second, "the configuration is acknowledged", func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, h.configurationURL(i), bytes.NewReader(body))
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

// expectConfiguration asks every host for the configuration until it answers. It
// fails the test if an answer is any other version.
func (h *hosts) expectConfiguration(t *testing.T, version int) {
	t.Helper()
	for i, p := range h.processes {
		eventually(t, 10*time.Second, p.name+" answers", func() bool {
			b := h.readConfiguration(i)
			if b == nil {
				return false
			}
			if !bytes.Equal(b, configuration(version)) {
				t.Errorf("%s answered %s, expected version %d", p.name, b[:min(len(b), 40)], version)
			}
			return true
		})
	}
}

// readConfiguration returns the configuration that a host answers, or nil.
func (h *hosts) readConfiguration(i int) []byte {
	res, err := http.Get(h.configurationURL(i))
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return nil
	}
	return b
}

func (h *hosts) configurationURL(i int) string {
	return "http://" + h.processes[i].address.String() + "/config"
}

func configuration(version int) []byte {
	return []byte(strings.ReplaceAll(`{"version":VERSION,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"idempotent",`+
		`"timeoutMs":100,"service":"s"}],"services":[{"name":"s"}]}`, "VERSION", fmt.Sprint(version)))
}
