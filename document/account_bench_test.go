package document

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// accountKeys is the number of keys of each account in the benchmarks.
const accountKeys = 3

// accountsDocument returns a document with accounts that have several keys and a quota each.
func accountsDocument(b *testing.B, accounts int) *Document {
	b.Helper()
	var text strings.Builder
	text.WriteString(`{"Number": 1, "Level": 3, "Pools": [{"Name": "p"}], "Requests": {"NeedKey": true}, "Callers": [`)
	for i := range accounts {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"Name": "account-%d", "KeyHash": "%s", "KeyHashes": ["%s", "%s"], "Quota": {"Unit": "Tokens", "PerSecond": 1000, "Burst": 1000}}`,
			i, Digest(fmt.Append(nil, i, 0)), Digest(fmt.Append(nil, i, 1)), Digest(fmt.Append(nil, i, 2)))
	}
	text.WriteString(`], "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/", "Kind": "Once", "Split": [{"Name": "p", "Weight": 1}], "Timeout": "1s"}]}`)
	d, err := Parse([]byte(text.String()))
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// BenchmarkAccountByKey measures the look-up of a key, and the memory of an account in an
// assembled document.
func BenchmarkAccountByKey(b *testing.B) {
	for _, accounts := range []int{260, 2_600, 26_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := accountsDocument(b, accounts)
			parts, err := d.Parts()
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var a Assembly
			for _, p := range parts {
				if err := a.Put(p); err != nil {
					b.Fatal(err)
				}
			}
			assembled, err := a.Document(parts)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			hash := Digest(fmt.Append(nil, accounts/2, accountKeys-1))
			for b.Loop() {
				if _, ok := assembled.CallerByKeyHash(hash); !ok {
					b.Fatal("key not found")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "B/account")
			runtime.KeepAlive(&a)
			runtime.KeepAlive(d)
			runtime.KeepAlive(parts)
		})
	}
}
