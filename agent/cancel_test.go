package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/answers"
	"ebonyreel/engines"
)

// TestStuckCancel checks that a cancel without an answer does not block the
// others, and that a failed one is repeated.
func TestStuckCancel(t *testing.T) {
	failOnce := make(chan bool, 1)
	failOnce <- true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c engines.CancelCall
		_ = json.NewDecoder(r.Body).Decode(&c)
		switch c.Request {
		case "stuck":
			<-r.Context().Done()
		case "repeated":
			select {
			case <-failOnce:
				w.WriteHeader(http.StatusInternalServerError)
			default:
			}
		}
	}))
	defer s.Close()
	c := newCanceller(engines.NewClient(netip.MustParseAddrPort(s.Listener.Addr().String()), &answers.Budget{}), logrus.NewEntry(logrus.New()))
	go c.run(t.Context())
	confirmed := make(chan string, 3)
	for _, r := range []string{"stuck", "repeated", "other"} {
		c.cancel(r, func() { confirmed <- r })
	}
	got := map[string]bool{}
	timeout := time.After(cancelTimeout)
	for len(got) < 2 {
		select {
		case r := <-confirmed:
			got[r] = true
		case <-timeout:
			t.Fatalf("confirmed before the timeout: %v, want repeated and other", got)
		}
	}
	if got["stuck"] {
		t.Error("a cancel without an answer was confirmed")
	}
}
