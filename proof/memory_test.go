package proof

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyreel/answers"
	"ebonyreel/engines"
)

// memoryReleaseTarget is the time after which no engine may hold memory for a
// caller that is gone.
const memoryReleaseTarget = 5 * time.Second

// memoryCase is one failure that abandons a request at a stage.
type memoryCase struct {
	failure string
	// stage is the stage of the request at the failure: "decode", "prefill" or
	// "export".
	stage string
}

// TestMemoryFreed abandons a request at each of its stages by a failure of the
// caller, the entry, the agent or a link, and checks that the engines release its
// memory in time.
func TestMemoryFreed(t *testing.T) {
	for _, k := range []memoryCase{
		{failure: "caller gone", stage: "decode"},
		{failure: "caller gone", stage: "prefill"},
		{failure: "entry killed", stage: "decode"},
		{failure: "entry killed", stage: "prefill"},
		{failure: "entry killed", stage: "export"},
		{failure: "entry frozen", stage: "decode"},
		{failure: "entry frozen", stage: "prefill"},
		{failure: "entry frozen", stage: "export"},
		{failure: "agent restarted", stage: "decode"},
		{failure: "agent restarted", stage: "prefill"},
		{failure: "agent restarted", stage: "export"},
		{failure: "agent restarted while cut", stage: "decode"},
		{failure: "cancels silent", stage: "decode"},
	} {
		for s := range *seedCount {
			t.Run(k.failure+" at "+k.stage, func(t *testing.T) {
				t.Parallel()
				testMemoryFreed(t, k, rand.New(rand.NewPCG(*firstSeed+uint64(s), 1)))
			})
		}
	}
}

// settings returns engine settings that hold a request at the stage of the case.
func (k memoryCase) settings() (prefill, decode engineSettings) {
	switch k.stage {
	case "decode":
		decode.StepMicroseconds = 300_000
	case "prefill":
		prefill.PrefillTokensPerSecond = 20
	case "export":
		prefill.EvictMilliseconds, prefill.StallPercent = 60_000, 100
	}
	return prefill, decode
}

func testMemoryFreed(t *testing.T, k memoryCase, random *rand.Rand) {
	c := newCluster(t, "archive-trial")
	c.startControl("control-0")
	c.submitFile("../examples/archive.json")
	c.useLinks("decode-0-engine")
	e := c.startEntry("entry-0")
	prefill, decode := k.settings()
	prefillAgent, prefillEngine := c.startEngine("prefill-0", prefillRole, "summariser", prefill)
	decodeAgent, decodeEngine := c.startEngine("decode-0", decodeRole, "summariser", decode)
	c.awaitMembers(3, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		prompt := strings.Repeat("deed ", 200) + string(rune('a'+random.IntN(26)))
		body, _ := json.Marshal(completionBody{Model: "summariser", Prompt: prompt, Stream: true})
		go sendCall(ctx, e, http.MethodPost, "/v1/completions", "reading-room-key", "", string(body))
	}
	engine, agent := prefillEngine, prefillAgent
	if k.stage == "decode" {
		engine, agent = decodeEngine, decodeAgent
	}
	eventually(t, 10*time.Second, k.stage+" started", func() bool { return countHeld(t, engine) > 0 })
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	link := c.links["decode-0-engine"]
	switch k.failure {
	case "caller gone":
		cancel()
	case "entry killed":
		e.kill()
	case "entry frozen":
		e.freeze()
		defer e.thaw()
	case "agent restarted":
		agent.kill()
		e.kill()
		c.launch(agent)
	case "agent restarted while cut":
		link.cut(toServer, toClient)
		agent.kill()
		e.kill()
		c.launch(agent)
		time.Sleep(memoryReleaseTarget)
		link.heal()
	case "cancels silent":
		link.blackholeOpen(toServer, toClient)
		cancel()
	}
	eventually(t, memoryReleaseTarget, "engine memory released", func() bool { return countHeld(t, prefillEngine)+countHeld(t, decodeEngine) == 0 })
	if !decodeAgent.stop(10 * time.Second) {
		t.Error("decode agent did not stop")
	}
}

// completionBody is the request body of a completion call.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// countHeld returns the number of requests, exports and memory pieces that an
// engine holds. It asks the engine directly, not through a link.
func countHeld(t testing.TB, engine *process) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := engines.NewClient(engine.address, &answers.Budget{}).Running(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return len(r.Requests) + len(r.Exports) + r.PiecesUsed
}
