package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
	"ebonyreel/standin/ports"
)

const (
	// platformSoakLength is how long streams begin, and platformFaultsUntil how long faults
	// do, of which there are platformFaults.
	platformSoakLength  = 20 * time.Second
	platformFaultsUntil = 15 * time.Second
	platformFaults      = 24
	// platformStopTime is the time that a planned stop may take.
	platformStopTime = 10 * time.Second
	// allEntries stands for every entry in a disturbance.
	allEntries = -1
)

// disturbance is a time in which an entry may refuse what it would serve otherwise.
type disturbance struct {
	entry    int
	from, to time.Time
}

// platformSoak runs the real programs on the users' platform under random faults that
// overlap, while engines of new versions replace those of old ones.
type platformSoak struct {
	*cluster
	hosts   *hosts
	entries []*process
	engines *platformEngines

	mu           sync.Mutex
	disturbances []disturbance
	// version is the number of the newest version.
	version int
}

// disturb runs a fault that disturbs an entry until it returns.
func (s *platformSoak) disturb(entry int, fault func()) {
	from := time.Now()
	s.mu.Lock()
	i := len(s.disturbances)
	s.disturbances = append(s.disturbances, disturbance{entry: entry, from: from, to: from.Add(time.Hour)})
	s.mu.Unlock()
	fault()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances[i].to = time.Now()
}

// calm reports whether an entry was undisturbed for versionContact up to some time.
func (s *platformSoak) calm(entry int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if (d.entry == entry || d.entry == allEntries) && !at.Before(d.from) && at.Before(d.to.Add(versionContact)) {
			return false
		}
	}
	return true
}

// disturbed reports whether an entry itself was disturbed in a period.
func (s *platformSoak) disturbed(entry int, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if d.entry == entry && d.from.Before(to) && from.Before(d.to) {
			return true
		}
	}
	return false
}

// atEntry makes a fault of one random entry, which waits for the one before there.
func (s *platformSoak) atEntry(random *rand.Rand, fault func(p *process)) func() {
	i := random.IntN(len(s.entries))
	p := s.entries[i]
	return s.exclusive(p, func() { s.disturb(i, func() { fault(p) }) })
}

// atAllEntries makes a fault of all entries, which waits for those before at each.
func (s *platformSoak) atAllEntries(fault func()) func() {
	out := func() { s.disturb(allEntries, fault) }
	for _, e := range s.entries {
		out = s.exclusive(e, out)
	}
	return out
}

// atHosts makes a fault of some control hosts, which waits for the one before.
func (s *platformSoak) atHosts(targets []*process, fault func(p *process), undo func(p *process), d time.Duration) func() {
	return s.exclusive(s.hosts, func() {
		s.disturb(allEntries, func() {
			for _, p := range targets {
				fault(p)
			}
			time.Sleep(d)
			for _, p := range targets {
				undo(p)
			}
		})
	})
}

// drawFault draws a fault, of control hosts too where control is not to stay calm, and its
// name.
func (s *platformSoak) drawFault(random *rand.Rand, controlCalm bool) (string, func()) {
	d := 200*time.Millisecond + time.Duration(random.Int64N(int64(2800*time.Millisecond)))
	one := s.hosts.processes[random.IntN(len(s.hosts.processes)):][:1]
	kinds := 12
	if controlCalm {
		kinds = 8
	}
	switch random.IntN(kinds) {
	case 0:
		return "entry killed", s.atEntry(random, func(p *process) {
			p.kill()
			time.Sleep(d)
			s.startAgain(p)
		})
	case 1:
		return "entry frozen", s.atEntry(random, func(p *process) {
			p.freeze()
			time.Sleep(d)
			p.thaw()
		})
	case 2:
		return "entry stopped", s.atEntry(random, func(p *process) {
			if !p.stop(platformStopTime) {
				p.kill()
			}
			s.startAgain(p)
		})
	case 3:
		return "engine crashed", func() {
			if e := s.engines.find("", ""); e != nil {
				e.crash()
			}
		}
	case 4:
		return "engine replaced", func() { s.replaceEngine(d / 2) }
	case 5:
		return "engine leaves by its answers", func() {
			if e := s.engines.find("", ""); e != nil {
				s.engines.start(s.t.Context(), ports.Free(), e.currentStage(), e.version)
				e.leave(2 * wordDrainTime)
			}
		}
	case 6:
		return "engine turns calls away", func() {
			if e := s.engines.find("prefill", ""); e != nil {
				e.pause(d)
			}
		}
	case 7:
		return "all entries killed", s.atAllEntries(func() {
			killAll(s.entries)
			time.Sleep(d)
			for _, e := range s.entries {
				s.startAgain(e)
			}
		})
	case 8:
		return "control host killed", s.atHosts(one, (*process).kill, s.startAgain, d)
	case 9:
		return "control host frozen", s.atHosts(one, (*process).freeze, (*process).thaw, d)
	case 10:
		return "all control hosts frozen", s.atHosts(s.hosts.processes, (*process).freeze, (*process).thaw, d)
	}
	return "all control hosts killed", s.atHosts(s.hosts.processes, (*process).kill, s.startAgain, d)
}

// replaceEngine starts an engine of the newest version, and ends one of another a while
// later. Every few engines the version changes.
func (s *platformSoak) replaceEngine(after time.Duration) {
	s.mu.Lock()
	s.version++
	newest := fmt.Sprint("v", 2+s.version/3)
	s.mu.Unlock()
	old := s.engines.find("", "")
	if old == nil {
		return
	}
	s.engines.start(s.t.Context(), ports.Free(), old.currentStage(), newest)
	time.Sleep(after)
	old.retire()
}

// TestPlatformSoak guards against streams of two versions, refusals of streams that could go
// on, calls to engines that leave or want a pause, and accounts that use more than their quota
// or pass their keys on, under random faults of entries, control hosts and engines that
// overlap.
func TestPlatformSoak(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		for _, controlCalm := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, control calm %t", seed, controlCalm), func(t *testing.T) { runPlatformSoak(t, seed, controlCalm) })
		}
	}
}

func runPlatformSoak(t *testing.T, seed uint64, controlCalm bool) {
	random := rand.New(rand.NewPCG(seed, 6))
	c := newCluster(t, "production")
	s := &platformSoak{cluster: c, hosts: startPlatformHosts(c)}
	s.hosts.putConfigurationBody(t, 0, accountConfiguration(5, "club-key"))
	service := startAccountService(t, c)
	s.engines = newPlatformEngines(t, c.controls, 8, 4, "v1", "v2")
	s.entries = startStreamEntries(c)
	start := time.Now()
	var all sync.WaitGroup
	for range platformFaults {
		at := time.Duration(random.Int64N(int64(platformFaultsUntil)))
		name, fault := s.drawFault(random, controlCalm)
		all.Go(func() {
			clock.Sleep(t.Context(), at)
			t.Logf("%7s  %s", time.Since(start).Round(time.Millisecond), name)
			fault()
		})
	}
	all.Go(func() { flood(t, s.entries, "club-key", platformSoakLength) })
	streams := playStreams(t, s.entries, s.engines, platformSoakLength, func(n int) bool { return n%8 == 1 })
	all.Wait()
	checkQuota(t, service, start)
	checkVersions(t, streams)
	checkResumptions(t, named(streams), func(r streamTry) bool { return !r.alone && s.calm(r.entry, r.sent) })
	checkWords(t, s.engines, streams, s.disturbed)
}

// named returns the streams whose callers name the request that began them.
func named(streams []*callersStream) []*callersStream {
	return slices.DeleteFunc(slices.Clone(streams), func(s *callersStream) bool { return s.unnamed })
}
