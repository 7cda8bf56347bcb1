package document

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"ebonyreel/faults"
)

const (
	maxName        = 64
	maxPriority    = 9
	keyHashBytes   = 32
	maxConcurrency = 1_000_000
)

// checker collects faults of values.
type checker struct {
	faults.List
}

func (c *checker) name(field, v string) {
	ok := v != "" && len(v) <= maxName
	for _, r := range v {
		ok = ok && (r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z')
	}
	if !ok {
		c.Text(field, v, "1 to 64 letters, digits, dots, dashes and underscores")
	}
}

func (c *checker) between(field string, v, low, high int) {
	if v < low || v > high {
		c.Add(field, v, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

func (c *checker) positive(field string, v Duration) {
	if v <= 0 {
		c.Add(field, time.Duration(v), "a duration above zero")
	}
}

func (d *Document) check() []faults.Fault {
	c := &checker{}
	if d.Number == 0 {
		c.Add("Number", d.Number, "a number from 1")
	}
	if d.Level > Level {
		c.Add("Level", d.Level, fmt.Sprintf("at most %d, the level of this build", Level))
	}
	d.checkDomains(c)
	served := map[string]string{}
	for i, m := range d.Models {
		m.check(c, fmt.Sprintf("Models[%d]", i))
		c.unique(served, m.Name, fmt.Sprintf("Models[%d].Name", i))
	}
	for i, s := range d.Services {
		s.check(c, fmt.Sprintf("Services[%d]", i))
		c.unique(served, s.Name, fmt.Sprintf("Services[%d].Name", i))
	}
	names, keys := map[string]string{}, map[string]string{}
	for i, a := range d.Callers {
		a.check(c, fmt.Sprintf("Callers[%d]", i), d)
		c.unique(names, a.Name, fmt.Sprintf("Callers[%d].Name", i))
		c.unique(keys, a.KeyHash, fmt.Sprintf("Callers[%d].KeyHash", i))
	}
	d.checkRoutes(c)
	c.positive("Retention.Operations", d.Retention.Operations)
	c.positive("Retention.Strikes", d.Retention.Strikes)
	c.between("Retention.OperationsKept", d.Retention.OperationsKept, 1, 10_000_000)
	c.between("Retention.Documents", d.Retention.Documents, 1, 100_000)
	return c.All
}

func (d *Document) checkDomains(c *checker) {
	if len(d.FailureDomains) == 0 && len(d.Routes) == 0 {
		c.Add("FailureDomains", "none", "at least one failure domain")
	}
	seen := map[string]string{}
	for i, f := range d.FailureDomains {
		at := fmt.Sprintf("FailureDomains[%d]", i)
		c.name(at, f)
		c.unique(seen, f, at)
	}
}

func (c *checker) unique(seen map[string]string, v, field string) {
	if first, ok := seen[v]; ok {
		c.Text(field, v, "a value other than that of "+first)
		return
	}
	seen[v] = field
}

func (m Model) check(c *checker, at string) {
	c.name(at+".Name", m.Name)
	c.name(at+".Version", m.Version)
	adapters := map[string]string{}
	for i, a := range m.Adapters {
		field := fmt.Sprintf("%s.Adapters[%d]", at, i)
		c.name(field, a)
		c.unique(adapters, a, field)
	}
	c.between(at+".Prefill", m.Prefill, 1, 100_000)
	c.between(at+".Decode", m.Decode, 1, 100_000)
	c.between(at+".MaxOutputTokens", m.MaxOutputTokens, 1, 1_000_000)
	c.between(at+".PieceTokens", m.PieceTokens, 1, 1_000_000)
	c.between(at+".BytesPerToken", m.BytesPerToken, 1, 100_000_000)
	c.positive(at+".FirstToken", m.FirstToken)
	c.positive(at+".BetweenTokens", m.BetweenTokens)
}

func (s Service) check(c *checker, at string) {
	c.name(at+".Name", s.Name)
	c.between(at+".Endpoints", s.Endpoints, 1, 100_000)
	c.between(at+".Concurrency", s.Concurrency, 1, maxConcurrency)
	if len(s.Calls) == 0 {
		c.Add(at+".Calls", "none", "at least one call")
	}
	calls := map[string]string{}
	for i, a := range s.Calls {
		field := fmt.Sprintf("%s.Calls[%d]", at, i)
		a.check(c, field)
		c.unique(calls, a.Method+" "+a.Path, field)
	}
}

func (a Call) check(c *checker, at string) {
	switch a.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		c.Text(at+".Method", a.Method, "GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if !strings.HasPrefix(a.Path, "/") {
		c.Text(at+".Path", a.Path, "a path that starts with a slash")
	}
	c.positive(at+".Timeout", a.Timeout)
}

func (a Caller) check(c *checker, at string, d *Document) {
	c.name(at+".Name", a.Name)
	if b, err := hex.DecodeString(a.KeyHash); err != nil || len(b) != keyHashBytes {
		c.Add(at+".KeyHash", fmt.Sprintf("%d characters", len(a.KeyHash)), "64 hexadecimal digits, the SHA-256 of the key")
	}
	uses := map[string]string{}
	for i, v := range a.Models {
		field := fmt.Sprintf("%s.Models[%d]", at, i)
		if _, ok := d.Model(v); !ok {
			c.Text(field, v, "the name of a model of this document")
		}
		c.unique(uses, v, field)
	}
	for i, v := range a.Services {
		field := fmt.Sprintf("%s.Services[%d]", at, i)
		if _, ok := d.Service(v); !ok {
			c.Text(field, v, "the name of a service of this document")
		}
		c.unique(uses, v, field)
	}
	c.between(at+".Priority", a.Priority, 0, maxPriority)
	c.between(at+".Burst", a.Burst, 1, maxConcurrency)
	c.between(at+".Concurrency", a.Concurrency, 1, maxConcurrency)
	if a.RatePerSecond <= 0 || a.RatePerSecond > maxConcurrency {
		c.Add(at+".RatePerSecond", a.RatePerSecond, fmt.Sprintf("a number above 0, at most %d", maxConcurrency))
	}
	if a.Patience < 0 {
		c.Add(at+".Patience", time.Duration(a.Patience), "zero or a duration above it")
	}
}
