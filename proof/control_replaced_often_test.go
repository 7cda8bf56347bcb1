package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// hostsReplaced is the number of hosts that are lost for good, one after the other.
	hostsReplaced = 6
	// changeTarget is the time within which a change must be acknowledged, and a host
	// that has started again must answer the newest one.
	changeTarget = 4 * time.Second
	// changeTimeout is how long a change that misses changeTarget is tried.
	changeTimeout = 15 * time.Second
	// learnerMinLife and learnerMaxLife bound how long after its start a host that joins
	// is killed.
	learnerMinLife = 200 * time.Millisecond
	learnerMaxLife = time.Second
)

// TestControlReplacedOften changes a large document all the time, while hosts are replaced
// by empty ones of other names and addresses, and others are lost while they join. It
// guards against leaders that send the log again and again, also to hosts that are gone, so
// that messages come seconds late, the leadership changes often and no change is acknowledged.
func TestControlReplacedOften(t *testing.T) {
	for s := range *seedCount {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Setenv("GOMAXPROCS", "1")
			c := newCluster(t, "production")
			r := &replacements{hosts: startPlatformHostsWithin(c, hostMegabytes), random: rand.New(rand.NewPCG(seed, 1))}
			changes := &documentChanges{targets: r.hosts.addresses()}
			changes.start(t)
			for range hostsReplaced {
				r.replace(t, changes)
			}
			newest := changes.stop(t)
			t.Logf("term %d", r.hosts.status(r.hosts.leader()).Term)
			r.hosts.restartAll(t, newest)
		})
	}
}

// replacements replaces control hosts. The zero value is not usable.
type replacements struct {
	hosts  *hosts
	random *rand.Rand
	// started is the number of hosts that were started after the first three.
	started int
}

// replace kills a host, and starts an empty one in its place and another one that is
// killed while it joins.
func (r *replacements) replace(t *testing.T, changes *documentChanges) {
	t.Helper()
	h, i := r.hosts, r.random.IntN(len(r.hosts.processes))
	life := learnerMinLife + time.Duration(r.random.Int64N(int64(learnerMaxLife-learnerMinLife)))
	lost := h.processes[i]
	checkPeak(t, lost)
	lost.kill()
	h.processes[i] = r.start(t)
	start := time.Now()
	r.tellAddresses(changes)
	learner := r.start(t)
	time.Sleep(life)
	learner.kill()
	elapsed := r.awaitVoter(t, i, lost, start)
	t.Logf("%s replaced %s in %s; another one was killed after %s; term %d", h.processes[i].name, lost.name, elapsed, life, h.status(h.leader()).Term)
}

// awaitVoter waits until a host that started at some time is a voter in place of a lost
// one, checks that it was in time, and returns how long it took.
func (r *replacements) awaitVoter(t *testing.T, i int, lost *process, start time.Time) time.Duration {
	t.Helper()
	h := r.hosts
	eventually(t, 15*time.Second, "the replacement of "+lost.name+" is a voter", func() bool {
		s := h.status(h.leader()).Servers
		return len(s) == 3 && slices.Contains(s, h.processes[i].name) && !slices.Contains(s, lost.name)
	})
	elapsed := time.Since(start)
	if elapsed > replacementTarget {
		t.Errorf("the replacement of %s was a voter after %s, expected at most %s", lost.name, elapsed, replacementTarget)
	}
	return elapsed
}

// tellAddresses makes changes go to the hosts as they are now.
func (r *replacements) tellAddresses(changes *documentChanges) {
	h := r.hosts
	h.cluster.controls = nil
	for _, p := range h.processes {
		h.cluster.controls = append(h.cluster.controls, p.address)
	}
	changes.setTargets(h.addresses())
}

// start starts an empty host that knows the addresses of the others.
func (r *replacements) start(t *testing.T) *process {
	p := newHost(t, 3+r.started)
	r.started++
	var seeds []netip.AddrPort
	for _, o := range r.hosts.processes {
		seeds = append(seeds, o.address)
	}
	s := seedSettings(r.hosts.cluster, p, seeds, false)
	s.MemoryMegabytes = hostMegabytes
	return r.hosts.cluster.start(p, s)
}

// restartAll kills all hosts at once, and checks that each answers the newest
// configuration in time once they have started again.
func (h *hosts) restartAll(t *testing.T, newest []byte) {
	t.Helper()
	for _, p := range h.processes {
		checkPeak(t, p)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range h.processes {
		<-p.exited
	}
	for _, p := range h.processes {
		h.cluster.launch(p)
	}
	start := time.Now()
	for i, p := range h.processes {
		eventually(t, changeTarget-time.Since(start), p.name+" answers the newest configuration", func() bool {
			return bytes.Equal(h.readConfiguration(i), newest)
		})
		t.Logf("%s answers after %s", p.name, time.Since(start))
		checkPeak(t, p)
	}
}

// documentChanges changes a large document, each time as soon as the last change is
// acknowledged.
type documentChanges struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	// newest and slowest are read once done.
	newest  int
	slowest time.Duration

	mu sync.Mutex
	// targets are the hosts to which changes are sent.
	targets []netip.AddrPort
}

func (d *documentChanges) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d.cancel = cancel
	d.done.Go(func() {
		for ctx.Err() == nil && d.change(t) {
		}
	})
}

// stop waits until the last change is acknowledged, and returns it.
func (d *documentChanges) stop(t *testing.T) []byte {
	t.Helper()
	d.cancel()
	d.done.Wait()
	t.Logf("%d changes, the slowest acknowledged after %s", d.newest, d.slowest)
	return largeConfiguration(d.newest)
}

func (d *documentChanges) setTargets(targets []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
}

// target returns one host after the other.
func (d *documentChanges) target(try int) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[try%len(d.targets)]
}

// change sends the next change to one host after the other, and reports whether one of
// them acknowledged it.
func (d *documentChanges) change(t *testing.T) bool {
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	start := time.Now()
	body := largeConfiguration(d.newest + 1)
	for try := d.newest; !putOnce(ctx, d.target(try), body); try++ {
		if !clock.Sleep(ctx, 20*time.Millisecond) {
			t.Errorf("change %d was not acknowledged in %s; before it the slowest one took %s", d.newest+1, time.Since(start), d.slowest)
			return false
		}
	}
	d.newest++
	elapsed := time.Since(start)
	d.slowest = max(d.slowest, elapsed)
	if elapsed > changeTarget {
		t.Errorf("change %d was acknowledged after %s, expected at most %s", d.newest, elapsed, changeTarget)
	}
	return true
}

// putOnce sends a configuration to a host, and reports whether it was acknowledged.
func putOnce(ctx context.Context, address netip.AddrPort, body []byte) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address.String()+"/config", bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
