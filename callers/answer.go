package callers

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// AnswerWriter writes the answer to one completion call, as one JSON body or as
// a stream of server-sent events. It must be used by one goroutine only.
type AnswerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	call       Completion
	requestID  string
	created    int64
	// text collects the text of an answer that is not streamed.
	text strings.Builder
	// tokens is the number of tokens sent or collected.
	tokens int
	// started is true once the headers of a stream are set.
	started bool
}

// writeTimeout is how long one write to a caller may block.
const writeTimeout = 30 * time.Second

// SetWriteDeadline sets a write deadline of writeTimeout from now, so that a
// caller that does not read loses its connection.
func SetWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// NewAnswerWriter returns an empty answer to a call. The request ID is written
// as the ID of the answer.
func NewAnswerWriter(w http.ResponseWriter, c Completion, requestID string) *AnswerWriter {
	return &AnswerWriter{
		writer:     w,
		controller: http.NewResponseController(w),
		call:       c,
		requestID:  requestID,
		created:    time.Now().Unix(),
	}
}

// choice is one choice of an answer or event on the wire.
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

// answerBody is an answer or event on the wire.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// body returns the JSON body of an answer or of one event.
func (a *AnswerWriter) body(object string, c choice) answerBody {
	return answerBody{ID: a.requestID, Object: object, Created: a.created, Model: a.call.Model, Choices: []choice{c}}
}

// WriteToken adds the next token to the answer. A stream sends it at once. An error
// means that the caller's connection failed.
func (a *AnswerWriter) WriteToken(text string) error {
	a.tokens++
	if !a.call.Stream {
		a.text.WriteString(text)
		return nil
	}
	return a.writeEvent(a.streamChunk(text, nil))
}

// streamChunk returns the body of one event of a stream. The finish reason is nil
// for all but the last event.
func (a *AnswerWriter) streamChunk(text string, finish *string) answerBody {
	if a.call.Chat {
		return a.body("chat.completion.chunk", choice{Delta: &content{Content: text}, FinishReason: finish})
	}
	return a.body("text_completion", choice{Text: text, FinishReason: finish})
}

// End completes the answer with a finish reason. It writes the last event and the
// end marker of a stream, or else the whole answer.
func (a *AnswerWriter) End(reason string) error {
	if !a.call.Stream {
		return a.writeWhole(reason)
	}
	last := a.streamChunk("", &reason)
	last.Usage = &usage{CompletionTokens: a.tokens}
	if err := a.writeEvent(last); err != nil {
		return err
	}
	return a.write("data: [DONE]\n\n")
}

// writeWhole writes the whole answer as one JSON body.
func (a *AnswerWriter) writeWhole(reason string) error {
	c, object := choice{Text: a.text.String(), FinishReason: &reason}, "text_completion"
	if a.call.Chat {
		c, object = choice{Message: &content{Role: "assistant", Content: a.text.String()}, FinishReason: &reason}, "chat.completion"
	}
	b := a.body(object, c)
	b.Usage = &usage{CompletionTokens: a.tokens}
	SetWriteDeadline(a.writer)
	a.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.writer).Encode(b)
}

// WriteRefusal ends the answer with a refusal. It writes an HTTP error response if
// nothing was written yet, and otherwise an error event.
func (a *AnswerWriter) WriteRefusal(e *RefusalError) {
	if !a.started {
		WriteRefusal(a.writer, a.requestID, e)
		return
	}
	b, err := json.Marshal(e.body(a.requestID))
	if err != nil {
		return
	}
	_ = a.write("event: error\ndata: " + string(b) + "\n\n")
}

// writeEvent sends a value as one event in JSON.
func (a *AnswerWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write("data: " + string(b) + "\n\n")
}

// write sends text to the caller at once. The connection of a caller that does not
// read fails after writeTimeout.
func (a *AnswerWriter) write(s string) error {
	if !a.started {
		a.started = true
		h := a.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	_ = a.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.writer.Write([]byte(s)); err != nil {
		return err
	}
	return a.controller.Flush()
}
