package control

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestStatements reports what endpoints said to entries, and prints what all entries are
// told then.
func TestStatements(t *testing.T) {
	datadriven.RunTest(t, "testdata/statements", func(t *testing.T, d *datadriven.TestData) string {
		var s statements
		now := time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var reported []*controlv1.EndpointStatement
			if wait, ok := strings.CutPrefix(line, "wait "); ok {
				d, err := time.ParseDuration(wait)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(d)
			} else {
				reported = append(reported, parseStatement(t, line))
			}
			var told []string
			for _, m := range s.merge(now, reported) {
				told = append(told, fmt.Sprintf("%s/%d limited=%t %.1f leaving=%t %s ago", m.GetEndpoint(), m.GetLifetime(), m.GetLimited(), m.GetRequestLimit(), m.GetLeaving(), m.GetAge().AsDuration()))
			}
			sort.Strings(told)
			fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(told, ", "))
		}
		return out.String()
	})
}

// parseStatement parses the name and lifetime of an endpoint, its limit or a dash, its
// state and the age of the answer.
func parseStatement(t *testing.T, line string) *controlv1.EndpointStatement {
	t.Helper()
	out := &controlv1.EndpointStatement{}
	var limit, state, age string
	if _, err := fmt.Sscan(line, &out.Endpoint, &out.Lifetime, &limit, &state, &age); err != nil {
		t.Fatal(err)
	}
	if limit != "-" {
		out.Limited = true
		if _, err := fmt.Sscan(limit, &out.RequestLimit); err != nil {
			t.Fatal(err)
		}
	}
	out.Leaving = state == "leaving"
	d, err := time.ParseDuration(age)
	if err != nil {
		t.Fatal(err)
	}
	out.Age = durationpb.New(d)
	return out
}
