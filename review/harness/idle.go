package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["idle"] = playIdle }

const (
	// idleLength is how long users come, and usersEach how many come to each entry in a
	// second.
	idleLength = 104 * time.Second
	usersEach  = 37
	// contact is contactMs, and minTries the number of clients from which it counts.
	contact  = 3 * time.Second
	minTries = 7
	// clientFds are the descriptors that the clients of both entries need together.
	clientFds = 9500
)

// burst is a disruption of the site's standard days: x times the usual users come.
type burst struct {
	from, to time.Duration
	x        float64
}

// bursts are those of the day quiet-1, each at its length and its dose.
var bursts = []burst{
	{6 * time.Second, 11 * time.Second, 1.8}, {17 * time.Second, 21 * time.Second, 2.3}, {27 * time.Second, 31 * time.Second, 1.9},
	{46 * time.Second, 51 * time.Second, 1.8}, {57 * time.Second, 61 * time.Second, 2.3}, {67 * time.Second, 71 * time.Second, 1.9},
}

const lookupConfiguration = `{"version":3,"routes":[{"name":"lookups","host":"desk.example","pathPrefix":"/lookups/","kind":"idempotent","timeoutMs":2500,` +
	`"targetLatencyMs":150,"priority":2,"maxAttempts":2,"service":"request-desk"}],"services":[{"name":"request-desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// entryWatch is what clients and the platform see of one entry.
type entryWatch struct {
	mu sync.Mutex
	// tries are the times at which clients opened a channel, and served those at which one
	// was answered on a new channel.
	tries, served []time.Time
	// ready are the times at which the entry said that it is ready, unready those of the
	// other probes.
	ready, unready []time.Time
	open           atomic.Int64
	statuses       map[int]int
}

// within returns how many of some times lie in a span.
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// visit is one user: a client that opens a channel, makes one lookup and leaves the channel
// open, as clients do that may reuse it.
func (w *entryWatch) visit(address string, n int64) {
	w.mu.Lock()
	w.tries = append(w.tries, time.Now())
	w.mu.Unlock()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	fmt.Fprintf(c, "GET /lookups/%d HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Ms: 2500\r\n\r\n", n, n)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return
	}
	w.mu.Lock()
	w.served = append(w.served, time.Now())
	w.statuses[res.StatusCode]++
	w.mu.Unlock()
	_ = c.SetDeadline(time.Time{})
	w.open.Add(1)
	// The client waits for its user, and closes the channel once the node has.
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
	w.open.Add(-1)
}

// probe asks for readiness once a second, on one channel while that lasts, as the platform.
func (w *entryWatch) probe(ctx context.Context, address string) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for sleep(ctx, time.Second) {
		res, err := c.Get("http://" + address + "/readiness")
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		w.mu.Lock()
		if ok {
			w.ready = append(w.ready, time.Now())
		} else {
			w.unready = append(w.unready, time.Now())
		}
		w.mu.Unlock()
	}
}

// refusesChannels returns from when on an entry that said that it is ready took no new
// channel for the time of contact, while clients tried.
func (w *entryWatch) refusesChannels(start time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for from := start; from.Before(start.Add(idleLength - contact)); from = from.Add(100 * time.Millisecond) {
		to := from.Add(contact)
		if within(w.tries, from, to) >= minTries && within(w.served, from, to) == 0 && within(w.unready, from, to) == 0 && within(w.ready, from, to) > 0 {
			return from.Sub(start), true
		}
	}
	return 0, false
}

// playIdle has users come, each with a channel that it leaves open. A configuration sets
// 15 s as the time that a channel may be idle.
func playIdle(ctx context.Context, root string, r *record, trouble bool) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < clientFds {
		r.printf("cannot run: the clients need %d descriptors, and this process may have %d", clientFds, limit.Cur)
		return couldNot
	}
	d, err := newDeployment(root, r, 2, lookupConfiguration, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "request-desk", address: freeAddress(), version: "v1", record: r, controls: d.seeds}
		w.handle = func(w *worker, rw http.ResponseWriter, q *http.Request, _ []byte) bool {
			time.Sleep(30 * time.Millisecond)
			rw.Header().Set("X-Server-Seal", w.id)
			fmt.Fprintf(rw, "%s by %s\n", q.URL.Path, w.id)
			return true
		}
		if err := w.start(ctx); err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(ctx, idleLength)
	defer cancel()
	start := time.Now()
	var watches []*entryWatch
	var number atomic.Int64
	for _, e := range d.entries {
		w := &entryWatch{statuses: map[int]int{}}
		watches = append(watches, w)
		go w.probe(ctx, e.ready)
		go func() {
			due := 0.0
			for sleep(ctx, 20*time.Millisecond) {
				x, at := 1.0, time.Since(start)
				for _, b := range bursts {
					if trouble && at >= b.from && at < b.to {
						x = b.x
					}
				}
				for due += usersEach * x * 0.02; due >= 1; due-- {
					go w.visit(e.address, number.Add(1))
				}
			}
		}()
	}
	for second := 1; sleep(ctx, time.Second); second++ {
		for i, w := range watches {
			w.mu.Lock()
			now := time.Now()
			r.printf("%s: %d channels open, %d clients tried in the last second, %d answered, ready %d of %d, statuses so far %v", d.entries[i].name, w.open.Load(),
				within(w.tries, now.Add(-time.Second), now), within(w.served, now.Add(-time.Second), now),
				within(w.ready, now.Add(-time.Second), now), within(w.ready, now.Add(-time.Second), now)+within(w.unready, now.Add(-time.Second), now), w.statuses)
			w.mu.Unlock()
		}
	}
	code := held
	for i, w := range watches {
		if at, bad := w.refusesChannels(start); bad {
			r.printf("BROKEN: %s said that it is ready and took no new channel for %s from %s on", d.entries[i].name, contact, at)
			code = broken
		}
	}
	return code
}
