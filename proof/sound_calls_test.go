package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// soundAnswer is what a soundService answers.
	soundAnswer = "done"
	// soundFirst is the time within which a service is known, and soundCallInterval the
	// time between two calls.
	soundFirst        = 15 * time.Second
	soundCallInterval = 20 * time.Millisecond
	// soundServed is the least share of sound calls that are served, in percent.
	soundServed = 99
)

// soundService is a plain service on the users' platform that answers at once.
type soundService struct{}

// ServeHTTP answers a call.
func (*soundService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "seal")
	_, _ = io.WriteString(w, soundAnswer)
}

// soundCalls are calls to an entry that a sound service answers.
type soundCalls struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	served int
	// failed lists how the calls ended that were not served.
	failed []string
}

// startSoundCalls makes calls to a path of an entry on the users' platform, one each
// soundCallInterval, until they are checked.
func startSoundCalls(t *testing.T, entry *process, path string) *soundCalls {
	t.Helper()
	return startCalls(t, func(n int) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.address.String()+path, nil)
		if err != nil {
			return err
		}
		r.Host = "desk.example"
		r.Header.Set("X-Attempt-Id", fmt.Sprint("sound-", n))
		r.Header.Set("X-Deadline-Ms", "2500")
		return deskAnswer(r)
	})
}

// startCalls makes a call each soundCallInterval. The error of call tells why it was not
// served.
func startCalls(t *testing.T, call func(n int) error) *soundCalls {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &soundCalls{cancel: cancel}
	eventually(t, soundFirst, "a sound call is served", func() bool { return call(0) == nil })
	s.done.Go(func() {
		for n := 1; clock.Sleep(ctx, soundCallInterval); n++ {
			s.done.Go(func() { s.add(call(n)) })
		}
	})
	return s
}

// deskAnswer makes a call. The error tells why it was not served.
func deskAnswer(r *http.Request) error {
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || string(b) != soundAnswer) {
		err = &unservedError{status: res.StatusCode, body: string(b)}
	}
	return err
}

// unservedError reports a call that was not served.
type unservedError struct {
	status int
	body   string
}

func (e *unservedError) Error() string {
	return fmt.Sprintf("status %d, %.80s", e.status, e.body)
}

func (s *soundCalls) add(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed = append(s.failed, err.Error())
		return
	}
	s.served++
}

// check ends the calls, and checks that they were served.
func (s *soundCalls) check(t *testing.T) {
	t.Helper()
	s.cancel()
	s.done.Wait()
	t.Logf("%d sound calls served, %d not", s.served, len(s.failed))
	if all := s.served + len(s.failed); s.served*100 < all*soundServed || all == 0 {
		t.Errorf("%d of %d sound calls were served, the first failure: %s", s.served, all, append(s.failed, "none")[0])
	}
}
