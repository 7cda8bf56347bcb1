package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxCrashesPerContent is the total number of endpoints that one content may
// crash.
const maxCrashesPerContent = 3

// restartEngines restarts engines when they exit, after a pause, until the test
// ends.
func (f *fleet) restartEngines(pause time.Duration) {
	for _, e := range f.engines() {
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				select {
				case <-stop:
					return
				case <-e.exited:
				}
				time.Sleep(pause)
				select {
				case <-stop:
					return
				default:
					f.launch(e)
				}
			}
		}()
		f.t.Cleanup(func() {
			close(stop)
			<-ended
		})
	}
}

// TestCrashingContent sends content that crashes the engines that run it through
// every entry at the same time, and again after each refusal, together with other
// calls. It must crash a bounded number of engines, and all other calls must be
// answered.
func TestCrashingContent(t *testing.T) {
	for _, marker := range []string{"CRASH-DECODE", "CRASH-PREFILL"} {
		for s := range *seedCount {
			t.Run(marker, func(t *testing.T) {
				t.Parallel()
				testCrashingContent(t, marker, rand.New(rand.NewPCG(*firstSeed+uint64(s), 3)))
			})
		}
	}
}

func testCrashingContent(t *testing.T, marker string, random *rand.Rand) {
	f := newFleet(t, 3, 4, 4, engineSettings{}, engineSettings{StepMicroseconds: 40_000})
	f.restartEngines(time.Duration(200+random.IntN(600)) * time.Millisecond)
	waitForOthers := f.startCalls(12, 50, 40)
	time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	crashingPrompt := marker + " " + strings.Repeat("deed ", 50)
	var group sync.WaitGroup
	for _, e := range f.entries {
		for range 2 {
			group.Go(func() {
				for range 3 {
					f.history.sendCompletion(t.Context(), e, crashingPrompt, 40, true)
				}
			})
		}
	}
	group.Wait()
	waitForOthers()
	calls, seen := f.history.readCalls(), readEngineRecords(t, f.engines()...)
	unanswered, answered := 0, 0
	for _, r := range calls {
		switch {
		case r.Prompt == crashingPrompt && r.Ends > 0:
			t.Error("the crashing prompt was answered")
		case r.Prompt != crashingPrompt && r.Ends > 0:
			answered++
		case r.Prompt != crashingPrompt:
			unanswered++
			t.Errorf("a call with another prompt was not answered: %s", r.describe())
		}
	}
	t.Logf("%s: %d crashes; of the other calls %d were answered, %d were not", marker, countCrashes(seen), answered, unanswered)
	reportViolations(t, checkAnswers(calls), checkOutcomes(calls, nil), checkNotRun(calls, seen), checkCrashes(seen, maxCrashesPerContent))
	checkNothingHeld(t, f.engines()...)
}

func countCrashes(seen []engineRecord) int {
	n := 0
	for _, e := range seen {
		if e.Event == "Crash" {
			n++
		}
	}
	return n
}

// describe formats a call for a failure message.
func (r callRecord) describe() string {
	return fmt.Sprintf("request %s at %s: status %d, code %q, ends %d, error %q", r.Request, r.Entry, r.Status, r.Code, r.Ends, r.Error)
}
