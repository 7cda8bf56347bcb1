package document

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
)

// TestParse reads the documents of testdata/parse. In them, @REPEAT(n,text)
// stands for n copies of a text.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		parsed, err := Parse([]byte(expand(t, d.Input)))
		if err != nil {
			return faultLines(t, err)
		}
		b, _, err := parsed.Resolved()
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
}

func faultLines(t *testing.T, err error) string {
	t.Helper()
	var check *CheckError
	if !errors.As(err, &check) {
		t.Fatalf("got %T, want *CheckError", err)
	}
	var out strings.Builder
	for _, f := range check.Faults {
		fmt.Fprintln(&out, f)
	}
	return out.String()
}

func expand(t *testing.T, s string) string {
	t.Helper()
	for {
		before, rest, ok := strings.Cut(s, "@REPEAT(")
		if !ok {
			return s
		}
		count, rest, _ := strings.Cut(rest, ",")
		text, after, _ := strings.Cut(rest, ")")
		n, err := strconv.Atoi(count)
		if err != nil {
			t.Fatal(err)
		}
		s = before + strings.Repeat(text, n) + after
	}
}

// large returns a document of n callers.
func large(n int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"Number":1,"FailureDomains":["a"],"Models":[{"Name":"m","Version":"1","Prefill":1,"Decode":1}],"Callers":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Name":"caller-%06d","KeyHash":"%064x","Models":["m"],"Priority":%d}`, i, i, i%10)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// TestParseLarge holds the target's 26,000 callers against the time in which
// a change must be in force, 4 s, of which parsing may take a quarter.
func TestParseLarge(t *testing.T) {
	const callers, limit = 26_000, time.Second
	start := time.Now()
	d, err := Parse(large(callers))
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > limit {
		t.Errorf("parsed in %s, at most %s wanted", took, limit)
	}
	if len(d.Callers) != callers {
		t.Errorf("got %d callers", len(d.Callers))
	}
	if _, err := Load([]byte(`{"Number":1}`)); err == nil {
		t.Error("a document without its defaults was loaded")
	}
	if _, err := Parse(append([]byte(`{"Number":1}`), bytes.Repeat([]byte(" "), MaxBytes)...)); err == nil {
		t.Error("a document over MaxBytes was read")
	}
	start = time.Now()
	if _, err := Parse(append(bytes.Repeat([]byte("["), 10<<20), '1')); err == nil || time.Since(start) > limit {
		t.Errorf("10 MB of brackets: %v in %s", err, time.Since(start))
	}
}

// FuzzParse holds that whatever is accepted resolves to a fixed point, and
// that whatever is refused has a fault with a field and an expectation.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"archive", "qantara"} {
		b, err := os.ReadFile("../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add(large(3))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Parse(b)
		var check *CheckError
		if errors.As(err, &check) {
			for _, v := range check.Faults {
				if v.Field == "" || v.Expected == "" {
					t.Fatalf("fault without a field or an expectation: %+v", v)
				}
			}
			return
		}
		if err != nil {
			t.Fatalf("got %T, want *CheckError", err)
		}
		first, digest, err := d.Resolved()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(first)
		if err != nil {
			t.Fatalf("the resolved document is refused: %v\n%s", err, first)
		}
		loaded, err := Load(first)
		if err != nil {
			t.Fatalf("the resolved document is not loaded: %v\n%s", err, first)
		}
		if diff := cmp.Diff(again, loaded, cmp.AllowUnexported(Document{})); diff != "" {
			t.Fatalf("parsed and loaded differ: %s", diff)
		}
		if second, other, err := again.Resolved(); err != nil || other != digest {
			t.Fatalf("%v\n%s\n%s", err, first, second)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	benchmark(b, Parse)
}

func BenchmarkLoad(b *testing.B) {
	benchmark(b, Load)
}

func benchmark(b *testing.B, read func([]byte) (*Document, error)) {
	for _, n := range []int{260, 2_600, 26_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			d, err := Parse(large(n))
			if err != nil {
				b.Fatal(err)
			}
			text, _, err := d.Resolved()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := read(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
		})
	}
}
