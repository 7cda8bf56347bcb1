package decision

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestLog checks that Find returns an old record from the file, a new one from
// memory, and none for an unknown request, after more requests than are kept in
// memory.
func TestLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "folder", "decisions.json")
	l, err := Open("entry-0", path, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	now := time.Now().UTC().Round(0)
	const requests = recordsInMemory + 10
	for i := range requests {
		r := l.Begin(fmt.Sprintf("request-%d", i), now)
		r.Describe("reading-room", "summariser", 7)
		r.AddChoice(Choice{Attempt: 1, Role: "Decode", Members: 6, Candidates: []Candidate{{Name: "d-0", Known: true, PiecesFree: 3}}, Chosen: "d-0"})
		r.AddFailure(1, "endpoint crashed")
		r.End("not_run", "no decode endpoint")
		r.End(Completed, "")
		if i%100 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	l.Close()
	if n := l.Dropped.Value(); n != 0 {
		t.Errorf("dropped %d records, expected none", n)
	}
	if len(l.ringIndex) > recordsInMemory {
		t.Errorf("ring index has %d entries, expected at most %d", len(l.ringIndex), recordsInMemory)
	}
	want := Record{
		Time: now, Entry: "entry-0", Caller: "reading-room", Serves: "summariser", DocumentNumber: 7,
		Choices:  []Choice{{Attempt: 1, Role: "Decode", Members: 6, Candidates: []Candidate{{Name: "d-0", Known: true, PiecesFree: 3}}, Chosen: "d-0"}},
		Failures: []Failure{{Attempt: 1, Reason: "endpoint crashed"}}, Outcome: "not_run", Reason: "no decode endpoint",
	}
	for _, id := range []string{"request-0", fmt.Sprintf("request-%d", requests-1)} {
		got, ok := l.Find(id)
		want.Request = id
		got.ElapsedMilliseconds, got.Choices[0].AfterMilliseconds, got.Failures[0].AfterMilliseconds = 0, 0, 0
		if diff := cmp.Diff(want, got); !ok || diff != "" {
			t.Errorf("%s: found %t, difference (-want +got): %s", id, ok, diff)
		}
	}
	if _, ok := l.Find("request-"); ok {
		t.Error("found a record of an unknown request")
	}
}

// TestLogIsBounded checks that a full file is rotated, and that records beyond the
// queue are dropped without waiting while Run is not running.
func TestLogIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "decisions.json")
	l, err := Open("entry-0", path, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	l.file.bytes = maxFileBytes - 1
	for i := range fileQueueLength + 5 {
		l.Begin(fmt.Sprint(i), time.Now()).End(Completed, "")
	}
	if n := l.Dropped.Value(); n != 5 {
		t.Errorf("dropped %d records, expected 5", n)
	}
	go l.Run()
	l.Close()
	if _, err := os.Stat(path + rotatedSuffix); err != nil {
		t.Errorf("file was not rotated: %v", err)
	}
	if _, ok := l.Find("0"); !ok {
		t.Error("record not found after the rotation")
	}
	if _, err := Open("entry-0", filepath.Join(path, "below-a-file"), discardLog()); err == nil {
		t.Error("opened a file whose parent is not a directory")
	}
}

func BenchmarkRecord(b *testing.B) {
	l, err := Open("entry-0", "", discardLog())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := l.Begin(fmt.Sprint(i), time.Now())
		r.Describe("reading-room", "summariser", 7)
		for _, role := range []string{"Decode", "Prefill"} {
			r.AddChoice(Choice{Attempt: 1, Role: role, Candidates: []Candidate{{Name: "a"}, {Name: "b"}}, Chosen: "a"})
		}
		r.End(Completed, "")
	}
}

// discardLog returns a logger that writes nothing.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
