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

	"ebonyreel/engines"
	"ebonyreel/standin/tokens"
)

// violation is one broken promise that a checker found.
type violation string

// checkWhole finds answers that are not whole and their own, and parts of
// answers with a token twice, missing or crossed.
func checkAnswers(calls []callRecord) []violation {
	var out []violation
	for _, r := range calls {
		want, _ := tokens.Answer(r.Prompt, r.MaxTokens)
		if r.Ends > 0 && r.Text != want {
			out = append(out, violation(fmt.Sprintf("request %s ended with another answer than its own: %q, want %q", r.Request, r.Text, want)))
		}
		if !strings.HasPrefix(want, r.Text) {
			out = append(out, violation(fmt.Sprintf("request %s: text %q is no part of %q", r.Request, r.Text, want)))
		}
	}
	return out
}

// checkOneEnd finds calls that were answered twice, or neither answered nor
// refused. A call may break only where its entry was killed or its caller left.
func checkOutcomes(calls []callRecord, killed map[string]bool) []violation {
	var out []violation
	for _, r := range calls {
		outcomes := r.Ends
		if r.Code != "" {
			outcomes++
		}
		if r.AfterEnd > 0 || outcomes > 1 {
			out = append(out, violation(fmt.Sprintf("request %s has %d ends and %d events after the first", r.Request, outcomes, r.AfterEnd)))
		}
		if outcomes == 0 && !r.Left && !killed[r.Entry] {
			out = append(out, violation(fmt.Sprintf("request %s was neither answered nor refused: %s", r.Request, r.Error)))
		}
		if (killed[r.Entry] || r.Left) && r.Error == "" && outcomes == 0 {
			out = append(out, violation(fmt.Sprintf("request %s broke and its caller could not see it", r.Request)))
		}
	}
	return out
}

// checkNotRun finds calls that were refused as not run though an endpoint has
// seen them.
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
			out = append(out, violation(fmt.Sprintf("request %s was refused as not run after %s", name, e.Event)))
		}
	}
	return out
}

// checkCrashes finds contents that crashed more endpoints than the bound.
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

// contentOf is the name of a prompt in a crash record.
func contentHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// report fails a test with what checkers found.
func reportViolations(t testing.TB, found ...[]violation) {
	t.Helper()
	for _, all := range found {
		for _, v := range all {
			t.Error(v)
		}
	}
}

// settled checks that after a quiet time no engine that runs holds anything.
func checkNothingHeld(t testing.TB, all ...*process) {
	t.Helper()
	for _, e := range all {
		if !isResponsive(e) {
			continue
		}
		eventually(t, memoryReleaseTarget, "nothing held after quiet by "+e.name, func() bool { return countHeld(t, e) == 0 })
	}
}

// answersNow reports whether an engine runs and is not frozen.
func isResponsive(e *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := engines.NewClient(e.address).Running(ctx)
	return err == nil
}

// TestCheckers shows each checker a history that breaks its promise.
func TestCheckers(t *testing.T) {
	own, _ := tokens.Answer("deed", 20)
	other, _ := tokens.Answer("letter", 20)
	whole := callRecord{Request: "a", Entry: "entry-0", Prompt: "deed", MaxTokens: 20, Status: http.StatusOK, Text: own, Ends: 1}
	change := func(f func(r *callRecord)) []callRecord {
		r := whole
		f(&r)
		return []callRecord{r}
	}
	seen := []engineRecord{{Time: time.Now(), Event: "Prefill", Request: "a/1"}}
	crash := engineRecord{Event: "Crash", Content: contentHash("deed")}
	for name, found := range map[string][]violation{
		"crossed answer": checkAnswers(change(func(r *callRecord) { r.Text = other })),
		"short answer":   checkAnswers(change(func(r *callRecord) { r.Text = own[:10] })),
		"token twice":    checkAnswers(change(func(r *callRecord) { r.Text, r.Ends = own[:8]+own[4:], 0 })),
		"answered twice": checkOutcomes(change(func(r *callRecord) { r.Ends = 2 }), nil),
		"event after":    checkOutcomes(change(func(r *callRecord) { r.AfterEnd = 1 }), nil),
		"refused too":    checkOutcomes(change(func(r *callRecord) { r.Code = "broken" }), nil),
		"no end":         checkOutcomes(change(func(r *callRecord) { r.Ends = 0 }), nil),
		"false end":      checkOutcomes(change(func(r *callRecord) { r.Ends = 0 }), map[string]bool{"entry-0": true}),
		"not run but ran": checkNotRun(change(func(r *callRecord) {
			r.Ends, r.Code = 0, "not_run"
		}), seen),
		"crashes": checkCrashes([]engineRecord{crash, crash, crash, crash}, 3),
	} {
		if len(found) == 0 {
			t.Errorf("%s: nothing found", name)
		}
	}
	reportViolations(t, checkAnswers([]callRecord{whole}), checkOutcomes([]callRecord{whole}, nil), checkNotRun([]callRecord{whole}, seen),
		checkCrashes([]engineRecord{crash, crash, crash}, 3))
}
