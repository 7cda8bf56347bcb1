package document

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// maxChangeBytes bounds the bytes that a change of one caller transfers to a
// process. 2,800 changes a day of this size use 2 KB/s of the 19 KB/s that a node
// may use.
const maxChangeBytes = 64 << 10

// parsedDocument returns a document with callers whose keys are "key-0" and so
// on. The caller in the middle of the list has the given rate, others 100.
func parsedDocument(tb testing.TB, callers, rate int) *Document {
	tb.Helper()
	var b strings.Builder
	b.WriteString(`{"Number": 1, "FailureDomains": ["a"], "Models": [{"Name": "m", "Version": "1", "Prefill": 1, "Decode": 1}], "Callers": [`)
	for i := range callers {
		if i > 0 {
			b.WriteByte(',')
		}
		callerRate := 100
		if i == callers/2 {
			callerRate = rate
		}
		fmt.Fprintf(&b, `{"Name": "caller-%d", "KeyHash": "%s", "Models": ["m"], "RatePerSecond": %d}`,
			i, Digest(fmt.Appendf(nil, "key-%d", i)), callerRate)
	}
	b.WriteString("]}")
	d, err := Parse([]byte(b.String()))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// changedParts returns the parts of b that a does not have.
func changedParts(tb testing.TB, a, b *Document) []Part {
	tb.Helper()
	earlier, err := a.Parts()
	if err != nil {
		tb.Fatal(err)
	}
	parts, err := b.Parts()
	if err != nil {
		tb.Fatal(err)
	}
	known := map[string]bool{}
	for _, p := range earlier {
		known[p.Name+p.Digest] = true
	}
	var out []Part
	for _, p := range parts {
		if !known[p.Name+p.Digest] {
			out = append(out, p)
		}
	}
	return out
}

func TestOneChangeAmong26000Callers(t *testing.T) {
	parts := changedParts(t, parsedDocument(t, 26_000, 100), parsedDocument(t, 26_000, 101))
	n := 0
	for _, p := range parts {
		n += len(p.Content)
	}
	t.Logf("%d parts, %d bytes", len(parts), n)
	if n > maxChangeBytes {
		t.Errorf("one change transfers %d bytes, want at most %d", n, maxChangeBytes)
	}
}

// TestAssembly changes a document at random, and checks that the document
// assembled from the changed parts finds the same callers by key.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var a Assembly
		before := &Document{}
		for range rapid.IntRange(1, 4).Draw(r, "versions") {
			n := rapid.IntRange(0, 60).Draw(r, "callers")
			d := parsedDocument(t, n, rapid.IntRange(1, 1000).Draw(r, "rate"))
			for _, p := range changedParts(t, before, d) {
				if err := a.Put(p); err != nil {
					r.Fatal(err)
				}
			}
			dropRemovedParts(t, &a, before, d)
			checkAssembled(t, r, &a, d)
			before = d
		}
	})
}

func dropRemovedParts(t *testing.T, a *Assembly, before, d *Document) {
	t.Helper()
	names := map[string]bool{}
	parts, _ := d.Parts()
	for _, p := range parts {
		names[p.Name] = true
	}
	earlier, _ := before.Parts()
	for _, p := range earlier {
		if !names[p.Name] {
			a.Drop(p.Name)
		}
	}
}

func checkAssembled(t *testing.T, r *rapid.T, a *Assembly, d *Document) {
	t.Helper()
	manifest, err := d.Parts()
	if err != nil {
		r.Fatal(err)
	}
	got, err := a.Document(manifest)
	if err != nil {
		r.Fatal(err)
	}
	for i := range 60 {
		key := fmt.Sprintf("key-%d", i)
		want, wantFound := d.CallerByKey(key)
		caller, found := got.CallerByKey(key)
		if wantFound != found || want.Name != caller.Name || want.RatePerSecond != caller.RatePerSecond {
			r.Fatalf("%s: want %v, got %v", key, want, caller)
		}
	}
}

func TestAssemblyRefusesOtherContent(t *testing.T) {
	d := parsedDocument(t, 10, 1)
	parts, err := d.Parts()
	if err != nil {
		t.Fatal(err)
	}
	var a Assembly
	for _, p := range parts[1:] {
		if err := a.Put(p); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Document(parts); err == nil {
		t.Error("Document accepted an assembly without one of its parts")
	}
	parts[0].Content = append([]byte(" "), parts[0].Content...)
	if err := a.Put(parts[0]); err == nil {
		t.Error("Put accepted a part whose content does not match its digest")
	}
}

func BenchmarkPutOneChange(b *testing.B) {
	d := parsedDocument(b, 26_000, 100)
	parts, _ := d.Parts()
	var a Assembly
	for _, p := range parts {
		_ = a.Put(p)
	}
	next := parsedDocument(b, 26_000, 101)
	changes := changedParts(b, d, next)
	parts, _ = next.Parts()
	for b.Loop() {
		for _, p := range changes {
			_ = a.Put(p)
		}
		if _, err := a.Document(parts); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse26000(b *testing.B) {
	d := parsedDocument(b, 26_000, 100)
	raw, _, err := d.Resolved()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}
