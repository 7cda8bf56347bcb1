package main

import (
	"encoding/json"
	"net/netip"
	"os"
)

// Plan is the content of the plan file, in JSON: what to send, and where.
type Plan struct {
	// Deployment is printed with the result.
	Deployment string
	// Entries are the addresses for callers; each call goes to a random one.
	Entries []netip.AddrPort
	// Seconds is how long calls are sent; answers are awaited without a timeout.
	// Calls sent in the first WarmupSeconds or the last CooldownSeconds are not
	// measured; only the lost ones among them are counted.
	Seconds         float64
	WarmupSeconds   float64
	CooldownSeconds float64
	// Capacity is the capacity of all engines, from which the bound follows.
	Capacity Capacity
	// PrefillEngines are asked for their counters after the last call. Direct
	// streams call them too.
	PrefillEngines []netip.AddrPort
	// DecodeEngines are called by direct streams.
	DecodeEngines []netip.AddrPort
	// RouterProcesses are the IDs of the router's processes, whose processor time
	// is measured.
	RouterProcesses []int
	Streams         []Stream
	// FirstTokenMilliseconds and BetweenTokensMilliseconds are the targets of
	// completions. The first one is added to the prompt's own prefill time, which
	// follows from PrefillTokensPerSecond.
	FirstTokenMilliseconds    float64
	BetweenTokensMilliseconds float64
	PrefillTokensPerSecond    float64
	// CancelPercent is the share of completions that the caller cancels.
	CancelPercent int
	// GiveUpSeconds is how long a caller retries after refusals; zero means that
	// it does not retry.
	GiveUpSeconds float64
}

// Stream is a sequence of similar calls: completions when Model is set, otherwise
// calls of a plain service.
type Stream struct {
	Name string
	// Key is the caller's API key.
	Key string
	// RatePerSecond is the mean rate of the calls.
	RatePerSecond float64
	// CapacityShare is the rate as a share of the engines' bound, for completions
	// without a RatePerSecond.
	CapacityShare float64
	// FromSeconds and ToSeconds limit when calls are sent. A ToSeconds of zero
	// means the end of the plan.
	FromSeconds float64
	ToSeconds   float64
	// Model is set for completions. PromptTokens are the lower and upper bound of
	// a prompt's length, and SharedPercent is the share of prompts that start with
	// the same SharedTokens tokens.
	Model         string
	PromptTokens  [2]int
	SharedTokens  int
	SharedPercent int
	MaxTokens     int
	// Whole completions are not streamed.
	Whole bool
	// Direct completions call the engines without the router.
	Direct bool
	// Method and Path are set for calls of plain services.
	Method string
	Path   string
	// Keyed calls have an Idempotency-Key; keyed calls of plain services are each
	// sent twice.
	Keyed bool
	// DeadlineMilliseconds is the latency above which a service call counts as
	// late; zero means none. It is not enforced.
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
