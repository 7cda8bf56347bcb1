package document

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// maxChangeBytes bounds what one change of one caller may move to a process:
// 2,800 changes a day of this size are 2 KB of the 19 KB a second that a node
// may spend.
const maxChangeBytes = 64 << 10

// largeDocument has a number of callers, whose keys are "key-0" and so on.
func largeDocument(tb testing.TB, callers, rate int) *Document {
	tb.Helper()
	var b strings.Builder
	b.WriteString(`{"Number": 1, "FailureDomains": ["a"], "Models": [{"Name": "m", "Version": "1", "Prefill": 1, "Decode": 1}], "Callers": [`)
	for i := range callers {
		if i > 0 {
			b.WriteByte(',')
		}
		per := 100
		if i == callers/2 {
			per = rate
		}
		fmt.Fprintf(&b, `{"Name": "caller-%d", "KeyHash": "%s", "Models": ["m"], "RatePerSecond": %d}`,
			i, Digest(fmt.Appendf(nil, "key-%d", i)), per)
	}
	b.WriteString("]}")
	d, err := Parse([]byte(b.String()))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// changed returns the parts of b that a does not have.
func changed(tb testing.TB, a, b *Document) []Part {
	tb.Helper()
	old, err := a.Parts()
	if err != nil {
		tb.Fatal(err)
	}
	all, err := b.Parts()
	if err != nil {
		tb.Fatal(err)
	}
	have := map[string]bool{}
	for _, p := range old {
		have[p.Name+p.Digest] = true
	}
	var out []Part
	for _, p := range all {
		if !have[p.Name+p.Digest] {
			out = append(out, p)
		}
	}
	return out
}

func TestOneChangeAmong26000Callers(t *testing.T) {
	parts := changed(t, largeDocument(t, 26_000, 100), largeDocument(t, 26_000, 101))
	n := 0
	for _, p := range parts {
		n += len(p.Content)
	}
	t.Logf("%d parts, %d bytes", len(parts), n)
	if n > maxChangeBytes {
		t.Errorf("one change moves %d bytes, more than %d", n, maxChangeBytes)
	}
}

// TestAssembly changes a document at random and checks that what is assembled
// from the changed parts finds the same callers.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var a Assembly
		before := &Document{}
		for range rapid.IntRange(1, 4).Draw(r, "versions") {
			n := rapid.IntRange(0, 60).Draw(r, "callers")
			d := largeDocument(t, n, rapid.IntRange(1, 1000).Draw(r, "rate"))
			for _, p := range changed(t, before, d) {
				if err := a.Put(p); err != nil {
					r.Fatal(err)
				}
			}
			dropGone(t, &a, before, d)
			check(t, r, &a, d)
			before = d
		}
	})
}

func dropGone(t *testing.T, a *Assembly, before, d *Document) {
	t.Helper()
	names := map[string]bool{}
	all, _ := d.Parts()
	for _, p := range all {
		names[p.Name] = true
	}
	old, _ := before.Parts()
	for _, p := range old {
		if !names[p.Name] {
			a.Drop(p.Name)
		}
	}
}

func check(t *testing.T, r *rapid.T, a *Assembly, d *Document) {
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
		want, known := d.CallerByKey(key)
		have, found := got.CallerByKey(key)
		if known != found || want.Name != have.Name || want.RatePerSecond != have.RatePerSecond {
			r.Fatalf("%s: want %v, found %v", key, want, have)
		}
	}
}

func TestAssemblyRefusesOtherContent(t *testing.T) {
	d := largeDocument(t, 10, 1)
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
		t.Error("a document without one of its parts was assembled")
	}
	parts[0].Content = append([]byte(" "), parts[0].Content...)
	if err := a.Put(parts[0]); err == nil {
		t.Error("a part with another content was taken")
	}
}

func BenchmarkPutOneChange(b *testing.B) {
	d := largeDocument(b, 26_000, 100)
	parts, _ := d.Parts()
	var a Assembly
	for _, p := range parts {
		_ = a.Put(p)
	}
	next := largeDocument(b, 26_000, 101)
	one := changed(b, d, next)
	parts, _ = next.Parts()
	for b.Loop() {
		for _, p := range one {
			_ = a.Put(p)
		}
		if _, err := a.Document(parts); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse26000(b *testing.B) {
	d := largeDocument(b, 26_000, 100)
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
