package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/settings"
	"ebonyreel/standin/ports"
	"ebonyreel/transport"
	"ebonyreel/writeahead"
)

const (
	// recoveryTimeout is how long a change may take once all disks have room.
	recoveryTimeout = 4 * time.Second
	// changeTimeout is how long a change may take of which no time is required, and
	// attemptTimeout bounds one attempt.
	changeTimeout  = 30 * time.Second
	attemptTimeout = 2 * time.Second
	// fillTimeout is how long a disk may wait for the write that fills it.
	fillTimeout = 5 * time.Second
	// documentBytes is the size of a document.
	documentBytes = 1 << 20
)

var (
	diskSeed   = flag.Uint64("disk.seed", 1, "first seed of TestDisksFullInTurn")
	diskSeeds  = flag.Uint64("disk.seeds", 1, "number of seeds of TestDisksFullInTurn")
	diskRounds = flag.Int("disk.rounds", 4, "number of disks that TestDisksFullInTurn fills for each seed")
)

// TestDisksFullInTurn fills the disks of three voters, and of a fourth host for every
// second seed, for some seconds each, one after the other, while large documents change.
// It guards against hosts that refuse or don't answer changes for good after all disks
// have room again.
func TestDisksFullInTurn(t *testing.T) {
	for seed := *diskSeed; seed < *diskSeed+*diskSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newDiskTest(t, seed).run() })
	}
}

// diskTest is a set of control hosts in this process, each with a disk of its own.
type diskTest struct {
	t      *testing.T
	random *rand.Rand
	hosts  []*diskHost
	// started counts the hosts that were ever started.
	started int
	// document is the newest document, and source its text as the operator wrote it.
	document document.Document
	source   []byte
	// lock guards hosts.
	lock sync.Mutex
}

func newDiskTest(t *testing.T, seed uint64) *diskTest {
	d := &diskTest{t: t, random: rand.New(rand.NewPCG(seed, 52)), source: make([]byte, documentBytes)}
	d.document = document.Document{
		Level: 2, Retention: document.Retention{Documents: 3}, Pools: []document.Pool{{Name: "pool"}},
		FailureDomains: []string{}, Models: []document.Model{}, Services: []document.Service{}, Callers: []document.Caller{},
	}
	d.document.Routes = []document.Route{{
		Name: "route", Host: "desk.example", PathPrefix: "/", Kind: document.KindIdempotent, Attempts: 2,
		Timeout: document.Duration(time.Second), Target: document.Duration(time.Second), Split: []document.Share{{Name: "pool", Weight: 1}},
	}}
	addresses := []netip.AddrPort{ports.Free(), ports.Free(), ports.Free()}
	for _, a := range addresses {
		d.hosts = append(d.hosts, d.start(d.settings(a, addresses), &fullDisk{}))
	}
	if seed%2 == 0 {
		d.hosts = append(d.hosts, d.start(d.settings(ports.Free(), addresses), &fullDisk{}))
	}
	t.Cleanup(func() {
		for _, h := range d.hosts {
			h.stop()
		}
	})
	return d
}

// run fills the disks in turn, and then requires a change at each host.
func (d *diskTest) run() {
	d.change(d.hosts[0], changeTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	var changes sync.WaitGroup
	changes.Go(func() { d.changeAlways(ctx) })
	for range *diskRounds {
		d.fillOne()
	}
	end := time.Now()
	cancel()
	changes.Wait()
	for _, h := range d.hosts {
		d.change(h, max(0, recoveryTimeout-time.Since(end)))
	}
	for _, h := range d.hosts {
		d.read(h, max(0, recoveryTimeout-time.Since(end)))
	}
	for _, h := range d.hosts {
		d.awaitCompacted(h)
	}
	d.t.Logf("%d documents, all in order %v after the last disk had room", d.document.Number, time.Since(end))
}

// fillOne fills one disk, at once or when a file is next written, and returns once it
// has room again. Some hosts are killed meanwhile and start again, and some disks are
// those of new hosts.
func (d *diskTest) fillOne() {
	i := d.random.IntN(len(d.hosts))
	if d.random.IntN(2) == 0 {
		i = d.leader(i)
	}
	start := []string{"", "", "snapshot.new", "segment.new", "segment"}[d.random.IntN(5)]
	duration := time.Duration(500+d.random.IntN(3500)) * time.Millisecond
	noFiles := d.random.IntN(2) == 0
	fault := d.random.IntN(5)
	restartAfter := time.Duration(d.random.Int64N(int64(duration)))
	time.Sleep(time.Duration(d.random.IntN(800)) * time.Millisecond)
	h := d.hosts[i]
	if fault == 0 {
		d.t.Logf("%s is replaced", h.name)
		h = d.replace(i, &fullDisk{})
	}
	d.t.Logf("the disk of %s is full for %v from %q on", h.name, duration, start)
	h.disk.fill(start, duration, noFiles)
	if fault == 1 && h.disk.awaitFull() {
		time.Sleep(restartAfter)
		d.t.Logf("%s starts again after %v", h.name, restartAfter)
		h = d.restart(i)
	}
	h.disk.awaitRoom()
	if fault == 0 {
		d.awaitVoters()
	}
}

func (d *diskTest) leader(otherwise int) int {
	for i, h := range d.hosts {
		if s := h.store.Load(); s != nil && s.Status().Leads {
			return i
		}
	}
	return otherwise
}

// replace stops a host for good, and starts an empty one at another address.
func (d *diskTest) replace(i int, disk *fullDisk) *diskHost {
	d.hosts[i].stop()
	var seeds []netip.AddrPort
	for _, h := range d.hosts {
		seeds = append(seeds, h.settings.Peers)
	}
	return d.setHost(i, d.start(d.settings(ports.Free(), seeds), disk))
}

// restart stops a host, and starts it again on its folder.
func (d *diskTest) restart(i int) *diskHost {
	h := d.hosts[i]
	h.stop()
	return d.setHost(i, d.start(h.settings, h.disk))
}

func (d *diskTest) setHost(i int, h *diskHost) *diskHost {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.hosts[i] = h
	return h
}

// awaitVoters waits until as many voters run as are required, so that a disk that is
// filled next is the only fault.
func (d *diskTest) awaitVoters() {
	for deadline := time.Now().Add(changeTimeout); ; time.Sleep(10 * time.Millisecond) {
		if s := d.hosts[d.leader(0)].store.Load(); s != nil && d.running(s.Status().Servers) == 3 {
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("not three voters run after %v: %s", changeTimeout, d.describe())
		}
	}
}

// running returns the number of the named hosts that run; zero if one of them does not.
func (d *diskTest) running(names []string) int {
	for _, n := range names {
		if !slices.ContainsFunc(d.hosts, func(h *diskHost) bool { return h.name == n }) {
			return 0
		}
	}
	return len(names)
}

// changeAlways submits documents at hosts in turn until the context ends.
func (d *diskTest) changeAlways(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		d.lock.Lock()
		h := d.hosts[i%len(d.hosts)]
		d.lock.Unlock()
		_ = d.submit(ctx, h, attemptTimeout)
	}
}

// change requires a document to be taken by a host within a time.
func (d *diskTest) change(h *diskHost, within time.Duration) {
	deadline := time.Now().Add(within)
	var err error
	for {
		if err = d.submit(context.Background(), h, min(attemptTimeout, time.Until(deadline))); err == nil {
			return
		}
		if !time.Now().Before(deadline) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Errorf("%s took no change in time: %v", h.name, err)
	d.t.Log(d.describe())
	d.logRecovery(h)
}

// logRecovery logs how long a host that is late still takes no change.
func (d *diskTest) logRecovery(h *diskHost) {
	start := time.Now()
	for time.Since(start) < changeTimeout {
		if d.submit(context.Background(), h, attemptTimeout) == nil {
			d.t.Logf("%s took a change %v later", h.name, time.Since(start))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Logf("%s took no change for %v more; %s", h.name, changeTimeout, d.describe())
}

// read requires the newest document to be read at a host within a time.
func (d *diskTest) read(h *diskHost, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var got *controlv1.Document
	err := error(&NoContactError{})
	for err != nil && ctx.Err() == nil {
		if g := h.gateway.Load(); g != nil {
			got, err = g.CurrentDocument(ctx, sizeEnvironment)
		}
	}
	if err != nil || got.GetNumber() != d.document.Number {
		d.t.Errorf("%s read document %d, want %d: %v", h.name, got.GetNumber(), d.document.Number, err)
		d.t.Log(d.describe())
	}
}

// awaitCompacted requires a host to compact its log, and to keep no partial copies of
// files.
func (d *diskTest) awaitCompacted(h *diskHost) {
	var copies []string
	var st Status
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		st = h.store.Load().Status()
		var err error
		if copies, err = filepath.Glob(filepath.Join(h.settings.DataFolder, "*.new")); err != nil {
			d.t.Fatal(err)
		}
		if len(copies) == 0 && st.LogBytes < 2*max(minSnapshotBytes, st.SnapshotBytes) {
			return
		}
	}
	d.t.Errorf("%s has a log of %d bytes, a snapshot of %d bytes and the copies %v", h.name, st.LogBytes, st.SnapshotBytes, copies)
}

// submit submits the next document, and counts it unless the host has refused it.
func (d *diskTest) submit(ctx context.Context, h *diskHost, within time.Duration) error {
	g := h.gateway.Load()
	if g == nil {
		return &NoContactError{}
	}
	next := d.document
	next.Number++
	b, err := json.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	err = g.Submit(ctx, &controlv1.SubmitRequest{Environment: sizeEnvironment, Document: b, Submitter: "test", Source: d.source})
	if err == nil || IsSuperseded(err) {
		d.document = next
		return nil
	}
	return err
}

func (d *diskTest) describe() string {
	var out strings.Builder
	for _, h := range d.hosts {
		if s := h.store.Load(); s != nil {
			st := s.Status()
			fmt.Fprintf(&out, "\n%s leads=%v leader=%s voter=%v term=%d commit=%d contact=%v voters=%v log=%d snapshot=%d full=%v",
				h.name, st.Leads, st.Leader, st.Voter, st.Term, st.Commit, s.HasContact(), st.Servers, st.LogBytes, st.SnapshotBytes, h.disk.isFull())
		}
	}
	return out.String()
}

// diskHost is a control host.
type diskHost struct {
	name     string
	settings settings.Control
	disk     *fullDisk
	// store and gateway are nil until the data folder is open.
	store   atomic.Pointer[Store]
	gateway atomic.Pointer[Gateway]
	cancel  context.CancelFunc
	done    chan struct{}
}

// settings returns the settings of a new host with an empty folder.
func (d *diskTest) settings(a netip.AddrPort, seeds []netip.AddrPort) settings.Control {
	d.started++
	return settings.Control{
		Name: fmt.Sprintf("control-%d", d.started), Peers: a, DataFolder: d.t.TempDir(), WatchHistory: 1000, Seeds: seeds, Tolerates: 1,
		Bootstrap: a == seeds[0],
	}
}

func (d *diskTest) start(s settings.Control, disk *fullDisk) *diskHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &diskHost{name: s.Name, settings: s, disk: disk, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		if err := h.run(ctx); err != nil && ctx.Err() == nil {
			d.t.Errorf("%s ended: %v", h.name, err)
		}
	}()
	return h
}

func (h *diskHost) run(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("DISK_TEST_LOG") != "" {
		log.SetOutput(os.Stderr)
	}
	client := transport.NewClient()
	store, err := openFolder(ctx, writeahead.Folder{Path: h.settings.DataFolder, Files: h.disk}, h.settings, client, log.WithField("Name", h.name))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(controlv1connect.NewControlServiceHandler(NewServer(store)))
	mux.Handle(replicav1connect.NewReplicaServiceHandler(NewReplicaServer(store)))
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", h.settings.Peers.String())
	if err != nil {
		return err
	}
	server := transport.NewServer(mux)
	go func() { _ = server.Serve(l) }()
	h.store.Store(store)
	h.gateway.Store(NewGateway(store, client))
	err = store.Run(ctx)
	store.Close()
	_ = server.Close()
	return err
}

func (h *diskHost) stop() {
	h.cancel()
	<-h.done
}
