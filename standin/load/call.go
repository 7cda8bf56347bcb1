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

// kind is what came of a call.
type kind int

const (
	whole kind = iota
	refused
	cancelled
	broken
	wrong
)

// outcome is what came of a call, and when its tokens came.
type outcome struct {
	kind kind
	good bool
	late bool
	// lateFirst and lateBetween are targets missed.
	lateFirst   bool
	lateBetween bool
	first       time.Duration
	gaps        []time.Duration
	// retryAfter is when a refusal says to come back.
	retryAfter time.Duration
}

// call is one call, drawn before it is sent.
type call struct {
	run    *run
	stream Stream
	entry  netip.AddrPort
	prompt string
	key    string
	// hangUp is after how many tokens the caller goes away; zero is never.
	hangUp int
	sent   time.Time
	// prefillEngine and decodeEngine are set for direct calls.
	prefillEngine netip.AddrPort
	decodeEngine  netip.AddrPort
}

const (
	percent     = 100
	maxHangUp   = 10
	maxAnswer   = 8 << 20
	promptWords = "deed folio estate parish ledger surveyor boundary chief witness grant "
)

func (r *run) newCall(s Stream, random *rand.Rand, n int) *call {
	c := &call{run: r, stream: s, entry: r.plan.Entries[random.IntN(len(r.plan.Entries))]}
	c.key = fmt.Sprintf("%s-%d-%d", s.Name, r.seed, n)
	if s.Model == "" {
		return c
	}
	if s.Direct {
		c.prefillEngine = r.plan.PrefillEngines[n%len(r.plan.PrefillEngines)]
		c.decodeEngine = r.plan.DecodeEngines[n%len(r.plan.DecodeEngines)]
	}
	size := s.PromptTokens[0] + random.IntN(max(1, s.PromptTokens[1]-s.PromptTokens[0]))
	shared := 0
	if random.IntN(percent) < s.SharedPercent {
		shared = s.SharedTokens
	}
	c.prompt = text(shared*tokens.BytesPerToken, "shared ") + text((size-shared)*tokens.BytesPerToken, c.key+" ")
	if random.IntN(percent) < r.plan.CancelPercent {
		c.hangUp = 1 + random.IntN(maxHangUp)
	}
	return c
}

// text returns a text of a length that starts in a way of its own.
func text(size int, start string) string {
	if size <= 0 {
		return ""
	}
	n := size/len(promptWords) + 1
	return (start + strings.Repeat(promptWords, n))[:size]
}

// do makes the call, and comes back after refusals as long as the plan says.
// Latencies count from the first send.
func (c *call) do() outcome {
	c.sent = time.Now()
	end := time.Now().Add(time.Duration(c.run.plan.GiveUpSeconds * float64(time.Second)))
	for {
		o := c.once()
		if o.kind != refused || o.retryAfter == 0 || time.Now().Add(o.retryAfter).After(end) {
			return o
		}
		time.Sleep(o.retryAfter)
	}
}

func (c *call) once() outcome {
	if c.stream.Model == "" {
		return c.plain()
	}
	if c.stream.Direct {
		return c.direct()
	}
	return c.complete()
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (c *call) request(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.stream.Key)
	r.Header.Set("Content-Type", "application/json")
	if c.stream.Keyed {
		r.Header.Set("Idempotency-Key", c.key)
	}
	return c.run.http.Do(r)
}

func (c *call) complete() outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b, err := json.Marshal(completionBody{
		Model: c.stream.Model, Prompt: c.prompt, MaxTokens: c.stream.MaxTokens, Stream: !c.stream.Whole,
	})
	if err != nil {
		return outcome{kind: broken}
	}
	res, err := c.request(ctx, http.MethodPost, "/v1/completions", b)
	if err != nil {
		return outcome{kind: broken}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return refusal(res)
	}
	if c.stream.Whole {
		return c.readWhole(res.Body, c.sent)
	}
	return c.readStream(res.Body, c.sent)
}

// refusal reads a refusal, which is honest only with a code.
func refusal(res *http.Response) outcome {
	var b struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(res.Body).Decode(&b) != nil || b.Error.Code == "" {
		return outcome{kind: broken}
	}
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return outcome{kind: refused, retryAfter: time.Duration(after) * time.Second}
}

type answerBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (c *call) readWhole(r io.Reader, start time.Time) outcome {
	var b answerBody
	if err := json.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(&b); err != nil || len(b.Choices) == 0 {
		return outcome{kind: broken}
	}
	return c.check(b.Choices[0].Text, outcome{first: time.Since(start), good: true})
}

func (c *call) check(text string, o outcome) outcome {
	want, _ := tokens.Answer(c.prompt, c.stream.MaxTokens)
	if text != want {
		o.kind = wrong
		return o
	}
	o.kind = whole
	if c.run.mayShow() {
		fmt.Printf("%s: %.40q… -> %.60q…\n", c.stream.Name, c.prompt, text)
	}
	return o
}

// readStream reads server-sent events up to the end marker.
func (c *call) readStream(r io.Reader, start time.Time) outcome {
	var o outcome
	var text strings.Builder
	last := start
	lines := bufio.NewScanner(r)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return c.check(text.String(), c.judge(o))
		}
		var b answerBody
		if json.Unmarshal([]byte(data), &b) != nil || len(b.Choices) == 0 {
			return outcome{kind: broken}
		}
		if b.Choices[0].Text == "" {
			continue
		}
		text.WriteString(b.Choices[0].Text)
		now := time.Now()
		if n == 0 {
			o.first = now.Sub(start)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		n++
		if n == c.hangUp {
			return outcome{kind: cancelled}
		}
	}
	return outcome{kind: broken}
}

// judge holds an answer against both targets.
func (c *call) judge(o outcome) outcome {
	p := c.run.plan
	own := float64(tokens.Count(c.prompt)) / p.PrefillTokensPerSecond
	first := p.FirstTokenMilliseconds/1000 + own
	total := time.Duration(0)
	for _, g := range o.gaps {
		total += g
	}
	mean := total.Seconds() / float64(max(1, len(o.gaps)))
	o.lateFirst = o.first.Seconds() > first
	o.lateBetween = mean > p.BetweenTokensMilliseconds/1000
	o.good = !o.lateFirst && !o.lateBetween
	return o
}

// plain calls a plain service. A keyed call is sent twice, as a caller does
// whose answer was lost, and must have run once.
func (c *call) plain() outcome {
	start := time.Now()
	o := c.plainOnce()
	if c.stream.Keyed && o.kind == whole {
		o = c.plainOnce()
	}
	o.first = time.Since(start)
	o.good = o.kind == whole
	o.late = c.stream.DeadlineMilliseconds > 0 && o.first.Seconds()*1000 > c.stream.DeadlineMilliseconds
	return o
}

func (c *call) plainOnce() outcome {
	body := []byte(nil)
	if c.stream.Method == http.MethodPost {
		body = []byte(`{"Item":"` + c.key + `"}`)
	}
	res, err := c.request(context.Background(), c.stream.Method, c.stream.Path, body)
	if err != nil {
		return outcome{kind: broken}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return refusal(res)
	}
	var b struct{ Runs int }
	if json.NewDecoder(res.Body).Decode(&b) != nil || b.Runs > 1 {
		return outcome{kind: wrong}
	}
	return outcome{kind: whole}
}
