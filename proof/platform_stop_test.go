package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 8 * time.Second
	// stopServiceTime is how long the service works on a call.
	stopServiceTime = 1200 * time.Millisecond
	// stopTakesUntil is the time from SIGTERM after which no call is passed on any more: a
	// call of 2.5 s would not end in the first five sixths of stopGrace.
	stopTakesUntil = 4 * time.Second
	keptCallers    = 8
	minStopCalls   = 20
)

// slowService is a plain service that notes which calls arrive.
type slowService struct {
	mu      sync.Mutex
	arrived map[string]bool
}

// ServeHTTP answers a call.
func (s *slowService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	s.arrived[id] = true
	s.mu.Unlock()
	clock.Sleep(r.Context(), stopServiceTime)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", "seal")
	_, _ = io.WriteString(w, "done")
}

// stopCall is one call around a planned stop.
type stopCall struct {
	id string
	// sent is when its last byte was sent.
	sent time.Time
	// answered is true where a whole answer came.
	answered bool
}

// stopCallers makes calls to an entry that is stopped.
type stopCallers struct {
	t     *testing.T
	entry *process
	group sync.WaitGroup

	mu    sync.Mutex
	calls []stopCall
}

func (s *stopCallers) connect() net.Conn {
	c, err := net.Dial("tcp", s.entry.address.String())
	if err != nil {
		s.t.Error(err)
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(2 * stopGrace))
	return c
}

// call makes one call on a connection, the last byte of which is sent after a pause. It
// reports whether a whole answer came.
func (s *stopCallers) call(c net.Conn, in *bufio.Reader, id string, pause time.Duration) bool {
	request := fmt.Sprintf("POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody", id)
	_, err := io.WriteString(c, request[:len(request)-1])
	clock.Sleep(s.t.Context(), pause)
	out := stopCall{id: id, sent: time.Now()}
	if err == nil {
		_, err = io.WriteString(c, request[len(request)-1:])
	}
	if err == nil {
		res, readErr := http.ReadResponse(in, nil)
		if err = readErr; err == nil {
			_, err = io.ReadAll(res.Body)
		}
	}
	out.answered = err == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, out)
	return out.answered
}

// keep calls on one connection, one call after the other, until it is closed.
func (s *stopCallers) keep(name string) {
	s.group.Go(func() {
		c := s.connect()
		if c == nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for n := 0; s.call(c, in, fmt.Sprintf("%s-%d", name, n), 0); n++ {
			clock.Sleep(s.t.Context(), 20*time.Millisecond)
		}
	})
}

// callOnce opens a connection, and makes one call on it later. With a pause its last
// byte comes later still.
func (s *stopCallers) callOnce(name string, after, pause time.Duration) {
	s.group.Go(func() {
		c := s.connect()
		if c == nil {
			return
		}
		defer func() { _ = c.Close() }()
		clock.Sleep(s.t.Context(), after)
		s.call(c, bufio.NewReader(c), name, pause)
	})
}

// TestPlatformStopTakesNoLateCalls guards against calls that an entry takes late in its
// planned stop and passes on, and that get no answer as the process is killed. Their
// callers keep connections open, open them ahead of their first call, or send bodies
// slowly. Control answers, or does not.
func TestPlatformStopTakesNoLateCalls(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("control_silent=%t", silent), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "production")
			h := startPlatformHosts(c)
			h.putConfigurationBody(t, 0, []byte(platformConfiguration))
			service := &slowService{arrived: map[string]bool{}}
			startDeskService(t, "i-1", service, c.controls)
			entry := startPlatformEntry(c, "entry-0")
			awaitReady(t, entry)
			callers := &stopCallers{t: t, entry: entry}
			eventually(t, 15*time.Second, "the service is known", func() bool {
				conn := callers.connect()
				defer func() { _ = conn.Close() }()
				callers.call(conn, bufio.NewReader(conn), "first", 0)
				service.mu.Lock()
				defer service.mu.Unlock()
				return service.arrived["first"]
			})
			for i := range keptCallers {
				callers.keep(fmt.Sprint("kept-", i))
				clock.Sleep(t.Context(), stopServiceTime/keptCallers)
			}
			if silent {
				for _, p := range h.processes {
					p.freeze()
				}
			}
			stopped := time.Now()
			if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for i := range 14 {
				at := time.Duration(i+1) * 500 * time.Millisecond
				callers.callOnce(fmt.Sprint("slow-", i), 0, at)
				clock.Sleep(t.Context(), 150*time.Millisecond)
				callers.callOnce(fmt.Sprint("ahead-", i), max(time.Until(stopped.Add(at)), 0), 0)
			}
			clock.Sleep(t.Context(), time.Until(stopped.Add(stopGrace)))
			entry.kill()
			callers.group.Wait()
			checkStop(t, callers.calls, service, stopped)
		})
	}
}

// checkStop checks that each call that was passed on got an answer, and that none was
// passed on late.
func checkStop(t *testing.T, calls []stopCall, service *slowService, stopped time.Time) {
	t.Helper()
	service.mu.Lock()
	defer service.mu.Unlock()
	passedOn, ahead := 0, 0
	for _, c := range calls {
		after := c.sent.Sub(stopped)
		if !service.arrived[c.id] || after < 0 {
			continue
		}
		passedOn++
		if strings.HasPrefix(c.id, "ahead") {
			ahead++
		}
		if !c.answered {
			t.Errorf("%s was sent %s after SIGTERM and passed on, and got no answer", c.id, after)
		}
		if after > stopTakesUntil {
			t.Errorf("%s was sent %s after SIGTERM and passed on", c.id, after)
		}
	}
	t.Logf("%d of %d calls were passed on after SIGTERM, %d of them the first on their connection", passedOn, len(calls), ahead)
	if len(calls) < minStopCalls || passedOn == 0 {
		t.Error("too few calls to judge")
	}
}
