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
