package main

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const lettersConfiguration = `{"version":5,"routes":[` +
	`{"name":"letters","host":"desk.example","pathPrefix":"/letter/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"maxAttempts":2,"priority":1,"resumable":true,"service":"writers"}],` +
	`"services":[{"name":"writers","healthPath":"/health","maxConns":150,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	lettersLength    = 12 * time.Second
	lettersPerSecond = 10
	// Before the first stream begins, a worker starts again under its ID with a newer version.
	// pingDelay is how late its first announcement is, and entryKillAt when an entry is
	// killed, long after the announcement; it is back after entryDowntime.
	upgradeTime   = 300 * time.Millisecond
	pingDelay     = 2 * time.Second
	entryKillAt   = 5 * time.Second
	entryDowntime = time.Second
	letterLimit   = 14 * time.Second
)

// letter is a stream as its client received it.
type letter struct {
	// began is the ID of the request that brought the first event.
	began string
	// events is the number of events received, and versions those that made them, in order.
	events   int
	versions []string
	complete bool
}

// joinedVersions checks that no stream is joined from events of two software versions.
func joinedVersions(d *deployment) bool {
	d.startDeployment(3, 4, 134)
	d.addWorkers(3, "writers", 0)
	for i, w := range d.workers {
		w.command = append(w.command, "-slots", "60", "-id", "i-writer"+strconv.Itoa(i))
	}
	d.launchAll(lettersConfiguration, "desk.example", "/letter/ready")
	w := d.workers[0]
	w.command = append(w.command, "-version", "v2", "-silence", pingDelay.String())
	w.kill()
	d.launch(w)
	d.log("worker %s has started again under its ID, as v2", w.name)
	time.Sleep(upgradeTime)
	begin := time.Now()
	var wg, letters sync.WaitGroup
	wg.Go(func() {
		if d.trouble {
			time.Sleep(time.Until(begin.Add(entryKillAt)))
			d.log("entry %s is killed", d.entries[0].name)
			d.entries[0].kill()
			time.Sleep(entryDowntime)
			d.launch(d.entries[0])
			d.log("entry %s is back", d.entries[0].name)
		}
	})
	var mu sync.Mutex
	joined, complete, all := 0, 0, 0
	for n, at := 0, begin; at.Before(begin.Add(lettersLength)); n, at = n+1, at.Add(time.Second/lettersPerSecond) {
		time.Sleep(time.Until(at))
		letters.Go(func() {
			l := d.readLetter(n)
			mu.Lock()
			defer mu.Unlock()
			all++
			if l.complete {
				complete++
			}
			if len(l.versions) > 1 {
				joined++
				d.log("letter %d is joined from %v, %d events, complete %v", n, l.versions, l.events, l.complete)
			}
		})
	}
	letters.Wait()
	wg.Wait()
	d.recordRuns()
	d.log("%d of %d letters are joined from two versions, %d complete", joined, all, complete)
	return joined > 0
}

// readLetter gets a stream, and takes it up once at the next entry where it breaks off.
func (d *deployment) readLetter(n int) letter {
	l, begin := letter{}, time.Now()
	for try := range 2 {
		left := letterLimit - time.Since(begin)
		e := d.balancer.choose(d.entries, n+try)
		id := newID()
		before := l.events
		status := l.read(e.address, id, n, left)
		d.log("letter %d, request %s at %s: status %d, events %d to %d, versions %v", n, id, e.name, status, before, l.events, l.versions)
		if l.complete {
			break
		}
	}
	return l
}

// read makes one request for the stream and returns the status; zero for none.
func (l *letter) read(address, id string, n int, left time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/letter/"+strconv.Itoa(n), strings.NewReader("letter"))
	if err != nil {
		return 0
	}
	r.Host = "desk.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if l.events > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(l.events-1))
		r.Header.Set("Resumes", l.began)
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode
	}
	in := bufio.NewScanner(res.Body)
	for in.Scan() {
		if version, ok := strings.CutPrefix(in.Text(), "data: "); ok {
			if l.events == 0 {
				l.began = id
			}
			l.events++
			if k := len(l.versions); k == 0 || l.versions[k-1] != version {
				l.versions = append(l.versions, version)
			}
		}
	}
	l.complete = in.Err() == nil && l.events == streamEvents
	return res.StatusCode
}
