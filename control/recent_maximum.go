package control

import (
	"sync"
	"time"
)

// recentSeconds is the number of seconds that a recentMaximum covers.
const recentSeconds = 60

// recentMaximum is the longest of the durations observed within the last recentSeconds.
// The zero value is empty. It is safe for concurrent use.
type recentMaximum struct {
	mu sync.Mutex
	// seconds holds the longest duration of each second, at the second modulo the length.
	seconds [recentSeconds]secondMaximum
}

type secondMaximum struct {
	second  int64
	longest time.Duration
}

func (r *recentMaximum) observe(now time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.seconds[now.Unix()%recentSeconds]
	if s.second != now.Unix() {
		*s = secondMaximum{second: now.Unix()}
	}
	s.longest = max(s.longest, d)
}

// milliseconds returns the maximum, for expvar.
func (r *recentMaximum) milliseconds(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := time.Duration(0)
	for _, s := range r.seconds {
		if now.Unix()-s.second < recentSeconds {
			longest = max(longest, s.longest)
		}
	}
	return longest.Milliseconds()
}
