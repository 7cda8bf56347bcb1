package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"ebonyreel/standin/tokens"
)

type callStatus int

const (
	// succeeded calls got the complete and expected answer.
	succeeded callStatus = iota
	// refused calls got an error status with an error code.
	refused
	// cancelled calls were ended by the caller.
	cancelled
	// broken calls got no answer, a malformed one, a stream with an error event
	// or without its end marker, or an error status without a code.
	broken
	// wrong calls got an unexpected answer, or ran more than once.
	wrong
)

type outcome struct {
	status callStatus
	// good is true when no target was missed; it counts for succeeded calls only.
	good bool
	// late is true when a service call missed its deadline.
	late bool
	// lateFirst and lateBetween are true when a completion missed the target for
	// its first token or for its mean time between tokens.
	lateFirst   bool
	lateBetween bool
	// latency is the time to the first token, or to the whole answer when it is
	// not streamed. tokenGaps are the times between tokens.
	latency   time.Duration
	tokenGaps []time.Duration
	// retryAfter is the delay that a refusal asks for; zero means no retry.
	retryAfter time.Duration
}

// call is one call of a stream. Its prompt and addresses are chosen before it is
// sent.
type call struct {
	run    *run
	stream Stream
	entry  netip.AddrPort
	prompt string
	// id is unique in a run. It is the idempotency key of keyed calls and the
	// request ID of direct ones.
	id string
	// cancelAfterTokens is zero when the caller never cancels.
	cancelAfterTokens int
	// startedAt is the time of the first attempt.
	startedAt time.Time
	// prefillEngine and decodeEngine are set for direct calls.
	prefillEngine netip.AddrPort
	decodeEngine  netip.AddrPort
}

const (
	percent              = 100
	maxCancelAfterTokens = 10
	maxAnswerBytes       = 8 << 20
	promptFiller         = "deed folio estate parish ledger surveyor boundary chief witness grant "
)

func (r *run) newCall(s Stream, random *rand.Rand, n int) *call {
	c := &call{run: r, stream: s, entry: r.plan.Entries[random.IntN(len(r.plan.Entries))]}
	c.id = fmt.Sprintf("%s-%d-%d", s.Name, r.seed, n)
	if s.Model == "" {
		return c
	}
	if s.Direct {
		c.prefillEngine = r.plan.PrefillEngines[n%len(r.plan.PrefillEngines)]
		c.decodeEngine = r.plan.DecodeEngines[n%len(r.plan.DecodeEngines)]
	}
	promptTokens := s.PromptTokens[0] + random.IntN(max(1, s.PromptTokens[1]-s.PromptTokens[0]))
	sharedTokens := 0
	if random.IntN(percent) < s.SharedPercent {
		sharedTokens = s.SharedTokens
	}
	c.prompt = fillText(sharedTokens*tokens.BytesPerToken, "shared ") + fillText((promptTokens-sharedTokens)*tokens.BytesPerToken, c.id+" ")
	if random.IntN(percent) < r.plan.CancelPercent {
		c.cancelAfterTokens = 1 + random.IntN(maxCancelAfterTokens)
	}
	return c
}

// fillText returns a text of a length in bytes that starts with a prefix.
func fillText(length int, prefix string) string {
	if length <= 0 {
		return ""
	}
	n := length/len(promptFiller) + 1
	return (prefix + strings.Repeat(promptFiller, n))[:length]
}

// runWithRetries makes the call and retries refusals that have a Retry-After, until
// the plan's GiveUpSeconds have passed. The latency of a completion counts from the
// first attempt, that of a service call from the last.
func (c *call) runWithRetries() outcome {
	c.startedAt = time.Now()
	retryUntil := time.Now().Add(time.Duration(c.run.plan.GiveUpSeconds * float64(time.Second)))
	for {
		o := c.attempt()
		if o.status != refused || o.retryAfter == 0 || time.Now().Add(o.retryAfter).After(retryUntil) {
			return o
		}
		time.Sleep(o.retryAfter)
	}
}

func (c *call) attempt() outcome {
	if c.stream.Model == "" {
		return c.runServiceCall()
	}
	if c.stream.Direct {
		return c.attemptDirectCompletion()
	}
	return c.attemptCompletion()
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (c *call) sendRequest(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.stream.Key)
	r.Header.Set("Content-Type", "application/json")
	if c.stream.Keyed {
		r.Header.Set("Idempotency-Key", c.id)
	}
	return c.run.http.Do(r)
}

func (c *call) attemptCompletion() outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b, err := json.Marshal(completionBody{
		Model: c.stream.Model, Prompt: c.prompt, MaxTokens: c.stream.MaxTokens, Stream: !c.stream.Whole,
	})
	if err != nil {
		return outcome{status: broken}
	}
	res, err := c.sendRequest(ctx, http.MethodPost, "/v1/completions", b)
	if err != nil {
		return outcome{status: broken}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	if c.stream.Whole {
		return c.readWhole(res.Body, c.startedAt)
	}
	return c.readStream(res.Body, c.startedAt)
}

// readRefusal reads an answer with an error status. Without an error code it
// counts as broken.
func readRefusal(res *http.Response) outcome {
	var b struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(res.Body).Decode(&b) != nil || b.Error.Code == "" {
		return outcome{status: broken}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return outcome{status: refused, retryAfter: time.Duration(seconds) * time.Second}
}

type answerBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// readWhole reads an answer that is not streamed. It has no latency targets.
func (c *call) readWhole(r io.Reader, start time.Time) outcome {
	var b answerBody
	if err := json.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(&b); err != nil || len(b.Choices) == 0 {
		return outcome{status: broken}
	}
	return c.checkAnswer(b.Choices[0].Text, outcome{latency: time.Since(start), good: true})
}

// checkAnswer compares the text with the expected answer and sets the status. It
// prints the answer if the run still has answers to print.
func (c *call) checkAnswer(text string, o outcome) outcome {
	want, _ := tokens.ExpectedAnswer(c.prompt, c.stream.MaxTokens)
	if text != want {
		o.status = wrong
		return o
	}
	o.status = succeeded
	if c.run.claimPrint() {
		fmt.Printf("%s: %.40q… -> %.60q…\n", c.stream.Name, c.prompt, text)
	}
	return o
}

// readStream reads server-sent events up to the end marker, and records the time
// of each token.
func (c *call) readStream(r io.Reader, start time.Time) outcome {
	var o outcome
	var text strings.Builder
	lastToken := start
	lines := bufio.NewScanner(r)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return c.checkAnswer(text.String(), c.applyTargets(o))
		}
		var b answerBody
		if json.Unmarshal([]byte(data), &b) != nil || len(b.Choices) == 0 {
			return outcome{status: broken}
		}
		if b.Choices[0].Text == "" {
			continue
		}
		text.WriteString(b.Choices[0].Text)
		now := time.Now()
		if n == 0 {
			o.latency = now.Sub(start)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
		n++
		if n == c.cancelAfterTokens {
			return outcome{status: cancelled}
		}
	}
	return outcome{status: broken}
}

// applyTargets compares the latencies of a completion with both targets. The target
// for the first token is extended by the time of the prompt's own prefill.
func (c *call) applyTargets(o outcome) outcome {
	p := c.run.plan
	prefillSeconds := float64(tokens.PromptTokens(c.prompt)) / p.PrefillTokensPerSecond
	targetSeconds := p.FirstTokenMilliseconds/1000 + prefillSeconds
	gapSum := time.Duration(0)
	for _, g := range o.tokenGaps {
		gapSum += g
	}
	meanGapSeconds := gapSum.Seconds() / float64(max(1, len(o.tokenGaps)))
	o.lateFirst = o.latency.Seconds() > targetSeconds
	o.lateBetween = meanGapSeconds > p.BetweenTokensMilliseconds/1000
	o.good = !o.lateFirst && !o.lateBetween
	return o
}

// runServiceCall calls a plain service. A keyed call is sent twice, as by a caller
// that lost the answer, and must run only once. The latency includes both sends.
func (c *call) runServiceCall() outcome {
	start := time.Now()
	o := c.attemptServiceCall()
	if c.stream.Keyed && o.status == succeeded {
		o = c.attemptServiceCall()
	}
	o.latency = time.Since(start)
	o.good = o.status == succeeded
	o.late = c.stream.DeadlineMilliseconds > 0 && o.latency.Seconds()*1000 > c.stream.DeadlineMilliseconds
	return o
}

// attemptServiceCall sends a service call once. The answer tells how often the call
// has run.
func (c *call) attemptServiceCall() outcome {
	body := []byte(nil)
	if c.stream.Method == http.MethodPost {
		body = []byte(`{"Item":"` + c.id + `"}`)
	}
	res, err := c.sendRequest(context.Background(), c.stream.Method, c.stream.Path, body)
	if err != nil {
		return outcome{status: broken}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	var b struct{ Runs int }
	if json.NewDecoder(res.Body).Decode(&b) != nil || b.Runs > 1 {
		return outcome{status: wrong}
	}
	return outcome{status: succeeded}
}
