package proof

import (
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// staleLength is how long streams begin. From staleFrozen on an entry stands still, and
	// engines of a new version join meanwhile. From staleSilent on no control host answers;
	// then the entry goes on, and staleCrash later engines of the new version crash.
	staleLength = 12 * time.Second
	staleFrozen = 3 * time.Second
	staleSilent = 6 * time.Second
	staleCrash  = 300 * time.Millisecond
	// staleSilence is how long control does not answer.
	staleSilence = 2 * time.Second
	// joiningDecode and joiningPrefill are the numbers of engines that join.
	joiningDecode  = 4
	joiningPrefill = 2
	// minTakenUp is the number of streams of the new version that the entry must be asked
	// for, so that the test shows something.
	minTakenUp = 4
)

// TestPlatformStaleEntry guards against streams that an entry takes up at an engine of
// another version, because it stood still and was cut off while the version of the stream
// joined. Every other caller does not name the request that began its stream.
func TestPlatformStaleEntry(t *testing.T) {
	_, h, engines, entries := startPlatform(t, "v1")
	start, stale := time.Now(), entries[2]
	var all sync.WaitGroup
	all.Go(func() {
		clock.Sleep(t.Context(), staleFrozen)
		stale.freeze()
		engines.startStages(joiningDecode, joiningPrefill, "v2")
		clock.Sleep(t.Context(), time.Until(start.Add(staleSilent)))
		for _, p := range h.processes {
			p.freeze()
		}
		stale.thaw()
		clock.Sleep(t.Context(), staleCrash)
		engines.crashOneOfEach("v2", "v2", "v2")
		clock.Sleep(t.Context(), time.Until(start.Add(staleSilent+staleSilence)))
		for _, p := range h.processes {
			p.thaw()
		}
	})
	streams := playStreams(t, entries, engines, staleLength, func(n int) bool { return n%4 < 2 })
	all.Wait()
	checkVersions(t, streams)
	taken, joined := 0, 0
	for _, s := range streams {
		if s.versions["v2"] {
			joined++
		}
		for _, r := range s.tries {
			at := r.sent.Sub(start)
			if r.entry == 2 && r.resumes && s.versions["v2"] && at > staleFrozen && at < staleSilent+staleSilence {
				taken++
			}
		}
	}
	t.Logf("%d streams of the new version; the stale entry was asked to go on with %d", joined, taken)
	if joined < minResumptions || taken < minTakenUp {
		t.Error("too few streams of the new version to judge")
	}
}
