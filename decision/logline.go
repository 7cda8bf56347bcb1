package decision

import (
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/logs"
)

const (
	// successesPerSecond and successBurst limit the log lines for ordinary
	// successes, which metrics count as well.
	successesPerSecond = 10
	successBurst       = 20
)

// endedMessage is the message of the log line for a request. The fields of the
// line are those of its record.
const endedMessage = "request ended"

// logRecord writes the log line of a request. Lines for ordinary successes, which
// met their targets, are limited to successesPerSecond.
func (l *Log) logRecord(r Record) {
	level := logrus.InfoLevel
	switch {
	case r.Outcome == Completed && !r.Late:
		if !l.successes.Allow() {
			return
		}
	case r.Outcome != Completed && r.Outcome != CallerGone:
		level = logrus.WarnLevel
	}
	l.log.WithFields(fields(r)).Log(level, endedMessage)
}

// fields returns the fields of a record under their own names, without those that
// are zero. The time of the record is named Began.
func fields(r Record) logrus.Fields {
	out := logrus.Fields{
		"Request": logs.Truncate(r.Request), "Entry": r.Entry, "DocumentNumber": r.DocumentNumber,
		"Outcome": r.Outcome, "ElapsedMilliseconds": r.ElapsedMilliseconds, "Began": r.Time.Format(time.RFC3339Nano),
	}
	texts := map[string]string{
		"Caller": r.Caller, "Route": r.Route, "Serves": r.Serves, "Reason": r.Reason, "LastEvent": logs.Truncate(r.LastEvent),
		"ResumedRequest": r.ResumedRequest, "ResumedAfter": r.ResumedAfter,
	}
	for name, v := range texts {
		if v != "" {
			out[name] = v
		}
	}
	numbers := map[string]int64{
		"DocumentAgeMilliseconds": r.DocumentAgeMilliseconds, "PromptTokens": int64(r.PromptTokens), "MaxOutput": int64(r.MaxOutput), "ExpectedOutput": int64(r.ExpectedOutput), "Full": int64(r.Full), "OverBudget": int64(r.OverBudget),
		"FirstMilliseconds": r.FirstMilliseconds, "LongestGapMilliseconds": r.LongestGapMilliseconds, "RetryAfterMilliseconds": r.RetryAfterMilliseconds,
	}
	for name, v := range numbers {
		if v != 0 {
			out[name] = v
		}
	}
	if r.Late {
		out["Late"] = true
	}
	if len(r.PromptParts) > 0 {
		out["PromptParts"] = r.PromptParts
	}
	if len(r.Choices) > 0 {
		out["Choices"] = r.Choices
	}
	if len(r.Failures) > 0 {
		out["Failures"] = r.Failures
	}
	return out
}
