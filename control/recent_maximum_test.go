package control

import (
	"testing"
	"time"
)

// TestRecentMaximum guards against a maximum that one reader takes from another, or that
// outlasts its minute.
func TestRecentMaximum(t *testing.T) {
	var r recentMaximum
	start := time.Unix(1000, 0)
	r.observe(start, 3*time.Second)
	r.observe(start.Add(30*time.Second), time.Second)
	for _, k := range []struct {
		after time.Duration
		want  int64
	}{{30 * time.Second, 3000}, {30 * time.Second, 3000}, {60 * time.Second, 1000}, {90 * time.Second, 0}} {
		if got := r.milliseconds(start.Add(k.after)); got != k.want {
			t.Errorf("%d ms after %s, want %d", got, k.after, k.want)
		}
	}
}
