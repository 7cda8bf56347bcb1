package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	entryMegabytes = 134
	// largeBody is maxBodyBytes of the configuration.
	largeBody = 4 << 20
	// uploadRate is the speed of one client's link, in bytes a second.
	uploadRate = 2 << 20
	// usualUploads is the rate of large requests of all clients together; in a burst
	// burstFactor times as many come.
	usualUploads = 24
	burstFactor  = 2.3
	burstLength  = 5 * time.Second
	burstEvery   = 20 * time.Second
	bursts       = 5
	bodiesLength = 104 * time.Second
	// endsAllowed is the number of ends of one process by itself below which the rule holds,
	// on fewer than machinesAllowed machines.
	endsAllowed     = 3
	machinesAllowed = 2
	restartDelay    = 500 * time.Millisecond
)

// slowBody is a body that a client sends at the speed of its link.
type slowBody struct {
	left  int
	begin time.Time
	sent  int
}

func (s *slowBody) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if s.begin.IsZero() {
		s.begin = time.Now()
	}
	n := min(len(b), s.left, 64<<10)
	s.sent, s.left = s.sent+n, s.left-n
	time.Sleep(time.Until(s.begin.Add(time.Duration(float64(s.sent) / uploadRate * float64(time.Second)))))
	copy(b, bytes.Repeat([]byte("d"), n))
	return n, nil
}

// largeBodies checks that fewer than two entries end by themselves three times, while many
// clients come at once whose bodies are as long as the configuration allows.
func largeBodies(d *deployment) bool {
	d.startDeployment(3, 2, entryMegabytes)
	d.addWorkers(3, "desk", 60*time.Millisecond)
	d.launchAll(deskConfiguration, "desk.example", "/lookup/ready")
	o, begin := newOutcomes(), time.Now()
	until := begin.Add(bodiesLength)
	ends := d.limitMemory(until)
	deed := func(n int) request {
		return request{
			kind: "deed", method: http.MethodPost, host: "desk.example", path: fmt.Sprintf("/deed/%d", n),
			body: func() io.Reader { return &slowBody{left: largeBody} }, length: largeBody, limit: 14 * time.Second,
		}
	}
	waits := []*sync.WaitGroup{d.offer(until, usualUploads, deed, o)}
	for i := range bursts {
		if !d.trouble {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i)*burstEvery + 5*time.Second)))
		d.log("a burst begins")
		waits = append(waits, d.offer(time.Now().Add(burstLength), usualUploads*(burstFactor-1), deed, o))
	}
	for _, w := range waits {
		w.Wait()
	}
	d.recordRuns()
	d.log("served: %.4f of %d deeds %v", o.share("deed"), o.sent["deed"], o.last["deed"])
	machines := 0
	for _, e := range d.entries {
		n := ends(e)
		d.log("%s ended by itself %d times (memory over the limit)", e.name, n)
		if n >= endsAllowed {
			machines++
		}
	}
	return machines >= machinesAllowed
}

// limitMemory plays the platform: it kills an entry that uses more than its memory, and starts
// it again. The returned function tells how often each was.
func (d *deployment) limitMemory(until time.Time) func(*process) int {
	var mu sync.Mutex
	ends := map[*process]int{}
	for _, e := range d.entries {
		go func() {
			most := 0
			for time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
				used := residentMegabytes(e.pid())
				most = max(most, used)
				if used <= entryMegabytes {
					continue
				}
				d.log("%s uses %d MiB, more than %d: killed", e.name, used, entryMegabytes)
				e.kill()
				mu.Lock()
				ends[e]++
				mu.Unlock()
				time.Sleep(restartDelay)
				d.launch(e)
			}
			d.log("%s used %d MiB at most", e.name, most)
		}()
	}
	return func(p *process) int {
		mu.Lock()
		defer mu.Unlock()
		return ends[p]
	}
}

// residentMegabytes returns the anonymous memory of a process. Unlike the platform, it leaves
// out the program file, and bytes that have arrived but were not read.
func residentMegabytes(pid int) int {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return 0
}

// recordRuns writes what the workers ran to record.txt.
func (d *deployment) recordRuns() {
	for _, w := range d.workers {
		b, err := os.ReadFile(filepath.Join(d.dir, w.name+".runs"))
		d.must(err)
		for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			d.log("%s ran %s", w.name, line)
		}
	}
}
