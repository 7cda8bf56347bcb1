package decision

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/logs"
)

// maxRecordsBytes bounds the memory of all records that are kept.
const maxRecordsBytes = 16 << 20

// TestRecordsBounded guards against records that keep what endpoints have sent, as errors
// quote it: an entry keeps thousands of records, and ran out of memory.
func TestRecordsBounded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := Open("entry-0", "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	before := heapBytes()
	for range recordsInMemory {
		quoted := "bad Content-Length " + strings.Repeat("a", 32<<10)
		r := l.Begin("r", time.Now())
		r.Update(func(d *Record) { d.LastEvent = logs.Truncate(quoted) })
		r.AddFailure(1, quoted)
		r.End("outcome_unknown", quoted)
	}
	if n := heapBytes() - before; n > maxRecordsBytes {
		t.Errorf("%d records take %d bytes, at most %d wanted", recordsInMemory, n, maxRecordsBytes)
	}
	runtime.KeepAlive(l)
}

// heapBytes returns the memory in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
