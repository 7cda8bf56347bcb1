package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// detectionTarget is the time within which a connection that has gone silent
// must be detected.
const detectionTarget = 3 * time.Second

// faultFreeLimit bounds the duration of the calls of a test without a failure.
const faultFreeLimit = 6 * time.Second

// fleet is a small deployment with a link in front of each process.
type fleet struct {
	*cluster
	control        *process
	entries        []*process
	prefillAgents  []*process
	decodeAgents   []*process
	prefillEngines []*process
	decodeEngines  []*process
	history        *callHistory
}

// newFleet starts one control host, entries, and model engines with their
// agents, all behind links, and waits until all have joined.
func newFleet(t *testing.T, entries, prefills, decodes int, prefill, decode engineSettings) *fleet {
	t.Helper()
	f := &fleet{cluster: newCluster(t, "archive-trial")}
	f.linked["control-0"] = true
	f.control = f.startControl("control-0")
	f.submitFile("../examples/archive.json")
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		f.linked[name] = true
		f.entries = append(f.entries, f.startEntry(name))
	}
	for i := range prefills {
		a, e := f.startLinkedEngine(fmt.Sprintf("prefill-%d", i), prefillRole, prefill)
		f.prefillAgents, f.prefillEngines = append(f.prefillAgents, a), append(f.prefillEngines, e)
	}
	for i := range decodes {
		a, e := f.startLinkedEngine(fmt.Sprintf("decode-%d", i), decodeRole, decode)
		f.decodeAgents, f.decodeEngines = append(f.decodeAgents, a), append(f.decodeEngines, e)
	}
	f.history = newCallHistory(f.cluster)
	f.awaitMembers(entries+prefills+decodes, f.entries...)
	return f
}

func (f *fleet) startLinkedEngine(name, role string, s engineSettings) (agent, engine *process) {
	f.t.Helper()
	f.linked[name], f.linked[name+"-engine"] = true, true
	return f.startEngine(name, role, "summariser", s)
}

func (f *fleet) engines() []*process {
	return append(append([]*process(nil), f.prefillEngines...), f.decodeEngines...)
}

// link returns the link of an agent or, with suffix "-engine", of its engine.
func (f *fleet) link(role string, i int, suffix string) *link {
	return f.links[fmt.Sprintf("%s-%d%s", role, i, suffix)]
}

// awaitBusyEngine waits until an engine of a stage has work, and returns its
// index. Every stage but "prefill" means decode.
func (f *fleet) awaitBusyEngine(stage string) int {
	f.t.Helper()
	engines, found := f.decodeEngines, 0
	if stage == "prefill" {
		engines = f.prefillEngines
	}
	eventually(f.t, 10*time.Second, "an engine has work", func() bool {
		for i, e := range engines {
			if countHeld(f.t, e) > 0 {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// startCalls sends calls with different prompts through the entries in turn,
// every other one as a stream, and returns a function that waits for all.
func (f *fleet) startCalls(calls, promptWords, maxTokens int) func() {
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			prompt := fmt.Sprintf("%s number %d", strings.Repeat("deed ", promptWords), i)
			f.history.sendCompletion(f.t.Context(), f.entries[i%len(f.entries)], prompt, maxTokens, i%2 == 0)
		})
	}
	return group.Wait
}

// failureCase is one failure injected while calls are in flight.
type failureCase struct {
	name  string
	stage string
	// inject causes the failure; i is the index of an engine of the stage that
	// has work.
	inject func(f *fleet, i int)
	// mayLoseCalls is true if calls may end without an answer.
	mayLoseCalls bool
	// serialTime is the extra time for the calls that were in flight at a
	// crash, as they are run again one at a time.
	serialTime time.Duration
	// entryKilled is true if the first entry is killed.
	entryKilled bool
}

func failureCases() []failureCase {
	both := []direction{toServer, toClient}
	return []failureCase{
		{name: "decode engine killed", serialTime: 3 * faultFreeLimit, inject: func(f *fleet, i int) { f.decodeEngines[i].kill() }},
		{name: "decode agent killed", inject: func(f *fleet, i int) { f.decodeAgents[i].kill() }},
		{name: "decode agent frozen", inject: func(f *fleet, i int) { f.decodeAgents[i].freeze() }},
		{name: "decode agent silent", inject: func(f *fleet, i int) { f.link("decode", i, "").blackholeOpen(both...) }},
		{name: "decode agent silent one way", inject: func(f *fleet, i int) { f.link("decode", i, "").blackholeOpen(toClient) }},
		{name: "decode agent cut", inject: func(f *fleet, i int) { f.link("decode", i, "").cut(both...) }},
		{name: "decode engine silent", inject: func(f *fleet, i int) { f.link("decode", i, "-engine").blackholeOpen(both...) }},
		{name: "decode engine frozen", inject: func(f *fleet, i int) { f.decodeEngines[i].freeze() }},
		{name: "prefill engine killed", stage: "prefill", inject: func(f *fleet, i int) { f.prefillEngines[i].kill() }},
		{name: "prefill agent killed", stage: "prefill", inject: func(f *fleet, i int) { f.prefillAgents[i].kill() }},
		{name: "prefill agent silent", stage: "prefill", inject: func(f *fleet, i int) { f.link("prefill", i, "").blackholeOpen(both...) }},
		{name: "prefill engine silent", stage: "prefill", inject: func(f *fleet, i int) { f.link("prefill", i, "-engine").blackholeOpen(both...) }},
		{name: "prefill engine cut one way", stage: "prefill", inject: func(f *fleet, i int) { f.link("prefill", i, "-engine").cut(toClient) }},
		{name: "control silent", inject: func(f *fleet, i int) { f.links["control-0"].blackholeOpen(both...) }},
		{name: "entry killed", inject: func(f *fleet, i int) { f.entries[0].kill() }, mayLoseCalls: true, entryKilled: true},
		{name: "entry frozen", mayLoseCalls: true, inject: func(f *fleet, i int) {
			f.entries[0].freeze()
			time.Sleep(memoryReleaseTarget)
			f.entries[0].thaw()
		}},
		{name: "all decode agents killed at prefill", stage: "prefill", mayLoseCalls: true, inject: func(f *fleet, _ int) {
			for _, a := range f.decodeAgents {
				a.kill()
			}
		}},
		{name: "all decode engines killed", mayLoseCalls: true, inject: func(f *fleet, i int) {
			for _, e := range f.decodeEngines {
				e.kill()
			}
		}},
	}
}

// TestRequestSurvives injects one failure while calls are in flight. Every call
// must get its whole answer if another endpoint can give it, and within a bound
// after the failure.
func TestRequestSurvives(t *testing.T) {
	for _, k := range failureCases() {
		for s := range *seedCount {
			t.Run(k.name, func(t *testing.T) {
				t.Parallel()
				testRequestSurvives(t, k, rand.New(rand.NewPCG(*firstSeed+uint64(s), 2)))
			})
		}
	}
}

func testRequestSurvives(t *testing.T, k failureCase, random *rand.Rand) {
	prefill, decode := engineSettings{}, engineSettings{StepMicroseconds: 60_000}
	if k.stage == "prefill" {
		prefill.PrefillTokensPerSecond = 100
	}
	f := newFleet(t, 2, 2, 2, prefill, decode)
	wait := f.startCalls(6, 100, 40)
	engineIndex := f.awaitBusyEngine(k.stage)
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	failedAt := time.Now()
	k.inject(f, engineIndex)
	wait()
	elapsed := time.Since(failedAt)
	calls := f.history.readCalls()
	killed := map[string]bool{"entry-0": k.entryKilled}
	reportViolations(t, checkAnswers(calls), checkOutcomes(calls, killed), checkNotRun(calls, readEngineRecords(t, f.engines()...)))
	checkNothingHeld(t, f.engines()...)
	for _, r := range calls {
		if !k.mayLoseCalls && r.Ends != 1 {
			t.Errorf("call was lost though another endpoint could serve it: status %d, code %s, error %s", r.Status, r.Code, r.Error)
		}
	}
	t.Logf("all calls ended %s after the failure", elapsed.Round(time.Millisecond))
	if !k.mayLoseCalls && elapsed > detectionTarget+faultFreeLimit+k.serialTime {
		t.Errorf("calls took %s after the failure, longer than the bound", elapsed)
	}
}
