// Package proof runs the real programs as processes, injects failures, and
// checks the recorded histories.
package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"ebonyreel/controls"
	"ebonyreel/endpoints"
	controlv1 "ebonyreel/proto/control/v1"
	entryv1 "ebonyreel/proto/entry/v1"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/standin/ports"
	"ebonyreel/transport"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seedCount = flag.Int("seeds", 1, "number of seeds")
)

// binaryFolder holds the built programs.
var binaryFolder string

func TestMain(m *testing.M) {
	flag.Parse()
	logrus.SetLevel(logrus.ErrorLevel)
	dir, err := os.MkdirTemp("", "ebonyreel-proof")
	if err != nil {
		panic(err)
	}
	binaryFolder = dir
	for _, p := range []string{"cmd/entry", "cmd/agent", "cmd/control", "cmd/ebonyreel", "standin/engine", "standin/service"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, filepath.Base(p)), "../"+p).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is the set of processes of one test.
type cluster struct {
	t           testing.TB
	dir         string
	environment string
	// controls holds the addresses at which members dial the control hosts.
	controls []netip.AddrPort
	// linked holds the names of the processes to be put behind a link when
	// they start, and links the links by process name. A model engine's name
	// ends in "-engine". Members dial a control host through its link; the
	// test's own client does not.
	linked map[string]bool
	links  map[string]*link
	// directControls holds the addresses of the control hosts themselves, not
	// of their links.
	directControls []netip.AddrPort
	// faultLocks maps a process or link to the mutex that serializes its faults.
	faultLocks sync.Map
}

// exclusive wraps a fault so that faults of one process or link do not overlap.
func (c *cluster) exclusive(target any, f func()) func() {
	m, _ := c.faultLocks.LoadOrStore(target, new(sync.Mutex))
	return func() {
		m.(*sync.Mutex).Lock()
		defer m.(*sync.Mutex).Unlock()
		f()
	}
}

// saveFailedFiles copies the folder of a failed test, with its logs and
// histories, into the folder named by PROOF_KEEP.
func saveFailedFiles(t testing.TB, dir string) {
	folder := os.Getenv("PROOF_KEEP")
	if folder == "" || !t.Failed() {
		return
	}
	target := filepath.Join(folder, filepath.Base(t.Name()))
	if err := os.CopyFS(target, os.DirFS(dir)); err != nil {
		t.Log(err)
	}
}

// useLinks makes the named processes start behind links.
func (c *cluster) useLinks(names ...string) {
	for _, n := range names {
		c.linked[n] = true
	}
}

// dialAddress returns the address at which other processes reach a process. For
// a linked process it creates the link and returns the link's address.
func (c *cluster) dialAddress(name string, a netip.AddrPort) netip.AddrPort {
	c.t.Helper()
	if !c.linked[name] {
		return a
	}
	c.links[name] = newLink(c.t, name, a)
	return c.links[name].address
}

// process is one program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// address is where the process is called: an entry's address for callers,
	// an agent's or control host's address for peers, or an endpoint's address.
	// For a linked entry it is the link's address.
	address   netip.AddrPort
	operators netip.AddrPort
	// endpoint is where an agent listens to its endpoint.
	endpoint netip.AddrPort
	settings string
	program  string
	// history is the path of the history file that a stand-in writes.
	history string
	exited  chan struct{}
}

func newCluster(t testing.TB, environment string) *cluster {
	t.Helper()
	dir := t.TempDir()
	t.Cleanup(func() { saveFailedFiles(t, dir) })
	c := &cluster{t: t, dir: dir, environment: environment, linked: map[string]bool{}, links: map[string]*link{}}
	t.Cleanup(c.logTails)
	return c
}

// shownLogBytes bounds what is printed of the log of one process.
const shownLogBytes = 1 << 10

// logTails prints the end of each process log if the test has failed.
func (c *cluster) logTails() {
	if !c.t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err == nil {
			c.t.Logf("end of %s:\n%s", filepath.Base(f), b[max(0, len(b)-shownLogBytes):])
		}
	}
}

// start writes the settings file of a process and launches it.
func (c *cluster) start(p *process, settings any) *process {
	c.t.Helper()
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		c.t.Fatal(err)
	}
	p.settings = filepath.Join(c.dir, p.name+".json")
	p.log = filepath.Join(c.dir, p.name+".log")
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.launch(p)
	return p
}

// launch starts a process or restarts one that has exited. It is killed at the
// end of the test.
func (c *cluster) launch(p *process) {
	c.t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaryFolder, p.program), "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		close(exited)
	}()
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	})
}

// kill kills a process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// freeze suspends a process with SIGSTOP; thaw resumes it.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *process) thaw()   { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// stop requests a planned stop and reports whether the process exited within
// the timeout.
func (p *process) stop(timeout time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

type controlSettings struct {
	Name          string
	FailureDomain string
	Peers         netip.AddrPort
	Operators     netip.AddrPort
	DataFolder    string
}

func (c *cluster) startControl(name string) *process {
	c.t.Helper()
	p := &process{name: name, program: "control", address: ports.Free(), operators: ports.Free()}
	c.start(p, controlSettings{
		Name: name, FailureDomain: "osu", Peers: p.address, Operators: p.operators, DataFolder: filepath.Join(c.dir, name+".data"),
	})
	c.directControls = append(c.directControls, p.address)
	c.controls = append(c.controls, c.dialAddress(name, p.address))
	return p
}

type entrySettings struct {
	Name          string
	Environment   string
	FailureDomain string
	Callers       netip.AddrPort
	Operators     netip.AddrPort
	Controls      []netip.AddrPort
}

func (c *cluster) startEntry(name string) *process {
	c.t.Helper()
	p := &process{name: name, program: "entry", address: ports.Free(), operators: ports.Free()}
	c.start(p, entrySettings{
		Name: name, Environment: c.environment, FailureDomain: "osu", Callers: p.address, Operators: p.operators, Controls: c.controls,
	})
	p.address = c.dialAddress(name, p.address)
	return p
}

type agentSettings struct {
	Name          string
	Environment   string
	FailureDomain string
	Peers         netip.AddrPort
	Announced     netip.AddrPort
	Endpoint      netip.AddrPort
	Operators     netip.AddrPort
	Controls      []netip.AddrPort
	// MemoryMegabytes is the agent's memory; zero for no limit.
	MemoryMegabytes int `json:",omitempty"`
}

func (c *cluster) startAgent(name string) *process {
	c.t.Helper()
	return c.startAgentWithin(name, 0)
}

// startAgentWithin starts an agent of some mebibytes of memory.
func (c *cluster) startAgentWithin(name string, megabytes int) *process {
	c.t.Helper()
	p := &process{name: name, program: "agent", address: ports.Free(), operators: ports.Free(), endpoint: ports.Free()}
	return c.start(p, agentSettings{
		Name: name, Environment: c.environment, FailureDomain: "osu", Peers: p.address, Announced: c.dialAddress(name, p.address), Endpoint: p.endpoint,
		Operators: p.operators, Controls: c.controls, MemoryMegabytes: megabytes,
	})
}

// engineSettings holds the settings of a stand-in engine. A number of zero
// leaves the stand-in's default.
type engineSettings struct {
	Address                netip.AddrPort
	Announced              netip.AddrPort
	Agent                  netip.AddrPort
	Role                   string
	Model                  string
	HistoryFile            string
	MemoryPieces           int `json:",omitempty"`
	StepMicroseconds       int `json:",omitempty"`
	PrefillTokensPerSecond int `json:",omitempty"`
	EvictMilliseconds      int `json:",omitempty"`
	StallPercent           int `json:",omitempty"`
	ChecksFencing          bool
}

// startEngine starts an agent and a stand-in engine for it.
func (c *cluster) startEngine(name, role, model string, s engineSettings) (agent, engine *process) {
	c.t.Helper()
	agent = c.startAgent(name)
	engine = &process{name: name + "-engine", program: "engine", address: ports.Free(), history: filepath.Join(c.dir, name+".history")}
	s.Address, s.Agent, s.Role, s.Model, s.HistoryFile = engine.address, agent.endpoint, role, model, engine.history
	s.Announced = c.dialAddress(engine.name, engine.address)
	c.start(engine, s)
	return agent, engine
}

type serviceSettings struct {
	Address           netip.AddrPort
	Agent             netip.AddrPort
	Name              string
	DelayMilliseconds int
	HistoryFile       string
}

// startService starts an agent and a stand-in plain service for it.
func (c *cluster) startService(name, serves string, delay time.Duration) (agent, service *process) {
	c.t.Helper()
	agent = c.startAgent(name)
	service = &process{name: name + "-service", program: "service", address: ports.Free(), history: filepath.Join(c.dir, name+".history")}
	c.start(service, serviceSettings{
		Address: service.address, Agent: agent.endpoint, Name: serves, DelayMilliseconds: int(delay.Milliseconds()), HistoryFile: service.history,
	})
	return agent, service
}

// controlClient returns a client that dials the control hosts directly.
func (c *cluster) controlClient() *controls.Client {
	return controls.NewClient(transport.NewClient(), c.directControls)
}

// submitFile submits the document in a file until it is accepted.
func (c *cluster) submitFile(file string) {
	c.t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		c.t.Fatal(err)
	}
	r := &controlv1.SubmitRequest{Environment: c.environment, Document: b, Submitter: "proof"}
	eventually(c.t, 10*time.Second, "document accepted", func() bool {
		_, err := c.controlClient().Submit(context.Background(), r)
		return err == nil
	})
}

// awaitMembers waits until at least the given number of processes have joined,
// and each given entry knows that many and is ready.
func (c *cluster) awaitMembers(members int, entries ...*process) {
	c.t.Helper()
	eventually(c.t, 15*time.Second, "members joined", func() bool {
		res, err := c.controlClient().List(context.Background(), &controlv1.ListRequest{Prefix: c.environment + "/Member/"})
		return err == nil && len(res.GetItems()) >= members
	})
	for _, e := range entries {
		operator := entryv1connect.NewEntryServiceClient(transport.NewClient(), transport.URL(e.operators))
		eventually(c.t, 15*time.Second, e.name+" knows the members", func() bool {
			res, err := operator.Status(context.Background(), connect.NewRequest(&entryv1.StatusRequest{}))
			return err == nil && int(res.Msg.GetMembers()) >= members
		})
		eventually(c.t, 15*time.Second, e.name+" ready", func() bool {
			res, err := http.Get("http://" + e.operators.String() + "/ready")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}

// eventually polls a condition until it holds, and fails the test at the timeout.
func eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", timeout, description)
}

// response is the result of a call as its caller sees it.
type response struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

// sendCall makes one HTTP call as a caller. An empty idempotency key sends no
// Idempotency-Key header.
func sendCall(ctx context.Context, entry *process, method, path, key, idempotencyKey, body string) response {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.address.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err, elapsed: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: string(b), err: err, elapsed: time.Since(start)}
}

// Short names for the endpoint roles.
const (
	prefillRole = endpoints.RolePrefill
	decodeRole  = endpoints.RoleDecode
)
