package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"ebonyreel/document"
)

// programs is the folder of the built programs that the scripts run against.
var programs string

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"ebonyreel": main})
}

// TestScripts runs the scripts of testdata, each against a control process of
// its own. The scripts have the further commands entry, call and exitcode.
func TestScripts(t *testing.T) {
	programs = t.TempDir()
	for _, p := range []string{"control", "entry"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(programs, p), "../"+p).CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", p, err, out)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startControl,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"entry":    startEntry,
			"call":     call,
			"exitcode": exitcode,
		},
	})
}

type controlSettings struct {
	Name          string
	FailureDomain string
	Peers         netip.AddrPort
	Operators     netip.AddrPort
	DataFolder    string
}

type entrySettings struct {
	Name          string
	Environment   string
	FailureDomain string
	Callers       netip.AddrPort
	Operators     netip.AddrPort
	Controls      []netip.AddrPort
	DecisionFile  string
}

func startControl(e *testscript.Env) error {
	s := controlSettings{Name: "control-0", FailureDomain: "osu", Peers: freeAddress(), Operators: freeAddress(), DataFolder: filepath.Join(e.WorkDir, "data")}
	e.Setenv("CONTROLS", s.Peers.String())
	e.Setenv("NOBODY", freeAddress().String())
	example, err := os.ReadFile("../../examples/archive.json")
	if err != nil {
		return err
	}
	parsed, err := document.Parse(example)
	if err != nil {
		return err
	}
	_, digest, err := parsed.Resolved()
	if err != nil {
		return err
	}
	e.Setenv("DIGEST", digest)
	if err := os.WriteFile(filepath.Join(e.WorkDir, "archive.json"), example, 0o600); err != nil {
		return err
	}
	return start(e.WorkDir, "control", s.Name, s, s.Peers, e.Defer)
}

// start runs a program until the script ends, and waits until it listens.
func start(dir, program, name string, settings any, listens netip.AddrPort, atEnd func(func())) error {
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, name+".settings")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	c := exec.Command(filepath.Join(programs, program), "--settings", file)
	if err := c.Start(); err != nil {
		return err
	}
	atEnd(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", listens.String()); err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("%s does not listen on %s", name, listens)
}

// startEntry: entry NAME ENVIRONMENT
func startEntry(ts *testscript.TestScript, _ bool, args []string) {
	s := entrySettings{
		Name: args[0], Environment: args[1], FailureDomain: "osu", Callers: freeAddress(), Operators: freeAddress(),
		Controls: []netip.AddrPort{netip.MustParseAddrPort(ts.Getenv("CONTROLS"))}, DecisionFile: ts.MkAbs(args[0] + ".decisions"),
	}
	ts.Check(start(ts.MkAbs("."), "entry", s.Name, s, s.Operators, ts.Defer))
	ts.Setenv("ENTRY", s.Callers.String())
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + s.Operators.String() + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("entry %s is not ready", s.Name)
}

// call: call KEY MODEL STATUS sends a completion that the status must answer.
func call(ts *testscript.TestScript, _ bool, args []string) {
	body := fmt.Sprintf(`{"model": %q, "prompt": "to whom it may concern"}`, args[1])
	r, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv("ENTRY")+"/v1/completions", strings.NewReader(body))
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+args[0])
	res, err := http.DefaultClient.Do(r)
	ts.Check(err)
	_ = res.Body.Close()
	if fmt.Sprint(res.StatusCode) != args[2] {
		ts.Fatalf("status %d, %s wanted", res.StatusCode, args[2])
	}
	ts.Setenv("REQUEST", res.Header.Get("X-Request-Id"))
}

// exitcode: exitcode N ARGUMENTS... runs ebonyreel and expects an exit code.
func exitcode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("ebonyreel", args[1:]...)
	code := 0
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		code = exited.ExitCode()
	} else {
		ts.Check(err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code %d, %s wanted", code, args[0])
	}
}

func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
