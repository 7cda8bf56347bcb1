// Command engine is a stand-in for a model engine: prefill, KV export and
// import, decode in continuous batches, limited memory and links, and orders
// with fencing numbers. It computes nothing; it takes the time that an engine
// would.
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

// Settings is the settings file.
type Settings struct {
	Address netip.AddrPort
	// Announced is where calls reach Address; it is Address unless set.
	Announced netip.AddrPort
	// Agent is where the engine announces itself.
	Agent    netip.AddrPort
	Role     string
	Model    string
	Version  string
	Adapters []string
	// MemoryPieces and PieceTokens are the size of the memory.
	MemoryPieces int
	PieceTokens  int
	// PrefillTokensPerSecond is the speed of prefill.
	PrefillTokensPerSecond int
	// StepMicroseconds is the time of one decode step, and
	// StepPerRequestMicroseconds what each running request adds to it.
	StepMicroseconds           int
	StepPerRequestMicroseconds int
	// LinkBytesPerSecond is the rate at which KV caches leave the engine.
	LinkBytesPerSecond int
	BytesPerToken      int
	// EvictMilliseconds is how long an exported KV cache is kept.
	EvictMilliseconds int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// LoadLagMilliseconds is the lag of load reports.
	LoadLagMilliseconds int
	// EventLagMilliseconds is the lag of cache events, and EventGapPercent
	// the share of them that is lost.
	EventLagMilliseconds int
	EventGapPercent      int
	ChecksFencing        bool
	// StallPercent is the share of transfers that never end.
	StallPercent int
	// HistoryFile receives what was run, as JSON lines; empty means none.
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
	go e.batches(ctx)
	go e.lag(ctx)
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
