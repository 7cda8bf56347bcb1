package callers

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Answer writes the answer to one completion, whole or as server-sent events.
// It is used by one goroutine.
type Answer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	call    Completion
	request string
	created int64
	// text collects a whole answer.
	text strings.Builder
	// tokens counts those that were sent or collected.
	tokens int
	// started is true once the header of a stream is written.
	started bool
}

// writeTimeout is how long a caller may leave its connection full.
const writeTimeout = 30 * time.Second

// LimitWrite bounds the time that a caller may take to read what is written
// next.
func LimitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// NewAnswer returns an answer of which nothing is written yet.
func NewAnswer(w http.ResponseWriter, c Completion, request string) *Answer {
	return &Answer{
		writer:  w,
		control: http.NewResponseController(w),
		call:    c,
		request: request,
		created: time.Now().Unix(),
	}
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *Answer) body(object string, c choice) answerBody {
	return answerBody{ID: a.request, Object: object, Created: a.created, Model: a.call.Model, Choices: []choice{c}}
}

// Token takes the next token of the answer.
func (a *Answer) Token(text string) error {
	a.tokens++
	if !a.call.Stream {
		a.text.WriteString(text)
		return nil
	}
	return a.event(a.chunk(text, nil))
}

func (a *Answer) chunk(text string, finish *string) answerBody {
	if a.call.Chat {
		return a.body("chat.completion.chunk", choice{Delta: &content{Content: text}, FinishReason: finish})
	}
	return a.body("text_completion", choice{Text: text, FinishReason: finish})
}

// End writes the end marker of a stream, or the whole answer.
func (a *Answer) End(reason string) error {
	if !a.call.Stream {
		return a.whole(reason)
	}
	last := a.chunk("", &reason)
	last.Usage = &usage{CompletionTokens: a.tokens}
	if err := a.event(last); err != nil {
		return err
	}
	return a.write("data: [DONE]\n\n")
}

func (a *Answer) whole(reason string) error {
	c, object := choice{Text: a.text.String(), FinishReason: &reason}, "text_completion"
	if a.call.Chat {
		c, object = choice{Message: &content{Role: "assistant", Content: a.text.String()}, FinishReason: &reason}, "chat.completion"
	}
	b := a.body(object, c)
	b.Usage = &usage{CompletionTokens: a.tokens}
	LimitWrite(a.writer)
	a.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.writer).Encode(b)
}

// Refuse ends the answer with a refusal: a whole answer where nothing was
// written yet, an error event otherwise.
func (a *Answer) Refuse(e *RefusalError) {
	if !a.started {
		Refuse(a.writer, a.request, e)
		return
	}
	b, err := json.Marshal(e.body(a.request))
	if err != nil {
		return
	}
	_ = a.write("event: error\ndata: " + string(b) + "\n\n")
}

func (a *Answer) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write("data: " + string(b) + "\n\n")
}

// write sends text at once. A caller that does not read loses its connection
// after writeTimeout.
func (a *Answer) write(s string) error {
	if !a.started {
		a.started = true
		h := a.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.writer.Write([]byte(s)); err != nil {
		return err
	}
	return a.control.Flush()
}
