package proof

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
	// memoryCheckInterval is the time between two readings of a process's memory.
	memoryCheckInterval = 10 * time.Millisecond
)

// supervisor starts processes again that end by themselves, and kills those that exceed
// their memory. At its end the test fails for each of these.
type supervisor struct {
	t       *testing.T
	cluster *cluster

	mu sync.Mutex
	// ends lists why processes ended by themselves.
	ends []string
}

func newSupervisor(t *testing.T, c *cluster) *supervisor {
	s := &supervisor{t: t, cluster: c}
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.ends {
			t.Errorf("ended by itself: %s", e)
		}
	})
	return s
}

// watch supervises a process, which may use some mebibytes of memory, until the returned
// function is called.
func (s *supervisor) watch(p *process, megabytes int) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var done sync.WaitGroup
	done.Go(func() {
		for {
			reason := awaitEnd(ctx, p, megabytes)
			if ctx.Err() != nil {
				return
			}
			p.kill()
			s.add(p.name + " " + reason)
			if !clock.Sleep(ctx, restartDelay) {
				return
			}
			s.cluster.launch(p)
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

func (s *supervisor) add(end string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, end)
}

// awaitEnd waits until a process exits or exceeds its memory, and returns which. The
// result is empty where the context ends first.
func awaitEnd(ctx context.Context, p *process, megabytes int) string {
	for clock.Sleep(ctx, memoryCheckInterval) {
		select {
		case <-p.exited:
			return "exited"
		default:
		}
		if peak, ok := peakMegabytes(p); ok && peak > megabytes {
			return fmt.Sprintf("used %d MiB of %d", peak, megabytes)
		}
	}
	return ""
}

// peakMegabytes returns the most memory that a process has had, in mebibytes. ok is false
// where it has exited.
func peakMegabytes(p *process) (megabytes int, ok bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	_, line, _ := strings.Cut(string(b), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(line, &kilobytes); err != nil {
		return 0, false
	}
	return kilobytes >> 10, true
}
