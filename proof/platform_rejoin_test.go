package proof

import (
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// rejoinLength is how long streams begin. rejoinInPlace is when all engines start again
	// under their own names with another version, and rejoinReplaced when engines of a
	// third version take the place of all others under names of their own. All entries are
	// killed at the same moment.
	rejoinLength   = 22 * time.Second
	rejoinInPlace  = 4 * time.Second
	rejoinReplaced = 12 * time.Second
	// rejoinContact is how long after that streams may be refused.
	rejoinContact = 5 * time.Second
)

// TestPlatformStreamsRejoined guards against streams joined from two software versions
// after all entries were killed while the engines of the old version had just left: callers
// who name the request that began their stream, and callers who do not, go on at entries
// that know nothing of before.
func TestPlatformStreamsRejoined(t *testing.T) {
	c, _, engines, entries := startPlatform(t, "v1")
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() {
		clock.Sleep(t.Context(), rejoinInPlace)
		killAll(entries)
		engines.restartAs(t, "v2")
		clock.Sleep(t.Context(), versionDowntime)
		launchAll(c, entries)
		clock.Sleep(t.Context(), time.Until(start.Add(rejoinReplaced)))
		engines.replaceAll(t, "v3")
		clock.Sleep(t.Context(), announcedWithin/4)
		killAll(entries)
		clock.Sleep(t.Context(), versionDowntime)
		launchAll(c, entries)
	})
	streams := playStreams(t, entries, engines, rejoinLength, func(n int) bool { return n%4 < 2 })
	all.Wait()
	checkVersions(t, streams)
	for _, unnamed := range []bool{false, true} {
		var judged []*callersStream
		for _, s := range streams {
			if s.unnamed == unnamed {
				judged = append(judged, s)
			}
		}
		t.Logf("callers without the name: %t", unnamed)
		calm := func(r streamTry) bool {
			at := r.sent.Sub(start)
			disturbed := at > rejoinInPlace-time.Second && at < rejoinInPlace+rejoinContact || at > rejoinReplaced-time.Second && at < rejoinReplaced+rejoinContact
			// Where the versions have changed, callers without the name may be refused.
			return !r.alone && !disturbed && (!unnamed || at < rejoinInPlace)
		}
		if !checkResumptions(t, judged, calm) {
			t.Error("too few resumptions to judge")
		}
	}
}

func killAll(entries []*process) {
	for _, e := range entries {
		e.kill()
	}
}

func launchAll(c *cluster, entries []*process) {
	for _, e := range entries {
		c.launch(e)
	}
}

// all returns the engines that run.
func (p *platformEngines) all() []*platformEngine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*platformEngine
	for _, e := range p.running {
		out = append(out, e)
	}
	return out
}

// restartAs starts all engines again under their names and addresses with another version.
func (p *platformEngines) restartAs(t *testing.T, version string) {
	for _, e := range p.all() {
		e.retire()
		p.startNamed(t.Context(), e.name, e.address, e.currentStage(), version)
	}
}

// replaceAll starts engines of another version under names of their own, at the addresses
// of all others, which end.
func (p *platformEngines) replaceAll(t *testing.T, version string) {
	for _, e := range p.all() {
		e.retire()
		p.start(t.Context(), e.address, e.currentStage(), version)
	}
}
