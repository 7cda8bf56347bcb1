package writeahead

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/datadriven"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestScripts runs the scripts of testdata against a real folder.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, folder: t.TempDir()}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			first := d.Cmd
			for _, a := range d.CmdArgs {
				first += " " + a.Key
			}
			for _, line := range append([]string{first}, strings.Split(d.Input, "\n")...) {
				if f := strings.Fields(line); len(f) > 0 {
					out.WriteString(s.run(f[0], f[1:]))
				}
			}
			if out.Len() == 0 {
				return "ok\n"
			}
			return out.String()
		})
	})
}

type script struct {
	t      *testing.T
	folder string
	log    *Log
	// ids numbers identities in the order of their first sight.
	ids map[string]int
}

func (s *script) run(command string, args []string) string {
	n := make([]int64, len(args))
	for i, a := range args {
		if _, err := fmt.Sscan(a, &n[i]); err != nil && command != "flip" {
			s.t.Fatal(err)
		}
	}
	switch command {
	case "open":
		return s.open()
	case "vote":
		return verdict(s.log.Save(&replicav1.HardState{Term: uint64(n[0]), Vote: "v"}, nil))
	case "save":
		return verdict(s.log.Save(nil, entries(n[0], n[1], n[2])))
	case "compact":
		c := &replicav1.Snapshot{Index: uint64(n[0]), Term: 1, State: []byte("state")}
		return verdict(s.log.Compact(c, &replicav1.HardState{Term: 9}, entries(n[1], n[2], 1)))
	case "half-compact":
		return verdict(s.log.SaveSnapshot(&replicav1.Snapshot{Index: uint64(n[0]), Term: 1, State: []byte("state")}))
	case "unsynced":
		return s.unsynced(n[0], n[1])
	case "cut":
		return verdict(os.Truncate(s.path(segmentFile), s.size(segmentFile)-n[0]))
	case "flip":
		s.flip(args[0], args[1])
	case "forget-mark":
		return verdict(os.Remove(s.path(markFile)))
	case "fail-sync":
		s.log.file = failing{s.log.file}
	case "fill-disk":
		s.log.file = full{s.log.file}
	case "free-disk":
		s.log.file = s.log.file.(full).File
	case "set-aside":
		return verdict(SetAside(s.folder))
	case "lose-segment":
		return verdict(os.Remove(s.path(segmentFile)))
	default:
		s.t.Fatalf("no command %s", command)
	}
	return ""
}

func (s *script) path(name string) string { return filepath.Join(s.folder, name) }

func (s *script) size(name string) int64 {
	i, err := os.Stat(s.path(name))
	if err != nil {
		s.t.Fatal(err)
	}
	return i.Size()
}

func (s *script) open() string {
	j, c, err := Open(s.folder)
	if err != nil {
		return verdict(err)
	}
	s.log = j
	if s.ids == nil {
		s.ids = map[string]int{}
	}
	if _, ok := s.ids[c.ID]; !ok {
		s.ids[c.ID] = len(s.ids) + 1
	}
	out := fmt.Sprintf("server %d term=%d snapshot=%d entries:", s.ids[c.ID], c.State.GetTerm(), c.Snapshot.GetIndex())
	for _, e := range c.Entries {
		out += fmt.Sprintf(" %d/%d", e.GetIndex(), e.GetTerm())
	}
	return out + "\n"
}

// unsynced writes entries as a batch whose sync never came.
func (s *script) unsynced(from, to int64) string {
	s.log.batch = nil
	if err := s.log.collect(nil, entries(from, to, 1)); err != nil {
		return verdict(err)
	}
	_, err := s.log.file.Write(s.log.batch)
	return verdict(err)
}

// flip changes a byte that lies so many bytes before the end of a file.
func (s *script) flip(name, before string) {
	b, err := os.ReadFile(s.path(name))
	if err != nil {
		s.t.Fatal(err)
	}
	var n int
	if _, err := fmt.Sscan(before, &n); err != nil {
		s.t.Fatal(err)
	}
	b[len(b)-n] ^= 0x40
	if err := os.WriteFile(s.path(name), b, fileMode); err != nil {
		s.t.Fatal(err)
	}
}

func entries(from, to, term int64) []*replicav1.Entry {
	var out []*replicav1.Entry
	for i := from; i <= to; i++ {
		out = append(out, &replicav1.Entry{Index: uint64(i), Term: uint64(term), Kind: &replicav1.Entry_Command{Command: []byte("command")}})
	}
	return out
}

// failing is a file whose sync fails.
type failing struct{ File }

func (failing) Sync() error { return os.ErrDeadlineExceeded }

// full is a file on a disk that has room for a few bytes of each write.
type full struct{ File }

func (f full) Write(b []byte) (int, error) {
	n, err := f.File.Write(b[:min(len(b), 7)])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func verdict(err error) string {
	var full *FullError
	if errors.As(err, &full) {
		return "full: " + full.Error() + "\n"
	}
	var rot *RotError
	var sync *SyncError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &rot):
		return "rot: " + rot.Error() + "\n"
	case errors.As(err, &sync):
		return "must end: " + sync.Error() + "\n"
	}
	return err.Error() + "\n"
}
