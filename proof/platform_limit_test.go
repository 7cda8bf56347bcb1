package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
	"ebonyreel/standin/ports"
)

const (
	// limitedServiceRate is the limit that a service names, in requests a second, and
	// limitedServiceTime how long it takes for an answer.
	limitedServiceRate = 2
	limitedServiceTime = 300 * time.Millisecond
	// limitMergeTime is the time within which all entries know a limit or its end: two
	// renewals of their leases, and the turns of one entry.
	limitMergeTime = 6 * time.Second
	// limitBurst is the number of calls that one entry gets at once.
	limitBurst = 30
)

// limitedService is a plain service that may name a limit.
type limitedService struct {
	name    string
	mu      sync.Mutex
	limited bool
	arrived int
}

// ServeHTTP answers a call.
func (l *limitedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrived++
	if l.limited {
		w.Header().Set("Server-Limit", strconv.Itoa(limitedServiceRate))
	}
	l.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "seal")
	clock.Sleep(r.Context(), limitedServiceTime)
	w.WriteHeader(http.StatusOK)
}

// take returns the number of calls that have arrived, and counts from zero again.
func (l *limitedService) take() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.arrived
	l.arrived = 0
	return n
}

func (l *limitedService) setLimited(limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = limited
}

// TestPlatformLimitShared guards against entries that have had no answer from an endpoint
// and send it a burst, though it has named a limit to another entry; and against entries
// that keep to a limit that has ended.
func TestPlatformLimitShared(t *testing.T) {
	c := newCluster(t, "production")
	h := startPlatformHosts(c)
	h.putConfigurationBody(t, 0, []byte(platformConfiguration))
	services := []*limitedService{{name: "i-1", limited: true}, {name: "i-2"}}
	for _, l := range services {
		startDeskService(t, l.name, l, c.controls)
	}
	entries := []*process{startPlatformEntry(c, "entry-0"), startPlatformEntry(c, "entry-1")}
	for _, e := range entries {
		awaitReady(t, e)
	}
	limited := services[0]
	callUntil(t, entries[0], limitMergeTime)
	limited.take()
	burst(t, entries[1])
	if n := limited.take(); n > limitedServiceRate {
		t.Errorf("an entry sent %d calls of its first burst to an endpoint that takes %d a second", n, limitedServiceRate)
	}
	limited.setLimited(false)
	callUntil(t, entries[0], limitMergeTime)
	limited.take()
	burst(t, entries[1])
	if n := limited.take(); n < limitBurst/4 {
		t.Errorf("an entry sent %d of %d calls to an endpoint whose limit had ended, expected about half", n, limitBurst)
	}
}

// awaitReady waits until an entry on the users' platform is ready.
func awaitReady(t *testing.T, e *process) {
	t.Helper()
	eventually(t, 15*time.Second, e.name+" is ready", func() bool {
		res, err := http.Get("http://" + e.operators.String() + "/readiness")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// callUntil makes calls to an entry for some time.
func callUntil(t *testing.T, entry *process, length time.Duration) {
	t.Helper()
	for start := time.Now(); time.Since(start) < length; {
		desk(t, entry)
		clock.Sleep(t.Context(), limitedServiceTime/3)
	}
}

// burst makes limitBurst calls to an entry at once.
func burst(t *testing.T, entry *process) {
	t.Helper()
	var done sync.WaitGroup
	for range limitBurst {
		done.Go(func() { desk(t, entry) })
	}
	done.Wait()
}

// desk makes one call for the desk. How it ends does not matter.
func desk(t *testing.T, entry *process) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.address.String()+"/desk/1", nil)
	if err != nil {
		t.Error(err)
		return
	}
	r.Host = "desk.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprint("r-", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "2500")
	if res, err := http.DefaultClient.Do(r); err == nil {
		_ = res.Body.Close()
	}
}

// startDeskService starts a service of the pool desk that announces itself until the test
// ends.
func startDeskService(t *testing.T, name string, s http.Handler, controls []netip.AddrPort) {
	t.Helper()
	address := ports.Free()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	announceService(t.Context(), t, announcedEndpoint{service: "desk", name: name, address: address, born: time.Now(), version: "v1"}, controls)
}

// announceService announces an endpoint in the background until the context ends.
func announceService(ctx context.Context, t *testing.T, e announcedEndpoint, controls []netip.AddrPort) {
	go func() {
		for n := 0; ; n++ {
			e.announce(ctx, t, controls[n%len(controls)])
			if !clock.Sleep(ctx, platformRenewal) {
				return
			}
		}
	}()
}
