package proof

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxCopyEndpoints is the number of endpoints of a role that may run one content
// at the same time. Content that crashes endpoints crashes at most this many
// before it is detected, and one more where it runs alone.
const maxCopyEndpoints = 1

// TestCopiesTogether sends one content through every entry at about the same time.
// The copies must share their endpoints, so that the number of endpoints exposed
// to the content is bounded even before the first crash.
func TestCopiesTogether(t *testing.T) {
	f := newFleet(t, 3, 4, 4, engineSettings{}, engineSettings{StepMicroseconds: 20_000})
	random := rand.New(rand.NewPCG(*firstSeed, 5))
	prompt := strings.Repeat("deed ", 50)
	var group sync.WaitGroup
	for _, e := range f.entries {
		for range 2 {
			pause := time.Duration(random.IntN(100)) * time.Millisecond
			group.Go(func() {
				time.Sleep(pause)
				f.history.sendCompletion(t.Context(), e, prompt, 20, true)
			})
		}
	}
	group.Wait()
	if n := countEngines(t, "Prefill", f.prefillEngines); n > maxCopyEndpoints {
		t.Errorf("copies were prefilled on %d endpoints, at most %d expected", n, maxCopyEndpoints)
	}
	if n := countEngines(t, "Decode", f.decodeEngines); n > maxCopyEndpoints {
		t.Errorf("copies were decoded on %d endpoints, at most %d expected", n, maxCopyEndpoints)
	}
}

// countEngines returns the number of engines with an event in their history.
func countEngines(t *testing.T, event string, engines []*process) int {
	n := 0
	for _, e := range engines {
		if slices.ContainsFunc(readEngineRecords(t, e), func(r engineRecord) bool { return r.Event == event }) {
			n++
		}
	}
	return n
}
