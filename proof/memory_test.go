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

// TestMemoryFreed lets the caller go, kills the entry, or freezes it, while an
// answer is decoded, and looks at the engine.
func TestMemoryFreed(t *testing.T) {
	for _, way := range []string{"caller gone", "entry killed", "entry frozen"} {
		for s := range *seeds {
			t.Run(way, func(t *testing.T) { memoryFreed(t, way, rand.New(rand.NewPCG(*seed+uint64(s), 1))) })
		}
	}
}

func memoryFreed(t *testing.T, way string, random *rand.Rand) {
	c := newCluster(t, "archive-trial")
	c.control("control-0")
	c.submit("../examples/archive.json")
	e := c.entry("entry-0")
	c.engine("prefill-0", prefillRole, "summariser", engineSettings{})
	agent, engine := c.engine("decode-0", decodeRole, "summariser", engineSettings{StepMicroseconds: 300_000})
	c.await(3, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body, _ := json.Marshal(map[string]any{"model": "summariser", "prompt": strings.Repeat("deed ", 200), "stream": true})
	go call(ctx, e, http.MethodPost, "/v1/completions", "reading-room-key", "", string(body))
	client := engines.NewClient(engine.address)
	held := func() int {
		r, err := client.Running(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return r.PiecesUsed
	}
	eventually(t, 10*time.Second, "decode began", func() bool { return held() > 0 })
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	switch way {
	case "caller gone":
		cancel()
	case "entry killed":
		e.kill()
	case "entry frozen":
		e.freeze()
		defer e.thaw()
	}
	eventually(t, memoryTarget, "memory freed", func() bool { return held() == 0 })
	if !agent.stop(10 * time.Second) {
		t.Error("agent did not stop")
	}
}
