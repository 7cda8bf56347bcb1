package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lowestPort  = 20_000
	highestPort = 32_000
)

// process is a program that the deployment starts.
type process struct {
	name    string
	command []string
	// address is where others reach the process: an entry's address for clients, a control
	// host's for all. ready is an entry's address for the readiness check.
	address string
	ready   string

	mu      sync.Mutex
	running *exec.Cmd
	exited  chan struct{}
}

// deployment is a small deployment on loopback, and the platform that starts it.
type deployment struct {
	dir     string
	trouble bool
	start   time.Time

	mu      sync.Mutex
	record  io.Writer
	all     []*process
	stopped bool

	controls []*process
	entries  []*process
	workers  []*process
	balancer balancer
	ports    []net.Listener
}

func newDeployment(dir string, record io.Writer, trouble bool) *deployment {
	d := &deployment{dir: dir, record: record, trouble: trouble, start: time.Now()}
	d.log("disruption: %v", trouble)
	return d
}

// log writes a line to record.txt, with the time since the start in seconds.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) must(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddress returns a loopback address that no process listens on, below the ephemeral
// ports, which outgoing connections take. All are reserved until releasePorts, so that none is
// returned twice.
func (d *deployment) freeAddress() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort)))
		if err == nil {
			d.ports = append(d.ports, l)
			return l.Addr().String()
		}
	}
}

func (d *deployment) releasePorts() {
	for _, l := range d.ports {
		_ = l.Close()
	}
	d.ports = nil
}

// launch starts a process, or starts it again after it has ended.
func (d *deployment) launch(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	out, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.must(err)
	c := exec.Command(p.command[0], p.command[1:]...)
	c.Stdout, c.Stderr = out, out
	d.must(c.Start())
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}()
	p.mu.Lock()
	p.running, p.exited = c, exited
	p.mu.Unlock()
	for _, known := range d.all {
		if known == p {
			return
		}
	}
	d.all = append(d.all, p)
}

// kill ends a process and waits until it is gone.
func (p *process) kill() {
	p.mu.Lock()
	c, exited := p.running, p.exited
	p.mu.Unlock()
	_ = c.Process.Kill()
	<-exited
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running.Process.Pid
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	d.mu.Lock()
	d.stopped = true
	all := d.all
	d.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
}

func (d *deployment) stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		d.stopAll()
		os.Exit(exitNotRun)
	}()
}

func (d *deployment) writeSettings(name string, fields map[string]any) string {
	b, err := json.MarshalIndent(fields, "", "  ")
	d.must(err)
	file := filepath.Join(d.dir, name+".json")
	d.must(os.WriteFile(file, b, 0o600))
	return file
}

// startDeployment starts control hosts and entries with the settings that deploy/control.json
// and deploy/entry.json give them.
func (d *deployment) startDeployment(controls, entries, entryMegabytes int) {
	var seeds []string
	for i := range controls {
		p := &process{name: fmt.Sprintf("control-%d", i), address: d.freeAddress()}
		seeds = append(seeds, p.address)
		file := d.writeSettings(p.name, map[string]any{
			"Name": p.name, "FailureDomain": fmt.Sprintf("zone-%d", i), "Peers": p.address, "Operators": d.freeAddress(), "Metrics": d.freeAddress(),
			"DataFolder": filepath.Join(d.dir, p.name), "WatchHistory": 1000, "Protocol": "Platform", "Environment": "production",
			"MemoryMegabytes": 280, "LearnPaces": true, "Seeds": seeds, "Tolerates": (controls - 1) / 2, "Bootstrap": true, "OrderPause": "3000ms",
		})
		p.command = []string{"target/control", "--settings", file}
		d.controls = append(d.controls, p)
	}
	for _, p := range d.controls {
		d.setField(p.name, "Seeds", seeds)
	}
	for i := range entries {
		p := &process{name: fmt.Sprintf("entry-%d", i), address: d.freeAddress(), ready: d.freeAddress()}
		file := d.writeSettings(p.name, map[string]any{
			"Name": p.name, "Environment": "production", "FailureDomain": fmt.Sprintf("zone-%d", i), "Callers": p.address, "Operators": p.ready,
			"Metrics": d.freeAddress(), "Peers": d.freeAddress(), "Controls": seeds, "Protocol": "Platform",
			"RetryBudget":     map[string]any{"Ratio": 0.2, "Slack": 52, "Window": "10s"},
			"MemoryMegabytes": entryMegabytes,
		})
		p.command = []string{"target/entry", "--settings", file}
		d.entries = append(d.entries, p)
	}
}

func (d *deployment) setField(name, field string, value any) {
	file := filepath.Join(d.dir, name+".json")
	b, err := os.ReadFile(file)
	d.must(err)
	fields := map[string]any{}
	d.must(json.Unmarshal(b, &fields))
	fields[field] = value
	d.writeSettings(name, fields)
}

// launchAll starts all processes, sends the first configuration and waits until the entries
// are ready and know it.
func (d *deployment) launchAll(configuration, probeHost, probePath string) {
	d.releasePorts()
	for _, p := range d.controls {
		d.launch(p)
	}
	for _, p := range append(append([]*process{}, d.entries...), d.workers...) {
		d.launch(p)
	}
	d.putConfiguration(configuration)
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range d.entries {
		for !probe(e.ready) || !answers(e.address, probeHost, probePath) {
			if time.Now().After(deadline) {
				panic("entry " + e.name + " does not serve")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.log("%d control hosts, %d entries and %d workers serve", len(d.controls), len(d.entries), len(d.workers))
	go d.balancer.run(d.entries)
}

// answers reports whether an entry answers a lookup with success.
func answers(address, host, path string) bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", newID())
	r.Header.Set("X-Deadline-Ms", "1000")
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// putConfiguration sends a configuration until it is acknowledged.
func (d *deployment) putConfiguration(body string) {
	c := &http.Client{Timeout: 2 * time.Second}
	for i := range 200 {
		r, err := http.NewRequest(http.MethodPut, "http://"+d.controls[i%len(d.controls)].address+"/config", strings.NewReader(body))
		d.must(err)
		r.Header.Set("Content-Type", "application/json")
		if res, err := c.Do(r); err == nil {
			b, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				d.log("configuration acknowledged")
				return
			}
			if res.StatusCode == http.StatusBadRequest {
				panic(string(bytes.TrimSpace(b)))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("the configuration was not acknowledged")
}

// balancer is the platform's load balancer: it checks each entry once a second, and takes it
// out after two misses.
type balancer struct {
	mu  sync.Mutex
	out map[*process]int
}

func (b *balancer) run(entries []*process) {
	for {
		for _, e := range entries {
			ok := probe(e.ready)
			b.mu.Lock()
			if b.out == nil {
				b.out = map[*process]int{}
			}
			b.out[e]++
			if ok {
				b.out[e] = 0
			}
			b.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// choose returns an entry that takes new connections, or any where none does.
func (b *balancer) choose(entries []*process, n int) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range entries {
		if e := entries[(n+i)%len(entries)]; b.out[e] < 2 {
			return e
		}
	}
	return entries[n%len(entries)]
}

func probe(address string) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + address + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
