package proof

import (
	"bytes"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestSettingsAgain checks that SIGHUP before and after a change of the settings
// file ends no process, and that every process reads its settings again.
func TestSettingsAgain(t *testing.T) {
	c := newCluster(t, "archive-trial")
	control := c.startControl("control-0")
	c.submitFile("../examples/archive.json")
	entry := c.startEntry("entry-0")
	agent, _ := c.startEngine("decode-0", decodeRole, "summariser", engineSettings{})
	c.awaitMembers(2, entry)
	processes := []*process{control, entry, agent}
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		b, err := os.ReadFile(p.settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.settings, append(b, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
	for _, p := range processes {
		eventually(t, 5*time.Second, p.name+" reads its settings again", func() bool {
			b, err := os.ReadFile(p.log)
			return err == nil && bytes.Contains(b, []byte("settings read again"))
		})
		select {
		case <-p.exited:
			t.Errorf("%s ended", p.name)
		default:
		}
	}
	c.awaitMembers(2, entry)
}
