package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker of a plain service.
type worker struct {
	id      string
	address string
	service string
	version string
	work    time.Duration
	// silence is how late the first announcement is.
	silence time.Duration
	// slots holds a token for each request that runs, and queue for each that is held.
	slots chan struct{}
	queue chan struct{}

	mu   sync.Mutex
	runs *os.File
}

const (
	workerSlots = 6
	workerQueue = 24
	answerBytes = 800
	// streamEvents is the number of events of a stream, one each eventGap.
	streamEvents = 60
	eventGap     = 100 * time.Millisecond
)

// addWorkers adds workers of a service, each a process of its own.
func (d *deployment) addWorkers(count int, service string, work time.Duration) {
	self, err := os.Executable()
	d.must(err)
	var controls []string
	for _, c := range d.controls {
		controls = append(controls, c.address)
	}
	for i := range count {
		p := &process{name: fmt.Sprintf("%s-%d", service, i), address: d.freeAddress()}
		p.command = []string{
			self, "worker", "-address", p.address, "-service", service, "-controls", strings.Join(controls, ","), "-work", work.String(),
			"-runs", filepath.Join(d.dir, p.name+".runs"),
		}
		d.workers = append(d.workers, p)
	}
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{}
	f.StringVar(&w.id, "id", "i-"+newID()[:10], "ID")
	f.StringVar(&w.version, "version", "v1", "version of the software")
	f.DurationVar(&w.silence, "silence", 0, "how late the first announcement is")
	slots := f.Int("slots", workerSlots, "requests at once")
	f.StringVar(&w.address, "address", "", "address")
	f.StringVar(&w.service, "service", "", "service")
	f.DurationVar(&w.work, "work", 0, "time of a request")
	controls := f.String("controls", "", "addresses of control hosts")
	runs := f.String("runs", "", "file for the IDs of the requests that ran")
	_ = f.Parse(args)
	w.slots, w.queue = make(chan struct{}, *slots), make(chan struct{}, *slots+workerQueue)
	var err error
	if w.runs, err = os.OpenFile(*runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go w.announce(strings.Split(*controls, ","))
	s := &http.Server{Addr: w.address, Handler: w}
	fmt.Fprintln(os.Stderr, s.ListenAndServe())
	os.Exit(exitNotRun)
}

// announce registers the worker, and again about each heartbeat interval.
func (w *worker) announce(controls []string) {
	born := time.Now().UnixMilli()
	c := &http.Client{Timeout: time.Second}
	time.Sleep(w.silence)
	for seq, host := 1, 0; ; seq++ {
		b, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "zone-0", "version": w.version, "slots": cap(w.slots), "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": born,
		})
		for range controls {
			r, _ := http.NewRequest(http.MethodPut, "http://"+controls[host%len(controls)]+"/instances/"+w.id, bytes.NewReader(b))
			r.Header.Set("Content-Type", "application/json")
			res, err := c.Do(r)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode < http.StatusMultipleChoices {
					break
				}
			}
			host++
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case w.queue <- struct{}{}:
		defer func() { <-w.queue }()
	default:
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-r.Context().Done():
		return
	}
	w.mu.Lock()
	fmt.Fprintf(w.runs, "%d %s %s %s %d\n", time.Now().UnixMilli(), id, r.Method, r.URL.Path, len(body))
	w.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/letter/") {
		w.stream(rw, r, id)
		return
	}
	time.Sleep(w.work)
	rw.Header().Set("X-Server-Seal", w.id+"."+id)
	_, _ = rw.Write(bytes.Repeat([]byte("a"), answerBytes))
}

// stream answers with a stream of events, each of which tells the version that made it. It goes
// on after Last-Event-Id.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	rw.Header().Set("X-Server-Seal", w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < streamEvents; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, w.version)
		rw.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}
