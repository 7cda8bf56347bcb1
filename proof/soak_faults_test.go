package proof

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// soakFaultsPerSecond is the mean number of faults that begin in a second at scale 1.
const soakFaultsPerSecond = 2

// soakEvent is one fault of a schedule.
type soakEvent struct {
	at       time.Duration
	fault    soakFault
	target   *process
	duration time.Duration
}

// soakFault is a kind of fault at processes of one group.
type soakFault struct {
	name    string
	targets func(s *soak) []*process
	// inject causes the fault and returns once it is undone.
	inject func(s *soak, p *process, d time.Duration)
}

func soakFaults() []soakFault {
	entries := func(s *soak) []*process { return s.entries }
	agents := func(s *soak) []*process { return s.agents }
	engines := func(s *soak) []*process { return s.engines() }
	services := func(s *soak) []*process { return s.services }
	controls := func(s *soak) []*process { return s.hosts.processes }
	both := []direction{toServer, toClient}
	return []soakFault{
		{"entry killed", entries, (*soak).killEntry},
		{"entry stopped", entries, (*soak).stopAndStart},
		{"entry frozen", entries, (*soak).freezeFor},
		{"entry settings changed", entries, (*soak).changeSettings},
		{"agent killed", agents, (*soak).killAndStart},
		{"agent stopped", agents, (*soak).stopAndStart},
		{"agent frozen", agents, (*soak).freezeFor},
		{"agent settings changed", agents, (*soak).changeSettings},
		{"agent connections reset", agents, func(s *soak, p *process, _ time.Duration) { s.links[p.name].closeOpen() }},
		{"agent connections silent", agents, func(s *soak, p *process, _ time.Duration) { s.links[p.name].blackholeOpen(both...) }},
		{"agent answers silent", agents, func(s *soak, p *process, _ time.Duration) { s.links[p.name].blackholeOpen(toClient) }},
		{"agent cut", agents, func(s *soak, p *process, d time.Duration) { s.cutFor(p, d, both...) }},
		{"agent cut one way", agents, func(s *soak, p *process, d time.Duration) { s.cutFor(p, d, toClient) }},
		{"agent slow", agents, (*soak).delayFor},
		{"engine killed", engines, func(s *soak, p *process, _ time.Duration) { s.exclusive(p, func() { _ = p.cmd.Process.Kill() })() }},
		{"engine frozen", engines, (*soak).freezeFor},
		{"engine cut one way", engines, func(s *soak, p *process, d time.Duration) { s.cutFor(p, d, toClient) }},
		{"engine slow", engines, (*soak).delayFor},
		{"service killed", services, (*soak).killAndStart},
		{"service frozen", services, (*soak).freezeFor},
		{"control killed", controls, atOneHost((*soak).killAndStart)},
		{"control stopped", controls, atOneHost((*soak).stopAndStart)},
		{"control frozen", controls, atOneHost((*soak).freezeFor)},
		{"control settings changed", controls, atOneHost((*soak).changeSettings)},
		{"control cut", controls, atOneHost((*soak).cutHost)},
		{"control loses its disk", controls, atOneHost(func(s *soak, p *process, _ time.Duration) { s.hosts.restartEmpty(slices.Index(s.hosts.processes, p)) })},
	}
}

// plan draws the schedule of a soak.
func (s *soak) plan(random *rand.Rand) []soakEvent {
	faults := soakFaults()
	var out []soakEvent
	for range int(soakTime.Seconds() * soakFaultsPerSecond * float64(*soakScale)) {
		f := faults[random.IntN(len(faults))]
		targets := f.targets(s)
		out = append(out, soakEvent{
			at: time.Duration(random.Int64N(int64(*soakTime))), fault: f, target: targets[random.IntN(len(targets))],
			duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(3500*time.Millisecond))),
		})
	}
	slices.SortFunc(out, func(a, b soakEvent) int { return int(a.at - b.at) })
	return out
}

// atOneHost makes a fault of control hosts wait for the one before and for all hosts
// to be voters again: the cluster bears the loss of one host at a time.
func atOneHost(f func(*soak, *process, time.Duration)) func(*soak, *process, time.Duration) {
	return func(s *soak, p *process, d time.Duration) {
		s.exclusive(s.hosts, func() {
			f(s, p, d)
			for i, h := range s.hosts.processes {
				eventually(s.t, 30*time.Second, h.name+" is a voter", func() bool { return s.hosts.status(i).Voter })
			}
		})()
	}
}

// startAgain launches a process and waits until it listens, as signals that reach it
// before its code runs end it.
func (c *cluster) startAgain(p *process) {
	c.launch(p)
	address := p.operators
	if !address.IsValid() {
		address = p.address
	}
	eventually(c.t, recoveryTarget, p.name+" listens", func() bool {
		n, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = n.Close()
		}
		return err == nil
	})
}

func (s *soak) killEntry(p *process, d time.Duration) {
	s.exclusive(p, func() {
		from := time.Now()
		p.kill()
		time.Sleep(d)
		s.startAgain(p)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.kills[p.name] = append(s.kills[p.name], period{from: from, to: time.Now()})
		s.starts++
	})()
}

func (s *soak) killAndStart(p *process, d time.Duration) {
	s.exclusive(p, func() {
		p.kill()
		time.Sleep(d)
		s.startAgain(p)
	})()
}

// stopAndStart stops a process as an operator does, and starts it again. It must end
// in time by itself.
func (s *soak) stopAndStart(p *process, d time.Duration) {
	s.exclusive(p, func() {
		if !p.stop(stopLimit) {
			s.t.Errorf("%s did not stop within %s", p.name, stopLimit)
			p.kill()
		}
		time.Sleep(d)
		s.startAgain(p)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.starts++
	})()
}

func (s *soak) freezeFor(p *process, d time.Duration) {
	s.exclusive(p, func() {
		p.freeze()
		time.Sleep(d)
		p.thaw()
	})()
}

// changeSettings changes the bytes of a settings file and asks for it to be read,
// twice in a row.
func (s *soak) changeSettings(p *process, _ time.Duration) {
	s.exclusive(p, func() {
		for range 2 {
			b, err := os.ReadFile(p.settings)
			if err == nil {
				err = os.WriteFile(p.settings, append(b, '\n'), 0o600)
			}
			if err != nil {
				s.t.Error(fmt.Errorf("settings of %s: %w", p.name, err))
			}
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
	})()
}

func (s *soak) cutFor(p *process, d time.Duration, directions ...direction) {
	l := s.links[p.name]
	s.exclusive(l, func() {
		l.cut(directions...)
		time.Sleep(d)
		l.heal()
	})()
}

// delayFor adds a latency of a tenth of the duration in both directions.
func (s *soak) delayFor(p *process, d time.Duration) {
	l := s.links[p.name]
	s.exclusive(l, func() {
		l.delay(toServer, d/10)
		l.delay(toClient, d/10)
		time.Sleep(d)
		l.heal()
	})()
}

// cutHost cuts a control host off from the others, both ways.
func (s *soak) cutHost(p *process, d time.Duration) {
	i := slices.Index(s.hosts.processes, p)
	for j := range s.hosts.processes {
		if j != i {
			s.hosts.links[i][j].cut(toServer, toClient)
			s.hosts.links[j][i].cut(toServer, toClient)
			defer s.hosts.links[i][j].heal()
			defer s.hosts.links[j][i].heal()
		}
	}
	time.Sleep(d)
}
