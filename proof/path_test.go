package proof

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyreel/standin/tokens"
)

// startArchive starts a small deployment of examples/archive.json behind links, and
// returns it with its entry.
func startArchive(t *testing.T) (*cluster, *process) {
	t.Helper()
	c := newCluster(t, "archive-trial")
	c.useLinks("control-0", "entry-0", "prefill-0", "prefill-0-engine", "decode-0", "decode-0-engine", "service-0")
	c.startControl("control-0")
	c.submitFile("../examples/archive.json")
	e := c.startEntry("entry-0")
	c.startEngine("prefill-0", prefillRole, "summariser", engineSettings{})
	c.startEngine("decode-0", decodeRole, "summariser", engineSettings{})
	c.startService("service-0", "request-desk", 0)
	c.awaitMembers(4, e)
	return c, e
}

// TestOtherDomain starts an endpoint in a failure domain that the document does
// not declare. It must join and get no work, so a call is refused as not run.
func TestOtherDomain(t *testing.T) {
	c := newCluster(t, "qantara-trial")
	c.startControl("control-0")
	c.submitFile("../examples/qantara.json")
	e := c.startEntry("entry-0")
	c.startService("service-0", "bot-api", 0)
	c.awaitMembers(2, e)
	r := sendCall(context.Background(), e, http.MethodGet, "/services/bot-api/status/main", "ci-key", "", "")
	if r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, `"code":"not_run"`) {
		t.Fatalf("status %d, body %s", r.status, r.body)
	}
	if r.header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
}

// TestWholePath sends each kind of call through an entry, agents and stand-ins.
func TestWholePath(t *testing.T) {
	_, e := startArchive(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()

	prompt := strings.Repeat("the deed of the estate ", 40)
	body, _ := json.Marshal(map[string]any{"model": "summariser", "prompt": prompt, "max_tokens": 40})
	r := sendCall(ctx, e, http.MethodPost, "/v1/completions", "reading-room-key", "", string(body))
	want, _ := tokens.ExpectedAnswer(prompt, 40)
	if r.status != http.StatusOK || !strings.Contains(r.body, want) {
		t.Fatalf("completion: status %d, error %v, body %s", r.status, r.err, r.body)
	}
	if r.header.Get("X-Request-Id") == "" {
		t.Error("the answer has no request id")
	}
	checkChat(ctx, t, e)
	checkWholeChat(ctx, t, e)
	for range 2 {
		r = sendCall(ctx, e, http.MethodPost, "/services/request-desk/holds", "reading-room-key", "hold-1", `{"Folio":7}`)
		if r.status != http.StatusOK || !strings.Contains(r.body, `"Runs":1`) {
			t.Fatalf("hold: status %d, error %v, body %s", r.status, r.err, r.body)
		}
	}
	r = sendCall(ctx, e, http.MethodPost, "/services/request-desk/holds", "reading-room-key", "hold-1", `{"Folio":8}`)
	if r.status != http.StatusUnprocessableEntity || !strings.Contains(r.body, `"code":"conflict"`) {
		t.Fatalf("other body under the same key: status %d, body %s", r.status, r.body)
	}
	r = sendCall(ctx, e, http.MethodGet, "/services/request-desk/catalogue/1", "nobody", "", "")
	if r.status != http.StatusForbidden || !strings.Contains(r.body, `"code":"not_allowed"`) {
		t.Fatalf("unknown caller: status %d, body %s", r.status, r.body)
	}
}

// checkWholeChat requests a chat answer without streaming and checks it.
func checkWholeChat(ctx context.Context, t *testing.T, e *process) {
	t.Helper()
	const chat = `{"model":"summariser","max_tokens":20,"messages":[{"role":"user","content":"summarise the deed"}]}`
	r := sendCall(ctx, e, http.MethodPost, "/v1/chat/completions", "reading-room-key", "", chat)
	want, _ := tokens.ExpectedAnswer("user: summarise the deed\n", 20)
	if r.status != http.StatusOK || !strings.Contains(r.body, `"message":{"role":"assistant","content":"`+want) {
		t.Fatalf("whole chat: status %d, error %v, body %s", r.status, r.err, r.body)
	}
}

// checkChat requests a streamed chat answer and checks its events.
func checkChat(ctx context.Context, t *testing.T, e *process) {
	t.Helper()
	const chat = `{"model":"summariser:deeds","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"summarise the deed"}]}`
	r := sendCall(ctx, e, http.MethodPost, "/v1/chat/completions", "reading-room-key", "", chat)
	want, _ := tokens.ExpectedAnswer("user: summarise the deed\n", 20)
	var got strings.Builder
	for line := range strings.Lines(r.body) {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data, ok := strings.CutPrefix(line, "data: {")
		if ok && json.Unmarshal([]byte("{"+data), &chunk) == nil {
			got.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if got.String() != want || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Fatalf("chat: status %d, error %v, body %s", r.status, r.err, r.body)
	}
}
