package main

import (
	"fmt"
	"net/http"
	"time"
)

const deskConfiguration = `{"version":5,"routes":[` +
	`{"name":"holds","host":"desk.example","pathPrefix":"/hold/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":150,"maxAttempts":1,"priority":2,"service":"desk"},` +
	`{"name":"lookups","host":"desk.example","pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"maxAttempts":2,"priority":2,"service":"desk"},` +
	`{"name":"deeds","host":"desk.example","pathPrefix":"/deed/","kind":"non_idempotent","timeoutMs":14000,"targetLatencyMs":5000,"maxAttempts":1,"priority":2,"service":"desk"}],` +
	`"services":[{"name":"desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	popularLength = 100 * time.Second
	// lookupsPerSecond and holdsPerSecond are in the proportion of the sheet's
	// catalogue-lookup and folio-hold; all lookups ask for one popular page.
	lookupsPerSecond = 64
	holdsPerSecond   = 160
	// crashes is the number of times that one of the three workers crashes. It is back
	// after crashTime.
	crashes   = 4
	crashTime = 4 * time.Second
	crashGap  = 4500 * time.Millisecond
)

// popularLookup checks that a kind of request is served at least a quarter as often as all,
// while one worker of three crashes at a time.
func popularLookup(d *deployment) bool {
	d.startDeployment(3, 2, 134)
	d.addWorkers(3, "desk", 60*time.Millisecond)
	d.launchAll(deskConfiguration, "desk.example", "/lookup/ready")
	o, until := newOutcomes(), time.Now().Add(popularLength)
	lookups := d.offer(until, lookupsPerSecond, func(int) request {
		return request{kind: "lookup", method: http.MethodGet, host: "desk.example", path: "/lookup/catalogue", limit: 2500 * time.Millisecond, repeatable: true}
	}, o)
	holds := d.offer(until, holdsPerSecond, func(n int) request {
		b := []byte(fmt.Sprintf("hold of folio %d by a reader", n))
		return request{kind: "hold", method: http.MethodPost, host: "desk.example", path: "/hold/folio", body: bodyOf(b), length: int64(len(b)), limit: 2500 * time.Millisecond}
	}, o)
	if d.trouble {
		for i := range crashes {
			time.Sleep(crashGap)
			w := d.workers[i%len(d.workers)]
			d.log("worker %s crashes", w.name)
			w.kill()
			time.AfterFunc(crashTime, func() {
				d.launch(w)
				d.log("worker %s is back", w.name)
			})
		}
	}
	lookups.Wait()
	holds.Wait()
	d.recordRuns()
	lookup, hold, all := o.share("lookup"), o.share("hold"), o.share("")
	d.log("served: %.4f of %d lookups %v, %.4f of %d holds %v, %.4f of all", lookup, o.sent["lookup"], o.last["lookup"], hold, o.sent["hold"], o.last["hold"], all)
	return lookup < all/4 || hold < all/4
}
