package proof

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyreel/answers"
	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// violation describes one broken guarantee that a checker found.
type violation string

// checkAnswers finds ended answers that differ from the expected one, and partial
// answers with a token that is repeated, missing or from another call.
func checkAnswers(calls []callRecord) []violation {
	var out []violation
	for _, r := range calls {
		want, _ := tokens.ExpectedAnswer(r.Prompt, r.MaxTokens)
		if r.Ends > 0 && r.Text != want {
			out = append(out, violation(fmt.Sprintf("request %s ended with a wrong answer: %q, want %q", r.Request, r.Text, want)))
		}
		if !strings.HasPrefix(want, r.Text) {
			out = append(out, violation(fmt.Sprintf("request %s: text %q is not a prefix of %q", r.Request, r.Text, want)))
		}
	}
	return out
}

// checkOutcomes finds calls with more than one outcome, with events after the end
// of the answer, or with neither an answer nor a refusal. A call may have no
// outcome only if its entry was killed or its caller cancelled it; it must then have
// an error that its caller can see.
func checkOutcomes(calls []callRecord, killed map[string]bool) []violation {
	var out []violation
	for _, r := range calls {
		outcomes := r.Ends
		if r.Code != "" {
			outcomes++
		}
		if r.AfterEnd > 0 || outcomes > 1 {
			out = append(out, violation(fmt.Sprintf("request %s has %d outcomes and %d events after the first end", r.Request, outcomes, r.AfterEnd)))
		}
		if outcomes == 0 && !r.Left && !killed[r.Entry] {
			out = append(out, violation(fmt.Sprintf("request %s was neither answered nor refused: %s", r.Request, r.Error)))
		}
		if (killed[r.Entry] || r.Left) && r.Error == "" && outcomes == 0 {
			out = append(out, violation(fmt.Sprintf("request %s was broken off without an error for its caller", r.Request)))
		}
	}
	return out
}

// checkNotRun finds calls that were refused as not run or as one call too many,
// though the history of an engine has an event of them other than a cancel.
func checkNotRun(calls []callRecord, seen []engineRecord) []violation {
	refused := map[string]bool{}
	for _, r := range calls {
		if r.Code == "not_run" || r.Code == "too_many" {
			refused[r.Request] = true
		}
	}
	var out []violation
	for _, e := range seen {
		name, _, _ := strings.Cut(e.Request, "/")
		if refused[name] && e.Event != "Cancel" {
			out = append(out, violation(fmt.Sprintf("request %s was refused as not run, but an engine recorded the event %s", name, e.Event)))
		}
	}
	return out
}

// checkCrashes finds contents that crashed more endpoints than the limit.
func checkCrashes(seen []engineRecord, limit int) []violation {
	crashes := map[string]int{}
	for _, e := range seen {
		if e.Event == "Crash" {
			crashes[e.Content]++
		}
	}
	var out []violation
	for content, n := range crashes {
		if n > limit {
			out = append(out, violation(fmt.Sprintf("content %s crashed %d endpoints", content, n)))
		}
	}
	return out
}

// contentHash returns the hash that identifies a prompt in a crash record.
func contentHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// reportViolations fails the test for each violation found.
func reportViolations(t testing.TB, found ...[]violation) {
	t.Helper()
	for _, violations := range found {
		for _, v := range violations {
			t.Error(v)
		}
	}
}

// checkNothingHeld checks that each engine that answers holds nothing within
// memoryReleaseTarget.
func checkNothingHeld(t testing.TB, processes ...*process) {
	t.Helper()
	for _, e := range processes {
		if !isResponsive(e) {
			continue
		}
		eventually(t, memoryReleaseTarget, "no request, export or memory held by "+e.name, func() bool { return countHeld(t, e) == 0 })
	}
}

// isResponsive reports whether an engine answers at once, as one that runs and is
// not frozen does.
func isResponsive(e *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := engines.NewClient(e.address, &answers.Budget{}).Running(ctx)
	return err == nil
}

// TestCheckers checks that each checker finds violations in bad histories and none
// in good ones.
func TestCheckers(t *testing.T) {
	expected, _ := tokens.ExpectedAnswer("deed", 20)
	other, _ := tokens.ExpectedAnswer("letter", 20)
	whole := callRecord{Request: "a", Entry: "entry-0", Prompt: "deed", MaxTokens: 20, Status: http.StatusOK, Text: expected, Ends: 1}
	change := func(f func(r *callRecord)) []callRecord {
		r := whole
		f(&r)
		return []callRecord{r}
	}
	seen := []engineRecord{{Time: time.Now(), Event: "Prefill", Request: "a/1"}}
	crash := engineRecord{Event: "Crash", Content: contentHash("deed")}
	for name, found := range map[string][]violation{
		"answer to another call":      checkAnswers(change(func(r *callRecord) { r.Text = other })),
		"short answer":                checkAnswers(change(func(r *callRecord) { r.Text = expected[:10] })),
		"token twice":                 checkAnswers(change(func(r *callRecord) { r.Text, r.Ends = expected[:8]+expected[4:], 0 })),
		"answered twice":              checkOutcomes(change(func(r *callRecord) { r.Ends = 2 }), nil),
		"event after the end":         checkOutcomes(change(func(r *callRecord) { r.AfterEnd = 1 }), nil),
		"answered and refused":        checkOutcomes(change(func(r *callRecord) { r.Code = "broken" }), nil),
		"no end":                      checkOutcomes(change(func(r *callRecord) { r.Ends = 0 }), nil),
		"broken off without an error": checkOutcomes(change(func(r *callRecord) { r.Ends = 0 }), map[string]bool{"entry-0": true}),
		"not run but ran": checkNotRun(change(func(r *callRecord) {
			r.Ends, r.Code = 0, "not_run"
		}), seen),
		"crashes": checkCrashes([]engineRecord{crash, crash, crash, crash}, 3),
	} {
		if len(found) == 0 {
			t.Errorf("%s: no violation found", name)
		}
	}
	reportViolations(t, checkAnswers([]callRecord{whole}), checkOutcomes([]callRecord{whole}, nil), checkNotRun([]callRecord{whole}, seen),
		checkCrashes([]engineRecord{crash, crash, crash}, 3))
}
