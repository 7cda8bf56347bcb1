package writeahead

import (
	"runtime"
	"testing"

	replicav1 "ebonyreel/proto/replica/v1"
)

// TestOpenMemory guards against a host that takes a multiple of its segment to read it,
// and can't start on a folder that was written within its memory limit.
func TestOpenMemory(t *testing.T) {
	const count, entryBytes = 64, 1 << 20
	folder := t.TempDir()
	l, _, err := Open(Folder{Path: folder})
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		e := &replicav1.Entry{Index: uint64(i + 1), Term: 1, Kind: &replicav1.Entry_Command{Command: make([]byte, entryBytes)}}
		if err := l.Save(nil, []*replicav1.Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, c, err := Open(Folder{Path: folder})
	if err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	defer func() { _ = l.Close() }()
	if len(c.Entries) != count {
		t.Errorf("%d entries were read, want %d", len(c.Entries), count)
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > count*entryBytes*3/2 {
		t.Errorf("%d MiB were allocated to read %d MiB", got>>20, count*entryBytes>>20)
	}
}
