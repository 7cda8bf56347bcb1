package engines

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ebonyreel/answers"
	"ebonyreel/standin/faulty"
)

// answerLimit bounds how long a client may take with an answer that never ends, and
// memoryLimit the memory that it may allocate for it.
const (
	answerLimit = 3 * time.Second
	memoryLimit = 32 << 20
)

// TestMisbehavingEngine calls engines whose answers break off or never end. None may
// look like a whole answer, or take much time or memory.
func TestMisbehavingEngine(t *testing.T) {
	for _, k := range append(faulty.Answers(), faulty.Answer{Name: "body without a length breaks off", Write: func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"Handle\":\"a"))
	}}) {
		t.Run(k.Name, func(t *testing.T) {
			client := NewClient(faulty.Listen(t, k.Write), &answers.Budget{})
			ctx, cancel := context.WithTimeout(t.Context(), 2*answerLimit)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			if _, err := client.Prefill(ctx, PrefillCall{Request: "r/1", Prompt: "deed"}); err == nil {
				t.Error("answer counts as whole")
			}
			runtime.ReadMemStats(&after)
			if took := time.Since(start); took > answerLimit {
				t.Errorf("took %s", took)
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > memoryLimit {
				t.Errorf("%d bytes allocated", grown)
			}
		})
	}
}

// TestSecondCopy has an engine send each answer twice. The second copy must not be
// taken for the answer to the next call.
func TestSecondCopy(t *testing.T) {
	var calls atomic.Int32
	client := NewClient(faulty.Listen(t, func(c net.Conn) {
		body := `{"Handle":"` + strings.Repeat("a", int(calls.Add(1))) + `"}`
		one := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		_, _ = c.Write([]byte(one + one))
		time.Sleep(10 * time.Millisecond)
	}), &answers.Budget{})
	for i := 1; i <= 3; i++ {
		res, err := client.Prefill(t.Context(), PrefillCall{Request: "r/1", Prompt: "deed"})
		if err != nil || len(res.Handle) != i {
			t.Errorf("call %d: handle %q, error %v", i, res.Handle, err)
		}
	}
}
