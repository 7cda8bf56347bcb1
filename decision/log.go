package decision

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"expvar"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// recordsInMemory is the number of newest records kept in memory.
	recordsInMemory = 4096
	// fileQueueLength bounds the records that wait to be written to the file;
	// further ones are dropped and counted.
	fileQueueLength = 1024
	// maxFileBytes is the size at which a file is rotated: it is renamed with
	// rotatedSuffix, which replaces the file rotated before.
	maxFileBytes  = 64 << 20
	rotatedSuffix = ".1"
	directoryMode = 0o750
	fileMode      = 0o640
	// maxLineBytes bounds a line that FindInFile reads; a longer one ends its
	// search.
	maxLineBytes = 1 << 20
)

// Log keeps the newest records in memory and, if it has a file, appends all
// records to it. It is safe for concurrent use.
type Log struct {
	entry string
	// path is the path of the file; it is empty for a log without a file.
	path string
	// file is nil for a log without a file. Only Run uses it after Open, apart
	// from the check for nil.
	file *decisionFile
	// queuedLines holds the lines to write to the file. Only Run receives from it.
	queuedLines chan []byte
	// closing is closed to stop Run, and closed is closed when Run has returned.
	closing chan struct{}
	closed  chan struct{}
	// Dropped counts the records that were not written to the file. A failed
	// flush counts as one.
	Dropped *expvar.Int
	// log receives a line for each record, except that lines for ordinary
	// successes are limited by successes.
	log       *logrus.Entry
	successes *rate.Limiter

	mu sync.Mutex
	// ring holds the newest records; next is the index of the next one.
	ring []Record
	next int
	// ringIndex maps a request ID to the index of its record in the ring.
	ringIndex map[string]int
}

// Open returns the decision log of an entry. It also writes a line for each
// record to the process log, limited for ordinary successes. With an empty path,
// records are kept in memory only.
func Open(entry, path string, log *logrus.Entry) (*Log, error) {
	l := &Log{
		entry:       entry,
		path:        path,
		queuedLines: make(chan []byte, fileQueueLength),
		closing:     make(chan struct{}),
		closed:      make(chan struct{}),
		Dropped:     new(expvar.Int),
		log:         log,
		successes:   rate.NewLimiter(successesPerSecond, successBurst),
		ring:        make([]Record, recordsInMemory),
		ringIndex:   make(map[string]int, recordsInMemory),
	}
	if path == "" {
		return l, nil
	}
	var err error
	l.file, err = openFile(path)
	return l, err
}

// add keeps a record in memory, writes its line to the process log and queues it
// for the file. It never waits for the file.
func (l *Log) add(r Record) {
	l.mu.Lock()
	delete(l.ringIndex, l.ring[l.next].Request)
	l.ring[l.next] = r
	l.ringIndex[r.Request] = l.next
	l.next = (l.next + 1) % recordsInMemory
	l.mu.Unlock()
	l.logRecord(r)
	if l.file == nil {
		return
	}
	b, err := json.Marshal(r)
	if err != nil {
		l.Dropped.Add(1)
		return
	}
	select {
	case l.queuedLines <- append(b, '\n'):
	default:
		l.Dropped.Add(1)
	}
}

// Find returns the record of a request, from memory or from the current or the
// rotated file. It reports whether the record was found.
func (l *Log) Find(request string) (Record, bool) {
	l.mu.Lock()
	i, ok := l.ringIndex[request]
	if ok {
		defer l.mu.Unlock()
		return l.ring[i], true
	}
	l.mu.Unlock()
	if l.path == "" {
		return Record{}, false
	}
	for _, p := range []string{l.path, l.path + rotatedSuffix} {
		if r, ok := FindInFile(p, request); ok {
			return r, true
		}
	}
	return Record{}, false
}

// FindInFile returns the record of a request from a file of JSON lines: a
// decision file, or a process log with the line of the request. It reports
// whether the record was found.
func FindInFile(path, request string) (Record, bool) {
	f, err := os.Open(path)
	if err != nil {
		return Record{}, false
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		var r Record
		if !bytes.Contains(s.Bytes(), []byte(request)) || json.Unmarshal(s.Bytes(), &r) != nil {
			continue
		}
		if r.Request == request && r.Outcome != "" {
			return r, true
		}
	}
	return Record{}, false
}

// Run writes records to the file until Close is called. It writes the queued
// records before it returns.
func (l *Log) Run() {
	defer close(l.closed)
	if l.file == nil {
		<-l.closing
		return
	}
	defer l.file.close()
	for {
		l.writeQueued()
		select {
		case b := <-l.queuedLines:
			l.countDropped(l.file.write(b))
		case <-l.closing:
			l.writeQueued()
			return
		}
	}
}

// Close stops Run and waits until it has returned. Run must have been started,
// and Close may be called only once.
func (l *Log) Close() {
	close(l.closing)
	<-l.closed
}

// writeQueued writes the queued lines and then flushes the file.
func (l *Log) writeQueued() {
	for {
		select {
		case b := <-l.queuedLines:
			l.countDropped(l.file.write(b))
		default:
			l.countDropped(l.file.buf.Flush())
			return
		}
	}
}

// countDropped counts a failed write. Such a record is lost, as the log must not
// delay requests.
func (l *Log) countDropped(err error) {
	if err != nil {
		l.Dropped.Add(1)
	}
}

// decisionFile is the open file of a log. It is used by one goroutine.
type decisionFile struct {
	path string
	file *os.File
	buf  *bufio.Writer
	// bytes is the size of the file, with what is still in buf.
	bytes int64
}

func openFile(path string) (*decisionFile, error) {
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return nil, errorx.Decorate(err, "create the directory of the decision file")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errorx.Decorate(err, "open the decision file")
	}
	i, err := f.Stat()
	if err != nil {
		return nil, errorx.Decorate(err, "read the size of the decision file")
	}
	return &decisionFile{path: path, file: f, buf: bufio.NewWriter(f), bytes: i.Size()}, nil
}

// write appends a line. It rotates the file first if the line does not fit.
func (f *decisionFile) write(b []byte) error {
	if f.bytes+int64(len(b)) > maxFileBytes {
		if err := f.rotate(); err != nil {
			return err
		}
	}
	f.bytes += int64(len(b))
	_, err := f.buf.Write(b)
	return err
}

// rotate renames the file with rotatedSuffix and opens a new one.
func (f *decisionFile) rotate() error {
	f.close()
	if err := os.Rename(f.path, f.path+rotatedSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	n, err := openFile(f.path)
	if err != nil {
		return err
	}
	*f = *n
	return nil
}

func (f *decisionFile) close() {
	_ = f.buf.Flush()
	_ = f.file.Close()
}
