package proof

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyreel/engines"
)

// memoryTarget is the time after which no engine memory may be held for a
// caller that is gone.
const memoryTarget = 5 * time.Second

// memoryCase is one way in which a caller is gone while its request is at a
// stage.
type memoryCase struct {
	way string
	// stage is where the request is: "decode", "prefill" or "export".
	stage string
}

// TestMemoryFreed lets the caller, the entry or the agent go at each stage of
// a request, and looks at what the engines hold.
func TestMemoryFreed(t *testing.T) {
	for _, k := range []memoryCase{
		{way: "caller gone", stage: "decode"},
		{way: "caller gone", stage: "prefill"},
		{way: "entry killed", stage: "decode"},
		{way: "entry killed", stage: "prefill"},
		{way: "entry killed", stage: "export"},
		{way: "entry frozen", stage: "decode"},
		{way: "entry frozen", stage: "prefill"},
		{way: "entry frozen", stage: "export"},
		{way: "agent restarted", stage: "decode"},
		{way: "agent restarted", stage: "prefill"},
		{way: "agent restarted", stage: "export"},
		{way: "agent restarted while cut", stage: "decode"},
		{way: "cancels silent", stage: "decode"},
	} {
		for s := range *seeds {
			t.Run(k.way+" at "+k.stage, func(t *testing.T) {
				t.Parallel()
				memoryFreed(t, k, rand.New(rand.NewPCG(*seed+uint64(s), 1)))
			})
		}
	}
}

// settings returns settings that keep a request at a stage.
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

func memoryFreed(t *testing.T, k memoryCase, random *rand.Rand) {
	c := newCluster(t, "archive-trial")
	c.control("control-0")
	c.submit("../examples/archive.json")
	c.proxy("decode-0-engine")
	e := c.entry("entry-0")
	prefill, decode := k.settings()
	prefiller, prefillEngine := c.engine("prefill-0", prefillRole, "summariser", prefill)
	decoder, decodeEngine := c.engine("decode-0", decodeRole, "summariser", decode)
	c.await(3, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		prompt := strings.Repeat("deed ", 200) + string(rune('a'+random.IntN(26)))
		body, _ := json.Marshal(completionBody{Model: "summariser", Prompt: prompt, Stream: true})
		go call(ctx, e, http.MethodPost, "/v1/completions", "reading-room-key", "", string(body))
	}
	engine, agent := prefillEngine, prefiller
	if k.stage == "decode" {
		engine, agent = decodeEngine, decoder
	}
	eventually(t, 10*time.Second, k.stage+" began", func() bool { return holds(t, engine) > 0 })
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	link := c.links["decode-0-engine"]
	switch k.way {
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
		time.Sleep(memoryTarget)
		link.heal()
	case "cancels silent":
		link.silence(toServer, toClient)
		cancel()
	}
	eventually(t, memoryTarget, "memory freed", func() bool { return holds(t, prefillEngine)+holds(t, decodeEngine) == 0 })
	if !decoder.stop(10 * time.Second) {
		t.Error("agent did not stop")
	}
}

// completionBody is a caller's completion call.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// holds counts what an engine runs and holds, asked past any link.
func holds(t testing.TB, engine *proc) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := engines.NewClient(engine.address).Running(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return len(r.Requests) + len(r.Exports) + r.PiecesUsed
}
