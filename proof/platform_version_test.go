package proof

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyreel/clock"
)

const (
	// versionLength is how long streams begin, one each versionInterval.
	versionLength   = 20 * time.Second
	versionInterval = 40 * time.Millisecond
	// versionEntryKill is when an entry is killed, and versionCrash when an engine of
	// each version is. Each entry that is killed starts again versionDowntime later.
	versionEntryKill = 4 * time.Second
	versionCrash     = 8 * time.Second
	versionDowntime  = time.Second
	// From versionSilent on no control host answers, for versionSilence. An entry is killed
	// meanwhile, versionDowntime after its begin.
	versionSilent  = 11 * time.Second
	versionSilence = 4 * time.Second
	// versionNoticed is how long after its begin entries that still run go on with streams
	// as before, also with those of the entry that is killed.
	versionNoticed = time.Second
	// versionContact is how long after such an event an entry may refuse to go on.
	versionContact = 4 * time.Second
	// announcedWithin is the time within which entries know of an engine.
	announcedWithin = 2 * time.Second
	// minResumptions is the number of resumptions from which their share is judged.
	minResumptions = 12
	// maxStreamTries is the number of requests with which a caller tries to get a stream.
	maxStreamTries = 3
)

// streamTry is one request of a caller for a stream. entry is the index of the entry that
// took it.
type streamTry struct {
	id      string
	sent    time.Time
	entry   int
	resumes bool
	// alone is true where fewer than two engines decoded streams of its version, or of any
	// for a new stream.
	alone bool
	// served is true where it brought an event, or the end of a stream with all events.
	served bool
}

// callersStream is a stream as its caller received it.
type callersStream struct {
	id      string
	engines *platformEngines
	// versions are those of the engines that made its events.
	versions map[string]bool
	// began is the ID of the request that brought the first event.
	began string
	// events is the number of events received.
	events int
	// misplaced is true where an event was missing or came twice.
	misplaced bool
	// unnamed is true for a caller who does not name the request that began the stream.
	unnamed bool
	tries   []streamTry
}

// play gets a stream from entries. Every other caller leaves its connection after some
// events and goes on at the next entry, as it does after a failure.
func (s *callersStream) play(ctx context.Context, entries []*process, n int) {
	leaveAfter := platformEvents
	if n%2 == 0 {
		leaveAfter = 1 + n/2%(platformEvents-1)
	}
	for try, entry := 0, n%len(entries); try < maxStreamTries && s.events < platformEvents; {
		entry = (entry + 1) % len(entries)
		if s.request(ctx, entries[entry], entry, callID(s.id, try, entry), leaveAfter) {
			try, leaveAfter = try+1, platformEvents
		}
		if !clock.Sleep(ctx, 5*time.Millisecond) {
			return
		}
	}
}

// request makes one request, and reads its events until leaveAfter are received in all. It
// reports whether an entry took the request.
func (s *callersStream) request(ctx context.Context, to *process, entry int, id string, leaveAfter int) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newPlatformRequest(ctx, to, id, "first")
	if err != nil {
		return false
	}
	r.Close = true
	if s.events > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.events-1))
		if !s.unnamed {
			r.Header.Set("Resumes", s.began)
		}
	}
	t := streamTry{id: id, sent: time.Now(), entry: entry, resumes: s.events > 0, alone: s.alone()}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusOK {
		t.served = s.read(bufio.NewScanner(res.Body), id, leaveAfter)
	}
	t.alone = t.alone || s.alone()
	s.tries = append(s.tries, t)
	return true
}

// alone reports whether fewer than two engines decode streams of the version, or of any for
// a new stream.
func (s *callersStream) alone() bool {
	n := 0
	for version, decoding := range s.engines.decoding() {
		if s.events == 0 || s.versions[version] {
			n += decoding
		}
	}
	return n < 2
}

// read reads events, and reports whether there were any.
func (s *callersStream) read(in *bufio.Scanner, id string, leaveAfter int) bool {
	any := false
	for s.events < leaveAfter && in.Scan() {
		if event, ok := strings.CutPrefix(in.Text(), "id: "); ok {
			s.misplaced = s.misplaced || event != strconv.Itoa(s.events)
		}
		if version, ok := strings.CutPrefix(in.Text(), "data: "); ok {
			if s.events == 0 {
				s.began = id
			}
			s.versions[version] = true
			s.events, any = s.events+1, true
		}
	}
	return any
}

// TestPlatformStreamVersion guards against streams whose events come from engines of two
// software versions, and against refusals of streams that could go on, with the real
// programs on the users' platform: callers go on at other entries, an entry and engines
// are killed, and an entry starts while no control host answers.
func TestPlatformStreamVersion(t *testing.T) {
	c, h, engines, entries := startPlatform(t, "v1", "v2")
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() {
		clock.Sleep(t.Context(), versionEntryKill)
		restartEntry(t, c, entries[3])
		clock.Sleep(t.Context(), time.Until(start.Add(versionCrash)))
		engines.crashOneOfEach("v1", "v2")
		clock.Sleep(t.Context(), time.Until(start.Add(versionSilent)))
		for _, p := range h.processes {
			p.freeze()
		}
		clock.Sleep(t.Context(), versionDowntime)
		restartEntry(t, c, entries[2])
		clock.Sleep(t.Context(), time.Until(start.Add(versionSilent+versionSilence)))
		for _, p := range h.processes {
			p.thaw()
		}
	})
	streams := playStreams(t, entries, engines, versionLength, nil)
	all.Wait()
	checkVersions(t, streams)
	judged := checkResumptions(t, streams, func(r streamTry) bool {
		at := r.sent.Sub(start)
		switch {
		case r.alone:
			return false
		case at > versionSilent-versionContact/4 && at < versionSilent+versionSilence+versionContact:
			return false
		case r.entry == 3 && at > versionEntryKill && at < versionEntryKill+versionDowntime+versionContact:
			return false
		}
		return true
	})
	judgedSilent := checkResumptions(t, streams, func(r streamTry) bool {
		at := r.sent.Sub(start)
		return !r.alone && r.entry != 2 && at > versionSilent+versionNoticed && at < versionSilent+versionSilence
	})
	if !judged || !judgedSilent {
		t.Error("too few resumptions to judge")
	}
}

// awaitStreams waits until an entry serves streams.
func awaitStreams(t testing.TB, e *process) {
	t.Helper()
	eventually(t, 15*time.Second, e.name+" serves", func() bool {
		begun, _ := platformCall(t.Context(), e, "warm-"+e.name+fmt.Sprint(time.Now().UnixNano()), "warm")
		return begun
	})
}

// playStreams begins streams for some time, and returns them once all have ended. unnamed
// tells which callers do not name the request that began their stream; nil for none.
func playStreams(t *testing.T, entries []*process, engines *platformEngines, length time.Duration, unnamed func(n int) bool) []*callersStream {
	t.Helper()
	start := time.Now()
	var streams []*callersStream
	var all sync.WaitGroup
	for n := 0; time.Since(start) < length; n++ {
		s := &callersStream{id: fmt.Sprint("stream-", n), engines: engines, versions: map[string]bool{}, unnamed: unnamed != nil && unnamed(n)}
		streams = append(streams, s)
		all.Go(func() { s.play(t.Context(), entries, n) })
		clock.Sleep(t.Context(), versionInterval)
	}
	all.Wait()
	return streams
}

// restartEntry kills an entry and starts it again.
func restartEntry(t *testing.T, c *cluster, e *process) {
	t.Helper()
	e.kill()
	clock.Sleep(t.Context(), versionDowntime)
	c.launch(e)
}

// decoding returns the number of engines that decode, and have announced it, by version.
func (p *platformEngines) decoding() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, e := range p.running {
		if e.currentStage() == "decode" && time.Since(e.born) > announcedWithin {
			out[e.version]++
		}
	}
	return out
}

// crashOneOfEach crashes a decode engine of each version.
func (p *platformEngines) crashOneOfEach(versions ...string) {
	for _, v := range versions {
		if e := p.find("decode", v); e != nil {
			e.crash()
		}
	}
}

// checkVersions checks that no stream has events of two versions, and that each has all
// events up to its last one, once.
func checkVersions(t *testing.T, streams []*callersStream) {
	t.Helper()
	mixed, misplaced := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.misplaced {
			misplaced++
		}
	}
	t.Logf("%d streams, %d with events of two versions", len(streams), mixed)
	if mixed > 0 {
		t.Errorf("%d streams have events of two versions", mixed)
	}
	if misplaced > 0 {
		t.Errorf("%d streams lack an event or have one twice", misplaced)
	}
}

// checkResumptions checks that, of the tries that count, the share of resumptions that go
// on is at least half of the share of new streams that begin. It reports whether there were
// enough to judge.
func checkResumptions(t *testing.T, streams []*callersStream, counts func(streamTry) bool) bool {
	t.Helper()
	var resumed, resumptions, begun, beginnings int
	for _, s := range streams {
		for _, r := range s.tries {
			switch {
			case !counts(r):
			case r.resumes && r.served:
				resumed, resumptions = resumed+1, resumptions+1
			case r.resumes:
				resumptions++
			case r.served:
				begun, beginnings = begun+1, beginnings+1
			default:
				beginnings++
			}
		}
	}
	t.Logf("%d of %d resumptions go on, %d of %d new streams begin", resumed, resumptions, begun, beginnings)
	if resumptions < minResumptions || begun == 0 {
		return false
	}
	if 2*resumed*beginnings < begun*resumptions {
		t.Errorf("%d of %d resumptions go on, and %d of %d new streams begin", resumed, resumptions, begun, beginnings)
	}
	return true
}
