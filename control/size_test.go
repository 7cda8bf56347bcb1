package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

const (
	sizeEnvironment = "production"
	openTimeout     = 10 * time.Second
)

// TestBytesBounded changes large documents many times. It guards against a log, and a
// history for watches, that are bounded by their number of entries only, so that
// documents fill the disk and the memory.
func TestBytesBounded(t *testing.T) {
	datadriven.Walk(t, filepath.Join("testdata", "size"), func(t *testing.T, path string) {
		s := &sizeScript{t: t, folder: t.TempDir()}
		t.Cleanup(s.close)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

// sizeScript is a control host without others, on a folder that outlives it.
type sizeScript struct {
	t      *testing.T
	folder string
	store  *Store
	stop   func()
	// number is that of the newest document.
	number uint64
}

func (s *sizeScript) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "open":
		return s.open()
	case "close":
		s.close()
	case "submit":
		var routes, count int
		d.ScanArgs(s.t, "routes", &routes)
		d.ScanArgs(s.t, "count", &count)
		return s.submit(routes, count)
	case "folder":
		return compareMegabytes(d, s.t, s.folderBytes())
	case "heap":
		return compareMegabytes(d, s.t, heapBytes())
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok\n"
}

// open starts the host, and returns the number of its newest document.
func (s *sizeScript) open() string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := settings.ControlHost{Name: "control-0", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	store, err := Open(context.Background(), settings.Control{
		Name: self.Name, Peers: self.Address, DataFolder: s.folder, WatchHistory: 1000, Cluster: []settings.ControlHost{self},
	}, transport.NewClient(), logrus.NewEntry(log))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- store.Run(ctx) }()
	s.store, s.stop = store, func() {
		cancel()
		store.Close()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	}
	for deadline := time.Now().Add(openTimeout); !store.Status().Leads; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("the host does not lead")
		}
	}
	return fmt.Sprintf("document %d\n", store.CurrentDocument(sizeEnvironment).GetNumber())
}

func (s *sizeScript) close() {
	if s.stop != nil {
		s.stop()
	}
	s.store, s.stop = nil, nil
}

// submit submits documents with a number of routes, one after the other.
func (s *sizeScript) submit(routes, count int) string {
	d := document.Document{
		Level: 2, Retention: document.Retention{Documents: 3}, Pools: []document.Pool{{Name: "pool"}},
		FailureDomains: []string{}, Models: []document.Model{}, Services: []document.Service{}, Callers: []document.Caller{},
	}
	for i := range routes {
		name := fmt.Sprintf("route-%d", i)
		d.Routes = append(d.Routes, document.Route{
			Name: name, Host: "desk.example", PathPrefix: "/" + name + "/", Kind: document.KindIdempotent, Attempts: 2,
			Timeout: document.Duration(time.Second), Target: document.Duration(time.Second), Split: []document.Share{{Name: "pool", Weight: 1}},
		})
	}
	for range count {
		s.number++
		d.Number = s.number
		b, err := json.Marshal(d)
		if err != nil {
			s.t.Fatal(err)
		}
		if err := s.submitDocument(b); err != nil {
			return err.Error() + "\n"
		}
	}
	return fmt.Sprintf("document %d\n", s.store.CurrentDocument(sizeEnvironment).GetNumber())
}

func (s *sizeScript) submitDocument(b []byte) error {
	r := &controlv1.SubmitRequest{Environment: sizeEnvironment, Document: b, Submitter: "test", Source: b}
	d, err := resolve(context.Background(), r)
	if err != nil {
		return err
	}
	_, err = s.store.Propose(context.Background(), &controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}})
	return err
}

func (s *sizeScript) folderBytes() int64 {
	total := int64(0)
	err := filepath.WalkDir(s.folder, func(_ string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if errors.Is(err, os.ErrNotExist) {
			return nil
		}
		total += info.Size()
		return err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return total
}

// heapBytes returns the size of what is in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// compareMegabytes compares a size with the argument below, in mebibytes.
func compareMegabytes(d *datadriven.TestData, t *testing.T, size int64) string {
	var below int64
	d.ScanArgs(t, "below", &below)
	if size >= below<<20 {
		return fmt.Sprintf("%d MiB\n", size>>20)
	}
	return fmt.Sprintf("below %d MiB\n", below)
}
