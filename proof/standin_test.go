package proof

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"ebonyreel/answers"
	"ebonyreel/engines"
	"ebonyreel/standin/ports"
)

// TestStandInEngine checks what the other tests do not cover: orders with fencing
// tokens, resumption, cache events and the delayed load report.
func TestStandInEngine(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := newCluster(t, "archive-trial")
	for _, checks := range []bool{true, false} {
		name := "engine-checks-" + strconv.FormatBool(checks)
		// The engine has no agent: an agent would cancel requests that it did not
		// send.
		p := &process{name: name, program: "engine", address: ports.Free()}
		c.start(p, engineSettings{Address: p.address, Agent: ports.Free(), Role: prefillRole, Model: "summariser", ChecksFencing: checks})
		e := engines.NewClient(p.address, &answers.Budget{})
		eventually(t, 10*time.Second, name+" runs", func() bool { _, err := e.Running(ctx); return err == nil })
		if err := e.Order(ctx, engines.Order{FencingNumber: 7, Version: "2"}); err != nil {
			t.Fatal(err)
		}
		err := e.Order(ctx, engines.Order{FencingNumber: 6, Version: "1"})
		var status *engines.StatusError
		if refused := errors.As(err, &status); refused != checks {
			t.Errorf("%s: an order with an old fencing token returned %v", name, err)
		}
		checkResume(ctx, t, e, p)
		eventually(t, 5*time.Second, "load report", func() bool {
			l, err := e.Load(ctx)
			return err == nil && l.PrefillTokens > 0
		})
		eventually(t, 5*time.Second, "cache event", func() bool { return len(getBody(t, p, "/Events?From=0")) > len("[]\n") })
	}
}

// checkResume decodes a request, stops after a few tokens, and reads the rest with
// a second call to the same engine.
func checkResume(ctx context.Context, t *testing.T, e *engines.Client, p *process) {
	t.Helper()
	res, err := e.Prefill(ctx, engines.PrefillCall{Request: "r/1", Prompt: "the deed of the estate"})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Import(ctx, engines.ImportCall{Request: "r/1", From: p.address, Handle: res.Handle, Pieces: 1}); err != nil {
		t.Fatal(err)
	}
	next := 0
	errStop := errors.New("stopped after enough tokens")
	consume := func(until int) func(engines.Token) error {
		return func(k engines.Token) error {
			if k.Position != next {
				t.Errorf("found a token with position %d, expected %d", k.Position, next)
			}
			next++
			if next == until {
				return errStop
			}
			return nil
		}
	}
	if err := e.Decode(ctx, engines.DecodeCall{Request: "r/1", MaxTokens: 12}, consume(5)); !errors.Is(err, errStop) {
		t.Fatal(err)
	}
	eventually(t, 5*time.Second, "stream resumed", func() bool {
		return e.Decode(ctx, engines.DecodeCall{Request: "r/1", FromPosition: next, MaxTokens: 12}, consume(0)) == nil
	})
	if next != 13 {
		t.Errorf("found %d lines, expected 12 tokens and the end", next)
	}
}

func getBody(t *testing.T, p *process, path string) string {
	t.Helper()
	res, err := http.Get("http://" + p.address.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestWeightStore reads two files concurrently, and checks that they share the
// rate limit.
func TestWeightStore(t *testing.T) {
	program := filepath.Join(t.TempDir(), "weightstore")
	if out, err := exec.Command("go", "build", "-o", program, "../standin/weightstore").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p := &process{address: ports.Free()}
	cmd := exec.Command(program, "-address", p.address.String(), "-size", "500000", "-bytes-per-second", "1000000")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	eventually(t, 5*time.Second, "weight store runs", func() bool {
		res, err := http.Head("http://" + p.address.String() + "/w")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return true
	})
	start := time.Now()
	read := make(chan int, 2)
	for range 2 {
		go func() { read <- len(getBody(t, p, "/w")) }()
	}
	if n := <-read + <-read; n != 1_000_000 {
		t.Errorf("read %d bytes, expected 1000000", n)
	}
	if elapsed := time.Since(start); elapsed < 800*time.Millisecond {
		t.Errorf("1 MB at 1 MB/s took only %s", elapsed)
	}
}
