package control

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestWatchEndsBehind guards against a host that serves an old state to its watchers: it
// hears its leader, but entries or a snapshot don't come through.
func TestWatchEndsBehind(t *testing.T) {
	s := NewServer(&Store{done: make(chan struct{})})
	for _, k := range []struct {
		behind time.Duration
		ends   bool
	}{
		{behind: 0, ends: false},
		{behind: 2 * leaderContactTimeout, ends: true},
	} {
		now := time.Now()
		s.store.status = Status{lastContact: now, currentAt: now.Add(-k.behind)}
		err := s.awaitChange(context.Background(), make(chan struct{}), leaderContactTimeout/4)
		var behind *NoContactError
		if ends := errors.As(err, &behind); ends != k.ends {
			t.Errorf("behind for %v: the watch ends with %v", k.behind, err)
		}
	}
}
