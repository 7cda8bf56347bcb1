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
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes = 4 << 20
	// maxTokensAsked bounds the max_tokens field.
	maxTokensAsked = 1_000_000
	// readTimeout is how long a caller may take to send a body.
	readTimeout = 10 * time.Second
)

// Completion is one completion or chat call.
type Completion struct {
	Model   string
	Adapter string
	Prompt  string
	// MaxTokens is zero where the caller names no bound.
	MaxTokens int
	Stream    bool
	// Chat is true for the chat form of call and answer.
	Chat bool
}

// completionBody is the call on the wire. Fields of the protocol that have no
// meaning here are accepted and ignored, as clients send many of them.
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

// ReadCompletion reads a call. The error is a *RefusalError. A model is named
// as in "model" or "model:adapter".
func ReadCompletion(w http.ResponseWriter, r *http.Request, chat bool) (Completion, error) {
	var b completionBody
	body, err := ReadBody(w, r)
	if err != nil {
		return Completion{}, err
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, misunderstood("body: %v", err)
	}
	if b.MaxTokens < 0 || b.MaxTokens > maxTokensAsked {
		return Completion{}, misunderstood("max_tokens: found %d, expected 0 to %d", b.MaxTokens, maxTokensAsked)
	}
	c := Completion{MaxTokens: b.MaxTokens, Stream: b.Stream, Chat: chat, Prompt: b.Prompt}
	c.Model, c.Adapter, _ = strings.Cut(b.Model, ":")
	if chat {
		c.Prompt = flatten(b.Messages)
	}
	if c.Prompt == "" {
		return Completion{}, misunderstood("prompt: found nothing, expected a text")
	}
	return c, nil
}

// ReadBody reads the body of a call. It is bounded in size, and in the time
// that a caller may take to send it. The error is a *RefusalError.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, misunderstood("body: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

func misunderstood(format string, args ...any) *RefusalError {
	return &RefusalError{Code: NotUnderstood, Message: fmt.Sprintf(format, args...)}
}

// flatten joins the messages of a chat into one prompt.
func flatten(all []message) string {
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

// WriteModels answers with a list of models.
func WriteModels(w http.ResponseWriter, names []string) {
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		out.Data = append(out.Data, modelItem{ID: n, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
