// Command engine simulates a model engine: prefill, KV cache export and import,
// decode with continuous batching, limited memory and link bandwidth, and
// orders with fencing tokens. It runs no model; it sleeps for the time that
// an engine would take.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"log"
	"net/netip"
	"os"

	"ebonyreel/endpoints"
	"ebonyreel/standin/announce"
	"ebonyreel/transport"
)

// Settings is the content of the settings file, in JSON.
type Settings struct {
	// Address is where the engine listens.
	Address netip.AddrPort
	// Announced is the address that the engine announces; Address by default.
	Announced netip.AddrPort
	// Agent is the address of the agent to which the engine announces itself.
	Agent netip.AddrPort
	// Role is Prefill or Decode; an order may change it.
	Role     string
	Model    string
	Version  string
	Adapters []string
	// MemoryPieces is the KV cache memory in pieces of PieceTokens tokens.
	MemoryPieces int
	PieceTokens  int
	// PrefillTokensPerSecond is the speed of prefill; prompts run one at a time.
	PrefillTokensPerSecond int
	// StepMicroseconds is the duration of a decode step without requests, and
	// StepPerRequestMicroseconds is what each running request adds to it.
	StepMicroseconds           int
	StepPerRequestMicroseconds int
	// LinkBytesPerSecond is the rate at which KV caches leave the engine.
	LinkBytesPerSecond int
	// BytesPerToken is the KV cache size of one token.
	BytesPerToken int
	// EvictMilliseconds is how long an exported KV cache is kept.
	EvictMilliseconds int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// LoadLagMilliseconds is the interval between updates of the load report.
	LoadLagMilliseconds int
	// EventLagMilliseconds is the age at which a cache event becomes visible.
	// EventGapPercent is the chance that an answer leaves an event out.
	EventLagMilliseconds int
	EventGapPercent      int
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// StallPercent is the share of transfers that never end; they hang until the
	// caller gives up.
	StallPercent int
	// HistoryFile receives a JSON line for each event; empty means none.
	HistoryFile string
}

func main() {
	file := flag.String("settings", "engine.json", "settings file")
	flag.Parse()
	if err := run(*file); err != nil {
		log.Fatal(err)
	}
}

func run(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s := defaults()
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	if !s.Announced.IsValid() {
		s.Announced = s.Address
	}
	e, err := newEngine(s)
	if err != nil {
		return err
	}
	ctx := context.Background()
	go e.runDecodeSteps(ctx)
	go e.reportLoad(ctx)
	go announce.Run(ctx, s.Agent, e.announcement)
	return transport.Serve(ctx, transport.NewServer(routes(e)), s.Address)
}

func defaults() Settings {
	return Settings{
		Role:                       endpoints.RoleDecode,
		Version:                    "1",
		MemoryPieces:               40,
		PieceTokens:                2000,
		PrefillTokensPerSecond:     20_000,
		StepMicroseconds:           15_000,
		StepPerRequestMicroseconds: 300,
		LinkBytesPerSecond:         10_000_000_000,
		BytesPerToken:              100_000,
		EvictMilliseconds:          800,
		CacheTokens:                200_000,
		LoadLagMilliseconds:        500,
		EventLagMilliseconds:       300,
		EventGapPercent:            5,
	}
}
