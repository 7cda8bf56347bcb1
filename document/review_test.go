package document

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// reviewTime bounds the review of a large document.
const reviewTime = time.Second

// TestReview reviews the documents of testdata/review.
func TestReview(t *testing.T) {
	datadriven.RunTest(t, "testdata/review", func(t *testing.T, d *datadriven.TestData) string {
		parsed, err := Parse([]byte(d.Input))
		if err != nil {
			return faultLines(t, err)
		}
		var out strings.Builder
		for _, w := range Review(parsed) {
			fmt.Fprintln(&out, w)
		}
		return out.String()
	})
}

// TestReviewLarge checks that a document of 26,000 callers and 2,000 routes is read and
// reviewed in time.
func TestReviewLarge(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"Number": 1, "Level": 3, "Requests": {"NeedKey": true}, "Pools": [{"Name": "p"}], "Callers": [`)
	for i := range 26_000 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Name": "c%d", "KeyHash": "%s", "Quota": {"Unit": "Requests", "PerSecond": 5, "Burst": 5}}`, i, Digest(fmt.Append(nil, i)))
	}
	b.WriteString(`], "Routes": [`)
	for i := range 2000 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Name": "r%d", "Host": "h", "PathPrefix": "/p%d/", "Kind": "Once", "Split": [{"Name": "p", "Weight": 1}], "Timeout": "1s"}`, i, i)
	}
	b.WriteString("]}")
	text := []byte(b.String())
	start := processorTime(t)
	d, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if w := Review(d); len(w) > 0 {
		t.Errorf("%d warnings, the first %s", len(w), w[0])
	}
	if took := processorTime(t) - start; took > reviewTime {
		t.Errorf("read and reviewed in %s of processor time, at most %s", took, reviewTime)
	}
}
