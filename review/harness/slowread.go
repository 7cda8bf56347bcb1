package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["slowread"] = playSlowReaders }

const (
	// answerBytes is the size of a long answer, and slowBytes what a slow client reads of it
	// in a second: it has the whole answer within its time budget.
	answerBytes = 1 << 20
	slowBytes   = 80 << 10
	slowBudget  = 14 * time.Second
	// slowClients is the number of clients that read slowly, and maxLost how many channels
	// may be closed without an answer.
	slowClients = 10
	maxLost     = 3
)

const reportConfiguration = `{"version":3,"routes":[{"name":"reports","host":"desk.example","pathPrefix":"/reports/","kind":"idempotent","timeoutMs":14000,` +
	`"targetLatencyMs":900,"priority":2,"maxAttempts":2,"service":"request-desk"}],"services":[{"name":"request-desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// slowReader reads from a channel at a rate.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

func (s *slowReader) Read(b []byte) (int, error) {
	const step = 20 * time.Millisecond
	time.Sleep(step)
	n := min(len(b), s.bytesPerSecond*int(step)/int(time.Second))
	return s.Conn.Read(b[:n])
}

// getReport makes one request on a channel and returns how much of the answer came, in which
// time, and whether it is whole.
func getReport(c net.Conn, in *bufio.Reader, path, id string) (status, length int, took time.Duration, err error) {
	start := time.Now()
	_ = c.SetDeadline(start.Add(slowBudget))
	if _, err := fmt.Fprintf(c, "GET /reports/%s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, id, slowBudget.Milliseconds()); err != nil {
		return 0, 0, time.Since(start), err
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, 0, time.Since(start), err
	}
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, len(b), time.Since(start), err
}

// playSlowReaders has clients on kept channels get a short answer and then a long one, which
// they read slowly.
func playSlowReaders(ctx context.Context, root string, r *record, trouble bool) int {
	d, err := newDeployment(root, r, 2, reportConfiguration, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	long := bytes.Repeat([]byte("deed of the estate\n"), answerBytes/19+1)[:answerBytes]
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "request-desk", address: freeAddress(), version: "v1", record: r, controls: d.seeds}
		w.handle = func(w *worker, rw http.ResponseWriter, q *http.Request, _ []byte) bool {
			w.ran(q)
			rw.Header().Set("X-Server-Seal", w.id)
			if q.URL.Path == "/reports/short" {
				_, _ = rw.Write(long[:800])
				return true
			}
			rw.Header().Set("Content-Length", fmt.Sprint(len(long)))
			_, err := rw.Write(long)
			r.printf("%s has written the answer to %s: error %v", w.id, q.Header.Get("X-Attempt-Id"), err)
			return true
		}
		if err := w.start(ctx); err != nil {
			r.printf("cannot run: %v", err)
			return couldNot
		}
	}
	time.Sleep(2 * time.Second)
	rate := slowBytes
	if !trouble {
		rate = 100 << 20
	}
	var lost, whole, other atomic.Int64
	var all sync.WaitGroup
	for i := range slowClients {
		all.Go(func() {
			e := d.entries[i%len(d.entries)]
			c, err := net.DialTimeout("tcp", e.address, time.Second)
			if err != nil {
				other.Add(1)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
			in := bufio.NewReader(&slowReader{Conn: c, bytesPerSecond: rate})
			if status, _, _, err := getReport(c, in, "short", fmt.Sprintf("%016x", 0x100+i)); err != nil || status != http.StatusOK {
				r.printf("client %d has no short answer: %d %v", i, status, err)
				other.Add(1)
				return
			}
			id := fmt.Sprintf("%016x", 0x200+i)
			r.printf("client %d sends %s on its channel to %s", i, id, e.name)
			status, length, took, err := getReport(c, in, "long", id)
			r.printf("client %d has status %d, %d of %d bytes after %s, error %v", i, status, length, answerBytes, took.Round(time.Millisecond), err)
			var timeout net.Error
			switch {
			case err == nil && status == http.StatusOK && length == answerBytes:
				whole.Add(1)
			case errors.As(err, &timeout) && timeout.Timeout(), took >= slowBudget:
				other.Add(1)
			case err != nil:
				lost.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	all.Wait()
	r.printf("%d answers whole, %d channels closed without a whole answer before the time budget, %d other", whole.Load(), lost.Load(), other.Load())
	switch {
	case lost.Load() > maxLost:
		return broken
	case whole.Load()+lost.Load() < slowClients/2:
		return couldNot
	}
	return held
}
