package entry

import (
	"sync"
	"time"
)

// delaySmoothing is the weight of the newest measurement in an average.
const delaySmoothing = 0.05

// delays learns how long prompts take at an engine. The zero value knows
// nothing yet. It is safe for concurrent use.
type delays struct {
	mu sync.Mutex
	// perToken is the running average of the prefill time of a prompt token
	// that was not cached.
	perToken time.Duration
}

// observe takes in a prefill.
func (d *delays) observe(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := took / time.Duration(tokens)
	if d.perToken == 0 {
		d.perToken = t
	}
	d.perToken += time.Duration(delaySmoothing * float64(t-d.perToken))
}

// prefill is the expected prefill time of a prompt.
func (d *delays) prefill(tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(tokens) * d.perToken
}

// delay returns what was learned about a model.
func (s *Server) delay(model string) *delays {
	d, _ := s.delays.LoadOrStore(model, &delays{})
	return d.(*delays)
}
