package decision

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestLines checks that the log line of a request has the fields of its record, so
// that FindInFile finds it in a process log, and that FindInFile skips other lines
// about the request.
func TestLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := newFileLog(t, path)
	l.log.WithField("Request", "r-1").Info("try failed")
	r := l.Begin("r-1", time.Now())
	r.Describe("", "engines", 7)
	r.Update(func(d *Record) { d.Route, d.PromptTokens, d.ExpectedOutput, d.Full = "deeds", 3000, 70, 2 })
	r.Update(func(d *Record) { d.DocumentAgeMilliseconds = 250 })
	r.Update(func(d *Record) { d.ResumedRequest, d.ResumedAfter = "r-0", "12" })
	r.SetPromptParts([]string{"5c1e07a2", "91bd3f06"})
	r.AddChoice(Choice{Attempt: 1, Role: "Decode", Members: 6, Candidates: []Candidate{{Name: "d-0", Known: true, Running: 3}}, Chosen: "d-0", Version: "v1.2"})
	r.AddFailure(1, "at d-0: connection reset")
	r.End("outcome_unknown", strings.Repeat("x", 2*maxReasonBytes))
	got, ok := FindInFile(path, "r-1")
	if !ok {
		t.Fatal("record not found in the process log")
	}
	want, _ := l.Find("r-1")
	want.Reason = want.Reason[:maxReasonBytes]
	got.Time = want.Time
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSuccessLines checks that log lines for ordinary successes are limited, while
// all lines for late and refused requests are written.
func TestSuccessLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := newFileLog(t, path)
	const requests = 10 * successBurst
	for range requests {
		l.Begin("plain", time.Now()).End(Completed, "")
		late := l.Begin("late", time.Now())
		late.Update(func(d *Record) { d.Late = true })
		late.End(Completed, "")
		l.Begin("refused", time.Now()).End("busy", "no room")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for id, limit := range map[string]int{"plain": 2 * successBurst, "late": requests, "refused": requests} {
		n := strings.Count(string(b), `"Request":"`+id+`"`)
		if n == 0 || n > limit || id != "plain" && n < requests {
			t.Errorf("%d log lines for %s requests, outside the expected range", n, id)
		}
	}
}

// newFileLog returns a log whose process log is written to a file as JSON.
func newFileLog(t *testing.T, path string) *Log {
	t.Helper()
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	log := logrus.New()
	log.SetOutput(f)
	log.SetFormatter(&logrus.JSONFormatter{})
	l, err := Open("entry-0", "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
