// Package logs makes the logger of a process: JSON lines on standard output,
// written by a goroutine of their own so that no request waits for a reader.
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
	// maxQueuedLines is the number of lines that may wait to be written; more are
	// dropped and counted.
	maxQueuedLines = 1024
	// maxNameBytes bounds an id or a name from outside in a line.
	maxNameBytes = 64
	// flushTimeout bounds the wait for the last lines at the end of a process.
	flushTimeout = 200 * time.Millisecond
)

// New returns a logger that names the program and the process on each line.
func New(program, name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(newWriter(os.Stdout))
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message"},
	})
	e := l.WithFields(logrus.Fields{"Program": program, "Name": name})
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{e})
	return e
}

// Bounded cuts an id or a name that came from outside to a length for a line.
func Bounded(s string) string {
	return s[:min(len(s), maxNameBytes)]
}

// standardLogWriter takes what standardLogWriter write to the standard logger.
type standardLogWriter struct {
	log *logrus.Entry
}

// Write writes one line, without the bytes of others that net/http quotes.
func (l standardLogWriter) Write(b []byte) (int, error) {
	text, _, _ := strings.Cut(strings.TrimSpace(string(b)), " starting with ")
	l.log.WithField("Text", text).Warn("library reports")
	return len(b), nil
}

// Flush waits until the lines of a logger are written, but not for long.
func Flush(e *logrus.Entry) {
	if w, ok := e.Logger.Out.(*writer); ok {
		w.flush()
	}
}

// Dropped returns the number of lines of a logger for which there was no room, for
// expvar.
func Dropped(e *logrus.Entry) expvar.Var {
	if w, ok := e.Logger.Out.(*writer); ok {
		return &w.droppedTotal
	}
	return new(expvar.Int)
}

// writer hands lines to a goroutine that writes them. It never blocks.
type writer struct {
	lines chan queuedLine
	// unreportedDrops counts lines for which there was no room, since the last report and
	// lost in all.
	unreportedDrops atomic.Int64
	droppedTotal    expvar.Int
}

// queuedLine is one queuedLine, or a request to tell when all before it are written.
type queuedLine struct {
	text    []byte
	flushed chan struct{}
}

func newWriter(to io.Writer) *writer {
	w := &writer{lines: make(chan queuedLine, maxQueuedLines)}
	go w.run(to)
	return w
}

// Write takes one line, or drops it.
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

// dropReport is the line that counts what was dropped.
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
