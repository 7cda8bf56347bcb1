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
	maxNameBytes = 64
	maxPriority  = 9
	keyHashBytes = 32
	// maxCount bounds rates, bursts, weights, and numbers of calls, connections
	// and slots.
	maxCount = 1_000_000
)

// checker checks values and collects their faults.
type checker struct {
	faults.List
}

func (c *checker) checkName(field, v string) {
	ok := v != "" && len(v) <= maxNameBytes
	for _, r := range v {
		ok = ok && (r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z')
	}
	if !ok {
		c.AddText(field, v, "1 to 64 letters, digits, dots, dashes and underscores")
	}
}

func (c *checker) checkRange(field string, v, low, high int) {
	if v < low || v > high {
		c.Add(field, v, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

func (c *checker) checkPositive(field string, v Duration) {
	if v <= 0 {
		c.Add(field, time.Duration(v), "a duration above zero")
	}
}

// check returns the faults of the values of a resolved document.
func (d *Document) check() []faults.Fault {
	c := &checker{}
	if d.Number == 0 {
		c.Add("Number", d.Number, "a number from 1")
	}
	if d.Level > Level {
		c.Add("Level", d.Level, fmt.Sprintf("at most %d, the level of this build", Level))
	}
	d.checkDomains(c)
	servedNames := map[string]string{}
	for i, m := range d.Models {
		m.check(c, fmt.Sprintf("Models[%d]", i))
		c.checkUnique(servedNames, m.Name, fmt.Sprintf("Models[%d].Name", i))
	}
	for i, s := range d.Services {
		s.check(c, fmt.Sprintf("Services[%d]", i))
		c.checkUnique(servedNames, s.Name, fmt.Sprintf("Services[%d].Name", i))
	}
	callerNames, keyHashes := map[string]string{}, map[string]string{}
	for i, a := range d.Callers {
		path := fmt.Sprintf("Callers[%d]", i)
		a.check(c, path, d)
		c.checkUnique(callerNames, a.Name, path+".Name")
		c.checkUnique(keyHashes, a.KeyHash, path+".KeyHash")
		a.checkAccount(c, path, keyHashes)
	}
	if d.Level < accountsLevel && d.needsAccountsLevel() {
		c.Add("Level", d.Level, fmt.Sprintf("%d or more, as several keys, quotas and priorities of callers and routes with keys need it", accountsLevel))
	}
	d.checkRoutes(c)
	c.checkPositive("Retention.Operations", d.Retention.Operations)
	c.checkPositive("Retention.Strikes", d.Retention.Strikes)
	c.checkRange("Retention.OperationsKept", d.Retention.OperationsKept, 1, 10_000_000)
	c.checkRange("Retention.Documents", d.Retention.Documents, 1, 100_000)
	return c.All
}

func (d *Document) checkDomains(c *checker) {
	if len(d.FailureDomains) == 0 && len(d.Routes) == 0 {
		c.Add("FailureDomains", "none", "at least one failure domain")
	}
	firstFields := map[string]string{}
	for i, f := range d.FailureDomains {
		path := fmt.Sprintf("FailureDomains[%d]", i)
		c.checkName(path, f)
		c.checkUnique(firstFields, f, path)
	}
}

// checkUnique adds a fault if the value was seen in another field before.
// firstFields maps each value to the field in which it was seen first.
func (c *checker) checkUnique(firstFields map[string]string, v, field string) {
	if firstField, ok := firstFields[v]; ok {
		c.AddText(field, v, "a value other than that of "+firstField)
		return
	}
	firstFields[v] = field
}

func (m Model) check(c *checker, path string) {
	c.checkName(path+".Name", m.Name)
	c.checkName(path+".Version", m.Version)
	adapters := map[string]string{}
	for i, a := range m.Adapters {
		field := fmt.Sprintf("%s.Adapters[%d]", path, i)
		c.checkName(field, a)
		c.checkUnique(adapters, a, field)
	}
	c.checkRange(path+".Prefill", m.Prefill, 1, 100_000)
	c.checkRange(path+".Decode", m.Decode, 1, 100_000)
	c.checkRange(path+".MaxOutputTokens", m.MaxOutputTokens, 1, 1_000_000)
	c.checkRange(path+".PieceTokens", m.PieceTokens, 1, 1_000_000)
	c.checkRange(path+".BytesPerToken", m.BytesPerToken, 1, 100_000_000)
	c.checkPositive(path+".FirstToken", m.FirstToken)
	c.checkPositive(path+".BetweenTokens", m.BetweenTokens)
}

func (s Service) check(c *checker, path string) {
	c.checkName(path+".Name", s.Name)
	c.checkRange(path+".Endpoints", s.Endpoints, 1, 100_000)
	c.checkRange(path+".Concurrency", s.Concurrency, 1, maxCount)
	if len(s.Calls) == 0 {
		c.Add(path+".Calls", "none", "at least one call")
	}
	calls := map[string]string{}
	for i, a := range s.Calls {
		field := fmt.Sprintf("%s.Calls[%d]", path, i)
		a.check(c, field)
		c.checkUnique(calls, a.Method+" "+a.Path, field)
	}
}

func (a Call) check(c *checker, path string) {
	switch a.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		c.AddText(path+".Method", a.Method, "GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if !strings.HasPrefix(a.Path, "/") {
		c.AddText(path+".Path", a.Path, "a path that starts with a slash")
	}
	c.checkPositive(path+".Timeout", a.Timeout)
}

func (a Caller) check(c *checker, path string, d *Document) {
	c.checkName(path+".Name", a.Name)
	if b, err := hex.DecodeString(a.KeyHash); err != nil || len(b) != keyHashBytes {
		c.Add(path+".KeyHash", fmt.Sprintf("%d characters", len(a.KeyHash)), "64 hexadecimal digits, the SHA-256 of the key")
	}
	listed := map[string]string{}
	for i, v := range a.Models {
		field := fmt.Sprintf("%s.Models[%d]", path, i)
		if _, ok := d.Model(v); !ok {
			c.AddText(field, v, "the name of a model of this document")
		}
		c.checkUnique(listed, v, field)
	}
	for i, v := range a.Services {
		field := fmt.Sprintf("%s.Services[%d]", path, i)
		if _, ok := d.Service(v); !ok {
			c.AddText(field, v, "the name of a service of this document")
		}
		c.checkUnique(listed, v, field)
	}
	c.checkRange(path+".Priority", a.Priority, 0, maxPriority)
	c.checkRange(path+".Burst", a.Burst, 1, maxCount)
	c.checkRange(path+".Concurrency", a.Concurrency, 1, maxCount)
	if a.RatePerSecond <= 0 || a.RatePerSecond > maxCount {
		c.Add(path+".RatePerSecond", a.RatePerSecond, fmt.Sprintf("a number above 0, at most %d", maxCount))
	}
	if a.Patience < 0 {
		c.Add(path+".Patience", time.Duration(a.Patience), "zero or a duration above it")
	}
}
