package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// desk is the plain service of these tests.
const desk = "/services/request-desk/holds"

// try is one call of a caller, and what came of it.
type try struct {
	key     string
	body    string
	start   time.Time
	request string
	status  int
	code    string
	answer  string
	// final is true where sending the key again makes no sense.
	final bool
}

// ran is one line of a service's history.
type ran struct {
	Time    time.Time
	Method  string
	Key     string
	Request string
	Body    string
}

// hold sends one hold and takes down what came of it.
func hold(ctx context.Context, e *proc, key, body string) try {
	x := try{key: key, body: body, start: time.Now()}
	r := call(ctx, e, http.MethodPost, desk, "reading-room-key", key, body)
	if r.err != nil {
		return x
	}
	x.status, x.answer, x.request = r.status, r.body, r.header.Get("X-Request-Id")
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if r.status != http.StatusOK && json.Unmarshal([]byte(r.body), &refusal) == nil {
		x.code = refusal.Error.Code
	}
	x.final = r.status == http.StatusOK || x.code != "" && r.header.Get("Retry-After") == ""
	return x
}

// holdFirmly sends a hold again through one entry after another until its answer is
// final or the limit has passed.
func holdFirmly(entries []*proc, key, body string, patience, limit time.Duration) []try {
	var out []try
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		x := hold(ctx, entries[len(out)%len(entries)], key, body)
		cancel()
		out = append(out, x)
		if x.final {
			break
		}
	}
	return out
}

// readRuns reads what the services ran.
func readRuns(t testing.TB, services ...*proc) []ran {
	t.Helper()
	var out []ran
	for _, p := range services {
		f, err := os.Open(p.history)
		if err != nil {
			t.Fatal(err)
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			var r ran
			// A line that was cut by a kill counts too, by its key.
			if err := json.Unmarshal(s.Bytes(), &r); err != nil {
				t.Logf("cut line in %s: %s", p.name, s.Text())
				continue
			}
			if r.Method == http.MethodPost {
				out = append(out, r)
			}
		}
		_ = f.Close()
	}
	return out
}

// checkOnce returns what is wrong: a body that ran twice, a refusal as not run
// of what had run, an answer without a run, or two answers to one key.
func checkOnce(tries []try, runs []ran) []string {
	var wrong []string
	first, requests, answers := map[string]ran{}, map[string]bool{}, map[string]string{}
	for _, r := range runs {
		if _, twice := first[r.Body]; twice {
			wrong = append(wrong, "ran twice: "+r.Body)
		}
		first[r.Body], requests[r.Request] = r, true
	}
	for _, x := range tries {
		r, hasRun := first[x.body]
		switch {
		case x.code == "not_run" && (requests[x.request] || hasRun && r.Time.Before(x.start)):
			wrong = append(wrong, "refused as not run, but ran: "+x.body)
		case x.status == http.StatusOK && (!hasRun || ownAnswer(x) != x.body):
			wrong = append(wrong, "answered, but not with its own run: "+x.body)
		case x.status == http.StatusOK && answers[x.body] != "" && answers[x.body] != x.answer:
			wrong = append(wrong, "two answers to one key: "+x.body)
		case x.status == http.StatusOK:
			answers[x.body] = x.answer
		}
	}
	return wrong
}

// ownAnswer returns the body that an answer is for.
func ownAnswer(x try) string {
	var r ran
	if err := json.Unmarshal([]byte(x.answer), &r); err != nil {
		return err.Error()
	}
	return r.Body
}

// TestOnceChecker shows the checker each break of a promise.
func TestOnceChecker(t *testing.T) {
	at := time.Now()
	r := ran{Time: at, Key: "k", Request: "r", Body: "{1}"}
	ok := try{key: "k", body: "{1}", status: http.StatusOK, answer: `{"Body":"{1}"}`, request: "r", start: at}
	for name, c := range map[string]struct {
		tries []try
		runs  []ran
	}{
		"twice":       {runs: []ran{r, r}},
		"not run":     {tries: []try{{body: "{1}", code: "not_run", request: "r", start: at}}, runs: []ran{r}},
		"ran before":  {tries: []try{{body: "{1}", code: "not_run", request: "s", start: at.Add(1)}}, runs: []ran{r}},
		"no run":      {tries: []try{ok}},
		"crossed":     {tries: []try{{body: "{1}", status: http.StatusOK, answer: `{"Body":"{2}"}`}}, runs: []ran{r}},
		"two answers": {tries: []try{ok, {body: "{1}", status: http.StatusOK, answer: `{"Body":"{1}","Runs":2}`}}, runs: []ran{r}},
	} {
		if len(checkOnce(c.tries, c.runs)) != 1 {
			t.Errorf("%s: not found", name)
		}
	}
	if wrong := checkOnce([]try{ok, ok}, []ran{r}); wrong != nil {
		t.Error(wrong)
	}
}

// onceCluster is two entries before two services.
type onceCluster struct {
	*cluster
	entries  []*proc
	agents   []*proc
	services []*proc
	// busy maps a process or link to the mutex of its faults.
	busy sync.Map
}

func newOnceCluster(t *testing.T, delay time.Duration) *onceCluster {
	t.Helper()
	c := &onceCluster{cluster: newCluster(t, "archive-trial")}
	c.proxy("control-0", "service-0", "service-1")
	c.control("control-0")
	c.submit("../examples/archive.json")
	for i := range 2 {
		c.entries = append(c.entries, c.entry(fmt.Sprintf("entry-%d", i)))
		a, s := c.service(fmt.Sprintf("service-%d", i), "request-desk", delay)
		c.agents, c.services = append(c.agents, a), append(c.services, s)
	}
	c.await(4, c.entries...)
	return c
}

// check fails the test for each broken promise.
func (c *onceCluster) check(tries []try) {
	c.t.Helper()
	for _, w := range checkOnce(tries, readRuns(c.t, c.services...)) {
		c.t.Error(w)
	}
}

// ranWhere waits until a service has run a body, and returns its index.
func (c *onceCluster) ranWhere(body string) int {
	c.t.Helper()
	at := -1
	eventually(c.t, 5*time.Second, "endpoint runs "+body, func() bool {
		for i, s := range c.services {
			b, _ := os.ReadFile(s.history)
			if strings.Contains(string(b), strings.ReplaceAll(body, `"`, `\"`)) {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// inBackground sends a hold, and returns where its outcome arrives.
func inBackground(e *proc, key, body string) <-chan try {
	out := make(chan try, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		out <- hold(ctx, e, key, body)
	}()
	return out
}

// TestOnceSteps sends a key again through another entry while a process is
// lost at a known step of the first call.
func TestOnceSteps(t *testing.T) {
	t.Parallel()
	c := newOnceCluster(t, 700*time.Millisecond)
	var tries []try
	again := func(key, body string) []try {
		out := holdFirmly(c.entries[1:], key, body, 5*time.Second, 15*time.Second)
		tries = append(tries, out...)
		return out
	}
	expect := func(what string, x try, status int, code string) {
		t.Helper()
		if x.status != status || x.code != code {
			t.Errorf("%s: found %d %q %s, expected %d %q", what, x.status, x.code, x.answer, status, code)
		}
	}

	first := inBackground(c.entries[0], "runs", `{"Folio":1}`)
	c.ranWhere(`{"Folio":1}`)
	rs := again("runs", `{"Folio":1}`)
	expect("while the first runs", rs[0], http.StatusConflict, "in_progress")
	expect("after it ended", rs[len(rs)-1], http.StatusOK, "")
	tries = append(tries, <-first)
	expect("another body", again("runs", `{"Folio":2}`)[0], http.StatusUnprocessableEntity, "conflict")
	rs = again("runs", `{"Folio":1}`)
	expect("the first body again", rs[0], http.StatusOK, "")

	first = inBackground(c.entries[0], "service", `{"Folio":3}`)
	at := c.ranWhere(`{"Folio":3}`)
	c.services[at].kill()
	x := <-first
	expect("service killed", x, http.StatusBadGateway, "outcome_unknown")
	tries = append(tries, x)
	expect("after the service was killed", again("service", `{"Folio":3}`)[0], http.StatusBadGateway, "outcome_unknown")
	c.launch(c.services[at])

	first = inBackground(c.entries[0], "agent", `{"Folio":4}`)
	at = c.ranWhere(`{"Folio":4}`)
	c.agents[at].kill()
	tries = append(tries, <-first)
	rs = again("agent", `{"Folio":4}`)
	expect("agent killed", rs[len(rs)-1], http.StatusBadGateway, "outcome_unknown")
	c.launch(c.agents[at])

	first = inBackground(c.entries[0], "entry", `{"Folio":5}`)
	c.ranWhere(`{"Folio":5}`)
	c.entries[0].kill()
	<-first
	rs = again("entry", `{"Folio":5}`)
	expect("entry killed", rs[len(rs)-1], http.StatusOK, "")
	c.launch(c.entries[0])
	c.await(4, c.entries...)
	c.check(tries)
}

// TestOnceBeforeDispatch delays control's answers, so that a call is recorded
// and not dispatched while its entry is frozen or its agent is started again.
func TestOnceBeforeDispatch(t *testing.T) {
	t.Parallel()
	c := newOnceCluster(t, 100*time.Millisecond)
	var tries []try
	control := c.links["control-0"]

	control.delay(toClient, 700*time.Millisecond)
	first := inBackground(c.entries[0], "frozen", `{"Folio":1}`)
	time.Sleep(300 * time.Millisecond)
	c.entries[0].freeze()
	control.heal()
	tries = append(tries, holdFirmly(c.entries[1:], "frozen", `{"Folio":1}`, 5*time.Second, 10*time.Second)...)
	if x := tries[len(tries)-1]; x.status != http.StatusOK {
		t.Errorf("through another entry: found %d %s, expected 200", x.status, x.answer)
	}
	time.Sleep(3 * time.Second)
	c.entries[0].thaw()
	tries = append(tries, <-first)
	c.await(4, c.entries...)

	control.delay(toClient, 700*time.Millisecond)
	first = inBackground(c.entries[0], "restarted", `{"Folio":2}`)
	time.Sleep(300 * time.Millisecond)
	for i := range c.agents {
		c.agents[i].kill()
		c.launch(c.agents[i])
	}
	control.heal()
	x := <-first
	tries = append(tries, x)
	c.await(4, c.entries...)
	tries = append(tries, holdFirmly(c.entries, "restarted", `{"Folio":2}`, 5*time.Second, 10*time.Second)...)
	if x := tries[len(tries)-1]; !x.final {
		t.Errorf("agents started again: no final answer, last %d %s", x.status, x.answer)
	}
	c.check(tries)
}

// alone makes a fault of a process or a link wait for the one before.
func (c *onceCluster) alone(subject any, f func()) func() {
	m, _ := c.busy.LoadOrStore(subject, new(sync.Mutex))
	return func() {
		m.(*sync.Mutex).Lock()
		defer m.(*sync.Mutex).Unlock()
		f()
	}
}

// faults are the faults of the mixed runs, by name. Each ends by itself.
func (c *onceCluster) faults(random *rand.Rand) []func() {
	i, j := random.IntN(2), random.IntN(2)
	pause := time.Duration(300+random.IntN(1500)) * time.Millisecond
	long := pause + 3*time.Second
	again := func(p *proc, d time.Duration) func() {
		return c.alone(p, func() { p.kill(); time.Sleep(d); c.launch(p) })
	}
	frozen := func(p *proc, d time.Duration) func() {
		return c.alone(p, func() { p.freeze(); time.Sleep(d); p.thaw() })
	}
	slow := func(l *link, w direction) func() {
		return c.alone(l, func() { l.delay(w, pause); time.Sleep(pause); l.heal() })
	}
	agent, control := c.links[c.agents[i].name], c.links["control-0"]
	return []func(){
		again(c.entries[j], pause), again(c.agents[i], 0), again(c.agents[i], pause), again(c.services[i], pause),
		frozen(c.entries[j], pause), frozen(c.entries[j], long), frozen(c.agents[i], pause), frozen(c.agents[i], long), frozen(c.services[i], pause),
		agent.sever, func() { agent.silence(toServer, toClient) }, func() { agent.silence(toClient) },
		slow(agent, toServer), control.sever, slow(control, toClient),
	}
}

// TestOnceMixed sends keys through two entries while faults come two at a
// time, and checks the histories.
func TestOnceMixed(t *testing.T) {
	t.Parallel()
	for s := range *seeds {
		t.Run(fmt.Sprintf("seed %d", *seed+uint64(s)), func(t *testing.T) {
			onceMixed(t, rand.New(rand.NewPCG(*seed+uint64(s), 4)))
		})
	}
}

const (
	mixedCallers = 12
	mixedTime    = 8 * time.Second
	// mixedSettled bounds the time after the last fault until every key has a
	// final answer.
	mixedSettled = 20 * time.Second
)

func onceMixed(t *testing.T, random *rand.Rand) {
	c := newOnceCluster(t, 80*time.Millisecond)
	end := time.Now().Add(mixedTime)
	var mu sync.Mutex
	var tries []try
	var group sync.WaitGroup
	for i := range mixedCallers {
		entries := []*proc{c.entries[i%2], c.entries[(i+1)%2]}
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				body := fmt.Sprintf(`{"Folio":"%d-%d"}`, i, n)
				key := "key-" + body
				out := holdFirmly(entries, key, body, 2*time.Second, time.Until(end)+mixedSettled)
				// One call of each round has no key, and is sent once.
				bare := hold(context.Background(), entries[0], "", fmt.Sprintf(`{"Bare":"%d-%d"}`, i, n))
				mu.Lock()
				tries = append(append(tries, out...), bare)
				if !out[len(out)-1].final {
					t.Errorf("no final answer to %s", body)
				}
				mu.Unlock()
			}
		})
	}
	for time.Now().Before(end.Add(-2 * time.Second)) {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		var pair sync.WaitGroup
		for range 2 {
			f := c.faults(random)
			chosen := random.IntN(len(f))
			t.Logf("fault %d", chosen)
			pair.Go(f[chosen])
		}
		pair.Wait()
	}
	group.Wait()
	answered := 0
	for _, x := range tries {
		if x.status == http.StatusOK {
			answered++
		}
	}
	t.Logf("%d calls, %d answered", len(tries), answered)
	if answered*4 < len(tries) {
		t.Errorf("%d of %d calls were answered, too few to say anything", answered, len(tries))
	}
	c.check(tries)
}
