package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment of the programs on loopback addresses: three hosts of
// control and some entries, each a process of its own.
type deployment struct {
	root   string
	dir    string
	record *record

	controls []*process
	entries  []*process
	seeds    []string
	// withQuotas adds the bounds on quotas to the settings.
	withQuotas bool
	// memoryMb overrides the memory of entries; zero keeps that of the sheet.
	memoryMb int
}

// process is one program of the deployment.
type process struct {
	name    string
	program string
	file    string
	// address takes callers or, of control, endpoints and the operator.
	address string
	ready   string
	metrics string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// expected is true while the end of the process was asked for.
	expected bool
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// maxFds are the descriptors that the sheet gives to a process.
var maxFds = map[string]int{"entry": 4100, "control": 4096}

var usedPorts = map[int]bool{}

// freeAddress returns a free loopback address.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file as the platform does, as far as the
// templates need it.
func render(template string, values map[string]any) (string, error) {
	out := sections.ReplaceAllStringFunc(template, func(s string) string {
		m := sections.FindStringSubmatch(s)
		if _, ok := values[m[1]]; ok {
			return m[2]
		}
		return ""
	})
	var missing error
	out = placeholders.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholders.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			missing = fmt.Errorf("the template asks for %s", m[1])
			return ""
		}
		if m[2] != "" {
			b, err := json.Marshal(v)
			if err != nil {
				missing = err
			}
			return string(b)
		}
		return fmt.Sprint(v)
	})
	return out, missing
}

// settings returns the values that the platform has for a process.
func (d *deployment) settings(p *process, zone string) map[string]any {
	v := map[string]any{
		"nodeName": p.name, "zone": zone, "ip": "127.0.0.1", "seeds": d.seeds, "bootstrap": true,
		"listen.front": p.address, "listen.ready": p.ready, "listen.control": p.address,
		"limits.memoryMb": 134, "faultTolerance.machines": 1, "dataDir": filepath.Join(d.dir, p.name),
		"bounds.budgetRatio": 0.2, "bounds.budgetSlack": 52, "bounds.budgetWindowS": 10, "bounds.leaseMs": 3000,
	}
	if p.program == "control" {
		v["limits.memoryMb"] = 280
	} else if d.memoryMb > 0 {
		v["limits.memoryMb"] = d.memoryMb
	}
	if d.withQuotas {
		v["bounds.quotaWindowS"], v["bounds.quotaSlack"] = 8, 190000
	}
	return v
}

// write writes the settings file of a process. All processes are at one address here, so
// that the ports that the templates take for granted are replaced by free ones.
func (d *deployment) write(p *process, zone string) error {
	b, err := os.ReadFile(filepath.Join(d.root, "deploy", p.program+".json"))
	if err != nil {
		return err
	}
	template := strings.ReplaceAll(string(b), "{{ip}}:9100", p.metrics)
	template = strings.ReplaceAll(template, "{{ip}}:{{portRange.0}}", freeAddress())
	text, err := render(template, d.settings(p, zone))
	if err != nil {
		return err
	}
	p.file = filepath.Join(d.dir, p.name+".json")
	return os.WriteFile(p.file, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The platform limits the descriptors of each process (maxFds of the sheet).
	command := fmt.Sprintf("ulimit -n %d && exec target/%s --settings %s", maxFds[p.program], p.program, p.file)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.expected = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected {
			d.record.printf("%s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	_ = p.cmd.Process.Signal(s)
}

// kill kills a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// newDeployment starts the hosts of control and the entries, and returns once the entries
// are ready, with a configuration in force.
func newDeployment(root string, r *record, entries int, configuration string, adjust func(*deployment)) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, record: r}
	if adjust != nil {
		adjust(d)
	}
	zones := []string{"osu", "adabraka", "legon"}
	for i := range zones {
		p := &process{name: fmt.Sprintf("control-%d", i+1), program: "control", address: freeAddress(), metrics: freeAddress()}
		d.controls, d.seeds = append(d.controls, p), append(d.seeds, p.address)
	}
	for i := range entries {
		d.entries = append(d.entries, &process{
			name: fmt.Sprintf("entry-%d", i+1), program: "entry", address: freeAddress(), ready: freeAddress(), metrics: freeAddress(),
		})
	}
	for i, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if p.program == "control" {
			if err := os.MkdirAll(filepath.Join(dir, p.name), 0o700); err != nil {
				return d, err
			}
		}
		if err := d.write(p, zones[i%len(zones)]); err != nil {
			return d, err
		}
		if err := d.start(p); err != nil {
			return d, err
		}
	}
	if !eventually(20*time.Second, func() bool { return d.putConfiguration(configuration) == nil }) {
		return d, errors.New("no host of control takes the configuration")
	}
	for _, e := range d.entries {
		if !eventually(10*time.Second, func() bool { return isReady(e) }) {
			return d, fmt.Errorf("%s is not ready", e.name)
		}
	}
	return d, nil
}

func isReady(e *process) bool {
	res, err := quick.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// quick makes the calls of the platform and of the operator.
var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// putConfiguration sends a configuration to one host of control after the other until one
// acknowledges it.
func (d *deployment) putConfiguration(body string) error {
	var last error
	for _, c := range d.controls {
		r, err := http.NewRequest(http.MethodPut, "http://"+c.address+"/config", bytes.NewReader([]byte(body)))
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", "application/json")
		res, err := quick.Do(r)
		if err != nil {
			last = err
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d", res.StatusCode)
	}
	return last
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.controls...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.dir)
	}
}

func eventually(within time.Duration, f func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
