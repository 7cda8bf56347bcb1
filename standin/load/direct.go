package main

import (
	"context"
	"time"

	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// attemptDirectCompletion makes a completion by calling the engines without the
// router, for comparison. Memory is not reserved, so the import fails when the
// decode engine is full: use it at low load only.
func (c *call) attemptDirectCompletion() outcome {
	ctx := context.Background()
	p := c.run.plan
	prefill, decode := c.run.engineClient(c.prefillEngine), c.run.engineClient(c.decodeEngine)
	res, err := prefill.Prefill(ctx, engines.PrefillCall{Request: c.id, Prompt: c.prompt})
	if err != nil {
		return outcome{status: broken}
	}
	pieces := (tokens.PromptTokens(c.prompt)+c.stream.MaxTokens)/p.Capacity.PieceTokens + 1
	err = decode.Import(ctx, engines.ImportCall{Request: c.id, From: c.prefillEngine, Handle: res.Handle, Pieces: pieces})
	if err != nil {
		return outcome{status: broken}
	}
	o, text, lastToken := outcome{}, "", c.startedAt
	err = decode.Decode(ctx, engines.DecodeCall{Request: c.id, MaxTokens: c.stream.MaxTokens}, func(t engines.Token) error {
		if t.End {
			return nil
		}
		now := time.Now()
		if text == "" {
			o.latency = now.Sub(c.startedAt)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(lastToken))
		}
		text, lastToken = text+t.Text, now
		return nil
	})
	if err != nil {
		return outcome{status: broken}
	}
	return c.checkAnswer(text, c.applyTargets(o))
}
