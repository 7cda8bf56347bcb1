package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyreel/standin/tokens"
)

const (
	// leavingTarget is the time after which an endpoint that is leaving may get
	// no new work.
	leavingTarget    = 3 * time.Second
	stopLimit        = 30 * time.Second
	longAnswerTokens = 240
)

// failedCall is a call that got neither its own whole answer nor a refusal as not
// run or as one call too many.
type failedCall struct {
	kind     string
	response response
}

// stopLoad repeats completions with long and short answers, and holds, until its
// context ends.
type stopLoad struct {
	mu       sync.Mutex
	failures []failedCall
	sent     int
	// refusals counts the refusals as not run or as one call too many.
	refusals int
	// lastRefusal is the body of the last such refusal.
	lastRefusal string
	group       sync.WaitGroup
	ctx         context.Context
}

// repeatCall repeats a call through one entry. For the n-th call build returns the
// body, the idempotency key, and a text that the answer must contain.
func (l *stopLoad) repeatCall(e *process, kind, path string, build func(n int) (string, string, string)) {
	l.group.Go(func() {
		for n := 0; l.ctx.Err() == nil; n++ {
			content, key, want := build(n)
			r := sendCall(context.Background(), e, http.MethodPost, path, "reading-room-key", key, content)
			if connectionRefused(r.err) || strings.Contains(r.body, "this entry is stopping") {
				return // A load balancer would send no more calls to an entry that is not ready.
			}
			l.mu.Lock()
			l.sent++
			notRun := r.err == nil && r.status != http.StatusOK && (strings.Contains(r.body, "not_run") || strings.Contains(r.body, "too_many"))
			if notRun {
				l.refusals++
				l.lastRefusal = r.body
			} else if r.err != nil || r.status != http.StatusOK || !strings.Contains(r.body, want) {
				l.failures = append(l.failures, failedCall{kind: kind, response: r})
			}
			l.mu.Unlock()
			if notRun {
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

func connectionRefused(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connect: connection refused")
}

// start keeps an entry busy with completions of a few seconds and of a fraction of
// a second, and with holds.
func (l *stopLoad) start(e *process, completionCallers int) {
	for i := range completionCallers {
		maxTokens := longAnswerTokens
		if i%2 == 1 {
			maxTokens = 20
		}
		l.repeatCall(e, fmt.Sprintf("completion of %d tokens", maxTokens), "/v1/completions", func(n int) (string, string, string) {
			prompt := strings.Repeat(fmt.Sprintf("deed %s %d %d ", e.name, i, n), 30)
			want, _ := tokens.ExpectedAnswer(prompt, maxTokens)
			b, _ := json.Marshal(map[string]any{"model": "summariser", "prompt": prompt, "max_tokens": maxTokens})
			return string(b), "", want
		})
	}
	for i := range 4 {
		l.repeatCall(e, "hold", holdsPath, func(n int) (string, string, string) {
			key := fmt.Sprintf("%s-%d-%d", e.name, i, n)
			return fmt.Sprintf(`{"Folio":"%s"}`, key), key, key
		})
	}
}

// runTool runs the operators' command line tool.
func (c *cluster) runTool(limit time.Duration, args ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	arguments := append([]string{"--controls", c.directControls[0].String(), "--environment", c.environment}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(binaryFolder, "ebonyreel"), arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// lastNewWork returns when an endpoint last began new work, by its history.
func lastNewWork(t *testing.T, p *process) time.Time {
	t.Helper()
	f, err := os.Open(p.history)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var last time.Time
	for s := bufio.NewScanner(f); s.Scan(); {
		var line struct {
			Time  time.Time
			Event string
		}
		if json.Unmarshal(s.Bytes(), &line) != nil || !beginsWork(line.Event) {
			continue
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	return last
}

// beginsWork reports whether an event begins new work rather than continues it. A
// plain service records only calls, without an event name.
func beginsWork(event string) bool {
	return event == "" || event == "Prefill" || event == "Import"
}

// TestPlannedStops stops two agents of model engines, one of a plain service, and
// an entry under load, one after another, through the operators' tool. No call may
// be cut off, and a leaving endpoint may get no new work.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "archive-trial")
	c.startControl("control-0")
	c.submitFile("../examples/archive.json")
	entries := []*process{c.startEntry("entry-0"), c.startEntry("entry-1")}
	endpoints := map[string]*process{}
	for i := range 2 {
		n := fmt.Sprintf("prefill-%d", i)
		_, endpoints[n] = c.startEngine(n, prefillRole, "summariser", engineSettings{})
		n = fmt.Sprintf("decode-%d", i)
		_, endpoints[n] = c.startEngine(n, decodeRole, "summariser", engineSettings{StepMicroseconds: 10_000, MemoryPieces: 20})
		n = fmt.Sprintf("service-%d", i)
		_, endpoints[n] = c.startService(n, "request-desk", 200*time.Millisecond)
	}
	c.awaitMembers(8, entries...)
	ctx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	l := &stopLoad{ctx: ctx}
	// Sixteen concurrent completions use four fifths of the memory that remains
	// after a decode engine has left.
	l.start(entries[0], 8)
	l.start(entries[1], 8)
	time.Sleep(time.Second)
	for _, n := range []string{"decode-1", "prefill-1", "service-1", "entry-1"} {
		requested := time.Now()
		if err := c.runTool(stopLimit, "stop", n); err != nil {
			t.Errorf("stop %s: %v", n, err)
			continue
		}
		t.Logf("%s stopped in %s", n, time.Since(requested).Round(time.Millisecond))
		if p := endpoints[n]; p != nil {
			if late := lastNewWork(t, p).Sub(requested); late > leavingTarget {
				t.Errorf("%s began new work %s after the stop was requested", n, late)
			}
			p.kill()
		}
	}
	stopCalls()
	l.group.Wait()
	t.Logf("%d calls, %d refused as not run or too many, %d failed; last refusal %s", l.sent, l.refusals, len(l.failures), l.lastRefusal)
	for i, x := range l.failures {
		if i < 5 {
			t.Errorf("%s failed: status %d, error %v, %.200s", x.kind, x.response.status, x.response.err, x.response.body)
		}
	}
	if l.sent < 100 || l.refusals*10 > l.sent {
		t.Errorf("%d calls with %d refusals: too few calls or too many refusals for the test to be meaningful", l.sent, l.refusals)
	}
}
