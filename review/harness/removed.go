package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["removed"] = playRemoved }

const (
	// drain is drainMs.
	drain = 2 * time.Second
	// cutLength is how long the worker is partitioned from control, and lateness how much
	// later what was held up arrives, as TCP sends it again only then.
	cutLength = 4 * time.Second
	lateness  = 2 * time.Second
	// roundTrip is that between two zones: TCP sends the end of a channel again once what came
	// before it is acknowledged.
	roundTrip = 1800 * time.Microsecond
	// servesOn is how long the worker goes on after its removal was confirmed.
	servesOn = drain + 4*time.Second
)

// link is the path from a worker to a host of control. While it is cut, it holds up what
// was sent and delivers it later.
type link struct {
	listener net.Listener
	target   string
	record   *record

	mu sync.Mutex
	// cutUntil is until when nothing passes, and deliverAt when what was held up arrives.
	cutUntil, deliverAt time.Time
}

func newLink(target string, r *record) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, record: r}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.relay(c)
		}
	}()
	return k, nil
}

func (k *link) cut(d, late time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutUntil = time.Now().Add(d)
	k.deliverAt = k.cutUntil.Add(late)
}

// relay passes one channel on.
func (k *link) relay(from net.Conn) {
	defer func() { _ = from.Close() }()
	k.mu.Lock()
	held, at := time.Now().Before(k.cutUntil), k.deliverAt
	k.mu.Unlock()
	if !held {
		to, err := net.Dial("tcp", k.target)
		if err != nil {
			return
		}
		defer func() { _ = to.Close() }()
		go func() {
			_, _ = io.Copy(to, from)
			_ = to.(*net.TCPConn).CloseWrite()
		}()
		_, _ = io.Copy(from, to)
		return
	}
	b, _ := io.ReadAll(from)
	time.Sleep(time.Until(at))
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	k.record.printf("%d bytes that the cut has held up arrive at control", len(b))
	_, _ = to.Write(b)
	time.Sleep(roundTrip)
	_ = to.(*net.TCPConn).CloseWrite()
	_ = to.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.ReadAll(to)
	_ = to.Close()
}

// playRemoved has a new worker start behind a cut. Once the cut has healed, it leaves: its
// removal is confirmed. A ping of before arrives after that.
func playRemoved(ctx context.Context, root string, r *record, trouble bool) int {
	d, err := newDeployment(root, r, 2, plainConfiguration, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	var removedAt atomic.Int64
	var late, lost, sent, served atomic.Int64
	handle := func(w *worker, rw http.ResponseWriter, q *http.Request, _ []byte) bool {
		if at := removedAt.Load(); w.id == "i-5" && at > 0 && time.Since(time.UnixMicro(at)) > drain {
			late.Add(1)
			r.printf("LATE: %s reaches i-5 %s after its removal was confirmed", q.Header.Get("X-Attempt-Id"), time.Since(time.UnixMicro(at)).Round(time.Millisecond))
		}
		w.ran(q)
		time.Sleep(100 * time.Millisecond)
		rw.Header().Set("X-Server-Seal", w.id)
		fmt.Fprintf(rw, "%s by %s\n", q.URL.Path, w.id)
		return true
	}
	var links []*link
	var paths []string
	for _, c := range d.seeds {
		k, err := newLink(c, r)
		if err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
		links, paths = append(links, k), append(paths, k.listener.Addr().String())
	}
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "request-desk", address: freeAddress(), version: "v1", record: r, controls: d.seeds, handle: handle}
		if err := w.start(ctx); err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
	}
	time.Sleep(2 * time.Second)
	playing, cancel := context.WithTimeout(ctx, 18*time.Second)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; sleep(playing, 20*time.Millisecond); n++ {
			all.Go(func() {
				id, e := fmt.Sprintf("%016x", 0x1000+n), d.entries[n%2]
				sent.Add(1)
				status, err := book(e.address, id)
				if status == http.StatusOK && err == nil {
					served.Add(1)
					return
				}
				r.printf("client has no booking %s from %s: status %d, error %v", id, e.name, status, err)
				if status != http.StatusServiceUnavailable {
					lost.Add(1)
				}
			})
		}
	})
	if trouble {
		for _, k := range links {
			k.cut(cutLength, lateness)
		}
		r.printf("i-5 is cut off from control for %s", cutLength)
	}
	w := &worker{id: "i-5", service: "request-desk", address: freeAddress(), version: "v1", record: r, controls: paths, handle: handle}
	if err := w.start(ctx); err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	time.Sleep(cutLength + 200*time.Millisecond)
	w.leaves.Store(true)
	for _, c := range paths {
		q, err := http.NewRequest(http.MethodDelete, "http://"+c+"/instances/i-5", nil)
		if err != nil {
			return couldNot
		}
		res, err := quick.Do(q)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			removedAt.Store(time.Now().UnixMicro())
			r.printf("i-5 leaves: its DELETE is confirmed with %d", res.StatusCode)
			break
		}
	}
	if removedAt.Load() == 0 {
		r.printf("cannot run: the removal was not confirmed")
		return couldNot
	}
	time.Sleep(servesOn)
	w.crash()
	all.Wait()
	r.printf("%d bookings asked for, %d served, %d lost, %d reached i-5 later than %s after its removal was confirmed", sent.Load(), served.Load(), lost.Load(), late.Load(), drain)
	if late.Load() > 0 {
		return broken
	}
	return held
}

// book makes one booking on a new channel.
func book(address, id string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	const body = "hold a folio"
	fmt.Fprintf(c, "POST /holds/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(res.Body)
	return res.StatusCode, err
}

const plainConfiguration = `{"version":3,"routes":[{"name":"holds","host":"desk.example","pathPrefix":"/holds/","kind":"non_idempotent","timeoutMs":2500,` +
	`"targetLatencyMs":150,"priority":2,"maxAttempts":1,"service":"request-desk"}],"services":[{"name":"request-desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
