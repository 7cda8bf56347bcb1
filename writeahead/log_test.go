package writeahead

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestScripts runs the scripts in testdata on real files, one folder per script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, folder: t.TempDir(), disk: &fullDisk{failing: map[string]bool{}}}
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
	disk   *fullDisk
	log    *Log
	// ids numbers the server IDs in the order in which they were first seen.
	ids map[string]int
}

func (s *script) run(command string, args []string) string {
	words := map[string]bool{"flip": true, "full": true, "leave": true}
	numbers := make([]int64, len(args))
	for i, a := range args {
		if _, err := fmt.Sscan(a, &numbers[i]); err != nil && !words[command] {
			s.t.Fatal(err)
		}
	}
	switch command {
	case "open":
		return s.open()
	case "vote":
		return describeError(s.log.Save(&replicav1.HardState{Term: uint64(numbers[0]), Vote: "v"}, nil))
	case "save":
		return describeError(s.log.Save(nil, entries(numbers[0], numbers[1], numbers[2])))
	case "compact":
		snapshot := &replicav1.Snapshot{Index: uint64(numbers[0]), Term: 1, State: []byte("state")}
		return describeError(s.log.Compact(snapshot, &replicav1.HardState{Term: 9}, entries(numbers[1], numbers[2], 1)))
	case "half-compact":
		return describeError(s.log.SaveSnapshot(&replicav1.Snapshot{Index: uint64(numbers[0]), Term: 1, State: []byte("state")}))
	case "unsynced":
		return s.unsynced(numbers[0], numbers[1])
	case "cut":
		return describeError(os.Truncate(s.path(segmentFile), s.size(segmentFile)-numbers[0]))
	case "flip":
		s.flip(args[0], args[1])
	case "lose-synced-length":
		return describeError(os.Remove(s.path(syncedLengthFile)))
	case "fail-sync":
		s.log.file = failingSyncFile{s.log.file}
	case "fill-disk":
		s.disk.failing["write "+segmentFile] = true
	case "full":
		s.disk.failing[strings.Join(args, " ")] = true
	case "free-disk":
		clear(s.disk.failing)
	case "files":
		return s.files()
	case "leave":
		return describeError(os.WriteFile(s.path(args[0]), make([]byte, 100), fileMode))
	case "set-aside":
		return describeError(SetAside(s.dataFolder()))
	case "lose-segment":
		return describeError(os.Remove(s.path(segmentFile)))
	default:
		s.t.Fatalf("unknown command %s", command)
	}
	return ""
}

func (s *script) dataFolder() Folder { return Folder{Path: s.folder, Files: s.disk} }

// files lists the data folder.
func (s *script) files() string {
	all, err := os.ReadDir(s.folder)
	if err != nil {
		s.t.Fatal(err)
	}
	out := "files:"
	for _, e := range all {
		out += " " + e.Name()
	}
	return out + "\n"
}

func (s *script) path(name string) string { return filepath.Join(s.folder, name) }

func (s *script) size(name string) int64 {
	info, err := os.Stat(s.path(name))
	if err != nil {
		s.t.Fatal(err)
	}
	return info.Size()
}

func (s *script) open() string {
	l, c, err := Open(s.dataFolder())
	if err != nil {
		return describeError(err)
	}
	s.log = l
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

// unsynced writes entries as a batch, but does not sync it.
func (s *script) unsynced(from, to int64) string {
	s.log.batch = nil
	if err := s.log.encodeBatch(nil, entries(from, to, 1)); err != nil {
		return describeError(err)
	}
	_, err := s.log.file.Write(s.log.batch)
	return describeError(err)
}

// flip changes one bit of a file, in the byte fromEnd bytes before its end.
func (s *script) flip(name, fromEnd string) {
	b, err := os.ReadFile(s.path(name))
	if err != nil {
		s.t.Fatal(err)
	}
	var n int
	if _, err := fmt.Sscan(fromEnd, &n); err != nil {
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

// failingSyncFile is a file whose sync fails.
type failingSyncFile struct{ File }

func (failingSyncFile) Sync() error { return os.ErrDeadlineExceeded }

func describeError(err error) string {
	var full *DiskFullError
	if errors.As(err, &full) {
		return "full: " + full.Error() + "\n"
	}
	var corrupt *CorruptionError
	var sync *SyncError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &corrupt):
		return "corrupt: " + corrupt.Error() + "\n"
	case errors.As(err, &sync):
		return "must end: " + sync.Error() + "\n"
	}
	return err.Error() + "\n"
}
