// Package logs creates the logger of a process. It writes JSON lines to
// standard output from a separate goroutine, so that no request waits when
// standard output is read slowly.
package logs

import (
	"encoding/json"
	"expvar"
	"io"
	"log"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written. Further
	// lines are dropped and counted.
	maxQueuedLines = 1024
	// maxNameBytes is the maximum length of an ID or a name of external origin
	// in a line.
	maxNameBytes = 64
	// maxErrorBytes is the maximum length of an error in a line. Errors may quote what an
	// endpoint or a caller has sent.
	maxErrorBytes = 1 << 10
	// maxListNames is the maximum length of a list of such names.
	maxListNames = 8
	// flushTimeout limits each wait of Flush: for room in the queue, and for the
	// queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// New returns a logger whose lines carry the names of the program and of the
// process. It also redirects the standard logger to this one.
func New(program, name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(newWriter(os.Stdout))
	l.AddHook(errorHook{})
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message"},
	})
	e := l.WithFields(logrus.Fields{"Program": program, "Name": name})
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{e})
	return e
}

// errorHook truncates long errors.
type errorHook struct{}

// Levels returns all levels.
func (errorHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire truncates the error of a line.
func (errorHook) Fire(e *logrus.Entry) error {
	if err, ok := e.Data[logrus.ErrorKey].(error); ok {
		if text := err.Error(); len(text) > maxErrorBytes {
			e.Data[logrus.ErrorKey] = TruncateText(text, maxErrorBytes)
		}
	}
	return nil
}

// Truncate truncates an ID or a name of external origin for use in a log line.
func Truncate(s string) string {
	return TruncateText(s, maxNameBytes)
}

// TruncateText returns at most the first bytes of a text, without keeping the rest in
// memory.
func TruncateText(s string, bytes int) string {
	if len(s) <= bytes {
		return s
	}
	return strings.Clone(s[:bytes])
}

// TruncateList returns a list from outside for a log line: its first names, truncated.
func TruncateList(names []string) []string {
	out := make([]string, 0, min(len(names), maxListNames))
	for _, n := range names[:min(len(names), maxListNames)] {
		out = append(out, Truncate(n))
	}
	return out
}

// standardLogWriter receives what libraries write to the standard logger.
type standardLogWriter struct {
	log *logrus.Entry
}

// Write logs one line. It removes the bytes received from a peer that net/http
// quotes after " starting with ".
func (l standardLogWriter) Write(b []byte) (int, error) {
	text, _, _ := strings.Cut(strings.TrimSpace(string(b)), " starting with ")
	l.log.WithField("Text", text).Warn("library logged a message")
	return len(b), nil
}

// Flush waits until the queued lines of a logger are written, for at most twice
// flushTimeout.
func Flush(e *logrus.Entry) {
	if w, ok := e.Logger.Out.(*writer); ok {
		w.flush()
	}
}

// Dropped returns the expvar variable that counts the lines of a logger that
// were dropped because its queue was full.
func Dropped(e *logrus.Entry) expvar.Var {
	if w, ok := e.Logger.Out.(*writer); ok {
		return &w.droppedTotal
	}
	return new(expvar.Int)
}

// writer queues lines for a goroutine that writes them. Its Write never blocks.
type writer struct {
	lines chan queuedLine
	// unreportedDrops counts the lines dropped since the last line that reports
	// dropped lines, and droppedTotal those dropped since the start.
	unreportedDrops atomic.Int64
	droppedTotal    expvar.Int
}

// queuedLine is a line to write or, when flushed is set, a request to close
// flushed once all lines before it are written.
type queuedLine struct {
	text    []byte
	flushed chan struct{}
}

func newWriter(to io.Writer) *writer {
	w := &writer{lines: make(chan queuedLine, maxQueuedLines)}
	go w.run(to)
	return w
}

// Write queues one line, or drops it when the queue is full.
func (w *writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- queuedLine{text: append([]byte(nil), b...)}:
	default:
		w.unreportedDrops.Add(1)
		w.droppedTotal.Add(1)
	}
	return len(b), nil
}

func (w *writer) run(to io.Writer) {
	for l := range w.lines {
		if l.flushed != nil {
			close(l.flushed)
			continue
		}
		// There is nowhere to report a failed write.
		_, _ = to.Write(l.text)
		if n := w.unreportedDrops.Swap(0); n > 0 {
			_, _ = to.Write(dropReport(n))
		}
	}
}

// dropReport returns the line that reports n dropped lines.
func dropReport(n int64) []byte {
	b, err := json.Marshal(struct {
		Level, Message string
		Dropped        int64
	}{"warning", "log lines dropped", n})
	if err != nil {
		return nil
	}
	return append(b, '\n')
}

func (w *writer) flush() {
	flushed := make(chan struct{})
	select {
	case w.lines <- queuedLine{flushed: flushed}:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-flushed:
	case <-time.After(flushTimeout):
	}
}
