package relay

import (
	"testing"
	"time"
)

// TestRetryDetector checks that callers who retry after a refusal are recognized by
// the rest of their timeout, that a few callers with much longer timeouts change
// nothing, and that a changed typical timeout is learned.
func TestRetryDetector(t *testing.T) {
	var d retryDetector
	const typical, remaining = 14 * time.Second, 9 * time.Second
	d.sinceFirstArrival("deeds", typical)
	for i := range 1000 {
		if i%10 == 0 {
			d.sinceFirstArrival("deeds", time.Hour)
		}
		if i%5 == 0 {
			d.sinceFirstArrival("deeds", remaining)
		}
		if got := d.sinceFirstArrival("deeds", typical); got != 0 {
			t.Fatalf("a new call counts as a retry after %s", got)
		}
	}
	if got := d.sinceFirstArrival("deeds", remaining); got < 4*time.Second || got > 6*time.Second {
		t.Errorf("retry after %s, 5s wanted", got)
	}
	if got := d.sinceFirstArrival("deeds", 0); got != 0 {
		t.Errorf("a call without a timeout counts as a retry after %s", got)
	}
	for range 200 {
		d.sinceFirstArrival("deeds", typical/2)
	}
	if got := d.sinceFirstArrival("deeds", typical/2); got != 0 {
		t.Errorf("half the timeout counts as a retry after %s once it is typical", got)
	}
}
