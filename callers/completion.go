package callers

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// MaxBodyBytes is the largest accepted body of a call.
	MaxBodyBytes = 4 << 20
	// maxRequestedTokens is the largest accepted value of max_tokens.
	maxRequestedTokens = 1_000_000
	// readTimeout is how long a caller may take to send a body.
	readTimeout = 10 * time.Second
)

// Completion is one completion or chat completion call.
type Completion struct {
	Model string
	// Adapter is the name of an adapter of the model; it is empty for none.
	Adapter string
	Prompt  string
	// MaxTokens is the max_tokens of the call; zero means that it sets none.
	MaxTokens int
	Stream    bool
	// Chat is true for a chat completion call.
	Chat bool
}

// completionBody is a call on the wire. Other fields of the protocol are ignored
// and not refused, as clients send many of them.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ReadCompletion reads and checks a completion call. A model is named as "model" or
// "model:adapter". The error is a *RefusalError.
func ReadCompletion(w http.ResponseWriter, r *http.Request, chat bool) (Completion, error) {
	var b completionBody
	body, err := ReadBody(w, r)
	if err != nil {
		return Completion{}, err
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, invalidRequest("body: %v", err)
	}
	if b.MaxTokens < 0 || b.MaxTokens > maxRequestedTokens {
		return Completion{}, invalidRequest("max_tokens: found %d, expected 0 to %d", b.MaxTokens, maxRequestedTokens)
	}
	c := Completion{MaxTokens: b.MaxTokens, Stream: b.Stream, Chat: chat, Prompt: b.Prompt}
	c.Model, c.Adapter, _ = strings.Cut(b.Model, ":")
	if chat {
		c.Prompt = joinMessages(b.Messages)
	}
	if c.Prompt == "" {
		return Completion{}, invalidRequest("prompt: found nothing, expected a text")
	}
	return c, nil
}

// ReadBody reads the body of a call. The body may have up to MaxBodyBytes and take
// up to readTimeout to arrive. The error is a *RefusalError.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, invalidRequest("body: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// invalidRequest returns the refusal of an invalid call.
func invalidRequest(format string, args ...any) *RefusalError {
	return &RefusalError{Code: InvalidRequest, Message: fmt.Sprintf(format, args...)}
}

// joinMessages joins the messages of a chat into one prompt, each as its role, a
// colon and its content.
func joinMessages(all []message) string {
	var b strings.Builder
	for _, m := range all {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// WriteModels answers a call with the list of models.
func WriteModels(w http.ResponseWriter, names []string) {
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		out.Data = append(out.Data, modelItem{ID: n, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
