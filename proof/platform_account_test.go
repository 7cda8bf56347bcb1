package proof

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
	"ebonyreel/standin/ports"
)

const (
	// quotaRate and quotaBurst are the quota of an account, in requests a second and
	// requests, and quotaWindow the window in which it is checked.
	quotaRate   = 10
	quotaBurst  = 10
	quotaWindow = 8 * time.Second
	// quotaExcess is the tolerated excess in a window, in requests.
	quotaExcess = 20
	// quotaTokens is what a request counts.
	quotaTokens = 200
	// quotaInterval is the time between two calls to one entry: together they ask several
	// times the quota.
	quotaInterval = 50 * time.Millisecond
	// Of the times below, the leader is killed, an entry is frozen, and all control hosts
	// are, each for a while.
	quotaCalm    = 8 * time.Second
	quotaKill    = quotaCalm
	quotaFreeze  = 13 * time.Second
	quotaSilence = 19 * time.Second
	quotaOutage  = 3 * time.Second
	quotaLength  = 28 * time.Second
	// revokedWithin is the time within which a key that is taken away serves nobody.
	revokedWithin = 2 * time.Second
)

// accountConfiguration is platformConfiguration with two accounts, one of which has the
// given keys.
func accountConfiguration(version int, keys ...string) []byte {
	accounts := fmt.Sprintf(`"tenants":[{"name":"club","apiKeys":["%s"],"priority":0,"unit":"token_stream","plainTokens":%d,"ratePerS":%d,"burst":%d},`+
		`{"name":"free","apiKeys":["free-key"]}]`, strings.Join(keys, `","`), quotaTokens, quotaRate*quotaTokens, quotaBurst*quotaTokens)
	out := strings.Replace(platformConfiguration, `"version":5`, fmt.Sprint(`"version":`, version), 1)
	return []byte(strings.TrimSuffix(out, "}") + "," + accounts + "}")
}

// accountService is a plain service that notes for which account it runs requests.
type accountService struct {
	mu sync.Mutex
	// ran is when requests of an account ran, in order.
	ran map[string][]time.Time
	// keys counts requests that brought a key.
	keys int
}

// ServeHTTP answers a call.
func (a *accountService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	account := r.Header.Get("X-Tenant")
	a.ran[account] = append(a.ran[account], time.Now())
	if r.Header.Get("X-Credential") != "" {
		a.keys++
	}
	a.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "seal")
	w.WriteHeader(http.StatusOK)
}

// ranSince returns the number of requests of an account that ran since a time.
func (a *accountService) ranSince(account string, from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.ran[account] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// most returns the most requests of an account in any window, and when it began.
func (a *accountService) most(account string) (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, begin, times := 0, time.Time{}, a.ran[account]
	for from, to := 0, 0; to < len(times); to++ {
		for times[to].Sub(times[from]) > quotaWindow {
			from++
		}
		if n := to - from + 1; n > most {
			most, begin = n, times[from]
		}
	}
	return most, begin
}

// startAccounts starts control hosts, an accountService, and entries that are ready.
func startAccounts(t *testing.T, keys ...string) (*cluster, *hosts, *accountService, []*process) {
	t.Helper()
	c := newCluster(t, "production")
	h := startPlatformHosts(c)
	h.putConfigurationBody(t, 0, accountConfiguration(6, keys...))
	service := startAccountService(t, c)
	var entries []*process
	for i := range 3 {
		e := startPlatformEntry(c, fmt.Sprintf("entry-%d", i))
		entries = append(entries, e)
	}
	for _, e := range entries {
		eventually(t, 15*time.Second, e.name+" serves", func() bool { return accountCall(t, e, "free-key") == http.StatusOK })
	}
	return c, h, service, entries
}

// startAccountService starts an accountService that announces itself.
func startAccountService(t *testing.T, c *cluster) *accountService {
	t.Helper()
	service := &accountService{ran: map[string][]time.Time{}}
	address := ports.Free()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: service, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	announceService(t.Context(), t, announcedEndpoint{service: "desk", name: "desk-1", address: address, born: time.Now(), version: "v1"}, c.controls)
	return service
}

// checkQuota checks that the account club stayed within its quota in each window, and that
// no key reached the endpoint.
func checkQuota(t *testing.T, s *accountService, start time.Time) {
	t.Helper()
	allowed := (quotaRate*int(quotaWindow/time.Second)+quotaBurst)*11/10 + quotaExcess
	most, begin := s.most("club")
	t.Logf("at most %d requests of the account in a window, from %s on; %d allowed", most, begin.Sub(start), allowed)
	if most > allowed {
		t.Errorf("%d requests ran in the window from %s on, %d allowed", most, begin.Sub(start), allowed)
	}
	if s.keys > 0 {
		t.Errorf("%d requests brought a key to the endpoint", s.keys)
	}
}

// accountCall makes one call for the desk and returns its status; zero where there is none.
func accountCall(t *testing.T, entry *process, key string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.address.String()+"/desk/1", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host, r.Close = "desk.example", true
	r.Header.Set("X-Attempt-Id", fmt.Sprint("r-", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "2500")
	r.Header.Set("X-Credential", key)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// flood makes calls with a key to all entries for some time, and returns how many got each
// status.
func flood(t *testing.T, entries []*process, key string, length time.Duration) map[int]int {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses, start := map[int]int{}, time.Now()
	for time.Since(start) < length {
		for _, e := range entries {
			all.Go(func() {
				status := accountCall(t, e, key)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		clock.Sleep(t.Context(), quotaInterval)
	}
	all.Wait()
	return statuses
}

// TestPlatformQuota guards against an account that uses more than its quota of all entries
// together, or cannot use it, with the real programs on the users' platform: the owner of
// the quota is killed, an entry is frozen, and all of control is.
func TestPlatformQuota(t *testing.T) {
	c, h, service, entries := startAccounts(t, "club-key")
	// The bucket begins empty.
	clock.Sleep(t.Context(), 2*quotaBurst*time.Second/quotaRate)
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() {
		clock.Sleep(t.Context(), quotaKill)
		leader := h.processes[h.leader()]
		leader.kill()
		clock.Sleep(t.Context(), time.Second)
		c.launch(leader)
		clock.Sleep(t.Context(), time.Until(start.Add(quotaFreeze)))
		entries[1].freeze()
		clock.Sleep(t.Context(), quotaOutage)
		entries[1].thaw()
		clock.Sleep(t.Context(), time.Until(start.Add(quotaSilence)))
		for _, p := range h.processes {
			p.freeze()
		}
		clock.Sleep(t.Context(), quotaOutage)
		for _, p := range h.processes {
			p.thaw()
		}
	})
	calm := flood(t, entries, "club-key", quotaCalm)
	used := service.ranSince("club", start)
	statuses := flood(t, entries, "club-key", quotaLength-quotaCalm)
	all.Wait()
	if least := 9 * (quotaRate*int(quotaCalm/time.Second) + quotaBurst) / 10; used < least {
		t.Errorf("%d requests ran in the calm, at least %d are within the quota; statuses %v", used, least, calm)
	}
	t.Logf("%d in the calm %v; then statuses %v", used, calm, statuses)
	checkQuota(t, service, start)
	if n := service.ranSince("club", start.Add(quotaSilence+quotaOutage+revokedWithin)); n == 0 {
		t.Error("no request ran after the silence of control")
	}
}

// TestPlatformKeyRevoked guards against a key that still serves after it was taken away,
// at any entry, and against 401 for a key that every configuration allows.
func TestPlatformKeyRevoked(t *testing.T) {
	c, h, service, entries := startAccounts(t, "club-key", "lost-key")
	var all sync.WaitGroup
	var lost, kept map[int]int
	all.Go(func() { lost = flood(t, entries, "lost-key", 6*time.Second) })
	all.Go(func() { kept = flood(t, entries, "free-key", 6*time.Second) })
	clock.Sleep(t.Context(), time.Second)
	h.putConfigurationBody(t, 1, accountConfiguration(7, "club-key"))
	confirmed := time.Now()
	clock.Sleep(t.Context(), time.Second)
	// An entry that starts knows no configuration at first, and must not say that keys are
	// unknown.
	restartEntry(t, c, entries[2])
	all.Wait()
	if n := service.ranSince("club", confirmed.Add(revokedWithin)); n > 0 {
		t.Errorf("%d requests ran with the key later than %s after it was taken away", n, revokedWithin)
	}
	if lost[http.StatusUnauthorized] == 0 {
		t.Errorf("callers with the key got %v, never 401", lost)
	}
	if kept[http.StatusUnauthorized] > 0 || kept[http.StatusOK] == 0 {
		t.Errorf("callers with the other key got %v", kept)
	}
	if n := service.ranSince("free", confirmed.Add(revokedWithin)); n == 0 {
		t.Error("no request with the other key ran")
	}
}
