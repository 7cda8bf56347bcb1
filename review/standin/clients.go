package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// request is what a client asks for.
type request struct {
	kind   string
	method string
	host   string
	path   string
	body   func() io.Reader
	length int64
	// limit is the client's time budget, and repeatable tells whether it retries after any
	// failure.
	limit      time.Duration
	repeatable bool
}

// outcomes counts how the requests of each kind ended.
type outcomes struct {
	mu     sync.Mutex
	sent   map[string]int
	served map[string]int
	last   map[string]map[string]int
}

func newOutcomes() *outcomes {
	return &outcomes{sent: map[string]int{}, served: map[string]int{}, last: map[string]map[string]int{}}
}

func (o *outcomes) add(kind, end string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[kind]++
	if end == "200" {
		o.served[kind]++
	}
	if o.last[kind] == nil {
		o.last[kind] = map[string]int{}
	}
	o.last[kind][end]++
}

// share returns the share of the requests of a kind that were served; of all for "".
func (o *outcomes) share(kind string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served := 0, 0
	for k, n := range o.sent {
		if kind == "" || k == kind {
			sent, served = sent+n, served+o.served[k]
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// ask makes a request with one retry, each time on a new connection, as the pages say of
// clients. n chooses the first entry.
func (d *deployment) ask(q request, n int, o *outcomes) {
	begin, end := time.Now(), ""
	for try := range 2 {
		left := q.limit - time.Since(begin)
		if left < 50*time.Millisecond {
			break
		}
		e := d.balancer.choose(d.entries, n+try)
		status, retryAfter, err := q.send(e.address, left)
		end = strconv.Itoa(status)
		if err != nil {
			end = "no answer"
		}
		d.log("%s %s at %s: %s", q.kind, q.path, e.name, end)
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status == http.StatusOK || !q.repeatable && !promised {
			break
		}
		time.Sleep(min(retryAfter, (q.limit-time.Since(begin))/3))
	}
	o.add(q.kind, end)
}

// send makes one attempt.
func (q request) send(address string, left time.Duration) (status int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if q.body != nil {
		body = q.body()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, body)
	if err != nil {
		return 0, 0, err
	}
	r.Host, r.ContentLength = q.host, q.length
	r.Header.Set("X-Attempt-Id", newID())
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	res, err := t.RoundTrip(r)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, 0, err
	}
	if res.StatusCode == http.StatusOK && (res.Header.Get("X-Server-Seal") == "" || len(b) != answerBytes) {
		return 0, 0, io.ErrUnexpectedEOF
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// offer makes requests at a rate until a time, and returns once all have ended.
func (d *deployment) offer(until time.Time, perSecond float64, next func(n int) request, o *outcomes) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		interval := time.Duration(float64(time.Second) / perSecond)
		for n, at := 0, time.Now(); at.Before(until); n, at = n+1, at.Add(interval) {
			time.Sleep(time.Until(at))
			q := next(n)
			wg.Go(func() { d.ask(q, n, o) })
		}
	})
	return &wg
}

func bodyOf(b []byte) func() io.Reader {
	return func() io.Reader { return bytes.NewReader(b) }
}
