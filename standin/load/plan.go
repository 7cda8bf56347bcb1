package main

import (
	"encoding/json"
	"net/netip"
	"os"
)

// Plan is what to send.
type Plan struct {
	// Deployment is printed with the result.
	Deployment string
	Entries    []netip.AddrPort
	// Seconds is how long calls are sent; answers are awaited without limit.
	// Calls of the first WarmupSeconds and the last CooldownSeconds are load
	// only, and are counted nowhere but as lost.
	Seconds         float64
	WarmupSeconds   float64
	CooldownSeconds float64
	// Capacity is the size of the engines; it sets the bound.
	Capacity Capacity
	// PrefillEngines are asked for their counters when all calls have ended.
	PrefillEngines []netip.AddrPort
	// DecodeEngines are called by direct streams.
	DecodeEngines []netip.AddrPort
	// RouterProcesses are process ids whose processor time is counted.
	RouterProcesses []int
	Streams         []Stream
	// FirstTokenMilliseconds and BetweenTokensMilliseconds are the targets;
	// the first one comes on top of the prompt's own prefill time.
	FirstTokenMilliseconds    float64
	BetweenTokensMilliseconds float64
	PrefillTokensPerSecond    float64
	// CancelPercent is the share of completions whose caller hangs up.
	CancelPercent int
	// GiveUpSeconds is how long a patient caller keeps coming back after
	// refusals; zero means that it does not.
	GiveUpSeconds float64
}

// Stream is one kind of call.
type Stream struct {
	Name string
	// Key is the caller's key.
	Key           string
	RatePerSecond float64
	// CapacityShare is the rate as a share of the engines' bound, for a
	// stream of completions without a RatePerSecond.
	CapacityShare float64
	// FromSeconds and ToSeconds bound when calls are sent; both zero means
	// always.
	FromSeconds float64
	ToSeconds   float64
	// Model is set for completions. PromptTokens are the bounds of a prompt's
	// length, and SharedPercent the share of prompts with one common prefix of
	// SharedTokens.
	Model         string
	PromptTokens  [2]int
	SharedTokens  int
	SharedPercent int
	MaxTokens     int
	Whole         bool
	// Direct completions call the engines without the router.
	Direct bool
	// Method and Path are set for calls of plain services.
	Method string
	Path   string
	// Keyed calls carry an Idempotency-Key, and each is sent twice.
	Keyed bool
	// DeadlineMilliseconds bounds a plain call, for the count of late ones.
	DeadlineMilliseconds float64
}

func readPlan(file string) (Plan, error) {
	var p Plan
	b, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(b, &p)
}
