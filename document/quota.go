package document

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
)

// accountsLevel is the level of documents whose routes ask for the key of a caller, or
// whose callers have several keys, a quota or a priority on routes.
const accountsLevel = 3

// maxQuota bounds the rate and the burst of a quota.
const maxQuota = 1e12

// Unit is what a quota counts.
type Unit string

// The units of quotas.
const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = "Requests"
	// UnitTokens counts the prompt tokens of a request and the most that it generates.
	UnitTokens Unit = "Tokens"
)

// Quota bounds what is admitted from a caller: in any time t, PerSecond * t + Burst. The
// zero value sets no bound.
type Quota struct {
	Unit Unit
	// PerSecond and Burst are in the unit. Zero for PerSecond means no bound.
	PerSecond float64
	Burst     float64
	// PlainTokens is what a request counts that declares no tokens, where Unit is
	// UnitTokens.
	PlainTokens float64 `json:",omitzero"`
}

// Bounds reports whether the quota sets a bound.
func (q Quota) Bounds() bool {
	return q.PerSecond > 0
}

// Cost returns what a request counts that declares its prompt and its longest answer in
// tokens; zero means that it does not.
func (q Quota) Cost(promptTokens, maxOutput int) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case promptTokens == 0 && maxOutput == 0:
		return q.PlainTokens
	}
	return float64(promptTokens) + float64(maxOutput)
}

func (q Quota) check(c *checker, path string) {
	if q == (Quota{}) {
		return
	}
	if q.Unit != UnitRequests && q.Unit != UnitTokens {
		c.AddText(path+".Unit", string(q.Unit), "Requests or Tokens")
	}
	c.checkQuotaValue(path+".PerSecond", q.PerSecond)
	c.checkQuotaValue(path+".Burst", q.Burst)
	c.checkQuotaValue(path+".PlainTokens", q.PlainTokens)
}

func (c *checker) checkQuotaValue(field string, v float64) {
	if !(v >= 0 && v <= maxQuota) {
		c.Add(field, v, fmt.Sprintf("a number from 0 to %g", maxQuota))
	}
}

// checkAccount checks the fields of a caller that need accountsLevel. keyHashes maps the
// hashes of keys to the fields in which they were seen.
func (a Caller) checkAccount(c *checker, path string, keyHashes map[string]string) {
	for i, h := range a.KeyHashes {
		field := fmt.Sprintf("%s.KeyHashes[%d]", path, i)
		if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes {
			c.Add(field, fmt.Sprintf("%d characters", len(h)), "64 hexadecimal digits, the SHA-256 of a key")
		}
		c.checkUnique(keyHashes, h, field)
	}
	if a.RoutePriority != nil {
		c.checkRange(path+".RoutePriority", *a.RoutePriority, 0, maxCount)
	}
	a.Quota.check(c, path+".Quota")
}

// needsAccountsLevel reports whether the document uses what level 3 brought.
func (d *Document) needsAccountsLevel() bool {
	for _, a := range d.Callers {
		if len(a.KeyHashes) > 0 || a.RoutePriority != nil || a.Quota != (Quota{}) {
			return true
		}
	}
	for _, r := range d.Routes {
		if r.Public {
			return true
		}
	}
	return d.Requests.NeedKey
}

// keys returns the hashes of all keys of a caller.
func (a Caller) keys() []string {
	return append([]string{a.KeyHash}, a.KeyHashes...)
}

// sortKeys brings the hashes of further keys into their canonical form.
func (a *Caller) sortKeys() {
	for i, h := range a.KeyHashes {
		a.KeyHashes[i] = strings.ToLower(h)
	}
	sort.Strings(a.KeyHashes)
}
