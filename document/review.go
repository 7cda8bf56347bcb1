package document

import (
	"fmt"
	"time"
)

// Warning reports a part of a valid document that has no effect or works badly.
type Warning struct {
	// Name identifies the kind of warning, so that it can be silenced.
	Name string
	// Field is the path of the field in the resolved document.
	Field string
	// Text says what is wrong, and Affected which callers would notice.
	Text     string
	Affected string
}

// String returns the warning on one line.
func (w Warning) String() string {
	return fmt.Sprintf("warning %s: %s: %s; %s", w.Name, w.Field, w.Text, w.Affected)
}

// reviewer collects warnings.
type reviewer struct {
	warnings []Warning
}

func (r *reviewer) add(name, field, text, affected string) {
	r.warnings = append(r.warnings, Warning{Name: name, Field: field, Text: text, Affected: affected})
}

// Review returns what in a parsed document can never match, and the limits that contradict
// each other. It finds no errors: Parse refuses those.
func Review(d *Document) []Warning {
	r := &reviewer{}
	used := map[string]bool{}
	for _, route := range d.Routes {
		r.reviewRoute(route, used)
	}
	for _, p := range d.Pools {
		if !used[p.Name] {
			r.add("UnusedPool", element("Pools", p.Name), "no route leads to it", "no caller")
		}
	}
	r.reviewAccounts(d)
	r.reviewNames(d)
	return r.warnings
}

func element(list, name string) string {
	return list + "[" + name + "]"
}

func (r *reviewer) reviewRoute(route Route, used map[string]bool) {
	field, callers := element("Routes", route.Name), "callers of "+route.Host+route.PathPrefix
	for _, s := range route.Split {
		if s.Weight == 0 {
			r.add("NoWeight", field+"."+element("Split", s.Name), "the weight is 0", "no caller is sent there")
			continue
		}
		used[s.Name] = true
	}
	if route.Target > route.Timeout {
		r.add("TargetAboveTimeout", field+".Target", fmt.Sprintf("%s is above the Timeout of %s", time.Duration(route.Target), time.Duration(route.Timeout)), callers+" are cut off before an answer counts as late")
	}
	if route.Gap > route.Timeout {
		r.add("GapAboveTimeout", field+".Gap", fmt.Sprintf("%s is above the Timeout of %s", time.Duration(route.Gap), time.Duration(route.Timeout)), callers+" never have a pause that counts as long")
	}
	if route.Resumable && route.Attempts == 1 {
		r.add("ResumableOnce", field+".Attempts", "a stream may be resumed, but only one endpoint is tried", callers+" lose streams that another endpoint could go on with")
	}
}

// reviewAccounts reviews the callers of routes, their keys and quotas.
func (r *reviewer) reviewAccounts(d *Document) {
	asked := false
	for _, route := range d.Routes {
		asked = asked || d.Requests.NeedKey && !route.Public
	}
	if asked && len(d.Callers) == 0 {
		r.add("NoCaller", "Callers", "routes need a key and nobody has one", "all callers are refused")
	}
	largest := 0
	for _, p := range d.Pools {
		largest = max(largest, p.Engine.MemoryTokens)
	}
	for _, c := range d.Callers {
		field, callers := element("Callers", c.Name), "callers of account "+c.Name
		if len(d.Routes) > 0 && len(d.Models)+len(d.Services) == 0 && !asked {
			r.add("UnusedCaller", field, "no route asks for its key", "its quota and priority hold for nobody without a key")
		}
		q := c.Quota
		if q.Burst > 0 && !q.Bounds() {
			r.add("BurstWithoutRate", field+".Quota.Burst", "without PerSecond there is no bound", callers+" are not limited")
		}
		if q.Bounds() && q.Unit == UnitTokens && q.Burst < q.PlainTokens {
			r.add("BurstBelowCost", field+".Quota.Burst", fmt.Sprintf("%g is below the %g of a request without tokens", q.Burst, q.PlainTokens), callers+" wait for a full bucket")
		}
		if q.Bounds() && q.Unit == UnitTokens && largest > 0 && q.Burst+q.PerSecond < float64(largest) {
			r.add("QuotaBelowEngine", field+".Quota.PerSecond", fmt.Sprintf("a second and the burst are %g tokens, an engine takes requests of %d", q.Burst+q.PerSecond, largest), callers+" with the largest requests are refused for seconds")
		}
	}
}

// reviewNames reviews models and services that no caller may use.
func (r *reviewer) reviewNames(d *Document) {
	used := map[string]bool{}
	for _, c := range d.Callers {
		for _, name := range append(append([]string{}, c.Models...), c.Services...) {
			used[name] = true
		}
	}
	for _, m := range d.Models {
		if !used[m.Name] {
			r.add("UnusedModel", element("Models", m.Name), "no caller may use it", "no caller")
		}
	}
	for _, s := range d.Services {
		if !used[s.Name] {
			r.add("UnusedService", element("Services", s.Name), "no caller may use it", "no caller")
		}
	}
}
