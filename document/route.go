package document

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// routesLevel is the level of documents that declare pools and routes.
const routesLevel = 2

// Kind tells how often a request of a route may run, and how it is answered.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent Kind = "Idempotent"
	// KindOnce is for requests that run at most once.
	KindOnce Kind = "Once"
	// KindStream is for requests that are answered by a stream of events. They
	// run at most once, unless the route is resumable.
	KindStream Kind = "Stream"
)

// Pool declares endpoints that announce themselves to control, without an
// agent beside them.
type Pool struct {
	// Name is the pool name that the endpoints announce.
	Name string
	// Connections bounds the connections of all entries together to one
	// endpoint; zero means no bound.
	Connections int `json:",omitzero"`
	// Engine describes the endpoints if they are model engines, and is zero for
	// others.
	Engine Engine `json:",omitzero"`
}

// Engine declares the model engines of a pool.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the size of the KV cache, in tokens.
	MemoryTokens int
	// HandleLives is how long an engine keeps the result of a prefill for a
	// decode.
	HandleLives Duration
	// HoldLives bounds how long memory stays reserved before the request that
	// uses it.
	HoldLives Duration
	// EventTokens is the number of tokens in one event of a stream; zero means
	// one.
	EventTokens int `json:",omitzero"`
}

// Route declares which pools serve the requests to one host below one path.
type Route struct {
	Name string
	// Host is compared with the Host header of a request, ignoring case.
	Host string
	// PathPrefix begins and ends with a slash; the longest match wins.
	PathPrefix string
	Kind       Kind
	// Split lists the pools that serve the route, with their weights.
	Split []Share
	// Timeout bounds one request.
	Timeout Duration
	// Target is the latency target: for the whole answer, or for the first event
	// of a stream.
	Target Duration
	// Gap is the latency target for the time between two events of a stream.
	Gap Duration `json:",omitzero"`
	// Attempts bounds the endpoints that one request may be sent to.
	Attempts int
	// Priority is 0 for the most urgent requests.
	Priority int `json:",omitzero"`
	// Resumable is true if another endpoint may continue a stream.
	Resumable bool `json:",omitzero"`
	// Generates is true for requests to model engines that declare their
	// prompt.
	Generates bool `json:",omitzero"`
	// Public is true for a route whose requests need no key. It needs level 3.
	Public bool `json:",omitzero"`
}

// Share is one pool of a route and its share of the requests.
type Share struct {
	// Name is the name of a pool of the document.
	Name string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Requests bounds the requests that callers of routes may send.
type Requests struct {
	// BodyBytes bounds the size of a body.
	BodyBytes int64
	// HeaderBytes bounds the size of the headers.
	HeaderBytes int
	// HeaderTimeout bounds the time in which a caller sends the headers.
	HeaderTimeout Duration
	// IdleTimeout bounds the time that a connection is idle.
	IdleTimeout Duration
	// NeedKey is true where requests need the key of a caller, unless their route is
	// public. It needs level 3.
	NeedKey bool `json:",omitzero"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Pool returns the pool of a name.
func (d *Document) Pool(name string) (Pool, bool) {
	i := sort.Search(len(d.Pools), func(i int) bool { return d.Pools[i].Name >= name })
	if i < len(d.Pools) && d.Pools[i].Name == name {
		return d.Pools[i], true
	}
	return Pool{}, false
}

// Route returns the route of a host with the longest prefix that matches a path.
func (d *Document) Route(host, path string) (Route, bool) {
	for _, r := range d.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// indexRoutes fills in routesByHost.
func (d *Document) indexRoutes() {
	d.routesByHost = map[string][]Route{}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		d.routesByHost[host] = append(d.routesByHost[host], r)
	}
	for _, routes := range d.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
}

func (d *Document) sortRoutes() {
	sort.Slice(d.Pools, func(i, j int) bool { return d.Pools[i].Name < d.Pools[j].Name })
	sort.Slice(d.Routes, func(i, j int) bool { return d.Routes[i].Name < d.Routes[j].Name })
}

func (r *Route) resolve() {
	defaultInt(&r.Attempts, 1)
	defaultDuration(&r.Target, time.Duration(r.Timeout))
}

func (d *Document) checkRoutes(c *checker) {
	if len(d.Routes)+len(d.Pools) > 0 && d.Level < routesLevel {
		c.Add("Level", d.Level, fmt.Sprintf("%d or more, as pools and routes need it", routesLevel))
	}
	pools := map[string]string{}
	for i, p := range d.Pools {
		path := fmt.Sprintf("Pools[%d]", i)
		c.checkName(path+".Name", p.Name)
		c.checkUnique(pools, p.Name, path+".Name")
		p.check(c, path)
	}
	names, hostPaths := map[string]string{}, map[string]string{}
	for i, r := range d.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		c.checkUnique(names, r.Name, path+".Name")
		c.checkUnique(hostPaths, strings.ToLower(r.Host)+" "+r.PathPrefix, path+".PathPrefix")
		r.check(c, path, pools)
	}
}

func (p Pool) check(c *checker, path string) {
	c.checkRange(path+".Connections", p.Connections, 0, maxCount)
	if p.Engine != (Engine{}) {
		c.checkRange(path+".Engine.Slots", p.Engine.Slots, 1, maxCount)
		c.checkRange(path+".Engine.MemoryTokens", p.Engine.MemoryTokens, 1, 1_000_000_000)
	}
}

func (r Route) check(c *checker, path string, pools map[string]string) {
	c.checkName(path+".Name", r.Name)
	if r.Host == "" {
		c.AddText(path+".Host", r.Host, "a host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.AddText(path+".PathPrefix", r.PathPrefix, "a path that begins and ends with a slash")
	}
	switch r.Kind {
	case KindIdempotent, KindOnce, KindStream:
	default:
		c.AddText(path+".Kind", string(r.Kind), "Idempotent, Once or Stream")
	}
	c.checkPositive(path+".Timeout", r.Timeout)
	c.checkPositive(path+".Target", r.Target)
	c.checkRange(path+".Attempts", r.Attempts, 1, 100)
	total := 0
	for i, s := range r.Split {
		field := fmt.Sprintf("%s.Split[%d]", path, i)
		if _, ok := pools[s.Name]; !ok {
			c.AddText(field+".Name", s.Name, "the name of a pool of this document")
		}
		c.checkRange(field+".Weight", s.Weight, 0, maxCount)
		total += s.Weight
	}
	if total <= 0 {
		c.Add(path+".Split", fmt.Sprintf("%d shares", len(r.Split)), "weights that add up to more than 0")
	}
}
