package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// endsReplaced is the number of hosts that are replaced, the leader first, and
	// endsPause how long documents change before and after each.
	endsReplaced = 3
	endsPause    = 7 * time.Second
	// successorDelay is the time between the loss of a host and the start of its successor.
	successorDelay = 2 * time.Second
	// entryMegabytes is the memory of an entry.
	entryMegabytes = 112
)

// TestReplacedHostsEndNone changes a large document all the time and replaces control hosts
// by empty ones, while a supervisor kills processes above their memory and starts them
// again. It guards against leaders that exceed their memory one after the other while they
// send an empty host the log, so that processes end by themselves again and again.
func TestReplacedHostsEndNone(t *testing.T) {
	for s := range *seedCount {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Setenv("GOMAXPROCS", "1")
			c := newCluster(t, "production")
			h := startPlatformHostsWithin(c, hostMegabytes)
			r, v := &replacements{hosts: h, random: rand.New(rand.NewPCG(seed, 1))}, newSupervisor(t, c)
			unwatch := map[*process]func(){}
			for _, p := range h.processes {
				unwatch[p] = v.watch(p, hostMegabytes)
			}
			h.putConfigurationBody(t, 0, largeConfiguration(1))
			startDeskService(t, "i-1", &soundService{}, c.controls)
			entry := startPlatformEntryWithin(c, "entry-0", entryMegabytes)
			awaitReady(t, entry)
			v.watch(entry, entryMegabytes)
			calls := startSoundCalls(t, entry, "/route-of-some-length-0/1")
			changes := &documentChanges{targets: h.addresses(), newest: 1}
			changes.start(t)
			for n := range endsReplaced {
				clock.Sleep(t.Context(), endsPause)
				i := r.random.IntN(len(h.processes))
				if n == 0 {
					i = h.leader()
				}
				lost := h.processes[i]
				checkPeak(t, lost)
				unwatch[lost]()
				lost.kill()
				clock.Sleep(t.Context(), successorDelay)
				start := time.Now()
				h.processes[i] = r.start(t)
				unwatch[h.processes[i]] = v.watch(h.processes[i], hostMegabytes)
				r.tellAddresses(changes)
				t.Logf("%s was a voter after %s", h.processes[i].name, r.awaitVoter(t, i, lost, start))
			}
			clock.Sleep(t.Context(), endsPause)
			newest := changes.stop(t)
			calls.check(t)
			for _, p := range h.processes {
				checkPeak(t, p)
				unwatch[p]()
			}
			h.restartAll(t, newest)
		})
	}
}
