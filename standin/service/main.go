// Command service simulates a plain service. GET requests are lookups, which may be
// repeated; all others are bookings, which must run once. It counts how often each
// booking ran.
package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"io"
	"log"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"ebonyreel/endpoints"
	"ebonyreel/standin/announce"
	"ebonyreel/transport"
)

// Settings is the content of the settings file, in JSON.
type Settings struct {
	Address netip.AddrPort
	// Agent is the address of the agent to which the service announces itself.
	Agent netip.AddrPort
	Name  string
	// DelayMilliseconds is how long each call takes.
	DelayMilliseconds int
	// HistoryFile receives a JSON line for each call; empty means none.
	HistoryFile string
}

const (
	maxBodyBytes    = 4 << 20
	historyFileMode = 0o640
)

type service struct {
	settings Settings
	instance string

	mu sync.Mutex
	// runs counts the bookings that ran, by idempotency key.
	runs    map[string]int
	history *json.Encoder
}

// record is one line of the history file, and the answer to a call.
type record struct {
	Time   time.Time
	Method string
	Path   string
	// Key is the idempotency key, and Request the request ID.
	Key     string
	Request string
	Body    string
	// Runs is the number of bookings with this key so far; zero for a lookup.
	Runs int
}

func main() {
	file := flag.String("settings", "service.json", "settings file")
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
	s := &service{instance: rand.Text(), runs: map[string]int{}}
	if err := json.Unmarshal(b, &s.settings); err != nil {
		return err
	}
	if s.settings.HistoryFile != "" {
		f, err := os.OpenFile(s.settings.HistoryFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, historyFileMode)
		if err != nil {
			return err
		}
		s.history = json.NewEncoder(f)
	}
	ctx := context.Background()
	go announce.Run(ctx, s.settings.Agent, s.announcement)
	return transport.Serve(ctx, transport.NewServer(s), s.settings.Address)
}

func (s *service) announcement() endpoints.Announcement {
	return endpoints.Announcement{
		Address:  s.settings.Address,
		Instance: s.instance,
		Role:     endpoints.RoleService,
		Serves:   s.settings.Name,
		Version:  "1",
	}
}

// ServeHTTP runs a call, waits for the configured delay and answers with the
// record of the call as JSON.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec := s.execute(r, string(body))
	time.Sleep(time.Duration(s.settings.DelayMilliseconds) * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rec)
}

func (s *service) execute(r *http.Request, body string) record {
	rec := record{
		Time:    time.Now(),
		Method:  r.Method,
		Path:    r.URL.Path,
		Key:     r.Header.Get("Idempotency-Key"),
		Request: r.Header.Get("X-Request-Id"),
		Body:    body,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.runs[rec.Key]++
		rec.Runs = s.runs[rec.Key]
	}
	if s.history != nil {
		_ = s.history.Encode(rec)
	}
	return rec
}
