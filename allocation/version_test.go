package allocation

import (
	"fmt"
	"testing"
	"time"

	"ebonyreel/stages"
)

// TestStartedStreamVersion guards against started streams that are granted the memory of
// an engine of another software version, and against ones that wait without need.
func TestStartedStreamVersion(t *testing.T) {
	now := time.Now()
	p := &Pool{Memory: 10_000, Slots: 2, TypicalOutput: 100, Speeds: Speeds{PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond}}
	versions := map[string]string{}
	var engines []Engine
	for i := range 6 {
		e := Engine{Name: fmt.Sprint("e", i), Stage: stages.Decode, Version: fmt.Sprint("v", 1+i%2)}
		engines, versions[e.Name] = append(engines, e), e.Version
	}
	p.SetEngines(engines)
	for i := range 12 {
		p.Enqueue(&Request{ID: fmt.Sprint("r", i), PromptTokens: 100, OnTimeUntil: now.Add(time.Second), AbandonAt: now.Add(time.Minute), Started: true, Version: "v2"})
	}
	p.Enqueue(&Request{ID: "new", PromptTokens: 100, OnTimeUntil: now.Add(time.Second), AbandonAt: now.Add(time.Minute)})
	grants, refused := p.Decide(now)
	started := 0
	for _, g := range grants {
		if g.Request.Started {
			started++
		}
		if g.Request.Started && versions[g.Decode] != "v2" {
			t.Errorf("%s of version v2 is granted memory at %s of %s", g.Request.ID, g.Decode, versions[g.Decode])
		}
	}
	if started != 6 || len(grants) != 7 || len(refused) != 0 {
		t.Errorf("%d of 6 started streams and %d of 7 requests are granted memory, %d refused", started, len(grants), len(refused))
	}
}

// TestPrefillVersion guards against prompts that an engine of another software version
// computes than the one that decodes, and against requests that wait for the prefill engines
// of one version while those of another are free.
func TestPrefillVersion(t *testing.T) {
	now := time.Now()
	p := &Pool{Memory: 100_000, Slots: 100, TypicalOutput: 100, Speeds: Speeds{PrefillPerToken: time.Millisecond, DecodePerToken: time.Millisecond}}
	versions := map[string]string{}
	var engines []Engine
	for i, version := range []string{"v1", "v1", "v2", "v2", "v3"} {
		e := Engine{Name: fmt.Sprint("decode-", i), Stage: stages.Decode, Version: version}
		engines, versions[e.Name] = append(engines, e), version
	}
	for i, version := range []string{"v1", "v2", "v2"} {
		e := Engine{Name: fmt.Sprint("prefill-", i), Stage: stages.Prefill, Version: version}
		engines, versions[e.Name] = append(engines, e), version
	}
	p.SetEngines(engines)
	add := func(id string, started bool, version string) {
		p.Enqueue(&Request{
			ID: id, PromptTokens: 100, OnTimeUntil: now.Add(time.Second), AbandonAt: now.Add(time.Minute), Prefill: true, Started: started, Version: version,
		})
	}
	// Each prompt takes 100 ms, so that four or five fill the backlog of an engine.
	for i := range 30 {
		add(fmt.Sprint("r", i), false, "")
	}
	add("third", true, "v3")
	grants, _ := p.Decide(now)
	used := map[string]int{}
	for _, g := range grants {
		used[g.Prefill]++
		if g.Prefill != "" && versions[g.Prefill] != versions[g.Decode] {
			t.Errorf("%s: %s of %s decodes what %s of %s computes", g.Request.ID, g.Decode, versions[g.Decode], g.Prefill, versions[g.Prefill])
		}
		if g.Request.ID == "third" && (g.Prefill != "" || versions[g.Decode] != "v3") {
			t.Errorf("the stream of version v3 is computed at %q and decoded at %s", g.Prefill, g.Decode)
		}
	}
	for _, name := range []string{"prefill-0", "prefill-1", "prefill-2"} {
		if used[name] < 4 {
			t.Errorf("%s computes %d prompts, while requests wait", name, used[name])
		}
	}
}
