package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/transport"
)

const (
	// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat.
	clockTicksPerSecond = 100
	benchDuration       = 4 * time.Second
	changesPerBench     = 40
	changeInterval      = 100 * time.Millisecond
	pollInterval        = time.Second
	benchItems          = 200
)

// latencies collects the latencies of one measurement.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (q *latencies) record(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_ = q.histogram.RecordValue(d.Microseconds())
}

func (q *latencies) report(b *testing.B, unit string) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(q.histogram.ValueAtQuantile(50))/1000, "p50-ms"+unit)
	b.ReportMetric(float64(q.histogram.ValueAtQuantile(99))/1000, "p99-ms"+unit)
	b.ReportMetric(float64(q.histogram.Max())/1000, "max-ms"+unit)
}

// BenchmarkControlCommits compares commits by three control hosts with a plain
// append and sync to a file on the same disk.
func BenchmarkControlCommits(b *testing.B) {
	b.Run("bare", func(b *testing.B) { measureBareSync(b, 400) })
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { measureCommits(b, callers) })
	}
	b.Run("bare-again", func(b *testing.B) { measureBareSync(b, 400) })
}

func measureBareSync(b *testing.B, size int) {
	f, err := os.Create(filepath.Join(b.TempDir(), "bare"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	q, n := newLatencies(), 0
	start := time.Now()
	for time.Since(start) < benchDuration {
		from := time.Now()
		if _, err := f.Write(make([]byte, size)); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
		q.record(time.Since(from))
		n++
	}
	q.report(b, "")
	b.ReportMetric(float64(n)/time.Since(start).Seconds(), "syncs/s")
}

func measureCommits(b *testing.B, callers int) {
	h := benchHosts(b)
	q := newLatencies()
	var done atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(benchDuration)
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			client := controls.NewClient(transport.NewClient(), h.cluster.directControls)
			for n := 0; time.Now().Before(end); n++ {
				from := time.Now()
				if beginOperation(client, fmt.Sprintf("%d-%d", i, n)) == nil {
					q.record(time.Since(from))
					done.Add(1)
				}
			}
		}()
	}
	group.Wait()
	q.report(b, "")
	b.ReportMetric(float64(done.Load())/benchDuration.Seconds(), "commits/s")
}

// benchHosts starts three control hosts without links between them, and waits for
// a leader.
func benchHosts(b *testing.B) *hosts {
	b.Helper()
	c := newCluster(b, "archive-trial")
	h := c.startHosts(3, false)
	h.leader()
	return h
}

// BenchmarkControlFailover measures the longest time between two commits of a
// client while the leader is killed or stopped as planned.
func BenchmarkControlFailover(b *testing.B) {
	for _, mode := range []string{"kill", "stop"} {
		b.Run(mode, func(b *testing.B) {
			h := benchHosts(b)
			q := newLatencies()
			for round := range 10 {
				q.record(h.longestOutage(b, mode, round))
			}
			q.report(b, "-without-leader")
		})
	}
}

// longestOutage returns the longest time between two commits while the leader is
// killed or stopped. The leader is restarted afterwards.
func (h *hosts) longestOutage(b *testing.B, mode string, round int) time.Duration {
	b.Helper()
	leaderIndex := h.leader()
	client := controls.NewClient(transport.NewClient(), h.cluster.directControls)
	var longest atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		last := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			if beginOperation(client, fmt.Sprintf("%d-%d", round, n)) == nil {
				longest.Store(max(longest.Load(), int64(time.Since(last))))
				last = time.Now()
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	if mode == "kill" {
		h.processes[leaderIndex].kill()
	} else if !h.processes[leaderIndex].stop(10 * time.Second) {
		b.Error("the leader did not stop")
	}
	time.Sleep(3 * time.Second)
	stop()
	group.Wait()
	h.cluster.launch(h.processes[leaderIndex])
	eventually(b, 20*time.Second, "all hosts are voters and know a leader", func() bool {
		for i := range h.processes {
			if !h.status(i).Voter || h.status(i).Leader == "" {
				return false
			}
		}
		return true
	})
	return time.Duration(longest.Load())
}

// BenchmarkControlInForce measures the time from the acceptance of a document
// until it is in force at the last of the watching processes.
func BenchmarkControlInForce(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			h := benchHosts(b)
			views := h.startViews(b, n, transport.NewClient())
			q := newLatencies()
			for number := uint64(1); number <= 20; number++ {
				d := documentVariant(b, number, 1)
				if r := submitDocument(h.cluster.controlClient(), d, 1); r.unknown || r.refused {
					b.Fatalf("document %d: %+v", number, r)
				}
				from := time.Now()
				awaitNumber(b, views, number)
				q.record(time.Since(from))
			}
			q.report(b, "-in-force")
		})
	}
}

func (h *hosts) startViews(b *testing.B, n int, client *http.Client) []*controls.View {
	b.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	var views []*controls.View
	for range n {
		v := controls.NewView(controls.NewClient(client, h.cluster.directControls), h.cluster.environment, logrus.NewEntry(log))
		views = append(views, v)
		go v.Run(b.Context())
	}
	return views
}

func awaitNumber(b *testing.B, views []*controls.View, number uint64) {
	b.Helper()
	for _, v := range views {
		for end := time.Now().Add(20 * time.Second); ; {
			changed := v.Changed()
			if d := v.Document(); d != nil && d.Number >= number {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Until(end)):
				b.Fatalf("document %d is not in force", number)
			}
		}
	}
}

// countingConn counts the bytes that a client reads.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

func countingClient(bytesRead *atomic.Int64) *http.Client {
	h := transport.NewClient()
	t := h.Transport.(*http.Transport)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: c, bytesRead: bytesRead}, err
	}
	return h
}

// BenchmarkControlWatch compares list and watch with polling of the whole state.
// It reports the bytes sent to clients and the CPU time of the control host, per
// change and per process that starts.
func BenchmarkControlWatch(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		for _, mode := range []string{"watch", "poll"} {
			b.Run(fmt.Sprintf("%s/watchers=%d", mode, n), func(b *testing.B) { measureFollowers(b, mode, n) })
		}
	}
}

func measureFollowers(b *testing.B, mode string, n int) {
	c := newCluster(b, "archive-trial")
	h := &hosts{cluster: c, processes: []*process{c.startControl("control-0")}}
	eventually(b, 10*time.Second, "the control host leads", func() bool { return h.status(0).Leads })
	if r := submitDocument(c.controlClient(), documentVariant(b, 1, 1), 1); r.unknown {
		b.Fatal("document was not accepted")
	}
	operator := c.controlClient()
	fillState(b, operator)
	var bytesRead atomic.Int64
	client := countingClient(&bytesRead)
	before := resourceUsage{cpu: cpuTime(b, h.processes[0]), bytes: bytesRead.Load()}
	if mode == "watch" {
		awaitNumber(b, h.startViews(b, n, client), 1)
	} else {
		startPolling(b, n, client, c.directControls)
	}
	time.Sleep(pollInterval)
	afterStart := resourceUsage{cpu: cpuTime(b, h.processes[0]), bytes: bytesRead.Load()}
	for i := range changesPerBench {
		addStrike(b, operator, i%benchItems)
		time.Sleep(changeInterval)
	}
	afterChanges := resourceUsage{cpu: cpuTime(b, h.processes[0]), bytes: bytesRead.Load()}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(afterStart.bytes-before.bytes)/float64(n), "B/start")
	b.ReportMetric(float64((afterStart.cpu-before.cpu).Microseconds())/float64(n), "cpu-us/start")
	b.ReportMetric(float64(afterChanges.bytes-afterStart.bytes)/changesPerBench, "B/change")
	b.ReportMetric(float64((afterChanges.cpu-afterStart.cpu).Microseconds())/changesPerBench/1000, "cpu-ms/change")
}

type resourceUsage struct {
	cpu   time.Duration
	bytes int64
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(b *testing.B, p *process) time.Duration {
	b.Helper()
	s, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(s[strings.LastIndex(string(s), ")")+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// fillState makes the state as large as that of a small environment.
func fillState(b *testing.B, client *controls.Client) {
	b.Helper()
	for i := range benchItems {
		addStrike(b, client, i)
	}
}

// addStrike changes one item of the state, the strikes of content i.
func addStrike(b *testing.B, client *controls.Client, i int) {
	b.Helper()
	r := &controlv1.AddStrikesRequest{Environment: "archive-trial", ContentDigests: []string{fmt.Sprintf("%064d", i)}}
	if _, err := client.AddStrikes(context.Background(), r); err != nil {
		b.Fatal(err)
	}
}

// startPolling starts n pollers that each list the whole state once per
// pollInterval.
func startPolling(b *testing.B, n int, client *http.Client, addresses []netip.AddrPort) {
	for range n {
		p := controls.NewClient(client, addresses)
		go func() {
			time.Sleep(rand.N(pollInterval))
			t := time.NewTicker(pollInterval)
			defer t.Stop()
			for b.Context().Err() == nil {
				_, _ = p.List(b.Context(), &controlv1.ListRequest{Prefix: "archive-trial/"})
				select {
				case <-b.Context().Done():
				case <-t.C:
				}
			}
		}()
	}
}
