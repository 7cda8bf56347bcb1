package main

import (
	"context"
	"time"

	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// direct makes a completion by calling the engines themselves, for comparison
// with the router. Nobody promises memory, so that it is of use at low load
// only.
func (c *call) direct() outcome {
	ctx := context.Background()
	p := c.run.plan
	prefill, decode := c.run.engine(c.prefillEngine), c.run.engine(c.decodeEngine)
	res, err := prefill.Prefill(ctx, engines.PrefillCall{Request: c.key, Prompt: c.prompt})
	if err != nil {
		return outcome{kind: broken}
	}
	pieces := (tokens.Count(c.prompt)+c.stream.MaxTokens)/p.Capacity.PieceTokens + 1
	err = decode.Import(ctx, engines.ImportCall{Request: c.key, From: c.prefillEngine, Handle: res.Handle, Pieces: pieces})
	if err != nil {
		return outcome{kind: broken}
	}
	o, text, last := outcome{}, "", c.sent
	err = decode.Decode(ctx, engines.DecodeCall{Request: c.key, MaxTokens: c.stream.MaxTokens}, func(t engines.Token) error {
		if t.End {
			return nil
		}
		now := time.Now()
		if text == "" {
			o.first = now.Sub(c.sent)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		text, last = text+t.Text, now
		return nil
	})
	if err != nil {
		return outcome{kind: broken}
	}
	return c.check(text, c.judge(o))
}
