package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["versions"] = playVersions }

const streamConfiguration = `{"version":3,"routes":[{"name":"letters","host":"desk.example","pathPrefix":"/letters/","kind":"streaming","timeoutMs":14000,` +
	`"targetLatencyMs":900,"targetGapMs":300,"priority":1,"maxAttempts":2,"sticky":true,"resumable":true,"service":"summariser"}],` +
	`"services":[{"name":"summariser","healthPath":"/health","maxConns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":33466,"kvTokenBytes":163840,` +
	`"linkMbps":850000.0,"moves":true,"backups":true,"stride":11,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// downtime is how long the entry that is killed is gone.
const downtime = 2 * time.Second

// clientStream is a stream as its client received it.
type clientStream struct {
	id   string
	data []string
	// last is the ID of the last event received; empty for none.
	last string
	// whole is true once the answer ended as complete.
	whole    bool
	statuses []int
}

// read makes one request for the stream, or for its rest, and reads the answer.
func (s *clientStream) read(ctx context.Context, to, attempt string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/letters/1", strings.NewReader("summarise "+s.id))
	if err != nil {
		return
	}
	r.Host = "desk.example"
	r.Close = true
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Count", "1460,80")
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+s.id+":1260")
	r.Header.Set("X-Deadline-Ms", "14000")
	if s.last != "" {
		r.Header.Set("Last-Event-Id", s.last)
		r.Header.Set("Resumes", s.id)
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		s.statuses = append(s.statuses, 0)
		return
	}
	defer func() { _ = res.Body.Close() }()
	s.statuses = append(s.statuses, res.StatusCode)
	if res.StatusCode != http.StatusOK {
		return
	}
	in := bufio.NewScanner(res.Body)
	id, data := "", ""
	for in.Scan() {
		switch line := in.Text(); {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && data != "":
			s.last, s.data = id, append(s.data, data)
			data = ""
		}
	}
	s.whole = in.Err() == nil
}

// playVersions has a worker start again under its id with newer software. Its first ping
// comes late. Streams begin meanwhile; then the entry that took them is killed, and their
// clients go on at the other entries.
func playVersions(ctx context.Context, root string, r *record, trouble bool) int {
	d, err := newDeployment(root, r, 4, streamConfiguration, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	var workers []*worker
	for i := range 6 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "summariser", address: freeAddress(), stage: "decode", version: "v1", events: 60, gap: 100 * time.Millisecond, record: r, controls: d.seeds}
		if err := w.start(ctx); err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
		workers = append(workers, w)
	}
	for _, e := range d.entries {
		if !eventually(15*time.Second, func() bool {
			probe := &clientStream{id: "f00d"}
			short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			probe.read(short, e.address, "probe-"+e.name)
			return len(probe.data) > 0
		}) {
			r.printf("cannot run: %s serves no stream", e.name)
			return couldNot
		}
	}
	time.Sleep(2 * time.Second)
	old := workers[0]
	old.crash()
	time.Sleep(500 * time.Millisecond)
	again := &worker{id: old.id, service: old.service, address: old.address, stage: old.stage, version: "v2", firstPing: 1800 * time.Millisecond, events: old.events, gap: old.gap, record: r, controls: d.seeds}
	if err := again.start(ctx); err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	first := d.entries[0]
	var streams []*clientStream
	var reading sync.WaitGroup
	for i := range 48 {
		s := &clientStream{id: fmt.Sprintf("%016x", 0xa000+i)}
		streams = append(streams, s)
		reading.Go(func() {
			r.printf("client sends %s to %s", s.id, first.name)
			s.read(ctx, first.address, s.id)
			if s.whole || s.last == "" {
				return
			}
			for try := range 2 {
				attempt, second := fmt.Sprintf("%s-%d", s.id, try+1), d.entries[1+(i+try)%3]
				before := len(s.data)
				r.printf("client sends %s to %s, which goes on with %s after event %s", attempt, second.name, s.id, s.last)
				s.read(ctx, second.address, attempt)
				r.printf("client has %d more events of %s, status %d", len(s.data)-before, s.id, s.statuses[len(s.statuses)-1])
				if s.whole {
					return
				}
				time.Sleep(time.Second)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(1600 * time.Millisecond)
	if trouble {
		r.printf("%s is killed", first.name)
		first.kill()
		time.Sleep(downtime)
		if err := d.start(first); err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
		r.printf("%s starts again", first.name)
	}
	reading.Wait()
	joined, whole := 0, 0
	for _, s := range streams {
		v := versionsIn(s.data)
		if s.whole {
			whole++
		}
		if len(v) > 1 {
			joined++
			r.printf("JOINED %s: %v, ended as complete: %t, statuses %v", s.id, v, s.whole, s.statuses)
		}
	}
	r.printf("%d streams, %d ended as complete, %d joined from two versions", len(streams), whole, joined)
	if joined > 0 {
		return broken
	}
	return held
}
