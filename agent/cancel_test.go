package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/engines"
)

// TestStuckCancel checks that a cancel without an answer holds up no other,
// and that one that failed is repeated.
func TestStuckCancel(t *testing.T) {
	failed := make(chan bool, 1)
	failed <- true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c engines.CancelCall
		_ = json.NewDecoder(r.Body).Decode(&c)
		switch c.Request {
		case "stuck":
			<-r.Context().Done()
		case "repeated":
			select {
			case <-failed:
				w.WriteHeader(http.StatusInternalServerError)
			default:
			}
		}
	}))
	defer s.Close()
	c := newCanceller(engines.NewClient(netip.MustParseAddrPort(s.Listener.Addr().String())), logrus.NewEntry(logrus.New()))
	go c.run(t.Context())
	confirmed := make(chan string, 3)
	for _, r := range []string{"stuck", "repeated", "other"} {
		c.cancel(r, func() { confirmed <- r })
	}
	got := map[string]bool{}
	limit := time.After(cancelTimeout)
	for len(got) < 2 {
		select {
		case r := <-confirmed:
			got[r] = true
		case <-limit:
			t.Fatalf("confirmed in time: %v, want repeated and other", got)
		}
	}
	if got["stuck"] {
		t.Error("a cancel without an answer was confirmed")
	}
}
