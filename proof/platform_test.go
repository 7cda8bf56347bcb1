package proof

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ebonyreel/document"
	"ebonyreel/settings"
	"ebonyreel/standin/ports"
)

const (
	// platformLength is how long calls are made, and the crashing ones come between
	// platformCrashFrom and the end.
	platformLength    = 24 * time.Second
	platformCrashFrom = 3 * time.Second
	// platformKills is when the leader of the control hosts and an entry are killed.
	platformKills = 11 * time.Second
	// The bounds: crashesBeforeBound crashes, then crashBound later at most lateCalls
	// calls, and soundBound later at least half of the sound calls begin.
	crashesBeforeBound = 5
	crashBound         = 3 * time.Second
	lateCalls          = 3
	soundBound         = 6 * time.Second
)

// platformConfiguration is the configuration of a pool of engines and a plain service.
const platformConfiguration = `{"version":5,"routes":[{"name":"letters","host":"desk.example","pathPrefix":"/letters/","kind":"streaming",` +
	`"timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"maxAttempts":2,"priority":1,"sticky":true,"resumable":true,"service":"engines"},` +
	`{"name":"lookups","host":"desk.example","pathPrefix":"/desk/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":500,"maxAttempts":1,` +
	`"service":"desk"}],` +
	`"services":[{"name":"engines","maxConns":150,"engine":{"slots":12,"kvCapacity":33466,"kvHoldS":0.5,"holdMs":2000,"stride":11}},` +
	`{"name":"desk","maxConns":96}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// TestPlatformCrashingPart guards against calls that share one crashing part of their
// prompts and end one engine after the other, with the real programs on the users'
// platform. The leader of the control hosts and an entry are killed once the part is
// known, and must not forget it.
func TestPlatformCrashingPart(t *testing.T) {
	p := endsPlay{length: platformLength, every: 200 * time.Millisecond, kills: []time.Duration{platformKills}}
	p.run(t).check(t)
}

// soundCall is a call without the crashing part. begun is true where its stream began.
type soundCall struct {
	sent  time.Time
	begun bool
}

// partCalls are counts of calls after the bound.
type partCalls struct {
	// late are those with the crashing part that reached engines.
	late int
	// begun are the sound ones whose streams began, and sound all of them.
	begun, sound int
}

// tooMany reports whether more calls with the crashing part than allowed reached engines.
func (c partCalls) tooMany() bool { return c.late > lateCalls }

// served reports whether at least half of the sound calls began.
func (c partCalls) served() bool { return c.sound > 0 && 2*c.begun >= c.sound }

// check checks the bounds on calls with the crashing part and on sound ones.
func (c partCalls) check(t *testing.T) {
	t.Helper()
	if c.tooMany() {
		t.Errorf("%d calls with the crashing part reached engines later than %s after crash %d, %d allowed", c.late, crashBound, crashesBeforeBound, lateCalls)
	}
	if !c.served() {
		t.Errorf("%d of %d sound calls begin", c.begun, c.sound)
	}
}

// countPartCalls counts the calls that reached engines, and sound ones, after the bound.
func countPartCalls(t *testing.T, engines *platformEngines, sound []soundCall) partCalls {
	t.Helper()
	var out partCalls
	engines.mu.Lock()
	defer engines.mu.Unlock()
	if len(engines.crashes) == 0 {
		t.Fatal("no engine crashed")
	}
	bound := engines.crashes[min(crashesBeforeBound, len(engines.crashes))-1]
	for _, at := range engines.reached {
		if len(engines.crashes) >= crashesBeforeBound && at.Sub(bound) > crashBound {
			out.late++
		}
	}
	for _, s := range sound {
		if s.sent.Sub(bound) > soundBound {
			out.sound++
			if s.begun {
				out.begun++
			}
		}
	}
	t.Logf("%d crashes, %d calls beyond the bound, %d of %d sound calls begin", len(engines.crashes), out.late, out.begun, out.sound)
	return out
}

// startPlatform starts control hosts, engines of some versions, and entries that serve.
func startPlatform(t *testing.T, versions ...string) (*cluster, *hosts, *platformEngines, []*process) {
	t.Helper()
	c := newCluster(t, "production")
	h := startPlatformHosts(c)
	h.putConfigurationBody(t, 0, []byte(platformConfiguration))
	engines := newPlatformEngines(t, c.controls, 8, 4, versions...)
	return c, h, engines, startStreamEntries(c)
}

// startStreamEntries starts entries, and returns them once they serve streams.
func startStreamEntries(c *cluster) []*process {
	c.t.Helper()
	var entries []*process
	for i := range 4 {
		entries = append(entries, startPlatformEntry(c, fmt.Sprintf("entry-%d", i)))
	}
	for _, e := range entries {
		awaitStreams(c.t, e)
	}
	return entries
}

// startPlatformHosts starts three control hosts that find each other through seeds.
func startPlatformHosts(c *cluster) *hosts {
	c.t.Helper()
	return startPlatformHostsWithin(c, 0)
}

// startPlatformHostsWithin does the same with hosts of some mebibytes of memory.
func startPlatformHostsWithin(c *cluster, megabytes int) *hosts {
	c.t.Helper()
	h := &hosts{cluster: c}
	var seeds []netip.AddrPort
	for i := range 3 {
		h.processes = append(h.processes, &process{name: fmt.Sprintf("control-%d", i), program: "control", address: ports.Free(), operators: ports.Free()})
		seeds = append(seeds, h.processes[i].address)
	}
	for _, p := range h.processes {
		s := seedSettings(c, p, seeds, true)
		s.MemoryMegabytes = megabytes
		c.start(p, s)
	}
	c.controls = seeds
	eventually(c.t, 15*time.Second, "all hosts are voters", func() bool { return len(h.status(h.leader()).Servers) == 3 })
	return h
}

func startPlatformEntry(c *cluster, name string) *process {
	c.t.Helper()
	return startPlatformEntryWithin(c, name, 0)
}

// startPlatformEntryWithin starts an entry of some mebibytes of memory.
func startPlatformEntryWithin(c *cluster, name string, megabytes int) *process {
	c.t.Helper()
	p := &process{name: name, program: "entry", address: ports.Free(), operators: ports.Free()}
	return c.start(p, settings.Entry{
		Name: name, Environment: c.environment, FailureDomain: "osu", Callers: p.address, Operators: p.operators, Controls: c.controls,
		Peers: ports.Free(), Policy: "reserve", Protocol: settings.Platform, MemoryMegabytes: megabytes, RetryBudget: settings.RetryBudget{Ratio: 0.2, Slack: 52, Window: document.Duration(10 * time.Second)},
		QuotaTolerance: settings.QuotaTolerance{Excess: quotaExcess * quotaTokens, Window: document.Duration(quotaWindow)},
	})
}
