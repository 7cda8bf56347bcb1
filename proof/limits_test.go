package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBadInput sends invalid calls, and checks that each is refused with the right
// code and that no endpoint ran one.
func TestBadInput(t *testing.T) {
	t.Parallel()
	_, e := startArchive(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	huge := strings.Repeat("x", 5<<20)
	deep := `{"model":"summariser","prompt":` + strings.Repeat("[", 20_000)
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"huge prompt", http.MethodPost, "/v1/completions", "reading-room-key", `{"model":"summariser","prompt":"` + huge + `"}`, 400, "not_understood"},
		{"deep nesting", http.MethodPost, "/v1/completions", "reading-room-key", deep, 400, "not_understood"},
		{"wrong type", http.MethodPost, "/v1/completions", "reading-room-key", `{"model":"summariser","prompt":7}`, 400, "not_understood"},
		{"trailing text", http.MethodPost, "/v1/completions", "reading-room-key", `{"model":"summariser","prompt":"a"} b`, 400, "not_understood"},
		{"negative bound", http.MethodPost, "/v1/completions", "reading-room-key", `{"model":"summariser","prompt":"a","max_tokens":-1}`, 400, "not_understood"},
		{"unknown model", http.MethodPost, "/v1/completions", "reading-room-key", `{"model":"other","prompt":"a"}`, 403, "not_allowed"},
		{"unknown caller", http.MethodPost, holdsPath, "nobody", "{}", 403, "not_allowed"},
		{"undeclared call", http.MethodDelete, holdsPath, "reading-room-key", "{}", 403, "not_allowed"},
		{"path upwards", http.MethodPost, "/services/request-desk/holds/%2e%2e/secret", "reading-room-key", "{}", 403, "not_allowed"},
		{"huge hold", http.MethodPost, holdsPath, "reading-room-key", huge, 400, "not_understood"},
	} {
		r := sendCall(ctx, e, c.method, c.path, c.key, "", c.body)
		if r.status != c.status || !strings.Contains(r.body, `"code":"`+c.code+`"`) {
			t.Errorf("%s: found %d %.200s %v, expected %d %s", c.name, r.status, r.body, r.err, c.status, c.code)
		}
	}
	histories, _ := filepath.Glob(filepath.Join(filepath.Dir(e.settings), "*.history"))
	for _, h := range histories {
		if b, _ := os.ReadFile(h); len(b) > 0 {
			t.Errorf("%s shows that an endpoint ran a call: %.200s", filepath.Base(h), b)
		}
	}
}

// TestSlowCaller opens a connection whose request body never arrives in full, and
// checks that the entry refuses the call in time.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	_, e := startArchive(t)
	c, err := net.Dial("tcp", e.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer reading-room-key\r\nContent-Length: 100\r\n\r\n{", holdsPath)
	const slowTarget = 15 * time.Second
	_ = c.SetReadDeadline(time.Now().Add(slowTarget))
	b := make([]byte, 64)
	n, err := c.Read(b)
	if err != nil || !strings.HasPrefix(string(b[:n]), "HTTP/1.1 400") {
		t.Errorf("call not refused within %s: %q %v", slowTarget, b[:n], err)
	}
}

// TestSharedLimits checks that two entries together enforce the limit on the calls
// in flight of one caller.
func TestSharedLimits(t *testing.T) {
	t.Parallel()
	const allowed, sent = 20, 60
	b, err := os.ReadFile("../examples/archive.json")
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, "archive-trial")
	c.startControl("control-0")
	file := filepath.Join(c.dir, "limited.json")
	limited := strings.Replace(string(b), `"Concurrency": 2000`, fmt.Sprintf(`"Concurrency": %d`, allowed), 1)
	if err := os.WriteFile(file, []byte(limited), 0o600); err != nil {
		t.Fatal(err)
	}
	c.submitFile(file)
	entries := []*process{c.startEntry("entry-0"), c.startEntry("entry-1")}
	c.startService("service-0", "request-desk", time.Second)
	c.awaitMembers(3, entries...)
	var answered, refused atomic.Int64
	var group sync.WaitGroup
	for i := range sent {
		group.Go(func() {
			r := sendCall(context.Background(), entries[i%2], http.MethodPost, holdsPath, "reading-room-key", "", fmt.Sprintf(`{"N":%d}`, i))
			switch {
			case r.status == http.StatusOK:
				answered.Add(1)
			case r.status == http.StatusTooManyRequests && r.header.Get("Retry-After") != "":
				refused.Add(1)
			}
		})
	}
	group.Wait()
	if answered.Load() != allowed || refused.Load() != sent-allowed {
		t.Errorf("%d calls answered and %d refused by two entries, expected %d and %d", answered.Load(), refused.Load(), allowed, sent-allowed)
	}
}
